//! State that is replicated to all brokers of a cluster: operators' commands, and what discovery reported of
//! drains and starts. Free of I/O and clock.
//!
//! Every broker has a copy of all of it, a state-based CRDT. `docs/replication.md` describes the design and
//! its proofs.
//!
//! - [`version_vector`]: dots, which identify commands without clocks, and sets of them;
//! - [`multi_value_register`]: commands on one subject, of which concurrent ones are all retained;
//! - [`fact`]: the subjects, and what is known of each;
//! - [`state_store`]: a copy of all facts, the join with those of other copies, and garbage collection;
//! - [`merkle_tree`]: digests, by which two copies find where they differ;
//! - [`anti_entropy`]: the protocol that reconciles two copies in bounded messages;
//! - [`rumor_queue`]: facts that are new and still sent to random peers;
//! - [`derived_state`]: what the facts mean for one broker.
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
