//! How long a peer stays suspected before it counts as down.

use crate::api::Nanos;
use std::collections::BTreeSet;

/// The shortest suspicion, in probe intervals for each decade of brokers.
const MIN_INTERVALS_PER_DECADE: f64 = 4.0;
/// How many times the shortest suspicion one lasts that no peer has confirmed.
const MAX_DURATION_MULTIPLE: f64 = 6.0;
/// Confirmations that shorten a suspicion to its minimum.
const MAX_CONFIRMATIONS: usize = 3;

/// A suspicion of one peer.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    started: Nanos,
    /// Names of the brokers that report it.
    reporters: BTreeSet<String>,
}

impl Suspicion {
    /// A suspicion that begins now.
    pub(super) fn new(reporter: Option<&str>, now: Nanos) -> Suspicion {
        Suspicion { started: now, reporters: reporter.into_iter().map(str::to_owned).collect() }
    }

    /// Counts a report of one more broker. True if that broker had not reported it and reports still count.
    pub(super) fn confirm(&mut self, reporter: &str) -> bool {
        self.reporters.len() < MAX_CONFIRMATIONS + 1 && self.reporters.insert(reporter.to_owned())
    }

    /// When the peer counts as down. The more brokers share the suspicion, the sooner.
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
