//! Appending to the log, and replacing it by a snapshot when it has grown.

use super::record::{Record, SNAPSHOT_FORMAT, Snapshot, merge};
use super::{JournalContents, LOG, OLDER_LOG, OLDER_SNAPSHOT, SNAPSHOT, TEMPORARY};
use super::{WriteCompletion, WriteRequest};
use crate::replication::{Origin, StateStore, StoreLimits};
use crate::storage::{FileError, FileSystem, WriteError};
use std::io::ErrorKind;
use std::path::PathBuf;

/// A snapshot is written once the log is larger than this, bytes, and also than `LOG_PER_SNAPSHOT` snapshots.
const MIN_LOG_BYTES: usize = 1 << 20;
/// See `MIN_LOG_BYTES`.
const LOG_PER_SNAPSHOT: usize = 2;

/// The state of the thread of a journal.
pub(super) struct LogWriter<F> {
    files: F,
    dir: PathBuf,
    /// All facts that are on disk, or are rejected by the store's limits.
    copy: StateStore,
    incarnation: u64,
    log_bytes: usize,
    snapshot_bytes: usize,
    /// The log ends with an incomplete line: the next write begins with an end of line.
    log_is_cut: bool,
    /// Damaged files, to be renamed once a snapshot has all that was intact in them.
    damaged_files: Vec<&'static str>,
}

impl<F: FileSystem> LogWriter<F> {
    /// A writer that goes on after what was recovered.
    pub(super) fn new(
        files: F,
        dir: PathBuf,
        limits: StoreLimits,
        recovered: &JournalContents,
    ) -> LogWriter<F> {
        let mut copy = StateStore::new(Origin(0), limits);
        for fact in &recovered.facts {
            // They were merged once already, under the same limits.
            let _ = merge(&mut copy, fact);
        }
        LogWriter {
            files,
            dir,
            copy,
            incarnation: recovered.incarnation,
            log_bytes: recovered.log_bytes,
            snapshot_bytes: recovered.snapshot_bytes,
            log_is_cut: recovered.log_is_cut,
            damaged_files: recovered.damaged_files.clone(),
        }
    }

    /// Writes a snapshot at once if recovery found damaged files.
    pub(super) fn replace_damaged_files(&mut self) {
        if !self.damaged_files.is_empty() {
            self.try_snapshot();
        }
    }

    /// Carries out a write. Gives a completion for one of facts.
    pub(super) fn write(&mut self, request: WriteRequest) -> Option<WriteCompletion> {
        match request {
            WriteRequest::Incarnation(incarnation) => {
                self.incarnation = self.incarnation.max(incarnation);
                // Nobody waits for this; a failure shows in the next write of facts.
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
        if self.log_bytes > MIN_LOG_BYTES.max(LOG_PER_SNAPSHOT * self.snapshot_bytes) {
            self.try_snapshot();
        }
        Ok(())
    }

    fn append(&mut self, records: &[Record]) -> Result<(), WriteError> {
        let mut text = if self.log_is_cut { "\n".to_owned() } else { String::new() };
        for record in records {
            text += &record.encode_line()?;
        }
        let path = self.dir.join(LOG);
        self.log_is_cut = true;
        self.files.append_synced(&path, text.as_bytes()).map_err(FileError::at(&path))?;
        self.log_is_cut = false;
        self.log_bytes += text.len();
        Ok(())
    }

    /// Writes a snapshot. One that fails is tried again after a later write; its facts are in the log
    /// meanwhile.
    fn try_snapshot(&mut self) {
        if let Err(error) = self.snapshot() {
            tracing::error!(%error, "journal snapshot was not written; the log goes on");
        }
    }

    fn snapshot(&mut self) -> Result<(), WriteError> {
        let facts = self.copy.facts().map(|(key, value)| (key.clone(), value.clone())).collect();
        let bytes = SNAPSHOT_FORMAT.encode(&Snapshot { incarnation: self.incarnation, facts })?;
        let temporary = self.dir.join(TEMPORARY);
        self.files.write_synced(&temporary, &bytes).map_err(FileError::at(&temporary))?;
        // All that is intact is in a new file now. Damaged files are stored under another name, to be looked
        // into.
        for name in &self.damaged_files {
            self.rename(name, &format!("{name}.damaged"))?;
        }
        self.damaged_files.clear();
        self.rename(SNAPSHOT, OLDER_SNAPSHOT)?;
        self.rename(TEMPORARY, SNAPSHOT)?;
        // The log is stored beside the older snapshot, which has not all of its facts.
        self.rename(LOG, OLDER_LOG)?;
        self.log_bytes = 0;
        self.snapshot_bytes = bytes.len();
        self.log_is_cut = false;
        self.files.sync_dir(&self.dir).map_err(FileError::at(&self.dir))?;
        Ok(())
    }

    /// Renames a file of the directory, if it is there.
    fn rename(&self, from: &str, to: &str) -> Result<(), FileError> {
        let from = self.dir.join(from);
        match self.files.rename(&from, &self.dir.join(to)) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(FileError::at(&from)(error)),
            _ => Ok(()),
        }
    }
}
