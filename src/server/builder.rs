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
        exchange: QueryEngine<F::Query, F::Value>,
        front: F,
    ) -> Broker<F> {
        let longest = exchange.settings().classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let tally = QueryStats::new(clock.now());
        let class_names = front.class_names();
        let (leave, step, closed, look, desk) =
            (DrainState::new(longest), DrainPhase::Serving, false, 0, None);
        let (words, handover, share) = (Overrides::default(), None, None);
        let (cluster, held) = (None, AppliedClusterState::default());
        Broker {
            clock,
            net,
            exchange,
            front,
            leave,
            step,
            closed,
            look,
            desk,
            class_names,
            words,
            handover,
            share,
            cluster,
            held,
            tally,
        }
    }

    /// Others may serve at this address too: the one before, and one day the one after. `words` is what the one before
    /// was told by staff.
    pub fn join_hot_restart(&mut self, handover: HotRestart, words: Overrides) {
        let now = self.clock.now();
        if words.pause.is_some_and(|w| w.out) {
            self.leave.pause(now);
        }
        self.leave.share_address();
        (self.handover, self.words) = (Some(handover), words);
        self.others(now);
    }

    /// It belongs to a cluster from now on.
    pub fn join_cluster(&mut self, told: &ClusterConfig, name: &str) -> Result<(), BrokerError> {
        let now = self.clock.now();
        let cluster = Cluster::open(told, name, now, &mut self.net).map_err(BrokerError::io("cluster"))?;
        self.cluster = Some(cluster);
        self.peers(now);
        Ok(())
    }

    /// Answers at this second address from now on; tells where.
    pub fn listen_admin(&mut self, addr: SocketAddr) -> Result<SocketAddr, BrokerError> {
        let desk = AdminServer::open(addr, &mut self.net).map_err(BrokerError::io("listen for operation"))?;
        let listening = self.desk.insert(desk).listening();
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
