//! Admission: which queries are taken, and Retry-After.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn a_query_of_a_shard_without_a_live_holder_is_refused_at_once() {
    let mut s = settings(Idempotency::Idempotent);
    s.retry_budget = None;
    let mut r = Root::new(s);
    r.query(0, &[0], 2 * S);
    for _ in 0..3 {
        r.now += 10 * MS;
        let end = r.ended(&r.sent.last().expect("sent").clone(), Outcome::ConnectFailed);
        r.at(r.now, &[end]);
    }
    let (query, _) = r.query(60 * MS, &[0], 2 * S);
    assert!(matches!(r.finals(query)[..], [(_, Action::Reject { .. })]));
    let (other, _) = r.query(65 * MS, &[3], 2 * S);
    assert!(r.finals(other).is_empty(), "other shards are served");
}

#[test]
fn a_root_that_refused_everything_takes_queries_again_without_hearing_more() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 60, |_| Some(900 * MS));
    let refused = |r: &Root| r.acts.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).count();
    assert!(refused(&r) > 0, "an overloaded fleet must lead to refusals");
    // All that is out comes in; then nothing for ten seconds.
    let open: Vec<Event> = r.sent.iter().map(|s| r.ended(s, Outcome::Ok)).collect();
    r.at(r.now, &open);
    r.idle(r.now + 10 * S);
    let (query, acts) = r.query(r.now + MS, &[0, 2], 2 * S);
    assert!(r.finals(query).is_empty() && acts.iter().any(|a| matches!(a, Action::Send { .. })));
}

#[test]
fn a_few_errors_in_a_row_do_not_read_as_seconds() {
    let mut r = Root::new(settings(Idempotency::NonIdempotent));
    play(&mut r, 40, |_| Some(80 * MS));
    for _ in 0..30 {
        let from = r.sent.len();
        let now = r.now + MS;
        r.query(now, &[0], 2 * S);
        let ends: Vec<Event> = r.sent[from..].iter().map(|s| r.ended(s, Outcome::Error)).collect();
        r.at(now + MS, &ends);
    }
    let sent = r.sent.len();
    r.query(r.now + MS, &[0], 2 * S);
    assert!(
        r.sent.len() > sent,
        "refused, though a replica that fails many parts answers the others in 80 ms"
    );
}

#[test]
fn refused_clients_are_told_a_wait_only_where_that_is_allowed_and_never_too_long() {
    for (may, most) in [(true, S), (true, 10 * MS), (false, S)] {
        let mut s = settings(Idempotency::Idempotent);
        (s.may_send_retry_after, s.max_retry_after) = (may, most);
        let mut r = Root::new(s);
        play(&mut r, 80, |_| Some(900 * MS));
        let waits: Vec<Nanos> = r
            .acts
            .iter()
            .filter_map(
                |(_, a)| if let Action::Reject { retry_after: wait, .. } = a { Some(*wait) } else { None },
            )
            .collect();
        assert!(!waits.is_empty());
        assert!(waits.iter().all(|w| *w <= if may { most } else { 0 }), "{waits:?}");
        assert!(!may || waits.iter().any(|w| *w > 0));
    }
}

#[test]
fn a_try_whose_client_has_spent_the_aim_is_not_worked_for() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].late_weight = 0.0;
    let mut r = Root::new(s);
    for k in 0..10 {
        let from = r.sent.len();
        r.query(MS + k * 200 * MS, &[0, 2], 2 * S);
        r.answer_all(80 * MS, from);
    }
    let sent = r.sent.len();
    // Usually 2 s are left; with 1.5 s of 3 s left, 1.5 s are gone and the aim of 1 s has passed.
    let (query, _) = r.query(r.now + MS, &[0, 2], 3 * S / 2);
    assert!(matches!(r.finals(query)[..], [(_, Action::Reject { .. })]));
    assert_eq!(r.sent.len(), sent);
}

#[test]
fn a_try_left_less_than_the_aim_is_impatient_unless_it_is_marked_as_a_repeat() {
    for again in [false, true] {
        let mut r = Root::new(settings(Idempotency::Idempotent));
        for k in 0..10 {
            let from = r.sent.len();
            r.query(MS + k * 200 * MS, &[0, 2], 2 * S + S / 2);
            r.answer_all(80 * MS, from);
        }
        let (query, part) = (RequestId(9000), RequestId(9001));
        let (job, ttl, class, weight) = (90, 400 * MS, 0, 1.0);
        let head = Event::Query {
            query,
            job,
            class,
            tenant: None,
            time_left: ttl,
            parts: 1,
            work: None,
            is_retry: again,
        };
        r.at(r.now + MS, &[head, Event::Part { part, job, shard: 0, weight }]);
        assert_eq!(r.sent.iter().any(|s| s.part == part), !again, "marked as a repeat: {again}");
    }
}

#[test]
fn lost_answers_do_not_read_as_load() {
    let refused: usize = (0..10).map(refused_while_every_fifth_part_is_lost).sum();
    assert!(refused <= 40, "{refused} of 400 refused although what is answered comes in 80 ms");
}

fn refused_while_every_fifth_part_is_lost(seed: u64) -> usize {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].latency_objective = 400 * MS;
    let mut r = Root::seeded(s, seed);
    let lost = |s: &Sent| (s.part.0 / 100 + s.part.0).is_multiple_of(5) && s.attempt == 0;
    let mut done = vec![];
    for step in 0..1600u64 {
        let now = (step + 1) * 5 * MS;
        end_some(&mut r, now, &mut done, lost);
        if step % 40 == 0 {
            r.query(now, &[0, 2, 4], 2 * S);
        }
    }
    r.acts.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).count()
}

#[test]
fn a_slow_spell_of_the_fleet_is_forgotten_within_a_few_aims() {
    let mut s = settings(Idempotency::Idempotent);
    (s.classes[0].latency_objective, s.classes[0].late_weight) = (400 * MS, 0.0);
    let mut r = Root::new(s);
    play(&mut r, 40, |_| Some(80 * MS));
    play(&mut r, 100, |_| Some(380 * MS));
    let refused = |r: &Root| r.acts.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).count();
    let before = refused(&r);
    assert!(before > 10, "a slow fleet must lead to refusals, {before}");
    r.idle(r.now + 3 * S);
    play(&mut r, 40, |_| Some(80 * MS));
    let after = refused(&r) - before;
    assert!(after <= 4, "{after} of 40 refused after the spell");
}
