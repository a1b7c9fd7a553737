//! Who of the operator's brokers is up, by probing one at a time and telling on what was found. Free of I/O and clock.
//!
//! SWIM with suspicion: each period one peer is pinged, through others if it does not answer; who still does not is
//! suspected, and down once the suspicion has had its time. A suspected one that hears of it says so, under a greater
//! incarnation. After Lifeguard: who finds itself slow probes more slowly and waits longer, and a suspicion ends the
//! sooner, the more peers share it.
//!
//! Time in which this process did not run does not count: its own clock for all deadlines stands still while it is
//! called late. A process that was stopped for a minute finds everybody as they were, and asks.

use crate::api::Nanos;
use crate::replication::rumor_queue::rounds;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Times of the probing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimSettings {
    /// Time between two probes.
    pub probe_interval: Nanos,
    /// Time after which others are asked to try.
    pub probe_timeout: Nanos,
    /// How many others.
    pub indirect_probes: usize,
}

/// How a peer stands. Of one incarnation the later one in this order is believed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerStatus {
    /// It answers.
    Alive,
    /// It did not answer; it may still say so.
    Suspect,
    /// It has had its time to say so. Or it was never heard of.
    Down,
}

/// What one says of another.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct StatusUpdate {
    /// Of whom.
    pub name: String,
    /// Of which of its incarnations.
    pub incarnation: u64,
    /// How it stands.
    pub status: PeerStatus,
}

/// What a datagram is for.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum Probe {
    /// Only news.
    #[serde(rename = "News")]
    Gossip,
    /// Asks for an answer.
    Ping {
        #[serde(rename = "n")]
        sequence: u32,
    },
    /// The answer.
    Ack {
        #[serde(rename = "n")]
        sequence: u32,
    },
    /// Asks to ping another.
    #[serde(rename = "Ask")]
    PingRequest {
        #[serde(rename = "n")]
        sequence: u32,
        name: String,
    },
    /// The other did not answer, but the one asked is there.
    Nack {
        #[serde(rename = "n")]
        sequence: u32,
    },
}

/// What has become of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// It is up.
    Up(usize),
    /// It did not answer.
    Suspected(usize),
    /// It is down.
    Down(usize),
    /// Others took this broker for gone; it said that it is not.
    Refuted,
    /// This process was called so much later than it had asked for.
    Stalled(Nanos),
}

/// How late a call may come before the time counts as one in which this process did not run.
const STALL_THRESHOLD: Nanos = 100_000_000;
/// Worst score of one's own slowness. It multiplies times.
const MAX_HEALTH_SCORE: u32 = 7;
/// The shortest suspicion, in probe intervals for each decade of brokers.
const SUSPICION_MULTIPLE: f64 = 4.0;
/// How many times longer a suspicion lasts while no other peer confirms it.
const MAX_SUSPICION_MULTIPLE: f64 = 6.0;
/// How many that share a suspicion shorten it to its least time.
const MAX_CONFIRMATIONS: usize = 3;
/// Pings on others' behalf that are under way at most.
const MAX_RELAYED_PINGS: usize = 64;
/// A peer that is down is pinged in one period of so many, beside the usual probe.
const DOWN_PEER_PROBE_PERIODS: u32 = 4;

#[derive(Clone, Debug)]
struct Suspicion {
    started: Nanos,
    confirmed_by: BTreeSet<String>,
}

#[derive(Clone, Debug)]
struct Peer {
    name: String,
    incarnation: u64,
    status: PeerStatus,
    suspicion: Option<Suspicion>,
    /// It speaks under a lower incarnation than is known of it: it must be told.
    has_stale_incarnation: bool,
    removed: bool,
}

impl Peer {
    fn new(name: &str) -> Peer {
        let (incarnation, status) = (0, PeerStatus::Down);
        Peer {
            name: name.to_owned(),
            incarnation,
            status,
            suspicion: None,
            has_stale_incarnation: false,
            removed: false,
        }
    }
}

