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
pub enum Wire {
    Http,
    Sru,
    Z3950,
}

/// What a node does with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Serve,
    /// Serves after so many milliseconds.
    Late(u64),
    /// Never answers.
    Silent,
    /// Answers with an error.
    Fail,
    /// Turns it away.
    Busy,
    /// Serves one part in three and turns the others away.
    Crowded,
    /// Closes the connection.
    Break,
    /// Spoils its answer, on frames: noise, a frame whose rest never comes, an answer to what was not asked,
    /// the answer twice.
    Noise,
    Stall,
    Stray,
    Twice,
}

/// What each node does with each partition, and how many parts came.
#[derive(Clone, Default)]
pub struct Script(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    acts: HashMap<(usize, u32), Act>,
    /// The node of each part that came, and when.
    came: Vec<(usize, Instant)>,
    ended: usize,
    cold: HashMap<usize, Cold>,
}

/// A node that has just started.
struct Cold {
    /// Parts that it takes within `WINDOW`; more push it over.
    most: usize,
    /// When the last ones came.
    came: VecDeque<Instant>,
    fell: bool,
}

/// Of so many parts a crowded node serves one.
const CROWDED_SERVES_ONE_IN: usize = 3;

/// Time over which a cold node is pushed.
const WINDOW: Duration = Duration::from_millis(1500);

impl Script {
    pub fn set(&self, nodes: &[usize], partitions: &[u32], act: Act) {
        let mut s = self.0.lock().unwrap();
        s.acts.extend(nodes.iter().flat_map(|n| partitions.iter().map(move |p| ((*n, *p), act))));
    }

    /// Parts that have come to nodes so far.
    pub fn came(&self) -> usize {
        self.0.lock().unwrap().came.len()
    }

    /// Connections of nodes of frames that the broker has ended.
    pub fn ended(&self) -> usize {
        self.0.lock().unwrap().ended
    }

    /// Parts that have come to one node.
    pub fn came_to(&self, node: usize) -> usize {
        self.0.lock().unwrap().came.iter().filter(|(n, _)| *n == node).count()
    }

    /// When parts have come to one node.
    pub fn times_at(&self, node: usize) -> Vec<Instant> {
        self.0.lock().unwrap().came.iter().filter(|(n, _)| *n == node).map(|(_, at)| *at).collect()
    }

    /// The node has just started: it is `late` by so many milliseconds, and falls over for good once more than `most`
    /// parts come within a second and a half.
    pub fn restart_cold(&self, node: usize, partitions: &[u32], late: u64, most: usize) {
        self.set(&[node], partitions, Act::Late(late));
        let cold = Cold { most, came: VecDeque::new(), fell: false };
        self.0.lock().unwrap().cold.insert(node, cold);
    }

    /// Nodes that fell over.
    pub fn fallen(&self) -> usize {
        self.0.lock().unwrap().cold.values().filter(|c| c.fell).count()
    }

    fn act(&self, node: usize, partition: u32) -> Act {
        let act = {
            let mut s = self.0.lock().unwrap();
            s.came.push((node, Instant::now()));
            if let Some(cold) = s.cold.get_mut(&node) {
                let now = Instant::now();
                cold.came.push_back(now);
                while cold.came.front().is_some_and(|t| now.duration_since(*t) > WINDOW) {
                    cold.came.pop_front();
                }
                cold.fell |= cold.came.len() > cold.most;
                if cold.fell {
                    return Act::Break;
                }
            }
            match s.acts.get(&(node, partition)).copied().unwrap_or(Act::Serve) {
                Act::Crowded if !s.came.len().is_multiple_of(CROWDED_SERVES_ONE_IN) => Act::Busy,
                act => act,
            }
        };
        match act {
            Act::Late(ms) => std::thread::sleep(Duration::from_millis(ms)),
            Act::Silent => std::thread::sleep(Duration::from_secs(30)),
            _ => {}
        }
        act
    }
}

/// Accepts on a port of its own; one thread a connection.
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

/// A node on a port of its own.
pub fn node(wire: Wire, number: usize, script: Script) -> SocketAddr {
    node_at(SocketAddr::from(([127, 0, 0, 1], 0)), wire, number, script)
}

/// A node at this address.
pub fn node_at(addr: SocketAddr, wire: Wire, number: usize, script: Script) -> SocketAddr {
    listen_at(addr, move |stream| match wire {
        Wire::Http => {
            let served = frames(stream, number, &script);
            script.0.lock().unwrap().ended += 1;
            served
        }
        Wire::Sru => sru_node(stream, number, &script),
        Wire::Z3950 => z3950_node(stream, number, &script),
    })
}

