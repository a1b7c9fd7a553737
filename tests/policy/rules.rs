//! The six rules, each by scripted events. Each test fails when its guard is taken out of `src/policy/`.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn every_query_gets_one_final_answer_in_time_though_nothing_answers() {
    for late_worth in [0.0, 0.5] {
        let mut s = settings(Idempotency::Idempotent);
        s.classes[0].late_weight = late_worth;
        let mut r = Root::new(s);
        let (query, _) = r.query(0, &[0, 1], 2 * S);
        r.idle(3 * S);
        let finals = r.finals(query);
        assert_eq!(finals.len(), 1, "{finals:?}");
        assert!(finals[0].0 <= 2 * S, "final answer at {}", finals[0].0);
        assert!(r.sent.iter().all(|x| x.at <= finals[0].0), "a part was sent after the end");
    }
}

#[test]
fn a_query_is_ended_in_time_when_no_replica_is_listed() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    r.at(1, &[Event::EndpointList { full: true, entries: vec![] }]);
    let (query, _) = r.query(2, &[0], S);
    r.idle(2 * S);
    assert_eq!(r.finals(query).len(), 1);
    assert!(r.sent.is_empty());
}

#[test]
fn nothing_follows_the_end_of_a_query_whose_client_left() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    let (query, _) = r.query(0, &[0], 2 * S);
    r.at(10 * MS, &[Event::ClientDisconnected { query }]);
    let sent = r.sent.len();
    let fail = r.ended(&r.sent[0].clone(), Outcome::ConnectionReset);
    r.at(20 * MS, &[fail]);
    r.idle(3 * S);
    assert_eq!(r.sent.len(), sent);
    assert!(r.finals(query).is_empty());
}

#[test]
fn an_unsafe_part_goes_out_again_only_when_it_never_ran() {
    for (outcome, again) in [
        (Outcome::ConnectionReset, false),
        (Outcome::TimedOut, false),
        (Outcome::Error, false),
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
    ] {
        let mut r = Root::new(settings(Idempotency::NonIdempotent));
        r.query(0, &[0], 3 * S);
        r.now = 20 * MS;
        let end = r.ended(&r.sent[0].clone(), outcome);
        r.at(20 * MS, &[end]);
        r.idle(S);
        assert_eq!(r.sent.len() > 1, again, "{outcome:?}");
    }
}

#[test]
fn an_unsafe_part_gets_no_second_copy_and_its_query_is_not_refused_once_sent() {
    let mut r = Root::new(settings(Idempotency::NonIdempotent));
    let (query, _) = r.query(0, &[0], 3 * S);
    r.idle(4 * S);
    assert_eq!(r.sent.len(), 1);
    assert!(matches!(r.finals(query)[..], [(_, Action::Fail { .. })]));
}

#[test]
fn a_keyed_part_that_may_have_run_is_sent_again_only_inside_its_window() {
    for (at, again) in [(400 * MS, true), (600 * MS, false)] {
        let mut r = Root::new(settings(Idempotency::IdempotencyKey { window: 500 * MS }));
        r.query(0, &[0], 3 * S);
        let first = r.sent[0].clone();
        r.now = at;
        let end = r.ended(&first, Outcome::ConnectionReset);
        r.at(at, &[end]);
        r.idle(2 * S);
        // Late tries inside the window are allowed too; what counts is that none leaves it.
        assert!(r.sent.iter().all(|s| s.at < 500 * MS), "{:?}", r.sent);
        assert_eq!(r.sent.iter().any(|s| s.at == at), again);
    }
}

#[test]
fn nothing_is_sent_to_a_replica_that_drains_or_is_gone() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    let news = vec![line(0, ReplicaState::Draining, None), line(1, ReplicaState::Removed, None)];
    r.at(MS, &[Event::EndpointList { full: false, entries: news }]);
    for k in 0..60 {
        r.query(2 * MS + k * 20 * MS, &[4, 5, 0, 1], 2 * S);
        let from = r.sent.len().saturating_sub(4);
        r.answer_all(10 * MS, from);
    }
    assert!(r.sent.len() > 200);
    assert!(r.sent.iter().all(|s| s.replica.0 > 1));
}

#[test]
fn a_cold_replica_gets_no_more_than_its_share_of_what_the_others_get() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    r.at(MS, &[Event::EndpointList { full: false, entries: vec![line(2, ReplicaState::Active, Some(MS))] }]);
    // Its two fellow holders are gone: parts of shard 2 have nowhere else to go.
    let gone = vec![line(3, ReplicaState::Removed, None), line(4, ReplicaState::Removed, None)];
    r.at(2 * MS, &[Event::EndpointList { full: false, entries: gone }]);
    let mut taken = 0;
    for k in 0..100 {
        r.query(3 * MS + k * 20 * MS, &[2, 5, 0], 2 * S);
        taken += 3;
    }
    let cold = r.sent.iter().filter(|s| s.replica == ReplicaId(2)).count() as f64;
    // Two seconds in, it can do 0.3 of its capacity for certain; half of three times that is what it may get.
    let share = taken as f64 / 4.0;
    assert!(cold >= 1.0 && cold <= 0.5 * 3.0 * 0.3 * share + 2.0, "{cold} of {share}");
}

