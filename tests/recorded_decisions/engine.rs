//! The record of the query engine: all actions that it emits, and its counts and metrics.
//!
//! Covered: actions, rejections, ends of attempts, results of `begin_attempt`, deadlines, counts of open
//! work, and the metrics of the run as one JSON line. Payloads are passed through; nothing else in this
//! directory checks them.

use crate::common::{MS, S, class, replica_entry, settings};
use crate::digest::Digest;
use crate::{RandomSource, Recorded, assert_recorded};
use pebbleturn::engine::*;
use pebbleturn::*;
use std::collections::BTreeMap;
use std::rc::Rc;

const QUERY_ENGINE: Recorded = [0x2b7d_a566_5fdc_aead, 0x791b_0e95_3c3b_d446, 0x7703_661a_2ea1_a597];

const STEPS: u64 = 4000;
const STEP: Nanos = 10 * MS;
const OVERLOAD_STEPS: std::ops::Range<u64> = 2000..2200;
/// The step in which the shutdown deadline is set, and the time from that step to the deadline.
const SHUTDOWN_STEP: u64 = 3900;
const SHUTDOWN_GRACE: Nanos = 300 * MS;

/// Minimum counts of the common and of the rare kinds of actions and results.
const MIN_COMMON: u64 = 100;
const MIN_RARE: u64 = 5;

/// How often each kind of action and result occurred.
#[derive(Debug, Default)]
struct Counts {
    calls: u64,
    cancelled: u64,
    answered: u64,
    rejected: u64,
    failed: u64,
    watches: u64,
    health_checks: u64,
    rejected_on_submit: u64,
    attempt_ends: u64,
    not_started: u64,
}

impl Counts {
    /// Whether each kind occurred often enough for the record to be meaningful.
    fn are_sufficient(&self) -> bool {
        let common = [self.calls, self.cancelled, self.answered, self.rejected_on_submit, self.attempt_ends];
        let rare = [self.rejected, self.failed, self.watches, self.health_checks, self.not_started];
        common.iter().all(|count| *count >= MIN_COMMON) && rare.iter().all(|count| *count >= MIN_RARE)
    }
}

/// The query engine between simulated clients and servers.
struct Simulation {
    engine: QueryEngine<u64, u64>,
    random: RandomSource,
    digest: Digest,
    now: Nanos,
    next_number: u64,
    /// Attempts in flight, by the time and the order in which they end.
    scheduled_ends: BTreeMap<(Nanos, u64), AttemptId>,
    down: Option<ReplicaId>,
    counts: Counts,
}

