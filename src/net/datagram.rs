//! A UDP socket.

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
    /// Binds the address. Returns the operating system's error on failure.
    pub fn bind(addr: SocketAddr, owner: u8) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: UdpSocket::bind(addr)?, owner })
    }

    /// Sends a datagram. One that can't be sent at once is dropped, as UDP may drop any in transit.
    pub fn send(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = self.socket.send_to(bytes, to);
    }

    /// Receives the next datagram into `into`: its length and sender, or `None` when none is waiting. One
    /// longer than `into` is truncated.
    pub fn receive(&self, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        loop {
            match self.socket.recv_from(into) {
                Ok(received) => return Some(received),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                // ConnectionRefused is an ICMP error for a datagram sent earlier; another may be waiting.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => {}
                Err(_) => return None,
            }
        }
    }
}
