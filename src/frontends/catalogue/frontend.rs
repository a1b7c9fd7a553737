//! The catalogue's front as a whole.

use super::downstream::Clients;
use super::plan::{PartValue, Sought};
use super::upstream::Nodes;
use crate::admin;
use crate::api::Nanos;
use crate::cluster;
use crate::config::{self, ConfigError, Node, NodesFile, OperatorConfig, Protocol};
use crate::engine::{EngineAction, QueryEngine};
use crate::hot_restart::HotRestart;
use crate::hot_restart::coordination::SharedLimits;
use crate::membership::watch_schedule::WatchSchedule;
use crate::membership::{NodeRecord, PartitionLayout, Registry, RegistrySettings};
use crate::net::{Clock, ConnectionClass, NetEvent, PollLoop, Pool, inherited};
use crate::routing::{Routing, RoutingSettings, Rule};
use crate::server::discovery_watch::DiscoveryWatch;
use crate::server::drain::DrainPhase;
use crate::server::membership_driver::{LeaseTerms, MembershipDriver};
use crate::server::reload_retry::ReloadRetry;
use crate::server::{Broker, BrokerBuilder, BrokerError, Frontend, FrontendContext};
use crate::storage::snapshot_store::SnapshotWriter;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, TryRecvError, sync_channel};

const SRU: u8 = 0;
const Z3950: u8 = 1;
const NODES: u8 = 2;
const ROSTER: u8 = 3;

/// Time in which a connection to discovery must be up.
const DIAL: Nanos = 2_500_000_000;
/// Time after the report of a drain in which it has to be kept: an operator's file says nothing of it.
const DRAIN_GRACE: Nanos = 2_000_000_000;

/// Time between two looks at a file of nodes that is being read.
const LOOK: Nanos = 20_000_000;

/// Descriptors kept for what is neither a client nor a node.
const SPARE: usize = 32;
/// Memory that buffers may take, bytes.
const BUFFERS: usize = 48 << 20;

/// The catalogue's port: clients and index nodes, each of them speaking SRU or Z39.50.
pub struct CatalogueFrontend {
    clients: Clients,
    nodes: Nodes,
    membership: MembershipDriver,
    files: NodeFiles,
    /// Connections to nodes at most, however much room there is.
    most_to_nodes: usize,
}

/// The nodes that the operator's files name, and the reading of the one that may change.
struct NodeFiles {
    own: Vec<Node>,
    path: Option<PathBuf>,
    cells: u32,
    reading: Option<Receiver<Result<NodesFile, ConfigError>>>,
    /// When to look whether it was read.
    look: Nanos,
    retry: ReloadRetry,
}

impl NodeFiles {
    fn facts(&self, file: &NodesFile) -> Vec<NodeRecord> {
        self.own.iter().chain(&file.node).map(Node::fact).collect()
    }

    fn rules(&self, file: &NodesFile) -> HashMap<String, Rule> {
        config::rules(self.own.iter().chain(&file.node))
    }

    /// The word to read the file has come.
    fn reload(&mut self, now: Nanos) {
        self.retry.clear();
        self.begin(now);
    }

    /// When to look whether it was read, or to read it again.
    fn due(&self) -> Option<Nanos> {
        if self.reading.is_some() { Some(self.look) } else { self.retry.next_deadline() }
    }

    /// Begins to read the file, on a thread of its own: a disk that hangs must not stop the loop.
    fn begin(&mut self, now: Nanos) {
        self.look = now + LOOK;
        let Some(path) = self.path.clone() else {
            return tracing::info!("the operator's file is read at the start only; nothing is changed");
        };
        let (tell, told) = sync_channel(1);
        let cells = self.cells;
        let read = move || drop(tell.send(NodesFile::from_file(&path, cells)));
        match std::thread::Builder::new().name("nodes".into()).spawn(read) {
            Ok(_) => self.reading = Some(told),
            Err(e) => {
                if self.retry.on_failure(&e.to_string(), now) {
                    tracing::error!("the file of nodes can't be read: {e}");
                }
            }
        }
    }

    /// What was read, once it is.
    fn take(&mut self, now: Nanos) -> Option<NodesFile> {
        if self.reading.is_none() && self.retry.is_due(now) {
            self.begin(now);
        }
        let read = match self.reading.as_ref()?.try_recv() {
            Err(TryRecvError::Empty) => {
                self.look = now + LOOK;
                return None;
            }
            Err(TryRecvError::Disconnected) => None,
            Ok(read) => Some(read),
        };
        self.reading = None;
        match read? {
            Ok(file) => {
                self.retry.clear();
                tracing::info!("file of nodes read again: {} nodes", file.node.len());
                Some(file)
            }
            // Guards the service against a file that is half written or wrong.
            Err(e) => {
                if self.retry.on_failure(&e.to_string(), now) {
                    tracing::error!("the nodes stay as they were: {e}");
                }
                None
            }
        }
    }
}

