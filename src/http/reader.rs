//! Incremental reading of messages.

use super::error::HttpError;
use super::head::{BodyFraming, Head, MessageKind, parse_head};
use crate::net::{Buf, MAX_BODY, MAX_HEAD, Pool};

/// Longest chunk-size line, bytes.
const MAX_CHUNK_SIZE_LINE: usize = 256;

/// The part of a message that is read next. The numbers are the bytes left of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Head,
    SizedBody(usize),
    ChunkSize,
    ChunkData(usize),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Reads the messages of a connection one after another.
#[derive(Debug)]
pub struct Reader {
    kind: MessageKind,
    stage: Stage,
    head: Option<Head>,
    body: Option<Buf>,
    /// Bytes of the data passed next that were already read when no buffer was free.
    resume_at: usize,
    trailer_bytes: usize,
}

impl Reader {
    /// A reader at the start of a message.
    pub fn new(kind: MessageKind) -> Reader {
        Reader { kind, stage: Stage::Head, head: None, body: None, resume_at: 0, trailer_bytes: 0 }
    }

    /// The head, once it is read.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// The part of the body that was read and not consumed.
    pub fn body(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], |b| b.data())
    }

    /// Drops `n` bytes from the start of the body, for a caller that processes a body as it arrives.
    pub fn consume_body(&mut self, n: usize) {
        if let Some(b) = &mut self.body {
            b.consume(n);
        }
    }

    /// Whether the message is complete.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Whether the head of the next message has not been read.
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Head
    }

    /// Starts the next message.
    pub fn reset(&mut self) {
        *self = Reader::new(self.kind);
    }

    /// Handles the end of the connection's input, which completes a body without a length. Returns whether
    /// the message is complete.
    pub fn on_eof(&mut self) -> bool {
        if self.stage == Stage::UntilClose {
            self.stage = Stage::Done;
        }
        self.is_done()
    }

    /// Reads from `data` and returns how many of its bytes were used. The rest belongs to the next message,
    /// or has to be passed again with more data appended.
    ///
    /// # Errors
    ///
    /// After [`HttpError::NoBuffer`] the same data may be passed again; after any other error the message
    /// can't be read further.
    pub fn advance(&mut self, data: &[u8], pool: &Pool) -> Result<usize, HttpError> {
        let mut used = std::mem::take(&mut self.resume_at);
        loop {
            let rest = &data[used..];
            let n = match self.stage {
                Stage::Done => return Ok(used),
                Stage::Head => self.read_head(rest)?,
                Stage::SizedBody(0) => {
                    self.stage = Stage::Done;
                    continue;
                }
                Stage::SizedBody(remaining) => {
                    let n = self.read_body(&rest[..rest.len().min(remaining)], pool, used)?;
                    self.stage = Stage::SizedBody(remaining - n);
                    n
                }
                Stage::UntilClose => self.read_body(rest, pool, used)?,
                Stage::ChunkSize => self.read_chunk_size(rest)?,
                Stage::ChunkData(remaining) => {
                    let n = self.read_body(&rest[..rest.len().min(remaining)], pool, used)?;
                    self.stage =
                        if remaining == n { Stage::ChunkEnd } else { Stage::ChunkData(remaining - n) };
                    n
                }
                Stage::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        self.stage = Stage::ChunkSize;
                        2
                    }
                    [] | [b'\r'] => 0,
                    _ => return Err(HttpError::Malformed("no CRLF after a chunk")),
                },
                Stage::Trailer => self.read_trailer(rest)?,
            };
            if n == 0 && self.stage != Stage::Done && !matches!(self.stage, Stage::SizedBody(0)) {
                return Ok(used);
            }
            used += n;
        }
    }

    fn read_head(&mut self, data: &[u8]) -> Result<usize, HttpError> {
        // Skips empty lines before a request.
        if self.kind == MessageKind::Request && data.starts_with(b"\r\n") {
            return Ok(2);
        }
        let Some(parsed) = parse_head(self.kind, data)? else { return Ok(0) };
        self.stage = match parsed.framing {
            BodyFraming::None => Stage::Done,
            BodyFraming::Length(length) => Stage::SizedBody(length),
            BodyFraming::Chunked => Stage::ChunkSize,
            BodyFraming::UntilClose => Stage::UntilClose,
        };
        self.head = Some(parsed.head);
        Ok(parsed.size)
    }

    /// Fails if no buffer is free; the same data may be passed again once one is. `before` is the number of
    /// bytes used before this call.
    fn read_body(&mut self, data: &[u8], pool: &Pool, before: usize) -> Result<usize, HttpError> {
        if data.is_empty() {
            return Ok(0);
        }
        if self.body.is_none() {
            self.body = match self.kind {
                MessageKind::Request => pool.take_for_untrusted(),
                MessageKind::Response => pool.take(),
            };
        }
        let Some(body) = self.body.as_mut() else {
            self.resume_at = before;
            return Err(HttpError::NoBuffer);
        };
        if body.data().len() + data.len() > MAX_BODY {
            return Err(HttpError::TooLarge);
        }
        Ok(body.push(data))
    }

    fn read_chunk_size(&mut self, data: &[u8]) -> Result<usize, HttpError> {
        match httparse::parse_chunk_size(data) {
            Ok(httparse::Status::Complete((n, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                // A chunked body that is consumed as it arrives may be of any length, but each chunk has to
                // fit in one buffer.
                if size > MAX_BODY {
                    return Err(HttpError::TooLarge);
                }
                self.stage = if size == 0 { Stage::Trailer } else { Stage::ChunkData(size) };
                Ok(n)
            }
            Ok(httparse::Status::Partial) if data.len() > MAX_CHUNK_SIZE_LINE => {
                Err(HttpError::Malformed("invalid chunk size"))
            }
            Ok(httparse::Status::Partial) => Ok(0),
            Err(_) => Err(HttpError::Malformed("invalid chunk size")),
        }
    }

    fn read_trailer(&mut self, data: &[u8]) -> Result<usize, HttpError> {
        let Some(end) = data.windows(2).position(|w| w == b"\r\n") else {
            return if data.len() > MAX_HEAD { Err(HttpError::HeadTooLarge) } else { Ok(0) };
        };
        self.trailer_bytes += end + 2;
        if self.trailer_bytes > MAX_HEAD {
            return Err(HttpError::HeadTooLarge);
        }
        if end == 0 {
            self.stage = Stage::Done;
        }
        Ok(end + 2)
    }
}
