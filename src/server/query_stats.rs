//! The periodic log line that summarizes how queries ended.

use crate::api::Nanos;
use crate::engine::QueryOutcome;

/// Time between two lines that tell how queries ended.
const TALLY: Nanos = 60_000_000_000;

/// How queries ended since the last such line.
#[derive(Default)]
pub(super) struct QueryStats {
    told: Nanos,
    whole: u64,
    partial: u64,
    refused: u64,
    failed: u64,
}

impl QueryStats {
    /// No queries so far; the first line comes an interval after `now` at the earliest.
    pub(super) fn new(now: Nanos) -> QueryStats {
        QueryStats { told: now, ..QueryStats::default() }
    }

    pub(super) fn count<V>(&mut self, answer: &QueryOutcome<V>) {
        match answer {
            QueryOutcome::Answered(a) if a.complete => self.whole += 1,
            QueryOutcome::Answered(_) => self.partial += 1,
            QueryOutcome::Rejected { .. } => self.refused += 1,
            QueryOutcome::Failed => self.failed += 1,
        }
    }

    pub(super) fn tell(&mut self, now: Nanos, open: usize, out: usize) {
        let QueryStats { told, whole, partial, refused, failed } = *self;
        if now >= told + TALLY && whole + partial + refused + failed > 0 {
            tracing::info!(
                "queries: {whole} whole, {partial} partial, {refused} refused, {failed} failed; \
                 {open} open with {out} attempts out"
            );
            *self = QueryStats::new(now);
        }
    }
}
