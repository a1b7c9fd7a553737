//! The one place where the system's clocks are read.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Seconds by which this process's clocks are off on purpose: how tests show that clocks decide nothing.
static OFFSET_SECONDS: OnceLock<i64> = OnceLock::new();

/// Sets all clocks that start from now on off by so many seconds; the first word holds.
pub fn set_offset(seconds: i64) {
    let _ = OFFSET_SECONDS.set(seconds);
}

/// Nanoseconds that never run backwards, counted from the Unix epoch as it was read at the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: u64,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let offset = OFFSET_SECONDS.get().copied().unwrap_or(0).saturating_mul(1_000_000_000);
        Clock { base: (unix.as_nanos() as u64).saturating_add_signed(offset), start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> u64 {
        self.base + self.start.elapsed().as_nanos() as u64
    }
}
