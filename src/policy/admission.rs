//! Admission control: admits or rejects queries by expected latency, priority weight and tenant quota.

use super::*;

const OVERRUN_QUANTILE: f64 = 0.7;
const OVERRUN_MULTIPLE_MIN: f64 = 0.4;
const OVERRUN_MULTIPLE_MAX: f64 = 2.5;
const OVERRUN_STEP: f64 = 0.1;
const MIN_OBJECTIVE_SHARE: f64 = 0.75;
const SAME_TIMEOUT_DEADLINE_SHARE: f64 = 0.01;
const RETRY_AFTER_MEAN_OBJECTIVES: f64 = 0.25;
const LATE_SEND_MIN_WEIGHT: f64 = 0.2;

/// Token bucket of one tenant at this broker.
pub(super) struct TenantQuota {
    pub(super) tokens: f64,
    pub(super) refilled_at: Nanos,
}

impl TenantQuota {
    fn take(&mut self, rate_per_s: f64, now: Nanos) -> bool {
        self.tokens =
            (self.tokens + rate_per_s * (now - self.refilled_at) as f64 / 1e9).min(rate_per_s.max(1.0));
        self.refilled_at = now;
        let taken = self.tokens >= 1.0;
        self.tokens -= f64::from(taken);
        taken
    }
}

/// The time-out that most clients of a class send, by majority vote.
#[derive(Clone, Default)]
pub(super) struct UsualTimeout {
    timeout: Nanos,
    votes: u32,
}

impl UsualTimeout {
    /// Time that a client's earlier attempts have taken: the difference between the deadline and the time
    /// left, if that time differs from the usual time-out. A time-out below the objective, on a query that is
    /// not marked as a retry, is taken for a client with a short time-out instead: its query is rejected only
    /// for load.
    pub(super) fn time_spent(&mut self, class: &Class, time_left: Nanos, is_retry: bool) -> Nanos {
        let tolerance = SAME_TIMEOUT_DEADLINE_SHARE * class.deadline as f64;
        let same = (time_left.abs_diff(self.timeout) as f64) < tolerance;
        match self.votes {
            votes if same => self.votes = votes + 1,
            0 => *self = UsualTimeout { timeout: time_left, votes: 1 },
            votes => self.votes = votes - 1,
        }
        let is_short_timeout = time_left < class.latency_objective && !is_retry;
        let first = same || self.votes <= 1 || is_short_timeout;
        if first { 0 } else { class.deadline.saturating_sub(time_left) }
    }
}

impl Balancer {
    pub(super) fn on_query(&mut self, e: &Event) {
        let Event::Query { query, job, class, tenant, time_left, parts, work, is_retry } = e else { return };
        let Some(c) = self.settings.classes.get(*class) else { return };
        let deadline = self.now + time_left.saturating_sub(self.deadline_margin);
        let spent = self.usual_timeouts[*class].time_spent(c, *time_left, *is_retry);
        let extension = (c.objective_per_work * work.unwrap_or(0) as f64) as Nanos;
        let objective = (c.latency_objective + extension).min(c.deadline).saturating_sub(spent);
        let objective_at = (self.now + objective.saturating_sub(self.deadline_margin)).min(deadline);
        let query_state = Query {
            id: *query,
            class: *class,
            tenant: *tenant,
            received_at: self.now,
            expected_latency: None,
            objective_at,
            send_until: if c.late_weight < LATE_SEND_MIN_WEIGHT { objective_at } else { deadline },
            deadline,
            expected_parts: *parts,
            step: 0,
            complete: true,
            admitted: false,
            parts: Vec::new(),
        };
        self.queries.insert(*job, query_state);
        self.jobs.insert(*query, *job);
        self.recent.requests.push_back(self.now);
    }

    pub(super) fn on_part(&mut self, job: u64, id: RequestId, shard: u32, weight: f64) {
        self.recent.requests.push_back(self.now);
        let Some(q) = self.queries.get_mut(&job) else { return };
        q.parts.push(Part { id, shard, weight, step: q.step, attempts: Vec::new(), answered: false });
        let idempotent = self.settings.classes[q.class].idempotency == Idempotency::Idempotent;
        self.recent.idempotent_parts.extend(idempotent.then_some(self.now));
    }

