//! While some clients send at full speed, other clients get their answers in time.

use crate::clients::*;
use crate::flooder::{Flood, RequestText};
use crate::run_alone;
use pebbleturn::frontends::catalogue::apdu::*;
use pebbleturn_lab::standins::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const FLOODING_CLIENTS: usize = 6;
/// Queries of the other client in each flood.
const QUERIES: usize = 12;
/// Time limit of its queries.
const TIME_LIMIT: Duration = Duration::from_millis(300);
/// How long after its time limit an answer is late, but the query is not yet lost.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time between two queries of the other client.
const PAUSE: Duration = Duration::from_millis(20);

/// Sends queries one after another while there is a flood. Each must get its final answer before it is lost.
fn assert_flood_delays_no_query(
    s: &TestBroker,
    name: &str,
    opening: &[u8],
    flood: RequestText,
    query: &dyn Fn(&TestBroker),
) {
    // Servers and their connections are known before the flood.
    query(s);
    let _flood = Flood::start(s.addr, FLOODING_CLIENTS, opening, flood);
    for _ in 0..QUERIES {
        std::thread::sleep(PAUSE);
        let start = Instant::now();
        query(s);
        let wait = start.elapsed();
        assert!(wait < TIME_LIMIT + LATE_ANSWER_TIME, "{name}: a query was answered after {wait:?}");
    }
}

/// Sends a request on a connection of its own, and reads its response, whatever it is.
fn exchange_http(s: &TestBroker, request: &str) {
    let mut client = s.client();
    client.write(request.as_bytes());
    read_http(&mut client.stream).expect("no answer");
}

fn query_http(s: &TestBroker) {
    let port_probe = TcpStream::connect(s.addr).unwrap();
    let id = port_probe.local_addr().unwrap().port();
    let limit = TIME_LIMIT.as_millis();
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"t"}"#;
    let length = body.len();
    let head = format!("POST /api HTTP/1.1\r\nReq-Id: own-{id}\r\nReq-Kind: whole\r\nReq-Deadline: {limit}m");
    exchange_http(s, &format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}"));
}

fn search_sru(s: &TestBroker) {
    let limit = TIME_LIMIT.as_millis();
    let query = "version=1.1&operation=searchRetrieve&maximumRecords=5&query=dc.title%20%3D%20%22raga%22";
    exchange_http(s, &format!("GET /whole?{query}&x-deadline-ms={limit} HTTP/1.1\r\nHost: x\r\n\r\n"));
}

fn readiness_check(_: usize, _: usize) -> Vec<u8> {
    b"GET /-/ready HTTP/1.1\r\n\r\n".to_vec()
}

fn query_without_id(_: usize, _: usize) -> Vec<u8> {
    b"POST /api HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_vec()
}

fn query_of_a_new_class(client: usize, number: usize) -> Vec<u8> {
    let head =
        format!("Req-Id: {client}x{number}\r\nReq-Kind: class-{client}-{number}\r\nReq-Deadline: 100m");
    format!("POST /api HTTP/1.1\r\n{head}\r\nContent-Length: 2\r\n\r\n{{}}").into_bytes()
}

fn search_in_a_new_database(client: usize, number: usize) -> Vec<u8> {
    format!("GET /db-{client}-{number}?operation=explain HTTP/1.1\r\n\r\n").into_bytes()
}

fn search_without_query(_: usize, _: usize) -> Vec<u8> {
    b"GET /whole?version=1.1&operation=searchRetrieve HTTP/1.1\r\n\r\n".to_vec()
}

fn z3950_init() -> Vec<u8> {
    Apdu::InitRequest(InitRequest {
        reference: None,
        versions: VERSIONS.into(),
        options: OPTIONS.into(),
        preferred_size: 1 << 16,
        largest_record: 1 << 16,
    })
    .encode()
}

fn z3950_present_of_a_new_set(client: usize, number: usize) -> Vec<u8> {
    Apdu::PresentRequest(PresentRequest {
        reference: None,
        result_set: format!("set-{client}-{number}"),
        start: 1,
        number: 1,
        element_set: None,
        syntax: None,
        complex: false,
    })
    .encode()
}

// Guards against handling all pipelined requests of a client before those of others: with six clients that
// write many small or invalid requests at a time, answers to others came seconds late.
#[test]
fn flood_of_small_http_requests_does_not_delay_other_clients() {
    let _alone = run_alone();
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    let floods: [(&str, RequestText); 3] = [
        ("no id, no time", query_without_id),
        ("readiness checks", readiness_check),
        ("new classes", query_of_a_new_class),
    ];
    for (name, flood) in floods {
        assert_flood_delays_no_query(&s, name, b"", flood, &query_http);
    }
}

// As above, on the catalogue's port.
#[test]
fn flood_of_small_sru_requests_does_not_delay_other_clients() {
    let _alone = run_alone();
    let s = start_broker(WireProtocol::Sru, WireProtocol::Sru, 100);
    let floods: [(&str, RequestText); 3] = [
        ("readiness checks", readiness_check),
        ("new databases", search_in_a_new_database),
        ("no query", search_without_query),
    ];
    for (name, flood) in floods {
        assert_flood_delays_no_query(&s, name, b"", flood, &search_sru);
    }
}

// As above, in sessions of Z39.50. A query has no time limit of its own there: the bound is that of its class.
#[test]
fn flood_of_small_z3950_requests_does_not_delay_other_clients() {
    let _alone = run_alone();
    let s = start_broker(WireProtocol::Z3950, WireProtocol::Sru, 100);
    let query = |s: &TestBroker| {
        s.query("short");
    };
    assert_flood_delays_no_query(&s, "new result sets", &z3950_init(), z3950_present_of_a_new_set, &query);
}
