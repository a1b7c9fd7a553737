//! What the two sides hand to the exchange, and what it hands to them.

use crate::api::{Nanos, Outcome, ReplicaId};
use std::rc::Rc;

/// A query held by the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

/// One attempt at a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A query as the client side hands it in.
#[derive(Clone, Debug)]
pub struct QueryRequest<Q> {
    /// Place of its class in the settings.
    pub class: usize,
    /// Place of its tenant in the settings, where it has one.
    pub tenant: Option<usize>,
    /// What it concerns, where queries have such a key.
    pub key: Option<u64>,
    /// Time left before the client gives up.
    pub time_left: Nanos,
    /// The client says that it asks again.
    pub is_retry: bool,
    /// Its parts, each of another shard.
    pub parts: Vec<PartRequest>,
    /// What the server side is to carry; the core does not look at it.
    pub payload: Rc<Q>,
}

/// A part of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartRequest {
    /// Its shard.
    pub shard: u32,
    /// Its share of the whole answer.
    pub weight: f64,
    /// A guess at its work.
    pub work: Option<Nanos>,
}

/// A query that is not taken, since as many are open as may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overloaded {
    /// When the client does well to come back; 0: not told.
    pub retry_after: Nanos,
}

/// The value of a part, as a server gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardValue<V> {
    /// The part's shard.
    pub shard: u32,
    /// What the server answered.
    pub value: V,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer<V> {
    /// Every part that a whole answer needs is in.
    pub complete: bool,
    /// The parts that are in, in the order in which the client named them.
    pub values: Vec<ShardValue<V>>,
    /// Parts that were asked for.
    pub requested_parts: usize,
}

/// The one final answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryOutcome<V> {
    /// Served.
    Answered(Answer<V>),
    /// Refused: asking again is harmless, after the wait if it is not 0.
    Rejected {
        /// When the client does well to come back; 0: not told.
        retry_after: Nanos,
    },
    /// Given up.
    Failed,
}

impl<V> QueryOutcome<V> {
    /// What it is, in a word.
    pub fn label(&self) -> &'static str {
        match self {
            QueryOutcome::Answered(a) if a.complete => "whole",
            QueryOutcome::Answered(_) => "partial",
            QueryOutcome::Rejected { .. } => "refused",
            QueryOutcome::Failed => "failed",
        }
    }
}

/// One part to be sent to a server.
#[derive(Clone, Debug)]
pub struct AttemptRequest<Q> {
    /// Under this id its one outcome is reported.
    pub attempt: AttemptId,
    /// The part's shard.
    pub shard: u32,
    /// How long the broker will wait.
    pub timeout: Nanos,
    /// What the query concerns.
    pub key: Option<u64>,
    /// The query's payload.
    pub payload: Rc<Q>,
}

/// The outcome of one attempt, as the server side reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome<V> {
    /// How it ended.
    pub outcome: Outcome,
    /// Busy share of the server's processors, where it told.
    pub utilization: Option<f64>,
    /// The value, with `Outcome::Ok`.
    pub value: Option<V>,
}

/// How one attempt ended, as far as membership goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Where it was sent.
    pub replica: ReplicaId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Nanos,
}

/// What the exchange wants done.
#[derive(Clone, Debug)]
pub enum EngineAction<Q, V> {
    /// Server side: one call to one server. Each part's outcome is to be reported once.
    Call {
        /// The server.
        replica: ReplicaId,
        /// What it carries.
        parts: Vec<AttemptRequest<Q>>,
    },
    /// Server side: nobody waits for this attempt any more. No outcome is to be reported.
    CancelAttempt {
        /// The server.
        replica: ReplicaId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Client side: the final answer.
    Respond {
        /// The query.
        query: QueryId,
        /// Its answer.
        outcome: QueryOutcome<V>,
    },
    /// Discovery: the list is to be watched from now on.
    WatchEndpoints,
    /// Server side: this server is to be probed.
    HealthCheck {
        /// The server.
        replica: ReplicaId,
    },
}
