//! Stand-ins for index nodes and discovery, written from the protocols' public specifications.

use pebbleturn::frontends::catalogue::apdu::*;
use pebbleturn::frontends::catalogue::diagnostic::{Condition, Diagnostic};
use pebbleturn::frontends::catalogue::marc::{Field, Record};
use pebbleturn::frontends::catalogue::{ber, rpn, sru};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireProtocol {
    Http,
    Sru,
    Z3950,
}

/// How a node answers a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Serve,
    /// Serves after this many milliseconds.
    Delayed(u64),
    /// Serves once [`NodeScript::release_held`] is called.
    Held,
    /// Answers with an error once [`NodeScript::release_held`] is called.
    HeldThenFails,
    /// Never answers.
    Silent,
    /// Answers with an error.
    Fail,
    /// Rejects the part as overloaded.
    Reject,
    /// Serves one part in three and rejects the others.
    RejectMost,
    /// Closes the connection.
    CloseConnection,
    /// The answer twice, in one write.
    Duplicate,
    /// The previous answer on the same connection to a search or Present once more, and then the answer; for
    /// Z39.50 nodes only.
    RepeatPrevious,
    /// Bytes that are no frame; this and the following are for nodes of the frame protocol only.
    Garbage,
    /// A frame whose last bytes never arrive.
    Truncated,
    /// An answer to a query that was never sent.
    UnknownQuery,
}

/// Sets how each node answers each partition, and records the parts that nodes receive.
#[derive(Clone, Default)]
pub struct NodeScript(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    behaviors: HashMap<(usize, u32), Behavior>,
    /// Node and time of each part received.
    received: Vec<(usize, Instant)>,
    closed_connections: usize,
    cold: HashMap<usize, Cold>,
    held_are_released: bool,
}

/// A node that has just started.
struct Cold {
    /// Parts that it handles within `OVERLOAD_WINDOW`; more overload it.
    max_parts: usize,
    /// When the parts of the last `OVERLOAD_WINDOW` were received.
    received: VecDeque<Instant>,
    overloaded: bool,
}

/// A node with `Behavior::RejectMost` serves one in this many parts.
const REJECT_MOST_SERVES_ONE_IN: usize = 3;

/// How often a node looks whether the parts that it holds are released.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time over which the load of a cold node is counted.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1500);

impl NodeScript {
    pub fn set(&self, nodes: &[usize], partitions: &[u32], behavior: Behavior) {
        let mut s = self.0.lock().unwrap();
        s.behaviors.extend(nodes.iter().flat_map(|n| partitions.iter().map(move |p| ((*n, *p), behavior))));
    }

    /// Parts that all nodes have received so far.
    pub fn parts_received(&self) -> usize {
        self.0.lock().unwrap().received.len()
    }

    /// Connections to nodes of the frame protocol that have ended.
    pub fn closed_connections(&self) -> usize {
        self.0.lock().unwrap().closed_connections
    }

    /// Parts that one node has received.
    pub fn parts_received_by(&self, node: usize) -> usize {
        self.0.lock().unwrap().received.iter().filter(|(n, _)| *n == node).count()
    }

    /// Lets all nodes answer the parts that they hold.
    pub fn release_held(&self) {
        self.0.lock().unwrap().held_are_released = true;
    }

    fn wait_for_release(&self) {
        while !self.0.lock().unwrap().held_are_released {
            std::thread::sleep(HELD_POLL_INTERVAL);
        }
    }

    /// When one node has received its parts.
    pub fn receive_times(&self, node: usize) -> Vec<Instant> {
        self.0.lock().unwrap().received.iter().filter(|(n, _)| *n == node).map(|(_, at)| *at).collect()
    }

    /// The node has just started: it answers after `delay_ms`, and fails permanently once it receives more
    /// than `max_parts` parts within a second and a half.
    pub fn restart_cold(&self, node: usize, partitions: &[u32], delay_ms: u64, max_parts: usize) {
        self.set(&[node], partitions, Behavior::Delayed(delay_ms));
        let cold = Cold { max_parts, received: VecDeque::new(), overloaded: false };
        self.0.lock().unwrap().cold.insert(node, cold);
    }

    /// Number of cold nodes that have failed under overload.
    pub fn overloaded_nodes(&self) -> usize {
        self.0.lock().unwrap().cold.values().filter(|c| c.overloaded).count()
    }

