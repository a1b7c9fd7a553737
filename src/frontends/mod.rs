//! Frontends: what turns a wire's messages into queries and calls, and back.

pub mod catalogue;
pub mod connection_slots;
pub mod platform;
