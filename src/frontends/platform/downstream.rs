//! The client side: HTTP connections that submit queries to the engine and wait for their answers.

use super::RequestContext;
use super::query;
use super::request_ids::RequestIds;
use crate::api::Nanos;
use crate::config::Names;
use crate::engine::{QueryId, QueryOutcome, QueryRequest};
use crate::frontends::connection_slots::ConnectionSlots;
use crate::frontends::refused_requests::RefusedRequests;
use crate::frontends::turn::Turn;
use crate::http::{self, HttpError, MessageKind, Reader};
use crate::net::{ConnId, MAX_BODY, NetEvent, ReadOutcome};
use crate::server::FrontendContext;
use crate::server::drain::DrainPhase;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

struct Client {
    reader: Reader,
    /// The query whose answer is pending, and its request id.
    query: Option<QueryId>,
    id: Option<Rc<str>>,
    keep_alive: bool,
    peer: SocketAddr,
    /// Whether a turn ended before all input that has been read was handled.
    has_unhandled_input: bool,
    refused: RefusedRequests,
}

impl Client {
    /// Whether a request was read and not handled; `has_data` is whether further input is buffered.
    fn has_input(&self, has_data: bool) -> bool {
        has_data || self.reader.is_done() || !self.refused.is_empty()
    }
}

/// All client connections.
pub struct Downstream {
    names: Names,
    shards: u32,
    clients: HashMap<ConnId, Client>,
    conn_by_query: HashMap<QueryId, ConnId>,
    slots: ConnectionSlots,
    request_ids: RequestIds,
    /// Whether readiness checks fail, and the drain phase, which determines how clients are treated.
    not_ready: bool,
    drain_phase: DrainPhase,
}

type Context<'a> = FrontendContext<'a, RequestContext, String>;

