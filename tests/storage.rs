//! Snapshots of the node list on disk, and the disk failures that the design note lists.

use pebbleturn::membership::snapshot::{Snapshot, SnapshotNode};
use pebbleturn::membership::staleness::ChangeRate;
use pebbleturn::membership::{NodeRecord, NodeState};
use pebbleturn::storage::snapshot_store::{self, CURRENT, LOCK, OLDER, SnapshotWriter, StoredSnapshots};
use pebbleturn::storage::{Disk, FileSystem};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

fn snapshot(version: u64, terminating: bool) -> Snapshot {
    let node_record = NodeRecord {
        id: "s-1".into(),
        addr: Some("127.0.0.1:80".parse().unwrap()),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        state: if terminating { NodeState::Terminating } else { NodeState::Ready },
        started: 0,
    };
    let node = SnapshotNode {
        record: node_record,
        epoch: 0,
        version,
        received: version,
        after_reset: false,
        confirmed: Some(version),
    };
    let (last_full_list, rate) = (Some((0, 1, 1)), ChangeRate::NONE);
    Snapshot {
        written: version,
        last_confirmed: Some(version),
        full_list: last_full_list,
        pruned_up_to: None,
        rate,
        nodes: vec![node],
    }
}

/// A disk on which the operation number `fail_from` and all later ones fail, as in a crash, on a full disk or
/// in a directory that was removed.
#[derive(Clone, Default)]
struct FailingDisk {
    operations: Arc<AtomicUsize>,
    fail_from: Arc<AtomicUsize>,
    /// Bytes of a file that are written before its write fails.
    partial_bytes: usize,
}

impl FailingDisk {
    fn next_operation(&self) -> io::Result<()> {
        let n = self.operations.fetch_add(1, Ordering::SeqCst);
        if n < self.fail_from.load(Ordering::SeqCst) { Ok(()) } else { Err(ErrorKind::StorageFull.into()) }
    }
}

impl FileSystem for FailingDisk {
    type Lock = ();

    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
        Disk.read(path, max_bytes)
    }

    fn write_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        if let Err(e) = self.next_operation() {
            std::fs::write(path, &bytes[..self.partial_bytes.min(bytes.len())])?;
            return Err(e);
        }
        Disk.write_synced(path, bytes)
    }

    fn append_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.next_operation()?;
        Disk.append_synced(path, bytes)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.next_operation()?;
        Disk.rename(from, to)
    }

    fn sync_dir(&self, dir: &Path) -> io::Result<()> {
        self.next_operation()?;
        Disk.sync_dir(dir)
    }

    fn lock(&self, _: &Path) -> io::Result<()> {
        Ok(())
    }
}

fn versions(snapshots: &[Snapshot]) -> Vec<u64> {
    snapshots.iter().map(|s| s.nodes[0].version).collect()
}

#[test]
fn two_generations_are_written_and_read_back() {
    let dir = tempfile::tempdir().unwrap();
    for n in 1..=3 {
        snapshot_store::write(&Disk, dir.path(), &snapshot(n, false)).unwrap();
    }
    let StoredSnapshots { snapshots: stored, problems } = snapshot_store::read(&Disk, dir.path());
    assert_eq!((versions(&stored), problems.len()), (vec![2, 3], 0));
    let mut names: Vec<_> = std::fs::read_dir(dir.path())
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    assert_eq!(names, [CURRENT, OLDER]);
}

#[test]
fn a_crash_at_any_step_of_a_write_loses_no_stored_snapshot() {
    for (fail_from, partial_bytes) in [(0, 0), (0, 20), (0, 200), (1, 0), (2, 0), (3, 0), (4, 0)] {
        let dir = tempfile::tempdir().unwrap();
        snapshot_store::write(&Disk, dir.path(), &snapshot(1, false)).unwrap();
        snapshot_store::write(&Disk, dir.path(), &snapshot(2, false)).unwrap();
        let crashing = FailingDisk {
            fail_from: Arc::new(AtomicUsize::new(fail_from)),
            partial_bytes,
            ..FailingDisk::default()
        };
        let result = snapshot_store::write(&crashing, dir.path(), &snapshot(3, true));
        assert_eq!(result.is_ok(), fail_from == 4);
        let StoredSnapshots { snapshots: stored, problems } = snapshot_store::read(&Disk, dir.path());
        assert!(problems.is_empty(), "{problems:?}");
        assert!(versions(&stored).contains(&2), "operation {fail_from}: {:?}", versions(&stored));
        // Once the new snapshot is complete on disk, its draining node is known, whatever fails later.
        assert_eq!(versions(&stored).contains(&3), fail_from > 0, "operation {fail_from}");
        // The next write succeeds.
        snapshot_store::write(&Disk, dir.path(), &snapshot(4, true)).unwrap();
        assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots).last(), Some(&4));
    }
}

