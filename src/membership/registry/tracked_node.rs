//! The state of one tracked node.

use crate::api::{Nanos, ReplicaEntry, ReplicaId, ReplicaState};
use crate::membership::{NodeRecord, staleness};
use std::net::SocketAddr;

/// Shortest ejection of an unconfirmed node that failed, ns; each further one is twice as long.
const MIN_EJECTION: Nanos = 1_000_000_000;
/// Longest ejection of an unconfirmed node that failed, ns.
const MAX_EJECTION: Nanos = 30_000_000_000;

/// Whether a node receives work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionState {
    /// Not admitted yet.
    Waiting,
    /// Receives work.
    Admitted,
    /// Failed while it was unconfirmed, and receives no work before `until`, unix ns.
    Ejected { until: Nanos },
}

/// One node that has an address and a replica number.
#[derive(Debug)]
pub(super) struct TrackedNode {
    pub(super) replica: ReplicaId,
    pub(super) addr: SocketAddr,
    /// When discovery, the operator's file or a good answer of the node last confirmed it, unix ns.
    pub(super) confirmed: Option<Nanos>,
    pub(super) admission: AdmissionState,
    failures: u32,
    /// Length of its last ejection, ns.
    ejection_time: Nanos,
    /// The process start that is assumed while it is unconfirmed, unix ns.
    pub(super) assumed_start: Option<Nanos>,
    /// Whether it has given a good answer.
    pub(super) has_answered: bool,
    /// The entry that was announced last.
    pub(super) announced: Option<ReplicaEntry>,
    /// When connections to it began to fail, unix ns; none while it is reachable.
    unreachable_since: Option<Nanos>,
}

impl TrackedNode {
    pub(super) fn new(replica: ReplicaId, addr: SocketAddr) -> TrackedNode {
        TrackedNode {
            replica,
            addr,
            confirmed: None,
            admission: AdmissionState::Waiting,
            failures: 0,
            ejection_time: 0,
            assumed_start: None,
            has_answered: false,
            announced: None,
            unreachable_since: None,
        }
    }

    /// Records a good answer. Returns whether that admits the node.
    pub(super) fn on_success(&mut self, id: &str, now: Nanos) -> bool {
        if let Some(since) = self.unreachable_since.take() {
            let unreachable_s = now.saturating_sub(since) as f64 / 1e9;
            let unreachable_s = format!("{unreachable_s:.1}");
            tracing::info!(node = %id, addr = %self.addr, %unreachable_s, "node is reachable again");
        }
        self.failures = 0;
        self.ejection_time = 0;
        self.has_answered = true;
        self.confirmed = Some(now);
        std::mem::replace(&mut self.admission, AdmissionState::Admitted) != AdmissionState::Admitted
    }

    /// Records that no connection could be established.
    pub(super) fn on_unreachable(&mut self, id: &str, now: Nanos) {
        if self.unreachable_since.is_none() {
            self.unreachable_since = Some(now);
            tracing::warn!(node = %id, addr = %self.addr, "node is unreachable");
        }
    }

    /// Counts a failure of a node with this trust, from 0 to 1. Returns whether that ejects it.
    pub(super) fn on_failure(&mut self, trust: f64, now: Nanos) -> bool {
        self.failures += 1;
        let limit = staleness::failures_until_ejection(trust);
        let ejected =
            limit.is_some_and(|limit| self.failures >= limit) && self.admission == AdmissionState::Admitted;
        if ejected {
            self.ejection_time = (self.ejection_time * 2).clamp(MIN_EJECTION, MAX_EJECTION);
            self.admission = AdmissionState::Ejected { until: now + self.ejection_time };
        }
        ejected
    }

    /// Admits a node that was waiting. It may have restarted, so a start is assumed: the lower the trust, the
    /// later.
    pub(super) fn admit_unconfirmed(&mut self, trust: f64, warm_up: Nanos, now: Nanos) {
        self.failures = 0;
        self.assumed_start = staleness::assumed_start(trust, now, warm_up);
        self.admission = AdmissionState::Admitted;
    }

    /// The entry to announce for this node with this state. `learned_start`: when it started, if that was
    /// learned while the list was live.
    pub(super) fn replica_entry(
        &self,
        record: &NodeRecord,
        zone: u32,
        state: ReplicaState,
        learned_start: Option<Nanos>,
        now: Nanos,
    ) -> ReplicaEntry {
        // With a start in the future the node would count as cold until this broker's clock reaches it.
        let reported = (record.started > 0).then(|| record.started.min(now));
        // A start in the future keeps the time that was announced for it first, and is not replaced by `now`.
        let announced = self.announced.as_ref().and_then(|entry| entry.started);
        let stamped = announced.filter(|_| record.started > now).or(reported);
        let started = learned_start.or(stamped).max(self.assumed_start);
        ReplicaEntry { replica: self.replica, zone, cell: record.cell, state, started, weight: 1.0 }
    }
}
