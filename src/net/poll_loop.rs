//! The poll loop's half that knows sockets: it turns readiness into events and owns all connections.

use super::buffer::Pool;
use super::connection::{Connection, QueueFull, ReadOutcome};
use super::signals::{Signal, Signals};
use crate::api::Nanos;
use mio::net::{TcpListener, TcpStream, UdpSocket, UnixStream};
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A connection. Numbers are never used again, so a late event can't reach a newer connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(usize, u32);

/// What happened on the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NetEvent {
    /// A new connection from a listener, for its owner.
    Accepted { owner: u8, conn: ConnId, peer: SocketAddr },
    /// A dialled connection is up.
    Connected { owner: u8, conn: ConnId },
    /// There may be something to read.
    Readable { owner: u8, conn: ConnId },
    /// All that was queued is written.
    Flushed { owner: u8, conn: ConnId },
    /// The connection broke; so many of the bytes queued had been written. It is gone.
    Broken { owner: u8, conn: ConnId, flushed: u64 },
    /// There may be datagrams to take.
    Datagrams { owner: u8 },
    /// A signal came.
    Signal(Signal),
}

/// Whose connections are counted together, and have buffers of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionClass {
    /// Clients, and all connections that are dialled for them.
    Clients,
    /// Callers at the second address.
    Admin,
    /// Other brokers.
    Peers,
}

/// A socket for datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Datagrams(usize);

impl NetEvent {
    /// Whose connection it is about.
    pub fn owner(&self) -> Option<u8> {
        match *self {
            NetEvent::Accepted { owner, .. }
            | NetEvent::Connected { owner, .. }
            | NetEvent::Readable { owner, .. }
            | NetEvent::Flushed { owner, .. }
            | NetEvent::Broken { owner, .. }
            | NetEvent::Datagrams { owner } => Some(owner),
            NetEvent::Signal(_) => None,
        }
    }
}

/// Wakes the reactor from another thread with `Signal::End`.
#[derive(Clone, Debug)]
pub struct Waker(Arc<mio::Waker>);

impl Waker {
    /// Sends the signal.
    pub fn wake(&self) -> io::Result<()> {
        self.0.wake()
    }
}

/// The token of the waker: no slot of the slab has it.
const WAKE_TOKEN: Token = Token(usize::MAX - 1);
/// Most connections accepted at a time: the owner of each looks at it before more come in.
const ACCEPT_BATCH: usize = 8;
/// How long a peer may take to read the last message before its connection is closed, and how much of what it
/// sends meanwhile is read.
const LINGER_TIMEOUT: Nanos = 400_000_000;
const MAX_LINGER_DISCARD_BYTES: usize = 256 * 1024;
/// How long a peer may take nothing of a last message that is not written yet; as long as a request may take to come.
const UNREAD_MESSAGE_TIMEOUT: Nanos = 2_500_000_000;
/// How long to wait before accepting again, when the system had refused.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

enum Source {
    /// A listener; one whose connections are counted apart brings the pool for their buffers.
    Listener {
        socket: TcpListener,
        owner: u8,
        isolated: Option<(ConnectionClass, Pool)>,
    },
    Datagrams {
        socket: UdpSocket,
        owner: u8,
    },
    Conn(Box<Connection>),
    Signal(Signal, UnixStream),
}

/// All sockets of the program.
pub struct PollLoop {
    poll: Poll,
    mio_events: Events,
    sources: Slab<(u32, Source)>,
    serial: u32,
    pool: Pool,
    /// Connections that wait for a buffer.
    awaiting_buffer: VecDeque<ConnId>,
    /// Events that arose outside `wait`.
    pending_events: VecDeque<NetEvent>,
    /// Listeners that are looked at again a little later: the system refused, or there is no room.
    paused_listeners: Vec<usize>,
    waker: Option<Waker>,
    /// Listeners at which more may wait.
    ready_listeners: Vec<usize>,
    /// Most accepted connections and how many are open; of those that are counted apart, too.
    accept_limits: [usize; 3],
    accepted_counts: [usize; 3],
    conns: usize,
    /// Connections whose peers read a last message, until when.
    lingering: VecDeque<(ConnId, Nanos)>,
    /// Connections to be closed once all is written.
    closing_after_flush: usize,
}

