//! The thread that writes this process's files and polls those of the others.

use super::files::{self, FileKind};
use super::{StateUpdate, StateWriteError, UpdateNumber};
use crate::hot_restart::coordination::PeerProcess;
use crate::membership::snapshot;
use std::fs::File;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::time::{Duration, Instant};

/// Time between two polls of the other processes' files.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Polls from the first written state until files of dead processes are removed. By then, this process's own
/// state contains what they last published.
const POLLS_BEFORE_CLEANUP: u32 = 20;

/// Whether the last update could be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteStatus {
    Ok,
    Failing,
}

/// How far this process has come towards removing files of dead processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cleanup {
    /// No state of this process has been written yet.
    NothingWritten,
    /// Polls since the first written state, counted from 1, up to [`POLLS_BEFORE_CLEANUP`].
    Polls(u32),
}

impl Cleanup {
    fn on_written(&mut self) {
        if *self == Cleanup::NothingWritten {
            *self = Cleanup::Polls(1);
        }
    }

    fn on_poll(&mut self) {
        if let Cleanup::Polls(polls) = self {
            *polls = POLLS_BEFORE_CLEANUP.min(*polls + 1);
        }
    }

    fn is_due(self) -> bool {
        self == Cleanup::Polls(POLLS_BEFORE_CLEANUP)
    }
}

/// Reads and writes the directory until its [`super::StateDirectory`] is dropped.
#[derive(Debug)]
pub(super) struct DirectoryWorker {
    dir: PathBuf,
    serial: u64,
    /// Held for as long as the process runs.
    _lock: File,
    write_status: WriteStatus,
    cleanup: Cleanup,
    /// Number of the last update that was written.
    written: Arc<AtomicU64>,
}

impl DirectoryWorker {
    pub(super) fn new(dir: PathBuf, serial: u64, lock: File, written: Arc<AtomicU64>) -> DirectoryWorker {
        let (write_status, cleanup) = (WriteStatus::Ok, Cleanup::NothingWritten);
        DirectoryWorker { dir, serial, _lock: lock, write_status, cleanup, written }
    }

    /// Writes updates as they arrive, and polls the other processes and sends what was observed. Returns once
    /// either channel is closed.
    pub(super) fn run(
        mut self,
        updates: &Receiver<(UpdateNumber, StateUpdate)>,
        observations: &SyncSender<Vec<PeerProcess>>,
    ) {
        let mut next_poll = Instant::now() + POLL_INTERVAL;
        loop {
            match updates.recv_timeout(next_poll.saturating_duration_since(Instant::now())) {
                Ok((number, update)) => self.write(number, &update),
                Err(RecvTimeoutError::Timeout) => {
                    next_poll = Instant::now() + POLL_INTERVAL;
                    match observations.try_send(self.poll()) {
                        Ok(()) | Err(TrySendError::Full(_)) => {}
                        Err(TrySendError::Disconnected(_)) => return,
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Writes the files of this process. Only the first of consecutive failures is logged, as a full disk
    /// usually stays full.
    fn write(&mut self, number: UpdateNumber, update: &StateUpdate) {
        match self.try_write(update) {
            Ok(()) => {
                self.written.store(number.0, Ordering::Release);
                self.write_status = WriteStatus::Ok;
                self.cleanup.on_written();
            }
            Err(error) => {
                if std::mem::replace(&mut self.write_status, WriteStatus::Failing) == WriteStatus::Ok {
                    tracing::error!(dir = %self.dir.display(), %error, "hot restart state can't be written");
                }
            }
        }
    }

    fn try_write(&self, update: &StateUpdate) -> Result<(), StateWriteError> {
        if let Some(list) = &update.snapshot {
            files::replace(&self.dir, self.serial, FileKind::List, &snapshot::encode(list)?)?;
        }
        files::replace(&self.dir, self.serial, FileKind::State, &update.state.encode()?)?;
        Ok(())
    }

    /// Reads the states of the other processes. Removes the files of dead older ones once this process's own
    /// state contains what was in them.
    fn poll(&mut self) -> Vec<PeerProcess> {
        self.cleanup.on_poll();
        let serials = files::serials(&self.dir).unwrap_or_default();
        let others = serials.into_iter().filter(|n| *n != self.serial);
        let peers: Vec<PeerProcess> = others.map(|n| files::read_peer(&self.dir, n).0).collect();
        if self.cleanup.is_due() && self.write_status == WriteStatus::Ok {
            for dead in peers.iter().filter(|p| !p.alive && p.serial < self.serial) {
                files::remove_all(&self.dir, dead.serial);
            }
        }
        peers
    }
}
