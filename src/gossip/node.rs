//! One broker of a cluster: what it sends to whom, and what it does with what comes. Free of I/O and clock.

use super::codec::{
    self, Datagram, FIRST_VERSION, FrameError, LATEST_VERSION, MAX_DATAGRAM_BYTES, Sender, StreamFrame,
};
use super::swim::{self, PeerEvent, PeerStatus, Probe, StatusUpdate, Swim};
use crate::api::Nanos;
use crate::replication::anti_entropy::{self, SyncMessage, SyncSession};
use crate::replication::derived_state::DerivedState;
use crate::replication::rumor_queue::RumorQueue;
use crate::replication::state_store::Fact;
use crate::replication::{
    Dot, FactKey, FactValue, JoinError, OperatorCommand, Origin, ProcessStart, StateStore, StoreLimits,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

const MS: Nanos = 1_000_000;
/// Time between two rounds of telling news on, and how many peers are told in each.
const GOSSIP_INTERVAL: Nanos = 100 * MS;
const GOSSIP_FANOUT: usize = 2;
/// Bytes of a datagram that are not for news: head, sender, probe.
const DATAGRAM_OVERHEAD_BYTES: usize = 320;
/// Bytes of rumours in a datagram.
const STATUS_UPDATES_BYTES: usize = 300;
/// Datagrams that are taken from one peer in a second; what it sends beyond is dropped unread.
const MAX_DATAGRAMS_PER_SECOND: u32 = 200;
/// How long two copies may differ before they are brought together, at least; as long again, drawn at random, is added.
const MIN_DIVERGENCE: Nanos = 1_000 * MS;
/// Shortest time between two walks that this broker begins; and while it catches up.
const SYNC_INTERVAL: Nanos = 1_000 * MS;
/// Shortest time interval two sessions that this broker begins while it catches up.
const CATCH_UP_SYNC_INTERVAL: Nanos = 200 * MS;
/// Bytes of facts that one walk moves.
const SYNC_BUDGET_BYTES: usize = 1 << 20;
/// A walk on which nothing comes for so long is broken off.
const STREAM_IDLE_TIMEOUT: Nanos = 5_000 * MS;
/// Facts that come together and still count as news.
const MAX_RUMOR_BATCH: usize = 32;
/// Walks of others that are answered at once.
const MAX_INCOMING_STREAMS: usize = 4;
/// Time after which somebody is walked with whose digests are not told.
const ROOTLESS_SYNC_INTERVAL: Nanos = 10_000 * MS;
/// Time between two looks for what can be forgotten.
const GARBAGE_COLLECTION_INTERVAL: Nanos = 60_000 * MS;
/// A quarter of the time for which words are kept, if that is shorter.
fn garbage_collection_interval(limits: &StoreLimits) -> Nanos {
    GARBAGE_COLLECTION_INTERVAL.min(limits.keep / 4).max(100 * MS)
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
    pub store_limits: StoreLimits,
    /// The latest version of frames that is spoken.
    pub latest_version: u8,
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
    UnlistedAddress,
    /// Its bytes are no frame.
    MalformedFrame,
    /// It speaks a later version than this program.
    UnsupportedVersion,
    /// It belongs to another cluster.
    OtherCluster,
    /// It has another name than its address is listed under.
    NameMismatch,
    /// It has this broker's own name.
    OwnName,
    /// It was removed from the cluster.
    RemovedSender,
    /// It sends more than may be.
    RateLimited,
    /// A fact could not be taken in.
    InvalidFact,
    /// A message out of turn, or a connection too many.
    ProtocolViolation,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::UnlistedAddress => "the operator's file does not name it",
            DropReason::MalformedFrame => "what it sends is no frame",
            DropReason::UnsupportedVersion => "it speaks a later version than this program",
            DropReason::OtherCluster => "it belongs to another cluster",
            DropReason::NameMismatch => "it has another name than its address is listed under",
            DropReason::OwnName => "it has this broker's own name",
            DropReason::RemovedSender => "it was removed from the cluster",
            DropReason::RateLimited => "it sends more than may be",
            DropReason::InvalidFact => "it tells facts that can't be taken in",
            DropReason::ProtocolViolation => "it speaks out of turn, or opens too many connections",
        })
    }
}

