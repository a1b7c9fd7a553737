//! Limits on client connections: how long a client may take to send a request, and which connection is closed
//! when there are too many.
//!
//! Protects regular clients from large numbers of connections that send nothing, send part of a request, or
//! send one request and stay open. Those are closed first, beginning with the one that was silent for
//! longest.

use crate::api::Nanos;
use crate::net::ConnId;
use std::collections::{BTreeSet, HashMap};

/// Time within which a request must be received completely, ns. It starts when the connection is accepted or,
/// for a later request, at its first byte.
pub const REQUEST_TIMEOUT: Nanos = 2_500_000_000;

/// How long the first request of a silent connection is assumed to be in transit, ns.
const FIRST_REQUEST_GRACE: Nanos = 200_000_000;

/// What a connection without an open request is waiting for. Connections are closed in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitState {
    /// No query was admitted on it, and nothing of the next request has been received.
    Silent,
    /// No query was admitted on it, and part of the next request has been received.
    FirstPartial,
    /// A query was admitted on it, and nothing of the next request has been received.
    Idle,
    /// A query was admitted on it, and part of the next request has been received.
    NextPartial,
}

const WAIT_STATES: [WaitState; 4] =
    [WaitState::Silent, WaitState::FirstPartial, WaitState::Idle, WaitState::NextPartial];

#[derive(Debug, Default)]
struct Slot {
    /// Whether a query was admitted on it.
    has_queried: bool,
    /// What it waits for, and since when. `None` while a request is open.
    wait: Option<(WaitState, Nanos)>,
}

/// The open client connections of one frontend, and their limits.
#[derive(Debug)]
pub struct ConnectionSlots {
    max_connections: usize,
    max_queried: usize,
    queried: usize,
    idle_timeout: Nanos,
    slots: HashMap<ConnId, Slot>,
    /// The connections in each wait state, the longest waiting first.
    waiting: [BTreeSet<(Nanos, ConnId)>; 4],
}

impl ConnectionSlots {
    /// Allows `max_connections` connections, of which `max_queried` may have had a query admitted. Those may
    /// be idle for `idle_timeout`.
    pub fn new(max_connections: usize, max_queried: usize, idle_timeout: Nanos) -> ConnectionSlots {
        ConnectionSlots {
            max_connections,
            max_queried,
            queried: 0,
            idle_timeout,
            slots: HashMap::new(),
            waiting: Default::default(),
        }
    }

    /// Changes the limits on all connections and on those on which a query was admitted.
    pub fn set_limits(&mut self, max_connections: usize, max_queried: usize) {
        (self.max_connections, self.max_queried) = (max_connections, max_queried);
    }

    /// Maximum number of connections.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Adds a connection that was accepted.
    pub fn add(&mut self, conn: ConnId, now: Nanos) {
        self.slots.insert(conn, Slot::default());
        self.set(conn, Some((WaitState::Silent, now)));
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, conn: ConnId) {
        self.set(conn, None);
        if self.slots.remove(&conn).is_some_and(|h| h.has_queried) {
            self.queried -= 1;
        }
    }

    /// Records that a query was admitted on it. It is not closed until the query is answered.
    pub fn query_admitted(&mut self, conn: ConnId) {
        self.set(conn, None);
        if let Some(slot) = self.slots.get_mut(&conn) {
            self.queried += usize::from(!std::mem::replace(&mut slot.has_queried, true));
        }
    }

    /// Records that part of a request was received.
    pub fn partial_request(&mut self, conn: ConnId, now: Nanos) {
        let Some(slot) = self.slots.get(&conn) else { return };
        let wait = match slot.wait {
            Some((WaitState::Silent, since)) => (WaitState::FirstPartial, since),
            Some((WaitState::Idle, _)) => (WaitState::NextPartial, now),
            Some(same) => same,
            None => (WaitState::NextPartial, now),
        };
        self.set(conn, Some(wait));
    }

    /// Records that a request was answered and that nothing of a further one has been received.
    pub fn request_answered(&mut self, conn: ConnId, now: Nanos) {
        let Some(slot) = self.slots.get(&conn) else { return };
        let state = if slot.has_queried { WaitState::Idle } else { WaitState::Silent };
        self.set(conn, Some((state, now)));
    }

    /// Whether it began to wait for its first request so recently that the request may be in transit.
    pub fn is_fresh(&self, conn: ConnId, now: Nanos) -> bool {
        let wait = self.slots.get(&conn).and_then(|h| h.wait);
        wait.is_some_and(|(state, since)| state == WaitState::Silent && now < since + FIRST_REQUEST_GRACE)
    }

    /// A connection that exceeds its time limit.
    pub fn overdue(&self, now: Nanos) -> Option<ConnId> {
        let longest_waiting =
            WAIT_STATES.iter().filter_map(|s| Some((s, self.waiting[*s as usize].first()?)));
        longest_waiting
            .into_iter()
            .find(|(s, (since, _))| since + self.timeout(**s) <= now)
            .map(|(_, (_, conn))| *conn)
    }

    /// When the next connection exceeds its time limit.
    pub fn next_deadline(&self) -> Option<Nanos> {
        WAIT_STATES.iter().filter_map(|s| Some(self.waiting[*s as usize].first()?.0 + self.timeout(*s))).min()
    }

    /// The connection to close in favour of another. `None` while all have open requests.
    pub fn eviction_candidate(&self) -> Option<ConnId> {
        self.waiting.iter().find_map(|w| w.first()).map(|(_, conn)| *conn)
    }

    /// Whether no query was admitted on it or a request is being received. If it is closed without a
    /// response, that request stays unanswered.
    pub fn may_have_request(&self, conn: ConnId) -> bool {
        let wait = self.slots.get(&conn).and_then(|h| h.wait);
        wait.is_some_and(|(state, _)| state != WaitState::Idle)
    }

    /// The connection that was idle for longest, if too many connections on which a query was admitted are
    /// open.
    ///
    /// Clients may be limited in their total number of connections: connections that stay open after one
    /// request would keep further ones from being opened.
    pub fn excess_idle(&self) -> Option<ConnId> {
        let idle = self.waiting[WaitState::Idle as usize].first().filter(|_| self.queried > self.max_queried);
        idle.map(|(_, conn)| *conn)
    }

    /// The connection to close to free a buffer: one other than `except` that holds part of a request.
    pub fn buffer_holder(&self, except: ConnId) -> Option<ConnId> {
        let states = [WaitState::FirstPartial, WaitState::NextPartial].into_iter();
        let mut conns = states.flat_map(|s| self.waiting[s as usize].iter().map(|(_, conn)| *conn));
        conns.find(|conn| *conn != except)
    }

    fn timeout(&self, state: WaitState) -> Nanos {
        if state == WaitState::Idle { self.idle_timeout } else { REQUEST_TIMEOUT }
    }

    fn set(&mut self, conn: ConnId, wait: Option<(WaitState, Nanos)>) {
        let Some(slot) = self.slots.get_mut(&conn) else { return };
        if let Some((state, since)) = std::mem::replace(&mut slot.wait, wait) {
            self.waiting[state as usize].remove(&(since, conn));
        }
        if let Some((state, since)) = wait {
            self.waiting[state as usize].insert((since, conn));
        }
    }
}
