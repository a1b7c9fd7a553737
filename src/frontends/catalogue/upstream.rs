//! Upstream connections to index nodes that speak SRU or Z39.50: a few to each node, with one search at a
//! time on each connection.

use super::node_session::{NodeSession, Step, Task};
use super::plan::{PartValue, SearchPayload};
use crate::api::{Nanos, Outcome, ReplicaId};
use crate::config::{Limits, Protocol};
use crate::engine::{AttemptId, AttemptOutcome, AttemptRequest};
use crate::membership::NodeChange;
use crate::net::{ConnId, NetEvent, PollLoop, ReadOutcome};
use crate::server::FrontendContext;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Time within which a cancelled search must be answered before its connection is closed, ns.
const CANCELLED_RESPONSE_TIMEOUT: Nanos = 2_000_000_000;

type Context<'a> = FrontendContext<'a, SearchPayload, PartValue>;

/// A part that is queued until a connection is free.
struct QueuedPart {
    attempt: AttemptId,
    task: Task,
}

/// A part whose request is in flight.
struct PartInFlight {
    /// None once the attempt is cancelled.
    attempt: Option<AttemptId>,
    /// Position of the end of its request among all bytes written on the connection.
    request_end: u64,
    /// Whether the request is known to be written whole.
    written: bool,
    cancelled_at: Nanos,
}

struct NodeConnection {
    replica: ReplicaId,
    session: NodeSession,
    in_flight: Option<PartInFlight>,
    /// When it must be ready at the latest; none once it is ready.
    ready_deadline: Option<Nanos>,
    last_used: Nanos,
}

struct Node {
    id: String,
    addr: SocketAddr,
    protocol: Protocol,
    queue: VecDeque<QueuedPart>,
}

/// All index nodes and the connections to them.
pub struct Upstream {
    owner: u8,
    nodes: BTreeMap<ReplicaId, Node>,
    connections: BTreeMap<ConnId, NodeConnection>,
    conn_by_attempt: HashMap<AttemptId, ConnId>,
    database: String,
    limits: Limits,
    /// Most connections to all nodes together.
    max_connections: usize,
    /// Queued attempts of removed nodes, which fail at the next tick.
    orphaned: Vec<AttemptId>,
}

impl Upstream {
    /// No nodes yet. At most `max_connections` connections are opened, all under `owner` at the poll loop.
    pub fn new(owner: u8, database: &str, limits: Limits, max_connections: usize) -> Upstream {
        Upstream {
            owner,
            nodes: BTreeMap::new(),
            connections: BTreeMap::new(),
            conn_by_attempt: HashMap::new(),
            database: database.into(),
            limits,
            max_connections,
            orphaned: Vec::new(),
        }
    }

    /// Connections that are open or being established.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Limits the number of connections. Open ones are kept.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Adds, updates or removes a node. Requests that were sent to it may still be answered.
    pub fn update_node(&mut self, change: &NodeChange) {
        let replica = change.entry.replica;
        match (change.addr, Protocol::named(&change.kind)) {
            (Some(addr), Some(protocol)) => {
                let id = change.id.clone();
                let queue = self.nodes.remove(&replica).map(|n| n.queue).unwrap_or_default();
                self.nodes.insert(replica, Node { id, addr, protocol, queue });
            }
            _ => {
                if let Some(node) = self.nodes.remove(&replica) {
                    self.orphaned.extend(node.queue.into_iter().map(|q| q.attempt));
                }
            }
        }
    }

    /// Sends the parts of one call.
    pub fn call(
        &mut self,
        replica: ReplicaId,
        parts: Vec<AttemptRequest<SearchPayload>>,
        context: &mut Context,
    ) {
        for p in parts {
            let Some(run) = p.payload.ranges.iter().find(|r| r.partition == p.shard) else { continue };
            let database = self.database.replace("{partition}", &p.shard.to_string());
            let task = Task::new(p.payload.search.clone(), database, run.start, run.count, self.limits.page);
            match self.nodes.get_mut(&replica) {
                Some(node) => node.queue.push_back(QueuedPart { attempt: p.attempt, task }),
                None => self.orphaned.push(p.attempt),
            }
        }
        self.send_queued(replica, context);
    }

