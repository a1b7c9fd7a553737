//! Events of the poll loop, and the identifiers in them.

use super::signals::Signal;
use std::net::SocketAddr;

/// The identifier of a connection. It is not reused, so a late event can't reach a newer connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId {
    /// Slot in the source table; a later source may get the same one.
    pub(super) slot: usize,
    /// Distinguishes the sources that use the slot one after another.
    pub(super) serial: u32,
}

/// The identifier of a datagram socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramSocketId {
    /// Slot in the source table.
    pub(super) slot: usize,
}

/// Class of a connection. Each class has its own limit of accepted connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionClass {
    /// Clients, and the connections dialled on their behalf.
    Clients,
    /// Clients of the admin endpoint.
    Admin,
    /// Other brokers.
    Peers,
}

impl ConnectionClass {
    /// Number of classes.
    pub(super) const COUNT: usize = 3;
}

/// An event on a socket, or a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetEvent {
    /// A listener accepted a connection.
    Accepted {
        /// Owner of the listener and of the connection.
        owner: u8,
        /// The new connection.
        conn: ConnId,
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// A dialled connection is established.
    Connected {
        /// Owner of the connection.
        owner: u8,
        /// The connection.
        conn: ConnId,
    },
    /// There may be data to read, or the peer may have closed the connection.
    Readable {
        /// Owner of the connection.
        owner: u8,
        /// The connection.
        conn: ConnId,
    },
    /// All queued bytes are written, or a refused message may be offered again.
    Flushed {
        /// Owner of the connection.
        owner: u8,
        /// The connection.
        conn: ConnId,
    },
    /// The connection failed and is closed.
    Broken {
        /// Owner of the connection.
        owner: u8,
        /// The connection.
        conn: ConnId,
        /// Bytes of the queued messages that were written to the socket over the connection's lifetime.
        flushed: u64,
    },
    /// There may be datagrams to receive.
    Datagrams {
        /// Owner of the socket.
        owner: u8,
    },
    /// A signal was caught, or the loop was woken by a [`Waker`](super::Waker).
    Signal(Signal),
}

impl NetEvent {
    /// The owner of the connection or socket; none for a signal.
    pub fn owner(&self) -> Option<u8> {
        match *self {
            NetEvent::Accepted { owner, .. }
            | NetEvent::Connected { owner, .. }
            | NetEvent::Readable { owner, .. }
            | NetEvent::Flushed { owner, .. }
            | NetEvent::Broken { owner, .. }
            | NetEvent::Datagrams { owner } => Some(owner),
            NetEvent::Signal(_) => None,
        }
    }
}
