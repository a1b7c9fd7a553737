//! Splits a client's search into parts, one for each partition, and merges the parts' values into one list of
//! records. Record positions run through the partitions in order: all hits of the first partition, then those
//! of the next.

use super::diagnostic::{Condition, Diagnostic};
use super::search::Search;
use super::sru::Item;
use crate::api::Nanos;
use crate::engine::{Answer, PartRequest, QueryRequest};
use std::rc::Rc;

/// A range of consecutive records of one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordRange {
    /// The partition.
    pub partition: u32,
    /// Its first record, from 1.
    pub start: u64,
    /// The number of records; 0 requests only the number of hits.
    pub count: u64,
}

/// The payload of a query: the search, and the range of records that each part returns. Any replica can
/// serve such a part, since it depends on no earlier request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SearchPayload {
    /// The search.
    pub search: Rc<Search>,
    /// One range for each part.
    pub ranges: Vec<RecordRange>,
}

/// The result of one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionResult {
    /// The number of hits.
    pub total: u64,
    /// The requested range, or as much of it as exists.
    pub items: Vec<Item>,
}

/// The value of a part: the partition's result, or the reason why no replica can answer this search.
pub type PartValue = Result<PartitionResult, Diagnostic>;

/// The records that each partition returned.
pub type PartitionItems = Vec<(u32, Vec<Item>)>;

/// The number of hits in each partition; none for a partition that did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HitCounts(pub Vec<(u32, Option<u64>)>);

impl HitCounts {
    /// The sum of the known hits.
    pub fn total(&self) -> u64 {
        self.0.iter().filter_map(|(_, n)| *n).fold(0, u64::saturating_add)
    }

    /// The number of partitions that did not answer.
    pub fn missing(&self) -> usize {
        self.0.iter().filter(|(_, n)| n.is_none()).count()
    }

    /// The ranges that hold the records from position `start` on, `count` of them at most.
    pub fn locate(&self, start: u64, count: u64) -> Vec<RecordRange> {
        let (mut before, mut left, mut out) = (0u64, count, Vec::new());
        for (partition, n) in &self.0 {
            let n = n.unwrap_or(0);
            let first = start.max(before + 1) - before;
            if left > 0 && first <= n {
                let count = left.min(n - first + 1);
                out.push(RecordRange { partition: *partition, start: first, count });
                left -= count;
            }
            before = before.saturating_add(n);
        }
        out
    }

    /// The diagnostic of a partial result: some partitions did not answer.
    pub fn diagnostic(&self) -> Option<Diagnostic> {
        let missing = self.missing();
        let details = format!("{} of {} partitions answered", self.0.len() - missing, self.0.len());
        (missing > 0).then(|| Diagnostic::new(Condition::PartialResult, details))
    }
}

/// The partitions that a search is sent to: all, or the `per_key` partitions of its key.
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

/// Hash of a composition key: 64-bit FNV-1a over its bytes, without leading and trailing whitespace.
pub fn key_hash(key: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    key.trim().bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// The query that requests some ranges, one part for each.
pub fn query_request(
    search: &Rc<Search>,
    ranges: Vec<RecordRange>,
    class: usize,
    key: Option<u64>,
    time_left: Nanos,
) -> QueryRequest<SearchPayload> {
    let weight = 1.0 / ranges.len().max(1) as f64;
    let parts = ranges.iter().map(|r| PartRequest { shard: r.partition, weight, work: None }).collect();
    let payload = Rc::new(SearchPayload { search: search.clone(), ranges });
    QueryRequest { class, tenant: None, key, time_left, is_retry: false, parts, payload }
}

/// Splits an answer into the hit counts of the requested partitions and the records of each, in the order of
/// the request. If one partition can't answer the search, its diagnostic is the result of the whole query.
pub fn merge(
    requested: &[RecordRange],
    answer: Answer<PartValue>,
) -> Result<(HitCounts, PartitionItems), Diagnostic> {
    let mut results = Vec::with_capacity(answer.values.len());
    for v in answer.values {
        results.push((v.shard, v.value?));
    }
    let total = |p: u32| results.iter().find(|(s, _)| *s == p).map(|(_, f)| f.total);
    let counts = HitCounts(requested.iter().map(|r| (r.partition, total(r.partition))).collect());
    let mut items: PartitionItems = results.into_iter().map(|(s, f)| (s, f.items)).collect();
    items.sort_by_key(|(s, _)| requested.iter().position(|r| r.partition == *s));
    Ok((counts, items))
}

/// The records of some ranges, in order. A diagnostic takes the place of each record that a partition did not
/// return, so that all other records keep their positions.
pub fn fill_gaps(ranges: &[RecordRange], mut items: PartitionItems) -> Vec<Item> {
    let mut out = Vec::new();
    for range in ranges {
        let returned = items.iter_mut().find(|(p, _)| *p == range.partition);
        let mut returned = returned.map(|(_, i)| std::mem::take(i)).unwrap_or_default();
        returned.truncate(range.count as usize);
        let missing = range.count as usize - returned.len();
        out.append(&mut returned);
        let why = || Diagnostic::new(Condition::RecordUnavailable, format!("partition {}", range.partition));
        out.extend((0..missing).map(|_| Item::Diagnostic(why())));
    }
    out
}
