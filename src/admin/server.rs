//! The connections of the second address. Each brings one line and gets one answer.

use super::request::{self, AdminRequest, AdminResponse, LONGEST, RequestError};
use crate::api::Nanos;
use crate::net::{ConnId, ConnectionClass, NetEvent, PollLoop, Pool, ReadOutcome};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// The mark of its connections: no front's owners come near it.
pub const OWNER: u8 = 200;
/// Callers that are held at once. Beyond them the one that has been silent for longest goes.
pub const PLACES: usize = 16;
/// How long a caller may take to bring a whole line.
const WHOLE_IN: Nanos = 10_000_000_000;
/// Bytes of a buffer, and buffers in all: each caller may hold one, and as many again wait to be written.
const BUFFER: usize = 4096;
const BUFFERS: usize = 4 * PLACES;

/// The second address: its callers, and the calls that have come in whole.
pub struct AdminServer {
    listening: SocketAddr,
    /// Callers without a whole line, the oldest first.
    waiting: VecDeque<(Nanos, ConnId)>,
    peers: HashMap<ConnId, SocketAddr>,
    calls: VecDeque<(ConnId, AdminRequest)>,
}

impl AdminServer {
    /// Listens.
    pub fn open(addr: SocketAddr, net: &mut PollLoop) -> io::Result<AdminServer> {
        let listening = net.listen_with_pool(
            addr,
            OWNER,
            ConnectionClass::Admin,
            PLACES,
            Pool::with_buffer_size(BUFFERS, BUFFER),
        )?;
        Ok(AdminServer { listening, waiting: VecDeque::new(), peers: HashMap::new(), calls: VecDeque::new() })
    }

    /// Where it listens.
    pub fn listening(&self) -> SocketAddr {
        self.listening
    }

    /// A call that waits for its answer, and on which connection.
    pub fn next_request(&mut self) -> Option<(ConnId, AdminRequest)> {
        self.calls.pop_front()
    }

    /// Takes in what happened on one of its connections.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop) {
        match event {
            NetEvent::Accepted { conn, peer, .. } => {
                self.waiting.push_back((now, conn));
                self.peers.insert(conn, peer);
                self.read(conn, now, net);
                while net.accepted_in_class(ConnectionClass::Admin) > PLACES {
                    let Some((_, oldest)) = self.waiting.front().copied() else { break };
                    self.gone(oldest);
                    net.close(oldest);
                }
            }
            NetEvent::Readable { conn, .. } => self.read(conn, now, net),
            NetEvent::Broken { conn, .. } => self.gone(conn),
            NetEvent::Flushed { .. }
            | NetEvent::Connected { .. }
            | NetEvent::Datagrams { .. }
            | NetEvent::Signal(_) => {}
        }
    }

    fn gone(&mut self, conn: ConnId) {
        self.waiting.retain(|(_, c)| *c != conn);
        self.peers.remove(&conn);
    }

    fn read(&mut self, conn: ConnId, now: Nanos, net: &mut PollLoop) {
        while self.peers.contains_key(&conn) {
            let filled = net.fill(conn);
            let data = net.data(conn);
            let end = data.iter().take(LONGEST + 1).position(|b| *b == b'\n');
            let line = match (end, filled) {
                (Some(end), _) => request::read(data[..end].trim_ascii_end()),
                (None, _) if data.len() > LONGEST => Err(RequestError::TooLong),
                // A last line may lack its end where the caller says that no more will come.
                (None, ReadOutcome::Closed) if !data.is_empty() => request::read(data.trim_ascii_end()),
                (None, ReadOutcome::Closed) => {
                    self.gone(conn);
                    return net.close(conn);
                }
                (None, ReadOutcome::Read(_)) => continue,
                (None, _) => return,
            };
            // One line to a connection: it waits for nothing more.
            self.waiting.retain(|(_, c)| *c != conn);
            let peer = self.peers.remove(&conn);
            let n = net.data(conn).len();
            net.consume(conn, n);
            match line {
                Ok(call) => self.calls.push_back((conn, call)),
                Err(e) => {
                    tracing::info!("call from {} refused: {e}", peer.map_or("?".into(), |p| p.to_string()));
                    // Who is still sending reads its answer before the connection breaks.
                    let _ = net.send(conn, AdminResponse::No(e.to_string()).text().as_bytes());
                    net.close_lingering(conn, now);
                }
            }
        }
    }

    /// Answers a call; that ends its connection.
    pub fn answer(&mut self, conn: ConnId, reply: &AdminResponse, net: &mut PollLoop) {
        if net.send(conn, reply.text().as_bytes()).is_err() {
            return net.close(conn);
        }
        net.close_after_flush(conn);
    }

    /// Closes callers that have had their time.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        while let Some((_, conn)) = self.waiting.pop_front_if(|(since, _)| *since + WHOLE_IN <= now) {
            self.peers.remove(&conn);
            net.close(conn);
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.waiting.front().map(|(since, _)| since + WHOLE_IN)
    }
}
