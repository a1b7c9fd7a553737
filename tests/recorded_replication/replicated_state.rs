//! Replicas of the state that record commands, join facts of each other, are cut off, collect garbage, and
//! catch up by anti-entropy sessions.
//!
//! Recorded: the result of every change, every message of a session, every batch of rumors, and after each
//! event the version, the root digest and the derived state of the replica's broker. Not recorded: the
//! expiries within `DerivedState`, which can only be read by `next_expiry` and `expired_keys` (both are
//! recorded).

use super::digest::{AtLeast, Recorder, Recording, SECOND, assert_recorded, one_in, pick, random};
use pebbleturn::replication::anti_entropy::{self, SyncMessage, SyncSession};
use pebbleturn::replication::derived_state::{self, DerivedState};
use pebbleturn::replication::rumor_queue::RumorQueue;
use pebbleturn::replication::{
    CommandValue, Fact, FactKey, FactValue, JoinError, OperatorCommand, Origin, ProcessStart, Register,
    StateStore, StoreLimits,
};
use rand_pcg::Pcg32;
use serde::Serialize;
use std::collections::BTreeSet;

/// Digests of the code before it was refactored.
const RECORDINGS: [Recording; 3] = [
    Recording { seed: 1, digest: 0x05b7_0f9f_f016_09e9 },
    Recording { seed: 2, digest: 0x0cce_2ddc_d573_99e4 },
    Recording { seed: 3, digest: 0x4daf_faec_d3d6_e46c },
];

const EVENTS: usize = 4_000;
const REPLICAS: usize = 4;
const LIMITS: StoreLimits = StoreLimits {
    max_registers: 20,
    max_servers: 8,
    retention: 100 * SECOND,
    max_clock_lead: 600 * SECOND,
    max_origins: 24,
};
/// Maximum size of a batch of rumors, bytes.
const RUMOR_BATCH_BYTES: usize = 500;
/// Commands that together exceed one message, and the sessions that transfer them.
const LARGE_COMMANDS: u64 = 20;
const LARGE_SESSIONS: usize = 20;
/// Maximum number of old facts that are retained and joined again later.
const MAX_OLD_FACTS: usize = 200;

/// A replica of the state, and the state that its broker derives from it.
struct Replica {
    name: String,
    store: StateStore,
    rumors: RumorQueue,
    derived: DerivedState,
}

