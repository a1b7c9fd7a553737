//! The state of a running broker, shared by the event loop and its handlers.

use super::cluster_state::AppliedClusterState;
use super::command_confirmation::CommandConfirmations;
use super::drain::{DrainPhase, DrainState};
use super::frontend::{Frontend, FrontendContext};
use super::query_stats::QueryStats;
use super::wall_clock_monitor::WallClockMonitor;
use crate::admin::AdminServer;
use crate::api::Nanos;
use crate::cluster::Cluster;
use crate::engine::QueryEngine;
use crate::hot_restart::HotRestart;
use crate::hot_restart::coordination::QuotaShare;
use crate::hot_restart::state::Overrides;
use crate::membership::UnknownNode;
use crate::net::{Clock, PollLoop};

/// A broker whose listeners are open. It serves once [`Broker::run`] is called.
///
/// It is created by [`BrokerBuilder`](super::BrokerBuilder).
#[must_use = "a broker does not serve until `run` is called"]
pub struct Broker<F: Frontend> {
    pub(super) clock: Clock,
    pub(super) net: PollLoop,
    pub(super) engine: QueryEngine<F::Query, F::Value>,
    pub(super) frontend: F,
    /// Names of the query classes, in the order of the settings.
    pub(super) class_names: Vec<String>,
    pub(super) drain: DrainState,
    /// The phase that the frontend was last notified of.
    pub(super) drain_phase: DrainPhase,
    pub(super) listeners_closed: bool,
    /// When idle connections are next scanned for, in the phases that close them.
    pub(super) next_idle_scan: Nanos,
    /// The admin endpoint, if one is configured.
    pub(super) admin_server: Option<AdminServer>,
    /// Operator commands that this process or another one at this address received.
    pub(super) overrides: Overrides,
    /// Coordination with other processes at this address, if hot restart is configured.
    pub(super) hot_restart: Option<HotRestart>,
    /// Responses that wait until their commands have been written for the other processes.
    pub(super) command_confirmations: CommandConfirmations,
    /// The share of the limits that was last applied.
    pub(super) quota_share: Option<QuotaShare>,
    /// Membership in a cluster, if one is configured.
    pub(super) cluster: Option<Cluster>,
    /// The part of the cluster's state that is applied here; `None` until that state has been read from disk.
    pub(super) applied: Option<AppliedClusterState>,
    /// The longest iteration of the event loop, ns; measured only in a cluster.
    pub(super) longest_iteration: Nanos,
    /// Whether this process has stayed for its watch on discovery, which is logged once.
    pub(super) is_kept_for_watch: bool,
    pub(super) query_stats: QueryStats,
    pub(super) wall_clock_monitor: WallClockMonitor,
}

impl<F: Frontend> Broker<F> {
    /// Suspends or restores a node on an operator's command to this process.
    ///
    /// # Errors
    ///
    /// If no list has ever named the node.
    pub(super) fn set_suspended(&mut self, id: &str, suspended: bool, now: Nanos) -> Result<(), UnknownNode> {
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        self.frontend.membership_mut().set_suspended(id, suspended, &mut context)?;
        self.record_suspension(id, suspended, now);
        Ok(())
    }

    /// Applies a suspension or a restoration that another broker of the cluster accepted.
    pub(super) fn apply_suspension(&mut self, id: &str, suspended: bool, now: Nanos) {
        let mut context = FrontendContext { now, net: &mut self.net, engine: &mut self.engine };
        self.frontend.membership_mut().apply_suspension(id, suspended, &mut context);
        self.record_suspension(id, suspended, now);
    }

    fn record_suspension(&mut self, id: &str, suspended: bool, now: Nanos) {
        self.overrides.set_server_suspended(id, suspended, now);
        self.publish_overrides();
        if suspended {
            tracing::info!(node = %id, "node is suspended by an operator");
        } else {
            tracing::info!(node = %id, "node is restored by an operator");
        }
    }

    /// Pauses or resumes this broker on an operator's command.
    pub(super) fn set_paused(&mut self, paused: bool, now: Nanos) {
        self.overrides.set_paused(paused, now);
        if paused {
            let open_queries = self.engine.open_queries();
            tracing::info!(open_queries, "broker is paused by an operator");
            self.drain.pause(now);
        } else {
            tracing::info!("broker is resumed by an operator");
            self.drain.resume();
        }
    }

    /// Publishes the operator's commands to the other processes at this address without delay.
    pub(super) fn publish_overrides(&mut self) {
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.publish_now();
        }
    }
}
