//! Trust in a record by its age.
//!
//! A node's address, cell and state are valid until it is moved, replaced, drained or restarted. If such
//! changes occur at random and at a constant rate, a record of age `a` is still valid with probability
//! `exp(-a / t)`, where `t` is the mean time between two changes of one node. `t` starts from the configured
//! estimate and is adjusted from the changes observed while discovery is watched.

use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// Trust from which a record counts as confirmed: one wrong record in fifty costs less than probation of the
/// others.
pub const CONFIRMED_TRUST: f64 = 0.98;
/// Trust below which a single failure ejects an unconfirmed node; above it, two do.
const SINGLE_FAILURE_TRUST: f64 = 0.5;
/// Weight of the configured estimate, in observed changes: the first few changes of a day must not determine
/// the rate.
const ESTIMATE_WEIGHT: f64 = 4.0;
/// Minimum number of unconfirmed holders of a partition that are admitted initially: a part that fails at one
/// holder is retried at another.
const MIN_INITIAL_ADMISSIONS: usize = 2;

/// The observed rate at which nodes change.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct ChangeRate {
    /// Number of observed changes.
    pub changes: f64,
    /// Time over which nodes were watched, ns, summed over all nodes.
    pub watched: f64,
}

impl ChangeRate {
    /// The rate before any observation.
    pub const NONE: ChangeRate = ChangeRate { changes: 0.0, watched: 0.0 };
    /// Watched time above which observations are halved, in multiples of the configured estimate: the change
    /// rate of a fleet varies over time.
    const MAX_WATCHED_INTERVALS: f64 = 400.0;

    /// Records that `nodes` nodes were watched for `time` ns and `changes` of them changed. `estimate` is the
    /// configured mean time between two changes of one node, ns.
    pub fn observe(&mut self, nodes: usize, time: Nanos, changes: usize, estimate: Nanos) {
        self.watched += nodes as f64 * time as f64;
        self.changes += changes as f64;
        if self.watched > Self::MAX_WATCHED_INTERVALS * estimate as f64 {
            self.watched /= 2.0;
            self.changes /= 2.0;
        }
    }

    /// Mean time between two changes of one node, ns, given the configured estimate. Always finite and at
    /// least 1.
    #[must_use]
    pub fn mean_interval(&self, estimate: Nanos) -> f64 {
        let finite = |x: f64| if x.is_finite() && x >= 0.0 { x } else { 0.0 };
        let watched = finite(self.watched);
        let changes = finite(self.changes);
        ((ESTIMATE_WEIGHT * estimate as f64 + watched) / (ESTIMATE_WEIGHT + changes)).max(1.0)
    }
}

/// Probability, from 0 to 1, that a record of this age is still valid; `mean_interval` is the mean time
/// between two changes of a node, ns.
#[must_use]
pub fn trust_at_age(age: Nanos, mean_interval: f64) -> f64 {
    (-(age as f64) / mean_interval.max(1.0)).exp()
}

/// Number of failures that eject a node with this trust; `None` if failures alone never eject it.
#[must_use]
pub fn failures_until_ejection(trust: f64) -> Option<u32> {
    match trust {
        t if t >= CONFIRMED_TRUST => None,
        t if t >= SINGLE_FAILURE_TRUST => Some(2),
        _ => Some(1),
    }
}

/// Number of a partition's unconfirmed holders, out of `holders`, that are admitted initially.
#[must_use]
pub fn initial_admissions(trust: f64, holders: usize) -> usize {
    ((trust * holders as f64).round() as usize).max(MIN_INITIAL_ADMISSIONS).min(holders)
}

/// The process start time assumed for an unconfirmed node, unix ns, given the time of its admission and the
/// warm-up time of a newly started node. Lower trust gives a later start, because the node may have restarted
/// recently. `None` for a node that counts as confirmed or has no warm-up time.
#[must_use]
pub fn assumed_start(trust: f64, now: Nanos, warm_up: Nanos) -> Option<Nanos> {
    let age = (warm_up as f64 * trust) as Nanos;
    (trust < CONFIRMED_TRUST && warm_up > 0).then(|| now.saturating_sub(age).max(1))
}
