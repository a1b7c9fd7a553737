//! Slow start of replicas that warm up.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn a_new_replica_gets_one_part_at_once_and_more_once_it_has_warmed_up() {
    let mut broker = ScriptedBroker::new(Settings { may_hedge: false, ..settings(Idempotency::Idempotent) });
    let cold = (0..3).map(|n| replica_entry(n, ReplicaState::Active, Some(1))).collect();
    broker.at(MS, &[Event::EndpointList { full: false, entries: cold }]);
    // Replicas 0, 1 and 2 hold shard 0: each gets one part at once, and only a small share of the next ones.
    for n in 0..4 {
        broker.query((2 + n) * MS, &[0], 2 * S);
    }
    let mut at: Vec<u32> = broker.sent.iter().map(|s| s.replica.0).collect();
    at.sort_unstable();
    assert_eq!(at, [0, 1, 2], "the fourth waits");
    let actions = broker.at(20 * MS, &[Event::WarmedUp { replica: ReplicaId(1) }]);
    assert!(
        actions.iter().any(|a| matches!(a, Action::Send { replica, .. } if replica.0 == 1)),
        "{actions:?}"
    );
}

/// After the return of a zone, or after a release, most of the fleet is warming up: these replicas must get
/// parts up to their capacity, or the few warm ones are overloaded.
#[test]
fn where_most_replicas_warm_up_each_gets_its_share_of_the_present_capacity() {
    let settings = Settings {
        may_hedge: false,
        retry_budget: None,
        slow_start_time: 1000 * S,
        ..settings(Idempotency::Idempotent)
    };
    let slow_start_share = settings.slow_start_share;
    let mut broker = ScriptedBroker::new(settings);
    broker.at(
        MS,
        &[Event::EndpointList {
            full: false,
            entries: (2..6).map(|n| replica_entry(n, ReplicaState::Active, Some(1))).collect(),
        }],
    );
    run_queries(&mut broker, 200, |_| Some(60 * MS));
    let parts = 600.0;
    // Two warm replicas, and four with a fifth of their capacity. A warming one may get half of the overload
    // multiple of its capacity.
    let fleet_capacity = f64::max(2.0 + 4.0 * slow_start_share, 6.0 * 0.5 / 0.8);
    let max_parts = 0.5 * 3.0 * slow_start_share * parts / fleet_capacity + 2.0;
    for n in 2..6 {
        let got = broker.sent.iter().filter(|s| s.replica == ReplicaId(n)).count() as f64;
        assert!(
            got <= max_parts
                && got > 0.7 * max_parts
                && got > 0.5 * 3.0 * slow_start_share * parts / 6.0 + 2.0,
            "replica {n} got {got}, may have {max_parts}"
        );
    }
}

/// When the whole fleet is warming up, no other capacity is available; the rule still limits the load of each
/// replica.
#[test]
fn a_fleet_that_warms_up_throughout_is_not_overloaded_by_a_full_load() {
    let settings = Settings {
        may_hedge: false,
        retry_budget: None,
        slow_start_time: 1000 * S,
        ..settings(Idempotency::Idempotent)
    };
    let (multiple, slow_start_share) = (settings.overload_multiple, settings.slow_start_share);
    let mut broker = ScriptedBroker::new(settings);
    broker.at(
        MS,
        &[Event::EndpointList {
            full: false,
            entries: (0..6).map(|n| replica_entry(n, ReplicaState::Active, Some(1))).collect(),
        }],
    );
    run_queries(&mut broker, 200, |_| Some(60 * MS));
    // If these 600 parts were the capacity of six warm replicas, this would be the capacity of a cold one.
    let cold_capacity = slow_start_share * 600.0 / 6.0;
    for n in 0..6 {
        let got = broker.sent.iter().filter(|s| s.replica == ReplicaId(n)).count() as f64;
        assert!(
            got > cold_capacity && got < multiple * cold_capacity,
            "replica {n} got {got}, can do {cold_capacity}"
        );
    }
}
