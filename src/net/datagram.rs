//! Datagrams of one UDP socket.

use mio::net::UdpSocket;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// A bound UDP socket and its owner.
#[derive(Debug)]
pub(super) struct DatagramSocket {
    pub socket: UdpSocket,
    pub owner: u8,
}

impl DatagramSocket {
    /// Binds the address. An error of the system is returned as it is.
    pub fn bind(addr: SocketAddr, owner: u8) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: UdpSocket::bind(addr)?, owner })
    }

    /// Sends a datagram. One that the system does not take now is lost, as others are on the way.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, to);
    }

    /// The next datagram, its length and sender; none when all are received. One longer than `into` is cut.
    pub fn receive(&self, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.socket.recv_from(into) {
                Ok(received) => return Some(received),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                // What an earlier datagram met on its way; the next one may be behind it.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => {}
                Err(_) => return None,
            }
        }
    }
}
