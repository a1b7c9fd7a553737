//! When clients are sent away, and how: for good by the word to end, or until further notice by a pause.
//!
//! Free of I/O and clock. A front asks now and then whether this broker is ready and sends connections for a moment
//! after a no; clients use connections for as long as those stay open. So the steps are: not ready; then each answer
//! ends its connection; then whoever waits for nothing is closed.

use crate::api::Nanos;

/// How long new connections are still to be expected after the word, with room to spare: a front asks every 0.1 s and
/// sends for 0.2 to 0.4 s more.
pub const ACCEPT_GRACE_PERIOD: Nanos = 700_000_000;
/// After a pause or where another process took over, how long answers alone end connections before those that are idle
/// are closed. A close may cross a request; an answer never does.
const ANSWER_ONLY_PERIOD: Nanos = 500_000_000;
/// After a pause, how long requests that were sent ahead on one connection are still answered: nobody may go on without
/// end. Clients are to be gone 4 s after the word, and none may have asked in the 2 s before.
const PIPELINED_ANSWER_PERIOD: Nanos = 1_900_000_000;
/// The least time after which a broker that was told to end may be killed: the longest deadline, up to this, and
/// the time above.
const MAX_KILL_DELAY: Nanos = 3_000_000_000;
/// By how long before that the connections that are open stop being served, and their last query is over.
/// Guards clients whose other brokers are ending too: they keep to the connections they have.
const CLOSE_IDLE_BEFORE_KILL: Nanos = 1_200_000_000;
const LAST_ANSWER_BEFORE_KILL: Nanos = 400_000_000;

/// What is to be done with clients now. Each step holds what the one before it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// All are welcome.
    Serving,
    /// This broker says that it is not ready.
    NotReady,
    /// Each answer ends its connection, unless a further request was sent ahead.
    ClosingAfterAnswer,
    /// Whoever waits for nothing is closed.
    ClosingIdle,
    /// Each answer ends its connection, whatever was sent ahead.
    ClosingAll,
}

/// Where other processes may serve at the same address: how long after the word to end it takes at most to know.
const SUCCESSOR_DETECTION_PERIOD: Nanos = 250_000_000;

/// The word to end, the pause, and the times that follow from them.
#[derive(Clone, Copy, Debug)]
pub struct DrainState {
    longest_deadline: Nanos,
    shutdown_since: Option<Nanos>,
    /// Another process serves at the same address by now: nobody need be waited for.
    superseded: bool,
    paused_since: Option<Nanos>,
    /// Other processes may serve at this address.
    address_shared: bool,
}

impl DrainState {
    /// Nobody leaves. `longest_deadline` is the longest time that any client waits.
    pub fn new(longest_deadline: Nanos) -> DrainState {
        DrainState {
            longest_deadline,
            shutdown_since: None,
            superseded: false,
            paused_since: None,
            address_shared: false,
        }
    }

    /// Other processes may serve at this address.
    pub fn share_address(&mut self) {
        self.address_shared = true;
    }

    /// Whether clients are welcome at this address, be it with this process or with the one that took over.
    pub fn is_ready(&self, now: Nanos) -> bool {
        self.phase(now) == DrainPhase::Serving || (self.superseded && self.paused_since.is_none())
    }

    /// The word to end. Only the first counts.
    pub fn begin_shutdown(&mut self, now: Nanos) {
        self.shutdown_since.get_or_insert(now);
    }

    /// Another process serves at this address: this one ends, if it was not told to already.
    pub fn successor_serves(&mut self, now: Nanos) {
        self.begin_shutdown(now);
        self.superseded = true;
    }

    /// Whether another process serves at this address.
    pub fn has_successor(&self) -> bool {
        self.superseded
    }

    /// Whether the word to end has come.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_since.is_some()
    }

    /// Clients are sent away until `resume`. Said again it changes nothing: the time runs from the first.
    pub fn pause(&mut self, now: Nanos) {
        self.paused_since.get_or_insert(now);
    }

    /// Clients are welcome again, unless the word to end has come.
    pub fn resume(&mut self) {
        self.paused_since = None;
    }

    /// Whether clients are being sent away by a pause.
    pub fn is_paused(&self) -> bool {
        self.paused_since.is_some()
    }

    /// What is to be done now.
    pub fn phase(&self, now: Nanos) -> DrainPhase {
        let pause = self.paused_since.map_or(DrainPhase::Serving, |t| match now.saturating_sub(t) {
            elapsed if elapsed < ACCEPT_GRACE_PERIOD => DrainPhase::NotReady,
            elapsed if elapsed < ACCEPT_GRACE_PERIOD + ANSWER_ONLY_PERIOD => DrainPhase::ClosingAfterAnswer,
            elapsed if elapsed < PIPELINED_ANSWER_PERIOD => DrainPhase::ClosingIdle,
            _ => DrainPhase::ClosingAll,
        });
        let end = match (self.shutdown_since, self.stop_listening_at()) {
            (Some(t), _) if self.superseded && now >= t + ANSWER_ONLY_PERIOD => DrainPhase::ClosingIdle,
            (Some(_), _) if self.superseded => DrainPhase::ClosingAfterAnswer,
            (Some(_), Some(t))
                if now >= t && now >= self.earliest_kill().saturating_sub(CLOSE_IDLE_BEFORE_KILL) =>
            {
                DrainPhase::ClosingIdle
            }
            // Guards an upgrade: to say no while another process serves would send clients away from both.
            (Some(t), _) if self.address_shared && now < t + SUCCESSOR_DETECTION_PERIOD => {
                DrainPhase::Serving
            }
            (Some(_), _) => DrainPhase::NotReady,
            (None, _) => DrainPhase::Serving,
        };
        pause.max(end)
    }

    /// When listeners close; none while they stay open.
    pub fn stop_listening_at(&self) -> Option<Nanos> {
        self.shutdown_since.map(|t| if self.superseded { t } else { t + ACCEPT_GRACE_PERIOD })
    }

    fn earliest_kill(&self) -> Nanos {
        self.shutdown_since
            .map_or(Nanos::MAX, |t| t + ACCEPT_GRACE_PERIOD + self.longest_deadline.min(MAX_KILL_DELAY))
    }

    /// By when what is taken after the listeners closed must be answered, as of `now`: before this program may be killed.
    pub fn answer_by(&self, now: Nanos) -> Nanos {
        let earliest_kill = self.earliest_kill();
        earliest_kill - LAST_ANSWER_BEFORE_KILL.min(earliest_kill.saturating_sub(now))
    }

    /// When the program ends though somebody does not read an answer.
    pub fn exit_by(&self) -> Option<Nanos> {
        self.shutdown_since.map(|t| t + ACCEPT_GRACE_PERIOD + self.longest_deadline)
    }

    /// When the step next changes, or is to be looked at again.
    pub fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        if self.phase(now) >= DrainPhase::ClosingIdle {
            return Some(now + 20_000_000);
        }
        let detection = self
            .shutdown_since
            .filter(|_| self.address_shared)
            .map(|t| t + SUCCESSOR_DETECTION_PERIOD)
            .filter(|t| now < *t);
        let pause = self.paused_since.map(|t| t + ACCEPT_GRACE_PERIOD);
        let pause = pause.map(|t| if now >= t { t + ANSWER_ONLY_PERIOD } else { t });
        let end = self.stop_listening_at().map(|t| if now >= t { now + 20_000_000 } else { t });
        [detection, pause, end].into_iter().flatten().min()
    }
}
