//! A broker that runs in its own thread, and clients of all three protocols that map every answer to the same
//! [`Reply`].

use pebbleturn::config::{OperatorConfig, PlatformConfig};
use pebbleturn::frontends::catalogue::apdu::*;
use pebbleturn::frontends::catalogue::diagnostic::Condition;
use pebbleturn::frontends::catalogue::marc::{Field, Record};
use pebbleturn::frontends::catalogue::search::{Clause, Search};
use pebbleturn::frontends::catalogue::{rpn, sru};
use pebbleturn::frontends::{catalogue, platform};
use pebbleturn::net::Waker;
use pebbleturn_lab::standins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

/// What a client learns from an answer, whatever its protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// All partitions, with the expected contents in the expected order.
    Complete,
    /// This many partitions, and the answer is marked as partial.
    Partial(usize),
    /// Refused; `retry_after` is whether the answer states when to retry.
    Refused { retry_after: bool },
    /// The broker gave up the query: HTTP status 504 or the diagnostic `OutOfTime`.
    Failed,
    /// Any other error, such as that for an invalid request.
    Bad,
}

pub struct TestBroker {
    pub wire: WireProtocol,
    pub addr: SocketAddr,
    pub script: NodeScript,
    waker: Waker,
    thread: JoinHandle<()>,
}

pub const PARTITIONS: u32 = 3;

/// Starts three nodes that speak `nodes` and a broker that serves clients of `wire`.
pub fn start_broker(wire: WireProtocol, nodes: WireProtocol, max_open: u32) -> TestBroker {
    let script = NodeScript::default();
    let nodes: Vec<(SocketAddr, WireProtocol)> =
        (0..3).map(|n| (node(nodes, n, script.clone()), nodes)).collect();
    start_broker_with_nodes(wire, &nodes, max_open, script)
}

pub fn start_broker_with_nodes(
    wire: WireProtocol,
    nodes: &[(SocketAddr, WireProtocol)],
    max_open: u32,
    script: NodeScript,
) -> TestBroker {
    if wire == WireProtocol::Http {
        return start_platform_broker(&platform_config(nodes, max_open, None), script);
    }
    start_catalogue_broker(wire, &operator_config(nodes, max_open), script)
}

/// Starts a broker of the catalogue's frontend with this operator's file.
pub fn start_catalogue_broker(wire: WireProtocol, config: &str, script: NodeScript) -> TestBroker {
    let (sender, receiver) = mpsc::channel();
    let operator = OperatorConfig::read(config).unwrap();
    let thread = std::thread::spawn(move || {
        let (mut broker, addrs) = catalogue::broker(operator).unwrap();
        let addr = addrs[usize::from(wire == WireProtocol::Z3950)];
        sender.send((addr, broker.shutdown_handle().unwrap())).unwrap();
        broker.run().unwrap();
    });
    let (addr, waker) = receiver.recv().unwrap();
    TestBroker { wire, addr, script, waker, thread }
}

/// Starts a broker of the platform frontend with this configuration.
pub fn start_platform_broker(config: &str, script: NodeScript) -> TestBroker {
    let (sender, receiver) = mpsc::channel();
    let config = PlatformConfig::read(config, |_| None).unwrap();
    let thread = std::thread::spawn(move || {
        let (mut broker, addr) = platform::broker(config).unwrap();
        sender.send((addr, broker.shutdown_handle().unwrap())).unwrap();
        broker.run().unwrap();
    });
    let (addr, waker) = receiver.recv().unwrap();
    TestBroker { wire: WireProtocol::Http, addr, script, waker, thread }
}

/// Request classes, the same on both frontends: name, aim in ms, deadline in ms and floor. `whole` needs all
/// parts, `most` two of three, and `short` has a short deadline.
const CLASSES: [(&str, u64, u64, f64); 3] =
    [("whole", 8000, 20_000, 1.0), ("most", 3000, 20_000, 0.6), ("short", 600, 1500, 1.0)];

