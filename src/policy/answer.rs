//! The end of a query: when it is answered, rejected or failed.
//!
//! Enforces rules 1 and 5: each query gets one final outcome in time, and an answer holds only answered parts
//! and is marked complete only if it is complete.

use super::*;

pub(super) const WEIGHT_SUM_TOLERANCE: f64 = 1e-5;
const NEAR_CAPACITY_SHARE: f64 = 0.9;

impl Balancer {
    pub(super) fn end_attempt(&mut self, ended: &SentAttempt, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get_mut(&ended.part.job) else { return };
        let Some(p) = q.parts.get_mut(ended.part.index).filter(|p| p.id == ended.part_id) else { return };
        let Some(a) = p.attempts.get_mut(ended.number as usize) else { return };
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        a.state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        if outcome == Outcome::Ok && !p.answered {
            p.answered = true;
            // An attempt at an ejected replica is not cancelled: its answer would show that the replica has
            // recovered.
            let ejected = |id: &ReplicaId| self.replicas.get(id).is_some_and(|r| r.ejected.is_some());
            let others = p.in_flight().filter(|(_, a)| self.settings.may_cancel && !ejected(&a.replica));
            actions.extend(others.map(|(n, _)| Action::Cancel { part: p.id, attempt: n as u32 }));
        }
    }

    /// Ends the query, or its current step, if it can or must end. Returns whether it did.
    pub(super) fn finish_query(&mut self, job: u64, class: &Class, actions: &mut Vec<Action>) -> bool {
        let q = &self.queries[&job];
        let (query, step) = (q.id, q.step);
        let (late, expired) = (self.now >= q.objective_at, self.now >= q.deadline);
        let parts: Vec<&Part> = q.parts.iter().filter(|p| p.step == step).collect();
        let share = parts.iter().filter(|p| p.answered).map(|p| p.weight).sum::<f64>() + WEIGHT_SUM_TOLERANCE;
        let (empty, all_received) = (parts.is_empty(), parts.len() >= q.expected_parts as usize);
        let all = parts.iter().all(|p| p.answered) && all_received && !empty;
        let complete = (all && q.complete) || (step == 0 && share >= class.complete_share);
        let partial = step == 0 || class.min_answer_share < class.complete_share;
        let enough = if partial { share >= class.min_answer_share.min(class.complete_share) } else { all };
        // Nothing is in flight and no more will be sent: waiting would only delay the client's retry.
        let exhausted =
            |p: &Part| p.attempts.len() as u32 >= self.settings.max_attempts || self.now >= q.send_until;
        let may_send = |p: &Part| self.may_run_again(p, class) && !self.replicas_of_shard(p.shard).is_empty();
        let pending = |p: &Part| p.in_flight().next().is_some() || (!exhausted(p) && may_send(p));
        let nothing_pending = !all && parts.iter().all(|p| p.answered || !pending(p));
        let never_ran = parts.iter().flat_map(|p| &p.attempts).all(|a| a.state == AttemptState::NeverRan);
        let may_reject =
            nothing_pending && !expired && (class.idempotency == Idempotency::Idempotent || never_ran);
        if complete || late {
            self.record_overrun(job);
        }
        let finished = complete || (step > 0 && all) || ((late || nothing_pending) && enough);
        // A late query is kept only while there is capacity for other queries.
        let near_capacity =
            self.tracked_requests as f64 > NEAR_CAPACITY_SHARE * self.settings.max_in_flight as f64;
        if finished && !empty {
            actions.push(Action::Answer { query, complete });
            let has_second_step = |q: &&mut Query| q.step == 0 && class.fetch_parts > 0;
            match self.queries.get_mut(&job).filter(has_second_step) {
                Some(q) => (q.step, q.complete, q.admitted, q.expected_parts) = (1, complete, false, 1),
                None => self.remove_query(job, actions),
            }
        } else if !(expired || (late && near_capacity) || (nothing_pending && !empty)) {
            return false;
        } else {
            self.remove_query(job, actions);
            actions.push(if may_reject { self.rejection(query) } else { Action::Fail { query } });
        }
        true
    }

    pub(super) fn remove_query(&mut self, job: u64, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.remove(&job) else { return };
        self.jobs.remove(&q.id);
        for p in q.parts.iter().filter(|p| !p.answered && self.settings.may_cancel) {
            actions.extend(p.in_flight().map(|(n, _)| Action::Cancel { part: p.id, attempt: n as u32 }));
        }
    }
}
