//! Version vectors: sets of dots. A dot identifies an operation by its origin and sequence number.
//!
//! Causality is tracked by dots alone, without clocks. An origin stands for one process of a broker; its
//! number is drawn at random at each start. A restored disk, a copied directory or two processes with the
//! same name therefore don't lead to the reuse of a dot.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// One process of a broker. The number is drawn at random when the process starts, and is not reused.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(transparent)]
pub struct Origin(pub u64);

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one operation.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Dot {
    /// The process that issued the operation.
    pub origin: Origin,
    /// The number of the operation at its origin, from 1.
    #[serde(rename = "seq")]
    pub sequence: u64,
}

impl fmt::Display for Dot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.origin, self.sequence)
    }
}

/// A set of sequence numbers, stored as inclusive ranges in ascending order that neither touch nor overlap.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
#[serde(try_from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct Ranges(Vec<(u64, u64)>);

/// Ranges that are empty, contain 0 or `u64::MAX`, are out of order, or touch each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("ranges must be non-empty, within 1 to 2^64 - 2, ascending, and must not touch")]
pub struct InvalidRanges;

impl From<Ranges> for Vec<(u64, u64)> {
    fn from(ranges: Ranges) -> Self {
        ranges.0
    }
}

impl TryFrom<Vec<(u64, u64)>> for Ranges {
    type Error = InvalidRanges;

    /// Validates ranges that were received from a peer or read from disk: all look-ups rely on their order.
    fn try_from(ranges: Vec<(u64, u64)>) -> Result<Self, Self::Error> {
        let is_range = |(start, end): &(u64, u64)| 0 < *start && start <= end && *end < u64::MAX;
        let is_gap = |pair: &[(u64, u64)]| pair[0].1 + 1 < pair[1].0;
        if ranges.iter().all(is_range) && ranges.windows(2).all(is_gap) {
            Ok(Ranges(ranges))
        } else {
            Err(InvalidRanges)
        }
    }
}

impl Ranges {
    /// Whether the number is in the set.
    pub fn contains(&self, number: u64) -> bool {
        let index = self.0.partition_point(|(_, end)| *end < number);
        self.0.get(index).is_some_and(|(start, _)| *start <= number)
    }

    /// Inserts all numbers from `start` to `end`, both included. Returns whether any of them is new.
    pub fn insert_range(&mut self, start: u64, end: u64) -> bool {
        let from = self.0.partition_point(|(_, e)| e.saturating_add(1) < start);
        let to = self.0.partition_point(|(s, _)| *s <= end.saturating_add(1));
        if let [(s, e)] = self.0[from..to]
            && s <= start
            && end <= e
        {
            return false;
        }
        let low = self.0[from..to].first().map_or(start, |range| range.0.min(start));
        let high = self.0[from..to].last().map_or(end, |range| range.1.max(end));
        self.0.splice(from..to, [(low, high)]);
        true
    }

    /// Inserts all numbers of another set. Returns whether any of them is new.
    pub fn union(&mut self, other: &Ranges) -> bool {
        other.0.iter().fold(false, |new, (start, end)| self.insert_range(*start, *end) | new)
    }

    /// Removes all numbers of another set.
    pub fn subtract(&mut self, other: &Ranges) {
        for (start, end) in &other.0 {
            let from = self.0.partition_point(|(_, e)| e < start);
            let to = self.0.partition_point(|(s, _)| s <= end);
            let mut remaining = Vec::new();
            for (s, e) in &self.0[from..to] {
                if s < start {
                    remaining.push((*s, start - 1));
                }
                if e > end {
                    remaining.push((end + 1, *e));
                }
            }
            self.0.splice(from..to, remaining);
        }
    }

    /// The ranges in ascending order, with both ends included.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.0.iter().copied()
    }

    /// The greatest number of the set.
    pub fn last(&self) -> Option<u64> {
        self.0.last().map(|(_, end)| *end)
    }

    /// Splits the set into sets of at most `max_ranges` ranges, or of one range if that is 0. An empty set
    /// gives one empty set.
    pub fn split(&self, max_ranges: usize) -> Vec<Ranges> {
        if self.is_empty() {
            return vec![Ranges::default()];
        }
        self.0.chunks(max_ranges.max(1)).map(|ranges| Ranges(ranges.to_vec())).collect()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A set of dots.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
#[serde(transparent)]
pub struct VersionVector(BTreeMap<Origin, Ranges>);

impl VersionVector {
    /// Whether the dot is in the set.
    pub fn contains(&self, dot: Dot) -> bool {
        self.0.get(&dot.origin).is_some_and(|ranges| ranges.contains(dot.sequence))
    }

    /// Inserts one dot.
    pub fn insert(&mut self, dot: Dot) {
        self.0.entry(dot.origin).or_default().insert_range(dot.sequence, dot.sequence);
    }

    /// Inserts dots of one origin. Returns whether any of them is new.
    pub fn insert_ranges(&mut self, origin: Origin, ranges: &Ranges) -> bool {
        !ranges.is_empty() && self.0.entry(origin).or_default().union(ranges)
    }

    /// Inserts all dots of another set.
    pub fn union(&mut self, other: &VersionVector) {
        for (origin, ranges) in &other.0 {
            self.insert_ranges(*origin, ranges);
        }
    }

    /// Removes all dots of another set.
    pub fn subtract(&mut self, other: &VersionVector) {
        self.0.retain(|origin, ranges| {
            if let Some(removed) = other.0.get(origin) {
                ranges.subtract(removed);
            }
            !ranges.is_empty()
        });
    }

    /// The sequence numbers of one origin, if it has any.
    pub fn ranges_of(&self, origin: Origin) -> Option<&Ranges> {
        self.0.get(&origin)
    }

    /// All origins in ascending order, with their sequence numbers.
    pub fn iter(&self) -> impl Iterator<Item = (Origin, &Ranges)> {
        self.0.iter().map(|(origin, ranges)| (*origin, ranges))
    }

    /// The number of origins.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<Dot> for VersionVector {
    fn from_iter<I: IntoIterator<Item = Dot>>(dots: I) -> VersionVector {
        let mut vector = VersionVector::default();
        dots.into_iter().for_each(|dot| vector.insert(dot));
        vector
    }
}
