//! Permits for the maintenance of machines, on which the brokers agree by consensus. Performs no I/O and
//! reads no clock.
//!
//! - [`consensus`]: a single value on which a small group of brokers agrees by majority;
//! - [`permits`]: that value, the table of permits, and the rules for changing it.
//!
//! `docs/maintenance.md` describes the design.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

pub mod consensus;
pub mod permits;

pub use consensus::{Acceptor, Ballot, Proposer, ProposerState, Request, Response};
pub use permits::{CellRing, MaintenancePhase, Permit, PermitError, PermitRequest, PermitRules, Permits};
