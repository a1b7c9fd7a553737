//! Behaviour specific to one protocol or frontend: Z39.50 result sets and services, SRU pages and explain, and
//! the checks and connection limits of the platform's HTTP port.

use crate::clients::*;
use pebbleturn::frontends::catalogue::apdu::*;
use pebbleturn::frontends::catalogue::marc::Field;
use pebbleturn::frontends::catalogue::search::{Clause, Operator, Search};
use pebbleturn::frontends::catalogue::{plan, rpn, sru};
use pebbleturn_lab::standins::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

fn exchange(client: &mut Client, apdu: Apdu) -> Apdu {
    client.write(&apdu.encode());
    read_apdu(&mut client.stream).expect("no answer")
}

fn search(set: &str, query: Query) -> SearchRequest {
    SearchRequest {
        reference: None,
        small_upper: 0,
        large_lower: 1,
        medium_number: 0,
        replace: true,
        result_set: set.into(),
        databases: vec!["whole".into()],
        element_set: None,
        syntax: None,
        query,
    }
}

fn title(term: &str) -> Query {
    Query::Rpn(rpn::write(&Search::Clause(Clause::new(4, term))))
}

fn present(set: &str, start: i64, number: i64, syntax: Option<&str>) -> Apdu {
    Apdu::PresentRequest(PresentRequest {
        reference: None,
        result_set: set.into(),
        start,
        number,
        element_set: Some("F".into()),
        syntax: syntax.map(str::to_owned),
        complex: false,
    })
}

/// The Bib-1 diagnostic number in an answer.
fn bib1_number(apdu: &Apdu) -> Option<u16> {
    match apdu {
        Apdu::SearchResponse(SearchResponse { records: Records::Diagnostic(d), .. })
        | Apdu::PresentResponse(PresentResponse { records: Records::Diagnostic(d), .. }) => Some(d.bib1()),
        _ => None,
    }
}

#[test]
fn result_sets_are_named_bounded_refetched_and_deleted() {
    let s = start_broker(WireProtocol::Z3950, WireProtocol::Sru, 100);
    let mut c = s.client();
    let found = exchange(&mut c, Apdu::SearchRequest(search("a", title("raga"))));
    assert!(matches!(&found, Apdu::SearchResponse(r) if r.success && r.count == 9));
    // Positions count across partitions: 3 and 4 lie in two different ones.
    let Apdu::PresentResponse(p) = exchange(&mut c, present("a", 3, 2, Some(USMARC))) else { panic!() };
    let expected = [record(0, 3), record(1, 1)].map(|r| r.to_iso2709().unwrap());
    let expected = expected.map(|bytes| Retrieved::Record { syntax: USMARC.into(), bytes });
    assert_eq!((p.records, p.next, p.status), (Records::Some(expected.into()), 5, 0));
    let Apdu::PresentResponse(p) = exchange(&mut c, present("a", 9, 1, Some(XML))) else { panic!() };
    assert!(
        matches!(&p.records, Records::Some(r) if matches!(&r[..], [Retrieved::Record { syntax, .. }] if syntax == XML))
    );
    assert_eq!(p.next, 0);
    for (start, count, syntax, expected) in
        [(10, 1, None, 13), (0, 1, None, 13), (8, 3, None, 13), (1, 1, Some("1.2.840.10003.5.101"), 239)]
    {
        assert_eq!(bib1_number(&exchange(&mut c, present("a", start, count, syntax))), Some(expected));
    }
    assert_eq!(bib1_number(&exchange(&mut c, present("b", 1, 1, None))), Some(30));
    let no_replace = SearchRequest { replace: false, ..search("a", title("raga")) };
    assert_eq!(bib1_number(&exchange(&mut c, Apdu::SearchRequest(no_replace))), Some(21));
    for n in 1..16 {
        let more = exchange(&mut c, Apdu::SearchRequest(search(&format!("set{n}"), title("raga"))));
        assert_eq!(bib1_number(&more), None);
    }
    assert_eq!(
        bib1_number(&exchange(&mut c, Apdu::SearchRequest(search("one more", title("raga"))))),
        Some(112)
    );
    let delete = |names: &[&str]| Apdu::DeleteRequest {
        reference: None,
        sets: Some(names.iter().map(|n| n.to_string()).collect()),
    };
    assert_eq!(exchange(&mut c, delete(&["a"])), Apdu::DeleteResponse { reference: None, status: 0 });
    assert_eq!(exchange(&mut c, delete(&["a"])), Apdu::DeleteResponse { reference: None, status: 1 });
}

