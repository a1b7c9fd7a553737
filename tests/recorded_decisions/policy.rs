//! The record of the balancer: every action that it emits for a small simulated fleet, under several
//! settings.
//!
//! Covered: all events and actions, and the number of ejected replicas after each round. Nothing that can be
//! reached through the interface is left out.

use crate::common::{MS, S, class, replica_entry, settings};
use crate::digest::{ACTION_KINDS, Digest, action_tag};
use crate::{RandomSource, Recorded, assert_recorded};
use pebbleturn::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const PUSHED_IDEMPOTENT: Recorded = [0x62c8_a5c4_96bf_8f9c, 0x6e97_8ffe_1f41_a0bf, 0x9d28_8cb3_5638_f446];
const POLLED_IDEMPOTENCY_KEY: Recorded =
    [0x3ee3_e3b1_c8f8_8104, 0xe76f_6eb9_8a48_8a1a, 0x8d79_cd12_e741_e6f6];
const PUSHED_NON_IDEMPOTENT: Recorded = [0xc93f_20d7_5efd_96b4, 0x62b9_7de7_417d_6917, 0xe2c8_e1cb_6c30_5a67];

const REPLICAS: u32 = 6;
const STEPS: u64 = 4000;
const STEP: Nanos = 10 * MS;
/// Steps in which many times the usual number of queries arrive.
const OVERLOAD_STEPS: std::ops::Range<u64> = 1500..1800;
/// Latency that each attempt in flight adds to the next one.
const QUEUEING_PER_ATTEMPT: Nanos = MS / 4;
const ENDPOINT_UPDATE_DELAY: Nanos = 50 * MS;

/// An attempt in flight: when it ends, and the number of that event.
struct Attempt {
    ends_at: Nanos,
    event_number: u64,
}

/// A fleet, its clients, and the balancer between them.
struct Simulation {
    balancer: Balancer,
    settings: Settings,
    random: RandomSource,
    digest: Digest,
    now: Nanos,
    wake_at: Option<Nanos>,
    next_id: u64,
    /// Scheduled events, by time and number.
    event_queue: BTreeMap<(Nanos, u64), Event>,
    attempts_sent: HashMap<RequestId, u32>,
    attempts: HashMap<(RequestId, u32), Attempt>,
    /// Queries without a final answer, and those of them that are in their second step.
    open: BTreeSet<RequestId>,
    second_step: BTreeSet<RequestId>,
    down: BTreeSet<ReplicaId>,
    entries: Vec<ReplicaEntry>,
    action_counts: [u64; ACTION_KINDS],
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Simulation {
        let entries: Vec<ReplicaEntry> =
            (0..REPLICAS).map(|n| replica_entry(n, ReplicaState::Active, None)).collect();
        let list = Event::EndpointList { full: true, entries: entries.clone() };
        Simulation {
            balancer: Balancer::new(settings.clone(), seed, 0).expect("usable settings"),
            settings,
            random: RandomSource::new(seed),
            digest: Digest::default(),
            now: 0,
            wake_at: None,
            next_id: 0,
            event_queue: BTreeMap::from([((0, 0), list)]),
            attempts_sent: HashMap::new(),
            attempts: HashMap::new(),
            open: BTreeSet::new(),
            second_step: BTreeSet::new(),
            down: BTreeSet::new(),
            entries,
            action_counts: [0; ACTION_KINDS],
        }
    }

    fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Schedules an event `delay` from now; returns its time and number.
    fn schedule(&mut self, delay: Nanos, event: Event) -> Attempt {
        let (ends_at, event_number) = (self.now + delay, self.allocate_id());
        self.event_queue.insert((ends_at, event_number), event);
        Attempt { ends_at, event_number }
    }

    fn run(mut self) -> Simulation {
        for step in 0..STEPS {
            self.now = step * STEP;
            let arrivals = if OVERLOAD_STEPS.contains(&step) { 15 } else { self.random.below(2) };
            (0..arrivals).for_each(|_| self.submit_query());
            self.disconnect_client();
            self.change_fleet(step);
            self.round();
        }
        self
    }

    fn submit_query(&mut self) {
        let job = self.allocate_id();
        let query = RequestId(job.into());
        let parts = 1 + self.random.below(4) as u32;
        let tenants = self.settings.tenants.len();
        let tenant = (tenants > 0).then(|| self.random.index(tenants));
        let class = self.random.index(self.settings.classes.len());
        let time_left = 300 * MS + self.random.below(2000) * MS;
        let work = self.random.chance(30).then_some(40 * MS);
        let is_retry = self.random.chance(10);
        self.schedule(0, Event::Query { query, job, class, tenant, time_left, parts, work, is_retry });
        let first_shard = self.random.below(self.settings.shards.into()) as u32;
        for offset in 0..parts {
            let shard = (first_shard + offset) % self.settings.shards;
            self.submit_part(job, shard, 1.0 / f64::from(parts), 0);
        }
        self.open.insert(query);
    }

