//! The platform's frontend: clients over HTTP, shard servers over a frame protocol, and discovery.

mod downstream;
pub mod frame;
mod frontend;
pub mod query;
pub mod request_ids;
mod upstream;

pub use downstream::Downstream;
pub use frontend::{PlatformFrontend, broker};
pub use upstream::{Upstream, UpstreamLimits};

use std::rc::Rc;

/// The payload of a query on this port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContext {
    /// The request id, from the header `Req-Id`.
    pub id: Rc<str>,
    /// The text that is sent with each part.
    pub text: String,
}
