//! Logs steps of the system's wall clock, which the broker's own clock does not follow.

use crate::api::Nanos;

/// Time between two checks of the wall clock, ns.
const CHECK_INTERVAL: Nanos = 1_000_000_000;
/// Smallest change between two checks that counts as a step, ns. Slewing moves a clock by 0.5 ms a second.
const MIN_STEP: i64 = 100_000_000;

const NANOS_PER_MILLI: i64 = 1_000_000;

/// Compares the wall clock with the broker's monotonic clock about once a second, while the event loop is
/// active.
#[derive(Debug, Default)]
pub(super) struct WallClockMonitor {
    next_check: Nanos,
    /// How far the wall clock was ahead of the broker's clock at the last check, ns.
    lead: i64,
}

impl WallClockMonitor {
    /// Logs a step since the last check, if a check is due. `lead` returns how far the wall clock is ahead of
    /// the broker's clock, ns.
    pub(super) fn check(&mut self, now: Nanos, lead: impl FnOnce() -> i64) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + CHECK_INTERVAL;
        let lead = lead();
        let step = lead.saturating_sub(self.lead);
        if step.saturating_abs() >= MIN_STEP {
            let (step_ms, lead_ms) = (step / NANOS_PER_MILLI, lead / NANOS_PER_MILLI);
            tracing::warn!(step_ms, lead_ms, "wall clock was stepped");
        }
        self.lead = lead;
    }
}
