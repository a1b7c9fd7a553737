//! The periodic log line that summarizes how queries ended.

use crate::api::Nanos;
use crate::engine::QueryOutcome;

/// Minimum time between two log lines, nanoseconds.
const LOG_INTERVAL: Nanos = 60_000_000_000;

/// Results of queries since the last log line.
#[derive(Debug, Default)]
pub(super) struct QueryStats {
    last_log: Nanos,
    complete: u64,
    partial: u64,
    rejected: u64,
    failed: u64,
}

impl QueryStats {
    /// Empty statistics; the first line is logged no earlier than one interval after `now`.
    pub(super) fn new(now: Nanos) -> QueryStats {
        QueryStats { last_log: now, ..QueryStats::default() }
    }

    /// Counts the outcome of a query.
    pub(super) fn record<V>(&mut self, outcome: &QueryOutcome<V>) {
        match outcome {
            QueryOutcome::Answered(a) if a.complete => self.complete += 1,
            QueryOutcome::Answered(_) => self.partial += 1,
            QueryOutcome::Rejected { .. } => self.rejected += 1,
            QueryOutcome::Failed => self.failed += 1,
        }
    }

    /// Logs and resets the counts, if an interval has passed and a query has ended since the last line. The
    /// numbers of `open` queries and `attempts_in_flight` are the current ones.
    pub(super) fn log_if_due(&mut self, now: Nanos, open: usize, attempts_in_flight: usize) {
        let QueryStats { last_log, complete, partial, rejected, failed } = *self;
        if now >= last_log + LOG_INTERVAL && complete + partial + rejected + failed > 0 {
            tracing::info!(complete, partial, rejected, failed, open, attempts_in_flight, "query statistics");
            *self = QueryStats::new(now);
        }
    }
}