struct Scenario {
    random: Pcg32,
    recorder: Recorder,
    now: u64,
    next_origin: u64,
    replicas: Vec<Replica>,
    cuts: BTreeSet<(usize, usize)>,
    old_facts: Vec<Fact>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut scenario = Scenario {
            random: random(seed),
            recorder: Recorder::new(),
            now: 1_000_000 * SECOND,
            next_origin: 1,
            replicas: Vec::new(),
            cuts: BTreeSet::new(),
            old_facts: Vec::new(),
        };
        for n in 0..REPLICAS {
            let store = StateStore::new(scenario.draw_origin(), LIMITS);
            let (rumors, derived) = (RumorQueue::default(), DerivedState::default());
            scenario.replicas.push(Replica { name: format!("broker-{n}"), store, rumors, derived });
        }
        scenario
    }

    fn draw_origin(&mut self) -> Origin {
        self.next_origin += 1;
        Origin(self.next_origin)
    }

    fn event(&mut self) {
        self.now += pick(&mut self.random, 8) as u64 * SECOND;
        let at = pick(&mut self.random, REPLICAS);
        let other = (at + 1 + pick(&mut self.random, REPLICAS - 1)) % REPLICAS;
        match pick(&mut self.random, 32) {
            0..=7 => self.issue_command(at),
            8..=10 => self.join_process_event(at),
            11..=12 => self.collect_garbage(at),
            13..=14 => self.join_old_fact(at),
            15 => self.join_invalid_facts(at),
            16..=17 => self.cut(at, other),
            18..=22 => self.spread_rumors(at),
            23..=25 => self.merge(other, at),
            26 => self.duplicate_origin(at),
            _ => self.synchronize(at, other),
        }
        self.record_state(at);
    }

    fn draw_key(&mut self) -> FactKey {
        match pick(&mut self.random, 16) {
            0 | 1 => FactKey::Pause(format!("broker-{}", pick(&mut self.random, REPLICAS))),
            2 => FactKey::Removed(format!("broker-{}", pick(&mut self.random, REPLICAS))),
            3 => FactKey::MaintenanceOrder(format!("order-{}", pick(&mut self.random, 3))),
            4 => FactKey::Site(format!("site-{}", pick(&mut self.random, 3))),
            5 if one_in(&mut self.random, 4) => FactKey::Server(String::new()),
            6 if one_in(&mut self.random, 4) => FactKey::Drain("server-0".into()),
            _ => FactKey::Server(format!("server-{}", pick(&mut self.random, 24))),
        }
    }

    fn draw_command(&mut self, at: usize) -> OperatorCommand {
        let value = match pick(&mut self.random, 6) {
            0..=2 => CommandValue::Clear,
            3 | 4 => CommandValue::Set,
            _ => CommandValue::Text("text ".repeat(1 + pick(&mut self.random, 900))),
        };
        let lifetime = one_in(&mut self.random, 3).then(|| 1 + pick(&mut self.random, 90) as u64 * SECOND);
        OperatorCommand {
            value,
            author: "staff".into(),
            reason: "reason".into(),
            broker: format!("broker-{at}"),
            issued_at: self.now,
            expires_at: lifetime.map(|time| self.now + time),
        }
    }

    fn issue_command(&mut self, at: usize) {
        let (key, command) = (self.draw_key(), self.draw_command(at));
        let replica = &mut self.replicas[at];
        let result = replica.store.record(&key, command);
        if result.is_ok() {
            replica.rumors.push(key, REPLICAS);
            self.recorder.count("said");
        }
        put_result(&mut self.recorder, result);
    }

    fn join_process_event(&mut self, at: usize) {
        let id = format!("server-{}", pick(&mut self.random, 20));
        let key = if one_in(&mut self.random, 2) { FactKey::Drain(id) } else { FactKey::Start(id) };
        // Some lie further ahead than the clock lead allows.
        let started = self.now - 100 * SECOND + pick(&mut self.random, 800) as u64 * SECOND;
        let latest = ProcessStart { started, list_version: pick(&mut self.random, 9) as u64 };
        self.join(at, &key, &FactValue::Latest(latest));
    }

    fn join(&mut self, at: usize, key: &FactKey, entry: &FactValue) {
        let replica = &mut self.replicas[at];
        let result = replica.store.join(key, entry, self.now);
        match result {
            Ok(true) => {
                replica.rumors.push(key.clone(), REPLICAS);
                self.recorder.count("joined");
            }
            Ok(false) => self.recorder.count("known already"),
            Err(_) => {}
        }
        put_result(&mut self.recorder, result);
    }

    fn collect_garbage(&mut self, at: usize) {
        let collected = self.replicas[at].store.collect_garbage(self.now);
        if !collected.is_empty() {
            self.recorder.count("forgot");
        }
        self.recorder.put_serialized(&collected);
    }

    fn join_old_fact(&mut self, at: usize) {
        if self.old_facts.is_empty() {
            return;
        }
        let (key, entry) = self.old_facts[pick(&mut self.random, self.old_facts.len())].clone();
        self.join(at, &key, &entry);
    }

    fn join_invalid_facts(&mut self, at: usize) {
        let commands = FactValue::Commands(Register::default());
        let keys = [
            FactKey::Drain("server-1".into()),
            FactKey::Server("x".repeat(129)),
            FactKey::Collected(Origin(1)),
        ];
        for key in &keys {
            self.join(at, key, &commands);
        }
    }

    fn cut(&mut self, at: usize, other: usize) {
        let link = (at.min(other), at.max(other));
        if !self.cuts.remove(&link) {
            self.cuts.insert(link);
            self.recorder.count("cut");
        }
    }

    fn is_cut(&self, at: usize, other: usize) -> bool {
        self.cuts.contains(&(at.min(other), at.max(other)))
    }

    fn spread_rumors(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        let facts = replica.rumors.take(&replica.store, RUMOR_BATCH_BYTES);
        self.recorder.put_bool(replica.rumors.is_empty());
        self.recorder.put_serialized(&facts);
        if !facts.is_empty() {
            self.recorder.count("news");
        }
        for to in (0..REPLICAS).filter(|to| *to != at) {
            if !self.is_cut(at, to) && !one_in(&mut self.random, 3) {
                facts.iter().for_each(|(key, entry)| self.join(to, key, entry));
            }
        }
    }

    /// A replica joins the facts of another one, except for some that are lost.
    fn merge(&mut self, from: usize, to: usize) {
        if self.is_cut(from, to) {
            return;
        }
        self.recorder.count("merge");
        let facts: Vec<Fact> =
            self.replicas[from].store.facts().map(|(key, entry)| (key.clone(), entry.clone())).collect();
        for (key, entry) in facts {
            if one_in(&mut self.random, 3) {
                continue;
            }
            self.join(to, &key, &entry);
            if one_in(&mut self.random, 10) && self.old_facts.len() < MAX_OLD_FACTS {
                self.old_facts.push((key, entry));
            }
        }
    }

    /// Another process runs from a copy of the memory: both use one origin until the duplicate is detected.
    fn duplicate_origin(&mut self, at: usize) {
        let mut duplicate = self.replicas[at].store.clone();
        let command = self.draw_command(at);
        let result = duplicate.record(&FactKey::Server("server-0".into()), command);
        put_result(&mut self.recorder, result);
        let facts: Vec<Fact> = duplicate.facts().map(|(key, entry)| (key.clone(), entry.clone())).collect();
        facts.iter().for_each(|(key, entry)| self.join(at, key, entry));
        self.recorder.put_bool(self.replicas[at].store.has_duplicate_origin());
        self.issue_command(at);
        if self.replicas[at].store.has_duplicate_origin() {
            let origin = self.draw_origin();
            self.replicas[at].store.set_origin(origin);
            self.recorder.count("new origin");
        }
    }

    /// One replica synchronizes with another one, until the session finishes or breaks off.
    fn synchronize(&mut self, at: usize, other: usize) {
        if self.is_cut(at, other) {
            return;
        }
        let budget = [300, 5_000, 1 << 20][pick(&mut self.random, 3)];
        let (mut session, mut request) = SyncSession::begin(&self.replicas[at].store, budget);
        self.recorder.count("walk");
        while !one_in(&mut self.random, 20) {
            let response = self.respond(other, &request);
            response.facts().iter().for_each(|(key, entry)| self.join(at, key, entry));
            match session.on_response(&self.replicas[at].store, &response).unwrap() {
                Some(next) => request = next,
                None => break,
            }
        }
        self.recorder.put_bool(session.is_finished());
        self.recorder.put_bool(session.is_complete());
        self.recorder.count(if session.is_complete() { "whole walk" } else { "partial walk" });
        // A message out of sequence ends a session.
        let is_rejected =
            session.on_response(&self.replicas[at].store, &SyncMessage::Begin { root: 0 }).is_err();
        self.recorder.put_bool(is_rejected);
    }

    fn respond(&mut self, other: usize, request: &SyncMessage) -> SyncMessage {
        self.record_message(request);
        request.facts().iter().for_each(|(key, entry)| self.join(other, key, entry));
        let response = anti_entropy::respond(&self.replicas[other].store, request).unwrap();
        self.record_message(&response);
        response
    }

    fn record_message(&mut self, message: &SyncMessage) {
        match message {
            SyncMessage::Facts { resume_at: Some(_), .. } => self.recorder.count("facts in parts"),
            SyncMessage::Push { .. } => self.recorder.count("given"),
            _ => {}
        }
        self.recorder.put_serialized(message);
    }

    fn record_state(&mut self, at: usize) {
        let (now, recorder) = (self.now, &mut self.recorder);
        let Replica { name, store, derived, .. } = &mut self.replicas[at];
        let mut keys = store.take_changed_keys();
        recorder.put_serialized(&keys);
        let expired = derived.expired_keys(now);
        recorder.put_serialized(&expired);
        keys.extend(expired);
        keys.iter().for_each(|key| derived.update(store, key, name, now));
        recorder.put_serialized(&(store.origin(), store.version(), store.len(), store.tree().root()));
        put_derived_state(recorder, derived);
        if !derived.conflicts.is_empty() {
            recorder.count("conflict");
        }
    }

    /// Synchronizes replicas whose facts need several messages, with one register of more commands than one
    /// message holds.
    fn synchronize_large_state(&mut self) {
        self.cuts.clear();
        self.replicas[0].store = StateStore::new(Origin(1), StoreLimits::default());
        self.replicas[1].store = StateStore::new(Origin(2), StoreLimits::default());
        for n in 0..LARGE_COMMANDS {
            let mut author = StateStore::new(Origin(1_000 + n), StoreLimits::default());
            let command =
                OperatorCommand { value: CommandValue::Text("x".repeat(4_000)), ..self.draw_command(0) };
            for key in [
                FactKey::MaintenanceOrder(format!("order-{n}")),
                FactKey::MaintenanceOrder("contested".into()),
            ] {
                author.record(&key, command.clone()).unwrap();
            }
            author.facts().for_each(|(key, entry)| self.join(0, key, entry));
        }
        (0..LARGE_SESSIONS).for_each(|_| self.synchronize(1, 0));
    }

    fn finish(mut self) -> Recorder {
        for replica in &self.replicas {
            let recorder = &mut self.recorder;
            recorder.put_bytes(&replica.store.to_bytes());
            for (_, register) in replica.store.registers() {
                recorder.put_serialized(&register.split(1));
                register.commands().for_each(|(_, command)| recorder.put_str(command.value.label()));
            }
            for (id, hints) in derived_state::node_hints(&replica.store) {
                recorder.put_serialized(&(id, hints.drain, hints.started));
            }
            put_derived_state(recorder, &DerivedState::new(&replica.store, &replica.name, self.now));
        }
        self.recorder
    }
}

