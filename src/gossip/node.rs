//! One broker of a cluster: what it sends to whom, and what it does with what comes. Free of I/O and clock.

use super::codec::{self, DATAGRAM, Datagram, FIRST, FrameError, LATEST, Sender, StreamFrame};
use super::swim::{self, PeerEvent, PeerStatus, Probe, StatusUpdate, Swim};
use crate::api::Nanos;
use crate::replication::Fact;
use crate::replication::anti_entropy::{self, SyncMessage, SyncSession};
use crate::replication::derived_state::DerivedState;
use crate::replication::rumor_queue::RumorQueue;
use crate::replication::{
    Dot, FactKey, FactValue, JoinError, OperatorCommand, Origin, ProcessStart, StateStore, StoreLimits,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

const MS: Nanos = 1_000_000;
/// Time between two rounds of telling news on, and how many peers are told in each.
const ROUND: Nanos = 100 * MS;
const FANOUT: usize = 2;
/// Bytes of a datagram that are not for news: head, sender, probe.
const BESIDE: usize = 320;
/// Bytes of rumours in a datagram.
const RUMOURS: usize = 300;
/// Datagrams that are taken from one peer in a second; what it sends beyond is dropped unread.
const MOST_DATAGRAMS: u32 = 200;
/// How long two copies may differ before they are brought together, at least; as long again, drawn at random, is added.
const DIFFERS: Nanos = 1_000 * MS;
/// Shortest time between two walks that this broker begins; and while it catches up.
const WALKS: (Nanos, Nanos) = (1_000 * MS, 200 * MS);
/// Bytes of facts that one walk moves.
const WALK: usize = 1 << 20;
/// A walk on which nothing comes for so long is broken off.
const SILENT: Nanos = 5_000 * MS;
/// Facts that come together and still count as news.
const NEWS: usize = 32;
/// Walks of others that are answered at once.
const ANSWERED: usize = 4;
/// Time after which somebody is walked with whose digests are not told.
const UNTOLD: Nanos = 10_000 * MS;
/// Time between two looks for what can be forgotten.
const COLLECT: Nanos = 60_000 * MS;
/// A quarter of the time for which words are kept, if that is shorter.
fn collect_every(bounds: &StoreLimits) -> Nanos {
    COLLECT.min(bounds.retention / 4).max(100 * MS)
}

/// What a broker is told of its cluster.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// The cluster's name: brokers of another one are not listened to.
    pub cluster: String,
    /// This broker's name.
    pub name: String,
    /// The other brokers, and where they are.
    pub peers: Vec<(String, SocketAddr)>,
    /// Times of the probing.
    pub swim: swim::SwimSettings,
    /// How much is held.
    pub bounds: StoreLimits,
    /// The latest version of frames that is spoken.
    pub speaks: u8,
    /// For all that is drawn.
    pub seed: u64,
}

/// What is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A datagram.
    Datagram { to: SocketAddr, bytes: Vec<u8> },
    /// Open a connection, which has this number.
    Dial { stream: u64, to: SocketAddr },
    /// Send on a connection.
    Send { stream: u64, bytes: Vec<u8> },
    /// Close a connection, once all is written.
    Close { stream: u64 },
}

/// Why something that came was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// It came from an address that the operator's file does not name.
    Unlisted,
    /// Its bytes are no frame.
    Frame,
    /// It speaks a later version than this program.
    Version,
    /// It belongs to another cluster.
    Cluster,
    /// It has another name than its address is listed under.
    Name,
    /// It has this broker's own name.
    OwnName,
    /// It was removed from the cluster.
    Removed,
    /// It sends more than may be.
    Flood,
    /// A fact could not be taken in.
    Fact,
    /// A message out of turn, or a connection too many.
    Stream,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::Unlisted => "the operator's file does not name it",
            DropReason::Frame => "what it sends is no frame",
            DropReason::Version => "it speaks a later version than this program",
            DropReason::Cluster => "it belongs to another cluster",
            DropReason::Name => "it has another name than its address is listed under",
            DropReason::OwnName => "it has this broker's own name",
            DropReason::Removed => "it was removed from the cluster",
            DropReason::Flood => "it sends more than may be",
            DropReason::Fact => "it tells facts that can't be taken in",
            DropReason::Stream => "it speaks out of turn, or opens too many connections",
        })
    }
}

