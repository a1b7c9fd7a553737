//! Schedules the calls to discovery that establish a watch, and their timeouts.
//!
//! A drain counts as reported to a broker once discovery has written it, whether or not it arrives, and at
//! the latest a few seconds after discovery could have been called. From then on only the grace of the drain
//! is left. The time until the next list must therefore stay below that grace in every state, rather than be
//! the sum of independently chosen timeouts:
//!
//! - A watch that seems silent is kept while the next call is in progress; the first of the two to deliver
//!   remains.
//! - The watch of an earlier configuration is kept until the new address answers.
//! - A list that stops in the middle is requested again immediately, because it may have reported a drain.
//! - A call is abandoned as soon as discovery would have refused it.
//! - At a discovery that other brokers also call, no second call runs concurrently. It would wait in the
//!   queue behind the first, would be processed even after it was abandoned, and would delay the lists of all
//!   brokers. For the same reason, several new configurations in a row do not start one call each. The exception
//!   is a small fleet whose discovery answers so fast that the second calls of all brokers delay nobody: there
//!   an unanswered call behind a watch that has just ended is hedged.
//! - Waits after failed calls are bounded: see [`RetryPacing`].
//!
//! The schedule performs no I/O and reads no clock: the owner of the connections reports events to it and
//! carries out the actions that are due.

use super::retry_pacing::{CallFailure, RetryPacing};
use crate::api::Nanos;

/// Longest time without data, ns, before the first list on an established connection. Discovery refuses a
/// call that has waited for 2 s.
const RESPONSE_TIMEOUT: Nanos = 2_200_000_000;
/// Time without a byte, ns, after which a watch is closed as silent. By the protocol an empty line arrives
/// every 2 s.
const SILENCE_TIMEOUT: Nanos = 3_200_000_000;
/// Time without a byte, ns, after which a watch is suspected to be silent and the next call begins beside it.
/// Changes that the watch misses count as reported 6 s after its last byte, and the grace ends 2 s later.
const SUSPICION_TIMEOUT: Nanos = 2_400_000_000;
/// Time without a byte, ns, after which a partly received list counts as interrupted.
const PARTIAL_LIST_TIMEOUT: Nanos = 400_000_000;
/// Maximum number of concurrent calls when lists stop in the middle.
const MAX_PARTIAL_CALLS: usize = 4;
/// Time, ns, after which the grace of every drain reported before is over. Until then failed calls are
/// retried with short waits.
const URGENT_PERIOD: Nanos = 8_000_000_000;
/// Minimum age of a failed call that may have waited in discovery's queue, ns.
const MIN_QUEUED_CALL_AGE: Nanos = 500_000_000;
/// Longest time, ns, for which a call stays in discovery's queue, whether or not its caller has abandoned it.
const QUEUE_TIMEOUT: Nanos = 2_000_000_000;
/// Minimum age of a watch for its end to count as [`CallFailure::WatchEnded`], ns. A watch that
/// ends earlier says little about the next call.
const MIN_WATCH_AGE: Nanos = 500_000_000;

/// Divisor of a drain's grace that gives the delay before a call hedges an unanswered one.
const HEDGE_DELAY_DIVISOR: Nanos = 4;
/// Maximum number of concurrent unanswered calls to an agent that answers immediately and pushes its list.
const MAX_UNANSWERED_AT_AGENT: usize = 3;
/// Maximum number of concurrent unanswered calls to a discovery that no other broker calls.
const MAX_UNANSWERED_AT_UNSHARED_DISCOVERY: usize = 2;
/// Maximum number of concurrent unanswered calls to a discovery that other brokers call. Their watches may
/// all end at the same moment; a second call from each broker would then double the time until the last of
/// them has its list.
const MAX_UNANSWERED_AT_SHARED_DISCOVERY: usize = 1;

/// The same where the second calls of all brokers delay nobody.
const MAX_UNANSWERED_AT_FAST_SHARED_DISCOVERY: usize = 2;
/// Longest time, ns, in which a shared discovery must process that many calls of each broker for that to hold. It
/// leaves as much of the grace to the hedge's delay and to the attempts that are being sent.
const MAX_HEDGED_QUEUE_TIME: Nanos = 1_000_000_000;

/// Identifies a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

impl CallId {
    /// The number, for the log.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Whether a watch confirms that the list is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListConfirmation {
    /// A watch is established.
    Watched,
    /// No watch has been established yet.
    NeverWatched,
    /// The last watch ended at this time.
    WatchLost(Nanos),
}

