//! Decides when snapshots are stored.

use crate::api::Nanos;

/// Shortest time between two snapshots, ns.
const MIN_SNAPSHOT_INTERVAL: Nanos = 500_000_000;
/// Time after which a snapshot is stored again although only its confirmation time is newer, ns.
const SNAPSHOT_REFRESH_INTERVAL: Nanos = 30_000_000_000;

/// The schedule of snapshots.
#[derive(Debug, Default)]
pub(super) struct SnapshotSchedule {
    /// An update was received that no snapshot contains.
    unsaved: bool,
    last_snapshot: Option<Nanos>,
}

impl SnapshotSchedule {
    pub(super) fn is_unsaved(&self) -> bool {
        self.unsaved
    }

    pub(super) fn mark_unsaved(&mut self) {
        self.unsaved = true;
    }

    pub(super) fn on_snapshot(&mut self, now: Nanos) {
        self.unsaved = false;
        self.last_snapshot = Some(now);
    }

    /// When the next snapshot is due; `watching`: a watch on discovery is established.
    pub(super) fn next_due(&self, watching: bool) -> Option<Nanos> {
        let interval = match (self.unsaved, watching) {
            (true, _) => MIN_SNAPSHOT_INTERVAL,
            (false, true) => SNAPSHOT_REFRESH_INTERVAL,
            // Without an update or a watch, the stored snapshot is still current.
            (false, false) => return None,
        };
        Some(self.last_snapshot.map_or(0, |last| last + interval))
    }
}
