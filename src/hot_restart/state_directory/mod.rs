//! The directory in which processes at one address publish their states to each other.
//!
//! Each process has a number N and three files: `N.lock`, which it keeps locked while it runs, so that the
//! operating system shows which processes are running; `N.state`, which is small and written often; `N.list`,
//! its endpoint list. Files are replaced by renaming: a reader finds a complete file, unless the disk was
//! full.

#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod cleanup;
mod files;
mod peer_lists;
mod worker;

use super::coordination::PeerProcess;
use super::state::ProcessState;
use crate::membership::snapshot::Snapshot;
use crate::storage::checksummed_file::FileFormatError;
use files::FileKind;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;
use worker::DirectoryWorker;

/// How long shutdown waits for the thread: a disk that hangs must not delay it further.
const SHUTDOWN_WAIT: Duration = Duration::from_millis(200);
/// Capacity of the channel of updates, and of the channel of observations.
const CHANNEL_CAPACITY: usize = 4;

/// Why the state directory can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StateDirectoryError {
    /// The directory could not be created.
    #[error("creating {}: {source}", dir.display())]
    Create {
        /// The directory.
        dir: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// No number and lock could be acquired for this process.
    #[error("registering in {}: {source}", dir.display())]
    Register {
        /// The directory.
        dir: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The files of the earlier processes could not be listed.
    #[error("listing {}: {source}", dir.display())]
    List {
        /// The directory.
        dir: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The thread could not be started.
    #[error("starting the thread for {}: {source}", dir.display())]
    StartThread {
        /// The directory.
        dir: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
}

/// Why a file of an earlier process is not used.
#[derive(Debug, thiserror::Error)]
pub enum StateFileError {
    /// The content is damaged or of another format version.
    #[error("{}: {source}", path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// What is wrong with the content.
        source: FileFormatError,
    },
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The process is running and has not written the file yet.
    #[error("{} has not been written yet", path.display())]
    Missing {
        /// The file.
        path: PathBuf,
    },
}

/// Why an update could not be written.
#[derive(Debug, thiserror::Error)]
enum StateWriteError {
    #[error(transparent)]
    Encode(#[from] FileFormatError),
    #[error(transparent)]
    Write(#[from] io::Error),
}

/// What a process finds in the directory when it starts.
#[derive(Debug, Default)]
pub struct StartupContents {
    /// The number of this process.
    pub serial: u64,
    /// The earlier processes, the oldest first.
    pub peers: Vec<PeerProcess>,
    /// Their endpoint lists, in the same order.
    pub snapshots: Vec<Snapshot>,
    /// Why files of earlier processes are not used.
    pub errors: Vec<StateFileError>,
}

impl StartupContents {
    fn read(dir: &Path, serial: u64) -> Result<StartupContents, StateDirectoryError> {
        let serials = files::serials(dir)
            .map_err(|source| StateDirectoryError::List { dir: dir.to_owned(), source })?;
        let mut contents = StartupContents { serial, ..StartupContents::default() };
        for earlier in serials.into_iter().filter(|n| *n < serial) {
            contents.read_process(dir, earlier);
        }
        Ok(contents)
    }

    fn read_process(&mut self, dir: &Path, serial: u64) {
        let (peer, error) = files::read_peer(dir, serial);
        if peer.alive && peer.state.is_none() && error.is_none() {
            self.errors.push(StateFileError::Missing { path: files::path(dir, serial, FileKind::State) });
        }
        self.errors.extend(error);
        self.peers.push(peer);
        match files::read_snapshot(dir, serial) {
            Ok(snapshot) => self.snapshots.extend(snapshot),
            Err(error) => self.errors.push(error),
        }
    }
}

/// What was observed of the other processes.
#[derive(Debug, Default)]
pub struct Observation {
    /// The other processes, the oldest first.
    pub peers: Vec<PeerProcess>,
    /// The endpoint lists of theirs that were written since they were last observed.
    pub snapshots: Vec<Snapshot>,
}

/// Sequence number of an update of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpdateNumber(u64);

/// An update to be written to the files of this process.
#[derive(Debug)]
pub struct StateUpdate {
    /// The state of this process.
    pub state: ProcessState,
    /// The endpoint list, if it has changed.
    pub snapshot: Option<Snapshot>,
}

/// The directory, read and written by a thread of its own. Dropping this ends the thread.
#[derive(Debug)]
pub struct StateDirectory {
    /// `None` only during drop: closing the channel ends the thread.
    updates: Option<SyncSender<(UpdateNumber, StateUpdate)>>,
    last_number: u64,
    /// Number of the last update that was written.
    written: Arc<AtomicU64>,
    observations: Receiver<Observation>,
    worker_done: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

impl StateDirectory {
    /// Registers this process, reads what earlier ones have published, and starts the thread. Blocks on the
    /// disk, so it is called before the broker serves; after that only the thread accesses the disk.
    ///
    /// # Errors
    ///
    /// The directory can't be created, read or written, or the thread can't be started. Files of other
    /// processes that can't be used are not an error: they are listed in [`StartupContents::errors`].
    pub fn open(dir: &Path) -> Result<(StartupContents, StateDirectory), StateDirectoryError> {
        std::fs::create_dir_all(dir)
            .map_err(|source| StateDirectoryError::Create { dir: dir.to_owned(), source })?;
        let (serial, lock) = files::register(dir)?;
        let contents = StartupContents::read(dir, serial)?;
        let (updates, received_updates) = sync_channel(CHANNEL_CAPACITY);
        let (observed, observations) = sync_channel(CHANNEL_CAPACITY);
        let (done, worker_done) = sync_channel(1);
        let written = Arc::new(AtomicU64::new(0));
        let worker = DirectoryWorker::new(dir.to_owned(), serial, lock, written.clone());
        let work = move || {
            worker.run(&received_updates, &observed);
            let _ = done.send(());
        };
        let thread = std::thread::Builder::new()
            .name("handover".into())
            .spawn(work)
            .map_err(|source| StateDirectoryError::StartThread { dir: dir.to_owned(), source })?;
        let directory = StateDirectory {
            updates: Some(updates),
            last_number: 0,
            written,
            observations,
            worker_done,
            thread: Some(thread),
        };
        Ok((contents, directory))
    }

    /// Queues an update for writing and returns its number. Never blocks: if the queue is full, the update is
    /// dropped and the result is `None`.
    #[must_use]
    pub fn publish(&mut self, update: StateUpdate) -> Option<UpdateNumber> {
        let number = UpdateNumber(self.last_number + 1);
        self.updates.as_ref()?.try_send((number, update)).ok()?;
        self.last_number = number.0;
        Some(number)
    }

    /// Whether an update, or a later one, is written, so that a process that starts from now on reads it.
    #[must_use]
    pub fn is_written(&self, number: UpdateNumber) -> bool {
        number.0 <= self.written.load(Ordering::Acquire)
    }

    /// The other processes, as last observed, and all endpoint lists observed since the last call; `None` if
    /// there is no new observation.
    #[must_use]
    pub fn latest_observation(&self) -> Option<Observation> {
        self.observations.try_iter().reduce(|mut earlier, latest| {
            earlier.snapshots.extend(latest.snapshots);
            Observation { peers: latest.peers, snapshots: earlier.snapshots }
        })
    }
}

impl Drop for StateDirectory {
    fn drop(&mut self) {
        drop(self.updates.take());
        if self.worker_done.recv_timeout(SHUTDOWN_WAIT).is_ok()
            && let Some(thread) = self.thread.take()
        {
            let _ = thread.join();
        }
    }
}
