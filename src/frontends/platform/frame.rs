//! Frames between brokers and shard servers: a length, a type byte and a body.

use std::fmt;

/// Maximum length of a frame, which counts the type byte and the body.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Maximum length of the first line of an answer.
const MAX_LINE_BYTES: usize = 1024;

/// Why a frame is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Its length is zero or more than [`MAX_FRAME_BYTES`].
    InvalidLength(usize),
    /// Its type is not one that shard servers send.
    UnknownType(u8),
    /// It is an answer with invalid syntax.
    InvalidAnswer(&'static str),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::InvalidLength(n) => write!(f, "invalid frame length {n}"),
            FrameError::UnknownType(byte) => write!(f, "unknown frame type {:?}", char::from(*byte)),
            FrameError::InvalidAnswer(what) => write!(f, "invalid answer: {what}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// How a part ended at the shard server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The server returned a value.
    Ok,
    /// The server returned an error; the part may have run.
    Error,
    /// The server rejected the part, which did not run.
    Rejected,
}

/// A frame from a shard server.
#[derive(Clone, Debug, PartialEq)]
pub enum FromServer<'a> {
    /// The answer to a part.
    Answer { id: &'a str, end: End, utilization: Option<f64>, value: &'a str },
    /// The shard server could not use a frame of this broker; contains its message.
    Unusable(&'a [u8]),
}

/// Parses the first frame of `data`. Returns its size and content, or `None` while it is incomplete.
pub fn read(data: &[u8]) -> Result<Option<(usize, FromServer<'_>)>, FrameError> {
    let Some((length, rest)) = data.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::InvalidLength(length));
    }
    // An invalid frame is rejected without waiting for its end.
    if let Some(frame_type) = rest.first().filter(|l| !matches!(l, b'Y' | b'N')) {
        return Err(FrameError::UnknownType(*frame_type));
    }
    let Some(frame) = rest.get(..length) else {
        // Nor is the end awaited if the first line is too long.
        if let [b'Y', body @ ..] = rest {
            line_end(body)?;
        }
        return Ok(None);
    };
    let body = &frame[1..];
    let message = if frame[0] == b'N' { FromServer::Unusable(body) } else { answer(body)? };
    Ok(Some((4 + length, message)))
}

fn answer(body: &[u8]) -> Result<FromServer<'_>, FrameError> {
    let invalid = FrameError::InvalidAnswer;
    let end = line_end(body)?.ok_or(invalid("no end of the first line"))?;
    let value = std::str::from_utf8(&body[end + 1..]).map_err(|_| invalid("the value is not UTF-8"))?;
    // A length that is too large includes the start of the next frame, whose first byte is zero. Clients must
    // not receive that as part of the value.
    if value.contains('\0') {
        return Err(invalid("the value contains a zero byte"));
    }
    let mut fields = body[..end].splitn(4, |b| *b == b' ');
    let mut field = || fields.next().ok_or(invalid("the first line has fewer than four fields"));
    let (id, end, _score, report) = (field()?, field()?, field()?, field()?);
    let text = |field| std::str::from_utf8(field).map_err(|_| invalid("the first line is not UTF-8"));
    let (id, end) = (text(id)?, text(end)?);
    let end = match end {
        "OK" => End::Ok,
        "ERROR" => End::Error,
        "REJECTED" => End::Rejected,
        _ => return Err(invalid("unknown status")),
    };
    // The answer is valid even if its load report can't be parsed.
    Ok(FromServer::Answer {
        id,
        end,
        utilization: std::str::from_utf8(report).ok().and_then(utilization),
        value,
    })
}

/// The position at which the first line ends, or `None` while the end is not received.
fn line_end(body: &[u8]) -> Result<Option<usize>, FrameError> {
    let end = body.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n');
    if end.is_none() && body.len() >= MAX_LINE_BYTES {
        return Err(FrameError::InvalidAnswer("the first line is too long"));
    }
    Ok(end)
}

/// Whether `data` may be the start of a frame from a shard server.
pub fn may_start(data: &[u8]) -> bool {
    !matches!(read(data), Err(FrameError::InvalidLength(_) | FrameError::UnknownType(_)))
        && data.first().is_none_or(|b| *b == 0)
}

/// Largest utilization that is accepted. It is above 1 because reports are slightly noisy.
const MAX_UTILIZATION: f64 = 2.0;

/// The processor utilization in a report such as `queue=2,util=0.61`, if it contains a valid one.
fn utilization(report: &str) -> Option<f64> {
    let values = report.split(',').filter_map(|pair| pair.split_once('='));
    let named =
        |(name, value): (&str, &str)| matches!(name, "util" | "busy").then(|| value.parse::<f64>().ok());
    values.filter_map(named).flatten().find(|x| (0.0..=MAX_UTILIZATION).contains(x))
}

/// One part of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartLine<'a> {
    /// The part's id.
    pub id: &'a str,
    /// Its shard.
    pub shard: u32,
    /// How long the broker waits for the answer, ms.
    pub wait_ms: u64,
    /// The text of the query.
    pub text: &'a str,
}

/// Encodes a call.
pub fn call(parts: &[PartLine]) -> Vec<u8> {
    let mut out = vec![0, 0, 0, 0, b'R'];
    for p in parts {
        let line = format!("{} {} d={} {}\n", p.id, p.shard, p.wait_ms, p.text.len());
        out.extend_from_slice(line.as_bytes());
        out.extend_from_slice(p.text.as_bytes());
    }
    with_length(out)
}

/// Encodes the cancellation of a part.
pub fn cancel(id: &str) -> Vec<u8> {
    let mut out = vec![0, 0, 0, 0, b'A'];
    out.extend_from_slice(id.as_bytes());
    with_length(out)
}

fn with_length(mut frame: Vec<u8>) -> Vec<u8> {
    let length = (frame.len() - 4) as u32;
    frame[..4].copy_from_slice(&length.to_be_bytes());
    frame
}
