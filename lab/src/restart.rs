//! All brokers restart while discovery is unavailable: the service that they give at once, by the age of
//! their endpoint list and by the trust that they place in it.

use crate::sim::{
    Disturbances, EndpointSource, Node, NodeBehavior, NodeModel, World, WorldSettings, exponential, uniform,
};
use pebbleturn::membership::merged_view::DirectoryScope;
use pebbleturn::membership::snapshot::{Snapshot, SnapshotNode};
use pebbleturn::membership::staleness::ChangeRate;
use pebbleturn::membership::{NodeRecord, NodeState, PartitionLayout, Registry, RegistrySettings};
use pebbleturn::{Class, Discovery, Idempotency, Nanos, ReplicaEntry, ReplicaId, ReplicaState, Settings};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::SeedableRng;
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const HOUR: Nanos = 3600 * S;

/// Measured ages of the list, in seconds, with their names.
pub const AGES: [(u64, &str); 5] =
    [(1, "1 s"), (60, "1 min"), (600, "10 min"), (3600, "1 h"), (86_400, "1 day")];

/// The endpoint list that the brokers start with.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Arm {
    /// No list.
    None,
    /// The old list, trusted fully.
    Full,
    /// The old list, with trust weighed by its age.
    Weighed,
    /// The entries of the old list that are still correct: the upper bound without an update.
    Possible,
    /// The list of the present state.
    Right,
}

/// Every arm, in the order of the output.
pub const ARMS: [Arm; 5] = [Arm::None, Arm::Full, Arm::Weighed, Arm::Possible, Arm::Right];

/// The measurement for one age and arm.
#[derive(Clone, Debug, Serialize)]
pub struct RestartResult {
    /// Age of the list, seconds.
    pub age_s: u64,
    pub arm: Arm,
    /// Priority weight of the queries answered within their latency objective in the first 10 s, over that of
    /// all queries sent.
    pub service: f64,
    /// 99th percentile of response times, ms.
    pub p99_ms: f64,
    /// Parts sent to nodes that the broker knew to be draining.
    pub late_drain_sends: u64,
    /// Nodes that failed under overload while cold.
    pub cold_falls: u64,
    /// Queries without exactly one final answer in time.
    pub lost: u64,
}

impl RestartResult {
    pub const TABLE_HEADER: &str = "  age_s      arm  service  p99_ms  late drains  cold falls  lost";
}

impl fmt::Display for RestartResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let arm = format!("{:?}", self.arm).to_lowercase();
        write!(
            f,
            "{:>7} {arm:>8} {:>8.4} {:>7.0} {:>12} {:>11} {:>5}",
            self.age_s, self.service, self.p99_ms, self.late_drain_sends, self.cold_falls, self.lost
        )
    }
}

/// The fleet and how it changes.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Nodes, and brokers.
    pub nodes: u32,
    /// See `nodes`.
    pub brokers: usize,
    /// Partitions; each is held by four consecutive nodes.
    pub partitions: u32,
    /// Queries a second, all brokers together.
    pub rate: f64,
    /// Mean time between two changes of a node.
    pub changes_every: Nanos,
    /// Share of the changes that are restarts in place; of those, the share that happen together with the
    /// brokers' restart.
    pub restarts: f64,
    /// See `restarts`.
    pub together: f64,
    /// Random worlds simulated for each age.
    pub worlds: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            nodes: 16,
            brokers: 3,
            partitions: 32,
            rate: 14.0,
            changes_every: 24 * HOUR,
            restarts: 0.75,
            together: 0.5,
            worlds: 20,
        }
    }
}

const HOLDERS_PER_PARTITION: u32 = 4;
/// Share of its capacity that a node has just after its start, and the duration of its slow start.
const SLOW_START: (f64, Nanos) = (0.19, 14 * S);
/// The time at which brokers restart.
const RESTART_TIME: Nanos = 1_000_000 * S;