/// What people are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notification {
    /// A peer is up.
    PeerUp(String),
    /// A peer does not answer.
    PeerSuspected(String),
    /// A peer is down.
    PeerDown(String),
    /// Others took this broker for gone; it said that it is not.
    Refuted,
    /// This process did not run for so long.
    Stalled(Nanos),
    /// Something was dropped; told once a minute for each reason.
    Dropped(DropReason, SocketAddr),
    /// This copy is as new as that of a peer.
    CaughtUp(String),
    /// No peer can be reached: it serves as a lone one.
    Isolated,
    /// Somebody else used this process's stamps; it has drawn others.
    OriginReplaced,
    /// This broker was removed from the cluster: it tells nobody anything any more.
    RemovedFromCluster,
    /// A word or several stand on this key.
    FactChanged(FactKey),
    /// So many words came at once.
    FactsReceived(usize),
}

/// How far this copy is as new as the others'.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncStatus {
    /// Nobody was reached yet.
    CatchingUp,
    /// As new as a peer's, at some time since the start.
    CaughtUp,
    /// Nobody can be reached.
    Isolated,
}

#[derive(Clone, Debug)]
struct Peer {
    name: String,
    address: SocketAddr,
    origin: Option<Origin>,
    latest_version: u8,
    /// Its root, as it told last, and since when that differs from ours.
    root: Option<u64>,
    differs_since: Option<Nanos>,
    /// When it was heard last, and when walked with last.
    last_received: Option<Nanos>,
    last_synced: Nanos,
    /// Datagrams in the second that began then.
    rate_window: (Nanos, u32),
    /// The operator's file names it.
    listed: bool,
}

impl Peer {
    fn new(name: &str, at: SocketAddr, now: Nanos) -> Peer {
        Peer {
            name: name.to_owned(),
            address: at,
            origin: None,
            latest_version: FIRST_VERSION,
            root: None,
            differs_since: None,
            last_received: None,
            last_synced: now,
            rate_window: (0, 0),
            listed: true,
        }
    }
}

#[derive(Clone, Debug)]
struct OutgoingSync {
    stream: u64,
    peer: usize,
    session: SyncSession,
    first_message: Option<SyncMessage>,
    last_activity: Nanos,
}

#[derive(Clone, Debug)]
struct IncomingSync {
    peer: Option<usize>,
    last_activity: Nanos,
}

/// One broker of a cluster.
#[derive(Clone, Debug)]
pub struct GossipNode {
    settings: GossipSettings,
    swim: Swim,
    store: StateStore,
    rumor_queue: RumorQueue,
    peers: Vec<Peer>,
    by_addr: BTreeMap<SocketAddr, usize>,
    outgoing: Option<OutgoingSync>,
    incoming: BTreeMap<u64, IncomingSync>,
    last_stream: u64,
    next_gossip: Nanos,
    next_sync: Nanos,
    next_garbage_collection: Nanos,
    catching_up_since: Nanos,
    sync_status: SyncStatus,
    /// Keys that changed and are not on disk.
    unpersisted: BTreeSet<FactKey>,
    derived_state: DerivedState,
    updated_servers: VecDeque<FactKey>,
    outputs: VecDeque<Output>,
    notifications: VecDeque<Notification>,
    drop_counts: BTreeMap<DropReason, (u64, Nanos)>,
    is_removed: bool,
}

