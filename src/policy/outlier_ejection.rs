//! Ejection of unresponsive and failed replicas, and their return after health checks and trial parts.

use super::*;

pub(super) const SILENCE_FLEET_MEANS: f64 = 5.0;
const SILENCE_MIN_OBJECTIVES: f64 = 0.2;
pub(super) const PROBE_BACKOFF_INITIAL_OBJECTIVES: f64 = 0.2;
const PROBE_BACKOFF_MAX_OBJECTIVES: f64 = 1.0;

impl Balancer {
    pub(super) fn record_outcome(&mut self, ended: &SentAttempt, latency: Nanos, outcome: Outcome) {
        let (now, fleet) = (self.now, &mut self.fleet);
        let Some(r) = self.replicas.get_mut(&ended.replica) else { return };
        let age = (now - ended.sent_at) as f64;
        let mean = fleet.mean * r.latency_ratio_at(now, fleet);
        // Attempts sent later have been answered first: the part is expensive, rather than the replica slow.
        let overtaken = r.newest_answered_send > ended.sent_at;
        let lost = overtaken && age > LOST_LATENCY_MULTIPLE * mean;
        let sample_limit = if overtaken && age > 2.0 * mean { mean } else { f64::INFINITY };
        let failed = matches!(outcome, Outcome::Error | Outcome::InvalidResponse);
        let lost = lost && matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        if failed || lost || outcome == Outcome::Ok {
            r.fault_rate += FAULT_EWMA_WEIGHT * (f64::from(failed || lost) - r.fault_rate);
        }
        if matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed) {
            r.newest_rejected_send = r.newest_rejected_send.max(ended.sent_at);
        }
        let mut sample = None;
        match outcome {
            Outcome::Ok => {
                fleet.record_answer(now);
                r.on_answer(ended.sent_at, now);
                sample = Some(latency as f64);
            }
            // Without an answer, the age is a lower bound of the latency; an unsent attempt is no evidence.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {
                let overdue = age >= mean * RETRY_LATENCY_MULTIPLE;
                r.unanswered_since = r.unanswered_since.filter(|_| r.in_flight > 0 || overdue);
                sample = (age > mean).then_some(age);
            }
            // May be due to load: a fast failure must not attract parts, and a few failures must not raise
            // the estimate to seconds.
            Outcome::Error | Outcome::InvalidResponse | Outcome::Rejected => {
                r.unanswered_since = None;
                let max_sample =
                    if failed { mean.max(SILENCE_FLEET_MEANS * fleet.mean) } else { f64::INFINITY };
                let clipped = (mean * SAMPLE_CLIP_MULTIPLE).min(max_sample);
                r.record_latency(clipped, ended.others_in_flight, fleet, now);
            }
            // A single reset may be that of an idle connection; a dead process refuses the next connection.
            Outcome::ConnectionReset if !r.connection_broke => {
                r.connection_broke = true;
                r.unanswered_since = r.unanswered_since.filter(|_| r.in_flight > 0);
            }
            Outcome::ConnectFailed | Outcome::ConnectionReset => r.eject(now, fleet.objective, true),
        }
        if let Some(sample) = sample.map(|s| s.min(sample_limit)) {
            r.record_latency(sample, ended.others_in_flight, fleet, now);
            fleet.record_latency(sample);
        }
    }

    pub(super) fn check_replicas(&mut self, actions: &mut Vec<Action>) {
        let (now, objective) = (self.now, self.fleet.objective);
        let silence = (SILENCE_FLEET_MEANS * self.fleet.mean).max(SILENCE_MIN_OBJECTIVES * objective);
        for (id, r) in self.replicas.iter_mut().filter(|(_, r)| r.listed) {
            r.warming_since = r.warming_since.filter(|t| t + self.settings.slow_start_time > now);
            if r.ejected.is_none() && r.unanswered_since.is_some_and(|t| (now - t) as f64 > silence) {
                r.eject(now, objective, false);
            }
            if let Some(e) = r.ejected.as_mut().filter(|e| e.probe_at <= now && !r.on_trial) {
                e.probe_backoff = (e.probe_backoff * 2.0).min(PROBE_BACKOFF_MAX_OBJECTIVES * objective);
                e.probe_at = now + e.probe_backoff as Nanos;
                r.on_trial = !self.settings.may_health_check;
                actions.extend((!r.on_trial).then_some(Action::HealthCheck { replica: *id }));
            }
        }
    }
}
