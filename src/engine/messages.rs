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
pub struct Ask<Q> {
    /// Place of its class in the settings.
    pub class: usize,
    /// Place of its tenant in the settings, where it has one.
    pub tenant: Option<usize>,
    /// What it concerns, where queries have such a key.
    pub key: Option<u64>,
    /// Time left before the client gives up.
    pub time_left: Nanos,
    /// The client says that it asks again.
    pub again: bool,
    /// Its parts, each of another shard.
    pub parts: Vec<AskPart>,
    /// What the server side is to carry; the core does not look at it.
    pub payload: Rc<Q>,
}

/// A part of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AskPart {
    /// Its shard.
    pub shard: u32,
    /// Its share of the whole answer.
    pub weight: f64,
    /// A guess at its work.
    pub work: Option<Nanos>,
}

/// A query that is not taken, since as many are open as may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When the client does well to come back; 0: not told.
    pub wait: Nanos,
}

/// The value of a part, as a server gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value<V> {
    /// The part's shard.
    pub shard: u32,
    /// What the server answered.
    pub value: V,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered<V> {
    /// Every part that a whole answer needs is in.
    pub whole: bool,
    /// The parts that are in, in the order in which the client named them.
    pub values: Vec<Value<V>>,
    /// Parts that were asked for.
    pub asked: usize,
}

/// The one final answer to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final<V> {
    /// Served.
    Answered(Answered<V>),
    /// Refused: asking again is harmless, after the wait if it is not 0.
    Refused {
        /// When the client does well to come back; 0: not told.
        wait: Nanos,
    },
    /// Given up.
    Failed,
}

impl<V> Final<V> {
    /// What it is, in a word.
    pub fn word(&self) -> &'static str {
        match self {
            Final::Answered(a) if a.whole => "whole",
            Final::Answered(_) => "partial",
            Final::Refused { .. } => "refused",
            Final::Failed => "failed",
        }
    }
}

/// One part to be sent to a server.
#[derive(Clone, Debug)]
pub struct Dispatch<Q> {
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
pub struct Ended<V> {
    /// How it ended.
    pub outcome: Outcome,
    /// Busy share of the server's processors, where it told.
    pub busy: Option<f64>,
    /// The value, with `Outcome::Ok`.
    pub value: Option<V>,
}

/// How one attempt ended, as far as membership goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Where it was sent.
    pub replica: ReplicaId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Nanos,
}

/// What the exchange wants done.
#[derive(Clone, Debug)]
pub enum Work<Q, V> {
    /// Server side: one call to one server. Each part's outcome is to be reported once.
    Call {
        /// The server.
        replica: ReplicaId,
        /// What it carries.
        parts: Vec<Dispatch<Q>>,
    },
    /// Server side: nobody waits for this attempt any more. No outcome is to be reported.
    GiveUp {
        /// The server.
        replica: ReplicaId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Client side: the final answer.
    Finish {
        /// The query.
        query: QueryId,
        /// Its answer.
        answer: Final<V>,
    },
    /// Discovery: the list is to be watched from now on.
    Watch,
    /// Server side: this server is to be probed.
    Probe {
        /// The server.
        replica: ReplicaId,
    },
}
