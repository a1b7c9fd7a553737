//! The record of the balancer: every action of a small simulated fleet, under several settings.
//!
//! Covered: all events and actions, and the number of ejected replicas after each round. Left out: nothing that
//! can be reached through the interface.

use crate::common::{MS, S, class, replica_entry, settings};
use crate::digest::{ACTION_KINDS, Digest, action_tag};
use crate::{RandomSource, Recorded, assert_recorded};
use pebbleturn::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const PUSHED_SAFE: Recorded = [0x62c8_a5c4_96bf_8f9c, 0x6e97_8ffe_1f41_a0bf, 0x9d28_8cb3_5638_f446];
const ON_REQUEST_KEYED: Recorded = [0x3ee3_e3b1_c8f8_8104, 0xe76f_6eb9_8a48_8a1a, 0x8d79_cd12_e741_e6f6];
const PUSHED_UNSAFE: Recorded = [0xc93f_20d7_5efd_96b4, 0x62b9_7de7_417d_6917, 0xe2c8_e1cb_6c30_5a67];

const REPLICAS: u32 = 6;
const STEPS: u64 = 4000;
const STEP: Nanos = 10 * MS;
/// Steps in which many times the usual number of queries come.
const OVERLOAD: std::ops::Range<u64> = 1500..1800;
/// What each attempt that is out adds to the latency of the next.
const QUEUEING_PER_ATTEMPT: Nanos = MS / 4;
const NEWS_DELAY: Nanos = 50 * MS;

/// An attempt that has not ended.
struct Attempt {
    ends_at: Nanos,
    event_number: u64,
}

/// A fleet, its clients and the balancer between them.
struct Simulation {
    balancer: Balancer,
    settings: Settings,
    random: RandomSource,
    digest: Digest,
    now: Nanos,
    wake_at: Option<Nanos>,
    next_id: u64,
    /// What will be heard, by time and number.
    upcoming: BTreeMap<(Nanos, u64), Event>,
    attempts_sent: HashMap<RequestId, u32>,
    attempts: HashMap<(RequestId, u32), Attempt>,
    /// Queries without a final answer, and those among them in their second step.
    open: BTreeSet<RequestId>,
    second_step: BTreeSet<RequestId>,
    down: BTreeSet<ReplicaId>,
    lines: Vec<ReplicaEntry>,
    action_counts: [u64; ACTION_KINDS],
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Simulation {
        let lines: Vec<ReplicaEntry> =
            (0..REPLICAS).map(|n| replica_entry(n, ReplicaState::Active, None)).collect();
        let list = Event::EndpointList { full: true, entries: lines.clone() };
        Simulation {
            balancer: Balancer::new(settings.clone(), seed, 0).expect("usable settings"),
            settings,
            random: RandomSource::new(seed),
            digest: Digest::default(),
            now: 0,
            wake_at: None,
            next_id: 0,
            upcoming: BTreeMap::from([((0, 0), list)]),
            attempts_sent: HashMap::new(),
            attempts: HashMap::new(),
            open: BTreeSet::new(),
            second_step: BTreeSet::new(),
            down: BTreeSet::new(),
            lines,
            action_counts: [0; ACTION_KINDS],
        }
    }

    fn fresh_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Lets an event be heard `delay` from now; gives its place among those upcoming.
    fn schedule(&mut self, delay: Nanos, event: Event) -> Attempt {
        let (ends_at, event_number) = (self.now + delay, self.fresh_id());
        self.upcoming.insert((ends_at, event_number), event);
        Attempt { ends_at, event_number }
    }

    fn run(mut self) -> Simulation {
        for step in 0..STEPS {
            self.now = step * STEP;
            let arrivals = if OVERLOAD.contains(&step) { 15 } else { self.random.below(2) };
            (0..arrivals).for_each(|_| self.client_asks());
            self.client_leaves();
            self.fleet_changes(step);
            self.round();
        }
        self
    }

    fn client_asks(&mut self) {
        let job = self.fresh_id();
        let query = RequestId(job.into());
        let parts = 1 + self.random.below(4) as u32;
        let tenants = self.settings.tenants.len();
        let tenant = (tenants > 0).then(|| self.random.index(tenants));
        let class = self.random.index(self.settings.classes.len());
        let ttl = 300 * MS + self.random.below(2000) * MS;
        let work = self.random.chance(30).then_some(40 * MS);
        let again = self.random.chance(10);
        self.schedule(
            0,
            Event::Query { query, job, class, tenant, time_left: ttl, parts, work, is_retry: again },
        );
        let first_shard = self.random.below(self.settings.shards.into()) as u32;
        for place in 0..parts {
            let shard = (first_shard + place) % self.settings.shards;
            self.part_comes(job, shard, 1.0 / f64::from(parts), 0);
        }
        self.open.insert(query);
    }

