//! The interface of the policy: settings, events, actions and ids.
//!
//! Plain types only; all decisions are in the policy itself, which has no I/O and no clock. A broker passes
//! [`Event`]s to the policy in rounds and carries out the [`Action`]s that it returns. All times are
//! nanoseconds: an instant is read from the caller's own monotonic clock, a duration is a difference of two.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

/// An instant or a duration, in nanoseconds.
pub type Nanos = u64;

/// Id of a query or of a part of one. Ids are never reused, and their numbers have no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// Id of a replica: one server that holds some of the shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);

/// Whether a part of a class may be attempted more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Further attempts are harmless.
    Idempotent,
    /// Parts carry an idempotency key: every replica of the shard drops a further attempt that comes within
    /// `window` of the first.
    IdempotencyKey {
        /// How long replicas remember a key, ns.
        window: Nanos,
    },
    /// A further attempt could have a second effect.
    NonIdempotent,
}

/// A class of queries, with one objective and one value.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Whether parts may be attempted more than once.
    pub idempotency: Idempotency,
    /// Latency up to which an answer has its full value, ns; over 0.
    pub latency_objective: Nanos,
    /// Multiple of the expected work of a query that is added to the objective, where that work is known; 0
    /// or more.
    pub objective_per_work: f64,
    /// Time after which clients give up, ns; over 0.
    pub deadline: Nanos,
    /// Value of a complete answer within the objective, relative to other classes; 0 or more.
    pub priority_weight: f64,
    /// Share of the value that an answer between objective and deadline has.
    pub late_weight: f64,
    /// Total weight of answered parts that makes an answer complete; the weights of all parts add up to 1.
    pub complete_share: f64,
    /// Least total weight of the parts that an answer may be given from.
    pub min_answer_share: f64,
    /// Share of the value that a partial answer has, times its weight over `complete_share`.
    pub partial_value: f64,
    /// Number of parts in the second step of a query; 0 where there is only one step.
    pub fetch_parts: u32,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Queries a second, over all brokers. Queries over the quota have a lower value.
    pub quota_per_s: f64,
}

/// How the endpoint list reaches this broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The source sends changes as they occur.
    Pushed,
    /// The broker polls the source at intervals.
    Polled,
}

/// Retry budget: the limit on attempts beyond the first of each part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts allowed in a window, whatever the number of queries.
    pub free: f64,
    /// Further attempts allowed for each query and part admitted in the window.
    pub share: f64,
    /// Length of the window, ns.
    pub window: Nanos,
}

/// The settings of the policy of one broker.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of queries, at least one; events name them by their index.
    pub classes: Vec<Class>,
    /// Tenants with quotas; events name them by their index.
    pub tenants: Vec<Tenant>,
    /// Value of a query over its tenant's quota, as a share of the value of its class.
    pub over_quota_weight: f64,
    /// Number of brokers, this one included.
    pub brokers: u32,
    /// Zone of this broker.
    pub zone: u32,
    /// Number of shards; over 0.
    pub shards: u32,
    /// Number of cells; over 0. The replicas of shard `s` are those in the cells `(s + j) mod cells` for `j`
    /// from 0 to `span - 1`.
    pub cells: u32,
    /// Number of cells that hold each shard; over 0.
    pub span: u32,
    /// Most parts in one call to a replica.
    pub parts_per_call: u32,
    /// Work of a replica for a call itself, beside that for its parts, ns.
    pub call_work: Nanos,
    /// How the endpoint list is discovered.
    pub discovery: Discovery,
    /// Longest time without a poll of the endpoint list, ns; changes count as known to the broker after it.
    pub max_poll_interval: Nanos,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether replicas may be sent health checks.
    pub may_health_check: bool,
    /// Whether hedged requests may be sent.
    pub may_hedge: bool,
    /// Most attempts at one part; over 0.
    pub max_attempts: u32,
    /// Most queries and parts in flight.
    pub max_in_flight: u32,
    /// Whether rejections may carry a Retry-After time.
    pub may_send_retry_after: bool,
    /// Longest Retry-After time, ns.
    pub max_retry_after: Nanos,
    /// Limit on further attempts; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Time after the client's deadline within which a final outcome still counts, ns.
    pub answer_slack: Nanos,
    /// Slow start: share of its capacity that a replica has when it starts.
    pub slow_start_share: f64,
    /// Time from its start after which a replica has all of its capacity, ns.
    pub slow_start_time: Nanos,
    /// A replica that is warming up fails when its load exceeds this multiple of its capacity for
    /// `overload_time`.
    pub overload_multiple: f64,
    /// See `overload_multiple`, ns.
    pub overload_time: Nanos,
    /// Shortest time between two rounds, ns.
    pub round_interval: Nanos,
    /// Cost of a query that is not answered after its objective had passed, relative to its value.
    pub late_failure_cost: f64,
}

