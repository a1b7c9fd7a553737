//! Watches on the endpoint list.

use super::*;
use pebbleturn_lab::standins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// Discovery that passes each watch to the test when it arrives: the request line and the connection.
fn manual_discovery() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let (sender, receiver) = channel();
    let sender = Mutex::new(sender);
    let addr = listen(move |mut stream| {
        let (head, _) = read_http(&mut stream)?;
        sender.lock().unwrap().send((head, stream)).ok()
    });
    (addr, receiver)
}

/// Begins the response of a watch.
fn begin(stream: &mut TcpStream) {
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
}

fn chunk(stream: &mut TcpStream, text: &str) {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).unwrap();
}

/// Where lists are pushed, only the frontend itself requests them: a change at discovery counts as reported
/// whether or not a watch is open.
#[test]
fn pushed_lists_are_watched_from_the_start_and_after_each_break() {
    let script = NodeScript::default();
    let nodes: Vec<_> =
        (0..3).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
    let (discovery, watches) = manual_discovery();
    let config = platform_config(&nodes, 100, Some(discovery)).replace("on_request", "pushed");
    let s = start_platform_broker(&config, script.clone());
    // The first watch is cut before the first byte of its response, the second within a line; the third stays
    // open.
    drop(watches.recv_timeout(HANG_TIMEOUT).expect("no watch at the start"));
    let (_, mut second) = watches.recv_timeout(HANG_TIMEOUT).expect("no watch after the first one was cut");
    begin(&mut second);
    write!(second, "40\r\n{{\"version\":8,\"full\"").unwrap();
    drop(second);
    let (head, mut third) =
        watches.recv_timeout(HANG_TIMEOUT).expect("no watch after one that was cut within a line");
    assert!(head.contains("follow=1&since=7"), "a partial line was applied: {head}");
    begin(&mut third);
    chunk(&mut third, &drain_of_node_1(8, nodes[1].0));
    assert!(applies_drain(&s));
}

/// A list that reports a drain of node 1, indented over many lines as discovery may send it.
fn drain_of_node_1(version: u64, addr: SocketAddr) -> String {
    format!(
        "{{\n  \"version\": {version},\n  \"full\": false,\n  \"servers\": [\n    {{\n      \"id\": \"s-1\",\n      \"addr\": \"{addr}\",\n      \
         \"zone\": \"a\",\n      \"cell\": 1,\n      \"state\": \"Terminating\"\n    }}\n  ]\n}}\n"
    )
}

/// Whether the broker stops sending to node 1, although no other node serves partition 1.
fn applies_drain(s: &TestBroker) -> bool {
    s.script.set(&[2], &[1], Behavior::Fail);
    (0..2000).any(|_| {
        let before = s.script.parts_received_by(1);
        s.query("whole") != Reply::Complete && s.script.parts_received_by(1) == before
    })
}

/// An indented list contains line ends, and a chunk may end at any of them.
#[test]
fn indented_list_is_read_in_any_pieces() {
    for cut in [1, 2, 40, 97] {
        let script = NodeScript::default();
        let nodes: Vec<_> =
            (0..3).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
        let (discovery, watches) = manual_discovery();
        let s = start_platform_broker(&platform_config(&nodes, 100, Some(discovery)), script);
        let (_, mut watch) = watches.recv_timeout(HANG_TIMEOUT).expect("no watch");
        begin(&mut watch);
        chunk(&mut watch, "\n");
        let text = drain_of_node_1(8, nodes[1].0);
        for piece in [&text[..cut], &text[cut..text.len() - 1], "\n", "\n"] {
            chunk(&mut watch, piece);
        }
        assert!(applies_drain(&s), "cut at {cut}");
        assert!(watches.try_recv().is_err(), "an intact watch was replaced");
    }
}

/// A list with everything that discovery may send, including fields that the broker does not read. A chunk
/// may end after any byte, also within a number.
#[test]
fn list_is_read_byte_by_byte() {
    let script = NodeScript::default();
    let nodes: Vec<_> =
        (0..3).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
    let (discovery, watches) = manual_discovery();
    let s = start_platform_broker(&platform_config(&nodes, 100, Some(discovery)), script);
    let (_, mut watch) = watches.recv_timeout(HANG_TIMEOUT).expect("no watch");
    begin(&mut watch);
    chunk(&mut watch, "\n");
    let unread =
        r#""weight": 1.0, "load": -2.5e-3, "tags": ["\u00e9\n", null, true, -0], "started_ms": 0, "cell""#;
    let text = drain_of_node_1(8, nodes[1].0).replace("\"cell\"", unread);
    watch.set_nodelay(true).unwrap();
    for byte in 0..text.len() {
        chunk(&mut watch, &text[byte..=byte]);
        // The delay makes each byte arrive separately.
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(applies_drain(&s));
    assert!(watches.try_recv().is_err(), "an intact watch was replaced");
}

/// A change that a silent watch misses counts as reported 6 s after its last line, even where the settings
/// request the list only once in two minutes.
#[test]
fn silent_watch_is_replaced_in_time_whatever_the_poll_interval() {
    let script = NodeScript::default();
    let nodes: Vec<_> =
        (0..3).map(|n| (node(WireProtocol::Http, n, script.clone()), WireProtocol::Http)).collect();
    let (discovery, watches) = manual_discovery();
    let config = platform_config(&nodes, 100, Some(discovery))
        .replace(r#""must_ask_in_ns":10000000000"#, r#""must_ask_in_ns":120000000000"#);
    let s = start_platform_broker(&config, script);
    // The first call begins at a time within the first twentieth of the two minutes.
    let (_, mut silent) = watches.recv_timeout(HANG_TIMEOUT).expect("no watch");
    begin(&mut silent);
    chunk(&mut silent, "\n");
    let last_line = Instant::now();
    let (_, mut next) = watches.recv_timeout(Duration::from_secs(6)).expect("no watch after a silent one");
    assert!(
        last_line.elapsed() > Duration::from_secs(2),
        "the watch was replaced within 2 s, the interval of empty lines"
    );
    begin(&mut next);
    chunk(&mut next, &drain_of_node_1(8, nodes[1].0));
    assert!(applies_drain(&s));
    drop(silent);
}
