//! Assembles a broker from its components.

use super::broker::Broker;
use super::command_confirmation::CommandConfirmations;
use super::drain::{DrainPhase, DrainState};
use super::error::BrokerError;
use super::frontend::Frontend;
use super::query_stats::QueryStats;
use super::wall_clock_monitor::WallClockMonitor;
use crate::admin::AdminServer;
use crate::api::Nanos;
use crate::cluster::Cluster;
use crate::config::ClusterConfig;
use crate::engine::QueryEngine;
use crate::hot_restart::HotRestart;
use crate::hot_restart::state::Overrides;
use crate::net::{Clock, PollLoop};
use std::net::SocketAddr;

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Collects the components of a broker. Nothing is opened before [`BrokerBuilder::build`].
#[must_use = "a builder does nothing until `build` is called"]
pub struct BrokerBuilder<F: Frontend> {
    clock: Clock,
    net: PollLoop,
    engine: QueryEngine<F::Query, F::Value>,
    frontend: F,
    admin_address: Option<SocketAddr>,
    hot_restart: Option<(HotRestart, Overrides)>,
    cluster: Option<(ClusterConfig, String)>,
}

impl<F: Frontend> BrokerBuilder<F> {
    /// A broker without admin endpoint, hot restart and cluster.
    pub fn new(
        clock: Clock,
        net: PollLoop,
        engine: QueryEngine<F::Query, F::Value>,
        frontend: F,
    ) -> BrokerBuilder<F> {
        BrokerBuilder { clock, net, engine, frontend, admin_address: None, hot_restart: None, cluster: None }
    }

    /// Serves the admin endpoint at this address.
    pub fn listen_admin(&mut self, address: SocketAddr) {
        self.admin_address = Some(address);
    }

    /// Shares the address with other processes, a predecessor and later a successor. `overrides` are the
    /// operator's commands that were given to earlier processes.
    pub fn join_hot_restart(&mut self, hot_restart: HotRestart, overrides: Overrides) {
        self.hot_restart = Some((hot_restart, overrides));
    }

    /// Joins a cluster under the broker's own `name`.
    pub fn join_cluster(&mut self, config: &ClusterConfig, name: &str) {
        self.cluster = Some((config.clone(), name.to_owned()));
    }

    /// Opens the admin endpoint, and joins the other processes at the address and the cluster.
    ///
    /// # Errors
    ///
    /// If the operating system refuses the admin endpoint's socket, or a resource that the cluster needs.
    pub fn build(self) -> Result<Broker<F>, BrokerError> {
        let deadlines = self.engine.settings().classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or(0);
        let mut broker = Broker {
            class_names: self.frontend.class_names(),
            query_stats: QueryStats::new(self.clock.now()),
            clock: self.clock,
            net: self.net,
            engine: self.engine,
            frontend: self.frontend,
            drain: DrainState::new(longest_deadline),
            drain_phase: DrainPhase::Serving,
            listeners_closed: false,
            next_idle_scan: 0,
            admin_server: None,
            overrides: Overrides::default(),
            hot_restart: None,
            command_confirmations: CommandConfirmations::default(),
            quota_share: None,
            cluster: None,
            applied: None,
            longest_iteration: 0,
            is_kept_for_watch: false,
            wall_clock_monitor: WallClockMonitor::default(),
        };
        tracing::info!(
            unix_ms = broker.clock.now() / NANOS_PER_MILLI,
            "clock starts at the wall clock's time"
        );
        if let Some(address) = self.admin_address {
            broker.open_admin_endpoint(address)?;
        }
        if let Some((hot_restart, overrides)) = self.hot_restart {
            broker.start_hot_restart(hot_restart, overrides);
        }
        if let Some((config, name)) = self.cluster {
            broker.open_cluster(&config, &name)?;
        }
        Ok(broker)
    }
}

impl<F: Frontend> Broker<F> {
    fn open_admin_endpoint(&mut self, address: SocketAddr) -> Result<(), BrokerError> {
        let server = AdminServer::open(address, &mut self.net)
            .map_err(BrokerError::io("listen on the admin endpoint"))?;
        tracing::info!(addr = %server.local_addr(), "admin endpoint listens");
        self.admin_server = Some(server);
        Ok(())
    }

    fn start_hot_restart(&mut self, hot_restart: HotRestart, overrides: Overrides) {
        let now = self.clock.now();
        if overrides.pause.is_some_and(|command| command.active) {
            self.drain.pause(now);
        }
        self.drain.share_address();
        self.hot_restart = Some(hot_restart);
        self.overrides = overrides;
        self.observe_hot_restart(now);
    }

    fn open_cluster(&mut self, config: &ClusterConfig, name: &str) -> Result<(), BrokerError> {
        let now = self.clock.now();
        let cluster =
            Cluster::open(config, name, now, &mut self.net).map_err(BrokerError::io("open the cluster"))?;
        self.cluster = Some(cluster);
        self.drive_cluster(now);
        Ok(())
    }
}
