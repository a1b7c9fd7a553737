//! Recent latencies of good answers, used to detect that a node has warmed up.

use crate::api::Nanos;
use std::collections::VecDeque;

/// Number of latencies in the window.
const WINDOW_LEN: usize = 32;
/// Multiple of the lower quartile up to which a latency counts as that of a warm node. The work of parts
/// differs by less than that; a node that has just started is slower by more.
const WARM_LATENCY_MULTIPLE: f64 = 2.5;

/// The latencies of the last good answers that were observed.
#[derive(Debug, Default)]
pub(super) struct LatencyWindow {
    latencies: VecDeque<Nanos>,
}

impl LatencyWindow {
    /// Adds a latency. Returns whether it is typical of a warm node, compared with the others in the window.
    pub(super) fn observe(&mut self, latency: Nanos) -> bool {
        if self.latencies.len() >= WINDOW_LEN {
            self.latencies.pop_front();
        }
        self.latencies.push_back(latency);
        let mut sorted: Vec<Nanos> = self.latencies.iter().copied().collect();
        sorted.sort_unstable();
        let lower_quartile = sorted[sorted.len() / 4] as f64;
        latency as f64 <= WARM_LATENCY_MULTIPLE * lower_quartile
    }
}
