//! When discovery is called for a watch, and when a call is given up.
//!
//! A drain counts as reported to a broker when discovery has written it, whether or not it arrives, and a few
//! seconds after it could have been called at the latest; from then on only its grace is left. So the time
//! until the next list is bounded by that grace at all times, and is not the sum of time-outs that were chosen
//! one by one:
//!
//! - a watch that seems silent is kept while the next call is under way, and what answers first stays;
//! - so is the watch of an earlier configuration, until the new address answers;
//! - a list that stops in the middle is asked for anew at once: it may have reported a drain already;
//! - a call is given up as soon as discovery would have refused it;
//! - at a discovery that other brokers call too, no other begins beside it: that would wait behind it in the queue, be
//!   handled even once it was given up, and delay the lists of all brokers. Neither does one for each of several new
//!   configurations in a row;
//! - waits after calls that failed are bounded: see [`RetryPacing`].
//!
//! No I/O and no clock: the owner of the connections reports what happened, and does what is due.

use super::retry_pacing::{CallFailure, RetryPacing};
use crate::api::Nanos;

/// Time for a response to begin, or to go on, once the connection is up, ns. Discovery refuses a call that has
/// waited for 2 s.
const RESPONSE_TIMEOUT: Nanos = 2_200_000_000;
/// A watch without a byte for so long is silent, ns. By the protocol an empty line comes every 2 s.
const SILENCE_TIMEOUT: Nanos = 3_200_000_000;
/// A watch without a byte for so long may be silent, ns: the next call begins beside it. What it misses
/// counts as reported 6 s after its last byte, and the grace is over 2 s later.
const SUSPICION_TIMEOUT: Nanos = 2_400_000_000;
/// A list whose rest does not come for so long has stopped in the middle, ns.
const PARTIAL_LIST_TIMEOUT: Nanos = 400_000_000;
/// Most calls without an answer at once, when lists stop in the middle.
const MAX_PARTIAL_CALLS: usize = 4;
/// Time after which the grace of what was reported before is over, ns: until then calls that fail are repeated
/// soon.
const URGENT_PERIOD: Nanos = 8_000_000_000;
/// A call that fails before this age did not wait in discovery's queue, ns.
const QUEUED_CALL_AGE: Nanos = 500_000_000;
/// How long a call may wait in discovery's queue, ns, whether or not its caller has given it up.
const QUEUE_PATIENCE: Nanos = 2_000_000_000;
/// A watch that stood for less tells little of the next one when it ends, ns.
const LEAST_WATCH_AGE: Nanos = 500_000_000;

/// Share of a drain's grace after which another call begins beside one that has no answer.
const HEDGE_DELAY_SHARE: Nanos = 4;
/// Most calls without an answer at once, at an agent that answers at once and pushes its list.
const MAX_UNANSWERED_AT_AGENT: usize = 3;
/// The same at a discovery that no other broker calls.
const MAX_UNANSWERED_ALONE: usize = 2;
/// The same at one that others call. Each of their watches may end in one moment, and then a second call of each doubles
/// the time until the last of them has its list.
const MAX_UNANSWERED_AT_SHARED_DISCOVERY: usize = 1;

/// Number of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

impl CallId {
    /// The number, for the log.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Whether a watch confirms the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListConfirmation {
    /// There is a watch.
    Watched,
    /// There has been none yet.
    NeverWatched,
    /// The watch ended at this time.
    WatchLost(Nanos),
}

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// A call is to begin: see [`WatchSchedule::begun`].
    Begin,
    /// Nothing came on this call for too long: it is to be closed. It has ended.
    TimedOut(CallId),
}

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its connection is being established.
    Connecting,
    /// Its first list has not come.
    AwaitingList,
    /// It is the watch.
    Established,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    phase: Phase,
    begun: Nanos,
    /// When something last came on it.
    heard: Nanos,
    /// A part of a list has come whose rest has not.
    in_list: bool,
    /// It was made to the discovery of an earlier configuration: what it brings is news, but no watch.
    is_retired: bool,
}

