//! What is told on while it is news: each fact a few times, to peers drawn at random.
//!
//! A broker that learns of a fact tells it on for as many rounds as the logarithm of the cluster's size, and some. Who
//! is missed, or was away, finds out by the digests.

use super::anti_entropy;
use super::state_store::{Fact, FactKey, StateStore};
use std::collections::BTreeMap;

/// Rounds beyond the logarithm.
const BEYOND: u32 = 2;
/// Most news that is held; beyond that the digests bring it.
const MOST: usize = 4096;

/// What is still to be told on, and how often.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    left: BTreeMap<FactKey, u32>,
}

impl RumorQueue {
    /// A fact is new here. `brokers` is the number of all.
    pub fn push(&mut self, key: FactKey, brokers: usize) {
        if self.left.len() < MOST || self.left.contains_key(&key) {
            self.left.insert(key, dissemination_rounds(brokers));
        }
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// Facts that fit into so many bytes, those told least often first. Each counts as told once.
    pub fn take(&mut self, copy: &StateStore, room: usize) -> Vec<Fact> {
        let mut order: Vec<(u32, FactKey)> = self.left.iter().map(|(k, n)| (*n, k.clone())).collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let (mut facts, mut bytes) = (Vec::new(), 0);
        for (left, key) in order {
            let fact = copy.get(&key).map(|entry| (key.clone(), entry.clone()));
            let size = fact.as_ref().map_or(usize::MAX, anti_entropy::encoded_size);
            if size <= room && bytes + size > room {
                break;
            }
            if left <= 1 || size > room {
                // Gone in the meantime, or too large for a datagram: the digests bring it.
                self.left.remove(&key);
            } else {
                self.left.insert(key, left - 1);
            }
            if size <= room {
                bytes += size;
                facts.extend(fact);
            }
        }
        facts
    }
}

/// How often a broker tells a fact on.
pub fn dissemination_rounds(brokers: usize) -> u32 {
    (brokers.max(1) as u64 + 1).next_power_of_two().trailing_zeros() + BEYOND
}
