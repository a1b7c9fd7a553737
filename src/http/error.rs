//! Errors of reading a message.

use crate::net::{MAX_BODY, MAX_HEAD};

/// Why a message can't be read further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Not HTTP/1.x, or a form that is not supported.
    #[error("malformed HTTP: {0}")]
    Malformed(&'static str),
    /// The body is larger than [`MAX_BODY`].
    #[error("body exceeds {} bytes", MAX_BODY)]
    TooLarge,
    /// The head is larger than [`MAX_HEAD`], or has too many header lines.
    #[error("head exceeds {} bytes", MAX_HEAD)]
    HeadTooLarge,
    /// The pool has no free buffer for the body.
    #[error("no free buffer for the body")]
    NoBuffer,
}

impl HttpError {
    /// Status of the response to a request that can't be read further.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::TooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::NoBuffer => 503,
        }
    }
}
