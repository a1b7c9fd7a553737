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
use crate::replication::rumor_queue::dissemination_rounds;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Times of the probing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimSettings {
    /// Time between two probes.
    pub every: Nanos,
    /// Time after which others are asked to try.
    pub timeout: Nanos,
    /// How many others.
    pub indirect: usize,
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
    News,
    /// Asks for an answer.
    Ping { n: u32 },
    /// The answer.
    Ack { n: u32 },
    /// Asks to ping another.
    Ask { n: u32, name: String },
    /// The other did not answer, but the one asked is there.
    Nack { n: u32 },
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
    Late(Nanos),
}

/// How late a call may come before the time counts as one in which this process did not run.
const SLACK: Nanos = 100_000_000;
/// Worst score of one's own slowness. It multiplies times.
const WORST: u32 = 7;
/// Suspicion lasts so many periods for each decade of brokers, and up to so many times that while nobody shares it.
const SUSPICION: (f64, f64) = (4.0, 6.0);
/// How many that share a suspicion shorten it to its least time.
const SHARED_BY: usize = 3;
/// Pings on others' behalf that are under way at most.
const RELAYS: usize = 64;
/// A peer that is down is pinged in one period of so many, beside the usual probe.
const DOWN_EVERY: u32 = 4;

#[derive(Clone, Debug)]
struct Suspicion {
    since: Nanos,
    by: BTreeSet<String>,
}

#[derive(Clone, Debug)]
struct Peer {
    name: String,
    incarnation: u64,
    status: PeerStatus,
    suspicion: Option<Suspicion>,
    /// It speaks under a lower incarnation than is known of it: it must be told.
    behind: bool,
    removed: bool,
}

impl Peer {
    fn new(name: &str) -> Peer {
        let (incarnation, status) = (0, PeerStatus::Down);
        Peer { name: name.to_owned(), incarnation, status, suspicion: None, behind: false, removed: false }
    }
}

#[derive(Clone, Debug)]
struct Probing {
    peer: usize,
    n: u32,
    since: Nanos,
    acked: bool,
    /// Others were asked, and how many of them say that they are there.
    asked: Option<(usize, usize)>,
}

#[derive(Clone, Debug)]
struct Relay {
    for_whom: usize,
    n: u32,
    until: Nanos,
}

/// One broker's view of its peers.
#[derive(Clone, Debug)]
pub struct Swim {
    settings: SwimSettings,
    name: String,
    incarnation: u64,
    peers: Vec<Peer>,
    by_name: BTreeMap<String, usize>,
    order: VecDeque<usize>,
    probing: Option<Probing>,
    relays: BTreeMap<u32, Relay>,
    next: Nanos,
    count: u32,
    /// Rumours still to be told on: about a peer, or about oneself.
    rumours: BTreeMap<Option<usize>, u32>,
    health: u32,
    /// Time in which this process did not run.
    stood: Nanos,
    out: Vec<(usize, Probe)>,
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
            by_name: peers.iter().enumerate().map(|(n, p)| (p.clone(), n)).collect(),
            order: VecDeque::new(),
            probing: None,
            relays: BTreeMap::new(),
            next: now,
            count: 0,
            rumours: BTreeMap::new(),
            health: 0,
            stood: 0,
            out: Vec::new(),
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
    pub fn incarnation_of(&self, peer: usize) -> u64 {
        self.peers[peer].incarnation
    }

    /// How slow this broker finds itself, from 0 to 7.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// The number of a peer.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Brokers, this one among them, without those removed.
    pub fn brokers(&self) -> usize {
        1 + self.peers.iter().filter(|p| !p.removed).count()
    }

    /// Up to `n` peers drawn at random among those that are not down.
    pub fn draw(&mut self, n: usize, but: Option<usize>) -> Vec<usize> {
        let up = |(_, p): &(usize, &Peer)| p.status != PeerStatus::Down && !p.removed;
        let mut all: Vec<usize> = self.peers.iter().enumerate().filter(up).map(|(n, _)| n).collect();
        all.retain(|p| Some(*p) != but);
        let n = n.min(all.len());
        for i in 0..n {
            let j = i + self.rng.next_u32() as usize % (all.len() - i);
            all.swap(i, j);
        }
        all.truncate(n);
        all
    }