    fn next_behavior(&self, node: usize, partition: u32) -> Behavior {
        let behavior = {
            let mut s = self.0.lock().unwrap();
            s.received.push((node, Instant::now()));
            if let Some(cold) = s.cold.get_mut(&node) {
                let now = Instant::now();
                cold.received.push_back(now);
                while cold.received.front().is_some_and(|t| now.duration_since(*t) > OVERLOAD_WINDOW) {
                    cold.received.pop_front();
                }
                cold.overloaded |= cold.received.len() > cold.max_parts;
                if cold.overloaded {
                    return Behavior::CloseConnection;
                }
            }
            match s.behaviors.get(&(node, partition)).copied().unwrap_or(Behavior::Serve) {
                Behavior::RejectMost if !s.received.len().is_multiple_of(REJECT_MOST_SERVES_ONE_IN) => {
                    Behavior::Reject
                }
                behavior => behavior,
            }
        };
        match behavior {
            Behavior::Delayed(ms) => std::thread::sleep(Duration::from_millis(ms)),
            Behavior::Held => self.wait_for_release(),
            Behavior::HeldThenFails => {
                self.wait_for_release();
                return Behavior::Fail;
            }
            Behavior::Silent => std::thread::sleep(Duration::from_secs(30)),
            _ => {}
        }
        behavior
    }
}

/// Accepts connections on a free port, with one thread for each.
pub fn listen(serve: impl Fn(TcpStream) -> Option<()> + Send + Sync + 'static) -> SocketAddr {
    listen_at(SocketAddr::from(([127, 0, 0, 1], 0)), serve)
}

fn listen_at(
    addr: SocketAddr,
    serve: impl Fn(TcpStream) -> Option<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(addr).unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// A node on a free port.
pub fn node(wire: WireProtocol, number: usize, script: NodeScript) -> SocketAddr {
    node_at(SocketAddr::from(([127, 0, 0, 1], 0)), wire, number, script)
}

/// A node at this address.
pub fn node_at(addr: SocketAddr, wire: WireProtocol, number: usize, script: NodeScript) -> SocketAddr {
    listen_at(addr, move |stream| match wire {
        WireProtocol::Http => {
            let served = frame_node(stream, number, &script);
            script.0.lock().unwrap().closed_connections += 1;
            served
        }
        WireProtocol::Sru => sru_node(stream, number, &script),
        WireProtocol::Z3950 => z3950_node(stream, number, &script),
    })
}

/// A node of the frame protocol that reads but never answers on the first six connections, which are counted
/// in `seen` over all such nodes together.
pub fn node_silent_at_first(number: usize, script: NodeScript, seen: Arc<AtomicUsize>) -> SocketAddr {
    listen(move |mut stream| {
        if seen.fetch_add(1, Ordering::SeqCst) < 6 {
            while stream.read(&mut [0; 1024]).is_ok_and(|n| n > 0) {}
            return None;
        }
        frame_node(stream, number, &script)
    })
}

pub fn value(partition: u32) -> String {
    format!("value <{partition}> \"\u{e9}\"")
}

/// Records in each partition.
pub const RECORDS_PER_PARTITION: u64 = 3;

pub fn record(partition: u32, n: u64) -> Record {
    let mut r = Record::new("00000ccm a2200000 a 4500");
    r.fields.push(Field::Control { tag: "001".into(), value: format!("p{partition}-{n}") });
    let subfields = vec![('a', value(partition))];
    r.fields.push(Field::Data { tag: "245".into(), indicators: ['0', '0'], subfields });
    r
}

fn frame_node(mut stream: TcpStream, number: usize, script: &NodeScript) -> Option<()> {
    let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame).ok()?;
        if frame[0] != b'R' {
            continue;
        }
        let mut rest = &frame[1..];
        while !rest.is_empty() {
            let end = rest.iter().position(|b| *b == b'\n')?;
            let line = String::from_utf8(rest[..end].to_vec()).ok()?;
            let words: Vec<&str> = line.split(' ').collect();
            let (id, shard, length): (String, u32, usize) =
                (words[0].into(), words[1].parse().ok()?, words[3].parse().ok()?);
            rest = &rest[end + 1 + length..];
            let (script, writer) = (script.clone(), writer.clone());
            std::thread::spawn(move || {
                let behavior = script.next_behavior(number, shard);
                let (word, value) = match behavior {
                    Behavior::Fail => ("ERROR", String::new()),
                    Behavior::Reject => ("REJECTED", String::new()),
                    Behavior::CloseConnection => {
                        return writer.lock().unwrap().shutdown(std::net::Shutdown::Both).ok();
                    }
                    _ => ("OK", value(shard)),
                };
                let id = if behavior == Behavior::UnknownQuery { "nobody.0" } else { &id };
                let body = format!("Y{id} {word} 17 queue=0,util=0.2\n{value}");
                let frame = [&(body.len() as u32).to_be_bytes(), body.as_bytes()].concat();
                let bytes = match behavior {
                    Behavior::Garbage => b"\xc3\x28 noise \r\n".to_vec(),
                    Behavior::Truncated => [&(body.len() as u32 + 9).to_be_bytes(), body.as_bytes()].concat(),
                    Behavior::Duplicate => frame.repeat(2),
                    _ => frame,
                };
                writer.lock().unwrap().write_all(&bytes).ok()
            });
        }
    }
}

