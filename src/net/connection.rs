//! A TCP connection: partial reads and writes, a bounded output queue, and closing.

use super::buffer::{Buf, Pool};
use super::event::ConnectionClass;
use crate::api::Nanos;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;

/// Most buffers in the output queue of one connection.
const MAX_QUEUED_BUFFERS: usize = 32;
/// Most bytes of input that are read and discarded on a lingering connection.
const MAX_LINGER_DISCARD_BYTES: usize = 256 * 1024;
/// How long a lingering connection stays open without write progress while its last message is not fully
/// written. As long as a request may take to arrive.
const UNREAD_MESSAGE_TIMEOUT: Nanos = 2_500_000_000;

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The number of new bytes; there may be more.
    Read(usize),
    /// No data is available; an event follows when there is some.
    WouldBlock,
    /// The input buffer is full; some of it has to be consumed first.
    BufferFull,
    /// The pool has no free buffer; an event follows when it has one.
    NoBuffer,
    /// The peer closed the connection, or it failed.
    Closed,
}

/// A message was not queued: the connection is closed, or its output queue or the pool has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed, or its output queue or buffer pool is full")]
pub struct QueueFull;

/// Result of offering a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// At least its first byte was written to the socket; the rest is queued.
    Begun,
    /// Nothing can be written now, and nothing was queued. An event follows when the message may be offered
    /// again.
    NotBegun,
}

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A listener accepted it.
    Accepted,
    /// This side dialled it.
    Dialed,
}

/// How a connection is closed once its output queue is empty.
#[derive(Debug)]
enum Closing {
    /// It stays open.
    No,
    /// It is closed at once.
    AfterFlush,
    /// Its write half is shut down, and it stays open for a while so that the peer can read the last message.
    Lingering(Linger),
}

/// State of a lingering connection.
#[derive(Debug)]
struct Linger {
    /// Bytes of input that may still be read and discarded.
    discard_bytes_left: usize,
    /// Bytes flushed as of `progress_at`.
    flushed_bytes: u64,
    /// When the number of flushed bytes was last seen to grow.
    progress_at: Nanos,
    /// The write half was shut down.
    write_shut: bool,
}

/// State of a dial after an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DialOutcome {
    Connected,
    Pending,
    Failed,
}

/// What the poll loop has to do after a flush.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlushOutcome {
    /// Nothing: bytes are still queued, or none were, or the connection lingers.
    Nothing,
    /// Report that the output queue is empty and the connection is writable.
    Flushed,
    /// Close the connection.
    Close,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub stream: TcpStream,
    pub owner: u8,
    pub class: ConnectionClass,
    pub origin: Origin,
    pub input: Option<Buf>,
    /// The peer closed the connection, or it failed. Data received before may be unread.
    pub peer_ended: bool,
    /// Pool of its buffers.
    pool: Pool,
    output: VecDeque<Buf>,
    connected: bool,
    closing: Closing,
    /// A message was offered while the socket was not writable.
    awaits_writable: bool,
    bytes_queued: u64,
    bytes_flushed: u64,
}

impl Connection {
    pub fn new(
        stream: TcpStream,
        owner: u8,
        origin: Origin,
        class: ConnectionClass,
        pool: Pool,
    ) -> Connection {
        Connection {
            stream,
            owner,
            class,
            origin,
            input: None,
            peer_ended: false,
            pool,
            output: VecDeque::new(),
            connected: origin == Origin::Accepted,
            closing: Closing::No,
            awaits_writable: false,
            bytes_queued: 0,
            bytes_flushed: 0,
        }
    }

    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Bytes queued since the connection was opened, including those written directly.
    pub fn bytes_queued(&self) -> u64 {
        self.bytes_queued
    }

    /// Bytes written to the socket since the connection was opened.
    pub fn bytes_flushed(&self) -> u64 {
        self.bytes_flushed
    }

    /// Whether it closes once all is written, at once or after lingering.
    pub fn is_closing(&self) -> bool {
        !matches!(self.closing, Closing::No)
    }

    pub fn is_lingering(&self) -> bool {
        matches!(self.closing, Closing::Lingering(_))
    }