impl Scenario {
    /// The brokers' settings: the three classes of the users' deployment.
    pub fn settings(&self) -> Settings {
        let class = |aim: Nanos, deadline: Nanos, worth: f64, late: f64, floor: f64| Class {
            idempotency: Idempotency::Idempotent,
            latency_objective: aim,
            objective_per_work: 0.0,
            deadline,
            priority_weight: worth,
            late_weight: late,
            complete_share: 1.0,
            min_answer_share: floor,
            partial_value: 0.9,
            fetch_parts: 0,
        };
        Settings {
            classes: vec![
                class(2000 * MS, 4000 * MS, 1.0, 0.3, 1.0),
                class(2500 * MS, 5000 * MS, 5.0, 0.0, 0.8),
                class(3000 * MS, 7500 * MS, 2.0, 0.3, 1.0),
            ],
            tenants: vec![],
            over_quota_weight: 1.0,
            brokers: self.brokers as u32,
            zone: 0,
            shards: self.partitions,
            cells: self.nodes,
            span: HOLDERS_PER_PARTITION,
            parts_per_call: 16,
            call_work: 0,
            discovery: Discovery::Pushed,
            max_poll_interval: 10 * S,
            may_cancel: true,
            may_health_check: false,
            may_hedge: true,
            max_attempts: 3,
            max_in_flight: 400,
            may_send_retry_after: true,
            max_retry_after: 2 * S,
            retry_budget: None,
            answer_slack: 50 * MS,
            slow_start_share: SLOW_START.0,
            slow_start_time: SLOW_START.1,
            overload_multiple: 3.0,
            overload_time: 1500 * MS,
            round_interval: 5 * MS,
            late_failure_cost: 0.0,
        }
    }

    fn model(&self) -> NodeModel {
        NodeModel {
            cores: 2,
            cold_share: SLOW_START.0,
            cold_time: SLOW_START.1,
            overload_multiple: 3.0,
            overload_time: 1500 * MS,
            queue: 64,
        }
    }

    fn draw_fleet(&self, age: Nanos, seed: u64) -> DrawnFleet {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let model = self.model();
        let old = |n: u32, state| NodeRecord {
            id: format!("n-{n}"),
            addr: Some(addr(n, 0)),
            zone: "a".into(),
            kind: String::new(),
            cell: n,
            state,
            started: 0,
        };
        let mut drawn =
            DrawnFleet { nodes: HashMap::new(), old: vec![], last_known: vec![], current: vec![] };
        for n in 0..self.nodes {
            // The last update before the restart reported one node as draining, and the node has gone since.
            let drains = n == (seed % u64::from(self.nodes)) as u32;
            drawn.old.push(old(n, NodeState::Ready));
            drawn.last_known.push(old(n, if drains { NodeState::Terminating } else { NodeState::Ready }));
            let changed = exponential(&mut rng, self.changes_every as f64) < age as f64;
            let kind_draw = uniform(&mut rng);
            let is_recent = uniform(&mut rng) < self.together;
            let mut node = Node::new(n, 0, &model);
            if drains {
                node.behavior = NodeBehavior::Draining;
            } else if changed && kind_draw < self.restarts {
                let before =
                    if is_recent { uniform(&mut rng) * 10e9 } else { uniform(&mut rng) * age as f64 };
                node.started = RESTART_TIME - (before as Nanos).min(age);
                let record = NodeRecord { started: node.started, ..old(n, NodeState::Ready) };
                drawn.current.push(record);
            } else if changed {
                // Moved, with its old address refusing connections or used by another program; gone with its
                // machine; or draining.
                let change_draw = (kind_draw - self.restarts) / (1.0 - self.restarts);
                node.behavior = match change_draw {
                    w if w < 0.25 => NodeBehavior::RefusesConnections,
                    w if w < 0.5 => NodeBehavior::OtherProgram,
                    w if w < 0.8 => NodeBehavior::Unreachable,
                    _ => NodeBehavior::Draining,
                };
                if change_draw < 0.5 {
                    let moved = addr(n, 1);
                    drawn.nodes.insert(moved, Node::new(n, 0, &model));
                    drawn.current.push(NodeRecord { addr: Some(moved), ..old(n, NodeState::Ready) });
                }
            } else {
                drawn.current.push(old(n, NodeState::Ready));
            }
            drawn.nodes.insert(addr(n, 0), node);
        }
        drawn
    }

