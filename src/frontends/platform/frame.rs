//! Frames between brokers and shard servers: a length, a letter, and the rest.

use std::fmt;

/// Longest frame that is taken; the length counts the letter and the rest.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Longest line of an answer.
const MAX_LINE_BYTES: usize = 1024;

/// Why a frame can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Its length is nought or more than may be.
    InvalidLength(usize),
    /// A letter that a shard server does not send.
    UnknownType(u8),
    /// An answer that is not in the stated form.
    InvalidAnswer(&'static str),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::InvalidLength(n) => write!(f, "a frame of length {n}"),
            FrameError::UnknownType(byte) => write!(f, "a frame with letter {:?}", char::from(*byte)),
            FrameError::InvalidAnswer(what) => write!(f, "a bad answer: {what}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// How a part ended at the shard server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served.
    Ok,
    /// An error; it may have run.
    Error,
    /// Turned away; it never ran.
    Rejected,
}

/// A frame from a shard server.
#[derive(Clone, Debug, PartialEq)]
pub enum FromServer<'a> {
    /// The answer to a part.
    Answer { id: &'a str, end: End, utilization: Option<f64>, value: &'a str },
    /// The frame before could not be used.
    Unusable(&'a [u8]),
}

/// Reads the first frame of `data`: its size and what it says, or nothing while it is not whole.
pub fn read(data: &[u8]) -> Result<Option<(usize, FromServer<'_>)>, FrameError> {
    let Some((length, rest)) = data.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::InvalidLength(length));
    }
    // Guards against waiting for the end of what can't be used anyway.
    if let Some(frame_type) = rest.first().filter(|l| !matches!(l, b'Y' | b'N')) {
        return Err(FrameError::UnknownType(*frame_type));
    }
    let Some(frame) = rest.get(..length) else {
        // The same for a line that does not end where it should.
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
    let end = line_end(body)?.ok_or(invalid("no line"))?;
    let value = std::str::from_utf8(&body[end + 1..]).map_err(|_| invalid("the value is no text"))?;
    // Guards clients against a frame whose length takes in the start of the next: that starts with a zero.
    if value.contains('\0') {
        return Err(invalid("the value holds more than a value"));
    }
    let mut fields = body[..end].splitn(4, |b| *b == b' ');
    let mut field = || fields.next().ok_or(invalid("the line has not four words"));
    let (id, end, _score, report) = (field()?, field()?, field()?, field()?);
    let text = |field| std::str::from_utf8(field).map_err(|_| invalid("the line is no text"));
    let (id, end) = (text(id)?, text(end)?);
    let end = match end {
        "OK" => End::Ok,
        "ERROR" => End::Error,
        "REJECTED" => End::Rejected,
        _ => return Err(invalid("an unknown end")),
    };
    // A report that can't be read takes nothing from the answer.
    Ok(FromServer::Answer {
        id,
        end,
        utilization: std::str::from_utf8(report).ok().and_then(utilization),
        value,
    })
}

/// Where the first line ends, once that is in.
fn line_end(body: &[u8]) -> Result<Option<usize>, FrameError> {
    let end = body.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n');
    if end.is_none() && body.len() >= MAX_LINE_BYTES {
        return Err(FrameError::InvalidAnswer("a line that does not end"));
    }
    Ok(end)
}

/// Whether `data` may be the start of a frame from a shard server.
pub fn may_start(data: &[u8]) -> bool {
    !matches!(read(data), Err(FrameError::InvalidLength(_) | FrameError::UnknownType(_)))
        && data.first().is_none_or(|b| *b == 0)
}

/// Largest busy share that is believed; reports are a little noisy.
const MAX_UTILIZATION: f64 = 2.0;

/// The busy share in a report such as `queue=2,util=0.61`; nothing where there is none.
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
    /// Milliseconds that the broker will wait.
    pub wait_ms: u64,
    /// What it carries.
    pub text: &'a str,
}

/// Writes a call.
pub fn call(parts: &[PartLine]) -> Vec<u8> {
    let mut out = vec![0, 0, 0, 0, b'R'];
    for p in parts {
        let line = format!("{} {} d={} {}\n", p.id, p.shard, p.wait_ms, p.text.len());
        out.extend_from_slice(line.as_bytes());
        out.extend_from_slice(p.text.as_bytes());
    }
    with_length(out)
}

/// Writes that a part is given up.
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
