//! Admission of queries, and Retry-After times for rejected queries.

use super::messages::Overloaded;
use crate::api::{Nanos, Settings};

/// Shortest Retry-After time of an overloaded broker, as a share of the maximum in the settings.
const MIN_RETRY_AFTER_SHARE: f64 = 0.25;
/// Width of the range over which Retry-After times are spread, as a share of the maximum in the settings.
const RETRY_AFTER_SPREAD: f64 = 0.5;
/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The limit on queries and parts in flight.
#[derive(Debug)]
pub(super) struct Admission {
    /// Current maximum number of queries and parts in flight.
    limit: usize,
    /// Upper bound of `limit`, from the settings.
    max_limit: usize,
    /// Longest Retry-After time, ns; 0 if the settings disable Retry-After.
    max_retry_after: Nanos,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Admission {
        let max_limit = settings.max_in_flight as usize;
        let max_retry_after = if settings.may_send_retry_after { settings.max_retry_after } else { 0 };
        Admission { limit: max_limit, max_limit, max_retry_after }
    }

    /// Sets the current limit, capped at the limit of the settings.
    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit.min(self.max_limit);
    }

    /// Whether `added` queries and parts fit in the limit on top of the `in_flight` ones.
    pub(super) fn admits(&self, in_flight: usize, added: usize) -> bool {
        in_flight + added <= self.limit
    }

    /// Caps a Retry-After time of the policy at the maximum in the settings.
    pub(super) fn cap_retry_after(&self, retry_after: Nanos) -> Nanos {
        retry_after.min(self.max_retry_after)
    }

    /// The rejection of a query for lack of capacity. The Retry-After time is spread by a hash of `id`, so
    /// that clients rejected at the same time do not retry at the same time.
    pub(super) fn overloaded(&self, id: u64) -> Overloaded {
        let spread = (id.wrapping_mul(HASH_MULTIPLIER) >> 32) as f64 / f64::from(u32::MAX);
        let share = MIN_RETRY_AFTER_SHARE + RETRY_AFTER_SPREAD * spread;
        Overloaded { retry_after: (self.max_retry_after as f64 * share) as Nanos }
    }
}
