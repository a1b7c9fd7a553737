//! Answers reach the query that they were made for, and no other.

use crate::ALL;
use crate::clients::*;
use crate::protocols::query_request;
use pebbleturn::frontends::catalogue::{plan, sru};
use pebbleturn_lab::standins::*;

/// All partitions of a broker of [`start_broker`].
const ALL_PARTITIONS: &[u32] = &[0, 1, 2];

/// Sends `count` queries one after another, each with an id of its own and too little time to be forwarded.
fn send_hopeless_queries(client: &mut Client, sender: usize, count: usize) {
    let body = r#"{"segments":[{"segment":1,"boost":1}],"text":"t"}"#;
    for n in 0..count {
        client.write(query_request(&format!("h{sender}x{n}"), "Req-Deadline: 5m\r\n", body).as_bytes());
        let (head, _) = read_http(&mut client.stream).unwrap();
        assert!(!head.starts_with("HTTP/1.1 200"), "{head}");
    }
}

// Guards against forgetting the id of an open query behind 8,192 others: its reuse was then served, and the
// first client could get the values of the second one's parts.
#[test]
fn id_of_an_open_query_is_refused_after_any_number_of_other_queries() {
    const SENDERS: usize = 16;
    const QUERIES_EACH: usize = 540;
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    s.script.set(ALL, &[0], Behavior::Held);
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"t"}"#;
    let same = query_request("same", "Req-Deadline: 20000m\r\n", body);
    let (mut first, mut second) = (s.client(), s.client());
    first.write(same.as_bytes());
    s.wait_for_parts(1);
    std::thread::scope(|scope| {
        for sender in 0..SENDERS {
            let mut client = s.client();
            scope.spawn(move || send_hopeless_queries(&mut client, sender, QUERIES_EACH));
        }
    });
    second.write(same.as_bytes());
    // On the faulty code the second query is served too, and would wait for the held parts.
    s.script.release_held();
    let (head, _) = read_http(&mut second.stream).unwrap();
    assert!(head.starts_with("HTTP/1.1 409"), "{head}");
    let (head, body) = read_http(&mut first.stream).unwrap();
    assert!(head.starts_with("HTTP/1.1 200") && body.contains("value <0>"), "{head}{body}");
}

/// Sends queries of many clients at once, so that parts wait for connections to nodes; every answer must consist
/// of the records of its own partitions, which reading a reply checks.
fn assert_concurrent_queries_are_complete(s: &TestBroker) {
    const CLIENTS: usize = 10;
    const QUERIES_EACH: usize = 12;
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let mut client = s.client();
                for _ in 0..QUERIES_EACH {
                    assert_eq!(client.query("whole"), Reply::Complete);
                }
            });
        }
    });
}

/// Searches by key, which go to one partition each and take one page, of many clients at once; every answer must
/// consist of records of the key's partition.
fn assert_concurrent_key_searches_get_their_own_records(s: &TestBroker) {
    const CLIENTS: usize = 16;
    const SEARCHES_EACH: usize = 40;
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            scope.spawn(move || {
                let mut client = s.client();
                for n in 0..SEARCHES_EACH {
                    assert_key_search_gets_its_own_records(&mut client, &format!("k{number}x{n}"));
                }
            });
        }
    });
}

fn assert_key_search_gets_its_own_records(client: &mut Client, key: &str) {
    let partition = plan::partitions(PARTITIONS, 1, Some(plan::key_hash(key)))[0];
    let query = sru::percent_encode(&format!("music.compositionid exact \"{key}\""));
    let target = format!("/whole?version=1.1&operation=searchRetrieve&maximumRecords=2&query={query}");
    client.write(format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    let (head, body) = read_http(&mut client.stream).expect("no answer");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let response = sru::read_response(body.as_bytes()).unwrap();
    let expected = [record(partition, 1), record(partition, 2)].map(sru::Item::Record);
    assert_eq!(response.items, expected, "records of key {key}");
}

// Guards against taking the second copy of a node's response for the response to the next part or page on that
// connection, which gave clients records of other searches.
#[test]
fn second_copy_of_a_response_is_not_taken_for_the_response_to_the_next_request() {
    for nodes in [WireProtocol::Sru, WireProtocol::Z3950] {
        let s = start_broker(WireProtocol::Sru, nodes, 1000);
        s.script.set(&[0], ALL_PARTITIONS, Behavior::Duplicate);
        assert_concurrent_queries_are_complete(&s);
        assert_concurrent_key_searches_get_their_own_records(&s);
        assert!(s.script.parts_received_by(0) > 0);
    }
}

// Guards against taking a response to an earlier request, which arrives while a later one is in flight, for the
// response to that one. Z39.50 responses carry the reference id of their request.
#[test]
fn repeated_z3950_response_is_not_taken_for_the_response_to_the_request_in_flight() {
    let s = start_broker(WireProtocol::Sru, WireProtocol::Z3950, 1000);
    s.script.set(&[0], ALL_PARTITIONS, Behavior::RepeatPrevious);
    assert_concurrent_queries_are_complete(&s);
    assert!(s.script.parts_received_by(0) > 0);
}
