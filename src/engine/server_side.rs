//! The engine's interface to the server side: outcomes of attempts, the endpoint list and health checks.

use super::QueryEngine;
use super::in_flight::AttemptInFlight;
use super::messages::{AttemptEnd, AttemptId, AttemptOutcome};
use super::timers::NANOS_PER_MILLI;
use crate::api::{Event, Nanos, Outcome, ReplicaEntry, ReplicaId};

/// Maximum number of attempt ends kept until membership collects them; beyond it the oldest are dropped.
const MAX_ATTEMPT_ENDS: usize = 4096;

impl<Q, V> QueryEngine<Q, V> {
    /// Records that an attempt waits for a connection. [`QueryEngine::begin_attempt`] must be called before
    /// its first byte is written.
    pub fn attempt_queued(&mut self, attempt: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.is_queued = true;
        }
    }

    /// Checks whether an attempt that is about to be written is still needed. If true, the attempt counts as
    /// started. If false, it has ended, and the server side drops it without reporting an outcome.
    ///
    /// An attempt may wait for a connection after the policy has sent it. It is not begun if meanwhile its
    /// query has ended, its part has got a value, its server is draining, it has timed out, or starting it
    /// could apply the part's effect twice.
    #[must_use]
    pub fn begin_attempt(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let Some(waiting) = self.attempts.get_mut(attempt) else { return false };
        waiting.is_queued = false;
        let class = self.queries.get(waiting.query).map(|query| query.class);
        let margin = 2 * self.settings.round_interval;
        if let Some(class) = class
            && let Some(part) = self.queries.part_mut(waiting.query, waiting.part)
            && part.value.is_none()
            && self.placements.accepts_attempts(waiting.replica)
            && part.may_start(self.settings.classes[class].idempotency, now, margin)
            && now < waiting.due
        {
            part.start(waiting.number, now);
            return true;
        }
        if let Some(ended) = self.remove_attempt(attempt) {
            self.report_end(now, &ended, Outcome::NotSent, None);
        }
        false
    }

    /// Records that no byte of an attempt could be written after [`QueryEngine::begin_attempt`]: the attempt
    /// has not started and is queued again.
    pub fn attempt_deferred(&mut self, attempt: AttemptId) {
        let Some(waiting) = self.attempts.get_mut(attempt) else { return };
        waiting.is_queued = true;
        if let Some(part) = self.queries.part_mut(waiting.query, waiting.part) {
            part.undo_start(waiting.number);
        }
    }

    /// Checks whether a further request of an attempt in flight, such as the next page of its response, is still
    /// needed. If false, the attempt has ended, and the server side drops it without reporting an outcome.
    ///
    /// An attempt that is needed no more has been answered so far, so it counts as answered: that shows that
    /// its server responds. One whose part has no value yet counts as cancelled if its server is draining.
    #[must_use]
    pub fn continue_attempt(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let Some(in_flight) = self.attempts.get_mut(attempt) else { return false };
        let needs_value = self.queries.part_mut(in_flight.query, in_flight.part);
        let needs_value = needs_value.is_some_and(|part| part.value.is_none());
        let outcome = match (needs_value, self.placements.accepts_attempts(in_flight.replica)) {
            (true, true) => return true,
            (true, false) => Outcome::Cancelled,
            (false, _) => Outcome::Ok,
        };
        if let Some(ended) = self.remove_attempt(attempt) {
            self.report_end(now, &ended, outcome, None);
        }
        false
    }

    /// Handles the outcome of an attempt. Ignores late and repeated outcomes and those of cancelled attempts.
    pub fn attempt_ended(&mut self, now: Nanos, attempt: AttemptId, reported: AttemptOutcome<V>) {
        let Some(ended) = self.remove_attempt(attempt) else { return };
        let mut outcome = reported.outcome;
        if outcome == Outcome::Ok {
            match (self.queries.part_mut(ended.query, ended.part), reported.value) {
                (Some(part), Some(value)) => part.value = part.value.take().or(Some(value)),
                // An attempt without a value does not answer its part.
                (_, None) => outcome = Outcome::Error,
                (None, Some(_)) => {}
            }
        }
        self.report_end(now, &ended, outcome, reported.utilization);
    }

    /// Reports the end of an attempt to the policy and to membership.
    pub(super) fn report_end(
        &mut self,
        now: Nanos,
        ended: &AttemptInFlight,
        outcome: Outcome,
        utilization: Option<f64>,
    ) {
        // No byte of a queued attempt was written, so it was not sent even if it timed out or was cancelled.
        let unsent = ended.is_queued && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        let outcome = if unsent { Outcome::NotSent } else { outcome };
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        if never_ran && let Some(part) = self.queries.part_mut(ended.query, ended.part) {
            part.undo_start(ended.number);
        }
        let latency = now.saturating_sub(ended.sent_at);
        tracing::debug!(
            attempt = ended.number,
            part = ended.part.0,
            query = ended.query,
            server = ended.replica.0,
            elapsed_ms = latency / NANOS_PER_MILLI,
            timeout_ms = ended.due.saturating_sub(ended.sent_at) / NANOS_PER_MILLI,
            ?outcome,
            ?utilization,
            "attempt ended"
        );
        // Bounds memory if membership does not collect the ends.
        if self.attempt_ends.len() >= MAX_ATTEMPT_ENDS {
            self.attempt_ends.pop_front();
        }
        self.attempt_ends.push_back(AttemptEnd { replica: ended.replica, outcome, latency });
        self.events.push(Event::AttemptEnded {
            part: ended.part,
            replica: ended.replica,
            attempt: ended.number,
            latency,
            outcome,
            utilization,
        });
    }

    pub(super) fn remove_attempt(&mut self, id: AttemptId) -> Option<AttemptInFlight> {
        let attempt = self.attempts.remove(id)?;
        self.timers.remove_attempt(attempt.due, id);
        Some(attempt)
    }

    /// Removes and returns the oldest attempt end that membership has not collected yet.
    pub fn next_attempt_end(&mut self) -> Option<AttemptEnd> {
        self.attempt_ends.pop_front()
    }

    /// Applies entries of the endpoint list: the whole list if `full`, otherwise changes to it.
    pub fn update_endpoints(&mut self, full: bool, entries: Vec<ReplicaEntry>) {
        self.placements.update(full, &entries);
        self.events.push(Event::EndpointList { full, entries });
    }

    /// Reports that a server which was considered to be warming up is as fast as the others.
    pub fn replica_warmed_up(&mut self, replica: ReplicaId) {
        self.events.push(Event::WarmedUp { replica });
    }

    /// Reports that a poll of the endpoint list failed, or the watch was interrupted.
    pub fn watch_failed(&mut self) {
        self.events.push(Event::WatchFailed);
    }

    /// Reports that the endpoint list is no longer confirmed: see [`Event::ListUnconfirmed`].
    pub fn list_unconfirmed(&mut self, since: Nanos, lease_end: Nanos, proof_lifetime: Nanos) {
        self.events.push(Event::ListUnconfirmed { since, lease_end, proof_lifetime });
    }

    /// Reports that the endpoint list is watched again and up to date.
    pub fn list_confirmed(&mut self) {
        self.events.push(Event::ListConfirmed);
    }

    /// Reports the result of a health check. `latency` is in ns; `utilization` is the server's processor
    /// utilization, 0 to 1, if reported.
    pub fn health_checked(&mut self, replica: ReplicaId, ok: bool, latency: Nanos, utilization: Option<f64>) {
        self.events.push(Event::HealthChecked { replica, ok, latency, utilization });
    }
}
