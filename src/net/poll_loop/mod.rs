//! The poll loop: owns all sockets and turns their readiness into events.

mod closing;
mod connections;
mod datagrams;
mod listeners;

use super::buffer::Pool;
use super::connection::DialOutcome;
use super::event::{ConnId, ConnectionClass, NetEvent};
use super::listener::AcceptLimits;
use super::signals::{Signal, Signals, Waker};
use super::source_table::{Source, SourceTable};
use closing::LingerCheck;
use mio::{Events, Poll, Token};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read};
use std::time::Duration;

/// The token of the waker. No slot of the source table has this number.
const WAKE_TOKEN: Token = Token(usize::MAX - 1);
/// How long to wait before accepting again after `accept` failed or the connection limit was reached.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Allowance for open descriptors other than the registered sources.
const OTHER_DESCRIPTORS: usize = 16;

/// All sockets of the process.
#[derive(Debug)]
pub struct PollLoop {
    poll: Poll,
    mio_events: Events,
    sources: SourceTable,
    pool: Pool,
    waker: Option<Waker>,
    accept_limits: AcceptLimits,
    /// Connections that wait for a buffer.
    awaiting_buffer: VecDeque<ConnId>,
    /// Events that the next return of `wait` reports.
    pending_events: VecDeque<NetEvent>,
    /// Listeners that are retried after `ACCEPT_RETRY_DELAY`: `accept` failed or the limit was reached.
    paused_listeners: Vec<usize>,
    /// Listeners at which connections may be waiting.
    ready_listeners: Vec<usize>,
    /// Lingering connections and the times of their next checks.
    lingering: VecDeque<LingerCheck>,
    /// Number of connections that close once all is written, at once or after lingering.
    closing_after_flush: usize,
}

impl PollLoop {
    /// A poll loop whose client connections share `pool`. Owners enforce a limit of `max_accepted` accepted
    /// connections; a few more are accepted so that owners can choose which to close, and any beyond those
    /// wait in the listen backlog. Returns the operating system's error on failure.
    pub fn new(pool: Pool, max_accepted: usize) -> io::Result<PollLoop> {
        let mut accept_limits = AcceptLimits::default();
        accept_limits.set_limit(ConnectionClass::Clients, max_accepted);
        Ok(PollLoop {
            poll: Poll::new()?,
            mio_events: Events::with_capacity(256),
            sources: SourceTable::default(),
            pool,
            waker: None,
            accept_limits,
            awaiting_buffer: VecDeque::new(),
            pending_events: VecDeque::new(),
            paused_listeners: Vec::new(),
            ready_listeners: Vec::new(),
            lingering: VecDeque::new(),
            closing_after_flush: 0,
        })
    }

    /// Buffer pool of the client connections, and of those opened by [`dial`](PollLoop::dial).
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Number of open connections accepted from clients.
    pub fn accepted(&self) -> usize {
        self.accepted_in_class(ConnectionClass::Clients)
    }

    /// Sets the limit of connections accepted from clients.
    pub fn set_accepted_limit(&mut self, max_accepted: usize) {
        self.accept_limits.set_limit(ConnectionClass::Clients, max_accepted);
    }

    /// Number of open descriptors: the registered sources and an allowance for others.
    pub fn descriptors(&self) -> usize {
        self.sources.len() + OTHER_DESCRIPTORS
    }

    /// Number of open accepted connections of a class.
    pub fn accepted_in_class(&self, class: ConnectionClass) -> usize {
        self.accept_limits.open(class)
    }

    /// A handle that wakes this loop from another thread. Returns the operating system's error on failure.
    pub fn waker(&mut self) -> io::Result<Waker> {
        if self.waker.is_none() {
            self.waker = Some(Waker::new(self.poll.registry(), WAKE_TOKEN)?);
        }
        self.waker.clone().ok_or_else(|| ErrorKind::NotFound.into())
    }

