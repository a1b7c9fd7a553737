//! Stamps: who said something, as the how-manieth thing. Sets of them, kept as ranges.
//!
//! Clocks have no say in what came before what. A stamp's origin is one process of a broker, drawn anew at each start:
//! a disk that was set back, a copied directory or two processes under one name can't use a stamp twice.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// One process of a broker. Drawn at random at its start, never used again.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(transparent)]
pub struct Origin(pub u64);

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The stamp of one word: the `seq`-th that its origin said, from 1.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Dot {
    /// Who said it.
    pub origin: Origin,
    /// Its number there.
    #[serde(rename = "seq")]
    pub sequence: u64,
}

impl fmt::Display for Dot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.origin, self.sequence)
    }
}

/// A set of numbers as ranges that neither touch nor overlap, the lowest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
#[serde(try_from = "Vec<(u64, u64)>", into = "Vec<(u64, u64)>")]
pub struct Ranges(Vec<(u64, u64)>);

impl From<Ranges> for Vec<(u64, u64)> {
    fn from(r: Ranges) -> Self {
        r.0
    }
}

impl TryFrom<Vec<(u64, u64)>> for Ranges {
    type Error = &'static str;

    /// Guards every later look-up against ranges that a peer made up: out of order, touching, empty.
    fn try_from(ranges: Vec<(u64, u64)>) -> Result<Self, Self::Error> {
        let sound = ranges.iter().all(|(a, b)| 0 < *a && a <= b && *b < u64::MAX)
            && ranges.windows(2).all(|w| w[0].1 + 1 < w[1].0);
        if sound { Ok(Ranges(ranges)) } else { Err("ranges that are out of order") }
    }
}

impl Ranges {
    /// Whether the number is in it.
    pub fn contains(&self, n: u64) -> bool {
        let at = self.0.partition_point(|(_, end)| *end < n);
        self.0.get(at).is_some_and(|(start, _)| *start <= n)
    }

    /// Adds all numbers from `start` to `end`. True if any is new.
    pub fn insert_range(&mut self, start: u64, end: u64) -> bool {
        let from = self.0.partition_point(|(_, e)| e.saturating_add(1) < start);
        let to = self.0.partition_point(|(s, _)| *s <= end.saturating_add(1));
        if let [(s, e)] = self.0[from..to]
            && s <= start
            && end <= e
        {
            return false;
        }
        let low = self.0[from..to].first().map_or(start, |r| r.0.min(start));
        let high = self.0[from..to].last().map_or(end, |r| r.1.max(end));
        self.0.splice(from..to, [(low, high)]);
        true
    }

    /// Adds all of another set. True if anything is new.
    pub fn union(&mut self, other: &Ranges) -> bool {
        other.0.iter().fold(false, |new, (a, b)| self.insert_range(*a, *b) | new)
    }

    /// Takes all of another set out.
    pub fn subtract(&mut self, other: &Ranges) {
        for (start, end) in &other.0 {
            let from = self.0.partition_point(|(_, e)| e < start);
            let to = self.0.partition_point(|(s, _)| s <= end);
            let mut left = Vec::new();
            for (s, e) in &self.0[from..to] {
                if s < start {
                    left.push((*s, start - 1));
                }
                if e > end {
                    left.push((end + 1, *e));
                }
            }
            self.0.splice(from..to, left);
        }
    }

    /// The ranges.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.0.iter().copied()
    }

    /// The same in sets of at most so many ranges each, one at least.
    pub fn split(&self, most: usize) -> Vec<Ranges> {
        let pieces: Vec<Ranges> = self.0.chunks(most.max(1)).map(|c| Ranges(c.to_vec())).collect();
        if pieces.is_empty() { vec![Ranges::default()] } else { pieces }
    }

    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A set of stamps.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
#[serde(transparent)]
pub struct VersionVector(BTreeMap<Origin, Ranges>);

impl VersionVector {
    /// Whether the stamp is in it.
    pub fn contains(&self, dot: Dot) -> bool {
        self.0.get(&dot.origin).is_some_and(|r| r.contains(dot.sequence))
    }

    /// Adds one stamp.
    pub fn insert(&mut self, dot: Dot) {
        self.0.entry(dot.origin).or_default().insert_range(dot.sequence, dot.sequence);
    }

    /// Adds stamps of one origin. True if any is new.
    pub fn insert_ranges(&mut self, origin: Origin, ranges: &Ranges) -> bool {
        !ranges.is_empty() && self.0.entry(origin).or_default().union(ranges)
    }

    /// Adds all of another set.
    pub fn union(&mut self, other: &VersionVector) {
        for (origin, ranges) in &other.0 {
            self.insert_ranges(*origin, ranges);
        }
    }

    /// Takes all of another set out.
    pub fn subtract(&mut self, other: &VersionVector) {
        self.0.retain(|origin, ranges| {
            if let Some(out) = other.0.get(origin) {
                ranges.subtract(out);
            }
            !ranges.is_empty()
        });
    }

    /// What is known of one origin.
    pub fn ranges_of(&self, origin: Origin) -> Option<&Ranges> {
        self.0.get(&origin)
    }

    /// All of it, by origin.
    pub fn iter(&self) -> impl Iterator<Item = (Origin, &Ranges)> {
        self.0.iter().map(|(o, r)| (*o, r))
    }

    /// Number of origins.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;
    use std::collections::BTreeSet;

    quickcheck! {
        fn ranges_are_a_set_of_numbers(a: Vec<(u8, u8)>, b: Vec<(u8, u8)>) -> bool {
            let build = |all: &[(u8, u8)]| {
                let (mut r, mut set) = (Ranges::default(), BTreeSet::new());
                for (start, len) in all {
                    let (start, end) = (u64::from(*start) + 1, u64::from(*start) + 1 + u64::from(*len % 5));
                    let new = (start..=end).fold(false, |new, n| set.insert(n) | new);
                    assert_eq!(r.insert_range(start, end), new);
                }
                (r, set)
            };
            let same = |r: &Ranges, set: &BTreeSet<u64>| {
                let sound = Ranges::try_from(r.0.clone()).is_ok();
                sound && (0..300).all(|n| r.contains(n) == set.contains(&n))
            };
            let ((mut x, mut xs), (y, ys)) = (build(&a), build(&b));
            let both = { let mut u = x.clone(); u.union(&y); same(&u, &(&xs | &ys)) };
            x.subtract(&y);
            xs.retain(|n| !ys.contains(n));
            both && same(&x, &xs)
        }
    }

    #[test]
    fn made_up_ranges_are_refused() {
        for bad in
            [vec![(0, 3)], vec![(5, 4)], vec![(1, 2), (3, 4)], vec![(7, 9), (1, 2)], vec![(1, u64::MAX)]]
        {
            assert!(Ranges::try_from(bad).is_err());
        }
    }
}
