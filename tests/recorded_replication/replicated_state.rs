//! Copies of the replicated state that take words, join facts of each other, are cut off, forget, and catch up by walks.
//!
//! Recorded: the result of every change, every message of a walk, every piece of news, and after each event the version,
//! the root digest and what follows for the copy's broker. Not recorded: `DerivedState::ends`, which can only be read by
//! `until` and `ended` (both are recorded).

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

/// Recorded before names and structure were changed.
const RECORDINGS: [Recording; 3] = [
    Recording { seed: 1, digest: 0x05b7_0f9f_f016_09e9 },
    Recording { seed: 2, digest: 0x0cce_2ddc_d573_99e4 },
    Recording { seed: 3, digest: 0x4daf_faec_d3d6_e46c },
];

const EVENTS: usize = 4_000;
const COPIES: usize = 4;
const BOUNDS: StoreLimits = StoreLimits {
    max_registers: 20,
    max_servers: 8,
    retention: 100 * SECOND,
    max_clock_lead: 600 * SECOND,
    max_origins: 24,
};
/// Bytes of news that one message holds.
const NEWS_ROOM: usize = 500;
/// Words that do not fit into one message, and walks that bring them.
const LARGE_WORDS: u64 = 20;
const LARGE_WALKS: usize = 20;
/// Old facts that are held back and come again later.
const OLD_FACTS: usize = 200;

