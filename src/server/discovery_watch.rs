//! The watch on discovery: a long-lived HTTP request whose response streams endpoint lists to the registry.
//!
//! Discovery sends each list as one JSON object, and empty lines between lists as heartbeats.

use crate::api::Nanos;
use crate::http::{HttpError, MessageKind, Reader};
use crate::membership::Registry;
use crate::membership::endpoint_list::EndpointList;
use crate::membership::watch_schedule::{CallId, ListConfirmation, WatchAction, WatchSchedule};
use crate::net::{ConnId, NetEvent, PollLoop, ReadOutcome};
use std::net::SocketAddr;

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("request not sent: the send buffer is full or the connection is closed")]
    RequestNotSent,
    #[error("connection broken")]
    ConnectionBroken,
    #[error("connection closed by discovery")]
    Closed,
    #[error("no data received within the time-out")]
    TimedOut,
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("line exceeds the read buffer")]
    LineTooLong,
    #[error("invalid endpoint list: {0}")]
    List(#[from] serde_json::Error),
    #[error("response ended within an endpoint list")]
    ListIncomplete,
    #[error("response ended")]
    ResponseEnded,
    #[error("received changes are older than the current endpoint list")]
    ChangesOlderThanList,
}

impl WatchError {
    /// Whether discovery sent a list that can't be used.
    fn is_list_error(&self) -> bool {
        matches!(
            self,
            WatchError::List(_)
                | WatchError::ListIncomplete
                | WatchError::LineTooLong
                | WatchError::ChangesOlderThanList
        )
    }
}

/// How far the response has been parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListProgress {
    /// No list has been received yet.
    AwaitingFirstList,
    /// A list has been received, but not yet the end of its last line.
    AwaitingLineEnd,
    /// The next line is a heartbeat or the start of a list.
    BetweenLists,
}

/// A call to discovery: the established watch, or a candidate to replace it.
struct Call {
    id: CallId,
    conn: ConnId,
    reader: Reader,
    begun: Nanos,
    /// The call requests the changes since this version; 0 requests the whole list.
    since: u64,
    progress: ListProgress,
}

impl Call {
    /// Consumes white space; returns whether it contained a heartbeat.
    fn take_heartbeat(&mut self) -> bool {
        let body = self.reader.body();
        let blank = body.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        let mut line_ends = body[..blank].iter().filter(|byte| **byte == b'\n').count();
        self.reader.consume_body(blank);
        if line_ends > 0 && self.progress == ListProgress::AwaitingLineEnd {
            self.progress = ListProgress::BetweenLists;
            line_ends -= 1;
        }
        line_ends > 0
    }

    /// The next list, if it has been received completely. It may be indented over many lines, so its end is
    /// the end of the JSON object and not a line end.
    fn take_list(&mut self) -> Result<Option<EndpointList>, WatchError> {
        let response_ended = self.reader.is_done();
        let mut lists = serde_json::Deserializer::from_slice(self.reader.body()).into_iter::<EndpointList>();
        let list = match lists.next() {
            Some(Ok(list)) => list,
            Some(Err(error)) if !is_truncated(&error, self.reader.body()) => return Err(error.into()),
            Some(Err(_)) if response_ended => return Err(WatchError::ListIncomplete),
            None if response_ended => return Err(WatchError::ResponseEnded),
            // The rest of the list has not been received yet.
            Some(Err(_)) | None => return Ok(None),
        };
        let used = lists.byte_offset();
        self.reader.consume_body(used);
        Ok(Some(list))
    }
}

/// Whether the parser failed at the end of the received bytes, so that more input may resolve the error.
///
/// The parser's error category is not sufficient: for a truncated number in a skipped field it reports an
/// invalid number. A genuine syntax error at the end is detected once more bytes follow it.
fn is_truncated(error: &serde_json::Error, text: &[u8]) -> bool {
    let lines_before = error.line().saturating_sub(1);
    let line_start: usize =
        text.split_inclusive(|byte| *byte == b'\n').take(lines_before).map(<[u8]>::len).sum();
    error.is_eof() || line_start + error.column() >= text.len()
}

/// The client side of the watch on discovery.
pub struct DiscoveryWatch {
    /// The owner under which the connections are registered with the poll loop.
    owner: u8,
    discovery: SocketAddr,
    schedule: WatchSchedule,
    calls: Vec<Call>,
    /// Whether a call has ended and left no watch since this was last taken.
    interrupted: bool,
    /// Discovery sent changes that are older than the current list: the next call requests the whole list.
    needs_whole_list: bool,
}

