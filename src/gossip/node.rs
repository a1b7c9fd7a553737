//! The gossip state machine of one broker. Its caller passes in datagrams, frames and the time, and takes
//! outputs and notifications from it. Performs no I/O and reads no clock.
//!
//! - `dissemination` sends probes, status updates and facts by datagram, and handles those received;
//! - `sync_driver` runs anti-entropy sessions over connections.

mod dissemination;
mod sync_driver;

use super::codec::{self, Sender};
use super::input_limits::{DropCounts, DropReason};
use super::notification::{Notification, SyncStatus};
use super::peer_table::{PeerInfo, PeerTable};
use super::swim::{Swim, SwimSettings};
use crate::api::Nanos;
use crate::replication::Fact;
use crate::replication::derived_state::DerivedState;
use crate::replication::rumor_queue::RumorQueue;
use crate::replication::{
    Dot, FactKey, FactValue, JoinError, OperatorCommand, Origin, ProcessStart, StateStore, StoreLimits,
};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use sync_driver::SyncDriver;

const MILLISECOND: Nanos = 1_000_000;
/// Maximum time between two garbage collections of the store.
const MAX_GARBAGE_COLLECTION_INTERVAL: Nanos = 60_000 * MILLISECOND;
/// Minimum time between two garbage collections of the store.
const MIN_GARBAGE_COLLECTION_INTERVAL: Nanos = 100 * MILLISECOND;

/// Returns a quarter of the time for which commands are retained, clamped to the limits above.
fn garbage_collection_interval(limits: &StoreLimits) -> Nanos {
    MAX_GARBAGE_COLLECTION_INTERVAL.min(limits.retention / 4).max(MIN_GARBAGE_COLLECTION_INTERVAL)
}

/// Settings of a broker's gossip.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// The cluster's name. Input from brokers of another cluster is dropped.
    pub cluster: String,
    /// This broker's name.
    pub name: String,
    /// Names and addresses of the other brokers.
    pub peers: Vec<(String, SocketAddr)>,
    /// Settings of the failure detector.
    pub swim: SwimSettings,
    /// Capacity and retention time of the store.
    pub store_limits: StoreLimits,
    /// The latest frame version that is read and written.
    pub latest_version: u8,
    /// The seed of all random choices.
    pub seed: u64,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Datagram {
        /// Its destination.
        to: SocketAddr,
        /// Its payload.
        bytes: Vec<u8>,
    },
    /// Open a connection.
    Dial {
        /// The number that this broker assigns to the connection.
        stream: u64,
        /// Its destination.
        to: SocketAddr,
    },
    /// Send on a connection.
    Send {
        /// The connection.
        stream: u64,
        /// One frame with its length prefix.
        bytes: Vec<u8>,
    },
    /// Close a connection after all pending bytes are written.
    Close {
        /// The connection.
        stream: u64,
    },
}

/// The gossip state of one broker of a cluster.
#[derive(Clone, Debug)]
pub struct GossipNode {
    settings: GossipSettings,
    swim: Swim,
    store: StateStore,
    rumor_queue: RumorQueue,
    /// Uses the same indexes as `swim`.
    peers: PeerTable,
    sync: SyncDriver,
    next_gossip: Nanos,
    next_garbage_collection: Nanos,
    /// Keys of changed facts that are not on disk yet.
    unpersisted: BTreeSet<FactKey>,
    derived_state: DerivedState,
    /// Keys of drains and starts of servers that were received from peers or loaded from disk.
    updated_servers: VecDeque<FactKey>,
    outputs: VecDeque<Output>,
    notifications: VecDeque<Notification>,
    drop_counts: DropCounts,
    /// Whether this broker was removed from the cluster.
    is_removed: bool,
}