fn engine_settings() -> Settings {
    let keyed = Class {
        idempotency: Idempotency::IdempotencyKey { window: 500 * MS },
        ..class(Idempotency::Idempotent)
    };
    let partial =
        Class { min_answer_share: 0.5, latency_objective: 300 * MS, ..class(Idempotency::Idempotent) };
    Settings {
        classes: vec![partial, keyed, class(Idempotency::NonIdempotent)],
        discovery: Discovery::Polled,
        max_poll_interval: 2 * S,
        parts_per_call: 2,
        max_in_flight: 120,
        ..settings(Idempotency::Idempotent)
    }
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut engine = QueryEngine::new(engine_settings(), seed, 0).expect("usable settings");
        engine.update_endpoints(
            true,
            (0..6).map(|number| replica_entry(number, ReplicaState::Active, None)).collect(),
        );
        Simulation {
            engine,
            random: RandomSource::new(seed),
            digest: Digest::default(),
            now: 0,
            next_number: 0,
            scheduled_ends: BTreeMap::new(),
            down: None,
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> u64 {
        for step in 0..STEPS {
            self.now = step * STEP;
            let arrivals = if OVERLOAD_STEPS.contains(&step) { 10 } else { self.random.below(2) };
            (0..arrivals).for_each(|_| self.submit_query());
            self.change_environment(step);
            self.end_attempts();
            self.engine.advance(self.now);
            while let Some(action) = self.engine.next_action() {
                self.execute(action);
            }
            self.record_state();
        }
        self.record_metrics();
        assert!(self.counts.are_sufficient(), "too few actions or results of some kind: {:?}", self.counts);
        self.digest.value()
    }

    fn submit_query(&mut self) {
        let count = 1 + self.random.below(3) as u32;
        let first_shard = self.random.below(6) as u32;
        let part = |offset| PartRequest {
            shard: (first_shard + offset) % 6,
            weight: 1.0 / f64::from(count),
            work: (offset == 0).then_some(20 * MS),
        };
        let request = QueryRequest {
            class: self.random.index(3),
            tenant: None,
            key: self.random.chance(50).then_some(7),
            time_left: 100 * MS + self.random.below(2000) * MS,
            is_retry: self.random.chance(10),
            parts: (0..count).map(part).collect(),
            payload: Rc::new(self.now),
        };
        match self.engine.submit(self.now, request) {
            Ok(query) => {
                self.digest.put_u64(query.0);
                if self.random.chance(3) {
                    self.engine.client_disconnected(query);
                }
            }
            Err(rejected) => {
                self.counts.rejected_on_submit += 1;
                self.digest.put_u64(rejected.retry_after);
            }
        }
    }

    /// Failures, drains and restarts of replicas, failed watches, full endpoint lists, changes of the
    /// in-flight limit and of free retries, and the shutdown deadline.
    fn change_environment(&mut self, step: u64) {
        let number = self.random.below(6) as u32;
        let replica = ReplicaId(number);
        match step % 400 {
            50 => self.down = Some(replica),
            120 => self.down = None,
            160 => {
                self.engine.update_endpoints(false, vec![replica_entry(number, ReplicaState::Draining, None)])
            }
            200 => {
                self.engine.update_endpoints(false, vec![replica_entry(number, ReplicaState::Removed, None)])
            }
            240 => self
                .engine
                .update_endpoints(false, vec![replica_entry(number, ReplicaState::Active, Some(self.now))]),
            280 => self.engine.replica_warmed_up(replica),
            300 => self.engine.watch_failed(),
            320 => self.engine.set_free_retries(self.random.chance(50)),
            340 => self.engine.limit_in_flight(60 + self.random.index(80)),
            360 => {
                let entries =
                    (0..6).map(|number| replica_entry(number, ReplicaState::Active, None)).collect();
                self.engine.update_endpoints(true, entries);
            }
            _ => {}
        }
        if step == SHUTDOWN_STEP {
            self.engine.set_shutdown_deadline(self.now + SHUTDOWN_GRACE);
        }
    }

    fn end_attempts(&mut self) {
        let later = self.scheduled_ends.split_off(&(self.now + 1, 0));
        for attempt in std::mem::replace(&mut self.scheduled_ends, later).into_values() {
            // One attempt in ten has waited for a connection until now.
            if self.random.chance(10) {
                self.engine.attempt_queued(attempt);
            }
            let started = self.engine.begin_attempt(self.now, attempt);
            self.digest.put_bool(started);
            if !started {
                self.counts.not_started += 1;
                continue;
            }
            self.engine.attempts_written(1);
            let outcome = match self.random.below(20) {
                0 => Outcome::Error,
                1 => Outcome::Rejected,
                2 => Outcome::ConnectionReset,
                3 => Outcome::InvalidResponse,
                _ => Outcome::Ok,
            };
            let value = (outcome == Outcome::Ok).then_some(attempt.0);
            let utilization = Some(self.random.fraction());
            self.engine.attempt_ended(self.now, attempt, AttemptOutcome { outcome, utilization, value });
        }
    }

    fn execute(&mut self, action: EngineAction<u64, u64>) {
        match action {
            EngineAction::Call { replica, parts } => self.call(replica, &parts),
            EngineAction::CancelAttempt { replica, attempt } => {
                self.counts.cancelled += 1;
                self.digest.put_tag(1);
                self.digest.put_u64(replica.0.into());
                self.digest.put_u64(attempt.0);
            }
            EngineAction::Respond { query, outcome } => {
                self.digest.put_tag(2);
                self.digest.put_u64(query.0);
                self.record_outcome(&outcome);
            }
            EngineAction::WatchEndpoints => {
                self.counts.watches += 1;
                self.digest.put_tag(3);
                self.engine.update_endpoints(false, vec![]);
            }
            EngineAction::HealthCheck { replica } => {
                self.counts.health_checks += 1;
                self.digest.put_tag(4);
                self.digest.put_u64(replica.0.into());
                let ok = self.down != Some(replica);
                self.engine.health_checked(replica, ok, 5 * MS, ok.then_some(0.3));
            }
        }
    }

    fn call(&mut self, replica: ReplicaId, parts: &[AttemptRequest<u64>]) {
        self.counts.calls += 1;
        self.digest.put_tag(0);
        self.digest.put_u64(replica.0.into());
        self.digest.put_all(parts, |digest, part| {
            digest.put_u64(part.attempt.0);
            digest.put_u64(part.shard.into());
            digest.put_u64(part.timeout);
            digest.put_option(part.key, Digest::put_u64);
            digest.put_u64(*part.payload);
        });
        for part in parts {
            if self.down == Some(replica) {
                let (outcome, utilization, value) = (Outcome::ConnectFailed, None, None);
                self.engine.attempt_ended(
                    self.now,
                    part.attempt,
                    AttemptOutcome { outcome, utilization, value },
                );
                continue;
            }
            let slow = if self.random.chance(8) { 20 } else { 1 };
            let latency = (10 * MS + self.random.below(60) * MS) * slow;
            self.next_number += 1;
            self.scheduled_ends.insert((self.now + latency, self.next_number), part.attempt);
        }
    }

    fn record_outcome(&mut self, outcome: &QueryOutcome<u64>) {
        self.digest.put_str(outcome.label());
        match outcome {
            QueryOutcome::Answered(answered) => {
                self.counts.answered += 1;
                self.digest.put_bool(answered.complete);
                self.digest.put_count(answered.requested_parts);
                self.digest.put_all(&answered.values, |digest, value| {
                    digest.put_u64(value.shard.into());
                    digest.put_u64(value.value);
                });
            }
            QueryOutcome::Rejected { retry_after } => {
                self.counts.rejected += 1;
                self.digest.put_u64(*retry_after);
            }
            QueryOutcome::Failed => self.counts.failed += 1,
        }
    }

    fn record_state(&mut self) {
        while let Some(attempt_end) = self.engine.next_attempt_end() {
            self.counts.attempt_ends += 1;
            self.digest.put_u64(attempt_end.replica.0.into());
            self.digest.put_outcome(attempt_end.outcome);
            self.digest.put_u64(attempt_end.latency);
        }
        self.digest.put_option(self.engine.next_deadline(), Digest::put_u64);
        self.digest.put_count(self.engine.ejected());
        self.digest.put_count(self.engine.open_queries());
        self.digest.put_count(self.engine.attempts_in_flight());
        self.digest.put_count(self.engine.in_flight_at(ReplicaId(0)));
        self.digest.put_count(self.engine.in_flight());
    }

    fn record_metrics(&mut self) {
        let names = ["partial", "keyed", "unsafe"].map(String::from);
        let gauges = pebbleturn::metrics::Gauges { active: 1, pool_size: 2, pool_ejected: 3 };
        let line = self.engine.metrics().to_json_line(&names, gauges);
        self.digest.put_str(&line);
    }
}

#[test]
fn query_engine_actions() {
    assert_recorded("query engine", QUERY_ENGINE, |seed| Simulation::new(seed).run());
}
