//! Writes facts to the journal, and answers operators' commands once they are on disk.

use super::{Cluster, JOURNAL_POLL_INTERVAL};
use crate::api::Nanos;
use crate::net::ConnId;
use crate::replication::{FactKey, Origin, StateStore, StoreLimits};
use crate::storage::Disk;
use crate::storage::journal::{self, WriteCompletion};
use std::path::Path;

/// Time after which a failed write is retried, ns.
const WRITE_RETRY_INTERVAL: Nanos = 1_000_000_000;
/// Most facts in one write.
const MAX_FACTS_PER_WRITE: usize = 512;

/// An operator's command whose caller is answered once it is on disk.
#[derive(Debug)]
pub(super) struct PendingCommand {
    pub(super) caller: ConnId,
    pub(super) key: FactKey,
    /// The answer once it is on disk.
    pub(super) success: String,
    /// The journal's ticket for its write, once that is queued.
    pub(super) ticket: Option<u64>,
}

/// Reads the facts in a cluster's directory, and describes what is wrong there. The store has origin 0, which
/// no process has: no command may be recorded in it.
pub fn read_directory(dir: &Path) -> (StateStore, Vec<String>) {
    let mut store = StateStore::new(Origin(0), StoreLimits::default());
    if !dir.is_dir() {
        return (store, vec![format!("{}: it is no directory", dir.display())]);
    }
    let contents = journal::read(&Disk, dir, StoreLimits::default());
    for (key, entry) in &contents.facts {
        let _ = store.join(key, entry, Nanos::MAX);
    }
    (store, contents.problems.iter().map(ToString::to_string).collect())
}

impl Cluster {
    pub(super) fn drive_journal(&mut self, now: Nanos) {
        let Some(member) = &mut self.node else { return };
        while let Some(WriteCompletion { ticket, result: outcome }) = self.journal.poll_result() {
            let keys = self.writes_in_flight.remove(&ticket).unwrap_or_default();
            let (completed, remaining) =
                self.pending_commands.drain(..).partition(|c: &PendingCommand| c.ticket == Some(ticket));
            self.pending_commands = remaining;
            let completed: Vec<PendingCommand> = completed;
            match outcome {
                Ok(()) => {
                    if std::mem::replace(&mut self.writes_failing, false) {
                        tracing::info!("cluster: facts are kept again in {}", self.directory);
                    }
                    self.replies.extend(completed.into_iter().map(|c| (c.caller, Ok(c.success))));
                }
                Err(error) => {
                    // Logged once for each run of failures: a full disk stays full.
                    if !std::mem::replace(&mut self.writes_failing, true) {
                        tracing::error!("cluster: facts can't be kept on disk: {error}; serving continues");
                    }
                    let failure = |c: PendingCommand| {
                        (c.caller, Err(format!("{}: it holds here, and is not on disk: {error}", c.key)))
                    };
                    self.replies.extend(completed.into_iter().map(failure));
                    member.persist_failed(keys);
                    self.next_write_at = now + WRITE_RETRY_INTERVAL;
                }
            }
        }
        if member.is_persisted() || !self.journal.can_write() || now < self.next_write_at {
            return;
        }
        if self.journal.has_stopped() {
            self.next_write_at = now + WRITE_RETRY_INTERVAL;
            let failure = |c: PendingCommand| {
                (
                    c.caller,
                    Err(format!("{}: it holds here, and is not on disk: the journal has stopped", c.key)),
                )
            };
            self.replies.extend(self.pending_commands.drain(..).map(failure));
            return;
        }
        let facts = member.take_unpersisted(MAX_FACTS_PER_WRITE);
        let keys: Vec<FactKey> = facts.iter().map(|(k, _)| k.clone()).collect();
        match self.journal.write(facts) {
            Ok(ticket) => {
                let unqueued = self.pending_commands.iter_mut().filter(|c| c.ticket.is_none());
                unqueued.filter(|c| keys.contains(&c.key)).for_each(|c| c.ticket = Some(ticket));
                self.writes_in_flight.insert(ticket, keys);
            }
            Err(_) => {
                member.persist_failed(keys);
                self.next_write_at = now + JOURNAL_POLL_INTERVAL;
            }
        }
    }
}
