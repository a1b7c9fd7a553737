//! The client side: SRU and Z39.50 connections that hand queries to the exchange and wait for its answers.

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
use crate::http::{self, MessageKind, Reader};
use crate::net::{ConnId, NetEvent, ReadOutcome};
use crate::server::FrontendContext;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Most reads of one connection at a time.
const READS: usize = 4;

type Hand<'a> = FrontendContext<'a, SearchPayload, PartValue>;

/// An SRU search that waits for its answer.
struct Asked {
    version: &'static str,
    packing: RecordPacking,
    start: u64,
}

enum Speech {
    Sru { reader: Reader, keep_alive: bool, asked: Option<Asked> },
    Z3950(Box<Session>),
}

struct Client {
    speech: Speech,
    job: Option<(QueryId, Job)>,
    peer: SocketAddr,
}

/// What the operator's file says, as the client side needs it.
struct Told {
    operator: OperatorConfig,
    key_access: Option<u16>,
}

/// All client connections.
pub struct Clients {
    told: Told,
    sru: u8,
    clients: HashMap<ConnId, Client>,
    waiting: HashMap<QueryId, ConnId>,
    places: ConnectionSlots,
    /// Ready no more, and every answer the last on its connection.
    draining: bool,
    leaving: bool,
}

impl session::Catalogue for Told {
    fn shape(&self, database: &str, search: Search) -> Result<(PlannedSearch, Nanos), Diagnostic> {
        let o = &self.operator;
        let found = o.database.iter().find(|d| d.name == database);
        let database = found.ok_or_else(|| Diagnostic::new(Condition::NoSuchDatabase, database))?;
        let class = o.class.iter().position(|c| c.name == database.class).unwrap_or(0);
        let key = self.key_access.and_then(|a| search.key(a)).map(plan::key_hash);
        let partitions = plan::partitions(o.partitions.count, o.partitions.per_key, key);
        let wait = o.class[class].deadline_ms * 1_000_000;
        Ok((PlannedSearch { search: Rc::new(search), class, key, partitions }, wait))
    }

    fn most_records(&self) -> u64 {
        self.operator.limits.records
    }

    fn most_sets(&self) -> usize {
        self.operator.limits.result_sets
    }
}

impl Clients {
    /// The client side, with so many places; connections with the mark `sru` speak SRU, all others Z39.50.
    pub fn new(operator: OperatorConfig, sru: u8, places: usize) -> Clients {
        let key_access = operator.key_index().and_then(search::access_of);
        let (clients, waiting) = (HashMap::new(), HashMap::new());
        let places = ConnectionSlots::new(places, places, operator.limits.session_idle_s * 1_000_000_000);
        Clients {
            told: Told { operator, key_access },
            sru,
            clients,
            waiting,
            places,
            draining: false,
            leaving: false,
        }
    }

    /// No connection is held.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Takes in what happened on one of its connections.
    pub fn event(&mut self, event: NetEvent, hands: &mut Hand) {
        match event {
            NetEvent::Accepted { owner, conn, peer } => {
                let reader = Reader::new(MessageKind::Request);
                let speech = if owner == self.sru {
                    Speech::Sru { reader, keep_alive: true, asked: None }
                } else {
                    Speech::Z3950(Box::default())
                };
                self.clients.insert(conn, Client { speech, job: None, peer });
                self.places.add(conn, hands.now);
                self.read(conn, hands);
                self.make_room(hands);
            }
            NetEvent::Readable { conn, .. } => self.read(conn, hands),
            NetEvent::Broken { conn, .. } => self.gone(conn, hands),
            NetEvent::Flushed { .. }
            | NetEvent::Connected { .. }
            | NetEvent::Datagrams { .. }
            | NetEvent::Signal(_) => {}
        }
    }

    /// Closes whom the places name while there are too many.
    fn make_room(&mut self, hands: &mut Hand) {
        while hands.net.accepted() > self.places.max_connections() && !hands.net.close_oldest_lingering() {
            let Some(conn) = self.places.eviction_candidate() else { return };
            // Who has asked meanwhile stays.
            self.read(conn, hands);
            if self.places.eviction_candidate() == Some(conn) {
                tracing::debug!("client connection closed to make room");
                let http = self.clients.get(&conn).is_some_and(|c| matches!(c.speech, Speech::Sru { .. }));
                if http && self.places.may_have_request(conn) {
                    let wait = hands.engine.overloaded().retry_after;
                    self.part_with(conn, Some(http::service_unavailable(wait)), hands);
                } else {
                    self.close(conn, hands);
                }
            }
        }
    }

