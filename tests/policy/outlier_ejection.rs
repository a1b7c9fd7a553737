//! Ejection of unresponsive and failed replicas, and their return.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn a_silent_replica_is_ejected_and_comes_back_after_health_checks() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 50, |_| Some(80 * MS));
    let silent_from = broker.now;
    run_queries(&mut broker, 100, |s| (s.replica.0 != 1 || s.at < silent_from).then_some(80 * MS));
    let firsts = |broker: &ScriptedBroker, from, to| {
        let hit = |s: &&Sent| s.replica.0 == 1 && s.attempt == 0 && s.at >= from && s.at < to;
        broker.sent.iter().filter(hit).count()
    };
    assert_eq!(firsts(&broker, silent_from + 2 * S, broker.now), 0, "parts are still sent to it");
    assert!(broker.actions.iter().any(|(_, a)| *a == Action::HealthCheck { replica: ReplicaId(1) }));
    let recovered_at = broker.now;
    for _ in 0..20 {
        let now = broker.now;
        broker.at(
            now,
            &[Event::HealthChecked { replica: ReplicaId(1), ok: true, latency: MS, utilization: None }],
        );
        run_queries(&mut broker, 10, |s| {
            (s.replica.0 != 1 || s.at >= recovered_at || s.at < silent_from).then_some(80 * MS)
        });
    }
    assert!(firsts(&broker, recovered_at + 2 * S, broker.now) > 10, "it did not return");
}

#[test]
fn when_all_replicas_fail_parts_are_still_sent() {
    let mut s = settings(Idempotency::Idempotent);
    s.retry_budget = None;
    let mut broker = ScriptedBroker::new(s);
    broker.query(0, &[0], 2 * S);
    for _ in 0..3 {
        broker.now += 10 * MS;
        let last = broker.sent.last().expect("a part was sent").clone();
        let end = broker.ended(&last, Outcome::ConnectionReset);
        broker.at(broker.now, &[end]);
    }
    let mut used: Vec<u32> = broker.sent.iter().map(|s| s.replica.0).collect();
    used.sort();
    assert_eq!(used, [0, 1, 2], "each replica was tried once, up to the limit of attempts");
}

#[test]
fn a_slowdown_of_all_replicas_ejects_none() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 50, |_| Some(80 * MS));
    run_queries(&mut broker, 50, |_| Some(160 * MS));
    assert!(!broker.actions.iter().any(|(_, a)| matches!(a, Action::HealthCheck { .. })));
}

#[test]
fn invalid_responses_neither_eject_a_replica_nor_start_its_slow_start() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 50, |_| Some(80 * MS));
    // Each replica answers some parts with an invalid response; the parts go elsewhere.
    for _ in 0..20 {
        let before = broker.sent.len();
        broker.query(broker.now + 20 * MS, &[0, 2, 4], 2 * S);
        broker.now += 10 * MS;
        let invalid: Vec<Event> =
            broker.sent[before..].iter().map(|s| broker.ended(s, Outcome::InvalidResponse)).collect();
        broker.at(broker.now, &invalid);
        broker.answer_all(80 * MS, before + invalid.len());
    }
    let (sent, start) = (broker.sent.len(), broker.now);
    run_queries(&mut broker, 100, |s| (s.at > start).then_some(80 * MS));
    let first: Vec<&Sent> = broker.sent[sent..].iter().filter(|s| s.attempt == 0).collect();
    // Queries come every 40 ms; each part is sent with its query, and few queries are rejected.
    let at_once = first.iter().filter(|s| (s.at - start - 5 * MS).is_multiple_of(40 * MS)).count();
    assert!(at_once == first.len() && at_once > 240, "{at_once} of {}", first.len());
}

#[test]
fn one_connection_reset_does_not_eject_a_replica_but_a_second_does() {
    let mut s = settings(Idempotency::Idempotent);
    s.retry_budget = None;
    let mut broker = ScriptedBroker::new(s);
    for (start, is_ejected) in [(0, false), (100 * MS, true)] {
        let (_, actions) = broker.query(start, &[0], 2 * S);
        assert!(matches!(actions[0], Action::Send { .. }), "{actions:?}");
        // Each of the three replicas of the shard in turn resets its connection.
        for _ in 0..3 {
            broker.now += 10 * MS;
            let end = broker.ended(&broker.sent.last().expect("sent").clone(), Outcome::ConnectionReset);
            broker.at(broker.now, &[end]);
        }
        let (_, actions) = broker.query(start + 60 * MS, &[0], 2 * S);
        assert_eq!(matches!(actions[0], Action::Reject { .. }), is_ejected, "{actions:?}");
        if let Some(in_flight) = broker.sent.last().filter(|_| !is_ejected).cloned() {
            let end = broker.ended(&in_flight, Outcome::Cancelled);
            broker.at(broker.now, &[end]);
        }
    }
}

#[test]
fn an_attempt_that_was_never_sent_does_not_eject_its_replica() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 20, |_| Some(20 * MS));
    broker.idle(broker.now + S);
    let before = broker.sent.len();
    broker.query(broker.now, &[0], 2 * S);
    let first = broker.sent[before].clone();
    let not_sent = broker.ended(&first, Outcome::NotSent);
    broker.at(broker.now + 5 * MS, &[not_sent]);
    let (retry, next) = (broker.sent.len() - 1, broker.sent[broker.sent.len() - 1].replica);
    assert!(retry > before && next != first.replica, "the part is retried on another replica");
    broker.answer_all(20 * MS, retry);
    broker.idle(broker.now + 3 * S);
    let is_checked = broker.actions.iter().any(|(_, a)| *a == Action::HealthCheck { replica: first.replica });
    assert!(!is_checked, "a replica to which nothing was sent was treated as unresponsive");
}
