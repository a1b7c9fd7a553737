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
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Every holder of the shard drops a repeat that comes within `window` of the first attempt.
    Keyed { window: Nanos },
    /// A repeat would be a second effect.
    Unsafe,
}

/// One class of query.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub effect: Effect,
    /// Answers inside this time earn full worth.
    pub aim: Nanos,
    /// The aim grows by this multiple of the query's own work, where work is told.
    pub aim_stretch: f64,
    /// The client's whole patience.
    pub deadline: Nanos,
    pub worth: f64,
    /// Share of the worth that an answer earns between aim and deadline.
    pub late_worth: f64,
    /// Weight of parts that makes an answer whole.
    pub need: f64,
    /// Least weight of parts that an answer may be given from.
    pub min_share: f64,
    /// What an answer that is not whole earns, times its share over `need`.
    pub partial_earns: f64,
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
    OnRequest,
}

/// Bound on attempts beyond each part's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptBudget {
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
    pub over_share_worth: f64,
    /// Number of roots, this one included.
    pub roots: u32,
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
    pub must_ask_in: Nanos,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub may_copy: bool,
    /// Most attempts for one part.
    pub max_attempts: u32,
    /// Most queries and parts held at once.
    pub max_open: u32,
    /// Whether clients are told when to come back, and the longest such time.
    pub may_advise_wait: bool,
    pub max_wait: Nanos,
    pub budget: Option<AttemptBudget>,
    /// Slack after a client's time in which a final answer still counts.
    pub answer_slack: Nanos,
    /// A started replica has at least this share of its capacity, and all of it after `cold_time`.
    pub cold_share: f64,
    pub cold_time: Nanos,
    /// A cold replica sent more than this multiple of what it can do for `fall_time` falls over.
    pub fall_multiple: f64,
    pub fall_time: Nanos,
    /// Shortest time between two rounds.
    pub tick: Nanos,
    /// Price of worth left unserved once its aim had passed.
    pub late_fail_price: f64,
}

/// What the list says of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    In,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    Gone,
}

/// One line of the list of replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub replica: ReplicaId,
    pub zone: u32,
    pub cell: u32,
    pub standing: Standing,
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
    Full,
    /// No answer within the attempt's time-out; may have run or still run.
    TimeOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// What came back can't be used; it may have run. The replica is up.
    Spoilt,
    /// Withdrawn; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// What a root hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list: changes, or with `full` all of it.
    Replicas {
        full: bool,
        lines: Vec<Listed>,
    },
    /// A call for the list failed, or the watch broke.
    ListFailed,
    /// A query. Its parts follow in the same round and carry the same `job`.
    Query {
        query: RequestId,
        job: u64,
        class: usize,
        tenant: Option<usize>,
        /// Time left before the client gives up this try.
        ttl: Nanos,
        /// Parts of the first step.
        parts: u32,
        /// Expected work, where told.
        work: Option<Nanos>,
        /// True where clients mark their repeats and this is one.
        again: bool,
    },
    Part {
        part: RequestId,
        job: u64,
        shard: u32,
        weight: f64,
    },
    /// The end of one attempt; exactly one comes for every `Send`.
    Ended {
        part: RequestId,
        replica: ReplicaId,
        attempt: u32,
        latency: Nanos,
        outcome: Outcome,
        /// Busy share of the replica's processors, where a report came along.
        busy: Option<f64>,
    },
    /// The client is gone; the query is over.
    ClientGone {
        query: RequestId,
    },
    Probed {
        replica: ReplicaId,
        ok: bool,
        latency: Nanos,
        busy: Option<f64>,
    },
    /// A replica that was taken to have started lately is as fast as one that did long ago.
    Warm {
        replica: ReplicaId,
    },
    /// Further attempts are bounded so from now on: part of the bound may be another process's.
    Budget(Option<AttemptBudget>),
    /// A time asked for with `Wake` has come.
    Woken,
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
        whole: bool,
    },
    Refuse {
        query: RequestId,
        wait: Nanos,
    },
    Fail {
        query: RequestId,
    },
    Probe {
        replica: ReplicaId,
    },
    /// Ask the list to send its changes from now on, what was missed first.
    Watch,
    /// Call again after this time, at the latest.
    Wake {
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
            let shares = [c.worth, c.need, c.min_share, c.aim_stretch];
            c.aim > 0 && c.deadline > 0 && shares.into_iter().all(amount)
        };
        if self.classes.is_empty() || !self.classes.iter().all(usable) {
            let what = "each class needs an aim, a deadline, and sound worths and shares";
            return Err(SettingsError(what.into()));
        }
        let counts = [self.cells, self.span, self.shards, self.max_attempts];
        if counts.contains(&0) || !amount(self.fall_multiple) || !amount(self.cold_share) {
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
