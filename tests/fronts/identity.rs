//! Answers reach the query that they were made for, and no other.

use crate::ALL;
use crate::clients::*;
use crate::protocols::query_request;
use pebbleturn_lab::standins::*;

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
