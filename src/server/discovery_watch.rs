//! The watch on discovery: a long-lived request whose response brings endpoint lists to the registry.
//!
//! Discovery sends one JSON object for each list, and an empty line as a heartbeat in between.

use crate::api::Nanos;
use crate::http::{HttpError, Reader, Side};
use crate::membership::Registry;
use crate::membership::endpoint_list::EndpointList;
use crate::net::{ConnId, NetEvent, PollLoop, ReadOutcome};
use std::net::SocketAddr;

/// Time for a response to begin once the connection is up, nanoseconds. Discovery handles requests in turn,
/// and answers 503 to one that has waited for 2 s.
const RESPONSE_TIMEOUT: Nanos = 2_500_000_000;
/// A watch without a line for so long is silent, nanoseconds. By the protocol an empty line comes every 2 s,
/// and what a silent watch misses counts as reported 6 s after its last line. This leaves over a second to a
/// late line, and 2.8 s to the next watch.
const HEARTBEAT_TIMEOUT: Nanos = 3_200_000_000;

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
}

/// How a watch ended. The later variant is the stronger one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WatchEnd {
    /// It broke, or could not begin.
    Failed,
    /// It was established, and no line came for too long. What it misses counts as reported a few seconds
    /// later, whatever time there is between two requests.
    Silent,
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

struct ActiveWatch {
    conn: ConnId,
    reader: Reader,
    /// When it was begun.
    begun: Nanos,
    /// Until when something must come.
    deadline: Nanos,
    progress: ListProgress,
}

impl ActiveWatch {
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
            Some(Err(error)) if !error.is_eof() => return Err(error.into()),
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

/// The client side of the watch on discovery.
pub struct DiscoveryWatch {
    /// The owner under which its connections are registered at the poll loop.
    owner: u8,
    discovery: SocketAddr,
    /// Time in which a connection must be up, nanoseconds.
    dial_timeout: Nanos,
    active: Option<ActiveWatch>,
    /// How it ended since this was last taken.
    ended: Option<WatchEnd>,
}

impl DiscoveryWatch {
    /// A watch whose connections belong to `owner` and must be up within `dial_timeout`. It begins with
    /// [`DiscoveryWatch::begin`].
    pub fn new(owner: u8, discovery: SocketAddr, dial_timeout: Nanos) -> DiscoveryWatch {
        DiscoveryWatch { owner, discovery, dial_timeout, active: None, ended: None }
    }

    /// How it ended, if it did since this was last called.
    pub fn take_end(&mut self) -> Option<WatchEnd> {
        self.ended.take()
    }

    fn record_end(&mut self, end: WatchEnd) {
        self.ended = self.ended.max(Some(end));
    }

    /// Requests the changes since `version` of the list. A watch that is active goes on.
    pub fn begin(&mut self, version: u64, now: Nanos, net: &mut PollLoop) {
        if self.active.is_some() {
            return;
        }
        let Ok(conn) = net.dial(self.discovery, self.owner) else {
            tracing::warn!(addr = %self.discovery, "discovery can't be dialled");
            self.record_end(WatchEnd::Failed);
            return;
        };
        tracing::info!(addr = %self.discovery, version, "discovery watch begins");
        self.active = Some(ActiveWatch {
            conn,
            reader: Reader::new(Side::Responses),
            begun: now,
            deadline: now + self.dial_timeout,
            progress: ListProgress::AwaitingFirstList,
        });
        let request =
            format!("GET /api/targets?follow=1&since={version} HTTP/1.1\r\nHost: {}\r\n\r\n", self.discovery);
        if net.send(conn, request.as_bytes()).is_err() {
            self.fail(WatchError::RequestNotSent, now, net);
        }
    }

    /// Discovery is at this address from now on: a watch begins there at once.
    pub fn move_to(&mut self, discovery: SocketAddr, version: u64, now: Nanos, net: &mut PollLoop) {
        if discovery == self.discovery {
            return tracing::info!(addr = %discovery, "configuration reloaded: discovery stays");
        }
        tracing::info!(addr = %discovery, "configuration reloaded: discovery moves");
        self.discovery = discovery;
        if let Some(previous) = self.active.take() {
            net.close(previous.conn);
        }
        self.begin(version, now, net);
    }

