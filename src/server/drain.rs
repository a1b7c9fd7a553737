//! How clients are sent away: for good by a graceful shutdown, or until further notice by a pause.
//!
//! A state machine without I/O and clock. A load balancer checks now and then whether this broker is ready,
//! and sends connections for a moment after it was not; clients use connections for as long as those stay
//! open. So the phases are: not ready; then each answer closes its connection; then idle connections are
//! closed.
//!
//! In a pause the phases follow each other by time alone. In a graceful shutdown the listeners stay open for
//! [`ACCEPT_GRACE_PERIOD`], and open connections are served until shortly before the process may be killed.
//! Where another process took over the address, nobody has to be waited for: answers close connections at
//! once.

use crate::api::Nanos;

/// How long new connections are still to be expected after a shutdown or a pause began, with room to spare: a
/// load balancer checks every 0.1 s, and sends connections for 0.2 to 0.4 s more. Nanoseconds.
pub const ACCEPT_GRACE_PERIOD: Nanos = 700_000_000;
/// Time between two scans for idle connections while such are closed, nanoseconds.
pub const IDLE_SCAN_INTERVAL: Nanos = 20_000_000;
/// How long answers alone close connections before idle ones are closed, in a pause or after another process
/// took over. A close may cross a request; an answer never does.
const ANSWER_ONLY_PERIOD: Nanos = 500_000_000;
/// How long after a pause began requests that were pipelined on one connection are still answered: no client
/// may go on without end. Clients have to be gone 4 s after the pause, and none may have sent a request in
/// the last 2 s of it.
const PIPELINED_ANSWER_PERIOD: Nanos = 1_900_000_000;
/// Upper bound of the time between the end of the grace period and the moment at which a broker that shuts
/// down may be killed. That time is the longest deadline, up to this.
const MAX_KILL_DELAY: Nanos = 3_000_000_000;
/// How long before the broker may be killed idle connections are closed. Guards clients whose other brokers
/// shut down too: they stay on the connections that they have.
const CLOSE_IDLE_BEFORE_KILL: Nanos = 1_200_000_000;
/// How long before the broker may be killed its last query has ended.
const LAST_ANSWER_BEFORE_KILL: Nanos = 400_000_000;
/// Where other processes may serve at the same address: how long after a shutdown began it takes at most to
/// notice them.
const SUCCESSOR_DETECTION_PERIOD: Nanos = 250_000_000;

/// What is done with clients. Each phase includes what the one before it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// Everybody is served.
    Serving,
    /// This broker reports that it is not ready.
    NotReady,
    /// Each answer closes its connection, unless a further request was pipelined.
    ClosingAfterAnswer,
    /// Idle connections are closed.
    ClosingIdle,
    /// Each answer closes its connection, whatever was pipelined.
    ClosingAll,
}

/// How far the process is on its way to its end.
#[derive(Clone, Copy, Debug)]
enum Lifecycle {
    Running,
    /// A graceful shutdown was requested; clients have nowhere else to go at this address.
    ShuttingDown {
        since: Nanos,
    },
    /// Another process serves at this address. `since` is when the shutdown began, be it by this or before.
    Superseded {
        since: Nanos,
    },
}

/// Whether clients are sent away by a pause.
#[derive(Clone, Copy, Debug)]
enum Pause {
    Inactive,
    Active { since: Nanos },
}

/// Who serves at the address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AddressUse {
    ThisProcess,
    /// Other processes may serve there too.
    Shared,
}

/// The state of shutdown and pause, and the points in time that follow from it.
#[derive(Clone, Copy, Debug)]
#[must_use]
pub struct DrainState {
    longest_deadline: Nanos,
    lifecycle: Lifecycle,
    pause: Pause,
    address_use: AddressUse,
}

impl DrainState {
    /// Everybody is served. `longest_deadline` is the longest time that any client waits for its answer,
    /// nanoseconds.
    pub fn new(longest_deadline: Nanos) -> DrainState {
        DrainState {
            longest_deadline,
            lifecycle: Lifecycle::Running,
            pause: Pause::Inactive,
            address_use: AddressUse::ThisProcess,
        }
    }

    /// Other processes may serve at this address from now on.
    pub fn share_address(&mut self) {
        self.address_use = AddressUse::Shared;
    }

    /// Whether clients are served at this address, by this process or by the one that took over.
    pub fn is_ready(&self, now: Nanos) -> bool {
        self.phase(now) == DrainPhase::Serving || (self.has_successor() && !self.is_paused())
    }

    /// Begins a graceful shutdown. Only the first call counts.
    pub fn begin_shutdown(&mut self, now: Nanos) {
        if let Lifecycle::Running = self.lifecycle {
            self.lifecycle = Lifecycle::ShuttingDown { since: now };
        }
    }

    /// Another process serves at this address: this one shuts down, if it does not already.
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

    /// Sends clients away until [`DrainState::resume`]. Repeated it changes nothing: the time runs from the
    /// first call.
    pub fn pause(&mut self, now: Nanos) {
        if let Pause::Inactive = self.pause {
            self.pause = Pause::Active { since: now };
        }
    }

    /// Ends a pause. A graceful shutdown goes on.
    pub fn resume(&mut self) {
        self.pause = Pause::Inactive;
    }

    /// Whether clients are sent away by a pause.
    pub fn is_paused(&self) -> bool {
        matches!(self.pause, Pause::Active { .. })
    }

    /// The phase at `now`: the stricter one of pause and shutdown.
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

    /// Guards an upgrade: to be not ready while another process serves would send clients away from both.
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

    /// The earliest moment at which the process may be killed.
    fn earliest_kill(&self) -> Nanos {
        let delay = ACCEPT_GRACE_PERIOD + self.longest_deadline.min(MAX_KILL_DELAY);
        self.shutdown_since().map_or(Nanos::MAX, |since| since + delay)
    }

    /// By when queries that are accepted after the listeners closed have to be answered, as of `now`: before
    /// the process may be killed.
    pub fn answer_by(&self, now: Nanos) -> Nanos {
        let earliest_kill = self.earliest_kill();
        earliest_kill - LAST_ANSWER_BEFORE_KILL.min(earliest_kill.saturating_sub(now))
    }

    /// When the process exits even if a client does not read its answer.
    pub fn exit_by(&self) -> Option<Nanos> {
        self.shutdown_since().map(|since| since + ACCEPT_GRACE_PERIOD + self.longest_deadline)
    }

    /// When the phase next changes, or has to be looked at again.
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
