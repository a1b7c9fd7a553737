//! The server side: connections to shard servers, which carry calls out and outcomes back.

use super::RequestContext;
use super::frame::{self, End, FromServer, PartLine};
use crate::api::{Nanos, Outcome, ReplicaId};
use crate::engine::{AttemptId, AttemptOutcome, AttemptRequest};
use crate::net::{ConnId, NetEvent, Offer, PollLoop, QueueFull, ReadOutcome};
use crate::server::FrontendContext;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// How long after a call a connection may stay without any data from the server before it is closed, ns. It
/// is closed once no part is in flight on it. This detects a server that vanished without closing the
/// connection.
const SILENCE_TIMEOUT: Nanos = 4_000_000_000;

type Context<'a> = FrontendContext<'a, RequestContext, String>;

/// Time within which a frame must be complete after its first byte, ns. If a length is larger than the data
/// that follows, the connection stays open, but nothing sent on it gets an answer.
const FRAME_TIMEOUT: Nanos = 300_000_000;
/// How long a frame may be incomplete before its connection gets no new calls until it is complete, ns.
const PARTIAL_FRAME_GRACE: Nanos = 30_000_000;

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Maximum number of cancelled parts per connection whose late answers are recognized.
const MAX_CANCELLED: usize = 256;

/// Limits on connections to shard servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLimits {
    /// Maximum number of parts on one connection at a time. A larger call gets a connection without other
    /// parts.
    pub streams: usize,
    /// Time within which a connection must be established, ns.
    pub dial_timeout: Nanos,
    /// Time after which the peer closes an idle connection, ns.
    pub idle_timeout: Nanos,
    /// How long after a call a connection may stay without any data from the server before it gets no further
    /// calls, ns. The connection may have failed while its server works: dialling again shows whether the
    /// server can be reached.
    pub silence_timeout: Nanos,
    /// Maximum number of connections to all servers together. At the limit, the connection that was unused
    /// for longest is closed to make room.
    pub max_connections: usize,
}

/// A part in flight on a connection.
struct PartInFlight {
    attempt: AttemptId,
    id: String,
    /// Offset of its frame's end in the bytes written on the connection.
    end: u64,
}

/// A call that waits until its connection is established or has written the earlier frames.
struct QueuedCall {
    since: Nanos,
    parts: Vec<AttemptRequest<RequestContext>>,
}

struct ServerConnection {
    replica: ReplicaId,
    addr: SocketAddr,
    /// Calls of which nothing was passed to the connection. Parts that are cancelled meanwhile are never
    /// sent.
    queued_calls: VecDeque<QueuedCall>,
    in_flight: Vec<PartInFlight>,
    /// Ids of cancelled parts that may still be answered.
    cancelled: VecDeque<String>,
    /// Since when a received frame is incomplete.
    partial_since: Option<Nanos>,
    /// Until when it must be established; `None` once it is.
    dial_deadline: Option<Nanos>,
    last_used: Nanos,
    /// When the first call since the last read was written.
    unanswered_since: Option<Nanos>,
    /// Frames that are not known to be written completely: the offset of the end, and the number of attempts.
    unwritten: VecDeque<(u64, u64)>,
}

impl ServerConnection {
    /// Parts in flight on it or queued for it.
    fn load(&self) -> usize {
        self.in_flight.len() + self.queued_calls.iter().map(|q| q.parts.len()).sum::<usize>()
    }

    /// The number of attempts whose frames are complete once `flushed` bytes are written. Each attempt is
    /// counted once.
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
    connections: BTreeMap<ConnId, ServerConnection>,
    conn_by_attempt: HashMap<AttemptId, ConnId>,
    dialled: u64,
}

impl Upstream {
    /// The server side whose connections are registered with the poll loop under `owner`.
    pub fn new(owner: u8, limits: UpstreamLimits) -> Upstream {
        let (addrs, connections, conn_by_attempt) = (HashMap::new(), BTreeMap::new(), HashMap::new());
        Upstream { owner, limits, addrs, connections, conn_by_attempt, dialled: 0 }
    }