    pub(super) fn admit(&mut self, job: u64) -> bool {
        let priority = self.relative_priority(job);
        let q = &self.queries[&job];
        let class = &self.settings.classes[q.class];
        let down = |r: &Replica| !r.on_trial && r.ejected.as_ref().is_some_and(|e| e.process_down);
        let down = |id: &ReplicaId| down(&self.replicas[id]);
        let unavailable = q.parts.iter().filter(|p| self.replicas_of_shard(p.shard).iter().all(down));
        let unavailable_share = unavailable.map(|p| p.weight).sum::<f64>();
        let tolerated_share = 1.0 - class.min_answer_share.min(class.complete_share) + WEIGHT_SUM_TOLERANCE;
        let unanswerable = unavailable_share > tolerated_share;
        let fastest = |p: &Part| {
            let replicas = self.replicas_of_shard(p.shard).into_iter();
            let healthy = replicas.filter(|id| self.replicas[id].ejected.is_none());
            healthy.map(|id| self.expected_latency(id)).reduce(f64::min)
        };
        let slowest = q.parts.iter().filter_map(fastest).fold(0.0, f64::max);
        let usable_share =
            (MIN_OBJECTIVE_SHARE + (1.0 - MIN_OBJECTIVE_SHARE) * priority) / self.overrun_multiple;
        let latency_limit = (q.objective_at - self.now) as f64 * usable_share;
        // The rejection of a retry with little of its objective left does not indicate overload.
        if !unanswerable && slowest > latency_limit.max(class.latency_objective as f64 * usable_share) {
            self.last_overload_at = Some(self.now);
        }
        self.queries.entry(job).and_modify(|q| q.expected_latency = Some(slowest));
        !unanswerable && slowest <= latency_limit
    }

    /// Priority weight per part, relative to the class where it is highest, and reduced beyond the tenant's
    /// quota.
    fn relative_priority(&mut self, job: u64) -> f64 {
        let q = &self.queries[&job];
        self.mean_parts[q.class] += EWMA_WEIGHT * (q.parts.len() as f64 - self.mean_parts[q.class]);
        let weight_per_part = |(c, parts): (&Class, &f64)| c.priority_weight / parts.max(1.0);
        let classes = self.settings.classes.iter().zip(&self.mean_parts);
        let best = classes.map(weight_per_part).fold(f64::MIN_POSITIVE, f64::max);
        let priority = weight_per_part((&self.settings.classes[q.class], &self.mean_parts[q.class])) / best;
        let Some(tenant) = q.tenant.filter(|t| *t < self.quotas.len()) else { return priority };
        let rate = self.settings.tenants[tenant].quota_per_s / self.settings.brokers.max(1) as f64;
        if self.quotas[tenant].take(rate, self.now) {
            priority
        } else {
            priority * self.settings.over_quota_weight
        }
    }

    pub(super) fn record_overrun(&mut self, job: u64) {
        let Some(q) = self.queries.get_mut(&job) else { return };
        let Some(expected) = q.expected_latency.take() else { return };
        let overran = (self.now - q.received_at) as f64 > expected * self.overrun_multiple;
        let step = if overran { OVERRUN_QUANTILE } else { OVERRUN_QUANTILE - 1.0 };
        let multiple = self.overrun_multiple * (1.0 + OVERRUN_STEP * step);
        self.overrun_multiple = multiple.clamp(OVERRUN_MULTIPLE_MIN, OVERRUN_MULTIPLE_MAX);
    }

    pub(super) fn rejection(&mut self, query: RequestId) -> Action {
        let max_wait = if self.settings.may_send_retry_after { self.settings.max_retry_after } else { 0 };
        let wait = 2.0 * uniform(&mut self.rng) * RETRY_AFTER_MEAN_OBJECTIVES * self.fleet.objective;
        Action::Reject { query, retry_after: max_wait.min(wait as Nanos) }
    }
}
