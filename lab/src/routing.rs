//! Measurements of routing in simulated time: shares of the work against weights, and a node set that fails
//! over to its spare and back.

use crate::sim::{Disturbances, EndpointSource, Node, NodeBehavior, NodeModel, World, WorldSettings};
use pebbleturn::membership::merged_view::DirectoryScope;
use pebbleturn::membership::{NodeRecord, NodeState, PartitionLayout, Registry, RegistrySettings};
use pebbleturn::routing::{AdminState, Routing, RoutingSettings, Rule, Spare};
use pebbleturn::{Class, Discovery, Idempotency, Nanos, Settings};
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const START: Nanos = 1_000_000 * S;
const WORK: Nanos = 20 * MS;

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 3, (n >> 8) as u8, n as u8], 80))
}

/// The query engine's settings for one partition that all nodes hold.
fn settings() -> Settings {
    let class = Class {
        idempotency: Idempotency::Idempotent,
        latency_objective: 2 * S,
        objective_per_work: 0.0,
        deadline: 4 * S,
        priority_weight: 1.0,
        late_weight: 0.3,
        complete_share: 1.0,
        min_answer_share: 1.0,
        partial_value: 0.0,
        fetch_parts: 0,
    };
    Settings {
        classes: vec![class],
        tenants: vec![],
        over_quota_weight: 1.0,
        brokers: 1,
        zone: 0,
        shards: 1,
        cells: 1,
        span: 1,
        parts_per_call: 1,
        call_work: 0,
        discovery: Discovery::Pushed,
        max_poll_interval: 10 * S,
        may_cancel: true,
        may_health_check: false,
        may_hedge: false,
        max_attempts: 3,
        max_in_flight: 10_000,
        may_send_retry_after: true,
        max_retry_after: 2 * S,
        retry_budget: None,
        answer_slack: 0,
        slow_start_share: 1.0,
        slow_start_time: 0,
        overload_multiple: 3.0,
        overload_time: 1500 * MS,
        round_interval: 5 * MS,
        late_failure_cost: 0.0,
    }
}

const MODEL: NodeModel = NodeModel {
    cores: 16,
    cold_share: 0.2,
    cold_time: 10 * S,
    overload_multiple: 3.0,
    overload_time: 1500 * MS,
    queue: 256,
};

/// Simulates one broker with a node for each rule. Returns the counts, and when and where each part was sent.
fn simulate(
    rules: &[Rule],
    rate: f64,
    time: Nanos,
    script: Vec<(Nanos, SocketAddr, NodeBehavior)>,
    seed: u64,
) -> (crate::sim::Counts, Vec<(Nanos, SocketAddr)>) {
    let layout = PartitionLayout { cells: 1, span: 1 };
    let mut registry = Registry::new(RegistrySettings {
        layout,
        warm_up: 0,
        mean_change_interval: 24 * 3600 * S,
        default_list_age: 300 * S,
        silence_timeout: 400 * MS,
        zones: HashMap::new(),
        directory_scope: DirectoryScope::AllNodes,
        kinds: vec![],
        seed,
    });
    let id = |n: usize| format!("n-{n}");
    let record = |n: usize| NodeRecord {
        id: id(n),
        addr: Some(addr(n)),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state: NodeState::Ready,
        started: 0,
    };
    registry.set_operator_nodes((0..rules.len()).map(record).collect(), START);
    let rules: HashMap<String, Rule> = rules.iter().enumerate().map(|(n, r)| (id(n), r.clone())).collect();
    let nodes = (0..rules.len()).map(|n| (addr(n), Node::new(0, 0, &MODEL))).collect();
    let routing = Routing::new(RoutingSettings { layout, rules, warm_up: 10 * S, failback_delay: 15 * S });
    let config = WorldSettings {
        settings: settings(),
        classes: vec![(1.0, 1, WORK)],
        rate,
        model: MODEL,
        from: START,
        until: START + time,
        script,
        disturbances: Disturbances::default(),
        seed,
    };
    let source = EndpointSource::Routed(Box::new(registry), Box::new(routing));
    let (counts, _, sent) =
        World::new(config, nodes, vec![source], &HashSet::new()).recording_sent_parts().run_with_sent_parts();
    (counts, sent)
}

