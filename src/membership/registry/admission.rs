//! Admits ready nodes: confirmed ones at once, the others step by step.

use super::Registry;
use super::tracked_node::AdmissionState;
use crate::api::{Nanos, ReplicaState};
use crate::membership::probation::{self, Admission, Candidate};
use crate::membership::{NodeRecord, staleness};

/// Time after which one more unconfirmed holder of each partition is admitted, ns. Short compared with the
/// latency objectives of queries, so an available node does not wait long, and long enough for an unavailable
/// one to have failed.
const PROBATION_STEP: Nanos = 250_000_000;

/// A ready node with its position in the order of admission.
pub(super) struct ReadyNode {
    order: u32,
    pub(super) record: NodeRecord,
}

impl ReadyNode {
    pub(super) fn new(record: NodeRecord, seed: u64) -> ReadyNode {
        let mut hasher = crc32fast::Hasher::new_with_initial(seed as u32);
        hasher.update(record.id.as_bytes());
        ReadyNode { order: hasher.finalize(), record }
    }
}

impl Registry {
    /// Admits as many of the ready nodes as their trust permits, and announces them.
    pub(super) fn admit_ready(&mut self, mut ready: Vec<ReadyNode>, now: Nanos) {
        ready.sort_unstable_by(|a, b| (a.order, &a.record.id).cmp(&(b.order, &b.record.id)));
        let (ready, candidates): (Vec<ReadyNode>, Vec<Candidate>) = ready
            .into_iter()
            .filter_map(|node| self.candidate(&node.record, now).map(|candidate| (node, candidate)))
            .unzip();
        let any_unconfirmed = candidates.iter().any(|candidate| candidate.admission != Admission::Confirmed);
        self.all_confirmed &= !any_unconfirmed;
        if any_unconfirmed {
            self.probation_start.get_or_insert(now);
        }
        let steps = self.probation_start.map_or(0, |start| now.saturating_sub(start) / PROBATION_STEP);
        let next_step = self.probation_start.map(|start| start + (steps + 1) * PROBATION_STEP);
        let chosen = probation::admit(self.settings.layout, &candidates, steps as usize);
        self.next_deadline = None;
        for ((node, candidate), admitted) in ready.iter().zip(&candidates).zip(chosen) {
            self.apply_admission(&node.record, candidate, admitted, next_step, now);
        }
    }

    fn candidate(&self, record: &NodeRecord, now: Nanos) -> Option<Candidate> {
        let node = self.nodes.get(&record.id)?;
        let trust = self.trust(self.last_confirmation(node, &record.id), now);
        let admission = match node.admission {
            _ if trust >= staleness::CONFIRMED_TRUST => Admission::Confirmed,
            // It has answered, or was admitted before: it remains admitted until it fails.
            AdmissionState::Admitted => Admission::Admitted,
            AdmissionState::Ejected { until } if until > now => Admission::Failed,
            AdmissionState::Waiting | AdmissionState::Ejected { .. } => Admission::Waiting,
        };
        Some(Candidate { cell: record.cell, trust, admission })
    }

    fn apply_admission(
        &mut self,
        record: &NodeRecord,
        candidate: &Candidate,
        admitted: bool,
        next_step: Option<Nanos>,
        now: Nanos,
    ) {
        let Some(node) = self.nodes.get_mut(&record.id) else { return };
        let deadline = match (node.admission, candidate.admission) {
            (AdmissionState::Ejected { until }, Admission::Failed) => Some(until),
            (_, Admission::Waiting) if !admitted => next_step,
            _ => None,
        };
        self.next_deadline = self.next_deadline.into_iter().chain(deadline).min();
        if admitted {
            match candidate.admission {
                Admission::Waiting => node.admit_unconfirmed(candidate.trust, self.settings.warm_up, now),
                Admission::Confirmed | Admission::Admitted => node.admission = AdmissionState::Admitted,
                // It gets work only because a partition has no other holder, and remains ejected.
                Admission::Failed => {}
            }
        }
        // A node that was never announced need not be announced as draining.
        if admitted || node.announced.is_some() {
            let state = if admitted { ReplicaState::Active } else { ReplicaState::Draining };
            self.announce(&record.id, record, state, now);
        }
    }
}
