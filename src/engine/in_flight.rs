//! Queries, parts and attempts that have no outcome yet.

use super::messages::{AttemptId, PartRequest, QueryRequest};
use crate::api::{Idempotency, Nanos, ReplicaId, RequestId};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// An attempt that a server has begun to receive, and may therefore have executed.
#[derive(Clone, Copy, Debug)]
struct StartedAttempt {
    number: u32,
    at: Nanos,
}

/// A part of a query in flight.
#[derive(Debug)]
pub(super) struct PartInFlight<V> {
    pub(super) id: RequestId,
    pub(super) request: PartRequest,
    /// Number of attempts that the policy has sent.
    pub(super) sent_attempts: u32,
    /// The attempts that may have executed.
    started: Vec<StartedAttempt>,
    pub(super) value: Option<V>,
}

impl<V> PartInFlight<V> {
    /// A part without attempts.
    pub(super) fn new(id: RequestId, request: PartRequest) -> PartInFlight<V> {
        PartInFlight { id, request, sent_attempts: 0, started: Vec::new(), value: None }
    }

    /// Whether another attempt may start without the risk of applying the part's effect twice. `margin` is
    /// the time within which an attempt that starts at `now` reaches its server, ns.
    pub(super) fn may_start(&self, idempotency: Idempotency, now: Nanos, margin: Nanos) -> bool {
        let Some(first_start) = self.started.iter().map(|started| started.at).min() else { return true };
        match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { window } => now + margin < first_start + window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Records that an attempt starts.
    pub(super) fn start(&mut self, number: u32, now: Nanos) {
        self.started.push(StartedAttempt { number, at: now });
    }

    /// Records that a started attempt was not executed.
    pub(super) fn undo_start(&mut self, number: u32) {
        self.started.retain(|started| started.number != number);
    }
}

/// A query in flight.
#[derive(Debug)]
pub(super) struct QueryInFlight<Q, V> {
    pub(super) class: usize,
    pub(super) key: Option<u64>,
    pub(super) admitted_at: Nanos,
    /// Latest time at which the query ends.
    pub(super) deadline: Nanos,
    /// In the order of the client's request.
    pub(super) parts: Vec<PartInFlight<V>>,
    pub(super) payload: Rc<Q>,
}

impl<Q, V> QueryInFlight<Q, V> {
    /// A query that was admitted, with its parts.
    pub(super) fn new(
        request: QueryRequest<Q>,
        admitted_at: Nanos,
        deadline: Nanos,
        parts: Vec<PartInFlight<V>>,
    ) -> QueryInFlight<Q, V> {
        let QueryRequest { class, key, payload, .. } = request;
        QueryInFlight { class, key, admitted_at, deadline, parts, payload }
    }

    /// Number of parts for which the policy has sent an attempt.
    pub(super) fn sent_parts(&self) -> usize {
        self.parts.iter().filter(|part| part.sent_attempts > 0).count()
    }

    pub(super) fn part_mut(&mut self, part: RequestId) -> Option<&mut PartInFlight<V>> {
        self.parts.iter_mut().find(|candidate| candidate.id == part)
    }

    /// Number of entries that the query counts for in the limit on queries and parts in flight.
    fn size(&self) -> usize {
        1 + self.parts.len()
    }
}

/// All queries in flight.
#[derive(Debug)]
pub(super) struct Queries<Q, V> {
    by_id: HashMap<u64, QueryInFlight<Q, V>>,
    by_part: HashMap<RequestId, u64>,
    /// Number of queries and parts.
    size: usize,
}

impl<Q, V> Queries<Q, V> {
    pub(super) fn new() -> Queries<Q, V> {
        Queries { by_id: HashMap::new(), by_part: HashMap::new(), size: 0 }
    }

    /// Number of queries.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of queries and parts.
    pub(super) fn size(&self) -> usize {
        self.size
    }

    pub(super) fn insert(&mut self, id: u64, query: QueryInFlight<Q, V>) {
        self.size += query.size();
        self.by_part.extend(query.parts.iter().map(|part| (part.id, id)));
        self.by_id.insert(id, query);
    }

    pub(super) fn remove(&mut self, id: u64) -> Option<QueryInFlight<Q, V>> {
        let query = self.by_id.remove(&id)?;
        self.size -= query.size();
        for part in &query.parts {
            self.by_part.remove(&part.id);
        }
        Some(query)
    }

    pub(super) fn get(&self, id: u64) -> Option<&QueryInFlight<Q, V>> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut QueryInFlight<Q, V>> {
        self.by_id.get_mut(&id)
    }

    /// The query that a part belongs to.
    pub(super) fn id_of_part(&self, part: RequestId) -> Option<u64> {
        self.by_part.get(&part).copied()
    }

    pub(super) fn part_mut(&mut self, query: u64, part: RequestId) -> Option<&mut PartInFlight<V>> {
        self.by_id.get_mut(&query)?.part_mut(part)
    }
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct AttemptInFlight {
    pub(super) query: u64,
    pub(super) part: RequestId,
    /// Index among the attempts at the part, from 0.
    pub(super) number: u32,
    pub(super) replica: ReplicaId,
    pub(super) sent_at: Nanos,
    /// Time at which it times out.
    pub(super) due: Nanos,
    /// The server side holds it until a connection is available; none of its bytes has been written.
    pub(super) is_queued: bool,
}

/// All attempts in flight.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    by_id: BTreeMap<AttemptId, AttemptInFlight>,
    /// Ids by part and attempt number.
    ids: HashMap<(RequestId, u32), AttemptId>,
}

impl Attempts {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of attempts at one server.
    pub(super) fn count_at(&self, replica: ReplicaId) -> usize {
        self.by_id.values().filter(|attempt| attempt.replica == replica).count()
    }

    pub(super) fn insert(&mut self, id: AttemptId, attempt: AttemptInFlight) {
        self.ids.insert((attempt.part, attempt.number), id);
        self.by_id.insert(id, attempt);
    }

    pub(super) fn remove(&mut self, id: AttemptId) -> Option<AttemptInFlight> {
        let attempt = self.by_id.remove(&id)?;
        self.ids.remove(&(attempt.part, attempt.number));
        Some(attempt)
    }

    pub(super) fn get_mut(&mut self, id: AttemptId) -> Option<&mut AttemptInFlight> {
        self.by_id.get_mut(&id)
    }

    /// The attempt at `part` with this number.
    pub(super) fn id(&self, part: RequestId, number: u32) -> Option<AttemptId> {
        self.ids.get(&(part, number)).copied()
    }
}
