//! Retries: late, failed and lost parts, and the budgets.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn parts_on_a_replica_that_went_silent_are_tried_elsewhere_in_time() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 50, |_| Some(80 * MS));
    let hung = r.now;
    let queries = play(&mut r, 100, |s| (s.replica.0 != 1 || s.at < hung).then_some(80 * MS));
    let whole = |q: &&RequestId| {
        let finals = r.finals(**q);
        finals.len() == 1 && matches!(finals[0].1, Action::Answer { complete: true, .. })
    };
    let served = queries[..70].iter().filter(whole).count();
    assert!(served >= 65, "{served} of 70 answered whole");
}

/// A zone goes without a word: trials of all that are silent use up the copies' share, and the parts that sit at
/// them are no copies of work that is done anywhere.
#[test]
fn when_half_of_the_replicas_fall_silent_at_once_no_part_waits_for_the_copies_share() {
    let mut r = Root::new(Settings { retry_budget: None, ..settings(Idempotency::Idempotent) });
    play(&mut r, 50, |_| Some(60 * MS));
    let silent = |s: &Sent| s.replica.0 % 2 == 1;
    let (from, mut done) = (r.sent.len(), vec![true; r.sent.len()]);
    let queries: Vec<RequestId> = (0..20).map(|_| r.query(r.now, &[0, 2, 4], 3 * S).0).collect();
    let at_silent = r.sent[from..].iter().filter(|s| silent(s)).count();
    for now in (1..100).map(|n| r.now + n * 10 * MS).collect::<Vec<_>>() {
        end_some(&mut r, now, &mut done, silent);
    }
    let n = queries.iter().filter(|q| matches!(r.finals(**q)[..], [(_, Action::Answer { .. })])).count();
    assert!(
        at_silent >= 20 && n == 20,
        "{at_silent} parts were at silent ones, {n} of 20 answered in the aim"
    );
}

#[test]
fn late_tries_stop_when_queries_are_refused() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].latency_objective = S / 2;
    let mut r = Root::new(s);
    play(&mut r, 40, |_| Some(80 * MS));
    let from = r.sent.len();
    // All slow down alike until the root refuses; what is out then is late everywhere.
    play(&mut r, 100, |_| Some(350 * MS));
    let refused_at = r.acts.iter().find(|(_, a)| matches!(a, Action::Reject { .. })).map(|(t, _)| *t);
    let t = refused_at.expect("refusals under overload");
    let late = r.sent[from..].iter().filter(|s| s.attempt > 0 && s.at > t && s.at < t + S / 2).count();
    assert_eq!(late, 0);
}

/// One query, and then every 10 ms one of shards 0, 2 and 4 that is answered in 80 ms, for 1.2 s, each time with
/// `other` after it. The first query's parts are never answered: when were they tried elsewhere?
fn tries_elsewhere(r: &mut Root, other: impl Fn(&mut Root)) -> Vec<Nanos> {
    play(r, 40, |_| Some(80 * MS));
    let (start, from) = (r.now + MS, r.sent.len());
    let (first, _) = r.query(start, &[0, 2], 2 * S);
    let of_first = |s: &Sent| s.part.0 / 100 == first.0 / 100;
    let mut done = vec![false; r.sent.len()];
    for step in 1..120 {
        let now = start + step * 10 * MS;
        end_some(r, now, &mut done, of_first);
        r.query(now, &[0, 2, 4], 2 * S);
        other(r);
    }
    r.sent[from..].iter().filter(|s| of_first(s) && s.attempt > 0).map(|s| s.at - start).collect()
}

#[test]
fn a_refused_repeat_whose_aim_has_passed_keeps_no_late_part_from_another_try() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    let at = tries_elsewhere(&mut r, |r| {
        let (query, _) = r.query(r.now + MS, &[1], 3 * S / 2);
        assert!(matches!(r.finals(query)[..], [(_, Action::Reject { .. })]));
    });
    assert!(at.iter().any(|t| *t < 400 * MS), "tried elsewhere at {at:?}");
}

#[test]
fn what_is_lost_is_tried_elsewhere_even_by_a_root_that_refuses_for_load() {
    let mut s = settings(Idempotency::Idempotent);
    // A class that nothing here is fast enough for.
    s.classes.push(Class { latency_objective: 25 * MS, ..s.classes[0].clone() });
    let mut r = Root::new(s);
    let at = tries_elsewhere(&mut r, |r| {
        let (query, job) = (RequestId(r.now as u128 * 100), r.now);
        let head = Event::Query {
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
        r.at(r.now + MS, &[head, part]);
        assert!(matches!(r.finals(query)[..], [(_, Action::Reject { .. })]));
    });
    assert!(at.first().is_some_and(|t| (500 * MS..950 * MS).contains(t)), "tried elsewhere at {at:?}");
}

#[test]
fn second_copies_stay_in_proportion_to_own_parts_whatever_the_free_attempts() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    // A third of the parts run five times as long, wherever they go; no attempt fails.
    play(&mut r, 30, |s| {
        Some(if (s.part.0 + s.part.0 / 100).is_multiple_of(3) { 400 * MS } else { 80 * MS })
    });
    let copies = r.sent.iter().filter(|s| s.attempt > 0).count();
    let taken = 30 + 3 * 30;
    assert!(copies <= taken / 10 + 1, "{copies} copies with {taken} taken; 20 more would be free");
}

/// A hot stretch of the ring turns parts away in a millisecond: three tries at once lose a query that has seconds.
#[test]
fn a_part_that_was_turned_away_twice_keeps_its_last_try_until_queues_have_moved_on() {
    let mut r =
        Root::new(Settings { may_hedge: false, retry_budget: None, ..settings(Idempotency::Idempotent) });
    play(&mut r, 50, |_| Some(60 * MS));
    r.answer_all(60 * MS, r.sent.len());
    let start = r.now + S;
    let (query, _) = r.query(start, &[0], 2 * S);
    for n in 0..2 {
        let last = r.sent.last().unwrap().clone();
        r.now = start + (2 + n) * MS;
        let end = r.ended(&last, Outcome::Rejected);
        r.at(r.now, &[end]);
    }
    let tries = |r: &Root| {
        r.sent.iter().filter(|s| s.part.0 == query.0 + 1).map(|s| s.at - start).collect::<Vec<_>>()
    };
    assert_eq!(tries(&r).len(), 2, "{:?}", tries(&r));
    r.idle(start + 300 * MS);
    assert!(tries(&r).len() == 3 && tries(&r)[2] >= 40 * MS, "{:?}", tries(&r));
    // With little time left it is made at once.
    let (query, _) = r.query(r.now, &[0], 2 * S);
    r.idle(r.now + 920 * MS);
    for _ in 0..2 {
        let last = r.sent.last().unwrap().clone();
        let end = r.ended(&last, Outcome::Rejected);
        r.at(r.now, &[end]);
    }
    assert_eq!(r.sent.iter().filter(|s| s.part.0 == query.0 + 1).count(), 3);
}