/// An action that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Begin a call and report it with [`WatchSchedule::begun`].
    Begin,
    /// Close this call, which timed out. The schedule already counts it as ended.
    TimedOut(CallId),
}

/// The progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its connection is being established.
    Connecting,
    /// The connection is established; neither a complete list nor an empty line has arrived.
    AwaitingList,
    /// The call is an established watch.
    Established,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    phase: Phase,
    begun: Nanos,
    /// When data last arrived on it, or its connection was established.
    last_received: Nanos,
    /// A list has arrived in part only.
    in_list: bool,
    /// It was made to the discovery of an earlier configuration: its lists are still used, but it does not
    /// count as a watch.
    is_retired: bool,
}

impl Call {
    fn is_established(&self) -> bool {
        self.phase == Phase::Established
    }
}

/// Tracks the calls to discovery that are in progress, and determines when the next one begins.
#[derive(Debug)]
pub struct WatchSchedule {
    /// Time in which a connection must be established, ns.
    dial_timeout: Nanos,
    /// Delay after which another call hedges an unanswered one, ns.
    hedge_delay: Nanos,
    /// Maximum number of concurrent unanswered calls.
    max_unanswered: usize,
    pacing: RetryPacing,
    /// Number of brokers that call the same discovery, this one included.
    brokers: u32,
    /// Time from the beginning of the last answered call to its first list. Discovery takes no longer to
    /// process one call, as the call also waited behind others.
    answer_time: Option<Nanos>,
    /// Whether a call has waited without an answer since the last list. Discovery is then taken to be
    /// overloaded and calls are not hedged.
    is_overloaded: bool,
    /// Calls in progress, oldest first.
    calls: Vec<Call>,
    next_id: u64,
    /// Earliest time of the next call; `None` until the first is requested.
    not_before: Option<Nanos>,
    /// When the list was last known to be current, if it was.
    confirmed_at: Option<Nanos>,
    /// When the address of discovery last changed, if it did.
    restarted_at: Option<Nanos>,
    confirmation: ListConfirmation,
}

impl WatchSchedule {
    /// Creates a schedule for a discovery that `brokers` brokers share. `dial_timeout`: time in which a
    /// connection must be established, ns. `grace`: time after the report of a drain within which attempts
    /// must cease, ns.
    #[must_use]
    pub fn for_shared_discovery(dial_timeout: Nanos, grace: Nanos, brokers: u32, seed: u64) -> WatchSchedule {
        let max_unanswered = if brokers > 1 {
            MAX_UNANSWERED_AT_SHARED_DISCOVERY
        } else {
            MAX_UNANSWERED_AT_UNSHARED_DISCOVERY
        };
        let pacing = RetryPacing::for_shared_discovery(grace, brokers, seed);
        let schedule = WatchSchedule::new(dial_timeout, grace, max_unanswered, pacing);
        WatchSchedule { brokers, ..schedule }
    }

    /// Creates a schedule for an agent that serves this broker alone and pushes its list. Waits after
    /// failures are short.
    #[must_use]
    pub fn for_pushed_lists(dial_timeout: Nanos, grace: Nanos, seed: u64) -> WatchSchedule {
        let pacing = RetryPacing::for_agent(grace, seed);
        WatchSchedule::new(dial_timeout, grace, MAX_UNANSWERED_AT_AGENT, pacing)
    }

    fn new(dial_timeout: Nanos, grace: Nanos, max_unanswered: usize, pacing: RetryPacing) -> WatchSchedule {
        WatchSchedule {
            dial_timeout,
            hedge_delay: grace / HEDGE_DELAY_DIVISOR,
            max_unanswered,
            pacing,
            brokers: 1,
            answer_time: None,
            is_overloaded: false,
            calls: Vec::new(),
            next_id: 0,
            not_before: None,
            confirmed_at: None,
            restarted_at: None,
            confirmation: ListConfirmation::NeverWatched,
        }
    }

    /// Requests a call at this time, unless one is in progress or due earlier.
    pub fn request(&mut self, at: Nanos) {
        if self.current_calls().next().is_none() {
            self.not_before = Some(self.not_before.map_or(at, |earlier| earlier.min(at)));
        }
    }

