//! The replicated facts of a cluster on disk: a log to which each change is appended, and snapshots of all
//! facts.
//!
//! Facts may be merged in any order and more than once, so recovery has one rule: merge all intact records of
//! all files. A crash at any byte leaves a log whose last line is incomplete. A snapshot is renamed into
//! place only once it is complete, and the previous log is retained for as long as the previous snapshot. A
//! damaged line is reported; a missing file counts as empty.
//!
//! All of this runs on a separate thread, which has its own copy of the facts to write snapshots from, so
//! that the poll loop never copies all of them.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod log_writer;
mod record;
mod recovery;

pub use recovery::{JournalContents, RecoveryProblem, read};

use super::writer::WriterThread;
use super::{FileError, FileSystem, WriteError};
use crate::replication::{Fact, StoreLimits};
use log_writer::LogWriter;
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Name of the log to which changes are appended.
pub const LOG: &str = "cluster.log";
/// Name of the log that the last snapshot replaced.
pub const OLDER_LOG: &str = "cluster.log.1";
/// Name of the last snapshot.
pub const SNAPSHOT: &str = "cluster.kept";
/// Name of the snapshot before the last.
pub const OLDER_SNAPSHOT: &str = "cluster.kept.1";
/// Name of a snapshot while it is being written.
pub const TEMPORARY: &str = "cluster.kept.tmp";
/// Name of the file that is locked by the process that uses the directory.
pub const LOCK: &str = "cluster.lock";

/// Time between two attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Most writes of facts whose completion has not been polled.
const MAX_PENDING_WRITES: usize = 2;
/// Length of the queue of writes: room for the pending ones and the incarnation.
const QUEUED_WRITES: usize = 4;
/// Length of the queue of completions, greater than `MAX_PENDING_WRITES` so that the thread never blocks on a
/// full queue.
const QUEUED_COMPLETIONS: usize = 8;

/// A write for the thread of the journal.
#[derive(Debug)]
enum WriteRequest {
    Facts { ticket: u64, facts: Vec<Fact> },
    Incarnation(u64),
}

/// The completion of one write of facts.
#[derive(Debug)]
pub struct WriteCompletion {
    /// The ticket that [`Journal::write`] returned for it.
    pub ticket: u64,
    /// Whether the facts are on disk.
    pub result: Result<(), WriteError>,
}

/// What the thread has read from disk, or why it can't use the directory.
type OpenResult = Result<JournalContents, FileError>;

/// The journal of a directory, which a separate thread reads and writes.
///
/// Dropping it waits at most 500 ms for writes in progress.
#[derive(Debug)]
pub struct Journal {
    /// Declared first so that it is dropped before the channels to which the thread sends.
    writer: WriterThread<WriteRequest>,
    contents: Receiver<OpenResult>,
    completions: Receiver<WriteCompletion>,
    last_ticket: u64,
    /// Writes of facts whose completion has not been polled.
    pending_writes: usize,
}

impl Journal {
    /// Starts the thread. It takes the lock of the directory, waiting while another process holds it, and
    /// then reads what is stored there.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't create a thread.
    pub fn start(files: impl FileSystem, dir: &Path, limits: StoreLimits) -> io::Result<Journal> {
        let (send_contents, contents) = sync_channel(1);
        let (send_completion, completions) = sync_channel(QUEUED_COMPLETIONS);
        let dir = dir.to_owned();
        let work = move |requests: Receiver<WriteRequest>| {
            let Some(_lock) = open(&files, &dir, &send_contents, &requests) else { return };
            let recovered = read(&files, &dir, limits);
            let mut writer = LogWriter::new(files, dir, limits, &recovered);
            writer.replace_damaged_files();
            // Fails, like the sends below, if the owner was dropped; the queue of requests then ends as well.
            let _ = send_contents.send(Ok(recovered));
            for request in requests {
                if let Some(completion) = writer.write(request) {
                    let _ = send_completion.send(completion);
                }
            }
        };
        let writer = WriterThread::spawn("journal", QUEUED_WRITES, work)?;
        Ok(Journal { writer, contents, completions, last_ticket: 0, pending_writes: 0 })
    }