#[test]
fn search_response_includes_the_records_of_small_sets() {
    let s = start_broker(WireProtocol::Z3950, WireProtocol::Z3950, 100);
    let mut c = s.client();
    for (small, large, medium, expected) in [(9, 10, 0, 9), (8, 9, 5, 0), (1, 100, 4, 4)] {
        let r = SearchRequest {
            small_upper: small,
            large_lower: large,
            medium_number: medium,
            ..search("a", title("raga"))
        };
        let Apdu::SearchResponse(r) = exchange(&mut c, Apdu::SearchRequest(r)) else { panic!() };
        assert_eq!((r.count, r.records.len()), (9, expected));
    }
}

#[test]
fn invalid_searches_get_the_standard_diagnostic_numbers() {
    let s = start_broker(WireProtocol::Z3950, WireProtocol::Z3950, 100);
    let mut c = s.client();
    let unknown = SearchRequest { databases: vec!["nowhere".into()], ..search("a", title("raga")) };
    let two = SearchRequest { databases: vec!["whole".into(), "most".into()], ..search("a", title("raga")) };
    let by_access_point =
        |access_point| Query::Rpn(rpn::write(&Search::Clause(Clause::new(access_point, "x"))));
    let cases = [
        (unknown, 235),
        (two, 23),
        (search("a", by_access_point(9999)), 114),
        (search("a", Query::Other(0)), 107),
        (search("a", title("")), 125),
        (search("a", Query::Cql("title = ((".into())), 108),
    ];
    for (request, expected) in cases {
        assert_eq!(bib1_number(&exchange(&mut c, Apdu::SearchRequest(request))), Some(expected));
    }
    let found = exchange(&mut c, Apdu::SearchRequest(search("a", Query::Cql("title = raga".into()))));
    assert!(
        matches!(found, Apdu::SearchResponse(r) if r.count == 9),
        "CQL is not accepted as a query of type 104"
    );
}

#[test]
fn services_that_were_not_negotiated_are_answered_and_a_close_is_returned() {
    let s = start_broker(WireProtocol::Z3950, WireProtocol::Z3950, 100);
    let mut c = s.client();
    for (request, response) in [(35, 36), (43, 44), (46, 47)] {
        let answer = exchange(&mut c, Apdu::Other { reference: Some(vec![9]), tag: request });
        assert_eq!(answer, Apdu::Other { reference: Some(vec![9]), tag: response });
    }
    let answer = exchange(&mut c, Apdu::Other { reference: None, tag: 30 });
    assert!(matches!(answer, Apdu::Close { reason: 6, .. }));
    let mut other = s.client();
    let answer = exchange(
        &mut other,
        Apdu::Close { reference: None, reason: 0, diagnostic_information: String::new() },
    );
    assert!(matches!(answer, Apdu::Close { reason: 0, .. }));
    // Before Init, any other request is answered with a Close.
    let mut raw = TcpStream::connect(s.addr).unwrap();
    raw.write_all(&Apdu::SearchRequest(search("a", title("raga"))).encode()).unwrap();
    assert!(matches!(read_apdu(&mut raw), Some(Apdu::Close { reason: 6, .. })));
    assert_eq!(raw.read(&mut [0]).unwrap(), 0);
}

fn get(s: &TestBroker, target: &str) -> (String, String) {
    let mut stream = TcpStream::connect(s.addr).unwrap();
    write!(stream, "GET {target} HTTP/1.1\r\nHost: shop:8210\r\n\r\n").unwrap();
    read_http(&mut stream).expect("no answer")
}

