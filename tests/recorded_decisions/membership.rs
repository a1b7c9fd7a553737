//! The record of membership: the changes of the fleet that every source produces, through restarts of the
//! broker.
//!
//! Covered: changes emitted by the registry, the hints of peers and the manual overrides; warmed-up nodes,
//! deadlines, node statuses, snapshots (their stored bytes) and the status report of one; delays between
//! polls of the list; the admissions of probation and the figures of staleness. The merged view itself is
//! covered only through statuses and snapshots: it has no other output but `Debug`.

use crate::common::{MS, S};
use crate::digest::{Digest, OUTCOMES, node_state_tag, replica_state_tag};
use crate::{RandomSource, Recorded, assert_recorded};
use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::gossip_hints::{LocalReport, PeerHints};
use pebbleturn::membership::merged_view::DirectoryScope;
use pebbleturn::membership::poll_backoff::PollBackoff;
use pebbleturn::membership::probation::{Admission, Candidate, admit};
use pebbleturn::membership::snapshot::{Snapshot, encode};
use pebbleturn::membership::status_report::StatusReport;
use pebbleturn::membership::{
    DiscoveryState, ManualOverrides, NodeChange, NodeState, NodeStatus, PartitionLayout, Registry,
    RegistrySettings, UnknownNode, staleness,
};
use pebbleturn::replication::ProcessStart;
use pebbleturn::replication::derived_state::NodeHints;
use pebbleturn::{Nanos, Outcome, ReplicaId};
use std::collections::BTreeSet;

const MEMBERSHIP: Recorded = [0x97e6_83c2_4f85_9494, 0x200c_fbcd_d743_d485, 0xce64_63a5_9eda_4b07];
const PROBATION: Recorded = [0xf899_b4bc_8471_f3c3, 0xf518_d1e0_46c1_f63e, 0xcb38_f779_ba9d_41ad];

const NODES: u32 = 24;
const LAYOUT: PartitionLayout = PartitionLayout { cells: 4, span: 2 };
const STEPS: u64 = 4000;
const STEP: Nanos = 100 * MS;
const HOUR: Nanos = 3600 * S;
/// The time at which a run starts, long after the epoch.
const START_TIME: Nanos = 1_000_000 * S;
const MEAN_CHANGE_INTERVAL: Nanos = 24 * HOUR;
/// Steps from one restart of the broker to the next; discovery is silent in the first `SILENT_STEPS` of them.
const RESTART_EVERY: u64 = 800;
const SILENT_STEPS: u64 = 150;
const STATUSES_EVERY: u64 = 50;

fn settings(seed: u64) -> RegistrySettings {
    RegistrySettings {
        layout: LAYOUT,
        warm_up: 14 * S,
        mean_change_interval: MEAN_CHANGE_INTERVAL,
        default_list_age: 300 * S,
        silence_timeout: S,
        zones: [("a".to_owned(), 0), ("b".to_owned(), 1)].into(),
        directory_scope: DirectoryScope::AllNodes,
        kinds: vec!["sru".to_owned()],
        seed,
    }
}

fn node_id(number: u32) -> String {
    format!("node-{number}")
}

