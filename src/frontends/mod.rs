//! Frontends, which translate between the messages of a protocol and the engine's queries and calls.

pub mod catalogue;
pub mod connection_slots;
pub mod platform;
mod refused_requests;
mod turn;
