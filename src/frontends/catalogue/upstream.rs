//! The server side: index nodes that speak SRU or Z39.50, a few connections to each, one search at a time
//! on a connection.

use super::node_session::{Step, Talk, Task};
use super::plan::{PartValue, SearchPayload};
use crate::api::{Nanos, Outcome, ReplicaId};
use crate::config::{Limits, Protocol};
use crate::engine::{AttemptId, AttemptOutcome, AttemptRequest};
use crate::membership::NodeChange;
use crate::net::{ConnId, NetEvent, PollLoop, ReadOutcome};
use crate::server::FrontendContext;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// How long the answer to a given-up search is awaited before its connection is closed.
const ABANDONED: Nanos = 2_000_000_000;

type Catalogue<'a> = FrontendContext<'a, SearchPayload, PartValue>;

/// A part that waits for a free connection.
struct Waiting {
    attempt: AttemptId,
    task: Task,
}

/// A part that was sent.
struct Riding {
    /// Nothing once it is given up.
    attempt: Option<AttemptId>,
    /// Bytes written on the connection once its request's last byte is.
    end: u64,
    /// Its request is known to be written whole.
    written: bool,
    given_up: Nanos,
}

struct Link {
    replica: ReplicaId,
    talk: Talk,
    riding: Option<Riding>,
    /// Until when it must be ready; none once it is.
    ready_by: Option<Nanos>,
    used: Nanos,
}

struct Place {
    id: String,
    addr: SocketAddr,
    protocol: Protocol,
    waiting: VecDeque<Waiting>,
}

/// All index nodes and the connections to them.
pub struct Nodes {
    owner: u8,
    places: BTreeMap<ReplicaId, Place>,
    links: BTreeMap<ConnId, Link>,
    by_attempt: HashMap<AttemptId, ConnId>,
    database: String,
    limits: Limits,
    /// Most connections, all nodes together.
    most: usize,
    /// Parts that waited for a node that is gone.
    orphaned: Vec<AttemptId>,
}

impl Nodes {
    /// The server side whose connections, `most` at most, carry the mark `owner`.
    pub fn new(owner: u8, database: &str, limits: Limits, most: usize) -> Nodes {
        Nodes {
            owner,
            places: BTreeMap::new(),
            links: BTreeMap::new(),
            by_attempt: HashMap::new(),
            database: database.into(),
            limits,
            most,
            orphaned: Vec::new(),
        }
    }

    /// Connections that are open or coming up.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// From now on there are at most so many connections.
    pub fn keep_to(&mut self, most: usize) {
        self.most = most;
    }

    /// Learns where a node is, or that it is gone. What was sent there may still be answered.
    pub fn place(&mut self, change: &NodeChange) {
        let replica = change.entry.replica;
        match (change.addr, Protocol::named(&change.kind)) {
            (Some(addr), Some(protocol)) => {
                let id = change.id.clone();
                let waiting = self.places.remove(&replica).map(|p| p.waiting).unwrap_or_default();
                self.places.insert(replica, Place { id, addr, protocol, waiting });
            }
            _ => {
                if let Some(place) = self.places.remove(&replica) {
                    self.orphaned.extend(place.waiting.into_iter().map(|w| w.attempt));
                }
            }
        }
    }

    /// Sends the parts of one call.
    pub fn call(
        &mut self,
        replica: ReplicaId,
        parts: Vec<AttemptRequest<SearchPayload>>,
        hands: &mut Catalogue,
    ) {
        for p in parts {
            let Some(run) = p.payload.ranges.iter().find(|r| r.partition == p.shard) else { continue };
            let database = self.database.replace("{partition}", &p.shard.to_string());
            let task = Task::new(p.payload.search.clone(), database, run.start, run.count, self.limits.page);
            match self.places.get_mut(&replica) {
                Some(place) => place.waiting.push_back(Waiting { attempt: p.attempt, task }),
                None => self.orphaned.push(p.attempt),
            }
        }
        self.feed(replica, hands);
    }

