//! What one process leaves for the next: the words of staff, and what must not be taken twice.

use crate::api::Nanos;
use crate::storage::checksummed_file::{FileFormat, FileFormatError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The form on disk.
pub const FORMAT: FileFormat = FileFormat {
    magic: "pebbleturn-handover",
    description: "state handed over",
    version: 1,
    max_bytes: 1 << 20,
};
/// Most words on servers that are kept; the oldest that let one in go first.
const MAX_SERVER_OVERRIDES: usize = 4096;

/// How far a process has come.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessStage {
    /// It takes no clients yet.
    #[default]
    Starting,
    /// It takes clients.
    Serving,
    /// It finishes what it took.
    #[serde(rename = "Leaving")]
    Draining,
}

/// Staff's last word on something, and when it was given. The later word holds; of two at one time the stricter.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct Override {
    /// Unix time, ns.
    #[serde(rename = "at")]
    pub set_at: Nanos,
    /// Taken out, or sent away.
    #[serde(rename = "out")]
    pub active: bool,
}

/// What staff have said. Merging is commutative, associative and idempotent: whoever hears what from whom in which
/// order, all come to hold the same.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Overrides {
    /// On each server by its id.
    pub servers: BTreeMap<String, Override>,
    /// On the pause.
    pub pause: Option<Override>,
}

impl Overrides {
    /// A word on a server, later than any before it.
    pub fn set_server_suspended(&mut self, id: &str, out: bool, now: Nanos) {
        // Guards against a clock that went back between two processes: what is said last holds.
        let at = self.servers.get(id).map_or(now, |w| now.max(w.set_at + 1));
        self.servers.insert(id.to_owned(), Override { set_at: at, active: out });
        while self.servers.len() > MAX_SERVER_OVERRIDES {
            let oldest =
                self.servers.iter().min_by_key(|(_, w)| (w.active, w.set_at)).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.servers.remove(&id));
        }
    }

    /// A word on the pause.
    pub fn set_paused(&mut self, out: bool, now: Nanos) {
        let at = self.pause.map_or(now, |w| now.max(w.set_at + 1));
        self.pause = Some(Override { set_at: at, active: out });
    }

    /// Takes in what another process holds. True if anything is new.
    pub fn merge(&mut self, other: &Overrides) -> bool {
        let mut new = false;
        for (id, word) in &other.servers {
            if self.servers.get(id).is_none_or(|own| own < word) {
                self.servers.insert(id.clone(), *word);
                new = true;
            }
        }
        if self.pause < other.pause {
            self.pause = other.pause;
            new = true;
        }
        new
    }

    /// The ids that are out.
    pub fn suspended_servers(&self) -> impl Iterator<Item = &str> {
        self.servers.iter().filter(|(_, w)| w.active).map(|(id, _)| id.as_str())
    }
}

/// What a process tells the others that serve at its address.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct ProcessState {
    /// When this was written, unix ns.
    #[serde(rename = "written")]
    pub written_at: Nanos,
    /// How far it has come.
    pub stage: ProcessStage,
    /// What staff have said.
    #[serde(rename = "words")]
    pub overrides: Overrides,
    /// The most descriptors that it may come to hold.
    #[serde(rename = "lease")]
    pub descriptor_lease: usize,
    /// Queries and parts that it holds.
    #[serde(rename = "held")]
    pub in_flight: usize,
    /// Ids of its open queries.
    #[serde(rename = "open_ids")]
    pub open_query_ids: Vec<String>,
}

impl ProcessState {
    /// The bytes of a file.
    pub fn encode(&self) -> Result<Vec<u8>, FileFormatError> {
        FORMAT.encode(self)
    }

    /// Reads a file back.
    pub fn decode(bytes: &[u8]) -> Result<ProcessState, FileFormatError> {
        FORMAT.decode(bytes)
    }
}
