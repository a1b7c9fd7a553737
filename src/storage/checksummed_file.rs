//! The file format of stored data.
//!
//! A file has one header line, with the name of the format, its version, and the length and CRC-32 of the
//! body, and then the body as indented JSON, so that operators can read it. Decoding never panics: any bytes
//! give a value or one [`FileFormatError`].
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Longest header line that is accepted, bytes.
const MAX_HEADER_BYTES: usize = 96;

/// One version of a file format.
#[derive(Clone, Copy, Debug)]
pub struct FileFormat {
    /// The first word of the header, which identifies the format.
    pub magic: &'static str,
    /// What such a file contains, for error messages.
    pub description: &'static str,
    /// The version that is written, and the only one that is read.
    pub version: u32,
    /// Largest file that is written or read, bytes.
    pub max_bytes: usize,
}

/// Why a file can't be decoded, or a value can't be encoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileFormatError {
    /// The file has no bytes.
    #[error("it is empty")]
    Empty,
    /// The file, or the value to be written, has this number of bytes, more than [`FileFormat::max_bytes`].
    #[error("it has {0} bytes, more than may be")]
    TooLarge(usize),
    /// The header is not that of the expected format, whose [`FileFormat::description`] is given.
    #[error("it has no valid header for \"{0}\"")]
    UnknownFormat(&'static str),
    /// The header has another version than [`FileFormat::version`].
    #[error("it has version {0}, which is not supported")]
    Version(u32),
    /// The body is shorter or longer than its header says.
    #[error("its body has {actual} bytes instead of {expected}")]
    Length {
        /// Length of the body, bytes.
        actual: usize,
        /// Length in the header, bytes.
        expected: usize,
    },
    /// The body or the header was changed after it was written.
    #[error("its checksum does not match")]
    Checksum,
    /// The body is intact but is not JSON of the expected type, or the value can't be represented as JSON.
    #[error("its body is not valid: {0}")]
    Body(#[source] BodyError),
}

/// A JSON error of a body. Two errors are equal if their messages are.
#[derive(Clone, Debug, thiserror::Error)]
#[error(transparent)]
pub struct BodyError(#[from] Arc<serde_json::Error>);

impl PartialEq for BodyError {
    fn eq(&self, other: &BodyError) -> bool {
        self.0.to_string() == other.0.to_string()
    }
}

impl Eq for BodyError {}

impl From<serde_json::Error> for FileFormatError {
    fn from(error: serde_json::Error) -> FileFormatError {
        FileFormatError::Body(BodyError(Arc::new(error)))
    }
}

impl FileFormat {
    fn header(&self, version: u32, body: &[u8]) -> String {
        format!("{} {version} {} {:08x}\n", self.magic, body.len(), crc32fast::hash(body))
    }

    /// Encodes a value as the bytes of a file.
    ///
    /// # Errors
    ///
    /// [`FileFormatError::TooLarge`] for more than [`FileFormat::max_bytes`], as nothing is truncated, and
    /// [`FileFormatError::Body`] for a value that can't be represented as JSON.
    pub fn encode(&self, value: &impl Serialize) -> Result<Vec<u8>, FileFormatError> {
        let mut body = serde_json::to_vec_pretty(value)?;
        body.push(b'\n');
        let mut file = self.header(self.version, &body).into_bytes();
        file.append(&mut body);
        if file.len() > self.max_bytes {
            return Err(FileFormatError::TooLarge(file.len()));
        }
        Ok(file)
    }

    /// Decodes the bytes of a file.
    ///
    /// # Errors
    ///
    /// The first variant of [`FileFormatError`] that applies, in the order of their declaration.
    pub fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, FileFormatError> {
        if bytes.is_empty() {
            return Err(FileFormatError::Empty);
        }
        if bytes.len() > self.max_bytes {
            return Err(FileFormatError::TooLarge(bytes.len()));
        }
        let unknown_format = FileFormatError::UnknownFormat(self.description);
        let Some(header) = Header::parse(bytes) else { return Err(unknown_format) };
        if header.magic != self.magic {
            return Err(unknown_format);
        }
        if header.version != self.version {
            return Err(FileFormatError::Version(header.version));
        }
        let body = &bytes[header.line.len()..];
        if header.body_len != body.len() {
            return Err(FileFormatError::Length { actual: body.len(), expected: header.body_len });
        }
        // Comparing the whole line detects a changed byte anywhere in it, not only in the checksum.
        if self.header(header.version, body).as_bytes() != header.line {
            return Err(FileFormatError::Checksum);
        }
        Ok(serde_json::from_slice(body)?)
    }
}

/// The fields of a header line, except the checksum.
struct Header<'a> {
    /// The whole line, including its end.
    line: &'a [u8],
    magic: &'a str,
    version: u32,
    body_len: usize,
}

impl<'a> Header<'a> {
    fn parse(bytes: &'a [u8]) -> Option<Header<'a>> {
        let end = bytes.iter().take(MAX_HEADER_BYTES).position(|b| *b == b'\n')?;
        let line = &bytes[..=end];
        let words: Vec<&str> = std::str::from_utf8(line).ok()?.trim_end().split(' ').collect();
        let [magic, version, body_len, _checksum] = words[..] else { return None };
        Some(Header { line, magic, version: version.parse().ok()?, body_len: body_len.parse().ok()? })
    }
}
