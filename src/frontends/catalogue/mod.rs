//! The catalogue frontend. Clients and nodes each use SRU or Z39.50, in any combination.

pub mod apdu;
pub mod ber;
pub mod cql;
pub mod diagnostic;
mod downstream;
mod frontend;
mod job;
pub mod marc;
mod node_connection;
mod node_session;
pub mod plan;
pub mod rpn;
pub mod search;
mod session;
pub mod sru;
mod upstream;

pub use frontend::{CatalogueFrontend, broker};
