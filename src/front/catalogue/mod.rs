//! The catalogue front: SRU and Z39.50, clients and servers, every pairing.

pub mod apdu;
pub mod ber;
pub mod cql;
pub mod diagnostic;
pub mod marc;
pub mod rpn;
pub mod search;
pub mod sru;