#[test]
fn answers_are_marked_whole_and_given_only_from_what_came() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].min_answer_share = 0.6;
    for (shards, whole) in [(vec![0, 3, 5], None), (vec![0, 2, 3, 5], Some(false))] {
        let mut r = Root::new(s.clone());
        let (query, _) = r.query(0, &shards, 2 * S);
        r.now = 100 * MS;
        // All but one, or, of three, all but two.
        let (last, out) = (shards.len() as u128, if whole.is_some() { 1 } else { 2 });
        let ends: Vec<Event> = r
            .sent
            .iter()
            .filter(|x| x.part.0 <= query.0 + last - out)
            .map(|x| r.ended(x, Outcome::Ok))
            .collect();
        r.at(100 * MS, &ends);
        r.idle(3 * S);
        let given = r.finals(query);
        match whole {
            Some(whole) => {
                assert!(matches!(given[..], [(_, Action::Answer { complete: w, .. })] if w == whole))
            }
            None => assert!(matches!(given[..], [(_, Action::Fail { .. })]), "{given:?}"),
        }
    }
    let mut r = Root::new(s);
    let (query, _) = r.query(0, &[0, 3], 2 * S);
    r.answer_all(100 * MS, 0);
    assert!(matches!(r.finals(query)[..], [(at, Action::Answer { complete: true, .. })] if at == 100 * MS));
}

#[test]
fn a_second_step_is_waited_for_and_whole_only_if_all_of_it_came() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].fetch_parts = 1;
    for answered in [true, false] {
        let mut r = Root::new(s.clone());
        let (query, _) = r.query(0, &[0, 3], 2 * S);
        r.answer_all(100 * MS, 0);
        let from = r.sent.len();
        let more = Event::Part { part: RequestId(999), job: r.job, shard: 0, weight: 1.0 };
        r.at(105 * MS, &[more]);
        assert!(r.sent[from..].iter().any(|x| x.part == RequestId(999)));
        if answered {
            r.answer_all(50 * MS, from);
        }
        r.idle(3 * S);
        let finals = r.finals(query);
        assert_eq!(finals.len(), 2, "{finals:?}");
        assert_eq!(matches!(finals[1].1, Action::Answer { complete: true, .. }), answered, "{finals:?}");
    }
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut s = settings(Idempotency::Idempotent);
    s.retry_budget = Some(RetryBudget { free: 2.0, share: 0.1, window: 2 * S });
    s.max_attempts = 9;
    let mut r = Root::new(s);
    let mut taken: Vec<Nanos> = vec![];
    for k in 0..300 {
        let now = 5 * MS + k * 20 * MS;
        r.now = now;
        let ends: Vec<Event> =
            r.sent.iter().filter(|x| x.at + 15 * MS == now).map(|x| r.ended(x, Outcome::Error)).collect();
        r.at(now, &ends);
        r.query(now + 5 * MS, &[0, 2, 4], S);
        taken.extend([now + 5 * MS; 4]);
    }
    let extras: Vec<Nanos> = r.sent.iter().filter(|x| x.attempt > 0).map(|x| x.at).collect();
    assert!(extras.len() > 10, "no further attempts were seen");
    for t in &extras {
        let inside = |v: &&Nanos| **v > t.saturating_sub(2 * S) && *v <= t;
        let (made, took) = (extras.iter().filter(inside).count(), taken.iter().filter(inside).count());
        assert!(made as f64 <= 2.0 + 0.1 * took as f64, "{made} against {took} taken");
    }
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for_again_after_a_failure_but_not_in_a_storm() {
    let mut s = settings(Idempotency::Idempotent);
    s.discovery = Discovery::Polled;
    let mut r = Root::new(s);
    r.idle(10 * S);
    let watches = |r: &Root| r.acts.iter().filter(|(_, a)| *a == Action::WatchEndpoints).count();
    assert_eq!(watches(&r), 1);
    let mut last = 1;
    for k in 0..300 {
        r.at(10 * S + k * 100 * MS, &[Event::TimerFired]);
        if watches(&r) > last {
            last = watches(&r);
            r.at(r.now + MS, &[Event::WatchFailed]);
        } else if k == 0 {
            r.at(r.now + MS, &[Event::WatchFailed]);
        }
    }
    assert!((4..=15).contains(&last), "{last} asks in 30 s of failures");
}

#[test]
fn work_is_shared_by_weight() {
    // Replicas 0 and 3 hold shard 0 together with others; all alike but for their weights.
    let mut r = Root::new(Settings { may_hedge: false, ..settings(Idempotency::Idempotent) });
    let weights = [1.0, 3.0, 6.0];
    let lines =
        (0..3).map(|n| ReplicaEntry { weight: weights[n as usize], ..line(n, ReplicaState::Active, None) });
    r.at(0, &[Event::EndpointList { full: true, entries: lines.collect() }]);
    let mut came = [0.0; 3];
    for n in 0..4000u64 {
        let now = n * 40 * MS;
        let (_, acts) = r.query(now, &[0], 2 * S);
        let Some(Action::Send { replica, .. }) = acts.iter().find(|a| matches!(a, Action::Send { .. }))
        else {
            panic!("{acts:?}")
        };
        came[replica.0 as usize] += 1.0;
        let sent = r.sent.last().unwrap().clone();
        r.now = now + 20 * MS;
        let ended = r.ended(&sent, Outcome::Ok);
        r.at(now + 20 * MS, &[ended]);
        r.sent.clear();
    }
    for (share, weight) in came.iter().zip(weights) {
        let (share, wanted) = (share / 4000.0, weight / 10.0);
        // Three standard errors of a share drawn 4,000 times.
        assert!((share - wanted).abs() < 3.0 * f64::sqrt(wanted * (1.0 - wanted) / 4000.0), "{came:?}");
    }
}
