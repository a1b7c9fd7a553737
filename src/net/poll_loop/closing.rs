//! Closing of connections: at once, after the output queue is written, or after lingering so that the peer
//! can read the last message.

use super::PollLoop;
use crate::api::Nanos;
use crate::net::connection::Origin;
use crate::net::event::ConnId;

/// How long a connection lingers, ns, for the peer to read the last message.
const LINGER_TIMEOUT: Nanos = 400_000_000;

/// A lingering connection, and the time of its next check.
#[derive(Debug)]
pub(super) struct LingerCheck {
    conn: ConnId,
    due: Nanos,
}

impl PollLoop {
    /// Closes a connection at once.
    pub fn close(&mut self, id: ConnId) {
        let Some(c) = self.sources.remove_connection(self.poll.registry(), id) else { return };
        if c.origin == Origin::Accepted {
            self.accept_limits.on_closed(c.class);
        }
        self.closing_after_flush -= usize::from(c.is_closing());
    }

    /// Closes a connection once its output queue is written.
    pub fn close_after_flush(&mut self, id: ConnId) {
        let Some(c) = self.sources.connection_mut(id).filter(|c| !c.is_closing()) else { return };
        c.close_after_flush();
        let all_written = c.all_written();
        self.closing_after_flush += 1;
        if all_written {
            self.close(id);
        }
    }

    /// Closes a connection once its output queue is written and the peer has had time to read it, even if the
    /// peer is still sending: closing a socket with unread input resets the connection, and data that the
    /// peer has not received is lost.
    pub fn close_lingering(&mut self, id: ConnId, now: Nanos) {
        let Some(c) = self.sources.connection_mut(id).filter(|c| !c.is_closing()) else { return };
        c.linger();
        self.closing_after_flush += 1;
        self.lingering.push_back(LingerCheck { conn: id, due: now + LINGER_TIMEOUT });
        self.flush(id);
        let Some(c) = self.sources.connection_mut(id) else { return };
        c.start_linger_timer(now);
        // Input that has already arrived triggers no further event.
        if !c.discard() {
            self.close(id);
        }
    }

    /// Closes the first lingering connection in the queue whose last message is written. Returns whether
    /// there was one.
    pub fn close_oldest_lingering(&mut self) -> bool {
        for _ in 0..self.lingering.len() {
            let Some(check) = self.lingering.pop_front() else { break };
            let Some(c) = self.sources.connection(check.conn) else { continue };
            if c.all_written() {
                self.close(check.conn);
                return true;
            }
            self.lingering.push_back(check);
        }
        false
    }

    /// Closes lingering connections that have timed out, so that peers that read nothing don't use up the
    /// connection limit. The time-out restarts while bytes of the last message are still being written.
    pub fn tick(&mut self, now: Nanos) {
        while let Some(LingerCheck { conn, .. }) = self.lingering.pop_front_if(|check| check.due <= now) {
            let Some(c) = self.sources.connection_mut(conn) else { continue };
            if c.extend_linger(now) {
                self.lingering.push_back(LingerCheck { conn, due: now + LINGER_TIMEOUT });
            } else {
                self.close(conn);
            }
        }
    }

    /// When `tick` has to be called next.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.lingering.front().map(|check| check.due)
    }
}
