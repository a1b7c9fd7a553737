//! The registry: takes the reports of all sources and the outcomes of all attempts, and produces node changes
//! for the engine.
//!
//! - [`sources`] merges the reports of snapshots, configuration, operator and discovery, and [`peer_lists`]
//!   those of other processes at this address;
//! - [`attempts`] updates nodes by the outcomes of attempts;
//! - [`reconciliation`] compares the merged view with what was announced, and [`admission`] decides which of
//!   the ready nodes get work;
//! - [`node_table`] contains the tracked nodes and the changes to announce;
//! - [`directory_state`], [`latency_window`], [`placement`], [`snapshot_schedule`] and [`start_stamps`] each
//!   hold one piece of state.

mod admission;
mod attempts;
mod directory_state;
mod latency_window;
mod node_table;
mod peer_lists;
mod placement;
mod reconciliation;
mod settings;
mod snapshot_schedule;
mod snapshots;
mod sources;
mod start_stamps;
mod status;
mod tracked_node;

pub use node_table::NodeChange;
pub use peer_lists::PeerListNews;
pub use settings::RegistrySettings;
pub use status::{DiscoveryState, NodeStatus};

use super::merged_view::{MergedView, NodeView};
use super::{NodeState, SourcePriority, staleness};
use crate::api::{Nanos, ReplicaId};
use directory_state::DirectoryState;
use latency_window::LatencyWindow;
use node_table::NodeTable;
use snapshot_schedule::SnapshotSchedule;
use start_stamps::StartStamps;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use tracked_node::TrackedNode;

/// The merged view of all nodes, and the node entries that were announced to the engine.
#[derive(Debug)]
pub struct Registry {
    settings: RegistrySettings,
    view: MergedView,
    nodes: NodeTable,
    directory: DirectoryState,
    /// Number of reports of discovery's nodes that were merged, from whichever process.
    directory_revision: u64,
    start_stamps: StartStamps,
    /// Number of times that the operator's file was read.
    operator_version: u64,
    /// When the first unconfirmed node was seen.
    probation_start: Option<Nanos>,
    /// Nodes found to be warmed up, which [`Registry::take_warmed_up`] has not reported yet.
    warmed_up: Vec<ReplicaId>,
    /// Latencies of the last good answers of nodes with an assumed start.
    recent_latencies: LatencyWindow,
    /// An update from discovery was received that [`Registry::take_changes`] has not reported yet.
    unreported_update: bool,
    /// An update from discovery was received that [`Registry::take_discovery_answered`] has not reported yet.
    discovery_answered: bool,
    /// Something changed since the last reconciliation.
    dirty: bool,
    /// All nodes are confirmed and no two claim the same address, so each node can be reconciled on its own.
    all_confirmed: bool,
    /// Ids of the ready nodes by address.
    ready_by_addr: HashMap<SocketAddr, String>,
    /// Nodes of kinds that can't be called; each is logged only once.
    uncallable: BTreeSet<String>,
    next_deadline: Option<Nanos>,
    snapshot_schedule: SnapshotSchedule,
}

impl Registry {
    /// A registry without nodes.
    #[must_use]
    pub fn new(settings: RegistrySettings) -> Registry {
        Registry {
            view: MergedView::new(settings.directory_scope),
            settings,
            nodes: NodeTable::default(),
            directory: DirectoryState::default(),
            directory_revision: 0,
            start_stamps: StartStamps::default(),
            operator_version: 0,
            probation_start: None,
            warmed_up: Vec::new(),
            recent_latencies: LatencyWindow::default(),
            unreported_update: false,
            discovery_answered: false,
            dirty: false,
            all_confirmed: false,
            ready_by_addr: HashMap::new(),
            uncallable: BTreeSet::new(),
            next_deadline: None,
            snapshot_schedule: SnapshotSchedule::default(),
        }
    }

    /// Handles deadlines up to `now`, and attempt outcomes since the last call.
    pub fn tick(&mut self, now: Nanos) {
        if self.next_deadline.is_some_and(|deadline| deadline <= now) || self.dirty {
            self.reconcile_all(now);
        }
    }

    /// When [`Registry::tick`] must be called next, if time alone changes anything.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.next_deadline
    }

    /// Takes the changes to announce to the engine. None if there is nothing to announce; an empty list if
    /// discovery sent an update that changed nothing.
    pub fn take_changes(&mut self) -> Option<Vec<NodeChange>> {
        let updated = std::mem::take(&mut self.unreported_update);
        (updated || self.nodes.has_changes()).then(|| self.nodes.take_changes())
    }

    /// Takes the nodes that were found to be warmed up since the last call, regardless of the start that was
    /// announced for them.
    pub fn take_warmed_up(&mut self) -> Vec<ReplicaId> {
        std::mem::take(&mut self.warmed_up)
    }

    /// Whether discovery has sent an update since the last call. Admissions and failures also change the
    /// list, but do not show that discovery is available.
    pub fn take_discovery_answered(&mut self) -> bool {
        std::mem::take(&mut self.discovery_answered)
    }

    /// The merged state of a node that is ready.
    fn ready_view(&self, id: &str) -> Option<NodeView<'_>> {
        self.view.view(id).filter(|node| node.state == NodeState::Ready)
    }

    /// When a node was last confirmed: by its own answer, by a report of discovery about it, or by a
    /// confirmation of the list as a whole.
    fn last_confirmation(&self, node: &TrackedNode, id: &str) -> Option<Nanos> {
        let listed = self
            .view
            .view(id)
            .is_some_and(|view| view.versioned.source_version.priority == SourcePriority::Directory);
        node.confirmed.max(self.directory.last_confirmed.filter(|_| listed))
    }

    /// Probability that a record confirmed at this time still holds, from 0 to 1.
    fn trust(&self, confirmed: Option<Nanos>, now: Nanos) -> f64 {
        let age = confirmed.map_or(self.settings.default_list_age, |at| now.saturating_sub(at));
        let mean = self.directory.change_rate.mean_interval(self.settings.mean_change_interval);
        staleness::trust_at_age(age, mean)
    }
}