/// A node of frames that swallows all on the first six connections of all such nodes together.
pub fn silent_at_first(number: usize, script: Script, seen: Arc<AtomicUsize>) -> SocketAddr {
    listen(move |mut stream| {
        if seen.fetch_add(1, Ordering::SeqCst) < 6 {
            while stream.read(&mut [0; 1024]).is_ok_and(|n| n > 0) {}
            return None;
        }
        frames(stream, number, &script)
    })
}

pub fn value(partition: u32) -> String {
    format!("value <{partition}> \"\u{e9}\"")
}

/// Records of each partition.
pub const RECORDS: u64 = 3;

pub fn record(partition: u32, n: u64) -> Record {
    let mut r = Record::new("00000ccm a2200000 a 4500");
    r.fields.push(Field::Control { tag: "001".into(), value: format!("p{partition}-{n}") });
    let subfields = vec![('a', value(partition))];
    r.fields.push(Field::Data { tag: "245".into(), indicators: ['0', '0'], subfields });
    r
}

fn frames(mut stream: TcpStream, number: usize, script: &Script) -> Option<()> {
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
            let (id, shard, long): (String, u32, usize) =
                (words[0].into(), words[1].parse().ok()?, words[3].parse().ok()?);
            rest = &rest[end + 1 + long..];
            let (script, writer) = (script.clone(), writer.clone());
            std::thread::spawn(move || {
                let act = script.act(number, shard);
                let (word, value) = match act {
                    Act::Fail => ("ERROR", String::new()),
                    Act::Busy => ("REJECTED", String::new()),
                    Act::Break => return writer.lock().unwrap().shutdown(std::net::Shutdown::Both).ok(),
                    _ => ("OK", value(shard)),
                };
                let id = if act == Act::Stray { "nobody.0" } else { &id };
                let body = format!("Y{id} {word} 17 queue=0,util=0.2\n{value}");
                let frame = [&(body.len() as u32).to_be_bytes(), body.as_bytes()].concat();
                let bytes = match act {
                    Act::Noise => b"\xc3\x28 noise \r\n".to_vec(),
                    Act::Stall => [&(body.len() as u32 + 9).to_be_bytes(), body.as_bytes()].concat(),
                    Act::Twice => frame.repeat(2),
                    _ => frame,
                };
                writer.lock().unwrap().write_all(&bytes).ok()
            });
        }
    }
}

/// Reads one HTTP message: its first line, and its body if it has a length.
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

fn sru_node(mut stream: TcpStream, number: usize, script: &Script) -> Option<()> {
    loop {
        let (head, _) = read_http(&mut stream)?;
        let target = head.split(' ').nth(1)?;
        let partition: u32 = target.strip_prefix("/part-")?.split('?').next()?.parse().ok()?;
        let Ok(sru::Request::Search(s)) = sru::read(&sru::parameters(target, "")) else { return None };
        let mut status = "200 OK";
        let mut r = sru::Response { total: RECORDS, ..Default::default() };
        match script.act(number, partition) {
            Act::Busy => status = "503 Service Unavailable",
            Act::Fail => r.diagnostics.push(Diagnostic::new(Condition::GeneralError, "broken")),
            Act::Break => return None,
            _ => {
                let last = (s.start - 1 + s.maximum.unwrap_or(10)).min(RECORDS);
                r.items = (s.start..=last).map(|n| sru::Item::Record(record(partition, n))).collect();
            }
        }
        let body = sru::write(&r, s.version, s.packing, s.start);
        write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).ok()?;
        stream.write_all(&body).ok()?;
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

fn z3950_node(mut stream: TcpStream, number: usize, script: &Script) -> Option<()> {
    let mut partition = 0;
    loop {
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
                let condition = match script.act(number, partition) {
                    Act::Busy => Some(Condition::TemporarilyUnavailable),
                    Act::Fail => Some(Condition::GeneralError),
                    Act::Break => return None,
                    _ => None,
                };
                Apdu::SearchResponse(SearchResponse {
                    reference: r.reference,
                    count: RECORDS as i64,
                    next: 1,
                    success: condition.is_none(),
                    set_status: condition.map(|_| 3),
                    present_status: None,
                    records: condition
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
        stream.write_all(&answer.encode()).ok()?;
    }
}

/// Discovery that tells one list and then only empty lines.
pub fn discovery(list: String) -> SocketAddr {
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
