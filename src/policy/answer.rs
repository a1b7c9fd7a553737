//! The end of a query: when it is answered, rejected or failed. Guards rules 1 and 5.

use super::*;

pub(super) const WEIGHT_SUM_TOLERANCE: f64 = 1e-5;
const PRESSURE_SHARE: f64 = 0.9;

impl Balancer {
    /// Ends the query, or its step, if it can or must end; true if it did.
    pub(super) fn finish_query(&mut self, job: u64, class: &Class, actions: &mut Vec<Action>) -> bool {
        let q = &self.queries[&job];
        let (query, step) = (q.id, q.step);
        let (late, expired) = (self.now >= q.objective_at, self.now >= q.deadline);
        let parts: Vec<&Part> = q.parts.iter().filter(|p| p.step == step).collect();
        let share = parts.iter().filter(|p| p.answered).map(|p| p.weight).sum::<f64>() + WEIGHT_SUM_TOLERANCE;
        let (empty, all_came) = (parts.is_empty(), parts.len() >= q.expected_parts as usize);
        let all = parts.iter().all(|p| p.answered) && all_came && !empty;
        let complete = (all && q.complete) || (step == 0 && share >= class.complete_share);
        let partial = step == 0 || class.min_answer_share < class.complete_share;
        let least_share = class.min_answer_share.min(class.complete_share);
        let sufficient = if partial { share >= least_share } else { all };
        // Nothing is in flight and nothing more will be sent: waiting would only delay the client's retry.
        let stuck = !all && parts.iter().all(|p| self.is_settled(q, p, class));
        let idempotent = class.idempotency == Idempotency::Idempotent;
        let may_reject = stuck && !expired && (idempotent || parts.iter().all(|p| p.never_ran()));
        if (complete || late) && !q.overrun_recorded {
            self.record_overrun(job);
        }
        let finished = complete || (step > 0 && all) || ((late || stuck) && sufficient);
        // Late answers are worth waiting for only while there is room for other queries.
        let full = self.tracked_requests as f64 > PRESSURE_SHARE * self.settings.max_in_flight as f64;
        if finished && !empty {
            actions.push(Action::Answer { query, complete });
            let first_of_two = |q: &&mut Query| q.step == 0 && class.fetch_parts > 0;
            match self.queries.get_mut(&job).filter(first_of_two) {
                Some(q) => q.start_second_step(complete),
                None => self.remove_query(job, actions),
            }
        } else if !(expired || (late && full) || (stuck && !empty)) {
            return false;
        } else if may_reject {
            self.reject(job, actions);
        } else {
            self.remove_query(job, actions);
            actions.push(Action::Fail { query });
        }
        true
    }

    /// Whether the part is answered, or nothing is in flight for it and nothing more will be sent.
    fn is_settled(&self, q: &Query, p: &Part, class: &Class) -> bool {
        let exhausted = p.attempts.len() >= self.settings.max_attempts as usize || self.now >= q.send_until;
        let may_send = |p| self.may_run_again(p, class) && !self.replicas_of_shard(p.shard).is_empty();
        p.answered || (p.in_flight().next().is_none() && (exhausted || !may_send(p)))
    }

    pub(super) fn remove_query(&mut self, job: u64, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.remove(&job) else { return };
        self.jobs.remove(&q.id);
        for p in q.parts.iter().filter(|p| !p.answered && self.settings.may_cancel) {
            actions.extend(p.in_flight().map(|(n, _)| Action::Cancel { part: p.id, attempt: n as u32 }));
        }
    }
}
