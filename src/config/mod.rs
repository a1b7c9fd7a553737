//! What the program is told at its start.

pub mod diagnostics;
pub mod index;
mod operator;
mod platform;
mod settings;

pub use operator::{
    ClusterConfig, Database, Limits, Listener, Membership, Node, NodesFile, OperatorConfig, Partitions,
    PeerBroker, Protocol, QueryClass, RoutingTimes, rules,
};
pub use platform::{ConfigError, PlatformConfig};
pub use settings::{Names, PlatformSettings, settings};
