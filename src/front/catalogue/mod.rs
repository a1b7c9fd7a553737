//! The catalogue front: SRU and Z39.50, clients and servers, every pairing.

pub mod apdu;
pub mod ber;
mod broker;
mod clients;
pub mod cql;
pub mod diagnostic;
mod job;
pub mod marc;
mod nodes;
pub mod plan;
pub mod rpn;
pub mod search;
mod session;
pub mod sru;
mod talk;

pub use broker::{CatalogueFront, broker};