    /// Sends queued parts on free connections, and dials further ones where there are too few.
    fn send_queued(&mut self, replica: ReplicaId, context: &mut Context) {
        loop {
            let Some(node) = self.nodes.get_mut(&replica) else { return };
            if node.queue.is_empty() {
                return;
            }
            let to_node = || self.connections.iter().filter(|(_, c)| c.replica == replica);
            let free =
                to_node().find(|(_, c)| c.ready_deadline.is_none() && c.in_flight.is_none()).map(|(c, _)| *c);
            let (total, dialing) =
                (to_node().count(), to_node().filter(|(_, c)| c.ready_deadline.is_some()).count());
            let Some(conn) = free else {
                if dialing >= node.queue.len() || total >= self.limits.connections_per_node {
                    return;
                }
                if !self.dial(replica, context) {
                    return self.fail_queued(replica, Outcome::ConnectFailed, context);
                }
                continue;
            };
            let (Some(next), Some(connection)) = (node.queue.pop_front(), self.connections.get_mut(&conn))
            else {
                return;
            };
            let attempt = next.attempt;
            match connection.session.start(next.task) {
                // No node that speaks this protocol can answer the search.
                Err(d) => context.engine.attempt_ended(context.now, attempt, attempt_outcome(Ok(Err(d)))),
                Ok(message) => {
                    connection.last_used = context.now;
                    if context.net.send(conn, &message).is_err() {
                        context.engine.attempt_ended(
                            context.now,
                            attempt,
                            attempt_outcome(Err(Outcome::ConnectFailed)),
                        );
                        self.close(conn, context);
                        continue;
                    }
                    tracing::debug!(attempt = attempt.0, node = %node.id, ?conn, "search is sent to its node");
                    let request_end = context.net.queued(conn);
                    connection.in_flight = Some(PartInFlight {
                        attempt: Some(attempt),
                        request_end,
                        written: false,
                        cancelled_at: 0,
                    });
                    self.conn_by_attempt.insert(attempt, conn);
                    let flushed = context.net.flushed(conn);
                    self.on_written(conn, flushed, context);
                }
            }
        }
    }

    /// Reports an attempt to the engine, once, when the first `flushed` bytes include its whole request.
    fn on_written(&mut self, conn: ConnId, flushed: u64, context: &mut Context) {
        let in_flight = self.connections.get_mut(&conn).and_then(|c| c.in_flight.as_mut());
        if let Some(in_flight) = in_flight.filter(|r| flushed >= r.request_end && !r.written) {
            in_flight.written = true;
            context.engine.attempts_written(1);
        }
    }

    fn dial(&mut self, replica: ReplicaId, context: &mut Context) -> bool {
        // Keeps to the limit on descriptors: an idle connection to another node is closed first, and without
        // one no connection is opened.
        if self.connections.len() >= self.max_connections && !self.close_longest_idle(context) {
            tracing::warn!(
                "no connection to a node: the limit is reached, {} are open",
                self.connections.len()
            );
            return false;
        }
        let Some(node) = self.nodes.get(&replica) else { return false };
        match context.net.dial(node.addr, self.owner) {
            Ok(conn) => {
                let session = NodeSession::new(node.protocol, node.addr.to_string());
                let ready_deadline = Some(context.now + self.limits.dial_timeout_ms * 1_000_000);
                self.connections.insert(
                    conn,
                    NodeConnection {
                        replica,
                        session,
                        in_flight: None,
                        ready_deadline,
                        last_used: context.now,
                    },
                );
                true
            }
            Err(e) => {
                tracing::warn!("node {} can't be dialled: {e}", node.id);
                false
            }
        }
    }

    fn close_longest_idle(&mut self, context: &mut Context) -> bool {
        let idle =
            self.connections.iter().filter(|(_, c)| c.ready_deadline.is_none() && c.in_flight.is_none());
        let Some(conn) = idle.min_by_key(|(_, c)| c.last_used).map(|(c, _)| *c) else { return false };
        self.close_gracefully(conn, context);
        true
    }

    /// Closes a connection, with the protocol's closing message unless a request is in flight.
    fn close_gracefully(&mut self, conn: ConnId, context: &mut Context) {
        let connection = self.connections.get(&conn);
        if let Some(message) =
            connection.filter(|c| c.in_flight.is_none()).and_then(|c| c.session.closing_message())
        {
            let _ = context.net.send(conn, &message);
        }
        self.close(conn, context);
    }

