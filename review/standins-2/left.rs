//! A client sends many searches at once and closes its connection. No attempt for it may begin more than 0.1 s
//! after the close.

use crate::common::*;
use crate::sru;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
/// Time of a search at a node, ms: a call (38) and a part of the class with the most work (170 to 230).
const WORK: u64 = 38 + 220;
/// Searches that the client sends at once: more than a buffer of the broker holds.
const SEARCHES: usize = 700;
/// Time after the close within which attempts may still begin, ms, and the slack of time limits on sockets.
const GRACE: u64 = 100 + 50;

pub fn run(run: &Run) -> Verdict {
    let nodes =
        sru::nodes(NODES, &run.record, Arc::new(|_, _| sru::Treatment { delay: WORK, interim: false }));
    let client = free_addr();
    let file = run.tmp.join("catalogue.toml");
    if let Err(e) = std::fs::write(&file, sru::operator_file(client, &nodes.addrs, 6, 4, "")) {
        return Verdict::CannotRun(e.to_string());
    }
    let mut broker = match run.broker("a", &format!(" serve catalogue {}", file.display()), &[]) {
        Ok(broker) => broker,
        Err(e) => return Verdict::CannotRun(e),
    };
    if let Err(e) = broker.wait_ready(client) {
        return Verdict::CannotRun(e);
    }
    let record = &run.record;
    let Ok(mut http) = Http::connect(client) else { return Verdict::CannotRun("no connection".into()) };
    let requests: String = (0..SEARCHES)
        .map(|n| format!("GET {} HTTP/1.1\r\nHost: broker\r\n\r\n", sru::target(&format!("q{n}"))))
        .collect();
    record.note(format!("sent: {SEARCHES} searches at once, {} bytes", requests.len()));
    if let Err(e) = http.stream.write_all(requests.as_bytes()) {
        return Verdict::CannotRun(format!("the searches could not be written: {e}"));
    }
    thread::sleep(Duration::from_millis(20));
    if run.trouble {
        drop(http);
        let closed = record.now();
        record.note_at(closed, "the client closes its connection");
        thread::sleep(Duration::from_secs(6));
        let searches = nodes.searches.lock().unwrap();
        let late: Vec<_> = searches.iter().filter(|s| s.at > closed + GRACE).collect();
        return match late.first() {
            Some(first) => Verdict::Broken(format!(
                "the client left at {closed} ms; {} attempts for it began more than {GRACE} ms later, the first, for {}, at {} ms",
                late.len(),
                first.term,
                first.at
            )),
            None => Verdict::Held(format!("{} attempts, none after the close", searches.len())),
        };
    }
    // Without the disruption the client stays and reads its answers.
    let mut answered = 0;
    let until = record.now() + 6_000;
    while record.now() < until {
        match http.answer(Duration::from_secs(5)) {
            Ok(a) => {
                record.note(format!("answered: search {answered}, status {}", a.status));
                answered += 1;
            }
            Err(e) => return Verdict::CannotRun(format!("search {answered}: {e}")),
        }
    }
    Verdict::Held(format!("{answered} searches answered for a client that stayed"))
}
