//! The schedule of calls to discovery, in simulated time: injects faults into the calls and checks how old
//! the list may get.

use pebbleturn::Nanos;
use pebbleturn::membership::watch_schedule::{CallId, ListConfirmation, WatchAction, WatchSchedule};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const DIAL_TIMEOUT: Nanos = 250 * MS;
const GRACE: Nanos = 2 * S;

/// Longest scheduling delay of a broker's process.
const SCHEDULING_DELAY: Nanos = 150 * MS;

/// A fleet that overloads discovery when it calls often, and one that does not.
const LARGE_FLEET: u32 = 300;
const SMALL_FLEET: u32 = 5;

fn schedule(brokers: u32, seed: u64) -> WatchSchedule {
    WatchSchedule::for_shared_discovery(DIAL_TIMEOUT, GRACE, brokers, seed)
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The connection is refused immediately, as by a service that is down.
    Down,
    NeverConnected,
    ClosedAfterConnect,
    RefusedInQueue,
    Unanswered,
    CutInList,
    StalledInList,
}

const FAULTS: [Fault; 7] = [
    Fault::Down,
    Fault::NeverConnected,
    Fault::ClosedAfterConnect,
    Fault::RefusedInQueue,
    Fault::Unanswered,
    Fault::CutInList,
    Fault::StalledInList,
];

/// An event on a call.
#[derive(Clone, Copy, Debug)]
enum CallEvent {
    Connected,
    PartOfList,
    List,
    Ended,
}

/// The schedule and its simulated calls.
struct Simulation {
    schedule: WatchSchedule,
    now: Nanos,
    pending: Vec<(Nanos, CallId, CallEvent)>,
    /// When each call began.
    begun: Vec<Nanos>,
    max_concurrent: usize,
    open: Vec<CallId>,
}

impl Simulation {
    fn new(brokers: u32, seed: u64) -> Simulation {
        Simulation::with_schedule(schedule(brokers, seed))
    }

    fn with_schedule(mut schedule: WatchSchedule) -> Simulation {
        schedule.request(0);
        let (pending, begun, open) = (Vec::new(), Vec::new(), Vec::new());
        Simulation { schedule, now: 0, pending, begun, max_concurrent: 0, open }
    }

    fn begin_call(&mut self, fault: Option<Fault>) {
        let id = self.schedule.begun(self.now);
        self.begun.push(self.now);
        self.open.push(id);
        self.max_concurrent = self.max_concurrent.max(self.open.len());
        let now = self.now;
        let mut at = |after: Nanos, what: CallEvent| self.pending.push((now + after, id, what));
        if fault != Some(Fault::NeverConnected) {
            at(MS, CallEvent::Connected);
        }
        match fault {
            None => at(20 * MS, CallEvent::List),
            Some(Fault::Down) => at(MS, CallEvent::Ended),
            Some(Fault::ClosedAfterConnect) => at(2 * MS, CallEvent::Ended),
            Some(Fault::RefusedInQueue) => at(2 * S, CallEvent::Ended),
            Some(Fault::CutInList) => {
                at(20 * MS, CallEvent::PartOfList);
                at(25 * MS, CallEvent::Ended);
            }
            Some(Fault::StalledInList) => at(20 * MS, CallEvent::PartOfList),
            Some(Fault::NeverConnected | Fault::Unanswered) => {}
        }
    }

    /// Advances to the next event, and returns it if it occurred on a call. `fault` returns the fault of a
    /// new call, given its number.
    fn step(&mut self, mut fault: impl FnMut(usize) -> Option<Fault>) -> Option<CallEvent> {
        while let Some(action) = self.schedule.next_action(self.now) {
            match action {
                WatchAction::Begin => {
                    let fault = fault(self.begun.len());
                    self.begin_call(fault);
                }
                WatchAction::TimedOut(id) => self.close(&[id]),
            }
        }
        let next = self.pending.iter().map(|(at, ..)| *at).chain(self.schedule.next_deadline()).min();
        self.now = next.expect("there is always a next event").max(self.now);
        let index = self.pending.iter().position(|(at, ..)| *at <= self.now)?;
        let (_, id, event) = self.pending.remove(index);
        match event {
            CallEvent::Connected => self.schedule.connected(id, self.now),
            CallEvent::PartOfList => self.schedule.received(id, true, self.now),
            CallEvent::List => {
                let superseded = self.schedule.on_list(id, self.now);
                self.schedule.received(id, false, self.now);
                self.close(&superseded);
            }
            CallEvent::Ended => {
                self.schedule.ended(id, self.now);
                self.close(&[id]);
            }
        }
        Some(event)
    }

