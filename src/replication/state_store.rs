//! One broker's copy of what all are to know.

use super::merkle_tree::{self, MerkleTree};
use super::multi_value_register::{MAX_NAME_BYTES, OperatorCommand, Register};
use super::version_vector::{Dot, Origin, Ranges, VersionVector};
use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What a fact is about.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// A server by its id: out by hand, or not.
    Server(String),
    /// A broker by its name: paused by hand, or not.
    Pause(String),
    /// A broker by its name: removed for good, or not.
    Removed(String),
    /// A work order by its id.
    #[serde(rename = "Work")]
    MaintenanceOrder(String),
    /// A site by its name.
    Site(String),
    /// A server by its id: the latest drain that was learnt.
    Drain(String),
    /// A server by its id: its latest start.
    Start(String),
    /// Stamps of what was forgotten.
    #[serde(rename = "Spent")]
    Collected(Origin),
}

impl FactKey {
    /// The least of all: where a walk over a leaf begins.
    pub const LEAST: FactKey = FactKey::Server(String::new());

    /// The thing's name, if it has one.
    pub fn name(&self) -> Option<&str> {
        match self {
            FactKey::Server(n)
            | FactKey::Pause(n)
            | FactKey::Removed(n)
            | FactKey::MaintenanceOrder(n)
            | FactKey::Site(n)
            | FactKey::Drain(n)
            | FactKey::Start(n) => Some(n),
            FactKey::Collected(_) => None,
        }
    }

    fn leaf(&self) -> u16 {
        merkle_tree::leaf_index(&postcard::to_allocvec(self).unwrap_or_default())
    }
}

impl fmt::Display for FactKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FactKey::Server(n) => write!(f, "server {n}"),
            FactKey::Pause(n) => write!(f, "pause of {n}"),
            FactKey::Removed(n) => write!(f, "removal of {n}"),
            FactKey::MaintenanceOrder(n) => write!(f, "work {n}"),
            FactKey::Site(n) => write!(f, "site {n}"),
            FactKey::Drain(n) => write!(f, "drain of {n}"),
            FactKey::Start(n) => write!(f, "start of {n}"),
            FactKey::Collected(o) => write!(f, "spent of {o}"),
        }
    }
}

/// What discovery said of a server's process: the later start holds, of one start the later version of the list.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessStart {
    /// Unix time of the process's start, ns; 0: long ago.
    pub started: Nanos,
    /// The version of discovery's list that told it; 0 where that does not matter.
    #[serde(rename = "version")]
    pub list_version: u64,
}

/// What is known of a key.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub enum FactValue {
    /// Words by hand.
    #[serde(rename = "Words")]
    Commands(Register),
    /// Told by discovery.
    Latest(ProcessStart),
    /// Forgotten.
    #[serde(rename = "Spent")]
    Collected(Ranges),
}

/// A key with what is known of it.
pub type Fact = (FactKey, FactValue);

/// Why a fact is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JoinError {
    /// It could not have been made by this program: its kind does not fit its key, or something in it is too long.
    Invalid,
    /// It speaks of a start that lies ahead of this broker's clock.
    FromTheFuture,
    /// There are as many facts as may be.
    AtCapacity,
    /// Somebody else uses this origin; a new one must be drawn first.
    DuplicateOrigin,
}

impl fmt::Display for JoinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JoinError::Invalid => write!(f, "it is no sound fact"),
            JoinError::FromTheFuture => write!(f, "it speaks of a start that is still to come"),
            JoinError::AtCapacity => write!(f, "there are as many facts as may be"),
            JoinError::DuplicateOrigin => write!(f, "another process uses these stamps"),
        }
    }
}

impl std::error::Error for JoinError {}

/// Things that are forgotten at a time: each look at all words is one for all of them.
const AT_A_TIME: usize = 1024;

