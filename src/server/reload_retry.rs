//! Schedules further reads of a file that could not be used when SIGHUP requested a reload.
//!
//! The file may have been partly written, or the system may have failed temporarily. No further signal may
//! follow, so a failed read is repeated until it succeeds.

use crate::api::Nanos;

/// Time from a failed read to the next one, ns.
const RETRY_DELAY: Nanos = 500_000_000;

#[derive(Debug)]
struct Failure {
    /// The error that was last reported.
    error: String,
    retry_at: Nanos,
}

/// The last read of a file, if it failed.
#[derive(Debug, Default)]
pub struct ReloadRetry(Option<Failure>);

impl ReloadRetry {
    /// Records that the file could not be used. Returns whether the error is to be logged, which is so if it
    /// differs from the previous one.
    pub fn on_failure(&mut self, error: &str, now: Nanos) -> bool {
        let is_new = self.0.as_ref().is_none_or(|last| last.error != error);
        self.0 = Some(Failure { error: error.to_owned(), retry_at: now + RETRY_DELAY });
        is_new
    }

    /// Cancels the retry: the file was used, or is being read for another reason.
    pub fn clear(&mut self) {
        self.0 = None;
    }

    /// Whether the file is to be read again.
    #[must_use]
    pub fn is_due(&self, now: Nanos) -> bool {
        self.next_deadline().is_some_and(|at| at <= now)
    }

    /// When the file is to be read again, if the last read failed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.0.as_ref().map(|last| last.retry_at)
    }
}
