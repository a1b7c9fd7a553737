//! What this broker knows of one replica.

use super::latency_estimate::FleetLatency;
use super::outlier_ejection::Ejection;
use crate::api::{Nanos, Outcome};

/// Weight of a new sample in a mean: about the last five answers count.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// A sample counts as at most so many times the mean: one costly part must not condemn a replica.
pub(super) const SAMPLE_CLIP_MULTIPLE: f64 = 4.0;
/// Rise of the light-load latency per sample, as a share: slow, so it stays a light-load figure.
const LIGHT_LOAD_RISE: f64 = 0.005;
/// Other brokers' parts assumed in flight when latency is scaled by this broker's own.
const ASSUMED_OTHERS_IN_FLIGHT: f64 = 1.0;
/// Weight of a part in its replica's fault rate.
const FAULT_EWMA_WEIGHT: f64 = 0.05;
/// Fault rate that is chance: two faults in a few dozen answers are more.
const FAULT_TOLERANCE: f64 = 0.05;
/// Decay time of an unused replica's fault rate, in shortest objectives.
const FAULT_DECAY_OBJECTIVES: f64 = 4.0;

/// State of one replica; latencies in ns.
#[derive(Default)]
pub(super) struct Replica {
    pub(super) cell: u32,
    pub(super) weight: f64,
    pub(super) listed: bool,
    pub(super) removed: bool,
    /// Mean latency over the fleet's, and the mean number of own parts in flight that it was seen under.
    pub(super) latency_ratio: f64,
    pub(super) mean_in_flight: f64,
    pub(super) light_load_latency: f64,
    pub(super) sampled_at: Nanos,
    /// Share of its parts that failed, or were lost while others were answered.
    pub(super) fault_rate: f64,
    pub(super) in_flight: u32,
    /// Latest send that was answered.
    pub(super) newest_answered_send: Nanos,
    /// First send not followed by any answer.
    pub(super) unanswered_since: Option<Nanos>,
    /// Whether a connection broke since the last answer.
    pub(super) connection_broke: bool,
    pub(super) ejected: Option<Ejection>,
    /// Start of its slow start, and parts that it may be sent now.
    pub(super) warming_since: Option<Nanos>,
    pub(super) slow_start_allowance: f64,
    pub(super) utilization: Option<f64>,
}

impl Replica {
    /// Records one latency, and the number of own parts in flight at its sending; old means weigh less.
    pub(super) fn record_latency(&mut self, latency: f64, in_flight: u32, fleet: &FleetLatency, now: Nanos) {
        let old = self.decayed_ratio(now, fleet);
        let weight = LATENCY_EWMA_WEIGHT.max(1.0 - (-self.idle(now) / fleet.min_ratio_decay).exp());
        self.latency_ratio = old + weight * ((latency / fleet.mean).min(old * SAMPLE_CLIP_MULTIPLE) - old);
        self.mean_in_flight += LATENCY_EWMA_WEIGHT * (in_flight as f64 - self.mean_in_flight);
        let mean = fleet.mean * self.latency_ratio;
        let risen = self.light_load_latency * (1.0 + LIGHT_LOAD_RISE);
        self.light_load_latency = if mean < self.light_load_latency { mean } else { risen };
        self.sampled_at = now;
    }

    /// Records whether a part failed; `lost`: it was overdue while later parts were answered.
    pub(super) fn record_fault(&mut self, outcome: Outcome, lost: bool) {
        match outcome {
            Outcome::Ok => self.fault_rate -= FAULT_EWMA_WEIGHT * self.fault_rate,
            Outcome::TimedOut | Outcome::Cancelled if !lost => {}
            Outcome::Error | Outcome::InvalidResponse | Outcome::TimedOut | Outcome::Cancelled => {
                self.fault_rate += FAULT_EWMA_WEIGHT * (1.0 - self.fault_rate)
            }
            _ => {}
        }
    }

    /// Fault rate beyond chance, decayed while the replica is unused.
    pub(super) fn excess_fault_rate(&self, now: Nanos, objective: f64) -> f64 {
        let decay = (-self.idle(now) / (FAULT_DECAY_OBJECTIVES * objective)).exp();
        (self.fault_rate * decay - FAULT_TOLERANCE).max(0.0)
    }

    pub(super) fn mean_latency(&self, now: Nanos, fleet: &FleetLatency) -> f64 {
        fleet.mean * self.decayed_ratio(now, fleet)
    }

    /// Latency expected of one more part: scaled by own parts in flight, at least the time without an answer.
    pub(super) fn expected_latency(&self, now: Nanos, fleet: &FleetLatency) -> f64 {
        let scaled = self.mean_latency(now, fleet) * (self.in_flight as f64 + 1.0 + ASSUMED_OTHERS_IN_FLIGHT)
            / (self.mean_in_flight + 1.0 + ASSUMED_OTHERS_IN_FLIGHT);
        scaled.max(self.unanswered_since.map_or(0.0, |t| (now - t) as f64))
    }

    /// Whether slow start lets one more part go there.
    pub(super) fn accepts_part(&self) -> bool {
        self.warming_since.is_none() || self.slow_start_allowance >= 1.0
    }

    fn idle(&self, now: Nanos) -> f64 {
        (now - self.sampled_at.min(now)) as f64
    }

    fn decayed_ratio(&self, now: Nanos, fleet: &FleetLatency) -> f64 {
        1.0 + (self.latency_ratio - 1.0) * (-self.idle(now) / fleet.ratio_decay).exp()
    }
}