    /// Hands waiting parts to free connections, and dials where there are too few.
    fn feed(&mut self, replica: ReplicaId, hands: &mut Catalogue) {
        loop {
            let Some(place) = self.places.get_mut(&replica) else { return };
            if place.waiting.is_empty() {
                return;
            }
            let ours = || self.links.iter().filter(|(_, l)| l.replica == replica);
            let free = ours().find(|(_, l)| l.ready_by.is_none() && l.riding.is_none()).map(|(c, _)| *c);
            let (all, coming) = (ours().count(), ours().filter(|(_, l)| l.ready_by.is_some()).count());
            let Some(conn) = free else {
                if coming >= place.waiting.len() || all >= self.limits.connections_per_node {
                    return;
                }
                if !self.dial(replica, hands) {
                    return self.fail_waiting(replica, Outcome::ConnectFailed, hands);
                }
                continue;
            };
            let (Some(next), Some(link)) = (place.waiting.pop_front(), self.links.get_mut(&conn)) else {
                return;
            };
            let attempt = next.attempt;
            match link.talk.begin(next.task) {
                // No node that speaks this protocol can answer the search.
                Err(d) => hands.engine.attempt_ended(hands.now, attempt, done(Ok(Err(d)))),
                Ok(message) => {
                    link.used = hands.now;
                    if hands.net.send(conn, &message).is_err() {
                        hands.engine.attempt_ended(hands.now, attempt, done(Err(Outcome::ConnectFailed)));
                        self.close(conn, hands);
                        continue;
                    }
                    let end = hands.net.queued(conn);
                    link.riding = Some(Riding { attempt: Some(attempt), end, written: false, given_up: 0 });
                    self.by_attempt.insert(attempt, conn);
                    let flushed = hands.net.flushed(conn);
                    self.written(conn, flushed, hands);
                }
            }
        }
    }

    /// So many bytes are written: an attempt whose request is whole among them is told once.
    fn written(&mut self, conn: ConnId, flushed: u64, hands: &mut Catalogue) {
        let riding = self.links.get_mut(&conn).and_then(|l| l.riding.as_mut());
        if let Some(riding) = riding.filter(|r| flushed >= r.end && !r.written) {
            riding.written = true;
            hands.engine.attempts_written(1);
        }
    }

    fn dial(&mut self, replica: ReplicaId, hands: &mut Catalogue) -> bool {
        // Guards the limit on descriptors: another node's idle connection makes room, else there is none.
        if self.links.len() >= self.most && !self.close_idlest(hands) {
            tracing::warn!("no connection to a node: {} are open", self.links.len());
            return false;
        }
        let Some(place) = self.places.get(&replica) else { return false };
        match hands.net.dial(place.addr, self.owner) {
            Ok(conn) => {
                let talk = Talk::new(place.protocol, place.addr.to_string());
                let ready_by = Some(hands.now + self.limits.dial_timeout_ms * 1_000_000);
                self.links.insert(conn, Link { replica, talk, riding: None, ready_by, used: hands.now });
                true
            }
            Err(e) => {
                tracing::warn!("node {} can't be dialled: {e}", place.id);
                false
            }
        }
    }

    fn close_idlest(&mut self, hands: &mut Catalogue) -> bool {
        let idle = self.links.iter().filter(|(_, l)| l.ready_by.is_none() && l.riding.is_none());
        let Some(conn) = idle.min_by_key(|(_, l)| l.used).map(|(c, _)| *c) else { return false };
        self.say_goodbye(conn, hands);
        true
    }

    /// Ends a connection on which nothing is out.
    fn say_goodbye(&mut self, conn: ConnId, hands: &mut Catalogue) {
        let link = self.links.get(&conn);
        if let Some(message) = link.filter(|l| l.riding.is_none()).and_then(|l| l.talk.farewell()) {
            let _ = hands.net.send(conn, &message);
        }
        self.close(conn, hands);
    }

    fn fail_waiting(&mut self, replica: ReplicaId, outcome: Outcome, hands: &mut Catalogue) {
        let Some(place) = self.places.get_mut(&replica) else { return };
        for w in place.waiting.drain(..) {
            hands.engine.attempt_ended(hands.now, w.attempt, done(Err(outcome)));
        }
    }