/// Reads one HTTP message: its head, and its body if it has a length.
pub fn read_http(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

fn sru_node(mut stream: TcpStream, number: usize, script: &NodeScript) -> Option<()> {
    loop {
        let (head, _) = read_http(&mut stream)?;
        let target = head.split(' ').nth(1)?;
        let partition: u32 = target.strip_prefix("/part-")?.split('?').next()?.parse().ok()?;
        let Ok(sru::Request::Search(s)) = sru::read(&sru::parameters(target, "")) else { return None };
        let mut status = "200 OK";
        let mut r = sru::Response { total: RECORDS_PER_PARTITION, ..Default::default() };
        let behavior = script.next_behavior(number, partition);
        match behavior {
            Behavior::Reject => status = "503 Service Unavailable",
            Behavior::Fail => r.diagnostics.push(Diagnostic::new(Condition::GeneralError, "broken")),
            Behavior::CloseConnection => return None,
            _ => {
                let last = (s.start - 1 + s.maximum.unwrap_or(10)).min(RECORDS_PER_PARTITION);
                r.items = (s.start..=last).map(|n| sru::Item::Record(record(partition, n))).collect();
            }
        }
        let body = sru::write(&r, s.version, s.packing, s.start);
        let mut response =
            format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        response.extend(body);
        let copies = if behavior == Behavior::Duplicate { 2 } else { 1 };
        stream.write_all(&response.repeat(copies)).ok()?;
    }
}

pub fn read_apdu(stream: &mut TcpStream) -> Option<Apdu> {
    let mut bytes = Vec::new();
    loop {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
        if ber::size(&bytes).ok()?.is_some() {
            return Apdu::decode(&bytes).ok();
        }
    }
}

fn z3950_node(mut stream: TcpStream, number: usize, script: &NodeScript) -> Option<()> {
    let mut partition = 0;
    let mut previous = Vec::new();
    loop {
        let mut behavior = Behavior::Serve;
        let answer = match read_apdu(&mut stream)? {
            Apdu::InitRequest(r) => Apdu::InitResponse(InitResponse {
                reference: r.reference,
                versions: VERSIONS.into(),
                options: OPTIONS.into(),
                preferred_size: r.preferred_size,
                largest_record: r.largest_record,
                accepted: true,
            }),
            Apdu::SearchRequest(r) => {
                partition = r.databases[0].strip_prefix("part-")?.parse().ok()?;
                let Query::Rpn(query) = &r.query else { return None };
                rpn::read(query, &|_| None).ok()?;
                behavior = script.next_behavior(number, partition);
                let diagnostic = match behavior {
                    Behavior::Reject => Some(Condition::TemporarilyUnavailable),
                    Behavior::Fail => Some(Condition::GeneralError),
                    Behavior::CloseConnection => return None,
                    _ => None,
                };
                Apdu::SearchResponse(SearchResponse {
                    reference: r.reference,
                    count: RECORDS_PER_PARTITION as i64,
                    next: 1,
                    success: diagnostic.is_none(),
                    set_status: diagnostic.map(|_| 3),
                    present_status: None,
                    records: diagnostic
                        .map_or(Records::None, |t| Records::Diagnostic(Diagnostic::new(t, "scripted"))),
                })
            }
            Apdu::PresentRequest(r) => {
                let numbers = r.start as u64..(r.start + r.number) as u64;
                let found = |n| Retrieved::Record {
                    syntax: USMARC.into(),
                    bytes: record(partition, n).to_iso2709().unwrap(),
                };
                let records = Records::Some(numbers.map(found).collect());
                Apdu::PresentResponse(PresentResponse { reference: r.reference, next: 0, status: 0, records })
            }
            _ => return None,
        };
        let is_init = matches!(answer, Apdu::InitResponse(_));
        let answer = answer.encode();
        let written = match behavior {
            Behavior::Duplicate => answer.repeat(2),
            Behavior::RepeatPrevious => [previous, answer.clone()].concat(),
            _ => answer.clone(),
        };
        stream.write_all(&written).ok()?;
        previous = if is_init { Vec::new() } else { answer };
    }
}

/// Discovery that sends one list and then only empty lines as keep-alives.
pub fn static_discovery(list: String) -> SocketAddr {
    listen(move |mut stream| {
        read_http(&mut stream)?;
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunk(&format!("{list}\n"))
        )
        .ok()?;
        loop {
            std::thread::sleep(Duration::from_secs(1));
            stream.write_all(chunk("\n").as_bytes()).ok()?;
        }
    })
}
