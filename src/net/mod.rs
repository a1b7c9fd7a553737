//! Sockets: a poll loop, connections with bounded queues, and a pool of fixed-size buffers.
//!
//! [`PollLoop`] owns every socket and reports [`NetEvent`]s, each with the number of the owner that opened
//! the listener or dialled the connection. Only [`PollLoop::wait`] blocks, and the time is passed as an
//! argument. Each module uses only those that precede it in this list: `buffer`, `signals`, `event`;
//! `connection`, `listener`, `datagram`; `source_table`; `poll_loop`.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

mod buffer;
pub mod clock;
mod connection;
mod datagram;
mod event;
pub mod inherited;
mod listener;
mod poll_loop;
mod signals;
mod source_table;

pub use buffer::{Buf, MAX_BODY, MAX_HEAD, Pool};
pub use clock::Clock;
pub use connection::{Offer, QueueFull, ReadOutcome};
pub use event::{ConnId, ConnectionClass, DatagramSocketId, NetEvent};
pub use poll_loop::PollLoop;
pub use signals::{Signal, Signals, Waker};
