//! Hundreds of brokers and hundreds of nodes in simulated time: the combined effect of all brokers under
//! faults that would hardly affect a single one.

use crate::restart;
use crate::sim::{
    Counts, Disturbances, EndpointSource, Node, NodeBehavior, NodeModel, World, WorldSettings, uniform,
};
use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::merged_view::DirectoryScope;
use pebbleturn::membership::{NodeState, PartitionLayout, Registry, RegistrySettings};
use pebbleturn::{Nanos, Settings};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
/// The simulated time at which clients start to submit queries, ns.
const START: Nanos = 1_000_000 * S;
/// Time from the start of its successor until a replaced node drains, and from then until it is gone, ns.
const REPLACEMENT: (Nanos, Nanos) = (1500 * MS, 3500 * MS);
/// Time over which six in ten nodes are replaced, ns.
const ROLLOUT_TIME: Nanos = 7 * S;
/// Time for which a lost zone is unavailable, ns.
const ZONE_OUTAGE: Nanos = 5 * S;
/// Time for which a part of the nodes is unreachable, ns.
const SPLIT_TIME: Nanos = 6 * S;
/// Interval at which discovery publishes changes, ns.
const DISCOVERY_PERIOD: Nanos = 450 * MS;

/// The faults that a fleet is subjected to.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Scenario {
    /// No faults.
    Calm,
    /// Six in ten nodes are replaced within seven seconds.
    Replaced,
    /// Every second node is lost without notice for five seconds and comes back cold.
    Zone,
    /// For six seconds a fifth of the nodes is unreachable, answers are lost and connections are reset, while
    /// one in ten nodes is replaced and lists arrive up to three seconds late.
    Split,
}

/// Every scenario.
pub const SCENARIOS: [Scenario; 4] = [Scenario::Calm, Scenario::Replaced, Scenario::Zone, Scenario::Split];

/// The size and load of a fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of brokers; some have several times the mean traffic.
    pub brokers: usize,
    /// Number of nodes; each partition is held by four consecutive ones.
    pub nodes: u32,
    /// Queries per second over all brokers, and the parts of each.
    pub rate: f64,
    /// See `rate`.
    pub parts: u32,
    /// Work of a part, ns.
    pub work: Nanos,
    /// Time for which clients submit queries, ns.
    pub time: Nanos,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet { brokers: 300, nodes: 200, rate: 120.0, parts: 40, work: 35 * MS, time: 20 * S }
    }
}

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// The scenario of the run.
    #[serde(rename = "trouble")]
    pub scenario: Scenario,
    /// Share of the queries' value (their classes' priority weights) that was answered within the latency
    /// objective.
    pub service: f64,
    /// Number of queries answered, refused and failed.
    pub ended: [u64; 3],
    /// Queries without exactly one final outcome in time, and answers that were wrongly marked complete or
    /// below the class's floor.
    pub lost: u64,
    /// See `lost`.
    pub dishonest: u64,
    /// Largest number of attempts at one part.
    pub most_attempts: u32,
    /// Parts sent to a node more than two seconds after the broker learned that it drains.
    pub late_drain_sends: u64,
    /// Cold nodes that crashed from overload, and the most work that a cold node received, in multiples of
    /// its capacity.
    pub cold_falls: u64,
    /// See `cold_falls`.
    pub most_pushed: f64,
    /// Largest number of queries and attempts that one broker held, and the number that all held at the end.
    pub most_held: usize,
    /// See `most_held`.
    pub held_at_end: usize,
}

impl fmt::Display for FleetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [answered, refused, failed] = self.ended;
        write!(
            f,
            "{:?}: service {:.3}; {answered} answered, {refused} refused, {failed} failed; {} lost, {} dishonest, at most {} \
             attempts; {} late drain sends; {} cold falls, pushed to {:.2}; held {} at most, {} at the end",
            self.scenario,
            self.service,
            self.lost,
            self.dishonest,
            self.most_attempts,
            self.late_drain_sends,
            self.cold_falls,
            self.most_pushed,
            self.most_held,
            self.held_at_end
        )
    }
}

