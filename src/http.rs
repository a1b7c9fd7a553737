//! HTTP/1.1 messages, read piece by piece as they come in, and written. Bodies have a length or come in
//! chunks; nothing larger than the stated limits is ever held.

use crate::net::{Buf, MAX_BODY, MAX_HEAD, Pool};
use std::fmt;

/// Most header lines of a message.
const MAX_HEADERS: usize = 64;

/// Why a message can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// Not HTTP/1.x, or not in a form that is understood.
    Malformed(&'static str),
    /// The body is larger than may be.
    TooLarge,
    /// The head is larger than may be.
    HeadTooLarge,
    /// No buffer can be had for the body.
    NoBuffer,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpError::Malformed(what) => write!(f, "malformed HTTP: {what}"),
            HttpError::TooLarge => write!(f, "a body over {MAX_BODY} bytes"),
            HttpError::HeadTooLarge => write!(f, "a head over {MAX_HEAD} bytes"),
            HttpError::NoBuffer => write!(f, "no buffer is free"),
        }
    }
}

impl std::error::Error for HttpError {}

impl HttpError {
    /// The status that a client's request deserves for it.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::TooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::NoBuffer => 503,
        }
    }
}

/// The head of a request or of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The method; empty in a response.
    pub method: String,
    /// The target; empty in a response.
    pub target: String,
    /// The status; 0 in a request.
    pub status: u16,
    /// Header lines, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The connection stays open after this message.
    pub keep_alive: bool,
    /// The sender waits for `100 Continue` before the body.
    pub expects_continue: bool,
}

impl Head {
    /// The first header of that name (lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The target's path, without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// Which side's messages are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests.
    Requests,
    /// Responses. They may end with their connection.
    Responses,
}

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

/// Reads one message after the other.
#[derive(Debug)]
pub struct Reader {
    side: Side,
    stage: Stage,
    head: Option<Head>,
    body: Option<Buf>,
    /// Bytes of what comes next that were read before a buffer was wanting.
    resume_at: usize,
    trailer_bytes: usize,
}

impl Reader {
    /// A reader at the start of a message.
    pub fn new(side: Side) -> Reader {
        Reader { side, stage: Stage::Head, head: None, body: None, resume_at: 0, trailer_bytes: 0 }
    }

