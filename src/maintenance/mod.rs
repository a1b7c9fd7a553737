//! Work on machines, in an order that the brokers settle among themselves. Free of I/O and clock.
//!
//! - [`consensus`] is one value that a small group of brokers agrees on by majority;
//! - [`permits`] is that value: which machines may be out, and every guard on a change of it.
//!
//! What was weighed stands in `docs/maintenance.md`.

pub mod consensus;
pub mod permits;

pub use consensus::{Acceptor, Ballot, Proposer, ProposerState, Request, Response};
pub use permits::{MaintenancePhase, Permit, PermitError, PermitRules, Permits};
