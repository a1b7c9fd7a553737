//! The thread that writes this process's files and polls those of the others.

use super::cleanup::Cleanup;
use super::files::{self, FileKind};
use super::peer_lists::PeerListReader;
use super::{Observation, StateUpdate, StateWriteError, UpdateNumber};
use crate::hot_restart::state::ProcessState;
use crate::membership::snapshot::{self, Snapshot};
use std::collections::BTreeSet;
use std::fs::File;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::time::{Duration, Instant};

/// Time between two polls of the other processes' files.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the last update could be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteStatus {
    NothingWritten,
    Ok,
    Failing,
}

/// Whether the channel of observations is still open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReceiverStatus {
    Open,
    Closed,
}

/// Reads and writes the directory until its [`super::StateDirectory`] is dropped.
#[derive(Debug)]
pub(super) struct DirectoryWorker {
    dir: PathBuf,
    serial: u64,
    /// Held for as long as the process runs.
    _lock: File,
    write_status: WriteStatus,
    /// The latest endpoint list of this process, until it is written.
    unwritten_list: Option<Snapshot>,
    peer_lists: PeerListReader,
    cleanup: Cleanup,
    /// Number of the last update that was written.
    written: Arc<AtomicU64>,
}

impl DirectoryWorker {
    pub(super) fn new(dir: PathBuf, serial: u64, lock: File, written: Arc<AtomicU64>) -> DirectoryWorker {
        DirectoryWorker {
            peer_lists: PeerListReader::new(dir.clone()),
            dir,
            serial,
            _lock: lock,
            write_status: WriteStatus::NothingWritten,
            unwritten_list: None,
            cleanup: Cleanup::default(),
            written,
        }
    }

    /// Writes updates as they arrive, and polls the other processes and sends what was observed. Returns once
    /// either channel is closed.
    pub(super) fn run(
        mut self,
        updates: &Receiver<(UpdateNumber, StateUpdate)>,
        observations: &SyncSender<Observation>,
    ) {
        let mut next_poll = Instant::now() + POLL_INTERVAL;
        loop {
            match updates.recv_timeout(next_poll.saturating_duration_since(Instant::now())) {
                Ok((number, update)) => self.write(number, update),
                Err(RecvTimeoutError::Timeout) => {
                    next_poll = Instant::now() + POLL_INTERVAL;
                    if self.poll(observations) == ReceiverStatus::Closed {
                        return;
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Writes the files of this process. Only the first of consecutive failures is logged, as a full disk
    /// usually stays full.
    fn write(&mut self, number: UpdateNumber, update: StateUpdate) {
        // A list that could not be written stays until it is written or there is a later one.
        self.unwritten_list = update.snapshot.or(self.unwritten_list.take());
        match self.try_write(&update.state) {
            Ok(()) => {
                self.written.store(number.0, Ordering::Release);
                self.write_status = WriteStatus::Ok;
            }
            Err(error) => {
                if std::mem::replace(&mut self.write_status, WriteStatus::Failing) != WriteStatus::Failing {
                    tracing::error!(dir = %self.dir.display(), %error, "hot restart state can't be written");
                }
            }
        }
    }

    fn try_write(&mut self, state: &ProcessState) -> Result<(), StateWriteError> {
        if let Some(list) = self.unwritten_list.take() {
            // A list that can't be encoded is dropped: it would keep the state from being written.
            let bytes = snapshot::encode(&list)?;
            if let Err(error) = files::replace(&self.dir, self.serial, FileKind::List, &bytes) {
                self.unwritten_list = Some(list);
                return Err(error.into());
            }
        }
        files::replace(&self.dir, self.serial, FileKind::State, &state.encode()?)?;
        Ok(())
    }

    /// Reads the files of the other processes and sends what was observed. Removes the files of dead older
    /// processes once this process's own files contain what was in them.
    fn poll(&mut self, observations: &SyncSender<Observation>) -> ReceiverStatus {
        let serials = files::serials(&self.dir).unwrap_or_default();
        let others: BTreeSet<u64> = serials.into_iter().filter(|n| *n != self.serial).collect();
        let peers: Vec<_> = others.iter().map(|n| files::read_peer(&self.dir, *n).0).collect();
        let dead: BTreeSet<u64> =
            peers.iter().filter(|p| !p.alive && p.serial < self.serial).map(|p| p.serial).collect();
        // Read after the processes were found dead or alive: the list of a dead one is its last.
        let snapshots = self.peer_lists.read_changed(&others);
        match observations.try_send(Observation { peers, snapshots }) {
            Ok(()) => {
                self.peer_lists.confirm_delivery();
                self.cleanup.on_delivered(&dead);
            }
            // The event loop is late: the next observation has all of this again.
            Err(TrySendError::Full(_)) => self.peer_lists.discard_delivery(),
            Err(TrySendError::Disconnected(_)) => return ReceiverStatus::Closed,
        }
        if self.write_status == WriteStatus::Ok {
            self.cleanup.due().for_each(|serial| files::remove_all(&self.dir, serial));
        }
        ReceiverStatus::Open
    }
}
