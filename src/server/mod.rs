//! The broker as a server: its event loop, the interface of a frontend, and what ties membership to both.

pub mod discovery_watch;
pub mod drain;
mod event_loop;
pub mod membership_driver;

pub use event_loop::{Broker, BrokerError, Frontend, FrontendContext};
