//! Index nodes get no request for a query that has its final answer.

use crate::ALL;
use crate::clients::*;
use pebbleturn_lab::standins::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ALL_PARTITIONS: &[u32] = &[0, 1, 2];
/// The node that holds what it gets until the test releases it.
const HELD_NODE: usize = 0;
/// Time in which queries run beside the held node. It is tried again after 120 ms and later.
const QUERY_TIME: Duration = Duration::from_millis(1500);
/// Longer than a connection rests between a response and the next request.
const SEND_TIME: Duration = Duration::from_millis(300);

/// A broker with one connection to each node, whose pages have `page` records.
fn start_broker_with_one_connection_per_node(nodes: WireProtocol, page: u64) -> TestBroker {
    let script = NodeScript::default();
    let addrs: Vec<(SocketAddr, WireProtocol)> =
        (0..3).map(|number| (node(nodes, number, script.clone()), nodes)).collect();
    let config = operator_config(&addrs, 100)
        .replace("page = 2\n", &format!("page = {page}\nconnections_per_node = 1\n"));
    start_catalogue_broker(WireProtocol::Sru, &config, script)
}

/// Releases what the held node has, once all queries are answered. It must get nothing more.
fn assert_released_node_gets_no_request(s: &TestBroker) {
    let received = s.script.parts_received_by(HELD_NODE);
    assert!(received > 0, "the held node got no search");
    s.script.release_held();
    std::thread::sleep(SEND_TIME);
    assert_eq!(s.script.parts_received_by(HELD_NODE), received, "requests after the final answers");
}

// Guards against sending a search that waited for a connection after its query got its final answer: nodes that
// hung got searches of ended queries as soon as one of their connections was free.
#[test]
fn queued_search_of_an_answered_query_is_not_sent() {
    for nodes in [WireProtocol::Sru, WireProtocol::Z3950] {
        let s = start_broker_with_one_connection_per_node(nodes, 50);
        s.script.set(&[HELD_NODE], ALL_PARTITIONS, Behavior::Held);
        let mut client = s.client();
        let start = Instant::now();
        while start.elapsed() < QUERY_TIME {
            assert_eq!(client.query("whole"), Reply::Complete);
        }
        assert_released_node_gets_no_request(&s);
    }
}

// Guards against requesting the next page of a search after its query got its final answer.
#[test]
fn next_page_of_an_answered_query_is_not_requested() {
    let s = start_broker_with_one_connection_per_node(WireProtocol::Sru, 2);
    s.script.set(&[HELD_NODE], ALL_PARTITIONS, Behavior::Held);
    let mut client = s.client();
    while s.script.parts_received_by(HELD_NODE) == 0 {
        assert_eq!(client.query("whole"), Reply::Complete);
    }
    assert_released_node_gets_no_request(&s);
    s.script.set(ALL, ALL_PARTITIONS, Behavior::Serve);
    assert_eq!(client.query("whole"), Reply::Complete);
}
