//! The query engine: its state, its counters and its limits.
//!
//! Its interface to clients is in `client_side`, that to servers in `server_side`, and time in `rounds`.

use super::admission::Admission;
use super::in_flight::{Attempts, Queries};
use super::messages::{AttemptEnd, EngineAction};
use super::placement::Placements;
use super::timers::{RoundSchedule, Timers};
use crate::api::{Action, Event, Nanos, ReplicaId, RetryBudget, Settings, SettingsError};
use crate::metrics::Metrics;
use crate::policy::Balancer;
use std::collections::VecDeque;

/// Queries, parts and attempts between the client side and the server side.
///
/// `Q` is the payload that a query carries to the servers, and `V` the value of a part. The client side
/// submits queries and gets exactly one final outcome for each. The server side carries out the actions and
/// reports one outcome for each attempt. All times are on the caller's monotonic clock, and `now` must not
/// decrease from call to call.
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
    /// Events for the next round.
    pub(super) events: Vec<Event>,
    /// Empty between rounds; its memory is used again.
    pub(super) policy_actions: Vec<Action>,
    /// Actions for the two sides, in order.
    pub(super) actions: VecDeque<EngineAction<Q, V>>,
    /// Ends of attempts that the membership has not taken.
    pub(super) attempt_ends: VecDeque<AttemptEnd>,
    /// The time of the last `advance`.
    pub(super) now: Nanos,
    /// When all queries must have ended.
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
    /// An engine without queries. `seed` is that of the policy's random choices.
    ///
    /// # Errors
    ///
    /// Fails for settings that [`Settings::check`] rejects.
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

    /// Counts of final outcomes by class, and of attempts written.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Counts attempts that the server side has written completely since the last call.
    pub fn attempts_written(&mut self, attempts: u64) {
        self.metrics.record_attempts(attempts);
    }

    /// Number of servers that accept attempts and that the policy has ejected as outliers.
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

    /// Sets the limit on [`QueryEngine::in_flight`], which is never above `max_in_flight` of the settings.
    /// Queries that are in flight stay.
    pub fn limit_in_flight(&mut self, limit: usize) {
        self.admission.set_limit(limit);
    }

    /// Sets whether this process has the free part of the retry budget, or another process at the same
    /// address has it.
    pub fn set_free_retries(&mut self, own: bool) {
        let budget = self.settings.retry_budget.map(|budget| {
            let free = if own { budget.free } else { 0.0 };
            RetryBudget { free, ..budget }
        });
        self.events.push(Event::RetryBudget(budget));
    }

    /// Ends all queries by a time at the latest: those that are open and those that are submitted later. For
    /// a graceful shutdown, as a query that is open when the process ends has no outcome.
    pub fn end_all_by(&mut self, deadline: Nanos) {
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
