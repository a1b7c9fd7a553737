//! A broker's copy of what its cluster knows, on disk: a log that is added to, and snapshots of all of it.
//!
//! Facts may be read in any order and more than once, so recovery is one rule: whatever is sound in any file is taken in.
//! A kill at any byte leaves a log whose last line is cut; a snapshot is renamed into its place only when it is whole, and
//! the log before it is kept for as long as the snapshot before it. A line in the middle that is damaged is told of; an
//! absent file is none.
//!
//! All is done on a thread of its own. It has a copy to write snapshots from, so that the poll loop never makes one.

use super::file_system::FileSystem;
use crate::api::Nanos;
use crate::replication::{Fact, Origin, StateStore, StoreLimits};
use crate::storage::checksummed_file::{FileFormat, FileFormatError};
use serde::{Deserialize, Serialize};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The log, the one before the last snapshot, the last two snapshots, the one under way, and the lock.
pub const LOG: &str = "cluster.log";
/// See `LOG`.
pub const OLDER_LOG: &str = "cluster.log.1";
/// See `LOG`.
pub const SNAPSHOT: &str = "cluster.kept";
/// See `LOG`.
pub const OLDER_SNAPSHOT: &str = "cluster.kept.1";
/// See `LOG`.
pub const TEMPORARY: &str = "cluster.kept.tmp";
/// See `LOG`.
pub const LOCK: &str = "cluster.lock";

const FORMAT: FileFormat = FileFormat {
    magic: "pebbleturn-cluster",
    description: "snapshot of a cluster's facts",
    version: 1,
    max_bytes: 128 << 20,
};
/// Largest log that is read, bytes.
const MAX_LOG_BYTES: usize = 128 << 20;
/// A snapshot is written when the log is larger than this, and than twice the last snapshot.
const SNAPSHOT_LOG_BYTES: usize = 1 << 20;
/// Time between two tries to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long the end of the program waits for the last write: a disk that hangs must not keep it.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// Most damaged lines of a file that are told one by one.
const MAX_LISTED_LINES: usize = 4;

/// One line of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Record {
    /// A fact, as it is after a change.
    Fact(Fact),
    /// A process began under this incarnation.
    Incarnation(u64),
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    incarnation: u64,
    facts: Vec<Fact>,
}

/// What is found on disk.
#[derive(Clone, Debug, Default)]
pub struct JournalContents {
    /// All facts that are sound, joined.
    pub facts: Vec<Fact>,
    /// The greatest incarnation under which a process of this broker began.
    pub incarnation: u64,
    /// What could not be used, and why.
    pub problems: Vec<String>,
    /// Size of the log, bytes, and of the snapshot.
    sizes: (usize, usize),
    /// The log's last line is cut.
    cut: bool,
    /// Files that can be read and hold what was not written there.
    damaged: Vec<&'static str>,
}

fn line(record: &Record) -> Result<String, FileFormatError> {
    let text = serde_json::to_string(record).map_err(|e| FileFormatError::Body(e.to_string()))?;
    Ok(format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes())))
}

fn record(line: &[u8]) -> Option<Record> {
    let (sum, text) = (line.get(..8)?, line.get(9..)?);
    let sum = u32::from_str_radix(std::str::from_utf8(sum).ok()?, 16).ok()?;
    (line[8] == b' ' && crc32fast::hash(text) == sum).then(|| serde_json::from_slice(text).ok())?
}

fn join(copy: &mut StateStore, fact: &Fact) -> bool {
    // Starts are taken as they are: they were looked at when they came.
    let joined = copy.join(&fact.0, &fact.1, Nanos::MAX).is_ok();
    // Nobody here asks which keys changed: they must not add up.
    copy.take_changed_keys();
    joined
}

