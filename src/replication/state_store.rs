//! One broker's copy of the replicated facts.

use super::merkle_tree::{self, MerkleTree};
use super::multi_value_register::{MAX_NAME_BYTES, OperatorCommand, Register};
use super::version_vector::{Dot, Origin, Ranges, VersionVector};
use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The subject of a fact.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKey {
    /// Whether an operator has disabled a server, by its id.
    Server(String),
    /// Whether an operator has paused a broker, by its name.
    Pause(String),
    /// Whether an operator has removed a broker for good, by its name.
    Removed(String),
    /// A maintenance order, by its id.
    #[serde(rename = "Work")]
    MaintenanceOrder(String),
    /// The state of a site, by its name.
    Site(String),
    /// The latest drain of a server that discovery reported, by the server's id.
    Drain(String),
    /// The latest start of a server that discovery reported, by the server's id.
    Start(String),
    /// The dots of an origin that garbage collection removed.
    #[serde(rename = "Spent")]
    Collected(Origin),
}

impl FactKey {
    /// The least key of all, at which the facts of a leaf begin.
    pub const MIN: FactKey = FactKey::Server(String::new());

    /// The name or id of the subject; none for collected dots.
    pub fn name(&self) -> Option<&str> {
        match self {
            FactKey::Server(name)
            | FactKey::Pause(name)
            | FactKey::Removed(name)
            | FactKey::MaintenanceOrder(name)
            | FactKey::Site(name)
            | FactKey::Drain(name)
            | FactKey::Start(name) => Some(name),
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
            FactKey::Server(id) => write!(f, "server {id}"),
            FactKey::Pause(name) => write!(f, "pause of {name}"),
            FactKey::Removed(name) => write!(f, "removal of {name}"),
            FactKey::MaintenanceOrder(id) => write!(f, "work {id}"),
            FactKey::Site(name) => write!(f, "site {name}"),
            FactKey::Drain(id) => write!(f, "drain of {id}"),
            FactKey::Start(id) => write!(f, "start of {id}"),
            FactKey::Collected(origin) => write!(f, "spent of {origin}"),
        }
    }
}

/// Which process of a server a report of discovery is about, and how recent the report is. Reports are ordered by the
/// start of the process, those of one process by the version of the list.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessStart {
    /// When the process started, in Unix nanoseconds; 0 if that is unknown.
    pub started: Nanos,
    /// The version of discovery's list that reported it; 0 for starts, of which the time suffices.
    #[serde(rename = "version")]
    pub list_version: u64,
}

/// What is known of a subject.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub enum FactValue {
    /// Commands of operators: a multi-value register.
    #[serde(rename = "Words")]
    Commands(Register),
    /// The latest report of discovery: a last-writer-wins register.
    Latest(ProcessStart),
    /// Sequence numbers that garbage collection removed: a set that only grows.
    #[serde(rename = "Spent")]
    Collected(Ranges),
}

/// A subject with what is known of it.
pub type Fact = (FactKey, FactValue);

/// Why a fact or a command is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JoinError {
    /// This program could not have made it: its value does not fit its key, or a text in it is too long.
    Invalid,
    /// It reports a start that is too far ahead of this broker's clock.
    FromTheFuture,
    /// The store has as many facts as its limits permit.
    AtCapacity,
    /// Another process uses the origin of this store; [`StateStore::set_origin`] must give it a new one first.
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

/// Most registers that one run of garbage collection removes.
const MAX_REGISTERS_PER_COLLECTION: usize = 1024;

/// How many facts a store holds, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Most registers that commands at this broker may create. Those of peers are taken up to twice this number, since
    /// what another broker has acknowledged must not be lost.
    pub max_registers: usize,
    /// Most servers of which the latest drain is held, and of which the latest start is held; the earliest are evicted.
    pub max_servers: usize,
    /// How long an expired register is retained until only its dots remain, in nanoseconds.
    pub retention: Nanos,
    /// How far ahead of this broker's clock a reported start may be, in nanoseconds.
    pub max_clock_lead: Nanos,
    /// Most origins of which collected dots are held; beyond it nothing is collected here.
    pub max_origins: usize,
}