    fn submit_part(&mut self, job: u64, shard: u32, weight: f64, delay: Nanos) {
        let part = RequestId(self.allocate_id().into());
        self.schedule(delay, Event::Part { part, job, shard, weight });
    }

    fn disconnect_client(&mut self) {
        if !self.random.chance(3) {
            return;
        }
        if let Some(query) = self.open.pop_last() {
            self.schedule(0, Event::ClientDisconnected { query });
        }
    }

    /// Failures, drains and restarts of replicas, failed watches, full endpoint lists and changes of the
    /// retry budget.
    fn change_fleet(&mut self, step: u64) {
        let replica = ReplicaId(self.random.below(REPLICAS.into()) as u32);
        match step % 400 {
            50 | 90 => _ = self.down.insert(replica),
            150 => self.down.clear(),
            200 => self.restart(replica),
            250 if self.settings.discovery == Discovery::Polled => {
                self.schedule(0, Event::WatchFailed);
            }
            300 => _ = self.schedule(0, Event::EndpointList { full: true, entries: self.entries.clone() }),
            350 if self.settings.retry_budget.is_some() => {
                let free = self.random.below(20) as f64;
                let budget = self.settings.retry_budget.map(|budget| RetryBudget { free, ..budget });
                self.schedule(0, Event::RetryBudget(budget));
            }
            _ => {}
        }
    }

    /// A replica drains, is removed and returns as a newly started process.
    fn restart(&mut self, replica: ReplicaId) {
        let return_delay = 800 * MS;
        let started = Some(self.now + return_delay);
        self.schedule(0, endpoint_update(replica_entry(replica.0, ReplicaState::Draining, None)));
        self.schedule(400 * MS, endpoint_update(replica_entry(replica.0, ReplicaState::Removed, None)));
        let restarted = replica_entry(replica.0, ReplicaState::Active, started);
        self.entries[replica.0 as usize] = restarted.clone();
        self.schedule(return_delay, endpoint_update(restarted));
        if self.random.chance(50) {
            self.schedule(return_delay + 2 * S, Event::WarmedUp { replica });
        }
    }

    fn round(&mut self) {
        let later = self.event_queue.split_off(&(self.now + 1, 0));
        let mut events: Vec<Event> = std::mem::replace(&mut self.event_queue, later).into_values().collect();
        if self.wake_at.is_some_and(|at| at <= self.now) {
            self.wake_at = None;
            events.push(Event::TimerFired);
        }
        if events.is_empty() {
            return;
        }
        for event in &events {
            if let Event::AttemptEnded { part, attempt, .. } = event {
                self.attempts.remove(&(*part, *attempt));
            }
        }
        let mut actions = Vec::new();
        self.balancer.round(self.now, &events, &mut actions);
        self.digest.put_u64(self.now);
        self.digest.put_count(self.balancer.ejected());
        self.digest.put_all(&actions, Digest::put_action);
        for action in actions {
            self.action_counts[usize::from(action_tag(&action))] += 1;
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { part, replica, timeout } => self.send(part, replica, timeout),
            Action::Cancel { part, attempt } => self.cancel(part, attempt),
            Action::Answer { query, .. } => self.on_answer(query),
            Action::Reject { query, .. } | Action::Fail { query } => _ = self.open.remove(&query),
            Action::HealthCheck { replica } => {
                let (ok, latency) = (!self.down.contains(&replica), 5 * MS);
                let utilization = ok.then(|| self.random.fraction());
                self.schedule(latency, Event::HealthChecked { replica, ok, latency, utilization });
            }
            Action::WatchEndpoints if self.random.chance(30) => {
                _ = self.schedule(ENDPOINT_UPDATE_DELAY, Event::WatchFailed)
            }
            Action::WatchEndpoints => {
                let list = Event::EndpointList { full: true, entries: self.entries.clone() };
                self.schedule(ENDPOINT_UPDATE_DELAY, list);
            }
            Action::SetTimer { after } => {
                let at = self.now + after;
                self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
            }
        }
    }

    fn send(&mut self, part: RequestId, replica: ReplicaId, timeout: Nanos) {
        let number = self.attempts_sent.entry(part).or_default();
        let attempt = *number;
        *number += 1;
        let (drawn_latency, outcome) = self.draw_end(replica, timeout);
        let latency = drawn_latency.min(timeout);
        let outcome = if drawn_latency >= timeout { Outcome::TimedOut } else { outcome };
        let utilization = (outcome == Outcome::Ok).then(|| self.random.fraction());
        let end = Event::AttemptEnded { part, replica, attempt, latency, outcome, utilization };
        let scheduled = self.schedule(latency, end);
        self.attempts.insert((part, attempt), scheduled);
    }

