//! Appends to the log, and replaces it by a snapshot when it has grown.

use super::record::{Record, SNAPSHOT_FORMAT, Snapshot, merge};
use super::{JournalContents, LOG, OLDER_LOG, OLDER_SNAPSHOT, SNAPSHOT, TEMPORARY};
use super::{WriteCompletion, WriteRequest};
use crate::replication::{Origin, StateStore, StoreLimits};
use crate::storage::{FileError, FileSystem, WriteError};
use std::io::ErrorKind;
use std::path::PathBuf;

/// A snapshot is written once the log is larger than this, bytes, and than `LOG_TO_SNAPSHOT_RATIO` times the
/// last snapshot.
const MIN_LOG_BYTES: usize = 1 << 20;
/// The size of the log relative to the last snapshot; see `MIN_LOG_BYTES`.
const LOG_TO_SNAPSHOT_RATIO: usize = 2;

/// The state of a journal's thread.
pub(super) struct LogWriter<F> {
    files: F,
    dir: PathBuf,
    /// All facts that were recovered or were to be written, except those that the store rejected.
    copy: StateStore,
    incarnation: u64,
    log_bytes: usize,
    snapshot_bytes: usize,
    /// Whether the log ends, or may end, with an incomplete line: the next write then begins with an end of
    /// line.
    last_line_is_incomplete: bool,
    /// Damaged files, to be renamed once a snapshot has all intact records from them.
    damaged_files: Vec<&'static str>,
}

impl<F: FileSystem> LogWriter<F> {
    /// A writer that continues from the recovered contents.
    pub(super) fn new(
        files: F,
        dir: PathBuf,
        limits: StoreLimits,
        recovered: &JournalContents,
    ) -> LogWriter<F> {
        let mut copy = StateStore::new(Origin(0), limits);
        for fact in &recovered.facts {
            // Recovery has already merged them under the same limits.
            let _ = merge(&mut copy, fact);
        }
        LogWriter {
            files,
            dir,
            copy,
            incarnation: recovered.incarnation,
            log_bytes: recovered.log_bytes,
            snapshot_bytes: recovered.snapshot_bytes,
            last_line_is_incomplete: recovered.last_line_is_incomplete,
            damaged_files: recovered.damaged_files.clone(),
        }
    }

    /// Writes a snapshot immediately if recovery found damaged files.
    pub(super) fn replace_damaged_files(&mut self) {
        if !self.damaged_files.is_empty() {
            self.try_snapshot();
        }
    }

    /// Performs a write. Returns a completion if it is a write of facts.
    pub(super) fn write(&mut self, request: WriteRequest) -> Option<WriteCompletion> {
        match request {
            WriteRequest::Incarnation(incarnation) => {
                self.incarnation = self.incarnation.max(incarnation);
                // No caller waits for this; a failure shows at the next write of facts.
                let _ = self.append_and_compact(&[Record::Incarnation(incarnation)]);
                None
            }
            WriteRequest::Facts { ticket, facts } => {
                for (key, _) in facts.iter().filter(|fact| !merge(&mut self.copy, fact)) {
                    tracing::debug!(%key, "fact was rejected by the journal's copy; it stays in the log");
                }
                let records: Vec<Record> = facts.into_iter().map(Record::Fact).collect();
                let result = self.append_and_compact(&records);
                Some(WriteCompletion { ticket, result })
            }
        }
    }

    fn append_and_compact(&mut self, records: &[Record]) -> Result<(), WriteError> {
        self.append(records)?;
        if self.log_bytes > MIN_LOG_BYTES.max(LOG_TO_SNAPSHOT_RATIO * self.snapshot_bytes) {
            self.try_snapshot();
        }
        Ok(())
    }

    fn append(&mut self, records: &[Record]) -> Result<(), WriteError> {
        let mut text = if self.last_line_is_incomplete { "\n".to_owned() } else { String::new() };
        for record in records {
            text += &record.encode_line()?;
        }
        let path = self.dir.join(LOG);
        self.last_line_is_incomplete = true;
        self.files.append_synced(&path, text.as_bytes()).map_err(FileError::at(&path))?;
        self.last_line_is_incomplete = false;
        self.log_bytes += text.len();
        Ok(())
    }

    /// Writes a snapshot. A failed one is retried after a later write; its facts are in the log meanwhile.
    fn try_snapshot(&mut self) {
        if let Err(error) = self.snapshot() {
            tracing::error!(%error, "journal snapshot was not written; the log continues to be used");
        }
    }

    fn snapshot(&mut self) -> Result<(), WriteError> {
        let facts = self.copy.facts().map(|(key, value)| (key.clone(), value.clone())).collect();
        let bytes = SNAPSHOT_FORMAT.encode(&Snapshot { incarnation: self.incarnation, facts })?;
        let temporary = self.dir.join(TEMPORARY);
        self.files.write_synced(&temporary, &bytes).map_err(FileError::at(&temporary))?;
        // All intact records are in the new file now. Damaged files are retained under another name for
        // inspection.
        for name in &self.damaged_files {
            self.rename(name, &format!("{name}.damaged"))?;
        }
        self.damaged_files.clear();
        self.rename(SNAPSHOT, OLDER_SNAPSHOT)?;
        self.rename(TEMPORARY, SNAPSHOT)?;
        // The log is retained with the older snapshot, which lacks some of its facts.
        self.rename(LOG, OLDER_LOG)?;
        self.log_bytes = 0;
        self.snapshot_bytes = bytes.len();
        self.last_line_is_incomplete = false;
        self.files.sync_dir(&self.dir).map_err(FileError::at(&self.dir))?;
        Ok(())
    }

    /// Renames a file of the directory, if it exists.
    fn rename(&self, from: &str, to: &str) -> Result<(), FileError> {
        let from = self.dir.join(from);
        match self.files.rename(&from, &self.dir.join(to)) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(FileError::at(&from)(error)),
            _ => Ok(()),
        }
    }
}
