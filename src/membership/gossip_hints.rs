//! What other brokers have heard of nodes from discovery: it makes this broker more careful, never bolder.
//!
//! A node that somebody has heard to drain is shown as draining until this broker's own list is as new, or the node has
//! started anew; a start that somebody has heard of counts where it is later than one's own. No node is named by it.

use super::NodeChange;
use crate::api::{Nanos, ReplicaState};
use crate::replication::ProcessStart;
use crate::replication::derived_state::NodeHints;
use std::collections::BTreeMap;

/// Where this broker's own word on a node comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHints {
    /// Its start as the own list has it, unix ns; 0: long ago.
    pub started: Nanos,
    /// The own list's version.
    pub version: u64,
}

/// Most nodes of which others' words are held: ids are always new, and what is gone must not add up.
const MAX_HINTED_NODES: usize = 16_384;

/// What others have heard, and what the own sources say.
#[derive(Debug, Default)]
pub struct PeerHints {
    hints: BTreeMap<String, NodeHints>,
    /// The last that the own sources told of each node that is listed.
    local: BTreeMap<String, (NodeChange, LocalHints)>,
}

impl PeerHints {
    /// The drain that others have heard of holds a node back.
    fn is_drained(heard: &NodeHints, own: LocalHints) -> bool {
        let drained = |d: &ProcessStart| {
            let later = d.started > own.started || (d.started == own.started && d.list_version > own.version);
            // One that started after it was told to drain is another process.
            later && d.started >= heard.started
        };
        heard.drain.as_ref().is_some_and(drained)
    }

    fn with_hints(&self, change: &NodeChange, own: LocalHints) -> NodeChange {
        let mut change = change.clone();
        if let Some(heard) = self.hints.get(&change.id)
            && change.entry.state != ReplicaState::Removed
        {
            if change.entry.state == ReplicaState::Active && PeerHints::is_drained(heard, own) {
                change.entry.state = ReplicaState::Draining;
            }
            if heard.started > own.started {
                change.entry.started = change.entry.started.max(Some(heard.started));
            }
        }
        change
    }

    /// What is to be told on, of changes that the own sources bring; `own` tells what these rest on.
    pub fn apply_changes(
        &mut self,
        changes: Vec<NodeChange>,
        own: impl Fn(&str) -> LocalHints,
    ) -> Vec<NodeChange> {
        changes
            .into_iter()
            .map(|change| {
                let of = own(&change.id);
                let shown = self.with_hints(&change, of);
                if change.entry.state == ReplicaState::Removed {
                    let moved = self
                        .local
                        .get(&change.id)
                        .is_some_and(|(c, _)| c.entry.replica != change.entry.replica);
                    // One that moved is gone under its old number after it was named under its new one.
                    if !moved {
                        self.local.remove(&change.id);
                    }
                } else {
                    self.local.insert(change.id.clone(), (change, of));
                }
                shown
            })
            .collect()
    }

    /// Others have heard this of a node. Tells what is to be told on, if this broker's own list names it.
    pub fn on_hint(&mut self, id: &str, heard: NodeHints) -> Option<NodeChange> {
        let before = self.local.get(id).map(|(c, own)| self.with_hints(c, *own));
        self.hints.insert(id.to_owned(), heard);
        if self.hints.len() > MAX_HINTED_NODES {
            // What no list of one's own names goes first, the earliest start of it.
            let unlisted = self.hints.iter().filter(|(id, _)| !self.local.contains_key(*id));
            let earliest = unlisted.min_by_key(|(_, h)| h.started).map(|(id, _)| id.clone());
            earliest.and_then(|id| self.hints.remove(&id));
        }
        let now = self.local.get(id).map(|(c, own)| self.with_hints(c, *own));
        now.filter(|change| before.as_ref() != Some(change))
    }

    /// The own list has another version, or discovery counts anew (`anew`: what others heard before says nothing any
    /// more). Tells what is to be told on.
    pub fn on_list_change(&mut self, anew: bool, own: impl Fn(&str) -> LocalHints) -> Vec<NodeChange> {
        let mut changes = Vec::new();
        let ids: Vec<String> = self.hints.keys().filter(|id| self.local.contains_key(*id)).cloned().collect();
        for id in ids {
            let Some((change, was)) = self.local.get(&id).cloned() else { continue };
            let (before, of) = (self.with_hints(&change, was), own(&id));
            if anew && let Some(h) = self.hints.get_mut(&id) {
                h.drain = None;
            }
            let now = self.with_hints(&change, of);
            self.local.insert(id, (change, of));
            if now != before {
                changes.push(now);
            }
        }
        if anew {
            self.hints.values_mut().for_each(|h| h.drain = None);
        }
        changes
    }

    /// Nodes of which others' words are held.
    pub fn hinted_count(&self) -> usize {
        self.hints.len()
    }

    /// Nodes that are held back.
    pub fn drained_count(&self) -> usize {
        let held = |(id, (_, own)): (&String, &(NodeChange, LocalHints))| {
            self.hints.get(id).is_some_and(|h| PeerHints::is_drained(h, *own))
        };
        self.local.iter().filter(|e| held(*e)).count()
    }
}