/// What people are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A peer is up.
    Up(String),
    /// A peer does not answer.
    Suspected(String),
    /// A peer is down.
    Down(String),
    /// Others took this broker for gone; it said that it is not.
    Refuted,
    /// This process did not run for so long.
    Late(Nanos),
    /// Something was dropped; told once a minute for each reason.
    Dropped(DropReason, SocketAddr),
    /// This copy is as new as that of a peer.
    CaughtUp(String),
    /// No peer can be reached: it serves as a lone one.
    Alone,
    /// Somebody else used this process's stamps; it has drawn others.
    Doubled,
    /// This broker was removed from the cluster: it tells nobody anything any more.
    Removed,
    /// A word or several stand on this key.
    Changed(FactKey),
    /// So many words came at once.
    Came(usize),
}

/// How far this copy is as new as the others'.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStatus {
    /// Nobody was reached yet.
    CatchingUp,
    /// As new as a peer's, at some time since the start.
    CaughtUp,
    /// Nobody can be reached.
    Alone,
}

#[derive(Clone, Debug)]
struct Peer {
    name: String,
    at: SocketAddr,
    origin: Option<Origin>,
    reads: u8,
    /// Its root, as it told last, and since when that differs from ours.
    root: Option<u64>,
    differs: Option<Nanos>,
    /// When it was heard last, and when walked with last.
    heard: Option<Nanos>,
    walked: Nanos,
    /// Datagrams in the second that began then.
    second: (Nanos, u32),
    /// The operator's file names it.
    listed: bool,
}

impl Peer {
    fn new(name: &str, at: SocketAddr, now: Nanos) -> Peer {
        Peer {
            name: name.to_owned(),
            at,
            origin: None,
            reads: FIRST,
            root: None,
            differs: None,
            heard: None,
            walked: now,
            second: (0, 0),
            listed: true,
        }
    }
}

#[derive(Clone, Debug)]
struct Outgoing {
    stream: u64,
    peer: usize,
    walk: SyncSession,
    first: Option<SyncMessage>,
    silent_since: Nanos,
}

#[derive(Clone, Debug)]
struct Incoming {
    peer: Option<usize>,
    silent_since: Nanos,
}

/// One broker of a cluster.
#[derive(Clone, Debug)]
pub struct GossipNode {
    settings: GossipSettings,
    swim: Swim,
    copy: StateStore,
    news: RumorQueue,
    peers: Vec<Peer>,
    by_addr: BTreeMap<SocketAddr, usize>,
    outgoing: Option<Outgoing>,
    incoming: BTreeMap<u64, Incoming>,
    streams: u64,
    next_round: Nanos,
    next_walk: Nanos,
    next_collect: Nanos,
    began: Nanos,
    standing: SyncStatus,
    /// Keys that changed and are not on disk.
    unkept: BTreeSet<FactKey>,
    effect: DerivedState,
    heard_of: VecDeque<FactKey>,
    out: VecDeque<Output>,
    told: VecDeque<Notification>,
    dropped: BTreeMap<DropReason, (u64, Nanos)>,
    was_removed: bool,
}

