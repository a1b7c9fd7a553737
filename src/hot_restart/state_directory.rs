//! The directory in which processes at one address leave their states for each other, and the thread that works on it.
//!
//! Each process has a number and three files: `N.lock`, which it holds locked for as long as it lives, so that the
//! system itself tells who is there; `N.state`, small and written often; `N.list`, its list of servers. Files are
//! replaced by renaming: who reads finds one that is whole, unless the disk was full.

use super::coordination::PeerProcess;
use super::state::ProcessState;
use crate::membership::snapshot::{self, Snapshot};
use crate::storage::{Disk, FileSystem};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time between two looks at the other processes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long the end of the program waits for the thread: a disk that hangs must not keep it.
const SHUTDOWN_WAIT: Duration = Duration::from_millis(200);

/// What a process finds at its start.
#[derive(Debug, Default)]
pub struct StartupContents {
    /// The number that it has.
    pub serial: u64,
    /// The processes before it, the oldest first.
    pub peers: Vec<PeerProcess>,
    /// Their lists of servers.
    pub snapshots: Vec<Snapshot>,
    /// What could not be used, and why.
    pub errors: Vec<String>,
}

/// What is to be written.
#[derive(Debug)]
pub struct StateUpdate {
    /// The state.
    pub state: ProcessState,
    /// The list of servers, where it has changed.
    pub snapshot: Option<Snapshot>,
}

/// The directory, worked on by a thread of its own.
#[derive(Debug)]
pub struct StateDirectory {
    updates: Option<SyncSender<StateUpdate>>,
    observations: Receiver<Vec<PeerProcess>>,
    worker_done: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

fn path(dir: &Path, serial: u64, kind: &str) -> PathBuf {
    dir.join(format!("{serial}.{kind}"))
}

/// Numbers of the processes that have left anything.
fn serials(dir: &Path) -> io::Result<BTreeSet<u64>> {
    let names = std::fs::read_dir(dir)?.filter_map(|e| Some(e.ok()?.file_name().to_str()?.to_owned()));
    Ok(names.filter_map(|n| n.split_once('.')?.0.parse().ok()).collect())
}

/// The process runs: it holds its lock.
fn is_alive(dir: &Path, serial: u64) -> bool {
    let file = File::options().write(true).open(path(dir, serial, "lock"));
    file.is_ok_and(|f| matches!(f.try_lock_shared(), Err(std::fs::TryLockError::WouldBlock)))
}

/// Another process and what it told. A file that can't be used is `Err`, one that is not there is no state.
fn look(dir: &Path, serial: u64) -> (PeerProcess, Option<String>) {
    let at = path(dir, serial, "state");
    // Looked at first: a state that was read while its process lived is one that it wrote.
    let alive = is_alive(dir, serial);
    let read = match Disk.read(&at, super::state::FORMAT.max_bytes) {
        Ok(bytes) => ProcessState::decode(&bytes).map(Some).map_err(|e| e.to_string()),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e.to_string()),
    };
    match read {
        Ok(state) => (PeerProcess { serial, alive, state }, None),
        Err(why) => (PeerProcess { serial, alive, state: None }, Some(format!("{}: {why}", at.display()))),
    }
}

fn list(dir: &Path, serial: u64) -> Result<Option<Snapshot>, String> {
    let at = path(dir, serial, "list");
    match Disk.read(&at, snapshot::MAX_FILE_BYTES) {
        Ok(bytes) => snapshot::decode(&bytes).map(Some).map_err(|e| format!("{}: {e}", at.display())),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(format!("{}: {e}", at.display())),
    }
}

/// Takes the next number, and the lock that goes with it.
fn enter(dir: &Path) -> io::Result<(u64, File)> {
    loop {
        let serial = serials(dir)?.last().map_or(1, |n| n + 1);
        match File::options().write(true).create_new(true).open(path(dir, serial, "lock")) {
            Ok(file) => {
                file.lock()?;
                return Ok((serial, file));
            }
            // Another one started at the same moment.
            Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
            Err(e) => return Err(e),
        }
    }
}

fn replace(dir: &Path, serial: u64, kind: &str, bytes: &[u8]) -> io::Result<()> {
    let (tmp, at) = (path(dir, serial, "tmp"), path(dir, serial, kind));
    std::fs::write(&tmp, bytes)?;
    std::fs::rename(tmp, at)
}

struct DirectoryWorker {
    dir: PathBuf,
    serial: u64,
    _lock: File,
    failing: bool,
}