    /// Simulates one world.
    fn run_world(&self, age: Nanos, arm: Arm, seed: u64) -> (crate::sim::Counts, Nanos) {
        let drawn = self.draw_fleet(age, seed);
        let known = drawn.last_known.iter().filter(|f| f.state != NodeState::Ready).filter_map(|f| f.addr);
        let drains: HashSet<SocketAddr> = known.collect();
        let listing = |broker: u64| match arm {
            Arm::None => EndpointSource::Fixed(vec![]),
            Arm::Full => EndpointSource::Fixed(replica_entries(&drawn.old)),
            Arm::Right => EndpointSource::Fixed(replica_entries(&drawn.current)),
            Arm::Possible => {
                let holds = |f: &&NodeRecord| drawn.old.iter().any(|o| o.addr == f.addr);
                EndpointSource::Fixed(replica_entries(
                    &drawn.current.iter().filter(holds).cloned().collect::<Vec<_>>(),
                ))
            }
            Arm::Weighed => {
                let mut registry = Registry::new(RegistrySettings {
                    layout: PartitionLayout { cells: self.nodes, span: HOLDERS_PER_PARTITION },
                    warm_up: SLOW_START.1,
                    mean_change_interval: self.changes_every,
                    default_list_age: 300 * S,
                    silence_timeout: 400 * MS,
                    zones: HashMap::new(),
                    directory_scope: DirectoryScope::AllNodes,
                    kinds: vec![],
                    seed: seed ^ broker << 32 | broker,
                });
                registry.restore(&[snapshot_of(&drawn.last_known, RESTART_TIME - age)], RESTART_TIME);
                EndpointSource::Registry(Box::new(registry))
            }
        };
        let world_settings = WorldSettings {
            settings: self.settings(),
            classes: vec![(0.62, 5, 145 * MS), (0.26, 8, 180 * MS), (0.12, 6, 200 * MS)],
            rate: self.rate,
            model: self.model(),
            from: RESTART_TIME,
            until: RESTART_TIME + 10 * S,
            script: vec![],
            disturbances: Disturbances::default(),
            seed,
        };
        let listings = (0..self.brokers as u64).map(listing).collect();
        World::new(world_settings, drawn.nodes, listings, &drains).run()
    }

    /// Measures one age and arm over all worlds.
    pub fn measure(&self, age_s: u64, arm: Arm, seed: u64) -> RestartResult {
        let (mut asked, mut served, mut p99) = (0.0, 0.0, 0.0);
        let mut result = RestartResult {
            age_s,
            arm,
            service: 0.0,
            p99_ms: 0.0,
            late_drain_sends: 0,
            cold_falls: 0,
            lost: 0,
        };
        for world in 0..self.worlds {
            let (counts, late) =
                self.run_world(age_s * S, arm, seed.wrapping_mul(1_000_003).wrapping_add(world));
            asked += counts.requested_value;
            served += counts.served_value;
            p99 += late as f64 / 1e6 / self.worlds as f64;
            result.late_drain_sends += counts.late_drain_sends;
            result.cold_falls += counts.cold_falls;
            result.lost += counts.lost;
        }
        result.service = (served / asked * 1e4).round() / 1e4;
        result.p99_ms = p99.round();
        result
    }
}

struct DrawnFleet {
    /// The node behind each address.
    nodes: HashMap<SocketAddr, Node>,
    /// The old list, the old list with the last update, and the list of the present state.
    old: Vec<NodeRecord>,
    last_known: Vec<NodeRecord>,
    current: Vec<NodeRecord>,
}

fn addr(n: u32, host: u8) -> SocketAddr {
    SocketAddr::from(([127, host + 1, (n >> 8) as u8, n as u8], 80))
}

fn replica_entries(records: &[NodeRecord]) -> Vec<(ReplicaEntry, SocketAddr)> {
    let line = |(n, f): (usize, &NodeRecord)| {
        let started = (f.started > 0).then_some(f.started);
        let listed = ReplicaEntry {
            replica: ReplicaId(n as u32),
            zone: 0,
            cell: f.cell,
            state: ReplicaState::Active,
            started,
            weight: 1.0,
        };
        f.addr.map(|a| (listed, a))
    };
    records.iter().enumerate().filter_map(line).collect()
}

/// A snapshot whose list was last confirmed at `at`.
pub(crate) fn snapshot_of(records: &[NodeRecord], at: Nanos) -> Snapshot {
    let node = |f: &NodeRecord| SnapshotNode {
        record: f.clone(),
        epoch: 0,
        version: if f.state == NodeState::Ready { 41 } else { 42 },
        received: at,
        after_reset: false,
        confirmed: Some(at),
    };
    Snapshot {
        written: at,
        last_confirmed: Some(at),
        full_list: Some((0, 41, at)),
        pruned_up_to: None,
        rate: ChangeRate::NONE,
        nodes: records.iter().map(node).collect(),
    }
}
