//! Processes of the real program at one address, with their second addresses; clients, discovery and stand-in shard
//! servers around them. For tests and measurements.

use crate::directory::{Directory, line};
use crate::standins::{Script, Wire, node, read_http};
use pebbleturn::membership::NodeState;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Only a hang is caught by this; no test leans on it.
pub const HANG: Duration = Duration::from_secs(60);

/// Descriptors and MB of memory of a process, unless it is told others.
pub const LIMITS: (usize, usize) = (384, 48);

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < HANG, "never came: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Three shard servers in three cells, two holders to a shard, discovery, and the address that the platform holds.
pub struct Site {
    program: PathBuf,
    pub script: Script,
    pub directory: Directory,
    pub nodes: Vec<SocketAddr>,
    pub door: TcpListener,
    pub tmp: tempfile::TempDir,
}

/// An address for a process to listen at. Its host is one that nothing dials from, so that no connection takes the port
/// before the process does.
fn unused_address() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let [high, low, ..] = std::process::id().to_le_bytes();
    let host = HOSTS.fetch_add(1, Ordering::Relaxed);
    TcpListener::bind(SocketAddr::from(([127, 64 | high, low, host], 0))).unwrap().local_addr().unwrap()
}

impl Site {
    /// Around the program at this path.
    pub fn new(program: impl AsRef<Path>) -> Site {
        let script = Script::default();
        let nodes: Vec<SocketAddr> = (0..3).map(|n| node(Wire::Http, n, script.clone())).collect();
        let listed = nodes
            .iter()
            .enumerate()
            .map(|(n, at)| line(&format!("s-{n}"), *at, "", n as u32, NodeState::Ready));
        let directory = Directory::start(listed.collect());
        let door = TcpListener::bind("127.0.0.1:0").unwrap();
        let (program, tmp) = (program.as_ref().to_owned(), tempfile::tempdir().unwrap());
        Site { program, script, directory, nodes, door, tmp }
    }

    pub fn door(&self) -> SocketAddr {
        self.door.local_addr().unwrap()
    }

    fn config(&self, ops: Option<SocketAddr>, (sockets, memory): (usize, usize)) -> PathBuf {
        let named = ops.map_or(String::new(), |ops| format!("\"ops\":\"{ops}\","));
        let text = format!(
            r#"{{"name":"b","listen":"{}","discovery":"{}",{named}"seed":"1f","limits":{{"sockets":{sockets},"memory_mb":{memory}}},
            "known":{{"version":0,"full":true,"servers":[]}},"settings":{{"areas":["a"],"my_zone":"a",
            "fleet_size":1,"tick_ns":2000000,"discovery":"on_request","request_classes":[{{"name":"c","goal_time_ns":8000000000,
            "deadline_ns":20000000000,"effect":"safe","worth":1.0}}],"ceilings":{{"cancel":true,"probes":false,"second_copies":true,
            "open_cap":5000,"try_limit":3,"retry_after":true,"max_retry_after_ns":2000000000}},"family_info":{{"min_share":[1],
            "need_by_class":[1],"positions":3,"slices":3,"span":2}},
            "rules":{{"must_ask_in_ns":1000000000,"extra_share":0.1,"budget_free":10,"counted_over_ns":10000000000,
            "cold_ns":1000000000,"cold_share":0.3,"fall_multiple":3,"tip_after_ns":1500000000}}}}}}"#,
            self.door(),
            self.directory.addr
        );
        let path = self.tmp.path().join(format!("config-{}.json", ops.map_or(0, |ops| ops.port())));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts a process that inherits the door as descriptor 4, and waits until it serves and knows the list.
    pub fn start(&self) -> Process {
        let process = self.begin();
        let start = Instant::now();
        while !process.call("STATUS").starts_with("SUCCESS") {
            assert!(start.elapsed() < HANG, "the new process does not serve: {:?}", process.lines());
            std::thread::sleep(Duration::from_millis(5));
        }
        until("it knows the list", || process.figures()["pool_size"] == 3);
        process
    }

    /// Starts a process and waits for nothing.
    pub fn begin(&self) -> Process {
        self.begin_within(LIMITS)
    }

    /// The same with so many descriptors and MB of memory.
    pub fn begin_within(&self, (sockets, memory): (usize, usize)) -> Process {
        let ops = unused_address();
        let config = self.config(Some(ops), (sockets, memory));
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 4<&0 0</dev/null"]).arg(&self.program);
        command.env("GW_CONFIG", config).env("GW_INHERITED_FD", "4").env("TMPDIR", self.tmp.path());
        Process::start(&mut command, &self.door, ops)
    }

    /// Starts a process with or without a second address, and with or without a hand-over; waits until it has the list.
    pub fn start_with(&self, operated: bool, hands_over: bool) -> Process {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let ops = operated.then(unused_address);
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 4<&0 0</dev/null"]).arg(&self.program);
        command.env("GW_CONFIG", self.config(ops, LIMITS)).env("GW_INHERITED_FD", "4").env_remove("TMPDIR");
        if hands_over {
            command.env("TMPDIR", self.tmp.path());
        }
        let process = Process::start(&mut command, &self.door, ops.unwrap_or(nowhere));
        process.wait("endpoint list was merged version=1");
        process
    }
}