fn put_result(recorder: &mut Recorder, result: Result<impl Serialize, JoinError>) {
    let error = match result {
        Ok(value) => return recorder.put_serialized(&(true, value)),
        Err(error) => error,
    };
    let (tag, kind) = match error {
        JoinError::Invalid => (1, "unsound"),
        JoinError::FromTheFuture => (2, "ahead"),
        JoinError::AtCapacity => (3, "full"),
        JoinError::DuplicateOrigin => (4, "doubled"),
    };
    recorder.put_serialized(&(false, tag));
    recorder.count(kind);
}

pub fn put_derived_state(recorder: &mut Recorder, derived: &DerivedState) {
    recorder.put_serialized(&(
        &derived.disabled_servers,
        derived.paused,
        &derived.removed_brokers,
        &derived.conflicts,
        derived.next_expiry(),
    ));
}

#[test]
fn replicated_state_behaves_as_recorded() {
    let expected = [
        AtLeast { count: 500, kinds: "joined, known already" },
        AtLeast { count: 100, kinds: "said, merge, news, walk, whole walk, conflict, unsound" },
        AtLeast { count: 20, kinds: "forgot, cut, partial walk, given, new origin, ahead, full, doubled" },
        AtLeast { count: 5, kinds: "facts in parts" },
    ];
    assert_recorded(&RECORDINGS, &expected, |seed| {
        let mut scenario = Scenario::new(seed);
        for _ in 0..EVENTS {
            scenario.event();
        }
        scenario.synchronize_large_state();
        scenario.finish()
    });
}
