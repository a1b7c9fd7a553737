//! Slow start: a recently started replica gets few parts until it has warmed up.
//!
//! Enforces rule 4: a replica that is warming up is not overloaded.

use super::*;

const SLOW_START_FILL: f64 = 0.5;
const SLOW_START_MAX_FILL: f64 = 0.8;
const MAX_ALLOWANCE_PARTS: f64 = 2.0;

impl Balancer {
    /// Adds its share of the query's parts to the allowance of each replica that is warming up, in proportion
    /// to the current capacities of all replicas.
    pub(super) fn grant_allowance(&mut self, job: u64) {
        let (now, settings) = (self.now, &self.settings);
        let Some(q) = self.queries.get_mut(&job) else { return };
        q.admitted = true;
        let parts = q.parts.len() as f64;
        let listed = self.replicas.values().filter(|r| r.listed);
        let add = |(n, sum), r: &Replica| (n + 1.0, sum + r.capacity(now, settings));
        let (replicas, capacity) = listed.fold((0.0, 0.0), add);
        let capacity = f64::max(capacity, SLOW_START_FILL / SLOW_START_MAX_FILL * replicas).max(1.0);
        let fill = (SLOW_START_FILL * settings.overload_multiple).max(1.0);
        for r in self.replicas.values_mut().filter(|r| r.listed && r.warming_since.is_some()) {
            let granted = fill * r.capacity(now, settings) * parts / capacity;
            r.allowance = (r.allowance + granted).min(MAX_ALLOWANCE_PARTS);
        }
    }
}