    fn close(&mut self, conn: ConnId, hands: &mut Hand) {
        hands.net.close(conn);
        self.gone(conn, hands);
    }

    fn gone(&mut self, conn: ConnId, hands: &mut Hand) {
        self.places.remove(conn);
        if let Some((query, _)) = self.clients.remove(&conn).and_then(|c| c.job) {
            self.waiting.remove(&query);
            hands.engine.client_disconnected(query);
        }
    }

    fn read(&mut self, conn: ConnId, hands: &mut Hand) {
        for _ in 0..READS {
            let filled = hands.net.fill(conn);
            let Some(client) = self.clients.get_mut(&conn) else { return };
            match filled {
                ReadOutcome::Read(_) => self.work(conn, hands),
                // What a client sends ahead of its answer stays unread once the buffer is full.
                ReadOutcome::BufferFull if client.job.is_some() => return,
                ReadOutcome::BufferFull => {
                    self.work(conn, hands);
                    if hands.net.data(conn).len() >= ber::MAX_APDU {
                        return self.hang_up(conn, "a request larger than a buffer", hands);
                    }
                }
                ReadOutcome::WouldBlock => return,
                ReadOutcome::NoBuffer => {
                    // Guards those who ask against those who hold the buffers with half a request.
                    if let Some(other) = self.places.buffer_holder(conn) {
                        tracing::debug!("client connection closed for its buffer");
                        self.close(other, hands);
                    }
                    return;
                }
                ReadOutcome::Closed => return self.close(conn, hands),
            }
            if !self.clients.contains_key(&conn) {
                return;
            }
        }
        hands.net.requeue_readable(conn);
    }

