//! The phases in which clients are disconnected: permanently by a graceful shutdown, or until a resume by a
//! pause.
//!
//! A state machine without I/O and clock. A load balancer checks periodically whether this broker is ready,
//! and still sends connections for a short time after it is not; clients use connections for as long as
//! those stay open. So the phases are: not ready; then each answer closes its connection; then idle
//! connections are closed.
//!
//! In a pause the phases depend on the elapsed time only. In a graceful shutdown the listeners stay open for
//! [`ACCEPT_GRACE_PERIOD`], and open connections are served until shortly before the process may be killed.
//! Where another process has taken over the address, there is no grace period: answers close connections at
//! once.

use crate::api::Nanos;

/// How long new connections are expected after a shutdown or a pause began, including a margin, nanoseconds.
/// A load balancer checks every 0.1 s, and sends connections for 0.2 to 0.4 s more.
pub const ACCEPT_GRACE_PERIOD: Nanos = 700_000_000;
/// Time between two scans for idle connections in the phases that close them, nanoseconds.
pub const IDLE_SCAN_INTERVAL: Nanos = 20_000_000;
/// How long connections are closed only with an answer before idle ones are closed too, in a pause or after
/// another process took over, nanoseconds. Closing an idle connection may cross a request in flight; closing
/// with an answer never does.
const ANSWER_ONLY_PERIOD: Nanos = 500_000_000;
/// How long after a pause began requests that are pipelined on one connection are still answered, ns.
/// Bounds a client that pipelines without end: clients must be disconnected 4 s after the pause, and none may
/// have sent a request in the last 2 s of that.
const PIPELINED_ANSWER_PERIOD: Nanos = 1_900_000_000;
/// Upper bound of the time from the end of the grace period until a broker that shuts down may be killed,
/// nanoseconds. That time is the longest deadline, limited to this value.
const MAX_KILL_DELAY: Nanos = 3_000_000_000;
/// How long before the broker may be killed idle connections are closed, nanoseconds. This is late because
/// clients whose other brokers shut down too can only use the connections that they have.
const CLOSE_IDLE_BEFORE_KILL: Nanos = 1_200_000_000;
/// How long before the broker may be killed its last query must have ended, nanoseconds.
const LAST_ANSWER_BEFORE_KILL: Nanos = 400_000_000;
/// Where other processes may serve at the same address: the longest time from the start of a shutdown until
/// they are detected, nanoseconds.
const SUCCESSOR_DETECTION_PERIOD: Nanos = 250_000_000;

/// How clients are treated. Each phase includes the measures of the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// All clients are served.
    Serving,
    /// This broker reports that it is not ready.
    NotReady,
    /// Each answer closes its connection, unless a further request was pipelined.
    ClosingAfterAnswer,
    /// Idle connections are closed.
    ClosingIdle,
    /// Each answer closes its connection, even if further requests were pipelined.
    ClosingAll,
}

/// Whether the process runs or shuts down.
#[derive(Clone, Copy, Debug)]
enum Lifecycle {
    Running,
    /// A graceful shutdown was requested, and no other process is known to serve at this address.
    ShuttingDown {
        since: Nanos,
    },
    /// Another process serves at this address. `since` is when the shutdown began: at the takeover or before.
    Superseded {
        since: Nanos,
    },
}

/// Whether a pause is in effect.
#[derive(Clone, Copy, Debug)]
enum Pause {
    Inactive,
    Active { since: Nanos },
}

/// Which processes may serve at the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AddressUse {
    ThisProcess,
    /// Other processes may serve at it too.
    Shared,
}

/// The state of shutdown and pause, and the phase and deadlines derived from it.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub struct DrainState {
    longest_deadline: Nanos,
    lifecycle: Lifecycle,
    /// When a graceful shutdown was first requested, whether or not another process had taken over by then.
    termination_requested: Option<Nanos>,
    pause: Pause,
    address_use: AddressUse,
}

impl DrainState {
    /// A state in which all clients are served. `longest_deadline` is the longest time that any client waits
    /// for its answer, nanoseconds.
    pub fn new(longest_deadline: Nanos) -> DrainState {
        DrainState {
            longest_deadline,
            lifecycle: Lifecycle::Running,
            termination_requested: None,
            pause: Pause::Inactive,
            address_use: AddressUse::ThisProcess,
        }
    }

    /// Records that other processes may serve at this address from now on.
    pub fn share_address(&mut self) {
        self.address_use = AddressUse::Shared;
    }

    /// Whether clients are served at this address, by this process or by the one that took over.
    pub fn is_ready(&self, now: Nanos) -> bool {
        self.phase(now) == DrainPhase::Serving || (self.has_successor() && !self.is_paused())
    }

    /// Begins a graceful shutdown, unless one has begun. Repeated calls have no effect.
    pub fn begin_shutdown(&mut self, now: Nanos) {
        self.termination_requested.get_or_insert(now);
        if let Lifecycle::Running = self.lifecycle {
            self.lifecycle = Lifecycle::ShuttingDown { since: now };
        }
    }

    /// Records that another process serves at this address, and begins the shutdown of this one unless it has
    /// already begun.
    pub fn successor_serves(&mut self, now: Nanos) {
        let since = self.shutdown_since().unwrap_or(now);
        self.lifecycle = Lifecycle::Superseded { since };
    }

