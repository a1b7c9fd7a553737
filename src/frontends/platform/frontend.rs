//! The platform's frontend, and the construction of a broker with it.

use super::{Downstream, RequestContext, Upstream, UpstreamLimits};
use crate::admin;
use crate::api::{Discovery, Nanos};
use crate::config::{self, ConfigError, PlatformConfig};
use crate::engine::{EngineAction, QueryEngine};
use crate::frontends::connection_slots::ConnectionSlots;
use crate::hot_restart::HotRestart;
use crate::hot_restart::coordination::SharedLimits;
use crate::membership::merged_view::DirectoryScope;
use crate::membership::watch_schedule::WatchSchedule;
use crate::membership::{PartitionLayout, Registry, RegistrySettings};
use crate::net::{Clock, ConnectionClass, NetEvent, PollLoop, Pool, inherited};
use crate::server::discovery_watch::DiscoveryWatch;
use crate::server::drain::DrainPhase;
use crate::server::membership_driver::{LeaseTerms, MembershipDriver};
use crate::server::reload_retry::ReloadRetry;
use crate::server::{Broker, BrokerBuilder, BrokerError, Frontend, FrontendContext};
use crate::storage::snapshot_store::SnapshotWriter;
use std::net::SocketAddr;
use std::path::PathBuf;

const CLIENTS: u8 = 0;
const SERVERS: u8 = 1;
const DISCOVERY: u8 = 2;

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Descriptors reserved for uses other than clients, shard servers and the admin endpoint.
const RESERVED_DESCRIPTORS: usize = 32;
/// Divisor of the available descriptors for the share that connections to shard servers may use.
const UPSTREAM_DIVISOR: usize = 2;
/// Divisor of the descriptors for the share of client connections on which a query was admitted. Clients
/// limit themselves to a third of the descriptors, so this share leaves room for new connections.
const QUERIED_CLIENTS_DIVISOR: usize = 4;
/// Upper bound of the silence timeout of connections to shard servers, whatever the latency objectives are,
/// ns.
const MAX_SILENCE_TIMEOUT: Nanos = 4_000_000_000;
/// Time without a request after which a client's connection is closed, ns.
const CLIENT_IDLE_TIMEOUT: Nanos = 60_000_000_000;
/// Assumed mean time between two changes of one server until discovery has shown a different one, ns: about
/// one release a day.
const MEAN_CHANGE_INTERVAL: Nanos = 24 * 3_600_000_000_000;
/// Age assumed for a list that does not state its own, ns.
const DEFAULT_LIST_AGE: Nanos = 300_000_000_000;
/// Divisor of the memory limit for the share that buffers may use.
const BUFFER_MEMORY_DIVISOR: usize = 4;

/// The platform's frontend: clients, shard servers and discovery.
pub struct PlatformFrontend {
    clients: Downstream,
    servers: Upstream,
    membership: MembershipDriver,
    /// The configuration file, which a reload reads again.
    config_file: Option<PathBuf>,
    reload_retry: ReloadRetry,
    /// Descriptors reserved for the admin endpoint.
    admin_descriptors: usize,
}

/// The numbers of connections to shard servers and from clients for a limit of `descriptors`, of which
/// `admin_descriptors` are for neither.
fn divide_descriptors(descriptors: usize, admin_descriptors: usize) -> (usize, usize) {
    let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS + admin_descriptors);
    (available / UPSTREAM_DIVISOR, available - available / UPSTREAM_DIVISOR)
}

