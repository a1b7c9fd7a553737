//! The client side: HTTP connections that hand queries to the exchange and wait for its answers.

use super::Carried;
use super::query::{self, Limits};
use crate::api::Nanos;
use crate::broker::Hands;
use crate::config::Names;
use crate::core::{Final, QueryId};
use crate::front::http::{self, HttpError, Reader, Side};
use crate::net::{ConnId, Filled, MAX_BODY, NetEvent, Reactor};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time in which a request must be in whole, from its first byte. Guards the places for clients against peers
/// that send a byte now and then.
const STALLED: Nanos = 10_000_000_000;
/// Time without a request after which a connection is closed.
const IDLE: Nanos = 120_000_000_000;

/// Time between two looks for such connections.
const SWEEP: Nanos = 1_000_000_000;

struct Client {
    reader: Reader,
    /// The query it waits for.
    query: Option<QueryId>,
    keep_alive: bool,
    touched: Nanos,
    /// When the first byte came of a request that is not whole.
    begun: Option<Nanos>,
    peer: SocketAddr,
}

/// All client connections.
pub struct Clients {
    names: Names,
    deadlines: Vec<Nanos>,
    shards: u32,
    clients: HashMap<ConnId, Client>,
    waiting: HashMap<QueryId, ConnId>,
    draining: bool,
    swept: Nanos,
}

type Platform<'a> = Hands<'a, Carried, String>;

impl Clients {
    /// The client side, with the classes' names and deadlines.
    pub fn new(names: Names, deadlines: Vec<Nanos>, shards: u32) -> Clients {
        let (clients, waiting) = (HashMap::new(), HashMap::new());
        Clients { names, deadlines, shards, clients, waiting, draining: false, swept: 0 }
    }

    /// No connection is held.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// When `sweep` is next worth calling.
    pub fn next_sweep(&self) -> Nanos {
        self.swept + SWEEP
    }

    /// Takes in what happened on one of its connections.
    pub fn event(&mut self, event: NetEvent, hands: &mut Platform) {
        match event {
            NetEvent::Accepted { conn, peer, .. } => {
                let reader = Reader::new(Side::Requests);
                let client =
                    Client { reader, query: None, keep_alive: true, touched: hands.now, begun: None, peer };
                self.clients.insert(conn, client);
                self.read(conn, hands);
            }
            NetEvent::Readable { conn, .. } => self.read(conn, hands),
            NetEvent::Broken { conn, .. } => self.gone(conn, hands),
            NetEvent::Flushed { .. } | NetEvent::Connected { .. } | NetEvent::Signal(_) => {}
        }
    }

    fn gone(&mut self, conn: ConnId, hands: &mut Platform) {
        if let Some(query) = self.clients.remove(&conn).and_then(|c| c.query) {
            self.waiting.remove(&query);
            hands.exchange.client_gone(query);
        }
    }

    fn read(&mut self, conn: ConnId, hands: &mut Platform) {
        loop {
            let filled = hands.net.fill(conn);
            if let Some(client) = self.clients.get_mut(&conn)
                && matches!(filled, Filled::Some(_))
            {
                client.touched = hands.now;
            }
            match filled {
                Filled::Some(_) => self.work(conn, hands),
                // What a client sends ahead of its answer stays unread once the buffer is full.
                Filled::Full => {
                    self.work(conn, hands);
                    if self.clients.get(&conn).is_none_or(|c| c.query.is_some()) {
                        return;
                    }
                }
                Filled::Nothing | Filled::NoBuffer => return,
                Filled::Ended => {
                    hands.net.close(conn);
                    return self.gone(conn, hands);
                }
            }
        }
    }

