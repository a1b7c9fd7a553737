//! A broker's place in its cluster: the member, its sockets and its journal, tied to the poll loop.
//!
//! What is decided is in [`crate::gossip`] and [`crate::replication`]; here bytes are moved, and words of staff wait until they
//! are on disk. Peers have sockets, buffers and a bounded share of each turn of their own: they take nothing from
//! clients.

mod status_report;

pub use status_report::{difference_report, store_report};

use crate::admin::request::CommandOptions;
use crate::api::Nanos;
use crate::config::{ClusterConfig, ConfigError, OperatorConfig};
use crate::gossip::codec::{DATAGRAM, frame_end};
use crate::gossip::node::SyncStatus;
use crate::gossip::{GossipNode, GossipSettings, Output, swim};
use crate::net::{ConnId, ConnectionClass, Datagrams, NetEvent, PollLoop, Pool, ReadOutcome};
use crate::replication::derived_state::{DerivedState, NodeHints};
use crate::replication::{
    CommandValue, FactKey, FactValue, JoinError, OperatorCommand, Origin, ProcessStart, StateStore,
    StoreLimits,
};
use crate::storage::Disk;
use crate::storage::journal::{self, Journal, JournalContents};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, TryRecvError, sync_channel};
use std::time::Duration;

/// The mark of its sockets: no front's owners come near it.
pub const OWNER: u8 = 201;
/// Connections of peers that are held at once; what it needs of descriptors beside them.
pub const MAX_PEER_CONNECTIONS: usize = 6;
/// See `PLACES`: a listener, a socket for datagrams, a connection of one's own, the lock and a file.
pub const RESERVED_DESCRIPTORS: usize = 6;
/// Bytes of a buffer, and buffers in all: what peers may make this broker hold.
const BUFFERS: (usize, usize) = (64 * 1024, 32);
/// Datagrams taken in one turn; the rest waits for the next.
const MAX_DATAGRAMS_PER_TURN: usize = 16;
/// Frames taken from one connection in one turn.
const MAX_FRAMES_PER_TURN: usize = 4;
/// Time between two tries to take the addresses from a process that still has them.
const BIND_RETRY_INTERVAL: Nanos = 200_000_000;
/// Time between two looks at the journal while it writes.
const JOURNAL_POLL_INTERVAL: Nanos = 2_000_000;
/// Time after which a failed write is tried again.
const WRITE_RETRY_INTERVAL: Nanos = 1_000_000_000;
/// Facts in one write.
const MAX_FACTS_PER_WRITE: usize = 512;
/// How long a start waits for what is on disk.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A word that waits until it is on disk.
#[derive(Debug)]
struct PendingCommand {
    caller: ConnId,
    key: FactKey,
    success: String,
    ticket: Option<u64>,
}

/// A word of staff that came to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The process before still has this broker's place in the cluster, or its disk is still being read.
    NotReady,
    /// It could not be taken.
    Rejected(JoinError),
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CommandError::NotReady => {
                write!(f, "the cluster's facts are not here yet; say it again in a moment")
            }
            CommandError::Rejected(why) => write!(f, "{why}"),
        }
    }
}

struct Sockets {
    datagrams: Datagrams,
    pool: Pool,
    streams: BTreeMap<u64, (ConnId, SocketAddr)>,
    stream_ids: BTreeMap<ConnId, u64>,
    last_stream_id: u64,
}

/// A broker's place in its cluster.
pub struct Cluster {
    settings: GossipSettings,
    listen: SocketAddr,
    directory: String,
    journal: Journal,
    /// None until what is on disk is known.
    node: Option<Box<GossipNode>>,
    /// None until the addresses are free.
    sockets: Option<Sockets>,
    next_bind_at: Nanos,
    bind_failure_logged: bool,
    next_write_at: Nanos,
    /// Keys of the writes that are out.
    writes_in_flight: BTreeMap<u64, Vec<FactKey>>,
    pending_commands: Vec<PendingCommand>,
    replies: Vec<(ConnId, Result<String, String>)>,
    writes_failing: bool,
    /// The operator's file, and what it says now, while that is read.
    operator_file: Option<PathBuf>,
    reload: Option<Receiver<Result<OperatorConfig, ConfigError>>>,
    /// The longest time that one turn spent here, ns.
    longest_turn: Nanos,
    datagram_buffer: Box<[u8; DATAGRAM + 1]>,
}

