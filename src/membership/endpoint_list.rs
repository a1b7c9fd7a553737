//! Discovery's own form of the list, as it stands on the wire and in the configuration.

use super::{NodeRecord, NodeState};
use serde::{Deserialize, Serialize};

/// The list as discovery tells it, or what changed in it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointList {
    /// Its version.
    pub version: u64,
    /// All of it.
    pub full: bool,
    /// Unix time at which it was last known to hold, ms, where that is told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub as_of_ms: Option<u64>,
    /// The entries.
    pub servers: Vec<Endpoint>,
}

/// One entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    /// Its id.
    pub id: String,
    /// Its address, as text.
    #[serde(default)]
    pub addr: String,
    /// Its zone.
    pub zone: Option<String>,
    /// Its kind.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// What became of its process.
    pub state: NodeState,
    /// Unix time of its start, ms; 0: long ago.
    #[serde(default)]
    pub started_ms: u64,
}

impl Endpoint {
    /// What it says of the node. An address that can't be read is none.
    pub fn record(&self) -> NodeRecord {
        NodeRecord {
            id: self.id.clone(),
            addr: self.addr.parse().ok(),
            zone: self.zone.clone().unwrap_or_default(),
            kind: self.kind.clone(),
            cell: self.cell,
            state: self.state,
            started: self.started_ms.saturating_mul(1_000_000),
        }
    }
}
