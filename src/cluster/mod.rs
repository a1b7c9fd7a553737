//! Cluster membership of a broker: drives the gossip node, its sockets and its journal from the poll loop.
//!
//! Decisions are in [`crate::gossip`] and [`crate::replication`]; here bytes are moved, and operators'
//! commands wait until they are on disk. Peers have their own sockets and buffers and a bounded share of each
//! turn: they take nothing from clients.
//!
//! - `sockets`: datagrams, and connections that carry frames;
//! - `persistence`: facts on disk, and commands that wait for them;
//! - `reload`: the operator's file, read again;
//! - `status_report`: log lines and reports for operators;
//! - `error`: why a command is rejected.

mod error;
mod persistence;
mod reload;
mod sockets;
mod status_report;

pub use error::CommandError;
pub use persistence::read_directory;
pub use status_report::{difference_report, store_report};

use crate::admin::request::CommandOptions;
use crate::api::Nanos;
use crate::config::{ClusterConfig, ConfigError, OperatorConfig};
use crate::gossip::SyncStatus;
use crate::gossip::codec::MAX_DATAGRAM_BYTES;
use crate::gossip::{GossipNode, GossipSettings, swim};
use crate::net::{ConnId, PollLoop};
use crate::replication::derived_state::{DerivedState, NodeHints};
use crate::replication::{
    CommandValue, FactKey, FactValue, OperatorCommand, Origin, ProcessStart, StoreLimits,
};
use crate::storage::journal::{Journal, JournalContents};
use crate::storage::{Disk, FileError};
use persistence::PendingCommand;
use sockets::{BIND_RETRY_INTERVAL, Sockets};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// Owner of its sockets in the poll loop; no frontend uses this number.
pub const OWNER: u8 = 201;
/// Most connections of peers at once.
pub const MAX_PEER_CONNECTIONS: usize = 6;
/// Descriptors that it needs beside the connections of peers: a listener, a socket for datagrams, a
/// connection of one's own, the lock and a file.
pub const RESERVED_DESCRIPTORS: usize = 6;
/// Time between two polls of the journal, ns, while it writes.
const JOURNAL_POLL_INTERVAL: Nanos = 2_000_000;
/// How long a start waits until the journal is read.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_secs(2);

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
    datagram_buffer: Box<[u8; MAX_DATAGRAM_BYTES + 1]>,
}

/// Sixty-four bits that no other process has drawn: the system seeds each thread's hashing anew.
fn random_seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

impl Cluster {
    /// A broker of this name among its peers. Waits a moment for what is on disk, so that what staff said
    /// holds before the first client comes; where a process before it still has the disk, that comes later.
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
            seed: random_seed(),
        };
        let journal = Journal::start(Disk, &told.keep, bounds)?;
        let found = journal.wait_for_contents(STARTUP_READ_TIMEOUT);
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
            datagram_buffer: Box::new([0; MAX_DATAGRAM_BYTES + 1]),
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

    fn start_node(&mut self, found: Result<JournalContents, FileError>, now: Nanos) {
        let found = found.unwrap_or_else(|why| {
            tracing::error!("cluster: nothing can be kept: {why}");
            JournalContents::default()
        });
        if !found.problems.is_empty() {
            let problems: Vec<String> = found.problems.iter().map(ToString::to_string).collect();
            tracing::error!("cluster: not used: {}", problems.join("; "));
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
        self.journal.record_incarnation(incarnation);
        self.node =
            Some(Box::new(GossipNode::new(self.settings.clone(), origin, &found.facts, incarnation, now)));
    }

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
        if member.has_duplicate_origin() {
            member.replace_origin(Origin(random_seed() ^ now.rotate_left(17)));
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
        let dot = member.record(&key, said, now).map_err(CommandError::Rejected)?;
        tracing::info!("cluster: {key} is said to be {word} here as {dot}");
        self.pending_commands.push(PendingCommand { caller, key, success: yes, ticket: None });
        Ok(())
    }

    /// Whether clients may be sent here: a broker that still asks its peers what it missed waits for that a
    /// moment.
    pub fn is_ready(&self) -> bool {
        self.node.as_ref().is_none_or(|m| m.sync_status() != SyncStatus::CatchingUp)
    }

    /// Discovery told this broker of a drain or a start.
    pub fn record_hint(&mut self, key: FactKey, latest: ProcessStart, now: Nanos) {
        if let Some(member) = &mut self.node {
            member.record_process_event(key, latest, now);
        }
    }

    /// A server of which others have heard something new, and what.
    pub fn next_hint(&mut self) -> Option<(String, NodeHints)> {
        let member = self.node.as_mut()?;
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
    pub fn record_turn_time(&mut self, time: Nanos) {
        self.longest_turn = self.longest_turn.max(time);
    }

    /// Lets time go by.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        if self.node.is_none()
            && let Some(found) = self.journal.poll_contents()
        {
            self.start_node(found, now);
        }
        self.try_bind(now, net);
        self.finish_reload(now);
        if let Some(member) = &mut self.node {
            if member.has_duplicate_origin() {
                member.replace_origin(Origin(random_seed() ^ now.rotate_left(17)));
            }
            if member.next_deadline(now) <= now {
                member.tick(now);
            }
        }
        self.drive_journal(now);
        self.perform_outputs(now, net);
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        let Some(member) = &self.node else { return now + BIND_RETRY_INTERVAL };
        let bind = self.sockets.is_none().then_some(self.next_bind_at);
        let look = (self.journal.has_pending_writes() || self.reload.is_some())
            .then_some(now + JOURNAL_POLL_INTERVAL);
        let write = (!member.is_persisted() && self.journal.can_write()).then_some(self.next_write_at);
        [Some(member.next_deadline(now)), bind, look, write]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + BIND_RETRY_INTERVAL)
    }
}
