//! The server side: connections to shard servers, which carry calls out and outcomes back.

use super::RequestContext;
use super::frame::{self, End, FromServer, PartLine};
use crate::api::{Nanos, Outcome, ReplicaId};
use crate::engine::{AttemptId, AttemptOutcome, AttemptRequest};
use crate::net::{ConnId, NetEvent, Offer, PollLoop, QueueFull, ReadOutcome};
use crate::server::FrontendContext;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// A connection on which calls went out and nothing came back for so long is closed once nothing is out on it.
/// Guards against a peer that vanished: nothing says so, and its connection stays open.
const SILENCE_TIMEOUT: Nanos = 4_000_000_000;

type Context<'a> = FrontendContext<'a, RequestContext, String>;

/// A frame must be in whole so soon after its first byte. Guards against lengths that promise more than comes:
/// the connection stays open, and nothing sent on it gets an answer.
const FRAME_TIMEOUT: Nanos = 300_000_000;
/// A connection with a part of a frame for so long gets no new call meanwhile.
const PARTIAL_FRAME_GRACE: Nanos = 30_000_000;

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Most given-up parts of one connection whose answers are still known as such.
const MAX_CANCELLED: usize = 256;

/// Limits on connections to shard servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLimits {
    /// Parts that one connection carries at once.
    pub streams: usize,
    /// A connection that is not up by then never comes up.
    pub dial_timeout: Nanos,
    /// The peer closes a connection that was idle for so long.
    pub idle_timeout: Nanos,
    /// A connection on which calls went out and nothing came back for so long gets no further call. Guards
    /// against one that fell silent while its server is well: dialling shows whether that is there.
    pub silence_timeout: Nanos,
    /// Most connections, all servers together. Beyond them the one that has been unused for longest makes room.
    pub max_connections: usize,
}

/// A part that travels on a connection.
struct PartInFlight {
    attempt: AttemptId,
    id: String,
    /// Bytes written on the connection once its frame's last byte is.
    end: u64,
}

/// A call that waits for its connection to come up, or to take what was written before.
struct QueuedCall {
    since: Nanos,
    parts: Vec<AttemptRequest<RequestContext>>,
}

struct Link {
    replica: ReplicaId,
    addr: SocketAddr,
    /// Calls of which nothing was handed to the connection yet: what is given up meanwhile never leaves.
    queued_calls: VecDeque<QueuedCall>,
    in_flight: Vec<PartInFlight>,
    /// Parts that were given up and may still be answered.
    cancelled: VecDeque<String>,
    /// Since when a part of a frame has been waiting for its rest.
    partial_since: Option<Nanos>,
    /// Until when it must be up; none once it is.
    dial_deadline: Option<Nanos>,
    last_used: Nanos,
    /// When a call was first written since anything was last read.
    unanswered_since: Option<Nanos>,
    /// Where the frames of attempts end that are not known to be written whole, and how many attempts each carries.
    unwritten: VecDeque<(u64, u64)>,
}

impl Link {
    /// Parts that travel on it, or wait to.
    fn load(&self) -> usize {
        self.in_flight.len() + self.queued_calls.iter().map(|w| w.parts.len()).sum::<usize>()
    }

    /// So many bytes are written: attempts that are whole among them now, each told once.
    fn take_written(&mut self, flushed: u64) -> u64 {
        let mut attempts = 0;
        while let Some((_, n)) = self.unwritten.pop_front_if(|(end, _)| *end <= flushed) {
            attempts += n;
        }
        attempts
    }
}

/// All connections to shard servers.
pub struct Upstream {
    owner: u8,
    limits: UpstreamLimits,
    addrs: HashMap<ReplicaId, SocketAddr>,
    links: BTreeMap<ConnId, Link>,
    by_attempt: HashMap<AttemptId, ConnId>,
    dialled: u64,
}

impl Upstream {
    /// The server side whose connections carry the mark `owner`.
    pub fn new(owner: u8, limits: UpstreamLimits) -> Upstream {
        let (addrs, links, by_attempt) = (HashMap::new(), BTreeMap::new(), HashMap::new());
        Upstream { owner, limits, addrs, links, by_attempt, dialled: 0 }
    }