impl Call {
    fn is_established(&self) -> bool {
        self.phase == Phase::Established
    }
}

/// The calls to discovery that are under way, and when the next one begins.
#[derive(Debug)]
pub struct WatchSchedule {
    /// Time in which a connection must be established, ns.
    dial_timeout: Nanos,
    /// Time after which another call begins beside one without an answer, ns.
    hedge_delay: Nanos,
    /// Most calls without an answer at once.
    max_unanswered: usize,
    pacing: RetryPacing,
    /// Other brokers call the same discovery.
    is_shared: bool,
    /// A call waited in vain since the last list: discovery is crowded, and gets no second calls.
    is_crowded: bool,
    /// The oldest first.
    calls: Vec<Call>,
    next_id: u64,
    /// No call begins earlier. None until the first is requested.
    not_before: Option<Nanos>,
    /// When the list was last known to be current, if it was.
    confirmed: Option<Nanos>,
    /// When discovery last moved, if it did.
    restarted: Option<Nanos>,
    confirmation: ListConfirmation,
}

impl WatchSchedule {
    /// Calls to a discovery that `brokers` brokers share. `dial_timeout`: time in which a connection must be
    /// established, ns. `grace`: time after the report of a drain in which attempts must cease, ns.
    #[must_use]
    pub fn for_shared_discovery(dial_timeout: Nanos, grace: Nanos, brokers: u32, seed: u64) -> WatchSchedule {
        let is_shared = brokers > 1;
        let max_unanswered =
            if is_shared { MAX_UNANSWERED_AT_SHARED_DISCOVERY } else { MAX_UNANSWERED_ALONE };
        let pacing = RetryPacing::for_shared_discovery(grace, brokers, seed);
        let schedule = WatchSchedule::new(dial_timeout, grace, max_unanswered, pacing);
        WatchSchedule { is_shared, ..schedule }
    }

    /// Calls to an agent of this broker's own that pushes its list: soon after each failure.
    #[must_use]
    pub fn for_pushed_lists(dial_timeout: Nanos, grace: Nanos, seed: u64) -> WatchSchedule {
        let pacing = RetryPacing::for_agent(grace, seed);
        WatchSchedule::new(dial_timeout, grace, MAX_UNANSWERED_AT_AGENT, pacing)
    }

    /// A schedule without calls.
    fn new(dial_timeout: Nanos, grace: Nanos, max_unanswered: usize, pacing: RetryPacing) -> WatchSchedule {
        WatchSchedule {
            dial_timeout,
            hedge_delay: grace / HEDGE_DELAY_SHARE,
            max_unanswered,
            pacing,
            is_shared: false,
            is_crowded: false,
            calls: Vec::new(),
            next_id: 0,
            not_before: None,
            confirmed: None,
            restarted: None,
            confirmation: ListConfirmation::NeverWatched,
        }
    }

    /// A call is wanted at this time, unless one is under way or due earlier.
    pub fn request(&mut self, at: Nanos) {
        if self.current_calls().next().is_none() {
            self.not_before = Some(self.not_before.map_or(at, |earlier| earlier.min(at)));
        }
    }

    /// A call is wanted at a time of the schedule's choice, soon: brokers that start together are spread.
    pub fn request_soon(&mut self, now: Nanos) {
        let wait = self.pacing.first_wait();
        self.request(now + wait);
    }

    /// Discovery is elsewhere: it is called at once, or once the calls to the addresses before have left the queue that
    /// may be the same. Calls that are under way are kept until it answers: what they bring until then was reported.
    pub fn restart(&mut self, now: Nanos) {
        self.calls.iter_mut().for_each(|call| call.is_retired = true);
        self.note_lost_watch(now);
        self.pacing.reset();
        self.is_crowded = false;
        self.restarted = Some(now);
        self.not_before = Some(now);
    }

