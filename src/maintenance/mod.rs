//! Maintenance of machines, permitted in an order on which the brokers agree. Free of I/O and clock.
//!
//! - [`consensus`]: a single value on which a small group of brokers agrees by majority;
//! - [`permits`]: that value, the table of machines under maintenance, and the rules for changes of it.
//!
//! `docs/maintenance.md` describes the design.

pub mod consensus;
pub mod permits;

pub use consensus::{Acceptor, Ballot, Proposer, ProposerState, Request, Response};
pub use permits::{MaintenancePhase, Permit, PermitError, PermitRules, Permits};
