//! What the client side and the server side hand to the engine, and what it hands to them.

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
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings, if it has one.
    pub tenant: Option<usize>,
    /// Key of what it is about, where queries have one; the server side may route by it.
    pub key: Option<u64>,
    /// Time until the client gives up, ns.
    pub time_left: Nanos,
    /// The client has marked it as a retry.
    pub is_retry: bool,
    /// Its parts, each for another shard.
    pub parts: Vec<PartRequest>,
    /// What the server side sends; the engine does not look at it.
    pub payload: Rc<Q>,
}

/// A part of a query, for one shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartRequest {
    /// The shard.
    pub shard: u32,
    /// Its share of the complete answer; those of all parts add up to 1.
    pub weight: f64,
    /// Its expected work, if known, ns.
    pub work: Option<Nanos>,
}

/// Rejection of a query, as the limit on queries and parts in flight is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// When the client should retry, ns from now; 0 for no advice.
    pub retry_after: Nanos,
}

/// The value that a server gave for a part.
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
    /// The parts with values are enough for a complete answer of the class.
    pub complete: bool,
    /// The values, in the order in which the client named the parts.
    pub values: Vec<ShardValue<V>>,
    /// Number of parts that the query has.
    pub requested_parts: usize,
}

/// The final outcome of a query; each has exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome<V> {
    /// Answered, completely or partially.
    Answered(Answer<V>),
    /// Rejected: a retry by the client is harmless.
    Rejected {
        /// When the client should retry, ns from now; 0 for no advice.
        retry_after: Nanos,
    },
    /// Failed: there is no answer, and parts may have run.
    Failed,
}

impl<V> QueryOutcome<V> {
    /// The outcome as a word for log lines.
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
    /// The id with which its one outcome is reported.
    pub attempt: AttemptId,
    /// The part's shard.
    pub shard: u32,
    /// How long the broker waits for the outcome, ns.
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
    /// Busy share of the server's processors, 0 to 1, where it reported that.
    pub utilization: Option<f64>,
    /// The value of the part, with [`Outcome::Ok`].
    pub value: Option<V>,
}

/// The end of an attempt, for the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The server that it was sent to.
    pub replica: ReplicaId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, ns.
    pub latency: Nanos,
}

/// What the client side, the server side or the discovery is to do.
#[derive(Clone, Debug)]
pub enum EngineAction<Q, V> {
    /// Server side: send a call to a server. One outcome is to be reported for each part.
    Call {
        /// The server.
        replica: ReplicaId,
        /// The attempts in the call.
        parts: Vec<AttemptRequest<Q>>,
    },
    /// Server side: cancel an attempt. No outcome is to be reported.
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
    /// Discovery: watch the endpoint list from now on.
    WatchEndpoints,
    /// Server side: send a health check to a server.
    HealthCheck {
        /// The server.
        replica: ReplicaId,
    },
}
