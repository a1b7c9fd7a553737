//! How far an old fact is believed.
//!
//! A node's address, cell and state hold until it is moved, replaced, drained or restarted. If such changes come
//! by chance at a steady rate, a fact of age `a` still holds with probability `exp(-a / t)`, where `t` is the mean
//! time between two changes of one node. `t` starts from what the operator states and is learned from what
//! discovery tells while it is watched.

use crate::api::Nanos;
use serde::{Deserialize, Serialize};

/// Trust from which a fact is as good as confirmed: what is lost by being wrong once in fifty is less than what
/// caution costs.
pub const CONFIRMED_TRUST: f64 = 0.98;
/// Trust under which one failure takes an unconfirmed node out; above, it takes two.
const SINGLE_FAILURE_TRUST: f64 = 0.5;
/// Weight of the stated time, in changes seen: the first few changes of a day must not settle the figure.
const STATED_INTERVAL_WEIGHT: f64 = 4.0;

/// The rate of change, stated and learned.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub struct ChangeRate {
    /// Changes of nodes that were seen.
    pub changes: f64,
    /// Time over which nodes were watched, ns, all nodes added up.
    pub watched: f64,
}

impl ChangeRate {
    /// Nothing seen yet.
    pub const NONE: ChangeRate = ChangeRate { changes: 0.0, watched: 0.0 };
    /// Watched time above which the older half is dropped, in stated times: a fleet's habits change.
    const KEEP: f64 = 400.0;

    /// So many nodes were watched for so long, and so many of them changed.
    pub fn observe(&mut self, nodes: usize, time: Nanos, changes: usize, stated: Nanos) {
        self.watched += nodes as f64 * time as f64;
        self.changes += changes as f64;
        if self.watched > Self::KEEP * stated as f64 {
            (self.watched, self.changes) = (self.watched / 2.0, self.changes / 2.0);
        }
    }

    /// Mean time between two changes of a node, ns, given the stated one.
    pub fn mean_interval(&self, stated: Nanos) -> f64 {
        let sound = |x: f64| if x.is_finite() && x >= 0.0 { x } else { 0.0 };
        let (watched, changes) = (sound(self.watched), sound(self.changes));
        ((STATED_INTERVAL_WEIGHT * stated as f64 + watched) / (STATED_INTERVAL_WEIGHT + changes)).max(1.0)
    }
}

/// Probability that a fact of this age still holds, from 0 to 1; `mean` is the time between two changes.
pub fn trust_at_age(age: Nanos, mean: f64) -> f64 {
    (-(age as f64) / mean.max(1.0)).exp()
}

/// Failures that take an unconfirmed node out; none: failures alone never do.
pub fn failures_until_ejection(trust: f64) -> Option<u32> {
    match trust {
        t if t >= CONFIRMED_TRUST => None,
        t if t >= SINGLE_FAILURE_TRUST => Some(2),
        _ => Some(1),
    }
}

/// Unconfirmed holders of a partition, out of so many, that get work at once. Two at least: a part that fails at
/// one must have another to go to.
pub fn initial_admissions(trust: f64, holders: usize) -> usize {
    ((trust * holders as f64).round() as usize).max(2).min(holders)
}

/// The start that an unconfirmed node is taken to have had, given when it was first believed by this process and
/// the time that a started node is cold. The less the trust, the later: it may have restarted just now.
pub fn assumed_start(trust: f64, now: Nanos, cold_time: Nanos) -> Option<Nanos> {
    (trust < CONFIRMED_TRUST && cold_time > 0)
        .then(|| now.saturating_sub((cold_time as f64 * trust) as Nanos).max(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    const HOUR: Nanos = 3_600_000_000_000;

    #[test]
    fn an_older_fact_is_trusted_less_and_treated_with_more_care() {
        let mean = ChangeRate::NONE.mean_interval(24 * HOUR);
        let ages = [0, HOUR / 3600, HOUR / 60, HOUR / 6, HOUR, 24 * HOUR, 720 * HOUR];
        let trusts: Vec<f64> = ages.iter().map(|a| trust_at_age(*a, mean)).collect();
        assert!(trusts.windows(2).all(|w| w[0] > w[1]) && trusts[0] == 1.0);
        let admitted: Vec<usize> = trusts.iter().map(|t| initial_admissions(*t, 8)).collect();
        assert!(admitted.windows(2).all(|w| w[0] >= w[1]));
        assert_eq!((admitted[0], *admitted.last().unwrap()), (8, 2));
        let starts: Vec<u64> =
            trusts.iter().map(|t| assumed_start(*t, 100 * HOUR, HOUR).unwrap_or(0)).collect();
        assert!(starts.windows(2).all(|w| w[0] <= w[1]) && starts[0] == 0 && *starts.last().unwrap() > 0);
        assert_eq!(
            trusts.iter().map(|t| failures_until_ejection(*t)).collect::<Vec<_>>()[4..],
            [Some(2), Some(1), Some(1)]
        );
    }

    #[test]
    fn the_rate_is_learned_from_what_is_seen_and_never_unsound() {
        let mut busy = ChangeRate::NONE;
        busy.observe(16, HOUR, 32, 24 * HOUR);
        assert!(busy.mean_interval(24 * HOUR) < 4.0 * HOUR as f64);
        let mut calm = ChangeRate::NONE;
        calm.observe(1000, 24 * HOUR, 3, 24 * HOUR);
        assert!(calm.mean_interval(24 * HOUR) > 48.0 * HOUR as f64);
        let broken = ChangeRate { changes: f64::NAN, watched: f64::INFINITY };
        assert!(broken.mean_interval(HOUR) >= 1.0 && broken.mean_interval(0) >= 1.0);
    }
}
