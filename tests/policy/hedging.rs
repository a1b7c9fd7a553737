//! Hedged requests: which parts get two attempts at once, and the budget.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn some_parts_are_hedged_on_two_replicas_within_the_budget_of_a_tenth() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 200, |s| Some((80 + 10 * (s.replica.0 as u64 % 3)) * MS));
    let (n, parts) = (hedges(&broker), 600);
    assert!(n > 5 && n <= parts / 10, "{n} hedged requests");
    for s in broker.sent.iter().filter(|s| s.attempt > 0) {
        assert!(
            broker.sent.iter().all(|f| f.part != s.part || f.attempt == s.attempt || f.replica != s.replica)
        );
    }
}

#[test]
fn the_slower_attempt_of_a_hedged_request_is_cancelled_at_once() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 200, |s| {
        Some((if s.attempt > 0 { 200 } else { 80 + 10 * (s.replica.0 as u64 % 3) }) * MS)
    });
    let cancelled =
        broker.actions.iter().filter(|(_, a)| matches!(a, Action::Cancel { attempt: 1, .. })).count();
    assert!(
        hedges(&broker) > 0 && cancelled * 10 >= hedges(&broker) * 9,
        "{cancelled} of {}",
        hedges(&broker)
    );
}

#[test]
fn no_hedged_requests_above_the_load_limit() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    // Light load at first; then all replicas are four times as slow: an estimated load of three quarters.
    run_queries(&mut broker, 100, |s| Some((60 + 15 * (s.replica.0 as u64 % 3)) * MS));
    run_queries(&mut broker, 60, |s| Some((240 + 60 * (s.replica.0 as u64 % 3)) * MS));
    let before = hedges(&broker);
    assert!(before > 0);
    run_queries(&mut broker, 60, |s| Some((240 + 60 * (s.replica.0 as u64 % 3)) * MS));
    assert_eq!(hedges(&broker), before);
}

#[test]
fn reported_utilization_limits_hedging() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 40, |s| Some((100 + 10 * s.replica.0 as u64) * MS));
    let utilization = Some(0.8);
    for n in 0..6 {
        broker.at(
            broker.now,
            &[Event::HealthChecked { replica: ReplicaId(n), ok: true, latency: MS, utilization }],
        );
    }
    let before = hedges(&broker);
    run_queries(&mut broker, 60, |s| Some((100 + 10 * s.replica.0 as u64) * MS));
    assert_eq!(hedges(&broker), before);
}

#[test]
fn only_idempotent_parts_are_hedged() {
    for idempotency in [Idempotency::IdempotencyKey { window: 3 * S }, Idempotency::NonIdempotent] {
        let mut broker = ScriptedBroker::new(settings(idempotency));
        run_queries(&mut broker, 100, |s| Some((80 + 10 * (s.replica.0 as u64 % 3)) * MS));
        assert_eq!(hedges(&broker), 0);
    }
}
