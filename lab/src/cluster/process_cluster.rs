//! A cluster of broker processes of the real program: stand-in nodes as their upstreams, links with injected
//! faults between them, clients, and a check of invariants over their logs and answers.

use super::links::{Fault, Links};
use super::logged_commands::LoggedCommands;
use crate::demo::search_over_sru;
use crate::running::{HANG_TIMEOUT, Process, until};
use crate::standins::{NodeScript, WireProtocol, node};
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

/// Longest time from a broker writing a log line to the thread that collects its log reading it.
const LOG_DELAY: Duration = Duration::from_secs(10);
/// Log lines shown of each broker when a test fails.
const MAX_SHOWN_LINES: usize = 40;

/// The configuration of one broker, used at its next start.
#[derive(Clone, Debug)]
pub struct BrokerSettings {
    /// Its name in its configuration file.
    pub name: String,
    /// The peers that its configuration file lists: their numbers and the names it lists them under.
    pub peers: Vec<(usize, String)>,
    /// The name of the cluster.
    pub cluster: String,
    /// The latest version of frames that it uses.
    pub latest_version: u8,
    /// Offset of its clock, s.
    pub clock_offset_s: i64,
    /// Retention of commands that have ended, s.
    pub retention_s: u64,
    /// Time between probes, ms.
    pub probe_interval_ms: u64,
    /// The discovery that lists the nodes. `None`: the configuration file lists them.
    pub discovery: Option<SocketAddr>,
    /// Each new process takes over from the one before it: it shares its listening socket, and a hand-over
    /// directory of this broker.
    pub hot_restart: bool,
}

struct Broker {
    settings: BrokerSettings,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    client_address: SocketAddr,
    process: Option<Process>,
    /// The listening socket that old and new processes share.
    shared_listener: Option<TcpListener>,
    /// Processes before the current one that may still run.
    old_processes: Vec<Process>,
    /// The log lines of processes that have ended.
    ended_log_lines: Vec<String>,
}

/// A command that was answered with SUCCESS: the name it applies to, whether it takes that out of use, and
/// the broker.
type Acknowledged = (String, bool, usize);

/// A cluster of broker processes. Brokers are named by their number, from 0.
pub struct ProcessCluster {
    program: PathBuf,
    pub script: NodeScript,
    nodes: Vec<SocketAddr>,
    brokers: Vec<Broker>,
    pub links: Links,
    tmp: tempfile::TempDir,
    addresses: AddressPool,
    /// Acknowledged commands, in this order.
    pub acknowledged: Vec<Acknowledged>,
}

/// Addresses of one cluster: on loopback addresses of its own and outside the range of ephemeral ports, so
/// that no connection of another test takes one of them before its broker does.
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

/// The name of a broker.
pub fn name(n: usize) -> String {
    format!("b-{n}")
}

impl ProcessCluster {
    /// `brokers` brokers that all list each other; none is started.
    pub fn new(program: impl AsRef<Path>, brokers: usize, seed: u64) -> ProcessCluster {
        let script = NodeScript::default();
        let nodes: Vec<SocketAddr> = (0..3).map(|n| node(WireProtocol::Sru, n, script.clone())).collect();
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

    /// Like [`ProcessCluster::new`], with all brokers started and joined.
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

    /// The configuration for the next start of a broker.
    pub fn settings_mut(&mut self, n: usize) -> &mut BrokerSettings {
        &mut self.brokers[n].settings
    }

    /// The directory in which a broker stores the facts of the cluster.
    pub fn state_dir(&self, n: usize) -> PathBuf {
        self.tmp.path().join(format!("keep-{n}"))
    }

    /// Writes the configuration file of a broker.
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

    /// Starts a broker, and waits until its admin endpoint answers.
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
        until("the admin endpoint answers", || process.admin_request("STATUS").starts_with("SUCCESS"));
        if let Some(old) = self.brokers[n].process.replace(process) {
            self.brokers[n].old_processes.push(old);
        }
    }

    /// Waits until the processes before the current one have exited by themselves.
    pub fn wait_for_old_processes(&mut self, n: usize) {
        for mut old in std::mem::take(&mut self.brokers[n].old_processes) {
            old.wait_for_exit();
            self.brokers[n].ended_log_lines.extend(old.log_lines());
        }
    }

    /// Writes the configuration file of a broker and sends it SIGHUP to reload it.
    pub fn reload(&self, n: usize) {
        self.write_config(n);
        self.process(n).signal("-HUP");
    }

    /// The address at which a broker serves clients.
    pub fn client_address(&self, n: usize) -> SocketAddr {
        self.brokers[n].client_address
    }

