//! Events of the poll loop, and the identifiers that they carry.

use super::signals::Signal;
use std::net::SocketAddr;

/// A connection. Identifiers are never used again, so a late event can't reach a newer connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId {
    /// Slot in the table of sources; a later source may get the same one.
    pub(super) slot: usize,
    /// Distinguishes the sources that had this slot.
    pub(super) serial: u32,
}

/// The identifier of a datagram socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramSocketId {
    /// Slot in the table of sources.
    pub(super) slot: usize,
}

/// The connections that are counted together against one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionClass {
    /// Clients, and all connections that are dialled for them.
    Clients,
    /// Callers of the admin endpoint.
    Admin,
    /// Other brokers.
    Peers,
}

impl ConnectionClass {
    /// Number of classes.
    pub(super) const COUNT: usize = 3;
}

/// What happened on the sockets.
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
    /// There may be something to read.
    Readable {
        /// Owner of the connection.
        owner: u8,
        /// The connection.
        conn: ConnId,
    },
    /// All queued bytes are written.
    Flushed {
        /// Owner of the connection.
        owner: u8,
        /// The connection.
        conn: ConnId,
    },
    /// The connection broke and is closed.
    Broken {
        /// Owner of the connection.
        owner: u8,
        /// The connection.
        conn: ConnId,
        /// Bytes handed to the system over the connection's lifetime, of all that were queued.
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
