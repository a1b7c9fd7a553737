//! One broker's copy of what all are to know.

use super::merkle_tree::{self, MerkleTree};
use super::multi_value_register::{LONGEST, OperatorCommand, Register};
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
    Work(String),
    /// A site by its name.
    Site(String),
    /// A server by its id: the latest drain that was learnt.
    Drain(String),
    /// A server by its id: its latest start.
    Start(String),
    /// Stamps of what was forgotten.
    Spent(Origin),
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
            | FactKey::Work(n)
            | FactKey::Site(n)
            | FactKey::Drain(n)
            | FactKey::Start(n) => Some(n),
            FactKey::Spent(_) => None,
        }
    }

    fn leaf(&self) -> u16 {
        merkle_tree::leaf_of(&postcard::to_allocvec(self).unwrap_or_default())
    }
}

impl fmt::Display for FactKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FactKey::Server(n) => write!(f, "server {n}"),
            FactKey::Pause(n) => write!(f, "pause of {n}"),
            FactKey::Removed(n) => write!(f, "removal of {n}"),
            FactKey::Work(n) => write!(f, "work {n}"),
            FactKey::Site(n) => write!(f, "site {n}"),
            FactKey::Drain(n) => write!(f, "drain of {n}"),
            FactKey::Start(n) => write!(f, "start of {n}"),
            FactKey::Spent(o) => write!(f, "spent of {o}"),
        }
    }
}

/// What discovery said of a server's process: the later start holds, of one start the later version of the list.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessStart {
    /// Unix time of the process's start, ns; 0: long ago.
    pub started: Nanos,
    /// The version of discovery's list that told it; 0 where that does not matter.
    pub version: u64,
}

/// What is known of a key.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub enum FactValue {
    /// Words by hand.
    Words(Register),
    /// Told by discovery.
    Latest(ProcessStart),
    /// Forgotten.
    Spent(Ranges),
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
    pub words: usize,
    /// Servers whose latest drains, and whose latest starts, are kept; the earliest go first.
    pub servers: usize,
    /// How long a word that has ended is kept before its stamps alone remain.
    pub keep: Nanos,
    /// How far ahead of this clock a start may lie.
    pub ahead: Nanos,
    /// Origins whose spent stamps are kept; beyond that nothing is forgotten any more.
    pub origins: usize,
}

impl Default for StoreLimits {
    fn default() -> StoreLimits {
        const S: Nanos = 1_000_000_000;
        StoreLimits { words: 16_384, servers: 16_384, keep: 7 * 86_400 * S, ahead: 600 * S, origins: 16_384 }
    }
}

/// A copy. Joining two is commutative, associative and idempotent: copies that have heard of the same facts are equal,
/// in whatever order, however often and by whatever way these came.
#[derive(Clone, Debug)]
pub struct StateStore {
    bounds: StoreLimits,
    origin: Origin,
    /// The number of the last word that this origin said.
    said: u64,
    facts: BTreeMap<(u16, FactKey), FactValue>,
    tree: MerkleTree,
    /// The same stamps as the `Spent` entries.
    spent: VersionVector,
    /// By start, to find the earliest: drains, then starts.
    ages: [BTreeSet<(ProcessStart, String)>; 2],
    words: usize,
    /// Changes whenever any fact does.
    version: u64,
    /// Somebody else uses this origin: memory that was copied.
    doubled: bool,
    /// Keys that changed and were not looked at since.
    touched: BTreeSet<FactKey>,
}

impl StateStore {
    /// An empty copy of a process that was given this origin.
    pub fn new(origin: Origin, bounds: StoreLimits) -> StateStore {
        StateStore {
            bounds,
            origin,
            said: 0,
            facts: BTreeMap::new(),
            tree: MerkleTree::default(),
            spent: VersionVector::default(),
            ages: Default::default(),
            words: 0,
            version: 0,
            doubled: false,
            touched: BTreeSet::new(),
        }
    }

    /// The origin of what is said here.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Whether somebody else uses this origin: a new one must be drawn before the next word.
    pub fn has_duplicate_origin(&self) -> bool {
        self.doubled
    }

