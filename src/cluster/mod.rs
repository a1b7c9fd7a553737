//! A broker's place in its cluster: the member, its sockets and its journal, tied to the poll loop.
//!
//! What is decided is in [`crate::gossip`] and [`crate::replication`]; here bytes are moved, and words of staff wait until they
//! are on disk. Peers have sockets, buffers and a bounded share of each turn of their own: they take nothing from
//! clients.

mod status_report;

pub use status_report::{differences, shown};

use crate::admin::request::CommandOptions;
use crate::api::Nanos;
use crate::config::{ClusterConfig, ConfigError, OperatorConfig};
use crate::gossip::codec::{MAX_DATAGRAM_BYTES, frame_end};
use crate::gossip::{GossipNode, GossipSettings, Output, SyncStatus, swim};
use crate::net::{ConnId, ConnectionClass, Datagrams, NetEvent, PollLoop, Pool, ReadOutcome};
use crate::replication::derived_state::{DerivedState, NodeHints};
use crate::replication::{
    CommandValue, FactKey, FactValue, JoinError, OperatorCommand, Origin, ProcessStart, StateStore,
    StoreLimits,
};
use crate::storage::journal::{self, Journal, JournalContents};
use crate::storage::{Disk, FileError};
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
pub const PLACES: usize = 6;
/// See `PLACES`: a listener, a socket for datagrams, a connection of one's own, the lock and a file.
pub const BESIDE: usize = 6;
/// Bytes of a buffer, and buffers in all: what peers may make this broker hold.
const BUFFERS: (usize, usize) = (64 * 1024, 32);
/// Datagrams taken in one turn; the rest waits for the next.
const IN_A_TURN: usize = 16;
/// Frames taken from one connection in one turn.
const FRAMES_IN_A_TURN: usize = 4;
/// Time between two tries to take the addresses from a process that still has them.
const BIND_AGAIN: Nanos = 200_000_000;
/// Time between two looks at the journal while it writes.
const LOOK: Nanos = 2_000_000;
/// Time after which a failed write is tried again.
const WRITE_AGAIN: Nanos = 1_000_000_000;
/// Facts in one write.
const IN_A_WRITE: usize = 512;
/// How long a start waits for what is on disk.
const AT_THE_START: Duration = Duration::from_secs(2);

/// A word that waits until it is on disk.
#[derive(Debug)]
struct Waiting {
    caller: ConnId,
    key: FactKey,
    yes: String,
    ticket: Option<u64>,
}

/// A word of staff that came to nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// The process before still has this broker's place in the cluster, or its disk is still being read.
    NotYet,
    /// It could not be taken.
    Refused(JoinError),
}

impl std::fmt::Display for CommandError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CommandError::NotYet => {
                write!(f, "the cluster's facts are not here yet; say it again in a moment")
            }
            CommandError::Refused(why) => write!(f, "{why}"),
        }
    }
}

struct Sockets {
    datagrams: Datagrams,
    pool: Pool,
    streams: BTreeMap<u64, (ConnId, SocketAddr)>,
    numbers: BTreeMap<ConnId, u64>,
    next: u64,
}

/// A broker's place in its cluster.
pub struct Cluster {
    settings: GossipSettings,
    listen: SocketAddr,
    dir: String,
    journal: Journal,
    /// None until what is on disk is known.
    member: Option<Box<GossipNode>>,
    /// None until the addresses are free.
    sockets: Option<Sockets>,
    bind_again: Nanos,
    bind_told: bool,
    write_again: Nanos,
    /// Keys of the writes that are out.
    writing: BTreeMap<u64, Vec<FactKey>>,
    waiting: Vec<Waiting>,
    replies: Vec<(ConnId, Result<String, String>)>,
    failing: bool,
    /// The operator's file, and what it says now, while that is read.
    file: Option<PathBuf>,
    reading: Option<Receiver<Result<OperatorConfig, ConfigError>>>,
    /// The longest time that one turn spent here, ns.
    longest: Nanos,
    datagram: Box<[u8; MAX_DATAGRAM_BYTES + 1]>,
}

