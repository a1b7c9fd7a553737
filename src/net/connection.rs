//! One connection: partial reads, partial writes, a bounded queue of what is still to be written, and how
//! it is closed.

use super::buffer::{Buf, Pool};
use super::event::ConnectionClass;
use crate::api::Nanos;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;

/// Most buffers that may wait to be written on one connection.
const MAX_QUEUED_BUFFERS: usize = 32;
/// How much of what a peer sends while its connection lingers is read, bytes.
const MAX_LINGER_DISCARD_BYTES: usize = 256 * 1024;
/// How long a peer may take nothing of a last message that is not written yet; as long as a request may take
/// to come.
const UNREAD_MESSAGE_TIMEOUT: Nanos = 2_500_000_000;

/// What a read gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// So many new bytes; there may be more.
    Read(usize),
    /// Nothing for now; an event follows when there is something.
    WouldBlock,
    /// The input buffer is full; consume first.
    BufferFull,
    /// No buffer is free for now; an event follows when one is.
    NoBuffer,
    /// The peer has ended the connection, or it broke.
    Closed,
}

/// The connection's queue, or the pool, has no room for the message. Nothing of it was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection takes no more")]
pub struct QueueFull;

/// What became of a message that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Its first bytes were handed to the system; the rest is queued.
    Begun,
    /// The system takes nothing for now, and nothing was queued. An event follows when it does.
    NotBegun,
}

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// It came from a listener.
    Accepted,
    /// This side dialled it.
    Dialed,
}

/// What becomes of a connection once all that was queued is written.
#[derive(Debug)]
enum Closing {
    /// It stays open.
    No,
    /// It is closed.
    AfterFlush,
    /// Its writing side is ended, and the peer is given a moment to read the last message.
    Lingering(Linger),
}

/// A connection whose peer is given a moment to read the last message.
#[derive(Debug)]
struct Linger {
    /// Bytes of input that are still read and dropped.
    discard_bytes_left: usize,
    /// Bytes that had been flushed when that number was last seen to grow.
    flushed_bytes: u64,
    /// When it was last seen to grow.
    progress_at: Nanos,
    /// The writing side was ended.
    write_shut: bool,
}

/// What follows from an event for a connection that is being dialled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DialOutcome {
    Connected,
    Pending,
    Failed,
}

/// What the owner of a connection does after a flush.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlushOutcome {
    /// Nothing: something is still queued, or nothing was, or the connection lingers.
    Nothing,
    /// All that was queued has been written, and more may be.
    Flushed,
    /// The connection is to be closed.
    Close,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub stream: TcpStream,
    pub owner: u8,
    pub class: ConnectionClass,
    pub origin: Origin,
    pub input: Option<Buf>,
    /// The peer has ended the connection or it broke, though what came before that may be unread.
    pub peer_ended: bool,
    /// Where its buffers come from.
    pool: Pool,
    output: VecDeque<Buf>,
    connected: bool,
    closing: Closing,
    /// A message was offered of which the system took nothing.
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

    /// Bytes queued since the start.
    pub fn bytes_queued(&self) -> u64 {
        self.bytes_queued
    }

    /// Bytes handed to the system since the start.
    pub fn bytes_flushed(&self) -> u64 {
        self.bytes_flushed
    }

    /// Whether it is closed once all is written, at once or after lingering.
    pub fn is_closing(&self) -> bool {
        !matches!(self.closing, Closing::No)
    }

    pub fn is_lingering(&self) -> bool {
        matches!(self.closing, Closing::Lingering(_))
    }

    /// An event says that a dial may have ended.
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

    /// Consumes so many bytes of input.
    pub fn consume(&mut self, n: usize) {
        if let Some(input) = &mut self.input {
            input.consume(n);
        }
        self.release_empty_input();
    }

    /// Gives an empty input buffer back: an idle connection holds none.
    fn release_empty_input(&mut self) {
        if self.input.as_ref().is_some_and(|b| b.data().is_empty()) {
            self.input = None;
        }
    }

    /// Reads and drops what a lingering peer sends. False once that is enough.
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

    /// Writes a message as far as the system takes it at once and queues the rest, or queues nothing.
    pub fn queue(&mut self, message: &[u8]) -> Result<(), QueueFull> {
        // Guards answers against an empty pool: most messages need no buffer.
        let written = if self.connected && self.output.is_empty() {
            // What is wrong with the connection shows at the next flush.
            self.stream.write(message).unwrap_or(0)
        } else {
            0
        };
        self.queue_rest(message, written)
    }

    /// Writes a message as far as the system takes it at once and queues the rest. Nothing is queued of one of
    /// which the system takes nothing: its owner may have to look at it again before it begins.
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
        // Half a message can't be followed by another: the connection is of no more use.
        self.queue_rest(message, written).map_err(io::Error::other)?;
        Ok(Offer::Begun)
    }

    /// Queues what is left of a message of which so many bytes were written.
    fn queue_rest(&mut self, message: &[u8], written: usize) -> Result<(), QueueFull> {
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

    /// Writes what the system takes, and tells what follows from it.
    pub fn flush(&mut self) -> io::Result<FlushOutcome> {
        let was_written = self.all_written();
        self.write_queued()?;
        if !self.all_written() {
            return Ok(FlushOutcome::Nothing);
        }
        match &mut self.closing {
            Closing::Lingering(linger) => {
                // The peer reads the end; a close with input unread could take the last message from it.
                // Once: each call wakes the poll, whose event that it is writable leads here again.
                if !std::mem::replace(&mut linger.write_shut, true) {
                    let _ = self.stream.shutdown(Shutdown::Write);
                }
                Ok(FlushOutcome::Nothing)
            }
            Closing::AfterFlush => Ok(FlushOutcome::Close),
            Closing::No => {
                let awaited = std::mem::take(&mut self.awaits_writable);
                Ok(if awaited || !was_written { FlushOutcome::Flushed } else { FlushOutcome::Nothing })
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

    /// Closes once all is written.
    pub fn close_after_flush(&mut self) {
        self.closing = Closing::AfterFlush;
    }

    /// Lingers once all is written; what was read and not consumed is dropped.
    pub fn linger(&mut self) {
        self.input = None;
        self.closing = Closing::Lingering(Linger {
            discard_bytes_left: MAX_LINGER_DISCARD_BYTES,
            flushed_bytes: 0,
            progress_at: 0,
            write_shut: false,
        });
    }

    /// The time of a lingering peer starts now.
    pub fn start_linger_timer(&mut self, now: Nanos) {
        let bytes_flushed = self.bytes_flushed;
        if let Closing::Lingering(linger) = &mut self.closing {
            (linger.flushed_bytes, linger.progress_at) = (bytes_flushed, now);
        }
    }

    /// The time of a lingering peer is over. Whether it gets more: it has taken some since, or may still take
    /// the first.
    pub fn extend_linger(&mut self, now: Nanos) -> bool {
        let (bytes_flushed, all_written) = (self.bytes_flushed, self.all_written());
        let Closing::Lingering(linger) = &mut self.closing else { return false };
        let grew = bytes_flushed > linger.flushed_bytes;
        if grew {
            (linger.flushed_bytes, linger.progress_at) = (bytes_flushed, now);
        }
        grew || (!all_written && now < linger.progress_at + UNREAD_MESSAGE_TIMEOUT)
    }
}