    /// Any peer that was not removed, up or not.
    pub fn any(&mut self) -> Option<usize> {
        let all: Vec<usize> = (0..self.peers.len()).filter(|n| !self.peers[*n].removed).collect();
        if all.is_empty() { None } else { Some(all[self.rng.next_u32() as usize % all.len()]) }
    }

    /// A random time of at most so long.
    pub fn jitter(&mut self, most: Nanos) -> Nanos {
        u64::from(self.rng.next_u32()) % most.max(1)
    }

    /// What has become of peers since this was last asked.
    pub fn take_events(&mut self) -> Vec<PeerEvent> {
        std::mem::take(&mut self.events)
    }

    /// What is to be sent.
    pub fn take_out(&mut self) -> Vec<(usize, Probe)> {
        std::mem::take(&mut self.out)
    }

    /// When `tick` is next worth calling.
    pub fn due(&self) -> Nanos {
        self.deadline().saturating_add(self.stood)
    }

    fn deadline(&self) -> Nanos {
        let asks =
            self.probing.iter().filter(|p| !p.acked && p.asked.is_none()).map(|p| p.since + self.timeout());
        let ends = self.peers.iter().filter_map(|p| Some(self.ends(p.suspicion.as_ref()?)));
        asks.chain(ends)
            .chain(self.relays.values().map(|r| r.until))
            .chain([self.next])
            .min()
            .unwrap_or(self.next)
    }

    // ---- time ----

    /// This process's own time: what it was called late by does not count.
    fn own(&mut self, now: Nanos) -> Nanos {
        let late = now.saturating_sub(self.due());
        if late > SLACK {
            self.stood += late - SLACK;
            self.health = (self.health + 1).min(WORST);
            self.events.push(PeerEvent::Late(late));
        }
        now.saturating_sub(self.stood)
    }

    fn slowed(&self, time: Nanos) -> Nanos {
        time * u64::from(1 + self.health)
    }

    fn timeout(&self) -> Nanos {
        self.slowed(self.settings.timeout)
    }

