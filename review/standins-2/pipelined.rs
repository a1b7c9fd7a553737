//! A client sends many queries at once on one connection. Each must get its final answer before its time is over,
//! counted from when its last byte was written.

use crate::common::*;
use crate::platform;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

const SERVERS: usize = 12;
const SPAN: u32 = 4;
const QUERIES: usize = 40;
const DEADLINE: u64 = 4_000;
/// Time of a part at a server, ms: a call (38) and a part of `score-lookup` (120 to 170).
const WORK: u64 = 38 + 145;
/// Time after a query's own within which it only earns nothing, and the slack of time limits on sockets, ms.
const SLACK: u64 = 500 + 50;

pub fn run(run: &Run) -> Verdict {
    let servers = platform::servers(SERVERS, &run.record, Arc::new(|_, _, _| Some(WORK)));
    let ready: Vec<_> = servers.addrs.iter().enumerate().map(|(n, a)| (n, *a, "Ready")).collect();
    let list = platform::list(41, true, &ready);
    let discovery = platform::discovery(list.clone());
    let client = free_addr();
    let file = run.tmp.join("config.json");
    let text = platform::configuration(client, discovery, "", &list, SERVERS, 24, SPAN);
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
    let record = &run.record;
    let Ok(mut http) = Http::connect(client) else { return Verdict::CannotRun("no connection".into()) };
    let query = |n: usize| {
        let shard = (n * 3) as u32 % 24;
        platform::query(&format!("9b1f03aa5c7e{n:04x}"), "score-lookup", DEADLINE, &[shard, (shard + 1) % 24])
    };
    let mut late = Vec::new();
    let mut outcome = |n: usize, sent: u64, answer: Result<Answer, String>| {
        let took = record.now() - sent;
        let what = answer.map(|a| format!("status {}", a.status)).unwrap_or_else(|e| e);
        record.note(format!("answered: query {n}: {what} {took} ms after it was sent"));
        if took > DEADLINE + SLACK || !what.starts_with("status") {
            late.push(format!("query {n}: {what} {took} ms after it was sent"));
        }
        what.starts_with("status")
    };
    if run.trouble {
        let queries: String = (0..QUERIES).map(query).collect();
        if let Err(e) = http.stream.write_all(queries.as_bytes()) {
            return Verdict::CannotRun(e.to_string());
        }
        let sent = record.now();
        record.note_at(sent, format!("sent: {QUERIES} queries at once, each with {DEADLINE} ms"));
        for n in 0..QUERIES {
            let answer = http.answer(Duration::from_secs(10));
            if !outcome(n, sent, answer) {
                break;
            }
        }
    } else {
        // Without the disruption the same queries are sent one after another.
        for n in 0..QUERIES {
            if let Err(e) = http.stream.write_all(query(n).as_bytes()) {
                return Verdict::CannotRun(e.to_string());
            }
            let sent = record.now();
            record.note_at(sent, format!("sent: query {n} with {DEADLINE} ms"));
            let answer = http.answer(Duration::from_secs(10));
            outcome(n, sent, answer);
        }
    }
    match late.first() {
        Some(first) => Verdict::Broken(format!(
            "{} of {QUERIES} queries got no final answer by {} ms; the first: {first}; the last: {}",
            late.len(),
            DEADLINE + SLACK,
            late[late.len() - 1]
        )),
        None => Verdict::Held(format!("{QUERIES} queries answered within their time of {DEADLINE} ms")),
    }
}
