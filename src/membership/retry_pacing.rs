//! How long to wait before the next call to discovery after a failed one.
//!
//! A change at discovery counts as reported 6 s after discovery became reachable, and from then on only the
//! grace of a drain is left. A broker without a watch cannot detect when discovery becomes reachable again,
//! so the longest wait is bounded by these times at all times, and not only for a while after the last list.
//!
//! Discovery processes calls in order, including those whose callers have given up. While discovery can't be
//! reached, calls cost it nothing. While it is overloaded, the brokers of a large fleet have to call less
//! often than the bound requires, or none of them gets an answer: waits grow with the size of the fleet.

use super::poll_backoff::PollBackoff;
use crate::api::Nanos;

/// Longest wait after an unanswered call in a small fleet, ns. Within 6 s plus a grace of 2 s it leaves time
/// for an unanswered call, this wait, another unanswered call, this wait again, an answer, and a short
/// scheduling delay of the process.
const LONGEST_SMALL_FLEET_WAIT: Nanos = 1_700_000_000;
/// Longest wait after an unanswered call in a large fleet, which may overload discovery, ns.
const LONGEST_UNANSWERED_WAIT: Nanos = 7_500_000_000;
/// Longest wait in a large fleet while discovery can't be reached, ns.
const LONGEST_UNREACHABLE_WAIT: Nanos = 2_500_000_000;
/// Bound of the first wait after an unanswered call, ns.
const FIRST_UNANSWERED_WAIT: Nanos = 750_000_000;
/// Added to the longest wait for each broker of the fleet while discovery can't be reached, ns. Spreads the
/// calls of the fleet when discovery becomes reachable again.
const UNREACHABLE_WAIT_PER_BROKER: Nanos = 25_000_000;
/// Added to the longest wait after an unanswered call for each broker of the fleet, ns.
const UNANSWERED_WAIT_PER_BROKER: Nanos = 150_000_000;
/// Divisor of a drain's grace that gives the longest wait while a grace may be running: the wait, the dial
/// and the answer have to fit in the grace.
const URGENT_WAIT_DIVISOR: Nanos = 4;
/// Divisor of the urgent wait that gives the bound of the first wait after a lost list.
const LOST_LIST_WAIT_DIVISOR: Nanos = 8;
/// Largest fleet whose brokers call after a short wait when a watch ends. Up to this size, waiting longer
/// does not shorten the queue of one call per broker.
const MAX_FLEET_FOR_PROMPT_RETRY: Nanos = 16;
/// Divisor of the urgent wait that gives the wait of such a fleet after a watch ended.
const WATCH_ENDED_WAIT_DIVISOR: Nanos = 5;

/// What a failed call indicates about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Discovery can't be reached: the call did not wait in its queue.
    Unreachable,
    /// A watch that had been established for a while ended, possibly instead of reporting a drain.
    WatchEnded,
    /// Discovery is overloaded or answers no calls: the call waited without an answer.
    Unanswered,
    /// Discovery wrote a list that arrived incomplete or can't be used.
    ListLost,
}

/// Determines the waits after failed calls.
#[derive(Debug)]
pub struct RetryPacing {
    unreachable: PollBackoff,
    unanswered: PollBackoff,
    list_lost: PollBackoff,
    /// Waits while the grace of a drain may be running.
    urgent: PollBackoff,
    /// Whether discovery is called after only a short wait when a watch has ended.
    retries_promptly: bool,
}

impl RetryPacing {
    /// Waits for a discovery that `brokers` brokers share. `grace`: time after the report of a drain within
    /// which attempts must cease, ns.
    #[must_use]
    pub fn for_shared_discovery(grace: Nanos, brokers: u32, seed: u64) -> RetryPacing {
        let urgent = grace / URGENT_WAIT_DIVISOR;
        let brokers = Nanos::from(brokers);
        let longest_unreachable =
            (brokers * UNREACHABLE_WAIT_PER_BROKER).min(LONGEST_UNREACHABLE_WAIT).max(urgent);
        let longest_unanswered =
            (brokers * UNANSWERED_WAIT_PER_BROKER).clamp(LONGEST_SMALL_FLEET_WAIT, LONGEST_UNANSWERED_WAIT);
        RetryPacing {
            unreachable: PollBackoff::new(urgent, longest_unreachable, seed),
            unanswered: PollBackoff::new(FIRST_UNANSWERED_WAIT, longest_unanswered, seed.rotate_left(1)),
            list_lost: PollBackoff::new(
                urgent / LOST_LIST_WAIT_DIVISOR,
                longest_unreachable,
                seed.rotate_left(2),
            ),
            urgent: PollBackoff::new(urgent, urgent, !seed),
            retries_promptly: brokers <= MAX_FLEET_FOR_PROMPT_RETRY,
        }
    }

    /// Waits for an agent that serves this broker alone. It has no queue, and its changes count as reported
    /// immediately.
    #[must_use]
    pub fn for_agent(grace: Nanos, seed: u64) -> RetryPacing {
        let urgent = grace / URGENT_WAIT_DIVISOR;
        let constant = |seed| PollBackoff::new(urgent, urgent, seed);
        RetryPacing {
            unreachable: constant(seed),
            unanswered: constant(seed.rotate_left(1)),
            list_lost: PollBackoff::new(urgent / LOST_LIST_WAIT_DIVISOR, urgent, seed.rotate_left(2)),
            urgent: constant(!seed),
            retries_promptly: true,
        }
    }

    /// The wait before the first call, ns. Spreads the calls of brokers that start together.
    pub fn first_wait(&mut self) -> Nanos {
        self.urgent.on_failure()
    }

    /// The wait after a failed call, ns. `is_urgent`: the grace of a drain may be running.
    pub fn wait_after(&mut self, failure: CallFailure, is_urgent: bool) -> Nanos {
        let urgent = self.urgent.on_failure();
        let wait = match failure {
            CallFailure::WatchEnded if self.retries_promptly => urgent / WATCH_ENDED_WAIT_DIVISOR,
            CallFailure::Unreachable | CallFailure::WatchEnded => self.unreachable.on_failure(),
            CallFailure::Unanswered => self.unanswered.on_failure(),
            CallFailure::ListLost => self.list_lost.on_failure(),
        };
        if is_urgent { wait.min(urgent) } else { wait }
    }

    /// Whether discovery is called after only a short wait when a watch has ended, as in a small fleet.
    #[must_use]
    pub fn retries_promptly(&self) -> bool {
        self.retries_promptly
    }

    /// Resets the waits after an answer, or after the address of discovery changed.
    pub fn reset(&mut self) {
        self.unreachable.on_success();
        self.unanswered.on_success();
        self.list_lost.on_success();
    }
}
