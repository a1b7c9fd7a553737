//! Closing connections: at a limit, at the end of a drain phase, or after an error.

use super::{Client, Context, Downstream, ProtocolState};
use crate::frontends::catalogue::apdu::CloseReason;
use crate::frontends::catalogue::session::Session;
use crate::http::{self, HttpError};
use crate::net::ConnId;

impl Downstream {
    /// While there are too many connections, closes the first in the order of the connection slots.
    pub(super) fn close_excess(&mut self, context: &mut Context) {
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

    pub(super) fn close(&mut self, conn: ConnId, context: &mut Context) {
        context.net.close(conn);
        self.on_closed(conn, context);
    }

    pub(super) fn on_closed(&mut self, conn: ConnId, context: &mut Context) {
        self.slots.remove(conn);
        if let Some((query, _)) = self.clients.remove(&conn).and_then(|c| c.job) {
            self.conn_by_query.remove(&query);
            context.engine.client_disconnected(query);
        }
    }

    pub(super) fn close_with_warning(&mut self, conn: ConnId, why: &str, context: &mut Context) {
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {why}", client.peer);
        }
        self.close(conn, context);
    }

    /// Sends a last message, if any, and closes the connection once it is written.
    pub(super) fn send_and_close(&mut self, conn: ConnId, message: Option<Vec<u8>>, context: &mut Context) {
        if let Some(message) = message {
            let _ = context.net.send(conn, &message);
        }
        context.net.close_after_flush(conn);
        self.on_closed(conn, context);
    }

    /// Same as `send_and_close`, for a client that may still be sending a request.
    pub(super) fn close_lingering(&mut self, conn: ConnId, message: Option<Vec<u8>>, context: &mut Context) {
        if let Some(message) = message {
            let _ = context.net.send(conn, &message);
        }
        context.net.close_lingering(conn, context.now);
        self.on_closed(conn, context);
    }

    /// Closes a Z39.50 session that has sent a buffer full of requests behind a pending one, although concurrent
    /// operations are never negotiated: how long it stays could no longer be seen.
    pub(super) fn close_pipelining_session(&mut self, conn: ConnId, context: &mut Context) {
        let why = "requests behind a pending one exceed the buffer size";
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {why}", client.peer);
        }
        let closing_message = Session::closing_message(CloseReason::ProtocolError, why);
        self.close_lingering(conn, Some(closing_message), context);
    }

    pub(super) fn reject_malformed(&mut self, conn: ConnId, e: HttpError, context: &mut Context) {
        if let Some(client) = self.clients.get(&conn) {
            tracing::warn!("client {} closed: {e}", client.peer);
        }
        self.close_lingering(conn, Some(http::response(e.status(), &[], false, b"")), context);
    }

    /// Refuses the request of a connection other than `except` that holds a buffer with part of it, and closes
    /// that connection, so that such connections can't block other clients.
    pub(super) fn free_buffer(&mut self, except: ConnId, context: &mut Context) {
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
}
