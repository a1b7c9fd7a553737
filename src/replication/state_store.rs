//! One broker's copy of the replicated facts.

use super::fact::{FactKey, FactValue, ProcessStart, fact_hash};
use super::merkle_tree::MerkleTree;
use super::multi_value_register::{MAX_NAME_BYTES, OperatorCommand, Register};
use super::version_vector::{Dot, Origin, Ranges, VersionVector};
use crate::api::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Why a fact or a command is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum JoinError {
    /// No broker produces it: its value does not fit its key, or a name or text has an invalid length.
    #[error("the fact is invalid: its value does not fit its key, or a name or text has an invalid length")]
    Invalid,
    /// It reports a start that is too far ahead of this broker's clock.
    #[error("the reported start is too far ahead of this broker's clock")]
    FromTheFuture,
    /// The store has as many facts as its limits permit.
    #[error("the limit on the number of facts is reached")]
    AtCapacity,
    /// Another process uses the origin of this store; [`StateStore::set_origin`] must give it a new one
    /// first.
    #[error("another process uses this broker's origin")]
    DuplicateOrigin,
}

/// Maximum number of registers that one run of garbage collection removes.
const MAX_REGISTERS_PER_COLLECTION: usize = 1024;

/// Limits on the facts of a store: their number, their retention and the clock skew of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Maximum number of registers that commands at this broker may create. Registers of peers are accepted
    /// up to twice this number, since commands that another broker has acknowledged must not be lost.
    pub max_registers: usize,
    /// Maximum number of servers whose latest drain is stored, and of servers whose latest start is stored;
    /// the earliest reports are evicted.
    pub max_servers: usize,
    /// How long an expired register is retained before only its dots are kept, in nanoseconds.
    pub retention: Nanos,
    /// How far ahead of this broker's clock a reported start may be, in nanoseconds.
    pub max_clock_lead: Nanos,
    /// Maximum number of origins whose collected dots are stored; beyond it this broker collects no garbage.
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

/// The ids of servers, ordered by their reports, to find the earliest report.
#[derive(Clone, Debug, Default)]
struct ReportIndex(BTreeSet<(ProcessStart, String)>);

impl ReportIndex {
    fn insert(&mut self, report: ProcessStart, id: &str) {
        self.0.insert((report, id.to_owned()));
    }

    fn remove(&mut self, report: ProcessStart, id: &str) {
        self.0.remove(&(report, id.to_owned()));
    }

    /// The server with the earliest report, if there are more than `max_servers`.
    fn earliest_beyond(&self, max_servers: usize) -> Option<String> {
        self.0.first().filter(|_| self.0.len() > max_servers).map(|(_, id)| id.clone())
    }
}

/// A copy of the replicated facts. Joining is commutative, associative and idempotent: copies that have
/// received the same facts are equal, regardless of the order and number of times in which they arrived.
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
    drains: ReportIndex,
    starts: ReportIndex,
    register_count: usize,
    version: u64,
    duplicate_origin: bool,
    changed_keys: BTreeSet<FactKey>,
}

