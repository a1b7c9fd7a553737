//! Sources that contradict each other, and what is announced of them.

use crate::fixture::*;
use pebbleturn::membership::NodeState;
use pebbleturn::membership::endpoint_list::Endpoint;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

#[test]
fn an_update_with_an_older_version_is_ignored() {
    let mut b = Fixture::new();
    b.directory(&eight(41), true, NOON);
    b.directory(&list(43, false, vec![server(3, NodeState::Terminating, 0)]), false, NOON + S);
    assert!(!b.ready().contains(&"s-3"));
    b.directory(&list(42, false, vec![server(3, NodeState::Ready, 0)]), false, NOON + 2 * S);
    assert!(!b.ready().contains(&"s-3") && b.ready().len() == 7);
    assert_eq!(b.registry.version(), 43);
    // Newer word brings it back.
    b.directory(&list(44, false, vec![server(3, NodeState::Ready, 0)]), false, NOON + 3 * S);
    assert_eq!(b.ready().len(), 8);
}

#[test]
fn a_version_reset_replaces_the_view_but_undoes_no_drain() {
    let mut b = Fixture::new();
    b.directory(&eight(41), true, NOON);
    b.directory(&list(42, false, vec![server(3, NodeState::Terminating, 0)]), false, NOON + S);
    b.registry.watch_lost();
    let mut fresh = eight(2);
    fresh.servers.remove(5);
    fresh.servers.push(server(9, NodeState::Ready, 0));
    b.directory(&fresh, true, NOON + 10 * S);
    assert_eq!(b.ready(), ["s-0", "s-1", "s-2", "s-4", "s-6", "s-7", "s-9"]);
    assert_eq!((b.registry.version(), b.registry.epoch()), (2, 1));
    // From there its changes count, small as their numbers are.
    b.directory(&list(3, false, vec![server(3, NodeState::Ready, 0)]), false, NOON + 11 * S);
    assert!(b.ready().contains(&"s-3"));
    // A start after the drain was learnt is a new life, whoever tells it.
    b.directory(&list(4, false, vec![server(4, NodeState::Gone, 0)]), false, NOON + 12 * S);
    b.registry.watch_lost();
    let started = (NOON + 15 * S) / 1_000_000;
    b.directory(&list(1, true, vec![server(4, NodeState::Ready, started)]), true, NOON + 20 * S);
    assert_eq!(b.ready(), ["s-4"]);
}

