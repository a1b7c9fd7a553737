//! Queries, their parts, and the attempts made for a part.

use super::*;

/// One part of a query, by the query's job and the part's index.
#[derive(Clone, Copy)]
pub(super) struct PartKey {
    pub(super) job: u64,
    pub(super) index: usize,
}

/// What is known about the execution of an attempt.
#[derive(PartialEq)]
pub(super) enum AttemptState {
    InFlight,
    MayHaveRun,
    NeverRan,
}

/// One attempt at a part, as stored with its query.
pub(super) struct Attempt {
    pub(super) replica: ReplicaId,
    pub(super) sent_at: Nanos,
    pub(super) expected_latency: f64,
    pub(super) state: AttemptState,
}

/// An attempt whose end has not been reported yet.
pub(super) struct SentAttempt {
    pub(super) part: PartKey,
    pub(super) part_id: RequestId,
    pub(super) number: u32,
    pub(super) replica: ReplicaId,
    pub(super) sent_at: Nanos,
    pub(super) others_in_flight: u32,
}

/// One part: a request for one shard.
pub(super) struct Part {
    pub(super) id: RequestId,
    pub(super) shard: u32,
    pub(super) weight: f64,
    pub(super) step: u32,
    pub(super) attempts: Vec<Attempt>,
    pub(super) answered: bool,
}

/// One query that has no final answer yet.
pub(super) struct Query {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) tenant: Option<usize>,
    pub(super) received_at: Nanos,
    pub(super) expected_latency: Option<f64>,
    pub(super) objective_at: Nanos,
    pub(super) send_until: Nanos,
    pub(super) deadline: Nanos,
    pub(super) expected_parts: u32,
    pub(super) step: u32,
    pub(super) complete: bool,
    pub(super) admitted: bool,
    pub(super) parts: Vec<Part>,
}

impl Part {
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, a)| a.state == AttemptState::InFlight)
    }
}
