//! Attempts at a part: the first one, retries, and the retry budget.

use super::*;

pub(super) const RETRY_LATENCY_MULTIPLE: f64 = 2.5;
pub(super) const LOST_LATENCY_MULTIPLE: f64 = 10.0;
const DUPLICATE_BUDGET_RATIO: f64 = 0.1;

/// Times of what was received and sent within the windows of the budgets.
#[derive(Default)]
pub(super) struct RecentRequests {
    pub(super) idempotent_parts: VecDeque<Nanos>,
    pub(super) hedges: VecDeque<Nanos>,
    pub(super) requests: VecDeque<Nanos>,
    pub(super) retries: VecDeque<Nanos>,
}

impl RecentRequests {
    /// Drops the times that have left their window: requests one round interval early, the retries that they
    /// allow two round intervals late.
    pub(super) fn expire(&mut self, now: Nanos, settings: &Settings) {
        let window = settings.retry_budget.map_or(HEDGE_WINDOW_NS, |b| b.window);
        let expire = |times: &mut VecDeque<Nanos>, now: Nanos, window: Nanos| {
            while times.front().is_some_and(|t| *t <= now.saturating_sub(window)) {
                times.pop_front();
            }
        };
        expire(&mut self.idempotent_parts, now, HEDGE_WINDOW_NS);
        expire(&mut self.hedges, now, HEDGE_WINDOW_NS);
        expire(&mut self.requests, now + settings.round_interval, window);
        expire(&mut self.retries, now, window + 2 * settings.round_interval);
    }
}

impl Balancer {
    pub(super) fn advance_part(&mut self, key: PartKey, class: &Class, actions: &mut Vec<Action>) {
        let q = &self.queries[&key.job];
        let p = &q.parts[key.index];
        let exhausted = p.attempts.len() >= self.settings.max_attempts as usize;
        let settled = p.answered || p.step != q.step || self.now >= q.send_until || exhausted;
        match (p.attempts.is_empty(), p.in_flight().count()) {
            _ if settled => {}
            (true, _) => self.send_first_attempt(key, class, actions),
            (false, 0) => self.retry_failed_part(key, class, actions),
            (false, _) => self.retry_late_part(key, class, actions),
        }
    }

    fn send_first_attempt(&mut self, key: PartKey, class: &Class, actions: &mut Vec<Action>) {
        let idempotent = class.idempotency == Idempotency::Idempotent;
        let may_hedge = idempotent && self.settings.may_hedge && self.settings.max_attempts > 1;
        let shard = self.queries[&key.job].parts[key.index].shard;
        let due_for_trial = |r: &Replica| r.accepts_part() && r.ejected.is_some() && r.on_trial;
        let may_try = |id: &ReplicaId| due_for_trial(&self.replicas[id]) && !self.may_be_draining(*id);
        let on_trial = self.replicas_of_shard(shard).into_iter().find(may_try);
        let unhedged_trial = on_trial.filter(|_| !may_hedge);
        let Some(first) = unhedged_trial.or_else(|| self.select(key, &[], true)) else { return };
        self.send_attempt(key, first, actions);
        for index in self.parts_sharing_call(key, first) {
            if self.replicas[&first].accepts_part() {
                self.send_attempt(PartKey { index, ..key }, first, actions);
            }
        }
        match on_trial.filter(|id| *id != first && may_hedge) {
            // An ejected replica gets its trial as a second attempt, so that the part does not depend on it.
            Some(id) if self.may_duplicate() => self.send_attempt(key, id, actions),
            _ if may_hedge => self.hedge(key, first, actions),
            _ => {}
        }
    }

    fn retry_late_part(&mut self, key: PartKey, class: &Class, actions: &mut Vec<Action>) {
        let q = &self.queries[&key.job];
        let p = &q.parts[key.index];
        let used: Vec<ReplicaId> = p.attempts.iter().map(|a| a.replica).collect();
        let end = if self.now < q.objective_at { q.objective_at } else { q.deadline } as f64;
        let lost = p.in_flight().all(|(_, a)| self.is_lost(a));
        let lateness = |a: &Attempt| (self.now - a.sent_at) as f64 / a.expected_latency.max(1.0);
        let lateness = p.in_flight().map(|(_, a)| lateness(a)).fold(f64::INFINITY, f64::min);
        let late = lateness > if lost { 1.0 } else { RETRY_LATENCY_MULTIPLE };
        let overloaded = self.last_overload_at.is_some_and(|t| (self.now - t) as f64 <= self.fleet.objective);
        // A lost part is not running anywhere: its retry is no duplicate, and adds no work under overload.
        let may_duplicate = !overloaded && p.in_flight().count() == 1 && self.may_duplicate();
        let within_budget = if lost { self.within_retry_budget() } else { may_duplicate };
        if !late || !self.settings.may_hedge || !self.may_run_again(p, class) || !within_budget {
            return;
        }
        let Some(other) = self.select(key, &used, false) else { return };
        let lightly_loaded = lost || self.load(other) < HEDGE_MAX_LOAD;
        if lightly_loaded && self.now as f64 + self.expected_latency(other) < end {
            self.send_attempt(key, other, actions);
        }
    }