/// Builds a broker that listens, and returns the address at which clients connect.
pub fn broker(config: PlatformConfig) -> Result<(Broker<PlatformFrontend>, SocketAddr), BrokerError> {
    let (settings, names) = config::settings(&config.platform_settings).map_err(ConfigError::from)?;
    let clock = Clock::start();
    let now = clock.now();
    // Keeps within the descriptor limit: the share of connections to shard servers is not available to
    // clients. In a large fleet a broker has more servers than clients: with a connection for each server,
    // none has to be dialled twice.
    let admin_descriptors = config.ops.map_or(0, |_| admin::MAX_CONNECTIONS);
    let (max_upstream, max_clients) = divide_descriptors(config.sockets, admin_descriptors);
    let mut net =
        PollLoop::new(Pool::with_byte_limit((config.memory_mb << 20) / BUFFER_MEMORY_DIVISOR), max_clients)
            .map_err(BrokerError::io("poll"))?;
    let grace = config.platform_settings.drain_grace();
    let grace_ms = grace / NANOS_PER_MILLI;
    let max_poll_interval_ms = settings.max_poll_interval / NANOS_PER_MILLI;
    let endpoint_discovery = settings.discovery;
    tracing::info!(?endpoint_discovery, max_poll_interval_ms, grace_ms, "settings of the endpoint list");
    let limits = UpstreamLimits {
        streams: config.platform_settings.streams_per_connection(),
        dial_timeout: config.platform_settings.dial_timeout(),
        idle_timeout: config.platform_settings.idle_timeout(),
        silence_timeout: settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(MAX_SILENCE_TIMEOUT)
            .min(MAX_SILENCE_TIMEOUT),
        max_connections: max_upstream,
    };
    let mut servers = Upstream::new(SERVERS, limits);
    let (snapshots, snapshot_writer) =
        config.cache_directory.as_deref().map_or((Vec::new(), None), SnapshotWriter::open);
    let mut registry = Registry::new(RegistrySettings {
        layout: PartitionLayout { cells: settings.cells, span: settings.span },
        warm_up: settings.slow_start_time,
        mean_change_interval: MEAN_CHANGE_INTERVAL,
        default_list_age: DEFAULT_LIST_AGE,
        silence_timeout: limits.silence_timeout / 5,
        zones: names.zones().clone(),
        directory_scope: DirectoryScope::AllNodes,
        kinds: Vec::new(),
        seed: config.seed,
    });
    let shared_limits = SharedLimits {
        descriptors: config.sockets,
        max_in_flight: settings.max_in_flight as usize,
        retry_budget_window: settings.retry_budget.map_or(0, |b| b.window),
    };
    let hot_restart_group =
        config.hot_restart_directory.as_deref().and_then(|dir| HotRestart::open(dir, shared_limits, now));
    if let Some(joined) = &hot_restart_group {
        registry.restore(&joined.snapshots, now);
    }
    registry.restore(&snapshots, now);
    if let Some(list) = &config.initial_list {
        registry.add_configured(list, now);
    }
    let suspended = hot_restart_group
        .iter()
        .flat_map(|joined| joined.overrides.suspended_servers())
        .map(str::to_owned)
        .collect::<Vec<_>>();
    let dial_timeout = config.platform_settings.dial_timeout();
    let (schedule, terms) = match settings.discovery {
        Discovery::Pushed => {
            (WatchSchedule::for_pushed_lists(dial_timeout, grace, config.seed), LeaseTerms::for_pushed(grace))
        }
        Discovery::Polled => (
            WatchSchedule::for_shared_discovery(dial_timeout, grace, settings.brokers, config.seed),
            LeaseTerms::for_polled(grace),
        ),
    };
    let mut watch = DiscoveryWatch::new(DISCOVERY, config.discovery, schedule);
    match settings.discovery {
        // Pushed changes count as delivered whether or not a watch is open, so one is needed from the start.
        Discovery::Pushed => watch.request(now),
        Discovery::Polled => watch.request_soon(now),
    }
    let mut membership = MembershipDriver::new(registry, snapshot_writer)
        .with_suspended(suspended)
        .with_watch(watch, terms, now);
    let mut clients = Downstream::new(
        names,
        settings.shards,
        ConnectionSlots::new(max_clients, config.sockets / QUERIED_CLIENTS_DIVISOR, CLIENT_IDLE_TIMEOUT),
    );
    // Known before the first client can connect; the processes are observed only later.
    if let Some(joined) = &hot_restart_group {
        clients.set_ids_open_at_peers(joined.open_query_ids.clone(), now);
    }
    let mut engine = QueryEngine::new(settings, config.seed, now).map_err(ConfigError::rejected)?;
    let mut context = FrontendContext { now, net: &mut net, engine: &mut engine };
    membership.propagate_changes(&mut context, |c| servers.set_address(c.entry.replica, c.addr));
    // The endpoint list is applied before the first client can connect.
    engine.advance(now);
    let listening = match config.inherited {
        Some(fd) => inherited::listener(fd, config.listen).and_then(|l| net.listen_on(l, CLIENTS)),
        None => net.listen(config.listen, CLIENTS),
    };
    let listening = listening.map_err(BrokerError::io("listen"))?;
    tracing::info!("{} listens at {listening}", config.name);
    let frontend = PlatformFrontend {
        clients,
        servers,
        membership,
        config_file: config.file,
        reload_retry: ReloadRetry::default(),
        admin_descriptors,
    };
    let mut broker = BrokerBuilder::new(clock, net, engine, frontend);
    if let Some(admin_address) = config.ops {
        broker.listen_admin(admin_address);
    }
    if let Some(joined) = hot_restart_group {
        broker.join_hot_restart(joined.hot_restart, joined.overrides);
    }
    Ok((broker.build()?, listening))
}