impl StateStore {
    /// Creates an empty store whose commands are recorded under this origin.
    pub fn new(origin: Origin, limits: StoreLimits) -> StateStore {
        StateStore {
            limits,
            origin,
            last_sequence: 0,
            facts: BTreeMap::new(),
            tree: MerkleTree::default(),
            collected: VersionVector::default(),
            drains: ReportIndex::default(),
            starts: ReportIndex::default(),
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

    /// Whether the store has no facts.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// What is known about a subject.
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

    /// The facts of a leaf, ordered by key: all of them, or those from the key `from` on.
    pub fn facts_of_leaf(
        &self,
        leaf: u16,
        from: Option<&FactKey>,
    ) -> impl Iterator<Item = (&FactKey, &FactValue)> {
        let from = (leaf, from.unwrap_or(&FactKey::MIN).clone());
        let facts = self.facts.range(from..).take_while(move |((other, _), _)| *other == leaf);
        facts.map(|((_, key), value)| (key, value))
    }

    /// Encodes all facts. Equal stores have equal encodings.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(&self.facts().collect::<Vec<_>>()).unwrap_or_default()
    }

    /// Sets the value of a key, or removes the fact.
    fn put(&mut self, key: &FactKey, value: Option<FactValue>) {
        let leaf = key.leaf();
        if let Some(old) = self.facts.remove(&(leaf, key.clone())) {
            self.tree.toggle(leaf, fact_hash(key, &old));
            self.remove_from_indexes(key, &old);
        }
        if let Some(value) = value {
            self.tree.toggle(leaf, fact_hash(key, &value));
            self.add_to_indexes(key, &value);
            self.facts.insert((leaf, key.clone()), value);
        }
        self.version += 1;
        self.changed_keys.insert(key.clone());
    }

    /// Sets a register, or removes the fact if the register is empty.
    fn put_register(&mut self, key: &FactKey, register: Register) {
        let value = (!register.is_empty()).then_some(FactValue::Commands(register));
        self.put(key, value);
    }

    fn add_to_indexes(&mut self, key: &FactKey, value: &FactValue) {
        match (key, value) {
            (_, FactValue::Commands(_)) => self.register_count += 1,
            (FactKey::Drain(id), FactValue::Latest(report)) => self.drains.insert(*report, id),
            (FactKey::Start(id), FactValue::Latest(report)) => self.starts.insert(*report, id),
            _ => {}
        }
    }

    fn remove_from_indexes(&mut self, key: &FactKey, value: &FactValue) {
        match (key, value) {
            (_, FactValue::Commands(_)) => self.register_count -= 1,
            (FactKey::Drain(id), FactValue::Latest(report)) => self.drains.remove(*report, id),
            (FactKey::Start(id), FactValue::Latest(report)) => self.starts.remove(*report, id),
            _ => {}
        }
    }

    /// The key of the earliest report of the same kind as `key`, if there are more reports than the limits
    /// permit.
    fn excess_report(&self, key: &FactKey) -> Option<FactKey> {
        let max_servers = self.limits.max_servers;
        match key {
            FactKey::Drain(_) => self.drains.earliest_beyond(max_servers).map(FactKey::Drain),
            FactKey::Start(_) => self.starts.earliest_beyond(max_servers).map(FactKey::Start),
            _ => None,
        }
    }

    /// Records an operator's command, which supersedes all commands on the subject in this store.
    ///
    /// # Errors
    ///
    /// [`JoinError::Invalid`] if the key takes no commands, or a name or text has an invalid length,
    /// [`JoinError::DuplicateOrigin`] if another process uses this origin, [`JoinError::AtCapacity`] if a new
    /// register would exceed the limits. The store is unchanged then.
    pub fn record(&mut self, key: &FactKey, command: OperatorCommand) -> Result<Dot, JoinError> {
        let has_valid_name = key.name().is_some_and(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES);
        if !has_valid_name
            || !command.is_within_limits()
            || matches!(key, FactKey::Drain(_) | FactKey::Start(_))
        {
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
        self.put_register(key, register);
        Ok(dot)
    }

    /// Joins a fact of another copy. Returns whether the store has changed.
    ///
    /// # Errors
    ///
    /// [`JoinError::Invalid`] if the value does not fit the key, or a name or text has an invalid length,
    /// [`JoinError::FromTheFuture`] if a reported start is too far ahead of `now`, [`JoinError::AtCapacity`]
    /// if the limits are exceeded.
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
        // A copy of this process's memory has the same origin and records commands of its own: no dot that it
        // has used may be used for another command here.
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
        self.put_register(key, joined);
        Ok(true)
    }

    fn join_latest(&mut self, key: &FactKey, theirs: ProcessStart, now: Nanos) -> Result<bool, JoinError> {
        // A start far in the future, from a peer whose clock is ahead, would supersede all correct reports
        // until that time.
        if theirs.started > now.saturating_add(self.limits.max_clock_lead) {
            return Err(JoinError::FromTheFuture);
        }
        if let Some(FactValue::Latest(ours)) = self.get(key)
            && theirs <= *ours
        {
            return Ok(false);
        }
        self.put(key, Some(FactValue::Latest(theirs)));
        // Evicting the earliest report keeps the join independent of order: the latest reports of the union
        // remain.
        if let Some(earliest) = self.excess_report(key) {
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
            self.put_register(&key, register);
        }
        Ok(true)
    }

    /// Removes a bounded number of expired registers. Their dots are kept, so that joining a copy that was
    /// disconnected does not restore them. Returns the keys that changed.
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