    /// Requests a call after a short random wait, which spreads the calls of brokers that start together.
    pub fn request_soon(&mut self, now: Nanos) {
        let wait = self.pacing.first_wait();
        self.request(now + wait);
    }

    /// Records that the address of discovery changed. The new address is called immediately, or, where
    /// discovery is shared, once the calls to earlier addresses have left its queue, which may be the same
    /// one. Calls in progress are kept until the new address answers, because lists that arrive on them count
    /// as reported.
    pub fn restart(&mut self, now: Nanos) {
        self.calls.iter_mut().for_each(|call| call.is_retired = true);
        self.record_lost_watch(now);
        self.pacing.reset();
        self.is_overloaded = false;
        self.answer_time = None;
        self.restarted_at = Some(now);
        self.not_before = Some(now);
    }

    /// Whether a watch of the current configuration is established.
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

    /// Whether a watch confirms that the list is current.
    #[must_use]
    pub fn confirmation(&self) -> ListConfirmation {
        self.confirmation
    }

    fn record_lost_watch(&mut self, now: Nanos) {
        if self.confirmation == ListConfirmation::Watched && !self.is_established() {
            self.confirmation = ListConfirmation::WatchLost(now);
        }
    }

    /// Returns an action that is due at this time. Must be called repeatedly until it returns `None`.
    pub fn next_action(&mut self, now: Nanos) -> Option<WatchAction> {
        let timed_out = self.calls.iter().find(|call| self.timeout_of(call) <= now).map(|call| call.id);
        if let Some(id) = timed_out {
            self.ended(id, now);
            return Some(WatchAction::TimedOut(id));
        }
        (self.next_call_at()? <= now).then_some(WatchAction::Begin)
    }

    /// Time until the next call may begin, for the log; `None` before the first is requested.
    #[must_use]
    pub fn time_to_next_call(&self, now: Nanos) -> Option<Nanos> {
        self.next_call_at().map(|at| at.saturating_sub(now))
    }

