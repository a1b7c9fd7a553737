//! Buffers of one size, reused from a bounded pool.

use std::cell::RefCell;
use std::rc::Rc;

/// Largest body of a message, bytes: what one side may make the other hold.
pub const MAX_BODY: usize = 64 * 1024;
/// Largest head of a message, bytes.
pub const MAX_HEAD: usize = 8 * 1024;
/// Size of a buffer unless its pool has another, bytes: one whole message.
pub const BUFFER_SIZE: usize = MAX_BODY + MAX_HEAD;

#[derive(Debug)]
struct Supply {
    free: Vec<Box<[u8]>>,
    in_use: usize,
    limit: usize,
    /// Bytes of one buffer.
    size: usize,
}

/// Most unused buffers that are cached; more go back to the system.
const MAX_FREE_BUFFERS: usize = 32;

/// A bounded supply of buffers. Clones share it.
#[derive(Clone, Debug)]
pub struct Pool(Rc<RefCell<Supply>>);

impl Pool {
    /// A pool that hands out at most `limit` buffers at once.
    pub fn new(limit: usize) -> Pool {
        Pool::with_buffer_size(limit, BUFFER_SIZE)
    }

    /// A pool that hands out at most `limit` buffers of `size` bytes at once, for peers whose messages are
    /// short.
    pub fn with_buffer_size(limit: usize, size: usize) -> Pool {
        Pool(Rc::new(RefCell::new(Supply { free: Vec::new(), in_use: 0, limit, size })))
    }

    /// A pool whose buffers take at most `bytes` together, but never fewer than 16 buffers.
    pub fn with_byte_limit(bytes: usize) -> Pool {
        Pool::new((bytes / BUFFER_SIZE).max(16))
    }

    /// An empty buffer; none while all are in use. A dropped buffer returns to the pool.
    pub fn take(&self) -> Option<Buf> {
        let mut supply = self.0.borrow_mut();
        if supply.in_use >= supply.limit {
            return None;
        }
        supply.in_use += 1;
        let size = supply.size;
        let bytes = supply.free.pop().unwrap_or_else(|| vec![0; size].into_boxed_slice());
        Some(Buf { bytes, start: 0, end: 0, supply: self.0.clone() })
    }

    /// An empty buffer for an untrusted peer; none while three quarters are in use.
    pub fn take_for_untrusted(&self) -> Option<Buf> {
        let room = {
            let supply = self.0.borrow();
            supply.in_use < supply.limit - supply.limit / 4
        };
        if room { self.take() } else { None }
    }

    /// Buffers in use.
    pub fn in_use(&self) -> usize {
        self.0.borrow().in_use
    }
}

/// One buffer: bytes are added at the end and consumed from the start.
#[derive(Debug)]
pub struct Buf {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
    supply: Rc<RefCell<Supply>>,
}

impl Buf {
    /// The bytes added and not yet consumed.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Bytes that can still be added.
    pub fn room(&self) -> usize {
        self.bytes.len() - (self.end - self.start)
    }

    /// The space after the data, all of [`room`](Buf::room).
    pub fn space(&mut self) -> &mut [u8] {
        if self.start > 0 {
            self.bytes.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        &mut self.bytes[self.end..]
    }

    /// Counts `n` filled bytes of [`space`](Buf::space) as data.
    pub fn added(&mut self, n: usize) {
        self.end = (self.end + n).min(self.bytes.len());
    }

    /// Adds as much of `from` as fits, and returns how many bytes did.
    pub fn push(&mut self, from: &[u8]) -> usize {
        let n = from.len().min(self.room());
        self.space()[..n].copy_from_slice(&from[..n]);
        self.added(n);
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
        let mut supply = self.supply.borrow_mut();
        supply.in_use -= 1;
        if supply.free.len() < MAX_FREE_BUFFERS {
            supply.free.push(bytes);
        }
    }
}
