//! Processes of the real program that share one listening address, each with its own admin address; clients,
//! discovery and stand-in shard servers for them. For tests and measurements.

use crate::directory::{Directory, endpoint};
use crate::standins::{NodeScript, WireProtocol, node, read_http};
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

/// Upper bound of every wait. It only catches hangs: no test depends on its value.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Default limits of a process: descriptors, and memory in MB.
pub const DEFAULT_LIMITS: (usize, usize) = (384, 48);

/// Waits until the condition holds.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < HANG_TIMEOUT, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Three shard servers in three cells, each shard on two of them, discovery, and the listening socket that
/// the processes inherit from the platform.
pub struct Site {
    program: PathBuf,
    pub script: NodeScript,
    pub directory: Directory,
    pub nodes: Vec<SocketAddr>,
    pub listener: TcpListener,
    pub tmp: tempfile::TempDir,
}

/// An address for a process to listen at. No connection is opened from its host, so none takes the port
/// before the process does.
fn unused_address() -> SocketAddr {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let [high, low, ..] = std::process::id().to_le_bytes();
    let host = HOSTS.fetch_add(1, Ordering::Relaxed);
    TcpListener::bind(SocketAddr::from(([127, 64 | high, low, host], 0))).unwrap().local_addr().unwrap()
}

impl Site {
    /// Prepares the servers for processes of the program at this path.
    pub fn new(program: impl AsRef<Path>) -> Site {
        let script = NodeScript::default();
        let nodes: Vec<SocketAddr> = (0..3).map(|n| node(WireProtocol::Http, n, script.clone())).collect();
        let endpoints = nodes
            .iter()
            .enumerate()
            .map(|(n, at)| endpoint(&format!("s-{n}"), *at, "", n as u32, NodeState::Ready));
        let directory = Directory::start(endpoints.collect());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (program, tmp) = (program.as_ref().to_owned(), tempfile::tempdir().unwrap());
        Site { program, script, directory, nodes, listener, tmp }
    }

