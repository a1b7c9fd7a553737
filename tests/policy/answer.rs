//! The end of a query: answers, rejections and failures in time.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn late_queries_are_kept_only_while_there_is_capacity() {
    for (capacity, is_kept) in [(1000, true), (3, false)] {
        let mut s = settings(Idempotency::Idempotent);
        (s.max_in_flight, s.may_hedge) = (capacity, false);
        let mut broker = ScriptedBroker::new(s);
        let (query, _) = broker.query(MS, &[0, 2], 2 * S + S / 2);
        broker.idle(S + S / 2);
        assert_eq!(broker.finals(query).is_empty(), is_kept, "capacity {capacity}");
    }
}

#[test]
fn a_query_past_its_objective_stays_until_its_deadline_and_nothing_is_sent_for_it() {
    let mut s = settings(Idempotency::Idempotent);
    (s.classes[0].late_weight, s.may_hedge) = (0.0, false);
    let mut broker = ScriptedBroker::new(s);
    let (query, _) = broker.query(MS, &[0, 2], 2 * S);
    let first = broker.sent[0].clone();
    broker.idle(S + 50 * MS);
    let sent = broker.sent.len();
    let end = broker.ended(&first, Outcome::TimedOut);
    broker.at(broker.now, &[end]);
    broker.idle(2 * S - 100 * MS);
    assert!(broker.finals(query).is_empty(), "failing the query now would cause a useless retry");
    broker.idle(2 * S + 20 * MS);
    assert!(matches!(broker.finals(query)[..], [(t, Action::Fail { .. })] if t <= 2 * S + 20 * MS));
    assert_eq!(broker.sent.len(), sent, "a part was sent for a query whose answer no longer has any value");
}

#[test]
fn a_query_with_nothing_left_to_try_is_rejected_at_once_with_retry_after() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    let (query, _) = broker.query(0, &[0], 3 * S);
    // Every allowed attempt ends with an error within a few rounds.
    for step in 1..20 {
        broker.now = step * 10 * MS;
        let seen = broker.actions.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count();
        let ends: Vec<Event> =
            broker.sent.iter().skip(step as usize - 1).map(|s| broker.ended(s, Outcome::Error)).collect();
        broker.at(broker.now, &ends);
        assert!(seen <= 3);
    }
    let finals = broker.finals(query);
    let [(at, Action::Reject { retry_after: wait, .. })] = finals[..] else { panic!("{finals:?}") };
    assert!(at < 200 * MS && wait > 0 && wait <= S, "rejected at {at} with a wait of {wait}");
}

#[test]
fn a_class_without_late_weight_is_rejected_soon_after_its_objective_not_at_the_deadline() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].late_weight = 0.0;
    let mut broker = ScriptedBroker::new(s);
    let (query, _) = broker.query(0, &[0, 2, 4], 3 * S);
    let mut done = 0;
    while broker.now < 3 * S {
        let now = broker.now + 10 * MS;
        // The attempts time out shortly after the objective.
        let timed_out = now > S + 60 * MS && done < broker.sent.len();
        let ends = if timed_out { broker.sent.split_off(done) } else { vec![] };
        broker.now = now;
        let events: Vec<Event> = ends.iter().map(|s| broker.ended(s, Outcome::TimedOut)).collect();
        broker.sent.extend(ends);
        done = if timed_out { broker.sent.len() } else { done };
        broker.at(now, &events);
    }
    let finals = broker.finals(query);
    let [(at, Action::Reject { retry_after: wait, .. })] = finals[..] else { panic!("{finals:?}") };
    assert!(at < S + 100 * MS && wait > 0, "rejected at {at} with a wait of {wait}");
}

#[test]
fn a_query_whose_replicas_were_all_removed_is_rejected_at_once() {
    // Nothing is in flight and no replica is left: waiting until the client's deadline would be useless.
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    let (query, _) = broker.query(0, &[0], 2 * S);
    let removals = (0..6).map(|n| replica_entry(n, ReplicaState::Removed, None)).collect();
    broker.at(10 * MS, &[Event::EndpointList { full: true, entries: removals }]);
    broker.now = 20 * MS;
    let ended: Vec<Event> = broker.sent.iter().map(|s| broker.ended(s, Outcome::ConnectionReset)).collect();
    let actions = broker.at(20 * MS, &ended);
    let rejected =
        |a: &Action| matches!(a, Action::Reject { query: q, retry_after: wait } if *q == query && *wait > 0);
    assert!(actions.iter().any(rejected), "{actions:?}");
}
