//! The policy's six rules, tested with scripted events. Each test fails if the code that enforces its rule is
//! removed from `src/policy/`.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn every_query_gets_one_final_answer_in_time_even_without_any_response() {
    for late_weight in [0.0, 0.5] {
        let mut s = settings(Idempotency::Idempotent);
        s.classes[0].late_weight = late_weight;
        let mut broker = ScriptedBroker::new(s);
        let (query, _) = broker.query(0, &[0, 1], 2 * S);
        broker.idle(3 * S);
        let finals = broker.finals(query);
        assert_eq!(finals.len(), 1, "{finals:?}");
        assert!(finals[0].0 <= 2 * S, "final answer at {}", finals[0].0);
        assert!(broker.sent.iter().all(|x| x.at <= finals[0].0), "a part was sent after the end");
    }
}

#[test]
fn a_query_is_ended_in_time_when_no_replica_is_listed() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    broker.at(1, &[Event::EndpointList { full: true, entries: vec![] }]);
    let (query, _) = broker.query(2, &[0], S);
    broker.idle(2 * S);
    assert_eq!(broker.finals(query).len(), 1);
    assert!(broker.sent.is_empty());
}

#[test]
fn nothing_is_sent_for_a_query_whose_client_disconnected() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    let (query, _) = broker.query(0, &[0], 2 * S);
    broker.at(10 * MS, &[Event::ClientDisconnected { query }]);
    let sent = broker.sent.len();
    let fail = broker.ended(&broker.sent[0].clone(), Outcome::ConnectionReset);
    broker.at(20 * MS, &[fail]);
    broker.idle(3 * S);
    assert_eq!(broker.sent.len(), sent);
    assert!(broker.finals(query).is_empty());
}

