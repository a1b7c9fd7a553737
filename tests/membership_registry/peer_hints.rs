//! Hints of other brokers.

/// What other brokers know: it makes this broker more careful, never bolder, and over once the own list is as new.
#[test]
fn a_drain_from_a_peers_hint_holds_until_the_own_list_or_the_node_is_newer() {
    use pebbleturn::membership::NodeChange;
    use pebbleturn::membership::gossip_hints::{LocalReport, PeerHints};
    use pebbleturn::replication::ProcessStart;
    use pebbleturn::replication::derived_state::NodeHints;
    use pebbleturn::{ReplicaEntry, ReplicaId, ReplicaState};
    let change = |replica, standing| NodeChange {
        entry: ReplicaEntry {
            replica: ReplicaId(replica),
            zone: 0,
            cell: 0,
            state: standing,
            started: None,
            weight: 1.0,
        },
        id: "s".into(),
        addr: None,
        kind: String::new(),
    };
    let own = |started, version| move |_: &str| LocalReport { started, version };
    let drain = |started, version| NodeHints {
        drain: Some(ProcessStart { started, list_version: version }),
        started: 0,
    };
    let shown = |change: Option<NodeChange>| change.map(|c| c.entry.state);
    let mut others = PeerHints::default();
    // Nobody is named by others.
    assert_eq!(others.on_hint("s", drain(0, 9)), None);
    let first = others.apply_changes(vec![change(1, ReplicaState::Active)], own(0, 5));
    assert_eq!(first[0].entry.state, ReplicaState::Draining);
    // The own list goes on, and is not as new yet; then it is.
    assert!(others.on_list_change(false, own(0, 8)).is_empty() && others.drained_count() == 1);
    assert_eq!(others.on_list_change(false, own(0, 9))[0].entry.state, ReplicaState::Active);
    // A later drain, and the start after it that somebody received of.
    assert_eq!(shown(others.on_hint("s", drain(0, 12))), Some(ReplicaState::Draining));
    let back = others.on_hint("s", NodeHints { started: 7, ..drain(0, 12) }).unwrap();
    assert_eq!((back.entry.state, back.entry.started), (ReplicaState::Active, Some(7)));
    // One's own draining and going is never made less.
    let gone = others
        .apply_changes(vec![change(1, ReplicaState::Draining), change(1, ReplicaState::Removed)], own(0, 12));
    assert_eq!([gone[0].entry.state, gone[1].entry.state], [ReplicaState::Draining, ReplicaState::Removed]);
    assert_eq!(others.drained_count(), 0);
    // A discovery that counts after_reset: versions from before say nothing.
    others.apply_changes(vec![change(2, ReplicaState::Active)], own(0, 12));
    assert_eq!(shown(others.on_hint("s", drain(7, 40))), Some(ReplicaState::Draining));
    assert_eq!(others.on_list_change(true, own(0, 1))[0].entry.state, ReplicaState::Active);
    // Of nodes that come and go without end a bounded number is held, the listed ones among them.
    for n in 0..20_000 {
        others.on_hint(&format!("x-{n}"), NodeHints { drain: None, started: n });
    }
    assert_eq!(others.hinted_count(), 16_384);
    assert!(others.on_hint("s", drain(7, 90)).is_some());
}
