//! The cost of the decisions for one query, of membership for one discovery update, by the number of nodes,
//! and of the metrics.
//!
//! Run with `cargo bench -p pebbleturn-lab`.

use divan::Bencher;
use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::merged_view::DirectoryScope;
use pebbleturn::membership::{NodeState, PartitionLayout, Registry, RegistrySettings};
use pebbleturn::metrics::{Gauges, Metrics, QueryResult};
use pebbleturn::{Action, Balancer, Event, Nanos, Outcome, ReplicaEntry, ReplicaId, ReplicaState, RequestId};
use pebbleturn_lab::restart::Scenario;
use std::collections::HashMap;

const MS: Nanos = 1_000_000;

fn main() {
    divan::main();
}

/// One query of four parts: submitted, sent and answered.
#[divan::bench(args = [4, 16, 64, 200, 1000])]
fn query(bencher: Bencher, nodes: u32) {
    let mut settings = Scenario { nodes, partitions: nodes.max(4), ..Scenario::default() }.settings();
    settings.span = settings.span.min(nodes);
    let mut balancer = Balancer::new(settings, 7, 0).expect("valid settings");
    let line = |n| {
        let (replica, state) = (ReplicaId(n), ReplicaState::Active);
        ReplicaEntry { replica, zone: 0, cell: n, state, started: None, weight: 1.0 }
    };
    let mut actions = Vec::new();
    balancer.round(
        0,
        &[Event::EndpointList { full: true, entries: (0..nodes).map(line).collect() }],
        &mut actions,
    );
    let (mut job, mut now) = (0u64, 0);
    bencher.bench_local(|| {
        job += 1;
        now += 50 * MS;
        let query = RequestId(u128::from(job) * 10);
        let head = Event::Query {
            query,
            job,
            class: 0,
            tenant: None,
            time_left: 2000 * MS,
            parts: 4,
            work: None,
            is_retry: false,
        };
        let shard = |n: u64| (job * 4 + n) as u32 % nodes.max(4);
        let part = |n: u64| Event::Part {
            part: RequestId(query.0 + 1 + u128::from(n)),
            job,
            shard: shard(n),
            weight: 0.25,
        };
        let events: Vec<Event> = std::iter::once(head).chain((0..4).map(part)).collect();
        actions.clear();
        balancer.round(now, &events, &mut actions);
        let mut attempts: HashMap<RequestId, u32> = HashMap::new();
        let attempt_ends: Vec<Event> = actions
            .iter()
            .filter_map(|a| match *a {
                Action::Send { part, replica, .. } => {
                    let attempt = attempts.entry(part).and_modify(|n| *n += 1).or_default();
                    let (latency, outcome) = (20 * MS, Outcome::Ok);
                    Some(Event::AttemptEnded {
                        part,
                        replica,
                        attempt: *attempt,
                        latency,
                        outcome,
                        utilization: None,
                    })
                }
                _ => None,
            })
            .collect();
        actions.clear();
        balancer.round(now + 20 * MS, &attempt_ends, &mut actions);
        divan::black_box(actions.len())
    });
}

/// The cost of the metrics for one query: its result, and each of its attempts recorded separately.
#[divan::bench(name = "figures", args = [4, 20, 73])]
fn record_metrics(bencher: Bencher, attempts: u32) {
    let mut metrics = Metrics::new(3);
    bencher.bench_local(|| {
        for _ in 0..attempts {
            divan::black_box(&mut metrics).record_attempts(1);
        }
        divan::black_box(&mut metrics).record_query(1, QueryResult::Ok);
    });
}

/// Formats the metrics as for a request, without the socket.
#[divan::bench(name = "figures_fetched")]
fn format_metrics(bencher: Bencher) {
    let metrics = Metrics::new(3);
    let names: Vec<String> = ["catalogue", "lookup", "report"].map(String::from).into();
    let now = Gauges { active: 14, pool_size: 200, pool_ejected: 1 };
    bencher.bench_local(|| divan::black_box(metrics.to_json_line(&names, now).len()));
}

/// One discovery update that changes one node.
#[divan::bench(name = "news", args = [16, 1000, 10_000])]
fn discovery_update(bencher: Bencher, nodes: u32) {
    let mut registry = Registry::new(RegistrySettings {
        layout: PartitionLayout { cells: 16, span: 4 },
        warm_up: 14_000 * MS,
        mean_change_interval: 86_400_000 * MS,
        default_list_age: 300_000 * MS,
        silence_timeout: 400 * MS,
        zones: HashMap::new(),
        directory_scope: DirectoryScope::AllNodes,
        kinds: vec![],
        seed: 7,
    });
    let line = |n: u32, started_ms| Endpoint {
        id: format!("n-{n}"),
        addr: format!("127.{}.{}.{}:80", 1 + (n >> 16), (n >> 8) & 255, n & 255),
        zone: None,
        kind: String::new(),
        cell: n % 16,
        state: NodeState::Ready,
        started_ms,
    };
    let list = |version, full, servers| EndpointList { version, full, as_of_ms: None, servers };
    registry.on_discovery_update(&list(1, true, (0..nodes).map(|n| line(n, 0)).collect()), true, 1);
    registry.take_changes();
    let mut version = 1;
    bencher.bench_local(|| {
        version += 1;
        let now = version * 100 * MS;
        registry.on_discovery_update(
            &list(version, false, vec![line(version as u32 % nodes, now / MS)]),
            false,
            now,
        );
        divan::black_box(registry.take_changes().map(|c| c.len()))
    });
}