pub fn operator_config(nodes: &[(SocketAddr, WireProtocol)], max_open: u32) -> String {
    let mut text = format!(
        "name = \"test\"\nzone = \"a\"\n[limits]\nmax_open = {max_open}\nsockets = 96\npage = 2\n[partitions]\ncount = {PARTITIONS}\n\
         cells = 3\nholders = 2\ndatabase = \"part-{{partition}}\"\nkey_index = \"music.compositionid\"\n"
    );
    for (name, aim, deadline, floor) in CLASSES {
        text += &format!(
            "[[class]]\nname = \"{name}\"\naim_ms = {aim}\ndeadline_ms = {deadline}\nfloor = {floor}\n"
        );
        text += &format!("[[database]]\nname = \"{name}\"\nclass = \"{name}\"\n");
    }
    for protocol in ["sru", "z3950"] {
        text += &format!("[[listener]]\nprotocol = \"{protocol}\"\nlisten = \"127.0.0.1:0\"\n");
    }
    for (n, (addr, wire)) in nodes.iter().enumerate() {
        let protocol = if *wire == WireProtocol::Sru { "sru" } else { "z3950" };
        text += &format!(
            "[[node]]\nid = \"n{n}\"\nprotocol = \"{protocol}\"\naddress = \"{addr}\"\nzone = \"a\"\ncell = {n}\n"
        );
    }
    text
}

pub fn platform_config(
    nodes: &[(SocketAddr, WireProtocol)],
    max_open: u32,
    discovery: Option<SocketAddr>,
) -> String {
    let line = |(n, (addr, _)): (usize, &(SocketAddr, WireProtocol))| {
        format!(
            r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"k","cell":{n},"state":"Ready","weight":1.0,"started_ms":0}}"#
        )
    };
    let lines: Vec<String> = nodes.iter().enumerate().map(line).collect();
    let list = format!(r#"{{"version":7,"full":true,"servers":[{}]}}"#, lines.join(","));
    let discovery = discovery.unwrap_or_else(|| self::static_discovery(list.clone()));
    let class = |(name, aim, deadline, _): (&str, u64, u64, f64)| {
        format!(
            r#"{{"name":"{name}","goal_time_ns":{aim}000000,"deadline_ns":{deadline}000000,"effect":"safe","late_worth":0.0,"worth":1.0}}"#
        )
    };
    let classes = CLASSES.map(class).join(",");
    format!(
        r#"{{"name":"t","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f","limits":{{"sockets":96}},"known":{list},
        "settings":{{"areas":["a"],"my_zone":"a","fleet_size":1,"tick_ns":5000000,"discovery":"on_request","request_classes":[{classes}],
        "ceilings":{{"cancel":true,"probes":false,"second_copies":true,"retry_after":true,"max_retry_after_ns":2000000000,
        "open_cap":{max_open},"try_limit":3,"streams_per_conn":32}},"family_info":{{"min_share":[1,0.6,1],"need_by_class":[1,1,1],
        "per_call":16,"per_call_work_ns":1000000,"positions":3,"slices":{PARTITIONS},"span":2}},"rules":{{"must_ask_in_ns":10000000000}}}}}}"#
    )
}

