//! What the program is told at its start.

pub mod diagnostics;
pub mod index;
mod operator;
mod platform;
mod settings;

pub use operator::{
    Clustered, Database, Limits, Listener, Membership, Node, NodesFile, Operator, Partitions, PeerBroker,
    Protocol, QueryClass, RoutingTimes, rules,
};
pub use platform::{ConfigError, Platform};
pub use settings::{Names, Params, settings};
