//! The process's clock. Only this module reads the system's clocks.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Seconds added to this process's clocks, for tests that check that no decision depends on the wall clock.
static OFFSET_SECONDS: OnceLock<i64> = OnceLock::new();

/// Offsets all clocks started after this call by `seconds`. Only the first call has an effect.
pub fn set_offset(seconds: i64) {
    let _ = OFFSET_SECONDS.set(seconds);
}

/// A monotonic clock in nanoseconds since the Unix epoch. It reads the wall clock once, when it is started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: u64,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { base: wall_clock(), start: Instant::now() }
    }

    /// How far the system's wall clock is ahead of this clock, ns: about 0 unless the wall clock was stepped.
    pub fn wall_clock_lead(&self) -> i64 {
        wall_clock().wrapping_sub(self.now()) as i64
    }

    /// The current time, nanoseconds since the Unix epoch.
    pub fn now(&self) -> u64 {
        self.base + self.start.elapsed().as_nanos() as u64
    }
}

/// The system's wall clock, nanoseconds since the Unix epoch.
fn wall_clock() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let offset = OFFSET_SECONDS.get().copied().unwrap_or(0).saturating_mul(1_000_000_000);
    (unix.as_nanos() as u64).saturating_add_signed(offset)
}
