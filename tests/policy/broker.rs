//! Test harness: drives the policy of one broker with scripted events and records its actions.

use crate::common::*;
use pebbleturn::*;

pub fn full_list() -> Event {
    Event::EndpointList {
        full: true,
        entries: (0..6).map(|n| replica_entry(n, ReplicaState::Active, None)).collect(),
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Sent {
    pub part: RequestId,
    pub replica: ReplicaId,
    pub attempt: u32,
    pub at: Nanos,
}

pub struct ScriptedBroker {
    pub balancer: Balancer,
    pub now: Nanos,
    pub job: u64,
    pub sent: Vec<Sent>,
    pub actions: Vec<(Nanos, Action)>,
}

impl ScriptedBroker {
    pub fn new(settings: Settings) -> ScriptedBroker {
        ScriptedBroker::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> ScriptedBroker {
        let balancer = Balancer::new(settings, seed, 0).expect("usable settings");
        let mut broker = ScriptedBroker { balancer, now: 0, job: 0, sent: vec![], actions: vec![] };
        broker.at(0, &[full_list()]);
        broker
    }

    /// Runs one round and returns its actions.
    pub fn at(&mut self, now: Nanos, events: &[Event]) -> Vec<Action> {
        self.now = now;
        let mut actions = vec![];
        self.balancer.round(now, events, &mut actions);
        for a in &actions {
            if let Action::Send { part, replica, .. } = *a {
                let attempt = self.sent.iter().filter(|s| s.part == part).count() as u32;
                self.sent.push(Sent { part, replica, attempt, at: now });
            }
            self.actions.push((now, a.clone()));
        }
        actions
    }

    /// Sends a query with parts for these shards. The query's id is job * 100, and those of
    /// its parts are job * 100 + 1 + index.
    pub fn query(&mut self, now: Nanos, shards: &[u32], time_left: Nanos) -> (RequestId, Vec<Action>) {
        self.job += 1;
        let (job, parts) = (self.job, shards.len() as u32);
        let query = RequestId(job as u128 * 100);
        let query_event = Event::Query {
            query,
            job,
            class: 0,
            tenant: None,
            time_left,
            parts,
            work: None,
            is_retry: false,
        };
        let mut events = vec![query_event];
        let weight = 1.0 / parts as f64;
        for (i, s) in shards.iter().enumerate() {
            let part = RequestId(query.0 + 1 + i as u128);
            events.push(Event::Part { part, job, shard: *s, weight });
        }
        let actions = self.at(now, &events);
        (query, actions)
    }

    pub fn ended(&self, s: &Sent, outcome: Outcome) -> Event {
        let (part, replica, attempt, latency) = (s.part, s.replica, s.attempt, self.now - s.at);
        Event::AttemptEnded { part, replica, attempt, latency, outcome, utilization: None }
    }

    /// Runs a round every 10 ms up to `until`.
    pub fn idle(&mut self, until: Nanos) {
        while self.now < until {
            let next = (self.now + 10 * MS).min(until);
            self.at(next, &[Event::TimerFired]);
        }
    }

    /// Advances the time by `latency`, then answers all attempts from the one at index `from` on.
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
        self.actions.iter().filter(|(_, a)| of(a)).cloned().collect()
    }
}

/// Runs `n` queries of three parts, 40 ms apart. `latency` returns an attempt's latency, `None` if it has no
/// answer.
pub fn run_queries(
    broker: &mut ScriptedBroker,
    n: u64,
    latency: impl Fn(&Sent) -> Option<Nanos>,
) -> Vec<RequestId> {
    let mut done = vec![false; broker.sent.len()];
    let start = broker.now;
    let mut queries = vec![];
    for step in 0..n * 8 {
        let now = start + (step + 1) * 5 * MS;
        broker.now = now;
        done.resize(broker.sent.len(), false);
        let mut ends = vec![];
        for (s, d) in broker.sent.iter().zip(done.iter_mut()) {
            if !*d && latency(s).is_some_and(|l| s.at + l <= now) {
                *d = true;
                ends.push(broker.ended(s, Outcome::Ok));
            }
        }
        broker.at(now, &ends);
        if step % 8 == 0 {
            queries.push(broker.query(now, &[0, 2, 4], 2 * S).0);
        }
    }
    queries
}

/// Number of attempts that were sent at the same time as the first attempt at their part.
pub fn hedges(broker: &ScriptedBroker) -> usize {
    let first = |s: &Sent| broker.sent.iter().find(|f| f.part == s.part && f.attempt == 0).map(|f| f.at);
    broker.sent.iter().filter(|s| s.attempt > 0 && first(s) == Some(s.at)).count()
}

/// Ends the attempts that are due by `now`: with an answer after 80 ms, or with a time-out after 1 s if lost.
pub fn end_due(broker: &mut ScriptedBroker, now: Nanos, done: &mut Vec<bool>, lost: impl Fn(&Sent) -> bool) {
    broker.now = now;
    done.resize(broker.sent.len(), false);
    let mut ends = vec![];
    for (s, d) in broker.sent.iter().zip(done.iter_mut()) {
        if !*d && s.at + if lost(s) { 1000 * MS } else { 80 * MS } <= now {
            *d = true;
            ends.push(broker.ended(s, if lost(s) { Outcome::TimedOut } else { Outcome::Ok }));
        }
    }
    broker.at(now, &ends);
}