    fn fail(&mut self, error: WatchError, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = self.active.take() {
            let unparsed_bytes = net.data(watch.conn).len() + watch.reader.body().len();
            net.close(watch.conn);
            let age_ms = now.saturating_sub(watch.begun) / NANOS_PER_MILLI;
            let answered = watch.reader.head().is_some();
            tracing::warn!(
                reason = %error,
                progress = ?watch.progress,
                answered,
                age_ms,
                unparsed_bytes,
                "discovery watch ended"
            );
            self.record_end(WatchEnd::Failed);
        }
    }

    /// Handles an event of its connection. Others are ignored.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop, registry: &mut Registry) {
        let Some(watch) = &mut self.active else { return };
        match event {
            NetEvent::Connected { conn, .. } if conn == watch.conn => {
                watch.deadline = now + RESPONSE_TIMEOUT;
                let age_ms = now.saturating_sub(watch.begun) / NANOS_PER_MILLI;
                tracing::debug!(age_ms, "discovery connection is established");
            }
            NetEvent::Readable { conn, .. } if conn == watch.conn => self.read(now, net, registry),
            NetEvent::Broken { conn, .. } if conn == watch.conn => {
                self.fail(WatchError::ConnectionBroken, now, net);
            }
            _ => {}
        }
    }

    fn read(&mut self, now: Nanos, net: &mut PollLoop, registry: &mut Registry) {
        if let Err(error) = self.read_available(now, net, registry) {
            self.fail(error, now, net);
        }
    }

    /// Reads until nothing more has come.
    fn read_available(
        &mut self,
        now: Nanos,
        net: &mut PollLoop,
        registry: &mut Registry,
    ) -> Result<(), WatchError> {
        while let Some(watch) = &mut self.active {
            let outcome = net.fill(watch.conn);
            match outcome {
                ReadOutcome::WouldBlock | ReadOutcome::NoBuffer => return Ok(()),
                ReadOutcome::Read(_) | ReadOutcome::BufferFull => {
                    watch.deadline = now + HEARTBEAT_TIMEOUT;
                    let pool = net.pool().clone();
                    let used = watch.reader.advance(net.data(watch.conn), &pool)?;
                    net.consume(watch.conn, used);
                    self.process_lists(now, registry)?;
                    if used == 0 && outcome == ReadOutcome::BufferFull {
                        return Err(WatchError::LineTooLong);
                    }
                }
                ReadOutcome::Closed => {
                    watch.reader.end();
                    self.process_lists(now, registry)?;
                    return Err(WatchError::Closed);
                }
            }
        }
        Ok(())
    }

    /// Passes on the lists that have come whole, and the heartbeats between them.
    fn process_lists(&mut self, now: Nanos, registry: &mut Registry) -> Result<(), WatchError> {
        let Some(watch) = &mut self.active else { return Ok(()) };
        let Some(status) = watch.reader.head().map(|head| head.status) else { return Ok(()) };
        if status != 200 {
            return Err(WatchError::Status(status));
        }
        loop {
            if watch.take_heartbeat() {
                tracing::debug!("heartbeat of discovery");
                registry.on_heartbeat(now);
            }
            let Some(list) = watch.take_list()? else { return Ok(()) };
            let is_first = watch.progress == ListProgress::AwaitingFirstList;
            watch.progress = ListProgress::AwaitingLineEnd;
            registry.on_discovery_update(&list, is_first, now);
        }
    }

    /// Ends a watch on which nothing came for too long: a silent peer is noticed by time alone.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        let Some(watch) = self.active.as_ref().filter(|watch| watch.deadline <= now) else { return };
        if watch.reader.head().is_some() {
            self.record_end(WatchEnd::Silent);
        }
        self.fail(WatchError::TimedOut, now, net);
    }

    /// When [`DiscoveryWatch::tick`] is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.active.as_ref().map(|watch| watch.deadline)
    }
}
