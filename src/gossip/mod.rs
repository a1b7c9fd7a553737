//! Gossip between the brokers of a cluster: which of them are up, and replicated state that reaches all of
//! them. Free of I/O and clock.
//!
//! - [`swim`] detects which brokers are up;
//! - [`codec`] encodes the frames that brokers exchange;
//! - [`node`] ties both to the replicated store: what is sent to whom, when two stores are synchronized, and
//!   when this broker has caught up;
//! - [`peer_table`] holds the listed peers;
//! - [`input_limits`] limits and counts what is dropped;
//! - [`notification`] is what the node reports to its caller.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

pub mod codec;
pub mod input_limits;
pub mod node;
pub mod notification;
pub mod peer_table;
pub mod swim;

pub use input_limits::DropReason;
pub use node::{GossipNode, GossipSettings, Output};
pub use notification::{Notification, SyncStatus};
pub use peer_table::PeerInfo;
