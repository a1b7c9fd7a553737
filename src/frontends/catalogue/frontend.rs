//! The catalogue frontend: joins clients, nodes and membership, and builds its broker.

use super::downstream::Downstream;
use super::plan::{PartValue, SearchPayload};
use super::upstream::Upstream;
use crate::admin;
use crate::api::Nanos;
use crate::cluster;
use crate::config::{self, ConfigError, Node, NodesFile, OperatorConfig, Protocol};
use crate::engine::{EngineAction, QueryEngine};
use crate::hot_restart::HotRestart;
use crate::hot_restart::coordination::SharedLimits;
use crate::membership::merged_view::DirectoryScope;
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

// Owners of listeners and connections at the poll loop.
const SRU: u8 = 0;
const Z3950: u8 = 1;
const NODES: u8 = 2;
const DISCOVERY: u8 = 3;

/// Time in which a connection to discovery must be established, ns.
const DISCOVERY_DIAL_TIMEOUT: Nanos = 2_500_000_000;
/// Time after the report of a drain within which sends to the node must cease, ns. The operator's file has no
/// setting for it.
const DRAIN_GRACE: Nanos = 2_000_000_000;

/// Time between two checks whether the nodes file has been read, ns.
const FILE_POLL_INTERVAL: Nanos = 20_000_000;

/// Descriptors reserved for other uses than clients and nodes.
const RESERVED_DESCRIPTORS: usize = 32;
/// Most memory for buffers.
const MAX_BUFFER_BYTES: usize = 48 << 20;

/// The catalogue frontend: clients and index nodes, each of which speaks SRU or Z39.50.
pub struct CatalogueFrontend {
    clients: Downstream,
    nodes: Upstream,
    membership: MembershipDriver,
    files: NodeFiles,
    /// Most connections to nodes, even if more descriptors are free.
    max_node_connections: usize,
}

/// The nodes of the operator's file and of the nodes file. The latter can be reloaded.
struct NodeFiles {
    configured: Vec<Node>,
    path: Option<PathBuf>,
    cells: u32,
    reading: Option<Receiver<Result<NodesFile, ConfigError>>>,
    /// When to check whether the file has been read.
    poll_at: Nanos,
    retry: ReloadRetry,
}

impl NodeFiles {
    fn records(&self, file: &NodesFile) -> Vec<NodeRecord> {
        self.configured.iter().chain(&file.node).map(Node::to_record).collect()
    }

    fn rules(&self, file: &NodesFile) -> HashMap<String, Rule> {
        config::rules(self.configured.iter().chain(&file.node))
    }

    /// Reloads the file on an operator's request.
    fn reload(&mut self, now: Nanos) {
        self.retry.clear();
        self.start_reading(now);
    }

    /// When to check whether the file has been read, or to read it again.
    fn next_deadline(&self) -> Option<Nanos> {
        if self.reading.is_some() { Some(self.poll_at) } else { self.retry.next_deadline() }
    }

    /// Starts to read the file on a separate thread, so that a blocked disk does not stop the event loop.
    fn start_reading(&mut self, now: Nanos) {
        self.poll_at = now + FILE_POLL_INTERVAL;
        let Some(path) = self.path.clone() else {
            return tracing::info!("the operator's file is read at the start only; nothing is changed");
        };
        let (sender, receiver) = sync_channel(1);
        let cells = self.cells;
        let read = move || drop(sender.send(NodesFile::from_file(&path, cells)));
        match std::thread::Builder::new().name("nodes".into()).spawn(read) {
            Ok(_) => self.reading = Some(receiver),
            Err(e) => {
                if self.retry.on_failure(&e.to_string(), now) {
                    tracing::error!("no thread to read the nodes file: {e}");
                }
            }
        }
    }

    /// The nodes file, once it has been read.
    fn poll(&mut self, now: Nanos) -> Option<NodesFile> {
        if self.reading.is_none() && self.retry.is_due(now) {
            self.start_reading(now);
        }
        let read = match self.reading.as_ref()?.try_recv() {
            Err(TryRecvError::Empty) => {
                self.poll_at = now + FILE_POLL_INTERVAL;
                return None;
            }
            Err(TryRecvError::Disconnected) => None,
            Ok(read) => Some(read),
        };
        self.reading = None;
        match read? {
            Ok(file) => {
                self.retry.clear();
                tracing::info!("nodes file read again: {} nodes", file.node.len());
                Some(file)
            }
            // A file that is partly written or invalid does not replace the current nodes.
            Err(e) => {
                if self.retry.on_failure(&e.to_string(), now) {
                    tracing::error!("the nodes stay as they were: {e}");
                }
                None
            }
        }
    }
}

