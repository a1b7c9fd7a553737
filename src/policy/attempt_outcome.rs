//! What the end of an attempt says of its replica, and what it means for its part.

use super::balancer::Balancer;
use super::outlier_ejection::SILENCE_LATENCY_MULTIPLE;
use super::replica::SAMPLE_CLIP_MULTIPLE;
use super::request::{AttemptState, InFlightAttempt};
use super::retry::{LOST_LATENCY_MULTIPLE, RETRY_LATENCY_MULTIPLE};
use crate::api::*;

impl Balancer {
    /// Records the end of an attempt at its replica.
    pub(super) fn record_outcome(
        &mut self,
        attempt: &InFlightAttempt,
        latency: Nanos,
        outcome: Outcome,
        utilization: Option<f64>,
    ) {
        let (now, fleet) = (self.now, &mut self.fleet);
        let Some(r) = self.replicas.get_mut(&attempt.replica) else { return };
        r.in_flight = r.in_flight.saturating_sub(1);
        r.utilization = utilization.or(r.utilization);
        let age = (now - attempt.sent_at) as f64;
        let mean = r.mean_latency(now, fleet);
        // Overtaken by later sends, the part is costly rather than the replica slow.
        let overtaken = r.newest_answered_send > attempt.sent_at;
        let limit = if overtaken && age > 2.0 * mean { mean } else { f64::INFINITY };
        r.record_fault(outcome, overtaken && age > LOST_LATENCY_MULTIPLE * mean);
        let sample = match outcome {
            Outcome::Ok => {
                fleet.record_answer(now);
                r.on_answer(attempt.sent_at, now);
                Some(latency as f64)
            }
            // Without an answer, the age is a lower bound on latency; nothing follows from a part never sent.
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {
                if r.in_flight == 0 && age < mean * RETRY_LATENCY_MULTIPLE {
                    r.unanswered_since = None;
                }
                (age > mean).then_some(age)
            }
            // Perhaps load: a fast failure must not draw parts, nor a few failures read as seconds.
            Outcome::Error | Outcome::InvalidResponse | Outcome::Rejected => {
                r.unanswered_since = None;
                let longest = mean.max(SILENCE_LATENCY_MULTIPLE * fleet.mean);
                let longest = if outcome == Outcome::Rejected { f64::INFINITY } else { longest };
                let sample = (mean * SAMPLE_CLIP_MULTIPLE).min(longest);
                r.record_latency(sample, attempt.others_in_flight, fleet, now);
                None
            }
            // One broken connection may have been idle; a dead process refuses the next.
            Outcome::ConnectionReset if !r.connection_broke => {
                r.connection_broke = true;
                r.unanswered_since = r.unanswered_since.filter(|_| r.in_flight > 0);
                None
            }
            Outcome::ConnectFailed | Outcome::ConnectionReset => {
                r.eject(now, self.objective, true);
                None
            }
        };
        if let Some(sample) = sample.map(|s| s.min(limit)) {
            r.record_latency(sample, attempt.others_in_flight, fleet, now);
            fleet.record_latency(sample);
        }
    }

    /// Records the end of an attempt at its part; the first answer cancels the other attempts.
    pub(super) fn end_attempt(
        &mut self,
        ended: &InFlightAttempt,
        (part, attempt): (RequestId, u32),
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(q) = self.queries.get_mut(&ended.part.job) else { return };
        let Some(p) = q.parts.get_mut(ended.part.index).filter(|p| p.id == part) else { return };
        let Some(a) = p.attempts.get_mut(attempt as usize) else { return };
        a.state = match outcome {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => AttemptState::NeverRan,
            _ => AttemptState::MayHaveRun,
        };
        if outcome != Outcome::Ok || p.answered {
            return;
        }
        p.answered = true;
        // A trial runs on: its answer shows that a replica has recovered.
        let on_trial = |id: &ReplicaId| self.replicas.get(id).is_some_and(|r| r.ejected.is_some());
        let others = p.in_flight().filter(|(_, a)| self.settings.may_cancel && !on_trial(&a.replica));
        actions.extend(others.map(|(n, _)| Action::Cancel { part, attempt: n as u32 }));
    }
}
