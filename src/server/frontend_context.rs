//! The context of a call to a frontend: the time, the sockets and the query engine.

use crate::api::Nanos;
use crate::engine::QueryEngine;
use crate::net::PollLoop;

/// What the event loop lends to a frontend for the duration of one call.
pub struct FrontendContext<'a, Q, V> {
    /// The time of this iteration of the event loop, unix time in nanoseconds.
    pub now: Nanos,
    /// The sockets.
    pub net: &'a mut PollLoop,
    /// The queries, their parts and attempts.
    pub engine: &'a mut QueryEngine<Q, V>,
}
