//! The connections of the admin endpoint. Each carries one request and one response.

use super::request::{self, AdminRequest, AdminResponse, MAX_LINE_BYTES, RequestError};
use crate::api::Nanos;
use crate::net::{ConnId, ConnectionClass, NetEvent, PollLoop, Pool, ReadOutcome};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// The owner id of its connections in the poll loop, far from the ids of the frontends.
pub const OWNER: u8 = 200;
/// Maximum number of connections. Above it, the oldest one without a complete request is closed.
pub const MAX_CONNECTIONS: usize = 16;
/// Time limit for a caller to send a complete line, nanoseconds.
const REQUEST_TIMEOUT: Nanos = 10_000_000_000;
/// Size of a buffer, bytes.
const BUFFER_BYTES: usize = 4096;
/// Number of buffers: each caller may use one to send its request, and the responses that wait to be
/// written need as many again.
const BUFFER_COUNT: usize = 4 * MAX_CONNECTIONS;

/// A caller that has not sent a complete line.
#[derive(Debug)]
struct PendingCaller {
    conn: ConnId,
    address: SocketAddr,
    accepted_at: Nanos,
}

/// The result of a read from a caller.
enum LineRead {
    /// Bytes were read, and more may be available.
    Progress,
    /// No more bytes are available at present.
    Blocked,
    /// The caller closed the connection without sending a request.
    Closed,
    /// A complete line, or an error that more bytes can't correct.
    Line(Result<AdminRequest, RequestError>),
}

/// The admin endpoint: its callers, and the complete requests that wait to be executed.
#[derive(Debug)]
pub struct AdminServer {
    local_addr: SocketAddr,
    /// Ordered by the time of acceptance, oldest first.
    pending: VecDeque<PendingCaller>,
    requests: VecDeque<(ConnId, AdminRequest)>,
}

impl AdminServer {
    /// Listens at `addr`.
    ///
    /// # Errors
    ///
    /// If the socket can't be opened.
    pub fn open(addr: SocketAddr, net: &mut PollLoop) -> io::Result<AdminServer> {
        let pool = Pool::with_buffer_size(BUFFER_COUNT, BUFFER_BYTES);
        let local_addr = net.listen_with_pool(addr, OWNER, ConnectionClass::Admin, MAX_CONNECTIONS, pool)?;
        Ok(AdminServer { local_addr, pending: VecDeque::new(), requests: VecDeque::new() })
    }

    /// The address at which it listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// The next request to execute, and the connection for its response.
    pub fn next_request(&mut self) -> Option<(ConnId, AdminRequest)> {
        self.requests.pop_front()
    }

    /// Handles an event of one of its connections.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        match event {
            NetEvent::Accepted { conn, peer, .. } => {
                self.pending.push_back(PendingCaller { conn, address: peer, accepted_at: now });
                self.read(conn, now, net);
                self.close_excess_callers(net);
            }
            NetEvent::Readable { conn, .. } => self.read(conn, now, net),
            NetEvent::Broken { conn, .. } => _ = self.remove(conn),
            NetEvent::Flushed { .. }
            | NetEvent::Connected { .. }
            | NetEvent::Datagrams { .. }
            | NetEvent::Signal(_) => {}
        }
    }

    fn close_excess_callers(&mut self, net: &mut PollLoop) {
        while net.accepted_in_class(ConnectionClass::Admin) > MAX_CONNECTIONS
            && let Some(oldest) = self.pending.pop_front()
        {
            net.close(oldest.conn);
        }
    }

    fn remove(&mut self, conn: ConnId) -> Option<PendingCaller> {
        let position = self.pending.iter().position(|caller| caller.conn == conn)?;
        self.pending.remove(position)
    }

    fn read(&mut self, conn: ConnId, now: Nanos, net: &mut PollLoop) {
        while self.pending.iter().any(|caller| caller.conn == conn) {
            match read_line(conn, net) {
                LineRead::Progress => {}
                LineRead::Blocked => return,
                LineRead::Closed => {
                    self.remove(conn);
                    return net.close(conn);
                }
                LineRead::Line(request) => {
                    let caller = self.remove(conn);
                    // A connection carries one line; bytes after it are discarded.
                    let length = net.data(conn).len();
                    net.consume(conn, length);
                    match request {
                        Ok(request) => self.requests.push_back((conn, request)),
                        Err(error) => reject(conn, caller, error, now, net),
                    }
                }
            }
        }
    }

    /// Sends the response to a request, and closes its connection once it is written.
    pub fn respond(&mut self, conn: ConnId, response: &AdminResponse, net: &mut PollLoop) {
        if net.send(conn, response.encode().as_bytes()).is_err() {
            return net.close(conn);
        }
        net.close_after_flush(conn);
    }

    /// Closes the connections of callers that have not sent a request within `REQUEST_TIMEOUT`.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        while let Some(caller) =
            self.pending.pop_front_if(|caller| caller.accepted_at + REQUEST_TIMEOUT <= now)
        {
            net.close(caller.conn);
        }
    }

    /// When [`AdminServer::tick`] next has work to do.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.pending.front().map(|caller| caller.accepted_at + REQUEST_TIMEOUT)
    }
}

fn read_line(conn: ConnId, net: &mut PollLoop) -> LineRead {
    let outcome = net.fill(conn);
    let data = net.data(conn);
    let line_end = data.iter().take(MAX_LINE_BYTES + 1).position(|byte| *byte == b'\n');
    match (line_end, outcome) {
        (Some(line_end), _) => LineRead::Line(request::parse(data[..line_end].trim_ascii_end())),
        (None, _) if data.len() > MAX_LINE_BYTES => LineRead::Line(Err(RequestError::TooLong)),
        // The line terminator is optional if the caller has closed its sending side.
        (None, ReadOutcome::Closed) if !data.is_empty() => {
            LineRead::Line(request::parse(data.trim_ascii_end()))
        }
        (None, ReadOutcome::Closed) => LineRead::Closed,
        (None, ReadOutcome::Read(_)) => LineRead::Progress,
        (None, _) => LineRead::Blocked,
    }
}

fn reject(conn: ConnId, caller: Option<PendingCaller>, error: RequestError, now: Nanos, net: &mut PollLoop) {
    let address = caller.map_or("?".into(), |caller| caller.address.to_string());
    tracing::info!(caller = %address, reason = %error, "admin request rejected");
    // A caller that is still sending can read its response before the connection is reset.
    let response = AdminResponse::Failure(error.to_string());
    let _ = net.send(conn, response.encode().as_bytes());
    net.close_lingering(conn, now);
}