#[test]
fn sru_serves_pages_and_explain_and_rejects_bad_requests() {
    let s = start_broker(WireProtocol::Sru, WireProtocol::Z3950, 100);
    let base = "/whole?version=1.2&operation=searchRetrieve&query=raga";
    let (_, body) = get(&s, &format!("{base}&startRecord=3&maximumRecords=2"));
    let r = sru::read_response(body.as_bytes()).unwrap();
    assert_eq!((r.total, r.next), (9, Some(5)));
    assert_eq!(r.items, [record(0, 3), record(1, 1)].map(sru::Item::Record));
    let (_, body) = get(&s, &format!("{base}&maximumRecords=0"));
    let r = sru::read_response(body.as_bytes()).unwrap();
    assert_eq!((r.total, r.items.len(), r.next), (9, 0, Some(1)));
    let (_, body) = get(&s, &format!("{base}&startRecord=10"));
    assert_eq!(sru::read_response(body.as_bytes()).unwrap().diagnostics[0].sru(), 61);
    let (_, body) = get(&s, &format!("{base}&startRecord=99999999999999999999"));
    assert_eq!(sru::read_response(body.as_bytes()).unwrap().diagnostics[0].sru(), 6);
    let (head, body) = get(&s, "/whole");
    assert!(head.starts_with("HTTP/1.1 200") && body.contains("explainResponse") && body.contains("music"));
    assert!(get(&s, "/nowhere?version=1.1&operation=explain").0.starts_with("HTTP/1.1 404"));
    assert!(get(&s, "/-/ready").0.starts_with("HTTP/1.1 200"));
    let mut stream = TcpStream::connect(s.addr).unwrap();
    let form = "version=1.1&operation=searchRetrieve&query=raga&maximumRecords=1";
    let length = form.len();
    write!(stream, "POST /whole HTTP/1.1\r\nContent-Length: {length}\r\nContent-Type: application/x-www-form-urlencoded\r\n\r\n{form}").unwrap();
    let (_, body) = read_http(&mut stream).unwrap();
    assert_eq!(sru::read_response(body.as_bytes()).unwrap().items.len(), 1);
    write!(stream, "DELETE /whole HTTP/1.1\r\n\r\n").unwrap();
    assert!(read_http(&mut stream).unwrap().0.starts_with("HTTP/1.1 405"));
    write!(stream, "POST /whole HTTP/1.1\r\nContent-Length: 65537\r\n\r\n").unwrap();
    assert!(read_http(&mut stream).unwrap().0.starts_with("HTTP/1.1 413"));
}

#[test]
fn a_composition_key_narrows_a_search_to_its_partitions() {
    for wire in [WireProtocol::Sru, WireProtocol::Z3950] {
        let s = start_broker(wire, WireProtocol::Sru, 100);
        let key = Clause::new(5030, "k-17");
        let partition = plan::partitions(PARTITIONS, 1, Some(plan::key_hash("k-17")))[0];
        // All other partitions fail, so a search that included one of them would get no complete answer.
        let others: Vec<u32> = (0..PARTITIONS).filter(|p| *p != partition).collect();
        s.script.set(&[0, 1, 2], &others, Behavior::Fail);
        let both = Search::join(Operator::And, Search::Clause(key), Search::Clause(Clause::new(4, "raga")));
        let first = if wire == WireProtocol::Sru {
            let query = sru::percent_encode("music.compositionid = \"k-17\" and dc.title = raga");
            let (_, body) = get(&s, &format!("/whole?version=1.1&operation=searchRetrieve&query={query}"));
            let r = sru::read_response(body.as_bytes()).unwrap();
            assert_eq!(r.total, RECORDS_PER_PARTITION);
            let Some(sru::Item::Record(first)) = r.items.into_iter().next() else { panic!() };
            first
        } else {
            let mut c = s.client();
            let found = exchange(&mut c, Apdu::SearchRequest(search("a", Query::Rpn(rpn::write(&both)))));
            assert!(matches!(found, Apdu::SearchResponse(r) if r.count == RECORDS_PER_PARTITION as i64));
            record(partition, 1)
        };
        assert_eq!(first.fields[0], Field::Control { tag: "001".into(), value: format!("p{partition}-1") });
    }
}

