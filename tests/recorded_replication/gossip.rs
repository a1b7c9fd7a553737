//! Members of a cluster over a simulated network with losses, delays, duplicates, damaged bytes, cuts, stops, restarts
//! and reloads of the peer list.
//!
//! Recorded: every output and everything told, in order, what was read from each datagram, and the state of a member
//! now and then. Times come in steps of whole milliseconds, and due times are recorded in milliseconds: the span of
//! a suspicion is worked out in floats, whose last bit may differ between platforms.

use super::digest::{
    AtLeast, MILLISECOND, Recorder, Recording, SECOND, assert_recorded, one_in, pick, random,
};
use super::replicated_state::put_effect;
use pebbleturn::gossip::codec::{self, Datagram, FrameError, Sender, StreamFrame};
use pebbleturn::gossip::swim::{self, Probe};
use pebbleturn::gossip::{DropReason, GossipNode, GossipSettings, Notification, Output, SyncStatus};
use pebbleturn::replication::anti_entropy::SyncMessage;
use pebbleturn::replication::{
    CommandValue, Fact, FactKey, FactValue, OperatorCommand, Origin, ProcessStart, StoreLimits,
};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Recorded before names and structure were changed.
const RECORDINGS: [Recording; 3] = [
    Recording { seed: 1, digest: 0x85b0_770e_3216_3156 },
    Recording { seed: 2, digest: 0x80db_c58e_ae9c_c7a3 },
    Recording { seed: 3, digest: 0x6433_db8b_759b_189d },
];

const MEMBERS: usize = 5;
/// Simulated time of one run, and its steps.
const RUN: u64 = 300 * SECOND;
const TICK: u64 = 10 * MILLISECOND;
/// One of so many ticks brings a fault or a change by hand.
const CHANGE_EVERY: usize = 10;
/// Numbers of connections that others opened begin here.
const ACCEPTED_FROM: u64 = 1 << 32;
/// Datagrams at once that are more than a member takes from one peer.
const FLOOD: usize = 220;
const STREAM_DELAY: u64 = 5 * MILLISECOND;

/// One end of a connection: a member and its number for it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct End {
    member: usize,
    stream: u64,
}

enum Delivery {
    Datagram { from: SocketAddr, to: usize, bytes: Vec<u8> },
    Connected(End),
    Frame { to: End, from: SocketAddr, bytes: Vec<u8> },
    Closed(End),
}

struct Node {
    member: Option<GossipNode>,
    kept: BTreeMap<FactKey, Fact>,
    listed: Vec<usize>,
    stopped_until: u64,
}

struct Cluster {
    random: Pcg32,
    recorder: Recorder,
    now: u64,
    nodes: Vec<Node>,
    deliveries: BTreeMap<(u64, u64), Delivery>,
    next_delivery: u64,
    next_accepted: u64,
    /// The other end of each end.
    connections: BTreeMap<End, End>,
    cuts: BTreeSet<(usize, usize)>,
}

