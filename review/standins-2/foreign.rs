//! Another program takes most of the machine of some index nodes, on and off. They announce by an interim answer
//! (102) that an answer takes longer. Each client must get the records of its own search.

use crate::common::*;
use crate::sru;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
/// The nodes on which another program takes 70 in 100 of the machine, on and off: from when on, the length of one
/// round and how much of it the program runs, ms.
const BUSY: [usize; 2] = [2, 5];
const BUSY_FROM: u64 = 4_000;
const ROUND: u64 = 5_000;
const ON: u64 = 2_500;
/// Usual time of a search at a node, ms.
const WORK: u64 = 38 + 130;
const CLIENTS: u64 = 14;
const END: u64 = 58_000;

pub fn run(run: &Run) -> Verdict {
    let trouble = run.trouble;
    let treat: sru::Treat = Arc::new(move |node, at| {
        let on = at >= BUSY_FROM && (at - BUSY_FROM) % ROUND < ON;
        let is_slow = trouble && on && BUSY.contains(&node);
        sru::Treatment { delay: if is_slow { WORK * 10 / 3 } else { WORK }, interim: is_slow }
    });
    let nodes = sru::nodes(NODES, &run.record, treat);
    let client = free_addr();
    let file = run.tmp.join("catalogue.toml");
    if let Err(e) = std::fs::write(&file, sru::operator_file(client, &nodes.addrs, 6, 4, "")) {
        return Verdict::CannotRun(e.to_string());
    }
    let started = run.broker("a", &format!(" serve catalogue {}", file.display()), &[]);
    let mut broker = match started {
        Ok(broker) => broker,
        Err(e) => return Verdict::CannotRun(e),
    };
    if let Err(e) = broker.wait_ready(client) {
        return Verdict::CannotRun(e);
    }
    let (answered, foreign) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Vec::new())));
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, answered, foreign) = (run.record.clone(), answered.clone(), foreign.clone());
            thread::spawn(move || {
                let mut connection = None;
                for n in 0.. {
                    if record.now() > END {
                        return;
                    }
                    let term = format!("c{number}n{n}");
                    let Some(http) = connection.get_or_insert_with(|| Http::connect(client).ok()) else {
                        connection = None;
                        thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    record.note(format!("sent: client {number} searches for {term}"));
                    match http.get(&sru::target(&term), Duration::from_secs(6)) {
                        Ok(a) if a.status == 200 => {
                            let terms = sru::terms(&a.body);
                            record.note(format!("answered: client {number}, {term}: records of {terms:?}"));
                            answered.fetch_add(1, Ordering::Relaxed);
                            if terms.iter().any(|t| *t != term) {
                                let at = record.now();
                                foreign.lock().unwrap().push(format!(
                                    "at {at} ms the client that searched for {term} got records of {terms:?}"
                                ));
                            }
                        }
                        Ok(a) => {
                            record.note(format!("answered: client {number}, {term}: status {}", a.status))
                        }
                        Err(e) => {
                            record.note(format!("client {number}, {term}: {e}"));
                            connection = None;
                        }
                    }
                    thread::sleep(Duration::from_millis(800));
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|t| _ = t.join());
    let (answered, foreign) = (answered.load(Ordering::Relaxed), foreign.lock().unwrap());
    match foreign.first() {
        _ if answered < 20 => Verdict::CannotRun(format!("only {answered} searches were answered")),
        Some(first) => {
            Verdict::Broken(format!("{} of {answered} answers had foreign records; {first}", foreign.len()))
        }
        None => Verdict::Held(format!("{answered} answers, each with the records of its own search")),
    }
}
