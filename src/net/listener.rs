//! Listening sockets, and the limits on connections accepted from them.

use super::buffer::Pool;
use super::event::ConnectionClass;
use mio::net::{TcpListener, TcpStream};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Most connections accepted at a time: the owner of each looks at it before more come in.
pub(super) const ACCEPT_BATCH: usize = 8;

/// A listening socket, and what its connections are given.
#[derive(Debug)]
pub(super) struct Listener {
    pub socket: TcpListener,
    pub owner: u8,
    /// The class that its connections are counted in.
    pub class: ConnectionClass,
    /// The pool that its connections take their buffers from.
    pub pool: Pool,
}

/// What one call of `accept` gave.
#[derive(Debug)]
pub(super) enum AcceptOutcome {
    /// A connection and the address of its peer.
    Accepted(TcpStream, SocketAddr),
    /// The connection was gone before it was accepted, or the call was interrupted; the next one may be
    /// there.
    Retry,
    /// None waits.
    WouldBlock,
    /// The system refused.
    Failed(io::Error),
}

impl Listener {
    /// Accepts one connection that waits.
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

/// How many accepted connections of one class are open, and how many its owners keep to.
#[derive(Clone, Copy, Debug, Default)]
struct AcceptLimit {
    limit: usize,
    open: usize,
}

/// The accepted connections of all classes.
#[derive(Debug, Default)]
pub(super) struct AcceptLimits([AcceptLimit; ConnectionClass::COUNT]);

impl AcceptLimits {
    /// Sets the limit of a class.
    pub fn set_limit(&mut self, class: ConnectionClass, limit: usize) {
        self.0[class as usize].limit = limit;
    }

    /// Raises the limit of a class.
    pub fn add_limit(&mut self, class: ConnectionClass, more: usize) {
        self.0[class as usize].limit += more;
    }

    /// Accepted connections of a class that are open.
    pub fn open(&self, class: ConnectionClass) -> usize {
        self.0[class as usize].open
    }

    /// Whether no more may be accepted. Owners get a few beyond the limit, to choose whom to close.
    pub fn is_exhausted(&self, class: ConnectionClass) -> bool {
        let class = &self.0[class as usize];
        class.open >= class.limit + 2 * ACCEPT_BATCH
    }

    /// Counts a connection that was accepted.
    pub fn on_accepted(&mut self, class: ConnectionClass) {
        self.0[class as usize].open += 1;
    }

    /// Counts a connection that was closed after it had been accepted.
    pub fn on_closed(&mut self, class: ConnectionClass) {
        self.0[class as usize].open -= 1;
    }
}
