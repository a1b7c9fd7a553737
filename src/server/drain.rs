//! When clients are sent away, and how: for good by the word to end, or until further notice by a pause.
//!
//! Free of I/O and clock. A front asks now and then whether this broker is ready and sends connections for a moment
//! after a no; clients use connections for as long as those stay open. So the steps are: not ready; then each answer
//! ends its connection; then whoever waits for nothing is closed.

use crate::api::Nanos;

/// How long new connections are still to be expected after the word, with room to spare: a front asks every 0.1 s and
/// sends for 0.2 to 0.4 s more.
pub const KEEP_ACCEPTING: Nanos = 700_000_000;
/// After a pause or where another process took over, how long answers alone end connections before those that are idle
/// are closed. A close may cross a request; an answer never does.
const ANSWERS_ALONE: Nanos = 500_000_000;
/// After a pause, how long requests that were sent ahead on one connection are still answered: nobody may go on without
/// end. Clients are to be gone 4 s after the word, and none may have asked in the 2 s before.
const ANSWERS_AHEAD: Nanos = 1_900_000_000;
/// The least time after which a broker that was told to end may be killed: the longest deadline, up to this, and
/// the time above.
const KILLED_AFTER: Nanos = 3_000_000_000;
/// By how long before that the connections that are open stop being served, and their last query is over.
/// Guards clients whose other brokers are ending too: they keep to the connections they have.
const STOP_SERVING: Nanos = 1_200_000_000;
const LAST_ANSWER: Nanos = 400_000_000;

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
const KNOWN_BY: Nanos = 250_000_000;

/// The word to end, the pause, and the times that follow from them.
#[derive(Clone, Copy, Debug)]
pub struct DrainState {
    longest: Nanos,
    ending: Option<Nanos>,
    /// Another process serves at the same address by now: nobody need be waited for.
    succeeded: bool,
    paused: Option<Nanos>,
    /// Other processes may serve at this address.
    shared: bool,
}

impl DrainState {
    /// Nobody leaves. `longest` is the longest time that any client waits.
    pub fn new(longest: Nanos) -> DrainState {
        DrainState { longest, ending: None, succeeded: false, paused: None, shared: false }
    }

    /// Other processes may serve at this address.
    pub fn share_address(&mut self) {
        self.shared = true;
    }

    /// Whether clients are welcome at this address, be it with this process or with the one that took over.
    pub fn is_ready(&self, now: Nanos) -> bool {
        self.phase(now) == DrainPhase::Serving || (self.succeeded && self.paused.is_none())
    }

    /// The word to end. Only the first counts.
    pub fn begin_shutdown(&mut self, now: Nanos) {
        self.ending.get_or_insert(now);
    }

    /// Another process serves at this address: this one ends, if it was not told to already.
    pub fn successor_serves(&mut self, now: Nanos) {
        self.begin_shutdown(now);
        self.succeeded = true;
    }

    /// Whether another process serves at this address.
    pub fn has_successor(&self) -> bool {
        self.succeeded
    }

    /// Whether the word to end has come.
    pub fn is_shutting_down(&self) -> bool {
        self.ending.is_some()
    }

    /// Clients are sent away until `resume`. Said again it changes nothing: the time runs from the first.
    pub fn pause(&mut self, now: Nanos) {
        self.paused.get_or_insert(now);
    }

    /// Clients are welcome again, unless the word to end has come.
    pub fn resume(&mut self) {
        self.paused = None;
    }

    /// Whether clients are being sent away by a pause.
    pub fn is_paused(&self) -> bool {
        self.paused.is_some()
    }

    /// What is to be done now.
    pub fn phase(&self, now: Nanos) -> DrainPhase {
        let pause = self.paused.map_or(DrainPhase::Serving, |t| match now.saturating_sub(t) {
            gone if gone < KEEP_ACCEPTING => DrainPhase::NotReady,
            gone if gone < KEEP_ACCEPTING + ANSWERS_ALONE => DrainPhase::ClosingAfterAnswer,
            gone if gone < ANSWERS_AHEAD => DrainPhase::ClosingIdle,
            _ => DrainPhase::ClosingAll,
        });
        let end = match (self.ending, self.stop_listening_at()) {
            (Some(t), _) if self.succeeded && now >= t + ANSWERS_ALONE => DrainPhase::ClosingIdle,
            (Some(_), _) if self.succeeded => DrainPhase::ClosingAfterAnswer,
            (Some(_), Some(t)) if now >= t && now >= self.killed().saturating_sub(STOP_SERVING) => {
                DrainPhase::ClosingIdle
            }
            // Guards an upgrade: to say no while another process serves would send clients away from both.
            (Some(t), _) if self.shared && now < t + KNOWN_BY => DrainPhase::Serving,
            (Some(_), _) => DrainPhase::NotReady,
            (None, _) => DrainPhase::Serving,
        };
        pause.max(end)
    }

    /// When listeners close; none while they stay open.
    pub fn stop_listening_at(&self) -> Option<Nanos> {
        self.ending.map(|t| if self.succeeded { t } else { t + KEEP_ACCEPTING })
    }

    fn killed(&self) -> Nanos {
        self.ending.map_or(Nanos::MAX, |t| t + KEEP_ACCEPTING + self.longest.min(KILLED_AFTER))
    }

    /// By when what is taken after the listeners closed must be answered, as of `now`: before this program may be killed.
    pub fn answer_by(&self, now: Nanos) -> Nanos {
        let killed = self.killed();
        killed - LAST_ANSWER.min(killed.saturating_sub(now))
    }

    /// When the program ends though somebody does not read an answer.
    pub fn exit_by(&self) -> Option<Nanos> {
        self.ending.map(|t| t + KEEP_ACCEPTING + self.longest)
    }

    /// When the step next changes, or is to be looked at again.
    pub fn next_deadline(&self, now: Nanos) -> Option<Nanos> {
        if self.phase(now) >= DrainPhase::ClosingIdle {
            return Some(now + 20_000_000);
        }
        let told = self.ending.filter(|_| self.shared).map(|t| t + KNOWN_BY).filter(|t| now < *t);
        let pause = self.paused.map(|t| t + KEEP_ACCEPTING);
        let pause = pause.map(|t| if now >= t { t + ANSWERS_ALONE } else { t });
        let end = self.stop_listening_at().map(|t| if now >= t { now + 20_000_000 } else { t });
        [told, pause, end].into_iter().flatten().min()
    }
}
