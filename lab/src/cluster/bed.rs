//! A bed of several processes of the real program that form a cluster: stand-in nodes behind them, links with faults
//! between them, clients before them, and a judge over all that they wrote and answered.

use super::links::{Fault, Links};
use super::logged_commands::LoggedCommands;
use crate::demo::by_sru;
use crate::running::{HANG, Process, until};
use crate::standins::{Script, Wire, node};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a line that a broker wrote may take until the thread that reads its log has it.
const LOG_DELAY: Duration = Duration::from_secs(10);
/// Last lines of a log that are shown of each broker when a test fails.
const MAX_SHOWN_LINES: usize = 40;

/// How a broker of the bed is started.
#[derive(Clone, Debug)]
pub struct BrokerSettings {
    /// The name in its file.
    pub name: String,
    /// The peers in its file, by number, with the names that it knows them by.
    pub peers: Vec<(usize, String)>,
    /// The cluster's name.
    pub cluster: String,
    /// The latest version of frames.
    pub latest_version: u8,
    /// Seconds by which its clock is off.
    pub clock_offset_s: i64,
    /// Seconds for which words that have ended are kept.
    pub retention_s: u64,
    /// Time between probes.
    pub probe_interval_ms: u64,
    /// A discovery that names the nodes, in place of its file.
    pub discovery: Option<SocketAddr>,
    /// New processes take over from old ones: at the same door, over this directory of their own.
    pub hot_restart: bool,
}

struct Broker {
    settings: BrokerSettings,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    client_address: SocketAddr,
    process: Option<Process>,
    /// The socket that old and new processes share.
    shared_listener: Option<TcpListener>,
    /// Processes before the present one.
    old_processes: Vec<Process>,
    /// What processes that have ended wrote.
    ended_log_lines: Vec<String>,
}

/// A word that was answered with SUCCESS: the thing, whether it is out, and the broker.
type Acknowledged = (String, bool, usize);

/// The bed.
pub struct ProcessCluster {
    program: PathBuf,
    pub script: Script,
    nodes: Vec<SocketAddr>,
    brokers: Vec<Broker>,
    pub links: Links,
    tmp: tempfile::TempDir,
    addresses: AddressPool,
    /// In the order in which they were given.
    pub acknowledged: Vec<Acknowledged>,
}

/// Addresses of this bed's own: on loopback, and nowhere that the system gives out ports by itself, so that no connection
/// of another test can have taken one of them before its broker does.
struct AddressPool {
    ip: [u8; 4],
    next_port: u16,
}

impl AddressPool {
    fn new() -> AddressPool {
        static CLUSTERS: AtomicU64 = AtomicU64::new(0);
        let index = CLUSTERS.fetch_add(1, Ordering::Relaxed) as u8;
        AddressPool { ip: [127, 64 + (std::process::id() % 128) as u8, index, 1], next_port: 7000 }
    }

    fn next_address(&mut self) -> SocketAddr {
        self.next_port += 1;
        SocketAddr::from((self.ip, self.next_port))
    }
}

pub fn name(n: usize) -> String {
    format!("b-{n}")
}

impl ProcessCluster {
    /// So many brokers that all list each other; none is started.
    pub fn new(program: impl AsRef<Path>, brokers: usize, seed: u64) -> ProcessCluster {
        let script = Script::default();
        let nodes: Vec<SocketAddr> = (0..3).map(|n| node(Wire::Sru, n, script.clone())).collect();
        let mut addresses = AddressPool::new();
        let broker = |n: usize| Broker {
            settings: BrokerSettings {
                name: name(n),
                peers: (0..brokers).filter(|p| *p != n).map(|p| (p, name(p))).collect(),
                cluster: "bed".into(),
                latest_version: 2,
                clock_offset_s: 0,
                retention_s: 86_400,
                probe_interval_ms: 100,
                discovery: None,
                hot_restart: false,
            },
            peer_address: addresses.next_address(),
            admin_address: addresses.next_address(),
            client_address: addresses.next_address(),
            process: None,
            shared_listener: None,
            old_processes: Vec::new(),
            ended_log_lines: Vec::new(),
        };
        let brokers: Vec<Broker> = (0..brokers).map(broker).collect();
        let real: Vec<SocketAddr> = brokers.iter().map(|b| b.peer_address).collect();
        let links = Links::between(&real, seed);
        let (program, tmp) = (program.as_ref().to_owned(), tempfile::tempdir().unwrap());
        ProcessCluster { program, script, nodes, brokers, links, tmp, addresses, acknowledged: Vec::new() }
    }

