//! What one protocol alone has: result sets, positions, services that are not there, explain.

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

fn ask(client: &mut Client, apdu: Apdu) -> Apdu {
    client.write(&apdu.encode());
    read_apdu(&mut client.stream).expect("an answer")
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

/// The Bib-1 number in an answer.
fn number(apdu: &Apdu) -> Option<u16> {
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
    let found = ask(&mut c, Apdu::SearchRequest(search("a", title("raga"))));
    assert!(matches!(&found, Apdu::SearchResponse(r) if r.success && r.count == 9));
    // Positions run through the partitions: 3 and 4 lie in two of them.
    let Apdu::PresentResponse(p) = ask(&mut c, present("a", 3, 2, Some(USMARC))) else { panic!() };
    let expected = [record(0, 3), record(1, 1)].map(|r| r.to_iso2709().unwrap());
    let expected = expected.map(|bytes| Retrieved::Record { syntax: USMARC.into(), bytes });
    assert_eq!((p.records, p.next, p.status), (Records::Some(expected.into()), 5, 0));
    let Apdu::PresentResponse(p) = ask(&mut c, present("a", 9, 1, Some(XML))) else { panic!() };
    assert!(
        matches!(&p.records, Records::Some(r) if matches!(&r[..], [Retrieved::Record { syntax, .. }] if syntax == XML))
    );
    assert_eq!(p.next, 0);
    for (start, count, syntax, expected) in
        [(10, 1, None, 13), (0, 1, None, 13), (8, 3, None, 13), (1, 1, Some("1.2.840.10003.5.101"), 239)]
    {
        assert_eq!(number(&ask(&mut c, present("a", start, count, syntax))), Some(expected));
    }
    assert_eq!(number(&ask(&mut c, present("b", 1, 1, None))), Some(30));
    let kept = SearchRequest { replace: false, ..search("a", title("raga")) };
    assert_eq!(number(&ask(&mut c, Apdu::SearchRequest(kept))), Some(21));
    for n in 1..16 {
        let more = ask(&mut c, Apdu::SearchRequest(search(&format!("set{n}"), title("raga"))));
        assert_eq!(number(&more), None);
    }
    assert_eq!(number(&ask(&mut c, Apdu::SearchRequest(search("one more", title("raga"))))), Some(112));
    let delete = |names: &[&str]| Apdu::DeleteRequest {
        reference: None,
        sets: Some(names.iter().map(|n| n.to_string()).collect()),
    };
    assert_eq!(ask(&mut c, delete(&["a"])), Apdu::DeleteResponse { reference: None, status: 0 });
    assert_eq!(ask(&mut c, delete(&["a"])), Apdu::DeleteResponse { reference: None, status: 1 });
}

#[test]
fn small_sets_bring_their_records_along() {
    let s = start_broker(WireProtocol::Z3950, WireProtocol::Z3950, 100);
    let mut c = s.client();
    for (small, large, medium, expected) in [(9, 10, 0, 9), (8, 9, 5, 0), (1, 100, 4, 4)] {
        let r = SearchRequest {
            small_upper: small,
            large_lower: large,
            medium_number: medium,
            ..search("a", title("raga"))
        };
        let Apdu::SearchResponse(r) = ask(&mut c, Apdu::SearchRequest(r)) else { panic!() };
        assert_eq!((r.count, r.records.len()), (9, expected));
    }
}

#[test]
fn searches_that_can_t_be_understood_meet_the_standard_numbers() {
    let s = start_broker(WireProtocol::Z3950, WireProtocol::Z3950, 100);
    let mut c = s.client();
    let unknown = SearchRequest { databases: vec!["nowhere".into()], ..search("a", title("raga")) };
    let two = SearchRequest { databases: vec!["whole".into(), "most".into()], ..search("a", title("raga")) };
    let used = |access| Query::Rpn(rpn::write(&Search::Clause(Clause::new(access, "x"))));
    let cases = [
        (unknown, 235),
        (two, 23),
        (search("a", used(9999)), 114),
        (search("a", Query::Other(0)), 107),
        (search("a", title("")), 125),
        (search("a", Query::Cql("title = ((".into())), 108),
    ];
    for (request, expected) in cases {
        assert_eq!(number(&ask(&mut c, Apdu::SearchRequest(request))), Some(expected));
    }
    let found = ask(&mut c, Apdu::SearchRequest(search("a", Query::Cql("title = raga".into()))));
    assert!(matches!(found, Apdu::SearchResponse(r) if r.count == 9), "CQL is taken as a query of type 104");
}

#[test]
fn services_that_were_not_agreed_on_are_answered_and_a_close_is_returned() {
    let s = start_broker(WireProtocol::Z3950, WireProtocol::Z3950, 100);
    let mut c = s.client();
    for (request, response) in [(35, 36), (43, 44), (46, 47)] {
        let answer = ask(&mut c, Apdu::Other { reference: Some(vec![9]), tag: request });
        assert_eq!(answer, Apdu::Other { reference: Some(vec![9]), tag: response });
    }
    let answer = ask(&mut c, Apdu::Other { reference: None, tag: 30 });
    assert!(matches!(answer, Apdu::Close { reason: 6, .. }));
    let mut other = s.client();
    let answer =
        ask(&mut other, Apdu::Close { reference: None, reason: 0, diagnostic_information: String::new() });
    assert!(matches!(answer, Apdu::Close { reason: 0, .. }));
    // Before Init, nothing else is taken.
    let mut raw = TcpStream::connect(s.addr).unwrap();
    raw.write_all(&Apdu::SearchRequest(search("a", title("raga"))).encode()).unwrap();
    assert!(matches!(read_apdu(&mut raw), Some(Apdu::Close { reason: 6, .. })));
    assert_eq!(raw.read(&mut [0]).unwrap(), 0);
}

fn get(s: &TestBroker, target: &str) -> (String, String) {
    let mut stream = TcpStream::connect(s.addr).unwrap();
    write!(stream, "GET {target} HTTP/1.1\r\nHost: shop:8210\r\n\r\n").unwrap();
    read_http(&mut stream).expect("an answer")
}

#[test]
fn sru_pages_explains_and_meets_bad_requests() {
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
    let long = form.len();
    write!(stream, "POST /whole HTTP/1.1\r\nContent-Length: {long}\r\nContent-Type: application/x-www-form-urlencoded\r\n\r\n{form}").unwrap();
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
        // Were another partition asked, there would be no whole answer.
        let others: Vec<u32> = (0..PARTITIONS).filter(|p| *p != partition).collect();
        s.script.set(&[0, 1, 2], &others, Behaviour::Fail);
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
            let found = ask(&mut c, Apdu::SearchRequest(search("a", Query::Rpn(rpn::write(&both)))));
            assert!(matches!(found, Apdu::SearchResponse(r) if r.count == RECORDS_PER_PARTITION as i64));
            record(partition, 1)
        };
        assert_eq!(first.fields[0], Field::Control { tag: "001".into(), value: format!("p{partition}-1") });
    }
}