impl GossipNode {
    /// A broker that knows what was kept, and no more. `incarnation` is greater than any it had before, as far as it knows.
    pub fn new(
        settings: GossipSettings,
        origin: Origin,
        kept: &[Fact],
        incarnation: u64,
        now: Nanos,
    ) -> GossipNode {
        let mut copy = StateStore::new(origin, settings.bounds);
        for (key, entry) in kept {
            // A start that lies ahead was kept under another clock; discovery tells it anew.
            let _ = copy.join(key, entry, now);
        }
        let names: Vec<String> = settings.peers.iter().map(|(n, _)| n.clone()).collect();
        let swim = Swim::new(settings.swim, &settings.name, &names, incarnation, settings.seed, now);
        let peers: Vec<Peer> = settings.peers.iter().map(|(name, at)| Peer::new(name, *at, now)).collect();
        let by_addr = peers.iter().enumerate().map(|(n, p)| (p.at, n)).collect();
        let next_collect = now + collect_every(&settings.bounds);
        let mut member = GossipNode {
            settings,
            swim,
            copy,
            news: RumorQueue::default(),
            peers,
            by_addr,
            outgoing: None,
            incoming: BTreeMap::new(),
            streams: 0,
            next_round: now,
            next_walk: now,
            next_collect,
            began: now,
            standing: SyncStatus::CatchingUp,
            unkept: BTreeSet::new(),
            effect: DerivedState::default(),
            heard_of: VecDeque::new(),
            out: VecDeque::new(),
            told: VecDeque::new(),
            dropped: BTreeMap::new(),
            was_removed: false,
        };
        member.next_walk += member.swim.jitter(WALKS.1);
        let from_discovery = |k: &&FactKey| matches!(k, FactKey::Drain(_) | FactKey::Start(_));
        member.heard_of = member.copy.facts().map(|(k, _)| k).filter(from_discovery).cloned().collect();
        member.work_out(now);
        member
    }

    // ---- what is asked of it ----

    /// The copy.
    pub fn store(&self) -> &StateStore {
        &self.copy
    }

    /// What holds for this broker.
    pub fn derived_state(&self) -> &DerivedState {
        &self.effect
    }

    /// How new the copy is.
    pub fn sync_status(&self) -> SyncStatus {
        self.standing
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.swim.incarnation()
    }

    /// How slow it finds itself.
    pub fn health(&self) -> u32 {
        self.swim.health()
    }

    /// The peers: name, address, how it stands, whether its copy was seen to be the same, ns since it was heard.
    pub fn peers(
        &self,
        now: Nanos,
    ) -> impl Iterator<Item = (&str, SocketAddr, PeerStatus, Option<bool>, Option<Nanos>)> {
        let root = self.copy.tree().root();
        self.peers.iter().enumerate().filter(|(_, p)| p.listed).map(move |(n, p)| {
            let ago = p.heard.map(|t| now.saturating_sub(t));
            (p.name.as_str(), p.at, self.swim.status(n), p.root.map(|r| r == root), ago)
        })
    }

    /// What was dropped, by reason.
    pub fn dropped(&self) -> impl Iterator<Item = (DropReason, u64)> {
        self.dropped.iter().map(|(why, (n, _))| (*why, *n))
    }

    /// Says something by hand.
    pub fn record(&mut self, key: &FactKey, said: OperatorCommand, now: Nanos) -> Result<Dot, JoinError> {
        let dot = self.copy.record(key, said)?;
        self.changed(key.clone());
        self.work_out(now);
        Ok(dot)
    }

    /// Discovery told this broker of a drain or a start.
    pub fn note(&mut self, key: FactKey, latest: ProcessStart, now: Nanos) {
        if self.copy.join(&key, &FactValue::Latest(latest), now) == Ok(true) {
            self.changed(key);
        }
    }

    /// A fact that is new: to be told on, kept, and looked at for what follows.
    fn changed(&mut self, key: FactKey) {
        self.news.push(key.clone(), self.swim.brokers());
        self.unkept.insert(key);
    }

