//! Watches on the list of servers.

use super::*;
use pebbleturn_lab::standins::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::Instant;

/// Discovery that hands each watch to the test as it comes: what was asked, and the connection.
fn handed_over() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let (tell, told) = channel();
    let tell = Mutex::new(tell);
    let addr = listen(move |mut stream| {
        let (head, _) = read_http(&mut stream)?;
        tell.lock().unwrap().send((head, stream)).ok()
    });
    (addr, told)
}

/// Begins a watch's answer.
fn begin(stream: &mut TcpStream) {
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
}

fn chunk(stream: &mut TcpStream, text: &str) {
    write!(stream, "{:x}\r\n{text}\r\n", text.len()).unwrap();
}

/// Where lists are pushed nothing asks for them but the front itself: what discovery has counts as told whether or not
/// a watch is open.
#[test]
fn pushed_lists_are_watched_from_the_start_and_after_each_break() {
    let script = Script::default();
    let nodes: Vec<_> = (0..3).map(|n| (node(Wire::Http, n, script.clone()), Wire::Http)).collect();
    let (discovery, watches) = handed_over();
    let config = platform_config(&nodes, 100, Some(discovery)).replace("on_request", "pushed");
    let s = serve_told(&config, script.clone());
    // The first watch is cut before a byte of its answer, the second in half a line, the third stays.
    drop(watches.recv_timeout(HUNG).expect("no watch at the start"));
    let (_, mut second) = watches.recv_timeout(HUNG).expect("no watch after one that was cut");
    begin(&mut second);
    write!(second, "40\r\n{{\"version\":8,\"full\"").unwrap();
    drop(second);
    let (head, mut third) = watches.recv_timeout(HUNG).expect("no watch after half a line");
    assert!(head.contains("follow=1&since=7"), "half a line changes nothing: {head}");
    begin(&mut third);
    chunk(&mut third, &drain_of_1(8, nodes[1].0));
    assert!(hears_of_the_drain(&s));
}

/// A drain of node 1 as discovery may tell it: indented, over many lines.
fn drain_of_1(version: u64, addr: SocketAddr) -> String {
    format!(
        "{{\n  \"version\": {version},\n  \"full\": false,\n  \"servers\": [\n    {{\n      \"id\": \"s-1\",\n      \"addr\": \"{addr}\",\n      \
         \"zone\": \"a\",\n      \"cell\": 1,\n      \"state\": \"Terminating\"\n    }}\n  ]\n}}\n"
    )
}

/// Whether the broker comes to send node 1 nothing, though nobody else serves partition 1.
fn hears_of_the_drain(s: &Served) -> bool {
    s.script.set(&[2], &[1], Act::Fail);
    (0..2000).any(|_| {
        let before = s.script.came_to(1);
        s.ask("whole") != Reply::Whole && s.script.came_to(1) == before
    })
}

/// An indented list has line ends within it, and a piece of it may end at any of them.
#[test]
fn indented_list_is_read_in_any_pieces() {
    for cut in [1, 2, 40, 97] {
        let script = Script::default();
        let nodes: Vec<_> = (0..3).map(|n| (node(Wire::Http, n, script.clone()), Wire::Http)).collect();
        let (discovery, watches) = handed_over();
        let s = serve_told(&platform_config(&nodes, 100, Some(discovery)), script);
        let (_, mut watch) = watches.recv_timeout(HUNG).expect("no watch");
        begin(&mut watch);
        chunk(&mut watch, "\n");
        let text = drain_of_1(8, nodes[1].0);
        for piece in [&text[..cut], &text[cut..text.len() - 1], "\n", "\n"] {
            chunk(&mut watch, piece);
        }
        assert!(hears_of_the_drain(&s), "cut at {cut}");
        assert!(watches.try_recv().is_err(), "the watch was taken for a broken one");
    }
}

/// A list with all that discovery may write, also fields that the broker does not read: a piece of it may end behind any
/// byte, within a number too.
#[test]
fn list_is_read_byte_by_byte() {
    let script = Script::default();
    let nodes: Vec<_> = (0..3).map(|n| (node(Wire::Http, n, script.clone()), Wire::Http)).collect();
    let (discovery, watches) = handed_over();
    let s = serve_told(&platform_config(&nodes, 100, Some(discovery)), script);
    let (_, mut watch) = watches.recv_timeout(HUNG).expect("no watch");
    begin(&mut watch);
    chunk(&mut watch, "\n");
    let unread =
        r#""weight": 1.0, "load": -2.5e-3, "tags": ["\u00e9\n", null, true, -0], "started_ms": 0, "cell""#;
    let text = drain_of_1(8, nodes[1].0).replace("\"cell\"", unread);
    watch.set_nodelay(true).unwrap();
    for byte in 0..text.len() {
        chunk(&mut watch, &text[byte..=byte]);
        // Each byte arrives by itself.
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(hears_of_the_drain(&s));
    assert!(watches.try_recv().is_err(), "the watch was taken for a broken one");
}

/// What a silent watch misses counts as told 6 s after its last line, also where the settings want the list asked for once in
/// two minutes only.
#[test]
fn silent_watch_is_replaced_in_time_whatever_the_poll_interval() {
    let script = Script::default();
    let nodes: Vec<_> = (0..3).map(|n| (node(Wire::Http, n, script.clone()), Wire::Http)).collect();
    let (discovery, watches) = handed_over();
    let config = platform_config(&nodes, 100, Some(discovery))
        .replace(r#""must_ask_in_ns":10000000000"#, r#""must_ask_in_ns":120000000000"#);
    let s = serve_told(&config, script);
    // The first call is spread over a twentieth of the two minutes.
    let (_, mut silent) = watches.recv_timeout(HUNG).expect("no watch");
    begin(&mut silent);
    chunk(&mut silent, "\n");
    let last_line = Instant::now();
    let (_, mut next) = watches.recv_timeout(Duration::from_secs(6)).expect("no watch after a silent one");
    assert!(last_line.elapsed() > Duration::from_secs(2), "an empty line comes every 2 s only");
    begin(&mut next);
    chunk(&mut next, &drain_of_1(8, nodes[1].0));
    assert!(hears_of_the_drain(&s));
    drop(silent);
}
