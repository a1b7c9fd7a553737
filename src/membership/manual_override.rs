//! Servers that staff have taken out: a word that stands above every other source until staff take it back.
//!
//! What the other sources have come to say of each server is kept as it is, and shown as draining while the word holds:
//! a server that moves, goes and comes back, or restarts meanwhile stays out.

use super::NodeChange;
use crate::api::{ReplicaId, ReplicaState};
use std::collections::{BTreeMap, BTreeSet};

/// An id that no list has ever named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownNode;

/// Most servers that are gone and still known by their ids.
const MAX_REMOVED_NODES: usize = 4096;

/// Who is out by hand, and what would hold otherwise.
#[derive(Debug, Default)]
pub struct ManualOverrides {
    suspended: BTreeSet<String>,
    /// The last that was told of each server.
    latest: BTreeMap<String, NodeChange>,
    removed: BTreeSet<String>,
}

impl ManualOverrides {
    /// Nobody is out but these: what an earlier process handed over.
    pub fn with_suspended(out: impl IntoIterator<Item = String>) -> ManualOverrides {
        ManualOverrides { suspended: out.into_iter().collect(), ..ManualOverrides::default() }
    }

    /// Servers of the list that are out.
    pub fn listed_suspended(&self) -> usize {
        let there =
            |id: &&String| self.latest.get(*id).is_some_and(|c| c.entry.state != ReplicaState::Removed);
        self.suspended.iter().filter(there).count()
    }

    /// The number under which a server takes parts, or took them until it was gone.
    pub fn replica(&self, id: &str) -> Option<ReplicaId> {
        self.latest.get(id).map(|c| c.entry.replica)
    }

    /// Whether any list has named it.
    pub fn knows(&self, id: &str) -> bool {
        self.latest.contains_key(id) || self.suspended.contains(id)
    }

    /// What is to be told on, of changes that the other sources bring.
    pub fn apply_changes(&mut self, changes: Vec<NodeChange>) -> Vec<NodeChange> {
        changes.into_iter().map(|change| self.apply_change(change)).collect()
    }

    fn apply_change(&mut self, change: NodeChange) -> NodeChange {
        if change.entry.state == ReplicaState::Removed {
            // Guards memory over a long run: the oldest name goes first, as far as names tell.
            if self.removed.len() >= MAX_REMOVED_NODES
                && let Some(old) = self.removed.pop_first()
            {
                self.latest.remove(&old);
            }
            self.removed.insert(change.id.clone());
        } else {
            self.removed.remove(&change.id);
        }
        let shown = self.overridden(change.clone());
        // One that moved is gone under its old number after it was named under its new one.
        let stale = change.entry.state == ReplicaState::Removed
            && self.latest.get(&change.id).is_some_and(|c| c.entry.replica != change.entry.replica);
        if !stale {
            self.latest.insert(change.id.clone(), change);
        }
        shown
    }

    fn overridden(&self, mut change: NodeChange) -> NodeChange {
        if change.entry.state == ReplicaState::Active && self.suspended.contains(&change.id) {
            change.entry.state = ReplicaState::Draining;
        }
        change
    }

    /// Takes a server out. Again makes no difference. Tells what is to be told on.
    pub fn suspend(&mut self, id: &str, ever_listed: bool) -> Result<Option<NodeChange>, UnknownNode> {
        if !ever_listed && !self.knows(id) {
            return Err(UnknownNode);
        }
        let new = self.suspended.insert(id.to_owned());
        Ok(self.latest.get(id).filter(|_| new).map(|c| self.overridden(c.clone())))
    }

    /// Puts a server back, however often it was taken out. Tells what is to be told on.
    pub fn restore(&mut self, id: &str, ever_listed: bool) -> Result<Option<NodeChange>, UnknownNode> {
        if !ever_listed && !self.knows(id) {
            return Err(UnknownNode);
        }
        let was = self.suspended.remove(id);
        Ok(self.latest.get(id).filter(|_| was).cloned())
    }
}
