//! Retries: late, failed and lost parts, and the budgets.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn parts_on_a_replica_that_became_silent_are_retried_elsewhere_in_time() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    run_queries(&mut broker, 50, |_| Some(80 * MS));
    let silent_from = broker.now;
    let queries =
        run_queries(&mut broker, 100, |s| (s.replica.0 != 1 || s.at < silent_from).then_some(80 * MS));
    let complete = |q: &&RequestId| {
        let finals = broker.finals(**q);
        finals.len() == 1 && matches!(finals[0].1, Action::Answer { complete: true, .. })
    };
    let served = queries[..70].iter().filter(complete).count();
    assert!(served >= 65, "{served} of 70 answered completely");
}

/// A zone becomes unresponsive: trials of its replicas use up the duplicate budget. The parts in flight there
/// are not running anywhere, so their retries are no duplicates and must not wait for that budget.
#[test]
fn when_half_of_the_replicas_become_silent_at_once_no_part_waits_for_the_duplicate_budget() {
    let mut broker =
        ScriptedBroker::new(Settings { retry_budget: None, ..settings(Idempotency::Idempotent) });
    run_queries(&mut broker, 50, |_| Some(60 * MS));
    let silent = |s: &Sent| s.replica.0 % 2 == 1;
    let (from, mut done) = (broker.sent.len(), vec![true; broker.sent.len()]);
    let queries: Vec<RequestId> = (0..20).map(|_| broker.query(broker.now, &[0, 2, 4], 3 * S).0).collect();
    let at_silent = broker.sent[from..].iter().filter(|s| silent(s)).count();
    for now in (1..100).map(|n| broker.now + n * 10 * MS).collect::<Vec<_>>() {
        end_due(&mut broker, now, &mut done, silent);
    }
    let n = queries.iter().filter(|q| matches!(broker.finals(**q)[..], [(_, Action::Answer { .. })])).count();
    assert!(
        at_silent >= 20 && n == 20,
        "{at_silent} parts were sent to silent replicas, {n} of 20 queries were answered within the objective"
    );
}

#[test]
fn late_parts_are_not_retried_while_queries_are_rejected() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].latency_objective = S / 2;
    let mut broker = ScriptedBroker::new(s);
    run_queries(&mut broker, 40, |_| Some(80 * MS));
    let from = broker.sent.len();
    // All replicas slow down alike until the broker rejects queries; all attempts in flight are late then.
    run_queries(&mut broker, 100, |_| Some(350 * MS));
    let rejected_at =
        broker.actions.iter().find(|(_, a)| matches!(a, Action::Reject { .. })).map(|(t, _)| *t);
    let t = rejected_at.expect("rejections under overload");
    let late = broker.sent[from..].iter().filter(|s| s.attempt > 0 && s.at > t && s.at < t + S / 2).count();
    assert_eq!(late, 0);
}

/// Sends a query whose parts are never answered, and then, every 10 ms for 1.2 s, a query for shards 0, 2 and
/// 4 that is answered in 80 ms, followed by `other`. Returns when the parts of the first query were retried.
fn retries_of_silent_query(broker: &mut ScriptedBroker, other: impl Fn(&mut ScriptedBroker)) -> Vec<Nanos> {
    run_queries(broker, 40, |_| Some(80 * MS));
    let (start, from) = (broker.now + MS, broker.sent.len());
    let (first, _) = broker.query(start, &[0, 2], 2 * S);
    let of_first = |s: &Sent| s.part.0 / 100 == first.0 / 100;
    let mut done = vec![false; broker.sent.len()];
    for step in 1..120 {
        let now = start + step * 10 * MS;
        end_due(broker, now, &mut done, of_first);
        broker.query(now, &[0, 2, 4], 2 * S);
        other(broker);
    }
    broker.sent[from..].iter().filter(|s| of_first(s) && s.attempt > 0).map(|s| s.at - start).collect()
}

