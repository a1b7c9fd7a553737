//! The engine's interface to the client side: queries are submitted, and each gets one final outcome.

use super::QueryEngine;
use super::in_flight::{PartInFlight, QueryInFlight};
use super::messages::{EngineAction, Overloaded, QueryId, QueryOutcome, QueryRequest};
use super::timers::NANOS_PER_MILLI;
use crate::api::{Event, Nanos, RequestId};
use crate::metrics::QueryResult;

/// How long before the client's deadline the engine ends a query, ns.
const ANSWER_MARGIN: Nanos = 15_000_000;

impl<Q, V> QueryEngine<Q, V> {
    /// Admits a query. Its final outcome is an [`EngineAction::Respond`], unless the client disconnects
    /// first.
    ///
    /// # Errors
    ///
    /// Rejects a query that would exceed the limit on queries and parts in flight.
    pub fn submit(&mut self, now: Nanos, request: QueryRequest<Q>) -> Result<QueryId, Overloaded> {
        let size = 1 + request.parts.len();
        if !self.admission.admits(self.queries.size(), size) {
            self.metrics.record_query(request.class, QueryResult::Shed);
            return Err(self.overloaded());
        }
        let id = self.next_id();
        let answer_by = now + request.time_left.saturating_sub(ANSWER_MARGIN);
        let deadline = answer_by.min(self.shutdown_deadline);
        let event = self.query_event(now, id, deadline, &request);
        self.events.push(event);
        let mut parts = Vec::with_capacity(request.parts.len());
        for part in &request.parts {
            let part_id = RequestId(self.next_id().into());
            let (shard, weight) = (part.shard, part.weight);
            self.events.push(Event::Part { part: part_id, job: id, shard, weight });
            parts.push(PartInFlight::new(part_id, *part));
        }
        self.timers.add_query(deadline, id);
        self.queries.insert(id, QueryInFlight::new(request, now, deadline, parts));
        Ok(QueryId(id))
    }

    /// The policy event for an admitted query.
    ///
    /// A shutdown deadline may leave less time than the class's latency objective. The client did not cause
    /// this, so the event does not mark such a query as a retry, and it carries the time that is actually
    /// left instead of the client's.
    fn query_event(&self, now: Nanos, id: u64, deadline: Nanos, request: &QueryRequest<Q>) -> Event {
        let remaining = (deadline + ANSWER_MARGIN).saturating_sub(now);
        let objective = self.settings.classes.get(request.class).map(|class| class.latency_objective);
        let is_cut_by_shutdown =
            remaining < request.time_left && objective.is_some_and(|objective| remaining < objective);
        let (time_left, is_retry) =
            if is_cut_by_shutdown { (remaining, false) } else { (request.time_left, request.is_retry) };
        Event::Query {
            query: RequestId(id.into()),
            job: id,
            class: request.class,
            tenant: request.tenant,
            time_left,
            parts: request.parts.len() as u32,
            work: request.parts.iter().filter_map(|part| part.work).reduce(|a, b| a + b),
            is_retry,
        }
    }

    /// A rejection for lack of capacity. The Retry-After time differs from call to call.
    pub fn overloaded(&mut self) -> Overloaded {
        let id = self.next_id();
        self.admission.overloaded(id)
    }

    /// Ends a query whose client has disconnected, without a final outcome.
    pub fn client_disconnected(&mut self, query: QueryId) {
        if let Some(ended) = self.remove_query(query.0) {
            tracing::debug!(
                query = query.0,
                class = ended.class,
                elapsed_ms = self.now.saturating_sub(ended.admitted_at) / NANOS_PER_MILLI,
                sent_parts = ended.sent_parts(),
                parts = ended.parts.len(),
                "query ended: client disconnected"
            );
            self.events.push(Event::ClientDisconnected { query: RequestId(query.0.into()) });
        }
    }

    fn remove_query(&mut self, id: u64) -> Option<QueryInFlight<Q, V>> {
        let query = self.queries.remove(id)?;
        self.timers.remove_query(query.deadline, id);
        Some(query)
    }

    /// Ends a query with its final outcome. Does nothing if the query has already ended.
    pub(super) fn finish(&mut self, id: u64, outcome: impl FnOnce(QueryInFlight<Q, V>) -> QueryOutcome<V>) {
        let Some(query) = self.remove_query(id) else { return };
        let (class, admitted_at) = (query.class, query.admitted_at);
        let (sent_parts, parts) = (query.sent_parts(), query.parts.len());
        let outcome = outcome(query);
        let result = match &outcome {
            QueryOutcome::Answered(_) => QueryResult::Ok,
            QueryOutcome::Rejected { .. } => QueryResult::Shed,
            QueryOutcome::Failed => QueryResult::Error,
        };
        self.metrics.record_query(class, result);
        tracing::debug!(
            query = id,
            class,
            elapsed_ms = self.now.saturating_sub(admitted_at) / NANOS_PER_MILLI,
            outcome = outcome.label(),
            sent_parts,
            parts,
            "query ended with its final outcome"
        );
        self.actions.push_back(EngineAction::Respond { query: QueryId(id), outcome });
    }
}
