//! What all brokers of a cluster are to know: bans and pauses by hand, drains learnt, latest starts. Free of I/O and
//! clock.
//!
//! Every broker has a copy of all of it. What is weighed and what is proved stands in `docs/replication.md`.
//!
//! - [`version_vector`] are the stamps of words, which owe nothing to clocks;
//! - [`multi_value_register`] is what was said by hand, and which words stand side by side;
//! - [`state_store`] holds all facts, joins those of others, and forgets what has ended;
//! - [`merkle_tree`] finds where two copies differ;
//! - [`anti_entropy`] brings two copies together, a bounded message at a time;
//! - [`rumor_queue`] is what is told on while it is news;
//! - [`derived_state`] is what follows for this broker.

pub mod anti_entropy;
pub mod derived_state;
pub mod merkle_tree;
pub mod multi_value_register;
pub mod rumor_queue;
pub mod state_store;
pub mod version_vector;

pub use multi_value_register::{CommandValue, OperatorCommand, Register};
pub use state_store::{Fact, FactKey, FactValue, JoinError, ProcessStart, StateStore, StoreLimits};
pub use version_vector::{Dot, InvalidRanges, Origin, Ranges, VersionVector};
