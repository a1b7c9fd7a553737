//! When to ask for the list again.
//!
//! Brokers that are restarted together must not ask together: each waits a random share of a bound that doubles,
//! so that a discovery which just came back sees them spread over that bound (full jitter).

use crate::api::Nanos;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// Waits between calls for the list.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    rng: Pcg64Mcg,
    initial: Nanos,
    max: Nanos,
    bound: Nanos,
}

impl PollBackoff {
    /// Waits whose bound starts at `first` and doubles up to `most`.
    pub fn new(first: Nanos, most: Nanos, seed: u64) -> PollBackoff {
        let first = first.max(1);
        PollBackoff { rng: Pcg64Mcg::seed_from_u64(seed), initial: first, max: most.max(first), bound: first }
    }

    /// A call failed: so long until the next. Never less than a quarter of the bound, so that one broker alone
    /// does not hammer either.
    pub fn on_failure(&mut self) -> Nanos {
        let x = (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let wait = self.bound as f64 * (0.25 + 0.75 * x);
        self.bound = self.bound.saturating_mul(2).min(self.max);
        wait as Nanos
    }

    /// A call was answered.
    pub fn on_success(&mut self) {
        self.bound = self.initial;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn a_wave_of_brokers_is_spread_over_the_bound() {
        // Sixty brokers that lost discovery at one moment: how many ask again within any 100 ms, later on.
        let mut asks: Vec<Nanos> = Vec::new();
        for seed in 0..60 {
            let mut again = PollBackoff::new(500 * MS, 8000 * MS, seed);
            let mut at = 0;
            while at < 40_000 * MS {
                at += again.on_failure();
                asks.push(at);
            }
        }
        let within = |from: Nanos| asks.iter().filter(|t| (from..from + 100 * MS).contains(t)).count();
        let worst = (100..390).map(|n| within(n * 100 * MS)).max().unwrap();
        assert!(worst <= 10, "{worst} of 60 brokers ask within 100 ms");
    }

    #[test]
    fn the_wait_grows_to_its_bound_and_an_answer_resets_it() {
        let mut again = PollBackoff::new(500 * MS, 4000 * MS, 7);
        let waits: Vec<Nanos> = (0..20).map(|_| again.on_failure()).collect();
        assert!(waits[0] <= 500 * MS && waits.iter().all(|w| *w <= 4000 * MS && *w >= 125 * MS));
        assert!(waits[4..].iter().any(|w| *w > 2000 * MS));
        again.on_success();
        assert!(again.on_failure() <= 500 * MS);
    }
}