    /// The latency and the outcome of an attempt that is not cancelled.
    fn draw_end(&mut self, replica: ReplicaId, timeout: Nanos) -> (Nanos, Outcome) {
        if self.down.contains(&replica) {
            return (2 * MS, Outcome::ConnectFailed);
        }
        let queueing = self.attempts.len() as Nanos * QUEUEING_PER_ATTEMPT;
        let usual_latency = 10 * MS + self.random.below(60) * MS + queueing;
        match self.random.below(100) {
            0..3 => (usual_latency, Outcome::Error),
            3..6 => (MS, Outcome::Rejected),
            6 => (usual_latency, Outcome::ConnectionReset),
            7 => (usual_latency, Outcome::InvalidResponse),
            8 => (0, Outcome::NotSent),
            9 => (timeout, Outcome::TimedOut),
            10..15 => (10 * usual_latency, Outcome::Ok),
            _ => (usual_latency, Outcome::Ok),
        }
    }

    fn cancel(&mut self, part: RequestId, attempt: u32) {
        let Some(cancelled) = self.attempts.remove(&(part, attempt)) else { return };
        let end = self.event_queue.remove(&(cancelled.ends_at, cancelled.event_number));
        let Some(Event::AttemptEnded { replica, latency, .. }) = end else { return };
        let sent = cancelled.ends_at - latency;
        let (latency, outcome) = (self.now - sent, Outcome::Cancelled);
        self.schedule(0, Event::AttemptEnded { part, replica, attempt, latency, outcome, utilization: None });
    }

    /// A query ends, or its second step begins.
    fn on_answer(&mut self, query: RequestId) {
        let two_steps = self.settings.classes.iter().any(|class| class.fetch_parts > 0);
        if two_steps && self.open.contains(&query) && self.second_step.insert(query) {
            // Classes without a second step ignore this part.
            let shard = self.random.below(self.settings.shards.into()) as u32;
            self.submit_part(query.0 as u64, shard, 1.0, STEP);
        } else {
            self.open.remove(&query);
        }
    }
}

fn endpoint_update(entry: ReplicaEntry) -> Event {
    Event::EndpointList { full: false, entries: vec![entry] }
}

/// A class that accepts partial answers, and one with a second step.
fn two_classes(idempotency: Idempotency) -> Vec<Class> {
    let partial = Class {
        min_answer_share: 0.5,
        latency_objective: 300 * MS,
        objective_per_work: 0.5,
        ..class(idempotency)
    };
    let fetching = Class { fetch_parts: 1, priority_weight: 3.0, ..class(idempotency) };
    vec![partial, fetching]
}

fn tenants() -> Vec<Tenant> {
    vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: 100.0 }]
}

/// Runs a simulation in which every kind of action has to occur at least as often as `min_counts` requires;
/// its counts are in the order of the tags.
fn run_and_count(settings: Settings, seed: u64, min_counts: [u64; ACTION_KINDS]) -> u64 {
    let simulation = Simulation::new(settings, seed).run();
    let enough =
        simulation.action_counts.iter().zip(min_counts).all(|(count, min_count)| *count >= min_count);
    assert!(enough, "too few actions of some kind: {:?}, required: {min_counts:?}", simulation.action_counts);
    simulation.digest.value()
}

#[test]
fn pushed_endpoint_list_with_idempotent_queries() {
    let settings =
        Settings { classes: two_classes(Idempotency::Idempotent), ..settings(Idempotency::Idempotent) };
    let min_counts = [1000, 100, 500, 100, 1, 20, 0, 500];
    assert_recorded("pushed, idempotent", PUSHED_IDEMPOTENT, |seed| {
        run_and_count(settings.clone(), seed, min_counts)
    });
}

#[test]
fn polled_endpoint_list_with_idempotency_keys_and_tenants_without_retry_budget() {
    let idempotency = Idempotency::IdempotencyKey { window: 500 * MS };
    let settings = Settings {
        classes: two_classes(idempotency),
        tenants: tenants(),
        over_quota_weight: 0.2,
        discovery: Discovery::Polled,
        max_poll_interval: 2 * S,
        retry_budget: None,
        parts_per_call: 4,
        call_work: 5 * MS,
        ..settings(idempotency)
    };
    let min_counts = [1000, 100, 500, 100, 1, 20, 10, 500];
    assert_recorded("polled, idempotency key", POLLED_IDEMPOTENCY_KEY, |seed| {
        run_and_count(settings.clone(), seed, min_counts)
    });
}

#[test]
fn pushed_endpoint_list_with_non_idempotent_queries_without_hedges_health_checks_or_cancellation() {
    let idempotency = Idempotency::NonIdempotent;
    let settings = Settings {
        classes: two_classes(idempotency),
        tenants: tenants(),
        may_hedge: false,
        may_health_check: false,
        may_cancel: false,
        max_in_flight: 150,
        ..settings(idempotency)
    };
    let min_counts = [1000, 0, 500, 100, 50, 0, 0, 500];
    assert_recorded("pushed, non-idempotent", PUSHED_NON_IDEMPOTENT, |seed| {
        run_and_count(settings.clone(), seed, min_counts)
    });
}
