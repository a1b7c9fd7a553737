//! The platform's front as a whole.

use super::{Downstream, RequestContext, Upstream, UpstreamLimits};
use crate::admin;
use crate::api::{Discovery, Nanos};
use crate::config::{self, ConfigError, PlatformConfig};
use crate::engine::{EngineAction, QueryEngine};
use crate::frontends::connection_slots::ConnectionSlots;
use crate::hot_restart::HotRestart;
use crate::hot_restart::coordination::SharedLimits;
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
const ROSTER: u8 = 2;

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Descriptors kept for what is neither a client nor a shard server.
const SPARE: usize = 32;
/// Part of the descriptors that connections to shard servers may take.
const TO_SERVERS: usize = 2;
/// Part of the descriptors that clients who have asked may hold. Clients keep to a third of them: this leaves
/// room for those that come next.
const CLIENTS_KEPT: usize = 4;
/// Longest silence of a shard server's connection that is still called on, whatever the aims.
const SILENT: Nanos = 4_000_000_000;
/// Time without a request after which a client's connection is closed.
const IDLE: Nanos = 60_000_000_000;
/// Mean time between two changes of one server, until discovery has shown another: about a release a day.
const CHANGES_EVERY: Nanos = 24 * 3_600_000_000_000;
/// Age of a list that does not tell its own.
const PRESUMED_AGE: Nanos = 300_000_000_000;
/// Part of the memory that buffers may take.
const BUFFERS: usize = 4;

/// The platform's port: clients, shard servers and discovery.
pub struct PlatformFrontend {
    clients: Downstream,
    servers: Upstream,
    membership: MembershipDriver,
    /// What is read again when the word comes.
    file: Option<PathBuf>,
    reload_retry: ReloadRetry,
    /// Descriptors for neither clients nor shard servers.
    apart: usize,
}

/// Connections to shard servers and from clients for so many descriptors, of which `apart` are for neither.
fn divide(descriptors: usize, apart: usize) -> (usize, usize) {
    let both = descriptors.saturating_sub(SPARE + apart);
    (both / TO_SERVERS, both - both / TO_SERVERS)
}

/// Builds a broker that listens; tells where.
pub fn broker(told: PlatformConfig) -> Result<(Broker<PlatformFrontend>, SocketAddr), BrokerError> {
    let (settings, names) = config::settings(&told.platform_settings).map_err(ConfigError::from)?;
    let clock = Clock::start();
    let now = clock.now();
    // Guards the limit on descriptors: what connections to shard servers may take is not given to clients. In a
    // large fleet a broker meets more servers than clients: with a place for each server none is dialled twice.
    let apart = told.ops.map_or(0, |_| admin::MAX_CONNECTIONS);
    let (to_servers, most) = divide(told.sockets, apart);
    let mut net = PollLoop::new(Pool::with_byte_limit((told.memory_mb << 20) / BUFFERS), most)
        .map_err(BrokerError::io("poll"))?;
    let grace = told.platform_settings.drain_grace();
    let grace_ms = grace / NANOS_PER_MILLI;
    let max_poll_interval_ms = settings.max_poll_interval / NANOS_PER_MILLI;
    let endpoint_discovery = settings.discovery;
    tracing::info!(?endpoint_discovery, max_poll_interval_ms, grace_ms, "settings of the endpoint list");
    let limits = UpstreamLimits {
        streams: told.platform_settings.streams_per_connection(),
        dial_timeout: told.platform_settings.dial_timeout(),
        idle: told.platform_settings.idle_timeout(),
        silent: settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(SILENT).min(SILENT),
        most: to_servers,
    };
    let mut servers = Upstream::new(SERVERS, limits);
    let (kept, keeper) = told.cache_directory.as_deref().map_or((Vec::new(), None), SnapshotWriter::open);
    let mut roster = Registry::new(RegistrySettings {
        layout: PartitionLayout { cells: settings.cells, span: settings.span },
        warm_up: settings.slow_start_time,
        mean_change_interval: CHANGES_EVERY,
        default_list_age: PRESUMED_AGE,
        silence_timeout: limits.silent / 5,
        zones: names.zones().clone(),
        kinds: Vec::new(),
        seed: told.seed,
    });
    let limits_of_all = SharedLimits {
        descriptors: told.sockets,
        max_in_flight: settings.max_in_flight as usize,
        retry_budget_window: settings.retry_budget.map_or(0, |b| b.window),
    };
    let handed =
        told.hot_restart_directory.as_deref().and_then(|dir| HotRestart::open(dir, limits_of_all, now));
    if let Some(joined) = &handed {
        roster.restore(&joined.snapshots, now);
    }
    roster.restore(&kept, now);
    if let Some(list) = &told.initial_list {
        roster.add_configured(list, now);
    }
    let out = handed
        .iter()
        .flat_map(|joined| joined.overrides.suspended_servers())
        .map(str::to_owned)
        .collect::<Vec<_>>();
    let dial_timeout = told.platform_settings.dial_timeout();
    let (schedule, terms) = match settings.discovery {
        Discovery::Pushed => {
            (WatchSchedule::for_pushed_lists(dial_timeout, grace, told.seed), LeaseTerms::for_pushed(grace))
        }
        Discovery::Polled => (
            WatchSchedule::for_shared_discovery(dial_timeout, grace, settings.brokers, told.seed),
            LeaseTerms::for_polled(grace),
        ),
    };
    let mut watch = DiscoveryWatch::new(ROSTER, told.discovery, schedule);
    match settings.discovery {
        // What is pushed counts as told whether or not a watch is open: one has to be, from the first moment on.
        Discovery::Pushed => watch.request(now),
        Discovery::Polled => watch.request_soon(now),
    }
    let mut membership =
        MembershipDriver::new(roster, keeper).with_suspended(out).with_watch(watch, terms, now);
    let clients = Downstream::new(
        names,
        settings.shards,
        ConnectionSlots::new(most, told.sockets / CLIENTS_KEPT, IDLE),
    );
    let mut exchange = QueryEngine::new(settings, told.seed, now).map_err(ConfigError::rejected)?;
    let mut hands = FrontendContext { now, net: &mut net, engine: &mut exchange };
    membership.propagate_changes(&mut hands, |c| servers.place(c.entry.replica, c.addr));
    // The list of servers is in before the first client can come.
    exchange.advance(now);
    let listening = match told.inherited {
        Some(fd) => inherited::listener(fd, told.listen).and_then(|l| net.listen_on(l, CLIENTS)),
        None => net.listen(told.listen, CLIENTS),
    };
    let listening = listening.map_err(BrokerError::io("listen"))?;
    tracing::info!("{} listens at {listening}", told.name);
    let front = PlatformFrontend {
        clients,
        servers,
        membership,
        file: told.file,
        reload_retry: ReloadRetry::default(),
        apart,
    };
    let mut broker = BrokerBuilder::new(clock, net, exchange, front);
    if let Some(ops) = told.ops {
        broker.listen_admin(ops);
    }
    if let Some(joined) = handed {
        broker.join_hot_restart(joined.hot_restart, joined.overrides);
    }
    Ok((broker.build()?, listening))
}

