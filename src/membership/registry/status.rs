//! Queries of the registry's state.

use super::Registry;
use crate::api::Nanos;
use crate::membership::{NodeRecord, NodeState, SourcePriority, staleness};

/// The status of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// The record that determines its state.
    pub record: NodeRecord,
    /// Its state; gone if a full list omitted it.
    pub state: NodeState,
    /// When the state was learned, unix ns.
    pub learned: Nanos,
    /// When it was last confirmed, unix ns; none: never.
    pub confirmed: Option<Nanos>,
    /// Probability that its record still holds, from 0 to 1; 0 for nodes that are not ready.
    pub trust: f64,
}

/// What discovery last reported about a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryState {
    /// State of the process.
    pub state: NodeState,
    /// Unix time of the process start, ns; 0 means long ago.
    pub started: Nanos,
    /// Version of the list that reported the state.
    pub version: u64,
}

impl Registry {
    /// Whether any source has listed this node and it has not been pruned since.
    #[must_use]
    pub fn knows(&self, id: &str) -> bool {
        self.view.view(id).is_some()
    }

    /// What discovery last reported about a node's process; none if another source determines the node's
    /// state.
    #[must_use]
    pub fn discovery_state(&self, id: &str) -> Option<DiscoveryState> {
        let view = self.view.view(id)?;
        let source_version = view.versioned.source_version;
        if source_version.priority != SourcePriority::Directory {
            return None;
        }
        let is_reported = view.state == view.versioned.record.state;
        let version = if is_reported { source_version.version } else { self.directory.version };
        Some(DiscoveryState { state: view.state, started: view.versioned.record.started, version })
    }

    /// Number of listed nodes, including those that are terminating.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        let is_listed = |id: &&str| self.view.view(id).is_some_and(|view| view.state != NodeState::Gone);
        self.view.ids().filter(is_listed).count()
    }

    /// Version of discovery's list, from which changes are requested.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.directory.version
    }

    /// Increases with every report of discovery that is merged, so that a change of it shows that
    /// [`Registry::snapshot`] may have changed.
    #[must_use]
    pub fn directory_revision(&self) -> u64 {
        self.directory_revision
    }

    /// Number of times that discovery's versions were reset.
    #[must_use]
    pub fn epoch(&self) -> u32 {
        self.directory.epoch
    }

    /// Whether more nodes may be admitted soon, because the list as a whole was not confirmed recently.
    #[must_use]
    pub fn may_gain_nodes(&self, now: Nanos) -> bool {
        let confirmed = self.directory.last_confirmed;
        confirmed.is_none_or(|at| self.trust(Some(at), now) < staleness::CONFIRMED_TRUST)
    }

    /// The status of each node.
    #[must_use]
    pub fn statuses(&self, now: Nanos) -> Vec<NodeStatus> {
        self.view.ids().filter_map(|id| self.status(id, now)).collect()
    }

    fn status(&self, id: &str, now: Nanos) -> Option<NodeStatus> {
        let view = self.view.view(id)?;
        let confirmed = match self.nodes.get(id) {
            Some(node) => self.last_confirmation(node, id),
            None => self.directory.last_confirmed,
        };
        let trust = if view.state == NodeState::Ready { self.trust(confirmed, now) } else { 0.0 };
        let record = view.versioned.record.clone();
        Some(NodeStatus { record, state: view.state, learned: view.learned, confirmed, trust })
    }
}
