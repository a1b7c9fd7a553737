//! Rumor mongering: a broker sends a fact that is new to it a few times, to randomly chosen peers.
//!
//! The number of rounds for which a fact is sent grows with the logarithm of the cluster's size. A peer that
//! was not chosen, or was unreachable, receives the fact by anti-entropy.

use super::anti_entropy;
use super::fact::{Fact, FactKey};
use super::state_store::StateStore;
use std::collections::BTreeMap;

/// Rounds in addition to the binary logarithm of the cluster's size.
const EXTRA_ROUNDS: u32 = 2;
/// Maximum number of queued facts; any others are left to anti-entropy.
const MAX_QUEUED_FACTS: usize = 4096;

/// The facts that are still to be sent, each with the number of rounds that remain for it.
#[derive(Clone, Debug, Default)]
pub struct RumorQueue {
    remaining_rounds: BTreeMap<FactKey, u32>,
}

impl RumorQueue {
    /// Queues a fact that is new here, in a cluster of `brokers` members. A fact that is queued already gets
    /// its full number of rounds again.
    pub fn push(&mut self, key: FactKey, brokers: usize) {
        if self.remaining_rounds.len() < MAX_QUEUED_FACTS || self.remaining_rounds.contains_key(&key) {
            self.remaining_rounds.insert(key, dissemination_rounds(brokers));
        }
    }

    /// Whether no fact is queued.
    pub fn is_empty(&self) -> bool {
        self.remaining_rounds.is_empty()
    }

    /// Takes the facts for the next datagram, at most `max_bytes` in total, those with the most remaining
    /// rounds first. Each of them has one round less afterwards. Facts that are no longer in the store, or
    /// that alone exceed `max_bytes`, are removed from the queue: anti-entropy transfers the latter.
    pub fn take(&mut self, store: &StateStore, max_bytes: usize) -> Vec<Fact> {
        let mut facts = Vec::new();
        let mut bytes = 0;
        for (rounds, key) in self.by_remaining_rounds() {
            let fact = store.get(&key).map(|value| (key.clone(), value.clone()));
            let size = fact.as_ref().map_or(usize::MAX, anti_entropy::encoded_size);
            let fits_alone = size <= max_bytes;
            if fits_alone && bytes + size > max_bytes {
                break;
            }
            if rounds <= 1 || !fits_alone {
                self.remaining_rounds.remove(&key);
            } else {
                self.remaining_rounds.insert(key, rounds - 1);
            }
            if fits_alone {
                bytes += size;
                facts.extend(fact);
            }
        }
        facts
    }

    fn by_remaining_rounds(&self) -> Vec<(u32, FactKey)> {
        let mut queued: Vec<(u32, FactKey)> =
            self.remaining_rounds.iter().map(|(key, rounds)| (*rounds, key.clone())).collect();
        queued.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        queued
    }
}

/// Returns the number of rounds for which a fact is sent in a cluster of `brokers` members.
pub fn dissemination_rounds(brokers: usize) -> u32 {
    (brokers.max(1) as u64 + 1).next_power_of_two().trailing_zeros() + EXTRA_ROUNDS
}
