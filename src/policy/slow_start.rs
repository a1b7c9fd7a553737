//! Slow start: a replica that has started lately gets few parts until it has warmed up. Guards rule 4.

use super::balancer::Balancer;
use super::replica::Replica;
use crate::api::*;

/// Share of the overload multiple that a replica may be filled to while it warms up.
const SLOW_START_FILL: f64 = 0.5;
/// Share of the overload multiple that a full load may reach while the whole fleet warms up.
const SLOW_START_MAX_FILL: f64 = 0.8;
/// Most parts that an allowance may add up to.
const MAX_ALLOWANCE: f64 = 2.0;

impl Replica {
    /// Starts the slow start of a process that started lately; an ejection of the process before it ends.
    pub(super) fn start_warming(&mut self, started: Nanos, now: Nanos, slow_start_time: Nanos) {
        let lately = started.saturating_add(slow_start_time) > now;
        if !lately || self.warming_since.is_some_and(|known| known >= started) {
            return;
        }
        self.warming_since = Some(started);
        // One part shows how fast an unknown replica is.
        self.slow_start_allowance = if self.sampled_at == 0 { 1.0 } else { 0.0 };
        if self.ejected.take().is_some() {
            self.unanswered_since = None;
            self.latency_ratio = 1.0;
        }
    }

    /// Share of its capacity that the replica has for certain.
    fn warm_share(&self, now: Nanos, settings: &Settings) -> f64 {
        let warmed = |t: Nanos| (now - t.min(now)) as f64 / settings.slow_start_time.max(1) as f64;
        let age = self.warming_since.map_or(1.0, warmed);
        settings.slow_start_share + (1.0 - settings.slow_start_share) * age.min(1.0)
    }
}

impl Balancer {
    /// Adds each warming replica's share of an admitted query's parts to its allowance.
    pub(super) fn grant_slow_start_allowance(&mut self, job: u64) {
        let (now, settings) = (self.now, &self.settings);
        let Some(q) = self.queries.get_mut(&job) else { return };
        q.admitted = true;
        let parts = q.parts.len() as f64;
        let listed = self.replicas.values().filter(|r| r.listed);
        let add = |(n, sum), r: &Replica| (n + 1.0, sum + r.warm_share(now, settings));
        let (replicas, capacity) = listed.fold((0.0, 0.0), add);
        // A share of what all can do now; on a cold fleet, a full load stays below the overload multiple.
        let capacity = f64::max(capacity, SLOW_START_FILL / SLOW_START_MAX_FILL * replicas).max(1.0);
        let fill = (SLOW_START_FILL * settings.overload_multiple).max(1.0);
        for r in self.replicas.values_mut().filter(|r| r.listed && r.warming_since.is_some()) {
            let granted = fill * r.warm_share(now, settings) * parts / capacity;
            r.slow_start_allowance = (r.slow_start_allowance + granted).min(MAX_ALLOWANCE);
        }
    }
}
