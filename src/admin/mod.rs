//! The admin endpoint, for operators: one request a connection, one line each, one response.
//!
//! It has connections and buffers of its own, so that neither a crowd of clients nor one of idle callers keeps a request
//! from its response. [`request`] defines requests and responses, [`server`] has the connections, and [`client`] is the
//! command that calls them. The broker carries the requests out.

pub mod client;
pub mod request;
pub mod server;

pub use request::{AdminRequest, AdminResponse, CommandOptions};
pub use server::{AdminServer, MAX_CONNECTIONS, OWNER};
