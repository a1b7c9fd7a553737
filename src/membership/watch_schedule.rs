//! When discovery is called for a watch, and when a call is given up.
//!
//! A drain counts as reported to a broker when discovery has written it, whether or not it arrives, and a few
//! seconds after the watch fell silent at the latest; from then on only its grace is left. So the time until
//! the next list is bounded by that grace, and is not the sum of time-outs that were chosen one by one:
//!
//! - a watch that seems silent is kept while the next call is under way, and what answers first stays;
//! - a list that stops in the middle is asked for anew at once: it may have reported a drain already;
//! - a call is given up as soon as discovery would have refused it;
//! - while the grace may be running, calls that fail are repeated after a short wait.
//!
//! Discovery handles calls in turn, also those whose callers have given up. Many brokers that repeat their
//! calls too soon keep it busy with calls that nobody waits for, and none of them gets an answer. So there is
//! one call at a time, and outside the moments above the waits double.
//!
//! No I/O and no clock: the owner of the connections reports what happened, and does what is due.

use super::poll_backoff::PollBackoff;
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
/// Age of the last confirmed list up to which calls that fail are repeated soon, ns: then the grace of what a
/// silent watch missed is over.
const URGENT_LIST_AGE: Nanos = 8_000_000_000;
/// Share of the usual wait that passes before a list that was cut is asked for anew.
const CUT_LIST_WAIT_DIVISOR: Nanos = 8;

/// First and longest wait after calls that failed, at a discovery that many brokers share, ns.
const SHARED_DISCOVERY_WAITS: (Nanos, Nanos) = (750_000_000, 7_500_000_000);
/// Share of a drain's grace that the wait before the next call may take while a grace may be running: the wait,
/// the dial and the answer have to fit in it.
const URGENT_WAIT_SHARE: Nanos = 4;

/// Number of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

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
    /// The waits after calls that failed.
    backoff: PollBackoff,
    /// The same, while the grace of a drain may be running.
    urgent_backoff: PollBackoff,
    /// The oldest first.
    calls: Vec<Call>,
    next_id: u64,
    /// No call begins earlier. None until the first is requested.
    not_before: Option<Nanos>,
    /// When the list was last known to be current, if it was.
    confirmed: Option<Nanos>,
    confirmation: ListConfirmation,
}

impl WatchSchedule {
    /// Calls to a discovery that many brokers share. `dial_timeout`: time in which a connection must be
    /// established, ns. `grace`: time after the report of a drain in which attempts must cease, ns.
    #[must_use]
    pub fn for_shared_discovery(dial_timeout: Nanos, grace: Nanos, seed: u64) -> WatchSchedule {
        let (first, longest) = SHARED_DISCOVERY_WAITS;
        let urgent = grace / URGENT_WAIT_SHARE;
        let backoff = PollBackoff::new(first, longest, seed);
        WatchSchedule::new(dial_timeout, backoff, PollBackoff::new(urgent, urgent, !seed))
    }

    /// Calls to an agent of this broker's own that pushes its list: soon after each failure.
    #[must_use]
    pub fn for_pushed_lists(dial_timeout: Nanos, grace: Nanos, seed: u64) -> WatchSchedule {
        let urgent = grace / URGENT_WAIT_SHARE;
        let backoff = PollBackoff::new(urgent, urgent, seed);
        WatchSchedule::new(dial_timeout, backoff, PollBackoff::new(urgent, urgent, !seed))
    }

    /// A schedule without calls. `dial_timeout`: time in which a connection must be established, ns.
    /// `backoff`: the waits after calls that failed. `urgent_backoff`: the same, while the grace of a drain may
    /// be running.
    fn new(dial_timeout: Nanos, backoff: PollBackoff, urgent_backoff: PollBackoff) -> WatchSchedule {
        WatchSchedule {
            dial_timeout,
            backoff,
            urgent_backoff,
            calls: Vec::new(),
            next_id: 0,
            not_before: None,
            confirmed: None,
            confirmation: ListConfirmation::NeverWatched,
        }
    }

    /// A call is wanted at this time, unless one is under way or due earlier.
    pub fn request(&mut self, at: Nanos) {
        if self.calls.is_empty() {
            self.not_before = Some(self.not_before.map_or(at, |earlier| earlier.min(at)));
        }
    }

    /// A call is wanted at a time of the schedule's choice, soon: brokers that start together are spread.
    pub fn request_soon(&mut self, now: Nanos) {
        let wait = self.urgent_backoff.on_failure();
        self.request(now + wait);
    }

    /// All calls were closed, and discovery is elsewhere: it is called at once.
    pub fn restart(&mut self, now: Nanos) {
        self.calls.clear();
        self.note_lost_watch(now);
        self.not_before = Some(now);
    }

    /// Whether there is a watch.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.calls.iter().any(Call::is_established)
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
        let Some(newest) = self.calls.last() else { return Some(not_before) };
        let at = match newest.phase {
            _ if newest.in_list => {
                (self.calls.len() < MAX_PARTIAL_CALLS).then_some(newest.heard + PARTIAL_LIST_TIMEOUT)
            }
            Phase::Established => Some(newest.heard + SUSPICION_TIMEOUT),
            Phase::Connecting | Phase::AwaitingList => None,
        };
        at.map(|at| at.max(not_before))
    }

    /// A call has begun.
    pub fn begun(&mut self, now: Nanos) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(Call { id, phase: Phase::Connecting, begun: now, heard: now, in_list: false });
        id
    }

    /// A call could not begin.
    pub fn not_begun(&mut self, now: Nanos) {
        self.not_before = Some(now + self.wait_after_failure(now));
    }

    fn wait_after_failure(&mut self, now: Nanos) -> Nanos {
        let wait = self.backoff.on_failure();
        let is_urgent = self.confirmed.is_some_and(|confirmed| now < confirmed + URGENT_LIST_AGE);
        if is_urgent { wait.min(self.urgent_backoff.on_failure()) } else { wait }
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

    /// A whole list came on a call, which is the watch from now on. Gives the other calls, which have ended
    /// and are to be closed.
    pub fn on_list(&mut self, id: CallId, now: Nanos) -> Vec<CallId> {
        if let Some(call) = self.call_mut(id)
            && !call.is_established()
        {
            call.phase = Phase::Established;
        }
        self.confirmation = ListConfirmation::Watched;
        self.backoff.on_success();
        self.confirmed = Some(now);
        self.keep_only(id)
    }

    /// An empty line came on a call, which is the watch from now on: on one that was the watch before, it
    /// confirms the list. Gives the other calls, which have ended and are to be closed.
    pub fn on_heartbeat(&mut self, id: CallId, now: Nanos) -> Vec<CallId> {
        let Some(call) = self.call_mut(id) else { return Vec::new() };
        if call.is_established() {
            self.confirmed = Some(now);
        } else {
            call.phase = Phase::Established;
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
        let Some(index) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.remove(index);
        self.note_lost_watch(now);
        let wait = self.wait_after_failure(now);
        // A drain may have been written on it that did not arrive whole: its grace is running.
        let wait = if call.in_list { wait / CUT_LIST_WAIT_DIVISOR } else { wait };
        self.not_before = Some(now + wait);
    }

    fn call_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.id == id)
    }
}
