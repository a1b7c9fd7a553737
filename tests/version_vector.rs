//! Sets of sequence numbers, stored as ranges.

use pebbleturn::replication::Ranges;
use quickcheck::quickcheck;
use std::collections::BTreeSet;

/// Builds the ranges and the set of the same numbers; each insertion must report whether any number
/// was new.
fn build(pairs: &[(u8, u8)]) -> (Ranges, BTreeSet<u64>) {
    let (mut ranges, mut set) = (Ranges::default(), BTreeSet::new());
    for (start, length) in pairs {
        let (start, end) = (u64::from(*start) + 1, u64::from(*start) + 1 + u64::from(*length % 5));
        let new = (start..=end).fold(false, |new, n| set.insert(n) | new);
        assert_eq!(ranges.insert_range(start, end), new);
    }
    (ranges, set)
}

fn is_same(ranges: &Ranges, set: &BTreeSet<u64>) -> bool {
    let valid = Ranges::try_from(Vec::from(ranges.clone())).is_ok();
    valid && (0..300).all(|n| ranges.contains(n) == set.contains(&n))
}

quickcheck! {
    fn ranges_behave_like_a_set_of_numbers(a: Vec<(u8, u8)>, b: Vec<(u8, u8)>) -> bool {
        let ((mut x, mut x_set), (y, y_set)) = (build(&a), build(&b));
        let mut union = x.clone();
        union.union(&y);
        let union_is_same = is_same(&union, &(&x_set | &y_set));
        x.subtract(&y);
        x_set.retain(|n| !y_set.contains(n));
        union_is_same && is_same(&x, &x_set)
    }
}

#[test]
fn invalid_ranges_are_rejected() {
    for invalid in
        [vec![(0, 3)], vec![(5, 4)], vec![(1, 2), (3, 4)], vec![(7, 9), (1, 2)], vec![(1, u64::MAX)]]
    {
        assert!(Ranges::try_from(invalid).is_err());
    }
}
