//! Which nodes get work, given how far each is trusted.
//!
//! A node whose place is as good as confirmed always does. Of the others, each partition starts with as many
//! holders as their trust allows; one more is let in each step, so that all are tried in the end. A node that
//! failed while unconfirmed stays out, unless a partition has nobody else.

use super::staleness;

/// How the partitions lie: partition p is held by the nodes of cells p, p + 1, ... modulo `cells`, `span` of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionLayout {
    /// Number of cells.
    pub cells: u32,
    /// Cells that hold a partition.
    pub span: u32,
}

impl PartitionLayout {
    /// The groups of partitions that a cell holds; partitions whose numbers are the same modulo `cells` have the
    /// same holders and make one group.
    pub(crate) fn groups(self, cell: u32) -> impl Iterator<Item = usize> {
        let cells = self.cells.max(1);
        (0..self.span.min(cells)).map(move |j| ((cell % cells + cells - j) % cells) as usize)
    }
}

/// How a node stands before the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Confirmed, or trusted as if it were.
    Confirmed,
    /// Unconfirmed, and it gets work.
    Admitted,
    /// Unconfirmed, and it has not got any yet.
    Waiting,
    /// Unconfirmed, and it failed not long ago.
    Failed,
}

/// One node that is believed to be ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its cell.
    pub cell: u32,
    /// How far it is trusted.
    pub trust: f64,
    /// How it stands.
    pub admission: Admission,
}

/// Whether each candidate gets work, after so many steps since the first of them was believed. Where there is a
/// choice, those that come first in the list are let in first.
pub fn admit(layout: PartitionLayout, candidates: &[Candidate], steps: usize) -> Vec<bool> {
    let cells = layout.cells.max(1) as usize;
    let (mut there, mut trusted, mut count) = (vec![0; cells], vec![0.0; cells], vec![0; cells]);
    let mut let_in = vec![false; candidates.len()];
    for (c, yes) in candidates.iter().zip(&mut let_in) {
        *yes = matches!(c.admission, Admission::Confirmed | Admission::Admitted);
        for g in layout.groups(c.cell) {
            there[g] += usize::from(*yes);
            if c.admission != Admission::Confirmed {
                trusted[g] += c.trust;
                count[g] += 1;
            }
        }
    }
    let wanted: Vec<usize> = (0..cells)
        .map(|g| staleness::initial_admissions(trusted[g] / f64::max(count[g] as f64, 1.0), count[g]) + steps)
        .collect();
    for (c, yes) in candidates.iter().zip(&mut let_in).filter(|(c, _)| c.admission == Admission::Waiting) {
        if layout.groups(c.cell).any(|g| there[g] < wanted[g]) {
            *yes = true;
            layout.groups(c.cell).for_each(|g| there[g] += 1);
        }
    }
    // Guards partitions against distrust: a doubtful holder is better than none.
    for (c, yes) in candidates.iter().zip(&mut let_in).filter(|(c, _)| c.admission == Admission::Failed) {
        if layout.groups(c.cell).any(|g| there[g] == 0) {
            *yes = true;
        }
    }
    let_in
}

#[cfg(test)]
mod tests {
    use super::*;

    const RING: PartitionLayout = PartitionLayout { cells: 8, span: 4 };

    fn all(trust: f64, stands: Admission) -> Vec<Candidate> {
        (0..16).map(|n| Candidate { cell: n % 8, trust, admission: stands }).collect()
    }

    fn holders(let_in: &[bool], partition: u32) -> usize {
        let holds = |n: u32| (n % 8 + 8 - partition % 8) % 8 < 4;
        (0..16).filter(|n| holds(*n) && let_in[*n as usize]).count()
    }

    #[test]
    fn the_less_the_trust_the_fewer_get_work_at_once_and_each_partition_has_two() {
        let mut before = 16;
        for trust in [0.97, 0.7, 0.4, 0.01] {
            let let_in = admit(RING, &all(trust, Admission::Waiting), 0);
            let n = let_in.iter().filter(|x| **x).count();
            assert!(n <= before && (0..8).all(|p| holders(&let_in, p) >= 2), "{n} at {trust}");
            before = n;
        }
        assert!(before <= 8, "{before} of 16 at no trust");
    }

    #[test]
    fn with_time_all_are_tried() {
        let let_in = admit(RING, &all(0.01, Admission::Waiting), 7);
        assert!(let_in.iter().all(|x| *x));
    }

    #[test]
    fn who_failed_stays_out_unless_a_partition_has_nobody_else() {
        let mut some = all(0.3, Admission::Confirmed);
        some[3].admission = Admission::Failed;
        assert!(!admit(RING, &some, 100)[3]);
        let none = admit(RING, &all(0.3, Admission::Failed), 0);
        assert!((0..8).all(|p| holders(&none, p) > 0));
        // One cell alone holds on to its partitions.
        let last = [Candidate { cell: 2, trust: 0.0, admission: Admission::Failed }];
        assert_eq!(admit(RING, &last, 0), [true]);
    }
}
