//! Updates nodes by the outcomes of attempts: good answers confirm a node and can end its assumed warm-up,
//! failures can eject it.

use super::Registry;
use crate::api::{Nanos, Outcome, ReplicaId};

/// What an attempt's outcome indicates about the node.
enum Evidence {
    /// The node is available and works.
    Success,
    /// No connection could be established.
    Unreachable,
    /// The node may no longer exist.
    Failure,
    /// Nothing: the node exists, but rejects work or has faults, or the attempt was cancelled or
    /// not sent.
    Inconclusive,
}

impl Registry {
    /// Records the outcome of an attempt that ended `latency` ns after it was sent. Admissions and ejections
    /// that follow are applied at the next [`Registry::tick`], so that many outcomes cost one reconciliation.
    pub fn on_attempt_end(&mut self, replica: ReplicaId, outcome: Outcome, latency: Nanos, now: Nanos) {
        let Some((id, node)) = self.nodes.by_replica_mut(replica) else { return };
        let silent = latency >= self.settings.silence_timeout;
        match classify_outcome(outcome, silent, node.has_answered) {
            Evidence::Success => {
                self.dirty |= node.on_success(id, now);
                if node.assumed_start.is_some() {
                    self.check_warm_up(replica, latency);
                }
            }
            Evidence::Unreachable => {
                node.on_unreachable(id, now);
                self.record_failure(replica, now);
            }
            Evidence::Failure => self.record_failure(replica, now),
            Evidence::Inconclusive => {}
        }
    }

    /// Ends the assumed warm-up of a node whose answer was about as fast as most others. It must also come
    /// within the silence timeout, since all nodes in the window may be cold.
    fn check_warm_up(&mut self, replica: ReplicaId, latency: Nanos) {
        let is_warm = self.recent_latencies.observe(latency);
        if is_warm && latency <= self.settings.silence_timeout {
            self.end_assumed_warm_up(replica);
        }
    }

    fn end_assumed_warm_up(&mut self, replica: ReplicaId) {
        if let Some((_, node)) = self.nodes.by_replica_mut(replica)
            && node.assumed_start.take().is_some()
        {
            self.warmed_up.push(replica);
        }
    }

    /// Ends all assumed warm-ups: the starts of all nodes are known.
    pub(super) fn end_assumed_warm_ups(&mut self) {
        for node in self.nodes.values_mut() {
            if node.assumed_start.take().is_some() {
                self.warmed_up.push(node.replica);
            }
        }
    }

    /// Counts a failure, which ejects a node that was not confirmed recently.
    fn record_failure(&mut self, replica: ReplicaId, now: Nanos) {
        let Some((id, node)) = self.nodes.by_replica(replica) else { return };
        let trust = self.trust(self.last_confirmation(node, id), now);
        if let Some((_, node)) = self.nodes.by_replica_mut(replica) {
            self.dirty |= node.on_failure(trust, now);
        }
    }
}

/// `silent`: the attempt lasted at least the silence timeout.
fn classify_outcome(outcome: Outcome, silent: bool, has_answered: bool) -> Evidence {
    match outcome {
        Outcome::Ok => Evidence::Success,
        Outcome::ConnectFailed => Evidence::Unreachable,
        Outcome::TimedOut => Evidence::Failure,
        // Cancelled because another attempt answered, but no answer came within the silence timeout.
        Outcome::Cancelled if silent => Evidence::Failure,
        // Another program may be using the address by now; a node that has answered before only has a fault.
        Outcome::Error | Outcome::InvalidResponse | Outcome::ConnectionReset if !has_answered => {
            Evidence::Failure
        }
        // A node that rejects work is available: it may only be overloaded.
        Outcome::Cancelled
        | Outcome::ConnectionReset
        | Outcome::Error
        | Outcome::Rejected
        | Outcome::InvalidResponse
        | Outcome::NotSent => Evidence::Inconclusive,
    }
}
