//! Failure detector for the listed brokers: SWIM with suspicion. Performs no I/O and reads no clock.
//!
//! In each interval one peer is pinged, first directly and, if it does not answer, through other peers. A
//! peer that does not answer those either is suspected, and counts as down when the suspicion times out. A
//! suspected peer that learns of the suspicion refutes it with a greater incarnation. As in Lifeguard, a
//! broker that detects that it is slow itself probes less often and waits longer, and the more brokers report
//! a suspicion, the sooner it times out.
//!
//! Time in which this process did not run does not count: all deadlines are kept in a local time that does
//! not advance while calls are overdue. A process that was stopped for a minute keeps the former status of
//! all peers and probes them again.

mod failure_detector;
mod message;
mod status_updates;
mod suspicion;

pub use message::{PeerEvent, PeerStatus, Probe, StatusUpdate};

use crate::api::Nanos;
use failure_detector::{ProbeInFlight, RelayedPing};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use suspicion::Suspicion;

/// Tolerated delay of a call after its deadline. Any delay beyond it counts as time in which this process did
/// not run.
const STALL_THRESHOLD: Nanos = 100_000_000;
/// The worst health score. Intervals and timeouts are multiplied by the score plus one.
const MAX_HEALTH_SCORE: u32 = 7;
/// The stream of the random number generator.
const RANDOM_STREAM: u64 = 0xca02_7bd5;

/// Settings of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimSettings {
    /// Time between two probes, ns.
    pub probe_interval: Nanos,
    /// Time without an answer after which other peers are requested to ping the peer as well, ns.
    pub probe_timeout: Nanos,
    /// Number of other peers that are requested to ping.
    pub indirect_probes: usize,
}

/// The failure detector's state of a peer.
#[derive(Clone, Debug)]
struct Peer {
    name: String,
    /// Its latest known incarnation; 0 if no status of it was ever received.
    incarnation: u64,
    status: PeerStatus,
    suspicion: Option<Suspicion>,
    /// Whether its last datagram had a lower incarnation than the latest known one, which the datagrams to it
    /// then carry.
    has_stale_incarnation: bool,
    removed: bool,
}

impl Peer {
    fn new(name: &str) -> Peer {
        Peer {
            name: name.to_owned(),
            incarnation: 0,
            status: PeerStatus::Down,
            suspicion: None,
            has_stale_incarnation: false,
            removed: false,
        }
    }
}

/// The failure detector of one broker. Peers are identified by their index in the order of their addition.
#[derive(Clone, Debug)]
pub struct Swim {
    settings: SwimSettings,
    name: String,
    incarnation: u64,
    peers: Vec<Peer>,
    index_by_name: BTreeMap<String, usize>,
    /// Peers that remain to be probed in this round.
    probe_order: VecDeque<usize>,
    probe_in_flight: Option<ProbeInFlight>,
    relayed_pings: BTreeMap<u32, RelayedPing>,
    /// When the next probe begins, in local time.
    next_probe: Nanos,
    last_sequence: u32,
    /// Number of times that the status of a peer, or of this broker (`None`), remains to be sent.
    pending_updates: BTreeMap<Option<usize>, u32>,
    health_score: u32,
    /// Total time in which this process did not run.
    stalled_for: Nanos,
    outgoing: Vec<(usize, Probe)>,
    events: Vec<PeerEvent>,
    rng: Pcg32,
}

impl Swim {
    /// Creates the failure detector of the broker `name` with these peers. `incarnation` has to be greater
    /// than any earlier one that the broker knows of; `seed` seeds all random choices.
    #[must_use]
    pub fn new(
        settings: SwimSettings,
        name: &str,
        peers: &[String],
        incarnation: u64,
        seed: u64,
        now: Nanos,
    ) -> Swim {
        Swim {
            settings,
            name: name.to_owned(),
            incarnation,
            peers: peers.iter().map(|peer| Peer::new(peer)).collect(),
            index_by_name: peers.iter().enumerate().map(|(index, peer)| (peer.clone(), index)).collect(),
            probe_order: VecDeque::new(),
            probe_in_flight: None,
            relayed_pings: BTreeMap::new(),
            next_probe: now,
            last_sequence: 0,
            pending_updates: BTreeMap::new(),
            health_score: 0,
            stalled_for: 0,
            outgoing: Vec::new(),
            events: Vec::new(),
            rng: Pcg32::new(seed, RANDOM_STREAM),
        }
    }

    /// Returns this broker's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the status of a peer.
    ///
    /// # Panics
    ///
    /// If there is no peer of this index.
    #[must_use]
    pub fn status(&self, peer: usize) -> PeerStatus {
        self.peers[peer].status
    }

