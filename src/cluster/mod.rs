//! Cluster membership of a broker: drives the gossip node, its sockets and its journal from the poll loop.
//!
//! The protocols are in [`crate::gossip`] and [`crate::replication`]; this module does their I/O, and delays
//! the answers to operators' commands until these are on disk. Peers have their own sockets and buffers and a
//! bounded share of each turn of the poll loop, so that they take no resources from clients.
//!
//! - `sockets`: datagrams, and connections that carry frames;
//! - `persistence`: facts on disk, and commands that wait for them;
//! - `reload`: reloads the list of peers from the operator's file;
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

/// The owner number of the cluster's sockets in the poll loop; no frontend uses it.
pub const OWNER: u8 = 201;
/// Most concurrent connections of peers.
pub const MAX_PEER_CONNECTIONS: usize = 6;
/// File descriptors that are needed in addition to the connections of peers: a listener, a socket for
/// datagrams, a connection to a peer, the lock and a file.
pub const RESERVED_DESCRIPTORS: usize = 6;
/// Time between two polls of the journal while it writes, ns.
const JOURNAL_POLL_INTERVAL: Nanos = 2_000_000;
/// How long [`Cluster::open`] waits for the content of the journal.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A broker's membership in its cluster.
pub struct Cluster {
    settings: GossipSettings,
    listen: SocketAddr,
    directory: String,
    journal: Journal,
    /// `None` until the journal is read.
    node: Option<Box<GossipNode>>,
    /// `None` until the addresses are bound.
    sockets: Option<Sockets>,
    next_bind_at: Nanos,
    bind_failure_logged: bool,
    next_write_at: Nanos,
    /// The keys of each write that is not completed, by its ticket.
    writes_in_flight: BTreeMap<u64, Vec<FactKey>>,
    pending_commands: Vec<PendingCommand>,
    replies: Vec<(ConnId, Result<String, String>)>,
    writes_failing: bool,
    operator_file: Option<PathBuf>,
    /// Gives the content of the operator's file while that is being read again.
    reload: Option<Receiver<Result<OperatorConfig, ConfigError>>>,
    /// The longest time that one turn of the poll loop spent on the cluster, ns.
    longest_turn: Nanos,
    datagram_buffer: Box<[u8; MAX_DATAGRAM_BYTES + 1]>,
}

/// Sixty-four random bits that no other process has: the system seeds `RandomState` anew in each thread.
fn random_seed() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.finish()
}

impl Cluster {
    /// Joins the cluster under this name. Waits a moment for the journal, so that operators' commands are in
    /// effect before the first client connects. While an earlier process still has the lock of the directory,
    /// the journal is read later, by [`Cluster::tick`].
    pub fn open(config: &ClusterConfig, name: &str, now: Nanos, net: &mut PollLoop) -> io::Result<Cluster> {
        let limits = StoreLimits { retention: config.keep_words_s * 1_000_000_000, ..StoreLimits::default() };
        let interval = config.probe_ms * 1_000_000;
        let settings = GossipSettings {
            cluster: config.name.clone(),
            name: name.to_owned(),
            peers: config.peers.iter().map(|p| (p.name.clone(), p.address)).collect(),
            swim: swim::SwimSettings {
                probe_interval: interval,
                probe_timeout: interval * 3 / 10,
                indirect_probes: 3,
            },
            store_limits: limits,
            latest_version: config.speak,
            seed: random_seed(),
        };
        let journal = Journal::start(Disk, &config.keep, limits)?;
        let contents = journal.wait_for_contents(STARTUP_READ_TIMEOUT);
        let mut cluster = Cluster {
            settings,
            listen: config.listen,
            directory: config.keep.display().to_string(),
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
            operator_file: config.file.clone(),
            reload: None,
            longest_turn: 0,
            datagram_buffer: Box::new([0; MAX_DATAGRAM_BYTES + 1]),
        };
        match contents {
            Some(contents) => cluster.start_node(contents, now),
            None => {
                tracing::info!(
                    "cluster: {} is locked by another process or still being read; this broker joins later",
                    cluster.directory
                )
            }
        }
        cluster.try_bind(now, net);
        Ok(cluster)
    }

