//! A record with its version, and the records that one source has reported of one node.

use crate::api::Nanos;
use crate::membership::{NodeRecord, NodeState, SourceVersion};
use std::cmp::Reverse;

/// A record with its version and the time at which it was first received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRecord {
    /// The record.
    pub record: NodeRecord,
    /// Its version in its source's order.
    pub source_version: SourceVersion,
    /// When this broker first received it, unix ns.
    pub received: Nanos,
    /// Whether it was in the first list after a reset of its source's versions, and so may be older than
    /// records received before.
    pub after_reset: bool,
}

/// The total order of records: the greater one takes precedence.
type Precedence<'a> = (SourceVersion, NodeState, &'a NodeRecord, Reverse<Nanos>, bool);

impl VersionedRecord {
    pub(super) fn precedence(&self) -> Precedence<'_> {
        // Of equal records the one received first takes precedence: a drain keeps the time when it was first
        // learned.
        (self.source_version, self.record.state, &self.record, Reverse(self.received), self.after_reset)
    }

    pub(super) fn start_precedence(&self) -> (Nanos, Precedence<'_>) {
        (self.record.started, self.precedence())
    }

    /// Whether it can prove a restart: it is ready, and its process start was in the past when it was
    /// received. A start in the future would override every drain.
    pub(super) fn proves_restart(&self) -> bool {
        self.record.state == NodeState::Ready
            && self.record.started > 0
            && self.record.started <= self.received
    }
}

/// The records that one source has reported of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct NodeRecords {
    pub(super) latest: VersionedRecord,
    /// The last record that is terminating or gone.
    drain: Option<VersionedRecord>,
    /// The last record that is ready, not counting those from the first list after a reset.
    ready: Option<VersionedRecord>,
    /// The record with the latest process start.
    pub(super) latest_start: Option<VersionedRecord>,
}

impl NodeRecords {
    pub(super) fn new(record: VersionedRecord) -> NodeRecords {
        let mut records =
            NodeRecords { latest: record.clone(), drain: None, ready: None, latest_start: None };
        records.insert(&record);
        records
    }

    /// Inserts a record. Returns whether it replaced any of the stored ones.
    pub(super) fn insert(&mut self, new: &VersionedRecord) -> bool {
        let mut replaced = false;
        if new.precedence() > self.latest.precedence() {
            self.latest = new.clone();
            replaced = true;
        }
        let precedes = |stored: &Option<VersionedRecord>| {
            stored.as_ref().is_none_or(|stored| new.precedence() > stored.precedence())
        };
        match new.record.state {
            NodeState::Ready if new.after_reset => {}
            NodeState::Ready if precedes(&self.ready) => {
                self.ready = Some(new.clone());
                replaced = true;
            }
            NodeState::Terminating | NodeState::Gone if precedes(&self.drain) => {
                self.drain = Some(new.clone());
                replaced = true;
            }
            _ => {}
        }
        let later_start = |stored: &VersionedRecord| new.start_precedence() > stored.start_precedence();
        if new.proves_restart() && self.latest_start.as_ref().is_none_or(later_start) {
            self.latest_start = Some(new.clone());
            replaced = true;
        }
        replaced
    }

    /// The record that determines the node's state, unless a restart is proved.
    pub(super) fn authoritative(&self) -> &VersionedRecord {
        match &self.drain {
            // The first list after a reset may be older than the drain.
            Some(drain)
                if self.latest.after_reset
                    && self.ready.as_ref().is_none_or(|r| r.source_version < drain.source_version) =>
            {
                drain
            }
            _ => &self.latest,
        }
    }

    /// All stored records, each once.
    pub(super) fn distinct(&self) -> impl Iterator<Item = &VersionedRecord> {
        let all = [Some(&self.latest), self.drain.as_ref(), self.ready.as_ref(), self.latest_start.as_ref()];
        (0..all.len()).filter_map(move |n| all[n].filter(|record| !all[..n].contains(&Some(*record))))
    }
}
