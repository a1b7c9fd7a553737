//! A stand-in for discovery: a list that tests and measurements change while brokers watch it, and that can be down,
//! slow, stale or count anew.

use crate::standins::{listen, read_http};
use pebbleturn::membership::NodeState;
use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// Connections are accepted and closed at once; watches that stand end.
    Down,
    /// Every call gets 503.
    Refusing,
    /// An answer begins only after so many milliseconds.
    Slow(u64),
    /// Answers with the first list it ever had, whatever is asked.
    Stale,
}

#[derive(Default)]
struct Held {
    mode: Mode,
    version: u64,
    nodes: BTreeMap<String, Endpoint>,
    /// Each change with the version that it made.
    changes: Vec<(u64, Endpoint)>,
    first: Option<EndpointList>,
    asked: Vec<Instant>,
}

/// Discovery, on a port of its own.
#[derive(Clone)]
pub struct Directory {
    /// Where it is.
    pub addr: SocketAddr,
    held: Arc<Mutex<Held>>,
}

/// A line of the list.
pub fn line(id: &str, addr: SocketAddr, kind: &str, cell: u32, state: NodeState) -> Endpoint {
    Endpoint {
        id: id.into(),
        addr: addr.to_string(),
        zone: Some("a".into()),
        kind: kind.into(),
        cell,
        state,
        started_ms: 0,
    }
}

impl Directory {
    /// Discovery that tells this list, from version 1 on.
    pub fn start(nodes: Vec<Endpoint>) -> Directory {
        let held = Arc::new(Mutex::new(Held::default()));
        let serving = held.clone();
        let addr = listen(move |stream| serve(stream, &serving));
        let directory = Directory { addr, held };
        directory.count_anew(nodes);
        directory
    }

    fn locked<T>(&self, what: impl FnOnce(&mut Held) -> T) -> T {
        what(&mut self.held.lock().unwrap())
    }

    /// Answers so from now on.
    pub fn mode(&self, mode: Mode) {
        self.locked(|h| h.mode = mode);
    }

    /// One change, told to all who watch.
    pub fn change(&self, line: Endpoint) {
        self.locked(|h| {
            h.version += 1;
            h.changes.push((h.version, line.clone()));
            match line.state {
                NodeState::Gone => h.nodes.remove(&line.id),
                _ => h.nodes.insert(line.id.clone(), line),
            };
        });
    }

    /// Restarts with this list and counts from 1 again.
    pub fn count_anew(&self, nodes: Vec<Endpoint>) {
        self.locked(|h| {
            h.version = 1;
            h.changes.clear();
            h.nodes = nodes.into_iter().map(|n| (n.id.clone(), n)).collect();
            h.first.get_or_insert_with(|| whole(1, &h.nodes));
        });
    }

    /// When calls came.
    pub fn asked(&self) -> Vec<Instant> {
        self.locked(|h| h.asked.clone())
    }
}

fn whole(version: u64, nodes: &BTreeMap<String, Endpoint>) -> EndpointList {
    EndpointList { version, full: true, as_of_ms: None, servers: nodes.values().cloned().collect() }
}

/// What is to be told to one who has version `since`; `fresh`: who may need the whole list.
fn news(held: &Held, since: u64, fresh: bool) -> Option<EndpointList> {
    if held.mode == Mode::Stale {
        return held.first.clone().filter(|_| fresh);
    }
    if fresh
        && (since == 0 || since > held.version || held.changes.first().is_none_or(|(v, _)| *v > since + 1))
    {
        return Some(whole(held.version, &held.nodes));
    }
    let servers: Vec<Endpoint> =
        held.changes.iter().filter(|(v, _)| *v > since).map(|(_, line)| line.clone()).collect();
    let told = EndpointList { version: held.version, full: false, as_of_ms: None, servers };
    (fresh || held.version > since).then_some(told)
}

fn serve(mut stream: TcpStream, held: &Mutex<Held>) -> Option<()> {
    if held.lock().ok()?.mode == Mode::Down {
        return None;
    }
    let (head, _) = read_http(&mut stream)?;
    let mut since: u64 = head.split("since=").nth(1)?.split(' ').next()?.parse().ok()?;
    let mode = {
        let mut held = held.lock().ok()?;
        held.asked.push(Instant::now());
        held.mode
    };
    match mode {
        Mode::Refusing => {
            return write!(stream, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").ok();
        }
        Mode::Slow(ms) => std::thread::sleep(Duration::from_millis(ms)),
        Mode::Up | Mode::Down | Mode::Stale => {}
    }
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
    let mut chunk = |text: &str| write!(stream, "{:x}\r\n{text}\r\n", text.len()).ok();
    let (mut fresh, mut told) = (true, Instant::now());
    loop {
        let list = {
            let held = held.lock().ok()?;
            if held.mode == Mode::Down {
                return None;
            }
            // One that counts anew ends the watches it had.
            if !fresh && held.version < since && held.mode != Mode::Stale {
                return None;
            }
            news(&held, since, fresh)
        };
        if let Some(list) = list {
            since = list.version;
            chunk(&format!("{}\n", serde_json::to_string(&list).ok()?))?;
            told = Instant::now();
        } else if told.elapsed() > Duration::from_secs(1) {
            chunk("\n")?;
            told = Instant::now();
        }
        fresh = false;
        std::thread::sleep(Duration::from_millis(10));
    }
}