#[test]
fn the_configured_list_undoes_nothing_of_a_snapshot() {
    let mut b = Fixture::new();
    b.directory(&eight(41), true, NOON);
    b.directory(
        &list(45, false, vec![server(3, NodeState::Terminating, 0), server(4, NodeState::Gone, 0)]),
        false,
        NOON,
    );
    let stored = b.registry.snapshot(NOON + S);
    let mut after = Fixture::from(&[&stored], NOON + 5 * S);
    after.registry.add_configured(&eight(41), NOON + 5 * S);
    after.collect_changes();
    assert_eq!(after.ready(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    // Nor does one with a high number from before discovery counted after_reset.
    let mut after_reset = Fixture::new();
    after_reset.directory(&eight(41), true, NOON);
    after_reset.directory(&eight(2), true, NOON + S);
    after_reset.directory(&list(3, false, vec![server(3, NodeState::Terminating, 0)]), false, NOON + S);
    let stored = after_reset.registry.snapshot(NOON + S);
    let mut after = Fixture::from(&[&stored], NOON + 5 * S);
    after.registry.add_configured(&eight(41), NOON + 5 * S);
    after.collect_changes();
    assert!(!after.ready().contains(&"s-3") && after.ready().len() == 7);
}

#[test]
fn a_node_that_moves_gets_a_new_replica_number() {
    let mut b = Fixture::new();
    b.directory(&eight(1), true, NOON);
    let before = b.find("s-2").unwrap().entry.replica;
    let moved = Endpoint { addr: "127.0.0.99:80".into(), ..server(2, NodeState::Ready, 0) };
    b.directory(&list(2, false, vec![moved]), false, NOON + S);
    let after = b.find("s-2").unwrap();
    assert!(after.entry.replica != before && after.addr.unwrap().to_string() == "127.0.0.99:80");
    assert_eq!(b.announced.len(), 8, "the old place is gone");
}

#[test]
fn of_two_ids_at_one_address_the_higher_version_has_it() {
    let mut b = Fixture::new();
    b.directory(&eight(1), true, NOON);
    let new = Endpoint { id: "s-20".into(), ..server(2, NodeState::Ready, 0) };
    b.directory(&list(2, false, vec![new]), false, NOON + S);
    assert!(b.ready().contains(&"s-20") && !b.ready().contains(&"s-2"));
    // Once the usurper is gone the other has its address again.
    let gone = Endpoint { id: "s-20".into(), ..server(2, NodeState::Gone, 0) };
    b.directory(&list(3, false, vec![gone]), false, NOON + 2 * S);
    assert!(b.ready().contains(&"s-2") && b.ready().len() == 8);
}

#[test]
fn a_change_of_cell_is_announced() {
    let mut b = Fixture::new();
    b.directory(&eight(1), true, NOON);
    let before = b.find("s-2").unwrap().entry.clone();
    let moved = Endpoint { cell: 3, ..server(2, NodeState::Ready, 0) };
    b.directory(&list(2, false, vec![moved]), false, NOON + S);
    let after = b.find("s-2").unwrap().entry.clone();
    assert_eq!((before.cell, after.cell, after.replica), (2, 3, before.replica));
}

#[test]
fn a_start_in_the_future_is_announced_once_and_undoes_no_drain() {
    let mut b = Fixture::new();
    let future = (NOON + HOUR) / 1_000_000;
    b.directory(&list(1, true, vec![server(0, NodeState::Ready, future)]), true, NOON);
    assert_eq!(b.find("s-0").unwrap().entry.started, Some(NOON));
    // The same fact later does not make it cold after_reset.
    b.directory(&list(2, true, vec![server(0, NodeState::Ready, future)]), true, NOON + 60 * S);
    assert_eq!(b.find("s-0").unwrap().entry.started, Some(NOON));
    b.directory(&list(3, false, vec![server(0, NodeState::Terminating, future)]), false, NOON + 61 * S);
    b.registry.add_configured(&list(1, true, vec![server(0, NodeState::Ready, future)]), NOON + 62 * S);
    b.collect_changes();
    assert!(b.ready().is_empty());
}

#[test]
fn operator_nodes_are_added_drained_and_removed_and_discovery_overrides_them() {
    let mut b = Fixture::new();
    let facts =
        |ns: &[(u32, NodeState)]| ns.iter().map(|(n, s)| server(*n, *s, 0).record()).collect::<Vec<_>>();
    b.registry.set_operator_nodes(facts(&[(0, NodeState::Ready), (1, NodeState::Ready)]), NOON);
    b.collect_changes();
    assert_eq!(b.ready(), ["s-0", "s-1"]);
    b.registry.set_operator_nodes(facts(&[(1, NodeState::Terminating), (2, NodeState::Ready)]), NOON + S);
    b.collect_changes();
    assert_eq!(b.ready(), ["s-2"]);
    b.directory(&list(1, false, vec![server(2, NodeState::Terminating, 0)]), true, NOON + 2 * S);
    assert!(b.ready().is_empty());
    // Reading the file again does not bring it back.
    b.registry.set_operator_nodes(facts(&[(2, NodeState::Ready)]), NOON + 3 * S);
    b.collect_changes();
    assert!(b.ready().is_empty());
}

#[test]
fn reconciling_named_nodes_announces_what_reconciling_all_would() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut below = |n: u64| rng.next_u64() % n;
    let mut b = Fixture::new();
    b.directory(&eight(1), true, NOON);
    let mut announced = 0;
    for version in 2..2000 {
        let now = NOON + version * S;
        let n = below(10) as u32;
        let state =
            [NodeState::Ready, NodeState::Ready, NodeState::Ready, NodeState::Terminating, NodeState::Gone]
                [below(5) as usize];
        let started = if below(2) == 0 { 0 } else { (now - below(20) * S) / 1_000_000 };
        // Now and then a node moves, changes its cell, or claims another's address.
        let addr = if below(8) == 0 { below(10) as u32 } else { n };
        let line = Endpoint {
            addr: format!("127.0.0.{}:80", addr + 1),
            cell: (n + u32::from(below(9) == 0)) % 4,
            ..server(n, state, started)
        };
        b.registry.on_discovery_update(&list(version, false, vec![line]), false, now);
        announced += b.registry.take_changes().unwrap().len();
        // An operator's file without nodes changes nothing, and has all looked through.
        b.registry.set_operator_nodes(vec![], now);
        assert_eq!(b.registry.take_changes(), None, "at version {version}");
    }
    assert!(announced > 1000, "{announced}");
}

/// An instance of discovery that lags behind answers with an older full list: nodes that a newer one left out stay gone,
/// until they start anew or a change names them.
#[test]
fn a_version_reset_brings_back_no_node_that_a_newer_list_left_out() {
    let mut b = Fixture::new();
    b.directory(&eight(41), true, NOON);
    b.registry.watch_lost();
    let mut without = eight(42);
    without.servers.retain(|server| server.id != "s-3" && server.id != "s-4");
    b.directory(&without, true, NOON + S);
    assert_eq!(b.ready(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    b.registry.watch_lost();
    b.directory(&eight(41), true, NOON + 2 * S);
    assert_eq!(b.ready(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    // Nor does it after a restart of this process, from what was stored.
    let stored = b.registry.snapshot(NOON + 3 * S);
    let mut after = Fixture::from(&[&stored], NOON + 5 * S);
    after.directory(&eight(40), true, NOON + 6 * S);
    assert_eq!(after.ready(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    // A change names one, the other starts anew.
    b.directory(&list(43, false, vec![server(3, NodeState::Ready, 0)]), false, NOON + 4 * S);
    let started = (NOON + 5 * S) / 1_000_000;
    b.directory(&list(44, false, vec![server(4, NodeState::Ready, started)]), false, NOON + 6 * S);
    assert_eq!(b.ready().len(), 8);
}

/// Changes of a discovery that counts anew count, small as their numbers are, and say nothing of other nodes.
#[test]
fn changes_after_a_version_reset_are_merged_without_a_full_list() {
    let mut b = Fixture::new();
    b.directory(&eight(41), true, NOON);
    b.registry.watch_lost();
    let drained = list(2, false, vec![server(3, NodeState::Terminating, 0)]);
    b.registry.on_changes_after_reset(&drained, NOON + S);
    b.collect_changes();
    assert_eq!(b.ready(), ["s-0", "s-1", "s-2", "s-4", "s-5", "s-6", "s-7"]);
    assert_eq!((b.registry.version(), b.registry.epoch()), (2, 1));
    b.directory(&list(3, false, vec![server(4, NodeState::Gone, 0)]), false, NOON + 2 * S);
    assert_eq!(b.ready(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
}

/// The clock of the process that learned of a drain was behind, so that the last start seems to come after it. An older
/// report of that start does not undo the drain.
#[test]
fn an_older_report_of_a_start_undoes_no_drain_of_a_wrong_clock() {
    let started = (NOON - 100 * S) / 1_000_000;
    let with_start = |version| list(version, true, vec![server(3, NodeState::Ready, started)]);
    let an_hour_behind = NOON - 3600 * S;
    let mut b = Fixture::new();
    b.directory(&with_start(41), true, an_hour_behind);
    let drained = list(42, false, vec![server(3, NodeState::Terminating, started)]);
    b.directory(&drained, false, an_hour_behind + S);
    let stored = b.registry.snapshot(an_hour_behind + 2 * S);
    let mut after = Fixture::from(&[&stored], NOON);
    after.registry.add_configured(&with_start(41), NOON);
    after.collect_changes();
    assert!(after.ready().is_empty(), "{:?}", after.ready());
}
