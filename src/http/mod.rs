//! HTTP/1.1: incremental reading of messages, and formatting of responses. Bodies have a length or are sent
//! in chunks; at most `MAX_HEAD` bytes of a head and `MAX_BODY` bytes of a body are buffered.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod error;
mod head;
mod reader;
mod response;

pub use error::HttpError;
pub use head::{Head, MessageKind};
pub use reader::Reader;
pub use response::{response, retry_after, service_unavailable};