impl PlatformFrontend {
    /// Reads the configuration again; the watch on discovery moves with the next tick.
    fn read_configuration(&mut self, now: Nanos) {
        let Some(file) = &self.file else { return };
        match PlatformConfig::from_file(file) {
            Ok(told) => {
                self.reload_retry.clear();
                self.membership.set_discovery_address(told.discovery, now);
            }
            // Guards the service against a file that is half written or wrong: what it was told before stays.
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

    fn on_event(&mut self, event: NetEvent, hands: &mut FrontendContext<RequestContext, String>) {
        match event.owner() {
            Some(CLIENTS) => self.clients.event(event, hands),
            Some(SERVERS) => self.servers.event(event, hands),
            Some(ROSTER) => self.membership.on_event(event, hands.now, hands.net),
            _ => {}
        }
    }

    fn tick(&mut self, hands: &mut FrontendContext<RequestContext, String>) {
        if self.reload_retry.is_due(hands.now) {
            self.read_configuration(hands.now);
        }
        self.servers.tick(hands);
        self.clients.tick(hands);
        self.membership.tick(hands, |c| self.servers.place(c.entry.replica, c.addr));
    }

    fn perform(
        &mut self,
        work: EngineAction<RequestContext, String>,
        hands: &mut FrontendContext<RequestContext, String>,
    ) {
        match work {
            EngineAction::Call { replica, parts } => self.servers.call(replica, parts, hands),
            EngineAction::CancelAttempt { attempt, .. } => self.servers.give_up(attempt, hands.net),
            EngineAction::Respond { query, outcome: answer } => self.clients.finish(query, answer, hands),
            EngineAction::WatchEndpoints => {
                self.membership.request_watch(hands.now, hands.net);
                self.membership.propagate_changes(hands, |c| self.servers.place(c.entry.replica, c.addr));
            }
            // Shard servers on this port are not probed; the settings forbid it.
            EngineAction::HealthCheck { replica } => hands.engine.health_checked(replica, false, 0, None),
        }
    }

    fn next_deadline(&self) -> Option<Nanos> {
        let reload = self.reload_retry.next_deadline();
        [self.servers.due(), self.membership.next_deadline(), self.clients.due(), reload]
            .into_iter()
            .flatten()
            .min()
    }

    fn set_ready(&mut self, ready: bool) {
        self.clients.ready(ready);
    }

    fn set_drain_phase(&mut self, step: DrainPhase) {
        self.clients.step(step);
    }

    /// Discovery alone may move while the broker serves; all else holds from the start to the end.
    fn reload(&mut self, hands: &mut FrontendContext<RequestContext, String>) {
        self.reload_retry.clear();
        self.read_configuration(hands.now);
    }

    fn close_idle(&mut self, hands: &mut FrontendContext<RequestContext, String>) {
        self.clients.close_idle(hands);
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
        // What is held stays; only the rest is divided. Callers at the second address may still come.
        let rest = descriptors.saturating_sub(
            net.descriptors() + self.apart - net.accepted_in_class(ConnectionClass::Admin).min(self.apart),
        );
        let servers = self.servers.links() + rest / 2;
        let clients = net.accepted() + rest - rest / 2;
        self.servers.keep_to(servers);
        self.clients.keep_to(clients, (descriptors / CLIENTS_KEPT).min(clients));
        net.set_accepted_limit(clients);
    }

    fn open_ids(&self) -> Vec<String> {
        self.clients.open_ids()
    }

    fn reserve_ids(&mut self, ids: &[String], now: Nanos) {
        self.clients.ids_in_use(ids, now);
    }
}
