//! A registry driven by scripted reports and attempt outcomes, with the time as an argument.

use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::merged_view::DirectoryScope;
use pebbleturn::membership::snapshot::Snapshot;
use pebbleturn::membership::{NodeChange, NodeState, PartitionLayout, Registry, RegistrySettings};
use pebbleturn::{Nanos, Outcome, ReplicaId, ReplicaState};
use std::collections::BTreeMap;

pub const S: Nanos = 1_000_000_000;
pub const HOUR: Nanos = 3600 * S;
/// Unix time at which the tests start, ns: long after the epoch.
pub const START_TIME: Nanos = 1_000_000 * S;

pub fn settings() -> RegistrySettings {
    RegistrySettings {
        layout: PartitionLayout { cells: 4, span: 2 },
        warm_up: 14 * S,
        mean_change_interval: 24 * HOUR,
        default_list_age: 300 * S,
        silence_timeout: S,
        zones: [("a".to_owned(), 0)].into(),
        directory_scope: DirectoryScope::AllNodes,
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

/// A full list of eight ready nodes.
pub fn eight_ready(version: u64) -> EndpointList {
    list(version, true, (0..8).map(|n| endpoint(n, NodeState::Ready, 0)).collect())
}

/// A registry, and the last change announced for each replica that is not removed.
pub struct Fixture {
    pub registry: Registry,
    pub announced: BTreeMap<ReplicaId, NodeChange>,
}

impl Fixture {
    pub fn new() -> Fixture {
        Fixture { registry: Registry::new(settings()), announced: BTreeMap::new() }
    }

    /// A fixture whose registry is restored from these snapshots.
    pub fn restored(stored: &[&Snapshot], now: Nanos) -> Fixture {
        let mut fixture = Fixture::new();
        fixture.registry.restore(&stored.iter().map(|s| (*s).clone()).collect::<Vec<_>>(), now);
        fixture.collect_changes();
        fixture
    }

    pub fn collect_changes(&mut self) {
        for change in self.registry.take_changes().unwrap_or_default() {
            match change.entry.state {
                ReplicaState::Removed => self.announced.remove(&change.entry.replica),
                _ => self.announced.insert(change.entry.replica, change),
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

    /// Handles all deadlines up to `now`.
    pub fn advance_to(&mut self, now: Nanos) {
        while let Some(due) = self.registry.next_deadline().filter(|due| *due <= now) {
            self.registry.tick(due);
        }
        self.registry.tick(now);
        self.collect_changes();
    }

    pub fn find(&self, id: &str) -> Option<&NodeChange> {
        self.announced.values().find(|c| c.id == id)
    }

    /// Ids of the nodes that get new work.
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

    /// Number of holders of each of the four partitions that get new work.
    pub fn active_holders(&self) -> [usize; 4] {
        let holders_of = |partition: u32| {
            let holds = |c: &&NodeChange| (c.entry.cell + 4 - partition) % 4 < 2;
            self.announced.values().filter(|c| c.entry.state == ReplicaState::Active).filter(holds).count()
        };
        [holders_of(0), holders_of(1), holders_of(2), holders_of(3)]
    }
}

/// A snapshot of a registry that received this list then.
pub fn snapshot_at(list: &EndpointList, now: Nanos) -> Snapshot {
    let mut fixture = Fixture::new();
    fixture.discovery_update(list, true, now);
    fixture.registry.snapshot(now)
}
