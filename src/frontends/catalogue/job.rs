//! One request of a client's that is being worked on: which query is out for it, and what comes next.

use super::diagnostic::Diagnostic;
use super::plan::{self, Counts, PartValue, Run, Sought};
use super::search::Search;
use super::sru::Item;
use crate::api::Nanos;
use crate::engine::{Answer, QueryRequest};
use std::rc::Rc;

/// A search as it is put to the nodes, again and again if need be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shape {
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
pub struct Outcome {
    /// Hits in each partition.
    pub counts: Counts,
    /// The records that were asked for.
    pub items: Vec<Item>,
}

/// What is to be done after an answer.
#[derive(Debug)]
pub enum Next {
    /// There is a further query to be put to the exchange.
    Ask,
    /// The job is done.
    Done(Outcome),
    /// No replica can answer this search.
    Refused(Diagnostic),
}

#[derive(Debug)]
enum Step {
    /// Each partition tells its hits and, where the first records are wanted, brings them.
    Count { start: u64, count: u64 },
    /// The records are fetched from where they lie.
    Fetch { counts: Counts },
}

/// A job.
#[derive(Debug)]
pub struct Job {
    shape: Shape,
    step: Step,
    runs: Vec<Run>,
    /// When the client gives up.
    pub end: Nanos,
}

impl Job {
    /// A search whose records from `start` on are wanted, `count` of them at most.
    pub fn search(shape: Shape, start: u64, count: u64, end: Nanos) -> Job {
        // Where the wanted records lie is not known before all have told their hits, unless they are the first.
        let first = if start == 1 { count } else { 0 };
        let run = |partition: &u32| Run { partition: *partition, start: 1, count: first };
        let runs = shape.partitions.iter().map(run).collect();
        Job { shape, step: Step::Count { start, count }, runs, end }
    }

    /// Records of a search whose hits are known.
    pub fn fetch(shape: Shape, counts: Counts, start: u64, count: u64, end: Nanos) -> Job {
        let runs = counts.locate(start, count);
        Job { shape, step: Step::Fetch { counts }, runs, end }
    }

    /// The search behind it.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The query that is to be put to the exchange now.
    pub fn ask(&self, now: Nanos) -> QueryRequest<Sought> {
        let left = self.end.saturating_sub(now);
        plan::ask(&self.shape.search, self.runs.clone(), self.shape.class, self.shape.key, left)
    }

    /// Takes in the answer to that query.
    pub fn answered(&mut self, answered: Answer<PartValue>) -> Next {
        let (counts, items) = match plan::merge(&self.runs, answered) {
            Ok(merged) => merged,
            Err(d) => return Next::Refused(d),
        };
        match &self.step {
            Step::Count { start, count } => {
                let (start, count) = (*start, *count);
                let runs = counts.locate(start, count);
                if start == 1 || runs.is_empty() {
                    let items = plan::fill(&runs, items);
                    return Next::Done(Outcome { counts, items });
                }
                self.runs = runs;
                self.step = Step::Fetch { counts };
                Next::Ask
            }
            Step::Fetch { counts } => {
                let items = plan::fill(&self.runs, items);
                Next::Done(Outcome { counts: counts.clone(), items })
            }
        }
    }
}
