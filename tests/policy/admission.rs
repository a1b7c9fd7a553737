//! Admission control, and the Retry-After time of rejections.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn a_query_for_a_shard_without_a_live_replica_is_rejected_at_once() {
    let mut s = settings(Idempotency::Idempotent);
    s.retry_budget = None;
    let mut broker = ScriptedBroker::new(s);
    broker.query(0, &[0], 2 * S);
    for _ in 0..3 {
        broker.now += 10 * MS;
        let end = broker.ended(&broker.sent.last().expect("sent").clone(), Outcome::ConnectFailed);
        broker.at(broker.now, &[end]);
    }
    let (query, _) = broker.query(60 * MS, &[0], 2 * S);
    assert!(matches!(broker.finals(query)[..], [(_, Action::Reject { .. })]));
    let (other, _) = broker.query(65 * MS, &[3], 2 * S);
    assert!(broker.finals(other).is_empty(), "other shards are served");
}

#[test]
fn a_broker_that_rejected_everything_admits_queries_again_without_new_answers() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 60, |_| Some(900 * MS));
    let rejected = |broker: &ScriptedBroker| {
        broker.actions.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).count()
    };
    assert!(rejected(&broker) > 0, "an overloaded fleet must lead to rejections");
    // All attempts in flight end; then there are no events for ten seconds.
    let ends: Vec<Event> = broker.sent.iter().map(|s| broker.ended(s, Outcome::Ok)).collect();
    broker.at(broker.now, &ends);
    broker.idle(broker.now + 10 * S);
    let (query, actions) = broker.query(broker.now + MS, &[0, 2], 2 * S);
    assert!(broker.finals(query).is_empty() && actions.iter().any(|a| matches!(a, Action::Send { .. })));
}

#[test]
fn a_few_errors_in_a_row_do_not_count_as_seconds_of_latency() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::NonIdempotent));
    run_queries(&mut broker, 40, |_| Some(80 * MS));
    for _ in 0..30 {
        let from = broker.sent.len();
        let now = broker.now + MS;
        broker.query(now, &[0], 2 * S);
        let ends: Vec<Event> = broker.sent[from..].iter().map(|s| broker.ended(s, Outcome::Error)).collect();
        broker.at(now + MS, &ends);
    }
    let sent = broker.sent.len();
    broker.query(broker.now + MS, &[0], 2 * S);
    assert!(
        broker.sent.len() > sent,
        "rejected, though a replica that fails many parts answers the others in 80 ms"
    );
}

#[test]
fn retry_after_is_sent_only_where_allowed_and_never_exceeds_its_limit() {
    for (may_send, max_wait) in [(true, S), (true, 10 * MS), (false, S)] {
        let mut s = settings(Idempotency::Idempotent);
        (s.may_send_retry_after, s.max_retry_after) = (may_send, max_wait);
        let mut broker = ScriptedBroker::new(s);
        run_queries(&mut broker, 80, |_| Some(900 * MS));
        let waits: Vec<Nanos> = broker
            .actions
            .iter()
            .filter_map(
                |(_, a)| if let Action::Reject { retry_after: wait, .. } = a { Some(*wait) } else { None },
            )
            .collect();
        assert!(!waits.is_empty());
        assert!(waits.iter().all(|w| *w <= if may_send { max_wait } else { 0 }), "{waits:?}");
        assert!(!may_send || waits.iter().any(|w| *w > 0));
    }
}

#[test]
fn a_retry_whose_objective_has_passed_is_rejected() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].late_weight = 0.0;
    let mut broker = ScriptedBroker::new(s);
    for k in 0..10 {
        let from = broker.sent.len();
        broker.query(MS + k * 200 * MS, &[0, 2], 2 * S);
        broker.answer_all(80 * MS, from);
    }
    let sent = broker.sent.len();
    // The usual time-out is 2 s. With 1.5 s of the deadline of 3 s left, 1.5 s have passed, and with them the
    // objective of 1 s.
    let (query, _) = broker.query(broker.now + MS, &[0, 2], 3 * S / 2);
    assert!(matches!(broker.finals(query)[..], [(_, Action::Reject { .. })]));
    assert_eq!(broker.sent.len(), sent);
}

#[test]
fn a_time_out_below_the_objective_counts_as_a_retry_only_if_the_query_is_marked_as_one() {
    for is_marked in [false, true] {
        let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
        for k in 0..10 {
            let from = broker.sent.len();
            broker.query(MS + k * 200 * MS, &[0, 2], 2 * S + S / 2);
            broker.answer_all(80 * MS, from);
        }
        let (query, part) = (RequestId(9000), RequestId(9001));
        let (job, time_left, class, weight) = (90, 400 * MS, 0, 1.0);
        let query_event = Event::Query {
            query,
            job,
            class,
            tenant: None,
            time_left,
            parts: 1,
            work: None,
            is_retry: is_marked,
        };
        broker.at(broker.now + MS, &[query_event, Event::Part { part, job, shard: 0, weight }]);
        assert_eq!(broker.sent.iter().any(|s| s.part == part), !is_marked, "marked as a retry: {is_marked}");
    }
}

#[test]
fn lost_answers_do_not_count_as_load() {
    let rejected: usize = (0..10).map(rejections_while_every_fifth_part_is_lost).sum();
    assert!(rejected <= 40, "{rejected} of 400 rejected although the answered parts take 80 ms");
}

fn rejections_while_every_fifth_part_is_lost(seed: u64) -> usize {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].latency_objective = 400 * MS;
    let mut broker = ScriptedBroker::seeded(s, seed);
    let lost = |s: &Sent| (s.part.0 / 100 + s.part.0).is_multiple_of(5) && s.attempt == 0;
    let mut done = vec![];
    for step in 0..1600u64 {
        let now = (step + 1) * 5 * MS;
        end_due(&mut broker, now, &mut done, lost);
        if step % 40 == 0 {
            broker.query(now, &[0, 2, 4], 2 * S);
        }
    }
    broker.actions.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).count()
}

#[test]
fn a_slowdown_of_the_fleet_is_forgotten_within_a_few_objectives() {
    let mut s = settings(Idempotency::Idempotent);
    (s.classes[0].latency_objective, s.classes[0].late_weight) = (400 * MS, 0.0);
    let mut broker = ScriptedBroker::new(s);
    run_queries(&mut broker, 40, |_| Some(80 * MS));
    run_queries(&mut broker, 100, |_| Some(380 * MS));
    let rejected = |broker: &ScriptedBroker| {
        broker.actions.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).count()
    };
    let before = rejected(&broker);
    assert!(before > 10, "a slow fleet must lead to rejections, {before}");
    broker.idle(broker.now + 3 * S);
    run_queries(&mut broker, 40, |_| Some(80 * MS));
    let after = rejected(&broker) - before;
    assert!(after <= 4, "{after} of 40 rejected after the slowdown");
}