/// Builds a broker. Returns it with the addresses of its listeners, in the order of the operator's file.
pub fn broker(operator: OperatorConfig) -> Result<(Broker<CatalogueFrontend>, Vec<SocketAddr>), BrokerError> {
    let clock = Clock::start();
    let now = clock.now();
    let seed = RandomState::new().build_hasher().finish();
    let settings = operator.settings();
    let m = &operator.membership;
    let (snapshots, snapshot_writer) = m.keep.as_deref().map_or((Vec::new(), None), SnapshotWriter::open);
    let directory_scope =
        if m.discovery.is_some() { DirectoryScope::AllNodes } else { DirectoryScope::NodesOfDirectory };
    let mut registry = Registry::new(RegistrySettings {
        layout: PartitionLayout { cells: settings.cells, span: settings.span },
        warm_up: settings.slow_start_time,
        mean_change_interval: (m.changes_every_h * 3_600e9) as Nanos,
        default_list_age: m.presumed_age_s * 1_000_000_000,
        silence_timeout: settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0) / 5,
        zones: operator.node.iter().map(|n| (n.zone.clone(), operator.zone_number(&n.zone))).collect(),
        directory_scope,
        kinds: [Protocol::Sru, Protocol::Z3950].map(|p| p.name().to_owned()).into(),
        seed,
    });
    let shared_limits = SharedLimits {
        descriptors: operator.limits.sockets,
        max_in_flight: settings.max_in_flight as usize,
        retry_budget_window: settings.retry_budget.map_or(0, |b| b.window),
    };
    let hot_restart_group =
        operator.operation.hand_over.as_deref().and_then(|dir| HotRestart::open(dir, shared_limits, now));
    if let Some(joined) = &hot_restart_group {
        registry.restore(&joined.snapshots, now);
    }
    registry.restore(&snapshots, now);
    let path = m.nodes_file.clone();
    let files = NodeFiles {
        configured: operator.node.clone(),
        path,
        cells: settings.cells,
        reading: None,
        poll_at: 0,
        retry: ReloadRetry::default(),
    };
    let file = files.path.as_deref().map(|p| NodesFile::from_file(p, settings.cells)).transpose()?;
    let file = file.unwrap_or_default();
    let (records, rules) = (files.records(&file), files.rules(&file));
    let node_count = records.len();
    if node_count > 0 {
        registry.set_operator_nodes(records, now);
    }
    let routing = Routing::new(RoutingSettings {
        layout: PartitionLayout { cells: settings.cells, span: settings.span },
        rules,
        warm_up: operator.routing.warm_up_ms * 1_000_000,
        failback_delay: operator.routing.hold_ms * 1_000_000,
    });
    let suspended = hot_restart_group
        .iter()
        .flat_map(|joined| joined.overrides.suspended_servers())
        .map(str::to_owned)
        .collect::<Vec<_>>();
    let mut membership =
        MembershipDriver::new(registry, snapshot_writer).with_suspended(suspended).with_routing(routing);
    if operator.cluster.is_some() {
        membership = membership.share_hints();
    }
    if let Some(discovery) = m.discovery {
        let schedule =
            WatchSchedule::for_shared_discovery(DISCOVERY_DIAL_TIMEOUT, DRAIN_GRACE, settings.brokers, seed);
        let mut watch = DiscoveryWatch::new(DISCOVERY, discovery, schedule);
        watch.request(now);
        membership = membership.with_watch(watch, LeaseTerms::for_polled(DRAIN_GRACE), now);
    }
    let mut engine = QueryEngine::new(settings, seed, now).map_err(ConfigError::rejected)?;
    // Keeps to the limit on descriptors: those for connections to nodes are not available to clients. If the
    // set of nodes can change, these are half of them.
    let reserved = operator.operation.listen.map_or(0, |_| admin::MAX_CONNECTIONS)
        + operator
            .cluster
            .as_ref()
            .map_or(0, |_| cluster::MAX_PEER_CONNECTIONS + cluster::RESERVED_DESCRIPTORS);
    let available = operator.limits.sockets - RESERVED_DESCRIPTORS - reserved;
    let nodes_may_change = m.discovery.is_some() || files.path.is_some();
    let needed = node_count * operator.limits.connections_per_node;
    let node_connections = if nodes_may_change { available / 2 } else { needed };
    if available.saturating_sub(node_connections) < 8 {
        let message = "limits: the connections to nodes leave no sockets for clients";
        return Err(ConfigError::rejected(message).into());
    }
    let mut net = PollLoop::new(Pool::with_byte_limit(MAX_BUFFER_BYTES), available - node_connections)
        .map_err(BrokerError::io("poll"))?;
    let mut nodes =
        Upstream::new(NODES, &operator.partitions.database, operator.limits.clone(), node_connections);
    let mut context = FrontendContext { now, net: &mut net, engine: &mut engine };
    membership.propagate_changes(&mut context, |c| nodes.update_node(c));
    // The engine has the list of nodes before the first client connects.
    engine.advance(now);
    let mut addrs = Vec::new();
    for listener in &operator.listener {
        let owner = if listener.protocol == Protocol::Sru { SRU } else { Z3950 };
        let addr = match listener.descriptor {
            Some(fd) => {
                inherited::listener(fd, listener.listen).and_then(|socket| net.listen_on(socket, owner))
            }
            None => net.listen(listener.listen, owner),
        };
        let addr = addr.map_err(BrokerError::io("listen"))?;
        tracing::info!("{} listens at {addr} for {:?}", operator.name, listener.protocol);
        addrs.push(addr);
    }
    let (admin_address, cluster, name) =
        (operator.operation.listen, operator.cluster.clone(), operator.name.clone());
    let clients = Downstream::new(operator, SRU, available - node_connections);
    let frontend =
        CatalogueFrontend { clients, nodes, membership, files, max_node_connections: node_connections };
    let mut broker = BrokerBuilder::new(clock, net, engine, frontend);
    if let Some(admin_address) = admin_address {
        broker.listen_admin(admin_address);
    }
    if let Some(joined) = hot_restart_group {
        broker.join_hot_restart(joined.hot_restart, joined.overrides);
    }
    if let Some(cluster) = cluster {
        broker.join_cluster(&cluster, &name);
    }
    Ok((broker.build()?, addrs))
}

