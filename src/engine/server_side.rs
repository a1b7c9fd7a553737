//! The interface to the server side: outcomes of attempts, the endpoint list and health checks.

use super::QueryEngine;
use super::in_flight::AttemptInFlight;
use super::messages::{AttemptEnd, AttemptId, AttemptOutcome};
use super::timers::NANOS_PER_MILLI;
use crate::api::{Event, Nanos, Outcome, ReplicaEntry, ReplicaId};

/// Most ends of attempts that wait to be taken; the oldest are dropped.
const MAX_ATTEMPT_ENDS: usize = 4096;

impl<Q, V> QueryEngine<Q, V> {
    /// Records that an attempt waits for a connection. [`QueryEngine::begin_attempt`] has to be asked before
    /// its first byte is written.
    pub fn attempt_queued(&mut self, attempt: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(attempt) {
            attempt.is_queued = true;
        }
    }

    /// Whether an attempt that is about to be written is still wanted. If so, it counts as started from now
    /// on. If not, it has ended, and the server side drops it without reporting an outcome.
    ///
    /// An attempt may wait for its connection after the policy has sent it. It is not begun if its query has
    /// ended, its part has a value, its server drains, it has timed out, or it could be a second effect by
    /// then.
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

    /// Records that nothing of an attempt could be written after [`QueryEngine::begin_attempt`]: it has not
    /// started, and waits on.
    pub fn attempt_deferred(&mut self, attempt: AttemptId) {
        let Some(waiting) = self.attempts.get_mut(attempt) else { return };
        waiting.is_queued = true;
        if let Some(part) = self.queries.part_mut(waiting.query, waiting.part) {
            part.undo_start(waiting.number);
        }
    }

    /// Takes the outcome of an attempt. One that is late, repeated or of a cancelled attempt is ignored.
    pub fn attempt_ended(&mut self, now: Nanos, attempt: AttemptId, reported: AttemptOutcome<V>) {
        let Some(ended) = self.remove_attempt(attempt) else { return };
        let mut outcome = reported.outcome;
        if outcome == Outcome::Ok {
            match (self.queries.part_mut(ended.query, ended.part), reported.value) {
                (Some(part), Some(value)) => part.value = part.value.take().or(Some(value)),
                // A part has its answer only with a value.
                (_, None) => outcome = Outcome::Error,
                (None, Some(_)) => {}
            }
        }
        self.report_end(now, &ended, outcome, reported.utilization);
    }

    /// Reports the end of an attempt to the policy and the membership.
    pub(super) fn report_end(
        &mut self,
        now: Nanos,
        ended: &AttemptInFlight,
        outcome: Outcome,
        utilization: Option<f64>,
    ) {
        // Nothing of a queued attempt was written, whatever ended its wait.
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
            "attempt ended at its server"
        );
        // Bounds the memory where nobody takes them.
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

    /// The next end of an attempt, for the membership, the oldest first.
    pub fn next_attempt_end(&mut self) -> Option<AttemptEnd> {
        self.attempt_ends.pop_front()
    }

    /// Applies entries of the endpoint list: changes, or with `full` all of it.
    pub fn update_endpoints(&mut self, full: bool, entries: Vec<ReplicaEntry>) {
        self.placements.update(full, &entries);
        self.events.push(Event::EndpointList { full, entries });
    }

    /// Reports that a server which was taken for warming up is as fast as the others.
    pub fn replica_warmed_up(&mut self, replica: ReplicaId) {
        self.events.push(Event::WarmedUp { replica });
    }

    /// Reports that a poll of the endpoint list failed, or the watch was interrupted.
    pub fn watch_failed(&mut self) {
        self.events.push(Event::WatchFailed);
    }

    /// Reports that nothing confirms the endpoint list any more: see [`Event::ListUnconfirmed`].
    pub fn list_unconfirmed(&mut self, since: Nanos, lease_end: Nanos, proof_lifetime: Nanos) {
        self.events.push(Event::ListUnconfirmed { since, lease_end, proof_lifetime });
    }

    /// Reports that the endpoint list is watched again, and current.
    pub fn list_confirmed(&mut self) {
        self.events.push(Event::ListConfirmed);
    }

    /// Reports the result of a health check. `latency` is in ns; `utilization` is the busy share of the
    /// server's processors, where it reported that.
    pub fn health_checked(&mut self, replica: ReplicaId, ok: bool, latency: Nanos, utilization: Option<f64>) {
        self.events.push(Event::HealthChecked { replica, ok, latency, utilization });
    }
}
