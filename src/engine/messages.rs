//! Messages between the engine and the client side, the server side, membership and discovery.

use crate::api::{Nanos, Outcome, ReplicaId};
use std::rc::Rc;

/// Id of a query in the engine. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// Id of an attempt at a part. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A query that the client side submits. `Q` is its payload.
#[derive(Clone, Debug)]
pub struct QueryRequest<Q> {
    /// Index of the query's class in the settings.
    pub class: usize,
    /// Index of the query's tenant in the settings, if it has one.
    pub tenant: Option<usize>,
    /// Key of the data that the query concerns, if queries have one; the server side may route by it.
    pub key: Option<u64>,
    /// Time until the client's deadline, ns.
    pub time_left: Nanos,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// The parts, each for a different shard.
    pub parts: Vec<PartRequest>,
    /// Payload that the server side sends; opaque to the engine.
    pub payload: Rc<Q>,
}

/// A part of a query, for one shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartRequest {
    /// The shard.
    pub shard: u32,
    /// The part's share of the complete answer; the shares of all parts add up to 1.
    pub weight: f64,
    /// Expected work, ns, if known.
    pub work: Option<Nanos>,
}

/// Rejection of a query because it would exceed the limit on queries and parts in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// When the client should retry, ns from now; 0 for no advice.
    pub retry_after: Nanos,
}

/// The value that a server returned for a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardValue<V> {
    /// The part's shard.
    pub shard: u32,
    /// The value.
    pub value: V,
}

/// An answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer<V> {
    /// Whether the parts with values reach the class's complete share.
    pub complete: bool,
    /// The values, in the order of the parts in the request.
    pub values: Vec<ShardValue<V>>,
    /// Number of parts of the query.
    pub requested_parts: usize,
}

/// The final outcome of a query; each query has at most one, and none if its client disconnects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome<V> {
    /// Answered, completely or partially.
    Answered(Answer<V>),
    /// Rejected: the client can safely retry.
    Rejected {
        /// When the client should retry, ns from now; 0 for no advice.
        retry_after: Nanos,
    },
    /// Failed: there is no answer, and parts may have been executed.
    Failed,
}

impl<V> QueryOutcome<V> {
    /// The outcome as a field value for log lines.
    pub fn label(&self) -> &'static str {
        match self {
            QueryOutcome::Answered(a) if a.complete => "whole",
            QueryOutcome::Answered(_) => "partial",
            QueryOutcome::Rejected { .. } => "refused",
            QueryOutcome::Failed => "failed",
        }
    }
}

/// An attempt at a part, to be sent to a server.
#[derive(Clone, Debug)]
pub struct AttemptRequest<Q> {
    /// The id under which the server side reports the outcome, once.
    pub attempt: AttemptId,
    /// The part's shard.
    pub shard: u32,
    /// Time-out of the attempt, ns.
    pub timeout: Nanos,
    /// The key of the query.
    pub key: Option<u64>,
    /// The query's payload.
    pub payload: Rc<Q>,
}

/// The outcome of one attempt, as the server side reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome<V> {
    /// How it ended.
    pub outcome: Outcome,
    /// Processor utilization of the server, 0 to 1, if reported.
    pub utilization: Option<f64>,
    /// The value of the part, for [`Outcome::Ok`].
    pub value: Option<V>,
}

/// The end of an attempt, as reported to membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The server of the attempt.
    pub replica: ReplicaId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from when the policy sent the attempt to its end, ns.
    pub latency: Nanos,
}

/// An action for the client side, the server side or discovery to carry out.
#[derive(Clone, Debug)]
pub enum EngineAction<Q, V> {
    /// Server side: send a call to a server, and report one outcome for each attempt in it.
    Call {
        /// The server.
        replica: ReplicaId,
        /// The attempts in the call.
        parts: Vec<AttemptRequest<Q>>,
    },
    /// Server side: cancel an attempt, without reporting an outcome.
    CancelAttempt {
        /// The server.
        replica: ReplicaId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Client side: send a query's final outcome.
    Respond {
        /// The query.
        query: QueryId,
        /// Its final outcome.
        outcome: QueryOutcome<V>,
    },
    /// Discovery: start watching the endpoint list.
    WatchEndpoints,
    /// Server side: send a health check to a server.
    HealthCheck {
        /// The server.
        replica: ReplicaId,
    },
}
