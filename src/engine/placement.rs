//! Placement of shards on servers, and which servers accept new attempts, from the latest endpoint list.

use crate::api::{ReplicaEntry, ReplicaId, ReplicaState, Settings};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug)]
struct Placement {
    cell: u32,
    accepts_attempts: bool,
}

/// The servers of the endpoint list.
#[derive(Debug)]
pub(super) struct Placements {
    by_replica: HashMap<ReplicaId, Placement>,
    cells: u32,
    /// Number of consecutive cells that hold a shard.
    span: u32,
}

impl Placements {
    pub(super) fn new(settings: &Settings) -> Placements {
        Placements { by_replica: HashMap::new(), cells: settings.cells, span: settings.span }
    }

    /// Applies entries of the endpoint list: the whole list if `full`, otherwise changes to it.
    pub(super) fn update(&mut self, full: bool, entries: &[ReplicaEntry]) {
        if full {
            self.by_replica.clear();
        }
        for entry in entries {
            let accepts_attempts = match entry.state {
                ReplicaState::Removed => {
                    self.by_replica.remove(&entry.replica);
                    continue;
                }
                ReplicaState::Active => true,
                ReplicaState::Draining => false,
            };
            self.by_replica.insert(entry.replica, Placement { cell: entry.cell, accepts_attempts });
        }
    }

    /// Whether a server is listed and not draining.
    pub(super) fn accepts_attempts(&self, replica: ReplicaId) -> bool {
        self.by_replica.get(&replica).is_some_and(|placement| placement.accepts_attempts)
    }

    /// Whether a server is listed and has a shard.
    pub(super) fn has_shard(&self, replica: ReplicaId, shard: u32) -> bool {
        let cells = self.cells;
        let distance = |cell: u32| (cell + cells - shard % cells) % cells;
        self.by_replica.get(&replica).is_some_and(|placement| distance(placement.cell) < self.span)
    }
}
