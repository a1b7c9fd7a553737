//! The state of a running broker, which the event loop and its handlers share.

use super::cluster_state::AppliedClusterState;
use super::drain::{DrainPhase, DrainState};
use super::frontend::Frontend;
use super::query_stats::QueryStats;
use crate::admin::AdminServer;
use crate::api::Nanos;
use crate::cluster::Cluster;
use crate::engine::QueryEngine;
use crate::hot_restart::HotRestart;
use crate::hot_restart::coordination::QuotaShare;
use crate::hot_restart::state::Overrides;
use crate::net::{Clock, PollLoop};

/// A broker, ready to run.
pub struct Broker<F: Frontend> {
    pub(super) clock: Clock,
    pub(super) net: PollLoop,
    pub(super) engine: QueryEngine<F::Query, F::Value>,
    pub(super) frontend: F,
    pub(super) drain: DrainState,
    /// The step that the front was told, whether the listeners are closed, and when to look for idle clients again.
    pub(super) drain_phase: DrainPhase,
    pub(super) listeners_closed: bool,
    pub(super) next_idle_scan: Nanos,
    /// The second address, where there is one.
    pub(super) admin_server: Option<AdminServer>,
    pub(super) class_names: Vec<String>,
    /// What staff have said, here or to another process at this address.
    pub(super) overrides: Overrides,
    /// The other processes at this address, where there may be any, and the share that was told the front.
    pub(super) hot_restart: Option<HotRestart>,
    pub(super) quota_share: Option<QuotaShare>,
    /// Its place in a cluster, where it has one, and what of it holds here already.
    pub(super) cluster: Option<Cluster>,
    pub(super) applied: AppliedClusterState,
    pub(super) query_stats: QueryStats,
}
