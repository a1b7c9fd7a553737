//! What one process publishes to the others at its address: operators' overrides, and what must not be used
//! twice.

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
    description: "state handed over",
    version: 1,
    max_bytes: 1 << 20,
};
/// Most servers whose overrides are remembered. The oldest override that is not active is dropped first.
const MAX_SERVER_OVERRIDES: usize = 4096;

/// How far a process has come.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessStage {
    /// It takes no clients yet.
    #[default]
    Starting,
    /// It takes clients.
    Serving,
    /// It takes no new clients and finishes what it took.
    #[serde(rename = "Leaving")]
    Draining,
}

/// An operator's last command on something, and its time. The later one holds; of two at one time, the active
/// one.
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
    /// An override that is later than the one before it, even if the clock went back between two processes.
    fn after(previous: Option<Override>, active: bool, now: Nanos) -> Override {
        let set_at = previous.map_or(now, |p| now.max(p.set_at + 1));
        Override { set_at, active }
    }
}

/// The operators' overrides. Merging is commutative, associative and idempotent: in whatever order processes
/// learn of overrides, all come to the same result.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Overrides {
    /// Suspensions, by server id.
    pub servers: BTreeMap<String, Override>,
    /// The pause of the broker.
    pub pause: Option<Override>,
}

impl Overrides {
    /// Records a command on a server, which overrides any before it.
    pub fn set_server_suspended(&mut self, id: &str, suspended: bool, now: Nanos) {
        let previous = self.servers.get(id).copied();
        self.servers.insert(id.to_owned(), Override::after(previous, suspended, now));
        while self.servers.len() > MAX_SERVER_OVERRIDES {
            let oldest = self.servers.iter().min_by_key(|(_, o)| (o.active, o.set_at));
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.servers.remove(&id));
        }
    }

    /// Records a command on the pause, which overrides any before it.
    pub fn set_paused(&mut self, paused: bool, now: Nanos) {
        self.pause = Some(Override::after(self.pause, paused, now));
    }

    /// Takes in the overrides of another process. True if any of them is new here.
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

    /// Ids of the suspended servers, in their order.
    pub fn suspended_servers(&self) -> impl Iterator<Item = &str> {
        self.servers.iter().filter(|(_, o)| o.active).map(|(id, _)| id.as_str())
    }
}

/// What a process publishes to the others at its address.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct ProcessState {
    /// When this was written, unix ns.
    #[serde(rename = "written")]
    pub written_at: Nanos,
    /// How far it has come.
    pub stage: ProcessStage,
    /// The operators' overrides that it knows.
    #[serde(rename = "words")]
    pub overrides: Overrides,
    /// The most descriptors that it may come to hold.
    #[serde(rename = "lease")]
    pub descriptor_lease: usize,
    /// Queries and parts in flight.
    #[serde(rename = "held")]
    pub in_flight: usize,
    /// Ids of its open queries.
    #[serde(rename = "open_ids")]
    pub open_query_ids: Vec<String>,
}

impl ProcessState {
    /// The bytes of `N.state`.
    ///
    /// # Errors
    ///
    /// The state is larger than [`FORMAT`] allows.
    pub fn encode(&self) -> Result<Vec<u8>, FileFormatError> {
        FORMAT.encode(self)
    }

    /// Reads the bytes of `N.state`.
    ///
    /// # Errors
    ///
    /// The bytes are damaged, too many or of another version.
    pub fn decode(bytes: &[u8]) -> Result<ProcessState, FileFormatError> {
        FORMAT.decode(bytes)
    }
}
