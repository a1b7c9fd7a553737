//! Hot restart: the processes at one address, an old one and the new one that replaces it, act as one broker.
//!
//! - [`state`] defines what a process publishes to the others, and merges operators' overrides;
//! - [`coordination`] decides how the processes share the limits, and which of them drains;
//! - [`state_directory`] is the directory through which processes exchange their states.
//!
//! The alternatives that were considered are in `docs/hot-restart.md`.

#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

pub mod coordination;
pub mod state;
pub mod state_directory;

pub use coordination::ResourceUsage;

use crate::api::Nanos;
use crate::membership::snapshot::Snapshot;
use coordination::{Coordination, PeerProcess, QuotaShare, SharedLimits};
use state::{Overrides, ProcessStage, ProcessState};
use state_directory::{StateDirectory, StateUpdate, UpdateNumber};
use std::path::Path;

/// Time between two publications of the state, ns.
const PUBLISH_INTERVAL: Nanos = 100_000_000;

/// This process, and what it inherits from the processes before it.
#[derive(Debug)]
pub struct JoinedHotRestart {
    /// This process among those at its address.
    pub hot_restart: HotRestart,
    /// The operators' overrides that are still in effect.
    pub overrides: Overrides,
    /// Ids of the queries that are open at the other running processes.
    pub open_query_ids: Vec<String>,
    /// The endpoint lists of the earlier processes, the oldest process first.
    pub snapshots: Vec<Snapshot>,
}

/// What the broker supplies for a published state; stage and descriptor lease are added by [`HotRestart`].
#[derive(Debug)]
pub struct LocalState<'a> {
    /// Queries and parts in flight.
    pub in_flight: usize,
    /// Ids of the open queries; the other processes reject queries with these ids.
    pub open_query_ids: Vec<String>,
    /// The operators' overrides.
    pub overrides: &'a Overrides,
    /// Revision of the endpoint list in the membership: it is published when this has changed.
    pub snapshot_revision: u64,
    /// Whether a watch on discovery is established.
    pub watches_discovery: bool,
}

/// What was observed of another process.
#[derive(Clone, Debug)]
pub struct PeerReport {
    /// The operators' overrides that apply to this process.
    pub overrides: Overrides,
    /// Ids of the open queries of the other process.
    pub open_query_ids: Vec<String>,
}

/// What was observed of all other processes.
#[derive(Clone, Debug, Default)]
pub struct PeerReports {
    /// The report of each process.
    pub reports: Vec<PeerReport>,
    /// The endpoint lists that were published since the last observation, in the order in which they were read.
    pub snapshots: Vec<Snapshot>,
}

/// This process among those at its address.
#[derive(Debug)]
pub struct HotRestart {
    directory: StateDirectory,
    coordination: Coordination,
    stage: ProcessStage,
    /// Revision of the endpoint list that was last published.
    published_revision: Option<u64>,
    next_publish_at: Nanos,
}

impl HotRestart {
    /// Registers this process in the state directory and reads what the processes before it have published.
    /// Returns `None` if the directory can't be used; the process then starts as if it were the only one.
    pub fn open(dir: &Path, limits: SharedLimits, now: Nanos) -> Option<JoinedHotRestart> {
        let (found, directory) = match StateDirectory::open(dir) {
            Ok(opened) => opened,
            Err(error) => {
                tracing::error!(dir = %dir.display(), %error, "hot restart state directory is unusable");
                return None;
            }
        };
        if !found.errors.is_empty() {
            let errors: Vec<String> = found.errors.iter().map(ToString::to_string).collect();
            let errors = errors.join("; ");
            tracing::error!(%errors, "hot restart state of an earlier process is not used");
        }
        let mut overrides = Overrides::default();
        for peer in &found.peers {
            overrides.merge(&peer.effective_overrides());
        }
        tracing::info!(
            process = found.serial,
            running = found.peers.iter().filter(|p| p.alive).count(),
            suspended_servers = overrides.suspended_servers().count(),
            "registered with the other processes at this address"
        );
        let running_states = found.peers.iter().filter(|p| p.alive).filter_map(|p| p.state.as_ref());
        let open_query_ids = running_states.flat_map(|state| state.open_query_ids.iter().cloned()).collect();
        let hot_restart = HotRestart {
            directory,
            coordination: Coordination::new(found.serial, limits, found.peers, now),
            stage: ProcessStage::Starting,
            published_revision: None,
            next_publish_at: now,
        };
        Some(JoinedHotRestart { hot_restart, overrides, open_query_ids, snapshots: found.snapshots })
    }

    /// The share of the limits that this process has at `now`.
    #[must_use]
    pub fn quota_share(&self, now: Nanos) -> QuotaShare {
        self.coordination.quota_share(now)
    }

    /// Reports of all other processes; `None` if there is no new observation since the last call. `usage` is
    /// what this process currently uses.
    pub fn observe(&mut self, usage: ResourceUsage, now: Nanos) -> Option<PeerReports> {
        let observation = self.directory.latest_observation()?;
        self.coordination.on_peers_observed(observation.peers, usage, now);
        let report = |peer: &PeerProcess| PeerReport {
            overrides: self.coordination.effective_overrides(peer),
            open_query_ids: peer.state.as_ref().map(|state| state.open_query_ids.clone()).unwrap_or_default(),
        };
        let reports = self.coordination.peers().iter().map(report).collect();
        Some(PeerReports { reports, snapshots: observation.snapshots })
    }

    /// Whether a newer process runs and none of them has a watch on discovery yet.
    #[must_use]
    pub fn successor_lacks_watch(&self) -> bool {
        self.coordination.successor_lacks_watch()
    }

    /// Sets the stage of this process; a change is published at once.
    pub fn set_stage(&mut self, stage: ProcessStage) {
        if std::mem::replace(&mut self.stage, stage) != stage {
            self.publish_now();
        }
    }

    /// Makes the next publication due at once, for a change that must not be lost.
    pub fn publish_now(&mut self) {
        self.next_publish_at = 0;
    }

    /// Whether a publication is due.
    #[must_use]
    pub fn is_due(&self, now: Nanos) -> bool {
        self.next_publish_at <= now
    }

    /// Publishes the state, and the endpoint list if its revision has changed. Returns the number of the
    /// update, or `None` if earlier updates still wait for the disk and this one was dropped.
    pub fn publish(
        &mut self,
        local: LocalState<'_>,
        snapshot: impl FnOnce() -> Snapshot,
        now: Nanos,
    ) -> Option<UpdateNumber> {
        self.next_publish_at = now + PUBLISH_INTERVAL;
        let revision = local.snapshot_revision;
        let snapshot = (self.published_revision != Some(revision)).then(snapshot);
        let descriptor_lease = self.coordination.descriptor_lease();
        let state = ProcessState {
            written_at: now,
            stage: self.stage,
            overrides: local.overrides.clone(),
            descriptor_lease,
            in_flight: local.in_flight,
            open_query_ids: local.open_query_ids,
            watches_discovery: local.watches_discovery,
        };
        let number = self.directory.publish(StateUpdate { state, snapshot })?;
        self.coordination.on_lease_published(descriptor_lease);
        self.published_revision = Some(revision);
        Some(number)
    }

    /// Whether an update is written to disk, so that a process that starts from now on reads it.
    #[must_use]
    pub fn is_written(&self, number: UpdateNumber) -> bool {
        self.directory.is_written(number)
    }

    /// When the next publication or change of the share is due.
    #[must_use]
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        self.coordination.next_deadline(now).map_or(self.next_publish_at, |t| t.min(self.next_publish_at))
    }
}
