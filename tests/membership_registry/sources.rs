//! Sources that contradict each other, and the changes that are announced.

use crate::fixture::*;
use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::merged_view::DirectoryScope;
use pebbleturn::membership::{NodeState, Registry, RegistrySettings};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

#[test]
fn an_update_with_an_older_version_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(41), true, START_TIME);
    fixture.discovery_update(
        &list(43, false, vec![endpoint(3, NodeState::Terminating, 0)]),
        false,
        START_TIME + S,
    );
    assert!(!fixture.active_ids().contains(&"s-3"));
    fixture.discovery_update(
        &list(42, false, vec![endpoint(3, NodeState::Ready, 0)]),
        false,
        START_TIME + 2 * S,
    );
    assert!(!fixture.active_ids().contains(&"s-3") && fixture.active_ids().len() == 7);
    assert_eq!(fixture.registry.version(), 43);
    // An update with a newer version returns it to service.
    fixture.discovery_update(
        &list(44, false, vec![endpoint(3, NodeState::Ready, 0)]),
        false,
        START_TIME + 3 * S,
    );
    assert_eq!(fixture.active_ids().len(), 8);
}

#[test]
fn a_version_reset_replaces_the_view_but_undoes_no_drain() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(41), true, START_TIME);
    fixture.discovery_update(
        &list(42, false, vec![endpoint(3, NodeState::Terminating, 0)]),
        false,
        START_TIME + S,
    );
    fixture.registry.watch_lost();
    let mut fresh = eight_ready(2);
    fresh.servers.remove(5);
    fresh.servers.push(endpoint(9, NodeState::Ready, 0));
    fixture.discovery_update(&fresh, true, START_TIME + 10 * S);
    assert_eq!(fixture.active_ids(), ["s-0", "s-1", "s-2", "s-4", "s-6", "s-7", "s-9"]);
    assert_eq!((fixture.registry.version(), fixture.registry.epoch()), (2, 1));
    // Changes after the reset are merged although their versions are lower than those before it.
    fixture.discovery_update(
        &list(3, false, vec![endpoint(3, NodeState::Ready, 0)]),
        false,
        START_TIME + 11 * S,
    );
    assert!(fixture.active_ids().contains(&"s-3"));
    // A process start after the drain was learned is a new process, even in the first list after a reset.
    fixture.discovery_update(
        &list(4, false, vec![endpoint(4, NodeState::Gone, 0)]),
        false,
        START_TIME + 12 * S,
    );
    fixture.registry.watch_lost();
    let started = (START_TIME + 15 * S) / 1_000_000;
    fixture.discovery_update(
        &list(1, true, vec![endpoint(4, NodeState::Ready, started)]),
        true,
        START_TIME + 20 * S,
    );
    assert_eq!(fixture.active_ids(), ["s-4"]);
}

#[test]
fn the_configured_list_undoes_nothing_of_a_snapshot() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(41), true, START_TIME);
    fixture.discovery_update(
        &list(45, false, vec![endpoint(3, NodeState::Terminating, 0), endpoint(4, NodeState::Gone, 0)]),
        false,
        START_TIME,
    );
    let stored = fixture.registry.snapshot(START_TIME + S);
    let mut after = Fixture::restored(&[&stored], START_TIME + 5 * S);
    after.registry.add_configured(&eight_ready(41), START_TIME + 5 * S);
    after.collect_changes();
    assert_eq!(after.active_ids(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    // Nor does a list with a higher version from before a version reset.
    let mut after_reset = Fixture::new();
    after_reset.discovery_update(&eight_ready(41), true, START_TIME);
    after_reset.discovery_update(&eight_ready(2), true, START_TIME + S);
    after_reset.discovery_update(
        &list(3, false, vec![endpoint(3, NodeState::Terminating, 0)]),
        false,
        START_TIME + S,
    );
    let stored = after_reset.registry.snapshot(START_TIME + S);
    let mut after = Fixture::restored(&[&stored], START_TIME + 5 * S);
    after.registry.add_configured(&eight_ready(41), START_TIME + 5 * S);
    after.collect_changes();
    assert!(!after.active_ids().contains(&"s-3") && after.active_ids().len() == 7);
}

#[test]
fn a_node_that_moves_gets_a_new_replica_number() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    let before = fixture.find("s-2").unwrap().entry.replica;
    let moved = Endpoint { addr: "127.0.0.99:80".into(), ..endpoint(2, NodeState::Ready, 0) };
    fixture.discovery_update(&list(2, false, vec![moved]), false, START_TIME + S);
    let after = fixture.find("s-2").unwrap();
    assert!(after.entry.replica != before && after.addr.unwrap().to_string() == "127.0.0.99:80");
    assert_eq!(fixture.announced.len(), 8, "the old replica is removed");
}

