//! The platform's port: HTTP clients, shard servers that speak frames, and discovery.

mod downstream;
pub mod frame;
mod frontend;
pub mod query;
mod recent_request_ids;
mod upstream;

pub use downstream::Downstream;
pub use frontend::{PlatformFrontend, broker};
pub use upstream::{Upstream, UpstreamLimits};

use std::rc::Rc;

/// What a query carries on this port: its id on the wire and the text for each part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestContext {
    /// `Req-Id`.
    pub id: Rc<str>,
    /// What each part has to carry.
    pub text: String,
}
