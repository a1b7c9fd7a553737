//! Members of a cluster over a simulated network with losses, delays, duplicates, damaged bytes, cuts, stops,
//! restarts and reloads of the peer list.
//!
//! Recorded: every output and notification, in order, each decoded datagram, and the state of a member at
//! random times. Time advances in whole milliseconds, and deadlines are recorded in milliseconds: the
//! suspicion time-out is computed in floats, whose last bit may differ between platforms.

use super::digest::{
    AtLeast, MILLISECOND, Recorder, Recording, SECOND, assert_recorded, one_in, pick, random,
};
use super::replicated_state::put_derived_state;
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

/// Digests of the code before it was refactored.
const RECORDINGS: [Recording; 3] = [
    Recording { seed: 1, digest: 0x85b0_770e_3216_3156 },
    Recording { seed: 2, digest: 0x80db_c58e_ae9c_c7a3 },
    Recording { seed: 3, digest: 0x6433_db8b_759b_189d },
];

const MEMBERS: usize = 5;
/// Simulated duration of a run, and of one step.
const RUN_TIME: u64 = 300 * SECOND;
const TICK: u64 = 10 * MILLISECOND;
/// On average, one in this many ticks brings a fault or a change by an operator.
const CHANGE_EVERY: usize = 10;
/// Ids of accepted connections start here.
const FIRST_ACCEPTED_STREAM: u64 = 1 << 32;
/// Size of a burst of datagrams: more than a member accepts from one peer.
const FLOOD_DATAGRAMS: usize = 220;
const STREAM_DELAY: u64 = 5 * MILLISECOND;

/// One end of a connection: a member and its id of the connection.
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
    persisted: BTreeMap<FactKey, Fact>,
    listed_peers: Vec<usize>,
    stopped_until: u64,
}