    /// Whether a connection is still flushing or lingering before its close, or an event is pending.
    pub fn is_busy(&self) -> bool {
        self.closing_after_flush > 0 || !self.pending_events.is_empty()
    }

    /// Reports these signals as events from now on.
    pub fn watch_signals(&mut self, signals: Signals) -> io::Result<()> {
        for (signal, pipe) in signals.0 {
            self.sources.insert(self.poll.registry(), Source::Signal { signal, pipe })?;
        }
        Ok(())
    }

    /// Waits for events for at most `timeout`, and appends them to `events`. Returns the operating system's
    /// error on failure.
    pub fn wait(&mut self, timeout: Option<Duration>, events: &mut Vec<NetEvent>) -> io::Result<()> {
        let buffer_free = !self.awaiting_buffer.is_empty() && self.pool.take_for_untrusted().is_some();
        let has_ready_work =
            buffer_free || !self.pending_events.is_empty() || !self.ready_listeners.is_empty();
        let mut timeout = if has_ready_work { Some(Duration::ZERO) } else { timeout };
        // Events are edge-triggered: connections already waiting at a paused listener trigger no new one.
        let paused = std::mem::take(&mut self.paused_listeners);
        if !paused.is_empty() {
            timeout = Some(timeout.unwrap_or(ACCEPT_RETRY_DELAY).min(ACCEPT_RETRY_DELAY));
        }
        let mut ready = std::mem::replace(&mut self.mio_events, Events::with_capacity(0));
        let polled = self.poll.poll(&mut ready, timeout);
        if let Err(e) = &polled
            && e.kind() != ErrorKind::Interrupted
        {
            self.mio_events = ready;
            return polled;
        }
        if buffer_free {
            for conn in std::mem::take(&mut self.awaiting_buffer) {
                if let Some(c) = self.sources.connection(conn) {
                    events.push(NetEvent::Readable { owner: c.owner, conn });
                }
            }
        }
        for event in ready.iter().filter(|_| polled.is_ok()) {
            self.handle(event);
        }
        self.mio_events = ready;
        self.ready_listeners.extend(paused);
        self.accept_from_ready();
        events.extend(self.pending_events.drain(..));
        Ok(())
    }

    fn handle(&mut self, event: &mio::event::Event) {
        if event.token() == WAKE_TOKEN {
            self.pending_events.push_back(NetEvent::Signal(Signal::Shutdown));
            return;
        }
        let slot = event.token().0;
        let Some((id, source)) = self.sources.get_mut(slot) else { return };
        match source {
            Source::Listener(_) => self.ready_listeners.push(slot),
            Source::Datagrams(socket) => {
                self.pending_events.push_back(NetEvent::Datagrams { owner: socket.owner });
            }
            Source::Signal { signal, pipe } => {
                let mut sink = [0; 64];
                while pipe.read(&mut sink).is_ok_and(|n| n > 0) {}
                self.pending_events.push_back(NetEvent::Signal(*signal));
            }
            Source::Connection(_) => self.handle_connection(id, event),
        }
    }

    fn handle_connection(&mut self, id: ConnId, event: &mio::event::Event) {
        let Some(c) = self.sources.connection_mut(id) else { return };
        let owner = c.owner;
        if !c.is_connected() && (event.is_writable() || event.is_error()) {
            match c.on_dial_event(event.is_error()) {
                DialOutcome::Connected => {
                    self.pending_events.push_back(NetEvent::Connected { owner, conn: id });
                }
                DialOutcome::Pending => return,
                DialOutcome::Failed => return self.report_broken(id),
            }
        }
        if event.is_writable() {
            self.flush(id);
        }
        let Some(c) = self.sources.connection_mut(id) else { return };
        if c.is_lingering() {
            if !c.discard() {
                self.close(id);
            }
            return;
        }
        c.peer_ended |= event.is_read_closed() || event.is_error();
        if event.is_readable() || event.is_error() || event.is_read_closed() {
            self.pending_events.push_back(NetEvent::Readable { owner, conn: id });
        }
    }
}