/// One broker's membership, its sources, and counts of what it emitted.
struct Simulation {
    seed: u64,
    registry: Registry,
    overrides: ManualOverrides,
    peer_hints: PeerHints,
    poll_backoff: PollBackoff,
    random: RandomSource,
    digest: Digest,
    now: Nanos,
    version: u64,
    /// Replicas emitted so far; attempts end at these.
    replicas: BTreeSet<ReplicaId>,
    emitted_by_state: [u64; 3],
    warmed_up: u64,
    snapshots: u64,
    drained_by_hints: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            seed,
            registry: Registry::new(settings(seed)),
            overrides: ManualOverrides::default(),
            peer_hints: PeerHints::default(),
            poll_backoff: PollBackoff::new(500 * MS, 8 * S, seed),
            random: RandomSource::new(seed),
            digest: Digest::default(),
            now: START_TIME,
            version: 10,
            replicas: BTreeSet::new(),
            emitted_by_state: [0; 3],
            warmed_up: 0,
            snapshots: 0,
            drained_by_hints: 0,
        }
    }

    fn run(mut self) -> u64 {
        let configured = EndpointList { as_of_ms: Some(START_TIME / MS), ..self.draw_full_list() };
        self.registry.add_configured(&configured, self.now);
        for step in 0..STEPS {
            self.now += STEP;
            if step % RESTART_EVERY == RESTART_EVERY - 1 {
                self.restart();
            }
            if step % RESTART_EVERY >= SILENT_STEPS {
                self.update_from_discovery();
            }
            self.update_from_other_sources();
            self.end_attempts();
            self.registry.tick(self.now);
            self.record_step();
            if step % STATUSES_EVERY == 0 {
                self.record_statuses();
            }
        }
        self.assert_enough_events();
        self.digest.value()
    }

    /// The broker starts again after hours, with only its snapshot.
    fn restart(&mut self) {
        let final_snapshot = self.registry.final_snapshot(self.now);
        self.digest.put_option(final_snapshot, |digest, snapshot| put_snapshot(digest, &snapshot));
        let snapshot = self.registry.snapshot(self.now);
        self.now += (1 + self.random.below(30)) * HOUR;
        self.registry = Registry::new(settings(self.seed));
        (self.overrides, self.peer_hints) =
            (ManualOverrides::with_suspended([node_id(0)]), PeerHints::default());
        self.replicas.clear();
        self.record_report(&snapshot);
        self.registry.restore(&[snapshot], self.now);
    }

    fn draw_endpoint(&mut self, number: u32) -> Endpoint {
        let states =
            [NodeState::Ready, NodeState::Ready, NodeState::Ready, NodeState::Terminating, NodeState::Gone];
        // Some nodes move, and some have another node's address or none.
        let host = if self.random.chance(4) { self.random.below(NODES.into()) as u32 } else { number };
        let addr = if self.random.chance(1) { String::new() } else { format!("127.0.0.{}:80", host + 1) };
        // Some start times lie in the future, because of a wrong clock.
        let started = self.now / MS - 20_000 + self.random.below(22_000);
        Endpoint {
            id: node_id(number),
            addr,
            zone: Some(["a", "b", "unknown"][self.random.index(3)].to_owned()),
            kind: if self.random.chance(2) { "other".to_owned() } else { "sru".to_owned() },
            cell: number % LAYOUT.cells,
            state: states[self.random.index(states.len())],
            started_ms: if self.random.chance(50) { started } else { 0 },
        }
    }

    fn draw_full_list(&mut self) -> EndpointList {
        let servers = (0..NODES).map(|number| self.draw_endpoint(number)).collect();
        EndpointList { version: self.version, full: true, as_of_ms: None, servers }
    }

    fn draw_partial_list(&mut self, version: u64) -> EndpointList {
        let count = 1 + self.random.below(3);
        let mut servers = Vec::new();
        for _ in 0..count {
            let number = self.random.below(NODES.into()) as u32;
            servers.push(self.draw_endpoint(number));
        }
        EndpointList { version, full: false, as_of_ms: None, servers }
    }

    fn update_from_discovery(&mut self) {
        match self.random.below(1000) {
            0..150 => {
                self.version += 1;
                let list = self.draw_partial_list(self.version);
                self.apply_list(&list, false);
            }
            150..160 => {
                self.version += 1;
                let list = self.draw_full_list();
                self.apply_list(&list, true);
            }
            // Discovery restarted, and its versions were reset.
            160..163 => {
                self.version = self.version.saturating_sub(5).max(1);
                let list = self.draw_full_list();
                self.apply_list(&list, true);
            }
            163..173 => {
                let list = self.draw_partial_list(self.version.saturating_sub(1));
                self.apply_list(&list, false);
            }
            173..183 => {
                self.registry.watch_lost();
                let wait = self.poll_backoff.on_failure();
                self.digest.put_u64(wait);
            }
            183..220 => {
                self.registry.on_heartbeat(self.now);
                self.poll_backoff.on_success();
            }
            _ => {}
        }
    }

    fn apply_list(&mut self, list: &EndpointList, first: bool) {
        let epoch = self.registry.epoch();
        let accepted = self.registry.on_discovery_update(list, first, self.now);
        self.digest.put_bool(accepted);
        let version_reset = self.registry.epoch() != epoch;
        let changes = self.peer_hints.on_list_change(version_reset, |id| local_report(&self.registry, id));
        self.digest.put_all(&changes, Digest::put_change);
    }

    /// The operator's file, manual overrides, and the hints of peers.
    fn update_from_other_sources(&mut self) {
        let number = self.random.below(NODES.into()) as u32;
        // Two more ids than there are nodes: some were never listed.
        let id = node_id(self.random.below(u64::from(NODES) + 2) as u32);
        match self.random.below(200) {
            0 => {
                let endpoint = self.draw_endpoint(number);
                self.registry.set_operator_nodes(vec![endpoint.record()], self.now);
            }
            1..5 => {
                let result = self.overrides.suspend(&id, self.registry.knows(&id));
                self.record_override(result);
            }
            5..9 => {
                let result = self.overrides.restore(&id, self.registry.knows(&id));
                self.record_override(result);
            }
            9..20 => {
                let started = self.now - self.random.below(20) * S;
                let version = self.version + self.random.below(5);
                let drain = self.random.chance(70).then_some(ProcessStart { started, list_version: version });
                let change = self.peer_hints.on_hint(&id, NodeHints { drain, started });
                self.digest.put_option(change, |digest, change| digest.put_change(&change));
            }
            _ => {}
        }
    }

    fn record_override(&mut self, result: Result<Option<NodeChange>, UnknownNode>) {
        self.digest.put_bool(result.is_ok());
        let change = result.unwrap_or_default();
        self.digest.put_option(change, |digest, change| digest.put_change(&change));
    }

    fn end_attempts(&mut self) {
        for _ in 0..3 {
            let position = self.random.index(self.replicas.len().max(1));
            let Some(replica) = self.replicas.iter().nth(position).copied() else { return };
            let succeeds = self.random.chance(60);
            let outcome = if succeeds { Outcome::Ok } else { OUTCOMES[self.random.index(OUTCOMES.len())] };
            let latency = 10 * MS + self.random.below(60) * MS * (1 + 30 * u64::from(self.random.chance(10)));
            self.registry.on_attempt_end(replica, outcome, latency, self.now);
        }
    }

    fn record_step(&mut self) {
        let changes = self.registry.take_changes();
        self.digest.put_changes(changes.as_deref());
        let after_hints =
            self.peer_hints.apply_changes(changes.unwrap_or_default(), |id| local_report(&self.registry, id));
        let emitted = self.overrides.apply_changes(after_hints);
        self.digest.put_all(&emitted, Digest::put_change);
        for change in emitted {
            self.replicas.insert(change.entry.replica);
            self.emitted_by_state[usize::from(replica_state_tag(change.entry.state))] += 1;
        }
        let warmed_up = self.registry.take_warmed_up();
        self.warmed_up += warmed_up.len() as u64;
        self.digest.put_all(&warmed_up, |digest, replica| digest.put_u64(replica.0.into()));
        self.drained_by_hints += self.peer_hints.drained_count() as u64;
        self.record_counts();
        let snapshot = self.registry.take_snapshot(self.now);
        self.snapshots += u64::from(snapshot.is_some());
        self.digest.put_option(snapshot, |digest, snapshot| put_snapshot(digest, &snapshot));
    }

    fn record_counts(&mut self) {
        self.digest.put_bool(self.registry.take_discovery_answered());
        self.digest.put_option(self.registry.next_deadline(), Digest::put_u64);
        self.digest.put_option(self.registry.snapshot_due(), Digest::put_u64);
        self.digest.put_u64(self.registry.version());
        self.digest.put_u64(self.registry.epoch().into());
        self.digest.put_count(self.registry.listed_count());
        self.digest.put_bool(self.registry.may_gain_nodes(self.now));
        self.digest.put_count(self.peer_hints.hinted_count());
        self.digest.put_count(self.peer_hints.drained_count());
        self.digest.put_count(self.overrides.listed_suspended());
    }

    fn record_statuses(&mut self) {
        self.digest.put_all(&self.registry.statuses(self.now), put_status);
        for number in 0..NODES {
            let id = node_id(number);
            let replica = self.overrides.replica(&id);
            self.digest.put_option(replica, |digest, replica| digest.put_u64(replica.0.into()));
            let discovered = self.registry.discovery_state(&id);
            self.digest.put_option(discovered, |digest, DiscoveryState { state, started, version }| {
                digest.put_tag(node_state_tag(state));
                digest.put_u64(started);
                digest.put_u64(version);
            });
        }
    }

    fn record_report(&mut self, snapshot: &Snapshot) {
        let report = StatusReport::new(std::slice::from_ref(snapshot), self.now, MEAN_CHANGE_INTERVAL);
        self.digest.put_u64(report.epoch.into());
        self.digest.put_u64(report.version);
        self.digest.put_option(report.age_s, Digest::put_f64);
        self.digest.put_f64(report.changes_every_h);
        self.digest.put_all(&report.nodes, |digest, node| {
            digest.put_str(&node.id);
            digest.put_option(node.addr, |digest, address| digest.put_str(&address.to_string()));
            digest.put_u64(node.cell.into());
            digest.put_tag(node_state_tag(node.state));
            digest.put_option(node.age_s, Digest::put_f64);
            digest.put_f64(node.trust);
            digest.put_option(node.learned_s, Digest::put_f64);
        });
    }

    fn assert_enough_events(&self) {
        let emitted = self.emitted_by_state;
        assert!(emitted.iter().all(|count| *count > 100), "too few changes of some state: {emitted:?}");
        let (warmed_up, snapshots, drained) = (self.warmed_up, self.snapshots, self.drained_by_hints);
        assert!(
            warmed_up > 10 && snapshots > 100 && drained > 100,
            "warmed up {warmed_up}, snapshots {snapshots}, drained {drained}"
        );
        assert!(self.registry.epoch() > 0, "the versions of discovery were never reset");
    }
}

