//! The core: queries, parts, attempts and timers, and the exchange in which the client side and the server
//! side meet. It knows no wire and no socket, and time is told to it.

mod messages;
mod query_engine;

pub use messages::{
    Answered, Ask, AskPart, AttemptId, Dispatch, Ended, Ending, Final, QueryId, Refused, Value, Work,
};
pub use query_engine::Exchange;