    fn is_lost(&self, a: &Attempt) -> bool {
        let r = &self.replicas[&a.replica];
        let overdue = LOST_LATENCY_MULTIPLE * (self.fleet.mean * r.latency_ratio_at(self.now, &self.fleet));
        r.ejected.is_some() || (r.newest_answered_send > a.sent_at && (self.now - a.sent_at) as f64 > overdue)
    }

    fn retry_failed_part(&mut self, key: PartKey, class: &Class, actions: &mut Vec<Action>) {
        let q = &self.queries[&key.job];
        let p = &q.parts[key.index];
        let used: Vec<ReplicaId> = p.attempts.iter().map(|a| a.replica).collect();
        // All attempts can be rejected within milliseconds: the last one is delayed by the fleet's mean
        // latency, so that queues can shorten.
        let healthy = |id: &ReplicaId| self.replicas.get(id).is_some_and(|r| r.ejected.is_none());
        let rejected = |a: &Attempt| a.state == AttemptState::NeverRan && healthy(&a.replica);
        let last = used.len() + 1 >= self.settings.max_attempts as usize && p.attempts.iter().all(rejected);
        let age = p.attempts.last().map_or(0, |a| self.now - a.sent_at) as f64;
        let urgent = q.objective_at as f64 <= self.now as f64 + 2.0 * self.fleet.mean;
        let too_early = last && age < self.fleet.mean && !urgent;
        if too_early || !self.may_run_again(p, class) || !self.within_retry_budget() {
            return;
        }
        if let Some(other) = self.select(key, &used, true).or_else(|| self.select(key, &[], true)) {
            self.send_attempt(key, other, actions);
        }
    }

    /// Whether another attempt is harmless. Enforces rule 2: a part is retried only where that is safe.
    pub(super) fn may_run_again(&self, p: &Part, class: &Class) -> bool {
        let first_run = p.attempts.iter().find(|a| a.state != AttemptState::NeverRan);
        let soon = self.now + 2 * self.settings.round_interval;
        first_run.is_none_or(|first| match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { window } => soon < first.sent_at + window,
            Idempotency::NonIdempotent => false,
        })
    }

    /// Whether one more attempt is within the retry budget. Enforces rule 6: retries stay within the budget.
    fn within_retry_budget(&self) -> bool {
        let Some(b) = self.settings.retry_budget else { return true };
        self.recent.retries.len() as f64 + 1.0 <= b.free + b.share * self.recent.requests.len() as f64
    }

    pub(super) fn may_duplicate(&self) -> bool {
        let budget = DUPLICATE_BUDGET_RATIO * self.recent.requests.len() as f64;
        self.within_retry_budget() && self.recent.retries.len() as f64 <= budget
    }

    pub(super) fn send_attempt(&mut self, part: PartKey, replica: ReplicaId, actions: &mut Vec<Action>) {
        let (now, expected_latency) = (self.now, self.expected_latency(replica));
        let Some(q) = self.queries.get_mut(&part.job) else { return };
        let Some(r) = self.replicas.get_mut(&replica) else { return };
        let p = &mut q.parts[part.index];
        let (part_id, number, others_in_flight) = (p.id, p.attempts.len() as u32, r.in_flight);
        let sent = SentAttempt { part, part_id, number, replica, sent_at: now, others_in_flight };
        self.in_flight.insert((part_id, number), sent);
        p.attempts.push(Attempt { replica, sent_at: now, expected_latency, state: AttemptState::InFlight });
        r.in_flight += 1;
        r.unanswered_since.get_or_insert(now);
        r.on_trial = false;
        r.allowance -= 1.0;
        self.recent.retries.extend((number > 0).then_some(now));
        let time_left = (q.send_until + self.deadline_margin).saturating_sub(now);
        let timeout = time_left.max(self.settings.round_interval);
        actions.push(Action::Send { part: part_id, replica, timeout });
    }
}