fn name(n: usize) -> String {
    format!("broker-{n}")
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7000))
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let node = |n: usize| Node {
            member: None,
            kept: BTreeMap::new(),
            listed: (0..MEMBERS).filter(|peer| *peer != n).collect(),
            stopped_until: 0,
        };
        Cluster {
            random: random(seed),
            recorder: Recorder::new(),
            now: 1_000_000 * SECOND,
            nodes: (0..MEMBERS).map(node).collect(),
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_accepted: ACCEPTED_FROM,
            connections: BTreeMap::new(),
            cuts: BTreeSet::new(),
        }
    }

    fn play(mut self) -> Recorder {
        (0..MEMBERS).for_each(|n| self.start(n));
        let end = self.now + RUN;
        while self.now < end {
            self.now += TICK;
            if one_in(&mut self.random, CHANGE_EVERY) {
                self.change();
            }
            self.deliver();
            (0..MEMBERS).for_each(|n| self.tick(n));
        }
        (0..MEMBERS).for_each(|n| self.observe(n));
        self.recorder
    }

    // ---- members ----

    fn settings(&mut self, n: usize) -> GossipSettings {
        // The last one is of an earlier program.
        let latest_version = if n + 1 == MEMBERS { codec::FIRST_VERSION } else { codec::LATEST_VERSION };
        GossipSettings {
            cluster: "cluster".into(),
            name: name(n),
            peers: self.peer_list(n),
            swim: swim::SwimSettings {
                probe_interval: SECOND,
                probe_timeout: 300 * MILLISECOND,
                indirect_probes: 2,
            },
            store_limits: StoreLimits { retention: 20 * SECOND, ..StoreLimits::default() },
            latest_version,
            seed: pick(&mut self.random, 1 << 30) as u64,
        }
    }

    fn peer_list(&self, n: usize) -> Vec<(String, SocketAddr)> {
        self.nodes[n].listed.iter().map(|peer| (name(*peer), address(*peer))).collect()
    }

    fn start(&mut self, n: usize) {
        let settings = self.settings(n);
        let origin = Origin(settings.seed << 8 | n as u64);
        let kept: Vec<Fact> = self.nodes[n].kept.values().cloned().collect();
        let member = GossipNode::new(settings, origin, &kept, self.now / MILLISECOND, self.now);
        self.nodes[n].member = Some(member);
        self.recorder.count("start");
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].member = None;
        let ends: Vec<End> = self.connections.keys().filter(|end| end.member == n).copied().collect();
        ends.into_iter().for_each(|end| self.close(end));
    }

    fn runs(&self, n: usize) -> bool {
        self.nodes[n].member.is_some() && self.nodes[n].stopped_until <= self.now
    }

    /// Calls a member that runs, and carries out what it wants.
    fn with_member(&mut self, n: usize, call: impl FnOnce(&mut GossipNode, u64)) {
        let Some(member) = self.nodes[n].member.as_mut() else { return };
        call(member, self.now);
        let told: Vec<Notification> = std::iter::from_fn(|| member.take_notification()).collect();
        let heard_of: Vec<FactKey> = std::iter::from_fn(|| member.take_updated_server()).collect();
        let outputs: Vec<Output> = std::iter::from_fn(|| member.take_output()).collect();
        if told.is_empty() && heard_of.is_empty() && outputs.is_empty() {
            return;
        }
        self.recorder.put_u64(self.now);
        self.recorder.put_usize(n);
        self.recorder.put_sequence(&told, put_told);
        self.recorder.put_stored(&heard_of);
        self.recorder.put_sequence(&outputs, put_output);
        outputs.into_iter().for_each(|output| self.carry_out(n, output));
    }

    fn tick(&mut self, n: usize) {
        let now = self.now;
        if self.runs(n)
            && self.nodes[n].member.as_ref().is_some_and(|member| member.next_deadline(now) <= now)
        {
            self.with_member(n, |member, now| member.tick(now));
        }
    }

    // ---- what is done to them ----

    fn change(&mut self) {
        let n = pick(&mut self.random, MEMBERS);
        match pick(&mut self.random, 32) {
            0..=5 => self.say(n),
            6..=9 => self.note(n),
            10..=12 => self.cut(n),
            13..=16 => self.cuts.clear(),
            17 => self.kill(n),
            18..=20 if self.nodes[n].member.is_none() => self.start(n),
            21 => self.nodes[n].stopped_until = self.now + pick(&mut self.random, 8) as u64 * SECOND,
            22 => self.reload(n),
            23 => self.renew(n),
            24 | 25 => self.send_strange(n),
            26 => self.remove(n),
            27 | 28 => self.keep(n),
            29 => self.speak_out_of_turn(n),
            _ => self.observe(n),
        }
    }

    fn say_word(&mut self, n: usize, key: &FactKey, value: CommandValue) {
        let lasts = one_in(&mut self.random, 4).then_some(self.now + 10 * SECOND);
        let word = OperatorCommand {
            value,
            author: "staff".into(),
            reason: "reason".into(),
            broker: name(n),
            issued_at: self.now,
            expires_at: lasts,
        };
        self.with_member(n, |member, now| {
            let _ = member.record(key, word, now);
        });
        self.recorder.count("said");
    }

    fn say(&mut self, n: usize) {
        let value = match pick(&mut self.random, 5) {
            0 | 1 => CommandValue::Clear,
            2 | 3 => CommandValue::Set,
            _ => CommandValue::Text("text ".repeat(1 + pick(&mut self.random, 300))),
        };
        let key = match pick(&mut self.random, 6) {
            0 => FactKey::Pause(name(pick(&mut self.random, MEMBERS))),
            1 => FactKey::MaintenanceOrder("order".into()),
            _ => FactKey::Server(format!("server-{}", pick(&mut self.random, 30))),
        };
        self.say_word(n, &key, value);
    }

    /// Removes the last member, or takes it in again.
    fn remove(&mut self, n: usize) {
        let key = FactKey::Removed(name(MEMBERS - 1));
        let value = if one_in(&mut self.random, 3) { CommandValue::Set } else { CommandValue::Clear };
        self.say_word(n, &key, value);
    }

    fn note(&mut self, n: usize) {
        let id = format!("server-{}", pick(&mut self.random, 30));
        let key = if one_in(&mut self.random, 2) { FactKey::Drain(id) } else { FactKey::Start(id) };
        let latest = ProcessStart { started: self.now, list_version: 1 };
        self.with_member(n, |member, now| member.record_process_event(key, latest, now));
    }

    /// Cuts a member off from some others, in one direction or in both.
    fn cut(&mut self, n: usize) {
        for other in 0..MEMBERS {
            if one_in(&mut self.random, 2) {
                self.cuts.insert((n, other));
            }
            if one_in(&mut self.random, 2) {
                self.cuts.insert((other, n));
            }
        }
        self.recorder.count("cut");
    }

    /// The peer list of a member is read again: one peer is gone from it, or all are there.
    fn reload(&mut self, n: usize) {
        let without = pick(&mut self.random, 2 * MEMBERS);
        self.nodes[n].listed = (0..MEMBERS).filter(|peer| *peer != n && *peer != without).collect();
        let list = self.peer_list(n);
        self.with_member(n, |member, now| member.set_peers(&list, now));
        self.recorder.count("reload");
    }

    fn renew(&mut self, n: usize) {
        let origin = Origin(1 << 60 | self.now);
        self.with_member(n, |member, _| member.replace_origin(origin));
    }

    /// Datagrams of senders that are not listened to, one with a fact that is refused, and now and then a flood.
    fn send_strange(&mut self, to: usize) {
        let from = (to + 1) % MEMBERS;
        let strange = [
            (address(99), "cluster", name(from)),
            (address(from), "other", name(from)),
            (address(from), "cluster", name(to)),
            (address(from), "cluster", "stranger".into()),
        ];
        for (from, cluster, name) in strange {
            self.push_news(from, to, cluster, name, Vec::new());
        }
        let unsound = (FactKey::Server(String::new()), FactValue::Latest(ProcessStart::default()));
        self.push_news(address(from), to, "cluster", name(from), vec![unsound]);
        if one_in(&mut self.random, 4) {
            (0..FLOOD).for_each(|_| self.push_news(address(from), to, "cluster", name(from), Vec::new()));
        }
    }

    fn push_news(&mut self, from: SocketAddr, to: usize, cluster: &str, name: String, facts: Vec<Fact>) {
        let cluster_id = codec::cluster_id(cluster);
        let sender = Sender {
            cluster_id,
            name,
            origin: Origin(5),
            incarnation: 1,
            latest_version: codec::LATEST_VERSION,
        };
        let datagram =
            Datagram { sender, probe: Probe::Gossip, status_updates: Vec::new(), facts, root: Some(1) };
        let bytes = datagram.encode(codec::LATEST_VERSION);
        self.push(TICK, Delivery::Datagram { from, to, bytes });
    }

    /// A connection whose first line is not the one that must come first.
    fn speak_out_of_turn(&mut self, to: usize) {
        self.next_accepted += 1;
        let (stream, from) = (self.next_accepted, address((to + 1) % MEMBERS));
        let line = StreamFrame::Sync(SyncMessage::PushAccepted).encode();
        self.with_member(to, |member, now| {
            member.on_accepted(stream, from, now);
            member.on_frame(stream, from, &line[4..], now);
        });
    }

    /// What a member knows comes to its disk.
    fn keep(&mut self, n: usize) {
        let Some(member) = self.nodes[n].member.as_mut() else { return };
        let mut facts = member.take_unpersisted(20);
        if one_in(&mut self.random, 4) {
            member.persist_failed(facts.drain(..).map(|(key, _)| key));
        }
        self.recorder.put_bool(member.is_persisted());
        self.recorder.put_stored(&facts);
        self.nodes[n].kept.extend(facts.into_iter().map(|fact| (fact.0.clone(), fact)));
        self.recorder.count("kept");
    }

    // ---- the network ----

    fn push(&mut self, delay: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + delay, self.next_delivery), delivery);
    }

    fn carry_out(&mut self, n: usize, output: Output) {
        match output {
            Output::Datagram { to, bytes } => self.send_datagram(n, to, bytes),
            Output::Dial { stream, to } => self.dial(End { member: n, stream }, to),
            Output::Send { stream, bytes } => self.send_frame(End { member: n, stream }, bytes),
            Output::Close { stream } => self.close(End { member: n, stream }),
        }
    }

    fn number(at: SocketAddr) -> Option<usize> {
        (0..MEMBERS).find(|n| address(*n) == at)
    }

    fn send_datagram(&mut self, n: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        let Some(to) = Cluster::number(to) else { return };
        if self.cuts.contains(&(n, to)) || one_in(&mut self.random, 20) {
            return self.recorder.count("lost");
        }
        let from = address(n);
        if one_in(&mut self.random, 50) {
            let bytes = bytes.clone();
            let delay = pick(&mut self.random, 400) as u64 * MILLISECOND;
            self.push(delay, Delivery::Datagram { from, to, bytes });
            self.recorder.count("doubled");
        }
        if one_in(&mut self.random, 200) {
            let at = pick(&mut self.random, bytes.len());
            bytes[at] ^= 1;
        }
        let slow = if one_in(&mut self.random, 20) { 500 } else { 20 };
        let delay = pick(&mut self.random, slow) as u64 * MILLISECOND;
        self.push(delay, Delivery::Datagram { from, to, bytes });
    }

    fn dial(&mut self, end: End, to: SocketAddr) {
        let reached =
            Cluster::number(to).filter(|to| self.runs(*to) && !self.cuts.contains(&(end.member, *to)));
        let Some(to) = reached else { return self.push(STREAM_DELAY, Delivery::Closed(end)) };
        self.next_accepted += 1;
        let other = End { member: to, stream: self.next_accepted };
        self.connections.insert(end, other);
        self.connections.insert(other, end);
        self.with_member(to, |member, now| member.on_accepted(other.stream, address(end.member), now));
        self.push(STREAM_DELAY, Delivery::Connected(end));
    }

    /// Frames come in order; behind a cut they never come, and the silence ends the connection.
    fn send_frame(&mut self, end: End, bytes: Vec<u8>) {
        let Some(&to) = self.connections.get(&end) else { return };
        if self.cuts.contains(&(end.member, to.member)) {
            return;
        }
        let length = codec::frame_end(&bytes).unwrap();
        self.recorder.put_option(length, Recorder::put_usize);
        let mut bytes = bytes[4..].to_vec();
        if one_in(&mut self.random, 100) {
            bytes.pop();
        }
        self.push(STREAM_DELAY, Delivery::Frame { to, from: address(end.member), bytes });
    }

    fn close(&mut self, end: End) {
        if let Some(other) = self.connections.remove(&end) {
            self.connections.remove(&other);
            self.push(STREAM_DELAY, Delivery::Closed(other));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry()
            && entry.key().0 <= self.now
        {
            let delivery = entry.remove();
            self.deliver_one(delivery);
        }
    }

    fn deliver_one(&mut self, delivery: Delivery) {
        let (Delivery::Datagram { to: n, .. }
        | Delivery::Connected(End { member: n, .. })
        | Delivery::Frame { to: End { member: n, .. }, .. }
        | Delivery::Closed(End { member: n, .. })) = delivery;
        if self.nodes[n].stopped_until > self.now {
            let wait = self.nodes[n].stopped_until - self.now;
            return self.push(wait, delivery);
        }
        match delivery {
            Delivery::Datagram { from, bytes, .. } => {
                put_datagram(&mut self.recorder, &Datagram::decode(&bytes, codec::LATEST_VERSION));
                self.with_member(n, |member, now| member.on_datagram(from, &bytes, now));
            }
            Delivery::Connected(end) => {
                self.with_member(n, |member, now| member.on_connected(end.stream, now))
            }
            Delivery::Frame { to, from, bytes } => {
                self.with_member(n, |member, now| member.on_frame(to.stream, from, &bytes, now));
            }
            Delivery::Closed(end) => self.with_member(n, |member, now| member.on_closed(end.stream, now)),
        }
    }

    fn observe(&mut self, n: usize) {
        let (now, recorder) = (self.now, &mut self.recorder);
        let Some(member) = &self.nodes[n].member else { return };
        recorder.put_tag(match member.sync_status() {
            SyncStatus::CatchingUp => 0,
            SyncStatus::CaughtUp => 1,
            SyncStatus::Isolated => 2,
        });
        let due = member.next_deadline(now) / MILLISECOND;
        recorder.put_stored(&(
            member.incarnation(),
            member.health_score(),
            due,
            member.has_duplicate_origin(),
        ));
        recorder.put_bytes(&member.store().to_bytes());
        put_effect(recorder, member.derived_state());
        recorder.put_sequence(member.drop_counts(), |recorder, (why, times)| {
            put_dropped(recorder, why);
            recorder.put_u64(times);
        });
        recorder.put_sequence(member.peers(now), |recorder, peer| {
            recorder.put_stored(&(
                peer.name,
                peer.address,
                peer.status,
                peer.is_in_sync,
                peer.since_last_received,
            ));
        });
    }
}

