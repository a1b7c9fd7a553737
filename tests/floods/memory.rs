//! The memory of a broker with hundreds of clients that send much and finish nothing.

use crate::clients::*;
use crate::run_alone;
use pebbleturn::frontends::catalogue::apdu::*;
use pebbleturn::frontends::catalogue::rpn;
use pebbleturn::frontends::catalogue::search::{Clause, Search};
use pebbleturn_lab::standins::*;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_pebbleturn");
const MIB: usize = 1 << 20;

/// A broker process. It is killed when this is dropped.
struct BrokerProcess {
    child: Child,
    addr: SocketAddr,
}

impl BrokerProcess {
    /// Starts a broker and waits for the log line that has `listens` and ends with the address of its clients.
    fn start(command: &mut Command, listens: &str) -> BrokerProcess {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let line = lines.by_ref().find_map(|line| line.ok().filter(|l| l.contains(listens)));
        let line = line.expect("the broker does not listen");
        std::thread::spawn(move || lines.for_each(drop));
        let word = line.split_whitespace().find_map(|word| word.parse().ok());
        BrokerProcess { child, addr: word.expect("no address") }
    }

    /// The most memory that the process has had, bytes.
    fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        peak.split_whitespace().next().unwrap().parse::<usize>().unwrap() << 10
    }
}

impl Drop for BrokerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A file that is removed when this is dropped.
struct ConfigFile(std::path::PathBuf);