    /// Handles an event on a connection that is being dialled.
    pub fn on_dial_event(&mut self, is_error: bool) -> DialOutcome {
        let failed = self.stream.take_error().map_or(true, |e| e.is_some());
        if failed || is_error {
            return DialOutcome::Failed;
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connected = true;
                DialOutcome::Connected
            }
            Err(e) if e.kind() == ErrorKind::NotConnected => DialOutcome::Pending,
            Err(_) => DialOutcome::Failed,
        }
    }

    pub fn fill(&mut self) -> ReadOutcome {
        if self.input.is_none() {
            self.input = match self.origin {
                Origin::Accepted => self.pool.take_for_untrusted(),
                Origin::Dialed => self.pool.take(),
            };
        }
        let Some(buf) = &mut self.input else { return ReadOutcome::NoBuffer };
        if buf.remaining_capacity() == 0 {
            return ReadOutcome::BufferFull;
        }
        loop {
            return match self.stream.read(buf.spare_capacity_mut()) {
                Ok(0) => ReadOutcome::Closed,
                Ok(n) => {
                    buf.commit(n);
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

    /// Consumes `n` bytes of input.
    pub fn consume(&mut self, n: usize) {
        if let Some(input) = &mut self.input {
            input.consume(n);
        }
        self.release_empty_input();
    }

    /// Returns an empty input buffer to the pool, so that an idle connection holds none.
    fn release_empty_input(&mut self) {
        if self.input.as_ref().is_some_and(|b| b.data().is_empty()) {
            self.input = None;
        }
    }

    /// Reads and discards input on a lingering connection, up to `MAX_LINGER_DISCARD_BYTES`. Returns whether
    /// the connection stays open: false after the end of the input or an error.
    pub fn discard(&mut self) -> bool {
        let Closing::Lingering(linger) = &mut self.closing else { return true };
        let mut sink = [0; 16 * 1024];
        while linger.discard_bytes_left > 0 {
            match self.stream.read(&mut sink) {
                Ok(0) => return false,
                Ok(n) => linger.discard_bytes_left = linger.discard_bytes_left.saturating_sub(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Writes as much of a message as the socket accepts and queues the rest. Fails, and queues nothing, if
    /// the rest does not fit.
    pub fn queue(&mut self, message: &[u8]) -> Result<(), QueueFull> {
        // A direct write needs no buffer, so most responses can be sent even when the pool is exhausted.
        let written = if self.connected && self.output.is_empty() {
            // The next flush reports an error.
            self.stream.write(message).unwrap_or(0)
        } else {
            0
        };
        self.queue_rest(message, written)
    }

    /// Writes as much of a message as the socket accepts and queues the rest. If the socket accepts nothing,
    /// nothing is queued, so that the owner can decide again whether to send the message.
    pub fn offer(&mut self, message: &[u8]) -> io::Result<Offer> {
        if !self.connected || !self.output.is_empty() {
            return Ok(Offer::NotBegun);
        }
        let written = loop {
            match self.stream.write(message) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => break n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.awaits_writable = true;
                    return Ok(Offer::NotBegun);
                }
                Err(e) => return Err(e),
            }
        };
        // No other message can follow a truncated one, so the caller has to close the connection.
        self.queue_rest(message, written).map_err(io::Error::other)?;
        Ok(Offer::Begun)
    }

    /// Queues the rest of a message of which `written` bytes were written directly.
    fn queue_rest(&mut self, message: &[u8], written: usize) -> Result<(), QueueFull> {
        self.bytes_queued += written as u64;
        self.bytes_flushed += written as u64;
        let message = &message[written..];
        let mut new_buffers: Vec<Buf> = Vec::new();
        let fits_in_tail = self.output.back().map_or(0, Buf::remaining_capacity).min(message.len());
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

    /// Writes as much of the output queue as the socket accepts, and returns what to do next.
    pub fn flush(&mut self) -> io::Result<FlushOutcome> {
        let was_empty = self.all_written();
        self.write_queued()?;
        if !self.all_written() {
            return Ok(FlushOutcome::Nothing);
        }
        match &mut self.closing {
            Closing::Lingering(linger) => {
                // The peer reads the end of the stream. Closing the socket with unread input would reset the
                // connection, and the peer could lose the last message. Shut down only once: each call
                // triggers another writable event, which calls `flush` again.
                if !std::mem::replace(&mut linger.write_shut, true) {
                    let _ = self.stream.shutdown(Shutdown::Write);
                }
                Ok(FlushOutcome::Nothing)
            }
            Closing::AfterFlush => Ok(FlushOutcome::Close),
            Closing::No => {
                let was_awaited = std::mem::take(&mut self.awaits_writable);
                Ok(if was_awaited || !was_empty { FlushOutcome::Flushed } else { FlushOutcome::Nothing })
            }
        }
    }

    fn write_queued(&mut self) -> io::Result<()> {
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

    /// Closes the connection once all is written.
    pub fn close_after_flush(&mut self) {
        self.closing = Closing::AfterFlush;
    }

    /// Lingers once all is written; unconsumed input is dropped.
    pub fn linger(&mut self) {
        self.input = None;
        self.closing = Closing::Lingering(Linger {
            discard_bytes_left: MAX_LINGER_DISCARD_BYTES,
            flushed_bytes: 0,
            progress_at: 0,
            write_shut: false,
        });
    }

    /// Starts measuring the write progress of a lingering connection.
    pub fn start_linger_timer(&mut self, now: Nanos) {
        let bytes_flushed = self.bytes_flushed;
        if let Closing::Lingering(linger) = &mut self.closing {
            (linger.flushed_bytes, linger.progress_at) = (bytes_flushed, now);
        }
    }

    /// Whether a lingering connection stays open after its linger time-out: bytes were flushed since the last
    /// check, or some are unwritten and the last progress is less than `UNREAD_MESSAGE_TIMEOUT` ago.
    pub fn extend_linger(&mut self, now: Nanos) -> bool {
        let (bytes_flushed, all_written) = (self.bytes_flushed, self.all_written());
        let Closing::Lingering(linger) = &mut self.closing else { return false };
        let has_progressed = bytes_flushed > linger.flushed_bytes;
        if has_progressed {
            (linger.flushed_bytes, linger.progress_at) = (bytes_flushed, now);
        }
        has_progressed || (!all_written && now < linger.progress_at + UNREAD_MESSAGE_TIMEOUT)
    }
}
