//! Many brokers call one discovery service that answers few calls per second (a thundering herd): how their
//! calls are spread over time, and when the last broker has its list. Each broker is represented by its own
//! watch schedule; time is simulated.

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
/// Time that a call waits at discovery before it ends with status 503, ns.
const QUEUE_TIMEOUT: Nanos = 2 * S;
/// Window in which calls are counted to find the largest number, ns.
const COUNT_WINDOW: Nanos = 100 * MS;
/// Longest simulated time of a run, ns.
const MAX_RUN_TIME: Nanos = 120 * S;

/// Connect timeout, as on the platform, ns.
const DIAL_TIMEOUT: Nanos = 250 * MS;
/// Grace period of a drain, as on the platform, ns.
const DRAIN_GRACE: Nanos = 2 * S;

/// The event that makes brokers call discovery.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// Seven in ten brokers start within one second.
    Started,
    /// The same, while every call to discovery fails immediately for the first four seconds.
    Down,
    /// The address of discovery changes for all brokers at the same time, while a tenth of them is starting.
    Moved,
}

/// Every cause.
pub const CAUSES: [Cause; 3] = [Cause::Started, Cause::Down, Cause::Moved];

/// The number of brokers and the capacity of discovery.
#[derive(Clone, Copy, Debug)]
pub struct Herd {
    /// Number of brokers.
    pub brokers: usize,
    /// Calls that discovery answers per second, one after the other.
    pub capacity: f64,
}

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct HerdReport {
    /// The event that made the brokers call.
    pub cause: Cause,
    /// Brokers that had to call, and the calls that they made.
    pub brokers: usize,
    /// See `brokers`.
    pub calls: usize,
    /// Number of calls that failed.
    pub failed: usize,
    /// Largest number of calls within a tenth of a second, and the same from one second after the first call
    /// that could be answered.
    pub densest: usize,
    /// See `densest`.
    pub densest_later: usize,
    /// Time until half of the brokers had the list, and until all had, seconds after the first call that
    /// could be answered.
    pub half_s: f64,
    /// See `half_s`.
    pub all_s: f64,
    /// Brokers without a list at the end of the run.
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
enum Event {
    /// The next action of a broker's schedule is due.
    Due(usize),
    /// A running broker calls immediately, because the address of discovery has changed.
    CallsNow(usize),
    /// A broker's call is answered.
    Answered(usize, CallId),
    /// A broker's call fails.
    Failed(usize, CallId),
}

struct Run {
    rng: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    serial: u64,
    /// When discovery has handled the calls that it has accepted.
    free_at: Nanos,
    /// Time from which on discovery answers calls.
    available_from: Nanos,
    /// Time that discovery takes to answer a call.
    service_time: Nanos,
    calls: Vec<Nanos>,
    failed: usize,
}

impl Run {
    fn schedule(&mut self, when: Nanos, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((when, self.serial, event)));
    }

    /// A call reaches discovery, which handles calls one after the other.
    fn call(&mut self, broker: usize, call: CallId, now: Nanos) {
        self.calls.push(now);
        let starts_at = self.free_at.max(now);
        if now < self.available_from {
            self.schedule(now + MS, Event::Failed(broker, call));
        } else if starts_at > now + QUEUE_TIMEOUT {
            self.schedule(now + QUEUE_TIMEOUT, Event::Failed(broker, call));
        } else {
            self.free_at = starts_at + self.service_time;
            self.schedule(self.free_at, Event::Answered(broker, call));
        }
    }
}

impl Herd {
    /// Simulates the brokers for one cause.
    pub fn run(&self, cause: Cause, seed: u64) -> HerdReport {
        let mut run = Run {
            rng: Pcg64Mcg::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            serial: 0,
            free_at: 0,
            available_from: if cause == Cause::Down { 4 * S } else { 0 },
            service_time: (1e9 / self.capacity) as Nanos,
            calls: Vec::new(),
            failed: 0,
        };
        let callers = match cause {
            Cause::Moved => self.brokers,
            Cause::Started | Cause::Down => self.brokers * 7 / 10,
        };
        let mut brokers: Vec<WatchSchedule> = Vec::new();
        for n in 0..callers {
            let started_at = (uniform(&mut run.rng) * S as f64) as Nanos;
            // A broker that runs when the address of discovery changes calls the new address immediately.
            let already_running = cause == Cause::Moved && !n.is_multiple_of(10);
            let fleet = self.brokers as u32;
            let mut broker =
                WatchSchedule::for_shared_discovery(DIAL_TIMEOUT, DRAIN_GRACE, fleet, seed << 32 | n as u64);
            if !already_running {
                broker.request_soon(started_at);
            }
            run.schedule(
                if already_running { S } else { started_at },
                if already_running { Event::CallsNow(n) } else { Event::Due(n) },
            );
            brokers.push(broker);
        }
        let mut list_at = vec![None; callers];
        while let Some(Reverse((now, _, event))) = run.queue.pop() {
            if now > MAX_RUN_TIME || list_at.iter().all(Option::is_some) {
                break;
            }
            let (Event::Due(n) | Event::CallsNow(n) | Event::Answered(n, _) | Event::Failed(n, _)) = event;
            // This broker has its list, and its watch is established.
            if list_at[n].is_some() {
                continue;
            }
            let broker = &mut brokers[n];
            match event {
                Event::Due(_) => {}
                Event::CallsNow(_) => broker.restart(now),
                Event::Answered(_, call) => {
                    list_at[n] = Some(now);
                    broker.on_list(call, now);
                    continue;
                }
                Event::Failed(_, call) => {
                    run.failed += 1;
                    broker.ended(call, now);
                }
            }
            while let Some(action) = broker.next_action(now) {
                // A call that timed out has ended for the broker, but discovery may still handle it.
                if action == WatchAction::Begin {
                    let call = broker.begun(now);
                    broker.connected(call, now);
                    run.call(n, call, now);
                }
            }
            if let Some(due) = broker.next_deadline() {
                run.schedule(due.max(now + MS), Event::Due(n));
            }
        }
        run.calls.sort_unstable();
        let within = |from: Nanos| {
            let first = run.calls.partition_point(|t| *t < from);
            run.calls[first..].iter().take_while(|t| **t < from + COUNT_WINDOW).count()
        };
        let first_answerable = run.calls.first().copied().unwrap_or(0).max(run.available_from);
        let mut delays: Vec<Nanos> =
            list_at.iter().flatten().map(|t| t.saturating_sub(first_answerable)).collect();
        delays.sort_unstable();
        let seconds = |t: Option<&Nanos>| t.map_or(f64::INFINITY, |t| *t as f64 / 1e9);
        HerdReport {
            cause,
            brokers: callers,
            calls: run.calls.len(),
            failed: run.failed,
            densest: run.calls.iter().map(|t| within(*t)).max().unwrap_or(0),
            densest_later: run
                .calls
                .iter()
                .filter(|t| **t >= first_answerable + S)
                .map(|t| within(*t))
                .max()
                .unwrap_or(0),
            half_s: seconds(delays.get(callers / 2)),
            all_s: seconds(delays.last().filter(|_| delays.len() == callers)),
            without: callers - delays.len(),
        }
    }
}
