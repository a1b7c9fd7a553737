//! Hints on drains and starts of nodes, received from other brokers and recorded for them.

use crate::membership::gossip_hints::{LocalReport, PeerHints};
use crate::membership::{DiscoveryState, NodeChange, NodeState, Registry};
use crate::replication::derived_state::NodeHints;
use crate::replication::{FactKey, ProcessStart};

/// Most pending hints for other brokers. Nodes of a longer list get a hint when they next change.
const MAX_PENDING_HINTS: usize = 32_768;

/// The version of an endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListVersion {
    /// Counts restarts of discovery.
    epoch: u32,
    version: u64,
}

/// Hints from other brokers, and pending hints for them.
#[derive(Default)]
pub(super) struct HintExchange {
    peer_hints: PeerHints,
    /// The version of this broker's list that was last processed.
    list_version: ListVersion,
    pending: Vec<(FactKey, ProcessStart)>,
}

impl HintExchange {
    /// Records hints for other brokers, and restricts the changes as the hints of other brokers require.
    pub(super) fn on_changes(&mut self, changes: Vec<NodeChange>, registry: &Registry) -> Vec<NodeChange> {
        for change in &changes {
            if self.pending.len() >= MAX_PENDING_HINTS {
                break;
            }
            self.record(&change.id, registry);
        }
        self.peer_hints.apply_changes(changes, |id| local_hints(registry, id))
    }

    fn record(&mut self, id: &str, registry: &Registry) {
        let Some(known) = registry.discovery_state(id) else { return };
        let DiscoveryState { state, started, version } = known;
        if state != NodeState::Ready {
            self.pending
                .push((FactKey::Drain(id.to_owned()), ProcessStart { started, list_version: version }));
        }
        if started > 0 {
            self.pending.push((FactKey::Start(id.to_owned()), ProcessStart { started, list_version: 0 }));
        }
    }

    /// The changes that follow from a newer list of this broker; none if the list was processed before.
    pub(super) fn on_list_version(&mut self, registry: &Registry) -> Vec<NodeChange> {
        let current = ListVersion { epoch: registry.epoch(), version: registry.version() };
        let previous = std::mem::replace(&mut self.list_version, current);
        if current == previous {
            return Vec::new();
        }
        let discovery_restarted = current.epoch != previous.epoch;
        self.peer_hints.on_list_change(discovery_restarted, |id| local_hints(registry, id))
    }

    /// The change that follows from a hint of other brokers, if any.
    pub(super) fn on_hint(&mut self, id: &str, hints: NodeHints) -> Option<NodeChange> {
        self.peer_hints.on_hint(id, hints)
    }

    /// Takes the hints for other brokers that were recorded since this was last called.
    pub(super) fn take_pending(&mut self) -> Vec<(FactKey, ProcessStart)> {
        std::mem::take(&mut self.pending)
    }
}

/// The state of a node in this broker's list.
fn local_hints(registry: &Registry, id: &str) -> LocalReport {
    let started = registry.discovery_state(id).map_or(0, |known| known.started);
    LocalReport { started, version: registry.version() }
}
