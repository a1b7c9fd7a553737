//! Words by hand, and the register that holds what was last said of one thing.
//!
//! A word takes the place of all words that were known where it was given, and of no others. Words that were given
//! without knowledge of each other stand side by side until the next one: that is a conflict if they say different
//! things.

use super::version_vector::{Dot, VersionVector};
use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What was said.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CommandValue {
    /// Put back, welcome again, or no more.
    #[serde(rename = "Back")]
    Clear,
    /// Taken out, or sent away.
    #[serde(rename = "Out")]
    Set,
    /// Something that whoever asks for it can read.
    Text(String),
}

/// One word.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCommand {
    /// What.
    pub value: CommandValue,
    /// By whom, as they named themselves.
    #[serde(rename = "who")]
    pub author: String,
    /// Why.
    #[serde(rename = "why")]
    pub reason: String,
    /// The broker that was told.
    #[serde(rename = "at_broker")]
    pub broker: String,
    /// When, by that broker's clock, unix ns. For people, and for how long it is kept; it decides nothing.
    #[serde(rename = "at")]
    pub issued_at: Nanos,
    /// Until when it holds, unix ns.
    #[serde(rename = "until")]
    pub expires_at: Option<Nanos>,
}

/// Longest text of each kind, bytes: names and ids; reasons; values.
pub const LONGEST: (usize, usize, usize) = (128, 256, 4096);

impl OperatorCommand {
    /// Whether it takes something out at this time.
    pub fn is_in_effect(&self, now: Nanos) -> bool {
        self.value == CommandValue::Set && self.expires_at.is_none_or(|t| now < t)
    }

    /// Whether it has said nothing any more for so long. What can't come back without a word is never old.
    fn is_expired(&self, now: Nanos, keep: Nanos) -> bool {
        let since = match (&self.value, self.expires_at) {
            (CommandValue::Clear, _) => self.issued_at,
            (_, Some(until)) => until.max(self.issued_at),
            (_, None) => return false,
        };
        since.saturating_add(keep) < now
    }

    /// Whether all of it is as short as may be.
    pub fn is_within_limits(&self) -> bool {
        let text = if let CommandValue::Text(t) = &self.value { t.len() } else { 0 };
        self.author.len().max(self.broker.len()) <= LONGEST.0
            && self.reason.len() <= LONGEST.1
            && text <= LONGEST.2
    }
}

/// What is said of one thing. Joining is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Register {
    #[serde(with = "pairs")]
    #[serde(rename = "said")]
    commands: BTreeMap<Dot, OperatorCommand>,
    /// All stamps that it has had, those of `said` among them, but for the spent ones.
    #[serde(rename = "seen")]
    causal_context: VersionVector,
}

/// Stamps are no text: a map by them is written as a list.
mod pairs {
    use super::{BTreeMap, Dot, OperatorCommand};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(map: &BTreeMap<Dot, OperatorCommand>, s: S) -> Result<S::Ok, S::Error> {
        map.iter().collect::<Vec<_>>().serialize(s)
    }

    pub fn deserialize<'d, D: Deserializer<'d>>(d: D) -> Result<BTreeMap<Dot, OperatorCommand>, D::Error> {
        Ok(Vec::<(Dot, OperatorCommand)>::deserialize(d)?.into_iter().collect())
    }
}

impl Register {
    /// Whether it could have been made by words: what is said is also seen, and short.
    pub fn is_valid(&self) -> bool {
        self.commands.iter().all(|(dot, said)| {
            dot.sequence > 0 && self.causal_context.contains(*dot) && said.is_within_limits()
        })
    }

    /// Says something here: it takes the place of all that is known here.
    pub fn record(&mut self, dot: Dot, said: OperatorCommand) {
        self.commands = BTreeMap::from([(dot, said)]);
        self.causal_context.insert(dot);
    }

    /// The words that stand, by their stamps.
    pub fn commands(&self) -> impl Iterator<Item = (Dot, &OperatorCommand)> {
        self.commands.iter().map(|(d, s)| (*d, s))
    }

    /// All stamps that it has had and that are not spent.
    pub fn causal_context(&self) -> &VersionVector {
        &self.causal_context
    }

    /// Takes in what another copy holds. `spent` are the stamps of what was forgotten, here or there.
    pub fn join(&mut self, other: &Register, spent: &VersionVector) {
        let stands = |dot: &Dot, there: &Register, mine: &Register| {
            let known_there = there.causal_context.contains(*dot) && !there.commands.contains_key(dot);
            mine.commands.contains_key(dot) && !known_there && !spent.contains(*dot)
        };
        let mut said: BTreeMap<Dot, OperatorCommand> = BTreeMap::new();
        for (dot, word) in &self.commands {
            if stands(dot, other, self) {
                said.insert(*dot, word.clone());
            }
        }
        for (dot, word) in &other.commands {
            if stands(dot, self, other) {
                // One stamp, two words: that is never made. If it is, all copies keep the same one.
                let own = said.entry(*dot).or_insert_with(|| word.clone());
                if word > own {
                    *own = word.clone();
                }
            }
        }
        self.commands = said;
        self.causal_context.union(&other.causal_context);
        self.causal_context.subtract(spent);
    }

    /// Takes out what is spent.
    pub fn remove_collected(&mut self, spent: &VersionVector) {
        self.commands.retain(|dot, _| !spent.contains(*dot));
        self.causal_context.subtract(spent);
    }

    /// Something is out: one word of those that stand side by side is enough.
    pub fn is_set(&self, now: Nanos) -> bool {
        self.commands.values().any(|s| s.is_in_effect(now))
    }

    /// Words that know nothing of each other say different things.
    pub fn has_conflict(&self, now: Nanos) -> bool {
        let mut effects = self.commands.values().map(|s| match &s.value {
            CommandValue::Text(t) => (false, Some(t.as_str())),
            _ => (s.is_in_effect(now), None),
        });
        let first = effects.next();
        effects.any(|e| Some(e) != first)
    }

    /// The next time at which a word ends by itself.
    pub fn next_expiry(&self, now: Nanos) -> Option<Nanos> {
        self.commands.values().filter(|s| s.is_in_effect(now)).filter_map(|s| s.expires_at).min()
    }

    /// Nothing that stands has said anything for so long.
    pub fn is_expired(&self, now: Nanos, keep: Nanos) -> bool {
        self.commands.values().all(|s| s.is_expired(now, keep))
    }

    /// Nothing is left of it.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty() && self.causal_context.is_empty()
    }

    /// The same in registers with at most so many words each; joined, they are this one again.
    pub fn split(&self, most: usize) -> Vec<Register> {
        if self.commands.len() <= most {
            return vec![self.clone()];
        }
        let words: Vec<(Dot, OperatorCommand)> = self.commands.iter().map(|(d, s)| (*d, s.clone())).collect();
        let mut pieces: Vec<Register> = words
            .chunks(most.max(1))
            .map(|part| {
                let mut seen = VersionVector::default();
                part.iter().for_each(|(d, _)| seen.insert(*d));
                Register { commands: part.iter().cloned().collect(), causal_context: seen }
            })
            .collect();
        // What was superseded is known without the words that stand: no piece may end a word of another one.
        let mut seen = self.causal_context.clone();
        let mut standing = VersionVector::default();
        self.commands.keys().for_each(|d| standing.insert(*d));
        seen.subtract(&standing);
        pieces.push(Register { commands: BTreeMap::new(), causal_context: seen });
        pieces
    }
}