#[derive(Clone, Debug)]
struct ProbeInFlight {
    peer: usize,
    sequence: u32,
    started: Nanos,
    acked: bool,
    /// Others were asked, and how many of them say that they are there.
    indirect: Option<(usize, usize)>,
}

#[derive(Clone, Debug)]
struct RelayedPing {
    requester: usize,
    sequence: u32,
    expires: Nanos,
}

/// One broker's view of its peers.
#[derive(Clone, Debug)]
pub struct Swim {
    settings: SwimSettings,
    name: String,
    incarnation: u64,
    peers: Vec<Peer>,
    index_by_name: BTreeMap<String, usize>,
    probe_order: VecDeque<usize>,
    probe_in_flight: Option<ProbeInFlight>,
    relayed_pings: BTreeMap<u32, RelayedPing>,
    next_probe: Nanos,
    next_sequence: u32,
    /// Rumours still to be told on: about a peer, or about oneself.
    pending_updates: BTreeMap<Option<usize>, u32>,
    health_score: u32,
    /// Time in which this process did not run.
    stalled_for: Nanos,
    outgoing: Vec<(usize, Probe)>,
    events: Vec<PeerEvent>,
    rng: Pcg32,
}

impl Swim {
    /// The view of the broker `name` of these peers. `incarnation` is greater than any that it had before, as far as it
    /// knows; `seed` is for the order of its probes.
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
            peers: peers.iter().map(|p| Peer::new(p)).collect(),
            index_by_name: peers.iter().enumerate().map(|(n, p)| (p.clone(), n)).collect(),
            probe_order: VecDeque::new(),
            probe_in_flight: None,
            relayed_pings: BTreeMap::new(),
            next_probe: now,
            next_sequence: 0,
            pending_updates: BTreeMap::new(),
            health_score: 0,
            stalled_for: 0,
            outgoing: Vec::new(),
            events: Vec::new(),
            rng: Pcg32::new(seed, 0xca02_7bd5),
        }
    }

    // ---- what is seen ----

    /// This broker's incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// How a peer stands.
    pub fn status(&self, peer: usize) -> PeerStatus {
        self.peers[peer].status
    }

    /// A peer's incarnation as it is known; 0: never heard of.
    pub fn peer_incarnation(&self, peer: usize) -> u64 {
        self.peers[peer].incarnation
    }

    /// How slow this broker finds itself, from 0 to 7.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// The number of a peer.
    pub fn peer_index(&self, name: &str) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// Brokers, this one among them, without those removed.
    pub fn cluster_size(&self) -> usize {
        1 + self.peers.iter().filter(|p| !p.removed).count()
    }

    /// Up to `n` peers drawn at random among those that are not down.
    pub fn sample_peers(&mut self, count: usize, exclude: Option<usize>) -> Vec<usize> {
        let up = |(_, p): &(usize, &Peer)| p.status != PeerStatus::Down && !p.removed;
        let mut all: Vec<usize> = self.peers.iter().enumerate().filter(up).map(|(n, _)| n).collect();
        all.retain(|p| Some(*p) != exclude);
        let count = count.min(all.len());
        for i in 0..count {
            let j = i + self.rng.next_u32() as usize % (all.len() - i);
            all.swap(i, j);
        }
        all.truncate(count);
        all
    }

    /// Any peer that was not removed, up or not.
    pub fn any_peer(&mut self) -> Option<usize> {
        let all: Vec<usize> = (0..self.peers.len()).filter(|n| !self.peers[*n].removed).collect();
        if all.is_empty() { None } else { Some(all[self.rng.next_u32() as usize % all.len()]) }
    }

    /// A random time of at most so long.
    pub fn jitter(&mut self, limit: Nanos) -> Nanos {
        u64::from(self.rng.next_u32()) % limit.max(1)
    }

    /// What has become of peers since this was last asked.
    pub fn take_events(&mut self) -> Vec<PeerEvent> {
        std::mem::take(&mut self.events)
    }

    /// What is to be sent.
    pub fn take_probes(&mut self) -> Vec<(usize, Probe)> {
        std::mem::take(&mut self.outgoing)
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Nanos {
        self.next_local_deadline().saturating_add(self.stalled_for)
    }

    fn next_local_deadline(&self) -> Nanos {
        let asks = self
            .probe_in_flight
            .iter()
            .filter(|p| !p.acked && p.indirect.is_none())
            .map(|p| p.started + self.probe_timeout());
        let ends = self.peers.iter().filter_map(|p| Some(self.suspicion_deadline(p.suspicion.as_ref()?)));
        asks.chain(ends)
            .chain(self.relayed_pings.values().map(|r| r.expires))
            .chain([self.next_probe])
            .min()
            .unwrap_or(self.next_probe)
    }

    // ---- time ----

    /// This process's own time: what it was called late by does not count.
    fn local_time(&mut self, now: Nanos) -> Nanos {
        let stall = now.saturating_sub(self.next_deadline());
        if stall > STALL_THRESHOLD {
            self.stalled_for += stall - STALL_THRESHOLD;
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            self.events.push(PeerEvent::Stalled(stall));
        }
        now.saturating_sub(self.stalled_for)
    }

    fn scaled_by_health(&self, time: Nanos) -> Nanos {
        time * u64::from(1 + self.health_score)
    }

    fn probe_timeout(&self) -> Nanos {
        self.scaled_by_health(self.settings.probe_timeout)
    }

    fn suspicion_deadline(&self, s: &Suspicion) -> Nanos {
        let cluster_size = self.cluster_size() as f64;
        let shortest =
            SUSPICION_MULTIPLE * cluster_size.log10().max(1.0) * self.settings.probe_interval as f64;
        let longest = shortest * MAX_SUSPICION_MULTIPLE;
        let needed = MAX_CONFIRMATIONS.min(self.cluster_size().saturating_sub(2));
        let confirmations = s.confirmed_by.len().min(needed) as f64;
        let span = if needed == 0 {
            shortest
        } else {
            longest - (longest - shortest) * (confirmations + 1.0).ln() / (needed as f64 + 1.0).ln()
        };
        s.started + span as Nanos
    }

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos) {
        let now = self.local_time(now);
        for n in 0..self.peers.len() {
            if self.peers[n].suspicion.as_ref().is_some_and(|s| self.suspicion_deadline(s) <= now) {
                let incarnation = self.peers[n].incarnation;
                self.apply_status(n, incarnation, PeerStatus::Down, None, now);
            }
        }
        while let Some((sequence, relay)) =
            self.relayed_pings.iter().find(|(_, r)| r.expires <= now).map(|(n, r)| (*n, r.clone()))
        {
            self.relayed_pings.remove(&sequence);
            self.outgoing.push((relay.requester, Probe::Nack { sequence: relay.sequence }));
        }
        self.send_indirect_probes(now);
        if now >= self.next_probe {
            self.finish_probe(now);
            self.begin_probe(now);
            self.next_probe = now + self.scaled_by_health(self.settings.probe_interval);
        }
    }

    fn send_indirect_probes(&mut self, now: Nanos) {
        let timeout = self.probe_timeout();
        let Some(p) = self
            .probe_in_flight
            .as_ref()
            .filter(|p| !p.acked && p.indirect.is_none() && p.started + timeout <= now)
        else {
            return;
        };
        let (peer, sequence) = (p.peer, p.sequence);
        let others = self.sample_peers(self.settings.indirect_probes, Some(peer));
        let name = self.peers[peer].name.clone();
        for other in &others {
            self.outgoing.push((*other, Probe::PingRequest { sequence, name: name.clone() }));
        }
        if let Some(p) = &mut self.probe_in_flight {
            p.indirect = Some((others.len(), 0));
        }
    }

    fn finish_probe(&mut self, now: Nanos) {
        let Some(p) = self.probe_in_flight.take() else { return };
        if p.acked {
            self.health_score = self.health_score.saturating_sub(1);
            return;
        }
        // Nobody answered that was asked: it may be this broker that can't be heard.
        if p.indirect.is_some_and(|(indirect, reachable)| indirect > 0 && reachable == 0) {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        let incarnation = self.peers[p.peer].incarnation;
        let local_name = self.name.clone();
        self.apply_status(p.peer, incarnation, PeerStatus::Suspect, Some(&local_name), now);
    }

    fn begin_probe(&mut self, now: Nanos) {
        self.next_sequence = self.next_sequence.wrapping_add(1);
        if self.next_sequence.is_multiple_of(DOWN_PEER_PROBE_PERIODS) {
            let down: Vec<usize> = (0..self.peers.len())
                .filter(|n| self.peers[*n].status == PeerStatus::Down && !self.peers[*n].removed)
                .collect();
            if !down.is_empty() {
                let n = down[self.rng.next_u32() as usize % down.len()];
                self.outgoing.push((n, Probe::Ping { sequence: self.next_sequence }));
            }
        }
        for _ in 0..=self.peers.len() {
            if self.probe_order.is_empty() {
                let mut all: Vec<usize> = (0..self.peers.len()).collect();
                for i in (1..all.len()).rev() {
                    all.swap(i, self.rng.next_u32() as usize % (i + 1));
                }
                self.probe_order.extend(all);
            }
            let Some(peer) = self.probe_order.pop_front() else { return };
            let p = &self.peers[peer];
            // One never heard of is probed as well: at the start that is everybody.
            if p.removed || (p.status == PeerStatus::Down && p.incarnation > 0) {
                continue;
            }
            self.next_sequence = self.next_sequence.wrapping_add(1);
            self.probe_in_flight = Some(ProbeInFlight {
                peer,
                sequence: self.next_sequence,
                started: now,
                acked: false,
                indirect: None,
            });
            self.outgoing.push((peer, Probe::Ping { sequence: self.next_sequence }));
            return;
        }
    }

    // ---- what others say ----

    /// A peer spoke, under this incarnation.
    pub fn on_message(&mut self, from: usize, incarnation: u64, probe: &Probe, now: Nanos) {
        let now = self.local_time(now);
        self.peers[from].has_stale_incarnation = incarnation < self.peers[from].incarnation;
        self.apply_status(from, incarnation, PeerStatus::Alive, None, now);
        match probe {
            Probe::Gossip => {}
            Probe::Ping { sequence } => self.outgoing.push((from, Probe::Ack { sequence: *sequence })),
            Probe::Ack { sequence } => {
                if let Some(p) = self.probe_in_flight.as_mut().filter(|p| p.sequence == *sequence) {
                    p.acked = true;
                }
                if let Some(relay) = self.relayed_pings.remove(sequence) {
                    self.outgoing.push((relay.requester, Probe::Ack { sequence: relay.sequence }));
                }
            }
            Probe::Nack { sequence } => {
                if let Some((_, reachable)) = self
                    .probe_in_flight
                    .as_mut()
                    .filter(|p| p.sequence == *sequence)
                    .and_then(|p| p.indirect.as_mut())
                {
                    *reachable += 1;
                }
            }
            Probe::PingRequest { sequence, name } => {
                if let Some(peer) = self.peer_index(name).filter(|p| *p != from && !self.peers[*p].removed)
                    && self.relayed_pings.len() < MAX_RELAYED_PINGS
                {
                    self.next_sequence = self.next_sequence.wrapping_add(1);
                    let expires = now + self.settings.probe_timeout;
                    self.relayed_pings.insert(
                        self.next_sequence,
                        RelayedPing { requester: from, sequence: *sequence, expires },
                    );
                    self.outgoing.push((peer, Probe::Ping { sequence: self.next_sequence }));
                }
            }
        }
    }

    /// What a peer says of others, and of this broker.
    pub fn on_status_updates(&mut self, from: &str, updates: &[StatusUpdate], now: Nanos) {
        let now = self.local_time(now);
        for r in updates {
            if r.name == self.name {
                let doubted = r.status != PeerStatus::Alive && r.incarnation >= self.incarnation;
                // Known under more than it has: its clock or its disk was set back.
                if doubted || r.incarnation > self.incarnation {
                    self.incarnation = r.incarnation.saturating_add(1);
                    self.pending_updates.insert(None, rounds(self.cluster_size()));
                    self.events.push(PeerEvent::Refuted);
                }
            } else if let Some(n) = self.peer_index(&r.name) {
                self.apply_status(n, r.incarnation, r.status, Some(from), now);
            }
        }
    }

    fn apply_status(
        &mut self,
        n: usize,
        incarnation: u64,
        status: PeerStatus,
        reporter: Option<&str>,
        now: Nanos,
    ) {
        let cluster_size = self.cluster_size();
        let p = &mut self.peers[n];
        if (incarnation, status) <= (p.incarnation, p.status) {
            if let Some(s) =
                p.suspicion.as_mut().filter(|_| (incarnation, status) == (p.incarnation, p.status))
                && let Some(reporter) = reporter
                && s.confirmed_by.len() < MAX_CONFIRMATIONS + 1
                && s.confirmed_by.insert(reporter.to_owned())
            {
                self.pending_updates.insert(Some(n), rounds(cluster_size));
            }
            return;
        }
        let was = p.status;
        (p.incarnation, p.status) = (incarnation, status);
        p.suspicion = (status == PeerStatus::Suspect).then(|| Suspicion {
            started: now,
            confirmed_by: reporter.into_iter().map(str::to_owned).collect(),
        });
        self.pending_updates.insert(Some(n), rounds(cluster_size));
        match status {
            _ if was == status => {}
            PeerStatus::Alive => self.events.push(PeerEvent::Up(n)),
            PeerStatus::Suspect => self.events.push(PeerEvent::Suspected(n)),
            PeerStatus::Down => self.events.push(PeerEvent::Down(n)),
        }
    }

    fn status_update(&self, about: Option<usize>) -> StatusUpdate {
        let (name, incarnation, status) = match about {
            None => (&self.name, self.incarnation, PeerStatus::Alive),
            Some(n) => (&self.peers[n].name, self.peers[n].incarnation, self.peers[n].status),
        };
        StatusUpdate { name: name.clone(), incarnation, status }
    }

    /// Rumours for a datagram to this peer, as many as fit into so many bytes: first what it must hear of itself.
    pub fn updates_for(&mut self, to: usize, max_bytes: usize) -> Vec<StatusUpdate> {
        let mut order: Vec<(u32, Option<usize>)> =
            self.pending_updates.iter().map(|(about, left)| (*left, *about)).collect();
        order.sort_by(|a, b| b.cmp(a));
        let mut updates = Vec::new();
        let p = &self.peers[to];
        if p.incarnation > 0 && (p.status != PeerStatus::Alive || p.has_stale_incarnation) {
            updates.push(self.status_update(Some(to)));
        }
        let cost = |r: &StatusUpdate| r.name.len() + 13;
        let mut bytes: usize = updates.iter().map(cost).sum();
        for (left, about) in order {
            let update = self.status_update(about);
            bytes += cost(&update);
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

    /// All that is known, for one that has just come.
    pub fn all_updates(&self) -> Vec<StatusUpdate> {
        let known =
            (0..self.peers.len()).filter(|n| self.peers[*n].incarnation > 0 && !self.peers[*n].removed);
        known.map(|n| self.status_update(Some(n))).collect()
    }

    /// One more peer, which was not there before.
    pub fn add_peer(&mut self, name: &str) {
        self.index_by_name.insert(name.to_owned(), self.peers.len());
        self.peers.push(Peer::new(name));
        self.probe_order.clear();
    }

    /// These were removed for good, by name; the others were not.
    pub fn set_removed(&mut self, names: &BTreeSet<String>) {
        for p in &mut self.peers {
            p.removed = names.contains(&p.name);
            if p.removed {
                (p.status, p.suspicion) = (PeerStatus::Down, None);
            }
        }
        if self.probe_in_flight.as_ref().is_some_and(|p| self.peers[p.peer].removed) {
            self.probe_in_flight = None;
        }
    }
}
