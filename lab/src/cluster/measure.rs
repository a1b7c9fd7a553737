//! Measures the cost and speed of a cluster, in simulated time and on processes of the real program.

use super::links::Fault;
use super::process_cluster::{Clients, ProcessCluster};
use super::simulation::{LinkConditions, MILLISECOND, SECOND, SimulatedCluster, name};
use crate::running::until;
use pebbleturn::gossip::codec::{self, Datagram, Sender};
use pebbleturn::gossip::swim::Probe;
use pebbleturn::replication::{CommandValue, FactKey, OperatorCommand, Origin, StateStore, StoreLimits};
use pebbleturn::storage::Disk;
use pebbleturn::storage::journal;
use serde::Serialize;
use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

/// Numbers of brokers that are measured.
pub const SIZES: [usize; 5] = [3, 10, 30, 100, 300];
/// Shares of datagrams that are lost, from 0 to 1.
pub const LOSSES: [f64; 3] = [0.0, 0.05, 0.3];

/// How one command spread through a cluster.
#[derive(Clone, Debug, Serialize)]
pub struct Spread {
    pub brokers: usize,
    pub loss: f64,
    /// Time until half of the brokers, 99% of them and all of them knew it, ms.
    pub half_ms: f64,
    pub most_ms: f64,
    pub all_ms: f64,
    /// Bytes that a broker sent for it, in the mean, beyond the traffic of an idle cluster.
    pub bytes: f64,
    /// Bytes for comparison, if the first broker sends it to each of the others and repeats it until
    /// acknowledged: by a broker in the mean, and by the first one.
    pub plain_bytes: f64,
    pub plain_first: f64,
    /// Time until all know it in that way, ms.
    pub plain_ms: f64,
    /// Bytes a second that a broker of an idle cluster sends.
    pub idle: f64,
    /// Times, ms, with the share of brokers that knew it.
    #[serde(skip)]
    pub course: Vec<(f64, f64)>,
}

impl Spread {
    pub const HEAD: &str = "brokers  loss  half ms   99% ms   all ms  bytes/broker  plain: bytes/broker  by the first   all ms  idle B/s";
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>7} {:>5.2} {:>8.0} {:>8.0} {:>8.0} {:>13.0} {:>20.0} {:>13.0} {:>8.0} {:>9.0}",
            self.brokers,
            self.loss,
            self.half_ms,
            self.most_ms,
            self.all_ms,
            self.bytes,
            self.plain_bytes,
            self.plain_first,
            self.plain_ms,
            self.idle
        )
    }
}

/// Direct sending, for comparison: the first broker sends the fact to each of the others every 500 ms until
/// that one acknowledges it. Returns mean bytes per broker, bytes of the first one, and the time until all
/// know it, ms.
fn direct_send(brokers: usize, loss: f64, size: f64, cluster: &mut SimulatedCluster) -> (f64, f64, f64) {
    /// Size of an acknowledgement, bytes.
    const ACK_SIZE: f64 = 60.0;
    let (mut first, mut others, mut longest) = (0.0, 0.0, 0.0f64);
    let mut lost = || cluster.random_below(1_000_000) as f64 / 1e6 < loss;
    for _ in 1..brokers {
        let mut known = false;
        for round in 0.. {
            first += size;
            if lost() {
                continue;
            }
            if !known {
                longest = longest.max(f64::from(round) * 500.0 + 3.0);
                known = true;
            }
            others += ACK_SIZE;
            if !lost() {
                break;
            }
        }
    }
    ((first + others) / brokers as f64, first, longest)
}

