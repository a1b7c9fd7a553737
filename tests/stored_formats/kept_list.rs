//! Snapshots of the endpoint list: `roster.kept` and the older generation.

use super::fixtures::{Fixture, directory_with, flipped, stored, truncated};
use super::samples::{SERVER, full_list, minimal_list};
use pebbleturn::membership::NodeState;
use pebbleturn::membership::snapshot::{self, Snapshot, SnapshotError};
use pebbleturn::storage::Disk;
use pebbleturn::storage::snapshot_store::{self, CURRENT, OLDER, StoredSnapshots};

const FORMAT: &str = "kept_list";

/// Both generations on disk after two writes.
pub fn build_fixtures() -> Vec<Fixture> {
    let directory = tempfile::tempdir().unwrap();
    for list in [minimal_list(), full_list()] {
        snapshot_store::write(&Disk, directory.path(), &list).unwrap();
    }
    let file = |name| Fixture::of_file(FORMAT, directory.path(), name);
    vec![file(CURRENT), file(OLDER)]
}

fn stored_generation(file: &str) -> Vec<u8> {
    stored(&format!("{FORMAT}/{file}"))
}

/// The snapshot in a fixture, read from a directory as at a broker's start.
fn read_generation(file: &str) -> Snapshot {
    let directory = directory_with(file, &stored_generation(file));
    let StoredSnapshots { snapshots: mut lists, problems } = snapshot_store::read(&Disk, directory.path());
    assert_eq!((lists.len(), problems.len()), (1, 0), "{problems:?}");
    lists.remove(0)
}

#[test]
fn both_generations_are_written_as_before() {
    build_fixtures().iter().for_each(Fixture::assert_unchanged);
}

#[test]
fn the_current_generation_is_read_with_every_option_set() {
    let list = read_generation(CURRENT);
    assert_eq!(list.last_confirmed, Some(1_700_000_000_000_000_008));
    assert_eq!(list.full_list, Some((3, 70, 1_700_000_000_000_000_007)));
    assert_eq!(list.pruned_up_to, Some((2, 60)));
    let states: Vec<NodeState> = list.nodes.iter().map(|node| node.record.state).collect();
    assert_eq!(states, [NodeState::Ready, NodeState::Terminating, NodeState::Gone]);
    let ready = &list.nodes[0];
    assert_eq!(ready.record.id, SERVER);
    assert_eq!((ready.epoch, ready.version, ready.received), (3, 69, 21));
    assert_eq!((ready.after_reset, ready.confirmed), (true, Some(22)));
    assert_eq!(list.nodes[2].record.addr, None);
    assert_eq!(list, full_list());
}

#[test]
fn the_older_generation_is_read_with_no_option_set() {
    let list = read_generation(OLDER);
    assert_eq!((list.last_confirmed, list.full_list, list.pruned_up_to), (None, None, None));
    assert_eq!(list.nodes[0].record.addr, Some("[2001:db8::2]:443".parse().unwrap()));
    assert_eq!(list.nodes[0].confirmed, None);
    assert_eq!(list, minimal_list());
}

#[test]
fn damaged_snapshots_are_refused() {
    for file in [CURRENT, OLDER] {
        let bytes = stored_generation(file);
        assert_eq!(snapshot::decode(&flipped(&bytes)), Err(SnapshotError::Checksum));
        assert!(matches!(snapshot::decode(&truncated(&bytes)), Err(SnapshotError::Length { .. })));
        let directory = directory_with(file, &flipped(&bytes));
        let stored = snapshot_store::read(&Disk, directory.path());
        assert_eq!((stored.snapshots.len(), stored.problems.len()), (0, 1));
    }
}

/// Snapshots of earlier versions have `Draining` in place of `Terminating`, and no field `anew`, which
/// states whether the node was in the first list after a reset of discovery's versions.
#[test]
fn a_snapshot_of_an_earlier_version_is_read() {
    let text = String::from_utf8(stored_generation(OLDER)).unwrap();
    let (_, body) = text.split_once('\n').unwrap();
    let earlier = body.replace("\"Terminating\"", "\"Draining\"").replace("      \"anew\": false,\n", "");
    assert!(earlier.contains("Draining") && !earlier.contains("anew"));
    let checksum = crc32fast::hash(earlier.as_bytes());
    let bytes = format!("pebbleturn-roster 1 {} {checksum:08x}\n{earlier}", earlier.len());
    assert_eq!(snapshot::decode(bytes.as_bytes()), Ok(minimal_list()));
}