fn addr(n: u32, generation: u8) -> SocketAddr {
    SocketAddr::from(([127, generation + 1, (n >> 8) as u8, n as u8], 80))
}

fn endpoint(n: u32, generation: u8, state: NodeState, started: Nanos) -> Endpoint {
    Endpoint {
        id: format!("n-{n}-{generation}"),
        addr: addr(n, generation).to_string(),
        zone: Some(if n.is_multiple_of(2) { "a" } else { "b" }.into()),
        kind: String::new(),
        cell: n,
        state,
        started_ms: started / MS,
    }
}

/// Changes of nodes: when, at which address, how it responds from then on, and the record that discovery
/// publishes.
type Timeline = Vec<(Nanos, SocketAddr, Option<NodeBehavior>, Option<Endpoint>)>;

/// Replaces a node: its successor starts at `at`, and the node drains after that.
fn replacement(n: u32, at: Nanos) -> Timeline {
    let (drains, gone) = (at + REPLACEMENT.0, at + REPLACEMENT.0 + REPLACEMENT.1);
    let listed = |state| Some(endpoint(n, 0, state, 0));
    vec![
        (at, addr(n, 1), Some(NodeBehavior::Serving), Some(endpoint(n, 1, NodeState::Ready, at))),
        // It rejects new parts only after all brokers have had time to learn of the drain.
        (drains, addr(n, 0), None, listed(NodeState::Terminating)),
        (drains + 2 * S, addr(n, 0), Some(NodeBehavior::Draining), None),
        (gone, addr(n, 0), Some(NodeBehavior::RefusesConnections), listed(NodeState::Gone)),
    ]
}

impl Fleet {
    /// The brokers' settings: the users' classes with a quarter of their latency objective and a third of
    /// their deadline.
    pub fn settings(&self) -> Settings {
        let scene = restart::Scenario {
            nodes: self.nodes,
            brokers: self.brokers,
            partitions: 2 * self.nodes,
            ..restart::Scenario::default()
        };
        let mut settings = scene.settings();
        for class in &mut settings.classes {
            (class.latency_objective, class.deadline) = (class.latency_objective / 4, class.deadline / 3);
        }
        Settings { call_work: 3 * MS, max_in_flight: 300, ..settings }
    }

    fn model(&self, settings: &Settings) -> NodeModel {
        NodeModel {
            cores: 2,
            cold_share: settings.slow_start_share,
            cold_time: settings.slow_start_time,
            overload_multiple: settings.overload_multiple,
            overload_time: settings.overload_time,
            queue: 40,
        }
    }

    fn timeline(&self, scenario: Scenario, rng: &mut Pcg64Mcg) -> Timeline {
        let mut timeline = Timeline::new();
        for n in 0..self.nodes {
            let (chance, at) = (uniform(rng), START + 3 * S + (uniform(rng) * ROLLOUT_TIME as f64) as Nanos);
            match scenario {
                Scenario::Replaced if chance < 0.6 => timeline.extend(replacement(n, at)),
                Scenario::Zone if n.is_multiple_of(2) => {
                    let (lost, back) = (START + 4 * S, START + 4 * S + ZONE_OUTAGE);
                    let (gone, new) =
                        (endpoint(n, 0, NodeState::Gone, 0), endpoint(n, 1, NodeState::Ready, back));
                    timeline.push((lost, addr(n, 0), Some(NodeBehavior::Unreachable), None));
                    timeline.push((lost + 3 * S, addr(n, 0), None, Some(gone)));
                    timeline.push((back, addr(n, 1), Some(NodeBehavior::Serving), Some(new)));
                }
                Scenario::Split if chance < 0.2 => {
                    timeline.push((START + 4 * S, addr(n, 0), Some(NodeBehavior::Unreachable), None));
                    timeline.push((
                        START + 4 * S + SPLIT_TIME,
                        addr(n, 0),
                        Some(NodeBehavior::ReachableAgain),
                        None,
                    ));
                }
                // Replaces some nodes, since delayed updates only matter if there are changes to publish.
                Scenario::Split if chance < 0.3 => timeline.extend(replacement(n, at)),
                _ => {}
            }
        }
        timeline.sort_by_key(|(t, ..)| *t);
        timeline
    }

