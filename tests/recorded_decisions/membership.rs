//! The record of membership: what is told on of a fleet by every source, through restarts of the broker.
//!
//! Covered: changes as the roster, other brokers' words and staff's words tell them on; warm nodes, due times,
//! notes, kept lists (their stored bytes) and the report of one; waits between calls for the list; the gate's choice
//! and the figures of trust. The belief itself is seen through notes and kept lists only: it has no other outlet but
//! `Debug`.

use crate::common::{MS, S};
use crate::digest::{Digest, OUTCOMES, standing_tag, state_tag};
use crate::{RandomSource, Recorded, assert_recorded};
use pebbleturn::membership::endpoint_list::{Endpoint, EndpointList};
use pebbleturn::membership::gossip_hints::{LocalReport, PeerHints};
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

const TOLD_ON: Recorded = [0x97e6_83c2_4f85_9494, 0x200c_fbcd_d743_d485, 0xce64_63a5_9eda_4b07];
const ADMITTED: Recorded = [0xf899_b4bc_8471_f3c3, 0xf518_d1e0_46c1_f63e, 0xcb38_f779_ba9d_41ad];

const NODES: u32 = 24;
const LAYOUT: PartitionLayout = PartitionLayout { cells: 4, span: 2 };
const STEPS: u64 = 4000;
const STEP: Nanos = 100 * MS;
const HOUR: Nanos = 3600 * S;
/// A time of day: long after the epoch.
const NOON: Nanos = 1_000_000 * S;
const CHANGES_EVERY: Nanos = 24 * HOUR;
/// The broker restarts after so many steps; discovery is silent for the first of them.
const RESTART_EVERY: u64 = 800;
const SILENT_STEPS: u64 = 150;
const NOTES_EVERY: u64 = 50;

fn settings(seed: u64) -> RegistrySettings {
    RegistrySettings {
        layout: LAYOUT,
        warm_up: 14 * S,
        mean_change_interval: CHANGES_EVERY,
        default_list_age: 300 * S,
        silence_timeout: S,
        zones: [("a".to_owned(), 0), ("b".to_owned(), 1)].into(),
        kinds: vec!["sru".to_owned()],
        seed,
    }
}

fn node_id(number: u32) -> String {
    format!("node-{number}")
}

