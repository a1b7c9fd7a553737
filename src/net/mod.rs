//! Sockets: one poll loop, connections with bounded queues, and buffers of one size from a pool.

pub mod buffer;
pub mod clock;
mod connection;
pub mod inherited;
pub mod poll_loop;
mod signals;

pub use buffer::{Buf, MAX_BODY, MAX_HEAD, Pool};
pub use clock::Clock;
pub use connection::{QueueFull, ReadOutcome};
pub use poll_loop::{ConnId, ConnectionClass, Datagrams, NetEvent, PollLoop, Waker};
pub use signals::{Signal, Signals};