/// How much a copy may hold, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Things that words may be about. Words that come from peers may be about twice as many: what was acknowledged
    /// elsewhere is not dropped.
    pub max_registers: usize,
    /// Servers whose latest drains, and whose latest starts, are kept; the earliest go first.
    pub max_servers: usize,
    /// How long a word that has ended is kept before its stamps alone remain.
    pub retention: Nanos,
    /// How far ahead of this clock a start may lie.
    pub max_clock_lead: Nanos,
    /// Origins whose spent stamps are kept; beyond that nothing is forgotten any more.
    pub max_origins: usize,
}

impl Default for StoreLimits {
    fn default() -> StoreLimits {
        const S: Nanos = 1_000_000_000;
        StoreLimits {
            max_registers: 16_384,
            max_servers: 16_384,
            retention: 7 * 86_400 * S,
            max_clock_lead: 600 * S,
            max_origins: 16_384,
        }
    }
}

/// A copy. Joining two is commutative, associative and idempotent: copies that have heard of the same facts are equal,
/// in whatever order, however often and by whatever way these came.
#[derive(Clone, Debug)]
pub struct StateStore {
    limits: StoreLimits,
    origin: Origin,
    /// The number of the last word that this origin said.
    last_sequence: u64,
    facts: BTreeMap<(u16, FactKey), FactValue>,
    tree: MerkleTree,
    /// The same stamps as the `Spent` entries.
    collected: VersionVector,
    /// By start, to find the earliest: drains, then starts.
    ages: [BTreeSet<(ProcessStart, String)>; 2],
    register_count: usize,
    /// Changes whenever any fact does.
    version: u64,
    /// Somebody else uses this origin: memory that was copied.
    duplicate_origin: bool,
    /// Keys that changed and were not looked at since.
    changed_keys: BTreeSet<FactKey>,
}

impl StateStore {
    /// An empty copy of a process that was given this origin.
    pub fn new(origin: Origin, bounds: StoreLimits) -> StateStore {
        StateStore {
            limits: bounds,
            origin,
            last_sequence: 0,
            facts: BTreeMap::new(),
            tree: MerkleTree::default(),
            collected: VersionVector::default(),
            ages: Default::default(),
            register_count: 0,
            version: 0,
            duplicate_origin: false,
            changed_keys: BTreeSet::new(),
        }
    }

    /// The origin of what is said here.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Whether somebody else uses this origin: a new one must be drawn before the next word.
    pub fn has_duplicate_origin(&self) -> bool {
        self.duplicate_origin
    }

    /// From now on words have this origin.
    pub fn set_origin(&mut self, origin: Origin) {
        (self.origin, self.last_sequence, self.duplicate_origin) = (origin, 0, false);
    }

    /// The digests.
    pub fn tree(&self) -> &MerkleTree {
        &self.tree
    }

    /// Changes whenever any fact does.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Keys that changed since this was last asked.
    pub fn take_changed_keys(&mut self) -> BTreeSet<FactKey> {
        std::mem::take(&mut self.changed_keys)
    }

    /// Number of facts.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// What is known of a key.
    pub fn get(&self, key: &FactKey) -> Option<&FactValue> {
        self.facts.get(&(key.leaf(), key.clone()))
    }

    /// The words on a key.
    pub fn register(&self, key: &FactKey) -> Option<&Register> {
        match self.get(key) {
            Some(FactValue::Commands(r)) => Some(r),
            _ => None,
        }
    }

    /// All facts, by leaf.
    pub fn facts(&self) -> impl Iterator<Item = (&FactKey, &FactValue)> {
        self.facts.iter().map(|((_, k), e)| (k, e))
    }

    /// All words.
    pub fn registers(&self) -> impl Iterator<Item = (&FactKey, &Register)> {
        self.facts().filter_map(|(k, e)| if let FactValue::Commands(r) = e { Some((k, r)) } else { None })
    }

    /// The facts of a leaf, from this key on.
    pub fn facts_of_leaf(
        &self,
        leaf: u16,
        from: Option<&FactKey>,
    ) -> impl Iterator<Item = (&FactKey, &FactValue)> {
        let from = (leaf, from.unwrap_or(&FactKey::LEAST).clone());
        let facts = self.facts.range(from..).take_while(move |((l, _), _)| *l == leaf);
        facts.map(|((_, k), e)| (k, e))
    }

