//! Handling of time-outs and deadlines, the rounds of the policy, and execution of the policy's actions.

use super::QueryEngine;
use super::answer::answer;
use super::calls::CallBatch;
use super::in_flight::AttemptInFlight;
use super::messages::{AttemptId, AttemptRequest, EngineAction, QueryOutcome};
use super::timers::DueRound;
use crate::api::{Action, Event, Idempotency, Nanos, Outcome, ReplicaId, RequestId};

impl<Q, V> QueryEngine<Q, V> {
    /// When [`QueryEngine::advance`] must be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Nanos> {
        let round = self.rounds.next(!self.events.is_empty());
        [round, self.timers.next()].into_iter().flatten().min()
    }

    /// Ends attempts that have timed out and queries that have reached their deadline, and runs a round of
    /// the policy if one is due. [`QueryEngine::next_action`] then returns the resulting actions.
    pub fn advance(&mut self, now: Nanos) {
        self.now = now;
        self.time_out_attempts(now);
        self.expire_queries(now);
        match self.rounds.take_due(now, !self.events.is_empty()) {
            Some(DueRound::Timer) => self.events.push(Event::TimerFired),
            Some(DueRound::Events) => {}
            None => return,
        }
        self.run_round(now);
    }

    fn time_out_attempts(&mut self, now: Nanos) {
        while let Some(attempt) = self.timers.timed_out_attempt(now) {
            let Some(ended) = self.remove_attempt(attempt) else { break };
            self.actions.push_back(EngineAction::CancelAttempt { replica: ended.replica, attempt });
            self.report_end(now, &ended, Outcome::TimedOut, None);
        }
    }

    /// Ends queries at their deadline, so that each client gets an outcome in time whatever the policy does.
    fn expire_queries(&mut self, now: Nanos) {
        while let Some(id) = self.timers.expired_query(now) {
            let outcome = self.expired_outcome(id);
            self.finish(id, |_| outcome);
            self.events.push(Event::ClientDisconnected { query: RequestId(id.into()) });
        }
    }

    /// The outcome of a query at its deadline: rejected if a shutdown set the deadline and the client can
    /// safely retry, otherwise failed.
    fn expired_outcome(&mut self, id: u64) -> QueryOutcome<V> {
        let is_safe_to_retry = self.queries.get(id).is_some_and(|query| {
            let is_idempotent = || self.settings.classes[query.class].idempotency == Idempotency::Idempotent;
            let ended_by_shutdown = query.deadline == self.shutdown_deadline;
            ended_by_shutdown && (is_idempotent() || query.sent_parts() == 0)
        });
        if is_safe_to_retry {
            QueryOutcome::Rejected { retry_after: self.overloaded().retry_after }
        } else {
            QueryOutcome::Failed
        }
    }

    /// Removes and returns the next action for the client side, the server side or discovery.
    pub fn next_action(&mut self) -> Option<EngineAction<Q, V>> {
        self.actions.pop_front()
    }

    fn run_round(&mut self, now: Nanos) {
        let events = std::mem::take(&mut self.events);
        let mut policy_actions = std::mem::take(&mut self.policy_actions);
        self.balancer.round(now, &events, &mut policy_actions);
        let mut calls = CallBatch::new();
        for action in policy_actions.drain(..) {
            self.apply(now, action, &mut calls);
        }
        self.policy_actions = policy_actions;
        let parts_per_call = self.settings.parts_per_call.max(1) as usize;
        self.actions.extend(calls.into_actions(parts_per_call));
    }

    fn apply(&mut self, now: Nanos, action: Action, calls: &mut CallBatch<Q>) {
        match action {
            Action::Send { part, replica, timeout } => self.send(now, part, replica, timeout, calls),
            Action::Cancel { part, attempt } => self.cancel(now, part, attempt, calls),
            Action::Answer { query, complete } => {
                let classes = self.settings.classes.clone();
                self.finish(query.0 as u64, |query| answer(query, complete, &classes));
            }
            Action::Reject { query, retry_after } => {
                let retry_after = self.admission.cap_retry_after(retry_after);
                self.finish(query.0 as u64, |_| QueryOutcome::Rejected { retry_after });
            }
            Action::Fail { query } => self.finish(query.0 as u64, |_| QueryOutcome::Failed),
            Action::HealthCheck { replica } => self.actions.push_back(EngineAction::HealthCheck { replica }),
            Action::WatchEndpoints => self.actions.push_back(EngineAction::WatchEndpoints),
            Action::SetTimer { after } => self.rounds.wake_by(now + after),
        }
    }

    fn cancel(&mut self, now: Nanos, part: RequestId, number: u32, calls: &mut CallBatch<Q>) {
        let Some(attempt) = self.attempts.id(part, number) else { return };
        let Some(ended) = self.remove_attempt(attempt) else { return };
        // An attempt that was added in this round has not been passed to the server side yet.
        let outcome = if calls.remove(attempt) {
            Outcome::NotSent
        } else {
            self.actions.push_back(EngineAction::CancelAttempt { replica: ended.replica, attempt });
            Outcome::Cancelled
        };
        self.report_end(now, &ended, outcome, None);
    }

    /// Sends an attempt, unless the engine's own checks forbid it: the server must have the part's shard, the
    /// query's deadline must not have been reached, and the part must have attempts left by `max_attempts` of
    /// the settings.
    fn send(
        &mut self,
        now: Nanos,
        part_id: RequestId,
        replica: ReplicaId,
        timeout: Nanos,
        calls: &mut CallBatch<Q>,
    ) {
        let attempt = AttemptId(self.next_id());
        let query_id = self.queries.id_of_part(part_id);
        let query = query_id.and_then(|id| self.queries.get_mut(id).map(|query| (id, query)));
        let Some((query_id, query)) = query else {
            tracing::error!(part = part_id.0, "policy sent a part of a query that has ended");
            return;
        };
        let (deadline, key, payload) = (query.deadline, query.key, query.payload.clone());
        let Some(part) = query.part_mut(part_id) else { return };
        let (number, shard) = (part.sent_attempts, part.request.shard);
        part.sent_attempts += 1;
        let is_allowed = self.placements.has_shard(replica, shard)
            && now < deadline
            && part.sent_attempts <= self.settings.max_attempts;
        let due = (now + timeout).min(deadline);
        let sent = AttemptInFlight {
            query: query_id,
            part: part_id,
            number,
            replica,
            sent_at: now,
            due,
            is_queued: false,
        };
        if !is_allowed {
            return self.report_end(now, &sent, Outcome::NotSent, None);
        }
        tracing::debug!(
            id = attempt.0,
            attempt = number,
            part = part_id.0,
            query = query_id,
            server = replica.0,
            "attempt is handed to the server side"
        );
        calls.push(replica, AttemptRequest { attempt, shard, timeout: due - now, key, payload });
        self.timers.add_attempt(due, attempt);
        self.attempts.insert(attempt, sent);
    }
}