/// Builds a broker that listens; tells where, listener by listener.
pub fn broker(told: OperatorConfig) -> Result<(Broker<CatalogueFrontend>, Vec<SocketAddr>), BrokerError> {
    let clock = Clock::start();
    let now = clock.now();
    let seed = RandomState::new().build_hasher().finish();
    let settings = told.settings();
    let m = &told.membership;
    let (kept, keeper) = m.keep.as_deref().map_or((Vec::new(), None), SnapshotWriter::open);
    let mut roster = Registry::new(RegistrySettings {
        layout: PartitionLayout { cells: settings.cells, span: settings.span },
        warm_up: settings.slow_start_time,
        mean_change_interval: (m.changes_every_h * 3_600e9) as Nanos,
        default_list_age: m.presumed_age_s * 1_000_000_000,
        silence_timeout: settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0) / 5,
        zones: told.node.iter().map(|n| (n.zone.clone(), told.zone_number(&n.zone))).collect(),
        kinds: [Protocol::Sru, Protocol::Z3950].map(|p| p.name().to_owned()).into(),
        seed,
    });
    let limits = SharedLimits {
        descriptors: told.limits.sockets,
        max_in_flight: settings.max_in_flight as usize,
        retry_budget_window: settings.retry_budget.map_or(0, |b| b.window),
    };
    let handed = told.operation.hand_over.as_deref().and_then(|dir| HotRestart::open(dir, limits, now));
    if let Some(joined) = &handed {
        roster.restore(&joined.snapshots, now);
    }
    roster.restore(&kept, now);
    let path = m.nodes_file.clone();
    let files = NodeFiles {
        own: told.node.clone(),
        path,
        cells: settings.cells,
        reading: None,
        look: 0,
        retry: ReloadRetry::default(),
    };
    let file = files.path.as_deref().map(|p| NodesFile::from_file(p, settings.cells)).transpose()?;
    let file = file.unwrap_or_default();
    let (facts, rules) = (files.facts(&file), files.rules(&file));
    let named = facts.len();
    if named > 0 {
        roster.set_operator_nodes(facts, now);
    }
    let routing = Routing::new(RoutingSettings {
        layout: PartitionLayout { cells: settings.cells, span: settings.span },
        rules,
        warm_up: told.routing.warm_up_ms * 1_000_000,
        failback_delay: told.routing.hold_ms * 1_000_000,
    });
    let out = handed
        .iter()
        .flat_map(|joined| joined.overrides.suspended_servers())
        .map(str::to_owned)
        .collect::<Vec<_>>();
    let mut membership = MembershipDriver::new(roster, keeper).with_suspended(out).with_routing(routing);
    if told.cluster.is_some() {
        membership = membership.share_hints();
    }
    if let Some(discovery) = m.discovery {
        let schedule = WatchSchedule::for_shared_discovery(DIAL, DRAIN_GRACE, settings.brokers, seed);
        let mut watch = DiscoveryWatch::new(ROSTER, discovery, schedule);
        watch.request(now);
        membership = membership.with_watch(watch, LeaseTerms::for_polled(DRAIN_GRACE), now);
    }
    let mut exchange = QueryEngine::new(settings, seed, now).map_err(ConfigError::rejected)?;
    // Guards the limit on descriptors: what connections to nodes may take is not given to clients. Where nodes may
    // come and go, that is half of them.
    let apart = told.operation.listen.map_or(0, |_| admin::MAX_CONNECTIONS)
        + told.cluster.as_ref().map_or(0, |_| cluster::MAX_PEER_CONNECTIONS + cluster::RESERVED_DESCRIPTORS);
    let most = told.limits.sockets - SPARE - apart;
    let changing = m.discovery.is_some() || files.path.is_some();
    let all = named * told.limits.connections_per_node;
    let to_nodes = if changing { most / 2 } else { all };
    if most.saturating_sub(to_nodes) < 8 {
        let what = "limits: the connections to nodes leave no sockets for clients";
        return Err(ConfigError::rejected(what).into());
    }
    let mut net =
        PollLoop::new(Pool::with_byte_limit(BUFFERS), most - to_nodes).map_err(BrokerError::io("poll"))?;
    let mut nodes = Nodes::new(NODES, &told.partitions.database, told.limits.clone(), to_nodes);
    let mut hands = FrontendContext { now, net: &mut net, engine: &mut exchange };
    membership.propagate_changes(&mut hands, |c| nodes.update_node(c));
    // The list of nodes is in before the first client can come.
    exchange.advance(now);
    let mut listening = Vec::new();
    for l in &told.listener {
        let owner = if l.protocol == Protocol::Sru { SRU } else { Z3950 };
        let at = match l.descriptor {
            Some(fd) => inherited::listener(fd, l.listen).and_then(|socket| net.listen_on(socket, owner)),
            None => net.listen(l.listen, owner),
        };
        let at = at.map_err(BrokerError::io("listen"))?;
        tracing::info!("{} listens at {at} for {:?}", told.name, l.protocol);
        listening.push(at);
    }
    let (ops, cluster, name) = (told.operation.listen, told.cluster.clone(), told.name.clone());
    let clients = Clients::new(told, SRU, most - to_nodes);
    let front = CatalogueFrontend { clients, nodes, membership, files, most_to_nodes: to_nodes };
    let mut broker = BrokerBuilder::new(clock, net, exchange, front);
    if let Some(ops) = ops {
        broker.listen_admin(ops);
    }
    if let Some(joined) = handed {
        broker.join_hot_restart(joined.hot_restart, joined.overrides);
    }
    if let Some(cluster) = cluster {
        broker.join_cluster(&cluster, &name);
    }
    Ok((broker.build()?, listening))
}

