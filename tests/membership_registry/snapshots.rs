//! Snapshots: when they are stored, what they restore, and which are rejected.

use crate::fixture::*;
use pebbleturn::membership::NodeState;
use pebbleturn::membership::endpoint_list::Endpoint;
use pebbleturn::membership::merged_view::MAX_GONE_NODES;
use pebbleturn::membership::snapshot::{self, SnapshotError};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

#[test]
fn a_drain_is_stored_at_once_and_survives_restarts() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(41), true, START_TIME);
    assert!(fixture.registry.take_snapshot(START_TIME).is_some());
    assert!(fixture.registry.take_snapshot(START_TIME + 10 * S).is_none(), "no new update");
    let later = START_TIME + 10 * S;
    fixture.discovery_update(&list(42, false, vec![endpoint(3, NodeState::Terminating, 0)]), false, later);
    let stored = fixture.registry.take_snapshot(later).expect("updates are stored at once");
    assert!(
        fixture.registry.take_snapshot(later + 40 * S).is_some(),
        "the confirmation time is stored again after a while"
    );
    let decoded = snapshot::decode(&snapshot::encode(&stored).unwrap()).unwrap();
    // The drain also survives a second restart, and an older generation restored beside the snapshot.
    let fixture = Fixture::restored(&[&snapshot_at(&eight_ready(41), START_TIME), &decoded], later + S);
    let again = fixture.registry.snapshot(later + S);
    let fixture = Fixture::restored(&[&again, &snapshot_at(&eight_ready(41), START_TIME)], later + 2 * S);
    assert!(!fixture.active_ids().contains(&"s-3") && fixture.active_ids().len() == 7);
}

#[test]
fn snapshots_are_rate_limited_under_frequent_updates() {
    let mut fixture = Fixture::new();
    let mut writes = 0;
    for n in 0..1000 {
        let now = START_TIME + n * S / 100;
        fixture.discovery_update(
            &list(1 + n, false, vec![endpoint(n as u32 % 8, NodeState::Ready, 0)]),
            n == 0,
            now,
        );
        writes += usize::from(fixture.registry.take_snapshot(now).is_some());
    }
    assert!((15..=21).contains(&writes), "{writes} writes in 10 s");
}

#[test]
fn truncated_and_corrupt_snapshots_are_rejected() {
    let bytes = snapshot::encode(&snapshot_at(&eight_ready(41), START_TIME)).unwrap();
    assert!(snapshot::decode(&bytes).is_ok());
    for n in 0..bytes.len() {
        assert!(snapshot::decode(&bytes[..n]).is_err(), "truncated to {n} bytes");
    }
    let mut rng = Pcg64Mcg::seed_from_u64(4);
    for n in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[n] ^= 1 << (rng.next_u64() % 8);
        assert!(snapshot::decode(&corrupt).is_err(), "bit flipped in byte {n}");
    }
    assert_eq!(snapshot::decode(b""), Err(SnapshotError::Empty));
    assert_eq!(snapshot::decode(b"pebbleturn-roster 2 0 00000000\n"), Err(SnapshotError::Version(2)));
    assert_eq!(
        snapshot::decode(&vec![b'x'; snapshot::MAX_FILE_BYTES + 1]),
        Err(SnapshotError::TooLarge(snapshot::MAX_FILE_BYTES + 1))
    );
    for _ in 0..2000 {
        let garbage: Vec<u8> = (0..rng.next_u64() % 200).map(|_| rng.next_u64() as u8).collect();
        assert!(snapshot::decode(&garbage).is_err());
    }
}

#[test]
fn removed_nodes_do_not_accumulate() {
    let mut fixture = Fixture::new();
    fixture.discovery_update(&eight_ready(1), true, START_TIME);
    let (mut most_records, mut largest) = (0, 0);
    for n in 0..2000u64 {
        let now = START_TIME + n * S;
        let id = |n: u64| format!("new-{n}");
        let old = Endpoint { id: id(n.saturating_sub(3)), ..endpoint(5, NodeState::Gone, 0) };
        let new = Endpoint {
            id: id(n),
            addr: format!("127.1.{}.{}:80", n / 250, n % 250),
            ..endpoint(5, NodeState::Ready, 0)
        };
        fixture.discovery_update(&list(2 + n, false, vec![old, new]), false, now);
        if n > 1000 && n % 100 == 0 {
            let stored = fixture.registry.snapshot(now);
            most_records = most_records.max(stored.nodes.len());
            largest = largest.max(snapshot::encode(&stored).unwrap().len());
        }
        assert!(fixture.announced.len() <= 12);
    }
    // A node that is gone has at most two records: that it was ready, and that it is gone.
    assert!(
        most_records <= 3 * MAX_GONE_NODES && largest < 1 << 20,
        "{most_records} records, {largest} bytes"
    );
    // A record as old as the pruned ones does not bring back a pruned node.
    fixture.registry.add_configured(
        &list(2, false, vec![Endpoint { id: "new-1".into(), ..endpoint(5, NodeState::Ready, 0) }]),
        START_TIME + HOUR,
    );
    fixture.collect_changes();
    assert!(fixture.find("new-1").is_none());
}
