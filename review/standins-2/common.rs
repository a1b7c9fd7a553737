//! What all cases share: the record, the broker as a process, a small HTTP client.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    CannotRun(String),
}

/// The record of one run: lines with the milliseconds since its start.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::new(Vec::new()) })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl Into<String>) {
        self.note_at(self.now(), line);
    }

    pub fn note_at(&self, at: u64, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines.iter().map(|(at, line)| format!("{at:>7} ms  {line}\n")).collect();
        let _ = fs::write(path, text);
    }
}

/// One run of a case.
pub struct Run {
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// A temporary folder, removed at the end.
    pub tmp: PathBuf,
    /// The command `run` of the deploy file.
    pub command: String,
}

impl Run {
    /// Starts the broker with the command of the deploy file and these arguments and variables.
    pub fn broker(
        &self,
        name: &str,
        arguments: &str,
        variables: &[(&str, String)],
    ) -> Result<Broker, String> {
        let log = fs::File::create(self.tmp.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{}{arguments}", self.command));
        for name in ["GW_CONFIG", "GW_INHERITED_FD", "GW_OPS", "PEBBLETURN_KEEP"] {
            command.env_remove(name);
        }
        command.envs(variables.iter().map(|(name, value)| (*name, value.clone())));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().map_err(|e| format!("the broker can't be started: {e}"))?;
        self.record.note(format!("broker {name} started: {}{arguments}", self.command));
        Ok(Broker { name: name.into(), child, record: self.record.clone() })
    }
}

/// A broker process. It is killed when this is dropped.
pub struct Broker {
    name: String,
    child: Child,
    record: Arc<Record>,
}

impl Broker {
    pub fn signal(&self, signal: &str) {
        self.record.note(format!("{signal} to broker {}", self.name));
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits until `GET /-/ready` at `addr` answers 200.
    pub fn wait_ready(&mut self, addr: SocketAddr) -> Result<(), String> {
        for _ in 0..200 {
            if let Some(status) = self.ended() {
                return Err(format!("broker {} ended: {status}", self.name));
            }
            if let Ok(mut client) = Http::connect(addr) {
                if client.get("/-/ready", Duration::from_secs(2)).is_ok_and(|a| a.status == 200) {
                    self.record.note(format!("broker {} is ready", self.name));
                    return Ok(());
                }
            }
            sleep(Duration::from_millis(50));
        }
        Err(format!("broker {} is not ready after 10 s", self.name))
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A port of the loopback interface that was free a moment ago.
pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// An HTTP answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Whether the broker closes the connection after it.
    pub closes: bool,
}

/// A client's connection that speaks HTTP.
pub struct Http {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Http {
    pub fn connect(addr: SocketAddr) -> std::io::Result<Http> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        Ok(Http { stream, buffer: Vec::new() })
    }

    pub fn get(&mut self, target: &str, wait: Duration) -> Result<Answer, String> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: broker\r\n\r\n");
        self.stream.write_all(request.as_bytes()).map_err(|e| format!("write: {e}"))?;
        self.answer(wait)
    }

    /// Reads the next answer. An error tells how the connection ended, or that nothing came in time.
    pub fn answer(&mut self, wait: Duration) -> Result<Answer, String> {
        let until = Instant::now() + wait;
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).to_string();
                let length =
                    header(&head, "content-length").and_then(|v| v.parse::<usize>().ok()).unwrap_or(0);
                if self.buffer.len() >= end + 4 + length {
                    let body = String::from_utf8_lossy(&self.buffer[end + 4..end + 4 + length]).to_string();
                    self.buffer.drain(..end + 4 + length);
                    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                    let closes = header(&head, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
                    return Ok(Answer { status, body, closes });
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err("no answer".into());
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let mut bytes = [0; 16 * 1024];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err("the connection was closed without an answer".into()),
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(format!("the connection broke without an answer: {e}")),
            }
        }
    }
}

pub fn find(data: &[u8], what: &[u8]) -> Option<usize> {
    data.windows(what.len()).position(|w| w == what)
}

/// The value of a header line of a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (n, value) = line.split_once(':')?;
        n.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

pub fn percent_decode(text: &str) -> String {
    let (mut out, mut bytes) = (Vec::new(), text.bytes());
    while let Some(b) = bytes.next() {
        match b {
            b'%' => {
                let code: String = bytes.by_ref().take(2).map(char::from).collect();
                out.push(u8::from_str_radix(&code, 16).unwrap_or(b'?'));
            }
            b'+' => out.push(b' '),
            b => out.push(b),
        }
    }
    String::from_utf8_lossy(&out).to_string()
}
