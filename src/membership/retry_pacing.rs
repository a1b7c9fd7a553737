//! How long to wait before the next call to discovery, after one that failed.
//!
//! Whatever discovery has counts as reported 6 s later, once it could be reached, and then only the grace of a
//! drain is left. A broker without a watch does not know when discovery can be reached again, so the longest
//! wait is bounded by these times, and not only for a while after the last list.
//!
//! Discovery handles calls in turn, also those whose callers have given up. Where it can't be reached, a call
//! costs it nothing. Where it is crowded, the brokers of a large fleet have to call more rarely than the
//! bound allows, or none of them gets an answer: waits grow with the fleet.

use super::poll_backoff::PollBackoff;
use crate::api::Nanos;

/// Longest wait of a small fleet, ns. Within the 6 s and a grace of 2 s it leaves time for a call that nobody
/// answers, the wait, another such call, the same wait again, an answer, and for a process that is held up a
/// little.
const LONGEST_BOUNDED_WAIT: Nanos = 1_700_000_000;
/// Longest wait at a discovery that a large fleet crowds, ns.
const LONGEST_CROWDED_WAIT: Nanos = 7_500_000_000;
/// Longest wait while a discovery can't be reached that a large fleet shares, ns.
const LONGEST_UNREACHABLE_WAIT: Nanos = 2_500_000_000;
/// First wait after a call that discovery did not answer, ns.
const FIRST_CROWDED_WAIT: Nanos = 750_000_000;
/// What each broker of the fleet adds to the longest wait while discovery can't be reached, ns: at its return
/// their calls are spread.
const UNREACHABLE_WAIT_PER_BROKER: Nanos = 25_000_000;
/// The same while discovery is crowded, ns.
const CROWDED_WAIT_PER_BROKER: Nanos = 150_000_000;
/// Share of a drain's grace that the wait may take while a grace may be running: the wait, the dial and the
/// answer have to fit in it.
const URGENT_WAIT_SHARE: Nanos = 4;
/// Share of an urgent wait that passes at first before a list that was lost is asked for anew.
const LOST_LIST_WAIT_DIVISOR: Nanos = 8;
/// Most brokers that call at once when all their watches end: a queue of one call each is not shorter for waits.
const MOST_CALLING_AT_ONCE: Nanos = 16;
/// Share of an urgent wait that passes before they do.
const WATCH_ENDED_WAIT_DIVISOR: Nanos = 5;

/// What a call that failed says of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// It can't be reached: the call did not wait in its queue.
    Unreachable,
    /// A watch ended that had stood for a while, perhaps in place of reporting a drain.
    WatchEnded,
    /// It is crowded, or answers nobody: the call waited in vain.
    Unanswered,
    /// A list was written that did not arrive whole, or can't be used.
    ListLost,
}

/// The waits after calls that failed.
#[derive(Debug)]
pub struct RetryPacing {
    unreachable: PollBackoff,
    unanswered: PollBackoff,
    list_lost: PollBackoff,
    /// While the grace of a drain may be running.
    urgent: PollBackoff,
    /// Discovery is called at once after a watch that ended.
    calls_at_once: bool,
}

impl RetryPacing {
    /// Waits at a discovery that `brokers` brokers share. `grace`: time after the report of a drain in which
    /// attempts must cease, ns.
    #[must_use]
    pub fn for_shared_discovery(grace: Nanos, brokers: u32, seed: u64) -> RetryPacing {
        let urgent = grace / URGENT_WAIT_SHARE;
        let brokers = Nanos::from(brokers);
        let longest_unreachable =
            (brokers * UNREACHABLE_WAIT_PER_BROKER).min(LONGEST_UNREACHABLE_WAIT).max(urgent);
        let longest_crowded =
            (brokers * CROWDED_WAIT_PER_BROKER).clamp(LONGEST_BOUNDED_WAIT, LONGEST_CROWDED_WAIT);
        RetryPacing {
            unreachable: PollBackoff::new(urgent, longest_unreachable, seed),
            unanswered: PollBackoff::new(FIRST_CROWDED_WAIT, longest_crowded, seed.rotate_left(1)),
            list_lost: PollBackoff::new(
                urgent / LOST_LIST_WAIT_DIVISOR,
                longest_unreachable,
                seed.rotate_left(2),
            ),
            urgent: PollBackoff::new(urgent, urgent, !seed),
            calls_at_once: brokers <= MOST_CALLING_AT_ONCE,
        }
    }

    /// Waits at an agent of this broker's own: it has no queue, and what it has counts as reported at once.
    #[must_use]
    pub fn for_agent(grace: Nanos, seed: u64) -> RetryPacing {
        let urgent = grace / URGENT_WAIT_SHARE;
        let constant = |seed| PollBackoff::new(urgent, urgent, seed);
        RetryPacing {
            unreachable: constant(seed),
            unanswered: constant(seed.rotate_left(1)),
            list_lost: PollBackoff::new(urgent / LOST_LIST_WAIT_DIVISOR, urgent, seed.rotate_left(2)),
            urgent: constant(!seed),
            calls_at_once: true,
        }
    }

    /// The wait before the first call, by which brokers that start together are spread.
    pub fn first_wait(&mut self) -> Nanos {
        self.urgent.on_failure()
    }

    /// The wait after a call that failed. `is_urgent`: the grace of a drain may be running.
    pub fn wait_after(&mut self, failure: CallFailure, is_urgent: bool) -> Nanos {
        let urgent = self.urgent.on_failure();
        let wait = match failure {
            CallFailure::WatchEnded if self.calls_at_once => urgent / WATCH_ENDED_WAIT_DIVISOR,
            CallFailure::Unreachable | CallFailure::WatchEnded => self.unreachable.on_failure(),
            CallFailure::Unanswered => self.unanswered.on_failure(),
            CallFailure::ListLost => self.list_lost.on_failure(),
        };
        if is_urgent { wait.min(urgent) } else { wait }
    }

    /// Discovery answered, or is another one: waits start anew.
    pub fn reset(&mut self) {
        self.unreachable.on_success();
        self.unanswered.on_success();
        self.list_lost.on_success();
    }
}