impl GossipNode {
    /// Creates a broker's node with the facts read from its disk. `incarnation` has to be greater than any
    /// earlier one that the broker knows of.
    #[must_use]
    pub fn new(
        settings: GossipSettings,
        origin: Origin,
        persisted: &[Fact],
        incarnation: u64,
        now: Nanos,
    ) -> GossipNode {
        let mut store = StateStore::new(origin, settings.store_limits);
        for (key, value) in persisted {
            // A start in the future was written under another clock: skip it, discovery reports it again.
            let _ = store.join(key, value, now);
        }
        let names: Vec<String> = settings.peers.iter().map(|(name, _)| name.clone()).collect();
        let mut swim = Swim::new(settings.swim, &settings.name, &names, incarnation, settings.seed, now);
        let is_from_discovery = |key: &&FactKey| matches!(key, FactKey::Drain(_) | FactKey::Start(_));
        let updated_servers = store.facts().map(|(key, _)| key).filter(is_from_discovery).cloned().collect();
        let mut node = GossipNode {
            peers: PeerTable::new(&settings.peers, now),
            sync: SyncDriver::new(&mut swim, now),
            swim,
            store,
            rumor_queue: RumorQueue::default(),
            next_gossip: now,
            next_garbage_collection: now + garbage_collection_interval(&settings.store_limits),
            settings,
            unpersisted: BTreeSet::new(),
            derived_state: DerivedState::default(),
            updated_servers,
            outputs: VecDeque::new(),
            notifications: VecDeque::new(),
            drop_counts: DropCounts::default(),
            is_removed: false,
        };
        node.update_derived_state(now);
        node
    }

    /// Returns the replicated store.
    #[must_use]
    pub fn store(&self) -> &StateStore {
        &self.store
    }

    /// Returns the state that this broker derives from the store.
    #[must_use]
    pub fn derived_state(&self) -> &DerivedState {
        &self.derived_state
    }

    /// Returns whether the store is up to date.
    #[must_use]
    pub fn sync_status(&self) -> SyncStatus {
        self.sync.status()
    }

