//! This broker's state of one replica: latency, faults, ejection and warm-up.

use super::*;

pub(super) const EWMA_WEIGHT: f64 = 0.2;
pub(super) const SAMPLE_CLIP_MULTIPLE: f64 = 4.0;
const LIGHT_LOAD_RISE_PER_SAMPLE: f64 = 0.005;
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
    /// Mean latency, as a ratio to the fleet's.
    pub(super) latency_ratio: f64,
    /// Mean number of this broker's other parts in flight there when the sampled attempts were sent.
    pub(super) mean_in_flight: f64,
    pub(super) light_load_latency: f64,
    pub(super) sampled_at: Nanos,
    /// Share of its parts that failed, or were lost while others were answered.
    pub(super) fault_rate: f64,
    pub(super) in_flight: u32,
    pub(super) newest_answered_send: Nanos,
    /// When the newest of the attempts that it rejected, or that could not connect, was sent.
    pub(super) newest_rejected_send: Nanos,
    pub(super) unanswered_since: Option<Nanos>,
    pub(super) connection_broke: bool,
    pub(super) ejected: Option<Ejection>,
    /// While ejected: one trial part may be sent, after a health check that passed or where there are none.
    pub(super) on_trial: bool,
    pub(super) warming_since: Option<Nanos>,
    pub(super) allowance: f64,
    pub(super) utilization: Option<f64>,
}

/// State of a replica that is considered down or unresponsive.
pub(super) struct Ejection {
    pub(super) probe_at: Nanos,
    pub(super) probe_backoff: f64,
    pub(super) process_down: bool,
}

impl Replica {
    pub(super) fn record_latency(&mut self, latency: f64, in_flight: u32, fleet: &FleetLatency, now: Nanos) {
        let old = self.latency_ratio_at(now, fleet);
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

    pub(super) fn eject(&mut self, now: Nanos, objective: f64, process_down: bool) {
        let probe_backoff = PROBE_BACKOFF_INITIAL_OBJECTIVES * objective;
        let probe_at = now + probe_backoff as Nanos;
        let ejection = self.ejected.get_or_insert(Ejection { probe_at, probe_backoff, process_down });
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

    pub(super) fn start_warming(&mut self, started: Option<Nanos>) {
        self.warming_since = started;
        // One part is enough to measure the latency of a replica without samples.
        self.allowance = if self.sampled_at == 0 { 1.0 } else { 0.0 };
        if self.ejected.take().is_some() {
            self.unanswered_since = None;
            self.latency_ratio = 1.0;
        }
    }

    pub(super) fn accepts_part(&self) -> bool {
        self.warming_since.is_none() || self.allowance >= 1.0
    }

    pub(super) fn capacity(&self, now: Nanos, settings: &Settings) -> f64 {
        let warmed = |t: Nanos| (now - t.min(now)) as f64 / settings.slow_start_time.max(1) as f64;
        let age = self.warming_since.map_or(1.0, warmed);
        settings.slow_start_share + (1.0 - settings.slow_start_share) * age.min(1.0)
    }

    fn idle(&self, now: Nanos) -> f64 {
        (now - self.sampled_at.min(now)) as f64
    }

    pub(super) fn latency_ratio_at(&self, now: Nanos, fleet: &FleetLatency) -> f64 {
        1.0 + (self.latency_ratio - 1.0) * (-self.idle(now) / fleet.ratio_decay).exp()
    }
}
