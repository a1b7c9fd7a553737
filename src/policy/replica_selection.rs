//! The choice of a replica: a random draw weighted by expected latency.

use super::*;

const ASSUMED_OTHERS_IN_FLIGHT: f64 = 1.0;
const SELECTION_EXPONENT: f64 = 6.0;
const RETRIABLE_LOSS_OBJECTIVES: f64 = 0.3;
const FINAL_LOSS_OBJECTIVES: f64 = 1.0;

impl Balancer {
    pub(super) fn replicas_of_shard(&self, shard: u32) -> Vec<ReplicaId> {
        let cells = self.settings.cells;
        let of_shard = (0..self.settings.span.min(cells)).map(|j| ((shard + j) % cells) as usize);
        of_shard.flat_map(|cell| self.replicas_by_cell[cell].iter().copied()).collect()
    }

    /// Expected latency of one more part: scaled by the number of this broker's parts in flight there, and at
    /// least the time for which attempts there have been unanswered.
    pub(super) fn expected_latency(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        let usual_in_flight = r.mean_in_flight + 1.0 + ASSUMED_OTHERS_IN_FLIGHT;
        let in_flight = r.in_flight as f64 + 1.0 + ASSUMED_OTHERS_IN_FLIGHT;
        let mean = self.fleet.mean * r.latency_ratio_at(self.now, &self.fleet);
        let unanswered = r.unanswered_since.map_or(0.0, |t| (self.now - t) as f64);
        (mean * in_flight / usual_in_flight).max(unanswered)
    }

    pub(super) fn load(&self, id: ReplicaId) -> f64 {
        let r = &self.replicas[&id];
        r.utilization.unwrap_or_else(|| 1.0 - r.light_load_latency / self.expected_latency(id).max(1.0))
    }

    /// Draws a replica for the part. With `or_ejected`, draws an ejected one if all are ejected: the fault is
    /// then more likely on the broker's side.
    pub(super) fn select(&mut self, key: PartKey, used: &[ReplicaId], or_ejected: bool) -> Option<ReplicaId> {
        let mut replicas = self.replicas_of_shard(self.queries[&key.job].parts[key.index].shard);
        self.remove_possibly_draining(&mut replicas);
        replicas.retain(|id| !used.contains(id) && self.replicas[id].accepts_part());
        let (healthy, ejected): (Vec<ReplicaId>, _) =
            replicas.into_iter().partition(|id| self.replicas[id].ejected.is_none());
        let pool = if healthy.is_empty() && or_ejected { ejected } else { healthy };
        let weights = self.selection_weights(key, &pool);
        let mut x = uniform(&mut self.rng) * weights.iter().sum::<f64>();
        let drawn = pool.iter().zip(&weights).find(|(_, weight)| {
            x -= **weight;
            x < 0.0
        });
        drawn.map(|(id, _)| id).or(pool.last()).copied()
    }

    fn selection_weights(&self, key: PartKey, pool: &[ReplicaId]) -> Vec<f64> {
        let (q, objective) = (&self.queries[&key.job], self.fleet.objective);
        let first = q.parts[key.index].attempts.is_empty();
        let idempotency = self.settings.classes[q.class].idempotency;
        let retriable = first && idempotency != Idempotency::NonIdempotent && self.settings.max_attempts > 1;
        let loss_cost = objective * if retriable { RETRIABLE_LOSS_OBJECTIVES } else { FINAL_LOSS_OBJECTIVES };
        let call = self.settings.call_work as f64;
        let work = (self.fleet.mean - call).max(call / 2.0);
        // Faults common to all replicas do not affect the choice.
        let faults = |id: &ReplicaId| self.replicas[id].excess_fault_rate(self.now, objective);
        let least_faults = pool.iter().map(faults).fold(f64::INFINITY, f64::min);
        let weight = |id: &ReplicaId| {
            let sharing = if first && call > 0.0 { self.parts_sharing_call(key, *id).len() } else { 0 };
            let shared_call = (call / (1 + sharing) as f64 + work) / (call + work);
            let call_cost = if sharing > 0 { shared_call } else { 1.0 };
            let cost = self.expected_latency(*id) * call_cost + (faults(id) - least_faults) * loss_cost;
            self.replicas[id].weight * (objective / cost.max(1.0)).powf(SELECTION_EXPONENT)
        };
        pool.iter().map(weight).collect()
    }

    pub(super) fn parts_sharing_call(&self, key: PartKey, id: ReplicaId) -> Vec<usize> {
        let per_call = if self.settings.call_work > 0 { self.settings.parts_per_call as usize } else { 1 };
        let q = &self.queries[&key.job];
        let (cell, cells) = (self.replicas[&id].cell, self.settings.cells);
        let on_replica = |p: &Part| (cell + cells - p.shard % cells) % cells < self.settings.span;
        let unsent = |p: &Part| !p.answered && p.step == q.step && p.attempts.is_empty();
        let parts = q.parts.iter().enumerate();
        let sharing = parts.filter(|(n, p)| *n != key.index && unsent(p) && on_replica(p));
        sharing.map(|(n, _)| n).take(per_call.saturating_sub(1)).collect()
    }
}