    /// The same, all started, and all know each other.
    pub fn started(program: impl AsRef<Path>, brokers: usize, seed: u64) -> ProcessCluster {
        let mut cluster = ProcessCluster::new(program, brokers, seed);
        (0..brokers).for_each(|n| cluster.start(n));
        cluster.wait_until_joined();
        cluster
    }

    pub fn len(&self) -> usize {
        self.brokers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.brokers.is_empty()
    }

    /// For its next start.
    pub fn settings_mut(&mut self, n: usize) -> &mut BrokerSettings {
        &mut self.brokers[n].settings
    }

    /// The directory in which it keeps the cluster's facts.
    pub fn state_dir(&self, n: usize) -> PathBuf {
        self.tmp.path().join(format!("keep-{n}"))
    }

    fn write_config(&self, n: usize) -> PathBuf {
        let b = &self.brokers[n];
        let settings = &b.settings;
        let hand_over = settings
            .hot_restart
            .then(|| format!("hand_over = {:?}\n", self.tmp.path().join(format!("hand-{n}"))));
        let inherited_descriptor = if settings.hot_restart { "descriptor = 4\n" } else { "" };
        let hand_over = hand_over.unwrap_or_default();
        let mut text = format!(
            "name = {:?}\nzone = \"a\"\n[operation]\nlisten = \"{}\"\n{}[partitions]\ncount = 3\ncells = 3\nholders = 2\n\
             database = \"part-{{partition}}\"\n[[class]]\nname = \"c\"\naim_ms = 8000\ndeadline_ms = 20000\n\
             [[database]]\nname = \"scores\"\nclass = \"c\"\n[[listener]]\nprotocol = \"sru\"\nlisten = \"{}\"\n{}\
             [cluster]\nname = {:?}\nlisten = \"{}\"\nkeep = {:?}\nprobe_ms = {}\nspeak = {}\nkeep_words_s = {}\n",
            settings.name,
            b.admin_address,
            hand_over,
            b.client_address,
            inherited_descriptor,
            settings.cluster,
            b.peer_address,
            self.state_dir(n),
            settings.probe_interval_ms,
            settings.latest_version,
            settings.retention_s
        );
        for (peer, peer_name) in &settings.peers {
            text +=
                &format!("[[peer]]\nname = {peer_name:?}\naddress = \"{}\"\n", self.links.address(n, *peer));
        }
        if let Some(discovery) = settings.discovery {
            text += &format!("[membership]\ndiscovery = \"{discovery}\"\n");
        }
        for (cell, address) in self.nodes.iter().enumerate().filter(|_| settings.discovery.is_none()) {
            text += &format!(
                "[[node]]\nid = \"n-{cell}\"\nprotocol = \"sru\"\naddress = \"{address}\"\nzone = \"a\"\ncell = {cell}\n"
            );
        }
        let path = self.tmp.path().join(format!("{n}.toml"));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts a broker, and waits until it answers calls.
    pub fn start(&mut self, n: usize) {
        let mut command = Command::new("sh");
        if self.brokers[n].settings.hot_restart {
            let listener = self.brokers[n]
                .shared_listener
                .get_or_insert_with(|| TcpListener::bind("127.0.0.1:0").unwrap());
            self.brokers[n].client_address = listener.local_addr().unwrap();
            self.brokers[n].admin_address = self.addresses.next_address();
            let inherited =
                OwnedFd::from(self.brokers[n].shared_listener.as_ref().unwrap().try_clone().unwrap());
            command
                .stdin(Stdio::from(inherited))
                .args(["-c", "exec \"$0\" \"$@\" 4<&0 0</dev/null"])
                .arg(&self.program);
        } else {
            command = Command::new(&self.program);
        }
        command.args([
            "--log-format",
            "json",
            "--clock-off",
            &self.brokers[n].settings.clock_offset_s.to_string(),
        ]);
        command.args(["serve", "catalogue"]).arg(self.write_config(n));
        let process = Process::spawn(&mut command, self.brokers[n].admin_address);
        until("it answers calls", || process.call("STATUS").starts_with("SUCCESS"));
        if let Some(old) = self.brokers[n].process.replace(process) {
            self.brokers[n].old_processes.push(old);
        }
    }

    /// Waits until the processes before the present one have ended by themselves.
    pub fn wait_for_old_processes(&mut self, n: usize) {
        for mut old in std::mem::take(&mut self.brokers[n].old_processes) {
            old.ends();
            self.brokers[n].ended_log_lines.extend(old.lines());
        }
    }

    /// Has a broker read its file again, as it is told now.
    pub fn reload(&self, n: usize) {
        self.write_config(n);
        self.process(n).signal("-HUP");
    }

    /// Where its clients come.
    pub fn client_address(&self, n: usize) -> SocketAddr {
        self.brokers[n].client_address
    }

    /// Its second address.
    pub fn admin_address(&self, n: usize) -> SocketAddr {
        self.brokers[n].admin_address
    }

    /// Processor time that a broker has used, in the system's ticks.
    pub fn cpu_ticks(&self, n: usize) -> u64 {
        self.process(n).cpu_ticks()
    }

    /// Where its peers' words come to it.
    pub fn peer_address(&self, n: usize) -> SocketAddr {
        self.brokers[n].peer_address
    }

    /// The stand-in nodes.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    fn process(&self, n: usize) -> &Process {
        self.brokers[n].process.as_ref().expect("it runs")
    }