impl Default for StoreLimits {
    fn default() -> StoreLimits {
        const SECOND: Nanos = 1_000_000_000;
        const DAY: Nanos = 86_400 * SECOND;
        StoreLimits {
            max_registers: 16_384,
            max_servers: 16_384,
            retention: 7 * DAY,
            max_clock_lead: 600 * SECOND,
            max_origins: 16_384,
        }
    }
}

/// A copy of the replicated facts. Joining is commutative, associative and idempotent: copies that have received the same
/// facts are equal, in whatever order and however often these arrived.
#[derive(Clone, Debug)]
pub struct StateStore {
    limits: StoreLimits,
    origin: Origin,
    /// The sequence number of the last command that was recorded here under this origin.
    last_sequence: u64,
    facts: BTreeMap<(u16, FactKey), FactValue>,
    tree: MerkleTree,
    /// The same dots as in the facts with [`FactKey::Collected`].
    collected: VersionVector,
    /// Drains, then starts: the server's ids in the order of their reports.
    servers_by_start: [BTreeSet<(ProcessStart, String)>; 2],
    register_count: usize,
    version: u64,
    duplicate_origin: bool,
    changed_keys: BTreeSet<FactKey>,
}

impl StateStore {
    /// An empty store whose commands are recorded under this origin.
    pub fn new(origin: Origin, limits: StoreLimits) -> StateStore {
        StateStore {
            limits,
            origin,
            last_sequence: 0,
            facts: BTreeMap::new(),
            tree: MerkleTree::default(),
            collected: VersionVector::default(),
            servers_by_start: Default::default(),
            register_count: 0,
            version: 0,
            duplicate_origin: false,
            changed_keys: BTreeSet::new(),
        }
    }

    /// The origin of commands that are recorded here.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Whether another process uses this origin, so that a new one must be set before the next command.
    pub fn has_duplicate_origin(&self) -> bool {
        self.duplicate_origin
    }

    /// Sets the origin of commands that are recorded from now on.
    pub fn set_origin(&mut self, origin: Origin) {
        self.origin = origin;
        self.last_sequence = 0;
        self.duplicate_origin = false;
    }

    /// The digests of the facts.
    pub fn tree(&self) -> &MerkleTree {
        &self.tree
    }

    /// A number that changes whenever any fact does.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes the keys that changed since the last call.
    pub fn take_changed_keys(&mut self) -> BTreeSet<FactKey> {
        std::mem::take(&mut self.changed_keys)
    }

    /// The number of facts.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether the store has no fact.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// What is known of a subject.
    pub fn get(&self, key: &FactKey) -> Option<&FactValue> {
        self.facts.get(&(key.leaf(), key.clone()))
    }

    /// The commands on a subject.
    pub fn register(&self, key: &FactKey) -> Option<&Register> {
        match self.get(key) {
            Some(FactValue::Commands(register)) => Some(register),
            _ => None,
        }
    }

    /// All facts, ordered by leaf and key.
    pub fn facts(&self) -> impl Iterator<Item = (&FactKey, &FactValue)> {
        self.facts.iter().map(|((_, key), value)| (key, value))
    }

    /// All registers, ordered by leaf and key.
    pub fn registers(&self) -> impl Iterator<Item = (&FactKey, &Register)> {
        self.facts().filter_map(|(key, value)| match value {
            FactValue::Commands(register) => Some((key, register)),
            _ => None,
        })
    }

    /// The facts of a leaf in the order of their keys, from this key on or all of them.
    pub fn facts_of_leaf(
        &self,
        leaf: u16,
        from: Option<&FactKey>,
    ) -> impl Iterator<Item = (&FactKey, &FactValue)> {
        let from = (leaf, from.unwrap_or(&FactKey::MIN).clone());
        let facts = self.facts.range(from..).take_while(move |((other, _), _)| *other == leaf);
        facts.map(|((_, key), value)| (key, value))
    }

