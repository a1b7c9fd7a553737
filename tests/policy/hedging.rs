//! Hedged requests: which parts get two attempts at once, and the budget.

use crate::broker::*;
use crate::common::*;
use pebbleturn::*;

#[test]
fn some_parts_are_twinned_at_once_on_two_replicas_within_a_tenth() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 200, |s| Some((80 + 10 * (s.replica.0 as u64 % 3)) * MS));
    let (n, parts) = (twins(&r), 600);
    assert!(n > 5 && n <= parts / 10, "{n} twins");
    for s in r.sent.iter().filter(|s| s.attempt > 0) {
        assert!(r.sent.iter().all(|f| f.part != s.part || f.attempt == s.attempt || f.replica != s.replica));
    }
}

#[test]
fn the_losing_twin_is_cancelled_at_once() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 200, |s| Some((if s.attempt > 0 { 200 } else { 80 + 10 * (s.replica.0 as u64 % 3) }) * MS));
    let cancelled = r.acts.iter().filter(|(_, a)| matches!(a, Action::Cancel { attempt: 1, .. })).count();
    assert!(twins(&r) > 0 && cancelled * 10 >= twins(&r) * 9, "{cancelled} of {}", twins(&r));
}

#[test]
fn no_twins_above_the_gate() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    // Light at first, then four times as slow everywhere: reads as three quarters busy.
    play(&mut r, 100, |s| Some((60 + 15 * (s.replica.0 as u64 % 3)) * MS));
    play(&mut r, 60, |s| Some((240 + 60 * (s.replica.0 as u64 % 3)) * MS));
    let before = twins(&r);
    assert!(before > 0);
    play(&mut r, 60, |s| Some((240 + 60 * (s.replica.0 as u64 % 3)) * MS));
    assert_eq!(twins(&r), before);
}

#[test]
fn the_busy_share_gates_where_it_is_reported() {
    let mut r = Root::new(settings(Idempotency::Idempotent));
    play(&mut r, 40, |s| Some((100 + 10 * s.replica.0 as u64) * MS));
    let busy = Some(0.8);
    for n in 0..6 {
        r.at(
            r.now,
            &[Event::HealthChecked { replica: ReplicaId(n), ok: true, latency: MS, utilization: busy }],
        );
    }
    let before = twins(&r);
    play(&mut r, 60, |s| Some((100 + 10 * s.replica.0 as u64) * MS));
    assert_eq!(twins(&r), before);
}

#[test]
fn neither_keyed_nor_unsafe_parts_are_twinned() {
    for effect in [Idempotency::IdempotencyKey { window: 3 * S }, Idempotency::NonIdempotent] {
        let mut r = Root::new(settings(effect));
        play(&mut r, 100, |s| Some((80 + 10 * (s.replica.0 as u64 % 3)) * MS));
        assert_eq!(twins(&r), 0);
    }
}
