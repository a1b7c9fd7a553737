//! Probing: one peer is pinged in each interval, first directly and then through other peers.

use super::{MAX_HEALTH_SCORE, PeerStatus, Probe, Swim};
use crate::api::Nanos;
use rand_pcg::rand_core::Rng;

/// Maximum number of pings in flight on behalf of other brokers.
const MAX_RELAYED_PINGS: usize = 64;
/// Period, in sequence numbers, of the additional pings to peers that are down.
const DOWN_PEER_PROBE_PERIOD: u32 = 4;

/// Progress of the probe of this interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeState {
    /// The peer was pinged and has not answered.
    AwaitingAck,
    /// `requested` other peers were requested to ping the peer as well; `reachable` of them reported that it
    /// did not answer.
    AwaitingIndirectAck { requested: usize, reachable: usize },
    /// The peer answered.
    Acked,
}

/// The probe of this interval.
#[derive(Clone, Debug)]
pub(super) struct ProbeInFlight {
    pub(super) peer: usize,
    sequence: u32,
    started: Nanos,
    state: ProbeState,
}

/// A ping on behalf of another broker.
#[derive(Clone, Debug)]
pub(super) struct RelayedPing {
    requester: usize,
    /// The sequence number of the request.
    sequence: u32,
    expires: Nanos,
}

impl Swim {
    /// Returns when the probe in flight is continued through other peers, in local time.
    pub(super) fn indirect_probe_deadline(&self) -> Option<Nanos> {
        let probe = self.probe_in_flight.as_ref().filter(|probe| probe.state == ProbeState::AwaitingAck)?;
        Some(probe.started + self.scaled_by_health(self.settings.probe_timeout))
    }

    /// Returns when the first relayed ping expires, in local time.
    pub(super) fn relay_deadline(&self) -> Option<Nanos> {
        self.relayed_pings.values().map(|ping| ping.expires).min()
    }

    pub(super) fn expire_relayed_pings(&mut self, now: Nanos) {
        while let Some((&sequence, ping)) = self.relayed_pings.iter().find(|(_, ping)| ping.expires <= now) {
            self.outgoing.push((ping.requester, Probe::Nack { sequence: ping.sequence }));
            self.relayed_pings.remove(&sequence);
        }
    }

    pub(super) fn send_indirect_probes(&mut self, now: Nanos) {
        if self.indirect_probe_deadline().is_none_or(|deadline| deadline > now) {
            return;
        }
        let Some(probe) = &self.probe_in_flight else { return };
        let (peer, sequence) = (probe.peer, probe.sequence);
        let relays = self.sample_peers(self.settings.indirect_probes, Some(peer));
        for relay in &relays {
            let name = self.peers[peer].name.clone();
            self.outgoing.push((*relay, Probe::PingRequest { sequence, name }));
        }
        if let Some(probe) = &mut self.probe_in_flight {
            probe.state = ProbeState::AwaitingIndirectAck { requested: relays.len(), reachable: 0 };
        }
    }

    /// Ends the probe of the last interval. A peer that did not answer it is suspected.
    pub(super) fn finish_probe(&mut self, now: Nanos) {
        let Some(probe) = self.probe_in_flight.take() else { return };
        match probe.state {
            ProbeState::Acked => {
                self.health_score = self.health_score.saturating_sub(1);
                return;
            }
            // None of the relays answered either, so this broker itself may be disconnected.
            ProbeState::AwaitingIndirectAck { requested: 1.., reachable: 0 } => {
                self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            }
            ProbeState::AwaitingIndirectAck { .. } | ProbeState::AwaitingAck => {}
        }
        let incarnation = self.peers[probe.peer].incarnation;
        let reporter = self.name.clone();
        self.apply_status(probe.peer, incarnation, PeerStatus::Suspect, Some(&reporter), now);
    }

    /// Pings the next peer in turn.
    pub(super) fn begin_probe(&mut self, now: Nanos) {
        let sequence = self.next_sequence();
        if sequence.is_multiple_of(DOWN_PEER_PROBE_PERIOD) {
            self.ping_down_peer(sequence);
        }
        let Some(peer) = self.next_peer_to_probe() else { return };
        let sequence = self.next_sequence();
        self.probe_in_flight =
            Some(ProbeInFlight { peer, sequence, started: now, state: ProbeState::AwaitingAck });
        self.outgoing.push((peer, Probe::Ping { sequence }));
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    fn ping_down_peer(&mut self, sequence: u32) {
        let is_down = |index: &usize| {
            let peer = &self.peers[*index];
            peer.status == PeerStatus::Down && !peer.removed
        };
        let down: Vec<usize> = (0..self.peers.len()).filter(is_down).collect();
        if !down.is_empty() {
            let peer = down[self.rng.next_u32() as usize % down.len()];
            self.outgoing.push((peer, Probe::Ping { sequence }));
        }
    }

    /// Returns the next peer to probe. Each round covers all peers in a newly shuffled order.
    fn next_peer_to_probe(&mut self) -> Option<usize> {
        for _ in 0..=self.peers.len() {
            if self.probe_order.is_empty() {
                self.shuffle_probe_order();
            }
            let index = self.probe_order.pop_front()?;
            let peer = &self.peers[index];
            // A peer of which nothing is known is probed as well; at the start these are all peers.
            let is_known_down = peer.status == PeerStatus::Down && peer.incarnation > 0;
            if !peer.removed && !is_known_down {
                return Some(index);
            }
        }
        None
    }

    fn shuffle_probe_order(&mut self) {
        let mut order: Vec<usize> = (0..self.peers.len()).collect();
        for i in (1..order.len()).rev() {
            order.swap(i, self.rng.next_u32() as usize % (i + 1));
        }
        self.probe_order.extend(order);
    }

    /// Handles a datagram from the peer `from` with this incarnation: marks the peer as alive and answers its
    /// probe.
    pub fn on_message(&mut self, from: usize, incarnation: u64, probe: &Probe, now: Nanos) {
        let now = self.local_time(now);
        self.peers[from].has_stale_incarnation = incarnation < self.peers[from].incarnation;
        self.apply_status(from, incarnation, PeerStatus::Alive, None, now);
        match probe {
            Probe::Gossip => {}
            Probe::Ping { sequence } => self.outgoing.push((from, Probe::Ack { sequence: *sequence })),
            Probe::Ack { sequence } => self.on_ack(*sequence),
            Probe::Nack { sequence } => self.on_nack(*sequence),
            Probe::PingRequest { sequence, name } => self.on_ping_request(from, *sequence, name, now),
        }
    }

    fn on_ack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe_in_flight.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.state = ProbeState::Acked;
        }
        if let Some(ping) = self.relayed_pings.remove(&sequence) {
            self.outgoing.push((ping.requester, Probe::Ack { sequence: ping.sequence }));
        }
    }

    fn on_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.probe_in_flight.as_mut().filter(|probe| probe.sequence == sequence)
            && let ProbeState::AwaitingIndirectAck { reachable, .. } = &mut probe.state
        {
            *reachable += 1;
        }
    }

    fn on_ping_request(&mut self, from: usize, sequence: u32, name: &str, now: Nanos) {
        let Some(peer) = self.peer_index(name) else { return };
        if peer == from || self.peers[peer].removed || self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            return;
        }
        let relayed = self.next_sequence();
        let expires = now + self.settings.probe_timeout;
        self.relayed_pings.insert(relayed, RelayedPing { requester: from, sequence, expires });
        self.outgoing.push((peer, Probe::Ping { sequence: relayed }));
    }
}