    /// The bytes of all that is known, the same in copies that are equal.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.facts().collect::<Vec<_>>()).unwrap_or_default()
    }

    /// The hash of a fact.
    pub fn fact_hash(key: &FactKey, entry: &FactValue) -> u64 {
        merkle_tree::hash(&postcard::to_allocvec(&(key, entry)).unwrap_or_default())
    }

    /// Puts an entry in its place; none takes it away.
    fn put(&mut self, key: &FactKey, entry: Option<FactValue>) {
        let place = (key.leaf(), key.clone());
        let age = |k: &FactKey| match k {
            FactKey::Drain(id) => Some((0, id.clone())),
            FactKey::Start(id) => Some((1, id.clone())),
            _ => None,
        };
        if let Some(old) = self.facts.get(&place) {
            self.tree.toggle(place.0, StateStore::fact_hash(key, old));
            if let (Some((n, id)), FactValue::Latest(l)) = (age(key), old) {
                self.ages[n].remove(&(*l, id));
            }
            self.register_count -= usize::from(matches!(old, FactValue::Commands(_)));
        }
        match entry {
            None => drop(self.facts.remove(&place)),
            Some(entry) => {
                self.tree.toggle(place.0, StateStore::fact_hash(key, &entry));
                if let (Some((n, id)), FactValue::Latest(l)) = (age(key), &entry) {
                    self.ages[n].insert((*l, id));
                }
                self.register_count += usize::from(matches!(entry, FactValue::Commands(_)));
                self.facts.insert(place, entry);
            }
        }
        self.version += 1;
        self.changed_keys.insert(key.clone());
    }

    /// Says something by hand. It takes the place of all that is known here of that key. JoinError where this copy holds
    /// as many things as may be, or the word is too long: then nothing was said.
    pub fn record(&mut self, key: &FactKey, said: OperatorCommand) -> Result<Dot, JoinError> {
        let sound =
            key.name().is_some_and(|n| !n.is_empty() && n.len() <= MAX_NAME_BYTES) && said.is_within_limits();
        if !sound || matches!(key, FactKey::Drain(_) | FactKey::Start(_)) {
            return Err(JoinError::Invalid);
        }
        if self.duplicate_origin {
            return Err(JoinError::DuplicateOrigin);
        }
        let mut register = self.register(key).cloned();
        if register.is_none() && self.register_count >= self.limits.max_registers {
            return Err(JoinError::AtCapacity);
        }
        self.last_sequence += 1;
        let dot = Dot { origin: self.origin, sequence: self.last_sequence };
        let mut r = register.take().unwrap_or_default();
        r.record(dot, said);
        self.put(key, Some(FactValue::Commands(r)));
        Ok(dot)
    }

    /// Takes in a fact. True if it was new.
    pub fn join(&mut self, key: &FactKey, entry: &FactValue, now: Nanos) -> Result<bool, JoinError> {
        if key.name().is_some_and(|n| n.is_empty() || n.len() > MAX_NAME_BYTES) {
            return Err(JoinError::Invalid);
        }
        match (key, entry) {
            (FactKey::Collected(origin), FactValue::Collected(ranges)) => self.forget(*origin, ranges),
            (FactKey::Drain(_) | FactKey::Start(_), FactValue::Latest(l)) => self.join_latest(key, *l, now),
            (FactKey::Collected(_) | FactKey::Drain(_) | FactKey::Start(_), _) => Err(JoinError::Invalid),
            (_, FactValue::Commands(r)) => self.join_words(key, r),
            (_, _) => Err(JoinError::Invalid),
        }
    }

    fn join_words(&mut self, key: &FactKey, theirs: &Register) -> Result<bool, JoinError> {
        if !theirs.is_valid() {
            return Err(JoinError::Invalid);
        }
        // Guards stamps against a process whose memory was copied: what it said must not be said again as something else.
        let own = theirs
            .causal_context()
            .ranges_of(self.origin)
            .and_then(|r| r.iter().last())
            .map_or(0, |(_, last)| last);
        if own > self.last_sequence {
            self.duplicate_origin = true;
        }
        let old = self.register(key);
        if old.is_none() && self.register_count >= 2 * self.limits.max_registers {
            return Err(JoinError::AtCapacity);
        }
        let mut joined = old.cloned().unwrap_or_default();
        joined.join(theirs, &self.collected);
        if old == Some(&joined) || (old.is_none() && joined.is_empty()) {
            return Ok(false);
        }
        self.put(key, Some(joined).filter(|r| !r.is_empty()).map(FactValue::Commands));
        Ok(true)
    }

    fn join_latest(&mut self, key: &FactKey, theirs: ProcessStart, now: Nanos) -> Result<bool, JoinError> {
        // Guards against a clock that runs ahead: it must not hold a server back until that time has come.
        if theirs.started > now.saturating_add(self.limits.max_clock_lead) {
            return Err(JoinError::FromTheFuture);
        }
        if let Some(FactValue::Latest(own)) = self.get(key)
            && theirs <= *own
        {
            return Ok(false);
        }
        self.put(key, Some(FactValue::Latest(theirs)));
        // The earliest goes: keeping the latest of a union is the same in any order.
        let drains = matches!(key, FactKey::Drain(_));
        let ages = &self.ages[usize::from(!drains)];
        if ages.len() > self.limits.max_servers
            && let Some((_, id)) = ages.first().cloned()
        {
            let earliest = if drains { FactKey::Drain(id) } else { FactKey::Start(id) };
            self.put(&earliest, None);
            return Ok(earliest != *key);
        }
        Ok(true)
    }

    /// Stamps that are forgotten, here or elsewhere.
    fn forget(&mut self, origin: Origin, ranges: &Ranges) -> Result<bool, JoinError> {
        if self.collected.ranges_of(origin).is_none() && self.collected.len() >= 2 * self.limits.max_origins {
            return Err(JoinError::AtCapacity);
        }
        if !self.collected.insert_ranges(origin, ranges) {
            return Ok(false);
        }
        let all = self.collected.ranges_of(origin).cloned().unwrap_or_default();
        self.put(&FactKey::Collected(origin), Some(FactValue::Collected(all)));
        let touched = |r: &Register| r.causal_context().ranges_of(origin).is_some();
        let keys: Vec<FactKey> =
            self.registers().filter(|(_, r)| touched(r)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            let Some(mut register) = self.register(&key).cloned() else { continue };
            register.remove_collected(&self.collected);
            self.put(&key, Some(register).filter(|r| !r.is_empty()).map(FactValue::Commands));
        }
        Ok(true)
    }

    /// Forgets what has said nothing for as long as words are kept: only their stamps remain, so that no copy that was
    /// away can bring them back. Tells the keys that changed; a bounded number of things at a time.
    pub fn collect_garbage(&mut self, now: Nanos) -> Vec<FactKey> {
        let old = |r: &Register| r.is_expired(now, self.limits.retention);
        let mut changed = Vec::new();
        let mut stamps = VersionVector::default();
        for (key, register) in self.registers().filter(|(_, r)| old(r)).take(AT_A_TIME) {
            let new = |(origin, _): &(Origin, &Ranges)| {
                self.collected.ranges_of(*origin).is_none() && stamps.ranges_of(*origin).is_none()
            };
            let more = register.causal_context().iter().filter(new).count();
            if self.collected.len() + stamps.len() + more > self.limits.max_origins {
                break;
            }
            stamps.union(register.causal_context());
            changed.push(key.clone());
        }
        for (origin, ranges) in stamps.iter() {
            if self.forget(origin, ranges) == Ok(true) {
                changed.push(FactKey::Collected(origin));
            }
        }
        changed
    }
}