    fn part_comes(&mut self, job: u64, shard: u32, weight: f64, delay: Nanos) {
        let part = RequestId(self.fresh_id().into());
        self.schedule(delay, Event::Part { part, job, shard, weight });
    }

    fn client_leaves(&mut self) {
        if !self.random.chance(3) {
            return;
        }
        if let Some(query) = self.open.pop_last() {
            self.schedule(0, Event::ClientDisconnected { query });
        }
    }

    /// Failures, drains, cold starts, reloads and changes of the budget.
    fn fleet_changes(&mut self, step: u64) {
        let replica = ReplicaId(self.random.below(REPLICAS.into()) as u32);
        match step % 400 {
            50 | 90 => _ = self.down.insert(replica),
            150 => self.down.clear(),
            200 => self.restart(replica),
            250 if self.settings.discovery == Discovery::Polled => {
                self.schedule(0, Event::WatchFailed);
            }
            300 => _ = self.schedule(0, Event::EndpointList { full: true, entries: self.lines.clone() }),
            350 if self.settings.retry_budget.is_some() => {
                let free = self.random.below(20) as f64;
                let budget = self.settings.retry_budget.map(|budget| RetryBudget { free, ..budget });
                self.schedule(0, Event::RetryBudget(budget));
            }
            _ => {}
        }
    }

    /// A replica drains, goes and comes back cold.
    fn restart(&mut self, replica: ReplicaId) {
        let back = 800 * MS;
        let started = Some(self.now + back);
        self.schedule(0, news(replica_entry(replica.0, ReplicaState::Draining, None)));
        self.schedule(400 * MS, news(replica_entry(replica.0, ReplicaState::Removed, None)));
        let fresh = replica_entry(replica.0, ReplicaState::Active, started);
        self.lines[replica.0 as usize] = fresh.clone();
        self.schedule(back, news(fresh));
        if self.random.chance(50) {
            self.schedule(back + 2 * S, Event::WarmedUp { replica });
        }
    }

