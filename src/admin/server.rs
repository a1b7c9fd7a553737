//! The connections of the admin endpoint. Each brings one request and gets one response.

use super::request::{self, AdminRequest, AdminResponse, MAX_LINE_BYTES, RequestError};
use crate::api::Nanos;
use crate::net::{ConnId, ConnectionClass, NetEvent, PollLoop, Pool, ReadOutcome};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;

/// The owner under which its connections are registered at the poll loop. No frontend uses owners near it.
pub const OWNER: u8 = 200;
/// Most connections at once. Beyond them the one that has been silent for longest is closed.
pub const MAX_CONNECTIONS: usize = 16;
/// Time in which a caller has to send a whole line, nanoseconds.
const REQUEST_TIMEOUT: Nanos = 10_000_000_000;
/// Size of a buffer, bytes.
const BUFFER_BYTES: usize = 4096;
/// Buffers in all: each caller may use one, and as many again wait to be written.
const BUFFER_COUNT: usize = 4 * MAX_CONNECTIONS;

/// A caller whose line has not come whole.
#[derive(Debug)]
struct PendingCaller {
    conn: ConnId,
    address: SocketAddr,
    accepted_at: Nanos,
}

/// What reading from a caller has brought.
enum LineRead {
    /// There may be more to read.
    Progress,
    /// Nothing more can be read for now.
    Blocked,
    /// The caller closed the connection without a request.
    Closed,
    /// A whole line, or what can't become a valid one.
    Line(Result<AdminRequest, RequestError>),
}

/// The admin endpoint: its callers, and the requests that have come whole.
#[derive(Debug)]
pub struct AdminServer {
    local_addr: SocketAddr,
    /// The oldest first.
    pending: VecDeque<PendingCaller>,
    requests: VecDeque<(ConnId, AdminRequest)>,
}

impl AdminServer {
    /// Listens at `addr`.
    ///
    /// # Errors
    ///
    /// If the operating system refuses the socket.
    pub fn open(addr: SocketAddr, net: &mut PollLoop) -> io::Result<AdminServer> {
        let pool = Pool::with_buffer_size(BUFFER_COUNT, BUFFER_BYTES);
        let local_addr = net.listen_with_pool(addr, OWNER, ConnectionClass::Admin, MAX_CONNECTIONS, pool)?;
        Ok(AdminServer { local_addr, pending: VecDeque::new(), requests: VecDeque::new() })
    }

    /// The address at which it listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// The next request to be carried out, and the connection on which its response is expected.
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
                    // A connection has one line; what comes behind it is dropped.
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

    /// Sends the response to a request; that ends its connection.
    pub fn respond(&mut self, conn: ConnId, response: &AdminResponse, net: &mut PollLoop) {
        if net.send(conn, response.encode().as_bytes()).is_err() {
            return net.close(conn);
        }
        net.close_after_flush(conn);
    }

    /// Closes callers whose time to send a request is over.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        while let Some(caller) =
            self.pending.pop_front_if(|caller| caller.accepted_at + REQUEST_TIMEOUT <= now)
        {
            net.close(caller.conn);
        }
    }

    /// When [`AdminServer::tick`] is next worth calling.
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
        // The end of the line may be missing where the caller has closed its side.
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
    // A caller that is still sending reads its response before the connection breaks.
    let response = AdminResponse::Failure(error.to_string());
    let _ = net.send(conn, response.encode().as_bytes());
    net.close_lingering(conn, now);
}
