//! Gossip between the brokers of a cluster: detects which of them are up, and replicates state to all of
//! them. Performs no I/O and reads no clock.
//!
//! - [`swim`] detects which brokers are up;
//! - [`codec`] encodes and decodes the frames that brokers exchange;
//! - [`node`] connects both with the replicated store: it selects what is sent to which peer, and decides
//!   when two stores are synchronized and when this broker has caught up;
//! - [`peer_table`] holds the listed peers;
//! - [`input_limits`] limits the rate of datagrams and counts dropped input;
//! - [`notification`] defines the events that the node reports to its caller.
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
