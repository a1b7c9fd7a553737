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
use coordination::{Coordination, Limits, Peer, QuotaShare};
use state::{Overrides, ProcessStage, ProcessState};
use state_directory::{StateDirectory, StateUpdate};
use std::path::Path;

/// Time between two states that are left, and between two looks at what the others left.
const EVERY: Nanos = 100_000_000;

/// How this process stands when it leaves a state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Descriptors.
    pub descriptors: usize,
    /// Queries and parts.
    pub held: usize,
    /// Ids of open queries.
    pub open_ids: Vec<String>,
}

/// This process's place among those at its address.
#[derive(Debug)]
pub struct HotRestart {
    shelf: StateDirectory,
    succession: Coordination,
    stage: ProcessStage,
    /// The list that was last left, by its version.
    list: Option<(u32, u64)>,
    due: Nanos,
}

impl HotRestart {
    /// Takes its place: what staff said to the processes before, and their lists of servers. None where the directory
    /// can't be used: the process then starts as if it were alone.
    pub fn open(dir: &Path, limits: Limits, now: Nanos) -> Option<(HotRestart, Overrides, Vec<Snapshot>)> {
        let (found, shelf) = match StateDirectory::open(dir) {
            Ok(opened) => opened,
            Err(e) => {
                tracing::error!("nothing is handed over: {}: {e}", dir.display());
                return None;
            }
        };
        if !found.wrong.is_empty() {
            tracing::error!("handed over and not used: {}", found.wrong.join("; "));
        }
        let mut words = Overrides::default();
        for peer in &found.peers {
            words.merge(&peer.words());
        }
        tracing::info!(
            "process {} at this address: {} before it run, {} servers are out by hand",
            found.serial,
            found.peers.iter().filter(|p| p.alive).count(),
            words.out().count()
        );
        let succession = Coordination::new(found.serial, limits, found.peers, now);
        let handover = HotRestart { shelf, succession, stage: ProcessStage::Starting, list: None, due: now };
        Some((handover, words, found.lists))
    }

    /// What this process may have now.
    pub fn share(&self, now: Nanos) -> QuotaShare {
        self.succession.share(now)
    }

    /// What the other processes told last, where that was looked at since.
    pub fn observe(&mut self, holds: &ResourceUsage, now: Nanos) -> Option<&[Peer]> {
        let peers = self.shelf.seen()?;
        self.succession.seen(peers, (holds.descriptors, holds.held), now);
        Some(self.succession.peers())
    }

    /// How far this process has come; told with the next state, which is due at once.
    pub fn set_stage(&mut self, stage: ProcessStage) {
        if std::mem::replace(&mut self.stage, stage) != stage {
            self.due = 0;
        }
    }

    /// Something was said that must not be lost: the next state is due at once.
    pub fn publish_now(&mut self) {
        self.due = 0;
    }

    /// Whether a state is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        self.due <= now
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
        self.due = now + EVERY;
        let list = (self.list != Some(version)).then(list);
        let (ResourceUsage { held, open_ids, .. }, lease) = (holds, self.succession.lease());
        let state =
            ProcessState { written: now, stage: self.stage, words: words.clone(), lease, held, open_ids };
        let told = list.is_some();
        if self.shelf.leave(StateUpdate { state, list }) {
            self.succession.told(lease);
            if told {
                self.list = Some(version);
            }
        }
    }

    /// When something is next to be done.
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        self.succession.due(now).map_or(self.due, |t| t.min(self.due))
    }
}
