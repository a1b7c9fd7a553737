//! Several brokers and one discovery that handles their calls one at a time.
//!
//! Guards against parts sent to a drained server while discovery works on abandoned calls. Discovery was
//! down, and each broker got four new configurations within 1.2 s around its return. Each broker made a new
//! call for each of them, and one more beside each unanswered call; discovery also handled the calls that
//! were abandoned. It wrote lists on those while the brokers' next calls were still in its queue, and brokers
//! sent dozens of parts to a server that drained, for seconds after the grace. A staging run shows, of one
//! broker, `24.312 discovery watch ended reason=status 503 ... age_ms=505 others=1` and in the same
//! millisecond `... age_ms=5 others=0`, and then the list at `27.634`, 4.08 s after its watch ended. Here,
//! before the fix, in three runs of two fleets, four to eight brokers of twelve sent 2 to 402 parts to the
//! drained server after the grace.

use super::broker_process::BrokerProcess;
use super::judge::{GRACE, Mode, SLACK};
use super::scenarios::{platform_config, sleep_until};
use super::shared_discovery::SharedDiscovery;
use pebbleturn_lab::standins::{Behavior, NodeScript, WireProtocol, node};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const BROKERS: usize = 12;
/// Time that discovery takes for each call: one call of each broker takes 1.6 s in total.
const SERVICE_TIME: Duration = Duration::from_millis(130);
const SERVERS: usize = 3;
const DOWN_AT: Duration = Duration::from_millis(1500);
const BACK_AT: Duration = Duration::from_millis(7500);
/// The server drains right after discovery is back.
const DRAIN_AT: Duration = Duration::from_millis(7550);
/// Brokers get their first new configuration one after another, and then three more each.
const FIRST_RELOAD_AT: Duration = Duration::from_millis(6000);
const BROKER_INTERVAL: Duration = Duration::from_millis(300);
const RELOAD_INTERVAL: Duration = Duration::from_millis(400);
const RELOADS_PER_BROKER: u32 = 4;
const END_AT: Duration = Duration::from_secs(18);
/// Time after which the list of a reachable discovery counts as reported.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(6);
/// Delay of the servers that don't drain, ms: the draining server, which is faster, gets parts as long as it
/// is used.
const OTHER_SERVERS_DELAY_MS: u64 = 60;

/// A broker with its own servers, which no other broker uses.
struct Member {
    number: usize,
    script: NodeScript,
    servers: Vec<SocketAddr>,
    process: BrokerProcess,
}

impl Member {
    fn start(number: usize, seed: u64, discovery: &SharedDiscovery) -> Member {
        let script = NodeScript::default();
        script.set(&[0, 2], &[0, 1, 2], Behavior::Delayed(OTHER_SERVERS_DELAY_MS));
        let servers: Vec<SocketAddr> =
            (0..SERVERS).map(|n| node(WireProtocol::Http, n, script.clone())).collect();
        discovery.set_list(number, full_list(&servers, false));
        let process = BrokerProcess::start(&config(&servers, discovery.address_for(number), seed));
        Member { number, script, servers, process }
    }

    /// Gives the broker new configurations, each with another discovery address.
    fn reload_in_series(&self, started: Instant, seed: u64, discovery: &SharedDiscovery) {
        let first = FIRST_RELOAD_AT + BROKER_INTERVAL * self.number as u32;
        for n in 0..RELOADS_PER_BROKER {
            let config = config(&self.servers, discovery.address_for(self.number), seed);
            sleep_until(started + first + RELOAD_INTERVAL * n);
            self.process.write_config(&config);
            self.process.reload();
        }
    }

    /// Returns an error with the number of parts that the drained server received after the grace, if any.
    fn check(&self, started: Instant, discovery: &SharedDiscovery) -> Result<(), String> {
        let drained = started + DRAIN_AT;
        let latest = drained + MAX_REPORT_DELAY;
        let reported = discovery.written_since(self.number, drained).map_or(latest, |at| at.min(latest));
        let late: Vec<Instant> =
            self.script.receive_times(1).into_iter().filter(|at| *at > reported + GRACE + SLACK).collect();
        let Some(last) = late.last() else { return Ok(()) };
        Err(format!(
            "broker {}: {} parts after the grace, the last {:.2} s after the drain was reported at {:.2} s; {} calls\n{}",
            self.number,
            late.len(),
            last.duration_since(reported).as_secs_f64(),
            reported.duration_since(started).as_secs_f64(),
            discovery.calls(self.number),
            self.process.log()
        ))
    }
}

fn config(servers: &[SocketAddr], discovery: SocketAddr, seed: u64) -> String {
    platform_config(servers, discovery, Mode::OnRequest, seed)
        .replace("\"fleet_size\":1", &format!("\"fleet_size\":{BROKERS}"))
}

/// The full list; it leaves out a draining server.
fn full_list(servers: &[SocketAddr], is_drained: bool) -> String {
    let listed = servers.iter().enumerate().filter(|(n, _)| !(is_drained && *n == 1));
    let lines: Vec<String> = listed
        .map(|(n, addr)| {
            format!(r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"k","cell":{n},"state":"Ready"}}"#)
        })
        .collect();
    let version = if is_drained { 8 } else { 7 };
    format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}\n", lines.join(","))
}

/// Runs a fleet; the error has an entry for each broker that sent parts after the grace.
fn run_fleet(seed: u64) -> Result<(), String> {
    let discovery = Arc::new(SharedDiscovery::start(BROKERS, SERVICE_TIME));
    let started = Instant::now();
    let members: Vec<Member> =
        (0..BROKERS).map(|n| Member::start(n, seed * 100 + n as u64, &discovery)).collect();
    std::thread::scope(|scope| {
        for member in &members {
            scope.spawn(|| member.process.query_for(END_AT.saturating_sub(started.elapsed()), 1));
            scope.spawn(|| member.reload_in_series(started, seed, &discovery));
        }
        sleep_until(started + DOWN_AT);
        discovery.set_down(true);
        sleep_until(started + BACK_AT);
        discovery.set_down(false);
        sleep_until(started + DRAIN_AT);
        members.iter().for_each(|m| discovery.set_list(m.number, full_list(&m.servers, true)));
    });
    let failures: Vec<String> = members.iter().filter_map(|m| m.check(started, &discovery).err()).collect();
    if failures.is_empty() { Ok(()) } else { Err(failures.join("\n")) }
}

/// Runs fleets with these seeds concurrently; panics with the errors of those that failed.
pub fn check_fleets(seeds: &[u64]) {
    let outcomes: Vec<Result<(), String>> = std::thread::scope(|scope| {
        let runs: Vec<_> = seeds.iter().map(|seed| scope.spawn(|| run_fleet(*seed))).collect();
        runs.into_iter().map(|run| run.join().unwrap_or_else(|_| Err("the run panicked".into()))).collect()
    });
    let failures: Vec<String> = outcomes.into_iter().filter_map(Result::err).collect();
    assert!(
        failures.is_empty(),
        "{} of {} fleets failed:\n{}",
        failures.len(),
        seeds.len(),
        failures.join("\n")
    );
}