impl PollLoop {
    /// A reactor whose connections share `pool`. Owners keep to `most_accepted` accepted connections; a few more
    /// are taken for the moment in which they choose whom to close, and any beyond wait unaccepted until there is room.
    pub fn new(pool: Pool, most_accepted: usize) -> io::Result<PollLoop> {
        Ok(PollLoop {
            poll: Poll::new()?,
            mio_events: Events::with_capacity(256),
            sources: Slab::new(),
            serial: 0,
            pool,
            awaiting_buffer: VecDeque::new(),
            pending_events: VecDeque::new(),
            paused_listeners: Vec::new(),
            waker: None,
            ready_listeners: Vec::new(),
            accept_limits: [most_accepted, 0, 0],
            accepted_counts: [0; 3],
            conns: 0,
            lingering: VecDeque::new(),
            closing_after_flush: 0,
        })
    }

    /// The pool that all buffers come from.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Accepted connections that are open, without those counted apart.
    pub fn accepted(&self) -> usize {
        self.accepted_counts[0]
    }

    /// From now on owners keep to so many accepted connections, without those counted apart.
    pub fn set_accepted_limit(&mut self, most_accepted: usize) {
        self.accept_limits[0] = most_accepted;
    }

    /// Descriptors that are held: all sockets, and what the program holds beside them.
    pub fn descriptors(&self) -> usize {
        const OTHER_DESCRIPTORS: usize = 16;
        self.sources.len() + OTHER_DESCRIPTORS
    }

    /// Accepted connections that are open in this class.
    pub fn accepted_in_class(&self, class: ConnectionClass) -> usize {
        self.accepted_counts[class as usize]
    }

    /// Something to wake this reactor with.
    pub fn waker(&mut self) -> io::Result<Waker> {
        if self.waker.is_none() {
            self.waker = Some(Waker(Arc::new(mio::Waker::new(self.poll.registry(), WAKE_TOKEN)?)));
        }
        self.waker.clone().ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Something is still to be written on a connection that closes after it, or to be told as an event.
    pub fn is_busy(&self) -> bool {
        self.closing_after_flush > 0 || !self.pending_events.is_empty()
    }

    /// Listens; returns the address, which tells the port where 0 was asked for.
    pub fn listen(&mut self, addr: SocketAddr, owner: u8) -> io::Result<SocketAddr> {
        self.listen_with(TcpListener::bind(addr)?, owner, None)
    }

    /// Listens on a socket that is bound already and may be shared with other processes.
    pub fn listen_on(&mut self, socket: std::net::TcpListener, owner: u8) -> io::Result<SocketAddr> {
        socket.set_nonblocking(true)?;
        self.listen_with(TcpListener::from_std(socket), owner, None)
    }

    /// Listens for peers that have places and buffers of their own: crowds elsewhere take nothing from them, nor
    /// they from others. The owner keeps to `most` connections.
    pub fn listen_with_pool(
        &mut self,
        addr: SocketAddr,
        owner: u8,
        class: ConnectionClass,
        most: usize,
        pool: Pool,
    ) -> io::Result<SocketAddr> {
        let socket = TcpListener::bind(addr)?;
        self.accept_limits[class as usize] += most;
        self.listen_with(socket, owner, Some((class, pool)))
    }

    /// Takes and sends datagrams at this address.
    pub fn datagrams(&mut self, addr: SocketAddr, owner: u8) -> io::Result<Datagrams> {
        let mut socket = UdpSocket::bind(addr)?;
        let entry = self.sources.vacant_entry();
        let key = entry.key();
        self.poll.registry().register(&mut socket, Token(key), Interest::READABLE)?;
        self.serial = self.serial.wrapping_add(1);
        entry.insert((self.serial, Source::Datagrams { socket, owner }));
        Ok(Datagrams(key))
    }

    /// Where it is bound.
    pub fn bound(&self, socket: Datagrams) -> io::Result<SocketAddr> {
        match self.sources.get(socket.0) {
            Some((_, Source::Datagrams { socket, .. })) => socket.local_addr(),
            _ => Err(ErrorKind::NotFound.into()),
        }
    }

    /// Sends a datagram; one that the system does not take now is lost, as others are on the way.
    pub fn send_datagram(&self, socket: Datagrams, to: SocketAddr, bytes: &[u8]) {
        if let Some((_, Source::Datagrams { socket, .. })) = self.sources.get(socket.0) {
            let _ = socket.send_to(bytes, to);
        }
    }

    /// The next datagram; none when all are taken. A longer one than `into` is cut.
    pub fn receive_datagram(&self, socket: Datagrams, into: &mut [u8]) -> Option<(usize, SocketAddr)> {
        let Some((_, Source::Datagrams { socket, .. })) = self.sources.get(socket.0) else { return None };
        loop {
            match socket.recv_from(into) {
                Ok(came) => return Some(came),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                // What an earlier datagram met on its way; the next one may be behind it.
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionRefused) => {}
                Err(_) => return None,
            }
        }
    }

