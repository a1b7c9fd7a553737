//! The end of a query: when it is answered, rejected or failed. Guards rules 1 and 5.

use super::balancer::Balancer;
use super::request::{AttemptState, Part, Query};
use crate::api::*;

/// What a sum of weights may fall short by. The wire allows ten times this.
pub(super) const WEIGHT_SUM_TOLERANCE: f64 = 1e-5;
/// Share of the room for queries and parts above which late ones end, before others are rejected.
const PRESSURE_SHARE: f64 = 0.9;

/// How far the current step of a query has come.
struct Progress {
    empty: bool,
    all_answered: bool,
    complete: bool,
    /// Whether a partial answer may be given.
    sufficient: bool,
    /// Nothing is in flight and nothing more will be sent: waiting would only delay the client's retry.
    stuck: bool,
    /// Whether the client can repeat the query without a second effect.
    repeatable: bool,
}

/// Least share of the weight that an answer may be given from.
pub(super) fn least_answer_share(class: &Class) -> f64 {
    class.min_answer_share.min(class.complete_share)
}

impl Balancer {
    /// Ends the query, or its step, if it can or must end; true if it did.
    pub(super) fn finish_query(&mut self, job: u64, class: &Class, actions: &mut Vec<Action>) -> bool {
        let progress = self.progress(&self.queries[&job], class);
        let q = &self.queries[&job];
        let (query, step, expired) = (q.id, q.step, self.now >= q.deadline);
        let late = self.now >= q.objective_at;
        if (progress.complete || late) && !q.overrun_recorded {
            self.record_overrun(job);
        }
        let finished = progress.complete || (step > 0 && progress.all_answered);
        let partial = (late || progress.stuck) && progress.sufficient;
        if (finished || partial) && !progress.empty {
            actions.push(Action::Answer { query, complete: progress.complete });
            if step == 0 && class.fetch_parts > 0 {
                self.start_fetch(job, progress.complete);
            } else {
                self.remove_query(job, actions);
            }
            return true;
        }
        // Late answers are worth waiting for only while there is room for other queries.
        let full = self.tracked_requests as f64 > PRESSURE_SHARE * self.settings.max_in_flight as f64;
        if expired || (late && full) || (progress.stuck && !progress.empty) {
            self.remove_query(job, actions);
            let reject = progress.stuck && progress.repeatable && !expired;
            actions.push(if reject { self.rejection(query) } else { Action::Fail { query } });
            return true;
        }
        false
    }

    fn progress(&self, q: &Query, class: &Class) -> Progress {
        let parts: Vec<&Part> = q.parts.iter().filter(|p| p.step == q.step).collect();
        let answered: f64 = parts.iter().filter(|p| p.answered).map(|p| p.weight).sum();
        let share = answered + WEIGHT_SUM_TOLERANCE;
        let empty = parts.is_empty();
        let all_came = parts.len() >= q.expected_parts as usize;
        let all_answered = parts.iter().all(|p| p.answered) && all_came && !empty;
        let (first_step, partial) = (q.step == 0, class.min_answer_share < class.complete_share);
        let never_ran = |p: &&Part| p.attempts.iter().all(|a| a.state == AttemptState::NeverRan);
        Progress {
            empty,
            all_answered,
            complete: all_answered && q.complete || first_step && share >= class.complete_share,
            sufficient: if first_step || partial { share >= least_answer_share(class) } else { all_answered },
            stuck: !all_answered && parts.iter().all(|p| self.is_settled(q, p, class)),
            repeatable: class.idempotency == Idempotency::Idempotent || parts.iter().all(never_ran),
        }
    }

    /// Whether the part is answered, or nothing is in flight for it and nothing more will be sent.
    fn is_settled(&self, q: &Query, p: &Part, class: &Class) -> bool {
        let exhausted = || {
            self.now >= q.send_until
                || p.attempts.len() >= self.settings.max_attempts as usize
                || !self.may_run_again(p, class)
                || self.replicas_of_shard(p.shard).is_empty()
        };
        p.answered || (p.in_flight().next().is_none() && exhausted())
    }

    /// Starts the second step of a query.
    fn start_fetch(&mut self, job: u64, complete: bool) {
        let Some(q) = self.queries.get_mut(&job) else { return };
        q.step = 1;
        q.complete = complete;
        q.admitted = false;
        q.expected_parts = 1;
    }

    /// Drops a query and cancels its attempts in flight.
    pub(super) fn remove_query(&mut self, job: u64, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.remove(&job) else { return };
        self.jobs.remove(&q.id);
        for p in q.parts.iter().filter(|p| !p.answered && self.settings.may_cancel) {
            let cancel = |(n, _)| Action::Cancel { part: p.id, attempt: n as u32 };
            actions.extend(p.in_flight().map(cancel));
        }
    }
}
