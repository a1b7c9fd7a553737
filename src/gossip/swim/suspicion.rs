//! Duration of a suspicion, after which the peer counts as down.

use crate::api::Nanos;
use std::collections::BTreeSet;

/// Minimum duration of a suspicion, in probe intervals per decade (log10) of the cluster size.
const MIN_INTERVALS_PER_DECADE: f64 = 4.0;
/// Duration of an unconfirmed suspicion, as a multiple of the minimum.
const MAX_DURATION_MULTIPLE: f64 = 6.0;
/// Number of confirmations that shorten a suspicion to its minimum.
const MAX_CONFIRMATIONS: usize = 3;

/// A suspicion of one peer.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    started: Nanos,
    /// Names of the brokers that report it.
    reporters: BTreeSet<String>,
}

impl Suspicion {
    /// Creates a suspicion that begins now.
    pub(super) fn new(reporter: Option<&str>, now: Nanos) -> Suspicion {
        Suspicion { started: now, reporters: reporter.into_iter().map(str::to_owned).collect() }
    }

    /// Records a report of the suspicion by a broker. Returns true if that broker had not reported it and the
    /// limit of reports was not reached.
    pub(super) fn confirm(&mut self, reporter: &str) -> bool {
        self.reporters.len() < MAX_CONFIRMATIONS + 1 && self.reporters.insert(reporter.to_owned())
    }

    /// Returns when the peer counts as down. The more brokers report the suspicion, the sooner.
    pub(super) fn deadline(&self, cluster_size: usize, probe_interval: Nanos) -> Nanos {
        let decades = (cluster_size as f64).log10().max(1.0);
        let shortest = MIN_INTERVALS_PER_DECADE * decades * probe_interval as f64;
        let longest = shortest * MAX_DURATION_MULTIPLE;
        let needed = MAX_CONFIRMATIONS.min(cluster_size.saturating_sub(2));
        let confirmations = self.reporters.len().min(needed) as f64;
        let duration = if needed == 0 {
            shortest
        } else {
            longest - (longest - shortest) * (confirmations + 1.0).ln() / (needed as f64 + 1.0).ln()
        };
        self.started + duration as Nanos
    }
}