    /// Nobody waits for a part any more. Neither protocol can say so; its answer will be dropped.
    pub fn give_up(&mut self, replica: ReplicaId, attempt: AttemptId, now: Nanos) {
        if let Some(place) = self.places.get_mut(&replica) {
            place.waiting.retain(|w| w.attempt != attempt);
        }
        let conn = self.by_attempt.remove(&attempt);
        if let Some(r) = conn.and_then(|c| self.links.get_mut(&c)).and_then(|l| l.riding.as_mut()) {
            (r.attempt, r.given_up) = (None, now);
        }
    }

    /// Takes in what happened on one of its connections.
    pub fn event(&mut self, event: NetEvent, hands: &mut Catalogue) {
        match event {
            NetEvent::Connected { conn, .. } => {
                let Some(link) = self.links.get_mut(&conn) else { return };
                match link.talk.greeting() {
                    Some(greeting) if hands.net.send(conn, &greeting).is_err() => self.close(conn, hands),
                    Some(_) => {}
                    None => self.ready(conn, hands),
                }
            }
            NetEvent::Readable { conn, .. } => self.read(conn, hands),
            NetEvent::Broken { conn, flushed, .. } => self.broken(conn, flushed, hands),
            NetEvent::Flushed { conn, .. } => {
                let flushed = hands.net.flushed(conn);
                self.written(conn, flushed, hands);
            }
            NetEvent::Accepted { .. } | NetEvent::Datagrams { .. } | NetEvent::Signal(_) => {}
        }
    }