/// What a directory holds, and what is wrong there. Nobody's origin: nothing is said with this copy.
pub fn read_directory(dir: &Path) -> (StateStore, Vec<String>) {
    let mut copy = StateStore::new(Origin(0), StoreLimits::default());
    if !dir.is_dir() {
        return (copy, vec![format!("{}: it is no directory", dir.display())]);
    }
    let found = journal::read(&Disk, dir, StoreLimits::default());
    for (key, entry) in &found.facts {
        let _ = copy.join(key, entry, Nanos::MAX);
    }
    (copy, found.wrong)
}

/// Sixty-four bits that no other process has drawn: the system seeds each thread's hashing anew.
fn random_seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

impl Cluster {
    /// A broker of this name among its peers. Waits a moment for what is on disk, so that what staff said holds before the
    /// first client comes; where a process before it still has the disk, that comes later.
    pub fn open(told: &ClusterConfig, name: &str, now: Nanos, net: &mut PollLoop) -> io::Result<Cluster> {
        let bounds = StoreLimits { keep: told.keep_words_s * 1_000_000_000, ..StoreLimits::default() };
        let every = told.probe_ms * 1_000_000;
        let settings = GossipSettings {
            cluster: told.name.clone(),
            name: name.to_owned(),
            peers: told.peers.iter().map(|p| (p.name.clone(), p.address)).collect(),
            swim: swim::SwimSettings { every, timeout: every * 3 / 10, indirect: 3 },
            bounds,
            speaks: told.speak,
            seed: random_seed(),
        };
        let journal = Journal::start(Disk, &told.keep, bounds)?;
        let found = journal.found_within(STARTUP_READ_TIMEOUT);
        let mut cluster = Cluster {
            settings,
            listen: told.listen,
            directory: told.keep.display().to_string(),
            journal,
            node: None,
            sockets: None,
            next_bind_at: now,
            bind_failure_logged: false,
            next_write_at: now,
            writes_in_flight: BTreeMap::new(),
            pending_commands: Vec::new(),
            replies: Vec::new(),
            writes_failing: false,
            operator_file: told.file.clone(),
            reload: None,
            longest_turn: 0,
            datagram_buffer: Box::new([0; DATAGRAM + 1]),
        };
        match found {
            Some(found) => cluster.start_node(found, now),
            None => {
                tracing::info!("cluster: another process has {}; its place is taken later", cluster.directory)
            }
        }
        cluster.try_bind(now, net);
        Ok(cluster)
    }

    fn start_node(&mut self, found: Result<JournalContents, String>, now: Nanos) {
        let found = found.unwrap_or_else(|why| {
            tracing::error!("cluster: nothing can be kept: {why}");
            JournalContents::default()
        });
        if !found.wrong.is_empty() {
            tracing::error!("cluster: not used: {}", found.wrong.join("; "));
        }
        let (seed, origin) = (&self.settings, Origin(random_seed() ^ now.rotate_left(17)));
        let incarnation = (found.incarnation + 1).max(now / 1_000_000);
        tracing::info!(
            "cluster {}: {} of {} peers as {origin}, {} facts on disk",
            seed.cluster,
            seed.name,
            seed.peers.len(),
            found.facts.len()
        );
        self.journal.begin(incarnation);
        self.node =
            Some(Box::new(GossipNode::new(self.settings.clone(), origin, &found.facts, incarnation, now)));
    }

    fn try_bind(&mut self, now: Nanos, net: &mut PollLoop) {
        if self.sockets.is_some() || self.node.is_none() || now < self.next_bind_at {
            return;
        }
        self.next_bind_at = now + BIND_RETRY_INTERVAL;
        // Nobody else comes to this port but a process before this one: both sockets are had, or neither.
        let datagrams = match net.datagrams(self.listen, OWNER) {
            Ok(datagrams) => datagrams,
            Err(e) if std::mem::replace(&mut self.bind_failure_logged, true) => {
                return tracing::debug!("cluster: {e}");
            }
            Err(e) => {
                return tracing::warn!("cluster: {} can't be taken yet: {e}; it is tried again", self.listen);
            }
        };
        let pool = Pool::sized(BUFFERS.1, BUFFERS.0);
        if let Err(e) =
            net.listen_apart(self.listen, OWNER, ConnectionClass::Peers, MAX_PEER_CONNECTIONS, pool.clone())
        {
            tracing::error!("cluster: no peer can connect to {}: {e}", self.listen);
        }
        let (streams, numbers) = (BTreeMap::new(), BTreeMap::new());
        self.sockets =
            Some(Sockets { datagrams, pool, streams, stream_ids: numbers, last_stream_id: 1 << 63 });
        tracing::info!("cluster: peers reach this broker at {}", self.listen);
    }

