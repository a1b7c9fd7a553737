//! The watch on discovery: what it tells goes to the roster.

use crate::api::Nanos;
use crate::http::{Reader, Side};
use crate::membership::Registry;
use crate::membership::endpoint_list::EndpointList;
use crate::net::{ConnId, NetEvent, PollLoop, ReadOutcome};
use std::net::SocketAddr;

/// Time for a watch to begin once its connection is up. Discovery handles calls in turn, and answers 503 to one that
/// has waited for 2 s.
const BEGIN_IN: Nanos = 2_500_000_000;
/// A watch that says nothing for so long is silent: by the protocol an empty line comes every 2 s, and what a silent
/// watch misses counts as told 6 s after its last line. This leaves over a second to a late line, and 2.8 s to the
/// next watch.
const SILENT: Nanos = 3_200_000_000;

struct Standing {
    conn: ConnId,
    reader: Reader,
    /// Until when something must come.
    by: Nanos,
    /// Nothing has been told on it yet.
    first: bool,
    /// The end of a list's last line is still to come.
    line_end: bool,
}

/// The watch on discovery.
pub struct DiscoveryWatch {
    owner: u8,
    discovery: SocketAddr,
    /// Time in which its connection must be up.
    dial_timeout: Nanos,
    standing: Option<Standing>,
    failed: bool,
    /// It stood and fell silent.
    silent: bool,
}

impl DiscoveryWatch {
    /// A watch whose connections carry the mark `owner` and are up within `dial_timeout`. It begins with `begin`.
    pub fn new(owner: u8, discovery: SocketAddr, dial_timeout: Nanos) -> DiscoveryWatch {
        DiscoveryWatch { owner, discovery, dial_timeout, standing: None, failed: false, silent: false }
    }

    /// Whether it broke, or could not begin, since this was last asked.
    pub fn take_failed(&mut self) -> bool {
        std::mem::take(&mut self.failed)
    }

    /// Whether it stood and fell silent, since this was last asked. What such a watch misses counts as told a few seconds
    /// later, whatever time there is between calls.
    pub fn take_silent(&mut self) -> bool {
        std::mem::take(&mut self.silent)
    }

    /// Asks for the changes since the list held. A watch that stands already goes on.
    pub fn begin(&mut self, since: u64, now: Nanos, net: &mut PollLoop) {
        if self.standing.is_some() {
            return;
        }
        let Ok(conn) = net.dial(self.discovery, self.owner) else {
            tracing::warn!("discovery can't be dialled");
            self.failed = true;
            return;
        };
        let request =
            format!("GET /api/targets?follow=1&since={since} HTTP/1.1\r\nHost: {}\r\n\r\n", self.discovery);
        let reader = Reader::new(Side::Responses);
        self.standing =
            Some(Standing { conn, reader, by: now + self.dial_timeout, first: true, line_end: false });
        if net.send(conn, request.as_bytes()).is_err() {
            self.fail("no room to ask", net);
        }
    }

    /// Discovery is at this address from now on: it is asked there at once.
    pub fn move_to(&mut self, discovery: SocketAddr, since: u64, now: Nanos, net: &mut PollLoop) {
        if discovery == self.discovery {
            return tracing::info!("configuration read again: discovery stays at {discovery}");
        }
        tracing::info!("configuration read again: discovery moves to {discovery}");
        self.discovery = discovery;
        if let Some(old) = self.standing.take() {
            net.close(old.conn);
        }
        self.begin(since, now, net);
    }

    fn fail(&mut self, why: &str, net: &mut PollLoop) {
        if let Some(watch) = self.standing.take() {
            net.close(watch.conn);
            tracing::warn!("watch on discovery ended: {why}");
            self.failed = true;
        }
    }

    /// Takes in what happened on its connection.
    pub fn on_event(&mut self, event: NetEvent, now: Nanos, net: &mut PollLoop, roster: &mut Registry) {
        let ours = self.standing.as_ref().map(|w| w.conn);
        match event {
            NetEvent::Connected { conn, .. } if ours == Some(conn) => {
                self.standing.iter_mut().for_each(|w| w.by = now + BEGIN_IN);
            }
            NetEvent::Readable { conn, .. } if ours == Some(conn) => self.read(now, net, roster),
            NetEvent::Broken { conn, .. } if ours == Some(conn) => self.fail("the connection broke", net),
            _ => {}
        }
    }

    fn read(&mut self, now: Nanos, net: &mut PollLoop, roster: &mut Registry) {
        while let Some(conn) = self.standing.as_ref().map(|w| w.conn) {
            let filled = net.fill(conn);
            let pool = net.pool().clone();
            let Some(watch) = &mut self.standing else { return };
            match filled {
                ReadOutcome::WouldBlock | ReadOutcome::NoBuffer => return,
                ReadOutcome::Read(_) | ReadOutcome::BufferFull => {
                    watch.by = now + SILENT;
                    let used = match watch.reader.advance(net.data(conn), &pool) {
                        Ok(used) => used,
                        Err(e) => return self.fail(&e.to_string(), net),
                    };
                    net.consume(conn, used);
                    if let Err(why) = self.lines(now, roster) {
                        return self.fail(&why, net);
                    }
                    if used == 0 && filled == ReadOutcome::BufferFull {
                        return self.fail("a line larger than a buffer", net);
                    }
                }
                ReadOutcome::Closed => {
                    watch.reader.end();
                    let why = self.lines(now, roster).err().unwrap_or_else(|| "discovery closed it".into());
                    return self.fail(&why, net);
                }
            }
        }
    }

    /// Takes the lists that are whole, and the empty lines between them. A list may be indented, over many lines: it
    /// ends where its object does.
    fn lines(&mut self, now: Nanos, roster: &mut Registry) -> Result<(), String> {
        loop {
            let Some(watch) = &mut self.standing else { return Ok(()) };
            let Some(status) = watch.reader.head().map(|h| h.status) else { return Ok(()) };
            if status != 200 {
                return Err(format!("status {status}"));
            }
            let done = watch.reader.is_done();
            let body = watch.reader.body();
            let blank = body.iter().take_while(|b| b.is_ascii_whitespace()).count();
            let mut ends = body[..blank].iter().filter(|b| **b == b'\n').count();
            if ends > 0 && std::mem::take(&mut watch.line_end) {
                ends -= 1;
            }
            if ends > 0 {
                roster.on_heartbeat(now);
            }
            let mut lists = serde_json::Deserializer::from_slice(&body[blank..]).into_iter::<EndpointList>();
            let list = match lists.next() {
                Some(Ok(list)) => Some(list),
                Some(Err(e)) if !e.is_eof() => return Err(format!("a bad line: {e}")),
                Some(Err(_)) if done => return Err("its answer ended within a list".into()),
                None if done => return Err("its answer ended".into()),
                // The rest of it is still to come.
                Some(Err(_)) | None => None,
            };
            let used = blank + list.as_ref().map_or(0, |_| lists.byte_offset());
            watch.reader.consume_body(used);
            let Some(list) = list else { return Ok(()) };
            watch.line_end = true;
            let first = std::mem::replace(&mut watch.first, false);
            roster.on_discovery_update(&list, first, now);
        }
    }

    /// Ends a watch on which nothing came for too long: a silent peer shows by time alone.
    pub fn tick(&mut self, now: Nanos, net: &mut PollLoop) {
        if let Some(watch) = self.standing.as_ref().filter(|w| w.by <= now) {
            self.silent |= watch.reader.head().is_some();
            self.fail("nothing came for too long", net);
        }
    }

    /// When `tick` is next worth calling.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.standing.as_ref().map(|w| w.by)
    }
}
