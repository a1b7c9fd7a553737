//! A bed of several processes of the real program that form a cluster: stand-in nodes behind them, links with faults
//! between them, clients before them, and a judge over all that they wrote and answered.

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

/// How long a line that a broker wrote may take until the thread that reads its log has it.
const LOG_DELAY: Duration = Duration::from_secs(10);
/// Last lines of a log that are shown of each broker when a test fails.
const MAX_SHOWN_LINES: usize = 40;

/// How a broker of the bed is started.
#[derive(Clone, Debug)]
pub struct Told {
    /// The name in its file.
    pub name: String,
    /// The peers in its file, by number, with the names that it knows them by.
    pub peers: Vec<(usize, String)>,
    /// The cluster's name.
    pub cluster: String,
    /// The latest version of frames.
    pub speak: u8,
    /// Seconds by which its clock is off.
    pub clock_off: i64,
    /// Seconds for which words that have ended are kept.
    pub keep_words_s: u64,
    /// Time between probes.
    pub probe_ms: u64,
    /// A discovery that names the nodes, in place of its file.
    pub discovery: Option<SocketAddr>,
    /// New processes take over from old ones: at the same door, over this directory of their own.
    pub hands_over: bool,
}

struct Broker {
    told: Told,
    cluster: SocketAddr,
    ops: SocketAddr,
    clients: SocketAddr,
    process: Option<Process>,
    /// The socket that old and new processes share.
    door: Option<TcpListener>,
    /// Processes before the present one.
    old: Vec<Process>,
    /// What processes that have ended wrote.
    history: Vec<String>,
}

/// A word that was answered with SUCCESS: the thing, whether it is out, and the broker.
type Acknowledged = (String, bool, usize);

/// The bed.
pub struct Bed {
    program: PathBuf,
    pub script: NodeScript,
    nodes: Vec<SocketAddr>,
    brokers: Vec<Broker>,
    pub links: Links,
    tmp: tempfile::TempDir,
    own: Own,
    /// In the order in which they were given.
    pub acknowledged: Vec<Acknowledged>,
}

/// Addresses of this bed's own: on loopback, and nowhere that the system gives out ports by itself, so that no connection
/// of another test can have taken one of them before its broker does.
struct Own {
    ip: [u8; 4],
    next: u16,
}

impl Own {
    fn new() -> Own {
        static BEDS: AtomicU64 = AtomicU64::new(0);
        let bed = BEDS.fetch_add(1, Ordering::Relaxed) as u8;
        Own { ip: [127, 64 + (std::process::id() % 128) as u8, bed, 1], next: 7000 }
    }

    fn address(&mut self) -> SocketAddr {
        self.next += 1;
        SocketAddr::from((self.ip, self.next))
    }
}

pub fn name(n: usize) -> String {
    format!("b-{n}")
}

impl Bed {
    /// So many brokers that all list each other; none is started.
    pub fn new(program: impl AsRef<Path>, brokers: usize, seed: u64) -> Bed {
        let script = NodeScript::default();
        let nodes: Vec<SocketAddr> = (0..3).map(|n| node(WireProtocol::Sru, n, script.clone())).collect();
        let mut own = Own::new();
        let broker = |n: usize| Broker {
            told: Told {
                name: name(n),
                peers: (0..brokers).filter(|p| *p != n).map(|p| (p, name(p))).collect(),
                cluster: "bed".into(),
                speak: 2,
                clock_off: 0,
                keep_words_s: 86_400,
                probe_ms: 100,
                discovery: None,
                hands_over: false,
            },
            cluster: own.address(),
            ops: own.address(),
            clients: own.address(),
            process: None,
            door: None,
            old: Vec::new(),
            history: Vec::new(),
        };
        let brokers: Vec<Broker> = (0..brokers).map(broker).collect();
        let real: Vec<SocketAddr> = brokers.iter().map(|b| b.cluster).collect();
        let links = Links::between(&real, seed);
        let (program, tmp) = (program.as_ref().to_owned(), tempfile::tempdir().unwrap());
        Bed { program, script, nodes, brokers, links, tmp, own, acknowledged: Vec::new() }
    }

    /// The same, all started, and all know each other.
    pub fn started(program: impl AsRef<Path>, brokers: usize, seed: u64) -> Bed {
        let mut bed = Bed::new(program, brokers, seed);
        (0..brokers).for_each(|n| bed.start(n));
        bed.meet();
        bed
    }

    pub fn len(&self) -> usize {
        self.brokers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.brokers.is_empty()
    }

