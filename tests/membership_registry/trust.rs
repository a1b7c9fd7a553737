//! Trust by age: admission, ejection and confirmation of nodes.

use crate::fixture::*;
use pebbleturn::Outcome;
use pebbleturn::membership::NodeState;

#[test]
fn a_snapshot_dated_in_the_future_is_trusted_but_not_confirmed() {
    let stored = snapshot_at(&eight_ready(1), START_TIME + HOUR);
    let fixture = Fixture::restored(&[&stored], START_TIME);
    let statuses = fixture.registry.statuses(START_TIME);
    assert!(statuses.iter().all(|node| node.trust > 0.9 && node.trust < 1.0), "{statuses:?}");
    assert!(fixture.active_holders().iter().all(|n| *n >= 2));
}

#[test]
fn an_older_snapshot_admits_fewer_nodes_with_later_assumed_starts() {
    let stored = snapshot_at(&eight_ready(1), START_TIME);
    let mut before = (9, 0);
    for age in [S, 600 * S, HOUR, 6 * HOUR, 24 * HOUR, 240 * HOUR] {
        let now = START_TIME + age;
        let fixture = Fixture::restored(&[&stored], now);
        let n = fixture.active_ids().len();
        let start = fixture
            .announced
            .values()
            .map(|c| c.entry.started.map_or(0, |t| t + 14 * S - now))
            .max()
            .unwrap();
        assert!(n <= before.0 && start >= before.1, "{n} after {} at {age}", before.0);
        assert!(fixture.active_holders().iter().all(|n| *n >= 2));
        before = (n, start);
    }
    assert!(before.0 < 8 && before.1 > 13 * S, "{before:?}");
    // After a while all nodes are admitted.
    let mut fixture = Fixture::restored(&[&stored], START_TIME + 240 * HOUR);
    fixture.advance_to(START_TIME + 240 * HOUR + 3 * S);
    assert_eq!(fixture.active_ids().len(), 8);
}

#[test]
fn connection_failures_eject_unconfirmed_nodes_by_age_and_confirmed_ones_never() {
    let stored = snapshot_at(&eight_ready(1), START_TIME);
    for (age, failures) in [(24 * HOUR, 1), (2 * HOUR, 2)] {
        let now = START_TIME + age;
        let mut fixture = Fixture::restored(&[&stored], now);
        fixture.advance_to(now + 3 * S);
        for n in 1..=failures {
            assert!(fixture.active_ids().contains(&"s-0"), "{n} of {failures}");
            fixture.end_attempt("s-0", Outcome::ConnectFailed, now + 3 * S);
        }
        assert!(!fixture.active_ids().contains(&"s-0"));
        // It is admitted again after the ejection, and a good answer confirms it.
        fixture.advance_to(now + 5 * S);
        assert!(fixture.active_ids().contains(&"s-0"));
        fixture.end_attempt("s-0", Outcome::Ok, now + 5 * S);
        (0..5).for_each(|_| fixture.end_attempt("s-0", Outcome::ConnectFailed, now + 6 * S));
        assert!(fixture.active_ids().contains(&"s-0"), "failures do not eject a confirmed node");
    }
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    (0..5).for_each(|_| fixture.end_attempt("s-0", Outcome::TimedOut, START_TIME + S));
    assert_eq!(fixture.active_ids().len(), 8);
}

#[test]
fn an_ejection_does_not_count_as_an_answer_of_discovery() {
    // An ejection used to reset the back-off, so that a broker whose nodes came and went polled discovery
    // twice a second for as long as that lasted.
    let stored = snapshot_at(&eight_ready(1), START_TIME);
    let now = START_TIME + 24 * HOUR;
    let mut fixture = Fixture::restored(&[&stored], now);
    fixture.advance_to(now + 3 * S);
    fixture.registry.on_attempt_end(
        fixture.find("s-0").unwrap().entry.replica,
        Outcome::ConnectFailed,
        S,
        now + 3 * S,
    );
    fixture.registry.tick(now + 3 * S);
    assert!(
        fixture.registry.take_changes().is_some_and(|c| !c.is_empty())
            && !fixture.registry.take_discovery_answered()
    );
    fixture.discovery_update(&eight_ready(2), true, now + 4 * S);
    assert!(fixture.registry.take_discovery_answered() && !fixture.registry.take_discovery_answered());
}

#[test]
fn ejections_leave_each_partition_a_holder() {
    let stored = snapshot_at(&eight_ready(1), START_TIME);
    let now = START_TIME + 240 * HOUR;
    let mut fixture = Fixture::restored(&[&stored], now);
    fixture.advance_to(now + 3 * S);
    for n in 0..8 {
        if fixture.find(&format!("s-{n}")).is_some() {
            fixture.end_attempt(&format!("s-{n}"), Outcome::ConnectFailed, now + 3 * S);
        }
    }
    assert!(fixture.active_holders().iter().all(|n| *n > 0), "{:?}", fixture.active_holders());
}

#[test]
fn a_full_list_from_discovery_replaces_the_snapshot() {
    let stored = snapshot_at(&eight_ready(7), START_TIME);
    let now = START_TIME + 24 * HOUR;
    let mut fixture = Fixture::restored(&[&stored], now);
    assert!(fixture.active_ids().len() < 8 && fixture.registry.may_gain_nodes(now));
    let started = (now - 5 * S) / 1_000_000;
    let update =
        list(90, true, vec![endpoint(1, NodeState::Ready, started), endpoint(10, NodeState::Ready, 0)]);
    fixture.discovery_update(&update, true, now + S);
    assert_eq!(fixture.active_ids(), ["s-1", "s-10"]);
    assert!(fixture.find("s-1").unwrap().entry.started.unwrap() >= now - 5 * S);
    assert!(!fixture.registry.may_gain_nodes(now + S));
}

#[test]
fn the_first_update_of_a_watch_confirms_the_nodes_it_omits() {
    let stored = snapshot_at(&eight_ready(7), START_TIME);
    let now = START_TIME + 24 * HOUR;
    let mut fixture = Fixture::restored(&[&stored], now);
    fixture.discovery_update(&list(8, false, vec![endpoint(1, NodeState::Terminating, 0)]), true, now);
    assert_eq!(fixture.active_ids().len(), 7);
}

#[test]
fn the_change_rate_is_learned_and_stored() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    // For an hour, one node restarts each minute.
    for n in 1..=60 {
        let now = START_TIME + n * 60 * S;
        fixture.discovery_update(
            &list(1 + n, false, vec![endpoint(n as u32 % 8, NodeState::Ready, now / 1_000_000)]),
            false,
            now,
        );
    }
    let end = START_TIME + HOUR;
    let stored = fixture.registry.snapshot(end);
    let trust_after_changes =
        Fixture::restored(&[&stored], end + 600 * S).registry.statuses(end + 600 * S)[0].trust;
    let trust_without_changes = Fixture::restored(&[&snapshot_at(&eight_ready(1), end)], end + 600 * S)
        .registry
        .statuses(end + 600 * S)[0]
        .trust;
    assert!(
        trust_after_changes < trust_without_changes - 0.05,
        "{trust_after_changes} {trust_without_changes}"
    );
}