    fn round(&mut self) {
        let later = self.upcoming.split_off(&(self.now + 1, 0));
        let mut events: Vec<Event> = std::mem::replace(&mut self.upcoming, later).into_values().collect();
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
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { part, replica, timeout } => self.send(part, replica, timeout),
            Action::Cancel { part, attempt } => self.cancel(part, attempt),
            Action::Answer { query, .. } => self.answered(query),
            Action::Reject { query, .. } | Action::Fail { query } => _ = self.open.remove(&query),
            Action::HealthCheck { replica } => {
                let (ok, latency) = (!self.down.contains(&replica), 5 * MS);
                let busy = ok.then(|| self.random.share());
                self.schedule(latency, Event::HealthChecked { replica, ok, latency, utilization: busy });
            }
            Action::WatchEndpoints if self.random.chance(30) => {
                _ = self.schedule(NEWS_DELAY, Event::WatchFailed)
            }
            Action::WatchEndpoints => {
                let list = Event::EndpointList { full: true, entries: self.lines.clone() };
                self.schedule(NEWS_DELAY, list);
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
        let (drawn, outcome) = self.draw_end(replica, timeout);
        let latency = drawn.min(timeout);
        let outcome = if drawn >= timeout { Outcome::TimedOut } else { outcome };
        let busy = (outcome == Outcome::Ok).then(|| self.random.share());
        let end = Event::AttemptEnded { part, replica, attempt, latency, outcome, utilization: busy };
        let scheduled = self.schedule(latency, end);
        self.attempts.insert((part, attempt), scheduled);
    }

    /// How and after what time an attempt would end if it were not given up.
    fn draw_end(&mut self, replica: ReplicaId, timeout: Nanos) -> (Nanos, Outcome) {
        if self.down.contains(&replica) {
            return (2 * MS, Outcome::ConnectFailed);
        }
        let queueing = self.attempts.len() as Nanos * QUEUEING_PER_ATTEMPT;
        let usual = 10 * MS + self.random.below(60) * MS + queueing;
        match self.random.below(100) {
            0..3 => (usual, Outcome::Error),
            3..6 => (MS, Outcome::Rejected),
            6 => (usual, Outcome::ConnectionReset),
            7 => (usual, Outcome::InvalidResponse),
            8 => (0, Outcome::NotSent),
            9 => (timeout, Outcome::TimedOut),
            10..15 => (10 * usual, Outcome::Ok),
            _ => (usual, Outcome::Ok),
        }
    }

    fn cancel(&mut self, part: RequestId, attempt: u32) {
        let Some(out) = self.attempts.remove(&(part, attempt)) else { return };
        let end = self.upcoming.remove(&(out.ends_at, out.event_number));
        let Some(Event::AttemptEnded { replica, latency, .. }) = end else { return };
        let sent = out.ends_at - latency;
        let (latency, outcome) = (self.now - sent, Outcome::Cancelled);
        self.schedule(0, Event::AttemptEnded { part, replica, attempt, latency, outcome, utilization: None });
    }

    /// A query is over, or its second step begins.
    fn answered(&mut self, query: RequestId) {
        let two_steps = self.settings.classes.iter().any(|class| class.fetch_parts > 0);
        if two_steps && self.open.contains(&query) && self.second_step.insert(query) {
            // Only classes with a second step heed this part.
            let shard = self.random.below(self.settings.shards.into()) as u32;
            self.part_comes(query.0 as u64, shard, 1.0, STEP);
        } else {
            self.open.remove(&query);
        }
    }
}

fn news(line: ReplicaEntry) -> Event {
    Event::EndpointList { full: false, entries: vec![line] }
}

/// A class that gives partial answers, and one with a second step.
fn two_classes(effect: Idempotency) -> Vec<Class> {
    let partial = Class {
        min_answer_share: 0.5,
        latency_objective: 300 * MS,
        objective_per_work: 0.5,
        ..class(effect)
    };
    let fetching = Class { fetch_parts: 1, priority_weight: 3.0, ..class(effect) };
    vec![partial, fetching]
}

fn tenants() -> Vec<Tenant> {
    vec![Tenant { quota_per_s: 20.0 }, Tenant { quota_per_s: 100.0 }]
}

/// Every kind of action is to come at least so often, in the order of the tags.
fn run_and_count(settings: Settings, seed: u64, least: [u64; ACTION_KINDS]) -> u64 {
    let done = Simulation::new(settings, seed).run();
    let enough = done.action_counts.iter().zip(least).all(|(count, least)| *count >= least);
    assert!(enough, "too few actions of some kind: {:?}, least {least:?}", done.action_counts);
    done.digest.value()
}

#[test]
fn a_pushed_list_and_safe_queries() {
    let settings =
        Settings { classes: two_classes(Idempotency::Idempotent), ..settings(Idempotency::Idempotent) };
    let least = [1000, 100, 500, 100, 1, 20, 0, 500];
    assert_recorded("pushed, safe", PUSHED_SAFE, |seed| run_and_count(settings.clone(), seed, least));
}

#[test]
fn a_list_on_request_and_keyed_queries_of_tenants_without_a_budget() {
    let effect = Idempotency::IdempotencyKey { window: 500 * MS };
    let settings = Settings {
        classes: two_classes(effect),
        tenants: tenants(),
        over_quota_weight: 0.2,
        discovery: Discovery::Polled,
        max_poll_interval: 2 * S,
        retry_budget: None,
        parts_per_call: 4,
        call_work: 5 * MS,
        ..settings(effect)
    };
    let least = [1000, 100, 500, 100, 1, 20, 10, 500];
    assert_recorded("on request, keyed", ON_REQUEST_KEYED, |seed| {
        run_and_count(settings.clone(), seed, least)
    });
}

#[test]
fn a_pushed_list_and_unsafe_queries_without_copies_probes_or_cancelling() {
    let effect = Idempotency::NonIdempotent;
    let settings = Settings {
        classes: two_classes(effect),
        tenants: tenants(),
        may_hedge: false,
        may_health_check: false,
        may_cancel: false,
        max_in_flight: 150,
        ..settings(effect)
    };
    let least = [1000, 0, 500, 100, 50, 0, 0, 500];
    assert_recorded("pushed, unsafe", PUSHED_UNSAFE, |seed| run_and_count(settings.clone(), seed, least));
}