/// One broker's membership, its sources, and what was told on.
struct Simulation {
    seed: u64,
    roster: Registry,
    by_hand: ManualOverrides,
    others: PeerHints,
    ask_again: PollBackoff,
    random: RandomSource,
    digest: Digest,
    now: Nanos,
    version: u64,
    /// Numbers of replicas told of so far; outcomes are drawn from these.
    replicas: BTreeSet<ReplicaId>,
    told_by_standing: [u64; 3],
    warm: u64,
    kept: u64,
    held_back: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            seed,
            roster: Registry::new(settings(seed)),
            by_hand: ManualOverrides::default(),
            others: PeerHints::default(),
            ask_again: PollBackoff::new(500 * MS, 8 * S, seed),
            random: RandomSource::new(seed),
            digest: Digest::default(),
            now: NOON,
            version: 10,
            replicas: BTreeSet::new(),
            told_by_standing: [0; 3],
            warm: 0,
            kept: 0,
            held_back: 0,
        }
    }

    fn run(mut self) -> u64 {
        let carried = EndpointList { as_of_ms: Some(NOON / MS), ..self.whole_list() };
        self.roster.add_configured(&carried, self.now);
        for step in 0..STEPS {
            self.now += STEP;
            if step % RESTART_EVERY == RESTART_EVERY - 1 {
                self.restart();
            }
            if step % RESTART_EVERY >= SILENT_STEPS {
                self.discovery_tells();
            }
            self.others_tell();
            self.attempts_end();
            self.roster.tick(self.now);
            self.record_step();
            if step % NOTES_EVERY == 0 {
                self.record_notes();
            }
        }
        self.assert_busy();
        self.digest.value()
    }

    /// The broker comes back after hours and has only what was kept.
    fn restart(&mut self) {
        let last = self.roster.final_snapshot(self.now);
        self.digest.put_option(last, |digest, kept| put_kept(digest, &kept));
        let kept = self.roster.snapshot(self.now);
        self.now += (1 + self.random.below(30)) * HOUR;
        self.roster = Registry::new(settings(self.seed));
        (self.by_hand, self.others) = (ManualOverrides::with_suspended([node_id(0)]), PeerHints::default());
        self.replicas.clear();
        self.record_report(&kept);
        self.roster.restore(&[kept], self.now);
    }

    fn drawn_line(&mut self, number: u32) -> Endpoint {
        let states =
            [NodeState::Ready, NodeState::Ready, NodeState::Ready, NodeState::Terminating, NodeState::Gone];
        // Some move, and some claim another's address or name none.
        let host = if self.random.chance(4) { self.random.below(NODES.into()) as u32 } else { number };
        let addr = if self.random.chance(1) { String::new() } else { format!("127.0.0.{}:80", host + 1) };
        // Some starts lie ahead, by a wrong clock.
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

    fn whole_list(&mut self) -> EndpointList {
        let servers = (0..NODES).map(|number| self.drawn_line(number)).collect();
        EndpointList { version: self.version, full: true, as_of_ms: None, servers }
    }

    fn some_news(&mut self, version: u64) -> EndpointList {
        let count = 1 + self.random.below(3);
        let mut servers = Vec::new();
        for _ in 0..count {
            let number = self.random.below(NODES.into()) as u32;
            servers.push(self.drawn_line(number));
        }
        EndpointList { version, full: false, as_of_ms: None, servers }
    }

    fn discovery_tells(&mut self) {
        match self.random.below(1000) {
            0..150 => {
                self.version += 1;
                let list = self.some_news(self.version);
                self.hear(&list, false);
            }
            150..160 => {
                self.version += 1;
                let list = self.whole_list();
                self.hear(&list, true);
            }
            // Discovery restarted, and counts anew.
            160..163 => {
                self.version = self.version.saturating_sub(5).max(1);
                let list = self.whole_list();
                self.hear(&list, true);
            }
            163..173 => {
                let list = self.some_news(self.version.saturating_sub(1));
                self.hear(&list, false);
            }
            173..183 => {
                self.roster.watch_lost();
                let wait = self.ask_again.on_failure();
                self.digest.put_u64(wait);
            }
            183..220 => {
                self.roster.on_heartbeat(self.now);
                self.ask_again.on_success();
            }
            _ => {}
        }
    }

    fn hear(&mut self, list: &EndpointList, first: bool) {
        let epoch = self.roster.epoch();
        let believed = self.roster.on_discovery_update(list, first, self.now);
        self.digest.put_bool(believed);
        let anew = self.roster.epoch() != epoch;
        let changes = self.others.on_list_change(anew, |id| own_word(&self.roster, id));
        self.digest.put_all(&changes, Digest::put_change);
    }

    /// The operator's file, staff's words and other brokers'.
    fn others_tell(&mut self) {
        let number = self.random.below(NODES.into()) as u32;
        // Two more than there are: some ids were never listed.
        let id = node_id(self.random.below(u64::from(NODES) + 2) as u32);
        match self.random.below(200) {
            0 => {
                let line = self.drawn_line(number);
                self.roster.set_operator_nodes(vec![line.record()], self.now);
            }
            1..5 => {
                let answer = self.by_hand.suspend(&id, self.roster.knows(&id));
                self.record_word(answer);
            }
            5..9 => {
                let answer = self.by_hand.restore(&id, self.roster.knows(&id));
                self.record_word(answer);
            }
            9..20 => {
                let started = self.now - self.random.below(20) * S;
                let version = self.version + self.random.below(5);
                let drain = self.random.chance(70).then_some(ProcessStart { started, list_version: version });
                let change = self.others.on_hint(&id, NodeHints { drain, started });
                self.digest.put_option(change, |digest, change| digest.put_change(&change));
            }
            _ => {}
        }
    }

    fn record_word(&mut self, answer: Result<Option<NodeChange>, UnknownNode>) {
        self.digest.put_bool(answer.is_ok());
        let change = answer.unwrap_or_default();
        self.digest.put_option(change, |digest, change| digest.put_change(&change));
    }

    fn attempts_end(&mut self) {
        for _ in 0..3 {
            let place = self.random.index(self.replicas.len().max(1));
            let Some(replica) = self.replicas.iter().nth(place).copied() else { return };
            let good = self.random.chance(60);
            let outcome = if good { Outcome::Ok } else { OUTCOMES[self.random.index(OUTCOMES.len())] };
            let latency = 10 * MS + self.random.below(60) * MS * (1 + 30 * u64::from(self.random.chance(10)));
            self.roster.on_attempt_end(replica, outcome, latency, self.now);
        }
    }

    fn record_step(&mut self) {
        let changes = self.roster.take_changes();
        self.digest.put_changes(changes.as_deref());
        let after_others =
            self.others.apply_changes(changes.unwrap_or_default(), |id| own_word(&self.roster, id));
        let told_on = self.by_hand.apply_changes(after_others);
        self.digest.put_all(&told_on, Digest::put_change);
        for change in told_on {
            self.replicas.insert(change.entry.replica);
            self.told_by_standing[usize::from(standing_tag(change.entry.state))] += 1;
        }
        let warm = self.roster.take_warmed_up();
        self.warm += warm.len() as u64;
        self.digest.put_all(&warm, |digest, replica| digest.put_u64(replica.0.into()));
        self.held_back += self.others.drained_count() as u64;
        self.record_counts();
        let kept = self.roster.take_snapshot(self.now);
        self.kept += u64::from(kept.is_some());
        self.digest.put_option(kept, |digest, kept| put_kept(digest, &kept));
    }

    fn record_counts(&mut self) {
        self.digest.put_bool(self.roster.take_discovery_answered());
        self.digest.put_option(self.roster.next_deadline(), Digest::put_u64);
        self.digest.put_option(self.roster.snapshot_due(), Digest::put_u64);
        self.digest.put_u64(self.roster.version());
        self.digest.put_u64(self.roster.epoch().into());
        self.digest.put_count(self.roster.listed_count());
        self.digest.put_bool(self.roster.may_gain_nodes(self.now));
        self.digest.put_count(self.others.hinted_count());
        self.digest.put_count(self.others.drained_count());
        self.digest.put_count(self.by_hand.listed_suspended());
    }

    fn record_notes(&mut self) {
        self.digest.put_all(&self.roster.statuses(self.now), put_note);
        for number in 0..NODES {
            let id = node_id(number);
            let replica = self.by_hand.replica(&id);
            self.digest.put_option(replica, |digest, replica| digest.put_u64(replica.0.into()));
            let told = self.roster.discovery_state(&id);
            self.digest.put_option(told, |digest, DiscoveryState { state, started, version }| {
                digest.put_tag(state_tag(state));
                digest.put_u64(started);
                digest.put_u64(version);
            });
        }
    }

    fn record_report(&mut self, kept: &Snapshot) {
        let report = StatusReport::new(std::slice::from_ref(kept), self.now, CHANGES_EVERY);
        self.digest.put_u64(report.epoch.into());
        self.digest.put_u64(report.version);
        self.digest.put_option(report.age_s, Digest::put_f64);
        self.digest.put_f64(report.changes_every_h);
        self.digest.put_all(&report.nodes, |digest, node| {
            digest.put_str(&node.id);
            digest.put_option(node.addr, |digest, address| digest.put_str(&address.to_string()));
            digest.put_u64(node.cell.into());
            digest.put_tag(state_tag(node.state));
            digest.put_option(node.age_s, Digest::put_f64);
            digest.put_f64(node.trust);
            digest.put_option(node.learned_s, Digest::put_f64);
        });
    }

    fn assert_busy(&self) {
        let told = self.told_by_standing;
        assert!(told.iter().all(|count| *count > 100), "too few lines told on: {told:?}");
        let (warm, kept, held) = (self.warm, self.kept, self.held_back);
        assert!(warm > 10 && kept > 100 && held > 100, "warm {warm}, kept {kept}, held back {held}");
        assert!(self.roster.epoch() > 0, "discovery never counted anew");
    }
}

