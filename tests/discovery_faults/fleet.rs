//! Several brokers before one discovery that handles their calls in turn.
//!
//! Discovery was down, and each broker was given four new configurations within 1.2 s around its return. Each broker
//! called anew for each of them, and once more beside each call without an answer; discovery handled the calls that were
//! given up too. So it wrote lists on calls that nobody waited on any more, while the brokers' next calls still stood in
//! its queue, and brokers went on sending parts to a server that drained, dozens of them, for seconds after the grace.
//! A staging run shows, of one broker, `24.312 discovery watch ended reason=status 503 ... age_ms=505 others=1`
//! and in the same millisecond `... age_ms=5 others=0`, and then the list at `27.634`, 4.08 s after its watch ended. Here,
//! before the mend, in three runs of two fleets, four to eight brokers of twelve sent 2 to 402 parts to the drained server
//! after the grace.

use super::broker_process::BrokerProcess;
use super::judge::{GRACE, Mode, SLACK};
use super::scenarios::{platform_config, sleep_until};
use super::shared_discovery::SharedDiscovery;
use pebbleturn_lab::standins::{Behaviour, NodeScript, WireProtocol, node};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Brokers, and the time that discovery takes for each call: one call of each broker takes 1.6 s together.
const BROKERS: usize = 12;
const SERVICE_TIME: Duration = Duration::from_millis(130);
const SERVERS: usize = 3;
const DOWN_AT: Duration = Duration::from_millis(1500);
const BACK_AT: Duration = Duration::from_millis(7500);
/// The server drains as soon as discovery is back.
const DRAIN_AT: Duration = Duration::from_millis(7550);
/// Brokers get their first new configuration one after the other, and three more each.
const FIRST_RELOAD_AT: Duration = Duration::from_millis(6000);
const BETWEEN_BROKERS: Duration = Duration::from_millis(300);
const BETWEEN_RELOADS: Duration = Duration::from_millis(400);
const RELOADS: u32 = 4;
const END_AT: Duration = Duration::from_secs(18);
/// Time after which what discovery has counts as reported, once it can be reached.
const REPORTED_AT_THE_LATEST: Duration = Duration::from_secs(6);
/// How much slower the servers are that don't drain: the one that drains gets parts for as long as it may.
const SLOWER_MS: u64 = 60;

/// A broker with servers of its own, behind addresses that no other broker has.
struct Member {
    number: usize,
    script: NodeScript,
    servers: Vec<SocketAddr>,
    process: BrokerProcess,
}

impl Member {
    fn start(number: usize, seed: u64, discovery: &SharedDiscovery) -> Member {
        let script = NodeScript::default();
        script.set(&[0, 2], &[0, 1, 2], Behaviour::Delayed(SLOWER_MS));
        let servers: Vec<SocketAddr> =
            (0..SERVERS).map(|n| node(WireProtocol::Http, n, script.clone())).collect();
        discovery.set_list(number, whole_list(&servers, false));
        let process = BrokerProcess::start(&config(&servers, discovery.address_for(number), seed));
        Member { number, script, servers, process }
    }

    /// Gives it new configurations, each of which moves discovery.
    fn reload_in_series(&self, started: Instant, seed: u64, discovery: &SharedDiscovery) {
        let first = FIRST_RELOAD_AT + BETWEEN_BROKERS * self.number as u32;
        for n in 0..RELOADS {
            let config = config(&self.servers, discovery.address_for(self.number), seed);
            sleep_until(started + first + BETWEEN_RELOADS * n);
            self.process.write_config(&config);
            self.process.reload();
        }
    }

    /// An error says how many parts came to the drained server after the grace.
    fn judge(&self, started: Instant, discovery: &SharedDiscovery) -> Result<(), String> {
        let drained = started + DRAIN_AT;
        let latest = drained + REPORTED_AT_THE_LATEST;
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

/// The whole list; it leaves out who drains.
fn whole_list(servers: &[SocketAddr], is_drained: bool) -> String {
    let named = servers.iter().enumerate().filter(|(n, _)| !(is_drained && *n == 1));
    let lines: Vec<String> = named
        .map(|(n, addr)| {
            format!(r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"k","cell":{n},"state":"Ready"}}"#)
        })
        .collect();
    let version = if is_drained { 8 } else { 7 };
    format!("{{\"version\":{version},\"full\":true,\"servers\":[{}]}}\n", lines.join(","))
}

/// Plays the fleet; an error has a line for each broker that broke the rule.
fn play(seed: u64) -> Result<(), String> {
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
        members.iter().for_each(|m| discovery.set_list(m.number, whole_list(&m.servers, true)));
    });
    let faults: Vec<String> = members.iter().filter_map(|m| m.judge(started, &discovery).err()).collect();
    if faults.is_empty() { Ok(()) } else { Err(faults.join("\n")) }
}

/// Plays fleets of these seeds at once; fails with what broke the rule.
pub fn judge_fleets(seeds: &[u64]) {
    let outcomes: Vec<Result<(), String>> = std::thread::scope(|scope| {
        let plays: Vec<_> = seeds.iter().map(|seed| scope.spawn(|| play(*seed))).collect();
        plays.into_iter().map(|play| play.join().unwrap_or_else(|_| Err("the play ended".into()))).collect()
    });
    let faults: Vec<String> = outcomes.into_iter().filter_map(Result::err).collect();
    assert!(faults.is_empty(), "{} of {} fleets:\n{}", faults.len(), seeds.len(), faults.join("\n"));
}