impl GossipNode {
    /// A broker that knows what was kept, and no more. `incarnation` is greater than any it had before, as far as it knows.
    pub fn new(
        settings: GossipSettings,
        origin: Origin,
        persisted: &[Fact],
        incarnation: u64,
        now: Nanos,
    ) -> GossipNode {
        let mut store = StateStore::new(origin, settings.store_limits);
        for (key, entry) in persisted {
            // A start that lies ahead was kept under another clock; discovery tells it anew.
            let _ = store.join(key, entry, now);
        }
        let names: Vec<String> = settings.peers.iter().map(|(n, _)| n.clone()).collect();
        let swim = Swim::new(settings.swim, &settings.name, &names, incarnation, settings.seed, now);
        let peers: Vec<Peer> = settings.peers.iter().map(|(name, at)| Peer::new(name, *at, now)).collect();
        let by_addr = peers.iter().enumerate().map(|(n, p)| (p.address, n)).collect();
        let next_garbage_collection = now + garbage_collection_interval(&settings.store_limits);
        let mut node = GossipNode {
            settings,
            swim,
            store,
            rumor_queue: RumorQueue::default(),
            peers,
            by_addr,
            outgoing: None,
            incoming: BTreeMap::new(),
            last_stream: 0,
            next_gossip: now,
            next_sync: now,
            next_garbage_collection,
            catching_up_since: now,
            sync_status: SyncStatus::CatchingUp,
            unpersisted: BTreeSet::new(),
            derived_state: DerivedState::default(),
            updated_servers: VecDeque::new(),
            outputs: VecDeque::new(),
            notifications: VecDeque::new(),
            drop_counts: BTreeMap::new(),
            is_removed: false,
        };
        node.next_sync += node.swim.jitter(CATCH_UP_SYNC_INTERVAL);
        let from_discovery = |k: &&FactKey| matches!(k, FactKey::Drain(_) | FactKey::Start(_));
        node.updated_servers = node.store.facts().map(|(k, _)| k).filter(from_discovery).cloned().collect();
        node.update_derived_state(now);
        node
    }

    // ---- what is asked of it ----

    /// The copy.
    pub fn store(&self) -> &StateStore {
        &self.store
    }

    /// What holds for this broker.
    pub fn derived_state(&self) -> &DerivedState {
        &self.derived_state
    }

    /// How new the copy is.
    pub fn sync_status(&self) -> SyncStatus {
        self.sync_status
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.swim.incarnation()
    }

    /// How slow it finds itself.
    pub fn health_score(&self) -> u32 {
        self.swim.health_score()
    }

    /// The peers: name, address, how it stands, whether its copy was seen to be the same, ns since it was heard.
    pub fn peers(
        &self,
        now: Nanos,
    ) -> impl Iterator<Item = (&str, SocketAddr, PeerStatus, Option<bool>, Option<Nanos>)> {
        let root = self.store.tree().root();
        self.peers.iter().enumerate().filter(|(_, p)| p.listed).map(move |(n, p)| {
            let ago = p.last_received.map(|t| now.saturating_sub(t));
            (p.name.as_str(), p.address, self.swim.status(n), p.root.map(|r| r == root), ago)
        })
    }

    /// What was dropped, by reason.
    pub fn drop_counts(&self) -> impl Iterator<Item = (DropReason, u64)> {
        self.drop_counts.iter().map(|(why, (n, _))| (*why, *n))
    }

    /// Says something by hand.
    pub fn record(&mut self, key: &FactKey, said: OperatorCommand, now: Nanos) -> Result<Dot, JoinError> {
        let dot = self.store.record(key, said)?;
        self.changed(key.clone());
        self.update_derived_state(now);
        Ok(dot)
    }

    /// Discovery told this broker of a drain or a start.
    pub fn record_process_event(&mut self, key: FactKey, latest: ProcessStart, now: Nanos) {
        if self.store.join(&key, &FactValue::Latest(latest), now) == Ok(true) {
            self.changed(key);
        }
    }

    /// A fact that is new: to be told on, kept, and looked at for what follows.
    fn changed(&mut self, key: FactKey) {
        self.rumor_queue.learnt(key.clone(), self.swim.cluster_size());
        self.unpersisted.insert(key);
    }

    /// Facts that are not on disk yet, at most so many; they count as kept from now on.
    pub fn take_unpersisted(&mut self, most: usize) -> Vec<Fact> {
        let mut facts = Vec::new();
        while facts.len() < most
            && let Some(key) = self.unpersisted.pop_first()
        {
            match self.store.get(&key) {
                Some(entry) => facts.push((key, entry.clone())),
                None => continue,
            }
        }
        facts
    }

    /// Facts could not be kept: they are still to be.
    pub fn persist_failed(&mut self, keys: impl IntoIterator<Item = FactKey>) {
        self.unpersisted.extend(keys);
    }

    /// Whether all is on disk.
    pub fn is_persisted(&self) -> bool {
        self.unpersisted.is_empty()
    }

