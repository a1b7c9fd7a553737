//! What a broker of the platform sends: to clients, to shard servers and to discovery.

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

/// What stand-ins have read, one message an entry.
type Recorded = Arc<Mutex<Vec<Vec<u8>>>>;

/// Requests of clients, in this order, each on a connection of its own.
const REQUESTS: &[&str] = &[
    "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n",
    "GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n",
    "POST /api HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
    "no request\r\n\r\n",
];

/// A query of one part.
const QUERY_BODY: &str = r#"{"segments":[{"segment":0,"boost":1.0}],"text":"t"}"#;

fn query(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: c\r\nReq-Deadline: 20000m\r\nContent-Length: {}\r\n\r\n{QUERY_BODY}",
        QUERY_BODY.len()
    )
}

/// A shard server that records frames, and answers the parts of the queries whose ids begin with 1.
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

/// Stands before discovery and records the heads of requests.
fn recording_discovery(behind: SocketAddr, recorded: Recorded) -> SocketAddr {
    listen(move |mut stream| {
        let (head, _) = read_http(&mut stream)?;
        recorded.lock().unwrap().push(head.clone().into_bytes());
        let mut discovery = TcpStream::connect(behind).ok()?;
        discovery.write_all(head.as_bytes()).ok()?;
        std::io::copy(&mut discovery, &mut stream).ok()?;
        None
    })
}

/// The first message that a condition holds for, escaped.
fn first(recorded: &Recorded, holds: impl Fn(&[u8]) -> bool) -> Option<String> {
    let messages = recorded.lock().unwrap();
    let message = messages.iter().find(|message| holds(message))?;
    Some(message.escape_ascii().to_string())
}

/// A frame's text with `d=<wait>` in place of the time that is left for the part.
fn hide_wait(frame: &str) -> String {
    let (before, after) = frame.split_once(" d=").unwrap();
    let (wait, rest) = after.split_once(' ').unwrap();
    // The frame's length counts these digits.
    assert!(wait.len() == 4 && wait.bytes().all(|byte| byte.is_ascii_digit()), "{frame}");
    format!("{before} d=<wait> {rest}")
}

fn answer(door: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(door).unwrap();
    stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let (head, body) = read_http(&mut stream).unwrap();
    let bytes = |text: &str| text.as_bytes().escape_ascii().to_string().replace("\\r\\n", "\\r\\n\n");
    format!("client sends\n{}\nclient receives\n{}{}\n", bytes(request), bytes(&head), bytes(&body))
}

#[test]
fn a_small_exchange_is_sent_as_recorded() {
    let mut site = Site::new(PROGRAM);
    let (frames, requests) = (Recorded::default(), Recorded::default());
    for cell in 0..3 {
        let server = recording_server(frames.clone());
        site.directory.change(endpoint(&format!("s-{cell}"), server, "", cell, NodeState::Ready));
    }
    site.directory.addr = recording_discovery(site.directory.addr, requests.clone());
    let process = site.start();
    let mut sent: String = REQUESTS.iter().map(|request| answer(site.listen_addr(), request)).collect();
    sent += &answer(site.listen_addr(), &query("1000000000000001"));
    let request = first(&frames, |frame| frame[4..].starts_with(b"R1")).unwrap();
    sent += &format!("shard server receives\n{}\n", hide_wait(&request));
    // The client of a query that nobody answers hangs up.
    let mut client = TcpStream::connect(site.listen_addr()).unwrap();
    client.write_all(query("2000000000000001").as_bytes()).unwrap();
    until("its part is out", || first(&frames, |frame| frame[4..].starts_with(b"R2")).is_some());
    client.shutdown(Shutdown::Both).unwrap();
    until("its part is called off", || first(&frames, |frame| frame[4] == b'A').is_some());
    let cancelled = first(&frames, |frame| frame[4] == b'A').unwrap();
    sent += &format!("shard server receives\n{cancelled}\n");
    let asked = first(&requests, |_| true).unwrap();
    sent += &format!("discovery receives\n{asked}\n");
    let mut placeholders = Placeholders::default();
    placeholders.add(site.directory.addr, "<discovery>");
    drop(process);
    fixture::assert_matches("network.txt", &placeholders.apply(&sent));
}
