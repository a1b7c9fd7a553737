//! Which of the listed brokers are up: SWIM with suspicion. Free of I/O and clock.
//!
//! In each interval one peer is pinged, and through others if it does not answer; one that still does not is
//! suspected, and down once the suspicion has lasted its time. A suspected peer that learns of it refutes it
//! under a greater incarnation. After Lifeguard, a broker that finds itself slow probes more slowly and waits
//! longer, and a suspicion ends the sooner, the more peers share it.
//!
//! Time in which this process did not run does not count: the local time, in which all deadlines are kept,
//! does not advance while calls are overdue. A process that was stopped for a minute finds all peers in their
//! former status and probes them again.

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

/// How late a call may come before the time counts as one in which this process did not run.
const STALL_THRESHOLD: Nanos = 100_000_000;
/// Worst health score. Intervals and timeouts are multiplied by the score plus one.
const MAX_HEALTH_SCORE: u32 = 7;
/// The stream of the random generator.
const RANDOM_STREAM: u64 = 0xca02_7bd5;

/// Times of the probing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimSettings {
    /// Time between two probes, ns.
    pub probe_interval: Nanos,
    /// Time without an answer after which other peers are requested to ping as well, ns.
    pub probe_timeout: Nanos,
    /// How many other peers are requested to ping.
    pub indirect_probes: usize,
}

/// A peer as the failure detector sees it.
#[derive(Clone, Debug)]
struct Peer {
    name: String,
    /// Its incarnation; 0 if nothing was ever received of it.
    incarnation: u64,
    status: PeerStatus,
    suspicion: Option<Suspicion>,
    /// Its last datagram had a lower incarnation than is known of it: the next one to it carries the known
    /// one.
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

/// One broker's failure detector. Peers are named by their index, in the order in which they were added.
#[derive(Clone, Debug)]
pub struct Swim {
    settings: SwimSettings,
    name: String,
    incarnation: u64,
    peers: Vec<Peer>,
    index_by_name: BTreeMap<String, usize>,
    /// Peers that are still to be probed in this round.
    probe_order: VecDeque<usize>,
    probe_in_flight: Option<ProbeInFlight>,
    relayed_pings: BTreeMap<u32, RelayedPing>,
    /// In local time.
    next_probe: Nanos,
    last_sequence: u32,
    /// How often the status of a peer, or of this broker (`None`), is still to be sent.
    pending_updates: BTreeMap<Option<usize>, u32>,
    health_score: u32,
    /// Total time in which this process did not run.
    stalled_for: Nanos,
    outgoing: Vec<(usize, Probe)>,
    events: Vec<PeerEvent>,
    rng: Pcg32,
}

impl Swim {
    /// The failure detector of the broker `name`, which has these peers. `incarnation` has to be greater than
    /// any that the broker had before, as far as it knows; `seed` is for the order of probes.
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

    /// This broker's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The status of a peer.
    ///
    /// # Panics
    ///
    /// If there is no peer of this index.
    #[must_use]
    pub fn status(&self, peer: usize) -> PeerStatus {
        self.peers[peer].status
    }

    /// How slow this broker finds itself, from 0 (healthy) to 7.
    #[must_use]
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// The index of a peer.
    #[must_use]
    pub fn peer_index(&self, name: &str) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// The number of brokers, this one included, without those removed.
    #[must_use]
    pub fn cluster_size(&self) -> usize {
        1 + self.peers.iter().filter(|peer| !peer.removed).count()
    }

    /// Up to `count` peers drawn at random among those that are not down, without `exclude`.
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

    /// Any peer that was not removed, drawn at random, up or not.
    pub fn any_peer(&mut self) -> Option<usize> {
        let all: Vec<usize> = (0..self.peers.len()).filter(|index| !self.peers[*index].removed).collect();
        if all.is_empty() { None } else { Some(all[self.rng.next_u32() as usize % all.len()]) }
    }

    /// A random span below `limit`.
    pub fn jitter(&mut self, limit: Nanos) -> Nanos {
        u64::from(self.rng.next_u32()) % limit.max(1)
    }

    /// The changes since the last call.
    pub fn take_events(&mut self) -> Vec<PeerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Probes to be sent, each with the index of the peer it goes to.
    pub fn take_probes(&mut self) -> Vec<(usize, Probe)> {
        std::mem::take(&mut self.outgoing)
    }

    /// When [`Swim::tick`] is to be called next.
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

    /// The local time: `now` without the time in which this process did not run.
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

    /// Adds a peer, which must not be among the peers yet.
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