#[test]
fn of_two_ids_at_one_address_the_higher_version_has_it() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    let new = Endpoint { id: "s-20".into(), ..endpoint(2, NodeState::Ready, 0) };
    fixture.discovery_update(&list(2, false, vec![new]), false, START_TIME + S);
    assert!(fixture.active_ids().contains(&"s-20") && !fixture.active_ids().contains(&"s-2"));
    // When the new node is gone, the old one gets its address back.
    let gone = Endpoint { id: "s-20".into(), ..endpoint(2, NodeState::Gone, 0) };
    fixture.discovery_update(&list(3, false, vec![gone]), false, START_TIME + 2 * S);
    assert!(fixture.active_ids().contains(&"s-2") && fixture.active_ids().len() == 8);
}

#[test]
fn a_change_of_cell_is_announced() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    let before = fixture.find("s-2").unwrap().entry.clone();
    let moved = Endpoint { cell: 3, ..endpoint(2, NodeState::Ready, 0) };
    fixture.discovery_update(&list(2, false, vec![moved]), false, START_TIME + S);
    let after = fixture.find("s-2").unwrap().entry.clone();
    assert_eq!((before.cell, after.cell, after.replica), (2, 3, before.replica));
}

#[test]
fn a_start_in_the_future_is_announced_once_and_undoes_no_drain() {
    let mut fixture = Fixture::new();
    let future = (START_TIME + HOUR) / 1_000_000;
    fixture.discovery_update(&list(1, true, vec![endpoint(0, NodeState::Ready, future)]), true, START_TIME);
    assert_eq!(fixture.find("s-0").unwrap().entry.started, Some(START_TIME));
    // The same record received later does not announce a newer start.
    fixture.discovery_update(
        &list(2, true, vec![endpoint(0, NodeState::Ready, future)]),
        true,
        START_TIME + 60 * S,
    );
    assert_eq!(fixture.find("s-0").unwrap().entry.started, Some(START_TIME));
    fixture.discovery_update(
        &list(3, false, vec![endpoint(0, NodeState::Terminating, future)]),
        false,
        START_TIME + 61 * S,
    );
    fixture
        .registry
        .add_configured(&list(1, true, vec![endpoint(0, NodeState::Ready, future)]), START_TIME + 62 * S);
    fixture.collect_changes();
    assert!(fixture.active_ids().is_empty());
}

#[test]
fn operator_nodes_are_added_drained_and_removed_and_discovery_overrides_them() {
    let mut fixture = Fixture::new();
    let records = |nodes: &[(u32, NodeState)]| {
        nodes.iter().map(|(n, state)| endpoint(*n, *state, 0).record()).collect::<Vec<_>>()
    };
    fixture.registry.set_operator_nodes(records(&[(0, NodeState::Ready), (1, NodeState::Ready)]), START_TIME);
    fixture.collect_changes();
    assert_eq!(fixture.active_ids(), ["s-0", "s-1"]);
    fixture
        .registry
        .set_operator_nodes(records(&[(1, NodeState::Terminating), (2, NodeState::Ready)]), START_TIME + S);
    fixture.collect_changes();
    assert_eq!(fixture.active_ids(), ["s-2"]);
    fixture.discovery_update(
        &list(1, false, vec![endpoint(2, NodeState::Terminating, 0)]),
        true,
        START_TIME + 2 * S,
    );
    assert!(fixture.active_ids().is_empty());
    // Reading the file again does not return it to service.
    fixture.registry.set_operator_nodes(records(&[(2, NodeState::Ready)]), START_TIME + 3 * S);
    fixture.collect_changes();
    assert!(fixture.active_ids().is_empty());
}

/// A full list with these nodes, all of them ready.
fn full_list_of(version: u64, numbers: &[u32]) -> EndpointList {
    list(version, true, numbers.iter().map(|n| endpoint(*n, NodeState::Ready, 0)).collect())
}

