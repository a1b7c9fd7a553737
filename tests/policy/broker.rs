//! One broker's decisions under test: scripted events in, actions out.

use crate::common::*;
use pebbleturn::*;

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

/// Plays `n` queries of three parts, 40 ms apart; `latency` says how long an attempt takes, `None`: for ever.
pub fn play(r: &mut Root, n: u64, latency: impl Fn(&Sent) -> Option<Nanos>) -> Vec<RequestId> {
    let mut done = vec![false; r.sent.len()];
    let start = r.now;
    let mut queries = vec![];
    for step in 0..n * 8 {
        let now = start + (step + 1) * 5 * MS;
        r.now = now;
        done.resize(r.sent.len(), false);
        let mut ends = vec![];
        for (s, d) in r.sent.iter().zip(done.iter_mut()) {
            if !*d && latency(s).is_some_and(|l| s.at + l <= now) {
                *d = true;
                ends.push(r.ended(s, Outcome::Ok));
            }
        }
        r.at(now, &ends);
        if step % 8 == 0 {
            queries.push(r.query(now, &[0, 2, 4], 2 * S).0);
        }
    }
    queries
}

pub fn twins(r: &Root) -> usize {
    let first = |s: &Sent| r.sent.iter().find(|f| f.part == s.part && f.attempt == 0).map(|f| f.at);
    r.sent.iter().filter(|s| s.attempt > 0 && first(s) == Some(s.at)).count()
}

/// Ends what has run for 80 ms, or 1 s where it is lost.
pub fn end_some(r: &mut Root, now: Nanos, done: &mut Vec<bool>, lost: impl Fn(&Sent) -> bool) {
    r.now = now;
    done.resize(r.sent.len(), false);
    let mut ends = vec![];
    for (s, d) in r.sent.iter().zip(done.iter_mut()) {
        if !*d && s.at + if lost(s) { 1000 * MS } else { 80 * MS } <= now {
            *d = true;
            ends.push(r.ended(s, if lost(s) { Outcome::TimedOut } else { Outcome::Ok }));
        }
    }
    r.at(now, &ends);
}