/// The report of this broker's own list on a node.
fn local_report(registry: &Registry, id: &str) -> LocalReport {
    let discovered = registry.discovery_state(id);
    discovered.map_or(LocalReport::default(), |discovered| LocalReport {
        started: discovered.started,
        version: discovered.version,
    })
}

/// The stored form, whose field names are part of the format.
fn put_snapshot(digest: &mut Digest, snapshot: &Snapshot) {
    digest.put_bytes(&encode(snapshot).expect("a snapshot of this size can be encoded"));
}

fn put_status(digest: &mut Digest, status: &NodeStatus) {
    digest.put_str(&status.record.id);
    digest.put_option(status.record.addr, |digest, address| digest.put_str(&address.to_string()));
    digest.put_str(&status.record.zone);
    digest.put_str(&status.record.kind);
    digest.put_u64(status.record.cell.into());
    digest.put_tag(node_state_tag(status.record.state));
    digest.put_u64(status.record.started);
    digest.put_tag(node_state_tag(status.state));
    digest.put_u64(status.learned);
    digest.put_option(status.confirmed, Digest::put_u64);
    digest.put_f64(status.trust);
}

/// The admissions of probation and the figures of staleness, over random candidates.
fn record_probation(seed: u64) -> u64 {
    let (mut random, mut digest) = (RandomSource::new(seed), Digest::default());
    let admissions = [Admission::Confirmed, Admission::Admitted, Admission::Waiting, Admission::Failed];
    let mut counts = [0u64; 2];
    for _ in 0..1000 {
        let mut candidates = Vec::new();
        for _ in 0..random.below(20) {
            let (cell, trust) = (random.below(8) as u32, random.fraction());
            candidates.push(Candidate { cell, trust, admission: admissions[random.index(admissions.len())] });
        }
        let chosen = admit(PartitionLayout { cells: 8, span: 3 }, &candidates, random.index(4));
        chosen.iter().for_each(|is_admitted| counts[usize::from(*is_admitted)] += 1);
        digest.put_all(&chosen, |digest, is_admitted| digest.put_bool(*is_admitted));
        let age = random.below(100) * HOUR;
        let trust = staleness::trust_at_age(age, MEAN_CHANGE_INTERVAL as f64);
        digest.put_f64(trust);
        digest.put_option(staleness::failures_until_ejection(trust), |digest, failures| {
            digest.put_u64(failures.into())
        });
        digest.put_count(staleness::initial_admissions(trust, candidates.len()));
        digest.put_option(staleness::assumed_start(trust, START_TIME, HOUR), Digest::put_u64);
    }
    assert!(
        counts.iter().all(|count| *count > 500),
        "too few candidates were admitted or not admitted: {counts:?}"
    );
    digest.value()
}

#[test]
fn membership_changes() {
    assert_recorded("membership", MEMBERSHIP, |seed| Simulation::new(seed).run());
}

#[test]
fn probation_admissions() {
    assert_recorded("probation", PROBATION, record_probation);
}