    /// Servers of which peers have heard something that is new here.
    pub fn take_updated_server(&mut self) -> Option<FactKey> {
        self.updated_servers.pop_front()
    }

    /// What is to be sent.
    pub fn take_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// What people are told.
    pub fn take_notification(&mut self) -> Option<Notification> {
        self.notifications.pop_front()
    }

    /// A new origin, where somebody else uses this one.
    pub fn replace_origin(&mut self, origin: Origin) {
        self.store.set_origin(origin);
        self.notifications.push_back(Notification::OriginReplaced);
    }

    /// Whether somebody else uses this process's stamps.
    pub fn has_duplicate_origin(&self) -> bool {
        self.store.has_duplicate_origin()
    }

    fn sender(&self) -> Sender {
        Sender {
            cluster_id: codec::cluster_id(&self.settings.cluster),
            name: self.settings.name.clone(),
            origin: self.store.origin(),
            incarnation: self.swim.incarnation(),
            latest_version: self.settings.latest_version,
        }
    }

    fn count_drop(&mut self, why: DropReason, from: SocketAddr, now: Nanos) {
        let (count, last_notified) = self.drop_counts.entry(why).or_insert((0, 0));
        *count += 1;
        if *count == 1 || now >= *last_notified + 60_000 * MS {
            *last_notified = now;
            self.notifications.push_back(Notification::Dropped(why, from));
        }
    }

    // ---- datagrams ----

