//! The admin endpoint, for operators: each connection carries one request line and one response.
//!
//! It has its own connection limit and buffer pool, so that many clients or idle callers can't block a
//! request. [`request`] defines requests and responses, [`server`] handles the connections, and [`client`]
//! is the command that sends requests. The broker executes them.
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
