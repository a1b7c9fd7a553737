//! Ejection of silent and failed replicas, and the health checks and trials that bring them back.

use super::*;

pub(super) const SILENCE_LATENCY_MULTIPLE: f64 = 5.0;
const SILENCE_MIN_OBJECTIVES: f64 = 0.2;
const PROBE_BACKOFF_INITIAL_OBJECTIVES: f64 = 0.2;
const PROBE_BACKOFF_MAX_OBJECTIVES: f64 = 1.0;

/// State of a replica that is taken to be down or silent.
pub(super) struct Ejection {
    probe_at: Nanos,
    probe_backoff: f64,
    /// Connections failed: the process was gone, so it comes back cold.
    pub(super) process_down: bool,
}

impl Replica {
    pub(super) fn eject(&mut self, now: Nanos, objective: f64, process_down: bool) {
        let probe_backoff = PROBE_BACKOFF_INITIAL_OBJECTIVES * objective;
        let probe_at = now + probe_backoff as Nanos;
        let new = Ejection { probe_at, probe_backoff, process_down };
        let ejection = self.ejected.get_or_insert(new);
        ejection.process_down |= process_down;
        self.on_trial = false;
    }

    pub(super) fn on_answer(&mut self, sent_at: Nanos, now: Nanos) {
        self.newest_answered_send = self.newest_answered_send.max(sent_at);
        self.unanswered_since = None;
        self.connection_broke = false;
        if self.ejected.take().is_some_and(|e| e.process_down) && self.warming_since.is_none() {
            self.warming_since = Some(now);
            self.allowance = 0.0;
        }
    }
}

impl Balancer {
    /// Ends slow starts, ejects silent replicas and checks the health of ejected ones.
    pub(super) fn check_replicas(&mut self, actions: &mut Vec<Action>) {
        let (now, objective) = (self.now, self.fleet.objective);
        let silence = (SILENCE_LATENCY_MULTIPLE * self.fleet.mean).max(SILENCE_MIN_OBJECTIVES * objective);
        for (id, r) in self.replicas.iter_mut().filter(|(_, r)| r.listed) {
            r.warming_since = r.warming_since.filter(|t| t + self.settings.slow_start_time > now);
            if r.ejected.is_none() && r.unanswered_since.is_some_and(|t| (now - t) as f64 > silence) {
                r.eject(now, objective, false);
            }
            if let Some(ejection) = r.ejected.as_mut().filter(|e| e.probe_at <= now && !r.on_trial) {
                let longest = PROBE_BACKOFF_MAX_OBJECTIVES * objective;
                ejection.probe_backoff = (ejection.probe_backoff * 2.0).min(longest);
                ejection.probe_at = now + ejection.probe_backoff as Nanos;
                r.on_trial = !self.settings.may_health_check;
                actions.extend((!r.on_trial).then_some(Action::HealthCheck { replica: *id }));
            }
        }
    }

    pub(super) fn replica_on_trial(&self, shard: u32) -> Option<ReplicaId> {
        let on_trial = |r: &Replica| r.accepts_part() && r.ejected.is_some() && r.on_trial;
        self.replicas_of_shard(shard).into_iter().find(|id| on_trial(&self.replicas[id]))
    }
}
