//! The record of the exchange: all work it hands out, and what it tells of itself.
//!
//! Covered: work, refusals, endings of attempts, answers to `begin`, due times, counts of what is held, and the
//! figures of ended queries as far as they are numbers. Payloads are handed through and checked nowhere else here.

use crate::common::{MS, S, class, replica_entry, settings};
use crate::digest::Digest;
use crate::{RandomSource, Recorded, assert_recorded};
use pebbleturn::engine::*;
use pebbleturn::*;
use std::collections::BTreeMap;
use std::rc::Rc;

const EXCHANGE: Recorded = [0x2b7d_a566_5fdc_aead, 0x791b_0e95_3c3b_d446, 0x7703_661a_2ea1_a597];

const STEPS: u64 = 4000;
const STEP: Nanos = 10 * MS;
const OVERLOAD: std::ops::Range<u64> = 2000..2200;
/// When the program's end is set, and for how long after that queries may go on.
const END_SET_AT: u64 = 3900;
const END_AFTER: Nanos = 300 * MS;

/// Least numbers of the common and of the rare kinds of work and answers.
const LEAST_COMMON: u64 = 100;
const LEAST_RARE: u64 = 5;

/// How often each kind of work and answer came.
#[derive(Debug, Default)]
struct Counts {
    calls: u64,
    given_up: u64,
    answered: u64,
    refused: u64,
    failed: u64,
    watches: u64,
    probes: u64,
    refused_at_once: u64,
    endings: u64,
    not_begun: u64,
}

impl Counts {
    /// Whether each kind came often enough for the record to mean something.
    fn are_enough(&self) -> bool {
        let common = [self.calls, self.given_up, self.answered, self.refused_at_once, self.endings];
        let rare = [self.refused, self.failed, self.watches, self.probes, self.not_begun];
        common.iter().all(|count| *count >= LEAST_COMMON) && rare.iter().all(|count| *count >= LEAST_RARE)
    }
}

/// The exchange between simulated clients and servers.
struct Simulation {
    exchange: QueryEngine<u64, u64>,
    random: RandomSource,
    digest: Digest,
    now: Nanos,
    next_number: u64,
    /// Attempts that are out, by the time and the order in which they end.
    upcoming: BTreeMap<(Nanos, u64), AttemptId>,
    down: Option<ReplicaId>,
    counts: Counts,
}