    fn close(&mut self, ids: &[CallId]) {
        self.open.retain(|id| !ids.contains(id));
        self.pending.retain(|(_, id, _)| !ids.contains(id));
    }

    /// Runs until a list arrives, and returns the time.
    fn until_list(&mut self, mut fault: impl FnMut(usize) -> Option<Fault>) -> Nanos {
        while !matches!(self.step(&mut fault), Some(CallEvent::List)) {}
        self.now
    }
}

/// A watch is silent after its first list. Whatever faults the next two calls have, the next list arrives
/// within 8 s: changes that the watch misses count as reported after 6 s, and the grace is 2 s.
#[test]
fn a_silent_watch_is_replaced_within_the_grace_despite_two_failed_calls() {
    for (seed, brokers) in (0..200).flat_map(|seed| [(seed, LARGE_FLEET), (seed, SMALL_FLEET)]) {
        for first in FAULTS {
            for second in FAULTS {
                let mut simulation = Simulation::new(brokers, seed);
                let silent_since = simulation.until_list(|_| None);
                let next = simulation.until_list(|call| match call {
                    1 => Some(first),
                    2 => Some(second),
                    _ => None,
                });
                let age = next - silent_since;
                assert!(age < 7900 * MS, "{first:?}, {second:?}, seed {seed}: {} ms", age / MS);
            }
        }
    }
}

/// A list that was cut off or stops in the middle may have reported a drain when it was written. The next one
/// arrives well within the grace of 2 s even if three lists in a row fail that way.
#[test]
fn a_list_that_stops_in_the_middle_is_replaced_at_once() {
    for seed in 0..200 {
        for faults in [[Fault::CutInList; 3], [Fault::StalledInList; 3]] {
            let mut simulation = Simulation::new(LARGE_FLEET, seed);
            let next = simulation.until_list(|call| faults.get(call).copied());
            let age = next - (simulation.begun[0] + 20 * MS);
            assert!(age < 1500 * MS, "{faults:?}, seed {seed}: {} ms", age / MS);
        }
    }
}

/// Discovery processes calls in order, including abandoned ones. While it refuses all calls, a broker must
/// call it less and less often, and with one call at a time.
#[test]
fn refused_calls_become_rare() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(LARGE_FLEET, seed);
        while simulation.now < 60 * S {
            simulation.step(|_| Some(Fault::RefusedInQueue));
        }
        let in_second_half = simulation.begun.iter().filter(|at| **at >= 30 * S).count();
        assert!(in_second_half <= 8, "seed {seed}: {in_second_half} calls in 30 s");
        assert_eq!(simulation.max_concurrent, 1, "seed {seed}");
    }
}

/// Under random faults for a minute, few calls are concurrent, calls do not loop without a pause, and the
/// list is confirmed exactly while a watch is established.
#[test]
fn random_faults_keep_the_limits_on_calls() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation::new(LARGE_FLEET, seed);
        while simulation.now < 60 * S {
            let draw = (rng.next_u64() % (FAULTS.len() as u64 + 3)) as usize;
            simulation.step(|_| FAULTS.get(draw).copied());
            let is_watched = simulation.schedule.confirmation() == ListConfirmation::Watched;
            assert_eq!(is_watched, simulation.schedule.is_established(), "seed {seed}");
        }
        assert!(
            simulation.max_concurrent <= 5,
            "seed {seed}: {} concurrent calls",
            simulation.max_concurrent
        );
        let in_any_second =
            |at: &Nanos| simulation.begun.iter().filter(|b| **b >= *at && **b < at + S).count();
        let densest = simulation.begun.iter().map(in_any_second).max();
        assert!(densest <= Some(16), "seed {seed}: {densest:?} calls in a second");
    }
}

/// The calls of a small fleet stay few in total while discovery refuses all of them: each broker has at most
/// two concurrent calls, and one after the first refusal.
#[test]
fn refused_calls_of_a_small_fleet_stay_few() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(SMALL_FLEET, seed);
        while simulation.now < 60 * S {
            simulation.step(|_| Some(Fault::RefusedInQueue));
        }
        let in_second_half = simulation.begun.iter().filter(|at| **at >= 30 * S).count();
        assert!(in_second_half <= 12, "seed {seed}: {in_second_half} calls in 30 s");
        assert!(
            simulation.max_concurrent <= 2,
            "seed {seed}: {} concurrent calls",
            simulation.max_concurrent
        );
        assert!(simulation.begun.iter().filter(|at| **at < 3 * S).count() <= 3, "seed {seed}");
    }
}