/// What a directory holds, and what is wrong there. Nobody's origin: nothing is said with this copy.
pub fn on_disk(dir: &Path) -> (StateStore, Vec<String>) {
    let mut copy = StateStore::new(Origin(0), StoreLimits::default());
    if !dir.is_dir() {
        return (copy, vec![format!("{}: it is no directory", dir.display())]);
    }
    let found = journal::read(&Disk, dir, StoreLimits::default());
    for (key, entry) in &found.facts {
        let _ = copy.join(key, entry, Nanos::MAX);
    }
    (copy, found.problems.iter().map(ToString::to_string).collect())
}

/// Sixty-four bits that no other process has drawn: the system seeds each thread's hashing anew.
fn drawn() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

impl Cluster {
    /// A broker of this name among its peers. Waits a moment for what is on disk, so that what staff said holds before the
    /// first client comes; where a process before it still has the disk, that comes later.
    pub fn open(told: &ClusterConfig, name: &str, now: Nanos, net: &mut PollLoop) -> io::Result<Cluster> {
        let bounds = StoreLimits { retention: told.keep_words_s * 1_000_000_000, ..StoreLimits::default() };
        let every = told.probe_ms * 1_000_000;
        let settings = GossipSettings {
            cluster: told.name.clone(),
            name: name.to_owned(),
            peers: told.peers.iter().map(|p| (p.name.clone(), p.address)).collect(),
            swim: swim::SwimSettings {
                probe_interval: every,
                probe_timeout: every * 3 / 10,
                indirect_probes: 3,
            },
            store_limits: bounds,
            latest_version: told.speak,
            seed: drawn(),
        };
        let journal = Journal::start(Disk, &told.keep, bounds)?;
        let found = journal.wait_for_contents(AT_THE_START);
        let mut cluster = Cluster {
            settings,
            listen: told.listen,
            dir: told.keep.display().to_string(),
            journal,
            member: None,
            sockets: None,
            bind_again: now,
            bind_told: false,
            write_again: now,
            writing: BTreeMap::new(),
            waiting: Vec::new(),
            replies: Vec::new(),
            failing: false,
            file: told.file.clone(),
            reading: None,
            longest: 0,
            datagram: Box::new([0; MAX_DATAGRAM_BYTES + 1]),
        };
        match found {
            Some(found) => cluster.begin(found, now),
            None => tracing::info!("cluster: another process has {}; its place is taken later", cluster.dir),
        }
        cluster.bind(now, net);
        Ok(cluster)
    }

    fn begin(&mut self, found: Result<JournalContents, FileError>, now: Nanos) {
        let found = found.unwrap_or_else(|why| {
            tracing::error!("cluster: nothing can be kept: {why}");
            JournalContents::default()
        });
        if !found.problems.is_empty() {
            let problems: Vec<String> = found.problems.iter().map(ToString::to_string).collect();
            tracing::error!("cluster: not used: {}", problems.join("; "));
        }
        let (seed, origin) = (&self.settings, Origin(drawn() ^ now.rotate_left(17)));
        let incarnation = (found.incarnation + 1).max(now / 1_000_000);
        tracing::info!(
            "cluster {}: {} of {} peers as {origin}, {} facts on disk",
            seed.cluster,
            seed.name,
            seed.peers.len(),
            found.facts.len()
        );
        self.journal.record_incarnation(incarnation);
        self.member =
            Some(Box::new(GossipNode::new(self.settings.clone(), origin, &found.facts, incarnation, now)));
    }

