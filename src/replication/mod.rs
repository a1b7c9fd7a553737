//! State that is replicated to all brokers of a cluster: operators' commands, and the drains and starts of
//! servers that discovery reported. Performs no I/O and reads no clock.
//!
//! Every broker has a full copy, which is a state-based CRDT. `docs/replication.md` describes the design and
//! its proofs.
//!
//! - [`version_vector`]: dots, which identify commands without clocks, and sets of them;
//! - [`multi_value_register`]: commands on one subject, where concurrent ones are all retained;
//! - [`fact`]: the subjects, and what is known about each;
//! - [`state_store`]: a copy of all facts, the join with those of other copies, and garbage collection;
//! - [`merkle_tree`]: digests that locate the differences of two copies;
//! - [`anti_entropy`]: the protocol that reconciles two copies in bounded messages;
//! - [`rumor_queue`]: new facts that are still to be sent to random peers;
//! - [`derived_state`]: the effect of the facts on one broker.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

pub mod anti_entropy;
pub mod derived_state;
pub mod fact;
pub mod merkle_tree;
pub mod multi_value_register;
pub mod rumor_queue;
pub mod state_store;
pub mod version_vector;

pub use fact::{Fact, FactKey, FactValue, ProcessStart};
pub use multi_value_register::{CommandValue, OperatorCommand, Register};
pub use state_store::{JoinError, StateStore, StoreLimits};
pub use version_vector::{Dot, InvalidRanges, Origin, Ranges, VersionVector};