/// A process of the program; it does not outlive its test.
pub struct Process {
    child: Child,
    pub ops: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    /// Reads the log into `lines` until the process has ended.
    log_reader: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program that finds the door as its standard input.
    pub fn start(command: &mut Command, door: &TcpListener, ops: SocketAddr) -> Process {
        let door = OwnedFd::from(door.try_clone().unwrap());
        Process::spawn(command.stdin(Stdio::from(door)), ops)
    }

    /// Starts a program that has its second address there.
    pub fn spawn(command: &mut Command, ops: SocketAddr) -> Process {
        command.env_remove("PEBBLETURN_KEEP").env("PEBBLETURN_LOG", "info");
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (said, stderr) = (lines.clone(), child.stderr.take().unwrap());
        let log_reader = std::thread::spawn(move || {
            for l in BufReader::new(stderr).lines().map_while(Result::ok) {
                said.lock().unwrap().push(l);
            }
        });
        Process { child, ops, lines, log_reader: Some(log_reader) }
    }

    /// One call at the second address; empty where nobody answers.
    pub fn call(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ops, HANG) else { return String::new() };
        let mut answer = String::new();
        let _ = stream.set_read_timeout(Some(HANG));
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
        answer
    }

    pub fn says_yes(&self, line: &str) {
        let answer = self.call(line);
        assert!(answer.starts_with("SUCCESS") && answer.ends_with('\n'), "{line}: {answer:?}");
    }

    /// A call that must be answered with a yes or with figures.
    pub fn says_yes_or_figures(&self, line: &str) {
        let answer = self.call(line);
        assert!(answer.starts_with("SUCCESS") || answer.ends_with("\nEOT\n"), "{line}: {answer:?}");
    }

    pub fn says_no(&self, line: &str) -> String {
        let answer = self.call(line);
        assert!(answer.starts_with("FAILURE ") && answer.ends_with('\n'), "{line}: {answer:?}");
        answer
    }

    pub fn figures(&self) -> serde_json::Value {
        let answer = self.call("METRICS");
        let line = answer.strip_suffix("\nEOT\n").unwrap_or_else(|| panic!("{answer:?}"));
        serde_json::from_str(line).unwrap()
    }

    /// Processor time that it has used, in the system's ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Descriptors that it holds; 0 once it has ended.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// All that it wrote so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    pub fn said(&self, word: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|l| l.contains(word))
    }

    pub fn wait(&self, word: &str) {
        until(word, || self.said(word));
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for its orderly end.
    pub fn ends(&mut self) {
        let child = &mut self.child;
        let mut status = None;
        until("the process ends", || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        self.finish_log();
        assert!(status.unwrap().success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.finish_log();
    }

    /// Waits until all that the process wrote before its end is read.
    fn finish_log(&mut self) {
        if let Some(log_reader) = self.log_reader.take() {
            let _ = log_reader.join();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    number: u64,
}

impl Client {
    pub fn connect(door: SocketAddr) -> Client {
        static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
        let stream = TcpStream::connect(door).unwrap();
        stream.set_read_timeout(Some(HANG)).unwrap();
        Client { stream, number: NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed) << 32 }
    }

    /// The text of the next query.
    pub fn request(&mut self) -> String {
        self.number += 1;
        let body = r#"{"segments":[{"segment":0,"boost":0.4},{"segment":1,"boost":0.3},{"segment":2,"boost":0.3}],"text":"t"}"#;
        format!(
            "POST /api HTTP/1.1\r\nReq-Id: {:016x}\r\nReq-Kind: c\r\nReq-Deadline: 20000m\r\nContent-Length: {}\r\n\r\n{body}",
            self.number,
            body.len()
        )
    }

    pub fn send(&mut self) -> std::io::Result<()> {
        let request = self.request();
        self.stream.write_all(request.as_bytes())
    }

    /// The next answer's head; none once the connection has ended.
    pub fn answer(&mut self) -> Option<String> {
        read_http(&mut self.stream).map(|(head, _)| head)
    }

    /// Asks, and gives the answer's head.
    pub fn ask(&mut self) -> Option<String> {
        self.send().ok()?;
        self.answer()
    }

    /// Waits until the other side has ended the connection without a word.
    pub fn ends_unasked(mut self) -> bool {
        let mut rest = Vec::new();
        let _ = self.stream.shutdown(Shutdown::Write);
        matches!(self.stream.read_to_end(&mut rest), Ok(0) | Err(_))
    }
}

/// Whether the broker behind the door says that it is ready.
pub fn ready(door: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(door).unwrap();
    stream.set_read_timeout(Some(HANG)).unwrap();
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
    read_http(&mut stream).unwrap().0.starts_with("HTTP/1.1 200")
}

/// Clients that ask without end, each as the platform's clients do: they use a connection for as long as it stays open,
/// and ask once more on a new one where a close crossed their request.
pub struct Load {
    stop: Arc<AtomicBool>,
    whole: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    at_the_door: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// So many clients.
    pub fn start(site: &Site, clients: usize) -> Load {
        let (stop, whole): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let (refused, at_the_door): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let door = site.door();
        let one = |_| {
            let (stop, whole) = (stop.clone(), whole.clone());
            let (refused, at_the_door) = (refused.clone(), at_the_door.clone());
            std::thread::spawn(move || {
                let mut client = None;
                while !stop.load(Ordering::Relaxed) {
                    let mut c: Client = client.take().unwrap_or_else(|| Client::connect(door));
                    match c.ask() {
                        Some(head) => {
                            let count = if head.starts_with("HTTP/1.1 200") { &whole } else { &refused };
                            count.fetch_add(1, Ordering::Relaxed);
                            client = (!head.contains("Connection: close")).then_some(c);
                        }
                        None => drop(at_the_door.fetch_add(1, Ordering::Relaxed)),
                    }
                    std::thread::sleep(std::time::Duration::from_millis(2));
                }
            })
        };
        let threads = (0..clients).map(one).collect();
        Load { stop, whole, refused, at_the_door, threads }
    }

    /// Queries answered whole.
    pub fn served(&self) -> u64 {
        self.whole.load(Ordering::Relaxed)
    }

    /// Waits until so many more are served.
    pub fn more(&self, queries: u64) {
        let from = self.served();
        until("clients are served", || self.served() >= from + queries);
    }

    /// Queries answered otherwise than whole so far.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Queries that ended at the door so far.
    pub fn lost(&self) -> u64 {
        self.at_the_door.load(Ordering::Relaxed)
    }

    /// Stops; gives the number of queries that ended at the door.
    pub fn end(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        for t in self.threads {
            t.join().unwrap();
        }
        self.at_the_door.load(Ordering::Relaxed)
    }
}
