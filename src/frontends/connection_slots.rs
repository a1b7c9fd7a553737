//! The places for client connections: how long a client may take to ask, and who has to go when there are no
//! more places.
//!
//! Guards the usual clients against crowds that connect and say nothing, send half a request, or ask once and
//! stay: those are closed first, the longest silent before all others.

use crate::api::Nanos;
use crate::net::ConnId;
use std::collections::{BTreeSet, HashMap};

/// Time in which a request must be in whole, from the connection's start or from the first byte of a further
/// request.
pub const REQUEST_TIMEOUT: Nanos = 2_500_000_000;

/// How long a new connection counts as one whose first request is on its way.
const FIRST_REQUEST_GRACE: Nanos = 200_000_000;

/// What a connection without an open request is doing, in the order in which they have to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitState {
    /// It has asked nothing yet, and nothing has come.
    Silent,
    /// It has asked nothing yet, and a part of a request has come.
    FirstPartial,
    /// It asked before.
    Idle,
    /// It asked before, and a part of a further request has come.
    NextPartial,
}

const WAIT_STATES: [WaitState; 4] =
    [WaitState::Silent, WaitState::FirstPartial, WaitState::Idle, WaitState::NextPartial];

#[derive(Debug, Default)]
struct Slot {
    /// A query of it was taken.
    has_queried: bool,
    /// What it is doing, and since when; nothing while a request is open.
    wait: Option<(WaitState, Nanos)>,
}

/// The places of one front's clients.
#[derive(Debug)]
pub struct ConnectionSlots {
    max_connections: usize,
    max_queried: usize,
    queried: usize,
    idle_timeout: Nanos,
    slots: HashMap<ConnId, Slot>,
    /// The connections of each kind, the longest waiting first.
    waiting: [BTreeSet<(Nanos, ConnId)>; 4],
}

impl ConnectionSlots {
    /// So many places, of which so many for who has asked. Those may stay without asking for the time `idle`.
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

    /// From now on there are so many places, of which so many for who has asked.
    pub fn set_limits(&mut self, max_connections: usize, max_queried: usize) {
        (self.max_connections, self.max_queried) = (max_connections, max_queried);
    }

    /// How many places there are.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// A connection was accepted.
    pub fn add(&mut self, conn: ConnId, now: Nanos) {
        self.slots.insert(conn, Slot::default());
        self.set(conn, Some((WaitState::Silent, now)));
    }

    /// A connection is gone.
    pub fn remove(&mut self, conn: ConnId) {
        self.set(conn, None);
        if self.slots.remove(&conn).is_some_and(|h| h.has_queried) {
            self.queried -= 1;
        }
    }

    /// A query of it was taken: until that is answered it is not closed.
    pub fn query_admitted(&mut self, conn: ConnId) {
        self.set(conn, None);
        if let Some(slot) = self.slots.get_mut(&conn) {
            self.queried += usize::from(!std::mem::replace(&mut slot.has_queried, true));
        }
    }

    /// A part of a request is in.
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

    /// A request of it was answered, and nothing of a further one is in.
    pub fn request_answered(&mut self, conn: ConnId, now: Nanos) {
        let Some(slot) = self.slots.get(&conn) else { return };
        let state = if slot.has_queried { WaitState::Idle } else { WaitState::Silent };
        self.set(conn, Some((state, now)));
    }

    /// Whether it has only just come to wait for a request: the first may be on its way.
    pub fn is_fresh(&self, conn: ConnId, now: Nanos) -> bool {
        let wait = self.slots.get(&conn).and_then(|h| h.wait);
        wait.is_some_and(|(state, since)| state == WaitState::Silent && now < since + FIRST_REQUEST_GRACE)
    }

    /// A connection whose time is over.
    pub fn overdue(&self, now: Nanos) -> Option<ConnId> {
        let longest_waiting =
            WAIT_STATES.iter().filter_map(|s| Some((s, self.waiting[*s as usize].first()?)));
        longest_waiting
            .into_iter()
            .find(|(s, (since, _))| since + self.timeout(**s) <= now)
            .map(|(_, (_, conn))| *conn)
    }

    /// When one will be.
    pub fn due(&self) -> Option<Nanos> {
        WAIT_STATES.iter().filter_map(|s| Some(self.waiting[*s as usize].first()?.0 + self.timeout(*s))).min()
    }

    /// Who has to go for another connection's sake; nobody while all have open requests.
    pub fn eviction_candidate(&self) -> Option<ConnId> {
        self.waiting.iter().find_map(|w| w.first()).map(|(_, conn)| *conn)
    }

    /// Whether nothing was ever asked on it or a request is coming in: a close alone would leave that unanswered.
    pub fn may_have_request(&self, conn: ConnId) -> bool {
        let wait = self.slots.get(&conn).and_then(|h| h.wait);
        wait.is_some_and(|(state, _)| state != WaitState::Idle)
    }

    /// Who has to go because too many who have asked are held: the one idle for longest.
    ///
    /// Guards clients that may hold only so many connections in all: one that asks once and stays would keep
    /// the next from asking.
    pub fn excess_idle(&self) -> Option<ConnId> {
        let idle = self.waiting[WaitState::Idle as usize].first().filter(|_| self.queried > self.max_queried);
        idle.map(|(_, conn)| *conn)
    }

    /// Who has to go so that a buffer becomes free: one that holds a part of a request.
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