/// Shares of the work against weights.
#[derive(Clone, Debug, Serialize)]
pub struct Shares {
    /// Number of parts that were sent.
    pub parts: usize,
    /// The weights of the nodes, and the shares of the parts that they received.
    pub weights: Vec<f64>,
    /// See `weights`.
    pub shares: Vec<f64>,
    /// Largest difference between a measured and an expected share, and three standard errors of random
    /// sampling by weight.
    pub error: f64,
    /// See `error`.
    pub bound: f64,
}

impl fmt::Display for Shares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>8} parts: error {:.4}, bound {:.4}", self.parts, self.error, self.bound)
    }
}

/// Sends about `parts` parts to nodes with these weights.
pub fn shares(weights: &[f64], parts: usize, seed: u64) -> Shares {
    let rules: Vec<Rule> = weights.iter().map(|w| Rule { weight: *w, ..Rule::default() }).collect();
    let rate = 200.0;
    let time = (parts as f64 / rate * 1e9) as Nanos;
    let (_, sent) = simulate(&rules, rate, time, vec![], seed);
    let total: f64 = weights.iter().sum();
    let share_sent_to =
        |n: usize| sent.iter().filter(|(_, a)| *a == addr(n)).count() as f64 / sent.len() as f64;
    let shares: Vec<f64> = (0..weights.len()).map(share_sent_to).collect();
    let expected: Vec<f64> = weights.iter().map(|w| w / total).collect();
    let error = shares.iter().zip(&expected).map(|(s, w)| (s - w).abs()).fold(0.0, f64::max);
    let deviation = expected.iter().map(|w| (w * (1.0 - w)).sqrt()).fold(0.0, f64::max);
    let bound = 3.0 * deviation / (sent.len() as f64).sqrt();
    Shares { parts: sent.len(), weights: weights.into(), shares, error, bound }
}

/// The results for two regular nodes and a spare: both regular nodes fail at 10 s and are back, cold, at 20
/// s.
#[derive(Clone, Debug, Serialize)]
pub struct Failover {
    /// Time from the failure to the first part sent to the spare, ms.
    pub to_spare_ms: f64,
    /// Time from the return of the regular nodes to the last part sent to the spare, s.
    pub back_s: f64,
    /// Number of queries that were not answered.
    pub unanswered: u64,
    /// Regular nodes that crashed from overload while cold.
    pub cold_falls: u64,
    /// Parts sent to the node that is administratively stopped.
    pub to_stopped: usize,
    /// For each second, the share of the parts that went to each node.
    pub seconds: Vec<Vec<f64>>,
}

impl fmt::Display for Failover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "to the spare after {:.0} ms, back {:.1} s after the regulars; {} queries unanswered, {} cold falls, {} parts to a stopped node",
            self.to_spare_ms, self.back_s, self.unanswered, self.cold_falls, self.to_stopped
        )
    }
}

/// Simulates a failover to the spare and back.
pub fn failover(seed: u64) -> Failover {
    let rule = Rule { retry: 2 * S, ..Rule::default() };
    let rules = [
        rule.clone(),
        rule.clone(),
        Rule { spare: Spare::Hot, ..rule.clone() },
        Rule { admin_state: AdminState::Stopped, ..rule },
    ];
    let (fails_at, returns_at) = (START + 10 * S, START + 20 * S);
    let mut script = Vec::new();
    for n in [0, 1] {
        script.push((fails_at, addr(n), NodeBehavior::RefusesConnections));
        script.push((returns_at, addr(n), NodeBehavior::Serving));
    }
    let (counts, sent) = simulate(&rules, 100.0, 60 * S, script, seed);
    let sent_to = |n: usize| sent.iter().filter(move |(_, a)| *a == addr(n)).map(|(t, _)| *t);
    let first = sent_to(2).find(|t| *t >= fails_at).unwrap_or(START + 60 * S);
    let last = sent_to(2).max().unwrap_or(returns_at).max(returns_at);
    let seconds = (0..60).map(|s| {
        let in_second = |t: &Nanos| (START + s * S..START + (s + 1) * S).contains(t);
        let all = sent.iter().filter(|(t, _)| in_second(t)).count().max(1) as f64;
        (0..3).map(|n| sent_to(n).filter(in_second).count() as f64 / all).collect()
    });
    Failover {
        to_spare_ms: (first - fails_at) as f64 / 1e6,
        back_s: (last - returns_at) as f64 / 1e9,
        unanswered: counts.refused + counts.failed,
        cold_falls: counts.cold_falls,
        to_stopped: sent_to(3).count(),
        seconds: seconds.collect(),
    }
}