    fn hang_up(&mut self, conn: ConnId, why: &str, hands: &mut Hand) {
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {why}", client.peer);
        }
        self.close(conn, hands);
    }

    /// Takes requests for as long as none waits for its answer.
    fn work(&mut self, conn: ConnId, hands: &mut Hand) {
        loop {
            let Some(client) = self.clients.get_mut(&conn).filter(|c| c.job.is_none()) else { return };
            let reading = matches!(&client.speech, Speech::Sru { reader, .. } if !reader.is_idle());
            if reading || !hands.net.data(conn).is_empty() {
                self.places.partial_request(conn, hands.now);
            }
            let more = match &mut client.speech {
                Speech::Sru { .. } => self.work_sru(conn, hands),
                Speech::Z3950(_) => self.work_z3950(conn, hands),
            };
            if !more {
                return;
            }
        }
    }

    // ---- Z39.50 ----

    fn work_z3950(&mut self, conn: ConnId, hands: &mut Hand) -> bool {
        let Some(Client { speech: Speech::Z3950(session), peer, .. }) = self.clients.get_mut(&conn) else {
            return false;
        };
        let data = hands.net.data(conn);
        let read =
            ber::size(data).and_then(|s| s.map(|s| Apdu::decode(&data[..s]).map(|a| (s, a))).transpose());
        let (size, apdu) = match read {
            Ok(None) => return false,
            Ok(Some(read)) => read,
            Err(e) => {
                tracing::warn!("client {peer} closed: {e}");
                let close = Session::close(CloseReason::ProtocolError, &e.to_string());
                let close = session.is_open().then_some(close);
                self.part_with(conn, close, hands);
                return false;
            }
        };
        hands.net.consume(conn, size);
        match session.request(apdu, self.draining, hands.now, &self.told) {
            Reply::Send(message) => self.send(conn, &message, hands),
            Reply::Last(message) => {
                self.last(conn, Some(message), hands);
                false
            }
            Reply::End => {
                self.last(conn, None, hands);
                false
            }
            Reply::Work(job) => {
                self.start(conn, job, hands);
                true
            }
        }
    }

    /// Sends a message; false if the connection had to be closed for it.
    fn send(&mut self, conn: ConnId, message: &[u8], hands: &mut Hand) -> bool {
        let sent = hands.net.send(conn, message).is_ok();
        if sent {
            self.places.request_answered(conn, hands.now);
        } else {
            self.hang_up(conn, "it does not read its answers", hands);
        }
        sent
    }

    /// Sends a last message and closes.
    fn last(&mut self, conn: ConnId, message: Option<Vec<u8>>, hands: &mut Hand) {
        if let Some(message) = message {
            let _ = hands.net.send(conn, &message);
        }
        hands.net.close_after_flush(conn);
        self.gone(conn, hands);
    }

    /// The same for a client that may be in the middle of a request.
    fn part_with(&mut self, conn: ConnId, message: Option<Vec<u8>>, hands: &mut Hand) {
        if let Some(message) = message {
            let _ = hands.net.send(conn, &message);
        }
        hands.net.close_lingering(conn, hands.now);
        self.gone(conn, hands);
    }

    // ---- SRU ----

    fn work_sru(&mut self, conn: ConnId, hands: &mut Hand) -> bool {
        let Some(Client { speech: Speech::Sru { reader, keep_alive, .. }, peer, .. }) =
            self.clients.get_mut(&conn)
        else {
            return false;
        };
        let pool = hands.net.pool().clone();
        let before = reader.head().is_some();
        let used = match reader.advance(hands.net.data(conn), &pool) {
            Ok(used) => used,
            Err(e) => {
                tracing::warn!("client {peer} closed: {e}");
                self.part_with(conn, Some(http::response(e.status(), &[], false, b"")), hands);
                return false;
            }
        };
        hands.net.consume(conn, used);
        if reader.head().filter(|_| !before).is_some_and(|h| h.expects_continue) && !reader.is_done() {
            let _ = hands.net.send(conn, b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        if !reader.is_done() {
            return false;
        }
        *keep_alive = reader.head().is_some_and(|h| h.keep_alive);
        self.request_sru(conn, hands);
        true
    }

    fn request_sru(&mut self, conn: ConnId, hands: &mut Hand) {
        let Some(Client { speech: Speech::Sru { reader, .. }, .. }) = self.clients.get_mut(&conn) else {
            return;
        };
        let Some(head) = reader.head() else { return };
        let is_form =
            head.header("content-type").is_none_or(|t| t.starts_with("application/x-www-form-urlencoded"));
        let databases = &self.told.operator.database;
        let path = head.path().trim_start_matches('/');
        let status = match (head.method.as_str(), path) {
            ("GET", "-/ready") if self.draining => 503,
            ("GET", "-/ready" | "-/healthy") => 200,
            ("GET" | "POST", "") => 0,
            ("GET" | "POST", path) if databases.iter().any(|d| d.name == path) => 0,
            ("GET" | "POST", _) => 404,
            _ => 405,
        };
        match status {
            0 if head.method == "POST" && !is_form => return self.respond(conn, 415, &[], b"", hands),
            0 => {}
            405 => return self.respond(conn, 405, &[("Allow", "GET, POST")], b"", hands),
            status => return self.respond(conn, status, &[], b"", hands),
        }
        let database = if path.is_empty() { databases[0].name.clone() } else { path.to_owned() };
        let form = if head.method == "POST" { String::from_utf8_lossy(reader.body()) } else { "".into() };
        let parameters = sru::parameters(&head.target, &form);
        match sru::read(&parameters) {
            Err((d, version)) => self.diagnose(conn, 200, &[], &d, version, hands),
            Ok(Request::Explain { version, packing }) => {
                let listen =
                    self.told.operator.listener.iter().find(|l| l.protocol == crate::config::Protocol::Sru);
                let port = listen.map_or(80, |l| l.listen.port());
                let host = head.header("host").unwrap_or("localhost").to_owned();
                let (host, port) = host
                    .rsplit_once(':')
                    .and_then(|(h, p)| Some((h, p.parse().ok()?)))
                    .unwrap_or((&host, port));
                let most = self.told.operator.limits.records;
                let body = sru::explain(version, packing, host, port, &database, most);
                self.respond(conn, 200, &[XML], &body, hands);
            }
            Ok(Request::Search(s)) => {
                use session::Catalogue;
                let shaped = cql::parse(&s.query).and_then(|search| self.told.shape(&database, search));
                let (shape, wait) = match shaped {
                    Ok(shaped) => shaped,
                    Err(d) => return self.diagnose(conn, 200, &[], &d, s.version, hands),
                };
                // A client may say that it waits for less long than its class does.
                let told = parameters.iter().find(|(n, _)| n == "x-deadline-ms");
                let wait = match told.map(|(_, v)| v.parse::<u64>()) {
                    None => wait,
                    Some(Ok(ms)) => wait.min(ms.saturating_mul(1_000_000)),
                    Some(Err(_)) => {
                        let d = Diagnostic::new(Condition::UnsupportedParameterValue, "x-deadline-ms");
                        return self.diagnose(conn, 200, &[], &d, s.version, hands);
                    }
                };
                let most = self.told.most_records();
                let count = s.maximum.unwrap_or(DEFAULT_RECORDS).min(most);
                let job = Job::search(shape, s.start, count, hands.now + wait);
                if let Some(Client { speech: Speech::Sru { asked, .. }, .. }) = self.clients.get_mut(&conn) {
                    *asked = Some(Asked { version: s.version, packing: s.packing, start: s.start });
                }
                self.start(conn, job, hands);
            }
        }
    }

    fn diagnose(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        d: &Diagnostic,
        version: &str,
        hands: &mut Hand,
    ) {
        let response = sru::Response { diagnostics: vec![d.clone()], ..sru::Response::default() };
        let body = sru::write(&response, version, RecordPacking::Xml, 1);
        let headers: Vec<(&str, &str)> = headers.iter().copied().chain([XML]).collect();
        self.respond(conn, status, &headers, &body, hands);
    }

    /// Writes an HTTP response and makes ready for the next request.
    fn respond(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        hands: &mut Hand,
    ) {
        let Some(Client { speech: Speech::Sru { reader, keep_alive, asked }, .. }) =
            self.clients.get_mut(&conn)
        else {
            return;
        };
        reader.reset();
        *asked = None;
        let keep = *keep_alive && !self.leaving;
        let message = http::response(status, headers, keep, body);
        if keep {
            self.send(conn, &message, hands);
        } else {
            self.last(conn, Some(message), hands);
        }
    }

    // ---- jobs ----

    fn start(&mut self, conn: ConnId, job: Job, hands: &mut Hand) {
        let ask = job.query_request(hands.now);
        match hands.engine.submit(hands.now, ask) {
            Ok(query) => {
                self.waiting.insert(query, conn);
                self.places.query_admitted(conn);
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.job = Some((query, job));
                }
            }
            Err(refused) => {
                tracing::info!("query refused: as many are open as may be");
                self.refused(conn, refused.retry_after, hands);
            }
        }
    }

    /// Takes the final answer to a query: the client's own answer, or the next query for it.
    pub fn finish(&mut self, query: QueryId, answer: QueryOutcome<PartValue>, hands: &mut Hand) {
        let Some(conn) = self.waiting.remove(&query) else { return };
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let Some((_, mut job)) = client.job.take() else { return };
        match answer {
            QueryOutcome::Rejected { retry_after: wait } => self.refused(conn, wait, hands),
            QueryOutcome::Failed => {
                let d = Diagnostic::new(Condition::OutOfTime, "no answer in time");
                self.failed(conn, 504, &[], d, hands);
            }
            QueryOutcome::Answered(answered) => match job.on_answer(answered) {
                NextStep::SendQuery => self.start(conn, job, hands),
                NextStep::Refused(d) => self.failed(conn, 200, &[], d, hands),
                NextStep::Done(outcome) => self.done(conn, job.planned_search(), outcome, hands),
            },
        }
        // What the client sent ahead is read now.
        self.work(conn, hands);
        if self.clients.contains_key(&conn) {
            self.read(conn, hands);
        }
    }

    fn refused(&mut self, conn: ConnId, wait: Nanos, hands: &mut Hand) {
        let text = http::retry_after(wait);
        let d = Diagnostic::new(Condition::TemporarilyUnavailable, format!("ask again after {text} s"));
        let headers: &[(&str, &str)] = if wait > 0 { &[("Retry-After", &text)] } else { &[] };
        self.failed(conn, 503, headers, d, hands);
    }

    fn failed(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        d: Diagnostic,
        hands: &mut Hand,
    ) {
        let message = match self.clients.get_mut(&conn).map(|c| &mut c.speech) {
            None => return,
            Some(Speech::Sru { asked, .. }) => {
                let version = asked.as_ref().map_or("1.2", |a| a.version);
                return self.diagnose(conn, status, headers, &d, version, hands);
            }
            Some(Speech::Z3950(session)) => session.failed(d),
        };
        self.answer_z3950(conn, message, hands);
    }

    fn done(&mut self, conn: ConnId, shape: &PlannedSearch, outcome: SearchResult, hands: &mut Hand) {
        let message = match self.clients.get_mut(&conn).map(|c| &mut c.speech) {
            None => return,
            Some(Speech::Sru { asked, .. }) => {
                let Some(Asked { version, packing, start }) = asked.take() else { return };
                let body = respond_search(outcome, version, packing, start);
                return self.respond(conn, 200, &[XML], &body, hands);
            }
            Some(Speech::Z3950(session)) => session.done(shape, outcome),
        };
        self.answer_z3950(conn, message, hands);
    }

    fn answer_z3950(&mut self, conn: ConnId, message: Option<Vec<u8>>, hands: &mut Hand) {
        let Some(message) = message else { return };
        if self.send(conn, &message, hands) && self.leaving {
            self.last(conn, Some(Session::close(CloseReason::Shutdown, "this broker ends")), hands);
        }
    }

    // ---- time ----

    /// From now on there are so many places.
    pub fn keep_to(&mut self, most: usize) {
        self.places.set_limits(most, most);
    }

    /// The classes' names in the order of the settings.
    pub fn class_names(&self) -> Vec<String> {
        self.told.operator.class.iter().map(|c| c.name.clone()).collect()
    }

    /// Whether it is ready, for those who ask; if not, no session is opened.
    pub fn ready(&mut self, ready: bool) {
        self.draining = !ready;
    }

    /// Whether answers say that their connection ends.
    pub fn last_answers(&mut self, last: bool) {
        self.leaving = last;
    }

    /// Ends sessions that ask for nothing, once this broker is to end.
    pub fn close_sessions(&mut self, hands: &mut Hand) {
        let open = |c: &Client| matches!(&c.speech, Speech::Z3950(s) if s.is_open());
        let idle: Vec<ConnId> =
            self.clients.iter().filter(|(_, c)| open(c) && c.job.is_none()).map(|(conn, _)| *conn).collect();
        for conn in idle {
            // A request that came before the word to end is still taken.
            self.read(conn, hands);
            if self.clients.get(&conn).is_some_and(|c| c.job.is_none()) {
                self.last(conn, Some(Session::close(CloseReason::Shutdown, "this broker ends")), hands);
            }
        }
    }

    /// Reads once more whatever has come, then closes connections that ask for nothing.
    pub fn close_idle(&mut self, hands: &mut Hand) {
        let conns: Vec<ConnId> = self.clients.keys().copied().collect();
        for conn in conns {
            self.read(conn, hands);
            let idle = |c: &Client| match &c.speech {
                Speech::Sru { reader, .. } => c.job.is_none() && reader.is_idle(),
                Speech::Z3950(_) => c.job.is_none(),
            };
            if !self.places.is_fresh(conn, hands.now) && self.clients.get(&conn).is_some_and(idle) {
                self.last(conn, None, hands);
            }
        }
    }

    /// Closes connections on which nothing moves.
    pub fn tick(&mut self, hands: &mut Hand) {
        if self.leaving {
            self.close_sessions(hands);
        }
        // Who was answered meanwhile may have to go for those that wait to be accepted.
        self.make_room(hands);
        while let Some(conn) = self.places.overdue(hands.now) {
            let Some(client) = self.clients.get(&conn) else { return self.places.remove(conn) };
            tracing::info!("client {} closed: nothing came for too long", client.peer);
            let message = match &client.speech {
                Speech::Z3950(s) => {
                    s.is_open().then(|| Session::close(CloseReason::LackOfActivity, "nothing came"))
                }
                Speech::Sru { reader, .. } => {
                    let some = !reader.is_idle() || !hands.net.data(conn).is_empty();
                    some.then(|| http::response(408, &[], false, b""))
                }
            };
            self.part_with(conn, message, hands);
        }
    }

    /// When `tick` is next worth calling.
    pub fn due(&self) -> Option<Nanos> {
        self.places.due()
    }
}

/// Records in an answer where the client names no number.
const DEFAULT_RECORDS: u64 = 10;
const XML: (&str, &str) = ("Content-Type", "text/xml; charset=utf-8");

fn respond_search(outcome: SearchResult, version: &str, packing: RecordPacking, start: u64) -> Vec<u8> {
    let total = outcome.counts.total();
    let next = start.saturating_add(outcome.items.len() as u64);
    let mut diagnostics: Vec<Diagnostic> = outcome.counts.diagnostic().into_iter().collect();
    if start > 1 && start > total {
        diagnostics.push(Diagnostic::new(Condition::FirstPositionOutOfRange, start.to_string()));
    }
    let next = (next <= total).then_some(next);
    sru::write(&sru::Response { total, items: outcome.items, next, diagnostics }, version, packing, start)
}
