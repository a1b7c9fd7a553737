//! Nothing is sent to servers for a client that has left, however much of what it sent is unread.

use crate::clients::*;
use crate::run_alone;
use pebbleturn_lab::standins::*;
use std::io::{ErrorKind, Write};
use std::time::Duration;

const ALL_NODES: &[usize] = &[0, 1, 2];
/// Queries that are answered before.
const USUAL_QUERIES: usize = 20;
const ALL_PARTITIONS: &[u32] = &[0, 1, 2];
/// More than the buffers of the broker and of the system hold for a connection.
const MAX_UNREAD_BYTES: usize = 32 << 20;
const PADDING_BYTES: usize = 400;
/// Longer than the system needs to find that it can take no more.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// An attempt that begins this long after its client has left is a lost request.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);
/// How long a test looks for parts that are sent after that: first while all parts are held, then while they
/// fail, so that the broker would send them again.
const OBSERVATION_TIME: Duration = Duration::from_millis(400);

/// Sends requests at once, as many as the system takes without waiting.
fn send_all_that_fits(client: &mut Client, request: &dyn Fn(usize) -> String) {
    client.stream.set_nonblocking(true).unwrap();
    let mut unsent = Vec::new();
    let (mut number, mut sent, mut was_full) = (0, 0, false);
    while sent < MAX_UNREAD_BYTES {
        if unsent.is_empty() {
            unsent = request(number).into_bytes();
            number += 1;
        }
        match client.stream.write(&unsent) {
            Ok(written) => {
                sent += written;
                unsent.drain(..written);
                was_full = false;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && !was_full => {
                was_full = true;
                std::thread::sleep(FULL_PAUSE);
            }
            Err(_) => return,
        }
    }
}

/// Drops a client that has sent much, and checks that no part is sent for it from the end of the grace on.
fn assert_nothing_runs_after_departure(
    s: &TestBroker,
    mut client: Client,
    request: &dyn Fn(usize) -> String,
) {
    // The broker learns that nodes are quick, so that it tries held parts again soon.
    for _ in 0..USUAL_QUERIES {
        assert_eq!(s.query("whole"), Reply::Complete);
    }
    s.script.set(ALL_NODES, ALL_PARTITIONS, Behavior::HeldThenFails);
    let usual_parts = s.script.parts_received();
    send_all_that_fits(&mut client, request);
    s.wait_for_parts(usual_parts + 1);
    drop(client);
    std::thread::sleep(DEPARTURE_GRACE);
    let before = s.script.parts_received();
    std::thread::sleep(OBSERVATION_TIME);
    s.script.release_held();
    std::thread::sleep(OBSERVATION_TIME);
    let after = s.script.parts_received();
    assert_eq!(after, before, "parts were sent for a client that had left");
}

/// A header line that makes requests longer.
fn padding() -> String {
    format!("X-Padding: {}\r\n", "x".repeat(PADDING_BYTES))
}

pub fn query(number: usize) -> String {
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"t"}"#;
    let head = format!("Req-Id: left-{number}\r\nReq-Kind: whole\r\nReq-Deadline: 20000m");
    let padding = padding();
    format!("POST /api HTTP/1.1\r\n{padding}{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn search(number: usize) -> String {
    let query = format!("dc.title%20%3D%20%22raga{number}%22");
    format!(
        "GET /whole?version=1.1&operation=searchRetrieve&maximumRecords=5&query={query} HTTP/1.1\r\n{}\r\n",
        padding()
    )
}

// Guards against serving a client that has left with so much unread that its end was not seen: the broker stopped
// reading behind an open query, and each query that it read later was sent to servers.
#[test]
fn queries_of_an_http_client_that_left_with_much_unread_are_not_sent() {
    let _alone = run_alone();
    let s = start_broker(WireProtocol::Http, WireProtocol::Http, 100);
    assert_nothing_runs_after_departure(&s, s.client(), &query);
}

// As above, on the catalogue's port, where the end was not looked at while the buffer was full.
#[test]
fn searches_of_an_sru_client_that_left_with_much_unread_are_not_sent() {
    let _alone = run_alone();
    for nodes in [WireProtocol::Sru, WireProtocol::Z3950] {
        let s = start_broker(WireProtocol::Sru, nodes, 100);
        assert_nothing_runs_after_departure(&s, s.client(), &search);
    }
}
