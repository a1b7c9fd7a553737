//! Nodes that an operator has suspended by command. A suspension overrides every other source until it is
//! lifted.
//!
//! Reports of the other sources about a suspended node are stored unchanged, and an active node is passed on
//! as draining. So a node that moves, is removed and listed again, or restarts stays suspended.

use super::NodeChange;
use crate::api::{ReplicaId, ReplicaState};
use std::collections::{BTreeMap, BTreeSet};

/// The node id in a command has never been in any list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no list has named this node")]
pub struct UnknownNode;

/// Maximum number of removed nodes that are remembered.
const MAX_REMOVED_NODES: usize = 4096;

/// The suspended nodes, and the last change of each node from the other sources.
#[derive(Debug, Default)]
pub struct ManualOverrides {
    suspended: BTreeSet<String>,
    latest: BTreeMap<String, NodeChange>,
    removed: BTreeSet<String>,
}

impl ManualOverrides {
    /// Overrides that suspend exactly these nodes, as handed over by the previous process.
    #[must_use]
    pub fn with_suspended(ids: impl IntoIterator<Item = String>) -> ManualOverrides {
        ManualOverrides { suspended: ids.into_iter().collect(), ..ManualOverrides::default() }
    }

    /// Number of listed nodes that are suspended.
    #[must_use]
    pub fn listed_suspended(&self) -> usize {
        let is_listed = |id: &&String| {
            self.latest.get(*id).is_some_and(|change| change.entry.state != ReplicaState::Removed)
        };
        self.suspended.iter().filter(is_listed).count()
    }

    /// The replica number of a node; for a removed node, its last one.
    #[must_use]
    pub fn replica(&self, id: &str) -> Option<ReplicaId> {
        self.latest.get(id).map(|change| change.entry.replica)
    }

    /// Whether this node has been in any list, or is suspended.
    #[must_use]
    pub fn knows(&self, id: &str) -> bool {
        self.latest.contains_key(id) || self.suspended.contains(id)
    }

    /// Applies the overrides to changes from the other sources.
    pub fn apply_changes(&mut self, changes: Vec<NodeChange>) -> Vec<NodeChange> {
        changes.into_iter().map(|change| self.apply_change(change)).collect()
    }

    fn apply_change(&mut self, change: NodeChange) -> NodeChange {
        let removed = change.entry.state == ReplicaState::Removed;
        if removed {
            // Bounds memory in a long-running process: the lowest id is assumed to be the oldest.
            if self.removed.len() >= MAX_REMOVED_NODES
                && let Some(oldest) = self.removed.pop_first()
            {
                self.latest.remove(&oldest);
            }
            self.removed.insert(change.id.clone());
        } else {
            self.removed.remove(&change.id);
        }
        let overridden = self.overridden(change.clone());
        // For a node that moved, the removal of its old replica number follows the addition of the new one.
        let stored = self.latest.get(&change.id);
        let moved = removed && stored.is_some_and(|stored| stored.entry.replica != change.entry.replica);
        if !moved {
            self.latest.insert(change.id.clone(), change);
        }
        overridden
    }

    fn overridden(&self, mut change: NodeChange) -> NodeChange {
        if change.entry.state == ReplicaState::Active && self.suspended.contains(&change.id) {
            change.entry.state = ReplicaState::Draining;
        }
        change
    }

    /// Suspends a node; idempotent. Returns the resulting change, if any. `ever_listed`: whether another
    /// source knows the id.
    ///
    /// # Errors
    ///
    /// [`UnknownNode`] if the id has never been in any list.
    pub fn suspend(&mut self, id: &str, ever_listed: bool) -> Result<Option<NodeChange>, UnknownNode> {
        self.check_known(id, ever_listed)?;
        let newly_suspended = self.suspended.insert(id.to_owned());
        let latest = self.latest.get(id).filter(|_| newly_suspended);
        Ok(latest.map(|change| self.overridden(change.clone())))
    }

    /// Lifts the suspension of a node, however often it was suspended. Returns the resulting change, if any.
    /// `ever_listed`: whether another source knows the id.
    ///
    /// # Errors
    ///
    /// [`UnknownNode`] if the id has never been in any list.
    pub fn restore(&mut self, id: &str, ever_listed: bool) -> Result<Option<NodeChange>, UnknownNode> {
        self.check_known(id, ever_listed)?;
        let was_suspended = self.suspended.remove(id);
        Ok(self.latest.get(id).filter(|_| was_suspended).cloned())
    }

    fn check_known(&self, id: &str, ever_listed: bool) -> Result<(), UnknownNode> {
        if ever_listed || self.knows(id) { Ok(()) } else { Err(UnknownNode) }
    }
}
