//! Facts that are replicated to all brokers: a subject, and what is known about it.

use super::merkle_tree;
use super::multi_value_register::Register;
use super::version_vector::{Origin, Ranges};
use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The subject of a fact.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// Whether an operator has disabled a server, by its id.
    Server(String),
    /// Whether an operator has paused a broker, by its name.
    Pause(String),
    /// Whether an operator has removed a broker permanently, by its name.
    Removed(String),
    /// A maintenance order, by its id.
    #[serde(rename = "Work")]
    MaintenanceOrder(String),
    /// The state of a site, by its name.
    Site(String),
    /// The latest drain of a server that discovery reported, by the server's id.
    Drain(String),
    /// The latest start of a server that discovery reported, by the server's id.
    Start(String),
    /// The dots of an origin that garbage collection removed.
    #[serde(rename = "Spent")]
    Collected(Origin),
}

impl FactKey {
    /// The least key in the order of keys, at which a scan of a whole leaf begins.
    pub const MIN: FactKey = FactKey::Server(String::new());

    /// The name or id of the subject; none for collected dots.
    pub fn name(&self) -> Option<&str> {
        match self {
            FactKey::Server(name)
            | FactKey::Pause(name)
            | FactKey::Removed(name)
            | FactKey::MaintenanceOrder(name)
            | FactKey::Site(name)
            | FactKey::Drain(name)
            | FactKey::Start(name) => Some(name),
            FactKey::Collected(_) => None,
        }
    }

    /// The index of the leaf to which the key belongs.
    pub(super) fn leaf(&self) -> u16 {
        merkle_tree::leaf_index(&postcard::to_allocvec(self).unwrap_or_default())
    }
}

impl fmt::Display for FactKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FactKey::Server(id) => write!(f, "server {id}"),
            FactKey::Pause(name) => write!(f, "pause of {name}"),
            FactKey::Removed(name) => write!(f, "removal of {name}"),
            FactKey::MaintenanceOrder(id) => write!(f, "work {id}"),
            FactKey::Site(name) => write!(f, "site {name}"),
            FactKey::Drain(id) => write!(f, "drain of {id}"),
            FactKey::Start(id) => write!(f, "start of {id}"),
            FactKey::Collected(origin) => write!(f, "spent of {origin}"),
        }
    }
}

/// The process of a server that a report of discovery refers to, and how recent the report is. Reports are
/// ordered by the start of the process, then by the version of the list.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessStart {
    /// When the process started, in Unix nanoseconds; 0 if that is unknown.
    pub started: Nanos,
    /// The version of discovery's list that reported it; 0 for starts, which are ordered by time alone.
    #[serde(rename = "version")]
    pub list_version: u64,
}

/// What is known about a subject.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub enum FactValue {
    /// Commands of operators: a multi-value register.
    #[serde(rename = "Words")]
    Commands(Register),
    /// The latest report of discovery: a last-writer-wins register.
    Latest(ProcessStart),
    /// Sequence numbers that garbage collection removed: a grow-only set.
    #[serde(rename = "Spent")]
    Collected(Ranges),
}

/// A subject with what is known about it.
pub type Fact = (FactKey, FactValue);

/// Returns the hash of a fact.
pub fn fact_hash(key: &FactKey, value: &FactValue) -> u64 {
    merkle_tree::hash(&postcard::to_allocvec(&(key, value)).unwrap_or_default())
}