    fn ready(&mut self, conn: ConnId, hands: &mut Catalogue) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.ready_by = None;
            let replica = link.replica;
            self.feed(replica, hands);
        }
    }

    fn read(&mut self, conn: ConnId, hands: &mut Catalogue) {
        while self.links.contains_key(&conn) {
            match hands.net.fill(conn) {
                ReadOutcome::Read(_) => self.work(conn, hands),
                ReadOutcome::WouldBlock | ReadOutcome::NoBuffer => return,
                ReadOutcome::BufferFull => {
                    return self.drop_link(conn, "an answer larger than a buffer", hands);
                }
                ReadOutcome::Closed => {
                    let step = self.links.get_mut(&conn).and_then(|l| l.talk.end());
                    if let Some(Step::Done(value)) = step {
                        self.done(conn, value, hands);
                    }
                    return self.close(conn, hands);
                }
            }
        }
    }

    fn work(&mut self, conn: ConnId, hands: &mut Catalogue) {
        loop {
            let Some(link) = self.links.get_mut(&conn) else { return };
            let pool = hands.net.pool().clone();
            let (used, step) = match link.talk.take(hands.net.data(conn), &pool) {
                Ok(taken) => taken,
                Err(why) => return self.drop_link(conn, &why.0, hands),
            };
            hands.net.consume(conn, used);
            match step {
                Step::Wait => return,
                Step::Ready => self.ready(conn, hands),
                Step::Send(message) => {
                    // What nobody waits for is not read on.
                    let given_up = link.riding.as_ref().is_none_or(|r| r.attempt.is_none());
                    if given_up || hands.net.send(conn, &message).is_err() {
                        return self.close(conn, hands);
                    }
                }
                Step::Done(value) => {
                    self.done(conn, value, hands);
                    if self.links.get(&conn).is_some_and(|l| l.talk.is_over()) {
                        return self.close(conn, hands);
                    }
                    if let Some(replica) = self.links.get(&conn).map(|l| l.replica) {
                        self.feed(replica, hands);
                    }
                }
            }
        }
    }

    fn done(&mut self, conn: ConnId, value: Result<PartValue, Outcome>, hands: &mut Catalogue) {
        let Some(link) = self.links.get_mut(&conn) else { return };
        link.used = hands.now;
        if let Some(attempt) = link.riding.take().and_then(|r| r.attempt) {
            self.by_attempt.remove(&attempt);
            hands.engine.attempt_ended(hands.now, attempt, done(value));
        }
    }

    fn drop_link(&mut self, conn: ConnId, why: &str, hands: &mut Catalogue) {
        if let Some(place) = self.links.get(&conn).and_then(|l| self.places.get(&l.replica)) {
            tracing::warn!("connection to node {} closed: {why}", place.id);
        }
        hands.net.close(conn);
        self.ended(conn, Outcome::InvalidResponse, hands);
    }

    fn close(&mut self, conn: ConnId, hands: &mut Catalogue) {
        let flushed = hands.net.flushed(conn);
        hands.net.close(conn);
        self.broken(conn, flushed, hands);
    }

    /// A part whose request was not written whole never ran; any other may have. Where no connection came
    /// up, what waits for one could not connect.
    fn broken(&mut self, conn: ConnId, flushed: u64, hands: &mut Catalogue) {
        self.written(conn, flushed, hands);
        let end = self.links.get(&conn).and_then(|l| l.riding.as_ref()).map_or(0, |r| r.end);
        let outcome = if flushed >= end { Outcome::ConnectionReset } else { Outcome::ConnectFailed };
        self.ended(conn, outcome, hands);
    }

    fn ended(&mut self, conn: ConnId, outcome: Outcome, hands: &mut Catalogue) {
        let Some(link) = self.links.remove(&conn) else { return };
        if let Some(attempt) = link.riding.and_then(|r| r.attempt) {
            self.by_attempt.remove(&attempt);
            hands.engine.attempt_ended(hands.now, attempt, done(Err(outcome)));
        }
        // Guards what waits against dials that never come up: while two were under way, each that failed used to
        // make room for another, for as long as the query lasted.
        let up = self.links.values().any(|l| l.replica == link.replica && l.ready_by.is_none());
        if link.ready_by.is_some() && !up {
            self.fail_waiting(link.replica, Outcome::ConnectFailed, hands);
        } else {
            self.feed(link.replica, hands);
        }
    }

    /// Ends dials that take too long, answers that nobody waits for, and connections that stand idle.
    pub fn tick(&mut self, hands: &mut Catalogue) {
        let now = hands.now;
        let ended: Vec<ConnId> =
            self.links.iter().filter(|(_, l)| self.ends(l) <= now).map(|(c, _)| *c).collect();
        for conn in ended {
            self.say_goodbye(conn, hands);
        }
        for attempt in std::mem::take(&mut self.orphaned) {
            hands.engine.attempt_ended(now, attempt, done(Err(Outcome::ConnectFailed)));
        }
    }

    fn ends(&self, l: &Link) -> Nanos {
        match (l.ready_by, &l.riding) {
            (Some(t), _) => t,
            (None, Some(Riding { attempt: None, given_up, .. })) => given_up + ABANDONED,
            (None, Some(_)) => Nanos::MAX,
            // Nothing more goes to a node that is gone.
            (None, None) if !self.places.contains_key(&l.replica) => 0,
            (None, None) => l.used + self.limits.node_idle_s * 1_000_000_000,
        }
    }

    /// When `tick` is next worth calling.
    pub fn due(&self) -> Option<Nanos> {
        let orphaned = (!self.orphaned.is_empty()).then_some(0);
        let ends = self.links.values().map(|l| self.ends(l)).min().filter(|t| *t < Nanos::MAX);
        orphaned.or(ends)
    }

    /// Says goodbye on all connections.
    pub fn farewell(&mut self, net: &mut PollLoop) {
        for (conn, link) in std::mem::take(&mut self.links) {
            if let Some(message) = link.talk.farewell() {
                let _ = net.send(conn, &message);
            }
            net.close_after_flush(conn);
        }
    }
}

fn done(value: Result<PartValue, Outcome>) -> AttemptOutcome<PartValue> {
    match value {
        Ok(value) => AttemptOutcome { outcome: Outcome::Ok, utilization: None, value: Some(value) },
        Err(outcome) => AttemptOutcome { outcome, utilization: None, value: None },
    }
}