struct Cluster {
    random: Pcg32,
    recorder: Recorder,
    now: u64,
    nodes: Vec<Node>,
    deliveries: BTreeMap<(u64, u64), Delivery>,
    next_delivery: u64,
    next_accepted_stream: u64,
    /// The opposite end of each end of a connection.
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
            persisted: BTreeMap::new(),
            listed_peers: (0..MEMBERS).filter(|peer| *peer != n).collect(),
            stopped_until: 0,
        };
        Cluster {
            random: random(seed),
            recorder: Recorder::new(),
            now: 1_000_000 * SECOND,
            nodes: (0..MEMBERS).map(node).collect(),
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            next_accepted_stream: FIRST_ACCEPTED_STREAM,
            connections: BTreeMap::new(),
            cuts: BTreeSet::new(),
        }
    }

    fn run(mut self) -> Recorder {
        (0..MEMBERS).for_each(|n| self.start(n));
        let end = self.now + RUN_TIME;
        while self.now < end {
            self.now += TICK;
            if one_in(&mut self.random, CHANGE_EVERY) {
                self.inject_change();
            }
            self.deliver();
            (0..MEMBERS).for_each(|n| self.tick(n));
        }
        (0..MEMBERS).for_each(|n| self.observe(n));
        self.recorder
    }

    // ---- members ----

    fn settings(&mut self, n: usize) -> GossipSettings {
        // The last member runs an earlier version of the program.
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
        self.nodes[n].listed_peers.iter().map(|peer| (name(*peer), address(*peer))).collect()
    }

    fn start(&mut self, n: usize) {
        let settings = self.settings(n);
        let origin = Origin(settings.seed << 8 | n as u64);
        let persisted: Vec<Fact> = self.nodes[n].persisted.values().cloned().collect();
        let member = GossipNode::new(settings, origin, &persisted, self.now / MILLISECOND, self.now);
        self.nodes[n].member = Some(member);
        self.recorder.count("start");
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].member = None;
        let ends: Vec<End> = self.connections.keys().filter(|end| end.member == n).copied().collect();
        ends.into_iter().for_each(|end| self.close(end));
    }

    fn is_running(&self, n: usize) -> bool {
        self.nodes[n].member.is_some() && self.nodes[n].stopped_until <= self.now
    }

    /// Calls a member unless it is killed, records what it emits and executes its outputs.
    fn with_member(&mut self, n: usize, call: impl FnOnce(&mut GossipNode, u64)) {
        let Some(member) = self.nodes[n].member.as_mut() else { return };
        call(member, self.now);
        let notifications: Vec<Notification> = std::iter::from_fn(|| member.take_notification()).collect();
        let updated_servers: Vec<FactKey> = std::iter::from_fn(|| member.take_updated_server()).collect();
        let outputs: Vec<Output> = std::iter::from_fn(|| member.take_output()).collect();
        if notifications.is_empty() && updated_servers.is_empty() && outputs.is_empty() {
            return;
        }
        self.recorder.put_u64(self.now);
        self.recorder.put_usize(n);
        self.recorder.put_sequence(&notifications, put_notification);
        self.recorder.put_serialized(&updated_servers);
        self.recorder.put_sequence(&outputs, put_output);
        outputs.into_iter().for_each(|output| self.execute(n, output));
    }

    fn tick(&mut self, n: usize) {
        let now = self.now;
        if self.is_running(n)
            && self.nodes[n].member.as_ref().is_some_and(|member| member.next_deadline(now) <= now)
        {
            self.with_member(n, |member, now| member.tick(now));
        }
    }

    // ---- faults and changes ----

    fn inject_change(&mut self) {
        let n = pick(&mut self.random, MEMBERS);
        match pick(&mut self.random, 32) {
            0..=5 => self.issue_command(n),
            6..=9 => self.record_process_event(n),
            10..=12 => self.cut(n),
            13..=16 => self.cuts.clear(),
            17 => self.kill(n),
            18..=20 if self.nodes[n].member.is_none() => self.start(n),
            21 => self.nodes[n].stopped_until = self.now + pick(&mut self.random, 8) as u64 * SECOND,
            22 => self.reload(n),
            23 => self.replace_origin(n),
            24 | 25 => self.send_invalid_datagrams(n),
            26 => self.change_removal(n),
            27 | 28 => self.persist_facts(n),
            29 => self.send_unexpected_frame(n),
            _ => self.observe(n),
        }
    }

    fn record_command(&mut self, n: usize, key: &FactKey, value: CommandValue) {
        let expires_at = one_in(&mut self.random, 4).then_some(self.now + 10 * SECOND);
        let command = OperatorCommand {
            value,
            author: "staff".into(),
            reason: "reason".into(),
            broker: name(n),
            issued_at: self.now,
            expires_at,
        };
        self.with_member(n, |member, now| {
            let _ = member.record(key, command, now);
        });
        self.recorder.count("said");
    }

    fn issue_command(&mut self, n: usize) {
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
        self.record_command(n, &key, value);
    }

    /// Issues a command that removes the last member from the cluster, or one that readmits it.
    fn change_removal(&mut self, n: usize) {
        let key = FactKey::Removed(name(MEMBERS - 1));
        let value = if one_in(&mut self.random, 3) { CommandValue::Set } else { CommandValue::Clear };
        self.record_command(n, &key, value);
    }

    fn record_process_event(&mut self, n: usize) {
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

    /// Reloads the peer list of a member: one peer is missing from it, or all are listed.
    fn reload(&mut self, n: usize) {
        let without = pick(&mut self.random, 2 * MEMBERS);
        self.nodes[n].listed_peers = (0..MEMBERS).filter(|peer| *peer != n && *peer != without).collect();
        let list = self.peer_list(n);
        self.with_member(n, |member, now| member.set_peers(&list, now));
        self.recorder.count("reload");
    }

    fn replace_origin(&mut self, n: usize) {
        let origin = Origin(1 << 60 | self.now);
        self.with_member(n, |member, _| member.replace_origin(origin));
    }

    /// Sends datagrams whose senders are ignored, one with an invalid fact, and sometimes a flood.
    fn send_invalid_datagrams(&mut self, to: usize) {
        let from = (to + 1) % MEMBERS;
        let datagrams = [
            (address(99), "cluster", name(from)),
            (address(from), "other", name(from)),
            (address(from), "cluster", name(to)),
            (address(from), "cluster", "stranger".into()),
        ];
        for (from, cluster, name) in datagrams {
            self.push_datagram(from, to, cluster, name, Vec::new());
        }
        let invalid_fact = (FactKey::Server(String::new()), FactValue::Latest(ProcessStart::default()));
        self.push_datagram(address(from), to, "cluster", name(from), vec![invalid_fact]);
        if one_in(&mut self.random, 4) {
            (0..FLOOD_DATAGRAMS)
                .for_each(|_| self.push_datagram(address(from), to, "cluster", name(from), Vec::new()));
        }
    }

    fn push_datagram(&mut self, from: SocketAddr, to: usize, cluster: &str, name: String, facts: Vec<Fact>) {
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

    /// Opens a connection whose first frame is not the one that the protocol requires first.
    fn send_unexpected_frame(&mut self, to: usize) {
        self.next_accepted_stream += 1;
        let (stream, from) = (self.next_accepted_stream, address((to + 1) % MEMBERS));
        let frame = StreamFrame::Sync(SyncMessage::PushAccepted).encode();
        self.with_member(to, |member, now| {
            member.on_accepted(stream, from, now);
            member.on_frame(stream, from, &frame[4..], now);
        });
    }

    /// Writes changed facts of a member to its disk; one write in four fails.
    fn persist_facts(&mut self, n: usize) {
        let Some(member) = self.nodes[n].member.as_mut() else { return };
        let mut facts = member.take_unpersisted(20);
        if one_in(&mut self.random, 4) {
            member.persist_failed(facts.drain(..).map(|(key, _)| key));
        }
        self.recorder.put_bool(member.is_persisted());
        self.recorder.put_serialized(&facts);
        self.nodes[n].persisted.extend(facts.into_iter().map(|fact| (fact.0.clone(), fact)));
        self.recorder.count("kept");
    }

    // ---- the network ----

    fn push(&mut self, delay: u64, delivery: Delivery) {
        self.next_delivery += 1;
        self.deliveries.insert((self.now + delay, self.next_delivery), delivery);
    }

    fn execute(&mut self, n: usize, output: Output) {
        match output {
            Output::Datagram { to, bytes } => self.send_datagram(n, to, bytes),
            Output::Dial { stream, to } => self.dial(End { member: n, stream }, to),
            Output::Send { stream, bytes } => self.send_frame(End { member: n, stream }, bytes),
            Output::Close { stream } => self.close(End { member: n, stream }),
        }
    }

    fn member_at(socket: SocketAddr) -> Option<usize> {
        (0..MEMBERS).find(|n| address(*n) == socket)
    }

    fn send_datagram(&mut self, n: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        let Some(to) = Cluster::member_at(to) else { return };
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
        let max_delay_ms = if one_in(&mut self.random, 20) { 500 } else { 20 };
        let delay = pick(&mut self.random, max_delay_ms) as u64 * MILLISECOND;
        self.push(delay, Delivery::Datagram { from, to, bytes });
    }

    fn dial(&mut self, end: End, to: SocketAddr) {
        let reachable = Cluster::member_at(to)
            .filter(|to| self.is_running(*to) && !self.cuts.contains(&(end.member, *to)));
        let Some(to) = reachable else { return self.push(STREAM_DELAY, Delivery::Closed(end)) };
        self.next_accepted_stream += 1;
        let other = End { member: to, stream: self.next_accepted_stream };
        self.connections.insert(end, other);
        self.connections.insert(other, end);
        self.with_member(to, |member, now| member.on_accepted(other.stream, address(end.member), now));
        self.push(STREAM_DELAY, Delivery::Connected(end));
    }

    /// Frames are delivered in order; across a cut they are lost, and the connection ends by its time-out.
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
        recorder.put_serialized(&(
            member.incarnation(),
            member.health_score(),
            due,
            member.has_duplicate_origin(),
        ));
        recorder.put_bytes(&member.store().to_bytes());
        put_derived_state(recorder, member.derived_state());
        recorder.put_sequence(member.drop_counts(), |recorder, (reason, drops)| {
            put_drop_reason(recorder, reason);
            recorder.put_u64(drops);
        });
        recorder.put_sequence(member.peers(now), |recorder, peer| {
            recorder.put_serialized(&(
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
            recorder.put_serialized(&(0, to, bytes));
        }
        Output::Dial { stream, to } => {
            recorder.count("dial");
            recorder.put_serialized(&(1, stream, to));
        }
        Output::Send { stream, bytes } => {
            recorder.count("send");
            recorder.put_serialized(&(2, stream, bytes));
        }
        Output::Close { stream } => {
            recorder.count("close");
            recorder.put_serialized(&(3, stream));
        }
    }
}

fn put_notification(recorder: &mut Recorder, notification: &Notification) {
    let (tag, kind) = match notification {
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
    match notification {
        Notification::PeerUp(name)
        | Notification::PeerSuspected(name)
        | Notification::PeerDown(name)
        | Notification::CaughtUp(name) => {
            recorder.put_str(name);
        }
        Notification::Stalled(time) => recorder.put_u64(*time / MILLISECOND),
        Notification::Dropped(reason, from) => {
            put_drop_reason(recorder, *reason);
            recorder.put_str(&from.to_string());
        }
        Notification::FactChanged(key) => recorder.put_serialized(key),
        Notification::FactsReceived(number) => recorder.put_usize(*number),
        Notification::Refuted
        | Notification::Isolated
        | Notification::OriginReplaced
        | Notification::RemovedFromCluster => {}
    }
}

fn put_drop_reason(recorder: &mut Recorder, reason: DropReason) {
    let (tag, kind) = match reason {
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

fn put_datagram(recorder: &mut Recorder, decoded: &Result<Datagram, FrameError>) {
    let datagram = match decoded {
        Ok(datagram) => datagram,
        Err(error) => {
            recorder.count("bad frame");
            return put_frame_error(recorder, error);
        }
    };
    match datagram.probe {
        Probe::PingRequest { .. } => recorder.count("indirect probe"),
        Probe::Nack { .. } => recorder.count("negative answer"),
        Probe::Gossip | Probe::Ping { .. } | Probe::Ack { .. } => {}
    }
    let Datagram { sender, probe, status_updates, facts, root } = datagram;
    recorder.put_serialized(&(sender, probe, status_updates, facts, root));
}

fn put_frame_error(recorder: &mut Recorder, error: &FrameError) {
    let (tag, value) = match error {
        FrameError::InvalidLength(length) => (1, *length),
        FrameError::UnknownFormat => (2, 0),
        FrameError::UnsupportedVersion(version) => (3, usize::from(*version)),
        FrameError::ChecksumMismatch => (4, 0),
        FrameError::MalformedBody => (5, 0),
    };
    recorder.put_serialized(&(tag, value));
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
    assert_recorded(&RECORDINGS, &expected, |seed| Cluster::new(seed).run());
}
