//! Hints of other brokers.

/// Hints of other brokers only restrict the use of a node, and no longer apply once the own list is at least
/// as new.
#[test]
fn a_drain_from_a_peers_hint_holds_until_the_own_list_or_the_node_is_newer() {
    use pebbleturn::membership::NodeChange;
    use pebbleturn::membership::gossip_hints::{LocalReport, PeerHints};
    use pebbleturn::replication::ProcessStart;
    use pebbleturn::replication::derived_state::NodeHints;
    use pebbleturn::{ReplicaEntry, ReplicaId, ReplicaState};
    let change = |replica, state| NodeChange {
        entry: ReplicaEntry {
            replica: ReplicaId(replica),
            zone: 0,
            cell: 0,
            state,
            started: None,
            weight: 1.0,
        },
        id: "s".into(),
        addr: None,
        kind: String::new(),
    };
    let own_report = |started, version| move |_: &str| LocalReport { started, version };
    let drain = |started, version| NodeHints {
        drain: Some(ProcessStart { started, list_version: version }),
        started: 0,
    };
    let state_of = |change: Option<NodeChange>| change.map(|change| change.entry.state);
    let mut peer_hints = PeerHints::default();
    // A hint does not add a node.
    assert_eq!(peer_hints.on_hint("s", drain(0, 9)), None);
    let first = peer_hints.apply_changes(vec![change(1, ReplicaState::Active)], own_report(0, 5));
    assert_eq!(first[0].entry.state, ReplicaState::Draining);
    // The drain holds while the own list is older than it, and ends when the own list has its version.
    assert!(peer_hints.on_list_change(false, own_report(0, 8)).is_empty() && peer_hints.drained_count() == 1);
    assert_eq!(peer_hints.on_list_change(false, own_report(0, 9))[0].entry.state, ReplicaState::Active);
    // A later drain, then a hint of a process start after it.
    assert_eq!(state_of(peer_hints.on_hint("s", drain(0, 12))), Some(ReplicaState::Draining));
    let restarted = peer_hints.on_hint("s", NodeHints { started: 7, ..drain(0, 12) }).unwrap();
    assert_eq!((restarted.entry.state, restarted.entry.started), (ReplicaState::Active, Some(7)));
    // Hints don't change a node that is draining or removed by the own list.
    let gone = peer_hints.apply_changes(
        vec![change(1, ReplicaState::Draining), change(1, ReplicaState::Removed)],
        own_report(0, 12),
    );
    assert_eq!([gone[0].entry.state, gone[1].entry.state], [ReplicaState::Draining, ReplicaState::Removed]);
    assert_eq!(peer_hints.drained_count(), 0);
    // After a version reset, drains with versions from before it no longer apply.
    peer_hints.apply_changes(vec![change(2, ReplicaState::Active)], own_report(0, 12));
    assert_eq!(state_of(peer_hints.on_hint("s", drain(7, 40))), Some(ReplicaState::Draining));
    assert_eq!(peer_hints.on_list_change(true, own_report(0, 1))[0].entry.state, ReplicaState::Active);
    // The number of nodes with stored hints is bounded, and listed nodes keep theirs.
    for n in 0..20_000 {
        peer_hints.on_hint(&format!("x-{n}"), NodeHints { drain: None, started: n });
    }
    assert_eq!(peer_hints.hinted_count(), 16_384);
    assert!(peer_hints.on_hint("s", drain(7, 90)).is_some());
}
