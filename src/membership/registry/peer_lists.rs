//! Merges the endpoint lists of other processes at this address, which form one broker with this one: what
//! discovery has reported to one of them binds all.

use super::Registry;
use crate::api::Nanos;
use crate::membership::NodeState;
use crate::membership::snapshot::Snapshot;

/// What the endpoint list of another process added to this one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerListNews {
    /// Nothing.
    Nothing,
    /// Records or a full list that this process did not have.
    Records,
    /// The same, and a reset of discovery's versions that this process has not seen. Its own list may name nodes
    /// that the other process has never been told of, so it must request the whole list.
    VersionsReset,
}

impl Registry {
    /// Merges the list of another process at this address that ran beside this one.
    ///
    /// The version from which this process requests changes stays as it is: whatever the other process has
    /// received, the reports on the own watch are merged.
    pub fn merge_peer_list(&mut self, list: &Snapshot, now: Nanos) -> PeerListNews {
        if !list.merge_live_into(&mut self.view, now) {
            return PeerListNews::Nothing;
        }
        let (epoch, version) = list.last_version();
        let versions_reset = epoch > self.directory.epoch;
        // Without this the next reports on the own watch would count as older than those of the other process.
        self.directory.epoch = self.directory.epoch.max(epoch);
        self.record_peer_stamps(list, now);
        self.record_peer_confirmations(list, now);
        self.mark_directory_changed();
        self.reconcile_all(now);
        tracing::info!(version, versions_reset, "endpoint list of another process was merged");
        if versions_reset { PeerListNews::VersionsReset } else { PeerListNews::Records }
    }

    /// Records the process starts of those records that determine the state of their nodes.
    fn record_peer_stamps(&mut self, list: &Snapshot, now: Nanos) {
        let mut stamps = self.start_stamps.begin_peer_list();
        for node in list.nodes.iter().filter(|node| node.record.state == NodeState::Ready) {
            let view = self.view.view(&node.record.id);
            if view.is_some_and(|view| view.versioned.record == node.record) {
                stamps.record(&node.record.id, node.record.started, now);
            }
        }
    }

    fn record_peer_confirmations(&mut self, list: &Snapshot, now: Nanos) {
        let confirmed = list.last_confirmed.map(|at| self.clamp_stored_time(at, now));
        self.directory.confirm(confirmed);
        for node in &list.nodes {
            if let Some(at) = node.confirmed.map(|at| self.clamp_stored_time(at, now)) {
                self.confirm_node(&node.record.id, at);
            }
        }
    }
}
