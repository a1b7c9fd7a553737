//! Fixed-size buffers, reused from a bounded pool.

use std::cell::RefCell;
use std::rc::Rc;

/// Largest body of a message, bytes: bounds the memory that a peer can make this process hold for a message.
pub const MAX_BODY: usize = 64 * 1024;
/// Largest head of a message, bytes.
pub const MAX_HEAD: usize = 8 * 1024;
/// Default size of a buffer, bytes: fits one whole message.
pub const BUFFER_SIZE: usize = MAX_BODY + MAX_HEAD;

#[derive(Debug)]
struct PoolState {
    free: Vec<Box<[u8]>>,
    in_use: usize,
    limit: usize,
    /// Size of one buffer, bytes.
    size: usize,
}

/// Most unused buffers that a pool caches; any more are freed.
const MAX_FREE_BUFFERS: usize = 32;

/// A bounded pool of buffers. Clones share its state.
#[derive(Clone, Debug)]
pub struct Pool(Rc<RefCell<PoolState>>);

impl Pool {
    /// A pool that hands out at most `limit` buffers at once.
    pub fn new(limit: usize) -> Pool {
        Pool::with_buffer_size(limit, BUFFER_SIZE)
    }

    /// A pool that hands out at most `limit` buffers of `size` bytes at once, for peers that send short
    /// messages.
    pub fn with_buffer_size(limit: usize, size: usize) -> Pool {
        Pool(Rc::new(RefCell::new(PoolState { free: Vec::new(), in_use: 0, limit, size })))
    }

    /// A pool whose buffers take at most `bytes` in total, or 16 buffers if those take more.
    pub fn with_byte_limit(bytes: usize) -> Pool {
        Pool::new((bytes / BUFFER_SIZE).max(16))
    }

    /// An empty buffer, or `None` while all are in use. A dropped buffer returns to the pool.
    pub fn take(&self) -> Option<Buf> {
        let mut state = self.0.borrow_mut();
        if state.in_use >= state.limit {
            return None;
        }
        state.in_use += 1;
        let size = state.size;
        let bytes = state.free.pop().unwrap_or_else(|| vec![0; size].into_boxed_slice());
        Some(Buf { bytes, start: 0, end: 0, state: self.0.clone() })
    }

    /// An empty buffer for an untrusted peer, or `None` while three quarters of the limit are in use.
    pub fn take_for_untrusted(&self) -> Option<Buf> {
        let has_free = {
            let state = self.0.borrow();
            state.in_use < state.limit - state.limit / 4
        };
        if has_free { self.take() } else { None }
    }

    /// Number of buffers in use.
    pub fn in_use(&self) -> usize {
        self.0.borrow().in_use
    }
}

/// A buffer: bytes are appended at the end and consumed from the start.
#[derive(Debug)]
pub struct Buf {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
    state: Rc<RefCell<PoolState>>,
}

impl Buf {
    /// The bytes that were appended and not yet consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Number of bytes that can still be appended.
    pub fn remaining_capacity(&self) -> usize {
        self.bytes.len() - (self.end - self.start)
    }

    /// The unused space after the data, [`remaining_capacity`](Buf::remaining_capacity) bytes long. Moves the
    /// data to the front first.
    pub fn spare_capacity_mut(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        &mut self.bytes[self.end..]
    }

    /// Marks the first `n` bytes of [`spare_capacity_mut`](Buf::spare_capacity_mut) as data.
    pub fn commit(&mut self, n: usize) {
        self.end = (self.end + n).min(self.bytes.len());
    }

    /// Appends as much of `from` as fits, and returns the number of bytes appended.
    pub fn push(&mut self, from: &[u8]) -> usize {
        let n = from.len().min(self.remaining_capacity());
        self.spare_capacity_mut()[..n].copy_from_slice(&from[..n]);
        self.commit(n);
        n
    }

    /// Drops `n` bytes from the start.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
        }
    }
}

impl Drop for Buf {
    fn drop(&mut self) {
        let bytes = std::mem::take(&mut self.bytes);
        let mut state = self.state.borrow_mut();
        state.in_use -= 1;
        if state.free.len() < MAX_FREE_BUFFERS {
            state.free.push(bytes);
        }
    }
}