    /// Number of connections that are open or being established.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Changes the limit on connections.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.limits.max_connections = max_connections;
    }

    /// Sets the address of a server, or removes it.
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
        let conn = match self.open_connection(replica, parts.len(), context) {
            Ok(conn) => conn,
            Err(outcome) => {
                for p in &parts {
                    context.engine.attempt_ended(context.now, p.attempt, failed(outcome));
                }
                return;
            }
        };
        for p in &parts {
            self.conn_by_attempt.insert(p.attempt, conn);
            context.engine.attempt_queued(p.attempt);
        }
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.queued_calls.push_back(QueuedCall { since: context.now, parts });
        }
        self.send_queued(conn, context);
    }

    /// Writes the queued calls of a connection, for as long as each is written completely.
    fn send_queued(&mut self, conn: ConnId, context: &mut Context) {
        while let Some(connection) = self.connections.get_mut(&conn) {
            if connection.dial_deadline.is_some() || !context.net.is_flushed(conn) {
                return;
            }
            let Some(QueuedCall { since, mut parts }) = connection.queued_calls.pop_front() else { return };
            parts.retain(|p| {
                let begun = context.engine.begin_attempt(context.now, p.attempt);
                if !begun {
                    self.conn_by_attempt.remove(&p.attempt);
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
                // The call may no longer be allowed to start once the connection accepts data, so
                // `begin_attempt` is called again then.
                Ok(Offer::NotBegun) => {
                    parts.iter().for_each(|p| context.engine.attempt_deferred(p.attempt));
                    connection.queued_calls.push_front(QueuedCall { since, parts });
                    return;
                }
                Err(QueueFull) => {
                    tracing::warn!("call not sent: the connection's write queue is full");
                    for p in &parts {
                        self.conn_by_attempt.remove(&p.attempt);
                        context.engine.attempt_ended(context.now, p.attempt, failed(Outcome::ConnectFailed));
                    }
                    continue;
                }
            }
            let (end, flushed) = (context.net.queued(conn), context.net.flushed(conn));
            connection.unwritten.push_back((end, parts.len() as u64));
            context.engine.attempts_written(connection.take_written(flushed));
            connection.last_used = context.now;
            connection.unanswered_since.get_or_insert(context.now);
            for (p, id) in parts.iter().zip(ids) {
                tracing::debug!(
                    part = %id,
                    server = connection.replica.0,
                    addr = %connection.addr,
                    waited_ms = waited / NANOS_PER_MILLI,
                    unwritten_bytes = end - flushed,
                    "attempt is written to its server"
                );
                connection.in_flight.push(PartInFlight { attempt: p.attempt, id, end });
            }
        }
    }

    /// Selects a connection as [`Upstream::select_connection`] does, but none that its server closed while it
    /// was idle. Without this check, a call that is written after the close and before the next poll would
    /// count as one that may have run.
    fn open_connection(
        &mut self,
        replica: ReplicaId,
        parts: usize,
        context: &mut Context,
    ) -> Result<ConnId, Outcome> {
        loop {
            let conn = self.select_connection(replica, parts, context.now, context.net)?;
            if self.connections.get(&conn).is_some_and(|c| c.dial_deadline.is_none() && c.load() == 0) {
                self.read(conn, context);
            }
            if self.connections.contains_key(&conn) {
                return Ok(conn);
            }
        }
    }

    /// Selects a connection with room for `parts` parts: the established one with the most parts, else one
    /// that is being established, else a new one. If the broker's own limit prevents a new one, the outcome
    /// is [`Outcome::NotSent`], which does not count against the server.
    fn select_connection(
        &mut self,
        replica: ReplicaId,
        parts: usize,
        now: Nanos,
        net: &mut PollLoop,
    ) -> Result<ConnId, Outcome> {
        let addr = *self.addrs.get(&replica).ok_or(Outcome::ConnectFailed)?;
        let is_responsive = |c: &ServerConnection| {
            c.unanswered_since.is_none_or(|t| now < t + self.limits.silence_timeout)
                && c.partial_since.is_none_or(|t| now < t + PARTIAL_FRAME_GRACE)
        };
        let has_room = |c: &ServerConnection| {
            is_responsive(c) && (c.load() == 0 || c.load() + parts <= self.limits.streams)
        };
        let candidates =
            self.connections.iter().filter(|(_, c)| c.replica == replica && c.addr == addr && has_room(c));
        if let Some((conn, _)) = candidates.max_by_key(|(_, c)| (c.dial_deadline.is_none(), c.load())) {
            return Ok(*conn);
        }
        if self.connections.len() >= self.limits.max_connections && !self.close_longest_idle(net) {
            tracing::warn!(
                "no connection to a shard server available: {} are in use",
                self.connections.len()
            );
            return Err(Outcome::NotSent);
        }
        match net.dial(addr, self.owner) {
            Ok(conn) => {
                self.dialled += 1;
                tracing::debug!("dialled {addr}, connection {} to shard servers", self.dialled);
                let dial_deadline = Some(now + self.limits.dial_timeout);
                let connection = ServerConnection {
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
                self.connections.insert(conn, connection);
                Ok(conn)
            }
            // A local error of the operating system: nothing has reached the server.
            Err(e) => {
                tracing::warn!("can't dial {addr}: {e}");
                Err(Outcome::NotSent)
            }
        }
    }

    /// Closes the connection that was unused for longest. Returns false if all are in use.
    fn close_longest_idle(&mut self, net: &mut PollLoop) -> bool {
        let unused = self.connections.iter().filter(|(_, c)| c.load() == 0);
        let Some(conn) = unused.min_by_key(|(_, c)| c.last_used).map(|(conn, _)| *conn) else { return false };
        if let Some(connection) = self.connections.remove(&conn) {
            tracing::debug!("connection to shard server {} closed to make room", connection.addr);
        }
        net.close(conn);
        true
    }

    /// Cancels an attempt. The shard server is notified if the attempt was written.
    pub fn cancel_attempt(&mut self, attempt: AttemptId, net: &mut PollLoop) {
        let Some(conn) = self.conn_by_attempt.remove(&attempt) else { return };
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        if let Some(at) = connection.in_flight.iter().position(|r| r.attempt == attempt) {
            let in_flight = connection.in_flight.remove(at);
            let _ = net.send(conn, &frame::cancel(&in_flight.id));
            if connection.cancelled.len() >= MAX_CANCELLED {
                connection.cancelled.pop_front();
            }
            connection.cancelled.push_back(in_flight.id);
        } else {
            connection.queued_calls.iter_mut().for_each(|q| q.parts.retain(|p| p.attempt != attempt));
            connection.queued_calls.retain(|q| !q.parts.is_empty());
        }
    }

    /// Handles an event of one of the connections.
    pub fn on_event(&mut self, event: NetEvent, context: &mut Context) {
        match event {
            NetEvent::Connected { conn, .. } => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.dial_deadline = None;
                }
                self.send_queued(conn, context);
            }
            NetEvent::Readable { conn, .. } => self.read(conn, context),
            NetEvent::Broken { conn, flushed, .. } => self.on_broken(conn, flushed, context),
            NetEvent::Flushed { conn, .. } => {
                let flushed = context.net.flushed(conn);
                if let Some(connection) = self.connections.get_mut(&conn) {
                    context.engine.attempts_written(connection.take_written(flushed));
                }
                self.send_queued(conn, context);
            }
            NetEvent::Accepted { .. } | NetEvent::Datagrams { .. } | NetEvent::Signal(_) => {}
        }
    }

    fn read(&mut self, conn: ConnId, context: &mut Context) {
        while self.connections.contains_key(&conn) {
            match context.net.fill(conn) {
                ReadOutcome::Read(_) => {
                    if let Some(connection) = self.connections.get_mut(&conn) {
                        connection.unanswered_since = None;
                    }
                    self.process_input(conn, context);
                }
                ReadOutcome::WouldBlock | ReadOutcome::NoBuffer => return,
                ReadOutcome::BufferFull => {
                    return self.close_on_error(conn, "a frame is larger than the buffer", context);
                }
                ReadOutcome::Closed => return self.close(conn, context),
            }
        }
    }

    fn process_input(&mut self, conn: ConnId, context: &mut Context) {
        loop {
            let Some(connection) = self.connections.get_mut(&conn) else { return };
            let data = context.net.data(conn);
            let size = match frame::read(data) {
                Ok(None) => {
                    connection.partial_since =
                        (!data.is_empty()).then(|| connection.partial_since.unwrap_or(context.now));
                    return;
                }
                Ok(Some((size, FromServer::Answer { id, end, utilization, value }))) => {
                    connection.partial_since = None;
                    let at = connection.in_flight.iter().position(|r| r.id == id);
                    // If the length is too small, the value is truncated and its remainder is no valid frame.
                    // Clients must not receive such a value.
                    if at.is_some() && !frame::may_start(&data[size..]) {
                        return self.close_on_error(conn, "an answer is followed by invalid data", context);
                    }
                    if let Some(at) = at {
                        let attempt = connection.in_flight.remove(at).attempt;
                        connection.last_used = context.now;
                        self.conn_by_attempt.remove(&attempt);
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
                    } else if let Some(late) = connection.cancelled.iter().position(|c| c == id) {
                        connection.cancelled.remove(late);
                    } else {
                        // After an answer to an unknown part, or a second one to the same part, no answer on
                        // this connection is trusted.
                        return self.close_on_error(conn, "an answer belongs to no part in flight", context);
                    }
                    size
                }
                Ok(Some((_, FromServer::Unusable(message)))) => {
                    let message = String::from_utf8_lossy(&message[..message.len().min(200)]);
                    tracing::error!("shard server {} could not use a frame: {message:?}", connection.addr);
                    return self.close(conn, context);
                }
                Err(e) => return self.close_on_error(conn, &e.to_string(), context),
            };
            context.net.consume(conn, size);
        }
    }

    /// Closes a connection on which invalid data was received. The parts in flight on it may have run, and
    /// their answers can't be identified any more.
    fn close_on_error(&mut self, conn: ConnId, why: &str, context: &mut Context) {
        if let Some(connection) = self.connections.get(&conn) {
            tracing::error!("shard server connection to {} closed: {why}", connection.addr);
        }
        let flushed = context.net.flushed(conn);
        context.net.close(conn);
        self.on_closed(conn, flushed, Outcome::InvalidResponse, context);
    }

    fn close(&mut self, conn: ConnId, context: &mut Context) {
        let flushed = context.net.flushed(conn);
        context.net.close(conn);
        self.on_broken(conn, flushed, context);
    }

    /// Handles the loss of a connection. A part whose frame was not written completely did not run; any
    /// other may have.
    fn on_broken(&mut self, conn: ConnId, flushed: u64, context: &mut Context) {
        self.on_closed(conn, flushed, Outcome::ConnectionReset, context);
    }

    /// Ends all attempts on a connection. A failed connection is reported for one attempt only: the other
    /// attempts that may have run are reported as cancelled.
    fn on_closed(&mut self, conn: ConnId, flushed: u64, mut why: Outcome, context: &mut Context) {
        let Some(mut connection) = self.connections.remove(&conn) else { return };
        context.engine.attempts_written(connection.take_written(flushed));
        for p in connection.queued_calls.into_iter().flat_map(|q| q.parts) {
            self.conn_by_attempt.remove(&p.attempt);
            context.engine.attempt_ended(context.now, p.attempt, failed(Outcome::ConnectFailed));
        }
        for r in connection.in_flight {
            self.conn_by_attempt.remove(&r.attempt);
            let written = flushed >= r.end;
            let outcome = if written { why } else { Outcome::ConnectFailed };
            tracing::debug!("attempt at {} ended with its connection: {outcome:?}", connection.addr);
            context.engine.attempt_ended(context.now, r.attempt, failed(outcome));
            why = if written { Outcome::Cancelled } else { why };
        }
    }

    /// Closes connections that exceed a time limit or whose server has moved, and idle ones before the peer
    /// closes them.
    pub fn tick(&mut self, context: &mut Context) {
        let has_moved = |c: &ServerConnection| c.load() == 0 && self.addrs.get(&c.replica) != Some(&c.addr);
        let has_expired = |c: &ServerConnection| self.expires_at(c) <= context.now || has_moved(c);
        let ended: Vec<ConnId> =
            self.connections.iter().filter(|(_, c)| has_expired(c)).map(|(c, _)| *c).collect();
        for conn in ended {
            if self
                .connections
                .get(&conn)
                .is_some_and(|c| c.partial_since.is_some_and(|t| t + FRAME_TIMEOUT <= context.now))
            {
                self.close_on_error(conn, "a frame was not completed in time", context);
            } else {
                self.close(conn, context);
            }
        }
    }

    fn expires_at(&self, c: &ServerConnection) -> Nanos {
        let idle = c.last_used + self.limits.idle_timeout / 10 * 9;
        match (c.dial_deadline, c.partial_since) {
            (Some(t), _) => t,
            (None, Some(t)) => t + FRAME_TIMEOUT,
            (None, None) if c.load() > 0 => Nanos::MAX,
            (None, None) => c.unanswered_since.map_or(idle, |t| idle.min(t + SILENCE_TIMEOUT)),
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.connections.values().map(|c| self.expires_at(c)).min().filter(|t| *t < Nanos::MAX)
    }
}

fn failed(outcome: Outcome) -> AttemptOutcome<String> {
    AttemptOutcome { outcome, utilization: None, value: None }
}
