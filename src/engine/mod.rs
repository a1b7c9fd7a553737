//! The query engine: sends the parts of clients' queries to servers as attempts, and answers the queries.
//!
//! [`QueryEngine`] admits queries, runs rounds of the policy, and carries out the policy's actions. Whatever
//! the policy decides, the engine guarantees that each query gets one final outcome by its deadline, and that
//! no forbidden attempt is sent. It does no I/O and has no clock; the current time is an argument. Its
//! modules:
//!
//! - `messages`: types of the interfaces to the client side and the server side;
//! - `in_flight`: queries, parts and attempts without an outcome;
//! - `timers`: time-outs of attempts, deadlines of queries, and the schedule of rounds;
//! - `admission`: the limit on queries and parts in flight, and Retry-After times;
//! - `placement`: which server has which shards;
//! - `calls`: attempts of one round, grouped by server;
//! - `answer`: the answer from the values of a query's parts;
//! - `client_side`, `server_side`, `rounds`: the engine's methods for the client side, the server side and
//!   the passing of time.
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