fn read_log(
    files: &impl FileSystem,
    dir: &Path,
    name: &'static str,
    copy: &mut StateStore,
    found: &mut JournalContents,
) -> (usize, bool) {
    let path = &dir.join(name);
    let bytes = match files.read(path, MAX_LOG_BYTES) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == ErrorKind::NotFound => return (0, false),
        Err(e) => {
            found.problems.push(format!("{}: {e}", path.display()));
            return (0, false);
        }
    };
    let whole = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |n| n + 1);
    let mut damaged = Vec::new();
    for (n, one) in bytes[..whole].split(|b| *b == b'\n').enumerate().filter(|(_, l)| !l.is_empty()) {
        match record(one) {
            Some(Record::Fact(fact)) if join(copy, &fact) => {}
            Some(Record::Incarnation(i)) => found.incarnation = found.incarnation.max(i),
            _ => damaged.push(n + 1),
        }
    }
    if !damaged.is_empty() {
        found.damaged.push(name);
    }
    for n in damaged.iter().take(MAX_LISTED_LINES) {
        found.problems.push(format!("{}: line {n} is damaged", path.display()));
    }
    if damaged.len() > MAX_LISTED_LINES {
        found.problems.push(format!("{}: {} damaged lines in all", path.display(), damaged.len()));
    }
    (bytes.len(), whole < bytes.len())
}

/// What a directory holds.
pub fn read(files: &impl FileSystem, dir: &Path, bounds: StoreLimits) -> JournalContents {
    let mut found = JournalContents::default();
    // Nobody's origin: nothing is said with this copy.
    let mut copy = StateStore::new(Origin(0), bounds);
    for name in [OLDER_SNAPSHOT, SNAPSHOT, TEMPORARY] {
        let path = dir.join(name);
        match files
            .read(&path, FORMAT.max_bytes)
            .map(|bytes| (bytes.len(), FORMAT.decode::<Snapshot>(&bytes)))
        {
            Ok((size, Ok(snapshot))) => {
                found.incarnation = found.incarnation.max(snapshot.incarnation);
                let refused = snapshot.facts.iter().filter(|f| !join(&mut copy, f)).count();
                if refused > 0 {
                    found.problems.push(format!("{}: {refused} facts can't be taken in", path.display()));
                }
                if name == SNAPSHOT {
                    found.sizes.1 = size;
                }
            }
            // Half a file is what a kill leaves of a write; the other files have what was known.
            Ok((_, Err(_))) if name == TEMPORARY => {}
            Ok((_, Err(e))) => {
                found.damaged.push(name);
                found.problems.push(format!("{}: {e}", path.display()));
            }
            Err(e) if e.kind() == ErrorKind::NotFound => {}
            Err(e) => found.problems.push(format!("{}: {e}", path.display())),
        }
    }
    read_log(files, dir, OLDER_LOG, &mut copy, &mut found);
    (found.sizes.0, found.cut) = read_log(files, dir, LOG, &mut copy, &mut found);
    found.facts = copy.facts().map(|(k, e)| (k.clone(), e.clone())).collect();
    found
}

/// What is to be written.
#[derive(Debug)]
enum Write {
    Facts { ticket: u64, facts: Vec<Fact> },
    Incarnation(u64),
}

struct JournalWriter<F: FileSystem> {
    files: F,
    dir: PathBuf,
    copy: StateStore,
    incarnation: u64,
    log: usize,
    snapshot: usize,
    /// The log does not end with a whole line: the next write begins with an end of line.
    cut: bool,
    /// Damaged files that are to be set aside once a snapshot has all that was sound in them.
    damaged: Vec<&'static str>,
}

impl<F: FileSystem> JournalWriter<F> {
    fn append(&mut self, records: &[Record]) -> Result<(), String> {
        let mut text = if self.cut { "\n".to_owned() } else { String::new() };
        for r in records {
            text += &line(r).map_err(|e| e.to_string())?;
        }
        let path = self.dir.join(LOG);
        self.cut = true;
        self.files.append_synced(&path, text.as_bytes()).map_err(|e| format!("{}: {e}", path.display()))?;
        self.cut = false;
        self.log += text.len();
        Ok(())
    }

