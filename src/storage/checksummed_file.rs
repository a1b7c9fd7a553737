//! The form of what outlives a process: one line that names the format, its version, the body's length and checksum,
//! then the body as JSON, so that it can be read by eye. Whatever bytes are found, the answer is a value or one reason.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;

/// One format.
#[derive(Clone, Copy, Debug)]
pub struct FileFormat {
    /// Its name, the first word.
    pub magic: &'static str,
    /// What it is, for people.
    pub description: &'static str,
    /// The version that is written, and the only one that is read.
    pub version: u32,
    /// Largest file that is written or read, bytes.
    pub max_bytes: usize,
}

/// Why something that was written can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FileFormatError {
    /// Nothing is in it.
    Empty,
    /// More bytes than may be.
    TooLarge(usize),
    /// It is something else than this.
    UnknownFormat(&'static str),
    /// A version that this program does not know.
    Version(u32),
    /// Its body is shorter or longer than stated: `actual`, `expected`, in bytes.
    Length { actual: usize, expected: usize },
    /// Its body is not what was written.
    Checksum,
    /// Its body has the right checksum and can't be read.
    Body(String),
}

impl fmt::Display for FileFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileFormatError::Empty => write!(f, "it is empty"),
            FileFormatError::TooLarge(n) => write!(f, "it has {n} bytes, more than may be"),
            FileFormatError::UnknownFormat(what) => write!(f, "it is no {what}"),
            FileFormatError::Version(v) => write!(f, "it has version {v}, which is not known"),
            FileFormatError::Length { actual, expected } => {
                write!(f, "its body has {actual} bytes instead of {expected}")
            }
            FileFormatError::Checksum => write!(f, "its checksum does not fit"),
            FileFormatError::Body(why) => write!(f, "its body can't be read: {why}"),
        }
    }
}

impl std::error::Error for FileFormatError {}

impl FileFormat {
    fn header(&self, version: u32, body: &[u8]) -> String {
        format!("{} {version} {} {:08x}\n", self.magic, body.len(), crc32fast::hash(body))
    }

    /// Writes a value. One that would be too large is an error: nothing is cut off silently.
    pub fn encode(&self, value: &impl Serialize) -> Result<Vec<u8>, FileFormatError> {
        let mut body = serde_json::to_vec_pretty(value).map_err(|e| FileFormatError::Body(e.to_string()))?;
        body.push(b'\n');
        let mut out = self.header(self.version, &body).into_bytes();
        out.append(&mut body);
        if out.len() > self.max_bytes { Err(FileFormatError::TooLarge(out.len())) } else { Ok(out) }
    }

    /// Reads a value back.
    pub fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, FileFormatError> {
        let unknown_format = || FileFormatError::UnknownFormat(self.description);
        if bytes.is_empty() {
            return Err(FileFormatError::Empty);
        }
        if bytes.len() > self.max_bytes {
            return Err(FileFormatError::TooLarge(bytes.len()));
        }
        let line = bytes.iter().take(96).position(|b| *b == b'\n').ok_or_else(unknown_format)?;
        let (first, body) = (&bytes[..=line], &bytes[line + 1..]);
        let words = std::str::from_utf8(first).map_err(|_| unknown_format())?;
        let words: Vec<&str> = words.trim_end().split(' ').collect();
        let [magic, version, length, _] = words[..] else { return Err(unknown_format()) };
        let version: u32 = version.parse().map_err(|_| unknown_format())?;
        let expected: usize = length.parse().map_err(|_| unknown_format())?;
        if magic != self.magic {
            return Err(unknown_format());
        }
        if version != self.version {
            return Err(FileFormatError::Version(version));
        }
        if expected != body.len() {
            return Err(FileFormatError::Length { actual: body.len(), expected });
        }
        // The line as it would be written: a changed byte anywhere in it shows, not only in the checksum.
        if self.header(version, body).as_bytes() != first {
            return Err(FileFormatError::Checksum);
        }
        serde_json::from_slice(body).map_err(|e| FileFormatError::Body(e.to_string()))
    }
}