    pub fn is_running(&self, n: usize) -> bool {
        self.brokers[n].process.is_some()
    }

    /// Kills a broker outright.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut process) = self.brokers[n].process.take() {
            process.kill();
            self.brokers[n].ended_log_lines.extend(process.lines());
        }
    }

    /// Stops a broker where it stands, or lets it go on.
    pub fn set_stopped(&self, n: usize, stopped: bool) {
        self.process(n).signal(if stopped { "-STOP" } else { "-CONT" });
    }

    /// Copies a broker's disk as it is now.
    pub fn copy_disk(&self, n: usize) -> BTreeMap<String, Vec<u8>> {
        let files: Vec<std::fs::DirEntry> = std::fs::read_dir(self.state_dir(n))
            .map(|d| d.filter_map(Result::ok).collect())
            .unwrap_or_default();
        files
            .iter()
            .filter_map(|f| Some((f.file_name().into_string().ok()?, std::fs::read(f.path()).ok()?)))
            .collect()
    }

    /// Sets the disk of a broker that does not run.
    pub fn set_disk(&self, n: usize, files: &BTreeMap<String, Vec<u8>>) {
        assert!(!self.is_running(n));
        let _ = std::fs::remove_dir_all(self.state_dir(n));
        std::fs::create_dir_all(self.state_dir(n)).unwrap();
        for (name, bytes) in files {
            std::fs::write(self.state_dir(n).join(name), bytes).unwrap();
        }
    }

    // ---- calls ----

    /// One call.
    pub fn call(&self, n: usize, line: &str) -> String {
        self.process(n).call(line)
    }

    /// A word by hand; what is answered with SUCCESS counts as promised.
    pub fn try_command(&mut self, n: usize, line: &str) -> bool {
        let answer = self.call(n, line);
        let accepted = answer.starts_with("SUCCESS");
        if accepted {
            let mut words = line.split(' ');
            let (verb, id) = (words.next().unwrap(), words.next().unwrap_or_default().to_owned());
            let out = matches!(verb, "SUSPEND" | "PAUSE" | "REMOVE");
            self.acknowledged.push((id, out, n));
        }
        accepted
    }

    /// The same, which must be answered with SUCCESS.
    pub fn run_command(&mut self, n: usize, line: &str) {
        let mut accepted = false;
        until(line, || {
            accepted = self.try_command(n, line);
            accepted || !self.call(n, "STATUS").starts_with("SUCCESS")
        });
        assert!(accepted, "{line}");
    }

    pub fn json(&self, n: usize, line: &str) -> Value {
        let answer = self.call(n, line);
        let text = answer.strip_suffix("\nEOT\n").unwrap_or_else(|| panic!("{line}: {answer:?}"));
        serde_json::from_str(text).unwrap()
    }

    /// Servers, pauses and the like that are out by a broker's own word, by what they are called in answers.
    pub fn keys_in_force(&self, n: usize) -> BTreeSet<String> {
        let state = self.json(n, "STATE");
        let things = state["first"].as_array().cloned().unwrap_or_default();
        things.iter().filter(|t| t["out"] == true).map(|t| t["of"].as_str().unwrap().to_owned()).collect()
    }

    /// How many peers a broker takes for up.
    pub fn peers_up(&self, n: usize) -> usize {
        let peers = self.json(n, "PEERS");
        peers["peers"].as_array().unwrap().iter().filter(|p| p["is"] == "up").count()
    }

    pub fn readiness(&self, n: usize) -> String {
        self.json(n, "PEERS")["standing"].as_str().unwrap().to_owned()
    }

    /// How often something was not listened to, for this reason.
    pub fn dropped(&self, n: usize, reason: &str) -> u64 {
        let peers = self.json(n, "PEERS");
        peers["dropped"]
            .as_object()
            .unwrap()
            .iter()
            .filter(|(k, _)| k.contains(reason))
            .map(|(_, v)| v.as_u64().unwrap())
            .sum()
    }

    fn running_brokers(&self) -> Vec<usize> {
        (0..self.len()).filter(|n| self.is_running(*n)).collect()
    }

    /// Waits until all that run have met.
    pub fn wait_until_joined(&self) {
        let all = self.running_brokers();
        until("all brokers know each other", || {
            all.iter().all(|n| self.peers_up(*n) + 1 >= all.len() && self.readiness(*n) == "caught up")
        });
    }

    /// Waits until all that run have this out, or not.
    pub fn wait_until_everywhere(&self, key: &str, in_force: bool) {
        until(&format!("{key} in force at all brokers: {in_force}"), || {
            self.running_brokers().iter().all(|n| self.keys_in_force(*n).contains(key) == in_force)
        });
    }

    /// All faults end and all brokers run; waits until all copies are equal.
    pub fn heal_and_converge(&mut self) -> Value {
        self.links.set_all(Fault::default());
        for n in 0..self.len() {
            if !self.is_running(n) {
                self.start(n);
            }
        }
        let digest = |n: usize| {
            let state = self.json(n, "STATE");
            (state["digest"].clone(), state["standing"] == "caught up" && state["on_disk"] == true)
        };
        let start = Instant::now();
        loop {
            let all: Vec<(Value, bool)> = (0..self.len()).map(digest).collect();
            if all.iter().all(|(d, complete)| *complete && *d == all[0].0) {
                return all[0].0.clone();
            }
            assert!(start.elapsed() < HANG, "copies never were equal: {}", self.describe());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The state of each broker and its last lines, for a test that fails.
    fn describe(&self) -> String {
        let state = |n: usize| {
            let lines = self.log_lines(n);
            let last = lines[lines.len().saturating_sub(MAX_SHOWN_LINES)..].join("\n");
            format!("\nbroker {n}: {}\n{}\n{last}", self.json(n, "STATE"), self.json(n, "PEERS"))
        };
        (0..self.len()).map(state).collect()
    }

    // ---- the judge ----

    /// All lines that a broker has written.
    pub fn log_lines(&self, n: usize) -> Vec<String> {
        let mut lines = self.brokers[n].ended_log_lines.clone();
        lines.extend(self.brokers[n].process.iter().flat_map(Process::lines));
        lines
    }

    pub fn has_logged(&self, n: usize, text: &str) -> bool {
        self.log_lines(n).iter().any(|l| l.contains(text))
    }

    /// What the logs say of commands. A log is read by a thread of its own: the line of whoever gave a command may come
    /// after those of the brokers that were notified of it, and is waited for.
    fn logged_commands(&self) -> LoggedCommands {
        let start = Instant::now();
        loop {
            let logged = LoggedCommands::read((0..self.len()).map(|n| self.log_lines(n)));
            if logged.unknown().next().is_none() || start.elapsed() >= LOG_DELAY {
                return logged;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Looks over all that was written and answered: to be asked when all copies are equal.
    pub fn check_invariants(&self) {
        let logged = self.logged_commands();
        // No fact is invented.
        if let Some((n, stamp, text)) = logged.unknown().next() {
            panic!("{n} was told of {stamp}, which nobody said: {text}");
        }
        // What was acknowledged last, of each thing, at brokers that had heard of what was before, is what stands: a thing
        // whose last words are all one way stands that way, one with words of both ways may be in conflict.
        let out = self.keys_in_force(0);
        for (id, _, _) in &self.acknowledged {
            let values: Vec<bool> =
                self.acknowledged.iter().filter(|(i, ..)| i == id).map(|(_, o, _)| *o).collect();
            let in_force = out.iter().any(|of| of.ends_with(&format!(" {id}")));
            if values.iter().all(|o| *o) {
                assert!(in_force, "{id} was taken out, was never put back, and is not out");
            }
        }
        // Disks and answers say the same.
        for n in 0..self.len() {
            let shown = Command::new(&self.program)
                .args(["state", "show", "--json"])
                .arg(self.state_dir(n))
                .output()
                .unwrap();
            let shown: Value = serde_json::from_slice(&shown.stdout).unwrap_or_default();
            assert_eq!(shown["digest"], self.json(n, "STATE")["digest"], "the disk of {n}");
        }
    }
}

/// Clients at one broker that ask without end: each query gets one answer, a whole one.
pub struct Clients {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(cluster: &ProcessCluster, n: usize, clients: usize) -> Clients {
        let (stop, served, failed): (Arc<AtomicBool>, Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let address = cluster.brokers[n].client_address;
        let one = |_| {
            let (stop, served, failed) = (stop.clone(), served.clone(), failed.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let complete = by_sru(address).is_ok_and(|a| a.starts_with("HTTP/1.1 200"));
                    if complete { &served } else { &failed }.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(5));
                }
            })
        };
        let threads = (0..clients).map(one).collect();
        Clients { stop, served, failed, threads }
    }

    /// Waits until so many more are served.
    pub fn wait_for_more(&self, queries: u64) {
        let from = self.served.load(Ordering::Relaxed);
        until("clients are served", || self.served.load(Ordering::Relaxed) >= from + queries);
    }

    /// Queries answered whole so far.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Ends, whatever was answered.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| drop(t.join()));
    }

    /// Ends; none may have got anything but a whole answer.
    pub fn stop_and_check(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        assert_eq!(self.failed.load(Ordering::Relaxed), 0, "queries without a whole answer");
        self.served.load(Ordering::Relaxed)
    }
}