    /// The head, once it is in.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// What is in of the body.
    pub fn body(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], |b| b.data())
    }

    /// Drops bytes from the start of the body, where it is read as it comes.
    pub fn consume_body(&mut self, n: usize) {
        if let Some(b) = &mut self.body {
            b.consume(n);
        }
    }

    /// The message is whole.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// Nothing of a message is in yet.
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Head
    }

    /// Makes ready for the next message.
    pub fn reset(&mut self) {
        *self = Reader::new(self.side);
    }

    /// The connection has ended. True if that makes the message whole.
    pub fn end(&mut self) -> bool {
        if self.stage == Stage::UntilClose {
            self.stage = Stage::Done;
        }
        self.is_done()
    }

    /// Takes in `data` and returns how much of it was used. What is left belongs to the next message or must
    /// be given again with more behind it.
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
        if self.side == Side::Requests && data.starts_with(b"\r\n") {
            return Ok(2);
        }
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let within = &data[..data.len().min(MAX_HEAD)];
        let mut head = Head::default();
        let (size, version, headers) = match self.side {
            Side::Requests => {
                let mut r = httparse::Request::new(&mut lines);
                let Some(size) = head_size(r.parse(within), data.len())? else { return Ok(0) };
                head.method = r.method.unwrap_or("").to_owned();
                head.target = r.path.unwrap_or("").to_owned();
                (size, r.version, r.headers)
            }
            Side::Responses => {
                let mut r = httparse::Response::new(&mut lines);
                let Some(size) = head_size(r.parse(within), data.len())? else { return Ok(0) };
                head.status = r.code.unwrap_or(0);
                (size, r.version, r.headers)
            }
        };
        head.keep_alive = version == Some(1);
        let (mut length, mut chunked) = (None, false);
        for h in headers.iter() {
            let name = h.name.to_ascii_lowercase();
            let value =
                std::str::from_utf8(h.value).map_err(|_| HttpError::Malformed("a header is no text"))?.trim();
            match name.as_str() {
                "content-length" => {
                    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
                    let n = if digits { value.parse::<usize>().unwrap_or(usize::MAX) } else { 0 };
                    // Guards against two readings of one message: a length is told once, in digits.
                    if !digits || length.is_some_and(|l| l != n) {
                        return Err(HttpError::Malformed("a bad Content-Length"));
                    }
                    length = Some(n);
                }
                "transfer-encoding" => {
                    if chunked || !value.eq_ignore_ascii_case("chunked") {
                        return Err(HttpError::Malformed("an unknown Transfer-Encoding"));
                    }
                    chunked = true;
                }
                "connection" => {
                    for token in value.split(',').map(str::trim) {
                        if token.eq_ignore_ascii_case("close") {
                            head.keep_alive = false;
                        } else if token.eq_ignore_ascii_case("keep-alive") {
                            head.keep_alive = true;
                        }
                    }
                }
                "expect" => head.expects_continue = value.eq_ignore_ascii_case("100-continue"),
                _ => {}
            }
            head.headers.push((name, value.to_owned()));
        }
        let bodiless = matches!(head.status, 100..200 | 204 | 304);
        self.stage = match (chunked, length) {
            (true, Some(_)) => return Err(HttpError::Malformed("both a length and chunks")),
            _ if bodiless => Stage::Done,
            (true, None) => Stage::ChunkSize,
            (false, Some(n)) if n > MAX_BODY => return Err(HttpError::TooLarge),
            (false, Some(n)) => Stage::Length(n),
            (false, None) if self.side == Side::Responses => {
                head.keep_alive = false;
                Stage::UntilClose
            }
            (false, None) => Stage::Done,
        };
        self.head = Some(head);
        Ok(size)
    }

    /// Without a buffer it fails; the same data may be given once more when one is free.
    fn read_body(&mut self, data: &[u8], pool: &Pool, before: usize) -> Result<usize, HttpError> {
        if data.is_empty() {
            return Ok(0);
        }
        if self.body.is_none() {
            self.body = match self.side {
                Side::Requests => pool.take_for_untrusted(),
                Side::Responses => pool.take(),
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
                // A stream of small chunks may go on for ever; one body that is held may not.
                if size > MAX_BODY {
                    return Err(HttpError::TooLarge);
                }
                self.stage = if size == 0 { Stage::Trailer } else { Stage::Chunk(size) };
                Ok(n)
            }
            Ok(httparse::Status::Partial) if data.len() > 256 => {
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

fn head_size(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
    seen: usize,
) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(n)) => Ok(Some(n)),
        Ok(httparse::Status::Partial) if seen >= MAX_HEAD => Err(HttpError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeadTooLarge),
        Err(_) => Err(HttpError::Malformed("no HTTP head")),
    }
}

/// Writes a whole response.
pub fn response(status: u16, headers: &[(&str, &str)], keep_alive: bool, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n", reason_phrase(status), body.len());
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += if keep_alive { "\r\n" } else { "Connection: close\r\n\r\n" };
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Tells a client that there is no room for it now, and when to come back if that is known; ends its connection.
pub fn service_unavailable(wait: u64) -> Vec<u8> {
    let text = retry_after(wait);
    let headers: &[(&str, &str)] = if wait > 0 { &[("Retry-After", &text)] } else { &[] };
    response(503, headers, false, b"")
}

/// `Retry-After` for a wait in nanoseconds, in seconds with a fraction.
pub fn retry_after(wait: u64) -> String {
    format!("{:.3}", wait as f64 / 1e9)
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}
