//! Ejection of silent and failed replicas, and their return.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn a_replica_that_answers_nothing_loses_its_traffic_and_is_found_again() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 50, |_| Some(80 * MS));
    let hung = r.now;
    play(&mut r, 100, |s| (s.replica.0 != 1 || s.at < hung).then_some(80 * MS));
    let firsts = |r: &Root, from, to| {
        let hit = |s: &&Sent| s.replica.0 == 1 && s.attempt == 0 && s.at >= from && s.at < to;
        r.sent.iter().filter(hit).count()
    };
    assert_eq!(firsts(&r, hung + 2 * S, r.now), 0, "parts are still drawn to it");
    assert!(r.acts.iter().any(|(_, a)| *a == Action::HealthCheck { replica: ReplicaId(1) }));
    let healed = r.now;
    for _ in 0..20 {
        let now = r.now;
        r.at(
            now,
            &[Event::HealthChecked { replica: ReplicaId(1), ok: true, latency: MS, utilization: None }],
        );
        play(&mut r, 10, |s| (s.replica.0 != 1 || s.at >= healed || s.at < hung).then_some(80 * MS));
    }
    assert!(firsts(&r, healed + 2 * S, r.now) > 10, "it was not found again");
}

#[test]
fn when_all_replicas_fail_parts_still_go_out_to_some() {
    let mut s = settings(Idempotency::Idempotent);
    s.retry_budget = None;
    let mut r = Root::new(s);
    r.query(0, &[0], 2 * S);
    for _ in 0..3 {
        r.now += 10 * MS;
        let last = r.sent.last().expect("a part was sent").clone();
        let end = r.ended(&last, Outcome::ConnectionReset);
        r.at(r.now, &[end]);
    }
    let mut used: Vec<u32> = r.sent.iter().map(|s| s.replica.0).collect();
    used.sort();
    assert_eq!(used, [0, 1, 2], "each holder was tried once, up to the limit of attempts");
}

#[test]
fn a_slow_spell_of_all_replicas_condemns_none() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 50, |_| Some(80 * MS));
    play(&mut r, 50, |_| Some(160 * MS));
    assert!(!r.acts.iter().any(|(_, a)| matches!(a, Action::HealthCheck { .. })));
}

#[test]
fn spoilt_answers_neither_eject_a_replica_nor_make_it_wait_as_a_cold_one() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 50, |_| Some(80 * MS));
    // Each replica spoils some answers; the parts go elsewhere.
    for _ in 0..20 {
        let before = r.sent.len();
        r.query(r.now + 20 * MS, &[0, 2, 4], 2 * S);
        r.now += 10 * MS;
        let spoilt: Vec<Event> =
            r.sent[before..].iter().map(|s| r.ended(s, Outcome::InvalidResponse)).collect();
        r.at(r.now, &spoilt);
        r.answer_all(80 * MS, before + spoilt.len());
    }
    let (sent, start) = (r.sent.len(), r.now);
    play(&mut r, 100, |s| (s.at > start).then_some(80 * MS));
    let first: Vec<&Sent> = r.sent[sent..].iter().filter(|s| s.attempt == 0).collect();
    // Queries come every 40 ms; each part goes out with its query, and few queries are refused.
    let at_once = first.iter().filter(|s| (s.at - start - 5 * MS).is_multiple_of(40 * MS)).count();
    assert!(at_once == first.len() && at_once > 240, "{at_once} of {}", first.len());
}

#[test]
fn a_broken_connection_each_is_no_dead_process_but_a_second_one_is() {
    let mut s = settings(Idempotency::Idempotent);
    s.retry_budget = None;
    let mut r = Root::new(s);
    for (start, dead) in [(0, false), (100 * MS, true)] {
        let (_, acts) = r.query(start, &[0], 2 * S);
        assert!(matches!(acts[0], Action::Send { .. }), "{acts:?}");
        // Its three holders in turn.
        for _ in 0..3 {
            r.now += 10 * MS;
            let end = r.ended(&r.sent.last().expect("sent").clone(), Outcome::ConnectionReset);
            r.at(r.now, &[end]);
        }
        let (_, acts) = r.query(start + 60 * MS, &[0], 2 * S);
        assert_eq!(matches!(acts[0], Action::Reject { .. }), dead, "{acts:?}");
        if let Some(open) = r.sent.last().filter(|_| !dead).cloned() {
            let end = r.ended(&open, Outcome::Cancelled);
            r.at(r.now, &[end]);
        }
    }
}

#[test]
fn what_was_never_sent_makes_no_replica_suspect() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 20, |_| Some(20 * MS));
    r.idle(r.now + S);
    let before = r.sent.len();
    r.query(r.now, &[0], 2 * S);
    let first = r.sent[before].clone();
    let moot = r.ended(&first, Outcome::NotSent);
    r.at(r.now + 5 * MS, &[moot]);
    let (again, next) = (r.sent.len() - 1, r.sent[r.sent.len() - 1].replica);
    assert!(again > before && next != first.replica, "the part is tried elsewhere");
    r.answer_all(20 * MS, again);
    r.idle(r.now + 3 * S);
    let asked = r.acts.iter().any(|(_, a)| *a == Action::HealthCheck { replica: first.replica });
    assert!(!asked, "a replica that was sent nothing is taken for silent");
}