/// One copy, and what its broker makes of it.
struct Replica {
    name: String,
    copy: StateStore,
    news: RumorQueue,
    effect: DerivedState,
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
        for n in 0..COPIES {
            let copy = StateStore::new(scenario.draw_origin(), BOUNDS);
            let (news, effect) = (RumorQueue::default(), DerivedState::default());
            scenario.replicas.push(Replica { name: format!("broker-{n}"), copy, news, effect });
        }
        scenario
    }

    fn draw_origin(&mut self) -> Origin {
        self.next_origin += 1;
        Origin(self.next_origin)
    }

    fn event(&mut self) {
        self.now += pick(&mut self.random, 8) as u64 * SECOND;
        let at = pick(&mut self.random, COPIES);
        let other = (at + 1 + pick(&mut self.random, COPIES - 1)) % COPIES;
        match pick(&mut self.random, 32) {
            0..=7 => self.say(at),
            8..=10 => self.discover(at),
            11..=12 => self.forget(at),
            13..=14 => self.join_old_fact(at),
            15 => self.join_unsound(at),
            16..=17 => self.cut(at, other),
            18..=22 => self.tell_news(at),
            23..=25 => self.merge(other, at),
            26 => self.double(at),
            _ => self.walk(at, other),
        }
        self.observe(at);
    }

    fn draw_key(&mut self) -> FactKey {
        match pick(&mut self.random, 16) {
            0 | 1 => FactKey::Pause(format!("broker-{}", pick(&mut self.random, COPIES))),
            2 => FactKey::Removed(format!("broker-{}", pick(&mut self.random, COPIES))),
            3 => FactKey::MaintenanceOrder(format!("order-{}", pick(&mut self.random, 3))),
            4 => FactKey::Site(format!("site-{}", pick(&mut self.random, 3))),
            5 if one_in(&mut self.random, 4) => FactKey::Server(String::new()),
            6 if one_in(&mut self.random, 4) => FactKey::Drain("server-0".into()),
            _ => FactKey::Server(format!("server-{}", pick(&mut self.random, 24))),
        }
    }

    fn draw_word(&mut self, at: usize) -> OperatorCommand {
        let value = match pick(&mut self.random, 6) {
            0..=2 => CommandValue::Clear,
            3 | 4 => CommandValue::Set,
            _ => CommandValue::Text("text ".repeat(1 + pick(&mut self.random, 900))),
        };
        let lasts = one_in(&mut self.random, 3).then(|| 1 + pick(&mut self.random, 90) as u64 * SECOND);
        OperatorCommand {
            value,
            author: "staff".into(),
            reason: "reason".into(),
            broker: format!("broker-{at}"),
            issued_at: self.now,
            expires_at: lasts.map(|time| self.now + time),
        }
    }

    fn say(&mut self, at: usize) {
        let (key, word) = (self.draw_key(), self.draw_word(at));
        let replica = &mut self.replicas[at];
        let result = replica.copy.record(&key, word);
        if result.is_ok() {
            replica.news.push(key, COPIES);
            self.recorder.count("said");
        }
        put_result(&mut self.recorder, result);
    }

    fn discover(&mut self, at: usize) {
        let id = format!("server-{}", pick(&mut self.random, 20));
        let key = if one_in(&mut self.random, 2) { FactKey::Drain(id) } else { FactKey::Start(id) };
        // Some lie further ahead than may be.
        let started = self.now - 100 * SECOND + pick(&mut self.random, 800) as u64 * SECOND;
        let latest = ProcessStart { started, list_version: pick(&mut self.random, 9) as u64 };
        self.join(at, &key, &FactValue::Latest(latest));
    }

    fn join(&mut self, at: usize, key: &FactKey, entry: &FactValue) {
        let replica = &mut self.replicas[at];
        let result = replica.copy.join(key, entry, self.now);
        match result {
            Ok(true) => {
                replica.news.push(key.clone(), COPIES);
                self.recorder.count("joined");
            }
            Ok(false) => self.recorder.count("known already"),
            Err(_) => {}
        }
        put_result(&mut self.recorder, result);
    }

    fn forget(&mut self, at: usize) {
        let forgotten = self.replicas[at].copy.collect_garbage(self.now);
        if !forgotten.is_empty() {
            self.recorder.count("forgot");
        }
        self.recorder.put_stored(&forgotten);
    }

    fn join_old_fact(&mut self, at: usize) {
        if self.old_facts.is_empty() {
            return;
        }
        let (key, entry) = self.old_facts[pick(&mut self.random, self.old_facts.len())].clone();
        self.join(at, &key, &entry);
    }

    fn join_unsound(&mut self, at: usize) {
        let words = FactValue::Commands(Register::default());
        let keys = [
            FactKey::Drain("server-1".into()),
            FactKey::Server("x".repeat(129)),
            FactKey::Collected(Origin(1)),
        ];
        for key in &keys {
            self.join(at, key, &words);
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

    fn tell_news(&mut self, at: usize) {
        let replica = &mut self.replicas[at];
        let facts = replica.news.take(&replica.copy, NEWS_ROOM);
        self.recorder.put_bool(replica.news.is_empty());
        self.recorder.put_stored(&facts);
        if !facts.is_empty() {
            self.recorder.count("news");
        }
        for to in (0..COPIES).filter(|to| *to != at) {
            if !self.is_cut(at, to) && !one_in(&mut self.random, 3) {
                facts.iter().for_each(|(key, entry)| self.join(to, key, entry));
            }
        }
    }

    /// A copy takes in the facts of another one, but for some that are lost.
    fn merge(&mut self, from: usize, to: usize) {
        if self.is_cut(from, to) {
            return;
        }
        self.recorder.count("merge");
        let facts: Vec<Fact> =
            self.replicas[from].copy.facts().map(|(key, entry)| (key.clone(), entry.clone())).collect();
        for (key, entry) in facts {
            if one_in(&mut self.random, 3) {
                continue;
            }
            self.join(to, &key, &entry);
            if one_in(&mut self.random, 10) && self.old_facts.len() < OLD_FACTS {
                self.old_facts.push((key, entry));
            }
        }
    }

    /// Another process has a copied memory: both use one origin until that is noticed.
    fn double(&mut self, at: usize) {
        let mut twin = self.replicas[at].copy.clone();
        let word = self.draw_word(at);
        let told = twin.record(&FactKey::Server("server-0".into()), word);
        put_result(&mut self.recorder, told);
        let facts: Vec<Fact> = twin.facts().map(|(key, entry)| (key.clone(), entry.clone())).collect();
        facts.iter().for_each(|(key, entry)| self.join(at, key, entry));
        self.recorder.put_bool(self.replicas[at].copy.has_duplicate_origin());
        self.say(at);
        if self.replicas[at].copy.has_duplicate_origin() {
            let origin = self.draw_origin();
            self.replicas[at].copy.set_origin(origin);
            self.recorder.count("new origin");
        }
    }

    /// One copy walks with another one, until the walk is over or breaks off.
    fn walk(&mut self, at: usize, other: usize) {
        if self.is_cut(at, other) {
            return;
        }
        let budget = [300, 5_000, 1 << 20][pick(&mut self.random, 3)];
        let (mut walk, mut ask) = SyncSession::begin(&self.replicas[at].copy, budget);
        self.recorder.count("walk");
        while !one_in(&mut self.random, 20) {
            let answer = self.answer(other, &ask);
            answer.facts().iter().for_each(|(key, entry)| self.join(at, key, entry));
            match walk.on_response(&self.replicas[at].copy, &answer).unwrap() {
                Some(next) => ask = next,
                None => break,
            }
        }
        self.recorder.put_bool(walk.is_finished());
        self.recorder.put_bool(walk.is_complete());
        self.recorder.count(if walk.is_complete() { "whole walk" } else { "partial walk" });
        // What is out of turn ends a walk.
        let refused = walk.on_response(&self.replicas[at].copy, &SyncMessage::Begin { root: 0 }).is_err();
        self.recorder.put_bool(refused);
    }

    fn answer(&mut self, other: usize, ask: &SyncMessage) -> SyncMessage {
        self.put_message(ask);
        ask.facts().iter().for_each(|(key, entry)| self.join(other, key, entry));
        let answer = anti_entropy::respond(&self.replicas[other].copy, ask).unwrap();
        self.put_message(&answer);
        answer
    }

    fn put_message(&mut self, message: &SyncMessage) {
        match message {
            SyncMessage::Facts { resume_at: Some(_), .. } => self.recorder.count("facts in parts"),
            SyncMessage::Push { .. } => self.recorder.count("given"),
            _ => {}
        }
        self.recorder.put_stored(message);
    }

    fn observe(&mut self, at: usize) {
        let (now, recorder) = (self.now, &mut self.recorder);
        let Replica { name, copy, effect, .. } = &mut self.replicas[at];
        let mut keys = copy.take_changed_keys();
        recorder.put_stored(&keys);
        let ended = effect.expired_keys(now);
        recorder.put_stored(&ended);
        keys.extend(ended);
        keys.iter().for_each(|key| effect.update(copy, key, name, now));
        recorder.put_stored(&(copy.origin(), copy.version(), copy.len(), copy.tree().root()));
        put_effect(recorder, effect);
        if !effect.conflicts.is_empty() {
            recorder.count("conflict");
        }
    }

    /// Copies whose facts need several messages, and one register more words than travel together.
    fn walk_in_parts(&mut self) {
        self.cuts.clear();
        self.replicas[0].copy = StateStore::new(Origin(1), StoreLimits::default());
        self.replicas[1].copy = StateStore::new(Origin(2), StoreLimits::default());
        for n in 0..LARGE_WORDS {
            let mut author = StateStore::new(Origin(1_000 + n), StoreLimits::default());
            let word = OperatorCommand { value: CommandValue::Text("x".repeat(4_000)), ..self.draw_word(0) };
            for key in [
                FactKey::MaintenanceOrder(format!("order-{n}")),
                FactKey::MaintenanceOrder("contested".into()),
            ] {
                author.record(&key, word.clone()).unwrap();
            }
            author.facts().for_each(|(key, entry)| self.join(0, key, entry));
        }
        (0..LARGE_WALKS).for_each(|_| self.walk(1, 0));
    }

    fn finish(mut self) -> Recorder {
        for replica in &self.replicas {
            let recorder = &mut self.recorder;
            recorder.put_bytes(&replica.copy.to_bytes());
            for (_, register) in replica.copy.registers() {
                recorder.put_stored(&register.split(1));
                register.commands().for_each(|(_, said)| recorder.put_str(said.value.label()));
            }
            for (id, heard) in derived_state::node_hints(&replica.copy) {
                recorder.put_stored(&(id, heard.drain, heard.started));
            }
            put_effect(recorder, &DerivedState::new(&replica.copy, &replica.name, self.now));
        }
        self.recorder
    }
}

fn put_result(recorder: &mut Recorder, result: Result<impl Serialize, JoinError>) {
    let refused = match result {
        Ok(value) => return recorder.put_stored(&(true, value)),
        Err(refused) => refused,
    };
    let (tag, kind) = match refused {
        JoinError::Invalid => (1, "unsound"),
        JoinError::FromTheFuture => (2, "ahead"),
        JoinError::AtCapacity => (3, "full"),
        JoinError::DuplicateOrigin => (4, "doubled"),
    };
    recorder.put_stored(&(false, tag));
    recorder.count(kind);
}

pub fn put_effect(recorder: &mut Recorder, effect: &DerivedState) {
    recorder.put_stored(&(
        &effect.disabled_servers,
        effect.paused,
        &effect.removed_brokers,
        &effect.conflicts,
        effect.next_expiry(),
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
        scenario.walk_in_parts();
        scenario.finish()
    });
}