impl Downstream {
    /// The client side. `names` resolves classes and tenants, and `slots` limits the connections.
    pub fn new(names: Names, shards: u32, slots: ConnectionSlots) -> Downstream {
        let (clients, conn_by_query, request_ids) = (HashMap::new(), HashMap::new(), RequestIds::default());
        Downstream {
            names,
            shards,
            clients,
            conn_by_query,
            slots,
            request_ids,
            not_ready: false,
            drain_phase: DrainPhase::Serving,
        }
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Changes the limits on all connections and on those on which a query was admitted.
    pub fn set_connection_limits(&mut self, max_connections: usize, max_queried: usize) {
        self.slots.set_limits(max_connections, max_queried);
    }

    /// Request ids of open queries.
    pub fn open_ids(&self) -> Vec<String> {
        self.request_ids.open().map(str::to_owned).collect()
    }

    /// Replaces the request ids of the queries that are open at the other processes at this address.
    pub fn set_ids_open_at_peers(&mut self, ids: Vec<String>, now: Nanos) {
        self.request_ids.set_open_at_peers(now, ids);
    }

    /// Names of the query classes, in the order of the settings.
    pub fn class_names(&self) -> Vec<String> {
        self.names.classes()
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.slots.next_deadline()
    }

    /// Handles an event of one of the connections.
    pub fn on_event(&mut self, event: NetEvent, context: &mut Context) {
        match event {
            NetEvent::Accepted { conn, peer, .. } => {
                let reader = Reader::new(MessageKind::Request);
                let client = Client {
                    reader,
                    query: None,
                    id: None,
                    keep_alive: true,
                    peer,
                    has_unhandled_input: false,
                    refused: RefusedRequests::default(),
                };
                self.clients.insert(conn, client);
                self.slots.add(conn, context.now);
                self.read(conn, context);
                self.close_excess(context);
            }
            NetEvent::Readable { conn, .. } => self.read(conn, context),
            // Requests may have waited until the client read its responses.
            NetEvent::Flushed { conn, .. } => self.read(conn, context),
            NetEvent::Broken { conn, .. } => self.on_closed(conn, context),
            NetEvent::Connected { .. } | NetEvent::Datagrams { .. } | NetEvent::Signal(_) => {}
        }
    }

    /// Closes connections while more are open than the limit.
    fn close_excess(&mut self, context: &mut Context) {
        while context.net.accepted() > self.slots.max_connections() && !context.net.close_oldest_lingering() {
            let Some(conn) = self.slots.eviction_candidate() else { return };
            // A connection on which a request has arrived meanwhile stays open.
            self.read(conn, context);
            if self.slots.eviction_candidate() == Some(conn) {
                tracing::debug!("client connection closed to make room");
                if self.slots.may_have_request(conn) {
                    let retry_after = context.engine.overloaded().retry_after;
                    self.close_with_response(conn, &http::service_unavailable(retry_after), context);
                } else {
                    self.close(conn, context);
                }
            }
        }
    }

    fn close(&mut self, conn: ConnId, context: &mut Context) {
        context.net.close(conn);
        self.on_closed(conn, context);
    }

    fn on_closed(&mut self, conn: ConnId, context: &mut Context) {
        self.slots.remove(conn);
        let Some(client) = self.clients.remove(&conn) else { return };
        if let Some(id) = client.id {
            self.request_ids.query_ended(context.now, &id);
        }
        if let Some(query) = client.query {
            self.conn_by_query.remove(&query);
            context.engine.client_disconnected(query);
        }
    }

    /// Reads and handles input of a connection for one turn. What is left is handled in a later turn, so that a
    /// client that sends many requests at a time does not delay the others.
    fn read(&mut self, conn: ConnId, context: &mut Context) {
        let mut turn = Turn::default();
        if self.clients.get(&conn).is_some_and(|client| client.has_unhandled_input) {
            self.process_input(conn, &mut turn, context);
        }
        while self.clients.contains_key(&conn) {
            if turn.is_over() || !turn.take_read() {
                return context.net.requeue_readable(conn);
            }
            match context.net.fill(conn) {
                ReadOutcome::Read(_) => self.process_input(conn, &mut turn, context),
                ReadOutcome::BufferFull if self.refuse_pipelined(conn, &mut turn, context) => {}
                // What was pipelined behind unread responses stays unread.
                ReadOutcome::BufferFull => return self.close_if_ended(conn, context),
                ReadOutcome::WouldBlock => return,
                ReadOutcome::NoBuffer if context.net.peer_ended(conn) => return self.close(conn, context),
                ReadOutcome::NoBuffer => {
                    // Protects this client from clients that hold buffers with partial requests.
                    self.free_buffer(conn, context);
                    return;
                }
                ReadOutcome::Closed => return self.close(conn, context),
            }
        }
    }

    /// Reads requests behind an open query out of a full buffer, to refuse them later. Returns whether that made
    /// room or the turn is over.
    fn refuse_pipelined(&mut self, conn: ConnId, turn: &mut Turn, context: &mut Context) -> bool {
        let pool = context.net.pool().clone();
        let Some(client) = self.clients.get_mut(&conn).filter(|c| c.query.is_some()) else { return false };
        let used = client.refused.read(&mut client.reader, context.net.data(conn), &pool, turn);
        context.net.consume(conn, used);
        used > 0 || turn.is_over()
    }

    /// Closes the connection if the client has ended it, which a read can't detect while the buffer is full.
    /// Otherwise the open query would be served for a client that has disconnected.
    fn close_if_ended(&mut self, conn: ConnId, context: &mut Context) {
        if context.net.peer_ended(conn) {
            self.close(conn, context);
        }
    }

    /// Refuses the request of a connection other than `except` that holds a buffer with part of it, and closes
    /// that connection: the rest of the request may be in transit. Returns false if there is none.
    fn free_buffer(&mut self, except: ConnId, context: &mut Context) -> bool {
        let Some(other) = self.slots.buffer_holder(except) else { return false };
        tracing::debug!("client connection closed to free its buffer");
        let retry_after = context.engine.overloaded().retry_after;
        self.close_with_response(other, &http::service_unavailable(retry_after), context);
        true
    }

    /// Parses the received data and handles requests until one has to wait for its answer, the client has to
    /// read its responses, or the turn is over.
    fn process_input(&mut self, conn: ConnId, turn: &mut Turn, context: &mut Context) {
        loop {
            let Some(client) = self.clients.get_mut(&conn) else { return };
            let has_input = client.has_input(!context.net.data(conn).is_empty());
            client.has_unhandled_input = client.query.is_some() || has_input;
            if client.query.is_some() || !has_input {
                return;
            }
            if turn.is_over() || !context.net.is_flushed(conn) {
                return self.slots.partial_request(conn, context.now);
            }
            if client.refused.take() {
                turn.take_request();
                let retry_after = context.engine.overloaded().retry_after;
                self.reject(conn, retry_after, context);
                continue;
            }
            if let Some(e) = client.refused.take_error() {
                return self.reject_malformed(conn, e, context);
            }
            let pool = context.net.pool().clone();
            let had_head = client.reader.head().is_some();
            let consumed = match client.reader.advance(context.net.data(conn), &pool) {
                Ok(consumed) => consumed,
                // Protects this request from clients that hold buffers with partial ones.
                Err(HttpError::NoBuffer) => {
                    if self.free_buffer(conn, context) {
                        continue;
                    }
                    let retry_after = context.engine.overloaded().retry_after;
                    return self.close_with_response(conn, &http::service_unavailable(retry_after), context);
                }
                Err(e) => return self.reject_malformed(conn, e, context),
            };
            context.net.consume(conn, consumed);
            let head = client.reader.head().filter(|_| !had_head);
            if head.is_some_and(|h| h.expects_continue) && !client.reader.is_done() {
                let _ = context.net.send(conn, b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            if !client.reader.is_done() {
                if !client.reader.is_idle() || !context.net.data(conn).is_empty() {
                    self.slots.partial_request(conn, context.now);
                }
                client.has_unhandled_input = false;
                return;
            }
            turn.take_request();
            self.handle_request(conn, context);
            if let Some(client) = self.clients.get_mut(&conn) {
                client.reader.reset();
            }
        }
    }

    fn reject_malformed(&mut self, conn: ConnId, e: HttpError, context: &mut Context) {
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {e}", client.peer);
        }
        self.close_with_response(conn, &http::response(e.status(), &[], false, b""), context);
    }

    /// Sends a response and closes the connection, even if the client is in the middle of a request.
    fn close_with_response(&mut self, conn: ConnId, message: &[u8], context: &mut Context) {
        let _ = context.net.send(conn, message);
        context.net.close_lingering(conn, context.now);
        self.on_closed(conn, context);
    }

    fn handle_request(&mut self, conn: ConnId, context: &mut Context) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let Some(head) = client.reader.head() else { return };
        client.keep_alive = head.keep_alive;
        let (method, path) = (head.method.as_str(), head.path());
        let (status, allow) = match (method, path) {
            ("POST", "/api") => match query::read(head, client.reader.body(), &self.names, self.shards) {
                Err(why) => {
                    tracing::info!("invalid request of client {}: {why}", client.peer);
                    return self.respond(conn, 400, &[], why.as_bytes(), context);
                }
                Ok(request) if self.request_ids.is_used(context.now, &request.payload.id) => {
                    tracing::info!("request of client {} repeats a recent request id", client.peer);
                    return self.respond(conn, 409, &[], b"this Req-Id was used", context);
                }
                Ok(_) if !self.request_ids.has_room(context.now) => {
                    tracing::info!("query rejected: too many request ids are kept");
                    let retry_after = context.engine.overloaded().retry_after;
                    return self.reject(conn, retry_after, context);
                }
                Ok(request) => return self.submit(conn, request, context),
            },
            ("GET", "/-/ready") => (if self.not_ready { 503 } else { 200 }, ""),
            ("GET", "/-/healthy") => (200, ""),
            (_, "/api") => (405, "POST"),
            (_, "/-/ready" | "/-/healthy") => (405, "GET"),
            _ => (404, ""),
        };
        let headers: &[(&str, &str)] = if allow.is_empty() { &[] } else { &[("Allow", allow)] };
        self.respond(conn, status, headers, b"", context);
    }

    fn submit(&mut self, conn: ConnId, request: QueryRequest<RequestContext>, context: &mut Context) {
        // Its answer could not be sent: the client has closed the connection behind this request.
        if context.net.peer_ended(conn) {
            return self.close(conn, context);
        }
        let id = request.payload.id.clone();
        match context.engine.submit(context.now, request) {
            Ok(query) => {
                tracing::debug!(request = %id, query = query.0, "request was admitted as a query");
                if let Some(client) = self.clients.get_mut(&conn) {
                    (client.query, client.id) = (Some(query), Some(id.clone()));
                }
                self.request_ids.query_admitted(id);
                self.conn_by_query.insert(query, conn);
                self.slots.query_admitted(conn);
            }
            Err(rejected) => {
                tracing::info!("query rejected: the limit on open queries is reached");
                self.reject(conn, rejected.retry_after, context);
            }
        }
    }

    fn reject(&mut self, conn: ConnId, retry_after: Nanos, context: &mut Context) {
        let text = http::retry_after(retry_after);
        let headers: &[(&str, &str)] = if retry_after > 0 { &[("Retry-After", &text)] } else { &[] };
        self.respond(conn, 503, headers, b"", context);
    }

    /// Writes a response, and prepares for the next request or closes the connection.
    fn respond(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        context: &mut Context,
    ) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        // Pipelined requests are answered before the connection is closed, except in the last drain phase, so
        // that a client can't keep it open by pipelining without end.
        let has_more = !context.net.data(conn).is_empty() || !client.refused.is_empty();
        let pipelined = self.drain_phase < DrainPhase::ClosingAll && has_more;
        let keep = client.keep_alive && (self.drain_phase < DrainPhase::ClosingAfterAnswer || pipelined);
        let message = http::response(status, headers, keep, body);
        if context.net.send(conn, &message).is_err() {
            tracing::warn!("client {} closed: it does not read its responses", client.peer);
            self.close(conn, context);
        } else if !keep {
            // The client may have sent more data; closing at once could reset the connection and lose the
            // response.
            context.net.close_lingering(conn, context.now);
            self.on_closed(conn, context);
        } else {
            self.slots.request_answered(conn, context.now);
        }
    }

