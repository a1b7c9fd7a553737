//! An index node runs slower, and an operator takes it out. Nothing new may be sent to it 2 s after the yes.

use crate::common::*;
use crate::sru;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
const SLOW: usize = 2;
/// Usual time of a search at a node, ms: a call (38) and a part of `score-lookup` (120 to 170).
const WORK: u64 = 38 + 220;
/// How many times slower the node runs, and from when on, ms.
const FACTOR: u64 = 10;
const SLOW_FROM: u64 = 5_000;
/// When the operator takes the node out, ms.
const SUSPEND_AT: u64 = 5_500;
/// The grace of a drain and the slack of time limits on sockets, ms.
const GRACE: u64 = 2_000 + 50;
const END: u64 = 12_000;
const CLIENTS: u64 = 14;

pub fn call(addr: SocketAddr, line: &str) -> Result<String, String> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map_err(|e| e.to_string())?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    stream.write_all(format!("{line}\n").as_bytes()).map_err(|e| e.to_string())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(|e| e.to_string())?;
    Ok(answer.trim().to_owned())
}

pub fn run(run: &Run) -> Verdict {
    let treat: sru::Treat = Arc::new(|node, at| {
        let factor = if node == SLOW && at >= SLOW_FROM { FACTOR } else { 1 };
        sru::Treatment { delay: WORK * factor, interim: false }
    });
    let nodes = sru::nodes(NODES, &run.record, treat);
    let (client, operation) = (free_addr(), free_addr());
    let file = run.tmp.join("catalogue.toml");
    let further = format!("[operation]\nlisten = \"{operation}\"\n");
    // Index nodes have two cores: two searches at a time at each.
    let text = sru::operator_file(client, &nodes.addrs, 6, 4, &further);
    let text = text.replace("connections_per_node = 4", "connections_per_node = 2");
    if let Err(e) = std::fs::write(&file, text) {
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(number * 71));
                for n in 0.. {
                    if record.now() > END {
                        return;
                    }
                    let term = format!("c{number}n{n}");
                    record.note(format!("sent: client {number} searches for {term}"));
                    let answer = Http::connect(client)
                        .map_err(|e| e.to_string())
                        .and_then(|mut http| http.get(&sru::target_in("all", &term), Duration::from_secs(9)));
                    let status = answer.map(|a| a.status.to_string()).unwrap_or_else(|e| e);
                    record.note(format!("answered: client {number}, {term}: {status}"));
                    thread::sleep(Duration::from_millis(800));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(SUSPEND_AT.saturating_sub(record.now())));
    let mut told = u64::MAX - GRACE;
    if run.trouble {
        record.note(format!("sent: the operator's SUSPEND node-{SLOW}"));
        match call(operation, &format!("SUSPEND node-{SLOW}")) {
            Ok(answer) if answer.starts_with("SUCCESS") => {
                told = record.now();
                record.note_at(told, format!("answered: {answer}"));
            }
            other => return Verdict::CannotRun(format!("SUSPEND was answered with {other:?}")),
        }
    }
    clients.into_iter().for_each(|t| _ = t.join());
    let searches = nodes.searches.lock().unwrap();
    if !searches.iter().any(|s| s.node == SLOW) {
        return Verdict::CannotRun("the node was not in use before".into());
    }
    let late: Vec<_> = searches.iter().filter(|s| s.node == SLOW && s.at > told + GRACE).collect();
    match late.first() {
        Some(first) => Verdict::Broken(format!(
            "node {SLOW} was out since {told} ms and got {} searches after {} ms, the first at {} ms, the last at {} ms",
            late.len(),
            told + GRACE,
            first.at,
            late[late.len() - 1].at
        )),
        None => Verdict::Held(format!("{} searches in all, none late", searches.len())),
    }
}