    /// Facts that are not on disk yet, at most so many; they count as kept from now on.
    pub fn take_unkept(&mut self, most: usize) -> Vec<Fact> {
        let mut facts = Vec::new();
        while facts.len() < most
            && let Some(key) = self.unkept.pop_first()
        {
            match self.copy.get(&key) {
                Some(entry) => facts.push((key, entry.clone())),
                None => continue,
            }
        }
        facts
    }

    /// Facts could not be kept: they are still to be.
    pub fn not_kept(&mut self, keys: impl IntoIterator<Item = FactKey>) {
        self.unkept.extend(keys);
    }

    /// Whether all is on disk.
    pub fn is_kept(&self) -> bool {
        self.unkept.is_empty()
    }

    /// Servers of which peers have heard something that is new here.
    pub fn take_heard_of(&mut self) -> Option<FactKey> {
        self.heard_of.pop_front()
    }

    /// What is to be sent.
    pub fn take_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// What people are told.
    pub fn take_told(&mut self) -> Option<Notification> {
        self.told.pop_front()
    }

    /// A new origin, where somebody else uses this one.
    pub fn renew(&mut self, origin: Origin) {
        self.copy.set_origin(origin);
        self.told.push_back(Notification::Doubled);
    }

    /// Whether somebody else uses this process's stamps.
    pub fn is_doubled(&self) -> bool {
        self.copy.has_duplicate_origin()
    }

    fn sender(&self) -> Sender {
        Sender {
            cluster: codec::cluster(&self.settings.cluster),
            name: self.settings.name.clone(),
            origin: self.copy.origin(),
            incarnation: self.swim.incarnation(),
            reads: self.settings.speaks,
        }
    }

    fn drop_it(&mut self, why: DropReason, from: SocketAddr, now: Nanos) {
        let (count, told) = self.dropped.entry(why).or_insert((0, 0));
        *count += 1;
        if *count == 1 || now >= *told + 60_000 * MS {
            *told = now;
            self.told.push_back(Notification::Dropped(why, from));
        }
    }

    // ---- datagrams ----

