//! What a frontend works with: the time, the sockets and the query engine.

use crate::api::Nanos;
use crate::engine::QueryEngine;
use crate::net::PollLoop;

/// What is at hand while a front works.
pub struct FrontendContext<'a, Q, V> {
    /// The time.
    pub now: Nanos,
    /// The sockets.
    pub net: &'a mut PollLoop,
    /// The engine.
    pub engine: &'a mut QueryEngine<Q, V>,
}
