//! One connection: partial reads, partial writes, a bounded queue of what is still to be written.

use super::buffer::{Buf, Pool};
use super::poll_loop::ConnectionClass;
use crate::api::Nanos;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};

/// Most buffers that may wait to be written on one connection.
const MOST_QUEUED: usize = 32;

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many new bytes; there may be more.
    Some(usize),
    /// Nothing for now; an event will tell.
    Nothing,
    /// The input buffer is full; consume first.
    Full,
    /// No buffer can be had for now; an event will tell.
    NoBuffer,
    /// The peer has ended the connection, or it broke.
    Ended,
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
    pub place: ConnectionClass,
    pub input: Option<Buf>,
    output: VecDeque<Buf>,
    pub connected: bool,
    /// It came from a listener.
    pub accepted: bool,
    /// Its last message is out, and the peer is given a moment to read it: so many bytes are still dropped.
    pub leaving: Option<usize>,
    /// While it is leaving: how many bytes had been taken when that was last seen to grow, and when.
    pub progress: (u64, Nanos),
    /// Its writing side was ended.
    pub shut: bool,
    /// The peer has ended the connection or it broke, though what came before that may be unread.
    pub peer_ended: bool,
    /// Close as soon as all is written.
    pub close_after: bool,
    /// Bytes queued and bytes handed to the system since the start.
    pub queued: u64,
    pub flushed: u64,
}

impl Connection {
    pub fn new(
        stream: TcpStream,
        owner: u8,
        accepted: bool,
        place: ConnectionClass,
        pool: Pool,
    ) -> Connection {
        Connection {
            stream,
            owner,
            pool,
            place,
            input: None,
            output: VecDeque::new(),
            connected: accepted,
            accepted,
            leaving: None,
            progress: (0, 0),
            shut: false,
            peer_ended: false,
            close_after: false,
            queued: 0,
            flushed: 0,
        }
    }

    pub fn fill(&mut self) -> ReadOutcome {
        if self.input.is_none() {
            self.input = if self.accepted { self.pool.take_for_stranger() } else { self.pool.take() };
        }
        let Some(buf) = &mut self.input else { return ReadOutcome::NoBuffer };
        if buf.room() == 0 {
            return ReadOutcome::Full;
        }
        loop {
            return match self.stream.read(buf.space()) {
                Ok(0) => ReadOutcome::Ended,
                Ok(n) => {
                    buf.added(n);
                    ReadOutcome::Some(n)
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.tidy();
                    ReadOutcome::Nothing
                }
                Err(_) => ReadOutcome::Ended,
            };
        }
    }

    /// Gives an empty input buffer back: an idle connection holds none.
    pub fn tidy(&mut self) {
        if self.input.as_ref().is_some_and(|b| b.data().is_empty()) {
            self.input = None;
        }
    }

    /// Reads and drops what a peer sends that is to read its last message. False once that is enough.
    pub fn discard(&mut self) -> bool {
        let mut sink = [0; 16 * 1024];
        while let Some(left) = self.leaving.filter(|left| *left > 0) {
            match self.stream.read(&mut sink) {
                Ok(0) => return false,
                Ok(n) => self.leaving = Some(left.saturating_sub(n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Writes a message as far as the system takes it at once and queues the rest, or queues nothing.
    pub fn queue(&mut self, message: &[u8]) -> Result<(), QueueFull> {
        // Guards answers against an empty pool: most messages need no buffer.
        let now = if self.connected && self.output.is_empty() {
            // What is wrong with the connection shows at the next flush.
            self.stream.write(message).unwrap_or(0)
        } else {
            0
        };
        self.queued += now as u64;
        self.flushed += now as u64;
        let message = &message[now..];
        let mut fresh: Vec<Buf> = Vec::new();
        let in_tail = self.output.back().map_or(0, Buf::room).min(message.len());
        let mut rest = &message[in_tail..];
        while !rest.is_empty() {
            if self.output.len() + fresh.len() >= MOST_QUEUED {
                return Err(QueueFull);
            }
            let mut buf = self.pool.take().ok_or(QueueFull)?;
            let n = buf.push(rest);
            rest = &rest[n..];
            fresh.push(buf);
        }
        if let Some(tail) = self.output.back_mut() {
            tail.push(&message[..in_tail]);
        }
        self.output.extend(fresh);
        self.queued += message.len() as u64;
        Ok(())
    }

    /// Writes what the system takes.
    pub fn flush(&mut self) -> io::Result<()> {
        while let Some(buf) = self.output.front_mut() {
            match self.stream.write(buf.data()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.flushed += n as u64;
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
