//! The query engine: where clients' queries and attempts at servers meet.
//!
//! [`QueryEngine`] admits queries, runs rounds of the policy, and carries out the policy's actions under the
//! guarantees that do not depend on it: one final outcome for each query, in time, and no attempt where none
//! is allowed. It does no I/O and has no clock; the current time is an argument. The modules below it:
//!
//! - `messages`: what both sides hand in and are handed;
//! - `in_flight`: queries, parts and attempts without an outcome;
//! - `timers`: time-outs of attempts, deadlines of queries, and the schedule of rounds;
//! - `admission`: the limit on what is in flight, and Retry-After times;
//! - `placement`: which server has which shards;
//! - `calls`: attempts of one round, grouped by server;
//! - `answer`: the answer from the values of a query's parts;
//! - `client_side`, `server_side`, `rounds`: the engine's methods for clients, for servers and for time.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod admission;
mod answer;
mod calls;
mod client_side;
mod in_flight;
mod messages;
mod placement;
mod query_engine;
mod rounds;
mod server_side;
mod timers;

pub use messages::{
    Answer, AttemptEnd, AttemptId, AttemptOutcome, AttemptRequest, EngineAction, Overloaded, PartRequest,
    QueryId, QueryOutcome, QueryRequest, ShardValue,
};
pub use query_engine::QueryEngine;