    /// Connections that are open or coming up.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// From now on there are at most so many connections.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.limits.max_connections = max_connections;
    }

    /// Where a server is to be reached from now on; none: nowhere.
    pub fn set_address(&mut self, replica: ReplicaId, addr: Option<SocketAddr>) {
        match addr {
            Some(addr) => self.addrs.insert(replica, addr),
            None => self.addrs.remove(&replica),
        };
    }

    /// Sends one call.
    pub fn call(
        &mut self,
        replica: ReplicaId,
        parts: Vec<AttemptRequest<RequestContext>>,
        context: &mut Context,
    ) {
        let conn = match self.open_link(replica, parts.len(), context) {
            Ok(conn) => conn,
            Err(outcome) => {
                for p in &parts {
                    context.engine.attempt_ended(context.now, p.attempt, failed(outcome));
                }
                return;
            }
        };
        for p in &parts {
            self.by_attempt.insert(p.attempt, conn);
            context.engine.attempt_queued(p.attempt);
        }
        if let Some(link) = self.links.get_mut(&conn) {
            link.queued_calls.push_back(QueuedCall { since: context.now, parts });
        }
        self.write(conn, context);
    }

    /// Writes the calls that wait for this connection, for as long as it takes all that it is given.
    fn write(&mut self, conn: ConnId, context: &mut Context) {
        while let Some(link) = self.links.get_mut(&conn) {
            if link.dial_deadline.is_some() || !context.net.is_flushed(conn) {
                return;
            }
            let Some(QueuedCall { since, mut parts }) = link.queued_calls.pop_front() else { return };
            parts.retain(|p| {
                let begun = context.engine.begin_attempt(context.now, p.attempt);
                if !begun {
                    self.by_attempt.remove(&p.attempt);
                }
                begun
            });
            if parts.is_empty() {
                continue;
            }
            let waited = context.now.saturating_sub(since);
            let ids: Vec<String> = parts.iter().map(|p| format!("{}.{}", p.payload.id, p.shard)).collect();
            let lines = parts.iter().zip(&ids).map(|(p, id)| PartLine {
                id,
                shard: p.shard,
                wait_ms: (p.timeout.saturating_sub(waited) / 1_000_000).max(1),
                text: &p.payload.text,
            });
            let message = frame::call(&lines.collect::<Vec<_>>());
            match context.net.offer(conn, &message) {
                Ok(Offer::Begun) => {}
                // Guards what a call may not begin after: it is looked at again once the connection takes some.
                Ok(Offer::NotBegun) => {
                    parts.iter().for_each(|p| context.engine.attempt_deferred(p.attempt));
                    link.queued_calls.push_front(QueuedCall { since, parts });
                    return;
                }
                Err(QueueFull) => {
                    tracing::warn!("call not sent: the connection takes no more");
                    for p in &parts {
                        self.by_attempt.remove(&p.attempt);
                        context.engine.attempt_ended(context.now, p.attempt, failed(Outcome::ConnectFailed));
                    }
                    continue;
                }
            }
            let (end, flushed) = (context.net.queued(conn), context.net.flushed(conn));
            link.unwritten.push_back((end, parts.len() as u64));
            context.engine.attempts_written(link.take_written(flushed));
            link.last_used = context.now;
            link.unanswered_since.get_or_insert(context.now);
            for (p, id) in parts.iter().zip(ids) {
                tracing::debug!(
                    part = %id,
                    server = link.replica.0,
                    addr = %link.addr,
                    waited_ms = waited / NANOS_PER_MILLI,
                    unwritten_bytes = end - flushed,
                    "attempt is written to its server"
                );
                link.in_flight.push(PartInFlight { attempt: p.attempt, id, end });
            }
        }
    }

    /// The same as `link`, for one that its server has not closed while it rested. Guards against a call that is written
    /// after the peer's end has come and before the poll was asked for it: it would count as one that may have run.
    fn open_link(
        &mut self,
        replica: ReplicaId,
        parts: usize,
        context: &mut Context,
    ) -> Result<ConnId, Outcome> {
        loop {
            let conn = self.select_link(replica, parts, context.now, context.net)?;
            if self.links.get(&conn).is_some_and(|l| l.dial_deadline.is_none() && l.load() == 0) {
                self.read(conn, context);
            }
            if self.links.contains_key(&conn) {
                return Ok(conn);
            }
        }
    }

    /// A connection with room for so many parts: the fullest that is up, else one that is coming up, else new.
    /// What this broker has no place for is its own want: it tells nothing of the server.
    fn select_link(
        &mut self,
        replica: ReplicaId,
        parts: usize,
        now: Nanos,
        net: &mut PollLoop,
    ) -> Result<ConnId, Outcome> {
        let addr = *self.addrs.get(&replica).ok_or(Outcome::ConnectFailed)?;
        let is_responsive = |l: &Link| {
            l.unanswered_since.is_none_or(|t| now < t + self.limits.silence_timeout)
                && l.partial_since.is_none_or(|t| now < t + PARTIAL_FRAME_GRACE)
        };
        let has_room =
            |l: &Link| is_responsive(l) && (l.load() == 0 || l.load() + parts <= self.limits.streams);
        let candidates =
            self.links.iter().filter(|(_, l)| l.replica == replica && l.addr == addr && has_room(l));
        if let Some((conn, _)) = candidates.max_by_key(|(_, l)| (l.dial_deadline.is_none(), l.load())) {
            return Ok(*conn);
        }
        if self.links.len() >= self.limits.max_connections && !self.close_least_recent(net) {
            tracing::warn!("no connection to a shard server: {} are in use", self.links.len());
            return Err(Outcome::NotSent);
        }
        match net.dial(addr, self.owner) {
            Ok(conn) => {
                self.dialled += 1;
                tracing::debug!("dialled {addr}, connection {} to shard servers", self.dialled);
                let dial_deadline = Some(now + self.limits.dial_timeout);
                let link = Link {
                    replica,
                    addr,
                    queued_calls: VecDeque::new(),
                    in_flight: Vec::new(),
                    cancelled: VecDeque::new(),
                    partial_since: None,
                    dial_deadline,
                    last_used: now,
                    unanswered_since: None,
                    unwritten: VecDeque::new(),
                };
                self.links.insert(conn, link);
                Ok(conn)
            }
            // The system's word on a socket of ours: nothing has reached the server.
            Err(e) => {
                tracing::warn!("can't dial {addr}: {e}");
                Err(Outcome::NotSent)
            }
        }
    }

    /// Closes the connection that has carried nothing for longest. False while all are in use.
    fn close_least_recent(&mut self, net: &mut PollLoop) -> bool {
        let unused = self.links.iter().filter(|(_, l)| l.load() == 0);
        let Some(conn) = unused.min_by_key(|(_, l)| l.last_used).map(|(conn, _)| *conn) else { return false };
        if let Some(link) = self.links.remove(&conn) {
            tracing::debug!("connection to shard server {} closed to make room", link.addr);
        }
        net.close(conn);
        true
    }

    /// Tells the shard server that nobody waits for a part.
    pub fn cancel_attempt(&mut self, attempt: AttemptId, net: &mut PollLoop) {
        let Some(conn) = self.by_attempt.remove(&attempt) else { return };
        let Some(link) = self.links.get_mut(&conn) else { return };
        if let Some(at) = link.in_flight.iter().position(|r| r.attempt == attempt) {
            let in_flight = link.in_flight.remove(at);
            let _ = net.send(conn, &frame::cancel(&in_flight.id));
            if link.cancelled.len() >= MAX_CANCELLED {
                link.cancelled.pop_front();
            }
            link.cancelled.push_back(in_flight.id);
        } else {
            link.queued_calls.iter_mut().for_each(|w| w.parts.retain(|p| p.attempt != attempt));
            link.queued_calls.retain(|w| !w.parts.is_empty());
        }
    }

    /// Takes in what happened on one of its connections.
    pub fn event(&mut self, event: NetEvent, context: &mut Context) {
        match event {
            NetEvent::Connected { conn, .. } => {
                if let Some(link) = self.links.get_mut(&conn) {
                    link.dial_deadline = None;
                }
                self.write(conn, context);
            }
            NetEvent::Readable { conn, .. } => self.read(conn, context),
            NetEvent::Broken { conn, flushed, .. } => self.broken(conn, flushed, context),
            NetEvent::Flushed { conn, .. } => {
                let flushed = context.net.flushed(conn);
                if let Some(link) = self.links.get_mut(&conn) {
                    context.engine.attempts_written(link.take_written(flushed));
                }
                self.write(conn, context);
            }
            NetEvent::Accepted { .. } | NetEvent::Datagrams { .. } | NetEvent::Signal(_) => {}
        }
    }

    fn read(&mut self, conn: ConnId, context: &mut Context) {
        while self.links.contains_key(&conn) {
            match context.net.fill(conn) {
                ReadOutcome::Read(_) => {
                    if let Some(link) = self.links.get_mut(&conn) {
                        link.unanswered_since = None;
                    }
                    self.read_frames(conn, context);
                }
                ReadOutcome::WouldBlock | ReadOutcome::NoBuffer => return,
                ReadOutcome::BufferFull => {
                    return self.close_invalid(conn, "a frame larger than a buffer", context);
                }
                ReadOutcome::Closed => return self.close(conn, context),
            }
        }
    }

    fn read_frames(&mut self, conn: ConnId, context: &mut Context) {
        loop {
            let Some(link) = self.links.get_mut(&conn) else { return };
            let data = context.net.data(conn);
            let size = match frame::read(data) {
                Ok(None) => {
                    link.partial_since =
                        (!data.is_empty()).then(|| link.partial_since.unwrap_or(context.now));
                    return;
                }
                Ok(Some((size, FromServer::Answer { id, end, utilization, value }))) => {
                    link.partial_since = None;
                    let at = link.in_flight.iter().position(|r| r.id == id);
                    // Guards clients against a value that ends too early: what is left of it is no frame.
                    if at.is_some() && !frame::may_start(&data[size..]) {
                        return self.close_invalid(conn, "an answer with more behind it", context);
                    }
                    if let Some(at) = at {
                        let attempt = link.in_flight.remove(at).attempt;
                        link.last_used = context.now;
                        self.by_attempt.remove(&attempt);
                        let outcome = match end {
                            End::Ok => Outcome::Ok,
                            End::Error => Outcome::Error,
                            End::Rejected => Outcome::Rejected,
                        };
                        let value = (end == End::Ok).then(|| value.to_owned());
                        context.engine.attempt_ended(
                            context.now,
                            attempt,
                            AttemptOutcome { outcome, utilization, value },
                        );
                    } else if let Some(late) = link.cancelled.iter().position(|g| g == id) {
                        link.cancelled.remove(late);
                    } else {
                        // Who answers what was not asked, or twice, is not to be believed in the rest.
                        return self.close_invalid(conn, "an answer to nothing that is out", context);
                    }
                    size
                }
                Ok(Some((_, FromServer::Unusable(message)))) => {
                    let message = String::from_utf8_lossy(&message[..message.len().min(200)]);
                    tracing::error!("shard server {} could not use a frame: {message:?}", link.addr);
                    return self.close(conn, context);
                }
                Err(e) => return self.close_invalid(conn, &e.to_string(), context),
            };
            context.net.consume(conn, size);
        }
    }

    /// Closes a connection on which something came that can't be used: what is out on it may have run, and no
    /// answer to it can be told from the rest.
    fn close_invalid(&mut self, conn: ConnId, why: &str, context: &mut Context) {
        if let Some(link) = self.links.get(&conn) {
            tracing::error!("shard server connection to {} closed: {why}", link.addr);
        }
        let flushed = context.net.flushed(conn);
        context.net.close(conn);
        self.end_attempts(conn, flushed, Outcome::InvalidResponse, context);
    }

    fn close(&mut self, conn: ConnId, context: &mut Context) {
        let flushed = context.net.flushed(conn);
        context.net.close(conn);
        self.broken(conn, flushed, context);
    }

    /// A part whose frame was not written whole never ran; any other may have.
    fn broken(&mut self, conn: ConnId, flushed: u64, context: &mut Context) {
        self.end_attempts(conn, flushed, Outcome::ConnectionReset, context);
    }

    /// Ends all that is out on a connection. One connection is told of once: what else may have run there is
    /// only not waited for any more.
    fn end_attempts(&mut self, conn: ConnId, flushed: u64, mut why: Outcome, context: &mut Context) {
        let Some(mut link) = self.links.remove(&conn) else { return };
        context.engine.attempts_written(link.take_written(flushed));
        for p in link.queued_calls.into_iter().flat_map(|w| w.parts) {
            self.by_attempt.remove(&p.attempt);
            context.engine.attempt_ended(context.now, p.attempt, failed(Outcome::ConnectFailed));
        }
        for r in link.in_flight {
            self.by_attempt.remove(&r.attempt);
            let written = flushed >= r.end;
            let outcome = if written { why } else { Outcome::ConnectFailed };
            tracing::debug!("attempt at {} ended with its connection: {outcome:?}", link.addr);
            context.engine.attempt_ended(context.now, r.attempt, failed(outcome));
            why = if written { Outcome::Cancelled } else { why };
        }
    }

    /// Ends dials that take too long, and connections before the peer closes them as idle.
    pub fn tick(&mut self, context: &mut Context) {
        let has_moved = |l: &Link| l.load() == 0 && self.addrs.get(&l.replica) != Some(&l.addr);
        let has_expired = |l: &Link| self.deadline(l) <= context.now || has_moved(l);
        let ended: Vec<ConnId> = self.links.iter().filter(|(_, l)| has_expired(l)).map(|(c, _)| *c).collect();
        for conn in ended {
            if self
                .links
                .get(&conn)
                .is_some_and(|l| l.partial_since.is_some_and(|t| t + FRAME_TIMEOUT <= context.now))
            {
                self.close_invalid(conn, "a frame whose rest does not come", context);
            } else {
                self.close(conn, context);
            }
        }
    }

    fn deadline(&self, l: &Link) -> Nanos {
        let idle = l.last_used + self.limits.idle_timeout / 10 * 9;
        match (l.dial_deadline, l.partial_since) {
            (Some(t), _) => t,
            (None, Some(t)) => t + FRAME_TIMEOUT,
            (None, None) if l.load() > 0 => Nanos::MAX,
            (None, None) => l.unanswered_since.map_or(idle, |t| idle.min(t + SILENCE_TIMEOUT)),
        }
    }

    /// When `tick` is next worth calling.
    pub fn due(&self) -> Option<Nanos> {
        self.links.values().map(|l| self.deadline(l)).min().filter(|t| *t < Nanos::MAX)
    }
}

fn failed(outcome: Outcome) -> AttemptOutcome<String> {
    AttemptOutcome { outcome, utilization: None, value: None }
}