    /// Whether there is a watch.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.current_calls().any(Call::is_established)
    }

    /// Whether a call was made to the discovery of the current configuration.
    #[must_use]
    pub fn is_current(&self, id: CallId) -> bool {
        self.current_calls().any(|call| call.id == id)
    }

    fn current_calls(&self) -> impl DoubleEndedIterator<Item = &Call> {
        self.calls.iter().filter(|call| !call.is_retired)
    }

    /// Whether a watch confirms the list.
    #[must_use]
    pub fn confirmation(&self) -> ListConfirmation {
        self.confirmation
    }

    fn note_lost_watch(&mut self, now: Nanos) {
        if self.confirmation == ListConfirmation::Watched && !self.is_established() {
            self.confirmation = ListConfirmation::WatchLost(now);
        }
    }

    /// What is due at this time; to be called until nothing is.
    pub fn next_action(&mut self, now: Nanos) -> Option<WatchAction> {
        let timed_out = self.calls.iter().find(|call| self.timeout_of(call) <= now).map(|call| call.id);
        if let Some(id) = timed_out {
            self.ended(id, now);
            return Some(WatchAction::TimedOut(id));
        }
        (self.next_call_at()? <= now).then_some(WatchAction::Begin)
    }

    /// Time until the next call may begin, for the log; none before the first is requested.
    #[must_use]
    pub fn time_to_next_call(&self, now: Nanos) -> Option<Nanos> {
        self.next_call_at().map(|at| at.saturating_sub(now))
    }

    /// Age of the list since it was last known to be current, for the log; none if it never was.
    #[must_use]
    pub fn list_age(&self, now: Nanos) -> Option<Nanos> {
        self.confirmed.map(|at| now.saturating_sub(at))
    }

    /// When [`WatchSchedule::next_action`] next has something to do.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.calls.iter().map(|call| self.timeout_of(call)).chain(self.next_call_at()).min()
    }

    fn timeout_of(&self, call: &Call) -> Nanos {
        match call.phase {
            Phase::Connecting => call.begun + self.dial_timeout,
            Phase::AwaitingList => call.heard + RESPONSE_TIMEOUT,
            Phase::Established => call.heard + SILENCE_TIMEOUT,
        }
    }

    /// When the next call begins, as things stand.
    fn next_call_at(&self) -> Option<Nanos> {
        let not_before = self.not_before?;
        let Some(newest) = self.current_calls().next_back() else {
            return Some(self.queue_left_at().map_or(not_before, |at| at.max(not_before)));
        };
        let at = match newest.phase {
            _ if newest.in_list => {
                (self.calls.len() < MAX_PARTIAL_CALLS).then_some(newest.heard + PARTIAL_LIST_TIMEOUT)
            }
            Phase::Established => Some(newest.heard + SUSPICION_TIMEOUT),
            Phase::AwaitingList => self.may_hedge().then_some(newest.begun + self.hedge_delay),
            Phase::Connecting => None,
        };
        at.map(|at| at.max(not_before))
    }

    /// When the last call to an earlier address has left the queue of a shared discovery, if one may still wait there.
    fn queue_left_at(&self) -> Option<Nanos> {
        let waiting = self.calls.iter().filter(|call| call.is_retired && !call.is_established());
        waiting.map(|call| call.begun + QUEUE_PATIENCE).max().filter(|_| self.is_shared)
    }

    /// Whether one more call may begin beside those without an answer.
    fn may_hedge(&self) -> bool {
        let unanswered = self.current_calls().filter(|call| !call.is_established()).count();
        !self.is_crowded && unanswered < self.max_unanswered
    }

    /// A call has begun.
    pub fn begun(&mut self, now: Nanos) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(Call {
            id,
            phase: Phase::Connecting,
            begun: now,
            heard: now,
            in_list: false,
            is_retired: false,
        });
        id
    }

    /// A call could not begin.
    pub fn not_begun(&mut self, now: Nanos) {
        self.not_before = Some(now + self.wait_after(CallFailure::Unreachable, now));
    }

    fn wait_after(&mut self, failure: CallFailure, now: Nanos) -> Nanos {
        let is_urgent = self.confirmed.max(self.restarted).is_some_and(|at| now < at + URGENT_PERIOD);
        self.pacing.wait_after(failure, is_urgent)
    }

    /// The connection of a call is established.
    pub fn connected(&mut self, id: CallId, now: Nanos) {
        if let Some(call) = self.call_mut(id)
            && call.phase == Phase::Connecting
        {
            call.phase = Phase::AwaitingList;
            call.heard = now;
        }
    }

    /// Something came on a call. `in_list`: it ends within a list.
    pub fn received(&mut self, id: CallId, in_list: bool, now: Nanos) {
        if let Some(call) = self.call_mut(id) {
            call.heard = now;
            call.in_list = in_list;
        }
    }

    /// A whole list came on a call, which is the watch from now on, unless it is one to an earlier discovery.
    /// Gives the other calls, which have ended and are to be closed.
    pub fn on_list(&mut self, id: CallId, now: Nanos) -> Vec<CallId> {
        let Some(call) = self.call_mut(id) else { return Vec::new() };
        call.phase = Phase::Established;
        if call.is_retired {
            return Vec::new();
        }
        self.confirmation = ListConfirmation::Watched;
        self.pacing.reset();
        self.is_crowded = false;
        self.confirmed = Some(now);
        self.keep_only(id)
    }

    /// An empty line came on a call, which is the watch from now on: on one that was the watch before, it
    /// confirms the list. Gives the other calls, which have ended and are to be closed.
    pub fn on_heartbeat(&mut self, id: CallId, now: Nanos) -> Vec<CallId> {
        let Some(call) = self.call_mut(id) else { return Vec::new() };
        let was_established = call.is_established();
        call.phase = Phase::Established;
        if call.is_retired {
            return Vec::new();
        }
        if was_established {
            self.confirmed = Some(now);
        } else {
            self.confirmation = ListConfirmation::Watched;
        }
        self.keep_only(id)
    }

    fn keep_only(&mut self, id: CallId) -> Vec<CallId> {
        let others: Vec<CallId> =
            self.calls.iter().map(|call| call.id).filter(|other| *other != id).collect();
        self.calls.retain(|call| call.id == id);
        others
    }

    /// A call has ended by itself, or failed.
    pub fn ended(&mut self, id: CallId, now: Nanos) {
        let Some(call) = self.remove(id) else { return };
        let failure = match call {
            // A drain may have been written on it that did not arrive whole: its grace is running.
            Call { in_list: true, .. } => CallFailure::ListLost,
            _ if call.is_established() && now >= call.begun + LEAST_WATCH_AGE => CallFailure::WatchEnded,
            _ if call.is_established() || now < call.begun + QUEUED_CALL_AGE => CallFailure::Unreachable,
            _ => CallFailure::Unanswered,
        };
        self.record_failure(&call, failure, now);
    }

    /// What a call brought can't be used, and it was closed for another one.
    pub fn rejected(&mut self, id: CallId, now: Nanos) {
        if let Some(call) = self.remove(id) {
            self.record_failure(&call, CallFailure::ListLost, now);
        }
    }

    fn remove(&mut self, id: CallId) -> Option<Call> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    fn record_failure(&mut self, call: &Call, failure: CallFailure, now: Nanos) {
        // The end of a call to an earlier discovery says nothing of this one.
        if call.is_retired {
            return;
        }
        self.note_lost_watch(now);
        self.is_crowded |= failure == CallFailure::Unanswered;
        self.not_before = Some(now + self.wait_after(failure, now));
    }

    fn call_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.id == id)
    }
}