    fn bind(&mut self, now: Nanos, net: &mut PollLoop) {
        if self.sockets.is_some() || self.member.is_none() || now < self.bind_again {
            return;
        }
        self.bind_again = now + BIND_AGAIN;
        // Nobody else comes to this port but a process before this one: both sockets are had, or neither.
        let datagrams = match net.datagrams(self.listen, OWNER) {
            Ok(datagrams) => datagrams,
            Err(e) if std::mem::replace(&mut self.bind_told, true) => return tracing::debug!("cluster: {e}"),
            Err(e) => {
                return tracing::warn!("cluster: {} can't be taken yet: {e}; it is tried again", self.listen);
            }
        };
        let pool = Pool::with_buffer_size(BUFFERS.1, BUFFERS.0);
        if let Err(e) = net.listen_with_pool(self.listen, OWNER, ConnectionClass::Peers, PLACES, pool.clone())
        {
            tracing::error!("cluster: no peer can connect to {}: {e}", self.listen);
        }
        let (streams, numbers) = (BTreeMap::new(), BTreeMap::new());
        self.sockets = Some(Sockets { datagrams, pool, streams, numbers, next: 1 << 63 });
        tracing::info!("cluster: peers reach this broker at {}", self.listen);
    }

    // ---- what is asked of it ----

    /// What holds for this broker; none until what is on disk is known.
    pub fn effect(&self) -> Option<&DerivedState> {
        self.member.as_ref().map(|m| m.derived_state())
    }

