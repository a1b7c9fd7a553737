//! Merges the reports of all sources: snapshots, the configured list, the operator's file and discovery.

use super::Registry;
use super::placement::{Placement, ReadyPlacements};
use crate::api::Nanos;
use crate::membership::endpoint_list::EndpointList;
use crate::membership::merged_view::{Report, VersionedRecord};
use crate::membership::snapshot::Snapshot;
use crate::membership::{NodeRecord, NodeState, SourcePriority, SourceVersion};
use std::net::SocketAddr;

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Maximum number of endpoints of one list that are logged individually.
const MAX_LOGGED_ENDPOINTS: usize = 8;

impl Registry {
    /// Restores all generations of the stored snapshot. Must be called before any other source is merged.
    pub fn restore(&mut self, generations: &[Snapshot], now: Nanos) {
        for snapshot in generations {
            snapshot.merge_into(&mut self.view);
            let last = snapshot.last_version();
            if last >= (self.directory.epoch, self.directory.version) {
                (self.directory.epoch, self.directory.version) = last;
                self.directory.change_rate = snapshot.rate;
            }
            let confirmed = snapshot.last_confirmed.map(|at| self.clamp_stored_time(at, now));
            self.directory.confirm(confirmed);
        }
        for node in generations.iter().flat_map(|snapshot| &snapshot.nodes) {
            self.start_stamps.record_stored(&node.record.id, node.record.started);
            if let Some(at) = node.confirmed.map(|at| self.clamp_stored_time(at, now)) {
                self.confirm_node(&node.record.id, at);
            }
        }
        self.reconcile_all(now);
        if !generations.is_empty() {
            let confirmed = self.directory.last_confirmed;
            let age_s = confirmed.map_or(0, |at| now.saturating_sub(at)) / 1_000_000_000;
            let trust = confirmed.map_or(0.0, |at| self.trust(Some(at), now));
            let trust = format!("{trust:.2}");
            tracing::info!(nodes = self.nodes.len(), age_s, %trust, "membership snapshot was restored");
        }
    }

    /// Returns a stored time. One in the future shows that a clock was wrong, and is replaced by the default
    /// age before `now`.
    pub(super) fn clamp_stored_time(&self, at: Nanos, now: Nanos) -> Nanos {
        if at <= now { at } else { now.saturating_sub(self.settings.default_list_age) }
    }

    pub(super) fn confirm_node(&mut self, id: &str, at: Nanos) {
        let Some(view) = self.view.view(id).filter(|view| view.state != NodeState::Gone) else { return };
        let Some(addr) = view.versioned.record.addr else { return };
        let node = self.nodes.track(id, addr);
        node.confirmed = node.confirmed.max(Some(at));
    }

    /// Merges the list in the configuration, which has discovery's format and is treated as a list that
    /// discovery sent earlier.
    pub fn add_configured(&mut self, list: &EndpointList, now: Nanos) {
        // After a reset of discovery's versions this list may be older. Epoch 0 keeps it from undoing later
        // records.
        let source_version =
            SourceVersion { priority: SourcePriority::Directory, epoch: 0, version: list.version };
        let stated = list.as_of_ms.map(|ms| self.clamp_stored_time(ms.saturating_mul(1_000_000), now));
        let as_of = stated.unwrap_or_else(|| now.saturating_sub(self.settings.default_list_age));
        if self.directory.epoch == 0 && list.version >= self.directory.version {
            self.directory.version = list.version;
            if list.full {
                self.directory.confirm(Some(as_of));
            }
        }
        for server in &list.servers {
            self.start_stamps.record_stored(&server.id, server.started());
        }
        self.merge_list(source_version, list, false, now);
        self.reconcile_all(now);
    }

    /// Replaces the nodes of the operator's file.
    pub fn set_operator_nodes(&mut self, nodes: Vec<NodeRecord>, now: Nanos) {
        self.operator_version += 1;
        let source_version =
            SourceVersion { priority: SourcePriority::Operator, epoch: 0, version: self.operator_version };
        let ids: Vec<String> = nodes.iter().map(|node| node.id.clone()).collect();
        self.view
            .apply_report(Report { source_version, full: true, after_reset: false, received: now }, nodes);
        for id in ids {
            self.confirm_node(&id, now);
        }
        self.reconcile_all(now);
    }

    /// Merges an update from discovery. `first`: it is the first update of a new watch, which contains either
    /// all changes since the requested version or the full list. Returns whether it was accepted: an update
    /// older than the current version is ignored, unless it shows that discovery's versions were reset.
    pub fn on_discovery_update(&mut self, list: &EndpointList, first: bool, now: Nanos) -> bool {
        self.unreported_update = true;
        self.discovery_answered = true;
        self.dirty = true;
        let version_reset = list.version < self.directory.version;
        if version_reset && !(first && list.full) {
            tracing::warn!(
                version = list.version,
                current_version = self.directory.version,
                "discovery update is older than the endpoint list and was ignored"
            );
            self.reconcile_all(now);
            return false;
        }
        if version_reset {
            // After a restart, discovery sends a full list older than its previous ones; so does an instance
            // that lags behind.
            self.begin_epoch(list.version);
        }
        let has_all = list.full || version_reset;
        let named: Option<Vec<&str>> =
            (!has_all).then(|| list.servers.iter().map(|server| server.id.as_str()).collect());
        let before = self.ready_placements(named.as_deref());
        self.merge_discovery_update(list, first, version_reset, &before, now);
        // If all nodes are confirmed, only the named ones can have changed.
        match named {
            Some(named) if self.all_confirmed && self.reconcile_named(&named, now) => self.dirty = false,
            _ => self.reconcile_all(now),
        }
        true
    }