    /// The address of its admin endpoint.
    pub fn admin_address(&self, n: usize) -> SocketAddr {
        self.brokers[n].admin_address
    }

    /// Processor time that a broker has used, in clock ticks of the system.
    pub fn cpu_ticks(&self, n: usize) -> u64 {
        self.process(n).cpu_ticks()
    }

    /// The address at which it listens for its peers.
    pub fn peer_address(&self, n: usize) -> SocketAddr {
        self.brokers[n].peer_address
    }

    /// The stand-in nodes.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    fn process(&self, n: usize) -> &Process {
        self.brokers[n].process.as_ref().expect("the broker runs")
    }

    pub fn is_running(&self, n: usize) -> bool {
        self.brokers[n].process.is_some()
    }

    /// Kills a broker with SIGKILL.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut process) = self.brokers[n].process.take() {
            process.kill();
            self.brokers[n].ended_log_lines.extend(process.log_lines());
        }
    }

    /// Stops the process of a broker with SIGSTOP, or continues it.
    pub fn set_stopped(&self, n: usize, stopped: bool) {
        self.process(n).signal(if stopped { "-STOP" } else { "-CONT" });
    }

    /// Copies the files in a broker's state directory.
    pub fn copy_disk(&self, n: usize) -> BTreeMap<String, Vec<u8>> {
        let files: Vec<std::fs::DirEntry> = std::fs::read_dir(self.state_dir(n))
            .map(|d| d.filter_map(Result::ok).collect())
            .unwrap_or_default();
        files
            .iter()
            .filter_map(|f| Some((f.file_name().into_string().ok()?, std::fs::read(f.path()).ok()?)))
            .collect()
    }

    /// Replaces the files in the state directory of a broker that does not run.
    pub fn set_disk(&self, n: usize, files: &BTreeMap<String, Vec<u8>>) {
        assert!(!self.is_running(n));
        let _ = std::fs::remove_dir_all(self.state_dir(n));
        std::fs::create_dir_all(self.state_dir(n)).unwrap();
        for (name, bytes) in files {
            std::fs::write(self.state_dir(n).join(name), bytes).unwrap();
        }
    }

    // ---- requests to the admin endpoint ----

    /// Sends one request line, and returns the answer.
    pub fn call(&self, n: usize, line: &str) -> String {
        self.process(n).admin_request(line)
    }

    /// Sends an operator's command. Returns whether it was answered with SUCCESS; if so, it is added to the
    /// acknowledged commands.
    pub fn try_command(&mut self, n: usize, line: &str) -> bool {
        let answer = self.call(n, line);
        let accepted = answer.starts_with("SUCCESS");
        if accepted {
            let mut tokens = line.split(' ');
            let (verb, id) = (tokens.next().unwrap(), tokens.next().unwrap_or_default().to_owned());
            let out = matches!(verb, "SUSPEND" | "PAUSE" | "REMOVE");
            self.acknowledged.push((id, out, n));
        }
        accepted
    }

    /// Repeats an operator's command until it is answered with SUCCESS. Panics if the broker stops answering
    /// first.
    pub fn run_command(&mut self, n: usize, line: &str) {
        let mut accepted = false;
        until(line, || {
            accepted = self.try_command(n, line);
            accepted || !self.call(n, "STATUS").starts_with("SUCCESS")
        });
        assert!(accepted, "{line}");
    }

    /// Sends one request line, and returns the answer as JSON.
    pub fn json(&self, n: usize, line: &str) -> Value {
        let answer = self.call(n, line);
        let text = answer.strip_suffix("\nEOT\n").unwrap_or_else(|| panic!("{line}: {answer:?}"));
        serde_json::from_str(text).unwrap()
    }

    /// The keys of which a broker's own store has a suspension, pause or removal in force, as its answers
    /// name them.
    pub fn keys_in_force(&self, n: usize) -> BTreeSet<String> {
        let state = self.json(n, "STATE");
        let keys = state["first"].as_array().cloned().unwrap_or_default();
        keys.iter().filter(|k| k["out"] == true).map(|k| k["of"].as_str().unwrap().to_owned()).collect()
    }

    /// How many peers a broker considers up.
    pub fn peers_up(&self, n: usize) -> usize {
        let peers = self.json(n, "PEERS");
        peers["peers"].as_array().unwrap().iter().filter(|p| p["is"] == "up").count()
    }

    /// The broker's own sync status, as it reports it.
    pub fn readiness(&self, n: usize) -> String {
        self.json(n, "PEERS")["standing"].as_str().unwrap().to_owned()
    }

    /// How many messages of peers a broker dropped for reasons that contain this text.
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

    /// Waits until all running brokers see each other up and have caught up.
    pub fn wait_until_joined(&self) {
        let all = self.running_brokers();
        until("all brokers see each other up and have caught up", || {
            all.iter().all(|n| self.peers_up(*n) + 1 >= all.len() && self.readiness(*n) == "caught up")
        });
    }

    /// Waits until the key is in force, or not, at all running brokers.
    pub fn wait_until_everywhere(&self, key: &str, in_force: bool) {
        until(&format!("{key} in force at all brokers: {in_force}"), || {
            self.running_brokers().iter().all(|n| self.keys_in_force(*n).contains(key) == in_force)
        });
    }

    /// Ends all faults, starts the brokers that do not run, and waits until all copies are equal and on disk.
    /// Returns their digest.
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
            assert!(start.elapsed() < HANG_TIMEOUT, "copies did not become equal: {}", self.describe());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The state of each broker and its last log lines, for the message of a failing test.
    fn describe(&self) -> String {
        let state = |n: usize| {
            let lines = self.log_lines(n);
            let last = lines[lines.len().saturating_sub(MAX_SHOWN_LINES)..].join("\n");
            format!("\nbroker {n}: {}\n{}\n{last}", self.json(n, "STATE"), self.json(n, "PEERS"))
        };
        (0..self.len()).map(state).collect()
    }

    // ---- invariants ----

    /// All log lines of a broker, including those of its processes that have ended.
    pub fn log_lines(&self, n: usize) -> Vec<String> {
        let mut lines = self.brokers[n].ended_log_lines.clone();
        lines.extend(self.brokers[n].process.iter().flat_map(Process::log_lines));
        lines
    }

    /// Whether a broker has logged a line that contains this text.
    pub fn has_logged(&self, n: usize, text: &str) -> bool {
        self.log_lines(n).iter().any(|l| l.contains(text))
    }

    /// The commands in the logs. Each log is read by its own thread: the line of the broker that accepted a
    /// command may be read after those of the brokers that were notified of it, and is waited for.
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

    /// Checks invariants over the logs and answers of all brokers, once all copies are equal.
    pub fn check_invariants(&self) {
        let logged = self.logged_commands();
        // Every command that a broker was notified of was given to some broker.
        if let Some((n, stamp, text)) = logged.unknown().next() {
            panic!("broker {n} was notified of command {stamp}, which no broker accepted: {text}");
        }
        // Something is in force at the end if every acknowledged command on it put it in force. With commands
        // of both kinds, concurrent ones may be in conflict.
        let out = self.keys_in_force(0);
        for (id, _, _) in &self.acknowledged {
            let values: Vec<bool> =
                self.acknowledged.iter().filter(|(i, ..)| i == id).map(|(_, o, _)| *o).collect();
            let in_force = out.iter().any(|of| of.ends_with(&format!(" {id}")));
            if values.iter().all(|o| *o) {
                assert!(in_force, "{id}: all acknowledged commands take it out of use, and it is in use");
            }
        }
        // The facts on disk are those in the answers.
        for n in 0..self.len() {
            let shown = Command::new(&self.program)
                .args(["state", "show", "--json"])
                .arg(self.state_dir(n))
                .output()
                .unwrap();
            let shown: Value = serde_json::from_slice(&shown.stdout).unwrap_or_default();
            assert_eq!(shown["digest"], self.json(n, "STATE")["digest"], "digest of the disk of broker {n}");
        }
    }
}

