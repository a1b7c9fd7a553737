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
const MOST_GONE: usize = 4096;

/// Who is out by hand, and what would hold otherwise.
#[derive(Debug, Default)]
pub struct ManualOverrides {
    out: BTreeSet<String>,
    /// The last that was told of each server.
    told: BTreeMap<String, NodeChange>,
    gone: BTreeSet<String>,
}

impl ManualOverrides {
    /// Nobody is out but these: what an earlier process handed over.
    pub fn with_suspended(out: impl IntoIterator<Item = String>) -> ManualOverrides {
        ManualOverrides { out: out.into_iter().collect(), ..ManualOverrides::default() }
    }

    /// Servers of the list that are out.
    pub fn listed_suspended(&self) -> usize {
        let there = |id: &&String| self.told.get(*id).is_some_and(|c| c.entry.state != ReplicaState::Removed);
        self.out.iter().filter(there).count()
    }

    /// The number under which a server takes parts, or took them until it was gone.
    pub fn replica(&self, id: &str) -> Option<ReplicaId> {
        self.told.get(id).map(|c| c.entry.replica)
    }

    /// Whether any list has named it.
    pub fn knows(&self, id: &str) -> bool {
        self.told.contains_key(id) || self.out.contains(id)
    }

    /// What is to be told on, of changes that the other sources bring.
    pub fn apply_changes(&mut self, changes: Vec<NodeChange>) -> Vec<NodeChange> {
        changes.into_iter().map(|change| self.one(change)).collect()
    }

    fn one(&mut self, change: NodeChange) -> NodeChange {
        if change.entry.state == ReplicaState::Removed {
            // Guards memory over a long run: the oldest name goes first, as far as names tell.
            if self.gone.len() >= MOST_GONE
                && let Some(old) = self.gone.pop_first()
            {
                self.told.remove(&old);
            }
            self.gone.insert(change.id.clone());
        } else {
            self.gone.remove(&change.id);
        }
        let shown = self.shown(change.clone());
        // One that moved is gone under its old number after it was named under its new one.
        let stale = change.entry.state == ReplicaState::Removed
            && self.told.get(&change.id).is_some_and(|c| c.entry.replica != change.entry.replica);
        if !stale {
            self.told.insert(change.id.clone(), change);
        }
        shown
    }

    fn shown(&self, mut change: NodeChange) -> NodeChange {
        if change.entry.state == ReplicaState::Active && self.out.contains(&change.id) {
            change.entry.state = ReplicaState::Draining;
        }
        change
    }

    /// Takes a server out. Again makes no difference. Tells what is to be told on.
    pub fn suspend(&mut self, id: &str, ever_listed: bool) -> Result<Option<NodeChange>, UnknownNode> {
        if !ever_listed && !self.knows(id) {
            return Err(UnknownNode);
        }
        let new = self.out.insert(id.to_owned());
        Ok(self.told.get(id).filter(|_| new).map(|c| self.shown(c.clone())))
    }

    /// Puts a server back, however often it was taken out. Tells what is to be told on.
    pub fn restore(&mut self, id: &str, ever_listed: bool) -> Result<Option<NodeChange>, UnknownNode> {
        if !ever_listed && !self.knows(id) {
            return Err(UnknownNode);
        }
        let was = self.out.remove(id);
        Ok(self.told.get(id).filter(|_| was).cloned())
    }
}
