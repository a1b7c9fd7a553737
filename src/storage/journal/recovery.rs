//! Reads the files of a journal after a shutdown or a crash.

use super::record::{Record, SNAPSHOT_FORMAT, Snapshot, merge};
use super::{LOG, OLDER_LOG, OLDER_SNAPSHOT, SNAPSHOT, TEMPORARY};
use crate::replication::{Fact, Origin, StateStore, StoreLimits};
use crate::storage::{FileError, FileSystem, ReadError};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Largest part of a log that is read, bytes.
const MAX_LOG_BYTES: usize = 128 << 20;
/// Most damaged lines of a file that are reported individually.
const MAX_LISTED_LINES: usize = 4;

/// A file or part of one that could not be used. The rest of the file, and the other files, are used.
#[derive(Debug, thiserror::Error)]
pub enum RecoveryProblem {
    /// A file could not be read, or is not a valid snapshot.
    #[error(transparent)]
    File(#[from] ReadError),
    /// A snapshot has facts that the store rejects, for example because of its limits.
    #[error("{}: {rejected} facts were rejected by the store", path.display())]
    RejectedFacts {
        /// The snapshot.
        path: PathBuf,
        /// Number of such facts.
        rejected: usize,
    },
    /// A line of a log is not a valid record.
    #[error("{}: line {line} is damaged", path.display())]
    DamagedLine {
        /// The log.
        path: PathBuf,
        /// Number of the line, counted from 1.
        line: usize,
    },
    /// A log has more damaged lines than are reported individually.
    #[error("{}: {lines} damaged lines in all", path.display())]
    DamagedLines {
        /// The log.
        path: PathBuf,
        /// Number of all its damaged lines.
        lines: usize,
    },
}

/// What was found on disk.
#[derive(Debug, Default)]
pub struct JournalContents {
    /// All intact facts, merged.
    pub facts: Vec<Fact>,
    /// The greatest incarnation with which a process of this broker has started; 0 if none has.
    pub incarnation: u64,
    /// What could not be used.
    pub problems: Vec<RecoveryProblem>,
    /// Size of the log, bytes.
    pub(super) log_bytes: usize,
    /// Size of the last snapshot, bytes.
    pub(super) snapshot_bytes: usize,
    /// Whether the last line of the log is incomplete.
    pub(super) last_line_is_incomplete: bool,
    /// Names of the files that could be read and are damaged.
    pub(super) damaged_files: Vec<&'static str>,
}

/// Reads the journal in a directory without taking its lock. Never fails: what can't be used is listed in
/// [`JournalContents::problems`].
pub fn read(files: &impl FileSystem, dir: &Path, limits: StoreLimits) -> JournalContents {
    // No process has origin 0: no commands are recorded in this copy.
    let copy = StateStore::new(Origin(0), limits);
    let mut recovery = Recovery { files, dir, copy, contents: JournalContents::default() };
    for name in [OLDER_SNAPSHOT, SNAPSHOT, TEMPORARY] {
        recovery.read_snapshot(name);
    }
    recovery.read_log(OLDER_LOG);
    let log = recovery.read_log(LOG);
    let Recovery { copy, mut contents, .. } = recovery;
    contents.log_bytes = log.bytes;
    contents.last_line_is_incomplete = log.last_line_is_incomplete;
    contents.facts = copy.facts().map(|(key, value)| (key.clone(), value.clone())).collect();
    contents
}

/// The size and state of a log that was read.
#[derive(Default)]
struct LogFile {
    bytes: usize,
    last_line_is_incomplete: bool,
}

struct Recovery<'a, F> {
    files: &'a F,
    dir: &'a Path,
    copy: StateStore,
    contents: JournalContents,
}

impl<F: FileSystem> Recovery<'_, F> {
    /// The bytes of a file, or `None` if it is missing or can't be read; the latter is recorded as a problem.
    fn read_file(&mut self, path: &Path, max_bytes: usize) -> Option<Vec<u8>> {
        match self.files.read(path, max_bytes) {
            Ok(bytes) => Some(bytes),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            Err(error) => {
                let error = ReadError::File(FileError::at(path)(error));
                self.contents.problems.push(error.into());
                None
            }
        }
    }

    fn read_snapshot(&mut self, name: &'static str) {
        let path = self.dir.join(name);
        let Some(bytes) = self.read_file(&path, SNAPSHOT_FORMAT.max_bytes) else { return };
        match SNAPSHOT_FORMAT.decode::<Snapshot>(&bytes) {
            Ok(snapshot) => {
                self.contents.incarnation = self.contents.incarnation.max(snapshot.incarnation);
                let rejected = snapshot.facts.iter().filter(|fact| !merge(&mut self.copy, fact)).count();
                if rejected > 0 {
                    self.contents.problems.push(RecoveryProblem::RejectedFacts { path, rejected });
                }
                if name == SNAPSHOT {
                    self.contents.snapshot_bytes = bytes.len();
                }
            }
            // A crash leaves an incomplete temporary file; its facts are in the other files.
            Err(_) if name == TEMPORARY => {}
            Err(source) => {
                self.contents.damaged_files.push(name);
                self.contents.problems.push(ReadError::Format { path, source }.into());
            }
        }
    }

    fn read_log(&mut self, name: &'static str) -> LogFile {
        let path = self.dir.join(name);
        let Some(bytes) = self.read_file(&path, MAX_LOG_BYTES) else { return LogFile::default() };
        let complete = bytes.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1);
        let mut damaged_lines = Vec::new();
        for (index, line) in bytes[..complete].split(|b| *b == b'\n').enumerate() {
            if !line.is_empty() && !self.apply_line(line) {
                damaged_lines.push(index + 1);
            }
        }
        if !damaged_lines.is_empty() {
            self.contents.damaged_files.push(name);
            self.report_damage(&path, &damaged_lines);
        }
        LogFile { bytes: bytes.len(), last_line_is_incomplete: complete < bytes.len() }
    }

    /// Applies the record of a line. Returns false if the line is damaged or the store rejects its fact.
    fn apply_line(&mut self, line: &[u8]) -> bool {
        match Record::decode_line(line) {
            Some(Record::Fact(fact)) => merge(&mut self.copy, &fact),
            Some(Record::Incarnation(incarnation)) => {
                self.contents.incarnation = self.contents.incarnation.max(incarnation);
                true
            }
            None => false,
        }
    }

    fn report_damage(&mut self, path: &Path, damaged_lines: &[usize]) {
        let path = || path.to_owned();
        let listed = damaged_lines.iter().take(MAX_LISTED_LINES);
        let listed = listed.map(|line| RecoveryProblem::DamagedLine { path: path(), line: *line });
        self.contents.problems.extend(listed);
        let lines = damaged_lines.len();
        if lines > MAX_LISTED_LINES {
            self.contents.problems.push(RecoveryProblem::DamagedLines { path: path(), lines });
        }
    }
}
