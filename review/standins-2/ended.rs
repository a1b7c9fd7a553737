//! Now and then an index node takes searches and answers none. No search may be sent to a node for a query that has
//! ended.

use crate::common::*;
use crate::sru;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
/// Usual time of a search at a node, ms: a call (38) and a part of `score-lookup` (120 to 170).
const WORK: u64 = 38 + 145;
/// Which node hangs, from and until when, ms: one after another.
const HANGS: [(usize, u64, u64); 3] = [(2, 4_000, 11_000), (4, 13_000, 20_000), (0, 22_000, 29_000)];
/// Time after the answer within which a search may still be on its way, ms.
const SLACK: u64 = 250;
const END: u64 = 31_000;
const CLIENTS: u64 = 14;

pub fn run(run: &Run) -> Verdict {
    let trouble = run.trouble;
    let treat: sru::Treat = Arc::new(move |node, at| {
        let hangs =
            trouble && HANGS.iter().any(|(n, from, until)| *n == node && (*from..*until).contains(&at));
        sru::Treatment { delay: if hangs { 60_000 } else { WORK }, interim: false }
    });
    let nodes = sru::nodes(NODES, &run.record, treat);
    let client = free_addr();
    let file = run.tmp.join("catalogue.toml");
    let text = sru::operator_file(client, &nodes.addrs, 6, 4, "");
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
    let ended: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, ended) = (record.clone(), ended.clone());
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
                        .and_then(|mut http| http.get(&sru::target(&term), Duration::from_secs(6)));
                    let status = answer.map(|a| a.status.to_string()).unwrap_or_else(|e| e);
                    ended.lock().unwrap().insert(term.clone(), record.now());
                    record.note(format!("answered: client {number}, {term}: {status}"));
                    thread::sleep(Duration::from_millis(800));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|t| _ = t.join());
    let (searches, ended) = (nodes.searches.lock().unwrap(), ended.lock().unwrap());
    let late = searches.iter().filter_map(|s| {
        let after = s.at.checked_sub(*ended.get(&s.term)?)?;
        (after > SLACK).then(|| format!("{} at {} ms, {after} ms after its answer", s.term, s.at))
    });
    let late: Vec<String> = late.collect();
    match late.first() {
        Some(first) => Verdict::Broken(format!(
            "{} searches were sent to nodes after their query had its final answer; the first: {first}; the last: {}",
            late.len(),
            late[late.len() - 1]
        )),
        None => Verdict::Held(format!("{} searches, none for a query that had ended", searches.len())),
    }
}
