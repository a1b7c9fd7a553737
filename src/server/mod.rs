//! The broker as a server: its event loop, the interface of a frontend, and the membership that both use.
//!
//! The layers from top to bottom: the event loop; the handlers of admin requests, cluster and hot restart,
//! which work on the state of the [`Broker`]; [`frontend`]; and [`membership_driver`].
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod admin_handler;
mod broker;
mod builder;
mod cluster_driver;
mod cluster_state;
mod command_confirmation;
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
pub mod reload_retry;
mod wall_clock_monitor;

pub use broker::Broker;
pub use builder::BrokerBuilder;
pub use error::BrokerError;
pub use frontend::{Frontend, FrontendContext};