/// State of a replica in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Accepts attempts.
    Active,
    /// Completes the attempts in flight; no further ones may be sent.
    Draining,
    /// Is no longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    /// The replica.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: u32,
    /// Its cell; see [`Settings::cells`].
    pub cell: u32,
    /// Its state.
    pub state: ReplicaState,
    /// When its process last started; `None` if that was long ago.
    pub started: Option<Nanos>,
    /// Its share of the load, relative to other replicas that are as fast; over 0, and 1 by default.
    pub weight: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The replica answered.
    Ok,
    /// The replica answered with an error; the part may have run.
    Error,
    /// The replica rejected the attempt before it ran.
    Rejected,
    /// No answer arrived within the time-out; the part may have run, or may still run.
    TimedOut,
    /// No connection was established; the part did not run.
    ConnectFailed,
    /// The connection broke; the part may have run.
    ConnectionReset,
    /// The answer was not valid; the part may have run, and the replica is up.
    InvalidResponse,
    /// The broker cancelled the attempt; the part may have run.
    Cancelled,
    /// The attempt was not sent; the part did not run.
    NotSent,
}

/// Input of the policy.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointList {
        /// Whether `entries` is the whole list, and not only the changes.
        full: bool,
        /// The entries.
        entries: Vec<ReplicaEntry>,
    },
    /// A poll of the endpoint list failed, or the watch was interrupted.
    WatchFailed,
    /// The endpoint list is no longer confirmed: its watch ended, and reports of drains may have been lost.
    ListUnconfirmed {
        /// When it was last confirmed, or the watch ended.
        since: Nanos,
        /// Until when the list is used unchanged.
        lease_end: Nanos,
        /// How long an accepted attempt proves that a replica is not draining, ns.
        proof_lifetime: Nanos,
    },
    /// A watch on the endpoint list has been established again, and the list is current.
    ListConfirmed,
    /// A query was admitted. Its parts follow in the same round, with the same `job`.
    Query {
        /// The query.
        query: RequestId,
        /// Number that links a query with its parts.
        job: u64,
        /// Index of its class in the settings.
        class: usize,
        /// Index of its tenant in the settings, if it has one.
        tenant: Option<usize>,
        /// Time until its client gives up, ns.
        time_left: Nanos,
        /// Number of parts of its first step.
        parts: u32,
        /// Expected work of all parts, if known, ns.
        work: Option<Nanos>,
        /// Whether the client has marked it as a retry.
        is_retry: bool,
    },
    /// A part of a query.
    Part {
        /// The part.
        part: RequestId,
        /// The number of its query.
        job: u64,
        /// The shard that it is for.
        shard: u32,
        /// Its share of the complete answer.
        weight: f64,
    },
    /// An attempt has ended; there is exactly one such event for each [`Action::Send`].
    AttemptEnded {
        /// The part.
        part: RequestId,
        /// The replica that it was sent to.
        replica: ReplicaId,
        /// Number of the attempt among those at its part, from 0.
        attempt: u32,
        /// Time since it was sent, ns.
        latency: Nanos,
        /// How it ended.
        outcome: Outcome,
        /// Busy share of the replica's processors, 0 to 1, if the answer carried a load report.
        utilization: Option<f64>,
    },
    /// The client of a query has disconnected, or the query has ended otherwise.
    ClientDisconnected {
        /// The query.
        query: RequestId,
    },
    /// A health check has ended.
    HealthChecked {
        /// The replica.
        replica: ReplicaId,
        /// Whether it answered.
        ok: bool,
        /// Time until it answered, ns.
        latency: Nanos,
        /// Busy share of the replica's processors, 0 to 1, if it reported that.
        utilization: Option<f64>,
    },
    /// A replica that was treated as warming up is now as fast as the others.
    WarmedUp {
        /// The replica.
        replica: ReplicaId,
    },
    /// The retry budget from now on: part of it may be granted to another process at the same address.
    RetryBudget(Option<RetryBudget>),
    /// The timer set with [`Action::SetTimer`] has fired.
    TimerFired,
}