    fn start_node(&mut self, contents: Result<JournalContents, FileError>, now: Nanos) {
        let contents = contents.unwrap_or_else(|error| {
            tracing::error!("cluster: facts can't be stored: {error}");
            JournalContents::default()
        });
        if !contents.problems.is_empty() {
            let problems: Vec<String> = contents.problems.iter().map(ToString::to_string).collect();
            tracing::error!("cluster: stored data was not used: {}", problems.join("; "));
        }
        let (settings, origin) = (&self.settings, Origin(random_seed() ^ now.rotate_left(17)));
        let incarnation = (contents.incarnation + 1).max(now / 1_000_000);
        tracing::info!(
            "cluster {}: member {} with {} peers and origin {origin}, {} facts on disk",
            settings.cluster,
            settings.name,
            settings.peers.len(),
            contents.facts.len()
        );
        self.journal.record_incarnation(incarnation);
        self.node =
            Some(Box::new(GossipNode::new(self.settings.clone(), origin, &contents.facts, incarnation, now)));
    }

    /// What the replicated state means for this broker; `None` until the journal is read.
    pub fn derived_state(&self) -> Option<&DerivedState> {
        self.node.as_ref().map(|m| m.derived_state())
    }

    /// Whether the store has a fact under this key.
    pub fn knows(&self, key: &FactKey) -> bool {
        self.node.as_ref().is_some_and(|m| m.store().get(key).is_some())
    }

    /// Whether this is the name of a broker in the operator's file: this one or a peer.
    pub fn is_broker(&self, name: &str) -> bool {
        name == self.settings.name || self.settings.peers.iter().any(|(n, _)| n == name)
    }

    /// This broker's name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Records an operator's command. It is in effect here at once; `caller` is answered once it is on disk.
    pub fn record_command(
        &mut self,
        key: FactKey,
        value: CommandValue,
        options: CommandOptions,
        caller: ConnId,
        confirmation: String,
        now: Nanos,
    ) -> Result<(), CommandError> {
        let member = self.node.as_mut().ok_or(CommandError::NotReady)?;
        if member.has_duplicate_origin() {
            member.replace_origin(Origin(random_seed() ^ now.rotate_left(17)));
        }
        let (broker_name, expiry) =
            (self.settings.name.clone(), options.valid_for_s.map(|s| now.saturating_add(s * 1_000_000_000)));
        let label = if value == CommandValue::Set { "out" } else { "back" };
        let command = OperatorCommand {
            value,
            author: options.operator,
            reason: options.reason,
            broker: broker_name,
            issued_at: now,
            expires_at: expiry,
        };
        let dot = member.record(&key, command, now).map_err(CommandError::Rejected)?;
        tracing::info!("cluster: command {label} on {key} is recorded here as {dot}");
        self.pending_commands.push(PendingCommand { caller, key, success: confirmation, ticket: None });
        Ok(())
    }

    /// Whether clients may be routed to this broker: not while it is catching up with its peers, which takes
    /// a limited time.
    pub fn is_ready(&self) -> bool {
        self.node.as_ref().is_none_or(|m| m.sync_status() != SyncStatus::CatchingUp)
    }

    /// Records a drain or a start of a server that discovery reported to this broker.
    pub fn record_hint(&mut self, key: FactKey, latest: ProcessStart, now: Nanos) {
        if let Some(member) = &mut self.node {
            member.record_process_event(key, latest, now);
        }
    }

    /// The id of a server whose drain or start is new in the store, with both reports.
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

    /// Takes the answers to callers whose commands are on disk or could not be written.
    pub fn take_replies(&mut self) -> Vec<(ConnId, Result<String, String>)> {
        std::mem::take(&mut self.replies)
    }

    /// Records the time that one turn of the poll loop spent on the cluster.
    pub fn record_turn_time(&mut self, time: Nanos) {
        self.longest_turn = self.longest_turn.max(time);
    }

    /// Handles what is due at this time: binding, the journal, a reload, and the timers of gossip.
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

    /// When [`Cluster::tick`] is next due.
    pub fn next_deadline(&self, now: Nanos) -> Nanos {
        let Some(member) = &self.node else { return now + BIND_RETRY_INTERVAL };
        let bind_at = self.sockets.is_none().then_some(self.next_bind_at);
        let poll_at = (self.journal.has_pending_writes() || self.reload.is_some())
            .then_some(now + JOURNAL_POLL_INTERVAL);
        let write_at = (!member.is_persisted() && self.journal.can_write()).then_some(self.next_write_at);
        [Some(member.next_deadline(now)), bind_at, poll_at, write_at]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + BIND_RETRY_INTERVAL)
    }
}
