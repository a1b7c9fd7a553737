//! HTTP/1.1 messages, read piece by piece as they come in, and written. Bodies have a length or come in
//! chunks; nothing larger than `MAX_HEAD` and `MAX_BODY` is buffered.
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