    fn snapshot(&mut self) -> Result<(), String> {
        let facts = self.copy.facts().map(|(k, e)| (k.clone(), e.clone())).collect();
        let bytes =
            FORMAT.encode(&Snapshot { incarnation: self.incarnation, facts }).map_err(|e| e.to_string())?;
        let path = |name: &str| self.dir.join(name);
        let said = |name: &str| {
            let at = self.dir.join(name).display().to_string();
            move |e: std::io::Error| format!("{at}: {e}")
        };
        let shift = |from: &str, to: &str| match self.files.rename(&path(from), &path(to)) {
            Err(e) if e.kind() != ErrorKind::NotFound => Err(said(from)(e)),
            _ => Ok(()),
        };
        self.files.write_synced(&path(TEMPORARY), &bytes).map_err(said(TEMPORARY))?;
        // From here on what is sound is on disk anew: for whoever looks into it, what is damaged stays under another name.
        for name in &self.damaged {
            shift(name, &format!("{name}.damaged"))?;
        }
        self.damaged.clear();
        shift(SNAPSHOT, OLDER_SNAPSHOT)?;
        shift(TEMPORARY, SNAPSHOT)?;
        // What the log says is in the snapshot; it is kept beside the snapshot before, which lacks it.
        shift(LOG, OLDER_LOG)?;
        (self.log, self.snapshot, self.cut) = (0, bytes.len(), false);
        self.files.sync_dir(&self.dir).map_err(|e| format!("{}: {e}", self.dir.display()))
    }

    /// One that fails is tried again at a later write; what is in the log is kept meanwhile.
    fn try_snapshot(&mut self) {
        if let Err(e) = self.snapshot() {
            tracing::error!("no snapshot of the cluster's facts: {e}; the log goes on");
        }
    }

    fn write(&mut self, write: Write) -> Option<(u64, Result<(), String>)> {
        let (ticket, records) = match write {
            Write::Incarnation(n) => {
                self.incarnation = self.incarnation.max(n);
                (None, vec![Record::Incarnation(n)])
            }
            Write::Facts { ticket, facts } => {
                facts
                    .iter()
                    .filter(|f| !join(&mut self.copy, f))
                    .for_each(|(k, _)| tracing::debug!("not in the snapshot: {k}"));
                (Some(ticket), facts.into_iter().map(Record::Fact).collect())
            }
        };
        let done = self.append(&records);
        if done.is_ok() && self.log > SNAPSHOT_LOG_BYTES.max(2 * self.snapshot) {
            self.try_snapshot();
        }
        ticket.map(|t| (t, done))
    }
}

/// The directory, worked on by a thread of its own.
#[derive(Debug)]
pub struct Journal {
    writes: Option<SyncSender<Write>>,
    found: Receiver<Result<JournalContents, String>>,
    done: Receiver<(u64, Result<(), String>)>,
    ended: Receiver<()>,
    thread: Option<JoinHandle<()>>,
    tickets: u64,
    /// Tickets that are out.
    out: usize,
}

impl Journal {
    /// Begins: the lock is taken, now or when the process that has it ends, and what is there is read.
    pub fn start(files: impl FileSystem, dir: &Path, bounds: StoreLimits) -> std::io::Result<Journal> {
        let (writes, taken) = sync_channel::<Write>(4);
        let (tell_found, found) = sync_channel(1);
        let (tell_done, done) = sync_channel(8);
        let (end, ended) = sync_channel(1);
        let dir = dir.to_owned();
        let work = move || {
            if let Some(_lock) = take_lock(&files, &dir, &tell_found, &taken) {
                let read = read(&files, &dir, bounds);
                let mut copy = StateStore::new(Origin(0), bounds);
                for fact in &read.facts {
                    let _ = join(&mut copy, fact);
                }
                let (log, snapshot, cut) = (read.sizes.0, read.sizes.1, read.cut);
                let incarnation = read.incarnation;
                let damaged = read.damaged.clone();
                let mut writer = JournalWriter { files, dir, copy, incarnation, log, snapshot, cut, damaged };
                if !writer.damaged.is_empty() {
                    writer.try_snapshot();
                }
                let _ = tell_found.send(Ok(read));
                for write in taken {
                    if let Some(done) = writer.write(write) {
                        let _ = tell_done.send(done);
                    }
                }
            }
            let _ = end.send(());
        };
        let thread = std::thread::Builder::new().name("journal".into()).spawn(work)?;
        let writes = Some(writes);
        Ok(Journal { writes, found, done, ended, thread: Some(thread), tickets: 0, out: 0 })
    }

