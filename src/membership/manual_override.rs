//! Nodes that an operator has suspended by command. A suspension outranks every other source until it is
//! lifted.
//!
//! What the other sources report of a node is stored as it is, and passed on as draining while the node is
//! suspended: a node that moves, is removed and listed again, or restarts meanwhile stays suspended.

use super::NodeChange;
use crate::api::{ReplicaId, ReplicaState};
use std::collections::{BTreeMap, BTreeSet};

/// The id of a command was never listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no list has named this node")]
pub struct UnknownNode;

/// Most removed nodes whose ids are still known.
const MAX_REMOVED_NODES: usize = 4096;

/// The suspended nodes, and the last change of each node from the other sources.
#[derive(Debug, Default)]
pub struct ManualOverrides {
    suspended: BTreeSet<String>,
    latest: BTreeMap<String, NodeChange>,
    removed: BTreeSet<String>,
}

impl ManualOverrides {
    /// Overrides that suspend these nodes only, as handed over by an earlier process.
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

    /// The replica number of a node, or the last one of a removed node.
    #[must_use]
    pub fn replica(&self, id: &str) -> Option<ReplicaId> {
        self.latest.get(id).map(|change| change.entry.replica)
    }

    /// Whether any list has named this node, or it is suspended.
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
            // Bounds memory over a long run: the lowest id is taken for the oldest.
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
        // A node that moved is removed under its old replica number after it was added under the new one.
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

    /// Suspends a node; idempotent. Returns the change that follows, if any. `ever_listed`: another source
    /// knows the id.
    ///
    /// # Errors
    ///
    /// [`UnknownNode`] if no list has ever named the id.
    pub fn suspend(&mut self, id: &str, ever_listed: bool) -> Result<Option<NodeChange>, UnknownNode> {
        self.check_known(id, ever_listed)?;
        let newly_suspended = self.suspended.insert(id.to_owned());
        let latest = self.latest.get(id).filter(|_| newly_suspended);
        Ok(latest.map(|change| self.overridden(change.clone())))
    }

    /// Lifts the suspension of a node, however often it was suspended. Returns the change that follows, if
    /// any.
    ///
    /// # Errors
    ///
    /// [`UnknownNode`] if no list has ever named the id.
    pub fn restore(&mut self, id: &str, ever_listed: bool) -> Result<Option<NodeChange>, UnknownNode> {
        self.check_known(id, ever_listed)?;
        let was_suspended = self.suspended.remove(id);
        Ok(self.latest.get(id).filter(|_| was_suspended).cloned())
    }

    fn check_known(&self, id: &str, ever_listed: bool) -> Result<(), UnknownNode> {
        if ever_listed || self.knows(id) { Ok(()) } else { Err(UnknownNode) }
    }
}
