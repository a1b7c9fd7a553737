//! When a drain counts as reported to the broker, by the protocol's rules.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after the report of a drain in which new parts must cease.
pub const GRACE: Duration = Duration::from_secs(2);
/// Slack that the protocol gives each time limit on sockets.
pub const SLACK: Duration = Duration::from_millis(50);
/// What a silent watch misses, and what calls that failed did not bring, counts as reported so long after.
const REPORTED_AT_THE_LATEST: Duration = Duration::from_secs(6);
/// What the discovery of a new configuration has counts as reported so long after the signal.
const REPORTED_AFTER_MOVE: Duration = Duration::from_secs(4);

/// How discovery keeps its brokers up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Asked by the broker.
    OnRequest,
    /// What it has counts as reported, whether or not a watch is open.
    Pushed,
}

#[derive(Debug, Default)]
struct Times {
    changed: Option<Instant>,
    written: Option<Instant>,
    silent: Option<Instant>,
    call_failed: Option<Instant>,
    moved: Option<Instant>,
}

/// What happened that lets the drain count as reported.
#[derive(Debug, Default)]
pub struct Reports(Mutex<Times>);

impl Reports {
    /// The drain is in the list from now on.
    pub fn changed(&self, at: Instant) {
        self.0.lock().unwrap().changed = Some(at);
    }

    /// The list was written, or began to be: with the drain or before it.
    pub fn written(&self, at: Instant, with_drain: bool) {
        if with_drain {
            self.0.lock().unwrap().written.get_or_insert(at);
        }
    }

    /// The watch that the broker had says nothing from now on.
    pub fn fell_silent(&self, at: Instant) {
        self.0.lock().unwrap().silent.get_or_insert(at);
    }

    /// A call came to nothing.
    pub fn call_failed(&self, at: Instant) {
        self.0.lock().unwrap().call_failed.get_or_insert(at);
    }

    /// The broker was told of a new configuration, with another discovery.
    pub fn moved(&self, at: Instant) {
        self.0.lock().unwrap().moved.get_or_insert(at);
    }

    /// When the drain counts as reported to a broker that started at this time.
    pub fn reported(&self, mode: Mode, started: Instant) -> Option<Instant> {
        let times = self.0.lock().unwrap();
        let changed = times.changed?.max(started);
        let silent = times.silent.map(|at| changed.max(at + REPORTED_AT_THE_LATEST));
        let call_failed = times.call_failed.map(|_| changed + REPORTED_AT_THE_LATEST);
        let moved = times.moved.map(|at| changed.max(at + REPORTED_AFTER_MOVE));
        let pushed = (mode == Mode::Pushed && times.silent.is_none()).then_some(changed);
        [times.written, silent, call_failed, moved, pushed].into_iter().flatten().min()
    }
}
