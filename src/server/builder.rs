//! Puts a broker together.

use super::broker::Broker;
use super::cluster_state::AppliedClusterState;
use super::drain::{DrainPhase, DrainState};
use super::error::BrokerError;
use super::frontend::Frontend;
use super::query_stats::QueryStats;
use crate::admin::AdminServer;
use crate::cluster::Cluster;
use crate::config::ClusterConfig;
use crate::engine::QueryEngine;
use crate::hot_restart::HotRestart;
use crate::hot_restart::state::Overrides;
use crate::net::{Clock, PollLoop, Signals, Waker};
use std::net::SocketAddr;

impl<F: Frontend> Broker<F> {
    /// Puts a broker together.
    pub fn new(
        clock: Clock,
        net: PollLoop,
        engine: QueryEngine<F::Query, F::Value>,
        frontend: F,
    ) -> Broker<F> {
        let longest_deadline = engine.settings().classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let query_stats = QueryStats::new(clock.now());
        let class_names = frontend.class_names();
        let (drain, drain_phase, listeners_closed, next_idle_scan, admin_server) =
            (DrainState::new(longest_deadline), DrainPhase::Serving, false, 0, None);
        let (overrides, hot_restart, quota_share) = (Overrides::default(), None, None);
        let (cluster, applied) = (None, AppliedClusterState::default());
        Broker {
            clock,
            net,
            engine,
            frontend,
            drain,
            drain_phase,
            listeners_closed,
            next_idle_scan,
            admin_server,
            class_names,
            overrides,
            hot_restart,
            quota_share,
            cluster,
            applied,
            query_stats,
        }
    }

    /// Others may serve at this address too: the one before, and one day the one after. `overrides` is what the one before
    /// was told by staff.
    pub fn join_hot_restart(&mut self, hot_restart: HotRestart, overrides: Overrides) {
        let now = self.clock.now();
        if overrides.pause.is_some_and(|w| w.out) {
            self.drain.pause(now);
        }
        self.drain.share_address();
        (self.hot_restart, self.overrides) = (Some(hot_restart), overrides);
        self.observe_hot_restart(now);
    }

    /// It belongs to a cluster from now on.
    pub fn join_cluster(&mut self, config: &ClusterConfig, name: &str) -> Result<(), BrokerError> {
        let now = self.clock.now();
        let cluster = Cluster::open(config, name, now, &mut self.net).map_err(BrokerError::io("cluster"))?;
        self.cluster = Some(cluster);
        self.drive_cluster(now);
        Ok(())
    }

    /// Answers at this second address from now on; tells where.
    pub fn listen_admin(&mut self, addr: SocketAddr) -> Result<SocketAddr, BrokerError> {
        let admin_server =
            AdminServer::open(addr, &mut self.net).map_err(BrokerError::io("listen for operation"))?;
        let listening = self.admin_server.insert(admin_server).listening();
        tracing::info!("calls for operation are taken at {listening}");
        Ok(listening)
    }

    /// Does from now on what these signals tell.
    pub fn handle_signals(&mut self, signals: Signals) -> Result<(), BrokerError> {
        self.net.watch_signals(signals).map_err(BrokerError::io("signals"))
    }

    /// Something by which another thread can tell this broker to end in an orderly way.
    pub fn shutdown_handle(&mut self) -> Result<Waker, BrokerError> {
        self.net.waker().map_err(BrokerError::io("waker"))
    }
}
