//! Hints of other brokers about nodes, received by gossip. They only restrict the use of a node: compared
//! with the own list, a hint can mark a node as draining or its process start as later, but can't add a node.
//!
//! A node that another broker knows to be terminating is reported as draining until this broker's own list is
//! at least as new (by process start, then by list version) or the node has restarted. A process start that
//! another broker reports is used if it is later than the local one.

use super::NodeChange;
use crate::api::{Nanos, ReplicaState};
use crate::replication::ProcessStart;
use crate::replication::derived_state::NodeHints;
use std::collections::BTreeMap;

/// What this broker's own sources report about a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalReport {
    /// The node's process start in the own list, unix ns; 0 means long ago.
    pub started: Nanos,
    /// Version of the own list.
    pub version: u64,
}

/// Maximum number of nodes with stored hints: ids are never reused, so hints about nodes that are gone would
/// otherwise accumulate.
const MAX_HINTED_NODES: usize = 16_384;

/// A node as this broker's own sources last reported it.
#[derive(Clone, Debug)]
struct LocalNode {
    change: NodeChange,
    report: LocalReport,
}

/// The hints of other brokers, and the nodes that they are applied to.
#[derive(Debug, Default)]
pub struct PeerHints {
    hints: BTreeMap<String, NodeHints>,
    /// The nodes in the own list.
    local: BTreeMap<String, LocalNode>,
}

impl PeerHints {
    /// Whether a peer knows of a drain that the own list does not have yet.
    fn is_drained(hints: &NodeHints, local: LocalReport) -> bool {
        let is_newer = |drain: &ProcessStart| {
            let newer = (drain.started, drain.list_version) > (local.started, local.version);
            // A process that started after the drain is a new one, to which the drain does not apply.
            newer && drain.started >= hints.started
        };
        hints.drain.as_ref().is_some_and(is_newer)
    }

    fn with_hints(&self, change: &NodeChange, local: LocalReport) -> NodeChange {
        let mut change = change.clone();
        if let Some(hints) = self.hints.get(&change.id)
            && change.entry.state != ReplicaState::Removed
        {
            if change.entry.state == ReplicaState::Active && PeerHints::is_drained(hints, local) {
                change.entry.state = ReplicaState::Draining;
            }
            if hints.started > local.started {
                change.entry.started = change.entry.started.max(Some(hints.started));
            }
        }
        change
    }

    fn current(&self, id: &str) -> Option<NodeChange> {
        self.local.get(id).map(|node| self.with_hints(&node.change, node.report))
    }

    /// Applies the hints to changes from the own sources; `local_report` returns what these sources report
    /// about a node.
    pub fn apply_changes(
        &mut self,
        changes: Vec<NodeChange>,
        local_report: impl Fn(&str) -> LocalReport,
    ) -> Vec<NodeChange> {
        changes
            .into_iter()
            .map(|change| {
                let report = local_report(&change.id);
                let hinted = self.with_hints(&change, report);
                self.store_local(change, report);
                hinted
            })
            .collect()
    }

    fn store_local(&mut self, change: NodeChange, report: LocalReport) {
        if change.entry.state != ReplicaState::Removed {
            self.local.insert(change.id.clone(), LocalNode { change, report });
            return;
        }
        // For a node that moved, the removal of its old replica number follows the addition of the new one.
        let stored = self.local.get(&change.id);
        let moved = stored.is_some_and(|node| node.change.entry.replica != change.entry.replica);
        if !moved {
            self.local.remove(&change.id);
        }
    }

    /// Stores a peer's hints. Returns the resulting change, if the node is in the own list and its entry
    /// differs.
    pub fn on_hint(&mut self, id: &str, hints: NodeHints) -> Option<NodeChange> {
        let before = self.current(id);
        self.hints.insert(id.to_owned(), hints);
        if self.hints.len() > MAX_HINTED_NODES {
            // Of the nodes that are not in the own list, the one with the earliest start is removed.
            let unlisted = self.hints.iter().filter(|(id, _)| !self.local.contains_key(*id));
            let earliest = unlisted.min_by_key(|(_, hints)| hints.started).map(|(id, _)| id.clone());
            earliest.and_then(|id| self.hints.remove(&id));
        }
        self.current(id).filter(|change| before.as_ref() != Some(change))
    }

    /// Reapplies the hints when the version of the own list has changed. With `version_reset`, discovery's
    /// versions were reset, and the drains that peers reported before are dropped. Returns the resulting
    /// changes.
    pub fn on_list_change(
        &mut self,
        version_reset: bool,
        local_report: impl Fn(&str) -> LocalReport,
    ) -> Vec<NodeChange> {
        let mut changes = Vec::new();
        let is_listed = |id: &&String| self.local.contains_key(*id);
        let ids: Vec<String> = self.hints.keys().filter(is_listed).cloned().collect();
        for id in ids {
            let Some(node) = self.local.get(&id).cloned() else { continue };
            let before = self.with_hints(&node.change, node.report);
            let report = local_report(&id);
            if version_reset && let Some(hinted) = self.hints.get_mut(&id) {
                hinted.drain = None;
            }
            let after = self.with_hints(&node.change, report);
            self.local.insert(id, LocalNode { report, ..node });
            if after != before {
                changes.push(after);
            }
        }
        if version_reset {
            self.hints.values_mut().for_each(|hints| hints.drain = None);
        }
        changes
    }

    /// Number of nodes with stored hints.
    #[must_use]
    pub fn hinted_count(&self) -> usize {
        self.hints.len()
    }

    /// Number of nodes that are draining because of a peer's hint.
    #[must_use]
    pub fn drained_count(&self) -> usize {
        let is_drained = |(id, node): &(&String, &LocalNode)| {
            self.hints.get(*id).is_some_and(|hints| PeerHints::is_drained(hints, node.report))
        };
        self.local.iter().filter(is_drained).count()
    }
}
