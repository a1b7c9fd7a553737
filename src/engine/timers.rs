//! Time-outs of attempts, deadlines of queries, and the schedule of the policy's rounds.

use super::messages::AttemptId;
use crate::api::Nanos;
use std::collections::BTreeSet;

/// For times in log lines.
pub(super) const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Time-outs of attempts and deadlines of queries, ordered by time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    attempt_timeouts: BTreeSet<(Nanos, AttemptId)>,
    query_deadlines: BTreeSet<(Nanos, u64)>,
}

impl Timers {
    pub(super) fn add_attempt(&mut self, due: Nanos, attempt: AttemptId) {
        self.attempt_timeouts.insert((due, attempt));
    }

    pub(super) fn remove_attempt(&mut self, due: Nanos, attempt: AttemptId) {
        self.attempt_timeouts.remove(&(due, attempt));
    }

    pub(super) fn add_query(&mut self, deadline: Nanos, query: u64) {
        self.query_deadlines.insert((deadline, query));
    }

    pub(super) fn remove_query(&mut self, deadline: Nanos, query: u64) {
        self.query_deadlines.remove(&(deadline, query));
    }

    /// Removes the deadlines after a time, and returns the ids of their queries.
    pub(super) fn take_queries_after(&mut self, time: Nanos) -> Vec<u64> {
        let later = self.query_deadlines.split_off(&(time.saturating_add(1), 0));
        later.into_iter().map(|(_, query)| query).collect()
    }

    /// The attempt with the earliest time-out, if that is at or before `now`. Does not remove it.
    pub(super) fn timed_out_attempt(&self, now: Nanos) -> Option<AttemptId> {
        self.attempt_timeouts.first().filter(|(due, _)| *due <= now).map(|(_, attempt)| *attempt)
    }

    /// The query with the earliest deadline, if that is at or before `now`. Does not remove it.
    pub(super) fn expired_query(&self, now: Nanos) -> Option<u64> {
        self.query_deadlines.first().filter(|(deadline, _)| *deadline <= now).map(|(_, query)| *query)
    }

    /// The earliest time-out or deadline.
    pub(super) fn next(&self) -> Option<Nanos> {
        let timeout = self.attempt_timeouts.first().map(|(due, _)| *due);
        let deadline = self.query_deadlines.first().map(|(deadline, _)| *deadline);
        [timeout, deadline].into_iter().flatten().min()
    }
}

/// A round that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DueRound {
    /// There are events for the policy.
    Events,
    /// The time that the policy requested has been reached.
    Timer,
}

/// When rounds run: for events or at the time that the policy requested, and at least `interval` apart.
#[derive(Debug)]
pub(super) struct RoundSchedule {
    interval: Nanos,
    last_round: Option<Nanos>,
    /// The time that the policy requested.
    wake_at: Option<Nanos>,
}

impl RoundSchedule {
    /// A schedule whose first round is due immediately.
    pub(super) fn new(interval: Nanos, now: Nanos) -> RoundSchedule {
        RoundSchedule { interval, last_round: None, wake_at: Some(now) }
    }

    /// Requests a round at `time` at the latest.
    pub(super) fn wake_by(&mut self, time: Nanos) {
        self.wake_at = Some(self.wake_at.map_or(time, |earlier| earlier.min(time)));
    }

    /// When the next round is due.
    pub(super) fn next(&self, has_events: bool) -> Option<Nanos> {
        let earliest = self.last_round.map_or(0, |last| last + self.interval);
        let for_events = has_events.then_some(earliest);
        let woken = self.wake_at.map(|time| time.max(earliest));
        [for_events, woken].into_iter().flatten().min()
    }

    /// Returns the round that is due, if any, and records it as run at `now`.
    pub(super) fn take_due(&mut self, now: Nanos, has_events: bool) -> Option<DueRound> {
        if self.last_round.is_some_and(|last| now < last + self.interval) {
            return None;
        }
        let woken = self.wake_at.is_some_and(|time| time <= now);
        let due = match (woken, has_events) {
            (true, _) => DueRound::Timer,
            (false, true) => DueRound::Events,
            (false, false) => return None,
        };
        if woken {
            self.wake_at = None;
        }
        self.last_round = Some(now);
        Some(due)
    }
}