impl Frontend for CatalogueFrontend {
    type Query = Sought;
    type Value = PartValue;

    fn on_event(&mut self, event: NetEvent, hands: &mut FrontendContext<Sought, PartValue>) {
        match event.owner() {
            Some(NODES) => self.nodes.on_event(event, hands),
            Some(ROSTER) => self.membership.on_event(event, hands.now, hands.net),
            Some(_) => self.clients.on_event(event, hands),
            None => {}
        }
    }

    fn tick(&mut self, hands: &mut FrontendContext<Sought, PartValue>) {
        if let Some(file) = self.files.take(hands.now) {
            let (facts, rules) = (self.files.facts(&file), self.files.rules(&file));
            self.membership.set_operator_nodes(facts, rules, hands.now);
        }
        self.membership.tick(hands, |c| self.nodes.update_node(c));
        self.nodes.tick(hands);
        self.clients.tick(hands);
    }

    fn perform(
        &mut self,
        work: EngineAction<Sought, PartValue>,
        hands: &mut FrontendContext<Sought, PartValue>,
    ) {
        match work {
            EngineAction::Call { replica, parts } => self.nodes.call(replica, parts, hands),
            EngineAction::CancelAttempt { replica, attempt } => {
                self.nodes.cancel(replica, attempt, hands.now)
            }
            EngineAction::Respond { query, outcome: answer } => {
                self.clients.on_query_outcome(query, answer, hands)
            }
            // Membership itself asks for the list, and nodes are not probed.
            EngineAction::WatchEndpoints | EngineAction::HealthCheck { .. } => {}
        }
    }

    fn next_deadline(&self) -> Option<Nanos> {
        [
            self.nodes.next_deadline(),
            self.clients.next_deadline(),
            self.membership.next_deadline(),
            self.files.due(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn set_ready(&mut self, ready: bool) {
        self.clients.set_ready(ready);
    }

    fn set_drain_phase(&mut self, step: DrainPhase) {
        self.clients.set_closing(step >= DrainPhase::ClosingAfterAnswer);
    }

    /// The file of nodes alone may change while the broker serves; all else holds from the start to the end.
    fn reload(&mut self, hands: &mut FrontendContext<Sought, PartValue>) {
        self.files.reload(hands.now);
    }

    fn close_idle(&mut self, hands: &mut FrontendContext<Sought, PartValue>) {
        self.clients.close_idle(hands);
        if self.clients.is_empty() {
            self.nodes.close_all(hands.net);
        }
    }

    fn listeners(&self) -> &[u8] {
        &[SRU, Z3950]
    }

    fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    fn class_names(&self) -> Vec<String> {
        self.clients.class_names()
    }

    fn membership(&self) -> &MembershipDriver {
        &self.membership
    }

    fn membership_mut(&mut self) -> &mut MembershipDriver {
        &mut self.membership
    }

    fn limit_descriptors(&mut self, descriptors: usize, net: &mut PollLoop) {
        // What is held stays; only the rest is divided. Callers at the second address may still come.
        let apart = admin::MAX_CONNECTIONS.saturating_sub(net.accepted_in_class(ConnectionClass::Admin));
        let rest = descriptors.saturating_sub(net.descriptors() + apart);
        let to_nodes = (self.nodes.connection_count() + rest / 2).min(self.most_to_nodes);
        let clients = net.accepted() + rest - (to_nodes - self.nodes.connection_count()).min(rest);
        self.nodes.set_connection_limit(to_nodes.max(1));
        self.clients.set_connection_limit(clients);
        net.set_accepted_limit(clients);
    }

    fn open_ids(&self) -> Vec<String> {
        Vec::new()
    }

    fn reserve_ids(&mut self, _: &[String], _: Nanos) {}
}