#[test]
fn platform_port_answers_bad_requests_by_status() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    let send = |text: &str| {
        let mut stream = TcpStream::connect(s.addr).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        read_http(&mut stream).expect("no answer").0[9..12].to_owned()
    };
    let query = |kind: &str, more: &str, body: &str| {
        send(&format!(
            "POST /api HTTP/1.1\r\nReq-Id: a\r\nReq-Kind: {kind}\r\n{more}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    };
    let part = |n: u32| format!(r#"{{"segment":{n},"boost":1}}"#);
    let good = format!(r#"{{"segments":[{}],"text":"x"}}"#, part(0));
    assert_eq!(
        query("whole", "Req-Deadline: 5000m\r\nReq-Retry: 1\r\nCookie: a=b; key=7f3a\r\n", &good),
        "200"
    );
    assert_eq!(query("nothing", "", &good), "400");
    assert_eq!(query("whole", "Req-Deadline: 5\r\n", &good), "400");
    for body in [
        "",
        "{",
        "{\"segments\":[]}",
        &format!(r#"{{"segments":[{}]}}"#, part(3)),
        &format!(r#"{{"segments":[{0},{0}]}}"#, part(1)),
    ] {
        assert_eq!(query("whole", "", body), "400", "{body}");
    }
    for (text, status) in [
        ("GET /api HTTP/1.1\r\n\r\n", "405"),
        ("POST /-/ready HTTP/1.1\r\n\r\n", "405"),
        ("GET /x HTTP/1.1\r\n\r\n", "404"),
        ("GET /-/ready HTTP/1.1\r\n\r\n", "200"),
        ("nonsense\r\n\r\n", "400"),
        ("POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"),
    ] {
        assert_eq!(send(text), status, "{text}");
    }
}

#[test]
fn silent_connection_is_replaced_after_the_shortest_aim() {
    // On a busy machine seconds can pass between two statements, hence up to ten tries.
    let served = (0..10).any(|_| {
        let script = NodeScript::default();
        let first = Arc::new(AtomicUsize::new(0));
        let nodes: Vec<_> = (0..3)
            .map(|n| (node_silent_at_first(n, script.clone(), first.clone()), WireProtocol::Http))
            .collect();
        let s = start_broker_with_nodes(WireProtocol::Http, &nodes, 100, script);
        let mut client = s.client();
        let start = std::time::Instant::now();
        // The first six connections read everything and answer nothing, so no answer arrives before new ones
        // are dialled. The aim is 0.6 s; a connection is closed for its silence only after 4 s.
        let served = (0..60).any(|_| {
            std::thread::sleep(Duration::from_millis(100));
            client.query("short") == Reply::Complete
        });
        served && start.elapsed() < Duration::from_millis(3500)
    });
    assert!(served);
}

#[test]
fn draining_node_gets_no_new_parts_and_a_changed_address_is_used() {
    let script = NodeScript::default();
    let nodes: Vec<_> =
        (0..3).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
    let (sender, receiver) = std::sync::mpsc::channel::<String>();
    let receiver = std::sync::Mutex::new(receiver);
    let discovery = listen(move |mut stream| {
        read_http(&mut stream)?;
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        loop {
            let line =
                receiver.lock().unwrap().recv_timeout(Duration::from_secs(1)).unwrap_or_default() + "\n";
            write!(stream, "{:x}\r\n{line}\r\n", line.len()).ok()?;
        }
    });
    let s = start_platform_broker(&platform_config(&nodes, 100, Some(discovery)), script.clone());
    assert_eq!(s.query("whole"), Reply::Complete);
    let line = |n: usize, addr, state| {
        format!(
            r#"{{"version":8,"full":false,"servers":[{{"id":"s-{n}","addr":"{addr}","zone":"a","cell":{n},"state":"{state}"}}]}}"#
        )
    };
    // Node 1 drains, and is listed at the address of stand-in 9, which counts the parts that still reach it.
    sender.send(line(1, node(WireProtocol::Http, 9, script.clone()), "Terminating")).unwrap();
    sender.send(line(2, node(WireProtocol::Http, 8, script.clone()), "Ready")).unwrap();
    // Partition 1 is held by nodes 1 and 2: once the updates are applied, only stand-in 8 (node 2) serves it.
    let moved = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        s.script.set(&[1, 2, 9], &[1], Behavior::Fail);
        s.query("whole") == Reply::Complete && (0..20).all(|_| s.query("whole") == Reply::Complete)
    });
    assert!(moved);
    assert_eq!(s.script.parts_received_by(9), 0, "a draining node received new parts");
    assert!(s.script.parts_received_by(8) > 0);
}

/// The HTTP request of a query with this id, `Req-Deadline` line and body.
pub fn query_request(id: &str, deadline: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /api HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: whole\r\n{deadline}Content-Length: {length}\r\n\r\n{body}"
    )
}

#[test]
fn invalid_queries_get_400_and_are_not_forwarded() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    let mut c = s.client();
    let segments = |parts: &[(&str, &str)]| {
        let one = |(s, b): &(&str, &str)| format!(r#"{{"segment":{s},"boost":{b}}}"#);
        format!(r#"{{"segments":[{}],"text":"t"}}"#, parts.iter().map(one).collect::<Vec<_>>().join(","))
    };
    let (good, deadline) = (segments(&[("0", "0.4"), ("1", "0.6")]), "Req-Deadline: 900m\r\n");
    let cases = [
        query_request("a", "", &good),
        query_request("b", "Req-Deadline: soon\r\n", &good),
        query_request("c", "Req-Deadline: -5m\r\n", &good),
        query_request("d d", deadline, &good),
        query_request("e", deadline, &segments(&[("0", "0.4"), ("1", "0.5")])),
        query_request("f", deadline, &segments(&[("0", "1.4"), ("1", "-0.4")])),
        query_request("g", deadline, &segments(&[("0", "1.5")])),
        query_request("h", deadline, &segments(&[("9", "1")])),
        query_request("i", deadline, &segments(&[("0", "0.5"), ("0", "0.5")])),
        query_request("j", deadline, "[]"),
    ];
    for case in cases {
        c.write(case.as_bytes());
        let (head, _) = read_http(&mut c.stream).unwrap();
        assert!(head.starts_with("HTTP/1.1 400"), "{case}: {head}");
    }
    assert_eq!(s.script.parts_received(), 0);
    c.write(query_request("z", deadline, &good).as_bytes());
    assert!(read_http(&mut c.stream).unwrap().0.starts_with("HTTP/1.1 200"));
}

#[test]
fn client_idle_for_longest_is_closed_for_a_new_one() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    // A quarter of the 96 descriptors: this many idle clients may stay connected.
    let mut idle: Vec<Client> = (0..24).map(|_| s.client()).collect();
    for client in &mut idle {
        assert_eq!(client.query("whole"), Reply::Complete);
    }
    assert_eq!(idle[0].query("whole"), Reply::Complete, "an idle client was closed although 24 may stay");
    assert_eq!(s.client().query("whole"), Reply::Complete);
    // Idle clients are closed after 60 s in any case; an earlier end makes room for the new client.
    let before = std::time::Instant::now();
    assert!(
        idle[1].closed_by_broker() && before.elapsed().as_secs() < 40,
        "the client idle for longest was not closed in time"
    );
    assert_eq!(idle[0].query("whole"), Reply::Complete);
    assert_eq!(idle[2].query("whole"), Reply::Complete);
}

#[test]
fn oversized_body_is_refused_before_it_is_complete() {
    for (wire, nodes) in [(WireProtocol::Http, WireProtocol::Http), (WireProtocol::Sru, WireProtocol::Sru)] {
        let s = start_broker(wire, nodes, 100);
        let mut c = TcpStream::connect(s.addr).unwrap();
        c.write_all(b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n").unwrap();
        // The broker may close the connection before it has read the body, so a failed write is no fault.
        let _ = c.write_all(&[b'x'; 100_000]);
        let mut answer = [0; 12];
        c.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"HTTP/1.1 413");
    }
}

#[test]
fn malformed_answer_closes_its_connection_and_its_part_is_served_elsewhere() {
    for behavior in [Behavior::Garbage, Behavior::Truncated, Behavior::UnknownQuery, Behavior::Duplicate] {
        let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
        s.script.set(&[1], &[0, 1, 2], behavior);
        let mut c = s.client();
        while s.script.parts_received_by(1) == 0 {
            assert_eq!(c.query("whole"), Reply::Complete, "{behavior:?}");
        }
        // An idle connection would stay open for 27 s.
        let ended = (0..1000).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            s.script.closed_connections() > 0
        });
        assert!(ended, "{behavior:?}");
    }
}

#[test]
fn duplicate_query_id_gets_409_and_the_first_query_is_answered() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    s.script.set(&[0, 1, 2], &[0], Behavior::Delayed(500));
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"t"}"#;
    let same = query_request("same", "Req-Deadline: 20000m\r\n", body);
    let (mut first, mut second) = (s.client(), s.client());
    first.write(same.as_bytes());
    s.wait_for_parts(1);
    // The same id is refused while the first query is open, and right after it.
    second.write(same.as_bytes());
    assert!(read_http(&mut second.stream).unwrap().0.starts_with("HTTP/1.1 409"));
    let (head, body) = read_http(&mut first.stream).unwrap();
    assert!(head.starts_with("HTTP/1.1 200") && body.contains("value <0>"), "{head}{body}");
    second.write(same.as_bytes());
    assert!(read_http(&mut second.stream).unwrap().0.starts_with("HTTP/1.1 409"));
    assert_eq!(second.query("whole"), Reply::Complete);
}