#[test]
fn a_non_idempotent_part_is_retried_only_when_it_never_ran() {
    for (outcome, is_retried) in [
        (Outcome::ConnectionReset, false),
        (Outcome::TimedOut, false),
        (Outcome::Error, false),
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
    ] {
        let mut broker = ScriptedBroker::new(settings(Idempotency::NonIdempotent));
        broker.query(0, &[0], 3 * S);
        broker.now = 20 * MS;
        let end = broker.ended(&broker.sent[0].clone(), outcome);
        broker.at(20 * MS, &[end]);
        broker.idle(S);
        assert_eq!(broker.sent.len() > 1, is_retried, "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_part_is_not_duplicated_and_its_query_is_not_rejected_once_sent() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::NonIdempotent));
    let (query, _) = broker.query(0, &[0], 3 * S);
    broker.idle(4 * S);
    assert_eq!(broker.sent.len(), 1);
    assert!(matches!(broker.finals(query)[..], [(_, Action::Fail { .. })]));
}

#[test]
fn a_part_with_an_idempotency_key_that_may_have_run_is_retried_only_inside_its_window() {
    for (at, is_retried) in [(400 * MS, true), (600 * MS, false)] {
        let mut broker = ScriptedBroker::new(settings(Idempotency::IdempotencyKey { window: 500 * MS }));
        broker.query(0, &[0], 3 * S);
        let first = broker.sent[0].clone();
        broker.now = at;
        let end = broker.ended(&first, Outcome::ConnectionReset);
        broker.at(at, &[end]);
        broker.idle(2 * S);
        // Retries of a late part are allowed inside the window too; there must be none after it.
        assert!(broker.sent.iter().all(|s| s.at < 500 * MS), "{:?}", broker.sent);
        assert_eq!(broker.sent.iter().any(|s| s.at == at), is_retried);
    }
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_replica() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    let changes =
        vec![replica_entry(0, ReplicaState::Draining, None), replica_entry(1, ReplicaState::Removed, None)];
    broker.at(MS, &[Event::EndpointList { full: false, entries: changes }]);
    for k in 0..60 {
        broker.query(2 * MS + k * 20 * MS, &[4, 5, 0, 1], 2 * S);
        let from = broker.sent.len().saturating_sub(4);
        broker.answer_all(10 * MS, from);
    }
    assert!(broker.sent.len() > 200);
    assert!(broker.sent.iter().all(|s| s.replica.0 > 1));
}

#[test]
fn a_warming_replica_gets_no_more_than_its_share_of_what_the_others_get() {
    let mut broker = ScriptedBroker::new(settings(Idempotency::Idempotent));
    broker.at(
        MS,
        &[Event::EndpointList {
            full: false,
            entries: vec![replica_entry(2, ReplicaState::Active, Some(MS))],
        }],
    );
    // The two other replicas of shard 2 are removed, so its parts can go to no other replica.
    let removals =
        vec![replica_entry(3, ReplicaState::Removed, None), replica_entry(4, ReplicaState::Removed, None)];
    broker.at(2 * MS, &[Event::EndpointList { full: false, entries: removals }]);
    let mut received = 0;
    for k in 0..100 {
        broker.query(3 * MS + k * 20 * MS, &[2, 5, 0], 2 * S);
        received += 3;
    }
    let sent_to_warming = broker.sent.iter().filter(|s| s.replica == ReplicaId(2)).count() as f64;
    // After two seconds it has at least 0.3 of its capacity; it may get half of three times that.
    let share = received as f64 / 4.0;
    assert!(
        sent_to_warming >= 1.0 && sent_to_warming <= 0.5 * 3.0 * 0.3 * share + 2.0,
        "{sent_to_warming} of {share}"
    );
}

#[test]
fn answers_are_marked_complete_and_given_only_from_answered_parts() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].min_answer_share = 0.6;
    for (shards, is_complete) in [(vec![0, 3, 5], None), (vec![0, 2, 3, 5], Some(false))] {
        let mut broker = ScriptedBroker::new(s.clone());
        let (query, _) = broker.query(0, &shards, 2 * S);
        broker.now = 100 * MS;
        // All parts but one are answered, or, of three, all but two.
        let (last, out) = (shards.len() as u128, if is_complete.is_some() { 1 } else { 2 });
        let ends: Vec<Event> = broker
            .sent
            .iter()
            .filter(|x| x.part.0 <= query.0 + last - out)
            .map(|x| broker.ended(x, Outcome::Ok))
            .collect();
        broker.at(100 * MS, &ends);
        broker.idle(3 * S);
        let finals = broker.finals(query);
        match is_complete {
            Some(is_complete) => {
                assert!(matches!(finals[..], [(_, Action::Answer { complete: w, .. })] if w == is_complete))
            }
            None => assert!(matches!(finals[..], [(_, Action::Fail { .. })]), "{finals:?}"),
        }
    }
    let mut broker = ScriptedBroker::new(s);
    let (query, _) = broker.query(0, &[0, 3], 2 * S);
    broker.answer_all(100 * MS, 0);
    assert!(
        matches!(broker.finals(query)[..], [(at, Action::Answer { complete: true, .. })] if at == 100 * MS)
    );
}

#[test]
fn a_second_step_is_awaited_and_complete_only_if_all_of_it_is_answered() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].fetch_parts = 1;
    for answered in [true, false] {
        let mut broker = ScriptedBroker::new(s.clone());
        let (query, _) = broker.query(0, &[0, 3], 2 * S);
        broker.answer_all(100 * MS, 0);
        let from = broker.sent.len();
        let more = Event::Part { part: RequestId(999), job: broker.job, shard: 0, weight: 1.0 };
        broker.at(105 * MS, &[more]);
        assert!(broker.sent[from..].iter().any(|x| x.part == RequestId(999)));
        if answered {
            broker.answer_all(50 * MS, from);
        }
        broker.idle(3 * S);
        let finals = broker.finals(query);
        assert_eq!(finals.len(), 2, "{finals:?}");
        assert_eq!(matches!(finals[1].1, Action::Answer { complete: true, .. }), answered, "{finals:?}");
    }
}

