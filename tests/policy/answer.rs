//! The end of a query: answers, rejections and failures in time.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn late_queries_are_kept_while_there_is_room_and_let_go_when_there_is_none() {
    for (room, kept) in [(1000, true), (3, false)] {
        let mut s = settings(Idempotency::Idempotent);
        (s.max_in_flight, s.may_hedge) = (room, false);
        let mut r = Root::new(s);
        let (query, _) = r.query(MS, &[0, 2], 2 * S + S / 2);
        r.idle(S + S / 2);
        assert_eq!(r.finals(query).is_empty(), kept, "room for {room}");
    }
}

#[test]
fn a_query_past_its_aim_is_held_to_the_end_and_nothing_is_sent_for_it() {
    let mut s = settings(Idempotency::Idempotent);
    (s.classes[0].late_weight, s.may_hedge) = (0.0, false);
    let mut r = Root::new(s);
    let (query, _) = r.query(MS, &[0, 2], 2 * S);
    let first = r.sent[0].clone();
    r.idle(S + 50 * MS);
    let sent = r.sent.len();
    let end = r.ended(&first, Outcome::TimedOut);
    r.at(r.now, &[end]);
    r.idle(2 * S - 100 * MS);
    assert!(r.finals(query).is_empty(), "a client told of failure now would ask again for nothing");
    r.idle(2 * S + 20 * MS);
    assert!(matches!(r.finals(query)[..], [(t, Action::Fail { .. })] if t <= 2 * S + 20 * MS));
    assert_eq!(r.sent.len(), sent, "a part went out for a query that earns nothing any more");
}

#[test]
fn a_query_with_nothing_left_to_try_is_refused_at_once_with_a_wait() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    let (query, _) = r.query(0, &[0], 3 * S);
    // Every attempt that is allowed ends in an error within a few rounds.
    for step in 1..20 {
        r.now = step * 10 * MS;
        let seen = r.acts.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count();
        let ends: Vec<Event> =
            r.sent.iter().skip(step as usize - 1).map(|s| r.ended(s, Outcome::Error)).collect();
        r.at(r.now, &ends);
        assert!(seen <= 3);
    }
    let finals = r.finals(query);
    let [(at, Action::Reject { retry_after: wait, .. })] = finals[..] else { panic!("{finals:?}") };
    assert!(at < 200 * MS && wait > 0 && wait <= S, "refused at {at} with a wait of {wait}");
}

#[test]
fn a_class_worth_nothing_late_is_refused_soon_after_its_aim_not_at_the_deadline() {
    let mut s = settings(Idempotency::Idempotent);
    s.classes[0].late_weight = 0.0;
    let mut r = Root::new(s);
    let (query, _) = r.query(0, &[0, 2, 4], 3 * S);
    let mut done = 0;
    while r.now < 3 * S {
        let now = r.now + 10 * MS;
        // The attempts' time-outs end them a little after the aim.
        let over = now > S + 60 * MS && done < r.sent.len();
        let ends = if over { r.sent.split_off(done) } else { vec![] };
        r.now = now;
        let events: Vec<Event> = ends.iter().map(|s| r.ended(s, Outcome::TimedOut)).collect();
        r.sent.extend(ends);
        done = if over { r.sent.len() } else { done };
        r.at(now, &events);
    }
    let finals = r.finals(query);
    let [(at, Action::Reject { retry_after: wait, .. })] = finals[..] else { panic!("{finals:?}") };
    assert!(at < S + 100 * MS && wait > 0, "refused at {at} with a wait of {wait}");
}

#[test]
fn a_query_whose_holders_are_all_gone_is_refused_at_once() {
    // It used to be held until its client's time was nearly over: nothing was out, and nobody was left to ask.
    let mut r = Root::new(settings(Idempotency::Idempotent));
    let (query, _) = r.query(0, &[0], 2 * S);
    let gone = (0..6).map(|n| line(n, ReplicaState::Removed, None)).collect();
    r.at(10 * MS, &[Event::EndpointList { full: true, entries: gone }]);
    r.now = 20 * MS;
    let ended: Vec<Event> = r.sent.iter().map(|s| r.ended(s, Outcome::ConnectionReset)).collect();
    let acts = r.at(20 * MS, &ended);
    let refused =
        |a: &Action| matches!(a, Action::Reject { query: q, retry_after: wait } if *q == query && *wait > 0);
    assert!(acts.iter().any(refused), "{acts:?}");
}