/// A broker whose 96 descriptors leave 32 for connections to its 40 servers; each server is the only holder of
/// its partition.
fn start_broker_with_40_servers(behavior: Behavior) -> TestBroker {
    const NODES: usize = 40;
    let script = NodeScript::default();
    script.set(&(0..NODES).collect::<Vec<_>>(), &(0..NODES as u32).collect::<Vec<_>>(), behavior);
    let nodes: Vec<_> =
        (0..NODES).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
    let config = platform_config(&nodes, 100, None);
    let config =
        config.replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":40,"slices":40,"span":1"#);
    start_platform_broker(&config, script)
}

/// Queries these partitions; returns the status line and the headers of the answer.
fn query_partitions(c: &mut Client, id: &str, partitions: std::ops::Range<u32>) -> String {
    let boost = 1.0 / partitions.len() as f64;
    let parts: Vec<String> = partitions.map(|p| format!(r#"{{"segment":{p},"boost":{boost}}}"#)).collect();
    let body = format!(r#"{{"segments":[{}],"text":"t"}}"#, parts.join(","));
    c.write(query_request(id, "Req-Deadline: 20000m\r\n", &body).as_bytes());
    read_http(&mut c.stream).unwrap().0
}

#[test]
fn more_servers_than_connections_are_all_reached_without_retries() {
    let s = start_broker_with_40_servers(Behavior::Serve);
    let mut c = s.client();
    for n in 0..120 {
        let partition = n % 40;
        let head = query_partitions(&mut c, &format!("q{n}"), partition..partition + 1);
        assert!(head.starts_with("HTTP/1.1 200"), "query {n}: {head}");
    }
    assert_eq!(s.script.parts_received(), 120, "a part was lost and retried");
}

#[test]
fn query_to_more_servers_than_connections_is_refused_and_the_next_ones_are_served() {
    let s = start_broker_with_40_servers(Behavior::Delayed(200));
    let mut c = s.client();
    // Eight parts get no connection. The query is refused, as none of its parts was lost on a server.
    assert!(query_partitions(&mut c, "all", 0..40).starts_with("HTTP/1.1 503"));
    // Servers to which nothing could be sent are not penalized: each gets its part at the first attempt.
    for (id, partitions) in [("first", 0..20), ("last", 20..40)] {
        let before = s.script.parts_received();
        assert!(query_partitions(&mut c, id, partitions).starts_with("HTTP/1.1 200"));
        assert_eq!(s.script.parts_received() - before, 20);
    }
}

#[test]
fn queries_over_the_places_of_a_port_get_a_complete_answer_or_a_refusal() {
    // 96 descriptors leave 32 places for clients, and up to 16 more temporarily.
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 1000);
    s.script.set(&[0, 1, 2], &[0, 1, 2], Behavior::Delayed(1000));
    let mut clients: Vec<Client> = (0..70).map(|_| s.client()).collect();
    clients.iter_mut().for_each(|c| c.send("whole", "raga"));
    let replies: Vec<Reply> = clients.iter_mut().map(Client::reply).collect();
    let complete = replies.iter().filter(|r| **r == Reply::Complete).count();
    let refused = replies.iter().filter(|r| matches!(r, Reply::Refused { .. })).count();
    assert!(complete >= 32 && complete + refused == 70, "{replies:?}");
}

#[test]
fn client_closed_before_its_first_request_gets_a_retry_time() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    let mut first = TcpStream::connect(s.addr).unwrap();
    let silent: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(s.addr).unwrap()).collect();
    let (head, _) = read_http(&mut first).unwrap();
    assert!(head.starts_with("HTTP/1.1 503") && head.contains("Retry-After: "), "{head}");
    drop(silent);
}