/// Measures how a command at one of `brokers` brokers spreads: the mean of `plays` runs.
pub fn spread(brokers: usize, loss: f64, plays: u64, seed: u64) -> Spread {
    let (mut sum, mut course) = ([0.0; 8], Vec::new());
    for play in 0..plays {
        let mut cluster = SimulatedCluster::new(brokers, seed + play);
        cluster.run_for(20 * SECOND);
        cluster.links = LinkConditions { loss, ..LinkConditions::default() };
        // Long enough for the gossip about the start of the brokers to end.
        cluster.run_for(if brokers > 100 { 160 } else { 40 } * SECOND);
        let before: u64 = cluster.bytes_sent.iter().sum();
        cluster.run_for(20 * SECOND);
        let idle = (cluster.bytes_sent.iter().sum::<u64>() - before) as f64 / 20.0 / brokers as f64;
        let (from, sent) = (cluster.now, cluster.bytes_sent.iter().sum::<u64>());
        let key = FactKey::Server("s-1".into());
        let Some(dot) = cluster.record(0, &key, CommandValue::Set) else { continue };
        let (mut half, mut most, mut all) = (None, None, None);
        while cluster.now < from + 10 * SECOND {
            let known = cluster.count_knowing(&key, dot);
            let at = (cluster.now - from) as f64 / MILLISECOND as f64;
            if play == 0 && all.is_none() {
                course.push((at, known as f64 / brokers as f64));
            }
            half = half.or((2 * known >= brokers).then_some(at));
            most = most.or((100 * known >= 99 * brokers).then_some(at));
            all = all.or((known == brokers).then_some(at));
            cluster.run_for(5 * MILLISECOND);
        }
        let extra = (cluster.bytes_sent.iter().sum::<u64>() - sent) as f64 / brokers as f64 - idle * 10.0;
        // 190 bytes: the size of a datagram with this one fact.
        let (mean, first, longest) = direct_send(brokers, loss, 190.0, &mut cluster);
        let one = [
            half.unwrap_or(f64::NAN),
            most.unwrap_or(f64::NAN),
            all.unwrap_or(f64::NAN),
            extra,
            mean,
            first,
            longest,
            idle,
        ];
        sum.iter_mut().zip(one).for_each(|(s, x)| *s += x / plays as f64);
    }
    let [half_ms, most_ms, all_ms, bytes, plain_bytes, plain_first, plain_ms, idle] = sum;
    Spread {
        brokers,
        loss,
        half_ms,
        most_ms,
        all_ms,
        bytes,
        plain_bytes,
        plain_first,
        plain_ms,
        idle,
        course,
    }
}

/// False positives of failure detection: running and reachable brokers that a peer declared down.
#[derive(Clone, Debug, Serialize)]
pub struct FalsePositives {
    pub brokers: usize,
    pub hours: f64,
    pub loss: f64,
    /// Each minute one broker, in turn, is paused for about this long, ms. 0: no pauses.
    pub pause_ms: u64,
    /// Per hour, over all pairs of brokers: peers declared down that were running and reachable.
    pub false_an_hour: f64,
    /// Per hour, over all pairs of brokers: peers declared down while they were paused.
    pub paused_an_hour: f64,
}

impl fmt::Display for FalsePositives {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} brokers, {:.1} h, loss {:.2}, one stands still for some {} ms each minute: {:.1} false deaths an hour, {:.1} of those that stood still",
            self.brokers, self.hours, self.loss, self.pause_ms, self.false_an_hour, self.paused_an_hour
        )
    }
}

/// Simulates `minutes` minutes with loss and pauses.
pub fn false_positives(brokers: usize, minutes: u64, loss: f64, pause_ms: u64, seed: u64) -> FalsePositives {
    let mut cluster = SimulatedCluster::new(brokers, seed);
    cluster.run_for(30 * SECOND);
    cluster.links = LinkConditions { loss, ..LinkConditions::default() };
    cluster.counts = Default::default();
    for n in 0..minutes {
        if pause_ms > 0 {
            // Half to one and a half times as long: pauses do not end in step with the suspicion timeout.
            let time = pause_ms * (500 + cluster.random_below(1000) as u64) / 1000;
            cluster.pause(n as usize % brokers, time * MILLISECOND);
        }
        cluster.run_for(60 * SECOND);
    }
    let hours = minutes as f64 / 60.0;
    let (down, false_positives) = (cluster.counts.peers_down as f64, cluster.counts.false_positives as f64);
    FalsePositives {
        brokers,
        hours,
        loss,
        pause_ms,
        false_an_hour: false_positives / hours,
        paused_an_hour: (down - false_positives) / hours,
    }
}

/// How a broker that lost its disk catches up.
#[derive(Clone, Debug, Serialize)]
pub struct CatchUp {
    pub facts: usize,
    /// Simulated time until its copy is equal, ms; bytes sent by all brokers until then; and the encoded size
    /// of all facts, bytes.
    pub ms: f64,
    pub bytes: u64,
    pub size: usize,
    /// Time to read all facts from disk, ms, and their size there, bytes.
    pub disk_ms: f64,
    pub disk_bytes: u64,
}

impl fmt::Display for CatchUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} facts: caught up after {:.0} ms with {} bytes ({} bytes of facts); from disk in {:.0} ms ({} bytes)",
            self.facts, self.ms, self.bytes, self.size, self.disk_ms, self.disk_bytes
        )
    }
}

