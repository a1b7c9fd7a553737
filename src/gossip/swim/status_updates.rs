//! Status updates about brokers: which ones are applied, and which ones are sent to which peer.

use super::suspicion::Suspicion;
use super::{PeerEvent, PeerStatus, StatusUpdate, Swim};
use crate::api::Nanos;
use crate::replication::rumor_queue::dissemination_rounds;

/// Bytes of an encoded status update in addition to the name: incarnation, status and length of the name.
const UPDATE_OVERHEAD_BYTES: usize = 13;

fn encoded_bytes(update: &StatusUpdate) -> usize {
    update.name.len() + UPDATE_OVERHEAD_BYTES
}

impl Swim {
    /// Applies status updates received from the peer `from`. An update that reports this broker as suspect or
    /// down is refuted.
    pub fn on_status_updates(&mut self, from: &str, updates: &[StatusUpdate], now: Nanos) {
        let now = self.local_time(now);
        for update in updates {
            if update.name == self.name {
                self.refute_if_needed(update);
            } else if let Some(index) = self.peer_index(&update.name) {
                self.apply_status(index, update.incarnation, update.status, Some(from), now);
            }
        }
    }

    fn refute_if_needed(&mut self, update: &StatusUpdate) {
        let reports_failure = update.status != PeerStatus::Alive && update.incarnation >= self.incarnation;
        // An incarnation greater than the present one means that this broker's clock or disk was set back.
        if reports_failure || update.incarnation > self.incarnation {
            self.incarnation = update.incarnation.saturating_add(1);
            self.pending_updates.insert(None, dissemination_rounds(self.cluster_size()));
            self.events.push(PeerEvent::Refuted);
        }
    }

    /// Applies a status if it supersedes the known one. `reporter` is the broker that suspects the peer.
    pub(super) fn apply_status(
        &mut self,
        index: usize,
        incarnation: u64,
        status: PeerStatus,
        reporter: Option<&str>,
        now: Nanos,
    ) {
        let transmissions = dissemination_rounds(self.cluster_size());
        let peer = &mut self.peers[index];
        let reported = (incarnation, status);
        let known = (peer.incarnation, peer.status);
        if reported <= known {
            if reported == known
                && let Some(suspicion) = &mut peer.suspicion
                && reporter.is_some_and(|reporter| suspicion.confirm(reporter))
            {
                self.pending_updates.insert(Some(index), transmissions);
            }
            return;
        }
        let previous = peer.status;
        peer.incarnation = incarnation;
        peer.status = status;
        peer.suspicion = (status == PeerStatus::Suspect).then(|| Suspicion::new(reporter, now));
        self.pending_updates.insert(Some(index), transmissions);
        if status != previous {
            self.events.push(match status {
                PeerStatus::Alive => PeerEvent::Up(index),
                PeerStatus::Suspect => PeerEvent::Suspected(index),
                PeerStatus::Down => PeerEvent::Down(index),
            });
        }
    }

    /// Returns the update about a peer, or about this broker (`None`).
    fn status_update(&self, about: Option<usize>) -> StatusUpdate {
        let (name, incarnation, status) = match about {
            None => (&self.name, self.incarnation, PeerStatus::Alive),
            Some(index) => {
                let peer = &self.peers[index];
                (&peer.name, peer.incarnation, peer.status)
            }
        };
        StatusUpdate { name: name.clone(), incarnation, status }
    }

    /// Returns status updates for a datagram to the peer `to`, as many as fit into `max_bytes`: first the one
    /// that the peer has to refute, then those with the most transmissions left. Each of the latter has one
    /// transmission less afterwards.
    pub fn updates_for(&mut self, to: usize, max_bytes: usize) -> Vec<StatusUpdate> {
        let mut order: Vec<(u32, Option<usize>)> =
            self.pending_updates.iter().map(|(about, left)| (*left, *about)).collect();
        order.sort_by(|a, b| b.cmp(a));
        let mut updates = Vec::new();
        let peer = &self.peers[to];
        if peer.incarnation > 0 && (peer.status != PeerStatus::Alive || peer.has_stale_incarnation) {
            updates.push(self.status_update(Some(to)));
        }
        let mut bytes: usize = updates.iter().map(encoded_bytes).sum();
        for (left, about) in order {
            let update = self.status_update(about);
            bytes += encoded_bytes(&update);
            if bytes > max_bytes {
                break;
            }
            if left <= 1 {
                self.pending_updates.remove(&about);
            } else {
                self.pending_updates.insert(about, left - 1);
            }
            if about != Some(to) {
                updates.push(update);
            }
        }
        updates
    }

    /// Returns the status of all peers whose incarnation is known and that were not removed; sent in a hello.
    #[must_use]
    pub fn all_updates(&self) -> Vec<StatusUpdate> {
        let is_known = |index: &usize| self.peers[*index].incarnation > 0 && !self.peers[*index].removed;
        (0..self.peers.len()).filter(is_known).map(|index| self.status_update(Some(index))).collect()
    }
}
