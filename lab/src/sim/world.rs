//! Brokers, nodes and clients in simulated time.

use super::node::{Node, NodeBehavior, NodeModel};
use super::{exponential, uniform};
use pebbleturn::engine::{
    AttemptId, AttemptOutcome, EngineAction, PartRequest, QueryEngine, QueryId, QueryOutcome, QueryRequest,
};
use pebbleturn::membership::endpoint_list::EndpointList;
use pebbleturn::membership::{NodeChange, Registry};
use pebbleturn::routing::Routing;
use pebbleturn::{Nanos, Outcome, ReplicaEntry, ReplicaId, ReplicaState, Settings};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// One-way network latency, ns.
const NETWORK_LATENCY: Nanos = 1_000_000;
/// Connect timeout, ns.
const CONNECT_TIMEOUT: Nanos = 250_000_000;
/// Time that a broker has to stop sending to a node after learning that it drains, ns.
const DRAIN_GRACE: Nanos = 2_000_000_000;

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct WorldSettings {
    /// The brokers' settings.
    pub settings: Settings,
    /// For each class: its share of the queries, the parts of a query, and the work of a part.
    pub classes: Vec<(f64, u32, Nanos)>,
    /// Queries per second over all brokers.
    pub rate: f64,
    /// The model of the nodes.
    pub model: NodeModel,
    /// When clients start and stop submitting queries.
    pub from: Nanos,
    /// See `from`.
    pub until: Nanos,
    /// Changes of nodes' behavior: when, at which address, and the new behavior.
    pub script: Vec<(Nanos, SocketAddr, NodeBehavior)>,
    /// Uneven traffic, discovery updates and lost answers.
    pub disturbances: Disturbances,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Disturbances of a fleet other than the scripted changes of its nodes; none by default.
#[derive(Clone, Debug, Default)]
pub struct Disturbances {
    /// Relative share of the queries that each broker gets; if empty, all brokers get the same.
    pub traffic: Vec<f64>,
    /// Updates that discovery publishes and when, and the longest delay until one reaches a broker.
    pub discovery_updates: Vec<(Nanos, EndpointList)>,
    /// See `discovery_updates`.
    pub max_update_delay: Nanos,
    /// Start and end of a period in which answers are lost or their connections are reset, and the share of
    /// each.
    pub answer_faults: Option<(Nanos, Nanos, f64, f64)>,
}

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Total value (the class's priority weight) of all queries, and of those answered within the latency
    /// objective.
    pub requested_value: f64,
    /// See `requested_value`.
    pub served_value: f64,
    /// Number of queries answered, refused and failed.
    pub answered: u64,
    /// See `answered`.
    pub refused: u64,
    /// See `answered`.
    pub failed: u64,
    /// Parts sent to a node more than two seconds after the broker learned that it drains.
    pub late_drain_sends: u64,
    /// Nodes that crashed from overload while cold.
    pub cold_falls: u64,
    /// Queries without exactly one final outcome before their deadline.
    pub lost: u64,
    /// Answers marked complete with parts missing, or with a smaller share of parts than the class's floor.
    pub dishonest: u64,
    /// Largest number of attempts at one part.
    pub most_attempts: u32,
    /// Most work that a cold node received within the overload time, in multiples of its capacity.
    pub most_pushed: f64,
    /// Largest number of open queries and attempts in flight at one broker, and their total over all brokers
    /// at the end.
    pub most_held: usize,
    /// See `most_held`.
    pub held_at_end: usize,
}

/// Where a broker gets its endpoint list from.
pub enum EndpointSource {
    /// Entries that are used unchanged.
    Fixed(Vec<(ReplicaEntry, SocketAddr)>),
    /// A node registry that already has the data of its sources.
    Registry(Box<Registry>),
    /// A node registry followed by an operator's routing rules.
    Routed(Box<Registry>, Box<Routing>),
}

/// One broker: a query engine, with or without a node registry and routing rules in front of it.
pub struct Broker {
    engine: QueryEngine<QueryPayload, ()>,
    registry: Option<Box<Registry>>,
    routing: Option<Box<Routing>>,
    addrs: HashMap<ReplicaId, SocketAddr>,
    /// Nodes known to drain, and since when; 0 if since before the start.
    drains: HashMap<SocketAddr, Nanos>,
    scheduled: Option<Nanos>,
}

/// The payload of a query: its number, and the work of a part.
struct QueryPayload {
    number: u64,
    work: Nanos,
}

/// A query whose outcome is awaited or known.
struct SubmittedQuery {
    class: usize,
    at: Nanos,
    final_outcomes: u32,
    late: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The script entry with this index is applied.
    NodeChanges(usize),
    Query,
    AttemptEnds {
        broker: usize,
        attempt: AttemptId,
        outcome_index: u8,
    },
    Due {
        broker: usize,
    },
    /// The discovery update with this index reaches a broker.
    DiscoveryUpdate {
        broker: usize,
        number: usize,
    },
}

const OUTCOMES: [Outcome; 5] = [
    Outcome::Ok,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::ConnectionReset,
    Outcome::InvalidResponse,
];

/// A simulated fleet and its clients.
pub struct World {
    config: WorldSettings,
    rng: Pcg64Mcg,
    nodes: HashMap<SocketAddr, Node>,
    brokers: Vec<Broker>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    serial: u64,
    queries: HashMap<(usize, QueryId), SubmittedQuery>,
    counts: Counts,
    latencies: Vec<Nanos>,
    attempts: HashMap<(u64, u32), u32>,
    sent: Option<Vec<(Nanos, SocketAddr)>>,
}

impl World {
    /// Creates a world with these nodes, by address, and one broker for each endpoint source. `drains`: the
    /// addresses of nodes that every broker knew to drain before its restart.
    pub fn new(
        config: WorldSettings,
        nodes: HashMap<SocketAddr, Node>,
        sources: Vec<EndpointSource>,
        drains: &HashSet<SocketAddr>,
    ) -> World {
        let (now, seed) = (config.from, config.seed);
        let mut brokers = Vec::new();
        for (n, source) in sources.into_iter().enumerate() {
            let mut engine = QueryEngine::new(config.settings.clone(), seed ^ (n as u64 + 1), now)
                .expect("valid settings");
            let mut addrs = HashMap::new();
            let (registry, routing) = match source {
                EndpointSource::Fixed(lines) => {
                    addrs.extend(lines.iter().map(|(l, a)| (l.replica, *a)));
                    engine.update_endpoints(true, lines.into_iter().map(|(l, _)| l).collect());
                    (None, None)
                }
                EndpointSource::Registry(registry) => (Some(registry), None),
                EndpointSource::Routed(registry, routing) => (Some(registry), Some(routing)),
            };
            let drains = drains.iter().map(|a| (*a, 0)).collect();
            brokers.push(Broker { engine, registry, routing, addrs, drains, scheduled: None });
        }
        let mut world = World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            config,
            nodes,
            brokers,
            queue: BinaryHeap::new(),
            serial: 0,
            queries: HashMap::new(),
            counts: Counts::default(),
            latencies: Vec::new(),
            attempts: HashMap::new(),
            sent: None,
        };
        for b in 0..world.brokers.len() {
            world.run_broker(b, now);
            // Updates are delayed at random, but reach a broker in the order of their publication.
            let mut before = 0;
            for number in 0..world.config.disturbances.discovery_updates.len() {
                let delay =
                    (uniform(&mut world.rng) * world.config.disturbances.max_update_delay as f64) as Nanos;
                before = before.max(world.config.disturbances.discovery_updates[number].0 + delay);
                world.schedule(before, Event::DiscoveryUpdate { broker: b, number });
            }
        }
        world.schedule(now, Event::Query);
        for n in 0..world.config.script.len() {
            world.schedule(world.config.script[n].0, Event::NodeChanges(n));
        }
        world
    }

    /// Enables recording of every part that is sent: when, and to which address.
    pub fn recording_sent_parts(mut self) -> World {
        self.sent = Some(Vec::new());
        self
    }

    fn schedule(&mut self, when: Nanos, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((when, self.serial, event)));
    }

    /// Runs the simulation to its end. Returns the counts and the 99th percentile of the latencies of
    /// answers.
    pub fn run(self) -> (Counts, Nanos) {
        let (counts, p99, _) = self.run_with_sent_parts();
        (counts, p99)
    }

    /// Like `run`, and also returns the parts that were sent if their recording is enabled.
    pub fn run_with_sent_parts(mut self) -> (Counts, Nanos, Vec<(Nanos, SocketAddr)>) {
        let longest_deadline = self.config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let end = self.config.until + longest_deadline + 1_000_000_000;
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            if now > end {
                break;
            }
            match event {
                Event::NodeChanges(n) => {
                    let (_, addr, behavior) = self.config.script[n];
                    if let Some(node) = self.nodes.get_mut(&addr) {
                        // A node that serves again after any other behavior is a new process, and cold.
                        if behavior == NodeBehavior::Serving && node.behavior != NodeBehavior::Serving {
                            node.started = now;
                        }
                        node.behavior = behavior;
                    }
                }
                Event::Query => self.submit_query(now),
                Event::AttemptEnds { broker, attempt, outcome_index } => {
                    let outcome = OUTCOMES[outcome_index as usize];
                    let b = &mut self.brokers[broker];
                    let value = (outcome == Outcome::Ok).then_some(());
                    b.engine.attempt_ended(
                        now,
                        attempt,
                        AttemptOutcome { outcome, utilization: None, value },
                    );
                    self.run_broker(broker, now);
                }
                Event::DiscoveryUpdate { broker, number } => {
                    if let Some(registry) = &mut self.brokers[broker].registry {
                        registry.on_discovery_update(
                            &self.config.disturbances.discovery_updates[number].1,
                            number == 0,
                            now,
                        );
                    }
                    self.run_broker(broker, now);
                }
                Event::Due { broker } => {
                    if self.brokers[broker].scheduled == Some(now) {
                        self.brokers[broker].scheduled = None;
                        self.run_broker(broker, now);
                    }
                }
            }
        }
        self.counts.lost += self.queries.values().filter(|q| q.final_outcomes != 1 || q.late).count() as u64;
        self.counts.cold_falls = self.nodes.values().filter(|n| n.crashed).count() as u64;
        self.counts.most_pushed = self.nodes.values().map(|n| n.most_pushed).fold(0.0, f64::max);
        self.counts.most_attempts = self.attempts.values().copied().max().unwrap_or(0);
        let held = |b: &Broker| b.engine.open_queries() + b.engine.attempts_in_flight();
        self.counts.held_at_end = self.brokers.iter().map(held).sum();
        self.latencies.sort_unstable();
        let p99 = self.latencies.get(self.latencies.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0);
        (self.counts, p99, self.sent.unwrap_or_default())
    }

    fn submit_query(&mut self, now: Nanos) {
        let gap = exponential(&mut self.rng, 1e9 / self.config.rate) as Nanos;
        if now + gap < self.config.until {
            self.schedule(now + gap, Event::Query);
        }
        let mut x = uniform(&mut self.rng);
        let shares = self.config.classes.iter().position(|(share, ..)| {
            x -= share;
            x < 0.0
        });
        let class = shares.unwrap_or(0);
        let (_, parts, work) = self.config.classes[class];
        let shards = self.config.settings.shards;
        let first = (uniform(&mut self.rng) * f64::from(shards)) as u32;
        let weight = 1.0 / f64::from(parts);
        let part = |n| PartRequest { shard: (first + n) % shards, weight, work: Some(work) };
        let broker = self.draw_broker();
        let c = &self.config.settings.classes[class];
        self.counts.requested_value += c.priority_weight;
        let request = QueryRequest {
            class,
            tenant: None,
            key: None,
            time_left: c.deadline,
            is_retry: false,
            parts: (0..parts).map(part).collect(),
            payload: Rc::new(QueryPayload { number: self.serial, work }),
        };
        match self.brokers[broker].engine.submit(now, request) {
            Ok(id) => {
                self.queries
                    .insert((broker, id), SubmittedQuery { class, at: now, final_outcomes: 0, late: false });
            }
            Err(_) => self.counts.refused += 1,
        }
        self.run_broker(broker, now);
    }

    /// Draws the broker that receives a query.
    fn draw_broker(&mut self) -> usize {
        let x = uniform(&mut self.rng);
        let traffic = &self.config.disturbances.traffic;
        let mut left = x * traffic.iter().sum::<f64>();
        let drawn = traffic.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        drawn.unwrap_or((x * self.brokers.len() as f64) as usize)
    }

    /// Runs a broker: applies membership changes, executes the engine's actions and schedules its next
    /// deadline.
    fn run_broker(&mut self, broker: usize, now: Nanos) {
        let b = &mut self.brokers[broker];
        if let Some(registry) = &mut b.registry {
            while let Some(end) = b.engine.next_attempt_end() {
                registry.on_attempt_end(end.replica, end.outcome, end.latency, now);
                if let Some(routing) = &mut b.routing {
                    routing.on_attempt_end(end.replica, end.outcome, now);
                }
            }
            registry.tick(now);
            let mut changes = registry.take_changes();
            if let Some(routing) = &mut b.routing {
                routing.tick(now);
                if let Some(changes) = changes {
                    routing.on_membership_changes(changes, now);
                }
                changes = routing.take_changes();
            }
            if let Some(changes) = changes {
                let mut lines = Vec::with_capacity(changes.len());
                for NodeChange { entry, addr, .. } in changes {
                    match addr {
                        Some(addr) if entry.state == ReplicaState::Draining => {
                            b.drains.entry(addr).or_insert(now);
                        }
                        // The node was only held back and does not drain. A drain known since before the
                        // start (time 0) is kept.
                        Some(addr) if b.drains.get(&addr).is_some_and(|t| *t > 0) => {
                            b.drains.remove(&addr);
                        }
                        _ => {}
                    }
                    match addr {
                        Some(addr) if entry.state != ReplicaState::Removed => {
                            b.addrs.insert(entry.replica, addr)
                        }
                        _ => b.addrs.remove(&entry.replica),
                    };
                    lines.push(entry);
                }
                b.engine.update_endpoints(false, lines);
            }
            registry.take_warmed_up().into_iter().for_each(|replica| b.engine.replica_warmed_up(replica));
        }
        b.engine.advance(now);
        let mut work = Vec::new();
        while let Some(w) = b.engine.next_action() {
            work.push(w);
        }
        for w in work {
            match w {
                EngineAction::Call { replica, parts } => {
                    for p in parts {
                        let attempts = self.attempts.entry((p.payload.number, p.shard)).or_default();
                        *attempts += 1;
                        self.send(broker, replica, p.attempt, p.payload.work, now);
                    }
                }
                EngineAction::Respond { query, outcome: answer } => {
                    self.record_outcome(broker, query, &answer, now)
                }
                EngineAction::CancelAttempt { .. }
                | EngineAction::WatchEndpoints
                | EngineAction::HealthCheck { .. } => {}
            }
        }
        let b = &self.brokers[broker];
        let held = b.engine.open_queries() + b.engine.attempts_in_flight();
        self.counts.most_held = self.counts.most_held.max(held);
        let routing = b.routing.as_ref().and_then(|r| r.next_deadline(now));
        let due = [b.engine.next_deadline(), b.registry.as_ref().and_then(|r| r.next_deadline()), routing];
        let due = due.into_iter().flatten().min();
        if let Some(due) = due.map(|t| t.max(now + 1))
            && b.scheduled.is_none_or(|t| due < t || t <= now)
        {
            self.brokers[broker].scheduled = Some(due);
            self.schedule(due, Event::Due { broker });
        }
    }

    fn send(&mut self, broker: usize, replica: ReplicaId, attempt: AttemptId, work: Nanos, now: Nanos) {
        let b = &mut self.brokers[broker];
        let Some(addr) = b.addrs.get(&replica).copied() else {
            return self.schedule(now, Event::AttemptEnds { broker, attempt, outcome_index: 2 });
        };
        if let Some(sent) = &mut self.sent {
            sent.push((now, addr));
        }
        let draining_since = b.drains.get(&addr);
        self.counts.late_drain_sends += u64::from(draining_since.is_some_and(|t| now > t + DRAIN_GRACE));
        // The work of a part varies between 0.7 and 1.3 times its nominal value.
        let work = (work as f64 * (0.7 + 0.6 * uniform(&mut self.rng))) as Nanos;
        let ended = match self.nodes.get_mut(&addr) {
            Some(node) if node.behavior == NodeBehavior::Unreachable && !node.crashed => None,
            Some(node) => node.handle_part(now + NETWORK_LATENCY, work, &self.config.model),
            None => Some((now + NETWORK_LATENCY, Outcome::ConnectFailed)),
        };
        let answer_faults =
            self.config.disturbances.answer_faults.filter(|(from, until, ..)| (*from..*until).contains(&now));
        let (lost, reset) = answer_faults.map_or((0.0, 0.0), |(_, _, lost, reset)| (lost, reset));
        let chance = if answer_faults.is_some() { uniform(&mut self.rng) } else { 1.0 };
        let (when, outcome) = match ended {
            // The answer is lost.
            Some(_) if chance < lost => return,
            Some((when, _)) if chance < lost + reset => (when + NETWORK_LATENCY, Outcome::ConnectionReset),
            Some((when, outcome)) => (when + NETWORK_LATENCY, outcome),
            // The connect timeout expires.
            None => (now + CONNECT_TIMEOUT, Outcome::ConnectFailed),
        };
        let outcome_index = OUTCOMES.iter().position(|o| *o == outcome).unwrap_or(2) as u8;
        self.schedule(when, Event::AttemptEnds { broker, attempt, outcome_index });
    }

    fn record_outcome(&mut self, broker: usize, query: QueryId, answer: &QueryOutcome<()>, now: Nanos) {
        let Some(q) = self.queries.get_mut(&(broker, query)) else { return };
        let class = &self.config.settings.classes[q.class];
        q.final_outcomes += 1;
        q.late |= now > q.at + class.deadline;
        let time = now - q.at;
        match answer {
            QueryOutcome::Answered(a) => {
                self.counts.answered += 1;
                self.latencies.push(time);
                let share = a.values.len() as f64 / a.requested_parts as f64;
                let short = a.complete && a.values.len() < a.requested_parts;
                self.counts.dishonest +=
                    u64::from(short || share + 1e-4 < class.min_answer_share.min(class.complete_share));
                let value = if a.complete { 1.0 } else { class.partial_value * share };
                self.counts.served_value +=
                    if time <= class.latency_objective { class.priority_weight * value } else { 0.0 };
            }
            QueryOutcome::Rejected { .. } => self.counts.refused += 1,
            QueryOutcome::Failed => self.counts.failed += 1,
        }
    }
}
