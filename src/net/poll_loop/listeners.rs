//! The poll loop's listeners and their accepted connections.

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
    /// Listens, and returns the address with the port that the system chose where 0 was asked for. An error
    /// of the system is returned as it is.
    pub fn listen(&mut self, addr: SocketAddr, owner: u8) -> io::Result<SocketAddr> {
        let (class, pool) = (ConnectionClass::Clients, self.pool.clone());
        self.add_listener(Listener { socket: TcpListener::bind(addr)?, owner, class, pool })
    }

    /// Listens on a socket that is bound already and may be shared with other processes.
    pub fn listen_on(&mut self, socket: std::net::TcpListener, owner: u8) -> io::Result<SocketAddr> {
        socket.set_nonblocking(true)?;
        let (class, pool) = (ConnectionClass::Clients, self.pool.clone());
        self.add_listener(Listener { socket: TcpListener::from_std(socket), owner, class, pool })
    }

    /// Listens for peers that have a limit and buffers of their own: crowds elsewhere take nothing from them,
    /// nor they from others. The owner keeps to `max_accepted` connections.
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

    /// Stops listening for this owner. What the system had accepted already is taken first: it counts as
    /// ours, unless the socket is `shared` with a process that takes it.
    pub fn stop_listening(&mut self, owner: u8, shared: bool) {
        for slot in self.sources.listeners_of(owner) {
            if !shared {
                self.accept(slot, usize::MAX);
            }
            self.sources.remove_listener(self.poll.registry(), slot);
        }
    }

    /// Accepts from each listener at which connections may wait, once: no more than a batch comes in before
    /// the owner has looked at it.
    pub(super) fn accept_from_ready(&mut self) {
        let mut listeners = std::mem::take(&mut self.ready_listeners);
        listeners.sort_unstable();
        listeners.dedup();
        for slot in listeners {
            self.accept(slot, ACCEPT_BATCH);
        }
    }

    fn accept(&mut self, slot: usize, most: usize) {
        for _ in 0..most {
            let Some(listener) = self.sources.listener(slot) else { return };
            let (owner, class) = (listener.owner, listener.class);
            // Guards clients against a close without an answer: the system holds who is not accepted yet.
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