#[test]
fn a_corrupt_generation_is_reported_and_the_other_one_is_used() {
    type Corrupt = fn(&Path);
    let corruptions: [(&str, Corrupt); 6] = [
        ("empty", |p| std::fs::write(p, b"").unwrap()),
        ("checksum", |p| {
            let mut bytes = std::fs::read(p).unwrap();
            let at = bytes.len() - 9;
            bytes[at] ^= 1;
            std::fs::write(p, bytes).unwrap();
        }),
        ("bytes instead of", |p| {
            let bytes = std::fs::read(p).unwrap();
            std::fs::write(p, &bytes[..bytes.len() / 2]).unwrap();
        }),
        ("version 7", |p| std::fs::write(p, b"pebbleturn-roster 7 0 00000000\n").unwrap()),
        ("more than", |p| std::fs::File::create(p).unwrap().set_len(9 << 20).unwrap()),
        ("it is not a regular file", |p| {
            std::fs::remove_file(p).unwrap();
            std::fs::create_dir(p).unwrap();
        }),
    ];
    for (expected, corrupt) in corruptions {
        let dir = tempfile::tempdir().unwrap();
        snapshot_store::write(&Disk, dir.path(), &snapshot(1, false)).unwrap();
        snapshot_store::write(&Disk, dir.path(), &snapshot(2, false)).unwrap();
        corrupt(&dir.path().join(CURRENT));
        let StoredSnapshots { snapshots: stored, problems } = snapshot_store::read(&Disk, dir.path());
        assert_eq!((versions(&stored), problems.len()), (vec![1], 1), "{expected}: {problems:?}");
        let problem = problems[0].to_string();
        assert!(problem.contains(expected) && problem.contains(CURRENT), "{problem}");
    }
}

#[test]
fn a_directory_is_locked_by_one_process_until_it_ends() {
    let dir = tempfile::tempdir().unwrap();
    let start = || SnapshotWriter::open(dir.path()).1.unwrap();
    let (mut first, mut second) = (start(), start());
    first.write(snapshot(1, false));
    wait_until_idle(&first);
    second.write(snapshot(2, false));
    wait_until_idle(&second);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots), [1]);
    assert!(dir.path().join(LOCK).exists());
    // As in a hot restart, the next process takes the lock.
    drop(first);
    second.write(snapshot(3, false));
    wait_until_idle(&second);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots), [1, 3]);
}

/// Waits until the writer has finished its last write.
fn wait_until_idle(writer: &SnapshotWriter) {
    while !writer.is_idle() {
        std::thread::yield_now();
    }
}

#[test]
fn a_full_disk_only_stops_snapshots_until_there_is_room_again() {
    let dir = tempfile::tempdir().unwrap();
    let disk = FailingDisk::default();
    let mut writer = SnapshotWriter::start(disk.clone(), dir.path().to_owned()).unwrap();
    for n in 1..=3 {
        writer.write(snapshot(n, false));
        wait_until_idle(&writer);
    }
    assert!(snapshot_store::read(&Disk, dir.path()).snapshots.is_empty());
    disk.fail_from.store(usize::MAX, Ordering::SeqCst);
    writer.write(snapshot(4, false));
    wait_until_idle(&writer);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots), [4]);
}

#[test]
fn a_removed_directory_is_used_again_once_it_is_recreated() {
    let dir = tempfile::tempdir().unwrap();
    let snapshot_dir = dir.path().join("kept");
    let (_, writer) = SnapshotWriter::open(&snapshot_dir);
    let mut writer = writer.unwrap();
    std::fs::remove_dir_all(&snapshot_dir).unwrap();
    writer.write(snapshot(1, false));
    wait_until_idle(&writer);
    std::fs::create_dir(&snapshot_dir).unwrap();
    writer.write(snapshot(2, false));
    wait_until_idle(&writer);
    assert_eq!(versions(&snapshot_store::read(&Disk, &snapshot_dir).snapshots), [2]);
    // Nothing is stored if the path is not a directory.
    let file = dir.path().join("file");
    std::fs::write(&file, "").unwrap();
    assert!(SnapshotWriter::open(&file).1.is_none());
}

/// A disk whose writes create the file of this path, and then block until the channel has a message.
struct BlockingDisk(PathBuf, std::sync::Mutex<mpsc::Receiver<()>>);

impl FileSystem for BlockingDisk {
    type Lock = ();

    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
        Disk.read(path, max_bytes)
    }

    fn write_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        std::fs::write(&self.0, "")?;
        let _ = self.1.lock().unwrap().recv();
        Disk.write_synced(path, bytes)
    }

    fn append_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        Disk.append_synced(path, bytes)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        Disk.rename(from, to)
    }

    fn sync_dir(&self, dir: &Path) -> io::Result<()> {
        Disk.sync_dir(dir)
    }

    fn lock(&self, _: &Path) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_hanging_disk_blocks_no_caller_and_a_started_write_is_finished_at_shutdown() {
    let dir = tempfile::tempdir().unwrap();
    let write_started = dir.path().join("begun");
    let (unblock, blocked) = mpsc::channel();
    let disk = BlockingDisk(write_started.clone(), std::sync::Mutex::new(blocked));
    let mut writer = SnapshotWriter::start(disk, dir.path().to_owned()).unwrap();
    writer.write(snapshot(1, true));
    while !write_started.exists() {
        std::thread::yield_now();
    }
    assert!(!writer.is_idle() && snapshot_store::read(&Disk, dir.path()).snapshots.is_empty());
    unblock.send(()).unwrap();
    drop(writer);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots), [1]);
    // A disk that never responds delays the exit of the process only by the timeout.
    let (never_sent, blocked) = mpsc::channel();
    let disk = BlockingDisk(write_started, std::sync::Mutex::new(blocked));
    let mut writer = SnapshotWriter::start(disk, dir.path().to_owned()).unwrap();
    writer.write(snapshot(2, true));
    drop(writer);
    // The drop has returned although the disk still blocks; the stored snapshot is unchanged.
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots), [1]);
    drop(never_sent);
}
