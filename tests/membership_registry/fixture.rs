//! A registry driven by scripted reports and outcomes, with time as an argument.

use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::snapshot::Snapshot;
use pebbleturn::membership::{NodeChange, NodeState, PartitionLayout, Registry, RegistrySettings};
use pebbleturn::{Nanos, Outcome, ReplicaId, ReplicaState};
use std::collections::BTreeMap;

pub const S: Nanos = 1_000_000_000;
pub const HOUR: Nanos = 3600 * S;
/// A time of day for tests: long after the epoch.
pub const START_TIME: Nanos = 1_000_000 * S;

pub fn settings() -> RegistrySettings {
    RegistrySettings {
        layout: PartitionLayout { cells: 4, span: 2 },
        warm_up: 14 * S,
        mean_change_interval: 24 * HOUR,
        default_list_age: 300 * S,
        silence_timeout: S,
        zones: [("a".to_owned(), 0)].into(),
        kinds: vec![],
        seed: 7,
    }
}

pub fn endpoint(n: u32, state: NodeState, started_ms: u64) -> Endpoint {
    Endpoint {
        id: format!("s-{n}"),
        addr: format!("127.0.0.{}:80", n + 1),
        zone: Some("a".into()),
        kind: String::new(),
        cell: n % 4,
        state,
        started_ms,
    }
}

pub fn list(version: u64, full: bool, servers: Vec<Endpoint>) -> EndpointList {
    EndpointList { version, full, as_of_ms: None, servers }
}

pub fn eight_ready(version: u64) -> EndpointList {
    list(version, true, (0..8).map(|n| endpoint(n, NodeState::Ready, 0)).collect())
}

/// A registry and what the exchange has been announced by it.
pub struct Fixture {
    pub registry: Registry,
    pub announced: BTreeMap<ReplicaId, NodeChange>,
}

impl Fixture {
    pub fn new() -> Fixture {
        Fixture { registry: Registry::new(settings()), announced: BTreeMap::new() }
    }

    pub fn restored(stored: &[&Snapshot], now: Nanos) -> Fixture {
        let mut fixture = Fixture::new();
        fixture.registry.restore(&stored.iter().map(|s| (*s).clone()).collect::<Vec<_>>(), now);
        fixture.collect_changes();
        fixture
    }

    pub fn collect_changes(&mut self) {
        for c in self.registry.take_changes().unwrap_or_default() {
            match c.entry.state {
                ReplicaState::Removed => self.announced.remove(&c.entry.replica),
                _ => self.announced.insert(c.entry.replica, c),
            };
        }
    }

    pub fn discovery_update(&mut self, list: &EndpointList, first: bool, now: Nanos) {
        self.registry.on_discovery_update(list, first, now);
        self.collect_changes();
    }

    pub fn end_attempt(&mut self, id: &str, outcome: Outcome, now: Nanos) {
        let replica = self.find(id).expect("announced").entry.replica;
        self.registry.on_attempt_end(replica, outcome, 2 * S, now);
        self.registry.tick(now);
        self.collect_changes();
    }

    pub fn advance_to(&mut self, now: Nanos) {
        while let Some(due) = self.registry.next_deadline().filter(|t| *t <= now) {
            self.registry.tick(due);
        }
        self.registry.tick(now);
        self.collect_changes();
    }

    pub fn find(&self, id: &str) -> Option<&NodeChange> {
        self.announced.values().find(|c| c.id == id)
    }

    /// Ids that get new work.
    pub fn active_ids(&self) -> Vec<&str> {
        let mut ids: Vec<&str> = self
            .announced
            .values()
            .filter(|c| c.entry.state == ReplicaState::Active)
            .map(|c| c.id.as_str())
            .collect();
        ids.sort_unstable();
        ids
    }

    /// Holders of each of the four partitions that get new work.
    pub fn active_holders(&self) -> [usize; 4] {
        let at = |p: u32| {
            let holds = |c: &&NodeChange| (c.entry.cell + 4 - p) % 4 < 2;
            self.announced.values().filter(|c| c.entry.state == ReplicaState::Active).filter(holds).count()
        };
        [at(0), at(1), at(2), at(3)]
    }
}

pub fn snapshot_at(list: &EndpointList, now: Nanos) -> Snapshot {
    let mut fixture = Fixture::new();
    fixture.discovery_update(list, true, now);
    fixture.registry.snapshot(now)
}
