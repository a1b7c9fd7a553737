//! The kept list on disk: every failure of the disk that the design note names.

use pebbleturn::membership::snapshot::{Snapshot, SnapshotNode};
use pebbleturn::membership::staleness::ChangeRate;
use pebbleturn::membership::{NodeRecord, NodeState};
use pebbleturn::storage::snapshot_store::{self, CURRENT, LOCK, OLDER, SnapshotWriter};
use pebbleturn::storage::{Disk, FileSystem};
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

fn list(version: u64, drained: bool) -> Snapshot {
    let fact = NodeRecord {
        id: "s-1".into(),
        addr: Some("127.0.0.1:80".parse().unwrap()),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        state: if drained { NodeState::Terminating } else { NodeState::Ready },
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

/// The disk, on which the step of that number and all after it fail: a kill, a full disk, a directory that is gone.
#[derive(Clone, Default)]
struct Failing {
    steps: Arc<AtomicUsize>,
    from: Arc<AtomicUsize>,
    /// Bytes of a file that are written before it fails.
    written: usize,
}

impl Failing {
    fn step(&self) -> io::Result<()> {
        let n = self.steps.fetch_add(1, Ordering::SeqCst);
        if n < self.from.load(Ordering::SeqCst) { Ok(()) } else { Err(ErrorKind::StorageFull.into()) }
    }
}

impl FileSystem for Failing {
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
fn two_generations_are_kept_and_read_back() {
    let dir = tempfile::tempdir().unwrap();
    for n in 1..=3 {
        snapshot_store::write(&Disk, dir.path(), &list(n, false)).unwrap();
    }
    let (lists, wrong) = snapshot_store::read(&Disk, dir.path());
    assert_eq!((versions(&lists), wrong.len()), (vec![2, 3], 0));
    let mut names: Vec<_> = std::fs::read_dir(dir.path())
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    assert_eq!(names, [CURRENT, OLDER]);
}

#[test]
fn a_kill_at_any_step_of_a_write_loses_nothing_that_was_kept() {
    for (from, written) in [(0, 0), (0, 20), (0, 200), (1, 0), (2, 0), (3, 0), (4, 0)] {
        let dir = tempfile::tempdir().unwrap();
        snapshot_store::write(&Disk, dir.path(), &list(1, false)).unwrap();
        snapshot_store::write(&Disk, dir.path(), &list(2, false)).unwrap();
        let killed = Failing { from: Arc::new(AtomicUsize::new(from)), written, ..Failing::default() };
        let went = snapshot_store::write(&killed, dir.path(), &list(3, true));
        assert_eq!(went.is_ok(), from == 4);
        let (lists, wrong) = snapshot_store::read(&Disk, dir.path());
        assert!(wrong.is_empty(), "{wrong:?}");
        assert!(versions(&lists).contains(&2), "step {from}: {:?}", versions(&lists));
        // Once the new list was whole on disk, the drain in it is known whatever came after.
        assert_eq!(versions(&lists).contains(&3), from > 0, "step {from}");
        // The next write goes well.
        snapshot_store::write(&Disk, dir.path(), &list(4, true)).unwrap();
        assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).0).last(), Some(&4));
    }
}

#[test]
fn of_two_generations_a_corrupt_one_is_told_and_the_other_used() {
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
        ("no file", |p| {
            std::fs::remove_file(p).unwrap();
            std::fs::create_dir(p).unwrap();
        }),
    ];
    for (word, corrupt) in corrupt {
        let dir = tempfile::tempdir().unwrap();
        snapshot_store::write(&Disk, dir.path(), &list(1, false)).unwrap();
        snapshot_store::write(&Disk, dir.path(), &list(2, false)).unwrap();
        corrupt(&dir.path().join(CURRENT));
        let (lists, wrong) = snapshot_store::read(&Disk, dir.path());
        assert_eq!((versions(&lists), wrong.len()), (vec![1], 1), "{word}: {wrong:?}");
        assert!(wrong[0].contains(word) && wrong[0].contains(CURRENT), "{wrong:?}");
    }
}

#[test]
fn a_directory_belongs_to_one_process_until_that_ends() {
    let dir = tempfile::tempdir().unwrap();
    let start = || SnapshotWriter::open(dir.path()).1.unwrap();
    let (mut first, mut second) = (start(), start());
    first.keep(list(1, false));
    settle(&first);
    second.keep(list(2, false));
    settle(&second);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).0), [1]);
    assert!(dir.path().join(LOCK).exists());
    // As when a broker is replaced by the next: that one takes over.
    drop(first);
    second.keep(list(3, false));
    settle(&second);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).0), [1, 3]);
}

/// Waits until the keeper has done with what it was given.
fn settle(keeper: &SnapshotWriter) {
    while !keeper.is_free() {
        std::thread::yield_now();
    }
}

#[test]
fn a_disk_that_is_full_costs_only_the_list_and_it_is_kept_again_later() {
    let dir = tempfile::tempdir().unwrap();
    let disk = Failing::default();
    let mut keeper = SnapshotWriter::start(disk.clone(), dir.path().to_owned()).unwrap();
    for n in 1..=3 {
        keeper.keep(list(n, false));
        settle(&keeper);
    }
    assert!(snapshot_store::read(&Disk, dir.path()).0.is_empty());
    disk.from.store(usize::MAX, Ordering::SeqCst);
    keeper.keep(list(4, false));
    settle(&keeper);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).0), [4]);
}

#[test]
fn a_directory_that_vanishes_and_comes_back_is_used_again() {
    let dir = tempfile::tempdir().unwrap();
    let place = dir.path().join("kept");
    let (_, keeper) = SnapshotWriter::open(&place);
    let mut keeper = keeper.unwrap();
    std::fs::remove_dir_all(&place).unwrap();
    keeper.keep(list(1, false));
    settle(&keeper);
    std::fs::create_dir(&place).unwrap();
    keeper.keep(list(2, false));
    settle(&keeper);
    assert_eq!(versions(&snapshot_store::read(&Disk, &place).0), [2]);
    // A place that is no directory at all keeps nothing.
    let file = dir.path().join("file");
    std::fs::write(&file, "").unwrap();
    assert!(SnapshotWriter::open(&file).1.is_none());
}

/// A disk whose writes wait for a word.
struct Slow(PathBuf, std::sync::Mutex<mpsc::Receiver<()>>);

impl FileSystem for Slow {
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
fn a_disk_that_hangs_blocks_nobody_and_a_write_under_way_is_finished_at_the_end() {
    let dir = tempfile::tempdir().unwrap();
    let begun = dir.path().join("begun");
    let (go, wait) = mpsc::channel();
    let disk = Slow(begun.clone(), std::sync::Mutex::new(wait));
    let mut keeper = SnapshotWriter::start(disk, dir.path().to_owned()).unwrap();
    keeper.keep(list(1, true));
    while !begun.exists() {
        std::thread::yield_now();
    }
    assert!(!keeper.is_free() && snapshot_store::read(&Disk, dir.path()).0.is_empty());
    go.send(()).unwrap();
    drop(keeper);
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).0), [1]);
    // One that never comes back keeps the program only for a moment.
    let (stuck, wait) = mpsc::channel();
    let disk = Slow(begun, std::sync::Mutex::new(wait));
    let mut keeper = SnapshotWriter::start(disk, dir.path().to_owned()).unwrap();
    keeper.keep(list(2, true));
    drop(keeper);
    // It is over, although the disk still hangs; what was kept before stands.
    assert_eq!(versions(&snapshot_store::read(&Disk, dir.path()).0), [1]);
    drop(stuck);
}
