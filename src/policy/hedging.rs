//! Hedged requests: a second attempt that is sent together with the first.

use super::*;

pub(super) const HEDGE_MAX_LOAD: f64 = 0.5;
const HEDGE_BUDGET_RATIO: f64 = 0.1;
pub(super) const HEDGE_WINDOW_NS: Nanos = 1_000_000_000;

impl Balancer {
    pub(super) fn hedge(&mut self, key: PartKey, first: ReplicaId, actions: &mut Vec<Action>) {
        let budget = HEDGE_BUDGET_RATIO * self.recent.idempotent_parts.len() as f64;
        // The budget is kept for parts on replicas slower than most: a query waits longest for those.
        if self.recent.hedges.len() as f64 + 1.0 <= budget
            && self.load(first) < HEDGE_MAX_LOAD
            && self.expected_latency(first) >= self.fleet.mean
            && self.may_duplicate()
            && let Some(second) = self.select(key, &[first], false)
            && self.load(second) < HEDGE_MAX_LOAD
        {
            self.recent.hedges.push_back(self.now);
            self.send_attempt(key, second, actions);
        }
    }
}
