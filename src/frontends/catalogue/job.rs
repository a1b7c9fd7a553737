//! One request of a client's that is being worked on: which query is out for it, and what comes next.

use super::diagnostic::Diagnostic;
use super::plan::{self, HitCounts, PartValue, RecordRange, SearchPayload};
use super::search::Search;
use super::sru::Item;
use crate::api::Nanos;
use crate::engine::{Answer, QueryRequest};
use std::rc::Rc;

/// A search as it is put to the nodes, again and again if need be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedSearch {
    /// The search.
    pub search: Rc<Search>,
    /// Its class.
    pub class: usize,
    /// Its composition key.
    pub key: Option<u64>,
    /// The partitions it is put to.
    pub partitions: Vec<u32>,
}

/// What a job came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchResult {
    /// Hits in each partition.
    pub counts: HitCounts,
    /// The records that were asked for.
    pub items: Vec<Item>,
}

/// What is to be done after an answer.
#[derive(Debug)]
pub enum NextStep {
    /// There is a further query to be put to the exchange.
    SendQuery,
    /// The job is done.
    Done(SearchResult),
    /// No replica can answer this search.
    Refused(Diagnostic),
}

#[derive(Debug)]
enum Step {
    /// Each partition tells its hits and, where the first records are wanted, brings them.
    Count { start: u64, count: u64 },
    /// The records are fetched from where they lie.
    Fetch { counts: HitCounts },
}

/// A job.
#[derive(Debug)]
pub struct Job {
    shape: PlannedSearch,
    step: Step,
    ranges: Vec<RecordRange>,
    /// When the client gives up.
    pub end: Nanos,
}

impl Job {
    /// A search whose records from `start` on are wanted, `count` of them at most.
    pub fn search(shape: PlannedSearch, start: u64, count: u64, end: Nanos) -> Job {
        // Where the wanted records lie is not known before all have told their hits, unless they are the first.
        let first = if start == 1 { count } else { 0 };
        let run = |partition: &u32| RecordRange { partition: *partition, start: 1, count: first };
        let ranges = shape.partitions.iter().map(run).collect();
        Job { shape, step: Step::Count { start, count }, ranges, end }
    }

    /// Records of a search whose hits are known.
    pub fn fetch(shape: PlannedSearch, counts: HitCounts, start: u64, count: u64, end: Nanos) -> Job {
        let ranges = counts.locate(start, count);
        Job { shape, step: Step::Fetch { counts }, ranges, end }
    }

    /// The search behind it.
    pub fn planned_search(&self) -> &PlannedSearch {
        &self.shape
    }

    /// The query that is to be put to the exchange now.
    pub fn query_request(&self, now: Nanos) -> QueryRequest<SearchPayload> {
        let left = self.end.saturating_sub(now);
        plan::query_request(&self.shape.search, self.ranges.clone(), self.shape.class, self.shape.key, left)
    }

    /// Takes in the answer to that query.
    pub fn on_answer(&mut self, answered: Answer<PartValue>) -> NextStep {
        let (counts, items) = match plan::merge(&self.ranges, answered) {
            Ok(merged) => merged,
            Err(d) => return NextStep::Refused(d),
        };
        match &self.step {
            Step::Count { start, count } => {
                let (start, count) = (*start, *count);
                let ranges = counts.locate(start, count);
                if start == 1 || ranges.is_empty() {
                    let items = plan::fill_gaps(&ranges, items);
                    return NextStep::Done(SearchResult { counts, items });
                }
                self.ranges = ranges;
                self.step = Step::Fetch { counts };
                NextStep::SendQuery
            }
            Step::Fetch { counts } => {
                let items = plan::fill_gaps(&self.ranges, items);
                NextStep::Done(SearchResult { counts: counts.clone(), items })
            }
        }
    }
}