/// Measures how a broker without a disk catches up with two that have `facts` facts.
pub fn catch_up(facts: usize, seed: u64) -> CatchUp {
    let mut cluster = SimulatedCluster::empty(3, seed);
    cluster.fill_disk(0, facts);
    let disk = cluster.disk(0);
    cluster.set_disk(1, disk);
    cluster.start(0);
    cluster.start(1);
    cluster.run_for(20 * SECOND);
    let (from, sent) = (cluster.now, cluster.counts.bytes);
    cluster.start(2);
    cluster.wait_for(120 * SECOND, SimulatedCluster::stores_are_equal);
    let (ms, bytes) = ((cluster.now - from) as f64 / MILLISECOND as f64, cluster.counts.bytes - sent);
    let mut copy = StateStore::new(Origin(1), StoreLimits::default());
    let dir = tempfile::tempdir().expect("create a temporary directory");
    let mut log = String::new();
    for n in 0..facts {
        let command = OperatorCommand {
            value: CommandValue::Set,
            author: "staff".into(),
            reason: "filled".into(),
            broker: name(0),
            issued_at: 1,
            expires_at: None,
        };
        let _ = copy.record(&FactKey::Server(format!("s-{n:05}")), command);
    }
    for (key, entry) in copy.facts() {
        let text = serde_json::json!({ "Fact": (key, entry) }).to_string();
        log += &format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()));
    }
    std::fs::write(dir.path().join(journal::LOG), &log).expect("write the log");
    let start = Instant::now();
    let found = journal::read(&Disk, dir.path(), StoreLimits::default());
    let disk_ms = start.elapsed().as_secs_f64() * 1e3;
    assert_eq!(found.facts.len(), facts, "{:?}", found.problems);
    CatchUp { facts, ms, bytes, size: copy.to_bytes().len(), disk_ms, disk_bytes: log.len() as u64 }
}

/// What peers cost a broker that serves queries.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    pub how: &'static str,
    pub queries: u64,
    /// Processor time of the broker per query, us.
    pub cpu_us: f64,
    /// The longest iteration of its event loop, and the longest time spent on peers in one iteration, us.
    pub longest_turn_us: u64,
    pub longest_for_peers_us: u64,
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<28} {:>6} queries, {:>6.0} us of processor time each, longest turn {} us, for peers {} us",
            self.how, self.queries, self.cpu_us, self.longest_turn_us, self.longest_for_peers_us
        )
    }
}

/// Measures one broker of the real program under the same load: without peers, with four, with four of which
/// one floods it with datagrams, and with four under a continuous stream of commands (up to two thousand a
/// second).
pub fn cost(program: &Path, seconds: u64) -> Vec<Cost> {
    ["without peers", "four peers", "four peers, one floods", "four peers, words without end"]
        .map(|how| one_cost(program, how, seconds))
        .into()
}

fn one_cost(program: &Path, how: &'static str, seconds: u64) -> Cost {
    let alone = how == "without peers";
    let mut cluster = ProcessCluster::new(program, if alone { 1 } else { 5 }, 1);
    (0..cluster.len()).for_each(|n| cluster.settings_mut(n).probe_interval_ms = 1000);
    (0..cluster.len()).for_each(|n| cluster.start(n));
    if !alone {
        cluster.wait_until_joined();
    }
    cluster.links.set_all(Fault::default());
    let clients = Clients::start(&cluster, 0, 4);
    clients.wait_for_more(100);
    let (ticks, served, start) = (cluster.cpu_ticks(0), clients.served(), Instant::now());
    let sender = Sender {
        cluster_id: codec::cluster_id("bed"),
        name: "b-1".into(),
        origin: Origin(9),
        incarnation: u64::MAX / 4,
        latest_version: 2,
    };
    let flood = Datagram {
        sender,
        probe: Probe::Ping { sequence: 1 },
        status_updates: vec![],
        facts: vec![],
        root: Some(1),
    }
    .encode(2);
    let mut commands = 0;
    while start.elapsed() < Duration::from_secs(seconds) {
        match how {
            "four peers, one floods" => (0..200).for_each(|_| cluster.links.inject(1, 0, &flood)),
            "four peers, words without end" => {
                for n in 0..10 {
                    cluster.call(1 + n % 4, &format!("SUSPEND n-{} by=x{commands} why=once more", n % 3));
                    cluster.call(1 + n % 4, &format!("RESTORE n-{}", n % 3));
                    commands += 2;
                }
            }
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let queries = clients.served() - served;
    // One clock tick is 10 ms.
    let cpu_us = (cluster.cpu_ticks(0) - ticks) as f64 * 10_000.0 / queries.max(1) as f64;
    until("the admin endpoint answers", || cluster.call(0, "PEERS").contains("EOT"));
    let report = cluster.json(0, "PEERS");
    let figure = |name: &str| report[name].as_u64().unwrap_or(0);
    let (longest_turn_us, longest_for_peers_us) = (figure("longest_turn_us"), figure("longest_for_peers_us"));
    // The stream of commands leaves partitions without holders for moments; queries that are refused then are
    // expected.
    clients.stop();
    Cost { how, queries, cpu_us, longest_turn_us, longest_for_peers_us }
}