#[test]
fn a_rejected_retry_past_its_objective_does_not_stop_retries_of_late_parts() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    let at = retries_of_silent_query(&mut broker, |broker| {
        let (query, _) = broker.query(broker.now + MS, &[1], 3 * S / 2);
        assert!(matches!(broker.finals(query)[..], [(_, Action::Reject { .. })]));
    });
    assert!(at.iter().any(|t| *t < 400 * MS), "retried at {at:?}");
}

#[test]
fn lost_parts_are_retried_even_by_a_broker_that_rejects_for_load() {
    let mut s = settings(Idempotency::Idempotent);
    // A class whose objective no replica can meet.
    s.classes.push(Class { latency_objective: 25 * MS, ..s.classes[0].clone() });
    let mut broker = ScriptedBroker::new(s);
    let at = retries_of_silent_query(&mut broker, |broker| {
        let (query, job) = (RequestId(broker.now as u128 * 100), broker.now);
        let query_event = Event::Query {
            query,
            job,
            class: 1,
            tenant: None,
            time_left: 2 * S,
            parts: 1,
            work: None,
            is_retry: false,
        };
        let part = Event::Part { part: RequestId(query.0 + 1), job, shard: 1, weight: 1.0 };
        broker.at(broker.now + MS, &[query_event, part]);
        assert!(matches!(broker.finals(query)[..], [(_, Action::Reject { .. })]));
    });
    assert!(at.first().is_some_and(|t| (500 * MS..950 * MS).contains(t)), "retried at {at:?}");
}

#[test]
fn duplicates_stay_in_proportion_to_requests_regardless_of_free_retries() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    // A third of the parts take five times as long on any replica; no attempt fails.
    run_queries(&mut broker, 30, |s| {
        Some(if (s.part.0 + s.part.0 / 100).is_multiple_of(3) { 400 * MS } else { 80 * MS })
    });
    let duplicates = broker.sent.iter().filter(|s| s.attempt > 0).count();
    let received = 30 + 3 * 30;
    assert!(
        duplicates <= received / 10 + 1,
        "{duplicates} duplicates for {received} requests; the budget has 20 free retries"
    );
}

/// Overloaded replicas reject parts within a millisecond: three attempts in a row would fail a query that has
/// seconds left.
#[test]
fn the_last_attempt_at_a_part_that_was_rejected_twice_is_delayed() {
    let mut broker = ScriptedBroker::new(Settings {
        may_hedge: false,
        retry_budget: None,
        ..settings(Idempotency::Idempotent)
    });
    run_queries(&mut broker, 50, |_| Some(60 * MS));
    broker.answer_all(60 * MS, broker.sent.len());
    let start = broker.now + S;
    let (query, _) = broker.query(start, &[0], 2 * S);
    for n in 0..2 {
        let last = broker.sent.last().unwrap().clone();
        broker.now = start + (2 + n) * MS;
        let end = broker.ended(&last, Outcome::Rejected);
        broker.at(broker.now, &[end]);
    }
    let attempts = |broker: &ScriptedBroker| {
        broker.sent.iter().filter(|s| s.part.0 == query.0 + 1).map(|s| s.at - start).collect::<Vec<_>>()
    };
    assert_eq!(attempts(&broker).len(), 2, "{:?}", attempts(&broker));
    broker.idle(start + 300 * MS);
    assert!(attempts(&broker).len() == 3 && attempts(&broker)[2] >= 40 * MS, "{:?}", attempts(&broker));
    // With little time left, the last attempt is sent at once.
    let (query, _) = broker.query(broker.now, &[0], 2 * S);
    broker.idle(broker.now + 920 * MS);
    for _ in 0..2 {
        let last = broker.sent.last().unwrap().clone();
        let end = broker.ended(&last, Outcome::Rejected);
        broker.at(broker.now, &[end]);
    }
    assert_eq!(broker.sent.iter().filter(|s| s.part.0 == query.0 + 1).count(), 3);
}
