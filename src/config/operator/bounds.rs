//! Units and bounds that several sections share.

use crate::api::Nanos;

/// Nanoseconds of a millisecond.
pub(super) const MILLISECOND: Nanos = 1_000_000;
/// Milliseconds of a day: no time may be longer, since times are added up.
pub(super) const DAY_MS: u64 = 86_400_000;
/// Seconds of ten years.
pub(super) const TEN_YEARS_S: u64 = 3650 * 86_400;
/// Most partitions and cells.
pub(super) const MAX_PARTITIONS: u32 = 10_000;

/// The weight of a node or class that has none in the file.
pub(super) fn default_weight() -> f64 {
    1.0
}