#[test]
fn retries_stay_within_the_budget() {
    let mut s = settings(Idempotency::Idempotent);
    s.retry_budget = Some(RetryBudget { free: 2.0, share: 0.1, window: 2 * S });
    s.max_attempts = 9;
    let mut broker = ScriptedBroker::new(s);
    let mut received: Vec<Nanos> = vec![];
    for k in 0..300 {
        let now = 5 * MS + k * 20 * MS;
        broker.now = now;
        let ends: Vec<Event> = broker
            .sent
            .iter()
            .filter(|x| x.at + 15 * MS == now)
            .map(|x| broker.ended(x, Outcome::Error))
            .collect();
        broker.at(now, &ends);
        broker.query(now + 5 * MS, &[0, 2, 4], S);
        received.extend([now + 5 * MS; 4]);
    }
    let retries: Vec<Nanos> = broker.sent.iter().filter(|x| x.attempt > 0).map(|x| x.at).collect();
    assert!(retries.len() > 10, "no retries were seen");
    for t in &retries {
        let inside = |v: &&Nanos| **v > t.saturating_sub(2 * S) && *v <= t;
        let (sent_retries, requests) =
            (retries.iter().filter(inside).count(), received.iter().filter(inside).count());
        assert!(
            sent_retries as f64 <= 2.0 + 0.1 * requests as f64,
            "{sent_retries} retries for {requests} requests"
        );
    }
}

#[test]
fn a_polled_endpoint_list_is_polled_again_after_a_failure_with_backoff() {
    let mut s = settings(Idempotency::Idempotent);
    s.discovery = Discovery::Polled;
    let mut broker = ScriptedBroker::new(s);
    broker.idle(10 * S);
    let watches =
        |broker: &ScriptedBroker| broker.actions.iter().filter(|(_, a)| *a == Action::WatchEndpoints).count();
    assert_eq!(watches(&broker), 1);
    let mut last = 1;
    for k in 0..300 {
        broker.at(10 * S + k * 100 * MS, &[Event::TimerFired]);
        if watches(&broker) > last {
            last = watches(&broker);
            broker.at(broker.now + MS, &[Event::WatchFailed]);
        } else if k == 0 {
            broker.at(broker.now + MS, &[Event::WatchFailed]);
        }
    }
    assert!((4..=15).contains(&last), "{last} polls in 30 s of failures");
}

#[test]
fn parts_are_shared_by_replica_weight() {
    // Replicas 0, 1 and 2 hold shard 0; they differ only in their weights.
    let mut broker = ScriptedBroker::new(Settings { may_hedge: false, ..settings(Idempotency::Idempotent) });
    let weights = [1.0, 3.0, 6.0];
    let lines = (0..3).map(|n| ReplicaEntry {
        weight: weights[n as usize],
        ..replica_entry(n, ReplicaState::Active, None)
    });
    broker.at(0, &[Event::EndpointList { full: true, entries: lines.collect() }]);
    let mut counts = [0.0; 3];
    for n in 0..4000u64 {
        let now = n * 40 * MS;
        let (_, actions) = broker.query(now, &[0], 2 * S);
        let Some(Action::Send { replica, .. }) = actions.iter().find(|a| matches!(a, Action::Send { .. }))
        else {
            panic!("{actions:?}")
        };
        counts[replica.0 as usize] += 1.0;
        let sent = broker.sent.last().unwrap().clone();
        broker.now = now + 20 * MS;
        let ended = broker.ended(&sent, Outcome::Ok);
        broker.at(now + 20 * MS, &[ended]);
        broker.sent.clear();
    }
    for (share, weight) in counts.iter().zip(weights) {
        let (share, expected) = (share / 4000.0, weight / 10.0);
        // Three standard errors of a share drawn 4,000 times.
        assert!(
            (share - expected).abs() < 3.0 * f64::sqrt(expected * (1.0 - expected) / 4000.0),
            "{counts:?}"
        );
    }
}