    /// Returns what was found on disk, once, as soon as it is read. An error means that the directory can't
    /// be used at all.
    pub fn poll_contents(&self) -> Option<Result<JournalContents, FileError>> {
        self.contents.try_recv().ok()
    }

    /// Like [`Journal::poll_contents`], but blocks for at most `timeout`: for startup, before clients are
    /// served.
    pub fn wait_for_contents(&self, timeout: Duration) -> Option<Result<JournalContents, FileError>> {
        self.contents.recv_timeout(timeout).ok()
    }

    /// Queues a record of the incarnation of this process. Never blocks.
    pub fn record_incarnation(&self, incarnation: u64) {
        // It is not recorded if the queue is full: the next process then uses its start time as its
        // incarnation.
        let _ = self.writer.try_send(WriteRequest::Incarnation(incarnation));
    }

    /// Whether the thread has ended, so that nothing more will be written.
    pub fn has_stopped(&self) -> bool {
        self.writer.has_stopped()
    }

    /// Whether [`Journal::write`] can accept facts now.
    pub fn can_write(&self) -> bool {
        self.pending_writes < MAX_PENDING_WRITES
    }

    /// Whether writes are pending whose completion [`Journal::poll_result`] has not returned yet.
    pub fn has_pending_writes(&self) -> bool {
        self.pending_writes > 0
    }

    /// Queues facts to be written, and returns the ticket of this write. Never blocks.
    ///
    /// # Errors
    ///
    /// Returns the facts if they can't be queued now.
    pub fn write(&mut self, facts: Vec<Fact>) -> Result<u64, Vec<Fact>> {
        if !self.can_write() {
            return Err(facts);
        }
        let ticket = self.last_ticket + 1;
        match self.writer.try_send(WriteRequest::Facts { ticket, facts }) {
            Ok(()) => {
                self.last_ticket = ticket;
                self.pending_writes += 1;
                Ok(ticket)
            }
            Err(WriteRequest::Facts { facts, .. }) => Err(facts),
            Err(WriteRequest::Incarnation(_)) => Err(Vec::new()),
        }
    }

    /// The next completion of a write, if there is one. Never blocks.
    pub fn poll_result(&mut self) -> Option<WriteCompletion> {
        let completion = self.completions.try_recv().ok()?;
        self.pending_writes -= 1;
        Some(completion)
    }
}

/// Creates the directory and waits for its lock. `None` if the owner is dropped meanwhile, or after an error
/// was sent.
fn open<F: FileSystem>(
    files: &F,
    dir: &Path,
    contents: &SyncSender<OpenResult>,
    requests: &Receiver<WriteRequest>,
) -> Option<F::Lock> {
    let fail = |path: &Path, error: io::Error| {
        let _ = contents.try_send(Err(FileError::at(path)(error)));
        None
    };
    if let Err(error) = std::fs::create_dir_all(dir) {
        return fail(dir, error);
    }
    let path = dir.join(LOCK);
    loop {
        match files.lock(&path) {
            Ok(lock) => return Some(lock),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return fail(&path, error),
        }
        if !wait_to_retry(requests) {
            return None;
        }
    }
}

/// Waits until the lock is to be tried again. Returns false if the owner was dropped.
fn wait_to_retry(requests: &Receiver<WriteRequest>) -> bool {
    let retry_at = Instant::now() + LOCK_RETRY_INTERVAL;
    while let Some(remaining) = retry_at.checked_duration_since(Instant::now()).filter(|d| !d.is_zero()) {
        // Requests are discarded: the owner sends none before it has the contents.
        if let Err(RecvTimeoutError::Disconnected) = requests.recv_timeout(remaining) {
            return false;
        }
    }
    true
}
