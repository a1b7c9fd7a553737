//! The watch on discovery: a long-lived request whose response brings endpoint lists to the registry.
//!
//! Discovery sends one JSON object for each list, and an empty line as a heartbeat in between.

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
    #[error("no room to ask")]
    RequestNotSent,
    #[error("the connection broke")]
    ConnectionBroken,
    #[error("discovery closed it")]
    Closed,
    #[error("nothing came for too long")]
    TimedOut,
    #[error("status {0}")]
    Status(u16),
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("a line larger than a buffer")]
    LineTooLong,
    #[error("a bad line: {0}")]
    List(#[from] serde_json::Error),
    #[error("its answer ended within a list")]
    ListIncomplete,
    #[error("its answer ended")]
    ResponseEnded,
    #[error("its changes are older than the list")]
    ChangesOlderThanList,
}

impl WatchError {
    /// Whether a list was written that can't be used.
    fn is_of_a_list(&self) -> bool {
        matches!(
            self,
            WatchError::List(_)
                | WatchError::ListIncomplete
                | WatchError::LineTooLong
                | WatchError::ChangesOlderThanList
        )
    }
}

/// Where in the response a watch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListProgress {
    /// No list has come yet.
    AwaitingFirstList,
    /// A list has come; the end of its last line has not.
    AwaitingLineEnd,
    /// The next line is a heartbeat, or begins a list.
    BetweenLists,
}

/// A call to discovery: the watch, or one that is to become it.
struct Call {
    id: CallId,
    conn: ConnId,
    reader: Reader,
    /// When it was begun.
    begun: Nanos,
    /// It requests the changes since this version; 0: the whole list.
    since: u64,
    progress: ListProgress,
}

impl Call {
    /// Consumes white space; returns whether a heartbeat was in it.
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

    /// The next list, if it has come whole. It may be indented, over many lines: it ends where its object
    /// does.
    fn take_list(&mut self) -> Result<Option<EndpointList>, WatchError> {
        let response_ended = self.reader.is_done();
        let mut lists = serde_json::Deserializer::from_slice(self.reader.body()).into_iter::<EndpointList>();
        let list = match lists.next() {
            Some(Ok(list)) => list,
            Some(Err(error)) if !is_at_end(&error, self.reader.body()) => return Err(error.into()),
            Some(Err(_)) if response_ended => return Err(WatchError::ListIncomplete),
            None if response_ended => return Err(WatchError::ResponseEnded),
            // The rest of it is still to come.
            Some(Err(_)) | None => return Ok(None),
        };
        let used = lists.byte_offset();
        self.reader.consume_body(used);
        Ok(Some(list))
    }
}

/// Whether the parser failed at the end of what has come, so that more may mend it.
///
/// Its category of an error is no guide: it calls a number that is cut an invalid one where the field is
/// skipped. An error that is none for want of more bytes lies before the end as soon as more have come.
fn is_at_end(error: &serde_json::Error, text: &[u8]) -> bool {
    let lines_before = error.line().saturating_sub(1);
    let line_start: usize =
        text.split_inclusive(|byte| *byte == b'\n').take(lines_before).map(<[u8]>::len).sum();
    error.is_eof() || line_start + error.column() >= text.len()
}

/// The client side of the watch on discovery.
pub struct DiscoveryWatch {
    /// The owner under which its connections are registered at the poll loop.
    owner: u8,
    discovery: SocketAddr,
    schedule: WatchSchedule,
    calls: Vec<Call>,
    /// A call ended, and no watch is left, since this was last taken.
    interrupted: bool,
    /// Discovery answered with changes that are older than the list: the next call requests the whole list.
    needs_whole_list: bool,
}

impl DiscoveryWatch {
    /// A watch whose connections belong to `owner`, with calls as `schedule` has them. It begins with
    /// [`DiscoveryWatch::request`].
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

    /// Whether a call ended and no watch was left, since this was last called.
    pub fn take_interrupted(&mut self) -> bool {
        std::mem::take(&mut self.interrupted)
    }

    /// A watch is wanted at this time, unless there is one or a call for one is due earlier.
    pub fn request(&mut self, at: Nanos) {
        self.schedule.request(at);
    }

    /// A watch is wanted soon, at a time that differs from broker to broker.
    pub fn request_soon(&mut self, now: Nanos) {
        self.schedule.request_soon(now);
    }

    /// Discovery is at this address from now on: a watch begins there with the next tick. The one at the old
    /// address is kept until that answers, as reports may still come on it.
    pub fn move_to(&mut self, discovery: SocketAddr, now: Nanos) {
        if discovery == self.discovery {
            return tracing::info!(addr = %discovery, "configuration reloaded: discovery stays");
        }
        tracing::info!(addr = %discovery, "configuration reloaded: discovery moves");
        self.discovery = discovery;
        self.schedule.restart(now);
        self.interrupted = true;
    }

    /// Begins the calls that are due, which request the changes since `version` of the list, and ends those
    /// on which nothing came for too long: a silent peer is noticed by time alone.
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

    /// Closes a call that has ended.
    fn end(&mut self, id: CallId, error: WatchError, now: Nanos, net: &mut PollLoop) {
        if error.is_of_a_list() {
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

    /// Closes calls that another has made needless.
    fn close_superseded(&mut self, superseded: &[CallId], net: &mut PollLoop) {
        for call in self.calls.extract_if(.., |call| superseded.contains(&call.id)) {
            tracing::debug!(call = call.id.number(), "discovery call is superseded by another");
            net.close(call.conn);
        }
    }

    /// Handles an event of one of its connections. Others are ignored.
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

    /// Reads until nothing more has come.
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

    /// Passes on the lists that have come whole, and the heartbeats between them.
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
            let counts_anew = is_first && !list.full && list.version < registry.version();
            if counts_anew && since > 0 {
                // Its changes mean nothing without what it had before them.
                self.needs_whole_list = true;
                return Err(WatchError::ChangesOlderThanList);
            }
            self.needs_whole_list &= !is_first;
            if counts_anew {
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
