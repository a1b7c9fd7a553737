//! Configuration of the broker: the operator's file for the catalogue, or the platform's file together with
//! environment variables.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod diagnostics;
mod error;
pub mod index;
mod operator;
mod platform;
mod settings;

pub use diagnostics::Diagnostic;
pub use error::{ConfigError, ConfigErrorKind};
pub use operator::{
    ClusterConfig, Database, Limits, Listener, Membership, Node, NodesFile, Operation, OperatorConfig,
    Partitions, PeerBroker, Protocol, QueryClass, RoutingTimes, rules,
};
pub use platform::PlatformConfig;
pub use settings::{Names, PlatformSettings, PlatformSettingsError, settings};
