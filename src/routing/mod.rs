//! Routing: which of the nodes that membership knows are offered to the decisions, and with what weight.
//!
//! An operator may put nodes into sets that are used one after the other, hold spares back, give weights, and switch
//! nodes off. The decision module still decides which server among those offered, whether again, and what to turn
//! away. Free of I/O and clock: lines of the list and outcomes come in with the time, lines go out. The ways that
//! were weighed are in `docs/routing.md`.

mod health;
mod table;

pub use health::{Eligibility, Health};
pub use table::{Routing, RoutingSettings};

use crate::api::Nanos;

/// Whether a node takes work, by the operator's word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminState {
    /// It does.
    #[default]
    Active,
    /// It keeps only what is bound to it. No query is bound to a node here, so it gets nothing new.
    Disabled,
    /// It gets nothing new.
    Stopped,
    /// It finishes what it has and gets nothing new; it is about to go.
    Draining,
}

/// Whether a node waits for others to fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spare {
    /// It works with the others of its set.
    #[default]
    None,
    /// It works when no regular node of its set does.
    Hot,
    /// It works when no regular node and no hot spare of its set does.
    Standby,
}

/// What the operator says of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Whether it takes work.
    pub admin_state: AdminState,
    /// Share of the work beside others of its set; 0: none.
    pub weight: f64,
    /// Sets are used in the order of their numbers, the next only when one has no usable node.
    pub set: u32,
    /// Whether it waits for others to fail.
    pub spare: Spare,
    /// The node that takes its place while it fails, by id; that one is offered although it is a spare.
    pub redirect: Option<String>,
    /// Time after a failure in which it gets no work; then one trial.
    pub retry: Nanos,
}

impl Default for Rule {
    fn default() -> Rule {
        Rule {
            admin_state: AdminState::Active,
            weight: 1.0,
            set: 0,
            spare: Spare::None,
            redirect: None,
            retry: 60_000_000_000,
        }
    }
}

impl Rule {
    /// Whether it says nothing that would change what is offered.
    pub fn is_plain(&self) -> bool {
        *self == Rule { retry: self.retry, ..Rule::default() }
    }

    /// Its place in the order in which nodes are used: lower ones first.
    fn tier(&self) -> (u32, Spare) {
        (self.set, self.spare)
    }
}
