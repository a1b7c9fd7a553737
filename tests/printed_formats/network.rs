//! What a broker run by the platform sends to clients, shard servers and discovery.

use super::PROGRAM;
use super::fixture;
use super::placeholder::Placeholders;
use pebbleturn::membership::NodeState;
use pebbleturn_lab::directory::endpoint;
use pebbleturn_lab::running::{HANG_TIMEOUT, Site, until};
use pebbleturn_lab::standins::{listen, read_http};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// Messages that stand-ins have received, one per entry.
type Recorded = Arc<Mutex<Vec<Vec<u8>>>>;

/// Client requests, in this order, each on a new connection.
const REQUESTS: &[&str] = &[
    "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n",
    "GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n",
    "POST /api HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
    "no request\r\n\r\n",
];

/// The body of a query with one part.
const QUERY_BODY: &str = r#"{"segments":[{"segment":0,"boost":1.0}],"text":"t"}"#;

fn query(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: c\r\nReq-Deadline: 20000m\r\nContent-Length: {}\r\n\r\n{QUERY_BODY}",
        QUERY_BODY.len()
    )
}

/// A shard server that records frames and answers only the parts of queries whose ids begin with 1.
fn recording_server(recorded: Recorded) -> SocketAddr {
    listen(move |mut stream| {
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length).ok()?;
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut frame).ok()?;
            recorded.lock().unwrap().push([&length[..], &frame].concat());
            if frame.starts_with(b"R1") {
                let id = String::from_utf8_lossy(&frame[1..]).split(' ').next()?.to_owned();
                let body = format!("Y{id} OK 17 queue=0,util=0.2\nvalue");
                stream.write_all(&(body.len() as u32).to_be_bytes()).ok()?;
                stream.write_all(body.as_bytes()).ok()?;
            }
        }
    })
}

/// A proxy in front of discovery that records the heads of requests.
fn recording_discovery(discovery_addr: SocketAddr, recorded: Recorded) -> SocketAddr {
    listen(move |mut stream| {
        let (head, _) = read_http(&mut stream)?;
        recorded.lock().unwrap().push(head.clone().into_bytes());
        let mut discovery = TcpStream::connect(discovery_addr).ok()?;
        discovery.write_all(head.as_bytes()).ok()?;
        std::io::copy(&mut discovery, &mut stream).ok()?;
        None
    })
}

/// The first message that satisfies the condition, escaped.
fn first_message(recorded: &Recorded, is_match: impl Fn(&[u8]) -> bool) -> Option<String> {
    let messages = recorded.lock().unwrap();
    let message = messages.iter().find(|message| is_match(message))?;
    Some(message.escape_ascii().to_string())
}

/// Replaces the remaining time of the part in a frame's text: `d=<wait>`.
fn hide_remaining_time(frame: &str) -> String {
    let (before, after) = frame.split_once(" d=").unwrap();
    let (remaining_time, rest) = after.split_once(' ').unwrap();
    // The length prefix of the frame depends on the number of digits.
    assert!(remaining_time.len() == 4 && remaining_time.bytes().all(|byte| byte.is_ascii_digit()), "{frame}");
    format!("{before} d=<wait> {rest}")
}

fn exchange(listen_addr: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(listen_addr).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let (head, body) = read_http(&mut stream).unwrap();
    let bytes = |text: &str| text.as_bytes().escape_ascii().to_string().replace("\\r\\n", "\\r\\n\n");
    format!("client sends\n{}\nclient receives\n{}{}\n", bytes(request), bytes(&head), bytes(&body))
}

#[test]
fn messages_are_sent_as_recorded() {
    let mut site = Site::new(PROGRAM);
    let (frames, requests) = (Recorded::default(), Recorded::default());
    for cell in 0..3 {
        let server = recording_server(frames.clone());
        site.directory.change(endpoint(&format!("s-{cell}"), server, "", cell, NodeState::Ready));
    }
    site.directory.addr = recording_discovery(site.directory.addr, requests.clone());
    let process = site.start();
    let mut sent: String = REQUESTS.iter().map(|request| exchange(site.listen_addr(), request)).collect();
    sent += &exchange(site.listen_addr(), &query("1000000000000001"));
    let request = first_message(&frames, |frame| frame[4..].starts_with(b"R1")).unwrap();
    sent += &format!("shard server receives\n{}\n", hide_remaining_time(&request));
    // A client disconnects while its query is unanswered.
    let mut client = TcpStream::connect(site.listen_addr()).unwrap();
    client.write_all(query("2000000000000001").as_bytes()).unwrap();
    until("the shard server has received the part", || {
        first_message(&frames, |frame| frame[4..].starts_with(b"R2")).is_some()
    });
    client.shutdown(Shutdown::Both).unwrap();
    until("the part is cancelled", || first_message(&frames, |frame| frame[4] == b'A').is_some());
    let cancellation = first_message(&frames, |frame| frame[4] == b'A').unwrap();
    sent += &format!("shard server receives\n{cancellation}\n");
    let discovery_request = first_message(&requests, |_| true).unwrap();
    sent += &format!("discovery receives\n{discovery_request}\n");
    let mut placeholders = Placeholders::default();
    placeholders.add(site.directory.addr, "<discovery>");
    drop(process);
    fixture::assert_matches("network.txt", &placeholders.apply(&sent));
}
