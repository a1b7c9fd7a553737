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

pub const MILLISECOND: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MILLISECOND;
/// When a world begins, unix ns.
const START_TIME: u64 = 1_700_000_000 * SECOND;
/// Time until a change is on disk.
const DISK_WRITE_TIME: u64 = 5 * MILLISECOND;

/// How links are.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// Shares of datagrams that are lost, and that come twice.
    pub loss: f64,
    pub duplication: f64,
    /// Shortest and longest time on the way.
    pub delay: (u64, u64),
}

impl Default for LinkConditions {
    fn default() -> LinkConditions {
        LinkConditions { loss: 0.0, duplication: 0.0, delay: (MILLISECOND / 5, 3 * MILLISECOND) }
    }
}

#[derive(Clone, Debug)]
enum Event {
    Wakeup(usize),
    Persisted(usize),
    Datagram { to: usize, from: SocketAddr, bytes: Vec<u8> },
    Connected { node: usize, stream: u64 },
    DeliverFrames { node: usize, stream: u64 },
    Closed { node: usize, stream: u64 },
}

/// One end of a connection.
#[derive(Clone, Debug)]
struct StreamEnd {
    peer: usize,
    peer_stream: u64,
    /// Bytes on their way to this end.
    in_transit: VecDeque<(u64, Vec<u8>)>,
}

struct Node {
    member: Option<GossipNode>,
    disk: BTreeMap<FactKey, FactValue>,
    /// Changes that are on their way to the disk.
    writing: Vec<Fact>,
    /// Words that are acknowledged once these changes are kept.
    unacknowledged: Vec<Dot>,
    clock_skew: i64,
    next_clock_skew: i64,
    paused_until: u64,
    next_wakeup: Option<u64>,
    streams: BTreeMap<u64, StreamEnd>,
    next_stream: u64,
    starts: u64,
    latest_version: u8,
    listed: Vec<usize>,
}

/// A word that somebody was told is taken.
#[derive(Clone, Debug)]
pub struct Acknowledged {
    pub key: FactKey,
    pub dot: Dot,
    pub value: CommandValue,
    /// Words that it took the place of.
    pub supersedes: Vec<Dot>,
    /// A broker that had it was set back, and no disk has it any more.
    pub lost_with_disk: bool,
}

/// What was counted.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub datagrams: u64,
    pub bytes: u64,
    pub peers_down: u64,
    /// Of brokers that ran and could be reached at the time.
    pub false_positives: u64,
    pub refutations: u64,
    pub completed_catch_ups: u64,
}