    /// All facts in their encoded form, which is the same for stores that are equal.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.facts().collect::<Vec<_>>()).unwrap_or_default()
    }

    /// The hash of a fact.
    pub fn fact_hash(key: &FactKey, value: &FactValue) -> u64 {
        merkle_tree::hash(&postcard::to_allocvec(&(key, value)).unwrap_or_default())
    }

    /// Sets the value of a key, or removes the fact.
    fn put(&mut self, key: &FactKey, value: Option<FactValue>) {
        let place = (key.leaf(), key.clone());
        let index = |key: &FactKey| match key {
            FactKey::Drain(id) => Some((0, id.clone())),
            FactKey::Start(id) => Some((1, id.clone())),
            _ => None,
        };
        if let Some(old) = self.facts.get(&place) {
            self.tree.toggle(place.0, StateStore::fact_hash(key, old));
            if let (Some((n, id)), FactValue::Latest(report)) = (index(key), old) {
                self.servers_by_start[n].remove(&(*report, id));
            }
            self.register_count -= usize::from(matches!(old, FactValue::Commands(_)));
        }
        match value {
            None => drop(self.facts.remove(&place)),
            Some(value) => {
                self.tree.toggle(place.0, StateStore::fact_hash(key, &value));
                if let (Some((n, id)), FactValue::Latest(report)) = (index(key), &value) {
                    self.servers_by_start[n].insert((*report, id));
                }
                self.register_count += usize::from(matches!(value, FactValue::Commands(_)));
                self.facts.insert(place, value);
            }
        }
        self.version += 1;
        self.changed_keys.insert(key.clone());
    }

    /// Records an operator's command. It supersedes all commands on the subject that are known here.
    ///
    /// # Errors
    ///
    /// [`JoinError::Invalid`] if the key takes no commands or a text is too long, [`JoinError::DuplicateOrigin`] if
    /// another process uses this origin, [`JoinError::AtCapacity`] if a new register would exceed the limits. The store is
    /// unchanged then.
    pub fn record(&mut self, key: &FactKey, command: OperatorCommand) -> Result<Dot, JoinError> {
        let has_name = key.name().is_some_and(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES);
        if !has_name || !command.is_within_limits() || matches!(key, FactKey::Drain(_) | FactKey::Start(_)) {
            return Err(JoinError::Invalid);
        }
        if self.duplicate_origin {
            return Err(JoinError::DuplicateOrigin);
        }
        let register = self.register(key).cloned();
        if register.is_none() && self.register_count >= self.limits.max_registers {
            return Err(JoinError::AtCapacity);
        }
        self.last_sequence += 1;
        let dot = Dot { origin: self.origin, sequence: self.last_sequence };
        let mut register = register.unwrap_or_default();
        register.record(dot, command);
        self.put(key, Some(FactValue::Commands(register)));
        Ok(dot)
    }

    /// Joins a fact of another copy. Returns whether it changed the store.
    ///
    /// # Errors
    ///
    /// [`JoinError::Invalid`] if the value does not fit the key or a text is too long, [`JoinError::FromTheFuture`] if a
    /// reported start is too far ahead of `now`, [`JoinError::AtCapacity`] if the limits are exceeded.
    pub fn join(&mut self, key: &FactKey, value: &FactValue, now: Nanos) -> Result<bool, JoinError> {
        if key.name().is_some_and(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
            return Err(JoinError::Invalid);
        }
        match (key, value) {
            (FactKey::Collected(origin), FactValue::Collected(ranges)) => {
                self.join_collected(*origin, ranges)
            }
            (FactKey::Drain(_) | FactKey::Start(_), FactValue::Latest(report)) => {
                self.join_latest(key, *report, now)
            }
            (FactKey::Collected(_) | FactKey::Drain(_) | FactKey::Start(_), _) => Err(JoinError::Invalid),
            (_, FactValue::Commands(register)) => self.join_register(key, register),
            (_, _) => Err(JoinError::Invalid),
        }
    }

    fn join_register(&mut self, key: &FactKey, theirs: &Register) -> Result<bool, JoinError> {
        if !theirs.is_valid() {
            return Err(JoinError::Invalid);
        }
        // A process whose memory was copied has the same origin: its dots must not be used for other commands here.
        let own_dots = theirs.causal_context().ranges_of(self.origin);
        if own_dots.and_then(Ranges::last).is_some_and(|last| last > self.last_sequence) {
            self.duplicate_origin = true;
        }
        let ours = self.register(key);
        if ours.is_none() && self.register_count >= 2 * self.limits.max_registers {
            return Err(JoinError::AtCapacity);
        }
        let mut joined = ours.cloned().unwrap_or_default();
        joined.join(theirs, &self.collected);
        if ours == Some(&joined) || (ours.is_none() && joined.is_empty()) {
            return Ok(false);
        }
        self.put(key, Some(joined).filter(|register| !register.is_empty()).map(FactValue::Commands));
        Ok(true)
    }

    fn join_latest(&mut self, key: &FactKey, theirs: ProcessStart, now: Nanos) -> Result<bool, JoinError> {
        // A peer whose clock runs ahead must not hide later reports until that time has come.
        if theirs.started > now.saturating_add(self.limits.max_clock_lead) {
            return Err(JoinError::FromTheFuture);
        }
        if let Some(FactValue::Latest(ours)) = self.get(key)
            && theirs <= *ours
        {
            return Ok(false);
        }
        self.put(key, Some(FactValue::Latest(theirs)));
        // Evicting the earliest keeps the join independent of order: the latest of a union remain.
        let is_drain = matches!(key, FactKey::Drain(_));
        let servers = &self.servers_by_start[usize::from(!is_drain)];
        if servers.len() > self.limits.max_servers
            && let Some((_, id)) = servers.first().cloned()
        {
            let earliest = if is_drain { FactKey::Drain(id) } else { FactKey::Start(id) };
            self.put(&earliest, None);
            return Ok(earliest != *key);
        }
        Ok(true)
    }

    /// Joins dots that garbage collection removed, here or in another copy.
    fn join_collected(&mut self, origin: Origin, ranges: &Ranges) -> Result<bool, JoinError> {
        if self.collected.ranges_of(origin).is_none() && self.collected.len() >= 2 * self.limits.max_origins {
            return Err(JoinError::AtCapacity);
        }
        if !self.collected.insert_ranges(origin, ranges) {
            return Ok(false);
        }
        let all = self.collected.ranges_of(origin).cloned().unwrap_or_default();
        self.put(&FactKey::Collected(origin), Some(FactValue::Collected(all)));
        let has_dots = |register: &Register| register.causal_context().ranges_of(origin).is_some();
        let keys: Vec<FactKey> =
            self.registers().filter(|(_, register)| has_dots(register)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            let Some(mut register) = self.register(&key).cloned() else { continue };
            register.remove_collected(&self.collected);
            self.put(&key, Some(register).filter(|register| !register.is_empty()).map(FactValue::Commands));
        }
        Ok(true)
    }

    /// Removes a bounded number of expired registers. Only their dots remain, so that no copy that was away can bring them
    /// back. Returns the keys that changed.
    pub fn collect_garbage(&mut self, now: Nanos) -> Vec<FactKey> {
        let is_expired = |register: &Register| register.is_expired(now, self.limits.retention);
        let mut changed = Vec::new();
        let mut dots = VersionVector::default();
        let expired = self.registers().filter(|(_, register)| is_expired(register));
        for (key, register) in expired.take(MAX_REGISTERS_PER_COLLECTION) {
            let is_new = |(origin, _): &(Origin, &Ranges)| {
                self.collected.ranges_of(*origin).is_none() && dots.ranges_of(*origin).is_none()
            };
            let new_origins = register.causal_context().iter().filter(is_new).count();
            if self.collected.len() + dots.len() + new_origins > self.limits.max_origins {
                break;
            }
            dots.union(register.causal_context());
            changed.push(key.clone());
        }
        for (origin, ranges) in dots.iter() {
            if self.join_collected(origin, ranges) == Ok(true) {
                changed.push(FactKey::Collected(origin));
            }
        }
        changed
    }
}
