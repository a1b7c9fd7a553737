//! Snapshots of the node list on disk: two generations in a directory, written on a separate thread.
//!
//! A snapshot is written to a temporary file, synced and renamed; the previous one is retained as the older
//! generation. At startup all valid generations are merged, so that a crash between two steps loses nothing.
//! A failure here never stops the broker from serving.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use super::writer::WriterThread;
use super::{Disk, FileError, FileSystem, ReadError, WriteError};
use crate::membership::snapshot::{self, Snapshot};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;

/// Name of the newer generation.
pub const CURRENT: &str = "roster.kept";
/// Name of the older generation.
pub const OLDER: &str = "roster.kept.1";
/// Name of a snapshot while it is being written.
pub const TEMPORARY: &str = "roster.kept.tmp";
/// Name of the file that is locked by the process that writes to the directory.
pub const LOCK: &str = "roster.lock";

/// The snapshots of a directory or file.
#[derive(Debug, Default)]
pub struct StoredSnapshots {
    /// The valid ones, oldest first.
    pub snapshots: Vec<Snapshot>,
    /// Why the others can't be used.
    pub problems: Vec<ReadError>,
}

/// Reads all generations in a directory. Missing files are not reported as problems.
pub fn read(files: &impl FileSystem, dir: &Path) -> StoredSnapshots {
    let mut stored = StoredSnapshots::default();
    for name in [OLDER, CURRENT, TEMPORARY] {
        match read_file(files, &dir.join(name)) {
            Ok(snapshot) => stored.snapshots.push(snapshot),
            // A crash leaves an incomplete temporary file; the other generations are still complete.
            Err(ReadError::Format { .. }) if name == TEMPORARY => {}
            Err(ReadError::File(error)) if error.source.kind() == ErrorKind::NotFound => {}
            Err(error) => stored.problems.push(error),
        }
    }
    stored
}

/// Reads a directory as [`read`] does, or a single file, which must exist.
pub fn read_path(path: &Path) -> StoredSnapshots {
    if path.is_dir() {
        return read(&Disk, path);
    }
    match read_file(&Disk, path) {
        Ok(snapshot) => StoredSnapshots { snapshots: vec![snapshot], problems: Vec::new() },
        Err(error) => StoredSnapshots { snapshots: Vec::new(), problems: vec![error] },
    }
}

fn read_file(files: &impl FileSystem, path: &Path) -> Result<Snapshot, ReadError> {
    let bytes = files.read(path, snapshot::MAX_FILE_BYTES).map_err(FileError::at(path))?;
    snapshot::decode(&bytes).map_err(|source| ReadError::Format { path: path.to_owned(), source })
}

/// Writes a snapshot as the newer generation of a directory.
///
/// # Errors
///
/// Fails when the snapshot is too large, or a file operation fails. A valid generation remains after any
/// failure, if there was one before.
pub fn write(files: &impl FileSystem, dir: &Path, snapshot: &Snapshot) -> Result<(), WriteError> {
    let bytes = snapshot::encode(snapshot)?;
    let (current, older, temporary) = (dir.join(CURRENT), dir.join(OLDER), dir.join(TEMPORARY));
    files.write_synced(&temporary, &bytes).map_err(FileError::at(&temporary))?;
    match files.rename(&current, &older) {
        Err(error) if error.kind() != ErrorKind::NotFound => {
            return Err(FileError::at(&current)(error).into());
        }
        _ => {}
    }
    files.rename(&temporary, &current).map_err(FileError::at(&temporary))?;
    files.sync_dir(dir).map_err(FileError::at(dir))?;
    Ok(())
}

/// The state of the writer thread.
struct LockedDirectory<F: FileSystem> {
    files: F,
    dir: PathBuf,
    /// Taken at the first write. Nothing is written while another process holds the lock: in a hot restart
    /// the new process takes it once the draining one has ended.
    lock: Option<F::Lock>,
    is_failing: bool,
}

impl<F: FileSystem> LockedDirectory<F> {
    /// Writes a snapshot, and logs when writes begin to fail and when they succeed again.
    fn write(&mut self, snapshot: &Snapshot) {
        let was_failing = self.is_failing;
        let result = self.lock().and_then(|()| write(&self.files, &self.dir, snapshot));
        self.is_failing = result.is_err();
        let dir = self.dir.display();
        match result {
            Ok(()) if was_failing => tracing::info!(%dir, "node list snapshots are written again"),
            Err(error) if !was_failing => {
                tracing::error!(%dir, %error, "node list snapshot was not written; serving continues");
            }
            // Logged once for each run of failures: a full disk stays full.
            _ => {}
        }
    }

    fn lock(&mut self) -> Result<(), WriteError> {
        if self.lock.is_some() {
            return Ok(());
        }
        let path = self.dir.join(LOCK);
        match self.files.lock(&path) {
            Ok(lock) => {
                self.lock = Some(lock);
                Ok(())
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Err(WriteError::Locked),
            Err(error) => Err(FileError::at(&path)(error).into()),
        }
    }
}

/// Writes snapshots on a separate thread, one at a time.
///
/// Dropping it waits at most 500 ms for a write in progress.
#[derive(Debug)]
pub struct SnapshotWriter {
    thread: WriterThread<Snapshot>,
    is_busy: Arc<AtomicBool>,
}

impl SnapshotWriter {
    /// Creates a directory if needed, and returns the valid snapshots in it, oldest first, and a writer for
    /// it.
    ///
    /// This blocks on the disk, and is to be called at startup, before clients are served. The writer is
    /// `None` if the directory or the thread can't be created; problems are logged.
    pub fn open(dir: &Path) -> (Vec<Snapshot>, Option<SnapshotWriter>) {
        if let Err(error) = std::fs::create_dir_all(dir) {
            let dir = dir.display();
            tracing::error!(%dir, %error, "node list snapshots are disabled: the directory can't be created");
            return (Vec::new(), None);
        }
        let stored = read(&Disk, dir);
        if !stored.problems.is_empty() {
            let problems: Vec<String> = stored.problems.iter().map(ToString::to_string).collect();
            let (problems, usable) = (problems.join("; "), stored.snapshots.len());
            tracing::error!(%problems, usable, "stored node list was not used");
        }
        (stored.snapshots, SnapshotWriter::start(Disk, dir.to_owned()))
    }

    /// Starts a writer for a directory. Logs an error and returns `None` if the thread can't be created.
    pub fn start(files: impl FileSystem, dir: PathBuf) -> Option<SnapshotWriter> {
        let is_busy = Arc::new(AtomicBool::new(false));
        let busy = is_busy.clone();
        let work = move |snapshots: Receiver<Snapshot>| {
            let mut directory = LockedDirectory { files, dir, lock: None, is_failing: false };
            for snapshot in snapshots {
                directory.write(&snapshot);
                busy.store(false, Ordering::Release);
            }
        };
        match WriterThread::spawn("keeper", 1, work) {
            Ok(thread) => Some(SnapshotWriter { thread, is_busy }),
            Err(error) => {
                tracing::error!(%error, "node list snapshots are disabled: no writer thread");
                None
            }
        }
    }

    /// Whether a snapshot can be queued now.
    pub fn is_idle(&self) -> bool {
        !self.is_busy.load(Ordering::Acquire)
    }

    /// Queues a snapshot to be written. Never blocks; a snapshot is dropped unless the writer [is
    /// idle](SnapshotWriter::is_idle).
    pub fn write(&mut self, snapshot: Snapshot) {
        self.is_busy.store(true, Ordering::Release);
        if self.thread.try_send(snapshot).is_err() {
            self.is_busy.store(false, Ordering::Release);
        }
    }
}
