//! Dialling, reading from and writing to connections.

use super::PollLoop;
use crate::net::buffer::Pool;
use crate::net::connection::{Connection, FlushOutcome, Offer, Origin, QueueFull, ReadOutcome};
use crate::net::event::{ConnId, ConnectionClass, NetEvent};
use crate::net::source_table::Source;
use mio::net::TcpStream;
use std::io;
use std::net::SocketAddr;

impl PollLoop {
    /// Starts to open a connection; a `Connected` or `Broken` event follows.
    pub fn dial(&mut self, addr: SocketAddr, owner: u8) -> io::Result<ConnId> {
        let (class, pool) = (ConnectionClass::Clients, self.pool.clone());
        let stream = TcpStream::connect(addr)?;
        self.add_connection(Connection::new(stream, owner, Origin::Dialed, class, pool))
    }

    /// Starts to open a connection to another broker, with a separate pool for its buffers.
    pub fn dial_with_pool(&mut self, addr: SocketAddr, owner: u8, pool: Pool) -> io::Result<ConnId> {
        let stream = TcpStream::connect(addr)?;
        self.add_connection(Connection::new(stream, owner, Origin::Dialed, ConnectionClass::Peers, pool))
    }

    pub(super) fn add_connection(&mut self, connection: Connection) -> io::Result<ConnId> {
        let (origin, class) = (connection.origin, connection.class);
        let id = self.sources.insert(self.poll.registry(), Source::Connection(Box::new(connection)))?;
        if let Some(connection) = self.sources.connection(id) {
            let _ = connection.stream.set_nodelay(true);
        }
        if origin == Origin::Accepted {
            self.accept_limits.on_accepted(class);
        }
        Ok(id)
    }

    /// Whether the connection is still open.
    pub fn is_open(&self, id: ConnId) -> bool {
        self.sources.connection(id).is_some()
    }

    /// Whether the peer has closed the connection, even if data that it sent before is unread. Lets the owner
    /// skip work for a peer that disconnected while there was no buffer space to read further.
    pub fn peer_ended(&mut self, id: ConnId) -> bool {
        self.sources.connection(id).is_some_and(|c| c.peer_ended)
    }

    /// Bytes queued on this connection since it was opened: the stream offset of the next message.
    pub fn queued(&mut self, id: ConnId) -> u64 {
        self.sources.connection(id).map_or(0, Connection::bytes_queued)
    }

    /// Bytes written to the socket since the connection was opened.
    pub fn flushed(&mut self, id: ConnId) -> u64 {
        self.sources.connection(id).map_or(0, Connection::bytes_flushed)
    }

    /// Whether the connection is established and everything queued was written to the socket.
    pub fn is_flushed(&mut self, id: ConnId) -> bool {
        self.sources.connection(id).is_some_and(|c| c.is_connected() && c.all_written())
    }

    /// Reads once from the socket into the input buffer.
    pub fn fill(&mut self, id: ConnId) -> ReadOutcome {
        let Some(c) = self.sources.connection_mut(id) else { return ReadOutcome::Closed };
        let outcome = c.fill();
        if outcome == ReadOutcome::NoBuffer {
            self.awaiting_buffer.push_back(id);
        }
        outcome
    }

    /// The input that was read and not consumed.
    pub fn data(&mut self, id: ConnId) -> &[u8] {
        self.sources.connection(id).and_then(|c| c.input.as_ref()).map_or(&[], |b| b.data())
    }

    /// Consumes `n` bytes of input.
    pub fn consume(&mut self, id: ConnId, n: usize) {
        if let Some(c) = self.sources.connection_mut(id) {
            c.consume(n);
        }
    }

    /// Queues a whole message and writes what can be written now. Fails if the connection is closed, or its
    /// output queue or pool has no room.
    pub fn send(&mut self, id: ConnId, message: &[u8]) -> Result<(), QueueFull> {
        let Some(c) = self.sources.connection_mut(id) else { return Err(QueueFull) };
        let before = c.bytes_queued();
        let queued = c.queue(message);
        let is_truncated = queued.is_err() && c.bytes_queued() > before;
        if is_truncated {
            // Another message must not follow the truncated one.
            self.report_broken(id);
        } else if c.is_connected() {
            self.flush(id);
        }
        queued
    }

    /// Writes as much of a message as the socket accepts now and queues the rest. If the socket accepts
    /// nothing, nothing is queued: for messages whose transmission must not start after a deadline. Fails if
    /// the connection is closed or fails.
    pub fn offer(&mut self, id: ConnId, message: &[u8]) -> Result<Offer, QueueFull> {
        let Some(c) = self.sources.connection_mut(id) else { return Err(QueueFull) };
        match c.offer(message) {
            Ok(offer) => Ok(offer),
            Err(_) => {
                self.report_broken(id);
                Err(QueueFull)
            }
        }
    }

    pub(super) fn flush(&mut self, id: ConnId) {
        let Some(c) = self.sources.connection_mut(id) else { return };
        let owner = c.owner;
        match c.flush() {
            Ok(FlushOutcome::Nothing) => {}
            Ok(FlushOutcome::Flushed) => {
                self.pending_events.push_back(NetEvent::Flushed { owner, conn: id });
            }
            Ok(FlushOutcome::Close) => self.close(id),
            Err(_) => self.report_broken(id),
        }
    }

    /// Queues another `Readable` event, for an owner that stopped before all input was read, so that a peer
    /// that sends continuously doesn't starve the other connections.
    pub fn requeue_readable(&mut self, id: ConnId) {
        if let Some(owner) = self.sources.connection(id).map(|c| c.owner) {
            self.pending_events.push_back(NetEvent::Readable { owner, conn: id });
        }
    }

    pub(super) fn report_broken(&mut self, id: ConnId) {
        let Some(c) = self.sources.connection(id) else { return };
        let event = NetEvent::Broken { owner: c.owner, conn: id, flushed: c.bytes_flushed() };
        self.close(id);
        self.pending_events.push_back(event);
    }
}
