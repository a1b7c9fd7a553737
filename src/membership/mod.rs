//! Membership: one merged view of all nodes from every source, and the trust in its records.
//!
//! The module does no I/O and reads no clock: callers pass in reports and attempt outcomes with the current
//! time, and receive replica entries for the engine.
//! The design and its alternatives are described in `docs/membership-design.md`.
//!
//! - [`merged_view`] merges records so that their order does not matter and a drain is never undone by older
//!   records;
//! - [`staleness`] computes the trust in a record from its age;
//! - [`probation`] chooses which unconfirmed nodes are admitted;
//! - [`poll_backoff`] spaces out polls for the endpoint list;
//! - [`retry_pacing`] decides how long to wait after a call to discovery that failed;
//! - [`watch_schedule`] decides when discovery is called, and when a call times out;
//! - [`snapshot`] is the stored form of the view, and [`status_report`] prints it;
//! - [`manual_override`] and [`gossip_hints`] restrict the announced nodes according to operators' commands
//!   and hints of other brokers;
//! - [`Registry`] combines them.

#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

pub mod endpoint_list;
pub mod gossip_hints;
pub mod manual_override;
pub mod merged_view;
pub mod poll_backoff;
pub mod probation;
mod registry;
pub mod retry_pacing;
pub mod snapshot;
pub mod staleness;
pub mod status_report;
pub mod watch_schedule;

pub use manual_override::{ManualOverrides, UnknownNode};
pub use probation::PartitionLayout;
pub use registry::{DiscoveryState, NodeChange, NodeStatus, PeerListNews, Registry, RegistrySettings};

use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a node's process as a source reports it. Ordered by severity: of two records with the same
/// version, the more severe one takes precedence.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeState {
    /// It accepts work.
    Ready,
    /// It completes what is in flight and accepts nothing new.
    #[serde(alias = "Draining")]
    Terminating,
    /// Its process has ended.
    Gone,
}

/// One node as a source reports it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeRecord {
    /// Id, the same for every broker; two nodes never share one at the same time.
    pub id: String,
    /// Address; none if the source gives no usable one.
    pub addr: Option<SocketAddr>,
    /// Name of its zone, empty if not stated.
    pub zone: String,
    /// Kind of the node: the protocol it speaks, as the source names it; empty if all nodes speak the same.
    pub kind: String,
    /// Cell, which determines the partitions it holds.
    pub cell: u32,
    /// State of its process.
    pub state: NodeState,
    /// Unix time of its process start, ns; 0 means long ago.
    pub started: Nanos,
}

/// The kinds of source, in ascending priority: a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourcePriority {
    /// The operator's file of nodes.
    Operator,
    /// Discovery: live, from a snapshot, or from the list in the configuration.
    Directory,
}

/// The version of a record in its source's own order, independent of clocks.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceVersion {
    /// The source.
    #[serde(rename = "rank")]
    pub priority: SourcePriority,
    /// Number of times that this broker has seen the source's versions reset.
    pub epoch: u32,
    /// The source's version.
    pub version: u64,
}

impl SourceVersion {
    /// The lowest version of a source.
    #[must_use]
    pub fn zero(priority: SourcePriority) -> SourceVersion {
        SourceVersion { priority, epoch: 0, version: 0 }
    }
}
