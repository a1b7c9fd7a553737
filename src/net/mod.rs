//! Sockets: one poll loop, connections with bounded queues, and buffers of one size from a pool.
//!
//! [`PollLoop`] owns every socket and reports what happens on them as [`NetEvent`]s, each with the number of
//! the owner that listened or dialled. Nothing here blocks but [`PollLoop::wait`], and the time is an
//! argument. Modules use only those above them: `buffer`, `signals`, `event`; `connection`, `listener`,
//! `datagram`; `source_table`; `poll_loop`.
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
