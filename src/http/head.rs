//! Message heads, and the framing of the body that they announce.

use super::error::HttpError;
use crate::net::{MAX_BODY, MAX_HEAD};

/// Most header lines of a message.
const MAX_HEADERS: usize = 64;

/// Kind of the messages that are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request.
    Request,
    /// A response, whose body may end with its connection.
    Response,
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
    /// Whether the connection stays open after this message.
    pub keep_alive: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl Head {
    /// Value of the first header with this name (lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The target's path, without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFraming {
    /// There is no body.
    None,
    /// It has this length, in bytes.
    Length(usize),
    /// It is sent in chunks.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// A complete head.
#[derive(Debug)]
pub(super) struct ParsedHead {
    pub head: Head,
    pub framing: BodyFraming,
    /// Size of the head, bytes.
    pub size: usize,
}

/// The headers that determine the framing of the body.
#[derive(Debug, Default)]
struct FramingHeaders {
    content_length: Option<usize>,
    is_chunked: bool,
}

impl FramingHeaders {
    fn add_content_length(&mut self, value: &str) -> Result<(), HttpError> {
        let is_numeric = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let length = if is_numeric { value.parse::<usize>().unwrap_or(usize::MAX) } else { 0 };
        // Prevents request smuggling: another HTTP implementation could read conflicting or malformed lengths
        // differently.
        if !is_numeric || self.content_length.is_some_and(|l| l != length) {
            return Err(HttpError::Malformed("invalid Content-Length"));
        }
        self.content_length = Some(length);
        Ok(())
    }

    fn add_transfer_encoding(&mut self, value: &str) -> Result<(), HttpError> {
        if self.is_chunked || !value.eq_ignore_ascii_case("chunked") {
            return Err(HttpError::Malformed("unsupported Transfer-Encoding"));
        }
        self.is_chunked = true;
        Ok(())
    }

    fn framing(&self, kind: MessageKind, status: u16) -> Result<BodyFraming, HttpError> {
        let has_no_body = matches!(status, 100..200 | 204 | 304);
        match (self.is_chunked, self.content_length) {
            (true, Some(_)) => Err(HttpError::Malformed("both Content-Length and Transfer-Encoding")),
            _ if has_no_body => Ok(BodyFraming::None),
            (true, None) => Ok(BodyFraming::Chunked),
            (false, Some(length)) if length > MAX_BODY => Err(HttpError::TooLarge),
            (false, Some(length)) => Ok(BodyFraming::Length(length)),
            (false, None) if kind == MessageKind::Response => Ok(BodyFraming::UntilClose),
            (false, None) => Ok(BodyFraming::None),
        }
    }
}

/// Parses the head at the start of `data`, or returns `None` if it is incomplete.
pub(super) fn parse_head(kind: MessageKind, data: &[u8]) -> Result<Option<ParsedHead>, HttpError> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let limited = &data[..data.len().min(MAX_HEAD)];
    let mut head = Head::default();
    let (size, version, headers) = match kind {
        MessageKind::Request => {
            let mut request = httparse::Request::new(&mut lines);
            let Some(size) = head_size(request.parse(limited), data.len())? else { return Ok(None) };
            head.method = request.method.unwrap_or("").to_owned();
            head.target = request.path.unwrap_or("").to_owned();
            (size, request.version, request.headers)
        }
        MessageKind::Response => {
            let mut response = httparse::Response::new(&mut lines);
            let Some(size) = head_size(response.parse(limited), data.len())? else { return Ok(None) };
            head.status = response.code.unwrap_or(0);
            (size, response.version, response.headers)
        }
    };
    head.keep_alive = version == Some(1);
    let mut framing = FramingHeaders::default();
    for header in headers.iter() {
        add_header(header, &mut head, &mut framing)?;
    }
    let framing = framing.framing(kind, head.status)?;
    if framing == BodyFraming::UntilClose {
        head.keep_alive = false;
    }
    Ok(Some(ParsedHead { head, framing, size }))
}

fn add_header(
    header: &httparse::Header<'_>,
    head: &mut Head,
    framing: &mut FramingHeaders,
) -> Result<(), HttpError> {
    let name = header.name.to_ascii_lowercase();
    let value = std::str::from_utf8(header.value);
    let value = value.map_err(|_| HttpError::Malformed("header value is not UTF-8"))?.trim();
    match name.as_str() {
        "content-length" => framing.add_content_length(value)?,
        "transfer-encoding" => framing.add_transfer_encoding(value)?,
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
    Ok(())
}

fn head_size(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
    available: usize,
) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(n)) => Ok(Some(n)),
        Ok(httparse::Status::Partial) if available >= MAX_HEAD => Err(HttpError::HeadTooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeadTooLarge),
        Err(_) => Err(HttpError::Malformed("invalid HTTP head")),
    }
}
