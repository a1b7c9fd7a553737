//! The client side: HTTP connections that hand queries to the exchange and wait for its answers.

use super::RequestContext;
use super::query;
use super::recent_request_ids::UsedIds;
use crate::api::Nanos;
use crate::config::Names;
use crate::engine::{QueryId, QueryOutcome, QueryRequest};
use crate::frontends::connection_slots::ConnectionSlots;
use crate::http::{self, HttpError, Reader, Side};
use crate::net::{ConnId, MAX_BODY, NetEvent, ReadOutcome};
use crate::server::FrontendContext;
use crate::server::drain::DrainPhase;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Most reads of one connection at a time.
const READS: usize = 4;

struct Client {
    reader: Reader,
    /// The query it waits for, and its id on the wire.
    query: Option<QueryId>,
    id: Option<Rc<str>>,
    keep_alive: bool,
    peer: SocketAddr,
}

/// All client connections.
pub struct Downstream {
    names: Names,
    shards: u32,
    clients: HashMap<ConnId, Client>,
    waiting: HashMap<QueryId, ConnId>,
    places: ConnectionSlots,
    used: UsedIds,
    /// Not ready, and how far clients are sent away.
    draining: bool,
    leaving: DrainPhase,
}

type Platform<'a> = FrontendContext<'a, RequestContext, String>;

impl Downstream {
    /// The client side, with the classes' names, and its places.
    pub fn new(names: Names, shards: u32, places: ConnectionSlots) -> Downstream {
        let (clients, waiting, used) = (HashMap::new(), HashMap::new(), UsedIds::default());
        Downstream {
            names,
            shards,
            clients,
            waiting,
            places,
            used,
            draining: false,
            leaving: DrainPhase::Serving,
        }
    }

    /// No connection is held.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// From now on there are so many places, of which so many for who has asked.
    pub fn keep_to(&mut self, most: usize, most_proven: usize) {
        self.places.set_limits(most, most_proven);
    }

    /// Ids of open queries.
    pub fn open_ids(&self) -> Vec<String> {
        self.clients.values().filter_map(|c| c.id.as_ref()).map(|id| id.to_string()).collect()
    }

    /// Ids that another process has in use.
    pub fn ids_in_use(&mut self, ids: &[String], now: Nanos) {
        for id in ids {
            self.used.add(now, id.as_str().into());
        }
    }

    /// The classes' names in the order of the settings.
    pub fn class_names(&self) -> Vec<String> {
        self.names.classes()
    }

    /// When `tick` is next worth calling.
    pub fn due(&self) -> Option<Nanos> {
        self.places.due()
    }

