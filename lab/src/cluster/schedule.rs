//! Schedules of faults: generated from a seed, run on a simulated cluster, and shrunk where one fails.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use super::simulation::{LinkConditions, MILLISECOND, SECOND, SimulatedCluster};
use pebbleturn::replication::{CommandValue, FactKey, ProcessStart};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::collections::BTreeMap;

/// One step of a schedule. Brokers are named by their number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// An operator suspends or restores a server.
    Record {
        /// The broker that records it.
        at: usize,
        /// The number of the server.
        server: usize,
        /// Whether it is suspended.
        out: bool,
    },
    /// A link is cut.
    Cut {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// Whether it is cut in the other direction too.
        both: bool,
    },
    /// A link is healed in both directions.
    Heal {
        /// One end.
        a: usize,
        /// The other end.
        b: usize,
    },
    /// All links lose, duplicate and delay datagrams from now on.
    SetLoss {
        /// Tenths of datagrams that are lost.
        tenths: usize,
    },
    /// A broker is paused.
    Pause {
        /// The broker.
        at: usize,
        /// The duration, s.
        seconds: usize,
    },
    /// A broker is killed.
    Kill {
        /// The broker.
        at: usize,
    },
    /// A broker that does not run is started.
    Start {
        /// The broker.
        at: usize,
        /// 0: with its saved disk; 1: with an empty one; else with its disk as it is.
        disk: usize,
    },
    /// A broker's disk is saved for a later start.
    SaveDisk {
        /// The broker.
        at: usize,
    },
    /// A broker's clock is skewed from its next start on.
    SkewClock {
        /// The broker.
        at: usize,
        /// How far it is ahead, s.
        seconds: i64,
    },
    /// Discovery reports a drain or a start of a server.
    ProcessEvent {
        /// The broker that it is reported to.
        at: usize,
        /// Whether it is a drain.
        drain: bool,
        /// How long ago the server's process started, s.
        ago: usize,
        /// The version of the report.
        version: usize,
    },
    /// Time passes.
    Wait {
        /// The duration, ms.
        ms: usize,
    },
}

/// Generates a schedule of `steps` faults and commands, each followed by a wait, for `brokers` brokers.
#[must_use]
pub fn generate(brokers: usize, steps: usize, seed: u64) -> Vec<Step> {
    let mut rng = Pcg32::new(seed, 0x5c4e);
    let mut pick = |n: usize| rng.next_u32() as usize % n;
    let mut schedule = Vec::new();
    for _ in 0..steps {
        let (at, b) = (pick(brokers), pick(brokers));
        schedule.push(match pick(15) {
            0..=3 => Step::Record { at, server: pick(4), out: pick(2) == 0 },
            4 => Step::Cut { from: at, to: b, both: false },
            5 => Step::Cut { from: at, to: b, both: true },
            6 => Step::Heal { a: at, b },
            7 => Step::SetLoss { tenths: pick(4) },
            8 => Step::Pause { at, seconds: pick(25) },
            9 => Step::Kill { at },
            10 => Step::Start { at, disk: pick(4) },
            11 => Step::SaveDisk { at },
            // Within the ten minutes that clocks may differ by.
            12 => Step::SkewClock { at, seconds: pick(580) as i64 - 290 },
            13 => Step::ProcessEvent { at, drain: pick(2) == 0, ago: pick(100), version: pick(9) },
            _ => Step::Wait { ms: pick(75_000) },
        });
        schedule.push(Step::Wait { ms: pick(2000) });
    }
    schedule
}

/// Runs a schedule.
pub fn run(cluster: &mut SimulatedCluster, steps: &[Step]) {
    let mut saved_disks: Vec<BTreeMap<_, _>> = vec![Default::default(); cluster.len()];
    for step in steps {
        match *step {
            Step::Record { at, server, out } => {
                let value = if out { CommandValue::Set } else { CommandValue::Clear };
                cluster.record(at, &FactKey::Server(format!("s-{server}")), value);
            }
            Step::Cut { from, to, both } if from != to => {
                cluster.set_link_cut(from, to, true);
                cluster.set_link_cut(to, from, both || cluster.cut_links.contains(&(to, from)));
            }
            Step::Cut { .. } => {}
            Step::Heal { a, b } => {
                cluster.set_link_cut(a, b, false);
                cluster.set_link_cut(b, a, false);
            }
            Step::SetLoss { tenths } => {
                cluster.links = LinkConditions {
                    loss: tenths as f64 / 10.0,
                    duplication: 0.2,
                    min_delay: MILLISECOND,
                    max_delay: 200 * MILLISECOND,
                };
            }
            Step::Pause { at, seconds } => cluster.pause(at, seconds as u64 * SECOND),
            Step::Kill { at } => cluster.kill(at),
            Step::Start { at, disk } if cluster.member(at).is_none() => {
                match disk {
                    0 => cluster.set_disk(at, saved_disks[at].clone()),
                    1 => cluster.set_disk(at, BTreeMap::new()),
                    _ => {}
                }
                cluster.start(at);
            }
            Step::Start { .. } => {}
            Step::SaveDisk { at } => saved_disks[at] = cluster.disk(at),
            Step::SkewClock { at, seconds } => cluster.set_clock_skew(at, seconds * SECOND as i64),
            Step::ProcessEvent { at, drain, ago, version } => {
                let key = if drain { FactKey::Drain("s-1".into()) } else { FactKey::Start("s-1".into()) };
                cluster.record_process_event(
                    at,
                    key,
                    ProcessStart { started: cluster.now - SECOND * ago as u64, list_version: version as u64 },
                );
            }
            Step::Wait { ms } => cluster.run_for(ms as u64 * MILLISECOND),
        }
    }
}

/// Removes steps from a failing schedule as long as it still fails without them.
pub fn shrink(steps: &[Step], fails: impl Fn(&[Step]) -> bool) -> Vec<Step> {
    let mut left = steps.to_vec();
    let mut chunk_len = left.len().div_ceil(2).max(1);
    loop {
        let mut at = 0;
        while at < left.len() {
            let mut fewer = left.clone();
            fewer.drain(at..(at + chunk_len).min(left.len()));
            if fails(&fewer) {
                left = fewer;
            } else {
                at += chunk_len;
            }
        }
        if chunk_len == 1 {
            return left;
        }
        chunk_len = chunk_len.div_ceil(2);
    }
}