    /// Whether a key was ever spoken of.
    pub fn knows(&self, key: &FactKey) -> bool {
        self.member.as_ref().is_some_and(|m| m.store().get(key).is_some())
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
    pub fn say(
        &mut self,
        key: FactKey,
        value: CommandValue,
        aside: CommandOptions,
        caller: ConnId,
        yes: String,
        now: Nanos,
    ) -> Result<(), CommandError> {
        let member = self.member.as_mut().ok_or(CommandError::NotYet)?;
        if member.has_duplicate_origin() {
            member.replace_origin(Origin(drawn() ^ now.rotate_left(17)));
        }
        let (at_broker, until) =
            (self.settings.name.clone(), aside.valid_for_s.map(|s| now.saturating_add(s * 1_000_000_000)));
        let word = if value == CommandValue::Set { "out" } else { "back" };
        let said = OperatorCommand {
            value,
            author: aside.operator,
            reason: aside.reason,
            broker: at_broker,
            issued_at: now,
            expires_at: until,
        };
        let dot = member.record(&key, said, now).map_err(CommandError::Refused)?;
        tracing::info!("cluster: {key} is said to be {word} here as {dot}");
        self.waiting.push(Waiting { caller, key, yes, ticket: None });
        Ok(())
    }

    /// Whether clients may be sent here: a broker that still asks its peers what it missed waits for that a moment.
    pub fn is_ready(&self) -> bool {
        self.member.as_ref().is_none_or(|m| m.sync_status() != SyncStatus::CatchingUp)
    }

    /// The word to read the operator's file again has come: the peers that it names may have changed. It is read on a
    /// thread of its own; a disk that hangs must not stop the loop.
    pub fn reload(&mut self) {
        let Some(file) = self.file.clone() else { return };
        let (tell, told) = sync_channel(1);
        let read = move || drop(tell.send(OperatorConfig::from_file(&file)));
        match std::thread::Builder::new().name("peers".into()).spawn(read) {
            Ok(_) => self.reading = Some(told),
            Err(e) => tracing::error!("cluster: the operator's file can't be read: {e}"),
        }
    }

    fn take_peers(&mut self, now: Nanos) {
        let read = match self.reading.as_ref().map(Receiver::try_recv) {
            None | Some(Err(TryRecvError::Empty)) => return,
            Some(read) => read,
        };
        self.reading = None;
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
        if let Some(member) = &mut self.member {
            member.set_peers(&self.settings.peers, now);
        }
    }

    /// Discovery told this broker of a drain or a start.
    pub fn note(&mut self, key: FactKey, latest: ProcessStart, now: Nanos) {
        if let Some(member) = &mut self.member {
            member.record_process_event(key, latest, now);
        }
    }

    /// A server of which others have heard something new, and what.
    pub fn heard(&mut self) -> Option<(String, NodeHints)> {
        let member = self.member.as_mut()?;
        let key = member.take_updated_server()?;
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
    pub fn spent(&mut self, time: Nanos) {
        self.longest = self.longest.max(time);
    }

    // ---- sockets ----

    /// Takes in what happened on one of its sockets.
    pub fn event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        let (Some(sockets), Some(member)) = (&mut self.sockets, &mut self.member) else { return };
        match event {
            NetEvent::Datagrams { .. } => {
                for n in 0.. {
                    if n == IN_A_TURN {
                        net.requeue_datagrams(OWNER);
                        break;
                    }
                    let Some((len, from)) = net.receive_datagram(sockets.datagrams, &mut self.datagram[..])
                    else {
                        break;
                    };
                    member.on_datagram(from, &self.datagram[..len], now);
                }
            }
            NetEvent::Accepted { conn, peer, .. } => {
                if net.accepted_in_class(ConnectionClass::Peers) > PLACES {
                    return net.close(conn);
                }
                sockets.next += 1;
                sockets.streams.insert(sockets.next, (conn, peer));
                sockets.numbers.insert(conn, sockets.next);
                member.on_accepted(sockets.next, peer, now);
                self.read(conn, now, net);
            }
            NetEvent::Connected { conn, .. } => {
                if let Some(stream) = sockets.numbers.get(&conn) {
                    member.on_connected(*stream, now);
                }
            }
            NetEvent::Readable { conn, .. } => self.read(conn, now, net),
            NetEvent::Broken { conn, .. } => self.gone(conn, now),
            NetEvent::Flushed { .. } | NetEvent::Signal(_) => {}
        }
        self.carry(now, net);
    }

    fn gone(&mut self, conn: ConnId, now: Nanos) {
        let Some(sockets) = &mut self.sockets else { return };
        if let Some(stream) = sockets.numbers.remove(&conn) {
            sockets.streams.remove(&stream);
            if let Some(member) = &mut self.member {
                member.on_closed(stream, now);
            }
        }
    }

    fn read(&mut self, conn: ConnId, now: Nanos, net: &mut PollLoop) {
        for n in 0.. {
            let Some(sockets) = &self.sockets else { return };
            let Some(stream) = sockets.numbers.get(&conn).copied() else { return };
            let Some((_, from)) = sockets.streams.get(&stream).copied() else { return };
            if n == FRAMES_IN_A_TURN {
                return net.requeue_readable(conn);
            }
            let filled = net.fill(conn);
            // A length that can't be is a frame that can't be read: the member says what follows.
            let end = match frame_end(net.data(conn)) {
                Ok(Some(end)) => end,
                Ok(None) if filled == ReadOutcome::Closed => {
                    self.gone(conn, now);
                    return net.close(conn);
                }
                Ok(None) if matches!(filled, ReadOutcome::Read(_)) => continue,
                Ok(None) => return,
                Err(_) => net.data(conn).len().min(4),
            };
            let Some(member) = &mut self.member else { return };
            let frame = net.data(conn).get(4..end).unwrap_or(&[]).to_vec();
            net.consume(conn, end);
            member.on_frame(stream, from, &frame, now);
            self.carry(now, net);
        }
    }

    /// Sends what the member wants sent, and tells people what it tells.
    fn carry(&mut self, now: Nanos, net: &mut PollLoop) {
        let Some(member) = &mut self.member else { return };
        while let Some(told) = member.take_notification() {
            status_report::tell(&told, member);
        }
        let Some(sockets) = &mut self.sockets else {
            // Without its address it reaches nobody: what it would send must not add up until it has it.
            while let Some(out) = member.take_output() {
                if let Output::Dial { stream, .. } = out {
                    member.on_closed(stream, now);
                }
            }
            return;
        };
        while let Some(out) = member.take_output() {
            match out {
                Output::Datagram { to, bytes } => net.send_datagram(sockets.datagrams, to, &bytes),
                Output::Dial { stream, to } => match net.dial_with_pool(to, OWNER, sockets.pool.clone()) {
                    Ok(conn) => {
                        sockets.streams.insert(stream, (conn, to));
                        sockets.numbers.insert(conn, stream);
                    }
                    Err(_) => member.on_closed(stream, now),
                },
                Output::Send { stream, bytes } => {
                    let Some((conn, _)) = sockets.streams.get(&stream).copied() else { continue };
                    if net.send(conn, &bytes).is_err() {
                        sockets.streams.remove(&stream);
                        sockets.numbers.remove(&conn);
                        net.close(conn);
                        member.on_closed(stream, now);
                    }
                }
                Output::Close { stream } => {
                    if let Some((conn, _)) = sockets.streams.remove(&stream) {
                        sockets.numbers.remove(&conn);
                        net.close_after_flush(conn);
                    }
                }
            }
        }
    }

    // ---- time and disk ----

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        if self.member.is_none()
            && let Some(found) = self.journal.poll_contents()
        {
            self.begin(found, now);
        }
        self.bind(now, net);
        self.take_peers(now);
        if let Some(member) = &mut self.member {
            if member.has_duplicate_origin() {
                member.replace_origin(Origin(drawn() ^ now.rotate_left(17)));
            }
            if member.next_deadline(now) <= now {
                member.tick(now);
            }
        }
        self.write(now);
        self.carry(now, net);
    }