    // ---- what is asked of it ----

    /// What holds for this broker; none until what is on disk is known.
    pub fn derived_state(&self) -> Option<&DerivedState> {
        self.node.as_ref().map(|m| m.derived_state())
    }

    /// Whether a key was ever spoken of.
    pub fn knows(&self, key: &FactKey) -> bool {
        self.node.as_ref().is_some_and(|m| m.store().get(key).is_some())
    }

    /// Whether the operator's file names this broker.
    pub fn is_broker(&self, name: &str) -> bool {
        name == self.settings.name || self.settings.peers.iter().any(|(n, _)| n == name)
    }

    /// This broker's name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Staff say something; it holds at once, and `caller` is answered once it is on disk.
    pub fn record_command(
        &mut self,
        key: FactKey,
        value: CommandValue,
        aside: CommandOptions,
        caller: ConnId,
        yes: String,
        now: Nanos,
    ) -> Result<(), CommandError> {
        let member = self.node.as_mut().ok_or(CommandError::NotReady)?;
        if member.is_doubled() {
            member.renew(Origin(random_seed() ^ now.rotate_left(17)));
        }
        let (at_broker, until) =
            (self.settings.name.clone(), aside.holds.map(|s| now.saturating_add(s * 1_000_000_000)));
        let word = if value == CommandValue::Out { "out" } else { "back" };
        let said = OperatorCommand { value, who: aside.by, why: aside.why, at_broker, at: now, until };
        let dot = member.record(&key, said, now).map_err(CommandError::Rejected)?;
        tracing::info!("cluster: {key} is said to be {word} here as {dot}");
        self.pending_commands.push(PendingCommand { caller, key, success: yes, ticket: None });
        Ok(())
    }

    /// Whether clients may be sent here: a broker that still asks its peers what it missed waits for that a moment.
    pub fn is_ready(&self) -> bool {
        self.node.as_ref().is_none_or(|m| m.sync_status() != SyncStatus::CatchingUp)
    }

    /// The word to read the operator's file again has come: the peers that it names may have changed. It is read on a
    /// thread of its own; a disk that hangs must not stop the loop.
    pub fn start_reload(&mut self) {
        let Some(file) = self.operator_file.clone() else { return };
        let (tell, told) = sync_channel(1);
        let read = move || drop(tell.send(OperatorConfig::from_file(&file)));
        match std::thread::Builder::new().name("peers".into()).spawn(read) {
            Ok(_) => self.reload = Some(told),
            Err(e) => tracing::error!("cluster: the operator's file can't be read: {e}"),
        }
    }

    fn finish_reload(&mut self, now: Nanos) {
        let read = match self.reload.as_ref().map(Receiver::try_recv) {
            None | Some(Err(TryRecvError::Empty)) => return,
            Some(read) => read,
        };
        self.reload = None;
        let told = match read {
            Ok(Ok(told)) => told.cluster,
            Ok(Err(e)) => return tracing::error!("cluster: the peers stay as they were: {e}"),
            Err(_) => return,
        };
        // Guards against a file that takes the cluster away: that needs a restart.
        let Some(told) = told.filter(|c| c.name == self.settings.cluster) else {
            return tracing::error!("cluster: the peers stay as they were: the file names another cluster");
        };
        self.settings.peers = told.peers.iter().map(|p| (p.name.clone(), p.address)).collect();
        tracing::info!("cluster: file read again: {} peers", told.peers.len());
        if let Some(member) = &mut self.node {
            member.relist(&self.settings.peers, now);
        }
    }

    /// Discovery told this broker of a drain or a start.
    pub fn record_hint(&mut self, key: FactKey, latest: ProcessStart, now: Nanos) {
        if let Some(member) = &mut self.node {
            member.note(key, latest, now);
        }
    }

    /// A server of which others have heard something new, and what.
    pub fn next_hint(&mut self) -> Option<(String, NodeHints)> {
        let member = self.node.as_mut()?;
        let key = member.take_heard_of()?;
        let id = key.name()?.to_owned();
        let latest = |key: &FactKey| match member.store().get(key) {
            Some(FactValue::Latest(l)) => Some(*l),
            _ => None,
        };
        let started = latest(&FactKey::Start(id.clone())).map_or(0, |l| l.started);
        Some((id.clone(), NodeHints { drain: latest(&FactKey::Drain(id)), started }))
    }

