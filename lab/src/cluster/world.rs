//! Brokers of a cluster in simulated time, with faults between them and a judge over all of them.
//!
//! The same seed plays the same history. Links lose, double, delay and reorder datagrams, and are cut in one direction or
//! both; connections keep order and stall while their link is cut. Brokers are stopped, killed and started again, with
//! their disk as it was, an old one, or none; their clocks are off.

use pebbleturn::gossip::swim::{self, PeerStatus};
use pebbleturn::gossip::{GossipNode, GossipSettings, Notification, Output, SyncStatus, codec};
use pebbleturn::replication::derived_state::DerivedState;
use pebbleturn::replication::{
    CommandValue, Dot, Fact, FactKey, FactValue, OperatorCommand, Origin, ProcessStart, StateStore,
    StoreLimits,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

pub const MS: u64 = 1_000_000;
pub const S: u64 = 1_000 * MS;
/// When a world begins, unix ns.
const BEGIN: u64 = 1_700_000_000 * S;
/// Time until a change is on disk.
const DISK: u64 = 5 * MS;

/// How links are.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// Shares of datagrams that are lost, and that come twice.
    pub loss: f64,
    pub doubled: f64,
    /// Shortest and longest time on the way.
    pub delay: (u64, u64),
}

impl Default for Links {
    fn default() -> Links {
        Links { loss: 0.0, doubled: 0.0, delay: (MS / 5, 3 * MS) }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Wake(usize),
    Kept(usize),
    Datagram { to: usize, from: SocketAddr, bytes: Vec<u8> },
    Up { node: usize, stream: u64 },
    Pump { node: usize, stream: u64 },
    Shut { node: usize, stream: u64 },
}

/// One end of a connection.
#[derive(Clone, Debug)]
struct End {
    peer: usize,
    peers_stream: u64,
    /// Bytes on their way to this end.
    coming: VecDeque<(u64, Vec<u8>)>,
}

struct Node {
    member: Option<GossipNode>,
    disk: BTreeMap<FactKey, FactValue>,
    /// Changes that are on their way to the disk.
    writing: Vec<Fact>,
    /// Words that are acknowledged once these changes are kept.
    pending: Vec<Dot>,
    skew: i64,
    next_skew: i64,
    stopped_until: u64,
    wake: Option<u64>,
    streams: BTreeMap<u64, End>,
    next_stream: u64,
    starts: u64,
    speaks: u8,
    listed: Vec<usize>,
}

/// A word that somebody was told is taken.
#[derive(Clone, Debug)]
pub struct Acknowledged {
    pub key: FactKey,
    pub dot: Dot,
    pub value: CommandValue,
    /// Words that it took the place of.
    pub ends: Vec<Dot>,
    /// A broker that had it was set back, and no disk has it any more.
    pub lost_with_disk: bool,
}

/// What was counted.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub datagrams: u64,
    pub bytes: u64,
    pub down: u64,
    /// Of brokers that ran and could be reached at the time.
    pub false_down: u64,
    pub refuted: u64,
    pub caught_up: u64,
}