    /// What was found, once it is; an error where the directory can't be used at all.
    pub fn poll_contents(&self) -> Option<Result<JournalContents, String>> {
        self.found.try_recv().ok()
    }

    /// The same, waited for at most so long: for a start, before anybody is served.
    pub fn wait_for_contents(&self, time: Duration) -> Option<Result<JournalContents, String>> {
        self.found.recv_timeout(time).ok()
    }

    /// Has the incarnation of this process written.
    pub fn record_incarnation(&self, incarnation: u64) {
        if let Some(writes) = &self.writes {
            let _ = writes.try_send(Write::Incarnation(incarnation));
        }
    }

    /// Nothing will ever be written: the thread has ended.
    pub fn has_stopped(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Whether facts can be taken now.
    pub fn can_write(&self) -> bool {
        self.out < 2
    }

    /// Whether an answer is still to come.
    pub fn has_pending_writes(&self) -> bool {
        self.out > 0
    }

    /// Has facts written; gives the ticket that `done` tells of, or the facts if they can't be taken now. Never blocks.
    pub fn write(&mut self, facts: Vec<Fact>) -> Result<u64, Vec<Fact>> {
        let Some(writes) = self.writes.as_ref().filter(|_| self.out < 2) else { return Err(facts) };
        let ticket = self.tickets + 1;
        match writes.try_send(Write::Facts { ticket, facts }) {
            Ok(()) => {
                (self.tickets, self.out) = (ticket, self.out + 1);
                Ok(ticket)
            }
            Err(e) => {
                let (std::sync::mpsc::TrySendError::Full(w) | std::sync::mpsc::TrySendError::Disconnected(w)) =
                    e;
                if let Write::Facts { facts, .. } = w { Err(facts) } else { Err(Vec::new()) }
            }
        }
    }

    /// What was written, or why not.
    pub fn poll_result(&mut self) -> Option<(u64, Result<(), String>)> {
        let done = self.done.try_recv().ok()?;
        self.out -= 1;
        Some(done)
    }
}

/// Waits for the lock; none where the program ends before.
fn take_lock<F: FileSystem>(
    files: &F,
    dir: &Path,
    tell: &SyncSender<Result<JournalContents, String>>,
    taken: &Receiver<Write>,
) -> Option<F::Lock> {
    let fail = |what: String| {
        let _ = tell.try_send(Err(what));
        None
    };
    if let Err(e) = std::fs::create_dir_all(dir) {
        return fail(format!("{}: {e}", dir.display()));
    }
    let path = dir.join(LOCK);
    loop {
        match files.lock(&path) {
            Ok(lock) => return Some(lock),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return fail(format!("{}: {e}", path.display())),
        }
        let again = Instant::now() + LOCK_RETRY_INTERVAL;
        // Nothing is written before it is read; an end of the program ends the wait.
        while let Some(left) = again.checked_duration_since(Instant::now()).filter(|d| !d.is_zero()) {
            if let Err(std::sync::mpsc::RecvTimeoutError::Disconnected) = taken.recv_timeout(left) {
                return None;
            }
        }
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        drop(self.writes.take());
        if self.ended.recv_timeout(SHUTDOWN_TIMEOUT).is_ok()
            && let Some(thread) = self.thread.take()
        {
            let _ = thread.join();
        }
    }
}
