//! A small root for tests: scripted events in, actions out.
#![allow(dead_code)]

use pebbleturn::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(effect: Idempotency) -> Class {
    Class {
        idempotency: effect,
        latency_objective: S,
        objective_per_work: 0.0,
        deadline: 3 * S,
        priority_weight: 1.0,
        late_weight: 0.5,
        complete_share: 1.0,
        min_answer_share: 1.0,
        partial_value: 0.9,
        fetch_parts: 0,
    }
}

/// Six replicas in six cells, three to a shard, everything allowed.
pub fn settings(effect: Idempotency) -> Settings {
    Settings {
        classes: vec![class(effect)],
        tenants: vec![],
        over_quota_weight: 1.0,
        brokers: 2,
        zone: 0,
        shards: 6,
        cells: 6,
        span: 3,
        parts_per_call: 1,
        call_work: 0,
        discovery: Discovery::Pushed,
        max_poll_interval: 10 * S,
        may_cancel: true,
        may_health_check: true,
        may_hedge: true,
        max_attempts: 3,
        max_in_flight: 1000,
        may_send_retry_after: true,
        max_retry_after: S,
        retry_budget: Some(RetryBudget { free: 20.0, share: 0.1, window: 10 * S }),
        answer_slack: 20 * MS,
        slow_start_share: 0.2,
        slow_start_time: 16 * S,
        overload_multiple: 3.0,
        overload_time: 3 * S,
        round_interval: 5 * MS,
        late_failure_cost: 0.05,
    }
}

pub fn line(n: u32, standing: ReplicaState, started: Option<Nanos>) -> ReplicaEntry {
    ReplicaEntry { replica: ReplicaId(n), zone: 0, cell: n % 6, state: standing, started, weight: 1.0 }
}

pub fn full_list() -> Event {
    Event::EndpointList { full: true, entries: (0..6).map(|n| line(n, ReplicaState::Active, None)).collect() }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub part: RequestId,
    pub replica: ReplicaId,
    pub attempt: u32,
    pub at: Nanos,
}

pub struct Root {
    pub b: Balancer,
    pub now: Nanos,
    pub job: u64,
    pub sent: Vec<Sent>,
    pub acts: Vec<(Nanos, Action)>,
}

impl Root {
    pub fn new(settings: Settings) -> Root {
        Root::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Root {
        let b = Balancer::new(settings, seed, 0).expect("usable settings");
        let mut r = Root { b, now: 0, job: 0, sent: vec![], acts: vec![] };
        r.at(0, &[full_list()]);
        r
    }

    /// One round; gives back its actions.
    pub fn at(&mut self, now: Nanos, events: &[Event]) -> Vec<Action> {
        self.now = now;
        let mut acts = vec![];
        self.b.round(now, events, &mut acts);
        for a in &acts {
            if let Action::Send { part, replica, .. } = *a {
                let attempt = self.sent.iter().filter(|s| s.part == part).count() as u32;
                self.sent.push(Sent { part, replica, attempt, at: now });
            }
            self.acts.push((now, a.clone()));
        }
        acts
    }

    /// Hands over a query with parts at these shards; ids are job * 100, then + 1 + place.
    pub fn query(&mut self, now: Nanos, shards: &[u32], ttl: Nanos) -> (RequestId, Vec<Action>) {
        self.job += 1;
        let (job, parts) = (self.job, shards.len() as u32);
        let query = RequestId(job as u128 * 100);
        let head = Event::Query {
            query,
            job,
            class: 0,
            tenant: None,
            time_left: ttl,
            parts,
            work: None,
            is_retry: false,
        };
        let mut events = vec![head];
        let weight = 1.0 / parts as f64;
        for (i, s) in shards.iter().enumerate() {
            let part = RequestId(query.0 + 1 + i as u128);
            events.push(Event::Part { part, job, shard: *s, weight });
        }
        let acts = self.at(now, &events);
        (query, acts)
    }

    pub fn ended(&self, s: &Sent, outcome: Outcome) -> Event {
        let (part, replica, attempt, latency) = (s.part, s.replica, s.attempt, self.now - s.at);
        Event::AttemptEnded { part, replica, attempt, latency, outcome, utilization: None }
    }

    /// Rounds every 10 ms up to `until`.
    pub fn idle(&mut self, until: Nanos) {
        while self.now < until {
            let next = (self.now + 10 * MS).min(until);
            self.at(next, &[Event::TimerFired]);
        }
    }

    /// Answers all that is out `latency` later than now, and goes on to then.
    pub fn answer_all(&mut self, latency: Nanos, from: usize) {
        self.now += latency;
        let events: Vec<Event> = self.sent[from..].iter().map(|s| self.ended(s, Outcome::Ok)).collect();
        self.at(self.now, &events);
    }

    pub fn finals(&self, query: RequestId) -> Vec<(Nanos, Action)> {
        let of = |a: &Action| match *a {
            Action::Answer { query: q, .. } | Action::Reject { query: q, .. } | Action::Fail { query: q } => {
                q == query
            }
            _ => false,
        };
        self.acts.iter().filter(|(_, a)| of(a)).cloned().collect()
    }
}
