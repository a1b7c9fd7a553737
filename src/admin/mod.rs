//! The admin endpoint, for operators: one request a connection, one line each, one response.
//!
//! It has connections and buffers of its own, so that neither a crowd of clients nor one of idle callers
//! keeps a request from its response. [`request`] defines requests and responses, [`server`] has the
//! connections, and [`client`] is the command that calls them. The broker carries the requests out.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

pub mod client;
pub mod request;
pub mod server;

pub use request::{AdminRequest, AdminResponse, CommandOptions};
pub use server::{AdminServer, MAX_CONNECTIONS, OWNER};
