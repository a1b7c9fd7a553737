//! The connections of the second address. Each brings one line and gets one answer.

use super::request::{self, AdminRequest, AdminResponse, MAX_LINE_BYTES, RequestError};
use crate::api::Nanos;
use crate::net::{ConnId, ConnectionClass, NetEvent, PollLoop, Pool, ReadOutcome};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// The mark of its connections: no front's owners come near it.
pub const OWNER: u8 = 200;
/// Callers that are held at once. Beyond them the one that has been silent for longest goes.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a caller may take to bring a whole line.
const REQUEST_TIMEOUT: Nanos = 10_000_000_000;
/// Bytes of a buffer, and buffers in all: each caller may hold one, and as many again wait to be written.
const BUFFER_BYTES: usize = 4096;
const BUFFER_COUNT: usize = 4 * MAX_CONNECTIONS;

/// The second address: its callers, and the calls that have come in whole.
pub struct AdminServer {
    local_addr: SocketAddr,
    /// Callers without a whole line, the oldest first.
    pending: VecDeque<(Nanos, ConnId)>,
    peers: HashMap<ConnId, SocketAddr>,
    requests: VecDeque<(ConnId, AdminRequest)>,
}

impl AdminServer {
    /// Listens.
    pub fn open(addr: SocketAddr, net: &mut PollLoop) -> io::Result<AdminServer> {
        let local_addr = net.listen_apart(
            addr,
            OWNER,
            ConnectionClass::Admin,
            MAX_CONNECTIONS,
            Pool::sized(BUFFER_COUNT, BUFFER_BYTES),
        )?;
        Ok(AdminServer {
            local_addr,
            pending: VecDeque::new(),
            peers: HashMap::new(),
            requests: VecDeque::new(),
        })
    }

    /// Where it listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// A call that waits for its answer, and on which connection.
    pub fn next_request(&mut self) -> Option<(ConnId, AdminRequest)> {
        self.requests.pop_front()
    }

    /// Takes in what happened on one of its connections.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        match event {
            NetEvent::Accepted { conn, peer, .. } => {
                self.pending.push_back((now, conn));
                self.peers.insert(conn, peer);
                self.read(conn, now, net);
                while net.accepted_at(ConnectionClass::Admin) > MAX_CONNECTIONS {
                    let Some((_, oldest)) = self.pending.front().copied() else { break };
                    self.forget(oldest);
                    net.close(oldest);
                }
            }
            NetEvent::Readable { conn, .. } => self.read(conn, now, net),
            NetEvent::Broken { conn, .. } => self.forget(conn),
            NetEvent::Flushed { .. }
            | NetEvent::Connected { .. }
            | NetEvent::Datagrams { .. }
            | NetEvent::Signal(_) => {}
        }
    }

    fn forget(&mut self, conn: ConnId) {
        self.pending.retain(|(_, c)| *c != conn);
        self.peers.remove(&conn);
    }

    fn read(&mut self, conn: ConnId, now: Nanos, net: &mut PollLoop) {
        while self.peers.contains_key(&conn) {
            let outcome = net.fill(conn);
            let data = net.data(conn);
            let end = data.iter().take(MAX_LINE_BYTES + 1).position(|b| *b == b'\n');
            let line = match (end, outcome) {
                (Some(end), _) => request::parse(data[..end].trim_ascii_end()),
                (None, _) if data.len() > MAX_LINE_BYTES => Err(RequestError::TooLong),
                // A last line may lack its end where the caller says that no more will come.
                (None, ReadOutcome::Ended) if !data.is_empty() => request::parse(data.trim_ascii_end()),
                (None, ReadOutcome::Ended) => {
                    self.forget(conn);
                    return net.close(conn);
                }
                (None, ReadOutcome::Some(_)) => continue,
                (None, _) => return,
            };
            // One line to a connection: it waits for nothing more.
            self.pending.retain(|(_, c)| *c != conn);
            let peer = self.peers.remove(&conn);
            let length = net.data(conn).len();
            net.consume(conn, length);
            match line {
                Ok(request) => self.requests.push_back((conn, request)),
                Err(e) => {
                    tracing::info!("call from {} refused: {e}", peer.map_or("?".into(), |p| p.to_string()));
                    // Who is still sending reads its answer before the connection breaks.
                    let _ = net.send(conn, AdminResponse::Failure(e.to_string()).encode().as_bytes());
                    net.close_lingering(conn, now);
                }
            }
        }
    }

    /// Answers a call; that ends its connection.
    pub fn respond(&mut self, conn: ConnId, response: &AdminResponse, net: &mut PollLoop) {
        if net.send(conn, response.encode().as_bytes()).is_err() {
            return net.close(conn);
        }
        net.close_after_flush(conn);
    }

    /// Closes callers that have had their time.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        while let Some((_, conn)) = self.pending.pop_front_if(|(since, _)| *since + REQUEST_TIMEOUT <= now) {
            self.peers.remove(&conn);
            net.close(conn);
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.pending.front().map(|(since, _)| since + REQUEST_TIMEOUT)
    }
}
