//! The choice of a replica: a random draw weighted by expected latency.

use super::balancer::Balancer;
use super::request::{Part, PartKey};
use crate::api::*;

/// The odds fall as latency to this power: a strong preference that never excludes.
const SELECTION_EXPONENT: f64 = 6.0;
/// Cost of a lost part, in shortest objectives: the time until its retry, or else its query.
const RETRIED_LOSS_OBJECTIVES: f64 = 0.3;
const FINAL_LOSS_OBJECTIVES: f64 = 1.0;

impl Balancer {
    /// The listed replicas that have the shard.
    pub(super) fn replicas_of_shard(&self, shard: u32) -> Vec<ReplicaId> {
        let cells = self.settings.cells;
        let of_shard = (0..self.settings.span.min(cells)).map(|j| ((shard + j) % cells) as usize);
        of_shard.flat_map(|cell| self.replicas_by_cell[cell].iter().copied()).collect()
    }

    pub(super) fn expected_latency(&self, id: ReplicaId) -> f64 {
        self.replicas[&id].expected_latency(self.now, &self.fleet)
    }

    /// Reported utilization, or else one minus light-load over expected latency.
    pub(super) fn load(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        r.utilization.unwrap_or_else(|| 1.0 - r.light_load_latency / self.expected_latency(id).max(1.0))
    }

    /// Draws a replica for the shard. Ejected ones are drawn only if all are and `allow_ejected` is set: then
    /// the fault is rather this broker's. For a first attempt at `first`, shared calls lower the cost.
    pub(super) fn select_replica(
        &mut self,
        shard: u32,
        avoid: &[ReplicaId],
        allow_ejected: bool,
        first: Option<PartKey>,
    ) -> Option<ReplicaId> {
        let mut replicas = self.replicas_of_shard(shard);
        replicas.retain(|id| !avoid.contains(id) && self.replicas[id].accepts_part());
        let sound: Vec<ReplicaId> =
            replicas.iter().copied().filter(|id| self.replicas[id].ejected.is_none()).collect();
        let pool = if sound.is_empty() && allow_ejected { replicas } else { sound };
        let weights = self.selection_weights(&pool, first);
        let mut x = self.uniform() * weights.iter().sum::<f64>();
        for (id, weight) in pool.iter().zip(&weights) {
            x -= weight;
            if x < 0.0 {
                return Some(*id);
            }
        }
        pool.last().copied()
    }

    fn selection_weights(&self, pool: &[ReplicaId], first: Option<PartKey>) -> Vec<f64> {
        let faults = |id: &ReplicaId| self.replicas[id].excess_fault_rate(self.now, self.objective);
        // Faults that all replicas have are no reason to choose.
        let least_faults = pool.iter().map(faults).fold(f64::INFINITY, f64::min);
        let retried = first.is_some_and(|key| {
            let class = &self.settings.classes[self.queries[&key.job].class];
            class.idempotency != Idempotency::NonIdempotent && self.settings.max_attempts > 1
        });
        let loss = self.objective * if retried { RETRIED_LOSS_OBJECTIVES } else { FINAL_LOSS_OBJECTIVES };
        let weight = |id: &ReplicaId| {
            let latency = self.expected_latency(*id) * self.call_cost(*id, first);
            let cost = latency + (faults(id) - least_faults) * loss;
            self.replicas[id].weight * (self.objective / cost.max(1.0)).powf(SELECTION_EXPONENT)
        };
        pool.iter().map(weight).collect()
    }

    /// Cost of the part when its call is shared, over that of a call of its own.
    fn call_cost(&self, id: ReplicaId, first: Option<PartKey>) -> f64 {
        let call = self.settings.call_work as f64;
        let Some(key) = first.filter(|_| call > 0.0) else { return 1.0 };
        let work = (self.fleet.mean - call).max(call / 2.0);
        (call / (1 + self.parts_sharing_call(key, id).len()) as f64 + work) / (call + work)
    }

    /// Unsent parts of the same query that one call to this replica could take along.
    pub(super) fn parts_sharing_call(&self, key: PartKey, id: ReplicaId) -> Vec<usize> {
        if self.settings.call_work == 0 || self.settings.parts_per_call < 2 {
            return Vec::new();
        }
        let q = &self.queries[&key.job];
        let (cell, cells) = (self.replicas[&id].cell, self.settings.cells);
        let on_replica = |p: &Part| (cell + cells - p.shard % cells) % cells < self.settings.span;
        let unsent = |p: &Part| !p.answered && p.step == q.step && p.attempts.is_empty();
        let most = self.settings.parts_per_call as usize - 1;
        let parts = q.parts.iter().enumerate();
        let sharing = parts.filter(|(n, p)| *n != key.index && unsent(p) && on_replica(p));
        sharing.map(|(n, _)| n).take(most).collect()
    }
}
