//! Snapshots of the registry.

use super::Registry;
use crate::api::Nanos;
use crate::membership::SourcePriority;
use crate::membership::snapshot::{Snapshot, SnapshotNode};

impl Registry {
    /// The snapshot to store, if one is due: shortly after an update, or after a longer interval to store the
    /// latest confirmation time.
    pub fn take_snapshot(&mut self, now: Nanos) -> Option<Snapshot> {
        if self.snapshot_due().is_none_or(|due| due > now) {
            return None;
        }
        self.snapshot_schedule.on_snapshot(now);
        Some(self.snapshot(now))
    }

    /// The snapshot to store at the end of the process, if an update was received since the last one.
    #[must_use]
    pub fn final_snapshot(&self, now: Nanos) -> Option<Snapshot> {
        self.snapshot_schedule.is_unsaved().then(|| self.snapshot(now))
    }

    /// When the next snapshot is due.
    #[must_use]
    pub fn snapshot_due(&self) -> Option<Nanos> {
        self.snapshot_schedule.next_due(self.directory.watched_since.is_some())
    }

    /// A snapshot of the current state.
    #[must_use]
    pub fn snapshot(&self, now: Nanos) -> Snapshot {
        let nodes = self.view.directory_records().map(|versioned| SnapshotNode {
            confirmed: self.nodes.get(&versioned.record.id).and_then(|node| node.confirmed),
            record: versioned.record.clone(),
            epoch: versioned.source_version.epoch,
            version: versioned.source_version.version,
            received: versioned.received,
            after_reset: versioned.after_reset,
        });
        let full_list = self.view.full_list(SourcePriority::Directory);
        Snapshot {
            written: now,
            last_confirmed: self.directory.last_confirmed,
            full_list: full_list.map(|(version, received)| (version.epoch, version.version, received)),
            pruned_up_to: self.view.pruned_up_to().map(|version| (version.epoch, version.version)),
            rate: self.directory.change_rate,
            nodes: nodes.collect(),
        }
    }
}
