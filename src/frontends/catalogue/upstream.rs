//! Upstream connections to index nodes that speak SRU or Z39.50: a few to each node, with one search at a
//! time on each connection.

use super::node_connection::{NodeConnection, PartInFlight};
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

const NANOS_PER_MILLI: Nanos = 1_000_000;
const NANOS_PER_SECOND: Nanos = 1_000_000_000;

type Context<'a> = FrontendContext<'a, SearchPayload, PartValue>;

/// A part that is queued until a connection is free.
struct QueuedPart {
    attempt: AttemptId,
    task: Task,
    since: Nanos,
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
                Some(node) => {
                    node.queue.push_back(QueuedPart { attempt: p.attempt, task, since: context.now })
                }
                None => self.orphaned.push(p.attempt),
            }
            context.engine.attempt_queued(p.attempt);
        }
        self.send_queued(replica, context);
    }

    /// Sends queued parts on free connections, and dials further ones where there are too few.
    fn send_queued(&mut self, replica: ReplicaId, context: &mut Context) {
        while let Some(conn) = self.free_connection(replica, context) {
            self.send_next(replica, conn, context);
        }
    }

    /// A connection on which the first queued part of a node can be sent. `None` if no part is queued, or if
    /// the parts have to wait for a connection.
    fn free_connection(&mut self, replica: ReplicaId, context: &mut Context) -> Option<ConnId> {
        loop {
            let queued = self.nodes.get(&replica)?.queue.len();
            if queued == 0 {
                return None;
            }
            let to_node = || self.connections.iter().filter(|(_, c)| c.replica == replica);
            let free = to_node().find(|(_, c)| c.is_free(context.now)).map(|(c, _)| *c);
            if let Some(conn) = free {
                if self.check_quiet(conn, context) {
                    return Some(conn);
                }
                continue;
            }
            let free_soon =
                to_node().filter(|(_, c)| c.ready_deadline.is_some() || c.is_resting(context.now)).count();
            if free_soon >= queued || to_node().count() >= self.limits.connections_per_node {
                return None;
            }
            if !self.dial(replica, context) {
                self.fail_queued(replica, Outcome::ConnectFailed, context);
                return None;
            }
        }
    }

    /// Checks that nothing has arrived on a connection that awaits no response. Otherwise closes it and
    /// returns false: data that belongs to no request would be taken for the response to the next one.
    fn check_quiet(&mut self, conn: ConnId, context: &mut Context) -> bool {
        if !context.net.data(conn).is_empty() {
            self.close_on_unsolicited_data(conn, context);
            return false;
        }
        match context.net.fill(conn) {
            ReadOutcome::WouldBlock => return true,
            ReadOutcome::Read(_) | ReadOutcome::BufferFull => self.close_on_unsolicited_data(conn, context),
            ReadOutcome::Closed => self.close(conn, context),
            // Whether something has arrived can't be seen before a buffer is free.
            ReadOutcome::NoBuffer => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.rest(context.now);
                }
            }
        }
        false
    }

    /// Takes the first queued part of a node, and sends it on a free connection if it is still needed.
    fn send_next(&mut self, replica: ReplicaId, conn: ConnId, context: &mut Context) {
        let Some(node) = self.nodes.get_mut(&replica) else { return };
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        let Some(next) = node.queue.pop_front() else { return };
        let attempt = next.attempt;
        // Its query may have ended, or its node may have begun to drain, while it waited for the connection.
        if !context.engine.begin_attempt(context.now, attempt) {
            return;
        }
        let message = match connection.session.start(next.task) {
            Ok(message) => message,
            // No node that speaks this protocol can answer the search.
            Err(d) => {
                return context.engine.attempt_ended(context.now, attempt, attempt_outcome(Ok(Err(d))));
            }
        };
        connection.last_used = context.now;
        if context.net.send(conn, &message).is_err() {
            context.engine.attempt_ended(context.now, attempt, attempt_outcome(Err(Outcome::ConnectFailed)));
            return self.close(conn, context);
        }
        let waited_ms = context.now.saturating_sub(next.since) / NANOS_PER_MILLI;
        tracing::debug!(attempt = attempt.0, node = %node.id, ?conn, waited_ms, "search is sent to its node");
        connection.in_flight = Some(PartInFlight {
            attempt: Some(attempt),
            request_end: context.net.queued(conn),
            written: false,
            cancelled_at: 0,
        });
        self.conn_by_attempt.insert(attempt, conn);
        let flushed = context.net.flushed(conn);
        self.on_written(conn, flushed, context);
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
                let ready_deadline = context.now + self.limits.dial_timeout_ms * NANOS_PER_MILLI;
                let connection = NodeConnection::dialed(replica, session, context.now, ready_deadline);
                self.connections.insert(conn, connection);
                true
            }
            Err(e) => {
                tracing::warn!("node {} can't be dialled: {e}", node.id);
                false
            }
        }
    }

    fn close_longest_idle(&mut self, context: &mut Context) -> bool {
        let idle = self.connections.iter().filter(|(_, c)| c.is_idle());
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
            let data = context.net.data(conn);
            if !connection.awaits_data() && !data.is_empty() {
                return self.close_on_unsolicited_data(conn, context);
            }
            let pool = context.net.pool().clone();
            let (consumed, step) = match connection.session.receive(context.net.data(conn), &pool) {
                Ok(received) => received,
                Err(why) => return self.close_on_error(conn, &why.0, context),
            };
            context.net.consume(conn, consumed);
            match step {
                Step::Wait => return,
                Step::Ready => self.on_ready(conn, context),
                Step::Send(request) => {
                    if connection.response_received(context.now) {
                        self.send_page(conn, &request, context);
                    } else {
                        connection.defer_page(request);
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

    /// Requests the next page of the search in flight on a connection. Closes the connection if that search is
    /// cancelled or not needed any more.
    fn send_page(&mut self, conn: ConnId, request: &[u8], context: &mut Context) {
        let in_flight = self.connections.get(&conn).and_then(|c| c.in_flight.as_ref());
        let attempt = in_flight.and_then(|r| r.attempt);
        let is_needed = attempt.is_some_and(|a| context.engine.continue_attempt(context.now, a));
        if !is_needed || context.net.send(conn, request).is_err() {
            self.close(conn, context);
        }
    }

    fn on_part_done(&mut self, conn: ConnId, value: Result<PartValue, Outcome>, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(&conn) else { return };
        connection.response_received(context.now);
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

    fn close_on_unsolicited_data(&mut self, conn: ConnId, context: &mut Context) {
        let Some(connection) = self.connections.get(&conn) else { return };
        let why = connection.session.unsolicited(context.net.data(conn));
        self.close_on_error(conn, &why.0, context);
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
    /// or that were idle for too long, and uses those that have rested.
    pub fn tick(&mut self, context: &mut Context) {
        let now = context.now;
        let expired: Vec<ConnId> =
            self.connections.iter().filter(|(_, c)| self.expires_at(c) <= now).map(|(c, _)| *c).collect();
        for conn in expired {
            self.close_gracefully(conn, context);
        }
        let rested: Vec<ConnId> =
            self.connections.iter().filter(|(_, c)| self.has_rested(c, now)).map(|(c, _)| *c).collect();
        for conn in rested {
            self.on_rested(conn, context);
        }
        for attempt in std::mem::take(&mut self.orphaned) {
            context.engine.attempt_ended(now, attempt, attempt_outcome(Err(Outcome::ConnectFailed)));
        }
    }

    /// Sends what has waited for the end of a connection's rest.
    fn on_rested(&mut self, conn: ConnId, context: &mut Context) {
        let Some(connection) = self.connections.get(&conn) else { return };
        // Queued parts may have been sent on this connection when the rest of another one ended.
        if !self.has_rested(connection, context.now) {
            return;
        }
        let replica = connection.replica;
        if connection.is_idle() {
            return self.send_queued(replica, context);
        }
        if self.check_quiet(conn, context)
            && let Some(request) = self.connections.get_mut(&conn).and_then(|c| c.take_due_page(context.now))
        {
            self.send_page(conn, &request, context);
        }
    }

    fn expires_at(&self, c: &NodeConnection) -> Nanos {
        let is_listed = self.nodes.contains_key(&c.replica);
        c.expires_at(is_listed, self.limits.node_idle_s * NANOS_PER_SECOND)
    }

    /// Whether something that has waited for the end of its rest can be sent.
    fn has_rested(&self, c: &NodeConnection, now: Nanos) -> bool {
        self.rest_ends_at(c).is_some_and(|t| t <= now)
    }

    fn rest_ends_at(&self, c: &NodeConnection) -> Option<Nanos> {
        c.rest_ends_at(self.nodes.get(&c.replica).is_some_and(|n| !n.queue.is_empty()))
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        let orphaned = (!self.orphaned.is_empty()).then_some(0);
        let ends = self.connections.values().map(|c| self.expires_at(c)).min().filter(|t| *t < Nanos::MAX);
        let rested = self.connections.values().filter_map(|c| self.rest_ends_at(c)).min();
        orphaned.or([ends, rested].into_iter().flatten().min())
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