    /// From now on words have this origin.
    pub fn set_origin(&mut self, origin: Origin) {
        (self.origin, self.said, self.doubled) = (origin, 0, false);
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
        std::mem::take(&mut self.touched)
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
            Some(FactValue::Words(r)) => Some(r),
            _ => None,
        }
    }

    /// All facts, by leaf.
    pub fn facts(&self) -> impl Iterator<Item = (&FactKey, &FactValue)> {
        self.facts.iter().map(|((_, k), e)| (k, e))
    }

    /// All words.
    pub fn registers(&self) -> impl Iterator<Item = (&FactKey, &Register)> {
        self.facts().filter_map(|(k, e)| if let FactValue::Words(r) = e { Some((k, r)) } else { None })
    }

    /// The facts of a leaf, from this key on.
    pub fn leaf(&self, leaf: u16, from: Option<&FactKey>) -> impl Iterator<Item = (&FactKey, &FactValue)> {
        let from = (leaf, from.unwrap_or(&FactKey::LEAST).clone());
        let facts = self.facts.range(from..).take_while(move |((l, _), _)| *l == leaf);
        facts.map(|((_, k), e)| (k, e))
    }

    /// The bytes of all that is known, the same in copies that are equal.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.facts().collect::<Vec<_>>()).unwrap_or_default()
    }

    /// The hash of a fact.
    pub fn hash(key: &FactKey, entry: &FactValue) -> u64 {
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
            self.tree.turn(place.0, StateStore::hash(key, old));
            if let (Some((n, id)), FactValue::Latest(l)) = (age(key), old) {
                self.ages[n].remove(&(*l, id));
            }
            self.words -= usize::from(matches!(old, FactValue::Words(_)));
        }
        match entry {
            None => drop(self.facts.remove(&place)),
            Some(entry) => {
                self.tree.turn(place.0, StateStore::hash(key, &entry));
                if let (Some((n, id)), FactValue::Latest(l)) = (age(key), &entry) {
                    self.ages[n].insert((*l, id));
                }
                self.words += usize::from(matches!(entry, FactValue::Words(_)));
                self.facts.insert(place, entry);
            }
        }
        self.version += 1;
        self.touched.insert(key.clone());
    }

    /// Says something by hand. It takes the place of all that is known here of that key. JoinError where this copy holds
    /// as many things as may be, or the word is too long: then nothing was said.
    pub fn record(&mut self, key: &FactKey, said: OperatorCommand) -> Result<Dot, JoinError> {
        let sound = key.name().is_some_and(|n| !n.is_empty() && n.len() <= LONGEST.0) && said.fits();
        if !sound || matches!(key, FactKey::Drain(_) | FactKey::Start(_)) {
            return Err(JoinError::Invalid);
        }
        if self.doubled {
            return Err(JoinError::DuplicateOrigin);
        }
        let mut register = self.register(key).cloned();
        if register.is_none() && self.words >= self.bounds.words {
            return Err(JoinError::AtCapacity);
        }
        self.said += 1;
        let dot = Dot { origin: self.origin, seq: self.said };
        let mut r = register.take().unwrap_or_default();
        r.record(dot, said);
        self.put(key, Some(FactValue::Words(r)));
        Ok(dot)
    }

    /// Takes in a fact. True if it was new.
    pub fn join(&mut self, key: &FactKey, entry: &FactValue, now: Nanos) -> Result<bool, JoinError> {
        if key.name().is_some_and(|n| n.is_empty() || n.len() > LONGEST.0) {
            return Err(JoinError::Invalid);
        }
        match (key, entry) {
            (FactKey::Spent(origin), FactValue::Spent(ranges)) => self.forget(*origin, ranges),
            (FactKey::Drain(_) | FactKey::Start(_), FactValue::Latest(l)) => self.join_latest(key, *l, now),
            (FactKey::Spent(_) | FactKey::Drain(_) | FactKey::Start(_), _) => Err(JoinError::Invalid),
            (_, FactValue::Words(r)) => self.join_words(key, r),
            (_, _) => Err(JoinError::Invalid),
        }
    }

    fn join_words(&mut self, key: &FactKey, theirs: &Register) -> Result<bool, JoinError> {
        if !theirs.is_sound() {
            return Err(JoinError::Invalid);
        }
        // Guards stamps against a process whose memory was copied: what it said must not be said again as something else.
        let own = theirs.seen().of(self.origin).and_then(|r| r.iter().last()).map_or(0, |(_, last)| last);
        if own > self.said {
            self.doubled = true;
        }
        let old = self.register(key);
        if old.is_none() && self.words >= 2 * self.bounds.words {
            return Err(JoinError::AtCapacity);
        }
        let mut joined = old.cloned().unwrap_or_default();
        joined.join(theirs, &self.spent);
        if old == Some(&joined) || (old.is_none() && joined.is_empty()) {
            return Ok(false);
        }
        self.put(key, Some(joined).filter(|r| !r.is_empty()).map(FactValue::Words));
        Ok(true)
    }

    fn join_latest(&mut self, key: &FactKey, theirs: ProcessStart, now: Nanos) -> Result<bool, JoinError> {
        // Guards against a clock that runs ahead: it must not hold a server back until that time has come.
        if theirs.started > now.saturating_add(self.bounds.ahead) {
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
        if ages.len() > self.bounds.servers
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
        if self.spent.of(origin).is_none() && self.spent.len() >= 2 * self.bounds.origins {
            return Err(JoinError::AtCapacity);
        }
        if !self.spent.add(origin, ranges) {
            return Ok(false);
        }
        let all = self.spent.of(origin).cloned().unwrap_or_default();
        self.put(&FactKey::Spent(origin), Some(FactValue::Spent(all)));
        let touched = |r: &Register| r.seen().of(origin).is_some();
        let keys: Vec<FactKey> =
            self.registers().filter(|(_, r)| touched(r)).map(|(k, _)| k.clone()).collect();
        for key in keys {
            let Some(mut register) = self.register(&key).cloned() else { continue };
            register.without(&self.spent);
            self.put(&key, Some(register).filter(|r| !r.is_empty()).map(FactValue::Words));
        }
        Ok(true)
    }

    /// Forgets what has said nothing for as long as words are kept: only their stamps remain, so that no copy that was
    /// away can bring them back. Tells the keys that changed; a bounded number of things at a time.
    pub fn collect_garbage(&mut self, now: Nanos) -> Vec<FactKey> {
        let old = |r: &Register| r.is_spent(now, self.bounds.keep);
        let mut changed = Vec::new();
        let mut stamps = VersionVector::default();
        for (key, register) in self.registers().filter(|(_, r)| old(r)).take(AT_A_TIME) {
            let new = |(origin, _): &(Origin, &Ranges)| {
                self.spent.of(*origin).is_none() && stamps.of(*origin).is_none()
            };
            let more = register.seen().iter().filter(new).count();
            if self.spent.len() + stamps.len() + more > self.bounds.origins {
                break;
            }
            stamps.union(register.seen());
            changed.push(key.clone());
        }
        for (origin, ranges) in stamps.iter() {
            if self.forget(origin, ranges) == Ok(true) {
                changed.push(FactKey::Spent(origin));
            }
        }
        changed
    }
}