    /// The updates that discovery publishes for these changes: one version for each period that has changes.
    fn discovery_updates(timeline: &Timeline) -> Vec<(Nanos, EndpointList)> {
        let mut updates: Vec<(Nanos, EndpointList)> = Vec::new();
        for (at, endpoint) in timeline.iter().filter_map(|(at, _, _, endpoint)| Some((at, endpoint.clone()?)))
        {
            let published = at.next_multiple_of(DISCOVERY_PERIOD);
            let version = 2 + updates.len() as u64;
            match updates.last_mut().filter(|(t, _)| *t == published) {
                Some((_, list)) => list.servers.push(endpoint),
                None => updates.push((
                    published,
                    EndpointList { version, full: false, as_of_ms: None, servers: vec![endpoint] },
                )),
            }
        }
        updates
    }

    /// Simulates the fleet in one scenario.
    pub fn run(&self, scenario: Scenario, seed: u64) -> FleetReport {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let settings = self.settings();
        let model = self.model(&settings);
        let timeline = self.timeline(scenario, &mut rng);
        let mut nodes: HashMap<SocketAddr, Node> = HashMap::new();
        for n in 0..self.nodes {
            nodes.insert(addr(n, 0), Node::new(n, 0, &model));
            // Nothing listens at a successor's address until it starts.
            let mut successor = Node::new(n, 0, &model);
            successor.behavior = NodeBehavior::RefusesConnections;
            nodes.insert(addr(n, 1), successor);
        }
        let list = EndpointList {
            version: 1,
            full: true,
            as_of_ms: Some(START / MS),
            servers: (0..self.nodes).map(|n| endpoint(n, 0, NodeState::Ready, 0)).collect(),
        };
        let source = |broker: u64| {
            let mut registry = Registry::new(RegistrySettings {
                layout: PartitionLayout { cells: self.nodes, span: settings.span },
                warm_up: settings.slow_start_time,
                mean_change_interval: 24 * 3600 * S,
                default_list_age: 300 * S,
                silence_timeout: 100 * MS,
                zones: HashMap::from([("a".into(), 0), ("b".into(), 1)]),
                directory_scope: DirectoryScope::AllNodes,
                kinds: vec![],
                seed: seed ^ broker << 32 | broker,
            });
            registry.add_configured(&list, START);
            EndpointSource::Registry(Box::new(registry))
        };
        let sources = (0..self.brokers as u64).map(source).collect();
        // One broker in ten has four times the traffic of the others.
        let traffic = (0..self.brokers).map(|n| if n % 10 == 0 { 4.0 } else { 1.0 }).collect();
        let split = scenario == Scenario::Split;
        let disturbances = Disturbances {
            traffic,
            discovery_updates: Fleet::discovery_updates(&timeline),
            max_update_delay: if split { 3 * S } else { 300 * MS },
            answer_faults: split.then_some((START + 4 * S, START + 4 * S + SPLIT_TIME, 0.01, 0.01)),
        };
        let script =
            timeline.into_iter().filter_map(|(at, addr, behavior, _)| Some((at, addr, behavior?))).collect();
        let config = WorldSettings {
            settings,
            classes: vec![
                (0.62, self.parts, self.work),
                (0.26, self.parts, self.work),
                (0.12, self.parts, self.work),
            ],
            rate: self.rate,
            model,
            from: START,
            until: START + self.time,
            script,
            disturbances,
            seed,
        };
        let (c, _): (Counts, Nanos) = World::new(config, nodes, sources, &HashSet::new()).run();
        FleetReport {
            scenario,
            service: (c.served_value / c.requested_value * 1e4).round() / 1e4,
            ended: [c.answered, c.refused, c.failed],
            lost: c.lost,
            dishonest: c.dishonest,
            most_attempts: c.most_attempts,
            late_drain_sends: c.late_drain_sends,
            cold_falls: c.cold_falls,
            most_pushed: (c.most_pushed * 1e3).round() / 1e3,
            most_held: c.most_held,
            held_at_end: c.held_at_end,
        }
    }
}
