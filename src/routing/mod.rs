//! Routing: which of the nodes that membership announces are offered to the policy, and at which weight.
//!
//! An operator may put nodes into sets that are used in order, reserve spares, set weights, and disable
//! nodes. The policy still decides which of the offered nodes gets a part, whether to retry, and what to
//! reject. The module does no I/O and has no clock: changes from membership and outcomes of attempts are
//! passed in with the current time, and changes for the engine are returned. The design and its alternatives
//! are described in `docs/routing.md`.

#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod health;
mod node;
mod offers;
mod rule;
mod table;

pub use health::{Eligibility, Health};
pub use rule::{AdminState, Rule, Spare};
pub use table::{Routing, RoutingSettings};