impl Frontend for CatalogueFrontend {
    type Query = SearchPayload;
    type Value = PartValue;

    fn on_event(&mut self, event: NetEvent, context: &mut FrontendContext<SearchPayload, PartValue>) {
        match event.owner() {
            Some(NODES) => self.nodes.on_event(event, context),
            Some(DISCOVERY) => self.membership.on_event(event, context.now, context.net),
            Some(_) => self.clients.on_event(event, context),
            None => {}
        }
    }

    fn tick(&mut self, context: &mut FrontendContext<SearchPayload, PartValue>) {
        if let Some(file) = self.files.poll(context.now) {
            let (records, rules) = (self.files.records(&file), self.files.rules(&file));
            self.membership.set_operator_nodes(records, rules, context.now);
        }
        self.membership.tick(context, |c| self.nodes.update_node(c));
        self.nodes.tick(context);
        self.clients.tick(context);
    }

    fn perform(
        &mut self,
        action: EngineAction<SearchPayload, PartValue>,
        context: &mut FrontendContext<SearchPayload, PartValue>,
    ) {
        match action {
            EngineAction::Call { replica, parts } => self.nodes.call(replica, parts, context),
            EngineAction::CancelAttempt { replica, attempt } => {
                self.nodes.cancel_attempt(replica, attempt, context.now)
            }
            EngineAction::Respond { query, outcome: answer } => {
                self.clients.on_query_outcome(query, answer, context)
            }
            // The membership driver requests the list itself, and nodes get no health checks.
            EngineAction::WatchEndpoints | EngineAction::HealthCheck { .. } => {}
        }
    }

    fn next_deadline(&self) -> Option<Nanos> {
        [
            self.nodes.next_deadline(),
            self.clients.next_deadline(),
            self.membership.next_deadline(),
            self.files.next_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn set_ready(&mut self, ready: bool) {
        self.clients.set_ready(ready);
    }

    fn set_drain_phase(&mut self, phase: DrainPhase) {
        self.clients.set_closing(phase >= DrainPhase::ClosingAfterAnswer);
    }

    /// Reloads the nodes file. All other settings are fixed at startup.
    fn reload(&mut self, context: &mut FrontendContext<SearchPayload, PartValue>) {
        self.files.reload(context.now);
    }

    fn close_idle(&mut self, context: &mut FrontendContext<SearchPayload, PartValue>) {
        self.clients.close_idle(context);
        if self.clients.is_empty() {
            self.nodes.close_all(context.net);
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
        // Open connections are kept, and only the remaining descriptors are divided. Descriptors of admin
        // connections that are not open yet stay reserved.
        let reserved = admin::MAX_CONNECTIONS.saturating_sub(net.accepted_in_class(ConnectionClass::Admin));
        let remaining = descriptors.saturating_sub(net.descriptors() + reserved);
        let node_connections = (self.nodes.connection_count() + remaining / 2).min(self.max_node_connections);
        let max_clients =
            net.accepted() + remaining - (node_connections - self.nodes.connection_count()).min(remaining);
        self.nodes.set_max_connections(node_connections.max(1));
        self.clients.set_max_connections(max_clients);
        net.set_accepted_limit(max_clients);
    }

    fn open_ids(&self) -> Vec<String> {
        Vec::new()
    }

    fn set_ids_open_at_peers(&mut self, _: Vec<String>, _: Nanos) {}
}