    /// A datagram came.
    pub fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Nanos) {
        let Some(&n) = self.by_addr.get(&from) else {
            return self.count_drop(DropReason::UnlistedAddress, from, now);
        };
        let (since, count) = self.peers[n].rate_window;
        self.peers[n].rate_window =
            if now >= since + 1_000 * MS { (now, 1) } else { (since, count.saturating_add(1)) };
        if self.peers[n].rate_window.1 > MAX_DATAGRAMS_PER_SECOND {
            return self.count_drop(DropReason::RateLimited, from, now);
        }
        let datagram = match Datagram::decode(bytes, self.settings.latest_version) {
            Ok(datagram) => datagram,
            Err(FrameError::UnsupportedVersion(_)) => {
                return self.count_drop(DropReason::UnsupportedVersion, from, now);
            }
            Err(_) => return self.count_drop(DropReason::MalformedFrame, from, now),
        };
        if let Err(why) = self.verify_sender(n, &datagram.sender) {
            return self.count_drop(why, from, now);
        }
        let p = &mut self.peers[n];
        (p.origin, p.latest_version, p.last_received) =
            (Some(datagram.sender.origin), datagram.sender.latest_version, Some(now));
        self.merge_facts(&datagram.facts, from, now);
        self.record_root(n, datagram.root, now);
        self.swim.on_message(n, datagram.sender.incarnation, &datagram.probe, now);
        self.swim.on_status_updates(&datagram.sender.name, &datagram.status_updates, now);
        self.flush_failure_detector(now);
    }

    /// Whether somebody at the address of peer `n` is that peer.
    fn verify_sender(&self, n: usize, sender: &Sender) -> Result<(), DropReason> {
        if !self.peers[n].listed {
            return Err(DropReason::UnlistedAddress);
        }
        if sender.cluster_id != codec::cluster_id(&self.settings.cluster) {
            Err(DropReason::OtherCluster)
        } else if sender.name == self.settings.name {
            Err(DropReason::OwnName)
        } else if sender.name != self.peers[n].name {
            Err(DropReason::NameMismatch)
        } else if self.derived_state.removed.contains(&sender.name) {
            Err(DropReason::RemovedSender)
        } else {
            Ok(())
        }
    }

    fn record_root(&mut self, n: usize, root: Option<u64>, now: Nanos) {
        let same = root == Some(self.store.tree().root());
        let p = &mut self.peers[n];
        p.root = root.or(p.root);
        if root.is_some() {
            p.differs_since = if same { None } else { p.differs_since.or(Some(now)) };
        }
    }

    /// Takes facts in.
    fn merge_facts(&mut self, facts: &[Fact], from: SocketAddr, now: Nanos) {
        let before = self.store.version();
        // Many at once are what somebody missed, not news: the digests bring them to whoever missed them too.
        let is_news = facts.len() <= MAX_RUMOR_BATCH;
        let mut received = 0;
        for (key, entry) in facts {
            match self.store.join(key, entry, now) {
                Ok(true) => {
                    if is_news {
                        self.changed(key.clone());
                    } else {
                        self.unpersisted.insert(key.clone());
                    }
                    match key {
                        FactKey::Drain(_) | FactKey::Start(_) => self.updated_servers.push_back(key.clone()),
                        _ if is_news => self.notifications.push_back(Notification::FactChanged(key.clone())),
                        _ => received += 1,
                    }
                }
                Ok(false) => {}
                Err(_) => self.count_drop(DropReason::InvalidFact, from, now),
            }
        }
        if received > 0 {
            self.notifications.push_back(Notification::FactsReceived(received));
        }
        if self.store.version() != before {
            self.update_derived_state(now);
        }
    }

    /// What follows from the facts.
    fn update_derived_state(&mut self, now: Nanos) {
        let mut keys = self.store.take_changed_keys();
        keys.extend(self.derived_state.ended(now));
        if keys.is_empty() {
            return;
        }
        let mut membership_changed = false;
        for key in &keys {
            self.derived_state.look(&self.store, key, &self.settings.name, now);
            membership_changed |= matches!(key, FactKey::Removed(_));
        }
        if membership_changed {
            self.update_removed_peers();
        }
    }

    /// Who was removed by hand, or is not in the operator's file any more, is not spoken to.
    fn update_removed_peers(&mut self) {
        let mut removed = self.derived_state.removed.clone();
        removed.extend(self.peers.iter().filter(|p| !p.listed).map(|p| p.name.clone()));
        self.swim.set_removed(&removed);
        let is_removed = self.derived_state.removed.contains(&self.settings.name);
        if is_removed && !self.is_removed {
            self.notifications.push_back(Notification::RemovedFromCluster);
        }
        self.is_removed = is_removed;
    }

    /// The operator's file names these peers from now on: some are new, some have moved, some are gone.
    pub fn set_peers(&mut self, peers: &[(String, SocketAddr)], now: Nanos) {
        self.peers.iter_mut().for_each(|p| p.listed = false);
        for (name, at) in peers {
            match self.swim.peer_index(name) {
                Some(n) => {
                    let p = &mut self.peers[n];
                    if p.address != *at {
                        // Another place may be another process: it is asked anew.
                        (p.address, p.origin, p.root, p.differs_since, p.last_received) =
                            (*at, None, None, None, None);
                    }
                    p.listed = true;
                }
                None => {
                    self.swim.add_peer(name);
                    self.peers.push(Peer::new(name, *at, now));
                }
            }
        }
        let listed = self.peers.iter().enumerate().filter(|(_, p)| p.listed);
        self.by_addr = listed.map(|(n, p)| (p.address, n)).collect();
        self.update_removed_peers();
        self.next_sync = self.next_sync.min(now + CATCH_UP_SYNC_INTERVAL);
    }

    /// Sends what there is to send to one peer.
    fn send_datagram(&mut self, to: usize, probe: Probe, facts: Vec<Fact>) {
        if self.is_removed {
            return;
        }
        let status_updates = self.swim.updates_for(to, STATUS_UPDATES_BYTES);
        let version = self.peers[to]
            .latest_version
            .min(self.settings.latest_version)
            .clamp(FIRST_VERSION, LATEST_VERSION);
        let datagram = Datagram {
            sender: self.sender(),
            probe,
            status_updates,
            facts,
            root: Some(self.store.tree().root()),
        };
        let bytes = datagram.encode(version);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            self.outputs.push_back(Output::Datagram { to: self.peers[to].address, bytes });
        }
    }

    /// Sends what the probing wants sent, and tells what it found.
    fn flush_failure_detector(&mut self, now: Nanos) {
        for (to, probe) in self.swim.take_probes() {
            self.send_datagram(to, probe, Vec::new());
        }
        for event in self.swim.take_events() {
            let name = |n: usize| self.peers[n].name.clone();
            let notification = match event {
                PeerEvent::Up(n) => Notification::PeerUp(name(n)),
                PeerEvent::Suspected(n) => Notification::PeerSuspected(name(n)),
                PeerEvent::Down(n) => Notification::PeerDown(name(n)),
                PeerEvent::Refuted => Notification::Refuted,
                PeerEvent::Stalled(t) => {
                    // What was missed meanwhile is asked for at once.
                    if self.sync_status == SyncStatus::CaughtUp && t > STREAM_IDLE_TIMEOUT {
                        (self.sync_status, self.catching_up_since, self.next_sync) =
                            (SyncStatus::CatchingUp, now, now);
                    }
                    Notification::Stalled(t)
                }
            };
            self.notifications.push_back(notification);
        }
        self.update_derived_state(now);
    }

    // ---- connections ----

    /// A peer has opened a connection, to which the caller gave this number.
    pub fn on_accepted(&mut self, stream: u64, from: SocketAddr, now: Nanos) {
        let listed = |ip: IpAddr| self.peers.iter().any(|p| p.listed && p.address.ip() == ip);
        let why = if !listed(from.ip()) {
            Some(DropReason::UnlistedAddress)
        } else if self.incoming.len() >= MAX_INCOMING_STREAMS || self.is_removed {
            Some(DropReason::ProtocolViolation)
        } else {
            None
        };
        if let Some(why) = why {
            self.count_drop(why, from, now);
            return self.outputs.push_back(Output::Close { stream });
        }
        self.incoming.insert(stream, IncomingSync { peer: None, last_activity: now });
    }

    /// A connection that this broker opened is up.
    pub fn on_connected(&mut self, stream: u64, now: Nanos) {
        let frame = StreamFrame::Hello { sender: self.sender(), status_updates: self.swim.all_updates() };
        if let Some(o) = self.outgoing.as_mut().filter(|o| o.stream == stream) {
            o.last_activity = now;
            self.outputs.push_back(Output::Send { stream, bytes: frame.encode() });
        }
    }

    /// A connection has ended.
    pub fn on_closed(&mut self, stream: u64, now: Nanos) {
        self.incoming.remove(&stream);
        if self.outgoing.as_ref().is_some_and(|o| o.stream == stream) {
            self.outgoing = None;
            self.schedule_sync(now);
        }
    }

    fn close_stream(&mut self, stream: u64, now: Nanos) {
        self.outputs.push_back(Output::Close { stream });
        self.on_closed(stream, now);
    }

    fn schedule_sync(&mut self, now: Nanos) {
        let interval =
            if self.sync_status == SyncStatus::CaughtUp { SYNC_INTERVAL } else { CATCH_UP_SYNC_INTERVAL };
        self.next_sync = now + interval / 2 + self.swim.jitter(interval);
    }

    /// A frame came on a connection, without its length.
    pub fn on_frame(&mut self, stream: u64, from: SocketAddr, bytes: &[u8], now: Nanos) {
        let decoded = StreamFrame::decode(bytes).map_err(|e| match e {
            FrameError::UnsupportedVersion(_) => DropReason::UnsupportedVersion,
            _ => DropReason::MalformedFrame,
        });
        let handled = decoded.and_then(|frame| {
            if self.incoming.contains_key(&stream) {
                self.on_request(stream, from, frame, now)
            } else if self.outgoing.as_ref().is_some_and(|o| o.stream == stream) {
                self.on_reply(stream, from, frame, now)
            } else {
                Ok(())
            }
        });
        if let Err(why) = handled {
            self.count_drop(why, from, now);
            self.close_stream(stream, now);
        }
        self.flush_failure_detector(now);
    }

    fn on_hello(&mut self, n: usize, sender: &Sender, status_updates: &[StatusUpdate], now: Nanos) {
        let p = &mut self.peers[n];
        p.latest_version = sender.latest_version;
        // Another process under that name speaks by datagram: what it says of itself there holds.
        if p.origin.is_none_or(|o| o == sender.origin) {
            (p.origin, p.last_received) = (Some(sender.origin), Some(now));
            self.swim.on_message(n, sender.incarnation, &Probe::Gossip, now);
        }
        self.swim.on_status_updates(&sender.name, status_updates, now);
    }

    fn on_request(
        &mut self,
        stream: u64,
        from: SocketAddr,
        frame: StreamFrame,
        now: Nanos,
    ) -> Result<(), DropReason> {
        let known = self.incoming.get(&stream).and_then(|i| i.peer);
        let (peer, reply) = match (known, frame) {
            (None, StreamFrame::Hello { sender, status_updates }) => {
                let n = self.swim.peer_index(&sender.name).ok_or(if sender.name == self.settings.name {
                    DropReason::OwnName
                } else {
                    DropReason::UnlistedAddress
                })?;
                self.verify_sender(n, &sender)?;
                self.on_hello(n, &sender, &status_updates, now);
                (n, StreamFrame::Hello { sender: self.sender(), status_updates: self.swim.all_updates() })
            }
            (Some(n), StreamFrame::Sync(message)) => {
                self.merge_facts(anti_entropy::facts(&message), from, now);
                (
                    n,
                    StreamFrame::Sync(
                        anti_entropy::answer(&self.store, &message)
                            .map_err(|_| DropReason::ProtocolViolation)?,
                    ),
                )
            }
            _ => return Err(DropReason::ProtocolViolation),
        };
        self.incoming.insert(stream, IncomingSync { peer: Some(peer), last_activity: now });
        self.outputs.push_back(Output::Send { stream, bytes: reply.encode() });
        Ok(())
    }

    fn on_reply(
        &mut self,
        stream: u64,
        from: SocketAddr,
        frame: StreamFrame,
        now: Nanos,
    ) -> Result<(), DropReason> {
        let Some(mut o) = self.outgoing.take() else { return Ok(()) };
        o.last_activity = now;
        let next = match (frame, o.first_message.take()) {
            (StreamFrame::Hello { sender, status_updates }, Some(first)) => {
                if let Err(why) = self.verify_sender(o.peer, &sender) {
                    self.outgoing = Some(o);
                    return Err(why);
                }
                self.on_hello(o.peer, &sender, &status_updates, now);
                Some(first)
            }
            (StreamFrame::Sync(message), None) => {
                self.merge_facts(anti_entropy::facts(&message), from, now);
                match o.session.next(&self.store, &message) {
                    Ok(next) => next,
                    Err(_) => {
                        self.outgoing = Some(o);
                        return Err(DropReason::ProtocolViolation);
                    }
                }
            }
            (_, first) => {
                o.first_message = first;
                self.outgoing = Some(o);
                return Err(DropReason::ProtocolViolation);
            }
        };
        match next {
            Some(message) => {
                self.outputs.push_back(Output::Send { stream, bytes: StreamFrame::Sync(message).encode() });
                self.outgoing = Some(o);
            }
            None => {
                self.outputs.push_back(Output::Close { stream });
                self.peers[o.peer].differs_since = None;
                self.peers[o.peer].last_synced = now;
                if o.session.is_whole() && self.sync_status != SyncStatus::CaughtUp {
                    self.sync_status = SyncStatus::CaughtUp;
                    self.notifications.push_back(Notification::CaughtUp(self.peers[o.peer].name.clone()));
                }
                self.schedule_sync(now);
                if !o.session.is_whole() {
                    self.next_sync =
                        now + CATCH_UP_SYNC_INTERVAL / 2 + self.swim.jitter(CATCH_UP_SYNC_INTERVAL);
                    self.peers[o.peer].differs_since = Some(now.saturating_sub(2 * MIN_DIVERGENCE));
                }
            }
        }
        Ok(())
    }

    // ---- time ----

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos) {
        self.swim.tick(now);
        self.flush_failure_detector(now);
        if now >= self.next_gossip && !self.rumor_queue.is_empty() {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.send_rumors();
        }
        let is_idle = |since: Nanos| since + STREAM_IDLE_TIMEOUT <= now;
        if let Some(stream) = self.outgoing.as_ref().filter(|o| is_idle(o.last_activity)).map(|o| o.stream) {
            self.close_stream(stream, now);
        }
        let idle: Vec<u64> =
            self.incoming.iter().filter(|(_, i)| is_idle(i.last_activity)).map(|(s, _)| *s).collect();
        idle.into_iter().for_each(|stream| self.close_stream(stream, now));
        if now >= self.next_sync && self.outgoing.is_none() {
            self.begin_sync(now);
        }
        if now >= self.next_garbage_collection {
            self.next_garbage_collection = now + garbage_collection_interval(&self.settings.store_limits);
            for key in self.store.collect_garbage(now) {
                self.unpersisted.insert(key);
            }
            self.update_derived_state(now);
        }
    }

    fn send_rumors(&mut self) {
        let to = self.swim.sample_peers(GOSSIP_FANOUT, None);
        let facts = self
            .rumor_queue
            .take(&self.store, MAX_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES - STATUS_UPDATES_BYTES);
        if !facts.is_empty() {
            for peer in to {
                self.send_datagram(peer, Probe::Gossip, facts.clone());
            }
        }
    }

    /// Begins a walk with whom it is due, if it is with anybody.
    fn begin_sync(&mut self, now: Nanos) {
        self.next_sync = now + CATCH_UP_SYNC_INTERVAL;
        if self.is_removed {
            return;
        }
        if self.sync_status == SyncStatus::CaughtUp
            && self.swim.sample_peers(1, None).is_empty()
            && !self.peers.is_empty()
        {
            self.sync_status = SyncStatus::Isolated;
            self.notifications.push_back(Notification::Isolated);
        }
        let peer = if self.sync_status == SyncStatus::CaughtUp {
            self.diverged_peer(now)
        } else {
            let isolated_after = 3 * self.settings.swim.probe_interval.max(1_000 * MS);
            if self.sync_status == SyncStatus::CatchingUp && now >= self.catching_up_since + isolated_after {
                self.sync_status = SyncStatus::Isolated;
                self.notifications.push_back(Notification::Isolated);
            }
            let up = self.swim.sample_peers(1, None).first().copied();
            up.or_else(|| self.swim.any_peer())
        };
        let Some(peer) = peer else {
            self.next_sync = now + SYNC_INTERVAL;
            return;
        };
        self.last_stream += 1;
        let (session, first_message) = SyncSession::begin(&self.store, SYNC_BUDGET_BYTES);
        let stream = self.last_stream;
        self.outgoing = Some(OutgoingSync {
            stream,
            peer,
            session,
            first_message: Some(first_message),
            last_activity: now,
        });
        self.outputs.push_back(Output::Dial { stream, to: self.peers[peer].address });
    }

    fn diverged_peer(&mut self, now: Nanos) -> Option<usize> {
        let wait = MIN_DIVERGENCE + self.swim.jitter(MIN_DIVERGENCE);
        // While there is news to tell, copies differ for no other reason.
        let due = |p: &Peer| self.rumor_queue.is_empty() && p.differs_since.is_some_and(|t| t + wait <= now);
        // Digests are not told in the first version.
        let latest_version = self.settings.latest_version;
        let rootless = |p: &Peer| {
            p.last_received.is_some()
                && p.latest_version.min(latest_version) == FIRST_VERSION
                && p.last_synced + ROOTLESS_SYNC_INTERVAL <= now
        };
        let up = |n: &usize| self.swim.status(*n) == PeerStatus::Alive;
        let all: Vec<usize> = (0..self.peers.len())
            .filter(|n| due(&self.peers[*n]) || rootless(&self.peers[*n]))
            .filter(up)
            .collect();
        let most = all.len() as u64;
        if all.is_empty() { None } else { Some(all[self.swim.jitter(most) as usize % all.len()]) }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        let gossip = (!self.rumor_queue.is_empty()).then_some(self.next_gossip);
        let sync = self.outgoing.is_none().then_some(self.next_sync);
        let last_activity = self
            .outgoing
            .iter()
            .map(|o| o.last_activity)
            .chain(self.incoming.values().map(|i| i.last_activity));
        let all = [
            Some(self.swim.next_deadline()),
            gossip,
            sync,
            Some(self.next_garbage_collection),
            self.derived_state.until().map(|t| t.max(now + MS)),
        ];
        all.into_iter()
            .flatten()
            .chain(last_activity.map(|t| t + STREAM_IDLE_TIMEOUT))
            .min()
            .unwrap_or(now + GOSSIP_INTERVAL)
    }
}