    fn write(&mut self, now: Nanos) {
        let Some(member) = &mut self.member else { return };
        while let Some(journal::WriteCompletion { ticket, result: done }) = self.journal.poll_result() {
            let keys = self.writing.remove(&ticket).unwrap_or_default();
            let (over, rest) = self.waiting.drain(..).partition(|w: &Waiting| w.ticket == Some(ticket));
            self.waiting = rest;
            let over: Vec<Waiting> = over;
            match done {
                Ok(()) => {
                    if std::mem::replace(&mut self.failing, false) {
                        tracing::info!("cluster: facts are kept again in {}", self.dir);
                    }
                    self.replies.extend(over.into_iter().map(|w| (w.caller, Ok(w.yes))));
                }
                Err(why) => {
                    // Told once for each spell: a full disk stays full.
                    if !std::mem::replace(&mut self.failing, true) {
                        tracing::error!("cluster: facts can't be kept: {why}; serving goes on");
                    }
                    let no = |w: Waiting| {
                        (w.caller, Err(format!("{}: it holds here, and is not on disk: {why}", w.key)))
                    };
                    self.replies.extend(over.into_iter().map(no));
                    member.persist_failed(keys);
                    self.write_again = now + WRITE_AGAIN;
                }
            }
        }
        if member.is_persisted() || !self.journal.can_write() || now < self.write_again {
            return;
        }
        if self.journal.has_stopped() {
            self.write_again = now + WRITE_AGAIN;
            let no = |w: Waiting| {
                (w.caller, Err(format!("{}: it holds here, and nothing can be kept on disk", w.key)))
            };
            self.replies.extend(self.waiting.drain(..).map(no));
            return;
        }
        let facts = member.take_unpersisted(IN_A_WRITE);
        let keys: Vec<FactKey> = facts.iter().map(|(k, _)| k.clone()).collect();
        match self.journal.write(facts) {
            Ok(ticket) => {
                let unwritten = self.waiting.iter_mut().filter(|w| w.ticket.is_none());
                unwritten.filter(|w| keys.contains(&w.key)).for_each(|w| w.ticket = Some(ticket));
                self.writing.insert(ticket, keys);
            }
            Err(_) => {
                member.persist_failed(keys);
                self.write_again = now + LOOK;
            }
        }
    }

    /// When `tick` is next worth calling.
    pub fn due(&self, now: Nanos) -> Nanos {
        let Some(member) = &self.member else { return now + BIND_AGAIN };
        let bind = self.sockets.is_none().then_some(self.bind_again);
        let look = (self.journal.has_pending_writes() || self.reading.is_some()).then_some(now + LOOK);
        let write = (!member.is_persisted() && self.journal.can_write()).then_some(self.write_again);
        [Some(member.next_deadline(now)), bind, look, write]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + BIND_AGAIN)
    }
}
