//! Slow start of replicas that warm up.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn a_new_cold_replica_gets_one_part_at_once_and_more_once_it_has_proved_warm() {
    let mut r = Root::new(Settings { may_hedge: false, ..settings(Idempotency::Idempotent) });
    let cold = (0..3).map(|n| line(n, ReplicaState::Active, Some(1))).collect();
    r.at(MS, &[Event::EndpointList { full: false, entries: cold }]);
    // Shard 0 lies on replicas 0, 1 and 2: a part each, and their shares of what is taken meanwhile are small.
    for n in 0..4 {
        r.query((2 + n) * MS, &[0], 2 * S);
    }
    let mut at: Vec<u32> = r.sent.iter().map(|s| s.replica.0).collect();
    at.sort_unstable();
    assert_eq!(at, [0, 1, 2], "the fourth waits");
    let acts = r.at(20 * MS, &[Event::WarmedUp { replica: ReplicaId(1) }]);
    assert!(acts.iter().any(|a| matches!(a, Action::Send { replica, .. } if replica.0 == 1)), "{acts:?}");
}

/// After a zone came back, or a release, most of the fleet is cold: what is asked must go to them as far as they can,
/// or the few warm ones are run over.
#[test]
fn where_most_replicas_are_cold_each_gets_its_share_of_what_the_fleet_can_do_now() {
    let set = Settings {
        may_hedge: false,
        retry_budget: None,
        slow_start_time: 1000 * S,
        ..settings(Idempotency::Idempotent)
    };
    let cold_share = set.slow_start_share;
    let mut r = Root::new(set);
    r.at(
        MS,
        &[Event::EndpointList {
            full: false,
            entries: (2..6).map(|n| line(n, ReplicaState::Active, Some(1))).collect(),
        }],
    );
    play(&mut r, 200, |_| Some(60 * MS));
    let parts = 600.0;
    // Two warm ones and four of a fifth: at half of the multiple, a cold one may have so much of it.
    let whole = f64::max(2.0 + 4.0 * cold_share, 6.0 * 0.5 / 0.8);
    let most = 0.5 * 3.0 * cold_share * parts / whole + 2.0;
    for n in 2..6 {
        let got = r.sent.iter().filter(|s| s.replica == ReplicaId(n)).count() as f64;
        assert!(
            got <= most && got > 0.7 * most && got > 0.5 * 3.0 * cold_share * parts / 6.0 + 2.0,
            "replica {n} got {got}, may have {most}"
        );
    }
}

/// With the whole fleet cold, a share of what it can do now is everything: the rule bounds each one all the same.
#[test]
fn a_fleet_that_is_cold_throughout_is_not_pushed_over_by_a_full_load() {
    let set = Settings {
        may_hedge: false,
        retry_budget: None,
        slow_start_time: 1000 * S,
        ..settings(Idempotency::Idempotent)
    };
    let (multiple, cold_share) = (set.overload_multiple, set.slow_start_share);
    let mut r = Root::new(set);
    r.at(
        MS,
        &[Event::EndpointList {
            full: false,
            entries: (0..6).map(|n| line(n, ReplicaState::Active, Some(1))).collect(),
        }],
    );
    play(&mut r, 200, |_| Some(60 * MS));
    // Were these 600 parts all that six warm ones can do, a cold one could do so many.
    let can = cold_share * 600.0 / 6.0;
    for n in 0..6 {
        let got = r.sent.iter().filter(|s| s.replica == ReplicaId(n)).count() as f64;
        assert!(got > can && got < multiple * can, "replica {n} got {got}, can do {can}");
    }
}
