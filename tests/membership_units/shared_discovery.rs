//! A small fleet that shares one discovery, in simulated time.
//!
//! Guards against brokers that overload discovery with their own calls. Discovery processes calls in order,
//! including abandoned ones. During an outage each broker received four new configurations in a row, started
//! a call for each of them, and hedged each call that was unanswered after 0.5 s. These calls kept discovery
//! busy for seconds after its return: a list written for one call of a broker reached nobody while the
//! broker's later calls were still queued.
//!
//! In a staging run both calls of a broker ended in the same millisecond, repeatedly:
//! `24.312 discovery watch ended reason=status 503 age_ms=505 others=1` and `24.312 ... age_ms=5 others=0`.
//! The list arrived at 27.634, 4.08 s after the watch had ended; with one call of each of the six brokers it
//! would have taken 2 s. Without the fix, in 45 of the 96 runs below a broker had no list 2 s after discovery
//! had written it, with delays of up to 6.4 s.

use pebbleturn::Nanos;
use pebbleturn::membership::watch_schedule::{CallId, WatchAction, WatchSchedule};
use std::ops::Range;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const DIAL_TIMEOUT: Nanos = 250 * MS;
const GRACE: Nanos = 2 * S;
/// Time after which discovery refuses a queued call.
const QUEUE_TIMEOUT: Nanos = 2 * S;
const HEARTBEAT_INTERVAL: Nanos = 2 * S;

const OUTAGE: Range<Nanos> = 1_500 * MS..7_500 * MS;
/// All watches end again, much later, instead of delivering a list.
const WATCHES_END: Nanos = 23_500 * MS;
const END: Nanos = 32 * S;
/// Brokers receive their first new configuration one after the other, and each receives three more.
const FIRST_RELOAD: Nanos = 6 * S;
const BETWEEN_BROKERS: Nanos = 300 * MS;
const BETWEEN_RELOADS: Nanos = 400 * MS;
const RELOADS: u64 = 4;

/// Which calls end when discovery refuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalScope {
    /// Only the refused call.
    Call,
    /// All calls of the broker: the refusal does not identify the call.
    Broker,
}

/// A call in discovery's queue, where it stays even if its caller has abandoned it.
#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    broker: usize,
    id: CallId,
    at: Nanos,
}

/// A broker with its open calls.
struct Broker {
    schedule: WatchSchedule,
    /// Open calls; the flag is set for a watch.
    open: Vec<(CallId, bool)>,
    calls: usize,
    /// When discovery wrote lists for the broker, and when the broker received lists.
    written: Vec<Nanos>,
    received: Vec<Nanos>,
}

impl Broker {
    fn end_call(&mut self, id: CallId, now: Nanos) {
        self.open.retain(|(open, _)| *open != id);
        self.schedule.ended(id, now);
    }

    fn receive(&mut self, id: CallId, now: Nanos) {
        let superseded = self.schedule.on_list(id, now);
        self.schedule.received(id, false, now);
        self.open.retain(|(open, _)| !superseded.contains(open));
        self.open.iter_mut().filter(|(open, _)| *open == id).for_each(|(_, is_watch)| *is_watch = true);
        self.received.push(now);
    }

    fn watches(&self) -> Vec<CallId> {
        self.open.iter().filter(|(_, is_watch)| *is_watch).map(|(id, _)| *id).collect()
    }

    /// Time from the first list written after `event` to the first one received.
    fn list_delay(&self, event: Nanos) -> Nanos {
        let first = |times: &[Nanos]| times.iter().find(|at| **at >= event).copied().unwrap_or(END);
        first(&self.received).saturating_sub(first(&self.written))
    }
}

/// Discovery and its brokers.
struct Fleet {
    scope: RefusalScope,
    /// Time that discovery takes to process a call.
    service_time: Nanos,
    brokers: Vec<Broker>,
    queue: Vec<QueuedCall>,
    /// The call that discovery is processing, and when it finishes.
    in_service: Option<(QueuedCall, Nanos)>,
    now: Nanos,
}

impl Fleet {
    fn new(size: u32, service_time: Nanos, scope: RefusalScope, seed: u64) -> Fleet {
        let broker = |n: u32| {
            let seed = seed * 1000 + u64::from(n);
            let mut schedule = WatchSchedule::for_shared_discovery(DIAL_TIMEOUT, GRACE, size, seed);
            schedule.request_soon(0);
            Broker { schedule, open: Vec::new(), calls: 0, written: Vec::new(), received: Vec::new() }
        };
        let brokers = (0..size).map(broker).collect();
        Fleet { scope, service_time, brokers, queue: Vec::new(), in_service: None, now: 0 }
    }

    /// Runs the simulation to its end in steps of 1 ms.
    fn run(mut self) -> Fleet {
        while self.now < END {
            self.now += MS;
            self.reload_brokers();
            if self.now == OUTAGE.start || self.now == WATCHES_END {
                self.end_watches();
            } else if self.now.is_multiple_of(HEARTBEAT_INTERVAL) {
                self.write_heartbeats();
            }
            self.serve_queue();
            self.take_actions();
        }
        self
    }

    fn reload_brokers(&mut self) {
        for (n, broker) in (0..).zip(&mut self.brokers) {
            let first = FIRST_RELOAD + n * BETWEEN_BROKERS;
            let time_since_first = self.now.checked_sub(first).filter(|t| t.is_multiple_of(BETWEEN_RELOADS));
            if time_since_first.is_some_and(|t| t / BETWEEN_RELOADS < RELOADS) {
                broker.schedule.restart(self.now);
            }
        }
    }

