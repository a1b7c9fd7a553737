//! The time at which a drain counts as reported to the broker, by the rules of the discovery protocol.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time after the report of a drain within which the broker must stop sending new parts.
pub const GRACE: Duration = Duration::from_secs(2);
/// Tolerance that the protocol allows for each time limit on sockets.
pub const SLACK: Duration = Duration::from_millis(50);
/// Changes that a silent watch or a failed call did not deliver count as reported after this time.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(6);
/// The list at the discovery address of a new configuration counts as reported this long after the reload
/// signal.
const REPORT_DELAY_AFTER_MOVE: Duration = Duration::from_secs(4);

/// How brokers get updates from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The broker requests them.
    OnRequest,
    /// An agent pushes them: a change counts as reported at once, whether or not a watch is open.
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

/// Times of the events from which the drain may count as reported.
#[derive(Debug, Default)]
pub struct Reports(Mutex<Times>);

impl Reports {
    /// The list contains the drain from this time on.
    pub fn list_changed(&self, at: Instant) {
        self.0.lock().unwrap().changed = Some(at);
    }

    /// Discovery wrote a list, or began to: with the drain, or without it.
    pub fn list_written(&self, at: Instant, with_drain: bool) {
        if with_drain {
            self.0.lock().unwrap().written.get_or_insert(at);
        }
    }

    /// The broker's watch sends nothing from this time on.
    pub fn watch_fell_silent(&self, at: Instant) {
        self.0.lock().unwrap().silent.get_or_insert(at);
    }

    /// A call failed.
    pub fn call_failed(&self, at: Instant) {
        self.0.lock().unwrap().call_failed.get_or_insert(at);
    }

    /// The broker is being signalled to load a configuration with another discovery address.
    pub fn discovery_moved(&self, at: Instant) {
        self.0.lock().unwrap().moved.get_or_insert(at);
    }

    /// When the drain counts as reported to a broker that started at this time.
    pub fn reported(&self, mode: Mode, started: Instant) -> Option<Instant> {
        let times = self.0.lock().unwrap();
        let changed = times.changed?.max(started);
        let silent = times.silent.map(|at| changed.max(at + MAX_REPORT_DELAY));
        let call_failed = times.call_failed.map(|_| changed + MAX_REPORT_DELAY);
        let moved = times.moved.map(|at| changed.max(at + REPORT_DELAY_AFTER_MOVE));
        let pushed = (mode == Mode::Pushed && times.silent.is_none()).then_some(changed);
        [times.written, silent, call_failed, moved, pushed].into_iter().flatten().min()
    }
}
