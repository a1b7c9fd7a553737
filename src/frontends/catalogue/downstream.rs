//! Downstream connections of clients that speak SRU or Z39.50: submits their searches to the query engine
//! and sends the responses.

use super::apdu::{Apdu, CloseReason};
use super::ber;
use super::cql;
use super::diagnostic::{Condition, Diagnostic};
use super::job::{Job, NextStep, PlannedSearch, SearchResult};
use super::plan::{self, PartValue, SearchPayload};
use super::search::{self, Search};
use super::session::{self, Reply, Session};
use super::sru::{self, RecordPacking, Request};
use crate::api::Nanos;
use crate::config::OperatorConfig;
use crate::engine::{QueryId, QueryOutcome};
use crate::frontends::connection_slots::ConnectionSlots;
use crate::frontends::refused_requests::RefusedRequests;
use crate::frontends::turn::Turn;
use crate::http::{self, HttpError, MessageKind, Reader};
use crate::net::{ConnId, NetEvent, ReadOutcome};
use crate::server::FrontendContext;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

type Context<'a> = FrontendContext<'a, SearchPayload, PartValue>;

/// What the response to a pending SRU search needs of its request.
struct PendingSearch {
    version: &'static str,
    packing: RecordPacking,
    start: u64,
}

/// The protocol of a client connection, with its state.
enum ProtocolState {
    Sru { reader: Reader, keep_alive: bool, pending: Option<PendingSearch> },
    Z3950(Box<Session>),
}

struct Client {
    protocol: ProtocolState,
    job: Option<(QueryId, Job)>,
    peer: SocketAddr,
    /// Whether a turn ended before all input that has been read was handled.
    has_unhandled_input: bool,
    refused: RefusedRequests,
}

impl Client {
    /// Whether a request was read and not handled; `has_data` is whether further input is buffered.
    fn has_input(&self, has_data: bool) -> bool {
        let has_request = matches!(&self.protocol, ProtocolState::Sru { reader, .. } if reader.is_done());
        has_data || has_request || !self.refused.is_empty()
    }
}

/// The settings that client requests depend on.
struct CatalogueSettings {
    operator: OperatorConfig,
    key_access: Option<u16>,
}

/// All client connections.
pub struct Downstream {
    settings: CatalogueSettings,
    sru_owner: u8,
    clients: HashMap<ConnId, Client>,
    conn_by_query: HashMap<QueryId, ConnId>,
    slots: ConnectionSlots,
    /// Whether readiness checks fail and new sessions are rejected.
    not_ready: bool,
    /// Whether each response is the last on its connection.
    closing: bool,
}

impl session::Catalogue for CatalogueSettings {
    fn plan_search(&self, database: &str, search: Search) -> Result<(PlannedSearch, Nanos), Diagnostic> {
        let operator = &self.operator;
        let found = operator.database.iter().find(|d| d.name == database);
        let database = found.ok_or_else(|| Diagnostic::new(Condition::NoSuchDatabase, database))?;
        let class = operator.class.iter().position(|c| c.name == database.class).unwrap_or(0);
        let key = self.key_access.and_then(|a| search.key(a)).map(plan::key_hash);
        let partitions = plan::partitions(operator.partitions.count, operator.partitions.per_key, key);
        let time_limit = operator.class[class].deadline_ms * 1_000_000;
        Ok((PlannedSearch { search: Rc::new(search), class, key, partitions }, time_limit))
    }

    fn max_records(&self) -> u64 {
        self.operator.limits.records
    }

    fn max_result_sets(&self) -> usize {
        self.operator.limits.result_sets
    }
}