    /// A datagram came.
    pub fn datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Nanos) {
        let Some(&n) = self.by_addr.get(&from) else { return self.drop_it(DropReason::Unlisted, from, now) };
        let (since, count) = self.peers[n].second;
        self.peers[n].second =
            if now >= since + 1_000 * MS { (now, 1) } else { (since, count.saturating_add(1)) };
        if self.peers[n].second.1 > MOST_DATAGRAMS {
            return self.drop_it(DropReason::Flood, from, now);
        }
        let d = match Datagram::decode(bytes, self.settings.speaks) {
            Ok(d) => d,
            Err(FrameError::Version(_)) => return self.drop_it(DropReason::Version, from, now),
            Err(_) => return self.drop_it(DropReason::Frame, from, now),
        };
        if let Err(why) = self.vouch(n, &d.sender) {
            return self.drop_it(why, from, now);
        }
        let p = &mut self.peers[n];
        (p.origin, p.reads, p.heard) = (Some(d.sender.origin), d.sender.reads, Some(now));
        self.take_in(&d.facts, from, now);
        self.compare(n, d.root, now);
        self.swim.heard(n, d.sender.incarnation, &d.probe, now);
        self.swim.rumours(&d.sender.name, &d.rumours, now);
        self.flush(now);
    }

    /// Whether somebody at the address of peer `n` is that peer.
    fn vouch(&self, n: usize, sender: &Sender) -> Result<(), DropReason> {
        if !self.peers[n].listed {
            return Err(DropReason::Unlisted);
        }
        if sender.cluster != codec::cluster(&self.settings.cluster) {
            Err(DropReason::Cluster)
        } else if sender.name == self.settings.name {
            Err(DropReason::OwnName)
        } else if sender.name != self.peers[n].name {
            Err(DropReason::Name)
        } else if self.effect.removed_brokers.contains(&sender.name) {
            Err(DropReason::Removed)
        } else {
            Ok(())
        }
    }

    fn compare(&mut self, n: usize, root: Option<u64>, now: Nanos) {
        let same = root == Some(self.copy.tree().root());
        let p = &mut self.peers[n];
        p.root = root.or(p.root);
        if root.is_some() {
            p.differs = if same { None } else { p.differs.or(Some(now)) };
        }
    }

    /// Takes facts in.
    fn take_in(&mut self, facts: &[Fact], from: SocketAddr, now: Nanos) {
        let before = self.copy.version();
        // Many at once are what somebody missed, not news: the digests bring them to whoever missed them too.
        let news = facts.len() <= NEWS;
        let mut came = 0;
        for (key, entry) in facts {
            match self.copy.join(key, entry, now) {
                Ok(true) => {
                    if news {
                        self.changed(key.clone());
                    } else {
                        self.unkept.insert(key.clone());
                    }
                    match key {
                        FactKey::Drain(_) | FactKey::Start(_) => self.heard_of.push_back(key.clone()),
                        _ if news => self.told.push_back(Notification::Changed(key.clone())),
                        _ => came += 1,
                    }
                }
                Ok(false) => {}
                Err(_) => self.drop_it(DropReason::Fact, from, now),
            }
        }
        if came > 0 {
            self.told.push_back(Notification::Came(came));
        }
        if self.copy.version() != before {
            self.work_out(now);
        }
    }

    /// What follows from the facts.
    fn work_out(&mut self, now: Nanos) {
        let mut keys = self.copy.take_changed_keys();
        keys.extend(self.effect.expired_keys(now));
        if keys.is_empty() {
            return;
        }
        let mut brokers_too = false;
        for key in &keys {
            self.effect.update(&self.copy, key, &self.settings.name, now);
            brokers_too |= matches!(key, FactKey::Removed(_));
        }
        if brokers_too {
            self.let_out();
        }
    }

    /// Who was removed by hand, or is not in the operator's file any more, is not spoken to.
    fn let_out(&mut self) {
        let mut out = self.effect.removed_brokers.clone();
        out.extend(self.peers.iter().filter(|p| !p.listed).map(|p| p.name.clone()));
        self.swim.removed(&out);
        let gone = self.effect.removed_brokers.contains(&self.settings.name);
        if gone && !self.was_removed {
            self.told.push_back(Notification::Removed);
        }
        self.was_removed = gone;
    }

    /// The operator's file names these peers from now on: some are new, some have moved, some are gone.
    pub fn relist(&mut self, peers: &[(String, SocketAddr)], now: Nanos) {
        self.peers.iter_mut().for_each(|p| p.listed = false);
        for (name, at) in peers {
            match self.swim.number(name) {
                Some(n) => {
                    let p = &mut self.peers[n];
                    if p.at != *at {
                        // Another place may be another process: it is asked anew.
                        (p.at, p.origin, p.root, p.differs, p.heard) = (*at, None, None, None, None);
                    }
                    p.listed = true;
                }
                None => {
                    self.swim.add(name);
                    self.peers.push(Peer::new(name, *at, now));
                }
            }
        }
        let listed = self.peers.iter().enumerate().filter(|(_, p)| p.listed);
        self.by_addr = listed.map(|(n, p)| (p.at, n)).collect();
        self.let_out();
        self.next_walk = self.next_walk.min(now + WALKS.1);
    }

    /// Sends what there is to send to one peer.
    fn send(&mut self, to: usize, probe: Probe, facts: Vec<Fact>) {
        if self.was_removed {
            return;
        }
        let rumours = self.swim.rumours_for(to, RUMOURS);
        let version = self.peers[to].reads.min(self.settings.speaks).clamp(FIRST, LATEST);
        let d =
            Datagram { sender: self.sender(), probe, rumours, facts, root: Some(self.copy.tree().root()) };
        let bytes = d.encode(version);
        if bytes.len() <= DATAGRAM {
            self.out.push_back(Output::Datagram { to: self.peers[to].at, bytes });
        }
    }

    /// Sends what the probing wants sent, and tells what it found.
    fn flush(&mut self, now: Nanos) {
        for (to, probe) in self.swim.take_out() {
            self.send(to, probe, Vec::new());
        }
        for event in self.swim.take_events() {
            let name = |n: usize| self.peers[n].name.clone();
            let told = match event {
                PeerEvent::Up(n) => Notification::Up(name(n)),
                PeerEvent::Suspected(n) => Notification::Suspected(name(n)),
                PeerEvent::Down(n) => Notification::Down(name(n)),
                PeerEvent::Refuted => Notification::Refuted,
                PeerEvent::Late(t) => {
                    // What was missed meanwhile is asked for at once.
                    if self.standing == SyncStatus::CaughtUp && t > SILENT {
                        (self.standing, self.began, self.next_walk) = (SyncStatus::CatchingUp, now, now);
                    }
                    Notification::Late(t)
                }
            };
            self.told.push_back(told);
        }
        self.work_out(now);
    }

    // ---- connections ----

    /// A peer has opened a connection, to which the caller gave this number.
    pub fn accepted(&mut self, stream: u64, from: SocketAddr, now: Nanos) {
        let listed = |ip: IpAddr| self.peers.iter().any(|p| p.listed && p.at.ip() == ip);
        let why = if !listed(from.ip()) {
            Some(DropReason::Unlisted)
        } else if self.incoming.len() >= ANSWERED || self.was_removed {
            Some(DropReason::Stream)
        } else {
            None
        };
        if let Some(why) = why {
            self.drop_it(why, from, now);
            return self.out.push_back(Output::Close { stream });
        }
        self.incoming.insert(stream, Incoming { peer: None, silent_since: now });
    }

    /// A connection that this broker opened is up.
    pub fn connected(&mut self, stream: u64, now: Nanos) {
        let line = StreamFrame::Hello { sender: self.sender(), rumours: self.swim.all() };
        if let Some(o) = self.outgoing.as_mut().filter(|o| o.stream == stream) {
            o.silent_since = now;
            self.out.push_back(Output::Send { stream, bytes: line.encode() });
        }
    }

    /// A connection has ended.
    pub fn closed(&mut self, stream: u64, now: Nanos) {
        self.incoming.remove(&stream);
        if self.outgoing.as_ref().is_some_and(|o| o.stream == stream) {
            self.outgoing = None;
            self.pace(now);
        }
    }

    fn close(&mut self, stream: u64, now: Nanos) {
        self.out.push_back(Output::Close { stream });
        self.closed(stream, now);
    }

    fn pace(&mut self, now: Nanos) {
        let between = if self.standing == SyncStatus::CaughtUp { WALKS.0 } else { WALKS.1 };
        self.next_walk = now + between / 2 + self.swim.jitter(between);
    }

    /// A frame came on a connection, without its length.
    pub fn frame(&mut self, stream: u64, from: SocketAddr, bytes: &[u8], now: Nanos) {
        let heard = StreamFrame::decode(bytes).map_err(|e| match e {
            FrameError::Version(_) => DropReason::Version,
            _ => DropReason::Frame,
        });
        let done = heard.and_then(|line| {
            if self.incoming.contains_key(&stream) {
                self.answer(stream, from, line, now)
            } else if self.outgoing.as_ref().is_some_and(|o| o.stream == stream) {
                self.go_on(stream, from, line, now)
            } else {
                Ok(())
            }
        });
        if let Err(why) = done {
            self.drop_it(why, from, now);
            self.close(stream, now);
        }
        self.flush(now);
    }

    fn hello(&mut self, n: usize, sender: &Sender, rumours: &[StatusUpdate], now: Nanos) {
        let p = &mut self.peers[n];
        p.reads = sender.reads;
        // Another process under that name speaks by datagram: what it says of itself there holds.
        if p.origin.is_none_or(|o| o == sender.origin) {
            (p.origin, p.heard) = (Some(sender.origin), Some(now));
            self.swim.heard(n, sender.incarnation, &Probe::News, now);
        }
        self.swim.rumours(&sender.name, rumours, now);
    }

    fn answer(
        &mut self,
        stream: u64,
        from: SocketAddr,
        line: StreamFrame,
        now: Nanos,
    ) -> Result<(), DropReason> {
        let known = self.incoming.get(&stream).and_then(|i| i.peer);
        let (peer, reply) = match (known, line) {
            (None, StreamFrame::Hello { sender, rumours }) => {
                let n = self.swim.number(&sender.name).ok_or(if sender.name == self.settings.name {
                    DropReason::OwnName
                } else {
                    DropReason::Unlisted
                })?;
                self.vouch(n, &sender)?;
                self.hello(n, &sender, &rumours, now);
                (n, StreamFrame::Hello { sender: self.sender(), rumours: self.swim.all() })
            }
            (Some(n), StreamFrame::Walk(message)) => {
                self.take_in(message.facts(), from, now);
                (
                    n,
                    StreamFrame::Walk(
                        anti_entropy::respond(&self.copy, &message).map_err(|_| DropReason::Stream)?,
                    ),
                )
            }
            _ => return Err(DropReason::Stream),
        };
        self.incoming.insert(stream, Incoming { peer: Some(peer), silent_since: now });
        self.out.push_back(Output::Send { stream, bytes: reply.encode() });
        Ok(())
    }

    fn go_on(
        &mut self,
        stream: u64,
        from: SocketAddr,
        line: StreamFrame,
        now: Nanos,
    ) -> Result<(), DropReason> {
        let Some(mut o) = self.outgoing.take() else { return Ok(()) };
        o.silent_since = now;
        let next = match (line, o.first.take()) {
            (StreamFrame::Hello { sender, rumours }, Some(first)) => {
                if let Err(why) = self.vouch(o.peer, &sender) {
                    self.outgoing = Some(o);
                    return Err(why);
                }
                self.hello(o.peer, &sender, &rumours, now);
                Some(first)
            }
            (StreamFrame::Walk(message), None) => {
                self.take_in(message.facts(), from, now);
                match o.walk.on_response(&self.copy, &message) {
                    Ok(next) => next,
                    Err(_) => {
                        self.outgoing = Some(o);
                        return Err(DropReason::Stream);
                    }
                }
            }
            (_, first) => {
                o.first = first;
                self.outgoing = Some(o);
                return Err(DropReason::Stream);
            }
        };
        match next {
            Some(message) => {
                self.out.push_back(Output::Send { stream, bytes: StreamFrame::Walk(message).encode() });
                self.outgoing = Some(o);
            }
            None => {
                self.out.push_back(Output::Close { stream });
                self.peers[o.peer].differs = None;
                self.peers[o.peer].walked = now;
                if o.walk.is_complete() && self.standing != SyncStatus::CaughtUp {
                    self.standing = SyncStatus::CaughtUp;
                    self.told.push_back(Notification::CaughtUp(self.peers[o.peer].name.clone()));
                }
                self.pace(now);
                if !o.walk.is_complete() {
                    self.next_walk = now + WALKS.1 / 2 + self.swim.jitter(WALKS.1);
                    self.peers[o.peer].differs = Some(now.saturating_sub(2 * DIFFERS));
                }
            }
        }
        Ok(())
    }

    // ---- time ----

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos) {
        self.swim.tick(now);
        self.flush(now);
        if now >= self.next_round && !self.news.is_empty() {
            self.next_round = now + ROUND;
            self.tell_news();
        }
        let silent = |since: Nanos| since + SILENT <= now;
        if let Some(stream) = self.outgoing.as_ref().filter(|o| silent(o.silent_since)).map(|o| o.stream) {
            self.close(stream, now);
        }
        let over: Vec<u64> =
            self.incoming.iter().filter(|(_, i)| silent(i.silent_since)).map(|(s, _)| *s).collect();
        over.into_iter().for_each(|stream| self.close(stream, now));
        if now >= self.next_walk && self.outgoing.is_none() {
            self.begin_walk(now);
        }
        if now >= self.next_collect {
            self.next_collect = now + collect_every(&self.settings.bounds);
            for key in self.copy.collect_garbage(now) {
                self.unkept.insert(key);
            }
            self.work_out(now);
        }
    }

    fn tell_news(&mut self) {
        let to = self.swim.draw(FANOUT, None);
        let facts = self.news.take(&self.copy, DATAGRAM - BESIDE - RUMOURS);
        if !facts.is_empty() {
            for peer in to {
                self.send(peer, Probe::News, facts.clone());
            }
        }
    }

    /// Begins a walk with whom it is due, if it is with anybody.
    fn begin_walk(&mut self, now: Nanos) {
        self.next_walk = now + WALKS.1;
        if self.was_removed {
            return;
        }
        if self.standing == SyncStatus::CaughtUp
            && self.swim.draw(1, None).is_empty()
            && !self.peers.is_empty()
        {
            self.standing = SyncStatus::Alone;
            self.told.push_back(Notification::Alone);
        }
        let peer = if self.standing == SyncStatus::CaughtUp {
            self.whose_copy_differs(now)
        } else {
            let lonely = 3 * self.settings.swim.every.max(1_000 * MS);
            if self.standing == SyncStatus::CatchingUp && now >= self.began + lonely {
                self.standing = SyncStatus::Alone;
                self.told.push_back(Notification::Alone);
            }
            let up = self.swim.draw(1, None).first().copied();
            up.or_else(|| self.swim.any())
        };
        let Some(peer) = peer else {
            self.next_walk = now + WALKS.0;
            return;
        };
        self.streams += 1;
        let (walk, first) = SyncSession::begin(&self.copy, WALK);
        let stream = self.streams;
        self.outgoing = Some(Outgoing { stream, peer, walk, first: Some(first), silent_since: now });
        self.out.push_back(Output::Dial { stream, to: self.peers[peer].at });
    }

    fn whose_copy_differs(&mut self, now: Nanos) -> Option<usize> {
        let wait = DIFFERS + self.swim.jitter(DIFFERS);
        // While there is news to tell, copies differ for no other reason.
        let due = |p: &Peer| self.news.is_empty() && p.differs.is_some_and(|t| t + wait <= now);
        // Digests are not told in the first version.
        let speaks = self.settings.speaks;
        let untold = |p: &Peer| p.heard.is_some() && p.reads.min(speaks) == FIRST && p.walked + UNTOLD <= now;
        let up = |n: &usize| self.swim.status(*n) == PeerStatus::Alive;
        let all: Vec<usize> = (0..self.peers.len())
            .filter(|n| due(&self.peers[*n]) || untold(&self.peers[*n]))
            .filter(up)
            .collect();
        let most = all.len() as u64;
        if all.is_empty() { None } else { Some(all[self.swim.jitter(most) as usize % all.len()]) }
    }

    /// When `tick` is next worth calling.
    pub fn due(&self, now: Nanos) -> Nanos {
        let round = (!self.news.is_empty()).then_some(self.next_round);
        let walk = self.outgoing.is_none().then_some(self.next_walk);
        let silent = self
            .outgoing
            .iter()
            .map(|o| o.silent_since)
            .chain(self.incoming.values().map(|i| i.silent_since));
        let all = [
            Some(self.swim.due()),
            round,
            walk,
            Some(self.next_collect),
            self.effect.next_expiry().map(|t| t.max(now + MS)),
        ];
        all.into_iter().flatten().chain(silent.map(|t| t + SILENT)).min().unwrap_or(now + ROUND)
    }
}