/// Discovery returns after an outage that began at the start or after a watch. Whatever fault the first call
/// after that has, the next list arrives before the grace of a drain that discovery knows by then is over.
#[test]
fn the_first_list_after_an_outage_arrives_within_the_grace_despite_one_failed_call() {
    for seed in 0..100 {
        for outage in [
            Fault::Down,
            Fault::NeverConnected,
            Fault::ClosedAfterConnect,
            Fault::RefusedInQueue,
            Fault::Unanswered,
        ] {
            for first in FAULTS {
                for (starts_watched, length) in [(true, 3), (true, 9), (true, 40), (false, 5), (false, 25)] {
                    let mut simulation = Simulation::new(SMALL_FLEET, seed);
                    if starts_watched {
                        simulation.until_list(|_| None);
                        let watch = simulation.open[0];
                        simulation.schedule.ended(watch, simulation.now);
                        simulation.close(&[watch]);
                    }
                    let returned_at = simulation.now + length * S;
                    while simulation.now < returned_at {
                        simulation.step(|_| Some(outage));
                    }
                    let calls_before = simulation.begun.len();
                    let list = simulation.until_list(|call| (call <= calls_before).then_some(first));
                    let age = list - returned_at + SCHEDULING_DELAY;
                    assert!(
                        age < 8 * S,
                        "{outage:?} for {length} s, {first:?}, seed {seed}: {} ms",
                        age / MS
                    );
                }
            }
        }
    }
}

/// Changes at the discovery of a new configuration count as reported 4 s after the signal, and the grace
/// lasts 2 s more. The list must arrive by then whatever faults the next two calls have, and however long the
/// previous discovery was down.
#[test]
fn the_first_list_after_a_move_arrives_within_the_grace_despite_two_failed_calls() {
    for seed in 0..100 {
        for first in FAULTS {
            for second in FAULTS {
                for outage in [0, 3, 30] {
                    let mut simulation = Simulation::new(SMALL_FLEET, seed);
                    simulation.until_list(|_| None);
                    if outage > 0 {
                        let watch = simulation.open[0];
                        simulation.schedule.ended(watch, simulation.now);
                        simulation.close(&[watch]);
                    }
                    let moved_at = simulation.now + outage * S;
                    while simulation.now < moved_at {
                        simulation.step(|_| Some(Fault::Down));
                    }
                    simulation.schedule.restart(simulation.now);
                    let moved_at = simulation.now;
                    let calls_before = simulation.begun.len();
                    let list = simulation.until_list(|call| match call - calls_before {
                        0 => Some(first),
                        1 => Some(second),
                        _ => None,
                    });
                    let age = list - moved_at + SCHEDULING_DELAY;
                    assert!(
                        age < 6 * S,
                        "{first:?}, {second:?} after {outage} s, seed {seed}: {} ms",
                        age / MS
                    );
                }
            }
        }
    }
}

/// An agent that pushes its list answers immediately, and its changes count as reported immediately: a list
/// must arrive within the grace even if two calls fail first.
#[test]
fn an_agent_delivers_a_list_within_the_grace_despite_two_failed_calls() {
    for seed in 0..200 {
        for first in FAULTS {
            for second in FAULTS.into_iter().filter(|fault| *fault != Fault::RefusedInQueue) {
                let mut simulation =
                    Simulation::with_schedule(WatchSchedule::for_pushed_lists(DIAL_TIMEOUT, GRACE, seed));
                let list = simulation.until_list(|call| [first, second].get(call).copied());
                let age = list + SCHEDULING_DELAY;
                assert!(age < 2 * S, "{first:?}, {second:?}, seed {seed}: {} ms", age / MS);
            }
        }
    }
}

/// When the address of discovery changes, the watch at the old address is kept until the new one answers, but
/// does not count as a watch.
#[test]
fn a_move_keeps_the_old_watch_until_the_new_address_answers() {
    let mut schedule = schedule(SMALL_FLEET, 1);
    schedule.request(0);
    let old = schedule.begun(0);
    schedule.connected(old, MS);
    schedule.on_list(old, 2 * MS);
    schedule.restart(S);
    assert_eq!(schedule.confirmation(), ListConfirmation::WatchLost(S));
    assert_eq!(schedule.next_action(S), Some(WatchAction::Begin));
    let new = schedule.begun(S);
    schedule.connected(new, S + MS);
    assert!(schedule.on_list(old, S + 2 * MS).is_empty(), "the new call continues");
    assert!(!schedule.is_established());
    assert_eq!(schedule.on_list(new, S + 3 * MS), [old]);
    assert_eq!(schedule.confirmation(), ListConfirmation::Watched);
}