impl Downstream {
    /// No clients yet, and at most `max_clients`. Connections of the owner `sru_owner` speak SRU, all others
    /// Z39.50.
    pub fn new(operator: OperatorConfig, sru_owner: u8, max_clients: usize) -> Downstream {
        let key_access = operator.key_index().and_then(search::access_of);
        let (clients, conn_by_query) = (HashMap::new(), HashMap::new());
        let slots =
            ConnectionSlots::new(max_clients, max_clients, operator.limits.session_idle_s * 1_000_000_000);
        Downstream {
            settings: CatalogueSettings { operator, key_access },
            sru_owner,
            clients,
            conn_by_query,
            slots,
            not_ready: false,
            closing: false,
        }
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Handles an event of a client connection.
    pub fn on_event(&mut self, event: NetEvent, context: &mut Context) {
        match event {
            NetEvent::Accepted { owner, conn, peer } => {
                let reader = Reader::new(MessageKind::Request);
                let protocol = if owner == self.sru_owner {
                    ProtocolState::Sru { reader, keep_alive: true, pending: None }
                } else {
                    ProtocolState::Z3950(Box::default())
                };
                let refused = RefusedRequests::default();
                let client = Client { protocol, job: None, peer, has_unhandled_input: false, refused };
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

    /// While there are too many connections, closes the first in the order of the connection slots.
    fn close_excess(&mut self, context: &mut Context) {
        while context.net.accepted() > self.slots.max_connections() && !context.net.close_oldest_lingering() {
            let Some(conn) = self.slots.eviction_candidate() else { return };
            // A connection on which a request has arrived meanwhile is kept.
            self.read(conn, context);
            if self.slots.eviction_candidate() == Some(conn) {
                tracing::debug!("client connection closed to make room");
                let is_sru =
                    self.clients.get(&conn).is_some_and(|c| matches!(c.protocol, ProtocolState::Sru { .. }));
                if is_sru && self.slots.may_have_request(conn) {
                    let retry_after = context.engine.overloaded().retry_after;
                    self.close_lingering(conn, Some(http::service_unavailable(retry_after)), context);
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
        if let Some((query, _)) = self.clients.remove(&conn).and_then(|c| c.job) {
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
                ReadOutcome::BufferFull => return self.on_full_buffer(conn, context),
                ReadOutcome::WouldBlock => return,
                ReadOutcome::NoBuffer if context.net.peer_ended(conn) => return self.close(conn, context),
                ReadOutcome::NoBuffer => return self.free_buffer(conn, context),
                ReadOutcome::Closed => return self.close(conn, context),
            }
        }
    }

    /// Refuses the request of a connection other than `except` that holds a buffer with part of it, and closes
    /// that connection, so that such connections can't block other clients.
    fn free_buffer(&mut self, except: ConnId, context: &mut Context) {
        let Some(other) = self.slots.buffer_holder(except) else { return };
        let Some(client) = self.clients.get(&other) else { return };
        tracing::debug!("client connection closed to free its buffer");
        let message = match &client.protocol {
            ProtocolState::Sru { .. } => {
                Some(http::service_unavailable(context.engine.overloaded().retry_after))
            }
            ProtocolState::Z3950(session) => {
                let why = "no buffer is free";
                session.is_open().then(|| Session::closing_message(CloseReason::SystemProblem, why))
            }
        };
        self.close_lingering(other, message, context);
    }

    /// Reads SRU requests behind a pending one out of a full buffer, to refuse them later. Returns whether that
    /// made room or the turn is over.
    fn refuse_pipelined(&mut self, conn: ConnId, turn: &mut Turn, context: &mut Context) -> bool {
        let pool = context.net.pool().clone();
        let Some(client) = self.clients.get_mut(&conn).filter(|c| c.job.is_some()) else { return false };
        let ProtocolState::Sru { reader, .. } = &mut client.protocol else { return false };
        let used = client.refused.read(reader, context.net.data(conn), &pool, turn);
        context.net.consume(conn, used);
        used > 0 || turn.is_over()
    }

    /// Handles a full buffer. What was pipelined behind unread responses stays in it.
    fn on_full_buffer(&mut self, conn: ConnId, context: &mut Context) {
        let Some(client) = self.clients.get(&conn) else { return };
        let is_session = matches!(client.protocol, ProtocolState::Z3950(_));
        // The end of the connection can't be read behind a full buffer.
        if context.net.peer_ended(conn) {
            self.close(conn, context);
        } else if is_session && client.job.is_some() {
            self.close_pipelining_session(conn, context);
        } else if !client.has_unhandled_input && context.net.data(conn).len() >= ber::MAX_APDU {
            self.close_with_warning(conn, "request exceeds the buffer size", context);
        }
    }

    /// Closes a Z39.50 session that has sent a buffer full of requests behind a pending one, although concurrent
    /// operations are never negotiated: how long it stays could no longer be seen.
    fn close_pipelining_session(&mut self, conn: ConnId, context: &mut Context) {
        let why = "requests behind a pending one exceed the buffer size";
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {why}", client.peer);
        }
        let closing_message = Session::closing_message(CloseReason::ProtocolError, why);
        self.close_lingering(conn, Some(closing_message), context);
    }

    fn close_with_warning(&mut self, conn: ConnId, why: &str, context: &mut Context) {
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {why}", client.peer);
        }
        self.close(conn, context);
    }

    /// Handles buffered requests until one is pending, the client has to read its responses, the turn is over
    /// or the data runs out.
    fn process_input(&mut self, conn: ConnId, turn: &mut Turn, context: &mut Context) {
        loop {
            let Some(client) = self.clients.get_mut(&conn) else { return };
            let has_input = client.has_input(!context.net.data(conn).is_empty());
            client.has_unhandled_input = client.job.is_some() || has_input;
            if client.job.is_some() {
                return;
            }
            let reading = matches!(&client.protocol, ProtocolState::Sru { reader, .. } if !reader.is_idle());
            if reading || has_input {
                self.slots.partial_request(conn, context.now);
            }
            if !has_input || turn.is_over() || !context.net.is_flushed(conn) {
                return;
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
            let handled = match &mut client.protocol {
                ProtocolState::Sru { .. } => self.process_sru(conn, context),
                ProtocolState::Z3950(_) => self.process_z3950(conn, context),
            };
            if !handled {
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.has_unhandled_input = false;
                }
                return;
            }
            turn.take_request();
        }
    }

    // ---- Z39.50 ----

    fn process_z3950(&mut self, conn: ConnId, context: &mut Context) -> bool {
        let Some(Client { protocol: ProtocolState::Z3950(session), peer, .. }) = self.clients.get_mut(&conn)
        else {
            return false;
        };
        let data = context.net.data(conn);
        let read =
            ber::size(data).and_then(|s| s.map(|s| Apdu::decode(&data[..s]).map(|a| (s, a))).transpose());
        let (size, apdu) = match read {
            Ok(None) => return false,
            Ok(Some(read)) => read,
            Err(e) => {
                tracing::warn!("client {peer} closed: {e}");
                let closing_message = Session::closing_message(CloseReason::ProtocolError, &e.to_string());
                let closing_message = session.is_open().then_some(closing_message);
                self.close_lingering(conn, closing_message, context);
                return false;
            }
        };
        context.net.consume(conn, size);
        match session.handle_request(apdu, self.not_ready, context.now, &self.settings) {
            Reply::Send(message) => self.send(conn, &message, context),
            Reply::SendAndClose(message) => {
                self.send_and_close(conn, Some(message), context);
                false
            }
            Reply::Close => {
                self.send_and_close(conn, None, context);
                false
            }
            Reply::Run(job) => {
                self.submit(conn, job, context);
                true
            }
        }
    }

    /// Sends a message. Returns false if that failed and the connection was closed.
    fn send(&mut self, conn: ConnId, message: &[u8], context: &mut Context) -> bool {
        let sent = context.net.send(conn, message).is_ok();
        if sent {
            self.slots.request_answered(conn, context.now);
        } else {
            self.close_with_warning(conn, "it does not read its responses", context);
        }
        sent
    }

    /// Sends a last message, if any, and closes the connection once it is written.
    fn send_and_close(&mut self, conn: ConnId, message: Option<Vec<u8>>, context: &mut Context) {
        if let Some(message) = message {
            let _ = context.net.send(conn, &message);
        }
        context.net.close_after_flush(conn);
        self.on_closed(conn, context);
    }

    /// Same as `send_and_close`, for a client that may still be sending a request.
    fn close_lingering(&mut self, conn: ConnId, message: Option<Vec<u8>>, context: &mut Context) {
        if let Some(message) = message {
            let _ = context.net.send(conn, &message);
        }
        context.net.close_lingering(conn, context.now);
        self.on_closed(conn, context);
    }

    // ---- SRU ----

    fn process_sru(&mut self, conn: ConnId, context: &mut Context) -> bool {
        let Some(Client { protocol: ProtocolState::Sru { reader, keep_alive, .. }, .. }) =
            self.clients.get_mut(&conn)
        else {
            return false;
        };
        let pool = context.net.pool().clone();
        let had_head = reader.head().is_some();
        let consumed = match reader.advance(context.net.data(conn), &pool) {
            Ok(consumed) => consumed,
            Err(e) => {
                self.reject_malformed(conn, e, context);
                return false;
            }
        };
        context.net.consume(conn, consumed);
        if reader.head().filter(|_| !had_head).is_some_and(|h| h.expects_continue) && !reader.is_done() {
            let _ = context.net.send(conn, b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        if !reader.is_done() {
            return false;
        }
        *keep_alive = reader.head().is_some_and(|h| h.keep_alive);
        self.handle_sru_request(conn, context);
        if let Some(Client { protocol: ProtocolState::Sru { reader, .. }, .. }) = self.clients.get_mut(&conn)
        {
            reader.reset();
        }
        true
    }

    fn reject_malformed(&mut self, conn: ConnId, e: HttpError, context: &mut Context) {
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {e}", client.peer);
        }
        self.close_lingering(conn, Some(http::response(e.status(), &[], false, b"")), context);
    }

    fn handle_sru_request(&mut self, conn: ConnId, context: &mut Context) {
        let Some(Client { protocol: ProtocolState::Sru { reader, .. }, .. }) = self.clients.get_mut(&conn)
        else {
            return;
        };
        let Some(head) = reader.head() else { return };
        let is_form =
            head.header("content-type").is_none_or(|t| t.starts_with("application/x-www-form-urlencoded"));
        let databases = &self.settings.operator.database;
        let path = head.path().trim_start_matches('/');
        let status = match (head.method.as_str(), path) {
            ("GET", "-/ready") if self.not_ready => 503,
            ("GET", "-/ready" | "-/healthy") => 200,
            ("GET" | "POST", "") => 0,
            ("GET" | "POST", path) if databases.iter().any(|d| d.name == path) => 0,
            ("GET" | "POST", _) => 404,
            _ => 405,
        };
        match status {
            0 if head.method == "POST" && !is_form => return self.respond(conn, 415, &[], b"", context),
            0 => {}
            405 => return self.respond(conn, 405, &[("Allow", "GET, POST")], b"", context),
            status => return self.respond(conn, status, &[], b"", context),
        }
        let database = if path.is_empty() { databases[0].name.clone() } else { path.to_owned() };
        let form = if head.method == "POST" { String::from_utf8_lossy(reader.body()) } else { "".into() };
        let parameters = sru::parameters(&head.target, &form);
        match sru::read(&parameters) {
            Err((d, version)) => self.respond_diagnostic(conn, 200, &[], &d, version, context),
            Ok(Request::Explain { version, packing }) => {
                let listener = self
                    .settings
                    .operator
                    .listener
                    .iter()
                    .find(|l| l.protocol == crate::config::Protocol::Sru);
                let port = listener.map_or(80, |l| l.listen.port());
                let host = head.header("host").unwrap_or("localhost").to_owned();
                let (host, port) = host
                    .rsplit_once(':')
                    .and_then(|(h, p)| Some((h, p.parse().ok()?)))
                    .unwrap_or((&host, port));
                let max_records = self.settings.operator.limits.records;
                let body = sru::explain(version, packing, host, port, &database, max_records);
                self.respond(conn, 200, &[XML_HEADER], &body, context);
            }
            Ok(Request::Search(s)) => {
                use session::Catalogue;
                let planned =
                    cql::parse(&s.query).and_then(|search| self.settings.plan_search(&database, search));
                let (plan, time_limit) = match planned {
                    Ok(planned) => planned,
                    Err(d) => return self.respond_diagnostic(conn, 200, &[], &d, s.version, context),
                };
                // A client may request a shorter time limit than that of its class.
                let requested = parameters.iter().find(|(n, _)| n == "x-deadline-ms");
                let time_limit = match requested.map(|(_, v)| v.parse::<u64>()) {
                    None => time_limit,
                    Some(Ok(ms)) => time_limit.min(ms.saturating_mul(1_000_000)),
                    Some(Err(_)) => {
                        let d = Diagnostic::new(Condition::UnsupportedParameterValue, "x-deadline-ms");
                        return self.respond_diagnostic(conn, 200, &[], &d, s.version, context);
                    }
                };
                let max_records = self.settings.max_records();
                let count = s.maximum.unwrap_or(DEFAULT_RECORDS).min(max_records);
                let job = Job::search(plan, s.start, count, context.now + time_limit);
                if let Some(Client { protocol: ProtocolState::Sru { pending, .. }, .. }) =
                    self.clients.get_mut(&conn)
                {
                    *pending = Some(PendingSearch { version: s.version, packing: s.packing, start: s.start });
                }
                self.submit(conn, job, context);
            }
        }
    }

    fn respond_diagnostic(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        d: &Diagnostic,
        version: &str,
        context: &mut Context,
    ) {
        let response = sru::Response { diagnostics: vec![d.clone()], ..sru::Response::default() };
        let body = sru::write(&response, version, RecordPacking::Xml, 1);
        let headers: Vec<(&str, &str)> = headers.iter().copied().chain([XML_HEADER]).collect();
        self.respond(conn, status, &headers, &body, context);
    }

    /// Sends an HTTP response.
    fn respond(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        context: &mut Context,
    ) {
        let Some(Client { protocol: ProtocolState::Sru { keep_alive, pending, .. }, .. }) =
            self.clients.get_mut(&conn)
        else {
            return;
        };
        *pending = None;
        let keep = *keep_alive && !self.closing;
        let message = http::response(status, headers, keep, body);
        if keep {
            self.send(conn, &message, context);
        } else {
            self.send_and_close(conn, Some(message), context);
        }
    }

    // ---- jobs ----

    fn submit(&mut self, conn: ConnId, job: Job, context: &mut Context) {
        // Its response could not be sent: the client has closed the connection behind this request.
        if context.net.peer_ended(conn) {
            return self.close(conn, context);
        }
        let request = job.query_request(context.now);
        match context.engine.submit(context.now, request) {
            Ok(query) => {
                self.conn_by_query.insert(query, conn);
                self.slots.query_admitted(conn);
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.job = Some((query, job));
                }
            }
            Err(rejected) => {
                tracing::info!("query rejected: the limit on open queries is reached");
                self.reject(conn, rejected.retry_after, context);
            }
        }
    }

    /// Handles the final outcome of a query: sends the response, or submits the job's next query.
    pub fn on_query_outcome(
        &mut self,
        query: QueryId,
        answer: QueryOutcome<PartValue>,
        context: &mut Context,
    ) {
        let Some(conn) = self.conn_by_query.remove(&query) else { return };
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let Some((_, mut job)) = client.job.take() else { return };
        match answer {
            QueryOutcome::Rejected { retry_after } => self.reject(conn, retry_after, context),
            QueryOutcome::Failed => {
                let d = Diagnostic::new(Condition::OutOfTime, "no answer in time");
                self.fail(conn, 504, &[], d, context);
            }
            QueryOutcome::Answered(answered) => match job.on_answer(answered) {
                NextStep::SendQuery => self.submit(conn, job, context),
                NextStep::Refused(d) => self.fail(conn, 200, &[], d, context),
                NextStep::Done(outcome) => self.complete(conn, job.planned_search(), outcome, context),
            },
        }
        // Pipelined requests are handled now.
        self.read(conn, context);
    }

    fn reject(&mut self, conn: ConnId, retry_after: Nanos, context: &mut Context) {
        let text = http::retry_after(retry_after);
        let d = Diagnostic::new(Condition::TemporarilyUnavailable, format!("ask again after {text} s"));
        let headers: &[(&str, &str)] = if retry_after > 0 { &[("Retry-After", &text)] } else { &[] };
        self.fail(conn, 503, headers, d, context);
    }

    fn fail(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        d: Diagnostic,
        context: &mut Context,
    ) {
        let message = match self.clients.get_mut(&conn).map(|c| &mut c.protocol) {
            None => return,
            Some(ProtocolState::Sru { pending, .. }) => {
                let version = pending.as_ref().map_or("1.2", |p| p.version);
                return self.respond_diagnostic(conn, status, headers, &d, version, context);
            }
            Some(ProtocolState::Z3950(session)) => session.job_failed(d),
        };
        self.respond_z3950(conn, message, context);
    }

    fn complete(&mut self, conn: ConnId, plan: &PlannedSearch, outcome: SearchResult, context: &mut Context) {
        let message = match self.clients.get_mut(&conn).map(|c| &mut c.protocol) {
            None => return,
            Some(ProtocolState::Sru { pending, .. }) => {
                let Some(PendingSearch { version, packing, start }) = pending.take() else { return };
                let body = search_response(outcome, version, packing, start);
                return self.respond(conn, 200, &[XML_HEADER], &body, context);
            }
            Some(ProtocolState::Z3950(session)) => session.job_done(plan, outcome),
        };
        self.respond_z3950(conn, message, context);
    }

    fn respond_z3950(&mut self, conn: ConnId, message: Option<Vec<u8>>, context: &mut Context) {
        let Some(message) = message else { return };
        if self.send(conn, &message, context) && self.closing {
            self.send_and_close(
                conn,
                Some(Session::closing_message(CloseReason::Shutdown, "this broker ends")),
                context,
            );
        }
    }

    // ---- limits, drain and timers ----

    /// Sets the limit on client connections.
    pub fn set_max_connections(&mut self, max_clients: usize) {
        self.slots.set_limits(max_clients, max_clients);
    }

    /// Names of the query classes, in the order of the settings.
    pub fn class_names(&self) -> Vec<String> {
        self.settings.operator.class.iter().map(|c| c.name.clone()).collect()
    }

    /// Sets the result of readiness checks. While it is false, new Z39.50 sessions are rejected.
    pub fn set_ready(&mut self, ready: bool) {
        self.not_ready = !ready;
    }

    /// Sets whether each response is the last on its connection.
    pub fn set_closing(&mut self, closing: bool) {
        self.closing = closing;
    }

    /// Closes Z39.50 sessions without a pending request, once responses are the last on their connections.
    pub fn close_sessions(&mut self, context: &mut Context) {
        let open = |c: &Client| matches!(&c.protocol, ProtocolState::Z3950(s) if s.is_open());
        let idle: Vec<ConnId> =
            self.clients.iter().filter(|(_, c)| open(c) && c.job.is_none()).map(|(conn, _)| *conn).collect();
        for conn in idle {
            // A request that arrived before the close is still handled.
            self.read(conn, context);
            if self.clients.get(&conn).is_some_and(|c| c.job.is_none() && !c.has_unhandled_input) {
                self.send_and_close(
                    conn,
                    Some(Session::closing_message(CloseReason::Shutdown, "this broker ends")),
                    context,
                );
            }
        }
    }

    /// Closes connections without a pending request, after reading once more what has arrived.
    pub fn close_idle(&mut self, context: &mut Context) {
        let conns: Vec<ConnId> = self.clients.keys().copied().collect();
        for conn in conns {
            self.read(conn, context);
            let is_between_messages = |c: &Client| match &c.protocol {
                ProtocolState::Sru { reader, .. } => reader.is_idle(),
                ProtocolState::Z3950(_) => true,
            };
            let idle = |c: &Client| c.job.is_none() && !c.has_unhandled_input && is_between_messages(c);
            if !self.slots.is_fresh(conn, context.now) && self.clients.get(&conn).is_some_and(idle) {
                self.send_and_close(conn, None, context);
            }
        }
    }

    /// Closes connections that are over their time limit, or over the limit on connections.
    pub fn tick(&mut self, context: &mut Context) {
        if self.closing {
            self.close_sessions(context);
        }
        // Connections that have become idle may have to be closed for those that wait to be accepted.
        self.close_excess(context);
        while let Some(conn) = self.slots.overdue(context.now) {
            let Some(client) = self.clients.get(&conn) else { return self.slots.remove(conn) };
            tracing::info!("client {} closed: no complete request within the time limit", client.peer);
            let message = match &client.protocol {
                ProtocolState::Z3950(s) => {
                    s.is_open().then(|| Session::closing_message(CloseReason::LackOfActivity, "nothing came"))
                }
                ProtocolState::Sru { reader, .. } => {
                    let has_data = !context.net.data(conn).is_empty();
                    let has_input = !reader.is_idle() || client.has_input(has_data);
                    has_input.then(|| http::response(408, &[], false, b""))
                }
            };
            self.close_lingering(conn, message, context);
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.slots.next_deadline()
    }
}

/// Most records in a response if the client gives no maximum.
const DEFAULT_RECORDS: u64 = 10;
const XML_HEADER: (&str, &str) = ("Content-Type", "text/xml; charset=utf-8");

fn search_response(outcome: SearchResult, version: &str, packing: RecordPacking, start: u64) -> Vec<u8> {
    let total = outcome.counts.total();
    let next = start.saturating_add(outcome.items.len() as u64);
    let mut diagnostics: Vec<Diagnostic> = outcome.counts.diagnostic().into_iter().collect();
    if start > 1 && start > total {
        diagnostics.push(Diagnostic::new(Condition::FirstPositionOutOfRange, start.to_string()));
    }
    let next = (next <= total).then_some(next);
    sru::write(&sru::Response { total, items: outcome.items, next, diagnostics }, version, packing, start)
}
