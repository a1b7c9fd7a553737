//! Dialling, reading and writing of the poll loop's connections.

use super::PollLoop;
use crate::net::buffer::Pool;
use crate::net::connection::{Connection, FlushOutcome, Offer, Origin, QueueFull, ReadOutcome};
use crate::net::event::{ConnId, ConnectionClass, NetEvent};
use crate::net::source_table::Source;
use mio::net::TcpStream;
use std::io;
use std::net::SocketAddr;

impl PollLoop {
    /// Starts a connection; `Connected` or `Broken` follows.
    pub fn dial(&mut self, addr: SocketAddr, owner: u8) -> io::Result<ConnId> {
        let (class, pool) = (ConnectionClass::Clients, self.pool.clone());
        let stream = TcpStream::connect(addr)?;
        self.add_connection(Connection::new(stream, owner, Origin::Dialed, class, pool))
    }

    /// The same to another broker, with a pool of its own for the connection's buffers.
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

    /// Whether the peer has ended the connection, though what it sent before may be unread. Guards against
    /// working for a peer that went while there was no room to read on.
    pub fn peer_ended(&mut self, id: ConnId) -> bool {
        self.sources.connection(id).is_some_and(|c| c.peer_ended)
    }

    /// Bytes queued on this connection since its start: the position of the next message's first byte.
    pub fn queued(&mut self, id: ConnId) -> u64 {
        self.sources.connection(id).map_or(0, Connection::bytes_queued)
    }

    /// Bytes of it that were handed to the system.
    pub fn flushed(&mut self, id: ConnId) -> u64 {
        self.sources.connection(id).map_or(0, Connection::bytes_flushed)
    }

    /// Whether the connection is established and all that was queued on it was handed to the system.
    pub fn is_flushed(&mut self, id: ConnId) -> bool {
        self.sources.connection(id).is_some_and(|c| c.is_connected() && c.all_written())
    }

    /// Reads once.
    pub fn fill(&mut self, id: ConnId) -> ReadOutcome {
        let Some(c) = self.sources.connection_mut(id) else { return ReadOutcome::Closed };
        let outcome = c.fill();
        if outcome == ReadOutcome::NoBuffer {
            self.awaiting_buffer.push_back(id);
        }
        outcome
    }

    /// What was read and not consumed.
    pub fn data(&mut self, id: ConnId) -> &[u8] {
        self.sources.connection(id).and_then(|c| c.input.as_ref()).map_or(&[], |b| b.data())
    }

    /// Consumes so many bytes of input.
    pub fn consume(&mut self, id: ConnId, n: usize) {
        if let Some(c) = self.sources.connection_mut(id) {
            c.consume(n);
        }
    }

    /// Queues a whole message and writes what can be written now. Fails where the connection is closed, or it
    /// or its pool has no room.
    pub fn send(&mut self, id: ConnId, message: &[u8]) -> Result<(), QueueFull> {
        let Some(c) = self.sources.connection_mut(id) else { return Err(QueueFull) };
        let before = c.bytes_queued();
        let queued = c.queue(message);
        let half_sent = queued.is_err() && c.bytes_queued() > before;
        if half_sent {
            // Guards the peer against half a message with another behind it.
            self.report_broken(id);
        } else if c.is_connected() {
            self.flush(id);
        }
        queued
    }

    /// Writes a message as far as the system takes it now, and queues the rest; nothing is queued of one that
    /// can't begin now. Guards messages that may begin up to a moment only. Fails where the connection is
    /// closed, or breaks.
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

    /// Repeats the event that there may be something to read: guards the other connections against a peer
    /// that sends without end.
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