    /// For its next start.
    pub fn told(&mut self, n: usize) -> &mut Told {
        &mut self.brokers[n].told
    }

    /// The directory in which it keeps the cluster's facts.
    pub fn dir(&self, n: usize) -> PathBuf {
        self.tmp.path().join(format!("keep-{n}"))
    }

    fn file(&self, n: usize) -> PathBuf {
        let b = &self.brokers[n];
        let t = &b.told;
        let hand_over =
            t.hands_over.then(|| format!("hand_over = {:?}\n", self.tmp.path().join(format!("hand-{n}"))));
        let descriptor = if t.hands_over { "descriptor = 4\n" } else { "" };
        let hand_over = hand_over.unwrap_or_default();
        let mut text = format!(
            "name = {:?}\nzone = \"a\"\n[operation]\nlisten = \"{}\"\n{}[partitions]\ncount = 3\ncells = 3\nholders = 2\n\
             database = \"part-{{partition}}\"\n[[class]]\nname = \"c\"\naim_ms = 8000\ndeadline_ms = 20000\n\
             [[database]]\nname = \"scores\"\nclass = \"c\"\n[[listener]]\nprotocol = \"sru\"\nlisten = \"{}\"\n{}\
             [cluster]\nname = {:?}\nlisten = \"{}\"\nkeep = {:?}\nprobe_ms = {}\nspeak = {}\nkeep_words_s = {}\n",
            t.name,
            b.ops,
            hand_over,
            b.clients,
            descriptor,
            t.cluster,
            b.cluster,
            self.dir(n),
            t.probe_ms,
            t.speak,
            t.keep_words_s
        );
        for (peer, called) in &t.peers {
            text += &format!("[[peer]]\nname = {called:?}\naddress = \"{}\"\n", self.links.address(n, *peer));
        }
        if let Some(discovery) = t.discovery {
            text += &format!("[membership]\ndiscovery = \"{discovery}\"\n");
        }
        for (cell, at) in self.nodes.iter().enumerate().filter(|_| t.discovery.is_none()) {
            text += &format!(
                "[[node]]\nid = \"n-{cell}\"\nprotocol = \"sru\"\naddress = \"{at}\"\nzone = \"a\"\ncell = {cell}\n"
            );
        }
        let path = self.tmp.path().join(format!("{n}.toml"));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts a broker, and waits until it answers calls.
    pub fn start(&mut self, n: usize) {
        let mut command = Command::new("sh");
        if self.brokers[n].told.hands_over {
            let door = self.brokers[n].door.get_or_insert_with(|| TcpListener::bind("127.0.0.1:0").unwrap());
            self.brokers[n].clients = door.local_addr().unwrap();
            self.brokers[n].ops = self.own.address();
            let door = OwnedFd::from(self.brokers[n].door.as_ref().unwrap().try_clone().unwrap());
            command
                .stdin(Stdio::from(door))
                .args(["-c", "exec \"$0\" \"$@\" 4<&0 0</dev/null"])
                .arg(&self.program);
        } else {
            command = Command::new(&self.program);
        }
        command.args(["--log-format", "json", "--clock-off", &self.brokers[n].told.clock_off.to_string()]);
        command.args(["serve", "catalogue"]).arg(self.file(n));
        let process = Process::spawn(&mut command, self.brokers[n].ops);
        until("it answers calls", || process.admin_request("STATUS").starts_with("SUCCESS"));
        if let Some(old) = self.brokers[n].process.replace(process) {
            self.brokers[n].old.push(old);
        }
    }

    /// Waits until the processes before the present one have ended by themselves.
    pub fn old_ones_end(&mut self, n: usize) {
        for mut old in std::mem::take(&mut self.brokers[n].old) {
            old.wait_for_exit();
            self.brokers[n].history.extend(old.log_lines());
        }
    }

    /// Has a broker read its file again, as it is told now.
    pub fn reload(&self, n: usize) {
        self.file(n);
        self.process(n).signal("-HUP");
    }

    /// Where its clients come.
    pub fn clients(&self, n: usize) -> SocketAddr {
        self.brokers[n].clients
    }

    /// Its second address.
    pub fn ops(&self, n: usize) -> SocketAddr {
        self.brokers[n].ops
    }

    /// Processor time that a broker has used, in the system's ticks.
    pub fn cpu_ticks(&self, n: usize) -> u64 {
        self.process(n).cpu_ticks()
    }

    /// Where its peers' words come to it.
    pub fn cluster(&self, n: usize) -> SocketAddr {
        self.brokers[n].cluster
    }

    /// The stand-in nodes.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    fn process(&self, n: usize) -> &Process {
        self.brokers[n].process.as_ref().expect("it runs")
    }

