//! What one process publishes to the others at its address: operators' overrides, its use of the shared
//! limits, and the ids of its open queries, which must not be used twice.

#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use crate::api::Nanos;
use crate::storage::checksummed_file::{FileFormat, FileFormatError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Format of `N.state`.
pub const FORMAT: FileFormat = FileFormat {
    magic: "pebbleturn-handover",
    description: "hot restart state",
    version: 1,
    max_bytes: 1 << 20,
};
/// Maximum number of servers with a stored override. Inactive overrides are dropped first, the oldest of them
/// first.
const MAX_SERVER_OVERRIDES: usize = 4096;

/// Stage in the lifecycle of a process.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessStage {
    /// Does not accept clients yet.
    #[default]
    Starting,
    /// Accepts clients.
    Serving,
    /// Accepts no new clients and finishes the accepted requests.
    #[serde(rename = "Leaving")]
    Draining,
}

/// The last operator command on a server or on the pause, with its time. The later of two commands wins; at
/// equal times, the active one wins.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct Override {
    /// Unix time, ns.
    #[serde(rename = "at")]
    pub set_at: Nanos,
    /// Whether the server is suspended, or the broker paused.
    #[serde(rename = "out")]
    pub active: bool,
}

impl Override {
    /// An override that is later than the previous one, even if the clock went back between two processes.
    fn after(previous: Option<Override>, active: bool, now: Nanos) -> Override {
        let set_at = previous.map_or(now, |p| now.max(p.set_at + 1));
        Override { set_at, active }
    }
}

/// The operators' overrides. Merging is commutative, associative and idempotent: the order in which processes
/// receive overrides does not affect the result.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Overrides {
    /// Suspensions, by server id.
    pub servers: BTreeMap<String, Override>,
    /// The pause of the broker.
    pub pause: Option<Override>,
}

impl Overrides {
    /// Records a command on a server, which replaces any earlier one.
    pub fn set_server_suspended(&mut self, id: &str, suspended: bool, now: Nanos) {
        let previous = self.servers.get(id).copied();
        self.servers.insert(id.to_owned(), Override::after(previous, suspended, now));
        while self.servers.len() > MAX_SERVER_OVERRIDES {
            let oldest = self.servers.iter().min_by_key(|(_, o)| (o.active, o.set_at));
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.servers.remove(&id));
        }
    }

    /// Records a command on the pause, which replaces any earlier one.
    pub fn set_paused(&mut self, paused: bool, now: Nanos) {
        self.pause = Some(Override::after(self.pause, paused, now));
    }

    /// Merges the overrides of another process. Returns whether any of them was new.
    pub fn merge(&mut self, other: &Overrides) -> bool {
        let mut changed = false;
        for (id, theirs) in &other.servers {
            if self.servers.get(id).is_none_or(|own| own < theirs) {
                self.servers.insert(id.clone(), *theirs);
                changed = true;
            }
        }
        if self.pause < other.pause {
            self.pause = other.pause;
            changed = true;
        }
        changed
    }

    /// Ids of the suspended servers, in ascending order.
    pub fn suspended_servers(&self) -> impl Iterator<Item = &str> {
        self.servers.iter().filter(|(_, o)| o.active).map(|(id, _)| id.as_str())
    }
}

/// What a process publishes to the others at its address.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct ProcessState {
    /// When the state was written, Unix time in ns.
    #[serde(rename = "written")]
    pub written_at: Nanos,
    /// Stage of the process.
    pub stage: ProcessStage,
    /// The operators' overrides known to the process.
    #[serde(rename = "words")]
    pub overrides: Overrides,
    /// The most descriptors that the process may open.
    #[serde(rename = "lease")]
    pub descriptor_lease: usize,
    /// Queries and parts in flight.
    #[serde(rename = "held")]
    pub in_flight: usize,
    /// Ids of the open queries of the process.
    #[serde(rename = "open_ids")]
    pub open_query_ids: Vec<String>,
    /// Whether the process has a watch on discovery. Not written if it has none, as by earlier versions, which
    /// wrote it never.
    #[serde(default, rename = "watching", skip_serializing_if = "std::ops::Not::not")]
    pub watches_discovery: bool,
}

impl ProcessState {
    /// Encodes the state as the content of `N.state`.
    ///
    /// # Errors
    ///
    /// The state is larger than [`FORMAT`] allows.
    pub fn encode(&self) -> Result<Vec<u8>, FileFormatError> {
        FORMAT.encode(self)
    }

    /// Decodes the content of `N.state`.
    ///
    /// # Errors
    ///
    /// The bytes are damaged, too many or of another format version.
    pub fn decode(bytes: &[u8]) -> Result<ProcessState, FileFormatError> {
        FORMAT.decode(bytes)
    }
}