impl DiscoveryWatch {
    /// A watch whose connections belong to `owner` and whose calls follow `schedule`. No call is made before
    /// [`DiscoveryWatch::request`] or [`DiscoveryWatch::request_soon`].
    pub fn new(owner: u8, discovery: SocketAddr, schedule: WatchSchedule) -> DiscoveryWatch {
        DiscoveryWatch {
            owner,
            discovery,
            schedule,
            calls: Vec::new(),
            interrupted: false,
            needs_whole_list: false,
        }
    }

    /// Whether a watch confirms the list.
    pub fn confirmation(&self) -> ListConfirmation {
        self.schedule.confirmation()
    }

    /// Whether a call has ended and left no watch since this was last called.
    pub fn take_interrupted(&mut self) -> bool {
        std::mem::take(&mut self.interrupted)
    }

    /// Schedules a call at this time, unless one is under way or due earlier.
    pub fn request(&mut self, at: Nanos) {
        self.schedule.request(at);
    }

    /// Schedules a call soon, after a delay that differs between brokers.
    pub fn request_soon(&mut self, now: Nanos) {
        self.schedule.request_soon(now);
    }

    /// Sets a new address of discovery; the next tick begins a call to it. The watch at the old address is
    /// kept until the new one answers, as it may still deliver reports.
    pub fn set_discovery_address(&mut self, discovery: SocketAddr, now: Nanos) {
        if discovery == self.discovery {
            return tracing::info!(addr = %discovery, "configuration reloaded: discovery stays");
        }
        tracing::info!(addr = %discovery, "configuration reloaded: discovery moves");
        self.discovery = discovery;
        self.schedule.restart(now);
        self.interrupted = true;
    }

    /// Begins a call for the whole list. The present watch is kept until that answers.
    pub fn request_whole_list(&mut self, now: Nanos) {
        self.needs_whole_list = true;
        self.schedule.restart(now);
        self.interrupted = true;
    }

    /// Begins the calls that are due, which request the changes since `version` of the list, and ends those
    /// on which nothing was received within the time-out, which alone detects a peer that has gone silent.
    pub fn tick(&mut self, version: u64, now: Nanos, net: &mut PollLoop) {
        while let Some(action) = self.schedule.next_action(now) {
            match action {
                WatchAction::Begin => self.begin(version, now, net),
                WatchAction::TimedOut(id) => self.end(id, WatchError::TimedOut, now, net),
            }
        }
    }