#[test]
fn the_platform_s_port_answers_bad_requests_by_status() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    let send = |text: &str| {
        let mut stream = TcpStream::connect(s.addr).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        read_http(&mut stream).expect("an answer").0[9..12].to_owned()
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
fn a_connection_that_fell_silent_is_dialled_anew_after_the_shortest_aim() {
    // A machine so busy that seconds go by between two lines may need another try.
    let served = (0..10).any(|_| {
        let script = NodeScript::default();
        let first = Arc::new(AtomicUsize::new(0));
        let nodes: Vec<_> = (0..3)
            .map(|n| (node_silent_at_first(n, script.clone(), first.clone()), WireProtocol::Http))
            .collect();
        let s = start_broker_with_nodes(WireProtocol::Http, &nodes, 100, script);
        let mut client = s.client();
        let start = std::time::Instant::now();
        // Six connections that swallow all: no answer comes before new ones are dialled. The aim is 0.6 s, and
        // a connection that is closed for its silence is so after 4 s.
        let served = (0..60).any(|_| {
            std::thread::sleep(Duration::from_millis(100));
            client.query("short") == Reply::Complete
        });
        served && start.elapsed() < Duration::from_millis(3500)
    });
    assert!(served);
}

#[test]
fn a_node_that_drains_gets_nothing_new_and_a_new_address_is_used() {
    let script = NodeScript::default();
    let nodes: Vec<_> =
        (0..3).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
    let (tell, told) = std::sync::mpsc::channel::<String>();
    let told = std::sync::Mutex::new(told);
    let discovery = listen(move |mut stream| {
        read_http(&mut stream)?;
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        loop {
            let line = told.lock().unwrap().recv_timeout(Duration::from_secs(1)).unwrap_or_default() + "\n";
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
    // Node 1 drains, and its number 9 from now on shows what still reaches it there.
    tell.send(line(1, node(WireProtocol::Http, 9, script.clone()), "Terminating")).unwrap();
    tell.send(line(2, node(WireProtocol::Http, 8, script.clone()), "Ready")).unwrap();
    // Partition 1 is held by nodes 1 and 2: from the moment of the news on, only 8 serves it.
    let moved = (0..200).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        s.script.set(&[1, 2, 9], &[1], Behaviour::Fail);
        s.query("whole") == Reply::Complete && (0..20).all(|_| s.query("whole") == Reply::Complete)
    });
    assert!(moved);
    assert_eq!(s.script.parts_received_by(9), 0, "a node that drains gets nothing new");
    assert!(s.script.parts_received_by(8) > 0);
}

/// A query with this id, deadline line and body.
fn query(id: &str, deadline: &str, body: &str) -> String {
    let long = body.len();
    format!(
        "POST /api HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: whole\r\n{deadline}Content-Length: {long}\r\n\r\n{body}"
    )
}

#[test]
fn queries_that_are_none_get_400_and_are_not_passed_on() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    let mut c = s.client();
    let segments = |parts: &[(&str, &str)]| {
        let one = |(s, b): &(&str, &str)| format!(r#"{{"segment":{s},"boost":{b}}}"#);
        format!(r#"{{"segments":[{}],"text":"t"}}"#, parts.iter().map(one).collect::<Vec<_>>().join(","))
    };
    let (good, time) = (segments(&[("0", "0.4"), ("1", "0.6")]), "Req-Deadline: 900m\r\n");
    let cases = [
        query("a", "", &good),
        query("b", "Req-Deadline: soon\r\n", &good),
        query("c", "Req-Deadline: -5m\r\n", &good),
        query("d d", time, &good),
        query("e", time, &segments(&[("0", "0.4"), ("1", "0.5")])),
        query("f", time, &segments(&[("0", "1.4"), ("1", "-0.4")])),
        query("g", time, &segments(&[("0", "1.5")])),
        query("h", time, &segments(&[("9", "1")])),
        query("i", time, &segments(&[("0", "0.5"), ("0", "0.5")])),
        query("j", time, "[]"),
    ];
    for case in cases {
        c.write(case.as_bytes());
        let (head, _) = read_http(&mut c.stream).unwrap();
        assert!(head.starts_with("HTTP/1.1 400"), "{case}: {head}");
    }
    assert_eq!(s.script.parts_received(), 0);
    c.write(query("z", time, &good).as_bytes());
    assert!(read_http(&mut c.stream).unwrap().0.starts_with("HTTP/1.1 200"));
}

#[test]
fn clients_that_ask_once_and_stay_make_room_for_those_that_come_next() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    // A quarter of the 96 descriptors.
    let mut stay: Vec<Client> = (0..24).map(|_| s.client()).collect();
    for client in &mut stay {
        assert_eq!(client.query("whole"), Reply::Complete);
    }
    assert_eq!(stay[0].query("whole"), Reply::Complete, "as many may stay");
    assert_eq!(s.client().query("whole"), Reply::Complete);
    // Whoever stays idle is closed after 60 s; this is for the others' sake.
    let before = std::time::Instant::now();
    assert!(
        stay[1].closed_by_broker() && before.elapsed().as_secs() < 40,
        "the one idle for longest goes at once"
    );
    assert_eq!(stay[0].query("whole"), Reply::Complete);
    assert_eq!(stay[2].query("whole"), Reply::Complete);
}

#[test]
fn a_body_that_is_too_large_is_refused_while_it_is_still_coming() {
    for (wire, nodes) in [(WireProtocol::Http, WireProtocol::Http), (WireProtocol::Sru, WireProtocol::Sru)] {
        let s = start_broker(wire, nodes, 100);
        let mut c = TcpStream::connect(s.addr).unwrap();
        c.write_all(b"POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n").unwrap();
        // What is sent after the answer is not what is tested here; the client may be cut off.
        let _ = c.write_all(&[b'x'; 100_000]);
        let mut answer = [0; 12];
        c.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"HTTP/1.1 413");
    }
}

#[test]
fn a_spoilt_answer_ends_its_connection_at_once_and_its_part_is_served_elsewhere() {
    for act in [Behaviour::Garbage, Behaviour::Truncated, Behaviour::UnknownQuery, Behaviour::Duplicate] {
        let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
        s.script.set(&[1], &[0, 1, 2], act);
        let mut c = s.client();
        while s.script.parts_received_by(1) == 0 {
            assert_eq!(c.query("whole"), Reply::Complete, "{act:?}");
        }
        // An idle connection would stand for 27 s.
        let ended = (0..1000).any(|_| {
            std::thread::sleep(Duration::from_millis(10));
            s.script.closed_connections() > 0
        });
        assert!(ended, "{act:?}");
    }
}

#[test]
fn the_id_of_another_query_gets_an_answer_of_its_own_and_harms_neither() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    s.script.set(&[0, 1, 2], &[0], Behaviour::Delayed(500));
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"t"}"#;
    let same = query("same", "Req-Deadline: 20000m\r\n", body);
    let (mut first, mut second) = (s.client(), s.client());
    first.write(same.as_bytes());
    s.wait_for_parts(1);
    // While it is open, and right after.
    second.write(same.as_bytes());
    assert!(read_http(&mut second.stream).unwrap().0.starts_with("HTTP/1.1 409"));
    let (head, body) = read_http(&mut first.stream).unwrap();
    assert!(head.starts_with("HTTP/1.1 200") && body.contains("value <0>"), "{head}{body}");
    second.write(same.as_bytes());
    assert!(read_http(&mut second.stream).unwrap().0.starts_with("HTTP/1.1 409"));
    assert_eq!(second.query("whole"), Reply::Complete);
}

