//! Sockets: one poll loop, connections with bounded queues, and buffers of one size from a pool.

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
pub use connection::{QueueFull, ReadOutcome};
pub use event::{ConnId, ConnectionClass, Datagrams, NetEvent};
pub use poll_loop::PollLoop;
pub use signals::{Signal, Signals, Waker};
