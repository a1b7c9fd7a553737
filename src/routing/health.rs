//! How one node fares: failure, trial, and the way back to full weight.

use crate::api::{Nanos, Outcome};

/// Failures in a row, other than connections that don't come up, that take a node out. One error is no dead node.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Share of its weight that a node has right after a trial; it grows to all of it while the node warms up.
const INITIAL_WEIGHT_SHARE: f64 = 0.1;

/// How a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It works as it should.
    Healthy,
    /// It failed, and gets nothing until then.
    Ejected {
        /// When it may be tried.
        until: Nanos,
    },
    /// It may be tried: one answer decides.
    Probing,
    /// It answered its trial then, and is warming up.
    WarmingUp {
        /// When that was.
        since: Nanos,
    },
}

/// How a node fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    eligibility: Eligibility,
    consecutive_failures: u32,
    /// Since when it has been out of `Out` and `Trial` without a break.
    healthy_since: Option<Nanos>,
}

impl Health {
    /// A node of which nothing bad is known.
    pub fn new(now: Nanos) -> Health {
        Health { eligibility: Eligibility::Healthy, consecutive_failures: 0, healthy_since: Some(now) }
    }

    /// How it stands.
    pub fn eligibility(&self) -> Eligibility {
        self.eligibility
    }

    /// An attempt at it ended. Whether that changes how it stands.
    pub fn on_attempt_end(&mut self, outcome: Outcome, retry: Nanos, now: Nanos) -> bool {
        let before = self.eligibility;
        match outcome {
            Outcome::Ok => {
                self.consecutive_failures = 0;
                if matches!(self.eligibility, Eligibility::Probing | Eligibility::Ejected { .. }) {
                    (self.eligibility, self.healthy_since) =
                        (Eligibility::WarmingUp { since: now }, Some(now));
                }
            }
            // It turned a part away, or nobody waited: neither tells that it is ill.
            Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::ConnectFailed => self.eject(retry, now),
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectionReset | Outcome::InvalidResponse => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
                    || self.eligibility == Eligibility::Probing
                {
                    self.eject(retry, now);
                }
            }
        }
        self.eligibility != before
    }

    fn eject(&mut self, retry: Nanos, now: Nanos) {
        // What was sent before it was taken out does not keep it out for longer.
        if !matches!(self.eligibility, Eligibility::Ejected { .. }) {
            (self.eligibility, self.consecutive_failures, self.healthy_since) =
                (Eligibility::Ejected { until: now + retry }, 0, None);
        }
    }

    /// Lets time go by. Whether that changes how it stands.
    pub fn tick(&mut self, warm_up: Nanos, now: Nanos) -> bool {
        match self.eligibility {
            Eligibility::Ejected { until } if until <= now => self.eligibility = Eligibility::Probing,
            Eligibility::WarmingUp { since } if since + warm_up <= now => {
                self.eligibility = Eligibility::Healthy
            }
            _ => return false,
        }
        true
    }

    /// When time alone next changes how it stands.
    pub fn next_transition(&self, warm_up: Nanos) -> Option<Nanos> {
        match self.eligibility {
            Eligibility::Ejected { until } => Some(until),
            Eligibility::WarmingUp { since } => Some(since + warm_up),
            Eligibility::Healthy | Eligibility::Probing => None,
        }
    }

    /// Share of its weight that it has now: in steps of a tenth, so that the list does not change all the time.
    pub fn weight_share(&self, warm_up: Nanos, now: Nanos) -> f64 {
        match self.eligibility {
            Eligibility::Healthy => 1.0,
            Eligibility::Ejected { .. } => 0.0,
            Eligibility::Probing => INITIAL_WEIGHT_SHARE,
            Eligibility::WarmingUp { since } => {
                let grown = now.saturating_sub(since) as f64 / warm_up.max(1) as f64;
                INITIAL_WEIGHT_SHARE + (1.0 - INITIAL_WEIGHT_SHARE) * (grown.min(1.0) * 10.0).floor() / 10.0
            }
        }
    }

    /// Whether it works and has done so for so long without a break.
    pub fn healthy_for(&self, time: Nanos, now: Nanos) -> bool {
        self.eligibility == Eligibility::Healthy && self.healthy_since.is_some_and(|t| t + time <= now)
    }
}
