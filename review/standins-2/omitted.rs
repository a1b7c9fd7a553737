//! Discovery's watch ends, and the whole list that follows leaves out a node, which is gone. Nothing new may be
//! sent to it 2 s later.

use crate::common::*;
use crate::sru;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
const GONE: usize = 1;
/// The grace of a drain and the slack of time limits on sockets, ms.
const GRACE: u64 = 2_000 + 50;
/// When the watch ends, and when the run ends, ms.
const WATCH_ENDS: u64 = 6_000;
const END: u64 = 20_000;

struct Discovery {
    addr: SocketAddr,
    /// The list's version and its JSON.
    list: Arc<Mutex<(u64, String)>>,
    watches: Arc<Mutex<Vec<TcpStream>>>,
    /// When each version was first written to the broker.
    told: Arc<Mutex<Vec<(u64, u64)>>>,
}

fn list(version: u64, nodes: &[SocketAddr], without: Option<usize>) -> (u64, String) {
    let servers: Vec<String> = nodes
        .iter()
        .enumerate()
        .filter(|(n, _)| Some(*n) != without)
        .map(|(n, addr)| {
            format!(
                "{{\"id\":\"node-{n}\",\"addr\":\"{addr}\",\"zone\":\"kochi-dc\",\"kind\":\"sru\",\"cell\":{n},\
                 \"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}}"
            )
        })
        .collect();
    (version, format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}\n", servers.join(",")))
}

/// Discovery by the protocol page: each watch begins with the whole list; an empty line every 2 s.
fn discovery(first: (u64, String), record: &Arc<Record>) -> Discovery {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for discovery");
    let found = Discovery {
        addr: listener.local_addr().unwrap(),
        list: Arc::new(Mutex::new(first)),
        watches: Arc::new(Mutex::new(Vec::new())),
        told: Arc::new(Mutex::new(Vec::new())),
    };
    let (list, watches, told) = (found.list.clone(), found.watches.clone(), found.told.clone());
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, watches, told, record) = (list.clone(), watches.clone(), told.clone(), record.clone());
            thread::spawn(move || watch(stream, &list, &watches, &told, &record));
        }
    });
    found
}

fn watch(
    mut stream: TcpStream,
    list: &Mutex<(u64, String)>,
    watches: &Mutex<Vec<TcpStream>>,
    told: &Mutex<Vec<(u64, u64)>>,
    record: &Record,
) -> Option<()> {
    let mut head = Vec::new();
    while find(&head, b"\r\n\r\n").is_none() {
        let mut bytes = [0; 1024];
        let n = stream.read(&mut bytes).ok().filter(|n| *n > 0)?;
        head.extend_from_slice(&bytes[..n]);
    }
    let asked = String::from_utf8_lossy(&head).lines().next().unwrap_or("").to_owned();
    record.note(format!("discovery was asked: {asked}"));
    let (version, text) = list.lock().unwrap().clone();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{text}\r\n",
        text.len()
    );
    stream.write_all(answer.as_bytes()).ok()?;
    let now = record.now();
    record.note_at(now, format!("sent: discovery wrote the whole list {version}: {}", text.trim()));
    told.lock().unwrap().push((version, now));
    watches.lock().unwrap().push(stream.try_clone().ok()?);
    loop {
        thread::sleep(Duration::from_secs(2));
        stream.write_all(b"1\r\n\n\r\n").ok()?;
    }
}

pub fn run(run: &Run) -> Verdict {
    let nodes = sru::nodes(NODES, &run.record, Arc::new(|_, _| sru::Treatment { delay: 40, interim: false }));
    let discovery = discovery(list(41, &nodes.addrs, None), &run.record);
    let client = free_addr();
    let file = run.tmp.join("catalogue.toml");
    let membership = format!("[membership]\ndiscovery = \"{}\"\n", discovery.addr);
    if let Err(e) = std::fs::write(&file, sru::operator_file(client, &nodes.addrs, 6, 4, &membership)) {
        return Verdict::CannotRun(e.to_string());
    }
    let mut broker = match run.broker("a", &format!(" serve catalogue {}", file.display()), &[]) {
        Ok(broker) => broker,
        Err(e) => return Verdict::CannotRun(e),
    };
    if let Err(e) = broker.wait_ready(client) {
        return Verdict::CannotRun(e);
    }
    let record = run.record.clone();
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                for n in 0.. {
                    if record.now() > END {
                        return;
                    }
                    let term = format!("c{number}n{n}");
                    record.note(format!("sent: client {number} searches for {term}"));
                    let answer = Http::connect(client)
                        .map_err(|e| e.to_string())
                        .and_then(|mut http| http.get(&sru::target(&term), Duration::from_secs(6)));
                    let status = answer.map(|a| a.status.to_string()).unwrap_or_else(|e| e);
                    record.note(format!("answered: client {number}, {term}: {status}"));
                    thread::sleep(Duration::from_millis(300));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(WATCH_ENDS.saturating_sub(record.now())));
    let before = nodes.searches.lock().unwrap().iter().filter(|s| s.node == GONE).count();
    *discovery.list.lock().unwrap() = list(42, &nodes.addrs, run.trouble.then_some(GONE));
    record.note("discovery ends its watch; the list has a new version");
    for watch in discovery.watches.lock().unwrap().drain(..) {
        let _ = watch.shutdown(std::net::Shutdown::Both);
    }
    clients.into_iter().for_each(|t| _ = t.join());
    let told = discovery.told.lock().unwrap().iter().find(|(v, _)| *v == 42).map(|(_, at)| *at);
    let Some(told) = told else {
        return Verdict::CannotRun("the broker did not ask for the new list".into());
    };
    if before == 0 {
        return Verdict::CannotRun("the node was not in use before".into());
    }
    let searches = nodes.searches.lock().unwrap();
    let late: Vec<_> = searches.iter().filter(|s| s.node == GONE && s.at > told + GRACE).collect();
    match late.first() {
        Some(first) if run.trouble => Verdict::Broken(format!(
            "node {GONE} was left out of the whole list at {told} ms and got {} searches after {} ms, the first at {} ms, the last at {} ms",
            late.len(),
            told + GRACE,
            first.at,
            late[late.len() - 1].at
        )),
        _ => Verdict::Held(format!("{} searches at node {GONE} after {} ms", late.len(), told + GRACE)),
    }
}
