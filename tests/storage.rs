//! Snapshots of the node list on disk: each failure of the disk that the design note names.

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
    let fact = NodeRecord {
        id: "s-1".into(),
        addr: Some("127.0.0.1:80".parse().unwrap()),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        state: if terminating { NodeState::Terminating } else { NodeState::Ready },
        started: 0,
    };
    let node = SnapshotNode {
        record: fact,
        epoch: 0,
        version,
        received: version,
        after_reset: false,
        confirmed: Some(version),
    };
    let (whole, rate) = (Some((0, 1, 1)), ChangeRate::NONE);
    Snapshot {
        written: version,
        last_confirmed: Some(version),
        full_list: whole,
        pruned_up_to: None,
        rate,
        nodes: vec![node],
    }
}

/// A disk on which the step number `from` and all later steps fail, as in a crash, on a full disk or in a
/// directory that was removed.
#[derive(Clone, Default)]
struct FailingDisk {
    steps: Arc<AtomicUsize>,
    from: Arc<AtomicUsize>,
    /// Bytes of a file that are written before its write fails.
    written: usize,
}

impl FailingDisk {
    fn step(&self) -> io::Result<()> {
        let n = self.steps.fetch_add(1, Ordering::SeqCst);
        if n < self.from.load(Ordering::SeqCst) { Ok(()) } else { Err(ErrorKind::StorageFull.into()) }
    }
}

impl FileSystem for FailingDisk {
    type Lock = ();

    fn read(&self, path: &Path, most: usize) -> io::Result<Vec<u8>> {
        Disk.read(path, most)
    }

    fn write_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        if let Err(e) = self.step() {
            std::fs::write(path, &bytes[..self.written.min(bytes.len())])?;
            return Err(e);
        }
        Disk.write_synced(path, bytes)
    }

    fn append_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        Disk.append_synced(path, bytes)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.step()?;
        Disk.rename(from, to)
    }

    fn sync_dir(&self, dir: &Path) -> io::Result<()> {
        self.step()?;
        Disk.sync_dir(dir)
    }

    fn lock(&self, _: &Path) -> io::Result<()> {
        Ok(())
    }
}

fn versions(lists: &[Snapshot]) -> Vec<u64> {
    lists.iter().map(|l| l.nodes[0].version).collect()
}

#[test]
fn two_generations_are_written_and_read_back() {
    let dir = tempfile::tempdir().unwrap();
    for n in 1..=3 {
        snapshot_store::write(&Disk, dir.path(), &snapshot(n, false)).unwrap();
    }
    let StoredSnapshots { snapshots: lists, problems } = snapshot_store::read(&Disk, dir.path());
    assert_eq!((versions(&lists), problems.len()), (vec![2, 3], 0));
    let mut names: Vec<_> = std::fs::read_dir(dir.path())
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    assert_eq!(names, [CURRENT, OLDER]);
}

#[test]
fn a_crash_at_any_step_of_a_write_loses_no_stored_snapshot() {
    for (from, written) in [(0, 0), (0, 20), (0, 200), (1, 0), (2, 0), (3, 0), (4, 0)] {
        let dir = tempfile::tempdir().unwrap();
        snapshot_store::write(&Disk, dir.path(), &snapshot(1, false)).unwrap();
        snapshot_store::write(&Disk, dir.path(), &snapshot(2, false)).unwrap();
        let crashing =
            FailingDisk { from: Arc::new(AtomicUsize::new(from)), written, ..FailingDisk::default() };
        let result = snapshot_store::write(&crashing, dir.path(), &snapshot(3, true));
        assert_eq!(result.is_ok(), from == 4);
        let StoredSnapshots { snapshots: lists, problems } = snapshot_store::read(&Disk, dir.path());
        assert!(problems.is_empty(), "{problems:?}");
        assert!(versions(&lists).contains(&2), "step {from}: {:?}", versions(&lists));
        // Once the new snapshot was complete on disk, its draining node is known whatever failed later.
        assert_eq!(versions(&lists).contains(&3), from > 0, "step {from}");
        // The next write succeeds.
        snapshot_store::write(&Disk, dir.path(), &snapshot(4, true)).unwrap();
        assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots).last(), Some(&4));
    }
}

#[test]
fn a_corrupt_generation_is_reported_and_the_other_one_is_used() {
    type Corrupt = fn(&Path);
    let corrupt: [(&str, Corrupt); 6] = [
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
    for (word, corrupt) in corrupt {
        let dir = tempfile::tempdir().unwrap();
        snapshot_store::write(&Disk, dir.path(), &snapshot(1, false)).unwrap();
        snapshot_store::write(&Disk, dir.path(), &snapshot(2, false)).unwrap();
        corrupt(&dir.path().join(CURRENT));
        let StoredSnapshots { snapshots: lists, problems } = snapshot_store::read(&Disk, dir.path());
        assert_eq!((versions(&lists), problems.len()), (vec![1], 1), "{word}: {problems:?}");
        let problem = problems[0].to_string();
        assert!(problem.contains(word) && problem.contains(CURRENT), "{problem}");
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
    // As in a hot restart: the next process takes over.
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
    disk.from.store(usize::MAX, Ordering::SeqCst);
    writer.write(snapshot(4, false));
    wait_until_idle(&writer);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots), [4]);
}

#[test]
fn a_removed_directory_is_used_again_once_it_is_recreated() {
    let dir = tempfile::tempdir().unwrap();
    let place = dir.path().join("kept");
    let (_, writer) = SnapshotWriter::open(&place);
    let mut writer = writer.unwrap();
    std::fs::remove_dir_all(&place).unwrap();
    writer.write(snapshot(1, false));
    wait_until_idle(&writer);
    std::fs::create_dir(&place).unwrap();
    writer.write(snapshot(2, false));
    wait_until_idle(&writer);
    assert_eq!(versions(&snapshot_store::read(&Disk, &place).snapshots), [2]);
    // Nothing is stored where the path is no directory.
    let file = dir.path().join("file");
    std::fs::write(&file, "").unwrap();
    assert!(SnapshotWriter::open(&file).1.is_none());
}

/// A disk whose writes block until the channel has a message.
struct SlowDisk(PathBuf, std::sync::Mutex<mpsc::Receiver<()>>);

impl FileSystem for SlowDisk {
    type Lock = ();

    fn read(&self, path: &Path, most: usize) -> io::Result<Vec<u8>> {
        Disk.read(path, most)
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
    let begun = dir.path().join("begun");
    let (go, wait) = mpsc::channel();
    let disk = SlowDisk(begun.clone(), std::sync::Mutex::new(wait));
    let mut writer = SnapshotWriter::start(disk, dir.path().to_owned()).unwrap();
    writer.write(snapshot(1, true));
    while !begun.exists() {
        std::thread::yield_now();
    }
    assert!(!writer.is_idle() && snapshot_store::read(&Disk, dir.path()).snapshots.is_empty());
    go.send(()).unwrap();
    drop(writer);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots), [1]);
    // A disk that never answers delays the end of the program only by the timeout.
    let (stuck, wait) = mpsc::channel();
    let disk = SlowDisk(begun, std::sync::Mutex::new(wait));
    let mut writer = SnapshotWriter::start(disk, dir.path().to_owned()).unwrap();
    writer.write(snapshot(2, true));
    drop(writer);
    // The drop has returned although the disk still hangs; the stored snapshot is unchanged.
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).snapshots), [1]);
    drop(stuck);
}
