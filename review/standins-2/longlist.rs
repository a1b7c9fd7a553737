//! A large fleet. The watch on discovery is reset, a shard server begins to drain, and the answer to the next call
//! is the whole list. Nothing new may be sent to that server 2 s after the broker counts as told.

use crate::common::*;
use crate::platform;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Shard servers in the list. Only those that hold the shards of the queries are called, and only these run.
const LISTED: usize = 1_000;
const RUNNING: usize = 12;
const SPAN: u32 = 4;
const DRAINING: usize = 4;
const DRAINS_AT: u64 = 5_000;
/// What discovery has to tell counts as told so long after it had it, whether it arrived or not, ms.
const TOLD_AFTER: u64 = 6_000;
/// The grace of a drain and the slack of time limits on sockets, ms.
const GRACE: u64 = 2_000 + 50;
const END: u64 = 20_000;

struct State {
    version: u64,
    list: String,
    watches: Vec<TcpStream>,
    /// When the version with the drain was written whole to the broker.
    told: Option<u64>,
}

/// A watch by the protocol page: changes after the version that was asked for, or else the whole list.
fn watch(mut stream: TcpStream, state: &Mutex<State>, record: &Record) -> Option<()> {
    let mut head = Vec::new();
    while find(&head, b"\r\n\r\n").is_none() {
        let mut bytes = [0; 1024];
        let n = stream.read(&mut bytes).ok().filter(|n| *n > 0)?;
        head.extend_from_slice(&bytes[..n]);
    }
    let asked = String::from_utf8_lossy(&head).lines().next().unwrap_or("").to_owned();
    let (version, list) = {
        let state = state.lock().unwrap();
        let is_current = asked.contains(&format!("since={} ", state.version));
        let nothing = format!("{{\"version\":{},\"full\":false,\"servers\":[]}}", state.version);
        (state.version, if is_current { nothing } else { state.list.clone() })
    };
    record.note(format!("discovery was asked: {asked}; it answers with {} bytes", list.len()));
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).ok()?;
    // Chunks of 16 KiB at most.
    let line = format!("{list}\n");
    for chunk in line.as_bytes().chunks(16 * 1024) {
        let written = stream
            .write_all(format!("{:x}\r\n", chunk.len()).as_bytes())
            .and_then(|()| stream.write_all(chunk))
            .and_then(|()| stream.write_all(b"\r\n"));
        if let Err(e) = written {
            record.note(format!("the broker ended the call before the list was written: {e}"));
            return None;
        }
    }
    let now = record.now();
    record.note_at(now, format!("sent: discovery wrote version {version} whole"));
    let mut state = state.lock().unwrap();
    if version > 41 {
        state.told.get_or_insert(now);
    }
    state.watches.push(stream.try_clone().ok()?);
    drop(state);
    loop {
        thread::sleep(Duration::from_secs(2));
        stream.write_all(b"1\r\n\n\r\n").ok()?;
    }
}

pub fn run(run: &Run) -> Verdict {
    let servers = platform::servers(RUNNING, &run.record, Arc::new(|_, _, _| Some(170)));
    let addr = |n: usize| match servers.addrs.get(n) {
        Some(addr) => *addr,
        None => SocketAddr::from(([127, 1, (n / 250) as u8, (n % 250) as u8 + 1], 8081)),
    };
    let list = |version, draining: Option<usize>| {
        let state = |n| if Some(n) == draining { "Terminating" } else { "Ready" };
        let all: Vec<_> = (0..LISTED).map(|n| (n, addr(n), state(n))).collect();
        platform::list(version, true, &all)
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
    let discovery = listener.local_addr().unwrap();
    let state =
        Arc::new(Mutex::new(State { version: 41, list: list(41, None), watches: Vec::new(), told: None }));
    let (shared, record) = (state.clone(), run.record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (state, record) = (shared.clone(), record.clone());
            thread::spawn(move || watch(stream, &state, &record));
        }
    });
    let client = free_addr();
    let file = run.tmp.join("config.json");
    let text = platform::configuration(client, discovery, "", &list(41, None), LISTED, LISTED as u32, SPAN);
    if let Err(e) = std::fs::write(&file, text) {
        return Verdict::CannotRun(e.to_string());
    }
    let mut broker = match run.broker("n1", "", &[("GW_CONFIG", file.display().to_string())]) {
        Ok(broker) => broker,
        Err(e) => return Verdict::CannotRun(e),
    };
    if let Err(e) = broker.wait_ready(client) {
        return Verdict::CannotRun(e);
    }
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let record = run.record.clone();
            thread::spawn(move || {
                for n in 0.. {
                    if record.now() > END {
                        return;
                    }
                    let first = (number + n) % 6;
                    let id = format!("9b1f03aa{number:02x}{n:06x}");
                    let query = platform::query(&id, "score-lookup", 4_000, &[first, first + 1, first + 2]);
                    record.note(format!("sent: the query {id}"));
                    let answer = Http::connect(client).map_err(|e| e.to_string()).and_then(|mut http| {
                        http.stream.write_all(query.as_bytes()).map_err(|e| e.to_string())?;
                        http.answer(Duration::from_secs(6))
                    });
                    let status = answer.map(|a| a.status.to_string()).unwrap_or_else(|e| e);
                    record.note(format!("answered: the query {id}: {status}"));
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    let record = &run.record;
    thread::sleep(Duration::from_millis(DRAINS_AT.saturating_sub(record.now())));
    let drains_at = {
        let mut state = state.lock().unwrap();
        (state.version, state.list) = (42, list(42, Some(DRAINING)));
        let now = record.now();
        record.note_at(now, format!("server {DRAINING} begins to drain: version 42"));
        if state.watches.is_empty() {
            return Verdict::CannotRun("the broker has no watch".into());
        }
        if run.trouble {
            record.note("discovery resets its watch");
            state.watches.drain(..).for_each(|w| _ = w.shutdown(std::net::Shutdown::Both));
        } else {
            let change = platform::list(42, false, &[(DRAINING, addr(DRAINING), "Terminating")]);
            for watch in &mut state.watches {
                let _ = watch.write_all(format!("{:x}\r\n{change}\n\r\n", change.len() + 1).as_bytes());
            }
            state.told = Some(now);
            record.note_at(now, format!("sent: discovery wrote {change}"));
        }
        now
    };
    clients.into_iter().for_each(|t| _ = t.join());
    let told = state.lock().unwrap().told.unwrap_or(u64::MAX).min(drains_at + TOLD_AFTER);
    let parts = servers.parts.lock().unwrap();
    if !parts.iter().any(|p| p.server == DRAINING && p.at < drains_at) {
        return Verdict::CannotRun("the server was not in use before".into());
    }
    let late: Vec<_> = parts.iter().filter(|p| p.server == DRAINING && p.at > told + GRACE).collect();
    match late.first() {
        Some(first) => Verdict::Broken(format!(
            "server {DRAINING} drains since {drains_at} ms, the broker counts as told at {told} ms, and sent it {} parts after {} ms, the first at {} ms, the last at {} ms",
            late.len(),
            told + GRACE,
            first.at,
            late[late.len() - 1].at
        )),
        None => Verdict::Held(format!(
            "told at {told} ms; no part at server {DRAINING} after {} ms",
            told + GRACE
        )),
    }
}