    /// Merges the first update of a watch that requested all changes since version 0, after a reset of
    /// discovery's versions. Nodes that it does not name stay unchanged.
    pub fn on_changes_after_reset(&mut self, list: &EndpointList, now: Nanos) {
        self.unreported_update = true;
        self.discovery_answered = true;
        self.begin_epoch(list.version);
        let before = self.ready_placements(None);
        self.merge_discovery_update(list, false, true, &before, now);
        self.reconcile_all(now);
    }

    fn begin_epoch(&mut self, version: u64) {
        tracing::warn!(version, previous_version = self.directory.version, "discovery versions were reset");
        self.record_omitted_as_gone();
        self.directory.epoch += 1;
    }

    /// Records the nodes of the directory that its latest full list omits as gone. The older list that replaces
    /// it may name them, and must not return them to service: as with drains, only a later process start or a
    /// later change does.
    fn record_omitted_as_gone(&mut self) {
        let Some((version, received)) = self.view.full_list(SourcePriority::Directory) else { return };
        let is_omitted = |id: &&str| {
            self.view.view(id).is_some_and(|view| {
                view.state == NodeState::Gone
                    && view.versioned.record.state == NodeState::Ready
                    && view.versioned.source_version.priority == SourcePriority::Directory
            })
        };
        let omitted: Vec<String> = self.view.ids().filter(is_omitted).map(str::to_owned).collect();
        for id in omitted {
            let Some(view) = self.view.view(&id) else { continue };
            let record = NodeRecord { state: NodeState::Gone, ..view.versioned.record.clone() };
            self.view.insert_record(VersionedRecord {
                record,
                source_version: version,
                received,
                after_reset: false,
            });
        }
    }

    fn merge_discovery_update(
        &mut self,
        list: &EndpointList,
        first: bool,
        version_reset: bool,
        before: &ReadyPlacements,
        now: Nanos,
    ) {
        let mut stamps = self.start_stamps.begin_discovery_list();
        for server in list.servers.iter().filter(|server| server.state == NodeState::Ready) {
            stamps.record(&server.id, server.started(), now);
        }
        self.directory.version = list.version;
        self.merge_list(self.directory.source_version(), list, version_reset, now);
        let confirms_all = list.full || first;
        if confirms_all {
            self.directory.last_confirmed = Some(now);
        }
        self.observe_changes(before, now);
        for server in &list.servers {
            self.confirm_node(&server.id, now);
        }
        if confirms_all {
            // Discovery has confirmed all nodes and their starts, so no start has to be assumed.
            self.end_assumed_warm_ups();
        }
        self.directory.on_heartbeat(now);
        self.mark_directory_changed();
    }

    /// Records that there is something to store and to hand over.
    pub(super) fn mark_directory_changed(&mut self) {
        self.directory_revision += 1;
        self.snapshot_schedule.mark_unsaved();
    }

    fn merge_list(
        &mut self,
        source_version: SourceVersion,
        list: &EndpointList,
        after_reset: bool,
        now: Nanos,
    ) {
        let unusable = list
            .servers
            .iter()
            .filter(|server| server.state != NodeState::Gone && server.addr.parse::<SocketAddr>().is_err());
        for server in unusable.take(MAX_LOGGED_ENDPOINTS) {
            tracing::error!(node = %server.id, addr = ?server.addr, "endpoint has no usable address");
        }
        let report = Report { source_version, full: list.full, after_reset, received: now };
        self.view.apply_report(report, list.servers.iter().map(|server| server.record()));
        // Negative if a node's stamp is later than now, in which case one of the two clocks is wrong.
        let latest_start_ms = list.servers.iter().map(|server| server.started_ms).max().filter(|ms| *ms > 0);
        let latest_start_age_ms = latest_start_ms.map(|ms| (now / NANOS_PER_MILLI).wrapping_sub(ms) as i64);
        tracing::info!(
            version = list.version,
            endpoints = list.servers.len(),
            full = list.full,
            latest_start_age_ms,
            "endpoint list was merged"
        );
    }

    /// The placements of those named nodes that are ready, or of all ready nodes.
    fn ready_placements(&self, named: Option<&[&str]>) -> ReadyPlacements {
        let placement =
            |id: &str| self.ready_view(id).map(|view| (id.to_owned(), Placement::of(&view.versioned.record)));
        match named {
            Some(named) => ReadyPlacements {
                by_id: named.iter().copied().filter_map(placement).collect(),
                watched_nodes: self.nodes.len(),
            },
            None => {
                let by_id: std::collections::HashMap<String, Placement> =
                    self.view.ids().filter_map(placement).collect();
                ReadyPlacements { watched_nodes: by_id.len(), by_id }
            }
        }
    }

    /// Counts the nodes that changed since the previous update of the watch.
    fn observe_changes(&mut self, before: &ReadyPlacements, now: Nanos) {
        let Some(since) = self.directory.watched_since.replace(now) else { return };
        let is_unchanged = |id: &str, placement: &Placement| {
            self.ready_view(id)
                .is_some_and(|view| placement.is_unchanged_in(&Placement::of(&view.versioned.record)))
        };
        let changed = before.by_id.iter().filter(|(id, placement)| !is_unchanged(id, placement)).count();
        self.directory.change_rate.observe(
            before.watched_nodes,
            now.saturating_sub(since),
            changed,
            self.settings.mean_change_interval,
        );
    }

    /// Records that the watch is established and there are no changes: the list is current.
    pub fn on_heartbeat(&mut self, now: Nanos) {
        self.directory.on_heartbeat(now);
    }

    /// Records that the watch ended or could not be established.
    pub fn watch_lost(&mut self) {
        self.directory.watched_since = None;
    }
}