impl TestBroker {
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.addr).unwrap();
        // Only catches a hang; no test depends on this time-out.
        stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
        let mut client = Client { wire: self.wire, stream, queries_sent: 0 };
        if self.wire == WireProtocol::Z3950 {
            client.write(
                &Apdu::InitRequest(InitRequest {
                    reference: None,
                    versions: VERSIONS.into(),
                    options: OPTIONS.into(),
                    preferred_size: 1 << 16,
                    largest_record: 1 << 16,
                })
                .encode(),
            );
            let Some(Apdu::InitResponse(r)) = read_apdu(&mut client.stream) else {
                panic!("no InitResponse")
            };
            assert!(r.accepted);
        }
        client
    }

    pub fn query(&self, class: &str) -> Reply {
        self.client().query(class)
    }

    /// Waits until the nodes have received `n` parts.
    pub fn wait_for_parts(&self, n: usize) {
        while self.script.parts_received() < n {
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn drain(&self) {
        self.waker.wake().unwrap();
    }

    pub fn join(self) {
        self.thread.join().unwrap();
    }
}

pub struct Client {
    pub wire: WireProtocol,
    pub stream: TcpStream,
    queries_sent: u32,
}

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn query(&mut self, class: &str) -> Reply {
        self.send(class, "raga");
        self.reply()
    }

    /// Sends one more query: whether it gets a complete answer and the connection then stays open.
    pub fn stays_open_after_query(&mut self) -> bool {
        self.query("whole") == Reply::Complete && {
            self.stream.set_nonblocking(true).unwrap();
            let open = self.stream.peek(&mut [0]).is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
            self.stream.set_nonblocking(false).unwrap();
            open
        }
    }

    /// Sends a query; an empty `term` makes it invalid.
    pub fn send(&mut self, class: &str, term: &str) {
        self.queries_sent += 1;
        let (n, port) = (self.queries_sent, self.stream.local_addr().unwrap().port());
        let message = match self.wire {
            WireProtocol::Http => {
                let part = |s: u32| format!(r#"{{"segment":{s},"boost":0.3333333,"work":1000}}"#);
                let parts: Vec<String> = (0..PARTITIONS).map(part).collect();
                let parts = if term.is_empty() { vec![part(0), part(0)] } else { parts };
                let body = format!(r#"{{"segments":[{}],"text":"{term}"}}"#, parts.join(","));
                let length = body.len();
                let deadline = CLASSES.iter().find(|c| c.0 == class).map_or(0, |c| c.2);
                format!("POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: q{port}x{n}\r\nReq-Kind: {class}\r\nReq-Deadline: {deadline}m\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
            }
            WireProtocol::Sru => {
                let query = sru::percent_encode(&format!("dc.title = \"{term}\""));
                format!("GET /{class}?version=1.1&operation=searchRetrieve&maximumRecords=50&query={query} HTTP/1.1\r\nHost: x\r\n\r\n").into_bytes()
            }
            WireProtocol::Z3950 => Apdu::SearchRequest(SearchRequest {
                reference: Some(n.to_be_bytes().into()),
                small_upper: 0,
                large_lower: 1,
                medium_number: 0,
                replace: true,
                result_set: "1".into(),
                databases: vec![class.into()],
                element_set: None,
                syntax: Some(USMARC.into()),
                query: Query::Rpn(rpn::write(&Search::Clause(Clause::new(4, term)))),
            })
            .encode(),
        };
        self.write(&message);
    }

    /// Reads the one final answer.
    pub fn reply(&mut self) -> Reply {
        match self.wire {
            WireProtocol::Http => {
                let (head, body) = read_http(&mut self.stream).expect("no answer");
                reply_http(&head, &body)
            }
            WireProtocol::Sru => {
                let (head, body) = read_http(&mut self.stream).expect("no answer");
                reply_sru(&head, &body)
            }
            WireProtocol::Z3950 => self.reply_z3950(),
        }
    }

    fn reply_z3950(&mut self) -> Reply {
        let Some(Apdu::SearchResponse(r)) = read_apdu(&mut self.stream) else {
            panic!("no answer to a search")
        };
        assert_eq!(r.reference, Some(self.queries_sent.to_be_bytes().into()));
        let partial = match r.records {
            Records::Diagnostic(d) => match d.condition {
                Condition::TemporarilyUnavailable => {
                    return Reply::Refused { retry_after: d.details.contains("after") };
                }
                Condition::OutOfTime => return Reply::Failed,
                Condition::PartialResult if r.set_status == Some(1) => true,
                _ => return Reply::Bad,
            },
            _ => false,
        };
        let present = PresentRequest {
            reference: None,
            result_set: "1".into(),
            start: 1,
            number: r.count,
            element_set: None,
            syntax: Some(USMARC.into()),
            complex: false,
        };
        self.write(&Apdu::PresentRequest(present).encode());
        let Some(Apdu::PresentResponse(p)) = read_apdu(&mut self.stream) else {
            panic!("no answer to Present")
        };
        let Records::Some(found) = p.records else { panic!("{:?}", p.records) };
        let record = |r: Retrieved| match r {
            Retrieved::Record { bytes, .. } => Record::from_iso2709(&bytes).unwrap(),
            Retrieved::Diagnostic(d) => panic!("{d}"),
        };
        check_records(found.into_iter().map(record).collect(), partial)
    }

    /// Whether the broker closes the connection. An open Z39.50 session must receive a Close first.
    pub fn closed_by_broker(&mut self) -> bool {
        use std::io::Read;
        if self.wire == WireProtocol::Z3950 {
            assert!(
                matches!(read_apdu(&mut self.stream), Some(Apdu::Close { reason: 1, .. })),
                "no Close before the end of the connection"
            );
        }
        matches!(self.stream.read(&mut [0]), Ok(0))
    }
}

fn status(head: &str) -> u16 {
    head.split(' ').nth(1).unwrap().parse().unwrap()
}

fn refused(head: &str) -> Reply {
    let retry_after = head.lines().find_map(|l| l.strip_prefix("Retry-After: ")?.parse::<f64>().ok());
    assert!(retry_after.is_none_or(|w| w <= 2.0), "Retry-After is over the 2 s that the settings allow");
    Reply::Refused { retry_after: retry_after.is_some() }
}

fn reply_http(head: &str, body: &str) -> Reply {
    match status(head) {
        200 => {}
        503 => return refused(head),
        504 => return Reply::Failed,
        _ => return Reply::Bad,
    }
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    let matches = body["matches"].as_array().unwrap();
    for m in matches {
        assert_eq!(
            m["payload"],
            value(m["segment"].as_u64().unwrap() as u32),
            "the payload differs from what its server sent"
        );
    }
    match body["all_in"].as_bool().unwrap() {
        true => {
            assert_eq!(matches.len(), PARTITIONS as usize);
            Reply::Complete
        }
        false => Reply::Partial(matches.len()),
    }
}

fn reply_sru(head: &str, body: &str) -> Reply {
    match status(head) {
        200 => {}
        503 => return refused(head),
        504 => return Reply::Failed,
        _ => return Reply::Bad,
    }
    let r = sru::read_response(body.as_bytes()).unwrap();
    let partial = match r.diagnostics.first().map(|d| d.condition) {
        None => false,
        Some(Condition::PartialResult) => true,
        Some(_) => return Reply::Bad,
    };
    let record = |i: sru::Item| match i {
        sru::Item::Record(r) => r,
        sru::Item::Diagnostic(d) => panic!("{d}"),
    };
    check_records(r.items.into_iter().map(record).collect(), partial)
}

/// Checks that the records equal those of the nodes, in the order of the partitions, and counts the
/// partitions.
fn check_records(found: Vec<Record>, partial: bool) -> Reply {
    let all_records = (0..PARTITIONS).flat_map(|p| (1..=RECORDS_PER_PARTITION).map(move |n| record(p, n)));
    let control_number = |r: &Record| match &r.fields[0] {
        Field::Control { value, .. } => value.clone(),
        Field::Data { .. } => panic!("no control field 001"),
    };
    let expected: Vec<Record> =
        all_records.filter(|r| found.iter().any(|f| control_number(f) == control_number(r))).collect();
    assert_eq!(found, expected);
    let partitions = found.len() / RECORDS_PER_PARTITION as usize;
    if partial {
        Reply::Partial(partitions)
    } else {
        assert_eq!(partitions, PARTITIONS as usize);
        Reply::Complete
    }
}
