//! Sends and handles datagrams: probes with piggybacked status updates and new facts.

use super::{GossipNode, MILLISECOND, Output};
use crate::api::Nanos;
use crate::gossip::codec::{Datagram, FIRST_VERSION, FrameError, LATEST_VERSION, MAX_DATAGRAM_BYTES};
use crate::gossip::input_limits::DropReason;
use crate::gossip::notification::Notification;
use crate::gossip::swim::{PeerEvent, Probe};
use crate::replication::Fact;
use crate::replication::FactKey;
use std::net::SocketAddr;

/// Time between two gossip rounds.
const GOSSIP_INTERVAL: Nanos = 100 * MILLISECOND;
/// Number of peers that new facts are sent to in one round.
const GOSSIP_FANOUT: usize = 2;
/// Bytes of a datagram reserved for its header, sender and probe.
const DATAGRAM_OVERHEAD_BYTES: usize = 320;
/// Bytes of a datagram reserved for status updates.
const STATUS_UPDATES_BYTES: usize = 300;
/// Maximum number of facts in one message that are queued for gossip. A larger batch consists of facts that
/// this broker missed, not of new ones; other brokers that missed them receive them by anti-entropy, which
/// compares the Merkle roots.
const MAX_GOSSIPED_BATCH: usize = 32;

impl GossipNode {
    /// Handles a received datagram.
    pub fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Nanos) {
        match self.accept_datagram(from, bytes, now) {
            Ok((index, datagram)) => self.handle_datagram(index, from, &datagram, now),
            Err(reason) => self.count_drop(reason, from, now),
        }
    }

    /// Decodes and checks a datagram, and returns it with the index of its sender.
    fn accept_datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Nanos,
    ) -> Result<(usize, Datagram), DropReason> {
        let index = self.peers.index_at(from).ok_or(DropReason::UnlistedAddress)?;
        if !self.peers[index].rate_limit.admit(now) {
            return Err(DropReason::RateLimited);
        }
        let datagram = Datagram::decode(bytes, self.settings.latest_version).map_err(drop_reason)?;
        self.verify_sender(index, &datagram.sender)?;
        Ok((index, datagram))
    }

    fn handle_datagram(&mut self, index: usize, from: SocketAddr, datagram: &Datagram, now: Nanos) {
        let sender = &datagram.sender;
        let peer = &mut self.peers[index];
        peer.origin = Some(sender.origin);
        peer.latest_version = sender.latest_version;
        peer.last_received = Some(now);
        self.merge_facts(&datagram.facts, from, now);
        if let Some(root) = datagram.root {
            let is_same = root == self.store.tree().root();
            self.peers[index].record_root(root, is_same, now);
        }
        self.swim.on_message(index, sender.incarnation, &datagram.probe, now);
        self.swim.on_status_updates(&sender.name, &datagram.status_updates, now);
        self.flush_failure_detector(now);
    }

    /// Joins facts received from a peer with the store.
    pub(super) fn merge_facts(&mut self, facts: &[Fact], from: SocketAddr, now: Nanos) {
        let version_before = self.store.version();
        let is_gossiped = facts.len() <= MAX_GOSSIPED_BATCH;
        let mut missed = 0;
        for (key, value) in facts {
            match self.store.join(key, value, now) {
                Ok(true) if is_gossiped => self.on_fact_changed(key.clone()),
                Ok(true) => {
                    self.unpersisted.insert(key.clone());
                }
                Ok(false) => continue,
                Err(_) => {
                    self.count_drop(DropReason::InvalidFact, from, now);
                    continue;
                }
            }
            match key {
                FactKey::Drain(_) | FactKey::Start(_) => self.updated_servers.push_back(key.clone()),
                _ if is_gossiped => {
                    self.notifications.push_back(Notification::FactChanged(key.clone()));
                }
                _ => missed += 1,
            }
        }
        if missed > 0 {
            self.notifications.push_back(Notification::FactsReceived(missed));
        }
        if self.store.version() != version_before {
            self.update_derived_state(now);
        }
    }

    fn send_datagram(&mut self, to: usize, probe: Probe, facts: Vec<Fact>) {
        if self.is_removed {
            return;
        }
        let peer = &self.peers[to];
        let address = peer.address;
        let version =
            peer.latest_version.min(self.settings.latest_version).clamp(FIRST_VERSION, LATEST_VERSION);
        let datagram = Datagram {
            sender: self.sender(),
            probe,
            status_updates: self.swim.updates_for(to, STATUS_UPDATES_BYTES),
            facts,
            root: Some(self.store.tree().root()),
        };
        let bytes = datagram.encode(version);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            self.outputs.push_back(Output::Datagram { to: address, bytes });
        }
    }

    /// Sends the pending probes of the failure detector and reports its events.
    pub(super) fn flush_failure_detector(&mut self, now: Nanos) {
        for (to, probe) in self.swim.take_probes() {
            self.send_datagram(to, probe, Vec::new());
        }
        for event in self.swim.take_events() {
            let name = |index: usize| self.peers[index].name.clone();
            let notification = match event {
                PeerEvent::Up(index) => Notification::PeerUp(name(index)),
                PeerEvent::Suspected(index) => Notification::PeerSuspected(name(index)),
                PeerEvent::Down(index) => Notification::PeerDown(name(index)),
                PeerEvent::Refuted => Notification::Refuted,
                PeerEvent::Stalled(span) => {
                    self.sync.on_stall(span, now);
                    Notification::Stalled(span)
                }
            };
            self.notifications.push_back(notification);
        }
        self.update_derived_state(now);
    }

    /// Sends new facts to [`GOSSIP_FANOUT`] random peers if a gossip round is due.
    pub(super) fn gossip_if_due(&mut self, now: Nanos) {
        if now < self.next_gossip || self.rumor_queue.is_empty() {
            return;
        }
        self.next_gossip = now + GOSSIP_INTERVAL;
        let peers = self.swim.sample_peers(GOSSIP_FANOUT, None);
        let max_bytes = MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES - STATUS_UPDATES_BYTES;
        let facts = self.rumor_queue.take(&self.store, max_bytes);
        if facts.is_empty() {
            return;
        }
        for peer in peers {
            self.send_datagram(peer, Probe::Gossip, facts.clone());
        }
    }
}

/// Returns the reason for dropping a frame that can't be decoded.
pub(super) fn drop_reason(error: FrameError) -> DropReason {
    match error {
        FrameError::UnsupportedVersion(_) => DropReason::UnsupportedVersion,
        _ => DropReason::MalformedFrame,
    }
}