/// Output of the policy. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt at a part. The attempts at a part are numbered from 0 in the order of these actions.
    Send {
        /// The part.
        part: RequestId,
        /// The replica to send it to.
        replica: ReplicaId,
        /// Time after which the attempt times out, ns.
        timeout: Nanos,
    },
    /// Cancel an attempt.
    Cancel {
        /// The part.
        part: RequestId,
        /// Number of the attempt among those at its part.
        attempt: u32,
    },
    /// Answer a query from the parts that have values.
    Answer {
        /// The query.
        query: RequestId,
        /// Whether the answer is complete, and not partial.
        complete: bool,
    },
    /// Reject a query: shed load. A retry by the client is harmless.
    Reject {
        /// The query.
        query: RequestId,
        /// When the client should retry, ns from now; 0 for no advice.
        retry_after: Nanos,
    },
    /// Fail a query: its parts may have run, and there is no answer.
    Fail {
        /// The query.
        query: RequestId,
    },
    /// Send a health check to a replica.
    HealthCheck {
        /// The replica.
        replica: ReplicaId,
    },
    /// Watch the endpoint list from now on, starting with the changes since the last event.
    WatchEndpoints,
    /// Run the next round after this time at the latest.
    SetTimer {
        /// The time from now, ns.
        after: Nanos,
    },
}

/// Why settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no class, or a class has an objective or deadline of 0, or a weight or share that is negative
    /// or not finite.
    #[error(
        "unusable settings: each class needs an objective and deadline over 0, and valid weights and shares"
    )]
    Classes {
        /// Index of the first such class; `None` if there is no class at all.
        class: Option<usize>,
    },
    /// A count is 0, or a slow-start setting is negative or not finite.
    #[error(
        "unusable settings: a count of cells, shards or attempts is 0, or a slow-start setting is invalid"
    )]
    Counts,
}

impl Settings {
    /// Checks that the settings can be used.
    ///
    /// # Errors
    ///
    /// The first reason for which they can't be.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::Classes { class: None });
        }
        if let Some(index) = self.classes.iter().position(|class| !class.is_usable()) {
            return Err(SettingsError::Classes { class: Some(index) });
        }
        let counts = [self.cells, self.span, self.shards, self.max_attempts];
        let is_slow_start_usable = is_amount(self.overload_multiple) && is_amount(self.slow_start_share);
        if counts.contains(&0) || !is_slow_start_usable {
            return Err(SettingsError::Counts);
        }
        Ok(())
    }
}

impl Class {
    fn is_usable(&self) -> bool {
        let amounts =
            [self.priority_weight, self.complete_share, self.min_answer_share, self.objective_per_work];
        self.latency_objective > 0 && self.deadline > 0 && amounts.into_iter().all(is_amount)
    }
}

/// Whether a number is finite and not negative.
fn is_amount(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}
