//! A planned restart (SIGTERM). Clients go on sending on the connections that stay open, and write each search in
//! two pieces. A broker may close a connection between two requests, but not in the middle of one.

use crate::common::*;
use crate::sru;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 6;
/// Time of a search at a node, ms: a call (38) and a part of `score-lookup` (120 to 170).
const WORK: u64 = 38 + 145;
const CLIENTS: u64 = 12;
/// Time between the two pieces of a search, ms.
const GAP: u64 = 250;
/// A close counts as one in the middle of a search if the first piece was written so long before it, ms.
const SURELY_READ: u64 = 50;
const TERM_AT: u64 = 1_500;
/// SIGKILL comes no sooner than the longest deadline, counted as 3 s, and 0.7 s more after SIGTERM, ms.
const KILL: u64 = 3_700;

#[derive(Default)]
struct Seen {
    answered: usize,
    cut: Vec<String>,
}

/// How the time between two pieces passed.
enum Wait {
    Quiet,
    /// The broker ended the connection so many milliseconds after the first piece.
    Ended(u64),
}

fn wait(http: &mut Http) -> Wait {
    let start = Instant::now();
    let _ = http.stream.set_read_timeout(Some(Duration::from_millis(GAP)));
    loop {
        match http.stream.read(&mut [0; 1]) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Wait::Quiet,
            _ => return Wait::Ended(start.elapsed().as_millis() as u64),
        }
    }
}

fn client(number: u64, broker: SocketAddr, end: u64, record: &Record, seen: &Mutex<Seen>) -> Option<()> {
    thread::sleep(Duration::from_millis(number * 37));
    let mut http = Http::connect(broker).ok()?;
    for n in 0.. {
        if record.now() > end {
            return None;
        }
        let term = format!("c{number}n{n}");
        let request = format!("GET {} HTTP/1.1\r\nHost: broker\r\n\r\n", sru::target(&term));
        let (first, second) = request.split_at(60);
        let begun = record.now();
        http.stream.write_all(first.as_bytes()).ok()?;
        record.note_at(begun, format!("sent: client {number}, the first {} bytes of {term}", first.len()));
        if let Wait::Ended(after) = wait(&mut http) {
            if after < SURELY_READ {
                record.note(format!("client {number}: {term} crossed the close of its connection"));
                return None;
            }
            let again = Http::connect(broker).map_err(|e| e.to_string());
            let again = again.and_then(|mut http| http.get(&sru::target(&term), Duration::from_secs(2)));
            let again = again.map(|a| a.status.to_string()).unwrap_or_else(|e| e);
            let text = format!(
                "client {number}: the connection was closed without an answer {after} ms after the first piece of {term}; \
                 sent once more on a new connection: {again}"
            );
            record.note(text.clone());
            seen.lock().unwrap().cut.push(text);
            return None;
        }
        let written = http.stream.write_all(second.as_bytes());
        record
            .note(format!("sent: client {number}, the other {} bytes of {term}: {written:?}", second.len()));
        match http.answer(Duration::from_secs(6)) {
            Ok(a) => {
                record.note(format!("answered: client {number}, {term}: status {}", a.status));
                seen.lock().unwrap().answered += 1;
                if a.closes {
                    return None;
                }
            }
            Err(e) => {
                let text = format!("client {number}: {e} after both pieces of {term}");
                record.note(text.clone());
                seen.lock().unwrap().cut.push(text);
                return None;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

pub fn run(run: &Run) -> Verdict {
    let nodes =
        sru::nodes(NODES, &run.record, Arc::new(|_, _| sru::Treatment { delay: WORK, interim: false }));
    let addr = free_addr();
    let file = run.tmp.join("catalogue.toml");
    if let Err(e) = std::fs::write(&file, sru::operator_file(addr, &nodes.addrs, 6, 4, "")) {
        return Verdict::CannotRun(e.to_string());
    }
    let mut broker = match run.broker("a", &format!(" serve catalogue {}", file.display()), &[]) {
        Ok(broker) => broker,
        Err(e) => return Verdict::CannotRun(e),
    };
    if let Err(e) = broker.wait_ready(addr) {
        return Verdict::CannotRun(e);
    }
    let (record, seen) = (&run.record, Arc::new(Mutex::new(Seen::default())));
    let end = TERM_AT + KILL;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen) = (record.clone(), seen.clone());
            thread::spawn(move || client(number, addr, end, &record, &seen))
        })
        .collect();
    thread::sleep(Duration::from_millis(TERM_AT.saturating_sub(record.now())));
    if run.trouble {
        broker.signal("TERM");
    }
    clients.into_iter().for_each(|t| _ = t.join());
    let seen = seen.lock().unwrap();
    match seen.cut.first() {
        _ if seen.answered < CLIENTS as usize => {
            Verdict::CannotRun(format!("only {} searches were answered", seen.answered))
        }
        Some(first) => Verdict::Broken(format!(
            "{} searches were cut off in the middle, {} were answered; the first: {first}",
            seen.cut.len(),
            seen.answered
        )),
        None => Verdict::Held(format!("{} searches were answered, none was cut off", seen.answered)),
    }
}
