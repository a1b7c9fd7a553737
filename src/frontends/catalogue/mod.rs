//! The catalogue front: SRU and Z39.50, clients and servers, every pairing.

pub mod apdu;
pub mod ber;
pub mod cql;
pub mod diagnostic;
mod downstream;
mod frontend;
mod job;
pub mod marc;
mod node_session;
pub mod plan;
pub mod rpn;
pub mod search;
mod session;
pub mod sru;
mod upstream;

pub use frontend::{CatalogueFrontend, broker};