pub struct SimulatedCluster {
    pub now: u64,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
    pub links: LinkConditions,
    pub cut_links: BTreeSet<(usize, usize)>,
    rng: Pcg32,
    pub store_limits: StoreLimits,
    pub acknowledged: Vec<Acknowledged>,
    /// Words that were said and may be acknowledged: what they ended.
    recorded: BTreeMap<Dot, (FactKey, CommandValue, Vec<Dot>)>,
    /// All stamps with what they stand for: one that stands for two things was used twice.
    commands_by_dot: BTreeMap<Dot, (FactKey, OperatorCommand)>,
    pub counts: Counts,
    pub bytes_sent: Vec<u64>,
    /// Walks that each has begun.
    pub sessions_begun: Vec<u32>,
    pub violations: Vec<String>,
    probe_interval: u64,
    brokers: usize,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

fn index_of(at: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = at else { return 0 };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

pub fn name(n: usize) -> String {
    format!("b-{n:03}")
}

impl SimulatedCluster {
    /// So many brokers, all started within a second.
    pub fn new(brokers: usize, seed: u64) -> SimulatedCluster {
        let mut cluster = SimulatedCluster::empty(brokers, seed);
        for n in 0..brokers {
            cluster.start(n);
        }
        cluster
    }

    /// So many brokers, none started.
    pub fn empty(brokers: usize, seed: u64) -> SimulatedCluster {
        let node = |n| Node {
            member: None,
            disk: BTreeMap::new(),
            writing: Vec::new(),
            unacknowledged: Vec::new(),
            clock_skew: 0,
            next_clock_skew: 0,
            paused_until: 0,
            next_wakeup: None,
            streams: BTreeMap::new(),
            next_stream: 1 << 63,
            starts: 0,
            latest_version: codec::LATEST_VERSION,
            listed: (0..brokers).filter(|p| *p != n).collect(),
        };
        SimulatedCluster {
            now: START_TIME,
            nodes: (0..brokers).map(node).collect(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            links: LinkConditions::default(),
            cut_links: BTreeSet::new(),
            rng: Pcg32::new(seed, 0x1e55),
            store_limits: StoreLimits { keep: 120 * SECOND, ..StoreLimits::default() },
            acknowledged: Vec::new(),
            recorded: BTreeMap::new(),
            commands_by_dot: BTreeMap::new(),
            counts: Counts::default(),
            bytes_sent: vec![0; brokers],
            sessions_begun: vec![0; brokers],
            violations: Vec::new(),
            probe_interval: SECOND,
            brokers,
        }
    }

    pub fn random_below(&mut self, limit: usize) -> usize {
        self.rng.next_u32() as usize % limit.max(1)
    }

    fn chance(&mut self, probability: f64) -> bool {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX) < probability
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

    pub fn is_running(&self, n: usize) -> bool {
        self.nodes[n].member.is_some() && self.nodes[n].paused_until <= self.now
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((at, self.last_event)));
    }

    /// The time by a broker's own clock.
    fn local_time(&self, n: usize) -> u64 {
        self.now.saturating_add_signed(self.nodes[n].clock_skew)
    }

    // ---- what is done to brokers ----

    /// Starts a broker with what its disk has.
    pub fn start(&mut self, n: usize) {
        let seed = u64::from(self.rng.next_u32()) << 32 | u64::from(self.rng.next_u32());
        self.nodes[n].clock_skew = self.nodes[n].next_clock_skew;
        let now = self.local_time(n);
        let node = &mut self.nodes[n];
        node.starts += 1;
        let settings = GossipSettings {
            cluster: "kochi".into(),
            name: name(n),
            peers: node.listed.iter().map(|p| (name(*p), address(*p))).collect(),
            swim: swim::SwimSettings {
                probe_interval: self.probe_interval,
                probe_timeout: self.probe_interval * 3 / 10,
                indirect_probes: 3,
            },
            store_limits: self.store_limits,
            latest_version: node.latest_version,
            seed,
        };
        let persisted: Vec<Fact> = node.disk.iter().map(|(k, e)| (k.clone(), e.clone())).collect();
        // As the program does: by its clock, which may have gone back.
        let incarnation = now / MILLISECOND;
        node.member = Some(GossipNode::new(settings, Origin(seed ^ n as u64), &persisted, incarnation, now));
        (node.next_wakeup, node.paused_until) = (None, 0);
        self.drain_outputs(n);
    }

    /// Kills it: what was not on disk is gone.
    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.member = None;
        node.writing.clear();
        node.unacknowledged.clear();
        let ends = std::mem::take(&mut node.streams);
        let at = self.now + MILLISECOND;
        for end in ends.into_values() {
            self.schedule(at, Event::Closed { node: end.peer, stream: end.peer_stream });
        }
    }

    /// Stops it for so long.
    pub fn pause(&mut self, n: usize, span: u64) {
        self.nodes[n].paused_until = self.now + span;
    }

    /// Its clock is off by so much from its next start on: a process's own clock never jumps.
    pub fn set_clock_skew(&mut self, n: usize, clock_skew: i64) {
        self.nodes[n].next_clock_skew = clock_skew;
    }

    pub fn set_latest_version(&mut self, n: usize, version: u8) {
        self.nodes[n].latest_version = version;
    }

    /// The peers that its file lists; for its next start.
    pub fn set_listed_peers(&mut self, n: usize, listed: Vec<usize>) {
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
        for i in 0..self.acknowledged.len() {
            let (dot, key) = (self.acknowledged[i].dot, self.acknowledged[i].key.clone());
            let is_known = self.nodes.iter().any(|node| {
                known(dot, &key, node.disk.get(&key))
                    || node.member.as_ref().is_some_and(|m| known(dot, &key, m.store().get(&key)))
            });
            self.acknowledged[i].lost_with_disk |= !is_known;
        }
    }

    /// Cuts or mends a link in one direction.
    pub fn set_link_cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cut_links.insert((from, to));
        } else {
            self.cut_links.remove(&(from, to));
        }
    }

    /// Says something at a broker, by hand.
    pub fn record(&mut self, n: usize, key: &FactKey, value: CommandValue) -> Option<Dot> {
        let now = self.local_time(n);
        let command = OperatorCommand {
            value: value.clone(),
            who: "staff".into(),
            why: "test".into(),
            at_broker: name(n),
            at: now,
            until: None,
        };
        let member = self.nodes[n].member.as_mut()?;
        let current: Vec<Dot> =
            member.store().register(key).map_or(vec![], |r| r.commands().map(|(d, _)| d).collect());
        let dot = member.record(key, command.clone(), now).ok()?;
        if self.commands_by_dot.insert(dot, (key.clone(), command)).is_some() {
            self.violations.push(format!("stamp {dot} is used twice"));
        }
        self.recorded.insert(dot, (key.clone(), value, current));
        self.nodes[n].unacknowledged.push(dot);
        self.drain_outputs(n);
        Some(dot)
    }

    pub fn record_process_event(&mut self, n: usize, key: FactKey, latest: ProcessStart) {
        let now = self.local_time(n);
        if let Some(member) = &mut self.nodes[n].member {
            member.record_process_event(key, latest, now);
            self.drain_outputs(n);
        }
    }

    /// Bytes that come to a broker out of nowhere, as if from that address.
    pub fn inject(&mut self, n: usize, from: usize, bytes: &[u8]) {
        let now = self.local_time(n);
        if let Some(member) = &mut self.nodes[n].member {
            member.on_datagram(address(from), bytes, now);
            self.drain_outputs(n);
        }
    }

    // ---- time ----

    /// Plays until this time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)
        {
            self.queue.pop();
            self.now = at.max(self.now);
            if let Some(event) = self.events.remove(&id) {
                self.handle_event(event);
            }
        }
        self.now = until;
    }

    pub fn run_for(&mut self, span: u64) {
        self.run_until(self.now + span);
    }

    /// Plays until something holds, or the time is over.
    pub fn wait_for(&mut self, timeout: u64, condition: impl Fn(&SimulatedCluster) -> bool) -> bool {
        let end = self.now + timeout;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run_until(self.now + 10 * MILLISECOND);
        }
        condition(self)
    }

    fn handle_event(&mut self, event: Event) {
        let node = match &event {
            Event::Wakeup(n) | Event::Persisted(n) => *n,
            Event::Datagram { to, .. } => *to,
            Event::Connected { node, .. }
            | Event::DeliverFrames { node, .. }
            | Event::Closed { node, .. } => *node,
        };
        if self.nodes[node].paused_until > self.now {
            let at = self.nodes[node].paused_until;
            return self.schedule(at, event);
        }
        let now = self.local_time(node);
        match event {
            Event::Wakeup(n) => {
                if self.nodes[n].next_wakeup != Some(self.now) {
                    // A later word moved it.
                    if self.nodes[n].next_wakeup.is_some_and(|w| w > self.now) {
                        return;
                    }
                }
                self.nodes[n].next_wakeup = None;
                if let Some(m) = &mut self.nodes[n].member {
                    m.tick(now);
                }
            }
            Event::Persisted(n) => self.on_persisted(n),
            Event::Datagram { to, from, bytes } => {
                if let Some(m) = &mut self.nodes[to].member {
                    m.on_datagram(from, &bytes, now);
                }
            }
            Event::Connected { node, stream } => {
                if self.nodes[node].streams.contains_key(&stream)
                    && let Some(m) = &mut self.nodes[node].member
                {
                    m.on_connected(stream, now);
                }
            }
            Event::DeliverFrames { node, stream } => self.deliver_frames(node, stream, now),
            Event::Closed { node, stream } => {
                self.nodes[node].streams.remove(&stream);
                if let Some(m) = &mut self.nodes[node].member {
                    m.on_closed(stream, now);
                }
            }
        }
        self.drain_outputs(node);
    }

    fn deliver_frames(&mut self, node: usize, stream: u64, now: u64) {
        let at = self.now;
        let Some(end) = self.nodes[node].streams.get_mut(&stream) else { return };
        let peer = end.peer;
        if self.cut_links.contains(&(peer, node)) || self.cut_links.contains(&(node, peer)) {
            return self.schedule(at + 200 * MILLISECOND, Event::DeliverFrames { node, stream });
        }
        let mut frames = Vec::new();
        while let Some((_, bytes)) = end.in_transit.pop_front_if(|(t, _)| *t <= at) {
            frames.push(bytes);
        }
        if let Some((t, _)) = end.in_transit.front() {
            let t = *t;
            self.schedule(t, Event::DeliverFrames { node, stream });
        }
        for bytes in frames {
            let end = codec::frame_end(&bytes).unwrap().unwrap();
            assert_eq!(end, bytes.len());
            if let Some(m) = &mut self.nodes[node].member {
                m.on_frame(stream, address(peer), &bytes[4..], now);
            }
        }
    }

    fn on_persisted(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        for (key, entry) in std::mem::take(&mut node.writing) {
            node.disk.insert(key, entry);
        }
        let unacknowledged = std::mem::take(&mut node.unacknowledged);
        for dot in unacknowledged {
            let Some((key, value, superseded)) = self.recorded.remove(&dot) else { continue };
            self.acknowledged.push(Acknowledged {
                key,
                dot,
                value,
                supersedes: superseded,
                lost_with_disk: false,
            });
        }
        // What was said but never acknowledged ends words too, if it lives on: nobody was promised either.
    }

    /// What follows from whatever a broker was told.
    fn drain_outputs(&mut self, n: usize) {
        while let Some(output) = self.nodes[n].member.as_mut().and_then(GossipNode::take_output) {
            self.handle_output(n, output);
        }
        while let Some(notification) = self.nodes[n].member.as_mut().and_then(GossipNode::take_notification) {
            self.count_notification(n, notification);
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
            self.schedule(self.now + DISK_WRITE_TIME, Event::Persisted(n));
        }
        let now = self.local_time(n);
        let Some(m) = &mut self.nodes[n].member else { return };
        let due = m.next_deadline(now).saturating_sub(now).max(MILLISECOND / 10) + self.now;
        if self.nodes[n].next_wakeup.is_none_or(|w| due < w || w < self.now) {
            self.nodes[n].next_wakeup = Some(due);
            self.schedule(due, Event::Wakeup(n));
        }
    }

    fn count_notification(&mut self, n: usize, notification: Notification) {
        match notification {
            Notification::PeerDown(peer) => {
                self.counts.peers_down += 1;
                let p = (0..self.brokers).find(|p| name(*p) == peer).unwrap_or(0);
                if self.is_running(p)
                    && !self.cut_links.contains(&(n, p))
                    && !self.cut_links.contains(&(p, n))
                {
                    self.counts.false_positives += 1;
                }
            }
            Notification::Refuted => self.counts.refutations += 1,
            Notification::CaughtUp(_) => self.counts.completed_catch_ups += 1,
            _ => {}
        }
    }

    fn random_delay(&mut self) -> u64 {
        let (least, most) = self.links.delay;
        least + u64::from(self.rng.next_u32()) % (most - least).max(1)
    }

    fn handle_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Datagram { to, bytes } => {
                let to = index_of(to);
                self.counts.datagrams += 1;
                self.counts.bytes += bytes.len() as u64;
                self.bytes_sent[n] += bytes.len() as u64;
                if self.cut_links.contains(&(n, to)) || self.chance(self.links.loss) {
                    return;
                }
                let copies = if self.chance(self.links.duplication) { 2 } else { 1 };
                for _ in 0..copies {
                    let at = self.now + self.random_delay();
                    self.schedule(at, Event::Datagram { to, from: address(n), bytes: bytes.clone() });
                }
            }
            Output::Dial { stream, to } => {
                self.sessions_begun[n] += 1;
                let to = index_of(to);
                if self.nodes[to].member.is_none() {
                    return self.schedule(self.now + MILLISECOND, Event::Closed { node: n, stream });
                }
                // A cut link swallows it: the one who dials gives up by itself.
                if self.cut_links.contains(&(n, to))
                    || self.cut_links.contains(&(to, n))
                    || self.nodes[to].paused_until > self.now
                {
                    return;
                }
                let peer_stream = self.nodes[to].next_stream;
                self.nodes[to].next_stream += 1;
                let end = |peer, peer_stream| StreamEnd { peer, peer_stream, in_transit: VecDeque::new() };
                self.nodes[n].streams.insert(stream, end(to, peer_stream));
                self.nodes[to].streams.insert(peer_stream, end(n, stream));
                let now = self.local_time(to);
                if let Some(m) = &mut self.nodes[to].member {
                    m.on_accepted(peer_stream, address(n), now);
                }
                self.drain_outputs(to);
                let at = self.now + self.random_delay();
                self.schedule(at, Event::Connected { node: n, stream });
            }
            Output::Send { stream, bytes } => {
                self.counts.bytes += bytes.len() as u64;
                self.bytes_sent[n] += bytes.len() as u64;
                let at = self.now + self.random_delay();
                let Some((peer, peer_stream)) =
                    self.nodes[n].streams.get(&stream).map(|e| (e.peer, e.peer_stream))
                else {
                    return;
                };
                if let Some(end) = self.nodes[peer].streams.get_mut(&peer_stream) {
                    let at = end.in_transit.back().map_or(at, |(t, _)| at.max(*t));
                    end.in_transit.push_back((at, bytes));
                    self.schedule(at, Event::DeliverFrames { node: peer, stream: peer_stream });
                }
            }
            Output::Close { stream } => {
                if let Some(end) = self.nodes[n].streams.remove(&stream) {
                    // Behind what is still on its way.
                    self.schedule(
                        self.now + 20 * MILLISECOND,
                        Event::Closed { node: end.peer, stream: end.peer_stream },
                    );
                }
            }
        }
    }

    // ---- the judge ----

    /// All that run have equal copies.
    pub fn stores_are_equal(&self) -> bool {
        let mut roots = self.nodes.iter().filter_map(|n| Some(n.member.as_ref()?.store().tree().root()));
        let first = roots.next();
        roots.all(|r| Some(r) == first)
    }

    /// All that run know this word.
    pub fn count_knowing(&self, key: &FactKey, dot: Dot) -> usize {
        let knows = |m: &&GossipNode| m.store().register(key).is_some_and(|r| r.seen().contains(dot));
        self.nodes.iter().filter_map(|n| n.member.as_ref()).filter(knows).count()
    }

    /// What holds everywhere must follow from what was acknowledged: to be asked when all copies are equal.
    pub fn check_invariants(&mut self) {
        let Some(store) = self.nodes.iter().find_map(|n| n.member.as_ref()).map(|m| m.store().clone()) else {
            return;
        };
        for n in &self.nodes {
            if let Some(m) = &n.member
                && m.store().bytes() != store.bytes()
            {
                self.violations.push("copies differ in their bytes".into());
            }
        }
        let is_current = |key: &FactKey, dot: Dot| {
            store.register(key).is_some_and(|r| r.commands().any(|(d, _)| d == dot))
        };
        for command in &self.acknowledged {
            let superseded = self
                .acknowledged
                .iter()
                .any(|later| later.supersedes.contains(&command.dot) && !later.lost_with_disk);
            if superseded && is_current(&command.key, command.dot) {
                self.violations.push(format!("{} of {} came back", command.dot, command.key));
            }
            let lost = command.value == CommandValue::Out
                && !superseded
                && !command.lost_with_disk
                && !is_current(&command.key, command.dot);
            // Somebody may have ended it by a word that was never acknowledged and yet lives.
            let superseded_unacknowledged = store.register(&command.key).is_some_and(|r| {
                r.commands().any(|(d, _)| d != command.dot && !self.acknowledged.iter().any(|o| o.dot == d))
            });
            if lost && !superseded_unacknowledged {
                self.violations
                    .push(format!("{} of {} was acknowledged and is forgotten", command.dot, command.key));
            }
        }
        for (key, register) in store.registers() {
            for (dot, command) in register.commands() {
                if self.commands_by_dot.get(&dot).is_none_or(|(k, s)| k != key || s != command) {
                    self.violations.push(format!("{dot} of {key} was never recorded"));
                }
            }
        }
    }

    /// How all stand, for a failing test.
    pub fn describe(&self) -> String {
        let one = |(n, node): (usize, &Node)| match &node.member {
            None => format!("{n}: does not run"),
            Some(m) => {
                let peers: Vec<String> = m
                    .peers(self.local_time(n))
                    .map(|p| {
                        format!("{} {:?} {:?} {:?}", p.name, p.status, p.is_in_sync, p.since_last_received)
                    })
                    .collect();
                format!(
                    "{n}: {:?}, skew {}, root {:x}, {} facts, {peers:?}",
                    m.sync_status(),
                    node.clock_skew,
                    m.store().tree().root(),
                    m.store().len()
                )
            }
        };
        self.nodes.iter().enumerate().map(one).collect::<Vec<_>>().join("\n")
    }

    /// Names of brokers that this one takes for up.
    pub fn peers_up(&self, n: usize) -> usize {
        let now = self.local_time(n);
        self.nodes[n]
            .member
            .as_ref()
            .map_or(0, |m| m.peers(now).filter(|p| p.status == PeerStatus::Alive).count())
    }

    pub fn is_caught_up(&self, n: usize) -> bool {
        self.nodes[n].member.as_ref().is_some_and(|m| m.sync_status() == SyncStatus::CaughtUp)
    }

    /// What holds for a broker.
    pub fn derived_state(&self, n: usize) -> DerivedState {
        self.nodes[n].member.as_ref().map(|m| m.derived_state().clone()).unwrap_or_default()
    }

    /// Fills a broker's disk with so many words, as if they had been said at it long ago.
    pub fn fill_disk(&mut self, n: usize, facts: usize) {
        let mut store = StateStore::new(Origin(0xf111 + n as u64), StoreLimits::default());
        for i in 0..facts {
            let key = FactKey::Server(format!("s-{i:05}"));
            let command = OperatorCommand {
                value: CommandValue::Out,
                who: "staff".into(),
                why: "filled".into(),
                at_broker: name(n),
                at: START_TIME,
                until: None,
            };
            if let Ok(dot) = store.record(&key, command.clone()) {
                self.commands_by_dot.insert(dot, (key, command));
            }
        }
        self.nodes[n].disk = store.facts().map(|(k, e)| (k.clone(), e.clone())).collect();
    }
}