    /// Tells once more that there may be datagrams: guards all else against a flood of them.
    pub fn requeue_datagrams(&mut self, owner: u8) {
        self.pending_events.push_back(NetEvent::Datagrams { owner });
    }

    fn listen_with(
        &mut self,
        mut socket: TcpListener,
        owner: u8,
        isolated: Option<(ConnectionClass, Pool)>,
    ) -> io::Result<SocketAddr> {
        let bound = socket.local_addr()?;
        let entry = self.sources.vacant_entry();
        self.poll.registry().register(&mut socket, Token(entry.key()), Interest::READABLE)?;
        self.serial = self.serial.wrapping_add(1);
        entry.insert((self.serial, Source::Listener { socket, owner, isolated }));
        Ok(bound)
    }

    /// Tells of these signals from now on.
    pub fn watch_signals(&mut self, signals: Signals) -> io::Result<()> {
        for (signal, mut pipe) in signals.0 {
            let entry = self.sources.vacant_entry();
            self.poll.registry().register(&mut pipe, Token(entry.key()), Interest::READABLE)?;
            self.serial = self.serial.wrapping_add(1);
            entry.insert((self.serial, Source::Signal(signal, pipe)));
        }
        Ok(())
    }

    /// Stops listening for this owner. What the system had accepted already is taken first: it counts as ours, unless
    /// the socket is `shared` with a process that takes it.
    pub fn stop_listening(&mut self, owner: u8, shared: bool) {
        let keys: Vec<usize> = self
            .sources
            .iter()
            .filter(|(_, (_, s))| matches!(s, Source::Listener { owner: o, .. } if *o == owner))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            if !shared {
                self.accept(key, usize::MAX);
            }
            if let (_, Source::Listener { mut socket, .. }) = self.sources.remove(key) {
                let _ = self.poll.registry().deregister(&mut socket);
            }
        }
    }

    /// Starts a connection; `Connected` or `Broken` follows.
    pub fn dial(&mut self, addr: SocketAddr, owner: u8) -> io::Result<ConnId> {
        let stream = TcpStream::connect(addr)?;
        let pool = self.pool.clone();
        self.add(stream, owner, (false, ConnectionClass::Clients), pool)
    }

    /// The same with a pool of its own for the connection's buffers.
    pub fn dial_with_pool(&mut self, addr: SocketAddr, owner: u8, pool: Pool) -> io::Result<ConnId> {
        let stream = TcpStream::connect(addr)?;
        self.add(stream, owner, (false, ConnectionClass::Peers), pool)
    }

    fn add(
        &mut self,
        mut stream: TcpStream,
        owner: u8,
        (accepted, class): (bool, ConnectionClass),
        pool: Pool,
    ) -> io::Result<ConnId> {
        let entry = self.sources.vacant_entry();
        let token = Token(entry.key());
        self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let _ = stream.set_nodelay(true);
        self.serial = self.serial.wrapping_add(1);
        let id = ConnId(entry.key(), self.serial);
        entry.insert((
            self.serial,
            Source::Conn(Box::new(Connection::new(stream, owner, accepted, class, pool))),
        ));
        self.conns += 1;
        self.accepted_counts[class as usize] += usize::from(accepted);
        Ok(id)
    }

    fn conn(&mut self, id: ConnId) -> Option<&mut Connection> {
        match self.sources.get_mut(id.0) {
            Some((serial, Source::Conn(c))) if *serial == id.1 => Some(c),
            _ => None,
        }
    }

    /// Whether the connection is still held.
    pub fn is_open(&self, id: ConnId) -> bool {
        matches!(self.sources.get(id.0), Some((serial, Source::Conn(_))) if *serial == id.1)
    }

    /// Whether the peer has ended the connection, though what it sent before may be unread. Guards against working for
    /// somebody who went while there was no room to read on.
    pub fn peer_ended(&mut self, id: ConnId) -> bool {
        self.conn(id).is_some_and(|c| c.peer_ended)
    }

    /// Bytes queued on this connection since its start: the position of the next message's first byte.
    pub fn queued(&mut self, id: ConnId) -> u64 {
        self.conn(id).map_or(0, |c| c.bytes_queued)
    }

    /// Bytes of it that were handed to the system.
    pub fn flushed(&mut self, id: ConnId) -> u64 {
        self.conn(id).map_or(0, |c| c.bytes_flushed)
    }

    /// Whether all of it was.
    pub fn is_flushed(&mut self, id: ConnId) -> bool {
        self.conn(id).is_some_and(|c| c.connected && c.all_written())
    }

    /// Reads once.
    pub fn fill(&mut self, id: ConnId) -> ReadOutcome {
        let Some(c) = self.conn(id) else { return ReadOutcome::Closed };
        let filled = c.fill();
        if filled == ReadOutcome::NoBuffer {
            self.awaiting_buffer.push_back(id);
        }
        filled
    }

    /// What was read and not consumed.
    pub fn data(&mut self, id: ConnId) -> &[u8] {
        self.conn(id).and_then(|c| c.input.as_ref()).map_or(&[], |b| b.data())
    }

    /// Consumes input.
    pub fn consume(&mut self, id: ConnId, n: usize) {
        if let Some(c) = self.conn(id) {
            if let Some(b) = &mut c.input {
                b.consume(n);
            }
            c.release_empty_input();
        }
    }

    /// Queues a whole message and writes what can be written now.
    pub fn send(&mut self, id: ConnId, message: &[u8]) -> Result<(), QueueFull> {
        let Some(c) = self.conn(id) else { return Err(QueueFull) };
        let before = c.bytes_queued;
        let queued = c.queue(message);
        let (half_sent, connected) = (queued.is_err() && c.bytes_queued > before, c.connected);
        if half_sent {
            // Guards the peer against half a message with another behind it.
            self.report_broken(id);
        } else if connected {
            self.flush(id);
        }
        queued
    }

    fn flush(&mut self, id: ConnId) {
        let Some(c) = self.conn(id) else { return };
        let (owner, before) = (c.owner, c.all_written());
        match c.flush() {
            Ok(()) => {
                let (done, close) = (c.all_written(), c.close_when_flushed);
                if done && close && c.lingering.is_some() {
                    // The peer reads the end; a close with input unread could take the last message from it.
                    // Once: each call wakes the poll, whose word that it can be written leads here again.
                    if !std::mem::replace(&mut c.write_shut, true) {
                        let _ = c.stream.shutdown(std::net::Shutdown::Write);
                    }
                } else if done && close {
                    self.close(id);
                } else if done && !before {
                    self.pending_events.push_back(NetEvent::Flushed { owner, conn: id });
                }
            }
            Err(_) => self.report_broken(id),
        }
    }

    /// Closes at once.
    pub fn close(&mut self, id: ConnId) {
        if self.is_open(id)
            && let (_, Source::Conn(mut c)) = self.sources.remove(id.0)
        {
            self.conns -= 1;
            self.accepted_counts[c.class as usize] -= usize::from(c.accepted);
            self.closing_after_flush -= usize::from(c.close_when_flushed);
            let _ = self.poll.registry().deregister(&mut c.stream);
        }
    }

    /// Closes once all that was queued is written.
    pub fn close_after_flush(&mut self, id: ConnId) {
        let Some(c) = self.conn(id).filter(|c| !c.close_when_flushed) else { return };
        c.close_when_flushed = true;
        let done = c.all_written();
        self.closing_after_flush += 1;
        if done {
            self.close(id);
        }
    }

    /// Closes once all that was queued is written and the peer has had a moment to read it, even one that is
    /// still sending: a close over unread bytes would take from it what the system still holds.
    pub fn close_lingering(&mut self, id: ConnId, now: Nanos) {
        let Some(c) = self.conn(id).filter(|c| !c.close_when_flushed) else { return };
        (c.close_when_flushed, c.lingering, c.input) = (true, Some(MAX_LINGER_DISCARD_BYTES), None);
        self.closing_after_flush += 1;
        self.lingering.push_back((id, now + LINGER_TIMEOUT));
        self.flush(id);
        if let Some(c) = self.conn(id) {
            c.linger_progress = (c.bytes_flushed, now);
        }
        // What is unread by now makes no further event.
        if self.conn(id).is_some_and(|c| !c.discard()) {
            self.close(id);
        }
    }

    /// Closes the connection that has been lingering for longest, if there is one whose last message is written.
    pub fn close_oldest_lingering(&mut self) -> bool {
        for _ in 0..self.lingering.len() {
            let Some((id, by)) = self.lingering.pop_front() else { break };
            if !self.is_open(id) {
                continue;
            }
            if self.conn(id).is_some_and(|c| c.all_written()) {
                self.close(id);
                return true;
            }
            self.lingering.push_back((id, by));
        }
        false
    }

    /// Closes connections whose peers have had their moment, which runs from when their last message was written. Guards
    /// the places of others against peers that read nothing.
    pub fn tick(&mut self, now: Nanos) {
        while let Some((id, _)) = self.lingering.pop_front_if(|(_, by)| *by <= now) {
            let Some(c) = self.conn(id) else { continue };
            let grew = c.bytes_flushed > c.linger_progress.0;
            if grew {
                c.linger_progress = (c.bytes_flushed, now);
            }
            if grew || (!c.all_written() && now < c.linger_progress.1 + UNREAD_MESSAGE_TIMEOUT) {
                self.lingering.push_back((id, now + LINGER_TIMEOUT));
            } else {
                self.close(id);
            }
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.lingering.front().map(|(_, by)| *by)
    }

    /// Tells once more that there may be something to read: guards the other connections against a peer that
    /// sends without end.
    pub fn requeue_readable(&mut self, id: ConnId) {
        if let Some(owner) = self.conn(id).map(|c| c.owner) {
            self.pending_events.push_back(NetEvent::Readable { owner, conn: id });
        }
    }

    fn report_broken(&mut self, id: ConnId) {
        let Some(c) = self.conn(id) else { return };
        let event = NetEvent::Broken { owner: c.owner, conn: id, flushed: c.bytes_flushed };
        self.close(id);
        self.pending_events.push_back(event);
    }

    /// Waits for events for at most `timeout`, and adds them to `events`.
    pub fn wait(&mut self, timeout: Option<Duration>, events: &mut Vec<NetEvent>) -> io::Result<()> {
        let buffer_available = !self.awaiting_buffer.is_empty() && self.pool.take_for_untrusted().is_some();
        let at_once = buffer_available || !self.pending_events.is_empty() || !self.ready_listeners.is_empty();
        let timeout = if at_once { Some(Duration::ZERO) } else { timeout };
        // Guards against a listener that never wakes again: what waits there makes no second event.
        let paused_listeners = std::mem::take(&mut self.paused_listeners);
        let timeout = if paused_listeners.is_empty() {
            timeout
        } else {
            Some(timeout.unwrap_or(ACCEPT_RETRY_DELAY).min(ACCEPT_RETRY_DELAY))
        };
        let mut ready = std::mem::replace(&mut self.mio_events, Events::with_capacity(0));
        let polled = self.poll.poll(&mut ready, timeout);
        if let Err(e) = &polled
            && e.kind() != ErrorKind::Interrupted
        {
            self.mio_events = ready;
            return polled;
        }
        if buffer_available {
            for conn in std::mem::take(&mut self.awaiting_buffer) {
                if let Some(c) = self.conn(conn) {
                    events.push(NetEvent::Readable { owner: c.owner, conn });
                }
            }
        }
        for event in ready.iter().filter(|_| polled.is_ok()) {
            self.handle(event);
        }
        self.mio_events = ready;
        self.ready_listeners.extend(paused_listeners);
        let mut listeners = std::mem::take(&mut self.ready_listeners);
        // Each once: no more than a batch comes in before the owner has looked at it.
        listeners.sort_unstable();
        listeners.dedup();
        for key in listeners {
            self.accept(key, ACCEPT_BATCH);
        }
        events.extend(self.pending_events.drain(..));
        Ok(())
    }

    fn handle(&mut self, event: &mio::event::Event) {
        if event.token() == WAKE_TOKEN {
            self.pending_events.push_back(NetEvent::Signal(Signal::End));
            return;
        }
        let key = event.token().0;
        let Some((serial, source)) = self.sources.get_mut(key) else { return };
        let id = ConnId(key, *serial);
        match source {
            Source::Listener { .. } => self.ready_listeners.push(key),
            Source::Datagrams { owner, .. } => {
                let owner = *owner;
                self.pending_events.push_back(NetEvent::Datagrams { owner });
            }
            Source::Signal(signal, pipe) => {
                let mut sink = [0; 64];
                while pipe.read(&mut sink).is_ok_and(|n| n > 0) {}
                self.pending_events.push_back(NetEvent::Signal(*signal));
            }
            Source::Conn(c) => {
                let owner = c.owner;
                if !c.connected && (event.is_writable() || event.is_error()) {
                    let failed = c.stream.take_error().map_or(true, |e| e.is_some());
                    if failed || event.is_error() {
                        return self.report_broken(id);
                    }
                    match c.stream.peer_addr() {
                        Ok(_) => c.connected = true,
                        Err(e) if e.kind() == ErrorKind::NotConnected => return,
                        Err(_) => return self.report_broken(id),
                    }
                    self.pending_events.push_back(NetEvent::Connected { owner, conn: id });
                }
                if event.is_writable() {
                    self.flush(id);
                }
                if let Some(c) = self.conn(id).filter(|c| c.lingering.is_some()) {
                    if !c.discard() {
                        self.close(id);
                    }
                    return;
                }
                if let Some(c) = self.conn(id) {
                    c.peer_ended |= event.is_read_closed() || event.is_error();
                }
                if self.is_open(id) && (event.is_readable() || event.is_error() || event.is_read_closed()) {
                    self.pending_events.push_back(NetEvent::Readable { owner, conn: id });
                }
            }
        }
    }

    fn accept(&mut self, key: usize, most: usize) {
        for _ in 0..most {
            let Some((_, Source::Listener { socket, owner, isolated })) = self.sources.get(key) else {
                return;
            };
            let owner = *owner;
            let class = isolated.as_ref().map_or(ConnectionClass::Clients, |(class, _)| *class);
            let held = self.accepted_counts[class as usize];
            // Guards clients against a close without an answer: the system holds who is not accepted yet.
            if held >= self.accept_limits[class as usize] + 2 * ACCEPT_BATCH {
                tracing::warn!("connections wait to be accepted: {held} are open");
                self.paused_listeners.push(key);
                return;
            }
            match socket.accept() {
                Ok((stream, peer)) => {
                    let pool = isolated.as_ref().map_or(&self.pool, |(_, pool)| pool).clone();
                    match self.add(stream, owner, (true, class), pool) {
                        Ok(conn) => self.pending_events.push_back(NetEvent::Accepted { owner, conn, peer }),
                        Err(e) => tracing::warn!("connection not taken: {e}"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    tracing::warn!("accept failed: {e}");
                    self.paused_listeners.push(key);
                    return;
                }
            }
        }
        self.ready_listeners.push(key);
    }
}