    /// Whether another process serves at this address.
    pub fn has_successor(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Superseded { .. })
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_since().is_some()
    }

    /// Begins a pause, which lasts until [`DrainState::resume`]. Repeated calls have no effect: the phases
    /// are timed from the first call.
    pub fn pause(&mut self, now: Nanos) {
        if let Pause::Inactive = self.pause {
            self.pause = Pause::Active { since: now };
        }
    }

    /// Ends a pause. A graceful shutdown continues.
    pub fn resume(&mut self) {
        self.pause = Pause::Inactive;
    }

    /// Whether a pause is in effect.
    pub fn is_paused(&self) -> bool {
        matches!(self.pause, Pause::Active { .. })
    }

    /// The phase at `now`: the stricter of the pause's and the shutdown's.
    pub fn phase(&self, now: Nanos) -> DrainPhase {
        self.pause_phase(now).max(self.shutdown_phase(now))
    }

    fn pause_phase(&self, now: Nanos) -> DrainPhase {
        let Pause::Active { since } = self.pause else { return DrainPhase::Serving };
        match now.saturating_sub(since) {
            elapsed if elapsed < ACCEPT_GRACE_PERIOD => DrainPhase::NotReady,
            elapsed if elapsed < ACCEPT_GRACE_PERIOD + ANSWER_ONLY_PERIOD => DrainPhase::ClosingAfterAnswer,
            elapsed if elapsed < PIPELINED_ANSWER_PERIOD => DrainPhase::ClosingIdle,
            _ => DrainPhase::ClosingAll,
        }
    }

    fn shutdown_phase(&self, now: Nanos) -> DrainPhase {
        match self.lifecycle {
            Lifecycle::Running => DrainPhase::Serving,
            Lifecycle::Superseded { since } if now >= since + ANSWER_ONLY_PERIOD => DrainPhase::ClosingIdle,
            Lifecycle::Superseded { .. } => DrainPhase::ClosingAfterAnswer,
            Lifecycle::ShuttingDown { since } => {
                let close_idle_at = self.earliest_kill().saturating_sub(CLOSE_IDLE_BEFORE_KILL);
                if now >= close_idle_at.max(since + ACCEPT_GRACE_PERIOD) {
                    DrainPhase::ClosingIdle
                } else if self.may_have_unnoticed_successor(since, now) {
                    DrainPhase::Serving
                } else {
                    DrainPhase::NotReady
                }
            }
        }
    }

    /// Whether another process may already serve without having been detected. During an upgrade, reporting
    /// not ready while the successor serves would turn clients away from both processes.
    fn may_have_unnoticed_successor(&self, shutdown_since: Nanos, now: Nanos) -> bool {
        self.address_use == AddressUse::Shared && now < shutdown_since + SUCCESSOR_DETECTION_PERIOD
    }

    fn shutdown_since(&self) -> Option<Nanos> {
        match self.lifecycle {
            Lifecycle::Running => None,
            Lifecycle::ShuttingDown { since } | Lifecycle::Superseded { since } => Some(since),
        }
    }

    /// When the listeners close; none while they stay open.
    pub fn stop_listening_at(&self) -> Option<Nanos> {
        match self.lifecycle {
            Lifecycle::Running => None,
            Lifecycle::ShuttingDown { since } => Some(since + ACCEPT_GRACE_PERIOD),
            Lifecycle::Superseded { since } => Some(since),
        }
    }

    /// The earliest time at which the process may be killed.
    fn earliest_kill(&self) -> Nanos {
        self.shutdown_since().map_or(Nanos::MAX, |since| since + self.kill_delay())
    }

    /// Time from the request to end the process until it may be killed.
    fn kill_delay(&self) -> Nanos {
        ACCEPT_GRACE_PERIOD + self.longest_deadline.min(MAX_KILL_DELAY)
    }

    /// Until when this process may stay for a process that has taken over the address: shortly before it may be
    /// killed, or until it exits anyway; none while none has taken over.
    pub fn may_stay_until(&self) -> Option<Nanos> {
        let exit_by = self.exit_by().filter(|_| self.has_successor())?;
        let before_kill =
            self.termination_requested.map(|at| at + self.kill_delay() - LAST_ANSWER_BEFORE_KILL);
        Some(before_kill.map_or(exit_by, |at| at.min(exit_by)))
    }

    /// The time by which queries that are accepted after the listeners closed must be answered, as of `now`:
    /// before the process may be killed.
    pub fn answer_by(&self, now: Nanos) -> Nanos {
        let earliest_kill = self.earliest_kill();
        earliest_kill - LAST_ANSWER_BEFORE_KILL.min(earliest_kill.saturating_sub(now))
    }

    /// When the process exits even if clients have not read their answers.
    pub fn exit_by(&self) -> Option<Nanos> {
        self.shutdown_since().map(|since| since + ACCEPT_GRACE_PERIOD + self.longest_deadline)
    }

    /// When the phase next changes, or idle connections or the exit have to be checked again.
    pub fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        if self.phase(now) >= DrainPhase::ClosingIdle {
            return Some(now + IDLE_SCAN_INTERVAL);
        }
        let successor_detected =
            self.shutdown_since().filter(|since| self.may_have_unnoticed_successor(*since, now));
        let successor_detected = successor_detected.map(|since| since + SUCCESSOR_DETECTION_PERIOD);
        let listeners_close = self.stop_listening_at();
        let listeners_close = listeners_close.map(|t| if now >= t { now + IDLE_SCAN_INTERVAL } else { t });
        [successor_detected, self.next_pause_phase_at(now), listeners_close].into_iter().flatten().min()
    }

    fn next_pause_phase_at(&self, now: Nanos) -> Option<Nanos> {
        let Pause::Active { since } = self.pause else { return None };
        let answers_close = since + ACCEPT_GRACE_PERIOD;
        Some(if now >= answers_close { answers_close + ANSWER_ONLY_PERIOD } else { answers_close })
    }
}
