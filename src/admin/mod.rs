//! The second address, for the staff on duty: one line to a connection, one answer.
//!
//! It has places and buffers of its own, so that neither a crowd of clients nor one of idle callers keeps a call from
//! its answer. What the calls mean is in [`request`], the connections are in [`server`]; carrying them out is the broker's.

pub mod client;
pub mod request;
pub mod server;

pub use request::{AdminRequest, AdminResponse, CommandOptions};
pub use server::{AdminServer, MAX_CONNECTIONS, OWNER};
