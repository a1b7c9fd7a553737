//! Datagram sockets.

use super::PollLoop;
use crate::net::datagram::DatagramSocket;
use crate::net::event::{DatagramSocketId, NetEvent};
use crate::net::source_table::Source;
use std::io;
use std::net::SocketAddr;

impl PollLoop {
    /// Binds a UDP socket to `addr`.
    pub fn bind_datagram_socket(&mut self, addr: SocketAddr, owner: u8) -> io::Result<DatagramSocketId> {
        let socket = DatagramSocket::bind(addr, owner)?;
        let id = self.sources.insert(self.poll.registry(), Source::Datagrams(socket))?;
        Ok(DatagramSocketId { slot: id.slot })
    }

    /// Sends a datagram. One that can't be sent at once is dropped, as UDP may drop any in transit.
    pub fn send_datagram(&self, socket: DatagramSocketId, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.sources.datagram_socket(socket) {
            socket.send(to, bytes);
        }
    }

    /// Receives the next datagram into `into`: its length and sender, or `None` when none is waiting. One
    /// longer than `into` is truncated.
    pub fn receive_datagram(&self, socket: DatagramSocketId, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        self.sources.datagram_socket(socket)?.receive(into)
    }

    /// Queues another `Datagrams` event, for an owner that stopped before all were received, so that a flood
    /// of datagrams doesn't starve the other sockets.
    pub fn requeue_datagrams(&mut self, owner: u8) {
        self.pending_events.push_back(NetEvent::Datagrams { owner });
    }
}