pub struct World {
    pub now: u64,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    pub links: Links,
    pub cuts: BTreeSet<(usize, usize)>,
    rng: Pcg32,
    pub bounds: StoreLimits,
    pub words: Vec<Acknowledged>,
    /// Words that were said and may be acknowledged: what they ended.
    said: BTreeMap<Dot, (FactKey, CommandValue, Vec<Dot>)>,
    /// All stamps with what they stand for: one that stands for two things was used twice.
    stamps: BTreeMap<Dot, (FactKey, OperatorCommand)>,
    pub counts: Counts,
    pub bytes_of: Vec<u64>,
    /// Walks that each has begun.
    pub walks_of: Vec<u32>,
    pub wrong: Vec<String>,
    every: u64,
    brokers: usize,
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

fn number(at: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = at else { return 0 };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

pub fn name(n: usize) -> String {
    format!("b-{n:03}")
}

impl World {
    /// So many brokers, all started within a second.
    pub fn new(brokers: usize, seed: u64) -> World {
        let mut w = World::empty(brokers, seed);
        for n in 0..brokers {
            w.start(n);
        }
        w
    }

    /// So many brokers, none started.
    pub fn empty(brokers: usize, seed: u64) -> World {
        let node = |n| Node {
            member: None,
            disk: BTreeMap::new(),
            writing: Vec::new(),
            pending: Vec::new(),
            skew: 0,
            next_skew: 0,
            stopped_until: 0,
            wake: None,
            streams: BTreeMap::new(),
            next_stream: 1 << 63,
            starts: 0,
            speaks: codec::LATEST_VERSION,
            listed: (0..brokers).filter(|p| *p != n).collect(),
        };
        World {
            now: BEGIN,
            nodes: (0..brokers).map(node).collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            links: Links::default(),
            cuts: BTreeSet::new(),
            rng: Pcg32::new(seed, 0x1e55),
            bounds: StoreLimits { keep: 120 * S, ..StoreLimits::default() },
            words: Vec::new(),
            said: BTreeMap::new(),
            stamps: BTreeMap::new(),
            counts: Counts::default(),
            bytes_of: vec![0; brokers],
            walks_of: vec![0; brokers],
            wrong: Vec::new(),
            every: S,
            brokers,
        }
    }

    pub fn draw(&mut self, n: usize) -> usize {
        self.rng.next_u32() as usize % n.max(1)
    }

    fn chance(&mut self, share: f64) -> bool {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX) < share
    }

    pub fn len(&self) -> usize {
        self.brokers
    }

    pub fn is_empty(&self) -> bool {
        self.brokers == 0
    }

    pub fn member(&self, n: usize) -> Option<&GossipNode> {
        self.nodes[n].member.as_ref()
    }

    pub fn runs(&self, n: usize) -> bool {
        self.nodes[n].member.is_some() && self.nodes[n].stopped_until <= self.now
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    /// The time by a broker's own clock.
    fn clock(&self, n: usize) -> u64 {
        self.now.saturating_add_signed(self.nodes[n].skew)
    }

    // ---- what is done to brokers ----

    /// Starts a broker with what its disk has.
    pub fn start(&mut self, n: usize) {
        let seed = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        self.nodes[n].skew = self.nodes[n].next_skew;
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        node.starts += 1;
        let settings = GossipSettings {
            cluster: "kochi".into(),
            name: name(n),
            peers: node.listed.iter().map(|p| (name(*p), addr(*p))).collect(),
            swim: swim::SwimSettings {
                probe_interval: self.every,
                probe_timeout: self.every * 3 / 10,
                indirect_probes: 3,
            },
            store_limits: self.bounds,
            latest_version: node.speaks,
            seed,
        };
        let kept: Vec<Fact> = node.disk.iter().map(|(k, e)| (k.clone(), e.clone())).collect();
        // As the program does: by its clock, which may have gone back.
        let incarnation = now / MS;
        node.member = Some(GossipNode::new(settings, Origin(seed ^ n as u64), &kept, incarnation, now));
        (node.wake, node.stopped_until) = (None, 0);
        self.after(n);
    }

    /// Kills it: what was not on disk is gone.
    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.member = None;
        node.writing.clear();
        node.pending.clear();
        let ends = std::mem::take(&mut node.streams);
        let at = self.now + MS;
        for end in ends.into_values() {
            self.push(at, Event::Shut { node: end.peer, stream: end.peers_stream });
        }
    }

    /// Stops it for so long.
    pub fn stop(&mut self, n: usize, time: u64) {
        self.nodes[n].stopped_until = self.now + time;
    }

    /// Its clock is off by so much from its next start on: a process's own clock never jumps.
    pub fn set_skew(&mut self, n: usize, skew: i64) {
        self.nodes[n].next_skew = skew;
    }

    pub fn speaks(&mut self, n: usize, version: u8) {
        self.nodes[n].speaks = version;
    }

    /// The peers that its file lists; for its next start.
    pub fn lists(&mut self, n: usize, listed: Vec<usize>) {
        self.nodes[n].listed = listed;
    }

    /// What its disk has now.
    pub fn disk(&self, n: usize) -> BTreeMap<FactKey, FactValue> {
        self.nodes[n].disk.clone()
    }

    /// Sets its disk back, or makes it empty, while it does not run. Words that no other broker has are lost with it.
    pub fn set_disk(&mut self, n: usize, disk: BTreeMap<FactKey, FactValue>) {
        self.nodes[n].disk = disk;
        let known = |dot: Dot, key: &FactKey, facts: Option<&FactValue>| {
            matches!(facts, Some(FactValue::Words(r)) if r.seen().contains(dot))
                && !matches!(key, FactKey::Spent(_))
        };
        for i in 0..self.words.len() {
            let (dot, key) = (self.words[i].dot, self.words[i].key.clone());
            let held = self.nodes.iter().any(|node| {
                known(dot, &key, node.disk.get(&key))
                    || node.member.as_ref().is_some_and(|m| known(dot, &key, m.store().get(&key)))
            });
            self.words[i].lost_with_disk |= !held;
        }
    }

    /// Cuts or mends a link in one direction.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cuts.insert((from, to));
        } else {
            self.cuts.remove(&(from, to));
        }
    }

    /// Says something at a broker, by hand.
    pub fn say(&mut self, n: usize, key: &FactKey, value: CommandValue) -> Option<Dot> {
        let now = self.clock(n);
        let said = OperatorCommand {
            value: value.clone(),
            who: "staff".into(),
            why: "test".into(),
            at_broker: name(n),
            at: now,
            until: None,
        };
        let member = self.nodes[n].member.as_mut()?;
        let standing: Vec<Dot> =
            member.store().register(key).map_or(vec![], |r| r.commands().map(|(d, _)| d).collect());
        let dot = member.record(key, said.clone(), now).ok()?;
        if self.stamps.insert(dot, (key.clone(), said)).is_some() {
            self.wrong.push(format!("stamp {dot} is used twice"));
        }
        self.said.insert(dot, (key.clone(), value, standing));
        self.nodes[n].pending.push(dot);
        self.after(n);
        Some(dot)
    }

    pub fn note(&mut self, n: usize, key: FactKey, latest: ProcessStart) {
        let now = self.clock(n);
        if let Some(member) = &mut self.nodes[n].member {
            member.record_process_event(key, latest, now);
            self.after(n);
        }
    }

    /// Bytes that come to a broker out of nowhere, as if from that address.
    pub fn inject(&mut self, n: usize, from: usize, bytes: &[u8]) {
        let now = self.clock(n);
        if let Some(member) = &mut self.nodes[n].member {
            member.on_datagram(addr(from), bytes, now);
            self.after(n);
        }
    }

    // ---- time ----

    /// Plays until this time.
    pub fn play(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            self.now = at.max(self.now);
            if let Some(event) = self.events.remove(&id) {
                self.happen(event);
            }
        }
        self.now = until;
    }

    pub fn play_for(&mut self, time: u64) {
        self.play(self.now + time);
    }

    /// Plays until something holds, or the time is over.
    pub fn until(&mut self, most: u64, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + most;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.play(self.now + 10 * MS);
        }
        holds(self)
    }

    fn happen(&mut self, event: Event) {
        let node = match &event {
            Event::Wake(n) | Event::Kept(n) => *n,
            Event::Datagram { to, .. } => *to,
            Event::Up { node, .. } | Event::Pump { node, .. } | Event::Shut { node, .. } => *node,
        };
        if self.nodes[node].stopped_until > self.now {
            let at = self.nodes[node].stopped_until;
            return self.push(at, event);
        }
        let now = self.clock(node);
        match event {
            Event::Wake(n) => {
                if self.nodes[n].wake != Some(self.now) {
                    // A later word moved it.
                    if self.nodes[n].wake.is_some_and(|w| w > self.now) {
                        return;
                    }
                }
                self.nodes[n].wake = None;
                if let Some(m) = &mut self.nodes[n].member {
                    m.tick(now);
                }
            }
            Event::Kept(n) => self.kept(n),
            Event::Datagram { to, from, bytes } => {
                if let Some(m) = &mut self.nodes[to].member {
                    m.on_datagram(from, &bytes, now);
                }
            }
            Event::Up { node, stream } => {
                if self.nodes[node].streams.contains_key(&stream)
                    && let Some(m) = &mut self.nodes[node].member
                {
                    m.on_connected(stream, now);
                }
            }
            Event::Pump { node, stream } => self.pump(node, stream, now),
            Event::Shut { node, stream } => {
                self.nodes[node].streams.remove(&stream);
                if let Some(m) = &mut self.nodes[node].member {
                    m.on_closed(stream, now);
                }
            }
        }
        self.after(node);
    }

    fn pump(&mut self, node: usize, stream: u64, now: u64) {
        let at = self.now;
        let Some(end) = self.nodes[node].streams.get_mut(&stream) else { return };
        let peer = end.peer;
        if self.cuts.contains(&(peer, node)) || self.cuts.contains(&(node, peer)) {
            return self.push(at + 200 * MS, Event::Pump { node, stream });
        }
        let mut frames = Vec::new();
        while let Some((_, bytes)) = end.coming.pop_front_if(|(t, _)| *t <= at) {
            frames.push(bytes);
        }
        if let Some((t, _)) = end.coming.front() {
            let t = *t;
            self.push(t, Event::Pump { node, stream });
        }
        for bytes in frames {
            let end = codec::frame_end(&bytes).unwrap().unwrap();
            assert_eq!(end, bytes.len());
            if let Some(m) = &mut self.nodes[node].member {
                m.on_frame(stream, addr(peer), &bytes[4..], now);
            }
        }
    }

    fn kept(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        for (key, entry) in std::mem::take(&mut node.writing) {
            node.disk.insert(key, entry);
        }
        let pending = std::mem::take(&mut node.pending);
        for dot in pending {
            let Some((key, value, ended)) = self.said.remove(&dot) else { continue };
            self.words.push(Acknowledged { key, dot, value, ends: ended, lost_with_disk: false });
        }
        // What was said but never acknowledged ends words too, if it lives on: nobody was promised either.
    }

    /// What follows from whatever a broker was told.
    fn after(&mut self, n: usize) {
        while let Some(out) = self.nodes[n].member.as_mut().and_then(GossipNode::take_output) {
            self.output(n, out);
        }
        while let Some(told) = self.nodes[n].member.as_mut().and_then(GossipNode::take_notification) {
            self.told(n, told);
        }
        let Some(m) = &mut self.nodes[n].member else { return };
        while m.take_updated_server().is_some() {}
        if m.has_duplicate_origin() {
            let origin = Origin(u64::from(self.rng.next_u32()));
            m.replace_origin(origin);
        }
        let facts = m.take_unpersisted(usize::MAX);
        if !facts.is_empty() {
            self.nodes[n].writing.extend(facts);
            self.push(self.now + DISK, Event::Kept(n));
        }
        let now = self.clock(n);
        let Some(m) = &mut self.nodes[n].member else { return };
        let due = m.next_deadline(now).saturating_sub(now).max(MS / 10) + self.now;
        if self.nodes[n].wake.is_none_or(|w| due < w || w < self.now) {
            self.nodes[n].wake = Some(due);
            self.push(due, Event::Wake(n));
        }
    }

    fn told(&mut self, n: usize, told: Notification) {
        match told {
            Notification::PeerDown(peer) => {
                self.counts.down += 1;
                let p = (0..self.brokers).find(|p| name(*p) == peer).unwrap_or(0);
                if self.runs(p) && !self.cuts.contains(&(n, p)) && !self.cuts.contains(&(p, n)) {
                    self.counts.false_down += 1;
                }
            }
            Notification::Refuted => self.counts.refuted += 1,
            Notification::CaughtUp(_) => self.counts.caught_up += 1,
            _ => {}
        }
    }

    fn delay(&mut self) -> u64 {
        let (least, most) = self.links.delay;
        least + u64::from(self.rng.next_u32()) % (most - least).max(1)
    }

    fn output(&mut self, n: usize, out: Output) {
        match out {
            Output::Datagram { to, bytes } => {
                let to = number(to);
                self.counts.datagrams += 1;
                self.counts.bytes += bytes.len() as u64;
                self.bytes_of[n] += bytes.len() as u64;
                if self.cuts.contains(&(n, to)) || self.chance(self.links.loss) {
                    return;
                }
                let copies = if self.chance(self.links.doubled) { 2 } else { 1 };
                for _ in 0..copies {
                    let at = self.now + self.delay();
                    self.push(at, Event::Datagram { to, from: addr(n), bytes: bytes.clone() });
                }
            }
            Output::Dial { stream, to } => {
                self.walks_of[n] += 1;
                let to = number(to);
                if self.nodes[to].member.is_none() {
                    return self.push(self.now + MS, Event::Shut { node: n, stream });
                }
                // A cut link swallows it: the one who dials gives up by itself.
                if self.cuts.contains(&(n, to))
                    || self.cuts.contains(&(to, n))
                    || self.nodes[to].stopped_until > self.now
                {
                    return;
                }
                let theirs = self.nodes[to].next_stream;
                self.nodes[to].next_stream += 1;
                let end = |peer, peers_stream| End { peer, peers_stream, coming: VecDeque::new() };
                self.nodes[n].streams.insert(stream, end(to, theirs));
                self.nodes[to].streams.insert(theirs, end(n, stream));
                let now = self.clock(to);
                if let Some(m) = &mut self.nodes[to].member {
                    m.on_accepted(theirs, addr(n), now);
                }
                self.after(to);
                let at = self.now + self.delay();
                self.push(at, Event::Up { node: n, stream });
            }
            Output::Send { stream, bytes } => {
                self.counts.bytes += bytes.len() as u64;
                self.bytes_of[n] += bytes.len() as u64;
                let at = self.now + self.delay();
                let Some((peer, theirs)) =
                    self.nodes[n].streams.get(&stream).map(|e| (e.peer, e.peers_stream))
                else {
                    return;
                };
                if let Some(end) = self.nodes[peer].streams.get_mut(&theirs) {
                    let at = end.coming.back().map_or(at, |(t, _)| at.max(*t));
                    end.coming.push_back((at, bytes));
                    self.push(at, Event::Pump { node: peer, stream: theirs });
                }
            }
            Output::Close { stream } => {
                if let Some(end) = self.nodes[n].streams.remove(&stream) {
                    // Behind what is still on its way.
                    self.push(self.now + 20 * MS, Event::Shut { node: end.peer, stream: end.peers_stream });
                }
            }
        }
    }

    // ---- the judge ----

    /// All that run have equal copies.
    pub fn equal(&self) -> bool {
        let mut roots = self.nodes.iter().filter_map(|n| Some(n.member.as_ref()?.store().tree().root()));
        let first = roots.next();
        roots.all(|r| Some(r) == first)
    }

    /// All that run know this word.
    pub fn known_to(&self, key: &FactKey, dot: Dot) -> usize {
        let knows = |m: &&GossipNode| m.store().register(key).is_some_and(|r| r.seen().contains(dot));
        self.nodes.iter().filter_map(|n| n.member.as_ref()).filter(knows).count()
    }

    /// What holds everywhere must follow from what was acknowledged: to be asked when all copies are equal.
    pub fn judge(&mut self) {
        let Some(copy) = self.nodes.iter().find_map(|n| n.member.as_ref()).map(|m| m.store().clone()) else {
            return;
        };
        for n in &self.nodes {
            if let Some(m) = &n.member
                && m.store().bytes() != copy.bytes()
            {
                self.wrong.push("copies differ in their bytes".into());
            }
        }
        let stands =
            |key: &FactKey, dot: Dot| copy.register(key).is_some_and(|r| r.commands().any(|(d, _)| d == dot));
        for w in &self.words {
            let ended = self.words.iter().any(|later| later.ends.contains(&w.dot) && !later.lost_with_disk);
            if ended && stands(&w.key, w.dot) {
                self.wrong.push(format!("{} of {} came back", w.dot, w.key));
            }
            let lost = w.value == CommandValue::Out && !ended && !w.lost_with_disk && !stands(&w.key, w.dot);
            // Somebody may have ended it by a word that was never acknowledged and yet lives.
            let ended_unheard = copy.register(&w.key).is_some_and(|r| {
                r.commands().any(|(d, _)| d != w.dot && !self.words.iter().any(|o| o.dot == d))
            });
            if lost && !ended_unheard {
                self.wrong.push(format!("{} of {} was acknowledged and is forgotten", w.dot, w.key));
            }
        }
        for (key, register) in copy.registers() {
            for (dot, said) in register.commands() {
                if self.stamps.get(&dot).is_none_or(|(k, s)| k != key || s != said) {
                    self.wrong.push(format!("{dot} of {key} was never said"));
                }
            }
        }
    }

    /// How all stand, for a failing test.
    pub fn tell(&self) -> String {
        let one = |(n, node): (usize, &Node)| match &node.member {
            None => format!("{n}: does not run"),
            Some(m) => {
                let peers: Vec<String> = m
                    .peers(self.clock(n))
                    .map(|p| {
                        format!("{} {:?} {:?} {:?}", p.name, p.status, p.is_in_sync, p.since_last_received)
                    })
                    .collect();
                format!(
                    "{n}: {:?}, skew {}, root {:x}, {} facts, {peers:?}",
                    m.sync_status(),
                    node.skew,
                    m.store().tree().root(),
                    m.store().len()
                )
            }
        };
        self.nodes.iter().enumerate().map(one).collect::<Vec<_>>().join("\n")
    }

    /// Names of brokers that this one takes for up.
    pub fn up_at(&self, n: usize) -> usize {
        let now = self.clock(n);
        self.nodes[n]
            .member
            .as_ref()
            .map_or(0, |m| m.peers(now).filter(|p| p.status == PeerStatus::Alive).count())
    }

    pub fn caught_up(&self, n: usize) -> bool {
        self.nodes[n].member.as_ref().is_some_and(|m| m.sync_status() == SyncStatus::CaughtUp)
    }

    /// What holds for a broker.
    pub fn effect(&self, n: usize) -> DerivedState {
        self.nodes[n].member.as_ref().map(|m| m.derived_state().clone()).unwrap_or_default()
    }

    /// Fills a broker's disk with so many words, as if they had been said at it long ago.
    pub fn fill(&mut self, n: usize, facts: usize) {
        let mut copy = StateStore::new(Origin(0xf111 + n as u64), StoreLimits::default());
        for i in 0..facts {
            let key = FactKey::Server(format!("s-{i:05}"));
            let said = OperatorCommand {
                value: CommandValue::Out,
                who: "staff".into(),
                why: "filled".into(),
                at_broker: name(n),
                at: BEGIN,
                until: None,
            };
            if let Ok(dot) = copy.record(&key, said.clone()) {
                self.stamps.insert(dot, (key, said));
            }
        }
        self.nodes[n].disk = copy.facts().map(|(k, e)| (k.clone(), e.clone())).collect();
    }
}