    /// Returns this broker's health score, from 0 (healthy) to 7 (slowest).
    #[must_use]
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// Returns the index of a peer.
    #[must_use]
    pub fn peer_index(&self, name: &str) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// Returns the number of brokers, including this one and excluding removed ones.
    #[must_use]
    pub fn cluster_size(&self) -> usize {
        1 + self.peers.iter().filter(|peer| !peer.removed).count()
    }

    /// Returns up to `count` random peers that are neither down nor removed, without `exclude`.
    pub fn sample_peers(&mut self, count: usize, exclude: Option<usize>) -> Vec<usize> {
        let is_candidate = |index: &usize| {
            let peer = &self.peers[*index];
            peer.status != PeerStatus::Down && !peer.removed && Some(*index) != exclude
        };
        let mut sample: Vec<usize> = (0..self.peers.len()).filter(is_candidate).collect();
        let count = count.min(sample.len());
        for i in 0..count {
            let drawn = i + self.rng.next_u32() as usize % (sample.len() - i);
            sample.swap(i, drawn);
        }
        sample.truncate(count);
        sample
    }

    /// Returns a random peer that was not removed, whatever its status.
    pub fn any_peer(&mut self) -> Option<usize> {
        let all: Vec<usize> = (0..self.peers.len()).filter(|index| !self.peers[*index].removed).collect();
        if all.is_empty() { None } else { Some(all[self.rng.next_u32() as usize % all.len()]) }
    }

    /// Returns a random time span below `limit`.
    pub fn jitter(&mut self, limit: Nanos) -> Nanos {
        u64::from(self.rng.next_u32()) % limit.max(1)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<PeerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes the probes to be sent, each with the index of the peer it goes to.
    pub fn take_probes(&mut self) -> Vec<(usize, Probe)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns when [`Swim::tick`] has to be called next.
    #[must_use]
    pub fn next_deadline(&self) -> Nanos {
        self.next_local_deadline().saturating_add(self.stalled_for)
    }

    fn next_local_deadline(&self) -> Nanos {
        let suspicions =
            self.peers.iter().filter_map(|peer| Some(self.suspicion_deadline(peer.suspicion.as_ref()?)));
        suspicions
            .chain(self.indirect_probe_deadline())
            .chain(self.relay_deadline())
            .fold(self.next_probe, Nanos::min)
    }

    fn suspicion_deadline(&self, suspicion: &Suspicion) -> Nanos {
        suspicion.deadline(self.cluster_size(), self.settings.probe_interval)
    }

    /// Returns the local time: `now` without the time in which this process did not run.
    fn local_time(&mut self, now: Nanos) -> Nanos {
        let overdue = now.saturating_sub(self.next_deadline());
        if overdue > STALL_THRESHOLD {
            self.stalled_for += overdue - STALL_THRESHOLD;
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            self.events.push(PeerEvent::Stalled(overdue));
        }
        now.saturating_sub(self.stalled_for)
    }

    fn scaled_by_health(&self, span: Nanos) -> Nanos {
        span * u64::from(1 + self.health_score)
    }

    /// Handles the deadlines that have passed.
    pub fn tick(&mut self, now: Nanos) {
        let now = self.local_time(now);
        self.expire_suspicions(now);
        self.expire_relayed_pings(now);
        self.send_indirect_probes(now);
        if now >= self.next_probe {
            self.finish_probe(now);
            self.begin_probe(now);
            self.next_probe = now + self.scaled_by_health(self.settings.probe_interval);
        }
    }

    fn expire_suspicions(&mut self, now: Nanos) {
        for index in 0..self.peers.len() {
            let peer = &self.peers[index];
            let incarnation = peer.incarnation;
            if peer.suspicion.as_ref().is_some_and(|suspicion| self.suspicion_deadline(suspicion) <= now) {
                self.apply_status(index, incarnation, PeerStatus::Down, None, now);
            }
        }
    }

    /// Adds a peer, whose name must be new.
    pub fn add_peer(&mut self, name: &str) {
        self.index_by_name.insert(name.to_owned(), self.peers.len());
        self.peers.push(Peer::new(name));
        self.probe_order.clear();
    }

    /// Marks the peers of these names as removed, and all others as not removed.
    pub fn set_removed(&mut self, names: &BTreeSet<String>) {
        for peer in &mut self.peers {
            peer.removed = names.contains(&peer.name);
            if peer.removed {
                peer.status = PeerStatus::Down;
                peer.suspicion = None;
            }
        }
        if self.probe_in_flight.as_ref().is_some_and(|probe| self.peers[probe.peer].removed) {
            self.probe_in_flight = None;
        }
    }
}
