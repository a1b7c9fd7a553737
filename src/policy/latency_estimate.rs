//! Estimate of the whole fleet's latency. Each replica's latency is stored as a ratio to it.

use super::*;

pub(super) const INITIAL_LATENCY_OBJECTIVES: f64 = 0.1;
const FLEET_SAMPLE_CLIP_MULTIPLE: f64 = 2.0;
const FLEET_DECAY_OBJECTIVES: f64 = 1.5;
const LIGHT_LOAD_SAMPLES: f64 = 2.0;
pub(super) const RATIO_DECAY_OBJECTIVES: f64 = 2.0;
const RATIO_DECAY_ANSWER_GAPS: f64 = 3.0;
const GAP_EWMA_WEIGHT: f64 = 0.02;

/// Recent latency of the fleet; times in ns.
#[derive(Default)]
pub(super) struct FleetLatency {
    /// Shortest latency objective: the unit of most time spans here.
    pub(super) objective: f64,
    pub(super) mean: f64,
    sum: f64,
    samples: f64,
    answer_gap: f64,
    last_answer_at: Nanos,
    pub(super) ratio_decay: f64,
}

impl FleetLatency {
    pub(super) fn new(objective: f64, now: Nanos) -> Self {
        let (mean, ratio_decay) =
            (INITIAL_LATENCY_OBJECTIVES * objective, RATIO_DECAY_OBJECTIVES * objective);
        FleetLatency { objective, mean, ratio_decay, last_answer_at: now, ..Default::default() }
    }

    pub(super) fn decay(&mut self, elapsed: Nanos) {
        let factor = (-(elapsed as f64) / (FLEET_DECAY_OBJECTIVES * self.objective)).exp();
        self.sum *= factor;
        self.samples *= factor;
    }

    pub(super) fn record_answer(&mut self, now: Nanos) {
        self.answer_gap += GAP_EWMA_WEIGHT * ((now - self.last_answer_at) as f64 - self.answer_gap);
        self.last_answer_at = now;
    }

    pub(super) fn record_latency(&mut self, latency: f64) {
        self.sum += latency.min(FLEET_SAMPLE_CLIP_MULTIPLE * self.mean);
        self.samples += 1.0;
    }

    /// Updates the mean. Without answers it converges to the light-load latency: otherwise a broker that
    /// rejects every query would get no more answers and would never admit one again.
    pub(super) fn update(&mut self, light_load_latencies: impl Iterator<Item = f64>) {
        let (sum, listed) =
            light_load_latencies.fold((0.0, 0.0), |(sum, n), latency| (sum + latency, n + 1.0));
        let min_decay = RATIO_DECAY_OBJECTIVES * self.objective;
        self.ratio_decay = min_decay.max(RATIO_DECAY_ANSWER_GAPS * self.answer_gap * listed);
        let light = if listed > 0.0 { sum / listed } else { self.mean };
        self.mean = (self.sum + LIGHT_LOAD_SAMPLES * light) / (self.samples + LIGHT_LOAD_SAMPLES);
    }
}
