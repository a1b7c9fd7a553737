//! Units and bounds that several sections share.

use crate::api::Nanos;

/// Nanoseconds in a millisecond.
pub(super) const MILLISECOND: Nanos = 1_000_000;
/// Milliseconds in a day. No configured time may be longer, so that sums of times don't overflow.
pub(super) const DAY_MS: u64 = 86_400_000;
/// Seconds in ten years.
pub(super) const TEN_YEARS_S: u64 = 3650 * 86_400;
/// Maximum number of partitions, and of cells.
pub(super) const MAX_PARTITIONS: u32 = 10_000;

/// Weight of a node or class for which the file sets none.
pub(super) fn default_weight() -> f64 {
    1.0
}