    fn fail_queued(&mut self, replica: ReplicaId, outcome: Outcome, context: &mut Context) {
        let Some(node) = self.nodes.get_mut(&replica) else { return };
        for q in node.queue.drain(..) {
            context.engine.attempt_ended(context.now, q.attempt, attempt_outcome(Err(outcome)));
        }
    }

    /// Cancels an attempt. Neither protocol can cancel a request that was sent: its response is discarded.
    pub fn cancel_attempt(&mut self, replica: ReplicaId, attempt: AttemptId, now: Nanos) {
        if let Some(node) = self.nodes.get_mut(&replica) {
            node.queue.retain(|q| q.attempt != attempt);
        }
        let conn = self.conn_by_attempt.remove(&attempt);
        if let Some(r) = conn.and_then(|c| self.connections.get_mut(&c)).and_then(|c| c.in_flight.as_mut()) {
            (r.attempt, r.cancelled_at) = (None, now);
        }
    }

    /// Handles an event of a connection to a node.
    pub fn on_event(&mut self, event: NetEvent, context: &mut Context) {
        match event {
            NetEvent::Connected { conn, .. } => {
                let Some(connection) = self.connections.get_mut(&conn) else { return };
                match connection.session.opening_message() {
                    Some(opening_message) if context.net.send(conn, &opening_message).is_err() => {
                        self.close(conn, context)
                    }
                    Some(_) => {}
                    None => self.on_ready(conn, context),
                }
            }
            NetEvent::Readable { conn, .. } => self.read(conn, context),
            NetEvent::Broken { conn, flushed, .. } => self.on_broken(conn, flushed, context),
            NetEvent::Flushed { conn, .. } => {
                let flushed = context.net.flushed(conn);
                self.on_written(conn, flushed, context);
            }
            NetEvent::Accepted { .. } | NetEvent::Datagrams { .. } | NetEvent::Signal(_) => {}
        }
    }