/// Guards against the use of a node that discovery's full list leaves out while the operator's file names it. The
/// list decides until discovery names the node again.
#[test]
fn a_full_list_removes_a_node_that_the_operators_file_names_too() {
    let mut fixture = Fixture::new();
    let in_file: Vec<_> = (0..3).map(|n| endpoint(n, NodeState::Ready, 0).record()).collect();
    fixture.registry.set_operator_nodes(in_file.clone(), START_TIME);
    fixture.discovery_update(&full_list_of(41, &[0, 1, 2]), true, START_TIME + S);
    assert_eq!(fixture.active_ids(), ["s-0", "s-1", "s-2"]);
    fixture.registry.watch_lost();
    fixture.discovery_update(&full_list_of(42, &[0, 2]), true, START_TIME + 2 * S);
    assert_eq!(fixture.active_ids(), ["s-0", "s-2"]);
    // Reading the file again does not return it to service, nor does a restart, with or without a stored list.
    fixture.registry.set_operator_nodes(in_file.clone(), START_TIME + 3 * S);
    fixture.collect_changes();
    assert_eq!(fixture.active_ids(), ["s-0", "s-2"]);
    let stored = fixture.registry.snapshot(START_TIME + 4 * S);
    let mut restarted = Fixture::restored(&[&stored], START_TIME + 5 * S);
    restarted.registry.set_operator_nodes(in_file.clone(), START_TIME + 5 * S);
    restarted.collect_changes();
    assert_eq!(restarted.active_ids(), ["s-0", "s-2"]);
    let mut without_store = Fixture::new();
    without_store.registry.set_operator_nodes(in_file, START_TIME + 5 * S);
    without_store.discovery_update(&full_list_of(42, &[0, 2]), true, START_TIME + 6 * S);
    assert_eq!(without_store.active_ids(), ["s-0", "s-2"]);
    // A change or a full list that names it does.
    let named = list(43, false, vec![endpoint(1, NodeState::Ready, 0)]);
    fixture.discovery_update(&named, false, START_TIME + 6 * S);
    assert_eq!(fixture.active_ids(), ["s-0", "s-1", "s-2"]);
    restarted.discovery_update(&full_list_of(44, &[0, 1, 2]), true, START_TIME + 7 * S);
    assert_eq!(restarted.active_ids(), ["s-0", "s-1", "s-2"]);
}

/// A node that only the operator's file names is in use until discovery's first full list, which either names
/// it or not.
#[test]
fn a_full_list_decides_about_nodes_that_discovery_has_never_named() {
    let mut fixture = Fixture::new();
    let in_file = vec![endpoint(7, NodeState::Ready, 0).record()];
    fixture.registry.set_operator_nodes(in_file.clone(), START_TIME);
    fixture.collect_changes();
    assert_eq!(fixture.active_ids(), ["s-7"]);
    fixture.discovery_update(&full_list_of(42, &[0]), true, START_TIME + S);
    assert_eq!(fixture.active_ids(), ["s-0"]);
    // Discovery's versions start again with a list that names it: nothing was ever reported against it.
    fixture.registry.watch_lost();
    fixture.discovery_update(&full_list_of(1, &[0, 7]), true, START_TIME + 2 * S);
    assert_eq!(fixture.active_ids(), ["s-0", "s-7"]);
    // A broker that has no discovery any more, but still a list of one, uses the nodes of its file.
    let mut earlier = Fixture::new();
    earlier.discovery_update(&full_list_of(42, &[0]), true, START_TIME);
    let stored = earlier.registry.snapshot(START_TIME + S);
    let directory_scope = DirectoryScope::NodesOfDirectory;
    let mut alone = Fixture {
        registry: Registry::new(RegistrySettings { directory_scope, ..settings() }),
        ..Fixture::new()
    };
    alone.registry.restore(&[stored], START_TIME + 2 * S);
    alone.registry.set_operator_nodes(in_file, START_TIME + 2 * S);
    alone.collect_changes();
    assert_eq!(alone.active_ids(), ["s-0", "s-7"]);
}

/// The records of nodes that are gone are pruned. A node of the operator's file must not return to service by
/// that.
#[test]
fn an_operators_node_that_discovery_removed_stays_gone_when_its_record_is_pruned() {
    use pebbleturn::membership::merged_view::MAX_GONE_NODES;
    let mut fixture = Fixture::new();
    fixture.registry.set_operator_nodes(vec![endpoint(0, NodeState::Ready, 0).record()], START_TIME);
    fixture.discovery_update(&list(1, true, vec![endpoint(0, NodeState::Ready, 0)]), true, START_TIME);
    let numbers = 0..=MAX_GONE_NODES as u32;
    for number in numbers {
        let gone = Endpoint { addr: String::new(), ..endpoint(number, NodeState::Gone, 0) };
        let version = 2 + u64::from(number);
        fixture.discovery_update(&list(version, false, vec![gone]), false, START_TIME + S);
    }
    fixture.discovery_update(&list(10_000, true, vec![endpoint(9, NodeState::Ready, 0)]), true, START_TIME);
    assert_eq!(fixture.active_ids(), ["s-9"]);
}

