//! Membership: one belief about the nodes from every source that tells of them, and how far it is trusted.
//!
//! Free of I/O and clock: reports and outcomes come in with the time, lines for the exchange come out. The ways
//! that were weighed are in `docs/roster.md`.
//!
//! - [`merged_view`] merges facts so that their order does not matter and a drain stays learnt;
//! - [`staleness`] tells how far a fact of a given age is believed;
//! - [`probation`] chooses which nodes that nobody has confirmed get work at once;
//! - [`poll_backoff`] spaces out further calls for the list;
//! - [`snapshot`] is the form in which a belief outlives the process;
//! - [`manual_override`] and [`gossip_hints`] make what is told on more careful, by staff's words and by other brokers';
//! - [`Registry`] ties them together.

pub mod endpoint_list;
pub mod gossip_hints;
pub mod manual_override;
pub mod merged_view;
pub mod poll_backoff;
pub mod probation;
mod registry;
pub mod snapshot;
pub mod staleness;
pub mod status_report;

pub use manual_override::{ManualOverrides, UnknownNode};
pub use registry::{NodeChange, NodeStatus, PartitionLayout, Registry, RegistrySettings};

use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a source says of a node's process. The order is that of severity: of two facts with one stamp the
/// severer is believed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeState {
    /// It takes work.
    Ready,
    /// It finishes what it has and wants nothing new.
    #[serde(alias = "Draining")]
    Terminating,
    /// It is no more.
    Gone,
}

/// One node as a source tells of it.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeRecord {
    /// The same for every broker, never used for two nodes at once.
    pub id: String,
    /// Where it is; none where the source names no usable address.
    pub addr: Option<SocketAddr>,
    /// Its zone by name, empty where untold.
    pub zone: String,
    /// What it speaks, in the words of the source; empty where all speak alike.
    pub kind: String,
    /// The cell that determines the partitions it holds.
    pub cell: u32,
    /// What became of its process.
    pub state: NodeState,
    /// Unix time of its process's start, ns; 0: long ago.
    pub started: Nanos,
}

/// Who tells. A later one overrides an earlier one.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourcePriority {
    /// A file of nodes that an operator keeps.
    Operator,
    /// Discovery, be it live, by a kept list or by the list that the configuration carries.
    Directory,
}

/// The place of a fact in its source's own order. It owes nothing to clocks.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceVersion {
    /// Who told.
    #[serde(rename = "rank")]
    pub priority: SourcePriority,
    /// How often the source began to count anew, as far as this broker saw.
    pub epoch: u32,
    /// The source's version.
    pub version: u64,
}

impl SourceVersion {
    /// The first stamp of a source: older than all others of its own.
    pub fn zero(rank: SourcePriority) -> SourceVersion {
        SourceVersion { priority: rank, epoch: 0, version: 0 }
    }
}
