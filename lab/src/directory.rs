//! A stand-in for discovery: a list that tests and measurements change while brokers watch it. It can be
//! down, slow or stale, or restart its version numbers.

use crate::standins::{listen, read_http};
use pebbleturn::membership::NodeState;
use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How discovery answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Normally.
    #[default]
    Up,
    /// Connections are accepted and closed at once, and open watches end.
    Down,
    /// Every call gets 503.
    Refusing,
    /// A response begins only after this many milliseconds.
    Slow(u64),
    /// Every call gets the first list, whichever version it names.
    Stale,
}

#[derive(Default)]
struct State {
    mode: Mode,
    version: u64,
    nodes: BTreeMap<String, Endpoint>,
    /// Each change with the version that it created.
    changes: Vec<(u64, Endpoint)>,
    first_list: Option<EndpointList>,
    /// Number of times that all watches were ended.
    watch_resets: u64,
    call_times: Vec<Instant>,
}

/// Discovery on a free port.
#[derive(Clone)]
pub struct Directory {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// An endpoint for the list.
pub fn endpoint(id: &str, addr: SocketAddr, kind: &str, cell: u32, state: NodeState) -> Endpoint {
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
    /// Starts discovery with this list as version 1.
    pub fn start(nodes: Vec<Endpoint>) -> Directory {
        let state = Arc::new(Mutex::new(State::default()));
        let served_state = state.clone();
        let addr = listen(move |stream| serve(stream, &served_state));
        let directory = Directory { addr, state };
        directory.restart_with(nodes);
        directory
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        action(&mut self.state.lock().unwrap())
    }

    pub fn set_mode(&self, mode: Mode) {
        self.with_state(|s| s.mode = mode);
    }

    /// Adds, replaces or removes one endpoint, and reports the change to all watches.
    pub fn change(&self, endpoint: Endpoint) {
        self.with_state(|s| {
            s.version += 1;
            s.changes.push((s.version, endpoint.clone()));
            match endpoint.state {
                NodeState::Gone => s.nodes.remove(&endpoint.id),
                _ => s.nodes.insert(endpoint.id.clone(), endpoint),
            };
        });
    }

    /// Removes one endpoint without reporting a change, and ends all watches: what follows is the full list
    /// without it.
    pub fn leave_out(&self, id: &str) {
        self.with_state(|s| {
            s.version += 1;
            s.nodes.remove(id);
            s.changes.clear();
            s.watch_resets += 1;
        });
    }

    /// Restarts with this list; its version is 1 again.
    pub fn restart_with(&self, nodes: Vec<Endpoint>) {
        self.with_state(|s| {
            s.version = 1;
            s.changes.clear();
            s.nodes = nodes.into_iter().map(|n| (n.id.clone(), n)).collect();
            s.first_list.get_or_insert_with(|| full_list(1, &s.nodes));
        });
    }

    /// When each call was received.
    pub fn call_times(&self) -> Vec<Instant> {
        self.with_state(|s| s.call_times.clone())
    }
}

fn full_list(version: u64, nodes: &BTreeMap<String, Endpoint>) -> EndpointList {
    EndpointList { version, full: true, as_of_ms: None, servers: nodes.values().cloned().collect() }
}

/// The list to send to a watch that has version `since`, if any. A new watch receives the full list if the
/// changes since that version are not known.
fn update_since(state: &State, since: u64, is_new_watch: bool) -> Option<EndpointList> {
    if state.mode == Mode::Stale {
        return state.first_list.clone().filter(|_| is_new_watch);
    }
    if is_new_watch
        && (since == 0 || since > state.version || state.changes.first().is_none_or(|(v, _)| *v > since + 1))
    {
        return Some(full_list(state.version, &state.nodes));
    }
    let servers: Vec<Endpoint> =
        state.changes.iter().filter(|(v, _)| *v > since).map(|(_, endpoint)| endpoint.clone()).collect();
    let update = EndpointList { version: state.version, full: false, as_of_ms: None, servers };
    (is_new_watch || state.version > since).then_some(update)
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) -> Option<()> {
    if state.lock().ok()?.mode == Mode::Down {
        return None;
    }
    let (head, _) = read_http(&mut stream)?;
    let mut since: u64 = head.split("since=").nth(1)?.split(' ').next()?.parse().ok()?;
    let (mode, watch_resets) = {
        let mut state = state.lock().ok()?;
        state.call_times.push(Instant::now());
        (state.mode, state.watch_resets)
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
    let (mut is_new_watch, mut last_sent) = (true, Instant::now());
    loop {
        let list = {
            let state = state.lock().ok()?;
            if state.mode == Mode::Down || state.watch_resets != watch_resets {
                return None;
            }
            // After a restart of the version numbers the open watches end.
            if !is_new_watch && state.version < since && state.mode != Mode::Stale {
                return None;
            }
            update_since(&state, since, is_new_watch)
        };
        if let Some(list) = list {
            since = list.version;
            chunk(&format!("{}\n", serde_json::to_string(&list).ok()?))?;
            last_sent = Instant::now();
        } else if last_sent.elapsed() > Duration::from_secs(1) {
            chunk("\n")?;
            last_sent = Instant::now();
        }
        is_new_watch = false;
        std::thread::sleep(Duration::from_millis(10));
    }
}
