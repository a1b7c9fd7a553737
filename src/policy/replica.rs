//! What this broker knows of one replica.

use super::*;

pub(super) const EWMA_WEIGHT: f64 = 0.2;
pub(super) const SAMPLE_CLIP_MULTIPLE: f64 = 4.0;
const LIGHT_LOAD_RISE_PER_SAMPLE: f64 = 0.005;
const ASSUMED_OTHERS_IN_FLIGHT: f64 = 1.0;
pub(super) const FAULT_EWMA_WEIGHT: f64 = 0.05;
const TOLERATED_FAULT_RATE: f64 = 0.05;
const FAULT_DECAY_OBJECTIVES: f64 = 4.0;

/// State of one replica; latencies in ns.
#[derive(Default)]
pub(super) struct Replica {
    pub(super) cell: u32,
    pub(super) weight: f64,
    pub(super) listed: bool,
    pub(super) removed: bool,
    /// Mean latency over the fleet's, and the mean number of own parts in flight meanwhile.
    pub(super) latency_ratio: f64,
    pub(super) mean_in_flight: f64,
    pub(super) light_load_latency: f64,
    pub(super) sampled_at: Nanos,
    /// Share of its parts that failed, or were lost while others were answered.
    pub(super) fault_rate: f64,
    pub(super) in_flight: u32,
    pub(super) newest_answered_send: Nanos,
    pub(super) unanswered_since: Option<Nanos>,
    /// Whether a connection broke since the last answer.
    pub(super) connection_broke: bool,
    pub(super) ejected: Option<Ejection>,
    /// While ejected: a health check passed, so one part may be tried.
    pub(super) on_trial: bool,
    /// Start of its slow start, and the number of parts that it may be sent now.
    pub(super) warming_since: Option<Nanos>,
    pub(super) allowance: f64,
    pub(super) utilization: Option<f64>,
}

impl Replica {
    /// Records a latency, and the number of own parts in flight at its sending. An old mean weighs less.
    pub(super) fn record_latency(&mut self, latency: f64, in_flight: u32, fleet: &FleetLatency, now: Nanos) {
        let old = self.decayed_ratio(now, fleet);
        let decay = (-self.idle(now) / (RATIO_DECAY_OBJECTIVES * fleet.objective)).exp();
        let clipped = (latency / fleet.mean).min(old * SAMPLE_CLIP_MULTIPLE);
        self.latency_ratio = old + EWMA_WEIGHT.max(1.0 - decay) * (clipped - old);
        self.mean_in_flight += EWMA_WEIGHT * (in_flight as f64 - self.mean_in_flight);
        let risen = self.light_load_latency * (1.0 + LIGHT_LOAD_RISE_PER_SAMPLE);
        let mean = fleet.mean * self.latency_ratio;
        self.light_load_latency = if mean < self.light_load_latency { mean } else { risen };
        self.sampled_at = now;
    }

    pub(super) fn excess_fault_rate(&self, now: Nanos, objective: f64) -> f64 {
        let decay = (-self.idle(now) / (FAULT_DECAY_OBJECTIVES * objective)).exp();
        (self.fault_rate * decay - TOLERATED_FAULT_RATE).max(0.0)
    }

    pub(super) fn mean_latency(&self, now: Nanos, fleet: &FleetLatency) -> f64 {
        fleet.mean * self.decayed_ratio(now, fleet)
    }

    /// Latency expected of one more part: scaled by own parts in flight, at least the time without an answer.
    pub(super) fn expected_latency(&self, now: Nanos, fleet: &FleetLatency) -> f64 {
        let usual_in_flight = self.mean_in_flight + 1.0 + ASSUMED_OTHERS_IN_FLIGHT;
        let in_flight = self.in_flight as f64 + 1.0 + ASSUMED_OTHERS_IN_FLIGHT;
        let scaled = self.mean_latency(now, fleet) * in_flight / usual_in_flight;
        scaled.max(self.unanswered_since.map_or(0.0, |t| (now - t) as f64))
    }

    fn idle(&self, now: Nanos) -> f64 {
        (now - self.sampled_at.min(now)) as f64
    }

    fn decayed_ratio(&self, now: Nanos, fleet: &FleetLatency) -> f64 {
        1.0 + (self.latency_ratio - 1.0) * (-self.idle(now) / fleet.ratio_decay).exp()
    }
}