fn put_output(recorder: &mut Recorder, output: &Output) {
    match output {
        Output::Datagram { to, bytes } => {
            recorder.count("datagram");
            recorder.put_stored(&(0, to, bytes));
        }
        Output::Dial { stream, to } => {
            recorder.count("dial");
            recorder.put_stored(&(1, stream, to));
        }
        Output::Send { stream, bytes } => {
            recorder.count("send");
            recorder.put_stored(&(2, stream, bytes));
        }
        Output::Close { stream } => {
            recorder.count("close");
            recorder.put_stored(&(3, stream));
        }
    }
}

fn put_told(recorder: &mut Recorder, told: &Notification) {
    let (tag, kind) = match told {
        Notification::PeerUp(_) => (0, "up"),
        Notification::PeerSuspected(_) => (1, "suspected"),
        Notification::PeerDown(_) => (2, "down"),
        Notification::Refuted => (3, "refuted"),
        Notification::Stalled(_) => (4, "late"),
        Notification::Dropped(..) => (5, "dropped"),
        Notification::CaughtUp(_) => (6, "caught up"),
        Notification::Isolated => (7, "alone"),
        Notification::OriginReplaced => (8, "new origin"),
        Notification::RemovedFromCluster => (9, "removed"),
        Notification::FactChanged(_) => (10, "changed"),
        Notification::FactsReceived(_) => (11, "came"),
    };
    recorder.count(kind);
    recorder.put_tag(tag);
    match told {
        Notification::PeerUp(name)
        | Notification::PeerSuspected(name)
        | Notification::PeerDown(name)
        | Notification::CaughtUp(name) => {
            recorder.put_str(name);
        }
        Notification::Stalled(time) => recorder.put_u64(*time / MILLISECOND),
        Notification::Dropped(why, from) => {
            put_dropped(recorder, *why);
            recorder.put_str(&from.to_string());
        }
        Notification::FactChanged(key) => recorder.put_stored(key),
        Notification::FactsReceived(number) => recorder.put_usize(*number),
        Notification::Refuted
        | Notification::Isolated
        | Notification::OriginReplaced
        | Notification::RemovedFromCluster => {}
    }
}

