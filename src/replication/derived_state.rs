//! The effect of the facts on one broker: which servers are disabled, which brokers paused or removed.
//!
//! The facts of a peer can only restrict a broker: they disable servers and send clients away. Only an
//! operator's command ends such a condition.

use super::fact::{FactKey, FactValue, ProcessStart};
use super::state_store::StateStore;
use crate::api::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// The conditions in effect for a broker. It is updated key by key, since a cluster may hold thousands of
/// commands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DerivedState {
    /// The ids of servers that operators have disabled.
    pub disabled_servers: BTreeSet<String>,
    /// Whether operators have paused this broker.
    pub paused: bool,
    /// The names of brokers that operators have removed permanently.
    pub removed_brokers: BTreeSet<String>,
    /// The subjects on which concurrent commands differ in effect.
    pub conflicts: BTreeSet<FactKey>,
    /// The next expiry of each subject that has one, ordered by time.
    expiries: BTreeSet<(Nanos, FactKey)>,
    expiry_by_key: BTreeMap<FactKey, Nanos>,
}

impl DerivedState {
    /// Derives the state for the broker of this name from all registers of a store.
    pub fn new(store: &StateStore, name: &str, now: Nanos) -> DerivedState {
        let mut state = DerivedState::default();
        for (key, _) in store.registers() {
            state.update(store, key, name, now);
        }
        state
    }

    /// The next time at which a command expires.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// The subjects on which a command has expired since their last [`update`](DerivedState::update).
    pub fn expired_keys(&self, now: Nanos) -> Vec<FactKey> {
        self.expiries.iter().take_while(|(expiry, _)| *expiry <= now).map(|(_, key)| key.clone()).collect()
    }

    /// Updates the state for a subject that has changed, or on which a command has expired.
    pub fn update(&mut self, store: &StateStore, key: &FactKey, name: &str, now: Nanos) {
        let register = store.register(key);
        self.set_expiry(key, register.and_then(|register| register.next_expiry(now)));
        let is_set = register.is_some_and(|register| register.is_set(now));
        match key {
            FactKey::Server(id) => set_member(&mut self.disabled_servers, id, is_set),
            FactKey::Pause(broker) if broker == name => self.paused = is_set,
            FactKey::Removed(broker) => set_member(&mut self.removed_brokers, broker, is_set),
            _ => {}
        }
        set_member(&mut self.conflicts, key, register.is_some_and(|register| register.has_conflict(now)));
    }

    fn set_expiry(&mut self, key: &FactKey, expiry: Option<Nanos>) {
        if let Some(old) = self.expiry_by_key.remove(key) {
            self.expiries.remove(&(old, key.clone()));
        }
        if let Some(expiry) = expiry {
            self.expiries.insert((expiry, key.clone()));
            self.expiry_by_key.insert(key.clone(), expiry);
        }
    }
}

fn set_member<T: Clone + Ord>(set: &mut BTreeSet<T>, member: &T, is_member: bool) {
    if is_member {
        set.insert(member.clone());
    } else {
        set.remove(member);
    }
}

/// The reports of discovery about a server, to any broker of the cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeHints {
    /// Its latest drain, if any is known.
    pub drain: Option<ProcessStart>,
    /// Its latest start, in Unix nanoseconds; 0 if none is known.
    pub started: Nanos,
}

/// Returns the reports of discovery to any broker of the cluster, by the server's id.
pub fn node_hints(store: &StateStore) -> BTreeMap<String, NodeHints> {
    let mut hints: BTreeMap<String, NodeHints> = BTreeMap::new();
    for (key, value) in store.facts() {
        let FactValue::Latest(report) = value else { continue };
        match key {
            FactKey::Drain(id) => hints.entry(id.clone()).or_default().drain = Some(*report),
            FactKey::Start(id) => hints.entry(id.clone()).or_default().started = report.started,
            _ => {}
        }
    }
    hints
}
