//! The kept list on disk: two generations in a directory, written on a thread of its own.
//!
//! A list is written to a temporary file, synced, and renamed; the one before stays as the older generation. What
//! is found at the start is merged from every generation that is sound: facts that were learnt are not lost by a
//! kill between two steps. Nothing that goes wrong here stops the broker from serving.

use super::{Disk, FileSystem};
use crate::membership::snapshot::{self, Snapshot};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// The newer generation, the older one, the file that is being written, and the lock.
pub const CURRENT: &str = "roster.kept";
/// See `CURRENT`.
pub const OLDER: &str = "roster.kept.1";
/// See `CURRENT`.
pub const TEMPORARY: &str = "roster.kept.tmp";
/// See `CURRENT`.
pub const LOCK: &str = "roster.lock";

/// How long the end of the program waits for the last write: a disk that hangs must not keep it.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Every generation in a directory that is sound, the oldest first, and what is wrong with the others.
pub fn read(files: &impl FileSystem, dir: &Path) -> (Vec<Snapshot>, Vec<String>) {
    let (mut sound, mut wrong) = (Vec::new(), Vec::new());
    for name in [OLDER, CURRENT, TEMPORARY] {
        let path = dir.join(name);
        match files.read(&path, snapshot::MAX_FILE_BYTES) {
            Ok(bytes) => match snapshot::decode(&bytes) {
                Ok(list) => sound.push(list),
                // Half a file is what a kill leaves of a write; the other generations have what was learnt.
                Err(_) if name == TEMPORARY => {}
                Err(e) => wrong.push(format!("{}: {e}", path.display())),
            },
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            Err(e) => wrong.push(format!("{}: {e}", path.display())),
        }
    }
    (sound, wrong)
}

/// What a directory, or one file, holds: every sound list, the oldest first, and what is wrong with the others.
pub fn read_path(path: &Path) -> (Vec<Snapshot>, Vec<String>) {
    if path.is_dir() {
        return read(&Disk, path);
    }
    let bytes = Disk.read(path, snapshot::MAX_FILE_BYTES).map_err(|e| e.to_string());
    match bytes.and_then(|b| snapshot::decode(&b).map_err(|e| e.to_string())) {
        Ok(list) => (vec![list], Vec::new()),
        Err(e) => (Vec::new(), vec![format!("{}: {e}", path.display())]),
    }
}

/// Writes one list: whatever happens on the way, a sound generation stays if there was one.
pub fn write(files: &impl FileSystem, dir: &Path, list: &Snapshot) -> Result<(), String> {
    let bytes = snapshot::encode(list).map_err(|e| e.to_string())?;
    let (current, older, tmp) = (dir.join(CURRENT), dir.join(OLDER), dir.join(TEMPORARY));
    let said = |path: &Path| {
        let path = path.display().to_string();
        move |e: std::io::Error| format!("{path}: {e}")
    };
    files.write_synced(&tmp, &bytes).map_err(said(&tmp))?;
    match files.rename(&current, &older) {
        Err(e) if e.kind() != ErrorKind::NotFound => return Err(said(&current)(e)),
        _ => {}
    }
    files.rename(&tmp, &current).map_err(said(&tmp))?;
    files.sync_dir(dir).map_err(said(dir))
}

/// What the keeper's thread works with.
struct WriterState<F: FileSystem> {
    files: F,
    dir: PathBuf,
    /// Held from the first write on. Until another process lets go of it, nothing is written: a broker that starts
    /// while the one before it still drains takes over once that has ended.
    lock: Option<F::Lock>,
    failing: bool,
}

impl<F: FileSystem> WriterState<F> {
    fn write(&mut self, list: &Snapshot) {
        if self.lock.is_none() {
            let path = self.dir.join(LOCK);
            match self.files.lock(&path) {
                Ok(lock) => self.lock = Some(lock),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    return self.failed("another process keeps its list there");
                }
                Err(e) => return self.failed(&format!("{}: {e}", path.display())),
            }
        }
        match write(&self.files, &self.dir, list) {
            Ok(()) => {
                if std::mem::replace(&mut self.failing, false) {
                    tracing::info!("the list is kept again in {}", self.dir.display());
                }
            }
            Err(e) => self.failed(&e),
        }
    }

    /// Tells once for each spell: a full disk stays full.
    fn failed(&mut self, why: &str) {
        if !std::mem::replace(&mut self.failing, true) {
            tracing::error!("the list can't be kept in {}: {why}; serving goes on", self.dir.display());
        }
    }
}

/// Writes lists on a thread of its own, one at a time.
#[derive(Debug)]
pub struct SnapshotWriter {
    lists: Option<SyncSender<Snapshot>>,
    busy: Arc<AtomicBool>,
    ended: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    /// Opens a directory: what was kept there, the oldest first, and a keeper. Reads before the broker serves; from
    /// then on only the keeper's own thread touches the disk.
    pub fn open(dir: &Path) -> (Vec<Snapshot>, Option<SnapshotWriter>) {
        let disk = Disk;
        if let Err(e) = std::fs::create_dir_all(dir) {
            tracing::error!("no list is kept: {}: {e}", dir.display());
            return (Vec::new(), None);
        }
        let (sound, wrong) = read(&disk, dir);
        if !wrong.is_empty() {
            let rest = if sound.is_empty() { "nothing is left" } else { "another generation is used" };
            tracing::error!("kept list not used: {}; {rest}", wrong.join("; "));
        }
        (sound, SnapshotWriter::start(disk, dir.to_owned()))
    }

    /// A keeper for a directory.
    pub fn start(files: impl FileSystem, dir: PathBuf) -> Option<SnapshotWriter> {
        let (lists, taken) = sync_channel::<Snapshot>(1);
        let (end, ended) = sync_channel(1);
        let busy = Arc::new(AtomicBool::new(false));
        let at_work = busy.clone();
        let work = move || {
            let mut state = WriterState { files, dir, lock: None, failing: false };
            for list in taken {
                state.write(&list);
                at_work.store(false, Ordering::Release);
            }
            drop(state);
            let _ = end.send(());
        };
        match std::thread::Builder::new().name("keeper".into()).spawn(work) {
            Ok(thread) => Some(SnapshotWriter { lists: Some(lists), busy, ended, thread: Some(thread) }),
            Err(e) => {
                tracing::error!("no list is kept: no thread: {e}");
                None
            }
        }
    }

    /// Whether a list can be taken now.
    pub fn is_idle(&self) -> bool {
        !self.busy.load(Ordering::Acquire)
    }

    /// Has a list written. Never blocks.
    pub fn write(&mut self, list: Snapshot) {
        let Some(lists) = &self.lists else { return };
        self.busy.store(true, Ordering::Release);
        if lists.try_send(list).is_err() {
            self.busy.store(false, Ordering::Release);
        }
    }
}

impl Drop for SnapshotWriter {
    fn drop(&mut self) {
        drop(self.lists.take());
        if self.ended.recv_timeout(SHUTDOWN_TIMEOUT).is_ok()
            && let Some(thread) = self.thread.take()
        {
            let _ = thread.join();
        }
    }
}