    /// Returns this broker's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.swim.incarnation()
    }

    /// Returns this broker's health score, from 0 (healthy) to 7 (slowest).
    #[must_use]
    pub fn health_score(&self) -> u32 {
        self.swim.health_score()
    }

    /// Returns the listed peers.
    pub fn peers(&self, now: Nanos) -> impl Iterator<Item = PeerInfo<'_>> {
        let root = self.store.tree().root();
        self.peers.iter().filter(|(_, peer)| peer.listed).map(move |(index, peer)| PeerInfo {
            name: &peer.name,
            address: peer.address,
            status: self.swim.status(index),
            is_in_sync: peer.root.map(|peer_root| peer_root == root),
            since_last_received: peer.last_received.map(|at| now.saturating_sub(at)),
        })
    }

    /// Returns the number of drops by reason.
    pub fn drop_counts(&self) -> impl Iterator<Item = (DropReason, u64)> {
        self.drop_counts.iter()
    }

    /// Records an operator's command, which supersedes all commands that this broker has under the key.
    ///
    /// # Errors
    ///
    /// [`JoinError`] if the store rejects it; nothing is recorded in this case.
    pub fn record(&mut self, key: &FactKey, command: OperatorCommand, now: Nanos) -> Result<Dot, JoinError> {
        let dot = self.store.record(key, command)?;
        self.on_fact_changed(key.clone());
        self.update_derived_state(now);
        Ok(dot)
    }

    /// Records a drain or a start of a server that discovery reported to this broker.
    pub fn record_process_event(&mut self, key: FactKey, latest: ProcessStart, now: Nanos) {
        if self.store.join(&key, &FactValue::Latest(latest), now) == Ok(true) {
            self.on_fact_changed(key);
        }
    }

    /// Queues a fact that is new to this broker for gossip and for persistence.
    fn on_fact_changed(&mut self, key: FactKey) {
        self.rumor_queue.push(key.clone(), self.swim.cluster_size());
        self.unpersisted.insert(key);
    }

    /// Takes up to `max` facts that are not on disk yet. They count as persisted from now on; see
    /// [`GossipNode::persist_failed`].
    pub fn take_unpersisted(&mut self, max: usize) -> Vec<Fact> {
        let mut facts = Vec::new();
        while facts.len() < max
            && let Some(key) = self.unpersisted.pop_first()
        {
            if let Some(value) = self.store.get(&key) {
                facts.push((key, value.clone()));
            }
        }
        facts
    }

    /// Marks facts as not persisted again, because writing them failed.
    pub fn persist_failed(&mut self, keys: impl IntoIterator<Item = FactKey>) {
        self.unpersisted.extend(keys);
    }

    /// Returns whether no fact is waiting to be persisted.
    #[must_use]
    pub fn is_persisted(&self) -> bool {
        self.unpersisted.is_empty()
    }

    /// Takes the key of the next drain or start of a server that is new to this broker.
    pub fn take_updated_server(&mut self) -> Option<FactKey> {
        self.updated_servers.pop_front()
    }

    /// Takes the next output.
    pub fn take_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes the next notification.
    pub fn take_notification(&mut self) -> Option<Notification> {
        self.notifications.pop_front()
    }

    /// Switches to a new origin when another process uses the present one.
    pub fn replace_origin(&mut self, origin: Origin) {
        self.store.set_origin(origin);
        self.notifications.push_back(Notification::OriginReplaced);
    }

    /// Returns whether another process uses the origin of this one.
    #[must_use]
    pub fn has_duplicate_origin(&self) -> bool {
        self.store.has_duplicate_origin()
    }

    fn sender(&self) -> Sender {
        Sender {
            cluster_id: codec::cluster_id(&self.settings.cluster),
            name: self.settings.name.clone(),
            origin: self.store.origin(),
            incarnation: self.swim.incarnation(),
            latest_version: self.settings.latest_version,
        }
    }

    fn count_drop(&mut self, reason: DropReason, from: SocketAddr, now: Nanos) {
        if self.drop_counts.record(reason, now) {
            self.notifications.push_back(Notification::Dropped(reason, from));
        }
    }

    /// Checks that the sender of a frame is the listed peer `index` of this cluster.
    fn verify_sender(&self, index: usize, sender: &Sender) -> Result<(), DropReason> {
        let peer = &self.peers[index];
        if !peer.listed {
            Err(DropReason::UnlistedAddress)
        } else if sender.cluster_id != codec::cluster_id(&self.settings.cluster) {
            Err(DropReason::OtherCluster)
        } else if sender.name == self.settings.name {
            Err(DropReason::OwnName)
        } else if sender.name != peer.name {
            Err(DropReason::NameMismatch)
        } else if self.derived_state.removed_brokers.contains(&sender.name) {
            Err(DropReason::RemovedSender)
        } else {
            Ok(())
        }
    }

    /// Updates the derived state for facts that changed or expired.
    fn update_derived_state(&mut self, now: Nanos) {
        let mut keys = self.store.take_changed_keys();
        keys.extend(self.derived_state.expired_keys(now));
        if keys.is_empty() {
            return;
        }
        for key in &keys {
            self.derived_state.update(&self.store, key, &self.settings.name, now);
        }
        if keys.iter().any(|key| matches!(key, FactKey::Removed(_))) {
            self.update_removed_peers();
        }
    }

    /// Stops sending to peers that an operator removed or that are no longer listed.
    fn update_removed_peers(&mut self) {
        let mut removed = self.derived_state.removed_brokers.clone();
        let unlisted = self.peers.iter().filter(|(_, peer)| !peer.listed);
        removed.extend(unlisted.map(|(_, peer)| peer.name.clone()));
        self.swim.set_removed(&removed);
        let was_removed = self.is_removed;
        self.is_removed = self.derived_state.removed_brokers.contains(&self.settings.name);
        if self.is_removed && !was_removed {
            self.notifications.push_back(Notification::RemovedFromCluster);
        }
    }

    /// Replaces the list of peers by a new one from the operator's file.
    pub fn set_peers(&mut self, listed: &[(String, SocketAddr)], now: Nanos) {
        self.peers.unlist_all();
        for (name, address) in listed {
            if let Some(index) = self.swim.peer_index(name) {
                self.peers.relist(index, *address);
            } else {
                self.swim.add_peer(name);
                self.peers.push(name, *address, now);
            }
        }
        self.peers.index_addresses();
        self.update_removed_peers();
        self.sync.begin_soon(now);
    }

    /// Handles the deadlines that have passed.
    pub fn tick(&mut self, now: Nanos) {
        self.swim.tick(now);
        self.flush_failure_detector(now);
        self.gossip_if_due(now);
        self.close_idle_streams(now);
        self.begin_sync_if_due(now);
        if now >= self.next_garbage_collection {
            self.collect_garbage(now);
        }
    }

    fn collect_garbage(&mut self, now: Nanos) {
        self.next_garbage_collection = now + garbage_collection_interval(&self.settings.store_limits);
        self.unpersisted.extend(self.store.collect_garbage(now));
        self.update_derived_state(now);
    }

    /// Returns when [`GossipNode::tick`] has to be called next.
    #[must_use]
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        let gossip = (!self.rumor_queue.is_empty()).then_some(self.next_gossip);
        let derived_state = self.derived_state.next_expiry().map(|at| at.max(now + MILLISECOND));
        [gossip, self.sync.next_deadline(), derived_state]
            .into_iter()
            .flatten()
            .fold(self.next_garbage_collection.min(self.swim.next_deadline()), Nanos::min)
    }
}
