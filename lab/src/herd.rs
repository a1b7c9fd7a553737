//! Many brokers before one discovery that answers few calls a second: how their calls are spread, and when the last of
//! them has its list. The brokers are their own schedules of calls, in simulated time.

use crate::sim::uniform;
use pebbleturn::Nanos;
use pebbleturn::membership::watch_schedule::{CallId, WatchAction, WatchSchedule};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// How long a call waits at discovery before it ends in 503.
const PATIENCE: Nanos = 2 * S;
/// Span of time over which calls are counted to find the densest.
const SPAN: Nanos = 100 * MS;
/// Longest that a herd is watched.
const LONGEST: Nanos = 120 * S;

/// Time in which a connection must be established, and a drain's grace, as on the platform.
const DIAL_TIMEOUT: Nanos = 250 * MS;
const GRACE: Nanos = 2 * S;

/// What makes brokers ask.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// Seven in ten start within one second.
    Started,
    /// The same, while discovery fails at once for four seconds.
    Down,
    /// Discovery moves for all at one moment, while a tenth of them starts.
    Moved,
}

/// Every cause.
pub const CAUSES: [Cause; 3] = [Cause::Started, Cause::Down, Cause::Moved];

/// Brokers, and what discovery can do.
#[derive(Clone, Copy, Debug)]
pub struct Herd {
    /// Brokers.
    pub brokers: usize,
    /// Calls that discovery answers in a second, one after the other.
    pub capacity: f64,
}

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct HerdReport {
    /// What made them ask.
    pub cause: Cause,
    /// Brokers that had to ask, and the calls that they made.
    pub brokers: usize,
    /// See `brokers`.
    pub calls: usize,
    /// Calls that failed.
    pub failed: usize,
    /// Most calls within a tenth of a second, and the same from one second after the first on.
    pub densest: usize,
    /// See `densest`.
    pub densest_later: usize,
    /// When half of them had the list, and when all had, seconds after the first call that could be answered.
    pub half_s: f64,
    /// See `half_s`.
    pub all_s: f64,
    /// Brokers that had none when the time was over.
    pub without: usize,
}

impl fmt::Display for HerdReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?}: {} brokers, {} calls, {} failed; at most {} within 100 ms, {} after the first second; half have the list \
             after {:.1} s, all after {:.1} s, {} never",
            self.cause,
            self.brokers,
            self.calls,
            self.failed,
            self.densest,
            self.densest_later,
            self.half_s,
            self.all_s,
            self.without
        )
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    /// A broker has something to do.
    Due(usize),
    /// A broker calls at once: discovery has moved.
    Calls(usize),
    /// Its call is answered, or fails.
    Answered(usize, CallId),
    Failed(usize, CallId),
}

struct Play {
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Nanos, u64, Happens)>>,
    serial: u64,
    /// When discovery is done with what it has, and since when it answers.
    free_at: Nanos,
    up: Nanos,
    serve: Nanos,
    calls: Vec<Nanos>,
    failed: usize,
}

impl Play {
    fn at(&mut self, when: Nanos, what: Happens) {
        self.serial += 1;
        self.queue.push(Reverse((when, self.serial, what)));
    }

    /// One call comes to discovery, which handles calls in turn.
    fn call(&mut self, broker: usize, call: CallId, now: Nanos) {
        self.calls.push(now);
        let begins = self.free_at.max(now);
        if now < self.up {
            self.at(now + MS, Happens::Failed(broker, call));
        } else if begins > now + PATIENCE {
            self.at(now + PATIENCE, Happens::Failed(broker, call));
        } else {
            self.free_at = begins + self.serve;
            self.at(self.free_at, Happens::Answered(broker, call));
        }
    }
}

impl Herd {
    /// Plays one cause.
    pub fn run(&self, cause: Cause, seed: u64) -> HerdReport {
        let mut play = Play {
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            serial: 0,
            free_at: 0,
            up: if cause == Cause::Down { 4 * S } else { 0 },
            serve: (1e9 / self.capacity) as Nanos,
            calls: Vec::new(),
            failed: 0,
        };
        let asking = match cause {
            Cause::Moved => self.brokers,
            Cause::Started | Cause::Down => self.brokers * 7 / 10,
        };
        let mut brokers: Vec<WatchSchedule> = Vec::new();
        for n in 0..asking {
            let starts = (uniform(&mut play.rng) * S as f64) as Nanos;
            // Whoever runs while discovery moves calls the new one on the word itself.
            let runs = cause == Cause::Moved && !n.is_multiple_of(10);
            let fleet = self.brokers as u32;
            let mut broker =
                WatchSchedule::for_shared_discovery(DIAL_TIMEOUT, GRACE, fleet, seed << 32 | n as u64);
            if !runs {
                broker.request_soon(starts);
            }
            play.at(if runs { S } else { starts }, if runs { Happens::Calls(n) } else { Happens::Due(n) });
            brokers.push(broker);
        }
        let mut has = vec![None; asking];
        while let Some(Reverse((now, _, what))) = play.queue.pop() {
            if now > LONGEST || has.iter().all(Option::is_some) {
                break;
            }
            let (Happens::Due(n) | Happens::Calls(n) | Happens::Answered(n, _) | Happens::Failed(n, _)) =
                what;
            // Its watch stands.
            if has[n].is_some() {
                continue;
            }
            let broker = &mut brokers[n];
            match what {
                Happens::Due(_) => {}
                Happens::Calls(_) => broker.restart(now),
                Happens::Answered(_, call) => {
                    has[n] = Some(now);
                    broker.on_list(call, now);
                    continue;
                }
                Happens::Failed(_, call) => {
                    play.failed += 1;
                    broker.ended(call, now);
                }
            }
            while let Some(action) = broker.next_action(now) {
                // A call that timed out has ended: discovery may still handle it.
                if action == WatchAction::Begin {
                    let call = broker.begun(now);
                    broker.connected(call, now);
                    play.call(n, call, now);
                }
            }
            if let Some(due) = broker.next_deadline() {
                play.at(due.max(now + MS), Happens::Due(n));
            }
        }
        play.calls.sort_unstable();
        let within = |from: Nanos| {
            let first = play.calls.partition_point(|t| *t < from);
            play.calls[first..].iter().take_while(|t| **t < from + SPAN).count()
        };
        let begun = play.calls.first().copied().unwrap_or(0).max(play.up);
        let mut got: Vec<Nanos> = has.iter().flatten().map(|t| t.saturating_sub(begun)).collect();
        got.sort_unstable();
        let seconds = |t: Option<&Nanos>| t.map_or(f64::INFINITY, |t| *t as f64 / 1e9);
        HerdReport {
            cause,
            brokers: asking,
            calls: play.calls.len(),
            failed: play.failed,
            densest: play.calls.iter().map(|t| within(*t)).max().unwrap_or(0),
            densest_later: play
                .calls
                .iter()
                .filter(|t| **t >= begun + S)
                .map(|t| within(*t))
                .max()
                .unwrap_or(0),
            half_s: seconds(got.get(asking / 2)),
            all_s: seconds(got.last().filter(|_| got.len() == asking)),
            without: asking - got.len(),
        }
    }
}
