//! Hedged requests: a second attempt sent together with the first.

use super::balancer::Balancer;
use super::request::PartKey;
use crate::api::*;

/// Load above which a replica takes part in no hedged request.
pub(super) const HEDGE_MAX_LOAD: f64 = 0.5;
/// Hedged requests for each idempotent part of the window.
const HEDGE_BUDGET_RATIO: f64 = 0.1;
/// Window of the hedging budget.
pub(super) const HEDGE_WINDOW_NS: Nanos = 1_000_000_000;

impl Balancer {
    /// Sends a part to a second replica at once, while both are lightly loaded and the budgets allow it.
    pub(super) fn hedge(&mut self, key: PartKey, first: ReplicaId, actions: &mut Vec<Action>) {
        let budget = HEDGE_BUDGET_RATIO * self.recent.idempotent_parts.len() as f64;
        let within_budget = self.recent.hedges.len() as f64 + 1.0 <= budget;
        let shard = self.queries[&key.job].parts[key.index].shard;
        // The budget goes to parts on replicas slower than most: those are what a query waits for.
        if within_budget
            && self.load(first) < HEDGE_MAX_LOAD
            && self.expected_latency(first) >= self.fleet.mean
            && self.may_duplicate()
            && let Some(second) = self.select_replica(shard, &[first], false, None)
            && self.load(second) < HEDGE_MAX_LOAD
        {
            self.recent.hedges.push_back(self.now);
            self.send_attempt(key, second, actions);
        }
    }
}