/// What this broker's own list says of a node.
fn own_word(roster: &Registry, id: &str) -> LocalReport {
    let told = roster.discovery_state(id);
    told.map_or(LocalReport::default(), |told| LocalReport { started: told.started, version: told.version })
}

/// The stored form, whose names stay.
fn put_kept(digest: &mut Digest, kept: &Snapshot) {
    digest.put_bytes(&encode(kept).expect("a list of this size can be kept"));
}

fn put_note(digest: &mut Digest, note: &NodeStatus) {
    digest.put_str(&note.record.id);
    digest.put_option(note.record.addr, |digest, address| digest.put_str(&address.to_string()));
    digest.put_str(&note.record.zone);
    digest.put_str(&note.record.kind);
    digest.put_u64(note.record.cell.into());
    digest.put_tag(state_tag(note.record.state));
    digest.put_u64(note.record.started);
    digest.put_tag(state_tag(note.state));
    digest.put_u64(note.learned);
    digest.put_option(note.confirmed, Digest::put_u64);
    digest.put_f64(note.trust);
}

/// The gate's choice and the figures of trust, over drawn candidates.
fn admitted(seed: u64) -> u64 {
    let (mut random, mut digest) = (RandomSource::new(seed), Digest::default());
    let stands = [Admission::Confirmed, Admission::Admitted, Admission::Waiting, Admission::Failed];
    let mut counts = [0u64; 2];
    for _ in 0..1000 {
        let mut candidates = Vec::new();
        for _ in 0..random.below(20) {
            let (cell, trust) = (random.below(8) as u32, random.share());
            candidates.push(Candidate { cell, trust, admission: stands[random.index(stands.len())] });
        }
        let chosen = admit(PartitionLayout { cells: 8, span: 3 }, &candidates, random.index(4));
        chosen.iter().for_each(|yes| counts[usize::from(*yes)] += 1);
        digest.put_all(&chosen, |digest, yes| digest.put_bool(*yes));
        let age = random.below(100) * HOUR;
        let trusted = staleness::trust_at_age(age, CHANGES_EVERY as f64);
        digest.put_f64(trusted);
        digest.put_option(staleness::failures_until_ejection(trusted), |digest, strikes| {
            digest.put_u64(strikes.into())
        });
        digest.put_count(staleness::initial_admissions(trusted, candidates.len()));
        digest.put_option(staleness::assumed_start(trusted, NOON, HOUR), Digest::put_u64);
    }
    assert!(counts.iter().all(|count| *count > 500), "the gate nearly always says the same: {counts:?}");
    digest.value()
}

#[test]
fn what_is_told_on() {
    assert_recorded("membership", TOLD_ON, |seed| Simulation::new(seed).run());
}

#[test]
fn who_is_admitted() {
    assert_recorded("the gate", ADMITTED, admitted);
}
