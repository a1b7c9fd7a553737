//! Reading of messages, piece by piece.

use super::error::HttpError;
use super::head::{BodyFraming, Head, MessageKind, parse_head};
use crate::net::{Buf, MAX_BODY, MAX_HEAD, Pool};

/// Longest line with the size of a chunk, bytes.
const MAX_CHUNK_SIZE_LINE: usize = 256;

/// What comes next of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Head,
    Length(usize),
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Reads one message after the other from the bytes of a connection.
#[derive(Debug)]
pub struct Reader {
    kind: MessageKind,
    stage: Stage,
    head: Option<Head>,
    body: Option<Buf>,
    /// Bytes of the next data that were read before a buffer was missing.
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

    /// The part of the body that is read and not consumed.
    pub fn body(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], |b| b.data())
    }

    /// Drops bytes from the start of the body, where it is read as it comes.
    pub fn consume_body(&mut self, n: usize) {
        if let Some(b) = &mut self.body {
            b.consume(n);
        }
    }

    /// Whether the message is whole.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Whether the head of the next message is not read yet.
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Head
    }

    /// Starts the next message.
    pub fn reset(&mut self) {
        *self = Reader::new(self.kind);
    }

    /// The connection has ended. Returns whether the message is whole, as one without a length is now.
    pub fn on_eof(&mut self) -> bool {
        if self.stage == Stage::UntilClose {
            self.stage = Stage::Done;
        }
        self.is_done()
    }

    /// Reads on in `data` and returns how many of its bytes were used. What is left belongs to the next
    /// message or must be given again with more behind it.
    ///
    /// # Errors
    ///
    /// After [`HttpError::NoBuffer`] the same data may be given again; after any other error the message
    /// can't be read on.
    pub fn advance(&mut self, data: &[u8], pool: &Pool) -> Result<usize, HttpError> {
        let mut used = std::mem::take(&mut self.resume_at);
        loop {
            let rest = &data[used..];
            let n = match self.stage {
                Stage::Done => return Ok(used),
                Stage::Head => self.read_head(rest)?,
                Stage::Length(0) => {
                    self.stage = Stage::Done;
                    continue;
                }
                Stage::Length(left) => {
                    let n = self.read_body(&rest[..rest.len().min(left)], pool, used)?;
                    self.stage = Stage::Length(left - n);
                    n
                }
                Stage::UntilClose => self.read_body(rest, pool, used)?,
                Stage::ChunkSize => self.read_chunk_size(rest)?,
                Stage::Chunk(left) => {
                    let n = self.read_body(&rest[..rest.len().min(left)], pool, used)?;
                    self.stage = if left == n { Stage::ChunkEnd } else { Stage::Chunk(left - n) };
                    n
                }
                Stage::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        self.stage = Stage::ChunkSize;
                        2
                    }
                    [] | [b'\r'] => 0,
                    _ => return Err(HttpError::Malformed("no line end after a chunk")),
                },
                Stage::Trailer => self.read_trailer(rest)?,
            };
            if n == 0 && self.stage != Stage::Done && !matches!(self.stage, Stage::Length(0)) {
                return Ok(used);
            }
            used += n;
        }
    }

    fn read_head(&mut self, data: &[u8]) -> Result<usize, HttpError> {
        // Empty lines before a request are skipped.
        if self.kind == MessageKind::Request && data.starts_with(b"\r\n") {
            return Ok(2);
        }
        let Some(parsed) = parse_head(self.kind, data)? else { return Ok(0) };
        self.stage = match parsed.framing {
            BodyFraming::None => Stage::Done,
            BodyFraming::Length(length) => Stage::Length(length),
            BodyFraming::Chunked => Stage::ChunkSize,
            BodyFraming::UntilClose => Stage::UntilClose,
        };
        self.head = Some(parsed.head);
        Ok(parsed.size)
    }

    /// Without a buffer it fails; the same data may be given once more when one is free.
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
                // A stream of small chunks may go on for ever; a body in one buffer may not.
                if size > MAX_BODY {
                    return Err(HttpError::TooLarge);
                }
                self.stage = if size == 0 { Stage::Trailer } else { Stage::Chunk(size) };
                Ok(n)
            }
            Ok(httparse::Status::Partial) if data.len() > MAX_CHUNK_SIZE_LINE => {
                Err(HttpError::Malformed("a bad chunk size"))
            }
            Ok(httparse::Status::Partial) => Ok(0),
            Err(_) => Err(HttpError::Malformed("a bad chunk size")),
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
