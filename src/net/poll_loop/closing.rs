//! Closing of the poll loop's connections: at once, after what was queued, or after a moment for the peer to
//! read.

use super::PollLoop;
use crate::api::Nanos;
use crate::net::connection::Origin;
use crate::net::event::ConnId;

/// How long a peer may take to read the last message before its connection is closed.
const LINGER_TIMEOUT: Nanos = 400_000_000;

/// A lingering connection, and when it is next looked at.
#[derive(Debug)]
pub(super) struct LingerCheck {
    conn: ConnId,
    due: Nanos,
}

impl PollLoop {
    /// Closes at once.
    pub fn close(&mut self, id: ConnId) {
        let Some(c) = self.sources.remove_connection(self.poll.registry(), id) else { return };
        if c.origin == Origin::Accepted {
            self.accept_limits.on_closed(c.class);
        }
        self.closing_after_flush -= usize::from(c.is_closing());
    }

    /// Closes once all that was queued is written.
    pub fn close_after_flush(&mut self, id: ConnId) {
        let Some(c) = self.sources.connection_mut(id).filter(|c| !c.is_closing()) else { return };
        c.close_after_flush();
        let all_written = c.all_written();
        self.closing_after_flush += 1;
        if all_written {
            self.close(id);
        }
    }

    /// Closes once all that was queued is written and the peer has had a moment to read it, even one that is
    /// still sending: a close over unread bytes would take from it what the system still holds.
    pub fn close_lingering(&mut self, id: ConnId, now: Nanos) {
        let Some(c) = self.sources.connection_mut(id).filter(|c| !c.is_closing()) else { return };
        c.linger();
        self.closing_after_flush += 1;
        self.lingering.push_back(LingerCheck { conn: id, due: now + LINGER_TIMEOUT });
        self.flush(id);
        let Some(c) = self.sources.connection_mut(id) else { return };
        c.start_linger_timer(now);
        // What is unread by now makes no further event.
        if !c.discard() {
            self.close(id);
        }
    }

    /// Closes the connection that has been lingering for longest, if there is one whose last message is
    /// written.
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

    /// Closes connections whose peers have had their moment, which runs from when their last message was
    /// written. Guards the places of others against peers that read nothing.
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

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.lingering.front().map(|check| check.due)
    }
}
