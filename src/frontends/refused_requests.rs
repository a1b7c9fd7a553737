//! Requests that a client has pipelined behind a pending one, beyond what its buffer holds.
//!
//! They are read, so that the end of the connection behind them is seen, and each is refused in its turn.
//! Otherwise a client that has left with much unread would be served as if it were still there.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use super::turn::Turn;
use crate::http::{HttpError, Reader};
use crate::net::Pool;

/// The requests of one connection that are to be refused.
#[derive(Debug, Default)]
pub struct RefusedRequests {
    /// Number of requests that were read and not refused yet.
    count: usize,
    /// Why the request behind them can't be read.
    error: Option<HttpError>,
}

impl RefusedRequests {
    /// Whether there is anything to answer before the next request is read.
    pub fn is_empty(&self) -> bool {
        self.count == 0 && self.error.is_none()
    }

    /// Reads and counts the complete requests in `data`, as many as the turn allows. Returns how many bytes were
    /// used. A request that is the last of its connection is left in `reader` until its turn.
    pub fn read(&mut self, reader: &mut Reader, data: &[u8], pool: &Pool, turn: &mut Turn) -> usize {
        let mut used = 0;
        while self.error.is_none() && !turn.is_over() {
            if reader.is_done() {
                if reader.head().is_some_and(|head| !head.keep_alive) {
                    break;
                }
                reader.reset();
                self.count += 1;
                turn.take_refusal();
            }
            match reader.advance(&data[used..], pool) {
                Ok(0) if !reader.is_done() => break,
                Ok(n) => used += n,
                Err(HttpError::NoBuffer) => break,
                Err(e) => self.error = Some(e),
            }
        }
        used
    }

    /// Takes the next request to refuse. Returns false if none is left.
    pub fn take(&mut self) -> bool {
        let has_one = self.count > 0;
        self.count = self.count.saturating_sub(1);
        has_one
    }

    /// Takes the error with which reading ended, once all requests before it are refused.
    pub fn take_error(&mut self) -> Option<HttpError> {
        self.error.take_if(|_| self.count == 0)
    }
}