    /// Sends the final outcome of a query to the client that waits for it.
    pub fn on_query_outcome(
        &mut self,
        query: QueryId,
        answer: QueryOutcome<String>,
        context: &mut FrontendContext<RequestContext, String>,
    ) {
        let Some(conn) = self.conn_by_query.remove(&query) else { return };
        if let Some(client) = self.clients.get_mut(&conn) {
            client.query = None;
            if let Some(id) = client.id.take() {
                self.request_ids.query_ended(context.now, &id);
            }
        }
        match answer {
            QueryOutcome::Answered(answered) => {
                let json = [("Content-Type", "application/json")];
                let body = query::answer(&answered);
                // Bodies on this port are limited to this size, and a truncated answer would be worse than
                // none.
                if body.len() > MAX_BODY {
                    tracing::error!("an answer of {} bytes exceeds the size limit", body.len());
                    self.respond(conn, 502, &[], b"", context);
                } else {
                    self.respond(conn, 200, &json, &body, context);
                }
            }
            QueryOutcome::Rejected { retry_after } => self.reject(conn, retry_after, context),
            QueryOutcome::Failed => self.respond(conn, 504, &[], b"", context),
        }
        // Handles requests that the client has pipelined.
        self.read(conn, context);
    }

    /// Sets whether readiness checks succeed.
    pub fn set_ready(&mut self, ready: bool) {
        self.not_ready = !ready;
    }