impl DirectoryWorker {
    fn write(&mut self, leaf: &StateUpdate) {
        let written = (|| -> Result<(), String> {
            let said = |e: io::Error| e.to_string();
            if let Some(list) = &leaf.snapshot {
                let bytes = snapshot::encode(list).map_err(|e| e.to_string())?;
                replace(&self.dir, self.serial, "list", &bytes).map_err(said)?;
            }
            let bytes = leaf.state.encode().map_err(|e| e.to_string())?;
            replace(&self.dir, self.serial, "state", &bytes).map_err(said)
        })();
        match written {
            Ok(()) => self.failing = false,
            // Told once for each spell: a full disk stays full.
            Err(why) if !std::mem::replace(&mut self.failing, true) => {
                tracing::error!(
                    "nothing can be handed over in {}: {why}; serving goes on",
                    self.dir.display()
                );
            }
            Err(_) => {}
        }
    }

    /// The others. What dead ones left is thrown away once this process has left a state that holds all of it.
    fn peers(&self, tidy: bool) -> Vec<PeerProcess> {
        let others = serials(&self.dir).unwrap_or_default();
        let others = others.into_iter().filter(|n| *n != self.serial);
        let peers: Vec<PeerProcess> = others.map(|n| look(&self.dir, n).0).collect();
        if tidy {
            for dead in peers.iter().filter(|p| !p.alive && p.serial < self.serial) {
                for kind in ["state", "list", "tmp", "lock"] {
                    let _ = std::fs::remove_file(path(&self.dir, dead.serial, kind));
                }
            }
        }
        peers
    }

    fn work(mut self, leaves: &Receiver<StateUpdate>, tell: &SyncSender<Vec<PeerProcess>>) {
        let mut next = Instant::now() + POLL_INTERVAL;
        // The number of looks since the first state of this process was written.
        let mut looks = 0;
        loop {
            match leaves.recv_timeout(next.saturating_duration_since(Instant::now())) {
                Ok(leaf) => {
                    self.write(&leaf);
                    looks += u32::from(looks == 0 && !self.failing);
                }
                Err(RecvTimeoutError::Timeout) => {
                    next = Instant::now() + POLL_INTERVAL;
                    // Some looks later, what was told last by one that has died is in this process's own state.
                    looks += u32::from(looks > 0 && looks < 20);
                    match tell.try_send(self.peers(looks >= 20 && !self.failing)) {
                        Ok(()) | Err(TrySendError::Full(_)) => {}
                        Err(TrySendError::Disconnected(_)) => return,
                    }
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }
}

impl StateDirectory {
    /// Takes a place in the directory, reads what the processes before have left, and starts the thread. Reads before
    /// the broker serves; from then on only the thread touches the disk.
    pub fn open(dir: &Path) -> io::Result<(StartupContents, StateDirectory)> {
        std::fs::create_dir_all(dir)?;
        let (serial, lock) = enter(dir)?;
        let mut found = StartupContents { serial, ..StartupContents::default() };
        for n in serials(dir)?.into_iter().filter(|n| *n < serial) {
            let (peer, wrong) = look(dir, n);
            let missing = peer.alive && peer.state.is_none() && wrong.is_none();
            found.errors.extend(wrong);
            if missing {
                found.errors.push(format!("{} is not there yet", path(dir, n, "state").display()));
            }
            found.peers.push(peer);
            match list(dir, n) {
                Ok(list) => found.snapshots.extend(list),
                Err(why) => found.errors.push(why),
            }
        }
        let (leaves, taken) = sync_channel(4);
        let (tell, seen) = sync_channel(4);
        let (end, ended) = sync_channel(1);
        let clerk = DirectoryWorker { dir: dir.to_owned(), serial, _lock: lock, failing: false };
        let work = move || {
            clerk.work(&taken, &tell);
            let _ = end.send(());
        };
        let thread = std::thread::Builder::new().name("handover".into()).spawn(work)?;
        Ok((
            found,
            StateDirectory {
                updates: Some(leaves),
                observations: seen,
                worker_done: ended,
                thread: Some(thread),
            },
        ))
    }

    /// Has a leaf written. Never blocks; false if the thread is behind.
    pub fn publish(&self, leaf: StateUpdate) -> bool {
        self.updates.as_ref().is_some_and(|l| l.try_send(leaf).is_ok())
    }

    /// What was last seen of the other processes, since this was last asked.
    pub fn latest_peers(&self) -> Option<Vec<PeerProcess>> {
        self.observations.try_iter().last()
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
