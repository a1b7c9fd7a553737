//! Requests that a client writes at once, more than its buffer holds, get one answer each and in order.

use crate::clients::*;
use crate::departures::{query, search};
use crate::run_alone;
use pebbleturn_lab::standins::*;
use std::time::Duration;

const ALL_NODES: &[usize] = &[0, 1, 2];
const ALL_PARTITIONS: &[u32] = &[0, 1, 2];
/// Over 100 KB of queries or searches; a buffer holds 72 KiB.
const REQUESTS: usize = 200;
/// Longer than the broker needs to read them all.
const READ_TIME: Duration = Duration::from_millis(300);

/// Sends requests at once, the last of which ends its connection, while nodes hold the parts of the first one.
/// Returns the statuses of the responses, in order.
fn statuses_of_pipelined_requests(s: &TestBroker, request: fn(usize) -> String) -> Vec<String> {
    s.script.set(ALL_NODES, ALL_PARTITIONS, Behavior::Held);
    let mut client = s.client();
    let mut writer = client.stream.try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        let last = request(REQUESTS).replacen("\r\n", "\r\nConnection: close\r\n", 1);
        let all: String = (0..REQUESTS).map(request).chain([last]).collect();
        std::io::Write::write_all(&mut writer, all.as_bytes()).unwrap();
    });
    s.wait_for_parts(1);
    std::thread::sleep(READ_TIME);
    s.script.release_held();
    let heads = std::iter::from_fn(|| read_http(&mut client.stream).map(|(head, _)| head));
    let statuses = heads.map(|head| head.split(' ').nth(1).unwrap().to_owned()).collect();
    writing.join().unwrap();
    statuses
}

// Guards against losing or doubling a request that is read behind an open one: each gets its own answer, those that
// the buffer did not hold a refusal.
#[test]
fn each_request_beyond_the_buffer_gets_one_answer() {
    let _alone = run_alone();
    for (wire, request) in [(WireProtocol::Http, query as fn(usize) -> String), (WireProtocol::Sru, search)] {
        let s = start_broker(wire, wire, 100);
        let statuses = statuses_of_pipelined_requests(&s, request);
        assert_eq!(statuses.len(), REQUESTS + 1, "{wire:?}");
        assert!(statuses.iter().all(|status| status == "200" || status == "503"), "{wire:?}: {statuses:?}");
        // The first one was open, and the last ones were still buffered when it was answered.
        assert_eq!([&statuses[0], &statuses[REQUESTS]], ["200", "200"], "{wire:?}");
        assert!(statuses.iter().any(|status| status == "503"), "{wire:?}: none was refused");
    }
}