    pub fn listen_addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    fn config(&self, admin_address: Option<SocketAddr>, (sockets, memory): (usize, usize)) -> PathBuf {
        let admin_setting = admin_address.map_or(String::new(), |addr| format!("\"ops\":\"{addr}\","));
        let text = format!(
            r#"{{"name":"b","listen":"{}","discovery":"{}",{admin_setting}"seed":"1f","limits":{{"sockets":{sockets},"memory_mb":{memory}}},
            "known":{{"version":0,"full":true,"servers":[]}},"settings":{{"areas":["a"],"my_zone":"a",
            "fleet_size":1,"tick_ns":2000000,"discovery":"on_request","request_classes":[{{"name":"c","goal_time_ns":8000000000,
            "deadline_ns":20000000000,"effect":"safe","worth":1.0}}],"ceilings":{{"cancel":true,"probes":false,"second_copies":true,
            "open_cap":5000,"try_limit":3,"retry_after":true,"max_retry_after_ns":2000000000}},"family_info":{{"min_share":[1],
            "need_by_class":[1],"positions":3,"slices":3,"span":2}},
            "rules":{{"must_ask_in_ns":1000000000,"extra_share":0.1,"budget_free":10,"counted_over_ns":10000000000,
            "cold_ns":1000000000,"cold_share":0.3,"fall_multiple":3,"tip_after_ns":1500000000}}}}}}"#,
            self.listen_addr(),
            self.directory.addr
        );
        let path =
            self.tmp.path().join(format!("config-{}.json", admin_address.map_or(0, |addr| addr.port())));
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Starts a process that inherits the listener as descriptor 4, and waits until it serves and has the
    /// endpoint list.
    pub fn start(&self) -> Process {
        let process = self.start_without_waiting();
        let start = Instant::now();
        while !process.admin_request("STATUS").starts_with("SUCCESS") {
            assert!(
                start.elapsed() < HANG_TIMEOUT,
                "the new process does not serve: {:?}",
                process.log_lines()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        until("the process has the endpoint list", || process.metrics()["pool_size"] == 3);
        process
    }

    /// Starts a process and returns at once.
    pub fn start_without_waiting(&self) -> Process {
        self.start_with_limits(DEFAULT_LIMITS)
    }

    /// Starts a process with these limits of descriptors and of memory in MB, and returns at once.
    pub fn start_with_limits(&self, (sockets, memory): (usize, usize)) -> Process {
        let admin_address = unused_address();
        let config = self.config(Some(admin_address), (sockets, memory));
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 4<&0 0</dev/null"]).arg(&self.program);
        command.env("GW_CONFIG", config).env("GW_INHERITED_FD", "4").env("TMPDIR", self.tmp.path());
        Process::start(&mut command, &self.listener, admin_address)
    }

    /// Starts a process with or without an admin address, and with or without hot restart, and waits until it
    /// has the endpoint list.
    pub fn start_with_options(&self, has_admin_address: bool, has_hot_restart: bool) -> Process {
        let unused = SocketAddr::from(([127, 0, 0, 1], 0));
        let admin_address = has_admin_address.then(unused_address);
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 4<&0 0</dev/null"]).arg(&self.program);
        command
            .env("GW_CONFIG", self.config(admin_address, DEFAULT_LIMITS))
            .env("GW_INHERITED_FD", "4")
            .env_remove("TMPDIR");
        if has_hot_restart {
            command.env("TMPDIR", self.tmp.path());
        }
        let process = Process::start(&mut command, &self.listener, admin_address.unwrap_or(unused));
        process.wait_for_log("endpoint list was merged version=1");
        process
    }
}

/// A process of the program; it is killed when this is dropped.
pub struct Process {
    child: Child,
    pub admin_address: SocketAddr,
    log_lines: Arc<Mutex<Vec<String>>>,
    /// Reads the log into `log_lines` until the process has ended.
    log_reader: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program that inherits the listener as its standard input.
    pub fn start(command: &mut Command, listener: &TcpListener, admin_address: SocketAddr) -> Process {
        let listener = OwnedFd::from(listener.try_clone().unwrap());
        Process::spawn(command.stdin(Stdio::from(listener)), admin_address)
    }

    /// Starts a program that has this admin address.
    pub fn spawn(command: &mut Command, admin_address: SocketAddr) -> Process {
        command.env_remove("PEBBLETURN_KEEP").env("PEBBLETURN_LOG", "info");
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let log_lines = Arc::new(Mutex::new(Vec::new()));
        let (written_lines, stderr) = (log_lines.clone(), child.stderr.take().unwrap());
        let log_reader = std::thread::spawn(move || {
            for l in BufReader::new(stderr).lines().map_while(Result::ok) {
                written_lines.lock().unwrap().push(l);
            }
        });
        Process { child, admin_address, log_lines, log_reader: Some(log_reader) }
    }

    /// Sends one request to the admin address and returns the response, which is empty if nothing listens
    /// there.
    pub fn admin_request(&self, line: &str) -> String {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.admin_address, HANG_TIMEOUT) else {
            return String::new();
        };
        let mut answer = String::new();
        let _ = stream.set_read_timeout(Some(HANG_TIMEOUT));
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
        answer
    }

    pub fn expect_success(&self, line: &str) {
        let answer = self.admin_request(line);
        assert!(answer.starts_with("SUCCESS") && answer.ends_with('\n'), "{line}: {answer:?}");
    }

    /// Sends a request that must succeed, with a status line or with metrics.
    pub fn expect_success_or_metrics(&self, line: &str) {
        let answer = self.admin_request(line);
        assert!(answer.starts_with("SUCCESS") || answer.ends_with("\nEOT\n"), "{line}: {answer:?}");
    }

    pub fn expect_failure(&self, line: &str) -> String {
        let answer = self.admin_request(line);
        assert!(answer.starts_with("FAILURE ") && answer.ends_with('\n'), "{line}: {answer:?}");
        answer
    }

    pub fn metrics(&self) -> serde_json::Value {
        let answer = self.admin_request("METRICS");
        let line = answer.strip_suffix("\nEOT\n").unwrap_or_else(|| panic!("{answer:?}"));
        serde_json::from_str(line).unwrap()
    }

    /// CPU time used so far, in clock ticks of the system.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Open descriptors; 0 once the process has ended.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// The log so far.
    pub fn log_lines(&self) -> Vec<String> {
        self.log_lines.lock().unwrap().clone()
    }

    pub fn has_logged(&self, text: &str) -> bool {
        self.log_lines.lock().unwrap().iter().any(|l| l.contains(text))
    }

    pub fn wait_for_log(&self, text: &str) {
        until(text, || self.has_logged(text));
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits until the process has exited with success.
    pub fn wait_for_exit(&mut self) {
        let child = &mut self.child;
        let mut status = None;
        until("the process exits", || {
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

    /// Waits until the log has been read to its end; the process must have ended.
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
    pub fn connect(addr: SocketAddr) -> Client {
        static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        Client { stream, number: NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed) << 32 }
    }

    /// The text of the next query.
    pub fn next_request(&mut self) -> String {
        self.number += 1;
        let body = r#"{"segments":[{"segment":0,"boost":0.4},{"segment":1,"boost":0.3},{"segment":2,"boost":0.3}],"text":"t"}"#;
        format!(
            "POST /api HTTP/1.1\r\nReq-Id: {:016x}\r\nReq-Kind: c\r\nReq-Deadline: 20000m\r\nContent-Length: {}\r\n\r\n{body}",
            self.number,
            body.len()
        )
    }

    pub fn send(&mut self) -> std::io::Result<()> {
        let request = self.next_request();
        self.stream.write_all(request.as_bytes())
    }

    /// Reads a response and returns its head; `None` if the connection is closed.
    pub fn read_response(&mut self) -> Option<String> {
        read_http(&mut self.stream).map(|(head, _)| head)
    }

    /// Sends a query and returns the head of the response.
    pub fn query(&mut self) -> Option<String> {
        self.send().ok()?;
        self.read_response()
    }

    /// Waits until the other side closes the connection; returns whether it sent nothing before.
    pub fn is_closed_without_response(mut self) -> bool {
        let mut rest = Vec::new();
        let _ = self.stream.shutdown(Shutdown::Write);
        matches!(self.stream.read_to_end(&mut rest), Ok(0) | Err(_))
    }
}

/// Whether the broker at this address reports that it is ready.
pub fn is_ready(addr: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream.write_all(b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n").unwrap();
    read_http(&mut stream).unwrap().0.starts_with("HTTP/1.1 200")
}

/// Clients that send queries in a closed loop, each as the platform's clients do: a client reuses its
/// connection for as long as it stays open, and opens a new one if it was closed while a request was on its
/// way.
pub struct Load {
    stop: Arc<AtomicBool>,
    complete: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    unanswered: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts this many clients.
    pub fn start(site: &Site, clients: usize) -> Load {
        let (stop, complete): (Arc<AtomicBool>, Arc<AtomicU64>) = Default::default();
        let (refused, unanswered): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let addr = site.listen_addr();
        let client_thread = |_| {
            let (stop, complete) = (stop.clone(), complete.clone());
            let (refused, unanswered) = (refused.clone(), unanswered.clone());
            std::thread::spawn(move || {
                let mut client = None;
                while !stop.load(Ordering::Relaxed) {
                    let mut c: Client = client.take().unwrap_or_else(|| Client::connect(addr));
                    match c.query() {
                        Some(head) => {
                            let count = if head.starts_with("HTTP/1.1 200") { &complete } else { &refused };
                            count.fetch_add(1, Ordering::Relaxed);
                            client = (!head.contains("Connection: close")).then_some(c);
                        }
                        None => drop(unanswered.fetch_add(1, Ordering::Relaxed)),
                    }
                    std::thread::sleep(std::time::Duration::from_millis(2));
                }
            })
        };
        let threads = (0..clients).map(client_thread).collect();
        Load { stop, complete, refused, unanswered, threads }
    }

    /// Complete answers so far.
    pub fn served(&self) -> u64 {
        self.complete.load(Ordering::Relaxed)
    }

    /// Waits until this many more queries have been served.
    pub fn wait_for_more(&self, queries: u64) {
        let from = self.served();
        until("the queries are served", || self.served() >= from + queries);
    }

    /// Responses so far that were not a complete answer.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Queries so far whose connection was closed without a response.
    pub fn unanswered(&self) -> u64 {
        self.unanswered.load(Ordering::Relaxed)
    }

    /// Stops the clients and returns the number of queries without a response.
    pub fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        for t in self.threads {
            t.join().unwrap();
        }
        self.unanswered.load(Ordering::Relaxed)
    }
}
