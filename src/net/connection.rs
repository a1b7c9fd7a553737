//! One connection: partial reads, partial writes, a bounded queue of what is still to be written.

use super::buffer::{Buf, Pool};
use super::poll_loop::ConnectionClass;
use crate::api::Nanos;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};

/// Most buffers that may wait to be written on one connection.
const MAX_QUEUED_BUFFERS: usize = 32;

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many new bytes; there may be more.
    Read(usize),
    /// Nothing for now; an event will tell.
    WouldBlock,
    /// The input buffer is full; consume first.
    BufferFull,
    /// No buffer can be had for now; an event will tell.
    NoBuffer,
    /// The peer has ended the connection, or it broke.
    Closed,
}

/// The connection's queue, or the pool, has no room for the message. Nothing of it was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

#[derive(Debug)]
pub(super) struct Connection {
    pub stream: TcpStream,
    pub owner: u8,
    /// Where its buffers come from.
    pool: Pool,
    /// With whom it is counted.
    pub class: ConnectionClass,
    pub input: Option<Buf>,
    output: VecDeque<Buf>,
    pub connected: bool,
    /// It came from a listener.
    pub accepted: bool,
    /// Its last message is out, and the peer is given a moment to read it: so many bytes are still dropped.
    pub lingering: Option<usize>,
    /// While it is lingering: how many bytes had been taken when that was last seen to grow, and when.
    pub linger_progress: (u64, Nanos),
    /// Its writing side was ended.
    pub write_shut: bool,
    /// The peer has ended the connection or it broke, though what came before that may be unread.
    pub peer_ended: bool,
    /// Close as soon as all is written.
    pub close_when_flushed: bool,
    /// Bytes queued and bytes handed to the system since the start.
    pub bytes_queued: u64,
    pub bytes_flushed: u64,
}

impl Connection {
    pub fn new(
        stream: TcpStream,
        owner: u8,
        accepted: bool,
        class: ConnectionClass,
        pool: Pool,
    ) -> Connection {
        Connection {
            stream,
            owner,
            pool,
            class,
            input: None,
            output: VecDeque::new(),
            connected: accepted,
            accepted,
            lingering: None,
            linger_progress: (0, 0),
            write_shut: false,
            peer_ended: false,
            close_when_flushed: false,
            bytes_queued: 0,
            bytes_flushed: 0,
        }
    }

    pub fn fill(&mut self) -> ReadOutcome {
        if self.input.is_none() {
            self.input = if self.accepted { self.pool.take_for_untrusted() } else { self.pool.take() };
        }
        let Some(buf) = &mut self.input else { return ReadOutcome::NoBuffer };
        if buf.room() == 0 {
            return ReadOutcome::BufferFull;
        }
        loop {
            return match self.stream.read(buf.space()) {
                Ok(0) => ReadOutcome::Closed,
                Ok(n) => {
                    buf.added(n);
                    ReadOutcome::Read(n)
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.release_empty_input();
                    ReadOutcome::WouldBlock
                }
                Err(_) => ReadOutcome::Closed,
            };
        }
    }

    /// Gives an empty input buffer back: an idle connection holds none.
    pub fn release_empty_input(&mut self) {
        if self.input.as_ref().is_some_and(|b| b.data().is_empty()) {
            self.input = None;
        }
    }

    /// Reads and drops what a peer sends that is to read its last message. False once that is enough.
    pub fn discard(&mut self) -> bool {
        let mut sink = [0; 16 * 1024];
        while let Some(left) = self.lingering.filter(|left| *left > 0) {
            match self.stream.read(&mut sink) {
                Ok(0) => return false,
                Ok(n) => self.lingering = Some(left.saturating_sub(n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Writes a message as far as the system takes it at once and queues the rest, or queues nothing.
    pub fn queue(&mut self, message: &[u8]) -> Result<(), QueueFull> {
        // Guards answers against an empty pool: most messages need no buffer.
        let written = if self.connected && self.output.is_empty() {
            // What is wrong with the connection shows at the next flush.
            self.stream.write(message).unwrap_or(0)
        } else {
            0
        };
        self.bytes_queued += written as u64;
        self.bytes_flushed += written as u64;
        let message = &message[written..];
        let mut new_buffers: Vec<Buf> = Vec::new();
        let fits_in_tail = self.output.back().map_or(0, Buf::room).min(message.len());
        let mut rest = &message[fits_in_tail..];
        while !rest.is_empty() {
            if self.output.len() + new_buffers.len() >= MAX_QUEUED_BUFFERS {
                return Err(QueueFull);
            }
            let mut buf = self.pool.take().ok_or(QueueFull)?;
            let n = buf.push(rest);
            rest = &rest[n..];
            new_buffers.push(buf);
        }
        if let Some(tail) = self.output.back_mut() {
            tail.push(&message[..fits_in_tail]);
        }
        self.output.extend(new_buffers);
        self.bytes_queued += message.len() as u64;
        Ok(())
    }

    /// Writes what the system takes.
    pub fn flush(&mut self) -> io::Result<()> {
        while let Some(buf) = self.output.front_mut() {
            match self.stream.write(buf.data()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.bytes_flushed += n as u64;
                    buf.consume(n);
                    if buf.data().is_empty() {
                        self.output.pop_front();
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    pub fn all_written(&self) -> bool {
        self.output.is_empty()
    }
}
