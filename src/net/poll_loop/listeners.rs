//! Listeners, and accepting connections from them.

use super::PollLoop;
use crate::net::buffer::Pool;
use crate::net::connection::{Connection, Origin};
use crate::net::event::{ConnectionClass, NetEvent};
use crate::net::listener::{ACCEPT_BATCH, AcceptOutcome, Listener};
use crate::net::source_table::Source;
use mio::net::TcpListener;
use std::io;
use std::net::SocketAddr;

impl PollLoop {
    /// Listens on `addr`, and returns the bound address with the assigned port if port 0 was requested.
    /// Returns the operating system's error on failure.
    pub fn listen(&mut self, addr: SocketAddr, owner: u8) -> io::Result<SocketAddr> {
        let (class, pool) = (ConnectionClass::Clients, self.pool.clone());
        self.add_listener(Listener { socket: TcpListener::bind(addr)?, owner, class, pool })
    }

    /// Listens on a socket that is already bound and may be shared with other processes.
    pub fn listen_on(&mut self, socket: std::net::TcpListener, owner: u8) -> io::Result<SocketAddr> {
        socket.set_nonblocking(true)?;
        let (class, pool) = (ConnectionClass::Clients, self.pool.clone());
        self.add_listener(Listener { socket: TcpListener::from_std(socket), owner, class, pool })
    }

    /// Listens for connections of a class with a limit and a buffer pool of its own, so that load in one
    /// class takes no capacity from another. Adds `max_accepted` to the limit of the class, which the owner
    /// enforces.
    pub fn listen_with_pool(
        &mut self,
        addr: SocketAddr,
        owner: u8,
        class: ConnectionClass,
        max_accepted: usize,
        pool: Pool,
    ) -> io::Result<SocketAddr> {
        let socket = TcpListener::bind(addr)?;
        self.accept_limits.add_limit(class, max_accepted);
        self.add_listener(Listener { socket, owner, class, pool })
    }

    fn add_listener(&mut self, listener: Listener) -> io::Result<SocketAddr> {
        let bound = listener.socket.local_addr()?;
        self.sources.insert(self.poll.registry(), Source::Listener(listener))?;
        Ok(bound)
    }

    /// Closes the owner's listeners. Connections in the listen backlog are accepted first, since their
    /// clients see them as established, unless the socket is `shared` with another process that accepts them.
    pub fn stop_listening(&mut self, owner: u8, shared: bool) {
        for slot in self.sources.listeners_of(owner) {
            if !shared {
                self.accept(slot, usize::MAX);
            }
            self.sources.remove_listener(self.poll.registry(), slot);
        }
    }

    /// Accepts at most one batch from each ready listener, so that the owner handles it before more are
    /// accepted.
    pub(super) fn accept_from_ready(&mut self) {
        let mut listeners = std::mem::take(&mut self.ready_listeners);
        listeners.sort_unstable();
        listeners.dedup();
        for slot in listeners {
            self.accept(slot, ACCEPT_BATCH);
        }
    }

    fn accept(&mut self, slot: usize, limit: usize) {
        for _ in 0..limit {
            let Some(listener) = self.sources.listener(slot) else { return };
            let (owner, class) = (listener.owner, listener.class);
            // Clients wait in the listen backlog instead of being disconnected without a response.
            if self.accept_limits.is_exhausted(class) {
                let open = self.accept_limits.open(class);
                tracing::warn!(open, "accepting is paused: the connection limit is reached");
                self.paused_listeners.push(slot);
                return;
            }
            match listener.accept() {
                AcceptOutcome::Accepted(stream, peer) => {
                    let pool = listener.pool.clone();
                    let connection = Connection::new(stream, owner, Origin::Accepted, class, pool);
                    match self.add_connection(connection) {
                        Ok(conn) => self.pending_events.push_back(NetEvent::Accepted { owner, conn, peer }),
                        Err(e) => tracing::warn!(error = %e, "accepted connection could not be registered"),
                    }
                }
                AcceptOutcome::WouldBlock => return,
                AcceptOutcome::Retry => {}
                AcceptOutcome::Failed(e) => {
                    tracing::warn!(error = %e, "accept failed, retrying in 50 ms");
                    self.paused_listeners.push(slot);
                    return;
                }
            }
        }
        self.ready_listeners.push(slot);
    }
}
