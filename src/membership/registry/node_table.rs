//! The tracked nodes by id and by replica number, and the changes to announce.

use super::tracked_node::TrackedNode;
use crate::api::{ReplicaEntry, ReplicaId, ReplicaState};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A change of one node: the engine's entry, and the data needed to connect to the node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeChange {
    /// The entry for the engine.
    pub entry: ReplicaEntry,
    /// Id of the node.
    pub id: String,
    /// Its address; none once it is removed.
    pub addr: Option<SocketAddr>,
    /// Its kind: the protocol it speaks.
    pub kind: String,
}

/// The tracked nodes.
#[derive(Debug, Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<String, TrackedNode>,
    ids: HashMap<ReplicaId, String>,
    next_replica: u32,
    changes: Vec<NodeChange>,
}

impl NodeTable {
    pub(super) fn len(&self) -> usize {
        self.nodes.len()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = &String> {
        self.nodes.keys()
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut TrackedNode> {
        self.nodes.values_mut()
    }

    pub(super) fn get(&self, id: &str) -> Option<&TrackedNode> {
        self.nodes.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut TrackedNode> {
        self.nodes.get_mut(id)
    }

    pub(super) fn by_replica(&self, replica: ReplicaId) -> Option<(&str, &TrackedNode)> {
        let id = self.ids.get(&replica)?;
        self.nodes.get(id).map(|node| (id.as_str(), node))
    }

    pub(super) fn by_replica_mut(&mut self, replica: ReplicaId) -> Option<(&str, &mut TrackedNode)> {
        let id = self.ids.get(&replica)?;
        self.nodes.get_mut(id).map(|node| (id.as_str(), node))
    }

    /// The node with this id; if it is not tracked yet, starts to track it under a new replica number.
    pub(super) fn track(&mut self, id: &str, addr: SocketAddr) -> &mut TrackedNode {
        self.nodes.entry(id.to_owned()).or_insert_with(|| {
            let replica = ReplicaId(self.next_replica);
            self.next_replica += 1;
            self.ids.insert(replica, id.to_owned());
            TrackedNode::new(replica, addr)
        })
    }

    /// Stops tracking a node, and announces its removal if the node was announced.
    pub(super) fn remove(&mut self, id: &str) {
        let Some(node) = self.nodes.remove(id) else { return };
        self.ids.remove(&node.replica);
        if let Some(announced) = node.announced {
            tracing::info!(
                replica = announced.replica.0,
                node = %id,
                state = "Removed",
                "node gets no new attempts"
            );
            let entry = ReplicaEntry { state: ReplicaState::Removed, ..announced };
            self.changes.push(NodeChange { entry, id: id.to_owned(), addr: None, kind: String::new() });
        }
    }

    /// Announces an entry, unless it is the one announced last.
    pub(super) fn announce(&mut self, id: &str, kind: &str, entry: ReplicaEntry) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        if node.announced.as_ref() == Some(&entry) {
            return;
        }
        tracing::debug!(
            replica = entry.replica.0,
            node = %id,
            cell = entry.cell,
            zone = entry.zone,
            state = ?entry.state,
            started_ns = ?entry.started,
            "replica entry was announced"
        );
        if entry.state == ReplicaState::Draining {
            tracing::info!(
                replica = entry.replica.0,
                node = %id,
                state = "Draining",
                "node gets no new attempts"
            );
        }
        if node.announced.as_ref().is_some_and(|last| last.state == ReplicaState::Draining)
            && entry.state == ReplicaState::Active
        {
            tracing::info!(
                replica = entry.replica.0,
                node = %id,
                started_ns = ?entry.started,
                "node gets attempts again"
            );
        }
        node.announced = Some(entry.clone());
        let addr = Some(node.addr);
        self.changes.push(NodeChange { entry, id: id.to_owned(), addr, kind: kind.to_owned() });
    }

    pub(super) fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    pub(super) fn take_changes(&mut self) -> Vec<NodeChange> {
        std::mem::take(&mut self.changes)
    }
}
