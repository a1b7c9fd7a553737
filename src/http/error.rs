//! Why a message can't be read.

use crate::net::{MAX_BODY, MAX_HEAD};

/// Why a message can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Not HTTP/1.x, or not in a form that is understood.
    #[error("malformed HTTP: {0}")]
    Malformed(&'static str),
    /// The body is larger than [`MAX_BODY`].
    #[error("a body over {} bytes", MAX_BODY)]
    TooLarge,
    /// The head is larger than [`MAX_HEAD`].
    #[error("a head over {} bytes", MAX_HEAD)]
    HeadTooLarge,
    /// No buffer is free for the body.
    #[error("no buffer is free")]
    NoBuffer,
}

impl HttpError {
    /// The status of the response to a request that can't be read on.
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::TooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::NoBuffer => 503,
        }
    }
}
