//! What one client connection may use before the others get their turn.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

/// Most reads in one turn.
const MAX_READS: usize = 4;
/// Most requests that are handled in one turn. A buffer holds thousands of short ones.
const MAX_REQUESTS: usize = 16;
/// Most requests that are read in one turn only to be refused later, which costs little.
const MAX_REFUSALS: usize = 256;

/// The reads and requests that are left of a connection's turn in one iteration of the event loop.
#[derive(Debug)]
pub struct Turn {
    reads_left: usize,
    requests_left: usize,
    refusals_left: usize,
}

impl Default for Turn {
    fn default() -> Turn {
        Turn { reads_left: MAX_READS, requests_left: MAX_REQUESTS, refusals_left: MAX_REFUSALS }
    }
}

impl Turn {
    /// Takes one read. Returns false if none is left.
    pub fn take_read(&mut self) -> bool {
        take(&mut self.reads_left)
    }

    /// Takes one request. Returns false if none is left.
    pub fn take_request(&mut self) -> bool {
        take(&mut self.requests_left)
    }

    /// Takes one request that is read to be refused later. Returns false if none is left.
    pub fn take_refusal(&mut self) -> bool {
        take(&mut self.refusals_left)
    }

    /// Whether no request is left. What has been read stays buffered until the next turn.
    pub fn is_over(&self) -> bool {
        self.requests_left == 0 || self.refusals_left == 0
    }
}

fn take(left: &mut usize) -> bool {
    let has_some = *left > 0;
    *left = left.saturating_sub(1);
    has_some
}