impl PlatformFrontend {
    /// Reloads the configuration. If the address of discovery has changed, the watch moves at the next tick.
    fn read_configuration(&mut self, now: Nanos) {
        let Some(file) = &self.config_file else { return };
        match PlatformConfig::from_file(file) {
            Ok(config) => {
                self.reload_retry.clear();
                self.membership.set_discovery_address(config.discovery, now);
            }
            // If the file is incomplete or invalid, the current configuration stays in effect.
            Err(e) => {
                let error = e.to_string();
                if self.reload_retry.on_failure(&error, now) {
                    tracing::error!("the configuration stays as it was: {error}");
                }
            }
        }
    }
}

impl Frontend for PlatformFrontend {
    type Query = RequestContext;
    type Value = String;

    fn on_event(&mut self, event: NetEvent, context: &mut FrontendContext<RequestContext, String>) {
        match event.owner() {
            Some(CLIENTS) => self.clients.on_event(event, context),
            Some(SERVERS) => self.servers.on_event(event, context),
            Some(DISCOVERY) => self.membership.on_event(event, context.now, context.net),
            _ => {}
        }
    }

    fn tick(&mut self, context: &mut FrontendContext<RequestContext, String>) {
        if self.reload_retry.is_due(context.now) {
            self.read_configuration(context.now);
        }
        self.servers.tick(context);
        self.clients.tick(context);
        self.membership.tick(context, |c| self.servers.set_address(c.entry.replica, c.addr));
    }

    fn perform(
        &mut self,
        action: EngineAction<RequestContext, String>,
        context: &mut FrontendContext<RequestContext, String>,
    ) {
        match action {
            EngineAction::Call { replica, parts } => self.servers.call(replica, parts, context),
            EngineAction::CancelAttempt { attempt, .. } => self.servers.cancel_attempt(attempt, context.net),
            EngineAction::Respond { query, outcome: answer } => {
                self.clients.on_query_outcome(query, answer, context)
            }
            EngineAction::WatchEndpoints => {
                self.membership.request_watch(context.now, context.net);
                self.membership
                    .propagate_changes(context, |c| self.servers.set_address(c.entry.replica, c.addr));
            }
            // Shard servers on this port are not probed; the settings forbid it.
            EngineAction::HealthCheck { replica } => context.engine.health_checked(replica, false, 0, None),
        }
    }

    fn next_deadline(&self) -> Option<Nanos> {
        let reload = self.reload_retry.next_deadline();
        [self.servers.next_deadline(), self.membership.next_deadline(), self.clients.next_deadline(), reload]
            .into_iter()
            .flatten()
            .min()
    }

    fn set_ready(&mut self, ready: bool) {
        self.clients.set_ready(ready);
    }

    fn set_drain_phase(&mut self, phase: DrainPhase) {
        self.clients.set_drain_phase(phase);
    }

    /// Applies a changed address of discovery. All other settings are fixed at the start.
    fn reload(&mut self, context: &mut FrontendContext<RequestContext, String>) {
        self.reload_retry.clear();
        self.read_configuration(context.now);
    }

    fn close_idle(&mut self, context: &mut FrontendContext<RequestContext, String>) {
        self.clients.close_idle(context);
    }

    fn listeners(&self) -> &[u8] {
        &[CLIENTS]
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
        // Open connections stay; only the remaining descriptors are divided. Those that the admin endpoint
        // may still need are left out.
        let remaining = descriptors.saturating_sub(
            net.descriptors() + self.admin_descriptors
                - net.accepted_in_class(ConnectionClass::Admin).min(self.admin_descriptors),
        );
        let servers = self.servers.connection_count() + remaining / 2;
        let clients = net.accepted() + remaining - remaining / 2;
        self.servers.set_max_connections(servers);
        self.clients.set_connection_limits(clients, (descriptors / QUERIED_CLIENTS_DIVISOR).min(clients));
        net.set_accepted_limit(clients);
    }

    fn open_ids(&self) -> Vec<String> {
        self.clients.open_ids()
    }

    fn set_ids_open_at_peers(&mut self, ids: Vec<String>, now: Nanos) {
        self.clients.set_ids_open_at_peers(ids, now);
    }
}
