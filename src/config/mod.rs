//! What the program is told at its start.

mod operator;
mod platform;
mod settings;

pub use operator::{Database, Limits, Listener, Node, Operator, Partitions, Protocol, QueryClass};
pub use platform::{ConfigError, Platform};
pub use settings::{Names, Params, settings};