/// Clients of one broker that send queries in a loop. Each query is expected to get one complete answer.
pub struct Clients {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `clients` clients of broker `n`.
    pub fn start(cluster: &ProcessCluster, n: usize, clients: usize) -> Clients {
        let (stop, served, failed): (Arc<AtomicBool>, Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let address = cluster.brokers[n].client_address;
        let one = |_| {
            let (stop, served, failed) = (stop.clone(), served.clone(), failed.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let complete = search_over_sru(address).is_ok_and(|a| a.starts_with("HTTP/1.1 200"));
                    if complete { &served } else { &failed }.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(5));
                }
            })
        };
        let threads = (0..clients).map(one).collect();
        Clients { stop, served, failed, threads }
    }

    /// Waits until `queries` more queries are answered completely.
    pub fn wait_for_more(&self, queries: u64) {
        let from = self.served.load(Ordering::Relaxed);
        until("queries are answered", || self.served.load(Ordering::Relaxed) >= from + queries);
    }

    /// Queries answered completely so far.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Stops the clients without checking their answers.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| drop(t.join()));
    }

    /// Stops the clients. Panics if any query failed. Returns how many were answered completely.
    pub fn stop_and_check(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        assert_eq!(self.failed.load(Ordering::Relaxed), 0, "queries without a complete answer");
        self.served.load(Ordering::Relaxed)
    }
}