    /// Takes in what happened on one of its connections.
    pub fn event(&mut self, event: NetEvent, hands: &mut Platform) {
        match event {
            NetEvent::Accepted { conn, peer, .. } => {
                let reader = Reader::new(Side::Requests);
                self.clients.insert(conn, Client { reader, query: None, id: None, keep_alive: true, peer });
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
    fn make_room(&mut self, hands: &mut Platform) {
        while hands.net.accepted() > self.places.max_connections() && !hands.net.close_oldest_lingering() {
            let Some(conn) = self.places.eviction_candidate() else { return };
            // Who has asked meanwhile stays.
            self.read(conn, hands);
            if self.places.eviction_candidate() == Some(conn) {
                tracing::debug!("client connection closed to make room");
                if self.places.may_have_request(conn) {
                    let wait = hands.engine.overloaded().retry_after;
                    self.part_with(conn, &http::service_unavailable(wait), hands);
                } else {
                    self.close(conn, hands);
                }
            }
        }
    }

    fn close(&mut self, conn: ConnId, hands: &mut Platform) {
        hands.net.close(conn);
        self.gone(conn, hands);
    }

    fn gone(&mut self, conn: ConnId, hands: &mut Platform) {
        self.places.remove(conn);
        if let Some(query) = self.clients.remove(&conn).and_then(|c| c.query) {
            self.waiting.remove(&query);
            hands.engine.client_disconnected(query);
        }
    }

    fn read(&mut self, conn: ConnId, hands: &mut Platform) {
        for _ in 0..READS {
            match hands.net.fill(conn) {
                ReadOutcome::Read(_) => self.work(conn, hands),
                // What a client sends ahead of its answer stays unread once the buffer is full.
                ReadOutcome::BufferFull => {
                    self.work(conn, hands);
                    if self.clients.get(&conn).is_none_or(|c| c.query.is_some()) {
                        return self.close_if_ended(conn, hands);
                    }
                }
                ReadOutcome::WouldBlock => return,
                ReadOutcome::NoBuffer if hands.net.peer_ended(conn) => return self.close(conn, hands),
                ReadOutcome::NoBuffer => {
                    // Guards those who ask against those who hold the buffers with half a request.
                    self.free_a_buffer(conn, hands);
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

    /// Guards against work for a client that has gone, the end of whose connection can't be read for what lies before.
    fn close_if_ended(&mut self, conn: ConnId, hands: &mut Platform) {
        if hands.net.peer_ended(conn) {
            self.close(conn, hands);
        }
    }

    /// Closes who holds a buffer with a part of a request, for another's sake. False if there is nobody.
    fn free_a_buffer(&mut self, but: ConnId, hands: &mut Platform) -> bool {
        let Some(other) = self.places.buffer_holder(but) else { return false };
        tracing::debug!("client connection closed for its buffer");
        self.close(other, hands);
        true
    }

    /// Parses what is there, and takes requests for as long as none waits for its answer.
    fn work(&mut self, conn: ConnId, hands: &mut Platform) {
        loop {
            let Some(client) = self.clients.get_mut(&conn).filter(|c| c.query.is_none()) else { return };
            let pool = hands.net.pool().clone();
            let before = client.reader.head().is_some();
            let used = match client.reader.advance(hands.net.data(conn), &pool) {
                Ok(used) => used,
                // Guards a whole request against those who hold the buffers with half a one.
                Err(HttpError::NoBuffer) => {
                    if self.free_a_buffer(conn, hands) {
                        continue;
                    }
                    let wait = hands.engine.overloaded().retry_after;
                    return self.part_with(conn, &http::service_unavailable(wait), hands);
                }
                Err(e) => return self.unreadable(conn, e, hands),
            };
            hands.net.consume(conn, used);
            let head = client.reader.head().filter(|_| !before);
            if head.is_some_and(|h| h.expects_continue) && !client.reader.is_done() {
                let _ = hands.net.send(conn, b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            if !client.reader.is_done() {
                if !client.reader.is_idle() || !hands.net.data(conn).is_empty() {
                    self.places.partial_request(conn, hands.now);
                }
                return;
            }
            self.request(conn, hands);
        }
    }

    fn unreadable(&mut self, conn: ConnId, e: HttpError, hands: &mut Platform) {
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {e}", client.peer);
        }
        self.part_with(conn, &http::response(e.status(), &[], false, b""), hands);
    }

    /// Tells a client what was wrong and closes, though it may be in the middle of a request.
    fn part_with(&mut self, conn: ConnId, message: &[u8], hands: &mut Platform) {
        let _ = hands.net.send(conn, message);
        hands.net.close_lingering(conn, hands.now);
        self.gone(conn, hands);
    }

    fn request(&mut self, conn: ConnId, hands: &mut Platform) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let Some(head) = client.reader.head() else { return };
        client.keep_alive = head.keep_alive;
        let (method, path) = (head.method.as_str(), head.path());
        let (status, allow) = match (method, path) {
            ("POST", "/api") => match query::read(head, client.reader.body(), &self.names, self.shards) {
                Err(why) => {
                    tracing::info!("request of client {} is bad: {why}", client.peer);
                    return self.reply(conn, 400, &[], why.as_bytes(), hands);
                }
                Ok(ask) if self.used.has(&ask.payload.id) => {
                    tracing::info!("request of client {} has the id of another", client.peer);
                    return self.reply(conn, 409, &[], b"this Req-Id was used", hands);
                }
                Ok(ask) => return self.open(conn, ask, hands),
            },
            ("GET", "/-/ready") => (if self.draining { 503 } else { 200 }, ""),
            ("GET", "/-/healthy") => (200, ""),
            (_, "/api") => (405, "POST"),
            (_, "/-/ready" | "/-/healthy") => (405, "GET"),
            _ => (404, ""),
        };
        let headers: &[(&str, &str)] = if allow.is_empty() { &[] } else { &[("Allow", allow)] };
        self.reply(conn, status, headers, b"", hands);
    }

    fn open(&mut self, conn: ConnId, ask: QueryRequest<RequestContext>, hands: &mut Platform) {
        let id = ask.payload.id.clone();
        match hands.engine.submit(hands.now, ask) {
            Ok(query) => {
                tracing::debug!(request = %id, query = query.0, "request was admitted as a query");
                if let Some(client) = self.clients.get_mut(&conn) {
                    (client.query, client.id) = (Some(query), Some(id.clone()));
                    client.reader.reset();
                }
                self.used.add(hands.now, id);
                self.waiting.insert(query, conn);
                self.places.query_admitted(conn);
            }
            Err(refused) => {
                tracing::info!("query refused: as many are open as may be");
                self.refuse(conn, refused.retry_after, hands);
            }
        }
    }

    fn refuse(&mut self, conn: ConnId, wait: Nanos, hands: &mut Platform) {
        let text = http::retry_after(wait);
        let headers: &[(&str, &str)] = if wait > 0 { &[("Retry-After", &text)] } else { &[] };
        self.reply(conn, 503, headers, b"", hands);
    }

    /// Writes a response and makes ready for the next request.
    fn reply(
        &mut self,
        conn: ConnId,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        hands: &mut Platform,
    ) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.reader.reset();
        // Guards requests that were sent ahead: they are answered before the connection ends, but not without end.
        let ahead = self.leaving < DrainPhase::ClosingAll && !hands.net.data(conn).is_empty();
        let keep = client.keep_alive && (self.leaving < DrainPhase::ClosingAfterAnswer || ahead);
        let message = http::response(status, headers, keep, body);
        if hands.net.send(conn, &message).is_err() {
            tracing::warn!("client {} closed: it does not read its answers", client.peer);
            self.close(conn, hands);
        } else if !keep {
            // Guards the answer: the client may have sent more behind its last request.
            hands.net.close_lingering(conn, hands.now);
            self.gone(conn, hands);
        } else {
            self.places.request_answered(conn, hands.now);
        }
    }

    /// Hands a final answer to the client that waits for it.
    pub fn finish(
        &mut self,
        query: QueryId,
        answer: QueryOutcome<String>,
        hands: &mut FrontendContext<RequestContext, String>,
    ) {
        let Some(conn) = self.waiting.remove(&query) else { return };
        if let Some(client) = self.clients.get_mut(&conn) {
            (client.query, client.id) = (None, None);
        }
        match answer {
            QueryOutcome::Answered(answered) => {
                let json = [("Content-Type", "application/json")];
                let body = query::answer(&answered);
                // No body on this port is larger; half an answer would be worse than none.
                if body.len() > MAX_BODY {
                    tracing::error!("an answer of {} bytes is larger than may be", body.len());
                    self.reply(conn, 502, &[], b"", hands);
                } else {
                    self.reply(conn, 200, &json, &body, hands);
                }
            }
            QueryOutcome::Rejected { retry_after: wait } => self.refuse(conn, wait, hands),
            QueryOutcome::Failed => self.reply(conn, 504, &[], b"", hands),
        }
        // What the client sent ahead is read now.
        self.work(conn, hands);
        if self.clients.contains_key(&conn) {
            self.read(conn, hands);
        }
    }

    /// Whether it is ready, for those who ask.
    pub fn ready(&mut self, ready: bool) {
        self.draining = !ready;
    }

    /// How clients are to be treated from now on.
    pub fn step(&mut self, step: DrainPhase) {
        self.leaving = step;
    }

    /// Reads once more whatever has come, then closes connections that ask for nothing.
    pub fn close_idle(&mut self, hands: &mut Platform) {
        let conns: Vec<ConnId> = self.clients.keys().copied().collect();
        for conn in conns {
            self.read(conn, hands);
            if self.places.is_fresh(conn, hands.now) {
                continue;
            }
            // A part of a head that is in stands in the buffer: the rest of it is on its way.
            let rests = self.clients.get(&conn).is_some_and(|c| c.query.is_none() && c.reader.is_idle());
            if rests && hands.net.data(conn).is_empty() {
                // A request may come in this moment: it is not read, and the answers before it are.
                hands.net.close_lingering(conn, hands.now);
                self.gone(conn, hands);
            }
        }
    }

    /// Closes connections that have had their time to ask. Who sent a part of a request is told.
    pub fn tick(&mut self, hands: &mut Platform) {
        // Who was answered meanwhile may have to go for those that wait to be accepted.
        self.make_room(hands);
        while let Some(conn) = self.places.excess_idle() {
            self.read(conn, hands);
            if self.places.excess_idle() == Some(conn) {
                tracing::debug!("client connection closed for those that come next");
                self.close(conn, hands);
            }
        }
        while let Some(conn) = self.places.overdue(hands.now) {
            let Some(client) = self.clients.get(&conn) else { return self.places.remove(conn) };
            tracing::info!("client {} closed: nothing came for too long", client.peer);
            if client.reader.is_idle() && hands.net.data(conn).is_empty() {
                self.close(conn, hands);
            } else {
                self.part_with(conn, &http::response(408, &[], false, b""), hands);
            }
        }
    }
}