    fn end_watches(&mut self) {
        for broker in &mut self.brokers {
            broker.watches().into_iter().for_each(|id| broker.end_call(id, self.now));
        }
    }

    fn write_heartbeats(&mut self) {
        for broker in &mut self.brokers {
            for id in broker.watches() {
                broker.schedule.on_heartbeat(id, self.now);
                broker.schedule.received(id, false, self.now);
            }
        }
    }

    fn is_up(&self) -> bool {
        !OUTAGE.contains(&self.now)
    }

    fn serve_queue(&mut self) {
        while let Some(index) = self.queue.iter().position(|call| call.at + QUEUE_TIMEOUT <= self.now) {
            let call = self.queue.remove(index);
            self.refuse(call);
        }
        if let Some((call, _)) = self.in_service.take_if(|(_, done)| *done <= self.now) {
            self.answer(call);
        }
        if self.is_up() && self.in_service.is_none() && !self.queue.is_empty() {
            self.in_service = Some((self.queue.remove(0), self.now + self.service_time));
        }
    }

    fn refuse(&mut self, call: QueuedCall) {
        let broker = &mut self.brokers[call.broker];
        let all: Vec<CallId> = broker.open.iter().map(|(id, _)| *id).collect();
        let ended = all.into_iter().filter(|id| self.scope == RefusalScope::Broker || *id == call.id);
        ended.for_each(|id| broker.end_call(id, self.now));
    }

    /// Writes the list on the call. If the call is closed and refusals apply to all calls of a broker, writes
    /// it on the broker's newest call instead.
    fn answer(&mut self, call: QueuedCall) {
        let broker = &mut self.brokers[call.broker];
        broker.written.push(self.now);
        let own = broker.open.iter().find(|(id, _)| *id == call.id);
        let newest = broker.open.last().filter(|_| self.scope == RefusalScope::Broker);
        if let Some((id, _)) = own.or(newest).copied() {
            broker.receive(id, self.now);
        }
    }

    fn take_actions(&mut self) {
        for n in 0..self.brokers.len() {
            while let Some(action) = self.brokers[n].schedule.next_action(self.now) {
                match action {
                    WatchAction::Begin => self.begin_call(n),
                    WatchAction::TimedOut(id) => self.brokers[n].open.retain(|(open, _)| *open != id),
                }
            }
        }
    }

    fn begin_call(&mut self, n: usize) {
        let broker = &mut self.brokers[n];
        let id = broker.schedule.begun(self.now);
        broker.schedule.connected(id, self.now);
        broker.calls += 1;
        broker.open.push((id, false));
        let call = QueuedCall { broker: n, id, at: self.now };
        if self.is_up() && self.queue.len() as u64 * self.service_time > QUEUE_TIMEOUT {
            self.refuse(call);
        } else {
            self.queue.push(call);
        }
    }
}

/// Longest time that one call of each broker keeps discovery busy.
const ROUND_TIME: Nanos = 1_600 * MS;
/// A call may be refused just before its turn; the next one then waits behind one call of each broker.
const LIST_AFTER_OUTAGE: Nanos = QUEUE_TIMEOUT + ROUND_TIME;
/// A call begins immediately after a watch has ended, and waits for its turn.
const LIST_AFTER_WATCH: Nanos = ROUND_TIME + 200 * MS;
/// Size and service time of fleets whose calls, one of each broker, keep discovery busy for about
/// [`ROUND_TIME`].
const FLEETS: [(u32, Nanos); 4] = [(3, 400 * MS), (6, 250 * MS), (12, 130 * MS), (16, 95 * MS)];
const SEEDS: Range<u64> = 0..12;

fn runs() -> impl Iterator<Item = (Fleet, String)> {
    let scopes = [RefusalScope::Call, RefusalScope::Broker];
    FLEETS.into_iter().flat_map(move |(size, service_time)| {
        scopes.into_iter().flat_map(move |scope| {
            SEEDS.map(move |seed| {
                let run = format!("{size} brokers, {} ms a call, {scope:?}, seed {seed}", service_time / MS);
                (Fleet::new(size, service_time, scope, seed).run(), run)
            })
        })
    })
}

/// A list counts as reported once discovery has written it, and from then on only the grace of a drain is
/// left. The whole fleet must also have the list shortly after the time that one call of each broker takes.
#[test]
fn a_small_fleet_has_the_list_soon_after_an_outage_and_a_series_of_new_configurations() {
    for (fleet, run) in runs() {
        for (event, limit) in [(OUTAGE.end, LIST_AFTER_OUTAGE), (WATCHES_END, LIST_AFTER_WATCH)] {
            let delay = fleet.brokers.iter().map(|broker| broker.list_delay(event)).max().unwrap();
            assert!(delay < GRACE, "{run}, from {} ms on: list received {} ms late", event / MS, delay / MS);
            let received = |broker: &Broker| broker.received.iter().find(|at| **at >= event).copied();
            let last = fleet.brokers.iter().map(|broker| received(broker).unwrap_or(END)).max().unwrap();
            let time = last - event;
            assert!(time < limit, "{run}, from {} ms on: {} ms to the last list", event / MS, time / MS);
        }
    }
}

/// Even in an outage of 6 s with four new configurations, a broker calls discovery at most 12 times.
#[test]
fn calls_of_a_small_fleet_stay_few() {
    for (fleet, run) in runs() {
        let max_calls = fleet.brokers.iter().map(|broker| broker.calls).max();
        assert!(max_calls <= Some(12), "{run}: {max_calls:?} calls of one broker");
    }
}
