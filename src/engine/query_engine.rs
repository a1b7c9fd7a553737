//! The query engine: its state, its counters and its limits.
//!
//! The methods for the client side are in `client_side`, those for the server side in `server_side`, and the
//! handling of time in `rounds`.

use super::admission::Admission;
use super::in_flight::{Attempts, Queries};
use super::messages::{AttemptEnd, EngineAction};
use super::placement::Placements;
use super::timers::{RoundSchedule, Timers};
use crate::api::{Action, Event, Nanos, ReplicaId, RetryBudget, Settings, SettingsError};
use crate::metrics::Metrics;
use crate::policy::Balancer;
use std::collections::VecDeque;

/// Manages queries, parts and attempts between the client side and the server side.
///
/// `Q` is the payload that a query carries to the servers, and `V` the value of a part. The client side
/// submits queries and gets exactly one final outcome for each whose client stays connected. The server side
/// carries out the actions and reports one outcome for each attempt. All times are on the caller's monotonic
/// clock, and `now` must not decrease from call to call.
pub struct QueryEngine<Q, V> {
    pub(super) balancer: Balancer,
    pub(super) settings: Settings,
    pub(super) last_id: u64,
    pub(super) admission: Admission,
    pub(super) queries: Queries<Q, V>,
    pub(super) attempts: Attempts,
    pub(super) placements: Placements,
    pub(super) timers: Timers,
    pub(super) rounds: RoundSchedule,
    /// Events for the policy's next round.
    pub(super) events: Vec<Event>,
    /// Buffer for the policy's actions in a round; empty between rounds, and kept to reuse its memory.
    pub(super) policy_actions: Vec<Action>,
    /// Actions for the client side, the server side and discovery, in order.
    pub(super) actions: VecDeque<EngineAction<Q, V>>,
    /// Ends of attempts that membership has not collected yet.
    pub(super) attempt_ends: VecDeque<AttemptEnd>,
    /// The time of the last `advance`.
    pub(super) now: Nanos,
    /// Time by which all queries must have ended.
    pub(super) shutdown_deadline: Nanos,
    pub(super) metrics: Metrics,
}

impl<Q, V> std::fmt::Debug for QueryEngine<Q, V> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("QueryEngine")
            .field("now", &self.now)
            .field("open_queries", &self.open_queries())
            .field("in_flight", &self.in_flight())
            .field("attempts_in_flight", &self.attempts_in_flight())
            .finish_non_exhaustive()
    }
}

impl<Q, V> QueryEngine<Q, V> {
    /// Creates an engine without queries. `seed` initializes the policy's random number generator.
    ///
    /// # Errors
    ///
    /// Fails if [`Settings::check`] rejects the settings.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        Ok(QueryEngine {
            balancer: Balancer::new(settings.clone(), seed, now)?,
            last_id: 1,
            admission: Admission::new(&settings),
            queries: Queries::new(),
            attempts: Attempts::default(),
            placements: Placements::new(&settings),
            timers: Timers::default(),
            rounds: RoundSchedule::new(settings.round_interval, now),
            events: Vec::new(),
            policy_actions: Vec::new(),
            actions: VecDeque::new(),
            attempt_ends: VecDeque::new(),
            now,
            shutdown_deadline: Nanos::MAX,
            metrics: Metrics::new(settings.classes.len()),
            settings,
        })
    }

    /// The settings of this engine.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Counters of final outcomes by class, and of attempts written.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Adds to the counter of attempts that the server side has written completely.
    pub fn attempts_written(&mut self, attempts: u64) {
        self.metrics.record_attempts(attempts);
    }

    /// Number of servers that accept attempts but that the policy has ejected as outliers.
    pub fn ejected(&self) -> usize {
        self.balancer.ejected()
    }

    /// Number of queries without a final outcome.
    pub fn open_queries(&self) -> usize {
        self.queries.len()
    }

    /// Number of attempts whose outcome has not been reported.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Number of attempts at one server whose outcome has not been reported.
    pub fn in_flight_at(&self, replica: ReplicaId) -> usize {
        self.attempts.count_at(replica)
    }

    /// Number of queries and parts without a final outcome.
    pub fn in_flight(&self) -> usize {
        self.queries.size()
    }

    /// Sets the limit on [`QueryEngine::in_flight`], capped at `max_in_flight` of the settings. Queries that
    /// are already in flight are not affected.
    pub fn limit_in_flight(&mut self, limit: usize) {
        self.admission.set_limit(limit);
    }

    /// Sets whether this process owns the free part of the retry budget, or another process at the same
    /// address does.
    pub fn set_free_retries(&mut self, own: bool) {
        let budget = self.settings.retry_budget.map(|budget| {
            let free = if own { budget.free } else { 0.0 };
            RetryBudget { free, ..budget }
        });
        self.events.push(Event::RetryBudget(budget));
    }

    /// Sets the time by which all queries end, both the open ones and those submitted later. A graceful
    /// shutdown needs this because a query that is open when the process exits gets no outcome.
    pub fn set_shutdown_deadline(&mut self, deadline: Nanos) {
        self.shutdown_deadline = deadline;
        for id in self.timers.take_queries_after(deadline) {
            if let Some(query) = self.queries.get_mut(id) {
                query.deadline = deadline;
                self.timers.add_query(deadline, id);
            }
        }
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
