//! The interface of the decision module: settings, events, actions and ids. Plain types only; every
//! decision is in `src/policy/`. All times are nanoseconds on the caller's own monotonic clock.

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;

/// A query or a part. Ids are never reused and carry no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// A replica: one server that holds some shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u32);

/// Whether a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Every holder of the shard drops a repeat that comes within `window` of the first attempt.
    IdempotencyKey { window: Nanos },
    /// A repeat would be a second effect.
    NonIdempotent,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub idempotency: Idempotency,
    /// Answers inside this time earn full worth.
    pub latency_objective: Nanos,
    /// The aim grows by this multiple of the query's own work, where work is told.
    pub objective_per_work: f64,
    /// The client's whole patience.
    pub deadline: Nanos,
    pub priority_weight: f64,
    /// Share of the worth that an answer earns between aim and deadline.
    pub late_weight: f64,
    /// Weight of parts that makes an answer whole.
    pub complete_share: f64,
    /// Least weight of parts that an answer may be given from.
    pub min_answer_share: f64,
    /// What an answer that is not whole earns, times its share over `need`.
    pub partial_value: f64,
    /// Parts of the second step; 0 where there is one step only.
    pub fetch_parts: u32,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Queries a second over all roots; what comes beyond is worth little.
    pub quota_per_s: f64,
}

/// How the list of replicas reaches this root.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    Pushed,
    Polled,
}

/// Bound on attempts beyond each part's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    pub free: f64,
    /// Further attempts allowed for each query and part taken in the window.
    pub share: f64,
    pub window: Nanos,
}

/// Everything a root is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// Worth of a query past its tenant's share, as a fraction of its class's worth.
    pub over_quota_weight: f64,
    /// Number of roots, this one included.
    pub brokers: u32,
    /// Zone of this root.
    pub zone: u32,
    pub shards: u32,
    /// Shard s is held by the replicas of cells (s + j) mod `cells`, j from 0 to `span` - 1.
    pub cells: u32,
    pub span: u32,
    /// Parts that one call to a replica may carry, and the replica's work for the call itself.
    pub parts_per_call: u32,
    pub call_work: Nanos,
    pub discovery: Discovery,
    /// Where the list is asked for: longest time without asking before old news counts as told.
    pub max_poll_interval: Nanos,
    pub may_cancel: bool,
    pub may_health_check: bool,
    pub may_hedge: bool,
    /// Most attempts for one part.
    pub max_attempts: u32,
    /// Most queries and parts held at once.
    pub max_in_flight: u32,
    /// Whether clients are told when to come back, and the longest such time.
    pub may_send_retry_after: bool,
    pub max_retry_after: Nanos,
    pub retry_budget: Option<RetryBudget>,
    /// Slack after a client's time in which a final answer still counts.
    pub answer_slack: Nanos,
    /// A started replica has at least this share of its capacity, and all of it after `cold_time`.
    pub slow_start_share: f64,
    pub slow_start_time: Nanos,
    /// A cold replica sent more than this multiple of what it can do for `fall_time` falls over.
    pub overload_multiple: f64,
    pub overload_time: Nanos,
    /// Shortest time between two rounds.
    pub round_interval: Nanos,
    /// Price of worth left unserved once its aim had passed.
    pub late_failure_cost: f64,
}

/// What the list says of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    Active,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    Removed,
}

/// One line of the list of replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaEntry {
    pub replica: ReplicaId,
    pub zone: u32,
    pub cell: u32,
    pub state: ReplicaState,
    /// When its process last started; `None`: long ago.
    pub started: Option<Nanos>,
    /// Share of the work beside others that are as good, over 0; 1 where nobody says otherwise.
    pub weight: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// The replica answered with an error; the part may have run.
    Error,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer within the attempt's time-out; may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    ConnectionReset,
    /// What came back can't be used; it may have run. The replica is up.
    InvalidResponse,
    /// Withdrawn; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What a root hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list: changes, or with `full` all of it.
    EndpointList {
        full: bool,
        entries: Vec<ReplicaEntry>,
    },
    /// A call for the list failed, or the watch broke.
    WatchFailed,
    /// A query. Its parts follow in the same round and carry the same `job`.
    Query {
        query: RequestId,
        job: u64,
        class: usize,
        tenant: Option<usize>,
        /// Time left before the client gives up this try.
        time_left: Nanos,
        /// Parts of the first step.
        parts: u32,
        /// Expected work, where told.
        work: Option<Nanos>,
        /// True where clients mark their repeats and this is one.
        is_retry: bool,
    },
    Part {
        part: RequestId,
        job: u64,
        shard: u32,
        weight: f64,
    },
    /// The end of one attempt; exactly one comes for every `Send`.
    AttemptEnded {
        part: RequestId,
        replica: ReplicaId,
        attempt: u32,
        latency: Nanos,
        outcome: Outcome,
        /// Busy share of the replica's processors, where a report came along.
        utilization: Option<f64>,
    },
    /// The client is gone; the query is over.
    ClientDisconnected {
        query: RequestId,
    },
    HealthChecked {
        replica: ReplicaId,
        ok: bool,
        latency: Nanos,
        utilization: Option<f64>,
    },
    /// A replica that was taken to have started lately is as fast as one that did long ago.
    WarmedUp {
        replica: ReplicaId,
    },
    /// Further attempts are bounded so from now on: part of the bound may be another process's.
    RetryBudget(Option<RetryBudget>),
    /// A time asked for with `Wake` has come.
    TimerFired,
}

/// What a root is to do. Actions hold in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; a part's attempts are numbered 0, 1, 2 in the order of these.
    Send {
        part: RequestId,
        replica: ReplicaId,
        timeout: Nanos,
    },
    Cancel {
        part: RequestId,
        attempt: u32,
    },
    Answer {
        query: RequestId,
        complete: bool,
    },
    Reject {
        query: RequestId,
        retry_after: Nanos,
    },
    Fail {
        query: RequestId,
    },
    HealthCheck {
        replica: ReplicaId,
    },
    /// Ask the list to send its changes from now on, what was missed first.
    WatchEndpoints,
    /// Call again after this time, at the latest.
    SetTimer {
        after: Nanos,
    },
}

/// Settings that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl Settings {
    /// Whether these settings make sense; says which do not.
    pub fn check(&self) -> Result<(), SettingsError> {
        let amount = |x: f64| x.is_finite() && x >= 0.0;
        let usable = |c: &Class| {
            let shares = [c.priority_weight, c.complete_share, c.min_answer_share, c.objective_per_work];
            c.latency_objective > 0 && c.deadline > 0 && shares.into_iter().all(amount)
        };
        if self.classes.is_empty() || !self.classes.iter().all(usable) {
            let what = "each class needs an aim, a deadline, and sound worths and shares";
            return Err(SettingsError(what.into()));
        }
        let counts = [self.cells, self.span, self.shards, self.max_attempts];
        if counts.contains(&0) || !amount(self.overload_multiple) || !amount(self.slow_start_share) {
            let what = "cells, span, shards, attempts or the cold figures are unusable";
            return Err(SettingsError(what.into()));
        }
        Ok(())
    }
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "unusable settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
