//! The endpoint list in discovery's format, as discovery sends it and as the configuration contains it.

use super::{NodeRecord, NodeState};
use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// A full endpoint list, or the changes of one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointList {
    /// Version of the list, counted by discovery.
    pub version: u64,
    /// Whether this is the full list; if not, it contains only the endpoints that changed.
    pub full: bool,
    /// Unix time at which the list was last known to be current, ms, if the sender states it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub as_of_ms: Option<u64>,
    /// The endpoints.
    pub servers: Vec<Endpoint>,
}

/// One endpoint of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    /// Id of the node.
    pub id: String,
    /// Address as text.
    #[serde(default)]
    pub addr: String,
    /// Name of the zone.
    pub zone: Option<String>,
    /// Kind of the node: the protocol it speaks.
    #[serde(default)]
    pub kind: String,
    /// Cell, which determines the partitions that the node holds.
    #[serde(default)]
    pub cell: u32,
    /// State of the node's process.
    pub state: NodeState,
    /// Unix time of the process start, ms; 0 means long ago.
    #[serde(default)]
    pub started_ms: u64,
}

impl Endpoint {
    /// Unix time of the process start, ns; 0 means long ago.
    #[must_use]
    pub fn started(&self) -> Nanos {
        self.started_ms.saturating_mul(1_000_000)
    }

    /// Converts the endpoint to a node record. An address that can't be parsed becomes none.
    #[must_use]
    pub fn record(&self) -> NodeRecord {
        NodeRecord {
            id: self.id.clone(),
            addr: self.addr.parse().ok(),
            zone: self.zone.clone().unwrap_or_default(),
            kind: self.kind.clone(),
            cell: self.cell,
            state: self.state,
            started: self.started(),
        }
    }
}