    fn ends(&self, s: &Suspicion) -> Nanos {
        let brokers = self.brokers() as f64;
        let least = SUSPICION.0 * brokers.log10().max(1.0) * self.settings.every as f64;
        let most = least * SUSPICION.1;
        let needed = SHARED_BY.min(self.brokers().saturating_sub(2));
        let shared = s.by.len().min(needed) as f64;
        let span = if needed == 0 {
            least
        } else {
            most - (most - least) * (shared + 1.0).ln() / (needed as f64 + 1.0).ln()
        };
        s.since + span as Nanos
    }

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos) {
        let now = self.own(now);
        for n in 0..self.peers.len() {
            if self.peers[n].suspicion.as_ref().is_some_and(|s| self.ends(s) <= now) {
                let incarnation = self.peers[n].incarnation;
                self.believe(n, incarnation, PeerStatus::Down, None, now);
            }
        }
        while let Some((n, relay)) =
            self.relays.iter().find(|(_, r)| r.until <= now).map(|(n, r)| (*n, r.clone()))
        {
            self.relays.remove(&n);
            self.out.push((relay.for_whom, Probe::Nack { n: relay.n }));
        }
        self.ask_others(now);
        if now >= self.next {
            self.end_probe(now);
            self.begin_probe(now);
            self.next = now + self.slowed(self.settings.every);
        }
    }

    fn ask_others(&mut self, now: Nanos) {
        let timeout = self.timeout();
        let Some(p) =
            self.probing.as_ref().filter(|p| !p.acked && p.asked.is_none() && p.since + timeout <= now)
        else {
            return;
        };
        let (peer, n) = (p.peer, p.n);
        let others = self.draw(self.settings.indirect, Some(peer));
        let name = self.peers[peer].name.clone();
        for other in &others {
            self.out.push((*other, Probe::Ask { n, name: name.clone() }));
        }
        if let Some(p) = &mut self.probing {
            p.asked = Some((others.len(), 0));
        }
    }

    fn end_probe(&mut self, now: Nanos) {
        let Some(p) = self.probing.take() else { return };
        if p.acked {
            self.health = self.health.saturating_sub(1);
            return;
        }
        // Nobody answered that was asked: it may be this broker that can't be heard.
        if p.asked.is_some_and(|(asked, there)| asked > 0 && there == 0) {
            self.health = (self.health + 1).min(WORST);
        }
        let incarnation = self.peers[p.peer].incarnation;
        let own = self.name.clone();
        self.believe(p.peer, incarnation, PeerStatus::Suspect, Some(&own), now);
    }

    fn begin_probe(&mut self, now: Nanos) {
        self.count = self.count.wrapping_add(1);
        if self.count.is_multiple_of(DOWN_EVERY) {
            let down: Vec<usize> = (0..self.peers.len())
                .filter(|n| self.peers[*n].status == PeerStatus::Down && !self.peers[*n].removed)
                .collect();
            if !down.is_empty() {
                let n = down[self.rng.next_u32() as usize % down.len()];
                self.out.push((n, Probe::Ping { n: self.count }));
            }
        }
        for _ in 0..=self.peers.len() {
            if self.order.is_empty() {
                let mut all: Vec<usize> = (0..self.peers.len()).collect();
                for i in (1..all.len()).rev() {
                    all.swap(i, self.rng.next_u32() as usize % (i + 1));
                }
                self.order.extend(all);
            }
            let Some(peer) = self.order.pop_front() else { return };
            let p = &self.peers[peer];
            // One never heard of is probed as well: at the start that is everybody.
            if p.removed || (p.status == PeerStatus::Down && p.incarnation > 0) {
                continue;
            }
            self.count = self.count.wrapping_add(1);
            self.probing = Some(Probing { peer, n: self.count, since: now, acked: false, asked: None });
            self.out.push((peer, Probe::Ping { n: self.count }));
            return;
        }
    }

    // ---- what others say ----

    /// A peer spoke, under this incarnation.
    pub fn heard(&mut self, from: usize, incarnation: u64, probe: &Probe, now: Nanos) {
        let now = self.own(now);
        self.peers[from].behind = incarnation < self.peers[from].incarnation;
        self.believe(from, incarnation, PeerStatus::Alive, None, now);
        match probe {
            Probe::News => {}
            Probe::Ping { n } => self.out.push((from, Probe::Ack { n: *n })),
            Probe::Ack { n } => {
                if let Some(p) = self.probing.as_mut().filter(|p| p.n == *n) {
                    p.acked = true;
                }
                if let Some(relay) = self.relays.remove(n) {
                    self.out.push((relay.for_whom, Probe::Ack { n: relay.n }));
                }
            }
            Probe::Nack { n } => {
                if let Some((_, there)) =
                    self.probing.as_mut().filter(|p| p.n == *n).and_then(|p| p.asked.as_mut())
                {
                    *there += 1;
                }
            }
            Probe::Ask { n, name } => {
                if let Some(peer) = self.number(name).filter(|p| *p != from && !self.peers[*p].removed)
                    && self.relays.len() < RELAYS
                {
                    self.count = self.count.wrapping_add(1);
                    let until = now + self.settings.timeout;
                    self.relays.insert(self.count, Relay { for_whom: from, n: *n, until });
                    self.out.push((peer, Probe::Ping { n: self.count }));
                }
            }
        }
    }

    /// What a peer says of others, and of this broker.
    pub fn rumours(&mut self, from: &str, rumours: &[StatusUpdate], now: Nanos) {
        let now = self.own(now);
        for r in rumours {
            if r.name == self.name {
                let doubted = r.status != PeerStatus::Alive && r.incarnation >= self.incarnation;
                // Known under more than it has: its clock or its disk was set back.
                if doubted || r.incarnation > self.incarnation {
                    self.incarnation = r.incarnation.saturating_add(1);
                    self.rumours.insert(None, dissemination_rounds(self.brokers()));
                    self.events.push(PeerEvent::Refuted);
                }
            } else if let Some(n) = self.number(&r.name) {
                self.believe(n, r.incarnation, r.status, Some(from), now);
            }
        }
    }

    fn believe(&mut self, n: usize, incarnation: u64, status: PeerStatus, by: Option<&str>, now: Nanos) {
        let brokers = self.brokers();
        let p = &mut self.peers[n];
        if (incarnation, status) <= (p.incarnation, p.status) {
            if let Some(s) =
                p.suspicion.as_mut().filter(|_| (incarnation, status) == (p.incarnation, p.status))
                && let Some(by) = by
                && s.by.len() < SHARED_BY + 1
                && s.by.insert(by.to_owned())
            {
                self.rumours.insert(Some(n), dissemination_rounds(brokers));
            }
            return;
        }
        let was = p.status;
        (p.incarnation, p.status) = (incarnation, status);
        p.suspicion = (status == PeerStatus::Suspect)
            .then(|| Suspicion { since: now, by: by.into_iter().map(str::to_owned).collect() });
        self.rumours.insert(Some(n), dissemination_rounds(brokers));
        match status {
            _ if was == status => {}
            PeerStatus::Alive => self.events.push(PeerEvent::Up(n)),
            PeerStatus::Suspect => self.events.push(PeerEvent::Suspected(n)),
            PeerStatus::Down => self.events.push(PeerEvent::Down(n)),
        }
    }

    fn rumour(&self, about: Option<usize>) -> StatusUpdate {
        let (name, incarnation, status) = match about {
            None => (&self.name, self.incarnation, PeerStatus::Alive),
            Some(n) => (&self.peers[n].name, self.peers[n].incarnation, self.peers[n].status),
        };
        StatusUpdate { name: name.clone(), incarnation, status }
    }

    /// Rumours for a datagram to this peer, as many as fit into so many bytes: first what it must hear of itself.
    pub fn rumours_for(&mut self, to: usize, room: usize) -> Vec<StatusUpdate> {
        let mut order: Vec<(u32, Option<usize>)> =
            self.rumours.iter().map(|(about, left)| (*left, *about)).collect();
        order.sort_by(|a, b| b.cmp(a));
        let mut told = Vec::new();
        let p = &self.peers[to];
        if p.incarnation > 0 && (p.status != PeerStatus::Alive || p.behind) {
            told.push(self.rumour(Some(to)));
        }
        let cost = |r: &StatusUpdate| r.name.len() + 13;
        let mut bytes: usize = told.iter().map(cost).sum();
        for (left, about) in order {
            let rumour = self.rumour(about);
            bytes += cost(&rumour);
            if bytes > room {
                break;
            }
            if left <= 1 {
                self.rumours.remove(&about);
            } else {
                self.rumours.insert(about, left - 1);
            }
            if about != Some(to) {
                told.push(rumour);
            }
        }
        told
    }

    /// All that is known, for one that has just come.
    pub fn all(&self) -> Vec<StatusUpdate> {
        let known =
            (0..self.peers.len()).filter(|n| self.peers[*n].incarnation > 0 && !self.peers[*n].removed);
        known.map(|n| self.rumour(Some(n))).collect()
    }

    /// One more peer, which was not there before.
    pub fn add(&mut self, name: &str) {
        self.by_name.insert(name.to_owned(), self.peers.len());
        self.peers.push(Peer::new(name));
        self.order.clear();
    }

    /// These were removed for good, by name; the others were not.
    pub fn removed(&mut self, names: &BTreeSet<String>) {
        for p in &mut self.peers {
            p.removed = names.contains(&p.name);
            if p.removed {
                (p.status, p.suspicion) = (PeerStatus::Down, None);
            }
        }
        if self.probing.as_ref().is_some_and(|p| self.peers[p.peer].removed) {
            self.probing = None;
        }
    }
}
