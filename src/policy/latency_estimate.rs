//! The latency of the whole fleet; each replica's latency is kept as a ratio to it.

use crate::api::Nanos;

/// Latency assumed of an unknown replica, in shortest objectives: a part is a small piece of a query.
pub(super) const INITIAL_LATENCY_OBJECTIVES: f64 = 0.1;
/// An answer counts as at most so many times the mean: lost answers are not load.
const FLEET_SAMPLE_CLIP_MULTIPLE: f64 = 2.0;
/// Decay time of the fleet's latency, in shortest objectives: load changes within seconds.
const FLEET_DECAY_OBJECTIVES: f64 = 1.5;
/// Answers that light load counts for: a broker without answers takes the fleet as lightly loaded.
const LIGHT_LOAD_SAMPLES: f64 = 2.0;
/// Decay time of an unused replica's ratio, in shortest objectives: a recovered one is tried again.
const RATIO_DECAY_OBJECTIVES: f64 = 2.0;
/// Least decay time of the ratio, in mean times between two answers of one replica.
const RATIO_DECAY_GAPS: f64 = 3.0;
/// Weight of a new gap between answers: a few dozen answers show the rate.
const GAP_EWMA_WEIGHT: f64 = 0.02;

/// Latency of the fleet of late; times in ns.
pub(super) struct FleetLatency {
    pub(super) mean: f64,
    /// Sum and number of recent answers, both decaying with time.
    sum: f64,
    samples: f64,
    answer_gap: f64,
    last_answer_at: Nanos,
    /// Shortest and current decay time of an unused replica's ratio.
    pub(super) min_ratio_decay: f64,
    pub(super) ratio_decay: f64,
    sample_decay: f64,
}

impl FleetLatency {
    pub(super) fn new(objective: f64, now: Nanos) -> Self {
        FleetLatency {
            mean: objective * INITIAL_LATENCY_OBJECTIVES,
            sum: 0.0,
            samples: 0.0,
            answer_gap: 0.0,
            last_answer_at: now,
            min_ratio_decay: RATIO_DECAY_OBJECTIVES * objective,
            ratio_decay: RATIO_DECAY_OBJECTIVES * objective,
            sample_decay: FLEET_DECAY_OBJECTIVES * objective,
        }
    }

    pub(super) fn decay(&mut self, elapsed: Nanos) {
        let factor = (-(elapsed as f64) / self.sample_decay).exp();
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

    /// Updates the mean from the recent answers and the latencies of the listed replicas under light load.
    /// It drifts back to light load, or a broker that rejects all would have no answers and reject for ever.
    pub(super) fn update(&mut self, light_load: impl Iterator<Item = f64>) {
        let (sum, listed) = light_load.fold((0.0, 0.0), |(sum, n), latency| (sum + latency, n + 1.0));
        self.ratio_decay = self.min_ratio_decay.max(RATIO_DECAY_GAPS * self.answer_gap * listed);
        let light = if listed > 0.0 { sum / listed } else { self.mean };
        self.mean = (self.sum + LIGHT_LOAD_SAMPLES * light) / (self.samples + LIGHT_LOAD_SAMPLES);
    }
}