    /// Time since the list was last known to be current, for the log; `None` if it never was.
    #[must_use]
    pub fn list_age(&self, now: Nanos) -> Option<Nanos> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// When [`WatchSchedule::next_action`] must next be called.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.calls.iter().map(|call| self.timeout_of(call)).chain(self.next_call_at()).min()
    }

    fn timeout_of(&self, call: &Call) -> Nanos {
        match call.phase {
            Phase::Connecting => call.begun + self.dial_timeout,
            Phase::AwaitingList => call.last_received + RESPONSE_TIMEOUT,
            Phase::Established => call.last_received + SILENCE_TIMEOUT,
        }
    }

    /// When the next call begins unless another event occurs first; `None` if none is scheduled.
    fn next_call_at(&self) -> Option<Nanos> {
        let not_before = self.not_before?;
        let Some(newest) = self.current_calls().next_back() else {
            return Some(self.queue_left_at().map_or(not_before, |at| at.max(not_before)));
        };
        let at = match newest.phase {
            _ if newest.in_list => {
                (self.calls.len() < MAX_PARTIAL_CALLS).then_some(newest.last_received + PARTIAL_LIST_TIMEOUT)
            }
            Phase::Established => Some(newest.last_received + SUSPICION_TIMEOUT),
            Phase::AwaitingList => self.may_hedge(newest).then_some(newest.begun + self.hedge_delay),
            Phase::Connecting => None,
        };
        at.map(|at| at.max(not_before))
    }

    /// When the last call to an earlier address has left the queue of a shared discovery; `None` if none may
    /// still be waiting there.
    fn queue_left_at(&self) -> Option<Nanos> {
        let waiting = self.calls.iter().filter(|call| call.is_retired && !call.is_established());
        waiting.map(|call| call.begun + QUEUE_TIMEOUT).max().filter(|_| self.is_shared())
    }

    /// Whether other brokers call the same discovery.
    fn is_shared(&self) -> bool {
        self.brokers > 1
    }

    /// Whether an unanswered call, the newest one, may be hedged by another one.
    fn may_hedge(&self, newest: &Call) -> bool {
        let unanswered = self.current_calls().filter(|call| !call.is_established()).count();
        let max_unanswered = if self.hedges_delay_nobody(newest.begun) {
            MAX_UNANSWERED_AT_FAST_SHARED_DISCOVERY
        } else {
            self.max_unanswered
        };
        !self.is_overloaded && unanswered < max_unanswered
    }

    /// Whether the hedges of all brokers to calls that began at this time delay no list at a shared discovery,
    /// and the grace of a drain may be running.
    fn hedges_delay_nobody(&self, begun: Nanos) -> bool {
        let calls = Nanos::from(self.brokers) * MAX_UNANSWERED_AT_FAST_SHARED_DISCOVERY as Nanos;
        let fits = self.answer_time.is_some_and(|time| time.saturating_mul(calls) <= MAX_HEDGED_QUEUE_TIME);
        let may_have_lost_report = self.confirmed_at.is_some_and(|at| begun < at + URGENT_PERIOD);
        self.is_shared() && self.pacing.retries_promptly() && fits && may_have_lost_report
    }

    /// Records that a call has begun.
    pub fn begun(&mut self, now: Nanos) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(Call {
            id,
            phase: Phase::Connecting,
            begun: now,
            last_received: now,
            in_list: false,
            is_retired: false,
        });
        id
    }

    /// Records that a call could not begin.
    pub fn not_begun(&mut self, now: Nanos) {
        self.not_before = Some(now + self.wait_after(CallFailure::Unreachable, now));
    }

    fn wait_after(&mut self, failure: CallFailure, now: Nanos) -> Nanos {
        let is_urgent = self.confirmed_at.max(self.restarted_at).is_some_and(|at| now < at + URGENT_PERIOD);
        self.pacing.wait_after(failure, is_urgent)
    }

    /// Records that the connection of a call is established.
    pub fn connected(&mut self, id: CallId, now: Nanos) {
        if let Some(call) = self.call_mut(id)
            && call.phase == Phase::Connecting
        {
            call.phase = Phase::AwaitingList;
            call.last_received = now;
        }
    }

    /// Records that data arrived on a call. `in_list`: the data ends within a list.
    pub fn received(&mut self, id: CallId, in_list: bool, now: Nanos) {
        if let Some(call) = self.call_mut(id) {
            call.last_received = now;
            call.in_list = in_list;
        }
    }

    /// Records that a complete list arrived on a call, which becomes the watch unless it was made to an
    /// earlier discovery. Returns the superseded calls, which have ended and must be closed.
    pub fn on_list(&mut self, id: CallId, now: Nanos) -> Vec<CallId> {
        let Some(call) = self.call_mut(id) else { return Vec::new() };
        let answer_time = (!call.is_established()).then(|| now.saturating_sub(call.begun));
        call.phase = Phase::Established;
        if call.is_retired {
            return Vec::new();
        }
        self.answer_time = answer_time.or(self.answer_time);
        self.confirmation = ListConfirmation::Watched;
        self.pacing.reset();
        self.is_overloaded = false;
        self.confirmed_at = Some(now);
        self.keep_only(id)
    }

    /// Records that an empty line arrived on a call, which becomes the watch unless it was made to an earlier
    /// discovery. On a call that was the watch already, it confirms the list. Returns the superseded calls,
    /// which have ended and must be closed.
    pub fn on_heartbeat(&mut self, id: CallId, now: Nanos) -> Vec<CallId> {
        let Some(call) = self.call_mut(id) else { return Vec::new() };
        let was_established = call.is_established();
        call.phase = Phase::Established;
        if call.is_retired {
            return Vec::new();
        }
        if was_established {
            self.confirmed_at = Some(now);
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

    /// Records that a call was closed by discovery, or failed.
    pub fn ended(&mut self, id: CallId, now: Nanos) {
        let Some(call) = self.remove(id) else { return };
        let failure = match call {
            // The incomplete list may contain a drain, whose grace is then already running.
            Call { in_list: true, .. } => CallFailure::ListLost,
            _ if call.is_established() && now >= call.begun + MIN_WATCH_AGE => CallFailure::WatchEnded,
            _ if call.is_established() || now < call.begun + MIN_QUEUED_CALL_AGE => CallFailure::Unreachable,
            _ => CallFailure::Unanswered,
        };
        self.record_failure(&call, failure, now);
    }

    /// Records that a call delivered an unusable list and was closed, so that another call replaces it.
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
        // The end of a call to an earlier discovery carries no information about the current one.
        if call.is_retired {
            return;
        }
        self.record_lost_watch(now);
        self.is_overloaded |= failure == CallFailure::Unanswered;
        self.not_before = Some(now + self.wait_after(failure, now));
    }

    fn call_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.id == id)
    }
}
