//! The core: queries, parts, attempts and timers, and the exchange in which the client side and the server
//! side meet. It knows no wire and no socket, and time is told to it.

mod messages;
mod query_engine;

pub use messages::{
    Answer, AttemptEnd, AttemptId, AttemptOutcome, AttemptRequest, EngineAction, Overloaded, PartRequest,
    QueryId, QueryOutcome, QueryRequest, ShardValue,
};
pub use query_engine::QueryEngine;