fn put_dropped(recorder: &mut Recorder, why: DropReason) {
    let (tag, kind) = match why {
        DropReason::UnlistedAddress => (0, "unlisted sender"),
        DropReason::MalformedFrame => (1, "unreadable frame"),
        DropReason::UnsupportedVersion => (2, "later version"),
        DropReason::OtherCluster => (3, "other cluster"),
        DropReason::NameMismatch => (4, "other name"),
        DropReason::OwnName => (5, "own name"),
        DropReason::RemovedSender => (6, "removed sender"),
        DropReason::RateLimited => (7, "flood"),
        DropReason::InvalidFact => (8, "refused fact"),
        DropReason::ProtocolViolation => (9, "out of turn"),
    };
    recorder.count(kind);
    recorder.put_tag(tag);
}

fn put_datagram(recorder: &mut Recorder, read: &Result<Datagram, FrameError>) {
    let datagram = match read {
        Ok(datagram) => datagram,
        Err(bad) => {
            recorder.count("bad frame");
            return put_bad_frame(recorder, bad);
        }
    };
    match datagram.probe {
        Probe::PingRequest { .. } => recorder.count("indirect probe"),
        Probe::Nack { .. } => recorder.count("negative answer"),
        Probe::Gossip | Probe::Ping { .. } | Probe::Ack { .. } => {}
    }
    let Datagram { sender, probe, status_updates, facts, root } = datagram;
    recorder.put_stored(&(sender, probe, status_updates, facts, root));
}

