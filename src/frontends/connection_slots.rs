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
const FRESH: Nanos = 200_000_000;

/// What a connection without an open request is doing, in the order in which they have to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// It has asked nothing yet, and nothing has come.
    Silent,
    /// It has asked nothing yet, and a part of a request has come.
    Begun,
    /// It asked before.
    Idle,
    /// It asked before, and a part of a further request has come.
    Reading,
}

const KINDS: [Kind; 4] = [Kind::Silent, Kind::Begun, Kind::Idle, Kind::Reading];

#[derive(Debug, Default)]
struct Held {
    /// A query of it was taken.
    proven: bool,
    /// What it is doing, and since when; nothing while a request is open.
    doing: Option<(Kind, Nanos)>,
}

/// The places of one front's clients.
#[derive(Debug)]
pub struct ConnectionSlots {
    most: usize,
    most_proven: usize,
    proven: usize,
    idle: Nanos,
    held: HashMap<ConnId, Held>,
    /// The connections of each kind, the longest waiting first.
    waiting: [BTreeSet<(Nanos, ConnId)>; 4],
}

impl ConnectionSlots {
    /// So many places, of which so many for who has asked. Those may stay without asking for the time `idle`.
    pub fn new(most: usize, most_proven: usize, idle: Nanos) -> ConnectionSlots {
        ConnectionSlots {
            most,
            most_proven,
            proven: 0,
            idle,
            held: HashMap::new(),
            waiting: Default::default(),
        }
    }

    /// From now on there are so many places, of which so many for who has asked.
    pub fn set_limits(&mut self, most: usize, most_proven: usize) {
        (self.most, self.most_proven) = (most, most_proven);
    }

    /// How many places there are.
    pub fn max_connections(&self) -> usize {
        self.most
    }

    /// A connection was accepted.
    pub fn add(&mut self, conn: ConnId, now: Nanos) {
        self.held.insert(conn, Held::default());
        self.set(conn, Some((Kind::Silent, now)));
    }

    /// A connection is gone.
    pub fn remove(&mut self, conn: ConnId) {
        self.set(conn, None);
        if self.held.remove(&conn).is_some_and(|h| h.proven) {
            self.proven -= 1;
        }
    }

    /// A query of it was taken: until that is answered it is not closed.
    pub fn query_admitted(&mut self, conn: ConnId) {
        self.set(conn, None);
        if let Some(held) = self.held.get_mut(&conn) {
            self.proven += usize::from(!std::mem::replace(&mut held.proven, true));
        }
    }

    /// A part of a request is in.
    pub fn partial_request(&mut self, conn: ConnId, now: Nanos) {
        let Some(held) = self.held.get(&conn) else { return };
        let doing = match held.doing {
            Some((Kind::Silent, since)) => (Kind::Begun, since),
            Some((Kind::Idle, _)) => (Kind::Reading, now),
            Some(same) => same,
            None => (Kind::Reading, now),
        };
        self.set(conn, Some(doing));
    }

    /// A request of it was answered, and nothing of a further one is in.
    pub fn request_answered(&mut self, conn: ConnId, now: Nanos) {
        let Some(held) = self.held.get(&conn) else { return };
        let kind = if held.proven { Kind::Idle } else { Kind::Silent };
        self.set(conn, Some((kind, now)));
    }

    /// Whether it has only just come to wait for a request: the first may be on its way.
    pub fn is_fresh(&self, conn: ConnId, now: Nanos) -> bool {
        let doing = self.held.get(&conn).and_then(|h| h.doing);
        doing.is_some_and(|(kind, since)| kind == Kind::Silent && now < since + FRESH)
    }

    /// A connection whose time is over.
    pub fn overdue(&self, now: Nanos) -> Option<ConnId> {
        let firsts = KINDS.iter().filter_map(|k| Some((k, self.waiting[*k as usize].first()?)));
        firsts.into_iter().find(|(k, (since, _))| since + self.limit(**k) <= now).map(|(_, (_, conn))| *conn)
    }

    /// When one will be.
    pub fn due(&self) -> Option<Nanos> {
        KINDS.iter().filter_map(|k| Some(self.waiting[*k as usize].first()?.0 + self.limit(*k))).min()
    }

    /// Who has to go for another connection's sake; nobody while all have open requests.
    pub fn eviction_candidate(&self) -> Option<ConnId> {
        self.waiting.iter().find_map(|w| w.first()).map(|(_, conn)| *conn)
    }

    /// Whether nothing was ever asked on it or a request is coming in: a close alone would leave that unanswered.
    pub fn may_have_request(&self, conn: ConnId) -> bool {
        let doing = self.held.get(&conn).and_then(|h| h.doing);
        doing.is_some_and(|(kind, _)| kind != Kind::Idle)
    }

    /// Who has to go because too many who have asked are held: the one idle for longest.
    ///
    /// Guards clients that may hold only so many connections in all: one that asks once and stays would keep
    /// the next from asking.
    pub fn excess_idle(&self) -> Option<ConnId> {
        let idle = self.waiting[Kind::Idle as usize].first().filter(|_| self.proven > self.most_proven);
        idle.map(|(_, conn)| *conn)
    }

    /// Who has to go so that a buffer becomes free: one that holds a part of a request.
    pub fn buffer_holder(&self, but: ConnId) -> Option<ConnId> {
        let kinds = [Kind::Begun, Kind::Reading].into_iter();
        let mut conns = kinds.flat_map(|k| self.waiting[k as usize].iter().map(|(_, conn)| *conn));
        conns.find(|conn| *conn != but)
    }

    fn limit(&self, kind: Kind) -> Nanos {
        if kind == Kind::Idle { self.idle } else { REQUEST_TIMEOUT }
    }

    fn set(&mut self, conn: ConnId, doing: Option<(Kind, Nanos)>) {
        let Some(held) = self.held.get_mut(&conn) else { return };
        if let Some((kind, since)) = std::mem::replace(&mut held.doing, doing) {
            self.waiting[kind as usize].remove(&(since, conn));
        }
        if let Some((kind, since)) = doing {
            self.waiting[kind as usize].insert((since, conn));
        }
    }
}
