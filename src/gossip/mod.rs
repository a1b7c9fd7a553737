//! The other brokers of a cluster: who they are, and who is up. Free of I/O and clock.
//!
//! - [`swim`] finds out who is up;
//! - [`codec`] is the form of what brokers send each other;
//! - [`node`] ties both to the copy of what all are to know: what is sent to whom, when two copies are brought
//!   together, and when this broker has caught up.

pub mod codec;
pub mod node;
pub mod swim;

pub use node::{GossipNode, GossipSettings, Notification, Output};
