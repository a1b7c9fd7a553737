//! Writes facts to the journal, and answers operators' commands once they are on disk.

use super::{Cluster, JOURNAL_POLL_INTERVAL};
use crate::api::Nanos;
use crate::net::ConnId;
use crate::replication::{FactKey, Origin, StateStore, StoreLimits};
use crate::storage::Disk;
use crate::storage::journal::{self, WriteCompletion};
use std::path::Path;

/// Time after which a failed write is attempted again, ns.
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
    /// The journal's ticket of its write, once that has begun.
    pub(super) ticket: Option<u64>,
}

/// Reads the facts in a cluster's directory, and what is wrong there. The store has nobody's origin: no
/// command is recorded with it.
pub fn read_directory(dir: &Path) -> (StateStore, Vec<String>) {
    let mut copy = StateStore::new(Origin(0), StoreLimits::default());
    if !dir.is_dir() {
        return (copy, vec![format!("{}: it is no directory", dir.display())]);
    }
    let found = journal::read(&Disk, dir, StoreLimits::default());
    for (key, entry) in &found.facts {
        let _ = copy.join(key, entry, Nanos::MAX);
    }
    (copy, found.problems.iter().map(ToString::to_string).collect())
}

impl Cluster {
    pub(super) fn drive_journal(&mut self, now: Nanos) {
        let Some(member) = &mut self.node else { return };
        while let Some(WriteCompletion { ticket, result: done }) = self.journal.poll_result() {
            let keys = self.writes_in_flight.remove(&ticket).unwrap_or_default();
            let (over, rest) =
                self.pending_commands.drain(..).partition(|w: &PendingCommand| w.ticket == Some(ticket));
            self.pending_commands = rest;
            let over: Vec<PendingCommand> = over;
            match done {
                Ok(()) => {
                    if std::mem::replace(&mut self.writes_failing, false) {
                        tracing::info!("cluster: facts are kept again in {}", self.directory);
                    }
                    self.replies.extend(over.into_iter().map(|w| (w.caller, Ok(w.success))));
                }
                Err(why) => {
                    // Told once for each spell: a full disk stays full.
                    if !std::mem::replace(&mut self.writes_failing, true) {
                        tracing::error!("cluster: facts can't be kept: {why}; serving goes on");
                    }
                    let no = |w: PendingCommand| {
                        (w.caller, Err(format!("{}: it holds here, and is not on disk: {why}", w.key)))
                    };
                    self.replies.extend(over.into_iter().map(no));
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
            let no = |w: PendingCommand| {
                (w.caller, Err(format!("{}: it holds here, and nothing can be kept on disk", w.key)))
            };
            self.replies.extend(self.pending_commands.drain(..).map(no));
            return;
        }
        let facts = member.take_unpersisted(MAX_FACTS_PER_WRITE);
        let keys: Vec<FactKey> = facts.iter().map(|(k, _)| k.clone()).collect();
        match self.journal.write(facts) {
            Ok(ticket) => {
                let unwritten = self.pending_commands.iter_mut().filter(|w| w.ticket.is_none());
                unwritten.filter(|w| keys.contains(&w.key)).for_each(|w| w.ticket = Some(ticket));
                self.writes_in_flight.insert(ticket, keys);
            }
            Err(_) => {
                member.persist_failed(keys);
                self.next_write_at = now + JOURNAL_POLL_INTERVAL;
            }
        }
    }
}
