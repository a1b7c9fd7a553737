//! The files of each process: their names, their locks, and how they are read, replaced and removed.

use super::{StateDirectoryError, StateFileError};
use crate::hot_restart::coordination::PeerProcess;
use crate::hot_restart::state::{self, ProcessState};
use crate::membership::snapshot::{self, Snapshot};
use crate::storage::checksummed_file::FileFormatError;
use crate::storage::{Disk, FileSystem};
use std::collections::BTreeSet;
use std::fs::{File, TryLockError};
use std::io::{self, ErrorKind};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The kinds of files of a process, which differ by their extension.
#[derive(Clone, Copy, Debug)]
pub(super) enum FileKind {
    /// Locked by its process for as long as it runs.
    Lock,
    /// The state that the process publishes.
    State,
    /// The endpoint list of the process.
    List,
    /// A new version of another file, before it is renamed.
    Temporary,
}

impl FileKind {
    /// All files of a process. The lock is removed last, so that the remaining files are found again if the
    /// removal is interrupted.
    const IN_ORDER_OF_REMOVAL: [FileKind; 4] =
        [FileKind::State, FileKind::List, FileKind::Temporary, FileKind::Lock];

    fn extension(self) -> &'static str {
        match self {
            FileKind::Lock => "lock",
            FileKind::State => "state",
            FileKind::List => "list",
            FileKind::Temporary => "tmp",
        }
    }
}

pub(super) fn path(dir: &Path, serial: u64, kind: FileKind) -> PathBuf {
    dir.join(format!("{serial}.{}", kind.extension()))
}

/// Numbers of the processes that have files.
pub(super) fn serials(dir: &Path) -> io::Result<BTreeSet<u64>> {
    let names = std::fs::read_dir(dir)?.filter_map(|e| Some(e.ok()?.file_name().to_str()?.to_owned()));
    Ok(names.filter_map(|n| n.split_once('.')?.0.parse().ok()).collect())
}

/// Reserves the next process number by creating and locking its lock file.
pub(super) fn register(dir: &Path) -> Result<(u64, File), StateDirectoryError> {
    let error = |source| StateDirectoryError::Register { dir: dir.to_owned(), source };
    loop {
        let serial = serials(dir).map_err(error)?.last().map_or(1, |n| n + 1);
        match File::options().write(true).create_new(true).open(path(dir, serial, FileKind::Lock)) {
            Ok(file) => {
                file.lock().map_err(error)?;
                return Ok((serial, file));
            }
            // Another process took the same number at the same moment.
            Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
            Err(e) => return Err(error(e)),
        }
    }
}

/// Whether the process is running, which is so as long as its lock is held.
fn is_alive(dir: &Path, serial: u64) -> bool {
    let file = File::options().write(true).open(path(dir, serial, FileKind::Lock));
    file.is_ok_and(|f| matches!(f.try_lock_shared(), Err(TryLockError::WouldBlock)))
}

/// Reads another process and its published state, with the reason if that can't be used. A missing file is no
/// error.
pub(super) fn read_peer(dir: &Path, serial: u64) -> (PeerProcess, Option<StateFileError>) {
    // Checked before the state is read: if the process has ended, the state is the last one that it wrote.
    let alive = is_alive(dir, serial);
    let read = read(dir, serial, FileKind::State, state::FORMAT.max_bytes, ProcessState::decode);
    let (state, error) = match read {
        Ok(state) => (state, None),
        Err(error) => (None, Some(error)),
    };
    (PeerProcess { serial, alive, state }, error)
}

/// Reads the endpoint list of a process; `None` if it has not published one.
pub(super) fn read_snapshot(dir: &Path, serial: u64) -> Result<Option<Snapshot>, StateFileError> {
    read(dir, serial, FileKind::List, snapshot::MAX_FILE_BYTES, snapshot::decode)
}

/// Distinguishes the contents that a file has had: each is written to a new file and renamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FileIdentity {
    inode: u64,
    bytes: u64,
    modified_s: i64,
    modified_ns: i64,
}

/// The identity of the endpoint list of a process; `None` if there is none.
pub(super) fn snapshot_identity(dir: &Path, serial: u64) -> Option<FileIdentity> {
    let metadata = std::fs::metadata(path(dir, serial, FileKind::List)).ok()?;
    Some(FileIdentity {
        inode: metadata.ino(),
        bytes: metadata.size(),
        modified_s: metadata.mtime(),
        modified_ns: metadata.mtime_nsec(),
    })
}

fn read<T>(
    dir: &Path,
    serial: u64,
    kind: FileKind,
    max_bytes: usize,
    decode: impl Fn(&[u8]) -> Result<T, FileFormatError>,
) -> Result<Option<T>, StateFileError> {
    let path = path(dir, serial, kind);
    match Disk.read(&path, max_bytes) {
        Ok(bytes) => match decode(&bytes) {
            Ok(value) => Ok(Some(value)),
            Err(source) => Err(StateFileError::Format { path, source }),
        },
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(source) => Err(StateFileError::Read { path, source }),
    }
}

/// Replaces a file by renaming, so that a reader finds either the complete old or the complete new content.
pub(super) fn replace(dir: &Path, serial: u64, kind: FileKind, bytes: &[u8]) -> io::Result<()> {
    let temporary = path(dir, serial, FileKind::Temporary);
    std::fs::write(&temporary, bytes)?;
    std::fs::rename(temporary, path(dir, serial, kind))
}

/// Removes all files of a process that has ended.
pub(super) fn remove_all(dir: &Path, serial: u64) {
    for kind in FileKind::IN_ORDER_OF_REMOVAL {
        let _ = std::fs::remove_file(path(dir, serial, kind));
    }
}