    /// Callers to be answered.
    pub fn take_replies(&mut self) -> Vec<(ConnId, Result<String, String>)> {
        std::mem::take(&mut self.replies)
    }

    /// A turn spent so long here.
    pub fn record_turn_time(&mut self, time: Nanos) {
        self.longest_turn = self.longest_turn.max(time);
    }

    // ---- sockets ----

    /// Takes in what happened on one of its sockets.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        let (Some(sockets), Some(member)) = (&mut self.sockets, &mut self.node) else { return };
        match event {
            NetEvent::Datagrams { .. } => {
                for n in 0.. {
                    if n == MAX_DATAGRAMS_PER_TURN {
                        net.datagrams_later(OWNER);
                        break;
                    }
                    let Some((len, from)) =
                        net.take_datagram(sockets.datagrams, &mut self.datagram_buffer[..])
                    else {
                        break;
                    };
                    member.datagram(from, &self.datagram_buffer[..len], now);
                }
            }
            NetEvent::Accepted { conn, peer, .. } => {
                if net.accepted_at(ConnectionClass::Peers) > MAX_PEER_CONNECTIONS {
                    return net.close(conn);
                }
                sockets.last_stream_id += 1;
                sockets.streams.insert(sockets.last_stream_id, (conn, peer));
                sockets.stream_ids.insert(conn, sockets.last_stream_id);
                member.accepted(sockets.last_stream_id, peer, now);
                self.read_frames(conn, now, net);
            }
            NetEvent::Connected { conn, .. } => {
                if let Some(stream) = sockets.stream_ids.get(&conn) {
                    member.connected(*stream, now);
                }
            }
            NetEvent::Readable { conn, .. } => self.read_frames(conn, now, net),
            NetEvent::Broken { conn, .. } => self.on_connection_closed(conn, now),
            NetEvent::Flushed { .. } | NetEvent::Signal(_) => {}
        }
        self.perform_outputs(now, net);
    }

    fn on_connection_closed(&mut self, conn: ConnId, now: Nanos) {
        let Some(sockets) = &mut self.sockets else { return };
        if let Some(stream) = sockets.stream_ids.remove(&conn) {
            sockets.streams.remove(&stream);
            if let Some(member) = &mut self.node {
                member.closed(stream, now);
            }
        }
    }

    fn read_frames(&mut self, conn: ConnId, now: Nanos, net: &mut PollLoop) {
        for n in 0.. {
            let Some(sockets) = &self.sockets else { return };
            let Some(stream) = sockets.stream_ids.get(&conn).copied() else { return };
            let Some((_, from)) = sockets.streams.get(&stream).copied() else { return };
            if n == MAX_FRAMES_PER_TURN {
                return net.read_later(conn);
            }
            let filled = net.fill(conn);
            // A length that can't be is a frame that can't be read: the member says what follows.
            let end = match frame_end(net.data(conn)) {
                Ok(Some(end)) => end,
                Ok(None) if filled == ReadOutcome::Ended => {
                    self.on_connection_closed(conn, now);
                    return net.close(conn);
                }
                Ok(None) if matches!(filled, ReadOutcome::Some(_)) => continue,
                Ok(None) => return,
                Err(_) => net.data(conn).len().min(4),
            };
            let Some(member) = &mut self.node else { return };
            let frame = net.data(conn).get(4..end).unwrap_or(&[]).to_vec();
            net.consume(conn, end);
            member.frame(stream, from, &frame, now);
            self.perform_outputs(now, net);
        }
    }

    /// Sends what the member wants sent, and tells people what it tells.
    fn perform_outputs(&mut self, now: Nanos, net: &mut PollLoop) {
        let Some(member) = &mut self.node else { return };
        while let Some(told) = member.take_told() {
            status_report::log_notification(&told, member);
        }
        let Some(sockets) = &mut self.sockets else {
            // Without its address it reaches nobody: what it would send must not add up until it has it.
            while let Some(out) = member.take_output() {
                if let Output::Dial { stream, .. } = out {
                    member.closed(stream, now);
                }
            }
            return;
        };
        while let Some(out) = member.take_output() {
            match out {
                Output::Datagram { to, bytes } => net.send_datagram(sockets.datagrams, to, &bytes),
                Output::Dial { stream, to } => match net.dial_apart(to, OWNER, sockets.pool.clone()) {
                    Ok(conn) => {
                        sockets.streams.insert(stream, (conn, to));
                        sockets.stream_ids.insert(conn, stream);
                    }
                    Err(_) => member.closed(stream, now),
                },
                Output::Send { stream, bytes } => {
                    let Some((conn, _)) = sockets.streams.get(&stream).copied() else { continue };
                    if net.send(conn, &bytes).is_err() {
                        sockets.streams.remove(&stream);
                        sockets.stream_ids.remove(&conn);
                        net.close(conn);
                        member.closed(stream, now);
                    }
                }
                Output::Close { stream } => {
                    if let Some((conn, _)) = sockets.streams.remove(&stream) {
                        sockets.stream_ids.remove(&conn);
                        net.close_after_flush(conn);
                    }
                }
            }
        }
    }

    // ---- time and disk ----

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        if self.node.is_none()
            && let Some(found) = self.journal.found()
        {
            self.start_node(found, now);
        }
        self.try_bind(now, net);
        self.finish_reload(now);
        if let Some(member) = &mut self.node {
            if member.is_doubled() {
                member.renew(Origin(random_seed() ^ now.rotate_left(17)));
            }
            if member.due(now) <= now {
                member.tick(now);
            }
        }
        self.drive_journal(now);
        self.perform_outputs(now, net);
    }

    fn drive_journal(&mut self, now: Nanos) {
        let Some(member) = &mut self.node else { return };
        while let Some((ticket, done)) = self.journal.done() {
            let keys = self.writes_in_flight.remove(&ticket).unwrap_or_default();
            let (over, rest) =
                self.pending_commands.drain(..).partition(|w: &PendingCommand| w.ticket == Some(ticket));
            self.pending_commands = rest;
            let over: Vec<PendingCommand> = over;
            match done {
                Ok(()) => {
                    if std::mem::replace(&mut self.writes_failing, false) {
                        tracing::info!("cluster: facts are kept again in {}", self.directory);
                    }
                    self.replies.extend(over.into_iter().map(|w| (w.caller, Ok(w.success))));
                }
                Err(why) => {
                    // Told once for each spell: a full disk stays full.
                    if !std::mem::replace(&mut self.writes_failing, true) {
                        tracing::error!("cluster: facts can't be kept: {why}; serving goes on");
                    }
                    let no = |w: PendingCommand| {
                        (w.caller, Err(format!("{}: it holds here, and is not on disk: {why}", w.key)))
                    };
                    self.replies.extend(over.into_iter().map(no));
                    member.not_kept(keys);
                    self.next_write_at = now + WRITE_RETRY_INTERVAL;
                }
            }
        }
        if member.is_kept() || !self.journal.is_free() || now < self.next_write_at {
            return;
        }
        if self.journal.is_dead() {
            self.next_write_at = now + WRITE_RETRY_INTERVAL;
            let no = |w: PendingCommand| {
                (w.caller, Err(format!("{}: it holds here, and nothing can be kept on disk", w.key)))
            };
            self.replies.extend(self.pending_commands.drain(..).map(no));
            return;
        }
        let facts = member.take_unkept(MAX_FACTS_PER_WRITE);
        let keys: Vec<FactKey> = facts.iter().map(|(k, _)| k.clone()).collect();
        match self.journal.write(facts) {
            Ok(ticket) => {
                let unwritten = self.pending_commands.iter_mut().filter(|w| w.ticket.is_none());
                unwritten.filter(|w| keys.contains(&w.key)).for_each(|w| w.ticket = Some(ticket));
                self.writes_in_flight.insert(ticket, keys);
            }
            Err(_) => {
                member.not_kept(keys);
                self.next_write_at = now + JOURNAL_POLL_INTERVAL;
            }
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        let Some(member) = &self.node else { return now + BIND_RETRY_INTERVAL };
        let bind = self.sockets.is_none().then_some(self.next_bind_at);
        let look =
            (self.journal.is_at_work() || self.reload.is_some()).then_some(now + JOURNAL_POLL_INTERVAL);
        let write = (!member.is_kept() && self.journal.is_free()).then_some(self.next_write_at);
        [Some(member.due(now)), bind, look, write]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + BIND_RETRY_INTERVAL)
    }
}
