//! The list of shard servers: kept by a watch on discovery.

use super::Servers;
use crate::api::{Listed, Nanos, ReplicaId, Standing};
use crate::config::Names;
use crate::front::http::{Reader, Side};
use crate::net::{ConnId, Filled, NetEvent, Reactor};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time for a watch to begin.
const BEGIN_IN: Nanos = 2_500_000_000;
/// A watch that says nothing for so long is silent: an empty line comes every 2 s.
const SILENT: Nanos = 3_200_000_000;

/// The list as discovery tells it, or what changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerList {
    /// Its version.
    pub version: u64,
    /// All of it.
    pub full: bool,
    /// The entries.
    pub servers: Vec<ServerLine>,
}

/// One entry.
#[derive(Clone, Debug, Deserialize)]
pub struct ServerLine {
    id: String,
    #[serde(default)]
    addr: String,
    zone: Option<String>,
    #[serde(default)]
    cell: u32,
    state: State,
    #[serde(default)]
    started_ms: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
enum State {
    Ready,
    Terminating,
    Gone,
}

/// News for the exchange.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// Entries; `full`: all there are.
    Listed { full: bool, lines: Vec<Listed> },
    /// The call failed or the watch broke.
    Failed,
}

struct Watch {
    conn: ConnId,
    reader: Reader,
    /// Until when something must come.
    by: Nanos,
}

/// The watch on discovery, and the names of the servers.
pub struct Roster {
    owner: u8,
    discovery: SocketAddr,
    names: Names,
    ids: HashMap<String, ReplicaId>,
    next: u32,
    version: u64,
    watch: Option<Watch>,
    news: Vec<News>,
}

impl Roster {
    /// A roster that knows nothing yet.
    pub fn new(owner: u8, discovery: SocketAddr, names: Names) -> Roster {
        Roster {
            owner,
            discovery,
            names,
            ids: HashMap::new(),
            next: 0,
            version: 0,
            watch: None,
            news: Vec::new(),
        }
    }

    /// Takes in a list.
    pub fn take_in(&mut self, list: ServerList, servers: &mut Servers) {
        self.version = list.version;
        let mut lines = Vec::with_capacity(list.servers.len());
        if list.full {
            // What is not on it is gone.
            self.ids.retain(|id, replica| {
                let stays = list.servers.iter().any(|s| s.id == *id);
                if !stays {
                    servers.place(*replica, None);
                }
                stays
            });
        }
        for s in list.servers {
            let replica = *self.ids.entry(s.id.clone()).or_insert_with(|| {
                self.next += 1;
                ReplicaId(self.next - 1)
            });
            let standing = match s.state {
                State::Ready => Standing::In,
                State::Terminating => Standing::Draining,
                State::Gone => Standing::Gone,
            };
            match s.addr.parse() {
                _ if standing == Standing::Gone => {
                    // Servers are always new: what is known of those that are gone must not add up.
                    self.ids.remove(&s.id);
                    servers.place(replica, None);
                }
                Ok(addr) => servers.place(replica, Some(addr)),
                Err(_) => log::error!("discovery names no usable address for {}: {:?}", s.id, s.addr),
            }
            let zone = s.zone.as_deref().and_then(|z| self.names.zone(z)).unwrap_or(u32::MAX);
            let started = (s.started_ms > 0).then(|| s.started_ms.saturating_mul(1_000_000));
            lines.push(Listed { replica, zone, cell: s.cell, standing, started });
        }
        log::info!(
            "list version {}: {} {}",
            list.version,
            lines.len(),
            if list.full { "servers" } else { "changes" }
        );
        self.news.push(News::Listed { full: list.full, lines });
    }

    /// What is to be told to the exchange.
    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Asks for the changes since the list held. A watch that stands already goes on.
    pub fn watch(&mut self, now: Nanos, net: &mut Reactor) {
        if self.watch.is_some() {
            return;
        }
        let Ok(conn) = net.dial(self.discovery, self.owner) else {
            log::warn!("discovery can't be dialled");
            self.news.push(News::Failed);
            return;
        };
        let request = format!(
            "GET /api/targets?follow=1&since={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.version, self.discovery
        );
        self.watch = Some(Watch { conn, reader: Reader::new(Side::Responses), by: now + BEGIN_IN });
        if net.send(conn, request.as_bytes()).is_err() {
            self.fail("no room to ask", net);
        }
    }

