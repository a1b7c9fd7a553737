//! Probation of unconfirmed nodes: how many are admitted, and in which steps.

use pebbleturn::membership::PartitionLayout;
use pebbleturn::membership::probation::{Admission, Candidate, admit};

const LAYOUT: PartitionLayout = PartitionLayout { cells: 8, span: 4 };

fn all(trust: f64, admission: Admission) -> Vec<Candidate> {
    (0..16).map(|n| Candidate { cell: n % 8, trust, admission }).collect()
}

fn holders(admitted: &[bool], partition: u32) -> usize {
    let holds = |n: u32| (n % 8 + 8 - partition % 8) % 8 < 4;
    (0..16).filter(|n| holds(*n) && admitted[*n as usize]).count()
}

#[test]
fn lower_trust_admits_fewer_nodes_at_first_and_two_holders_of_each_partition() {
    let mut before = 16;
    for trust in [0.97, 0.7, 0.4, 0.01] {
        let admitted = admit(LAYOUT, &all(trust, Admission::Waiting), 0);
        let n = admitted.iter().filter(|x| **x).count();
        assert!(n <= before && (0..8).all(|p| holders(&admitted, p) >= 2), "{n} at {trust}");
        before = n;
    }
    assert!(before <= 8, "{before} of 16 at no trust");
}

#[test]
fn every_waiting_node_is_admitted_in_the_end() {
    let admitted = admit(LAYOUT, &all(0.01, Admission::Waiting), 7);
    assert!(admitted.iter().all(|x| *x));
}

#[test]
fn a_failed_node_stays_ejected_unless_a_partition_has_no_other_holder() {
    let mut some = all(0.3, Admission::Confirmed);
    some[3].admission = Admission::Failed;
    assert!(!admit(LAYOUT, &some, 100)[3]);
    let none = admit(LAYOUT, &all(0.3, Admission::Failed), 0);
    assert!((0..8).all(|p| holders(&none, p) > 0));
    // The only holder of a partition is admitted although it failed.
    let last = [Candidate { cell: 2, trust: 0.0, admission: Admission::Failed }];
    assert_eq!(admit(LAYOUT, &last, 0), [true]);
}
