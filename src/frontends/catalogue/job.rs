//! A client request in progress: the query that is sent for it, and the step that follows the answer.

use super::diagnostic::Diagnostic;
use super::plan::{self, HitCounts, PartValue, RecordRange, SearchPayload};
use super::search::Search;
use super::sru::Item;
use crate::api::Nanos;
use crate::engine::{Answer, QueryRequest};
use std::rc::Rc;

/// A search with its class, its composition key and the partitions that it covers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedSearch {
    /// The search.
    pub search: Rc<Search>,
    /// Its class.
    pub class: usize,
    /// Its composition key.
    pub key: Option<u64>,
    /// The partitions it is sent to.
    pub partitions: Vec<u32>,
}

/// The result of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchResult {
    /// The number of hits in each partition.
    pub counts: HitCounts,
    /// The requested records.
    pub items: Vec<Item>,
}

/// The step that follows an answer.
#[derive(Debug)]
pub enum NextStep {
    /// A further query is submitted to the engine.
    SendQuery,
    /// The job is done.
    Done(SearchResult),
    /// No replica can answer this search.
    Refused(Diagnostic),
}

#[derive(Debug)]
enum Step {
    /// Each partition returns its number of hits and, if `start` is 1, its first `count` records.
    Count { start: u64, count: u64 },
    /// The records are fetched from the partitions that hold them.
    Fetch { counts: HitCounts },
}

/// A client request that takes one or two queries.
#[derive(Debug)]
pub struct Job {
    planned_search: PlannedSearch,
    step: Step,
    ranges: Vec<RecordRange>,
    /// When the client stops waiting.
    pub deadline: Nanos,
}

impl Job {
    /// A search that returns the records from `start` on, `count` of them at most.
    pub fn search(planned_search: PlannedSearch, start: u64, count: u64, deadline: Nanos) -> Job {
        // Records that do not start at position 1 can be located only once the hit counts are known.
        let first = if start == 1 { count } else { 0 };
        let range = |partition: &u32| RecordRange { partition: *partition, start: 1, count: first };
        let ranges = planned_search.partitions.iter().map(range).collect();
        Job { planned_search, step: Step::Count { start, count }, ranges, deadline }
    }

    /// Fetches records of a search whose hit counts are known.
    pub fn fetch(
        planned_search: PlannedSearch,
        counts: HitCounts,
        start: u64,
        count: u64,
        deadline: Nanos,
    ) -> Job {
        let ranges = counts.locate(start, count);
        Job { planned_search, step: Step::Fetch { counts }, ranges, deadline }
    }

    /// The search of this job.
    pub fn planned_search(&self) -> &PlannedSearch {
        &self.planned_search
    }

    /// The query to submit to the engine now.
    pub fn query_request(&self, now: Nanos) -> QueryRequest<SearchPayload> {
        let time_left = self.deadline.saturating_sub(now);
        plan::query_request(
            &self.planned_search.search,
            self.ranges.clone(),
            self.planned_search.class,
            self.planned_search.key,
            time_left,
        )
    }

    /// Processes the answer to the current query.
    pub fn on_answer(&mut self, answer: Answer<PartValue>) -> NextStep {
        let (counts, items) = match plan::merge(&self.ranges, answer) {
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
