//! Compares the merged view with what was announced, and announces the differences.

use super::Registry;
use super::admission::ReadyNode;
use super::tracked_node::AdmissionState;
use crate::api::{Nanos, ReplicaState};
use crate::membership::{NodeRecord, NodeState, SourceVersion};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A ready node's claim to its address. Of several nodes at one address, the one with the highest version,
/// then the one with the latest start, takes precedence.
struct AddrClaim<'a> {
    source_version: SourceVersion,
    started: Nanos,
    id: &'a str,
}

impl AddrClaim<'_> {
    fn precedence(&self) -> (SourceVersion, Nanos) {
        (self.source_version, self.started)
    }
}

impl Registry {
    /// Ids of ready nodes whose address is claimed by another node with higher precedence.
    fn displaced_nodes(&self) -> HashSet<String> {
        let mut claims_by_addr: HashMap<SocketAddr, Vec<AddrClaim<'_>>> = HashMap::new();
        for id in self.view.ids() {
            let Some(view) = self.ready_view(id) else { continue };
            let record = &view.versioned.record;
            if let Some(addr) = record.addr {
                let source_version = view.versioned.source_version;
                let claim = AddrClaim { source_version, started: record.started, id };
                claims_by_addr.entry(addr).or_default().push(claim);
            }
        }
        let mut displaced = HashSet::new();
        for claims in claims_by_addr.values().filter(|claims| claims.len() > 1) {
            let best = claims.iter().map(AddrClaim::precedence).max();
            let lower = claims.iter().filter(|claim| Some(claim.precedence()) < best);
            displaced.extend(lower.map(|claim| claim.id.to_owned()));
        }
        displaced
    }

    /// Reconciles only the named nodes, which is sufficient while all nodes are confirmed. Returns false if
    /// all nodes must be reconciled.
    pub(super) fn reconcile_named(&mut self, ids: &[&str], now: Nanos) -> bool {
        ids.iter().all(|id| self.reconcile_one(id, now))
    }

    fn reconcile_one(&mut self, id: &str, now: Nanos) -> bool {
        let Some(view) = self.view.view(id) else { return false };
        let state = view.state;
        let record = view.versioned.record.clone();
        let known_addr = self.nodes.get(id).map(|node| node.addr);
        match (state, record.addr) {
            (NodeState::Ready, Some(addr)) if self.settings.is_callable(&record.kind) => {
                let moved = known_addr.is_some_and(|known| known != addr);
                if moved || self.ready_by_addr.get(&addr).is_some_and(|other| other != id) {
                    return false;
                }
                self.ready_by_addr.insert(addr, id.to_owned());
                self.nodes.track(id, addr).admission = AdmissionState::Admitted;
                self.announce(id, &record, ReplicaState::Active, now);
            }
            (NodeState::Gone, _) => {
                if let Some(addr) = known_addr {
                    self.ready_by_addr.remove(&addr);
                }
                self.nodes.remove(id);
            }
            (NodeState::Terminating, Some(addr)) if known_addr == Some(addr) => {
                self.ready_by_addr.remove(&addr);
                self.announce(id, &record, ReplicaState::Draining, now);
            }
            _ => return false,
        }
        true
    }

    /// Reconciles all nodes.
    pub(super) fn reconcile_all(&mut self, now: Nanos) {
        self.dirty = false;
        let displaced = self.displaced_nodes();
        self.remove_unknown_nodes();
        let mut ready: Vec<ReadyNode> = Vec::new();
        for (record, state) in self.merged_nodes() {
            let id = record.id.clone();
            match (state, record.addr) {
                (NodeState::Gone, _) | (_, None) => self.nodes.remove(&id),
                (NodeState::Terminating, Some(_)) => {
                    if self.nodes.get(&id).is_some() {
                        self.announce(&id, &record, ReplicaState::Draining, now);
                    }
                }
                (NodeState::Ready, Some(_)) if !self.settings.is_callable(&record.kind) => {
                    self.remove_uncallable(&id, &record.kind);
                }
                (NodeState::Ready, Some(addr)) => {
                    self.track_at(&id, addr);
                    if displaced.contains(&id) {
                        self.announce(&id, &record, ReplicaState::Draining, now);
                    } else {
                        ready.push(ReadyNode::new(record, self.settings.seed));
                    }
                }
            }
        }
        let addrs =
            ready.iter().filter_map(|node| node.record.addr.map(|addr| (addr, node.record.id.clone())));
        self.ready_by_addr = addrs.collect();
        self.all_confirmed = displaced.is_empty();
        self.admit_ready(ready, now);
    }

    fn merged_nodes(&self) -> Vec<(NodeRecord, NodeState)> {
        let views = self.view.ids().filter_map(|id| self.view.view(id));
        views.map(|view| (view.versioned.record.clone(), view.state)).collect()
    }

    /// Removes nodes that were pruned from the view.
    fn remove_unknown_nodes(&mut self) {
        let view = &self.view;
        let unknown: Vec<String> = self.nodes.ids().filter(|id| view.view(id).is_none()).cloned().collect();
        unknown.iter().for_each(|id| self.nodes.remove(id));
        self.uncallable.retain(|id| view.view(id).is_some());
        self.start_stamps.retain(|id| view.view(id).is_some());
    }

    fn remove_uncallable(&mut self, id: &str, kind: &str) {
        if self.uncallable.insert(id.to_owned()) {
            tracing::error!(node = %id, kind = ?kind, "node has a kind that can't be called");
        }
        self.nodes.remove(id);
    }

    /// Tracks a node at this address. A node at a new address is a new process, so the state tracked for the
    /// previous address is dropped.
    fn track_at(&mut self, id: &str, addr: SocketAddr) {
        if self.nodes.get(id).is_some_and(|node| node.addr != addr) {
            tracing::info!(node = %id, addr = %addr, "node has moved to another address");
            self.nodes.remove(id);
        }
        self.nodes.track(id, addr);
    }

    /// Announces a tracked node with this state, if its entry differs from the one announced last.
    pub(super) fn announce(&mut self, id: &str, record: &NodeRecord, state: ReplicaState, now: Nanos) {
        let zone = self.settings.zones.get(&record.zone).copied().unwrap_or(u32::MAX);
        if let Some(node) = self.nodes.get(id) {
            let learned_start = self.start_stamps.learned_start(id, record.started);
            let entry = node.replica_entry(record, zone, state, learned_start, now);
            self.nodes.announce(id, &record.kind, entry);
        }
    }
}