    /// When [`DiscoveryWatch::tick`] is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.schedule.next_deadline()
    }

    fn begin(&mut self, version: u64, now: Nanos, net: &mut PollLoop) {
        let Ok(conn) = net.dial(self.discovery, self.owner) else {
            tracing::warn!(addr = %self.discovery, "discovery can't be dialled");
            self.schedule.not_begun(now);
            self.interrupted |= !self.schedule.is_established();
            return;
        };
        let since = if self.needs_whole_list { 0 } else { version };
        let id = self.schedule.begun(now);
        let (call, others) = (id.number(), self.calls.len());
        tracing::info!(call, addr = %self.discovery, version = since, others, "discovery watch begins");
        let (reader, progress) = (Reader::new(MessageKind::Response), ListProgress::AwaitingFirstList);
        self.calls.push(Call { id, conn, reader, begun: now, since, progress });
        let request =
            format!("GET /api/targets?follow=1&since={since} HTTP/1.1\r\nHost: {}\r\n\r\n", self.discovery);
        if net.send(conn, request.as_bytes()).is_err() {
            self.end(id, WatchError::RequestNotSent, now, net);
        }
    }

    /// Closes a call, logs why it ended and schedules the next one.
    fn end(&mut self, id: CallId, error: WatchError, now: Nanos, net: &mut PollLoop) {
        if error.is_list_error() {
            self.schedule.rejected(id, now);
        } else {
            self.schedule.ended(id, now);
        }
        let Some(index) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.remove(index);
        let unparsed_bytes = net.data(call.conn).len() + call.reader.body().len();
        net.close(call.conn);
        let age_ms = now.saturating_sub(call.begun) / NANOS_PER_MILLI;
        let answered = call.reader.head().is_some();
        let others = self.calls.len();
        let next_call_ms = self.schedule.time_to_next_call(now).map(|wait| wait / NANOS_PER_MILLI);
        let list_age_ms = self.schedule.list_age(now).map(|age| age / NANOS_PER_MILLI);
        tracing::warn!(
            call = id.number(),
            reason = %error,
            progress = ?call.progress,
            answered,
            age_ms,
            unparsed_bytes,
            others,
            next_call_ms,
            list_age_ms,
            "discovery watch ended"
        );
        self.interrupted |= !self.schedule.is_established();
    }

    /// Closes calls that another call has replaced.
    fn close_superseded(&mut self, superseded: &[CallId], net: &mut PollLoop) {
        for call in self.calls.extract_if(.., |call| superseded.contains(&call.id)) {
            tracing::debug!(call = call.id.number(), "discovery call is superseded by another");
            net.close(call.conn);
        }
    }

    /// Handles an event of one of the watch's connections; events of other connections are ignored.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop, registry: &mut Registry) {
        match event {
            NetEvent::Connected { conn, .. } => {
                let Some(call) = self.calls.iter().find(|call| call.conn == conn) else { return };
                let age_ms = now.saturating_sub(call.begun) / NANOS_PER_MILLI;
                tracing::debug!(age_ms, "discovery connection is established");
                self.schedule.connected(call.id, now);
            }
            NetEvent::Readable { conn, .. } => {
                let Some(id) = self.call_on(conn) else { return };
                if let Err(error) = self.read_available(id, now, net, registry) {
                    self.end(id, error, now, net);
                }
            }
            NetEvent::Broken { conn, .. } => {
                if let Some(id) = self.call_on(conn) {
                    self.end(id, WatchError::ConnectionBroken, now, net);
                }
            }
            _ => {}
        }
    }

    fn call_on(&self, conn: ConnId) -> Option<CallId> {
        self.calls.iter().find(|call| call.conn == conn).map(|call| call.id)
    }

    /// Reads and processes input until no more is available.
    fn read_available(
        &mut self,
        id: CallId,
        now: Nanos,
        net: &mut PollLoop,
        registry: &mut Registry,
    ) -> Result<(), WatchError> {
        while let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            let conn = call.conn;
            let outcome = net.fill(conn);
            match outcome {
                ReadOutcome::WouldBlock | ReadOutcome::NoBuffer => return Ok(()),
                ReadOutcome::Read(_) | ReadOutcome::BufferFull => {
                    let pool = net.pool().clone();
                    let used = call.reader.advance(net.data(conn), &pool)?;
                    net.consume(conn, used);
                    self.process_lists(id, now, net, registry)?;
                    if used == 0 && outcome == ReadOutcome::BufferFull {
                        return Err(WatchError::LineTooLong);
                    }
                }
                ReadOutcome::Closed => {
                    call.reader.on_eof();
                    self.process_lists(id, now, net, registry)?;
                    return Err(WatchError::Closed);
                }
            }
        }
        Ok(())
    }

    /// Passes complete lists, and the heartbeats between them, to the registry and the schedule.
    fn process_lists(
        &mut self,
        id: CallId,
        now: Nanos,
        net: &mut PollLoop,
        registry: &mut Registry,
    ) -> Result<(), WatchError> {
        while let Some(call) = self.calls.iter_mut().find(|call| call.id == id) {
            let Some(status) = call.reader.head().map(|head| head.status) else {
                self.schedule.received(id, false, now);
                return Ok(());
            };
            if status != 200 {
                return Err(WatchError::Status(status));
            }
            if call.take_heartbeat() {
                tracing::debug!(call = id.number(), "heartbeat of discovery");
                if self.schedule.is_current(id) {
                    registry.on_heartbeat(now);
                }
                let superseded = self.schedule.on_heartbeat(id, now);
                self.close_superseded(&superseded, net);
                continue;
            }
            let Some(list) = call.take_list()? else {
                self.schedule.received(id, !call.reader.body().is_empty(), now);
                return Ok(());
            };
            let is_first = call.progress == ListProgress::AwaitingFirstList;
            call.progress = ListProgress::AwaitingLineEnd;
            let since = call.since;
            let (call, waited_ms) = (id.number(), now.saturating_sub(call.begun) / NANOS_PER_MILLI);
            if is_first {
                tracing::info!(call, waited_ms, version = list.version, "discovery answered");
            }
            let versions_were_reset = is_first && !list.full && list.version < registry.version();
            if versions_were_reset && since > 0 {
                // After a reset of discovery's versions, changes can't be applied without the list that they
                // are based on.
                self.needs_whole_list = true;
                return Err(WatchError::ChangesOlderThanList);
            }
            self.needs_whole_list &= !is_first;
            if versions_were_reset {
                registry.on_changes_after_reset(&list, now);
            } else {
                registry.on_discovery_update(&list, is_first, now);
            }
            let superseded = self.schedule.on_list(id, now);
            self.close_superseded(&superseded, net);
        }
        Ok(())
    }
}
