//! From a client's search to parts, and from the parts' values to one list of records. Partitions come one
//! after the other: record positions count through the first partition, then the next.

use super::diagnostic::{Condition, Diagnostic};
use super::search::Search;
use super::sru::Item;
use crate::api::Nanos;
use crate::engine::{Answer, PartRequest, QueryRequest};
use std::rc::Rc;

/// A run of records of one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The partition.
    pub partition: u32,
    /// Its first record, from 1.
    pub start: u64,
    /// How many; 0: only the count of hits is wanted.
    pub count: u64,
}

/// What a query carries: the search, and the run of records that each part is to bring. Any replica can
/// serve such a part, since it leans on nothing that was asked before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sought {
    /// The search.
    pub search: Rc<Search>,
    /// A run for each part.
    pub runs: Vec<Run>,
}

/// What one partition gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// Its hits.
    pub total: u64,
    /// The run that was asked for, or as much of it as there is.
    pub items: Vec<Item>,
}

/// The value of a part: what was found, or why this search can't be answered by any replica.
pub type PartValue = Result<Found, Diagnostic>;

/// The records that each partition brought.
pub type Brought = Vec<(u32, Vec<Item>)>;

/// How many hits each partition has; none where a partition did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts(pub Vec<(u32, Option<u64>)>);

impl Counts {
    /// All hits that are known.
    pub fn total(&self) -> u64 {
        self.0.iter().filter_map(|(_, n)| *n).fold(0, u64::saturating_add)
    }

    /// Partitions that did not answer.
    pub fn missing(&self) -> usize {
        self.0.iter().filter(|(_, n)| n.is_none()).count()
    }

    /// Where the records from position `start` on lie, `count` of them at most.
    pub fn locate(&self, start: u64, count: u64) -> Vec<Run> {
        let (mut before, mut left, mut out) = (0u64, count, Vec::new());
        for (partition, n) in &self.0 {
            let n = n.unwrap_or(0);
            let first = start.max(before + 1) - before;
            if left > 0 && first <= n {
                let count = left.min(n - first + 1);
                out.push(Run { partition: *partition, start: first, count });
                left -= count;
            }
            before = before.saturating_add(n);
        }
        out
    }

    /// What is to be said of a result that not all partitions gave.
    pub fn diagnostic(&self) -> Option<Diagnostic> {
        let missing = self.missing();
        let details = format!("{} of {} partitions answered", self.0.len() - missing, self.0.len());
        (missing > 0).then(|| Diagnostic::new(Condition::PartialResult, details))
    }
}

/// The partitions that a search must be put to.
pub fn partitions(count: u32, per_key: u32, key: Option<u64>) -> Vec<u32> {
    match key {
        None => (0..count).collect(),
        Some(key) => {
            let first = (key % u64::from(count)) as u32;
            let mut out: Vec<u32> = (0..per_key.min(count)).map(|j| (first + j) % count).collect();
            out.sort_unstable();
            out
        }
    }
}

/// A composition key as a number: FNV-1a with 64 bits over its bytes, without blanks at the ends.
pub fn key_number(key: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    key.trim().bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The query for some runs.
pub fn ask(
    search: &Rc<Search>,
    runs: Vec<Run>,
    class: usize,
    key: Option<u64>,
    time_left: Nanos,
) -> QueryRequest<Sought> {
    let weight = 1.0 / runs.len().max(1) as f64;
    let parts = runs.iter().map(|r| PartRequest { shard: r.partition, weight, work: None }).collect();
    let payload = Rc::new(Sought { search: search.clone(), runs });
    QueryRequest { class, tenant: None, key, time_left, is_retry: false, parts, payload }
}

/// Takes an answer apart: the counts of all partitions asked, and what each brought, in partition order.
/// A partition that can't answer the search speaks for all.
pub fn merge(asked: &[Run], answered: Answer<PartValue>) -> Result<(Counts, Brought), Diagnostic> {
    let mut found = Vec::with_capacity(answered.values.len());
    for v in answered.values {
        found.push((v.shard, v.value?));
    }
    let total = |p: u32| found.iter().find(|(s, _)| *s == p).map(|(_, f)| f.total);
    let counts = Counts(asked.iter().map(|r| (r.partition, total(r.partition))).collect());
    let mut items: Brought = found.into_iter().map(|(s, f)| (s, f.items)).collect();
    items.sort_by_key(|(s, _)| asked.iter().position(|r| r.partition == *s));
    Ok((counts, items))
}

/// The records of some runs, in order. What a partition did not bring stays open by a diagnostic in its
/// place, so that each record keeps its position.
pub fn fill(runs: &[Run], mut items: Brought) -> Vec<Item> {
    let mut out = Vec::new();
    for run in runs {
        let there = items.iter_mut().find(|(p, _)| *p == run.partition);
        let mut there = there.map(|(_, i)| std::mem::take(i)).unwrap_or_default();
        there.truncate(run.count as usize);
        let open = run.count as usize - there.len();
        out.append(&mut there);
        let why = || Diagnostic::new(Condition::RecordUnavailable, format!("partition {}", run.partition));
        out.extend((0..open).map(|_| Item::Diagnostic(why())));
    }
    out
}
