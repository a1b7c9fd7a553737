//! The broker as a server: its event loop, the interface of a frontend, and what ties membership to both.

mod admin_handler;
mod broker;
mod builder;
mod cluster_driver;
mod cluster_state;
pub mod discovery_watch;
pub mod drain;
mod error;
mod event_loop;
pub mod frontend;
mod frontend_context;
mod hint_exchange;
mod hot_restart_driver;
pub mod membership_driver;
mod query_stats;

pub use broker::Broker;
pub use builder::BrokerBuilder;
pub use error::BrokerError;
pub use frontend::{Frontend, FrontendContext};