    /// Sets the drain phase, which determines how clients are treated.
    pub fn set_drain_phase(&mut self, phase: DrainPhase) {
        self.drain_phase = phase;
    }

    /// Reads the data that has arrived, then closes idle connections.
    pub fn close_idle(&mut self, context: &mut Context) {
        let conns: Vec<ConnId> = self.clients.keys().copied().collect();
        for conn in conns {
            self.read(conn, context);
            if self.slots.is_fresh(conn, context.now) {
                continue;
            }
            // If the buffer contains part of a head, the rest of the request is in transit.
            let has_data = !context.net.data(conn).is_empty();
            let is_idle = |c: &Client| c.query.is_none() && c.reader.is_idle() && !c.has_input(has_data);
            if self.clients.get(&conn).is_some_and(is_idle) {
                // A request that arrives now is not read, but earlier responses still reach the client.
                context.net.close_lingering(conn, context.now);
                self.on_closed(conn, context);
            }
        }
    }

    /// Closes connections that exceed a time limit or the limits on their number. A client that has sent part
    /// of a request gets a response.
    pub fn tick(&mut self, context: &mut Context) {
        // Connections that have become idle may have to make room for those that wait to be accepted.
        self.close_excess(context);
        while let Some(conn) = self.slots.excess_idle() {
            self.read(conn, context);
            if self.slots.excess_idle() == Some(conn) {
                tracing::debug!("idle client connection closed: too many are open");
                self.close(conn, context);
            }
        }
        while let Some(conn) = self.slots.overdue(context.now) {
            let Some(client) = self.clients.get(&conn) else { return self.slots.remove(conn) };
            tracing::info!("client {} closed: no complete request within the time limit", client.peer);
            if client.reader.is_idle() && !client.has_input(!context.net.data(conn).is_empty()) {
                self.close(conn, context);
            } else {
                self.close_with_response(conn, &http::response(408, &[], false, b""), context);
            }
        }
    }
}
