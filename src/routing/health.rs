//! The health of one node: ejection after failures, probing, and warm-up to the full weight.

use crate::api::{Nanos, Outcome};

/// Number of consecutive failures that eject a node, so that a single error does not. A failed connection
/// ejects it immediately.
const EJECTION_THRESHOLD: u32 = 3;
/// Share of its weight that a node has while it is probed; the share grows to 1 while the node warms up.
const INITIAL_WEIGHT_SHARE: f64 = 0.1;
/// Number of steps in which the weight grows from the initial share to the full weight.
const RAMP_STEPS: f64 = 10.0;

/// Whether a node is eligible for work, and at which weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It gets work at its full weight.
    Healthy,
    /// It failed, and gets no work until the ejection ends.
    Ejected {
        /// End of the ejection, when probing begins, ns.
        until: Nanos,
    },
    /// It gets a small share of work; the next success or failure decides whether it warms up or is ejected
    /// again.
    Probing,
    /// It completed an attempt after its ejection, and gets a growing share of work.
    WarmingUp {
        /// Start of the warm-up, ns.
        since: Nanos,
    },
}

/// The health of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    eligibility: Eligibility,
    consecutive_failures: u32,
    /// Time since which the node has been neither ejected nor probed, ns; `None` while it is.
    healthy_since: Option<Nanos>,
}

impl Health {
    /// The health of a new node, without failures.
    #[must_use]
    pub fn new(now: Nanos) -> Health {
        Health { eligibility: Eligibility::Healthy, consecutive_failures: 0, healthy_since: Some(now) }
    }

    /// Whether the node is eligible for work.
    #[must_use]
    pub fn eligibility(&self) -> Eligibility {
        self.eligibility
    }

    /// Records the outcome of an attempt; `retry` is the length of an ejection, ns. Returns whether the
    /// eligibility changed.
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
            // A rejected, cancelled or unsent attempt is not a failure of the node.
            Outcome::Rejected | Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::ConnectFailed => self.eject(retry, now),
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectionReset | Outcome::InvalidResponse => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= EJECTION_THRESHOLD || self.eligibility == Eligibility::Probing
                {
                    self.eject(retry, now);
                }
            }
        }
        self.eligibility != before
    }

    fn eject(&mut self, retry: Nanos, now: Nanos) {
        // Failures of attempts that were sent before an ejection do not prolong it.
        if !matches!(self.eligibility, Eligibility::Ejected { .. }) {
            (self.eligibility, self.consecutive_failures, self.healthy_since) =
                (Eligibility::Ejected { until: now + retry }, 0, None);
        }
    }

    /// Applies the transitions that are due by `now`; `warm_up` is the length of the warm-up, ns. Returns
    /// whether the eligibility changed.
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

    /// Time of the next transition that does not depend on an outcome, if there is one.
    #[must_use]
    pub fn next_transition(&self, warm_up: Nanos) -> Option<Nanos> {
        match self.eligibility {
            Eligibility::Ejected { until } => Some(until),
            Eligibility::WarmingUp { since } => Some(since + warm_up),
            Eligibility::Healthy | Eligibility::Probing => None,
        }
    }

    /// Share of the node's weight that is effective at `now`, from 0 to 1. It grows in steps, to limit the
    /// number of announced changes.
    #[must_use]
    pub fn weight_share(&self, warm_up: Nanos, now: Nanos) -> f64 {
        match self.eligibility {
            Eligibility::Healthy => 1.0,
            Eligibility::Ejected { .. } => 0.0,
            Eligibility::Probing => INITIAL_WEIGHT_SHARE,
            Eligibility::WarmingUp { since } => {
                let progress = now.saturating_sub(since) as f64 / warm_up.max(1) as f64;
                INITIAL_WEIGHT_SHARE
                    + (1.0 - INITIAL_WEIGHT_SHARE) * (progress.min(1.0) * RAMP_STEPS).floor() / RAMP_STEPS
            }
        }
    }

    /// Whether the node is healthy, and has been neither ejected nor probed for at least `time`.
    #[must_use]
    pub fn healthy_for(&self, time: Nanos, now: Nanos) -> bool {
        self.eligibility == Eligibility::Healthy && self.healthy_since.is_some_and(|t| t + time <= now)
    }
}
