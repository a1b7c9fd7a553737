//! The one place where the system's clocks are read.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

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
        Clock { base: unix.as_nanos() as u64, start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> u64 {
        self.base + self.start.elapsed().as_nanos() as u64
    }
}
