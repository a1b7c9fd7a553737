//! Trust by age: admission, ejection and confirmation of nodes.

use crate::fixture::*;
use pebbleturn::Outcome;
use pebbleturn::membership::NodeState;

#[test]
fn a_snapshot_from_the_future_is_neither_confirmed_nor_useless() {
    let stored = snapshot_at(&eight(1), NOON + HOUR);
    let b = Fixture::from(&[&stored], NOON);
    let notes = b.registry.statuses(NOON);
    assert!(notes.iter().all(|n| n.trust > 0.9 && n.trust < 1.0), "{notes:?}");
    assert!(b.holders().iter().all(|n| *n >= 2));
}

#[test]
fn an_older_snapshot_admits_fewer_nodes_with_later_assumed_starts() {
    let stored = snapshot_at(&eight(1), NOON);
    let mut before = (9, 0);
    for age in [S, 600 * S, HOUR, 6 * HOUR, 24 * HOUR, 240 * HOUR] {
        let now = NOON + age;
        let b = Fixture::from(&[&stored], now);
        let n = b.ready().len();
        let start =
            b.announced.values().map(|c| c.entry.started.map_or(0, |t| t + 14 * S - now)).max().unwrap();
        assert!(n <= before.0 && start >= before.1, "{n} after {} at {age}", before.0);
        assert!(b.holders().iter().all(|n| *n >= 2));
        before = (n, start);
    }
    assert!(before.0 < 8 && before.1 > 13 * S, "{before:?}");
    // In the end all are tried.
    let mut b = Fixture::from(&[&stored], NOON + 240 * HOUR);
    b.to(NOON + 240 * HOUR + 3 * S);
    assert_eq!(b.ready().len(), 8);
}

#[test]
fn connection_failures_eject_unconfirmed_nodes_by_age_and_confirmed_ones_never() {
    let stored = snapshot_at(&eight(1), NOON);
    for (age, failures) in [(24 * HOUR, 1), (2 * HOUR, 2)] {
        let now = NOON + age;
        let mut b = Fixture::from(&[&stored], now);
        b.to(now + 3 * S);
        for n in 1..=failures {
            assert!(b.ready().contains(&"s-0"), "{n} of {failures}");
            b.outcome("s-0", Outcome::ConnectFailed, now + 3 * S);
        }
        assert!(!b.ready().contains(&"s-0"));
        // It is tried again after a while, and a good answer confirms it.
        b.to(now + 5 * S);
        assert!(b.ready().contains(&"s-0"));
        b.outcome("s-0", Outcome::Ok, now + 5 * S);
        (0..5).for_each(|_| b.outcome("s-0", Outcome::ConnectFailed, now + 6 * S));
        assert!(b.ready().contains(&"s-0"), "the decisions alone mind who is confirmed");
    }
    let mut b = Fixture::new();
    b.directory(&eight(1), true, NOON);
    (0..5).for_each(|_| b.outcome("s-0", Outcome::TimedOut, NOON + S));
    assert_eq!(b.ready().len(), 8);
}

#[test]
fn an_ejection_does_not_count_as_an_answer_of_discovery() {
    // It used to end the back-off: a broker whose nodes came and went asked twice a second for as long as that lasted.
    let stored = snapshot_at(&eight(1), NOON);
    let now = NOON + 24 * HOUR;
    let mut b = Fixture::from(&[&stored], now);
    b.to(now + 3 * S);
    b.registry.on_attempt_end(b.find("s-0").unwrap().entry.replica, Outcome::ConnectFailed, S, now + 3 * S);
    b.registry.tick(now + 3 * S);
    assert!(
        b.registry.take_changes().is_some_and(|c| !c.is_empty()) && !b.registry.take_discovery_answered()
    );
    b.directory(&eight(2), true, now + 4 * S);
    assert!(b.registry.take_discovery_answered() && !b.registry.take_discovery_answered());
}

#[test]
fn ejections_leave_each_partition_a_holder() {
    let stored = snapshot_at(&eight(1), NOON);
    let now = NOON + 240 * HOUR;
    let mut b = Fixture::from(&[&stored], now);
    b.to(now + 3 * S);
    for n in 0..8 {
        if b.find(&format!("s-{n}")).is_some() {
            b.outcome(&format!("s-{n}"), Outcome::ConnectFailed, now + 3 * S);
        }
    }
    assert!(b.holders().iter().all(|n| *n > 0), "{:?}", b.holders());
}

#[test]
fn a_full_list_from_discovery_replaces_the_snapshot() {
    let stored = snapshot_at(&eight(7), NOON);
    let now = NOON + 24 * HOUR;
    let mut b = Fixture::from(&[&stored], now);
    assert!(b.ready().len() < 8 && b.registry.may_gain_nodes(now));
    let started = (now - 5 * S) / 1_000_000;
    let news = list(90, true, vec![server(1, NodeState::Ready, started), server(10, NodeState::Ready, 0)]);
    b.directory(&news, true, now + S);
    assert_eq!(b.ready(), ["s-1", "s-10"]);
    assert!(b.find("s-1").unwrap().entry.started.unwrap() >= now - 5 * S);
    assert!(!b.registry.may_gain_nodes(now + S));
}

#[test]
fn the_first_update_of_a_watch_confirms_the_nodes_it_omits() {
    let stored = snapshot_at(&eight(7), NOON);
    let now = NOON + 24 * HOUR;
    let mut b = Fixture::from(&[&stored], now);
    b.directory(&list(8, false, vec![server(1, NodeState::Terminating, 0)]), true, now);
    assert_eq!(b.ready().len(), 7);
}

#[test]
fn the_change_rate_is_learned_and_stored() {
    let mut b = Fixture::new();
    b.directory(&eight(1), true, NOON);
    // For an hour, a node restarts each minute.
    for n in 1..=60 {
        let now = NOON + n * 60 * S;
        b.directory(
            &list(1 + n, false, vec![server(n as u32 % 8, NodeState::Ready, now / 1_000_000)]),
            false,
            now,
        );
    }
    let end = NOON + HOUR;
    let stored = b.registry.snapshot(end);
    let busy = Fixture::from(&[&stored], end + 600 * S).registry.statuses(end + 600 * S)[0].trust;
    let calm = Fixture::from(&[&snapshot_at(&eight(1), end)], end + 600 * S).registry.statuses(end + 600 * S)
        [0]
    .trust;
    assert!(busy < calm - 0.05, "{busy} {calm}");
}