    /// Discovery is at this address from now on: it is asked there at once.
    pub fn move_to(&mut self, discovery: SocketAddr, now: Nanos, net: &mut Reactor) {
        if discovery == self.discovery {
            return log::info!("configuration read again: discovery stays at {discovery}");
        }
        log::info!("configuration read again: discovery moves to {discovery}");
        self.discovery = discovery;
        if let Some(old) = self.watch.take() {
            net.close(old.conn);
        }
        self.watch(now, net);
    }

    fn fail(&mut self, why: &str, net: &mut Reactor) {
        if let Some(watch) = self.watch.take() {
            net.close(watch.conn);
            log::warn!("watch on discovery ended: {why}");
            self.news.push(News::Failed);
        }
    }

    /// Takes in what happened on its connection.
    pub fn event(&mut self, event: NetEvent, now: Nanos, net: &mut Reactor, servers: &mut Servers) {
        let ours = self.watch.as_ref().map(|w| w.conn);
        match event {
            NetEvent::Readable { conn, .. } if ours == Some(conn) => self.read(now, net, servers),
            NetEvent::Broken { conn, .. } if ours == Some(conn) => self.fail("the connection broke", net),
            _ => {}
        }
    }

    fn read(&mut self, now: Nanos, net: &mut Reactor, servers: &mut Servers) {
        while let Some(conn) = self.watch.as_ref().map(|w| w.conn) {
            let filled = net.fill(conn);
            let pool = net.pool().clone();
            let Some(watch) = &mut self.watch else { return };
            match filled {
                Filled::Nothing | Filled::NoBuffer => return,
                Filled::Some(_) | Filled::Full => {
                    watch.by = now + SILENT;
                    let used = match watch.reader.advance(net.data(conn), &pool) {
                        Ok(used) => used,
                        Err(e) => return self.fail(&e.to_string(), net),
                    };
                    net.consume(conn, used);
                    if let Err(why) = self.lines(servers) {
                        return self.fail(&why, net);
                    }
                    if used == 0 && filled == Filled::Full {
                        return self.fail("a line larger than a buffer", net);
                    }
                }
                Filled::Ended => {
                    watch.reader.end();
                    let why = self.lines(servers).err().unwrap_or_else(|| "discovery closed it".into());
                    return self.fail(&why, net);
                }
            }
        }
    }

    /// Takes the lines that are whole.
    fn lines(&mut self, servers: &mut Servers) -> Result<(), String> {
        loop {
            let Some(watch) = &mut self.watch else { return Ok(()) };
            let Some(status) = watch.reader.head().map(|h| h.status) else { return Ok(()) };
            if status != 200 {
                return Err(format!("status {status}"));
            }
            let done = watch.reader.is_done();
            let body = watch.reader.body();
            let line = match body.iter().position(|b| *b == b'\n') {
                Some(end) => &body[..end],
                None if done && !body.is_empty() => body,
                None if done => return Err("its answer ended".into()),
                None => return Ok(()),
            };
            let used = (line.len() + 1).min(body.len());
            let list = match line.trim_ascii() {
                [] => None,
                text => {
                    Some(serde_json::from_slice::<ServerList>(text).map_err(|e| format!("a bad line: {e}"))?)
                }
            };
            watch.reader.consume_body(used);
            if let Some(list) = list {
                self.take_in(list, servers);
            }
        }
    }

    /// Ends a watch on which nothing came for too long: a silent peer shows by time alone.
    pub fn tick(&mut self, now: Nanos, net: &mut Reactor) {
        if self.watch.as_ref().is_some_and(|w| w.by <= now) {
            self.fail("nothing came for too long", net);
        }
    }

    /// When `tick` is next worth calling.
    pub fn due(&self) -> Option<Nanos> {
        self.watch.as_ref().map(|w| w.by)
    }
}
