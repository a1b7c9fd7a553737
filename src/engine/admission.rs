//! Admission of queries, and the Retry-After times of those that are not admitted.

use super::messages::Overloaded;
use crate::api::{Nanos, Settings};

/// Shortest Retry-After time of an overloaded broker, as a share of the longest that the settings allow.
const MIN_RETRY_AFTER_SHARE: f64 = 0.25;
/// The range over which Retry-After times are spread, as a share of the same.
const RETRY_AFTER_SPREAD: f64 = 0.5;
/// Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The limit on queries and parts in flight.
#[derive(Debug)]
pub(super) struct Admission {
    /// Most queries and parts in flight, now.
    limit: usize,
    /// The limit of the settings, which `limit` is never above.
    max_limit: usize,
    /// Longest Retry-After time; 0 where the settings allow none.
    max_retry_after: Nanos,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Admission {
        let max_limit = settings.max_in_flight as usize;
        let max_retry_after = if settings.may_send_retry_after { settings.max_retry_after } else { 0 };
        Admission { limit: max_limit, max_limit, max_retry_after }
    }

    /// Lowers the limit, or raises it again up to that of the settings.
    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit.min(self.max_limit);
    }

    /// Whether so many queries and parts may be added to those in flight.
    pub(super) fn admits(&self, in_flight: usize, added: usize) -> bool {
        in_flight + added <= self.limit
    }

    /// A Retry-After time of the policy, within the settings.
    pub(super) fn cap_retry_after(&self, retry_after: Nanos) -> Nanos {
        retry_after.min(self.max_retry_after)
    }

    /// The rejection for one more query. The Retry-After time is spread by `id`, so that clients that were
    /// rejected together do not retry together.
    pub(super) fn overloaded(&self, id: u64) -> Overloaded {
        let spread = (id.wrapping_mul(HASH_MULTIPLIER) >> 32) as f64 / f64::from(u32::MAX);
        let share = MIN_RETRY_AFTER_SHARE + RETRY_AFTER_SPREAD * spread;
        Overloaded { retry_after: (self.max_retry_after as f64 * share) as Nanos }
    }
}