/// A broker whose 96 descriptors leave 32 for connections to its 40 servers, each the one holder of its partition.
fn serve_wide(act: Behaviour) -> TestBroker {
    const NODES: usize = 40;
    let script = NodeScript::default();
    script.set(&(0..NODES).collect::<Vec<_>>(), &(0..NODES as u32).collect::<Vec<_>>(), act);
    let nodes: Vec<_> =
        (0..NODES).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
    let told = platform_config(&nodes, 100, None);
    let told = told.replace(r#""positions":3,"slices":3,"span":2"#, r#""positions":40,"slices":40,"span":1"#);
    start_platform_broker(&told, script)
}

/// Asks for these partitions; gives the first line and the headers of the answer.
fn ask_for(c: &mut Client, id: &str, partitions: std::ops::Range<u32>) -> String {
    let boost = 1.0 / partitions.len() as f64;
    let parts: Vec<String> = partitions.map(|p| format!(r#"{{"segment":{p},"boost":{boost}}}"#)).collect();
    let body = format!(r#"{{"segments":[{}],"text":"t"}}"#, parts.join(","));
    c.write(query(id, "Req-Deadline: 20000m\r\n", &body).as_bytes());
    read_http(&mut c.stream).unwrap().0
}

#[test]
fn more_servers_than_connections_are_all_reached_and_none_is_blamed() {
    let s = serve_wide(Behaviour::Serve);
    let mut c = s.client();
    for ask in 0..120 {
        let partition = ask % 40;
        let head = ask_for(&mut c, &format!("q{ask}"), partition..partition + 1);
        assert!(head.starts_with("HTTP/1.1 200"), "query {ask}: {head}");
    }
    assert_eq!(s.script.parts_received(), 120, "nothing was lost and tried again");
}

#[test]
fn a_query_over_more_servers_than_connections_ends_at_once_and_the_next_is_served() {
    let s = serve_wide(Behaviour::Delayed(200));
    let mut c = s.client();
    // Eight parts find no connection. That is refused, as nothing of it was lost on a server.
    assert!(ask_for(&mut c, "all", 0..40).starts_with("HTTP/1.1 503"));
    // Servers to which nothing could be sent are as good as before: each is asked at the first try.
    for (id, partitions) in [("first", 0..20), ("last", 20..40)] {
        let before = s.script.parts_received();
        assert!(ask_for(&mut c, id, partitions).starts_with("HTTP/1.1 200"));
        assert_eq!(s.script.parts_received() - before, 20);
    }
}

#[test]
fn whoever_asks_while_all_places_are_taken_gets_a_whole_answer() {
    // 96 descriptors leave 32 places for clients, and up to 16 more for a moment.
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 1000);
    s.script.set(&[0, 1, 2], &[0, 1, 2], Behaviour::Delayed(1000));
    let mut clients: Vec<Client> = (0..70).map(|_| s.client()).collect();
    clients.iter_mut().for_each(|c| c.send("whole", "raga"));
    let replies: Vec<Reply> = clients.iter_mut().map(Client::reply).collect();
    let whole = replies.iter().filter(|r| **r == Reply::Complete).count();
    let refused = replies.iter().filter(|r| matches!(r, Reply::Refused { .. })).count();
    assert!(whole >= 32 && whole + refused == 70, "{replies:?}");
}

#[test]
fn who_has_to_go_before_it_has_asked_is_told_when_to_come_back() {
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    let mut first = TcpStream::connect(s.addr).unwrap();
    let crowd: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(s.addr).unwrap()).collect();
    let (head, _) = read_http(&mut first).unwrap();
    assert!(head.starts_with("HTTP/1.1 503") && head.contains("Retry-After: "), "{head}");
    drop(crowd);
}
