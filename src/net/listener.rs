//! Listening sockets, and the limits on connections accepted from them.

use super::buffer::Pool;
use super::event::ConnectionClass;
use mio::net::{TcpListener, TcpStream};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Most connections accepted in a row: their owners handle them before more are accepted.
pub(super) const ACCEPT_BATCH: usize = 8;

/// A listening socket, and the settings of the connections accepted from it.
#[derive(Debug)]
pub(super) struct Listener {
    pub socket: TcpListener,
    pub owner: u8,
    /// Class of its connections.
    pub class: ConnectionClass,
    /// Pool of its connections' buffers.
    pub pool: Pool,
}

/// Result of one call of `accept`.
#[derive(Debug)]
pub(super) enum AcceptOutcome {
    /// A connection and the address of its peer.
    Accepted(TcpStream, SocketAddr),
    /// The connection was aborted before it was accepted, or the call was interrupted. Another connection may
    /// be waiting.
    Retry,
    /// No connection is waiting.
    WouldBlock,
    /// The call failed, for example for lack of descriptors.
    Failed(io::Error),
}

impl Listener {
    /// Accepts one waiting connection.
    pub fn accept(&self) -> AcceptOutcome {
        match self.socket.accept() {
            Ok((stream, peer)) => AcceptOutcome::Accepted(stream, peer),
            Err(e) if e.kind() == ErrorKind::WouldBlock => AcceptOutcome::WouldBlock,
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                AcceptOutcome::Retry
            }
            Err(e) => AcceptOutcome::Failed(e),
        }
    }
}

/// Number of open accepted connections of one class, and the limit that their owners enforce.
#[derive(Clone, Copy, Debug, Default)]
struct AcceptLimit {
    limit: usize,
    open: usize,
}

/// The open accepted connections and their limits, by class.
#[derive(Debug, Default)]
pub(super) struct AcceptLimits([AcceptLimit; ConnectionClass::COUNT]);

impl AcceptLimits {
    /// Sets the limit of a class.
    pub fn set_limit(&mut self, class: ConnectionClass, limit: usize) {
        self.0[class as usize].limit = limit;
    }

    /// Raises the limit of a class by `more`.
    pub fn add_limit(&mut self, class: ConnectionClass, more: usize) {
        self.0[class as usize].limit += more;
    }

    /// Number of open accepted connections of a class.
    pub fn open(&self, class: ConnectionClass) -> usize {
        self.0[class as usize].open
    }

    /// Whether no more may be accepted. Two batches beyond the limit are accepted, so that the owners can
    /// choose which connections to close.
    pub fn is_exhausted(&self, class: ConnectionClass) -> bool {
        let class = &self.0[class as usize];
        class.open >= class.limit + 2 * ACCEPT_BATCH
    }

    /// Counts an accepted connection.
    pub fn on_accepted(&mut self, class: ConnectionClass) {
        self.0[class as usize].open += 1;
    }

    /// Counts an accepted connection as closed.
    pub fn on_closed(&mut self, class: ConnectionClass) {
        self.0[class as usize].open -= 1;
    }
}
