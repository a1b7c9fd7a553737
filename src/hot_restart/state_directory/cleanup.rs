//! When the files of dead processes are removed.

use std::collections::{BTreeMap, BTreeSet};

/// Polls from the first one that delivered the last files of a dead process until these are removed. By then,
/// this process's own files contain what was in them.
const POLLS_BEFORE_REMOVAL: u32 = 20;

/// The dead processes whose last files the event loop has received.
#[derive(Debug, Default)]
pub(super) struct Cleanup {
    /// Number of polls that have delivered the files of each dead process.
    deliveries: BTreeMap<u64, u32>,
}

impl Cleanup {
    /// Counts a poll that delivered the files of these dead processes.
    pub(super) fn on_delivered(&mut self, dead: &BTreeSet<u64>) {
        self.deliveries.retain(|serial, _| dead.contains(serial));
        for serial in dead {
            *self.deliveries.entry(*serial).or_default() += 1;
        }
    }

    /// The processes whose files may be removed.
    pub(super) fn due(&self) -> impl Iterator<Item = u64> {
        self.deliveries.iter().filter(|(_, polls)| **polls >= POLLS_BEFORE_REMOVAL).map(|(serial, _)| *serial)
    }
}
