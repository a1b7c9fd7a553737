//! The health of one node: ejection after failures, probing, and the ramp back to full weight.

use crate::api::{Nanos, Outcome};

/// Consecutive failures, other than failed connections, that eject a node. A single error does not.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Share of its weight that a node has while it is probed; it grows to all of it while the node warms up.
const INITIAL_WEIGHT_SHARE: f64 = 0.1;
/// Number of steps from the initial weight share to the full weight.
const RAMP_STEPS: f64 = 10.0;

/// Whether a node may get work, and how much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It works.
    Healthy,
    /// It failed, and gets no work until then.
    Ejected {
        /// When it may be probed, ns.
        until: Nanos,
    },
    /// It is probed: the next answer decides.
    Probing,
    /// It answered the probe, and is warming up.
    WarmingUp {
        /// When it answered the probe, ns.
        since: Nanos,
    },
}

/// The health of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    eligibility: Eligibility,
    consecutive_failures: u32,
    /// Since when it has been neither ejected nor probed.
    healthy_since: Option<Nanos>,
}

impl Health {
    /// The health of a node without failures.
    #[must_use]
    pub fn new(now: Nanos) -> Health {
        Health { eligibility: Eligibility::Healthy, consecutive_failures: 0, healthy_since: Some(now) }
    }

    /// Whether it may get work.
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
            // It rejected a part, or nobody waited for it: neither is a fault.
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
        // Attempts sent before an ejection do not prolong it.
        if !matches!(self.eligibility, Eligibility::Ejected { .. }) {
            (self.eligibility, self.consecutive_failures, self.healthy_since) =
                (Eligibility::Ejected { until: now + retry }, 0, None);
        }
    }

    /// Handles transitions up to `now`; `warm_up` is the length of the ramp, ns. Returns whether the
    /// eligibility changed.
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

    /// When time alone next changes the eligibility.
    #[must_use]
    pub fn next_transition(&self, warm_up: Nanos) -> Option<Nanos> {
        match self.eligibility {
            Eligibility::Ejected { until } => Some(until),
            Eligibility::WarmingUp { since } => Some(since + warm_up),
            Eligibility::Healthy | Eligibility::Probing => None,
        }
    }

    /// Share of its weight that it has now, from 0 to 1, in steps so that the list does not change all the
    /// time.
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

    /// Whether it works and has done so for this time without a break.
    #[must_use]
    pub fn healthy_for(&self, time: Nanos, now: Nanos) -> bool {
        self.eligibility == Eligibility::Healthy && self.healthy_since.is_some_and(|t| t + time <= now)
    }
}
