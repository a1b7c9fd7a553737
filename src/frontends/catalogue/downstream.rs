//! Downstream connections of clients that speak SRU or Z39.50: submits their searches to the query engine
//! and sends the responses.

use super::ber;
use super::diagnostic::{Condition, Diagnostic};
use super::job::{Job, PlannedSearch};
use super::plan::{self, PartValue, SearchPayload};
use super::search::{self, Search};
use super::session::{self, Session};
use super::sru::RecordPacking;
use crate::api::Nanos;
use crate::config::OperatorConfig;
use crate::engine::QueryId;
use crate::frontends::connection_slots::ConnectionSlots;
use crate::frontends::refused_requests::RefusedRequests;
use crate::frontends::turn::Turn;
use crate::http::{MessageKind, Reader};
use crate::net::{ConnId, NetEvent, ReadOutcome};
use crate::server::FrontendContext;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

mod closing;
mod jobs;
mod sru_requests;
mod z3950_requests;

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

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.slots.next_deadline()
    }
}