#[test]
fn reconciling_named_nodes_announces_what_reconciling_all_would() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut below = |n: u64| rng.next_u64() % n;
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    let mut announced = 0;
    for version in 2..2000 {
        let now = START_TIME + version * S;
        let n = below(10) as u32;
        let state =
            [NodeState::Ready, NodeState::Ready, NodeState::Ready, NodeState::Terminating, NodeState::Gone]
                [below(5) as usize];
        let started = if below(2) == 0 { 0 } else { (now - below(20) * S) / 1_000_000 };
        // Some updates move a node, change its cell, or make it claim another node's address.
        let addr = if below(8) == 0 { below(10) as u32 } else { n };
        let changed = Endpoint {
            addr: format!("127.0.0.{}:80", addr + 1),
            cell: (n + u32::from(below(9) == 0)) % 4,
            ..endpoint(n, state, started)
        };
        fixture.registry.on_discovery_update(&list(version, false, vec![changed]), false, now);
        announced += fixture.registry.take_changes().unwrap().len();
        // An operator's file without nodes reconciles all nodes, which must announce nothing more.
        fixture.registry.set_operator_nodes(vec![], now);
        assert_eq!(fixture.registry.take_changes(), None, "at version {version}");
    }
    assert!(announced > 1000, "{announced}");
}

/// An instance of discovery that lags behind answers with an older full list. Nodes that a newer list omitted
/// stay gone until they restart or a later change names them.
#[test]
fn a_version_reset_brings_back_no_node_that_a_newer_list_omitted() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(41), true, START_TIME);
    fixture.registry.watch_lost();
    let mut without = eight_ready(42);
    without.servers.retain(|server| server.id != "s-3" && server.id != "s-4");
    fixture.discovery_update(&without, true, START_TIME + S);
    assert_eq!(fixture.active_ids(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    fixture.registry.watch_lost();
    fixture.discovery_update(&eight_ready(41), true, START_TIME + 2 * S);
    assert_eq!(fixture.active_ids(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    // The same holds after a restart of this process from the stored snapshot.
    let stored = fixture.registry.snapshot(START_TIME + 3 * S);
    let mut after = Fixture::restored(&[&stored], START_TIME + 5 * S);
    after.discovery_update(&eight_ready(40), true, START_TIME + 6 * S);
    assert_eq!(after.active_ids(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
    // A change names one of them, and the other restarts.
    fixture.discovery_update(
        &list(43, false, vec![endpoint(3, NodeState::Ready, 0)]),
        false,
        START_TIME + 4 * S,
    );
    let started = (START_TIME + 5 * S) / 1_000_000;
    fixture.discovery_update(
        &list(44, false, vec![endpoint(4, NodeState::Ready, started)]),
        false,
        START_TIME + 6 * S,
    );
    assert_eq!(fixture.active_ids().len(), 8);
}

/// After a version reset, changes with lower versions than before are merged, and other nodes stay unchanged.
#[test]
fn changes_after_a_version_reset_are_merged_without_a_full_list() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(41), true, START_TIME);
    fixture.registry.watch_lost();
    let drained = list(2, false, vec![endpoint(3, NodeState::Terminating, 0)]);
    fixture.registry.on_changes_after_reset(&drained, START_TIME + S);
    fixture.collect_changes();
    assert_eq!(fixture.active_ids(), ["s-0", "s-1", "s-2", "s-4", "s-5", "s-6", "s-7"]);
    assert_eq!((fixture.registry.version(), fixture.registry.epoch()), (2, 1));
    fixture.discovery_update(
        &list(3, false, vec![endpoint(4, NodeState::Gone, 0)]),
        false,
        START_TIME + 2 * S,
    );
    assert_eq!(fixture.active_ids(), ["s-0", "s-1", "s-2", "s-5", "s-6", "s-7"]);
}

/// The clock of the process that learned of a drain was one hour behind, so the node's last start appears to
/// be later than the drain. An older report of that start does not undo the drain.
#[test]
fn an_older_report_of_a_start_undoes_no_drain_learned_by_a_slow_clock() {
    let started = (START_TIME - 100 * S) / 1_000_000;
    let with_start = |version| list(version, true, vec![endpoint(3, NodeState::Ready, started)]);
    let an_hour_behind = START_TIME - 3600 * S;
    let mut fixture = Fixture::new();
    fixture.discovery_update(&with_start(41), true, an_hour_behind);
    let drained = list(42, false, vec![endpoint(3, NodeState::Terminating, started)]);
    fixture.discovery_update(&drained, false, an_hour_behind + S);
    let stored = fixture.registry.snapshot(an_hour_behind + 2 * S);
    let mut after = Fixture::restored(&[&stored], START_TIME);
    after.registry.add_configured(&with_start(41), START_TIME);
    after.collect_changes();
    assert!(after.active_ids().is_empty(), "{:?}", after.active_ids());
}
