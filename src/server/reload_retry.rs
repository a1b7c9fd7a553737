//! When a file is read again that could not be used on SIGHUP.
//!
//! It may have been half written, or the system failed for a moment. No other signal need come, so a failed
//! reading is repeated until it succeeds.

use crate::api::Nanos;

/// Time after a failed reading until the next one, ns.
const RETRY_DELAY: Nanos = 500_000_000;

#[derive(Debug)]
struct Failure {
    /// Why, as it was reported last.
    error: String,
    retry_at: Nanos,
}

/// The last reading of a file, if that failed.
#[derive(Debug, Default)]
pub struct ReloadRetry(Option<Failure>);

impl ReloadRetry {
    /// The file could not be used. Returns whether the error is to be logged: it was not the last one too.
    pub fn on_failure(&mut self, error: &str, now: Nanos) -> bool {
        let is_new = self.0.as_ref().is_none_or(|last| last.error != error);
        self.0 = Some(Failure { error: error.to_owned(), retry_at: now + RETRY_DELAY });
        is_new
    }

    /// The file was used, or is being read for another reason.
    pub fn clear(&mut self) {
        self.0 = None;
    }

    /// Whether the file is to be read again.
    #[must_use]
    pub fn is_due(&self, now: Nanos) -> bool {
        self.next_deadline().is_some_and(|at| at <= now)
    }

    /// When the file is to be read again, if the last reading failed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.0.as_ref().map(|last| last.retry_at)
    }
}