impl ConfigFile {
    fn new(name: &str, text: &str) -> ConfigFile {
        let path = std::env::temp_dir().join(format!("pebbleturn-floods-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        ConfigFile(path)
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const SLOW_CLIENTS: usize = 400;
/// How long they stay, in each manner.
const STAY: Duration = Duration::from_secs(3);
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// What a client sends, and how many bytes at a time.
struct Manner {
    name: &'static str,
    bytes: Vec<u8>,
    bytes_per_write: usize,
}

/// Keeps clients connected that send in this manner; each that is disconnected is replaced.
fn stay_connected(addr: SocketAddr, manner: &Manner) {
    let start = Instant::now();
    let mut clients: Vec<Option<(TcpStream, usize)>> = (0..SLOW_CLIENTS).map(|_| None).collect();
    while start.elapsed() < STAY {
        for slot in &mut clients {
            *slot = advance_client(slot.take(), addr, manner);
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}

/// Connects a client, or writes its next bytes. Returns none if it was disconnected.
fn advance_client(
    client: Option<(TcpStream, usize)>,
    addr: SocketAddr,
    manner: &Manner,
) -> Option<(TcpStream, usize)> {
    let (mut stream, sent) = match client {
        Some(client) => client,
        None => {
            let stream = TcpStream::connect(addr).ok()?;
            stream.set_nonblocking(true).ok()?;
            (stream, 0)
        }
    };
    let end = manner.bytes.len().min(sent.saturating_add(manner.bytes_per_write));
    let written = match stream.write(&manner.bytes[sent..end]) {
        Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
        written => written.ok()?,
    };
    match stream.read(&mut [0; 4096]) {
        Ok(0) => None,
        Err(e) if e.kind() != ErrorKind::WouldBlock => None,
        _ => Some((stream, sent + written)),
    }
}

fn manners() -> Vec<Manner> {
    let head = "POST /api HTTP/1.1\r\nReq-Id: slow\r\nReq-Kind: whole\r\nReq-Deadline: 2000m\r\n";
    let text = "x".repeat(60_000);
    let request = format!("{head}Content-Length: 60000\r\n\r\n{text}").into_bytes();
    let chunks = "1\r\nx\r\n".repeat(4000);
    let fields: String = (0..58).map(|n| format!("a{n}:b\r\n")).collect();
    let manner =
        |name, bytes: &[u8], bytes_per_write| Manner { name, bytes: bytes.to_vec(), bytes_per_write };
    vec![
        manner("written slowly", &request, 1000),
        manner("stopped half way", &request[..30_000], usize::MAX),
        manner(
            "stopped within chunks",
            format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}").as_bytes(),
            8192,
        ),
        manner(
            "short fields",
            format!("{head}{fields}Content-Length: 60000\r\n\r\nx").as_bytes(),
            usize::MAX,
        ),
        manner("too many short fields", format!("{head}{}", "a:b\r\n".repeat(1500)).as_bytes(), 512),
    ]
}

// Guards against memory that grows with the number of clients that write slowly, stop half way through a large
// request or send many short fields, up to the limit of the configuration.
#[test]
fn clients_that_finish_no_request_do_not_take_the_memory_limit() {
    const LIMIT_MIB: usize = 64;
    let _alone = run_alone();
    let script = NodeScript::default();
    let nodes = [0, 1, 2].map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http));
    let limits = format!(r#""sockets":1024,"memory_mb":{LIMIT_MIB}"#);
    let config = platform_config(&nodes, 400, None).replace(r#""sockets":96"#, &limits);
    let file = ConfigFile::new("memory.json", &config);
    let broker = BrokerProcess::start(Command::new(PROGRAM).env("GW_CONFIG", &file.0), "listens at");
    for manner in manners() {
        stay_connected(broker.addr, &manner);
        let peak = broker.peak_memory();
        assert!(peak < LIMIT_MIB * MIB, "{}: {} MiB", manner.name, peak / MIB);
    }
}

/// More than there are buffers for clients with the smallest memory limit.
const BUFFER_HOLDERS: usize = 60;

/// Connects clients that write this part of a request and no more. Returns what those got that were disconnected.
fn responses_to_disconnected_clients(addr: SocketAddr, part: &[u8]) -> Vec<String> {
    let mut clients: Vec<TcpStream> =
        (0..BUFFER_HOLDERS).map(|_| TcpStream::connect(addr).unwrap()).collect();
    for client in &mut clients {
        client.set_read_timeout(Some(WRITE_INTERVAL)).unwrap();
        client.write_all(part).unwrap();
    }
    let disconnected = clients.iter_mut().filter_map(|client| {
        let mut response = Vec::new();
        // A client that is still connected gets nothing before its time-out.
        client.read_to_end(&mut response).ok().map(|_| String::from_utf8_lossy(&response).into_owned())
    });
    disconnected.collect()
}

// Guards against closing a connection without an answer to free its buffer for another client: the rest of its
// request may be on its way.
#[test]
fn client_that_is_disconnected_for_its_buffer_gets_a_refusal() {
    let _alone = run_alone();
    let script = NodeScript::default();
    let nodes = [0, 1, 2].map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http));
    let limits = r#""sockets":512,"memory_mb":16"#;
    let config = platform_config(&nodes, 400, None).replace(r#""sockets":96"#, limits);
    let s = start_platform_broker(&config, script);
    let responses = responses_to_disconnected_clients(s.addr, b"POST /api HTTP/1.1\r\nContent-Le");
    assert!(!responses.is_empty(), "all clients have a buffer");
    assert!(responses.iter().any(|response| response.starts_with("HTTP/1.1 503 ")), "{responses:?}");
    // On a busy machine the time limit of a request may come first.
    let is_answer = |response: &String| ["503", "408"].contains(&response.get(9..12).unwrap_or_default());
    assert!(responses.iter().all(is_answer), "{responses:?}");
}

const SESSIONS: usize = 100;
const SETS_PER_SESSION: usize = 16;
/// Of the term that each stored search has.
const TERM_BYTES: usize = 50_000;
/// The broker's buffers (48 MiB), 8 KiB for the terms of each stored search, and as much as that again for all else.
const MAX_CATALOGUE_MEMORY: usize = 48 * MIB + 2 * SESSIONS * SETS_PER_SESSION * 8 * 1024;

/// Stores result sets under ever new names. A search that is refused stores none.
fn store_result_sets(addr: SocketAddr, session: usize) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    let mut exchange = |apdu: Apdu| {
        stream.write_all(&apdu.encode()).unwrap();
        read_apdu(&mut stream).expect("no answer")
    };
    exchange(Apdu::InitRequest(InitRequest {
        reference: None,
        versions: VERSIONS.into(),
        options: OPTIONS.into(),
        preferred_size: 1 << 16,
        largest_record: 1 << 16,
    }));
    for set in 0..SETS_PER_SESSION {
        let term = format!("s{session}n{set}{}", "x".repeat(TERM_BYTES));
        exchange(Apdu::SearchRequest(SearchRequest {
            reference: None,
            small_upper: 0,
            large_lower: 1,
            medium_number: 0,
            replace: true,
            result_set: format!("set-{set}"),
            databases: vec!["whole".into()],
            element_set: None,
            syntax: Some(USMARC.into()),
            query: Query::Rpn(rpn::write(&Search::Clause(Clause::new(4, &term)))),
        }));
    }
    stream
}

// Guards against stored searches of any size: a Z39.50 session keeps the search of each of its result sets, and
// hundreds of sessions took hundreds of megabytes.
#[test]
fn result_sets_under_ever_new_names_take_bounded_memory() {
    let _alone = run_alone();
    let script = NodeScript::default();
    let nodes = [0, 1, 2].map(|n| (node(WireProtocol::Z3950, n, script.clone()), WireProtocol::Z3950));
    let file = ConfigFile::new(
        "memory.toml",
        &operator_config(&nodes, 400).replace("sockets = 96", "sockets = 1024"),
    );
    let mut command = Command::new(PROGRAM);
    let broker = BrokerProcess::start(command.args(["serve", "catalogue"]).arg(&file.0), "Z3950");
    let threads: Vec<_> = (0..SESSIONS)
        .map(|session| {
            let addr = broker.addr;
            std::thread::spawn(move || store_result_sets(addr, session))
        })
        .collect();
    let sessions: Vec<TcpStream> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let peak = broker.peak_memory();
    assert!(peak < MAX_CATALOGUE_MEMORY, "{} MiB with {} sessions", peak / MIB, sessions.len());
}
