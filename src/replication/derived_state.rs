//! What follows from the facts for one broker. A peer's word makes more careful, never bolder: it takes servers out and
//! sends clients away; nothing but a word by hand puts anything back.

use super::state_store::{FactKey, FactValue, ProcessStart, StateStore};
use crate::api::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// What holds for a broker, kept up key by key: a cluster may hold thousands of words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DerivedState {
    /// Servers that are out by hand.
    pub disabled_servers: BTreeSet<String>,
    /// This broker sends its clients away.
    pub paused: bool,
    /// Brokers that were removed for good.
    pub removed_brokers: BTreeSet<String>,
    /// Keys on which words that know nothing of each other differ.
    pub conflicts: BTreeSet<FactKey>,
    /// When words end by themselves.
    ends: BTreeSet<(Nanos, FactKey)>,
    by_key: BTreeMap<FactKey, Nanos>,
}

impl DerivedState {
    /// What holds for the broker of this name.
    pub fn new(copy: &StateStore, name: &str, now: Nanos) -> DerivedState {
        let mut effect = DerivedState::default();
        for (key, _) in copy.registers() {
            effect.update(copy, key, name, now);
        }
        effect
    }

    /// When it changes by itself.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.ends.first().map(|(t, _)| *t)
    }

    /// Words that have ended by themselves.
    pub fn expired_keys(&self, now: Nanos) -> Vec<FactKey> {
        self.ends.iter().take_while(|(t, _)| *t <= now).map(|(_, k)| k.clone()).collect()
    }

    /// Looks at a key that changed, or whose time has come.
    pub fn update(&mut self, copy: &StateStore, key: &FactKey, name: &str, now: Nanos) {
        if let Some(t) = self.by_key.remove(key) {
            self.ends.remove(&(t, key.clone()));
        }
        let register = copy.register(key);
        if let Some(t) = register.and_then(|r| r.next_expiry(now)) {
            self.ends.insert((t, key.clone()));
            self.by_key.insert(key.clone(), t);
        }
        let set = |into: &mut BTreeSet<String>, id: &String, yes: bool| {
            if yes {
                into.insert(id.clone())
            } else {
                into.remove(id)
            };
        };
        let out = register.is_some_and(|r| r.is_set(now));
        match key {
            FactKey::Server(id) => set(&mut self.disabled_servers, id, out),
            FactKey::Pause(broker) if broker == name => self.paused = out,
            FactKey::Removed(broker) => set(&mut self.removed_brokers, broker, out),
            _ => {}
        }
        if register.is_some_and(|r| r.has_conflict(now)) {
            self.conflicts.insert(key.clone());
        } else {
            self.conflicts.remove(key);
        }
    }
}

/// What the others have heard of a server from discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeHints {
    /// Its latest drain.
    pub drain: Option<ProcessStart>,
    /// Its latest start, unix ns.
    pub started: Nanos,
}

/// What the others have heard, by server.
pub fn node_hints(copy: &StateStore) -> BTreeMap<String, NodeHints> {
    let mut all: BTreeMap<String, NodeHints> = BTreeMap::new();
    for (key, entry) in copy.facts() {
        let FactValue::Latest(latest) = entry else { continue };
        match key {
            FactKey::Drain(id) => all.entry(id.clone()).or_default().drain = Some(*latest),
            FactKey::Start(id) => all.entry(id.clone()).or_default().started = latest.started,
            _ => {}
        }
    }
    all
}