    /// Parses what is there, and takes requests for as long as none waits for its answer.
    fn work(&mut self, conn: ConnId, hands: &mut Platform) {
        loop {
            let Some(client) = self.clients.get_mut(&conn).filter(|c| c.query.is_none()) else { return };
            let some = !client.reader.is_idle() || !hands.net.data(conn).is_empty();
            client.begun = some.then(|| client.begun.unwrap_or(hands.now));
            let pool = hands.net.pool().clone();
            let before = client.reader.head().is_some();
            let used = match client.reader.advance(hands.net.data(conn), &pool) {
                Ok(used) => used,
                Err(e) => return self.unreadable(conn, e, hands.net),
            };
            hands.net.consume(conn, used);
            let head = client.reader.head().filter(|_| !before);
            if head.is_some_and(|h| h.expects_continue) && !client.reader.is_done() {
                let _ = hands.net.send(conn, b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            if !client.reader.is_done() {
                return;
            }
            self.request(conn, hands);
        }
    }

    fn unreadable(&mut self, conn: ConnId, e: HttpError, net: &mut Reactor) {
        if let Some(client) = self.clients.get(&conn) {
            log::warn!("client {} closed: {e}", client.peer);
        }
        let status = match e {
            HttpError::Malformed(_) => 400,
            HttpError::TooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::NoBuffer => 503,
        };
        if let Some(client) = self.clients.get_mut(&conn) {
            client.keep_alive = false;
        }
        self.reply(conn, status, &[], b"", net);
    }

    fn request(&mut self, conn: ConnId, hands: &mut Platform) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        let Some(head) = client.reader.head() else { return };
        client.keep_alive = head.keep_alive;
        let (method, path) = (head.method.as_str(), head.path());
        let (status, allow) = match (method, path) {
            ("POST", "/api") => {
                let (names, deadlines, shards) = (&self.names, &self.deadlines[..], self.shards);
                match query::read(head, client.reader.body(), &Limits { names, deadlines, shards }) {
                    Err(why) => {
                        log::info!("request of client {} is bad: {why}", client.peer);
                        return self.reply(conn, 400, &[], why.as_bytes(), hands.net);
                    }
                    Ok(ask) => match hands.exchange.open(hands.now, ask) {
                        Ok(query) => {
                            client.query = Some(query);
                            client.reader.reset();
                            self.waiting.insert(query, conn);
                            return;
                        }
                        Err(refused) => {
                            log::info!("query refused: as many are open as may be");
                            return self.refuse(conn, refused.wait, hands.net);
                        }
                    },
                }
            }
            ("GET", "/-/ready") => (if self.draining { 503 } else { 200 }, ""),
            ("GET", "/-/healthy") => (200, ""),
            (_, "/api") => (405, "POST"),
            (_, "/-/ready" | "/-/healthy") => (405, "GET"),
            _ => (404, ""),
        };
        let headers: &[(&str, &str)] = if allow.is_empty() { &[] } else { &[("Allow", allow)] };
        self.reply(conn, status, headers, b"", hands.net);
    }

    fn refuse(&mut self, conn: ConnId, wait: Nanos, net: &mut Reactor) {
        let text = http::retry_after(wait);
        let headers: &[(&str, &str)] = if wait > 0 { &[("Retry-After", &text)] } else { &[] };
        self.reply(conn, 503, headers, b"", net);
    }

    /// Writes a response and makes ready for the next request.
    fn reply(&mut self, conn: ConnId, status: u16, headers: &[(&str, &str)], body: &[u8], net: &mut Reactor) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.reader.reset();
        let keep = client.keep_alive && !self.draining;
        let message = http::response(status, headers, keep, body);
        if net.send(conn, &message).is_err() {
            log::warn!("client {} closed: it does not read its answers", client.peer);
            net.close(conn);
        } else if !keep {
            net.close_after_flush(conn);
        }
        if !keep {
            self.clients.remove(&conn);
        }
    }

    /// Hands a final answer to the client that waits for it.
    pub fn finish(&mut self, query: QueryId, answer: Final<String>, hands: &mut Hands<Carried, String>) {
        let Some(conn) = self.waiting.remove(&query) else { return };
        if let Some(client) = self.clients.get_mut(&conn) {
            client.query = None;
            client.touched = hands.now;
        }
        match answer {
            Final::Answered(answered) => {
                let json = [("Content-Type", "application/json")];
                let body = query::answer(&answered);
                // No body on this port is larger; half an answer would be worse than none.
                if body.len() > MAX_BODY {
                    log::error!("an answer of {} bytes is larger than may be", body.len());
                    self.reply(conn, 502, &[], b"", hands.net);
                } else {
                    self.reply(conn, 200, &json, &body, hands.net);
                }
            }
            Final::Refused { wait } => self.refuse(conn, wait, hands.net),
            Final::Failed => self.reply(conn, 504, &[], b"", hands.net),
        }
        // What the client sent ahead is read now.
        self.work(conn, hands);
        if self.clients.contains_key(&conn) {
            self.read(conn, hands);
        }
    }

    /// From hands.now on answers say that their connection ends.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Reads once more whatever has come, then closes connections that ask for nothing.
    pub fn close_idle(&mut self, hands: &mut Platform) {
        let conns: Vec<ConnId> = self.clients.keys().copied().collect();
        for conn in conns {
            self.read(conn, hands);
            if self.clients.get(&conn).is_some_and(|c| c.query.is_none() && c.reader.is_idle()) {
                self.clients.remove(&conn);
                hands.net.close(conn);
            }
        }
    }

    /// Closes connections on which nothing moves. Guards the descriptors against peers that only hold them.
    pub fn sweep(&mut self, now: Nanos, net: &mut Reactor) {
        if now < self.swept + SWEEP {
            return;
        }
        self.swept = now;
        self.clients.retain(|conn, c| {
            let late = c.begun.map_or(c.touched + IDLE, |t| t + STALLED);
            let stale = c.query.is_none() && now > late;
            if stale {
                log::info!("client {} closed: nothing came for too long", c.peer);
                net.close(*conn);
            }
            !stale
        });
    }
}