    pub fn runs(&self, n: usize) -> bool {
        self.brokers[n].process.is_some()
    }

    /// Kills a broker outright.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut process) = self.brokers[n].process.take() {
            process.kill();
            self.brokers[n].history.extend(process.log_lines());
        }
    }

    /// Stops a broker where it stands, or lets it go on.
    pub fn stop(&self, n: usize, stop: bool) {
        self.process(n).signal(if stop { "-STOP" } else { "-CONT" });
    }

    /// Copies a broker's disk as it is now.
    pub fn copy_disk(&self, n: usize) -> BTreeMap<String, Vec<u8>> {
        let files: Vec<std::fs::DirEntry> =
            std::fs::read_dir(self.dir(n)).map(|d| d.filter_map(Result::ok).collect()).unwrap_or_default();
        files
            .iter()
            .filter_map(|f| Some((f.file_name().into_string().ok()?, std::fs::read(f.path()).ok()?)))
            .collect()
    }

    /// Sets the disk of a broker that does not run.
    pub fn set_disk(&self, n: usize, files: &BTreeMap<String, Vec<u8>>) {
        assert!(!self.runs(n));
        let _ = std::fs::remove_dir_all(self.dir(n));
        std::fs::create_dir_all(self.dir(n)).unwrap();
        for (name, bytes) in files {
            std::fs::write(self.dir(n).join(name), bytes).unwrap();
        }
    }

    // ---- calls ----

    /// One call.
    pub fn call(&self, n: usize, line: &str) -> String {
        self.process(n).admin_request(line)
    }

    /// A word by hand; what is answered with SUCCESS counts as promised.
    pub fn word(&mut self, n: usize, line: &str) -> bool {
        let answer = self.call(n, line);
        let yes = answer.starts_with("SUCCESS");
        if yes {
            let mut words = line.split(' ');
            let (what, id) = (words.next().unwrap(), words.next().unwrap_or_default().to_owned());
            let out = matches!(what, "SUSPEND" | "PAUSE" | "REMOVE");
            self.acknowledged.push((id, out, n));
        }
        yes
    }

    /// The same, which must be answered with SUCCESS.
    pub fn must(&mut self, n: usize, line: &str) {
        let mut yes = false;
        until(line, || {
            yes = self.word(n, line);
            yes || !self.call(n, "STATUS").starts_with("SUCCESS")
        });
        assert!(yes, "{line}");
    }

    pub fn json(&self, n: usize, line: &str) -> Value {
        let answer = self.call(n, line);
        let text = answer.strip_suffix("\nEOT\n").unwrap_or_else(|| panic!("{line}: {answer:?}"));
        serde_json::from_str(text).unwrap()
    }

    /// Servers, pauses and the like that are out by a broker's own word, by what they are called in answers.
    pub fn out(&self, n: usize) -> BTreeSet<String> {
        let state = self.json(n, "STATE");
        let things = state["first"].as_array().cloned().unwrap_or_default();
        things.iter().filter(|t| t["out"] == true).map(|t| t["of"].as_str().unwrap().to_owned()).collect()
    }

    /// How many peers a broker takes for up.
    pub fn up(&self, n: usize) -> usize {
        let peers = self.json(n, "PEERS");
        peers["peers"].as_array().unwrap().iter().filter(|p| p["is"] == "up").count()
    }

    pub fn standing(&self, n: usize) -> String {
        self.json(n, "PEERS")["standing"].as_str().unwrap().to_owned()
    }

    /// How often something was not listened to, for this reason.
    pub fn dropped(&self, n: usize, why: &str) -> u64 {
        let peers = self.json(n, "PEERS");
        peers["dropped"]
            .as_object()
            .unwrap()
            .iter()
            .filter(|(k, _)| k.contains(why))
            .map(|(_, v)| v.as_u64().unwrap())
            .sum()
    }

    fn running(&self) -> Vec<usize> {
        (0..self.len()).filter(|n| self.runs(*n)).collect()
    }

    /// Waits until all that run have met.
    pub fn meet(&self) {
        let all = self.running();
        until("all brokers know each other", || {
            all.iter().all(|n| self.up(*n) + 1 >= all.len() && self.standing(*n) == "caught up")
        });
    }

    /// Waits until all that run have this out, or not.
    pub fn everywhere(&self, of: &str, out: bool) {
        until(&format!("{of} is {out} everywhere"), || {
            self.running().iter().all(|n| self.out(*n).contains(of) == out)
        });
    }

    /// All faults end and all brokers run; waits until all copies are equal.
    pub fn settle(&mut self) -> Value {
        self.links.all(Fault::default());
        for n in 0..self.len() {
            if !self.runs(n) {
                self.start(n);
            }
        }
        let digest = |n: usize| {
            let state = self.json(n, "STATE");
            (state["digest"].clone(), state["standing"] == "caught up" && state["on_disk"] == true)
        };
        let begun = Instant::now();
        loop {
            let all: Vec<(Value, bool)> = (0..self.len()).map(digest).collect();
            if all.iter().all(|(d, sound)| *sound && *d == all[0].0) {
                return all[0].0.clone();
            }
            assert!(begun.elapsed() < HANG_TIMEOUT, "copies never were equal: {}", self.states());
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The state of each broker and its last lines, for a test that fails.
    fn states(&self) -> String {
        let state = |n: usize| {
            let lines = self.lines(n);
            let last = lines[lines.len().saturating_sub(MAX_SHOWN_LINES)..].join("\n");
            format!("\nbroker {n}: {}\n{}\n{last}", self.json(n, "STATE"), self.json(n, "PEERS"))
        };
        (0..self.len()).map(state).collect()
    }

    // ---- the judge ----

    /// All lines that a broker has written.
    pub fn lines(&self, n: usize) -> Vec<String> {
        let mut lines = self.brokers[n].history.clone();
        lines.extend(self.brokers[n].process.iter().flat_map(Process::log_lines));
        lines
    }

    pub fn said(&self, n: usize, word: &str) -> bool {
        self.lines(n).iter().any(|l| l.contains(word))
    }

    /// What the logs say of commands. A log is read by a thread of its own: the line of whoever gave a command may come
    /// after those of the brokers that were notified of it, and is waited for.
    fn logged_commands(&self) -> LoggedCommands {
        let start = Instant::now();
        loop {
            let logged = LoggedCommands::read((0..self.len()).map(|n| self.lines(n)));
            if logged.unknown().next().is_none() || start.elapsed() >= LOG_DELAY {
                return logged;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Looks over all that was written and answered: to be asked when all copies are equal.
    pub fn judge(&self) {
        let logged = self.logged_commands();
        // No fact is invented.
        if let Some((n, stamp, text)) = logged.unknown().next() {
            panic!("{n} was told of {stamp}, which nobody said: {text}");
        }
        // What was acknowledged last, of each thing, at brokers that had heard of what was before, is what stands: a thing
        // whose last words are all one way stands that way, one with words of both ways may be in conflict.
        let out = self.out(0);
        for (id, _, _) in &self.acknowledged {
            let words: Vec<bool> =
                self.acknowledged.iter().filter(|(i, ..)| i == id).map(|(_, o, _)| *o).collect();
            let stands = out.iter().any(|of| of.ends_with(&format!(" {id}")));
            if words.iter().all(|o| *o) {
                assert!(stands, "{id} was taken out, was never put back, and is not out");
            }
        }
        // Disks and answers say the same.
        for n in 0..self.len() {
            let shown = Command::new(&self.program)
                .args(["state", "show", "--json"])
                .arg(self.dir(n))
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
    wrong: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn at(bed: &Bed, n: usize, clients: usize) -> Clients {
        let (stop, served, wrong): (Arc<AtomicBool>, Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let at = bed.brokers[n].clients;
        let one = |_| {
            let (stop, served, wrong) = (stop.clone(), served.clone(), wrong.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let whole = search_over_sru(at).is_ok_and(|a| a.starts_with("HTTP/1.1 200"));
                    if whole { &served } else { &wrong }.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(5));
                }
            })
        };
        let threads = (0..clients).map(one).collect();
        Clients { stop, served, wrong, threads }
    }

    /// Waits until so many more are served.
    pub fn more(&self, queries: u64) {
        let from = self.served.load(Ordering::Relaxed);
        until("clients are served", || self.served.load(Ordering::Relaxed) >= from + queries);
    }

    /// Queries answered whole so far.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::Relaxed)
    }

    /// Ends, whatever was answered.
    pub fn abandon(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| drop(t.join()));
    }

    /// Ends; none may have got anything but a whole answer.
    pub fn end(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        assert_eq!(self.wrong.load(Ordering::Relaxed), 0, "queries without a whole answer");
        self.served.load(Ordering::Relaxed)
    }
}