/// An empty line shows that a suspected watch is alive, and ends the call that was begun beside it.
#[test]
fn a_late_empty_line_supersedes_the_call_beside_the_watch() {
    let mut schedule = schedule(LARGE_FLEET, 1);
    schedule.request(0);
    assert_eq!(schedule.next_action(0), Some(WatchAction::Begin));
    let watch = schedule.begun(0);
    schedule.connected(watch, MS);
    assert!(schedule.on_list(watch, 2 * MS).is_empty());
    schedule.received(watch, false, 2 * MS);
    assert_eq!(schedule.next_action(2 * S), None, "an empty line arrives every 2 s");
    assert_eq!(schedule.next_action(2500 * MS), Some(WatchAction::Begin));
    let second_call = schedule.begun(2500 * MS);
    assert_eq!(schedule.confirmation(), ListConfirmation::Watched);
    assert_eq!(schedule.on_heartbeat(watch, 2600 * MS), [second_call]);
    assert!(schedule.is_established());
}

/// A watch with nothing to report may send only an empty line.
#[test]
fn an_empty_line_establishes_a_watch() {
    let mut schedule = schedule(LARGE_FLEET, 1);
    schedule.request(0);
    let call = schedule.begun(0);
    schedule.connected(call, MS);
    assert_eq!(schedule.confirmation(), ListConfirmation::NeverWatched);
    assert!(schedule.on_heartbeat(call, 2 * MS).is_empty());
    assert_eq!(schedule.confirmation(), ListConfirmation::Watched);
    schedule.ended(call, S);
    assert_eq!(schedule.confirmation(), ListConfirmation::WatchLost(S));
}

/// When the second call begins beside a call that nobody answers, in a fleet whose discovery answered the call
/// before after this time. The watch has ended just before. None: there is no second call.
fn hedge_delay(brokers: u32, answer_time: Nanos, seed: u64) -> Option<Nanos> {
    let mut schedule = schedule(brokers, seed);
    schedule.request(0);
    let begin = |schedule: &mut WatchSchedule, now| {
        assert_eq!(schedule.next_action(now), Some(WatchAction::Begin));
        let id = schedule.begun(now);
        schedule.connected(id, now);
        id
    };
    let watch = begin(&mut schedule, 0);
    schedule.on_list(watch, answer_time);
    let ended = answer_time + S;
    schedule.ended(watch, ended);
    let begun = schedule.next_deadline().unwrap().max(ended);
    begin(&mut schedule, begun);
    let next = schedule.next_deadline().unwrap();
    (schedule.next_action(next) == Some(WatchAction::Begin)).then_some(next - begun)
}

/// Guards against parts to a drained server behind a report that was lost with its watch: in a fleet of two a
/// call that nobody answers held up the next one for 2.2 s, longer than the grace.
#[test]
fn an_unanswered_call_is_hedged_where_the_hedges_of_a_small_fleet_delay_nobody() {
    for seed in 0..50 {
        for brokers in [2, 5, 16] {
            // Twice as many calls as there are brokers take a second.
            let longest = S / 2 / Nanos::from(brokers);
            assert_eq!(hedge_delay(brokers, longest, seed), Some(GRACE / 4), "{brokers} brokers");
            assert_eq!(hedge_delay(brokers, longest + MS, seed), None, "{brokers} brokers");
        }
        assert_eq!(hedge_delay(LARGE_FLEET, 0, seed), None);
    }
}

/// A new address of discovery has given no answer yet, and a list that is confirmed long ago leaves no grace.
#[test]
fn an_unanswered_call_is_not_hedged_after_a_move_or_long_after_the_last_list() {
    for (moves, wait) in [(true, 0), (false, 10 * S)] {
        let mut schedule = schedule(2, 1);
        schedule.request(0);
        assert_eq!(schedule.next_action(0), Some(WatchAction::Begin));
        let watch = schedule.begun(0);
        schedule.connected(watch, 0);
        schedule.on_list(watch, MS);
        let ended = S;
        schedule.ended(watch, ended);
        if moves {
            schedule.restart(ended);
        }
        let begun = schedule.next_deadline().unwrap().max(ended) + wait;
        assert_eq!(schedule.next_action(begun), Some(WatchAction::Begin));
        let call = schedule.begun(begun);
        schedule.connected(call, begun);
        let next = schedule.next_deadline().unwrap();
        assert_eq!(schedule.next_action(next), Some(WatchAction::TimedOut(call)), "moves: {moves}");
    }
}