fn put_bad_frame(recorder: &mut Recorder, bad: &FrameError) {
    let (tag, value) = match bad {
        FrameError::InvalidLength(length) => (1, *length),
        FrameError::UnknownFormat => (2, 0),
        FrameError::UnsupportedVersion(version) => (3, usize::from(*version)),
        FrameError::ChecksumMismatch => (4, 0),
        FrameError::MalformedBody => (5, 0),
    };
    recorder.put_stored(&(tag, value));
}

#[test]
fn gossip_behaves_as_recorded() {
    let expected = [
        AtLeast { count: 500, kinds: "datagram" },
        AtLeast { count: 100, kinds: "send, changed, lost" },
        AtLeast { count: 20, kinds: "dial, close, up, suspected, dropped" },
        AtLeast { count: 20, kinds: "indirect probe, cut, reload, doubled, kept" },
        AtLeast { count: 5, kinds: "down, refuted, late, caught up" },
        AtLeast { count: 5, kinds: "alone, new origin, bad frame, negative answer, start" },
        AtLeast { count: 20, kinds: "unlisted sender, unreadable frame, later version, other cluster" },
        AtLeast { count: 20, kinds: "other name, own name, removed sender, refused fact, out of turn" },
        AtLeast { count: 1, kinds: "flood" },
        AtLeast { count: 1, kinds: "removed, came" },
    ];
    assert_recorded(&RECORDINGS, &expected, |seed| Cluster::new(seed).play());
}
