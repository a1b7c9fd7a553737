//! Chooses which nodes are admitted, given the trust in the record of each.
//!
//! A node that is confirmed, or trusted as if it were, is always admitted. Of the others, each partition
//! starts with a number of holders that depends on their mean trust; each step admits one more, so that all
//! are eventually tried. A node that failed while unconfirmed stays ejected, unless a partition has no other
//! holder.

use super::staleness;

/// How partitions are assigned: partition p is held by the nodes of the `span` cells p, p + 1, ... modulo
/// `cells`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionLayout {
    /// Number of cells.
    pub cells: u32,
    /// Number of cells that hold a partition.
    pub span: u32,
}

impl PartitionLayout {
    /// The groups of partitions that a cell holds. Partitions whose numbers are equal modulo `cells` have the
    /// same holders and form one group.
    pub(crate) fn groups(self, cell: u32) -> impl Iterator<Item = usize> {
        let cells = self.cells.max(1);
        (0..self.span.min(cells)).map(move |j| ((cell % cells + cells - j) % cells) as usize)
    }
}

/// The admission state of a node before [`admit`] is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Confirmed, or trusted as if it were.
    Confirmed,
    /// Unconfirmed, but already admitted.
    Admitted,
    /// Unconfirmed, and not admitted yet.
    Waiting,
    /// Unconfirmed, and ejected after a recent failure.
    Failed,
}

/// A node whose last known state is ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its cell.
    pub cell: u32,
    /// Probability that its record is still valid, from 0 to 1.
    pub trust: f64,
    /// Its admission state.
    pub admission: Admission,
}

/// Counts of one group of partitions with the same holders.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCounts {
    admitted: usize,
    unconfirmed: usize,
    /// Sum of the trust in the unconfirmed holders.
    trust_sum: f64,
}

impl GroupCounts {
    /// Number of holders to admit in the first step.
    fn initial_target(&self) -> usize {
        let mean_trust = self.trust_sum / f64::max(self.unconfirmed as f64, 1.0);
        staleness::initial_admissions(mean_trust, self.unconfirmed)
    }
}

/// Returns for each candidate whether it is admitted, `steps` steps after the first unconfirmed one appeared.
/// Candidates earlier in the list take precedence.
#[must_use]
pub fn admit(layout: PartitionLayout, candidates: &[Candidate], steps: usize) -> Vec<bool> {
    let mut groups = vec![GroupCounts::default(); layout.cells.max(1) as usize];
    let mut chosen = vec![false; candidates.len()];
    for (candidate, admitted) in candidates.iter().zip(&mut chosen) {
        *admitted = matches!(candidate.admission, Admission::Confirmed | Admission::Admitted);
        for group in layout.groups(candidate.cell) {
            groups[group].admitted += usize::from(*admitted);
            if candidate.admission != Admission::Confirmed {
                groups[group].trust_sum += candidate.trust;
                groups[group].unconfirmed += 1;
            }
        }
    }
    let targets: Vec<usize> = groups.iter().map(|group| group.initial_target() + steps).collect();
    let waiting = |candidate: &Candidate| candidate.admission == Admission::Waiting;
    for (candidate, admitted) in candidates.iter().zip(&mut chosen).filter(|(c, _)| waiting(c)) {
        if layout.groups(candidate.cell).any(|group| groups[group].admitted < targets[group]) {
            *admitted = true;
            layout.groups(candidate.cell).for_each(|group| groups[group].admitted += 1);
        }
    }
    // A partition must not lose all holders: a failed holder is better than none.
    let failed = |candidate: &Candidate| candidate.admission == Admission::Failed;
    for (candidate, admitted) in candidates.iter().zip(&mut chosen).filter(|(c, _)| failed(c)) {
        if layout.groups(candidate.cell).any(|group| groups[group].admitted == 0) {
            *admitted = true;
        }
    }
    chosen
}