fn exchange_settings() -> Settings {
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
        let mut exchange = QueryEngine::new(exchange_settings(), seed, 0).expect("usable settings");
        exchange.update_endpoints(
            true,
            (0..6).map(|number| replica_entry(number, ReplicaState::Active, None)).collect(),
        );
        Simulation {
            exchange,
            random: RandomSource::new(seed),
            digest: Digest::default(),
            now: 0,
            next_number: 0,
            upcoming: BTreeMap::new(),
            down: None,
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> u64 {
        for step in 0..STEPS {
            self.now = step * STEP;
            let arrivals = if OVERLOAD.contains(&step) { 10 } else { self.random.below(2) };
            (0..arrivals).for_each(|_| self.client_asks());
            self.world_changes(step);
            self.attempts_end();
            self.exchange.advance(self.now);
            while let Some(work) = self.exchange.next_action() {
                self.carry_out(work);
            }
            self.record_state();
        }
        self.record_figures();
        assert!(self.counts.are_enough(), "too little work of some kind: {:?}", self.counts);
        self.digest.value()
    }

    fn client_asks(&mut self) {
        let count = 1 + self.random.below(3) as u32;
        let first_shard = self.random.below(6) as u32;
        let part = |place| PartRequest {
            shard: (first_shard + place) % 6,
            weight: 1.0 / f64::from(count),
            work: (place == 0).then_some(20 * MS),
        };
        let ask = QueryRequest {
            class: self.random.index(3),
            tenant: None,
            key: self.random.chance(50).then_some(7),
            time_left: 100 * MS + self.random.below(2000) * MS,
            is_retry: self.random.chance(10),
            parts: (0..count).map(part).collect(),
            payload: Rc::new(self.now),
        };
        match self.exchange.submit(self.now, ask) {
            Ok(query) => {
                self.digest.put_u64(query.0);
                if self.random.chance(3) {
                    self.exchange.client_disconnected(query);
                }
            }
            Err(refused) => {
                self.counts.refused_at_once += 1;
                self.digest.put_u64(refused.retry_after);
            }
        }
    }

    /// Failures, drains, cold starts, reloads, cuts of the room and of the time.
    fn world_changes(&mut self, step: u64) {
        let number = self.random.below(6) as u32;
        let replica = ReplicaId(number);
        match step % 400 {
            50 => self.down = Some(replica),
            120 => self.down = None,
            160 => self
                .exchange
                .update_endpoints(false, vec![replica_entry(number, ReplicaState::Draining, None)]),
            200 => self
                .exchange
                .update_endpoints(false, vec![replica_entry(number, ReplicaState::Removed, None)]),
            240 => self
                .exchange
                .update_endpoints(false, vec![replica_entry(number, ReplicaState::Active, Some(self.now))]),
            280 => self.exchange.replica_warmed_up(replica),
            300 => self.exchange.watch_failed(),
            320 => self.exchange.set_free_retries(self.random.chance(50)),
            340 => self.exchange.limit_in_flight(60 + self.random.index(80)),
            360 => {
                let lines = (0..6).map(|number| replica_entry(number, ReplicaState::Active, None)).collect();
                self.exchange.update_endpoints(true, lines);
            }
            _ => {}
        }
        if step == END_SET_AT {
            self.exchange.set_shutdown_deadline(self.now + END_AFTER);
        }
    }

    fn attempts_end(&mut self) {
        let later = self.upcoming.split_off(&(self.now + 1, 0));
        for attempt in std::mem::replace(&mut self.upcoming, later).into_values() {
            // One in ten waits for a connection until now.
            if self.random.chance(10) {
                self.exchange.attempt_queued(attempt);
            }
            let begun = self.exchange.begin_attempt(self.now, attempt);
            self.digest.put_bool(begun);
            if !begun {
                self.counts.not_begun += 1;
                continue;
            }
            self.exchange.attempts_written(1);
            let outcome = match self.random.below(20) {
                0 => Outcome::Error,
                1 => Outcome::Rejected,
                2 => Outcome::ConnectionReset,
                3 => Outcome::InvalidResponse,
                _ => Outcome::Ok,
            };
            let value = (outcome == Outcome::Ok).then_some(attempt.0);
            let busy = Some(self.random.share());
            self.exchange.attempt_ended(
                self.now,
                attempt,
                AttemptOutcome { outcome, utilization: busy, value },
            );
        }
    }

    fn carry_out(&mut self, work: EngineAction<u64, u64>) {
        match work {
            EngineAction::Call { replica, parts } => self.call(replica, &parts),
            EngineAction::CancelAttempt { replica, attempt } => {
                self.counts.given_up += 1;
                self.digest.put_tag(1);
                self.digest.put_u64(replica.0.into());
                self.digest.put_u64(attempt.0);
            }
            EngineAction::Respond { query, outcome: answer } => {
                self.digest.put_tag(2);
                self.digest.put_u64(query.0);
                self.record_answer(&answer);
            }
            EngineAction::WatchEndpoints => {
                self.counts.watches += 1;
                self.digest.put_tag(3);
                self.exchange.update_endpoints(false, vec![]);
            }
            EngineAction::HealthCheck { replica } => {
                self.counts.probes += 1;
                self.digest.put_tag(4);
                self.digest.put_u64(replica.0.into());
                let ok = self.down != Some(replica);
                self.exchange.health_checked(replica, ok, 5 * MS, ok.then_some(0.3));
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
                let (outcome, busy, value) = (Outcome::ConnectFailed, None, None);
                self.exchange.attempt_ended(
                    self.now,
                    part.attempt,
                    AttemptOutcome { outcome, utilization: busy, value },
                );
                continue;
            }
            let slow = if self.random.chance(8) { 20 } else { 1 };
            let latency = (10 * MS + self.random.below(60) * MS) * slow;
            self.next_number += 1;
            self.upcoming.insert((self.now + latency, self.next_number), part.attempt);
        }
    }

    fn record_answer(&mut self, answer: &QueryOutcome<u64>) {
        self.digest.put_str(answer.label());
        match answer {
            QueryOutcome::Answered(answered) => {
                self.counts.answered += 1;
                self.digest.put_bool(answered.complete);
                self.digest.put_count(answered.requested_parts);
                self.digest.put_all(&answered.values, |digest, value| {
                    digest.put_u64(value.shard.into());
                    digest.put_u64(value.value);
                });
            }
            QueryOutcome::Rejected { retry_after: wait } => {
                self.counts.refused += 1;
                self.digest.put_u64(*wait);
            }
            QueryOutcome::Failed => self.counts.failed += 1,
        }
    }

    fn record_state(&mut self) {
        while let Some(ending) = self.exchange.next_attempt_end() {
            self.counts.endings += 1;
            self.digest.put_u64(ending.replica.0.into());
            self.digest.put_outcome(ending.outcome);
            self.digest.put_u64(ending.latency);
        }
        self.digest.put_option(self.exchange.next_deadline(), Digest::put_u64);
        self.digest.put_count(self.exchange.ejected());
        self.digest.put_count(self.exchange.open_queries());
        self.digest.put_count(self.exchange.attempts_in_flight());
        self.digest.put_count(self.exchange.in_flight_at(ReplicaId(0)));
        self.digest.put_count(self.exchange.in_flight());
    }

    fn record_figures(&mut self) {
        let names = ["partial", "keyed", "unsafe"].map(String::from);
        let now = pebbleturn::metrics::Gauges { active: 1, pool_size: 2, pool_ejected: 3 };
        let line = self.exchange.metrics().to_json_line(&names, now);
        self.digest.put_str(&line);
    }
}

#[test]
fn the_work_of_an_exchange() {
    assert_recorded("exchange", EXCHANGE, |seed| Simulation::new(seed).run());
}
