//! Several processes at one address: an old one and the new one that takes over from it are one broker.
//!
//! - [`state`] is what they tell each other, and how what staff say is merged;
//! - [`coordination`] decides what follows: who may have how much of the limits, and who leaves;
//! - [`state_directory`] is the directory through which they tell it.
//!
//! The ways that were weighed are in `docs/handover.md`.

pub mod coordination;
pub mod state;
pub mod state_directory;

use crate::api::Nanos;
use crate::membership::snapshot::Snapshot;
use coordination::{Coordination, PeerProcess, QuotaShare, SharedLimits};
use state::{Overrides, ProcessStage, ProcessState};
use state_directory::{StateDirectory, StateUpdate};
use std::path::Path;

/// Time between two states that are left, and between two looks at what the others left.
const PUBLISH_INTERVAL: Nanos = 100_000_000;

/// How this process stands when it leaves a state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Descriptors.
    pub descriptors: usize,
    /// Queries and parts.
    pub in_flight: usize,
    /// Ids of open queries.
    pub open_query_ids: Vec<String>,
}

/// This process's place among those at its address.
#[derive(Debug)]
pub struct HotRestart {
    directory: StateDirectory,
    coordination: Coordination,
    stage: ProcessStage,
    /// The list that was last left, by its version.
    published_version: Option<(u32, u64)>,
    next_publish_at: Nanos,
}

impl HotRestart {
    /// Takes its place: what staff said to the processes before, and their lists of servers. None where the directory
    /// can't be used: the process then starts as if it were alone.
    pub fn open(
        dir: &Path,
        limits: SharedLimits,
        now: Nanos,
    ) -> Option<(HotRestart, Overrides, Vec<Snapshot>)> {
        let (found, shelf) = match StateDirectory::open(dir) {
            Ok(opened) => opened,
            Err(e) => {
                tracing::error!("nothing is handed over: {}: {e}", dir.display());
                return None;
            }
        };
        if !found.errors.is_empty() {
            tracing::error!("handed over and not used: {}", found.errors.join("; "));
        }
        let mut words = Overrides::default();
        for peer in &found.peers {
            words.merge(&peer.effective_overrides());
        }
        tracing::info!(
            "process {} at this address: {} before it run, {} servers are out by hand",
            found.serial,
            found.peers.iter().filter(|p| p.alive).count(),
            words.suspended_servers().count()
        );
        let succession = Coordination::new(found.serial, limits, found.peers, now);
        let handover = HotRestart {
            directory: shelf,
            coordination: succession,
            stage: ProcessStage::Starting,
            published_version: None,
            next_publish_at: now,
        };
        Some((handover, words, found.snapshots))
    }

    /// What this process may have now.
    pub fn quota_share(&self, now: Nanos) -> QuotaShare {
        self.coordination.quota_share(now)
    }

    /// What the other processes told last, where that was looked at since.
    pub fn observe(&mut self, holds: &ResourceUsage, now: Nanos) -> Option<&[PeerProcess]> {
        let peers = self.directory.latest_peers()?;
        self.coordination.on_peers_observed(peers, (holds.descriptors, holds.in_flight), now);
        Some(self.coordination.peers())
    }

    /// How far this process has come; told with the next state, which is due at once.
    pub fn set_stage(&mut self, stage: ProcessStage) {
        if std::mem::replace(&mut self.stage, stage) != stage {
            self.next_publish_at = 0;
        }
    }

    /// Something was said that must not be lost: the next state is due at once.
    pub fn publish_now(&mut self) {
        self.next_publish_at = 0;
    }

    /// Whether a state is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        self.next_publish_at <= now
    }

    /// Leaves a state, and with it the list where it has another version than the last one.
    pub fn publish(
        &mut self,
        holds: ResourceUsage,
        words: &Overrides,
        version: (u32, u64),
        list: impl FnOnce() -> Snapshot,
        now: Nanos,
    ) {
        self.next_publish_at = now + PUBLISH_INTERVAL;
        let list = (self.published_version != Some(version)).then(list);
        let (ResourceUsage { in_flight: held, open_query_ids: open_ids, .. }, lease) =
            (holds, self.coordination.descriptor_lease());
        let state = ProcessState {
            written_at: now,
            stage: self.stage,
            overrides: words.clone(),
            descriptor_lease: lease,
            in_flight: held,
            open_query_ids: open_ids,
        };
        let told = list.is_some();
        if self.directory.publish(StateUpdate { state, snapshot: list }) {
            self.coordination.on_lease_published(lease);
            if told {
                self.published_version = Some(version);
            }
        }
    }

    /// When something is next to be done.
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        self.coordination.next_deadline(now).map_or(self.next_publish_at, |t| t.min(self.next_publish_at))
    }
}
