//! The poll loop's sockets for datagrams.

use super::PollLoop;
use crate::net::datagram::DatagramSocket;
use crate::net::event::{DatagramSocketId, NetEvent};
use crate::net::source_table::Source;
use std::io;
use std::net::SocketAddr;

impl PollLoop {
    /// Sends and receives datagrams at this address.
    pub fn bind_datagram_socket(&mut self, addr: SocketAddr, owner: u8) -> io::Result<DatagramSocketId> {
        let socket = DatagramSocket::bind(addr, owner)?;
        let id = self.sources.insert(self.poll.registry(), Source::Datagrams(socket))?;
        Ok(DatagramSocketId { slot: id.slot })
    }

    /// Sends a datagram; one that the system does not take now is lost, as others are on the way.
    pub fn send_datagram(&self, socket: DatagramSocketId, to: SocketAddr, bytes: &[u8]) {
        if let Some(socket) = self.sources.datagram_socket(socket) {
            socket.send(to, bytes);
        }
    }

    /// The next datagram; none when all are received. One longer than `into` is cut.
    pub fn receive_datagram(&self, socket: DatagramSocketId, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        self.sources.datagram_socket(socket)?.receive(into)
    }

    /// Repeats the event that there may be datagrams: guards all else against a flood of them.
    pub fn requeue_datagrams(&mut self, owner: u8) {
        self.pending_events.push_back(NetEvent::Datagrams { owner });
    }
}