    fn on_ready(&mut self, conn: ConnId, context: &mut Context) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.ready_deadline = None;
            let replica = connection.replica;
            self.send_queued(replica, context);
        }
    }

    fn read(&mut self, conn: ConnId, context: &mut Context) {
        while self.connections.contains_key(&conn) {
            match context.net.fill(conn) {
                ReadOutcome::Read(_) => self.process_input(conn, context),
                ReadOutcome::WouldBlock | ReadOutcome::NoBuffer => return,
                ReadOutcome::BufferFull => {
                    return self.close_on_error(conn, "response exceeds the buffer size", context);
                }
                ReadOutcome::Closed => {
                    let step = self.connections.get_mut(&conn).and_then(|c| c.session.connection_closed());
                    if let Some(Step::Done(value)) = step {
                        self.on_part_done(conn, value, context);
                    }
                    return self.close(conn, context);
                }
            }
        }
    }

    fn process_input(&mut self, conn: ConnId, context: &mut Context) {
        loop {
            let Some(connection) = self.connections.get_mut(&conn) else { return };
            let pool = context.net.pool().clone();
            let (consumed, step) = match connection.session.receive(context.net.data(conn), &pool) {
                Ok(received) => received,
                Err(why) => return self.close_on_error(conn, &why.0, context),
            };
            context.net.consume(conn, consumed);
            match step {
                Step::Wait => return,
                Step::Ready => self.on_ready(conn, context),
                Step::Send(message) => {
                    // Further pages of a cancelled search are not requested.
                    let cancelled = connection.in_flight.as_ref().is_none_or(|r| r.attempt.is_none());
                    if cancelled || context.net.send(conn, &message).is_err() {
                        return self.close(conn, context);
                    }
                }
                Step::Done(value) => {
                    self.on_part_done(conn, value, context);
                    if self.connections.get(&conn).is_some_and(|c| c.session.is_closing()) {
                        return self.close(conn, context);
                    }
                    if let Some(replica) = self.connections.get(&conn).map(|c| c.replica) {
                        self.send_queued(replica, context);
                    }
                }
            }
        }
    }

    fn on_part_done(&mut self, conn: ConnId, value: Result<PartValue, Outcome>, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.last_used = context.now;
        let in_flight = connection.in_flight.take();
        tracing::debug!(
            attempt = in_flight.as_ref().and_then(|r| r.attempt).map(|a| a.0),
            ?conn,
            unread_bytes = context.net.data(conn).len(),
            "node's response is complete"
        );
        if let Some(attempt) = in_flight.and_then(|r| r.attempt) {
            self.conn_by_attempt.remove(&attempt);
            context.engine.attempt_ended(context.now, attempt, attempt_outcome(value));
        }
    }

    fn close_on_error(&mut self, conn: ConnId, why: &str, context: &mut Context) {
        if let Some(node) = self.connections.get(&conn).and_then(|c| self.nodes.get(&c.replica)) {
            tracing::warn!("connection to node {} closed: {why}", node.id);
        }
        context.net.close(conn);
        self.on_closed(conn, Outcome::InvalidResponse, context);
    }

    fn close(&mut self, conn: ConnId, context: &mut Context) {
        let flushed = context.net.flushed(conn);
        context.net.close(conn);
        self.on_broken(conn, flushed, context);
    }

    /// Handles the loss of a connection. A part whose request was not written whole did not run; any other
    /// may have. If the connection was never established and no other is, queued parts fail as well.
    fn on_broken(&mut self, conn: ConnId, flushed: u64, context: &mut Context) {
        self.on_written(conn, flushed, context);
        let request_end =
            self.connections.get(&conn).and_then(|c| c.in_flight.as_ref()).map_or(0, |r| r.request_end);
        let outcome = if flushed >= request_end { Outcome::ConnectionReset } else { Outcome::ConnectFailed };
        self.on_closed(conn, outcome, context);
    }

    fn on_closed(&mut self, conn: ConnId, outcome: Outcome, context: &mut Context) {
        let Some(connection) = self.connections.remove(&conn) else { return };
        if let Some(attempt) = connection.in_flight.and_then(|r| r.attempt) {
            self.conn_by_attempt.remove(&attempt);
            context.engine.attempt_ended(context.now, attempt, attempt_outcome(Err(outcome)));
        }
        // Ends dials to a node that can't be reached. If the queue were kept while another dial is under way,
        // each of two dials that fails would be replaced by another, for as long as the query lasts.
        let has_established =
            self.connections.values().any(|c| c.replica == connection.replica && c.ready_deadline.is_none());
        if connection.ready_deadline.is_some() && !has_established {
            self.fail_queued(connection.replica, Outcome::ConnectFailed, context);
        } else {
            self.send_queued(connection.replica, context);
        }
    }

    /// Closes connections that are not established in time, whose cancelled search is not answered in time,
    /// or that were idle for too long.
    pub fn tick(&mut self, context: &mut Context) {
        let now = context.now;
        let expired: Vec<ConnId> =
            self.connections.iter().filter(|(_, c)| self.expires_at(c) <= now).map(|(c, _)| *c).collect();
        for conn in expired {
            self.close_gracefully(conn, context);
        }
        for attempt in std::mem::take(&mut self.orphaned) {
            context.engine.attempt_ended(now, attempt, attempt_outcome(Err(Outcome::ConnectFailed)));
        }
    }

    fn expires_at(&self, c: &NodeConnection) -> Nanos {
        match (c.ready_deadline, &c.in_flight) {
            (Some(t), _) => t,
            (None, Some(PartInFlight { attempt: None, cancelled_at, .. })) => {
                cancelled_at + CANCELLED_RESPONSE_TIMEOUT
            }
            (None, Some(_)) => Nanos::MAX,
            // Nothing more is sent to a removed node.
            (None, None) if !self.nodes.contains_key(&c.replica) => 0,
            (None, None) => c.last_used + self.limits.node_idle_s * 1_000_000_000,
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        let orphaned = (!self.orphaned.is_empty()).then_some(0);
        let ends = self.connections.values().map(|c| self.expires_at(c)).min().filter(|t| *t < Nanos::MAX);
        orphaned.or(ends)
    }

    /// Closes all connections, with the protocol's closing message.
    pub fn close_all(&mut self, net: &mut PollLoop) {
        for (conn, connection) in std::mem::take(&mut self.connections) {
            if let Some(message) = connection.session.closing_message() {
                let _ = net.send(conn, &message);
            }
            net.close_after_flush(conn);
        }
    }
}

fn attempt_outcome(value: Result<PartValue, Outcome>) -> AttemptOutcome<PartValue> {
    match value {
        Ok(value) => AttemptOutcome { outcome: Outcome::Ok, utilization: None, value: Some(value) },
        Err(outcome) => AttemptOutcome { outcome, utilization: None, value: None },
    }
}
