//! Exponential backoff with jitter between polls for the endpoint list.
//!
//! Brokers that restart together must not poll in step. Each waits a random share of a bound that doubles
//! with every failure, so that polls to a discovery service that has just recovered are spread over that
//! bound (full jitter with a minimum wait).

use crate::api::Nanos;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Minimum share of the bound that is waited, so that no broker polls again immediately.
const MIN_BOUND_SHARE: f64 = 0.25;

/// Backoff between polls.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    rng: Pcg64Mcg,
    initial: Nanos,
    max: Nanos,
    bound: Nanos,
}

impl PollBackoff {
    /// A backoff whose bound starts at `initial` and doubles up to `max`, both in ns.
    #[must_use]
    pub fn new(initial: Nanos, max: Nanos, seed: u64) -> PollBackoff {
        let initial = initial.max(1);
        PollBackoff { rng: Pcg64Mcg::seed_from_u64(seed), initial, max: max.max(initial), bound: initial }
    }

    /// Records that a poll failed and returns the wait until the next one, ns: at least a quarter of the
    /// bound.
    pub fn on_failure(&mut self) -> Nanos {
        let uniform = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let wait = self.bound as f64 * (MIN_BOUND_SHARE + (1.0 - MIN_BOUND_SHARE) * uniform);
        self.bound = self.bound.saturating_mul(2).min(self.max);
        wait as Nanos
    }

    /// Records that a poll was answered, and resets the bound.
    pub fn on_success(&mut self) {
        self.bound = self.initial;
    }
}
