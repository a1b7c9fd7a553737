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
    Back,
    /// Taken out, or sent away.
    Out,
    /// Something that whoever asks for it can read.
    Text(String),
}

/// One word.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCommand {
    /// What.
    pub value: CommandValue,
    /// By whom, as they named themselves.
    pub who: String,
    /// Why.
    pub why: String,
    /// The broker that was told.
    pub at_broker: String,
    /// When, by that broker's clock, unix ns. For people, and for how long it is kept; it decides nothing.
    pub at: Nanos,
    /// Until when it holds, unix ns.
    pub until: Option<Nanos>,
}

/// Longest text of each kind, bytes: names and ids; reasons; values.
pub const LONGEST: (usize, usize, usize) = (128, 256, 4096);

impl OperatorCommand {
    /// Whether it takes something out at this time.
    pub fn is_out(&self, now: Nanos) -> bool {
        self.value == CommandValue::Out && self.until.is_none_or(|t| now < t)
    }

    /// Whether it has said nothing any more for so long. What can't come back without a word is never old.
    fn is_spent(&self, now: Nanos, keep: Nanos) -> bool {
        let since = match (&self.value, self.until) {
            (CommandValue::Back, _) => self.at,
            (_, Some(until)) => until.max(self.at),
            (_, None) => return false,
        };
        since.saturating_add(keep) < now
    }

    /// Whether all of it is as short as may be.
    pub fn fits(&self) -> bool {
        let text = if let CommandValue::Text(t) = &self.value { t.len() } else { 0 };
        self.who.len().max(self.at_broker.len()) <= LONGEST.0
            && self.why.len() <= LONGEST.1
            && text <= LONGEST.2
    }
}

/// What is said of one thing. Joining is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Register {
    #[serde(with = "pairs")]
    said: BTreeMap<Dot, OperatorCommand>,
    /// All stamps that it has had, those of `said` among them, but for the spent ones.
    seen: VersionVector,
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
    pub fn is_sound(&self) -> bool {
        self.said.iter().all(|(dot, said)| dot.seq > 0 && self.seen.contains(*dot) && said.fits())
    }

    /// Says something here: it takes the place of all that is known here.
    pub fn record(&mut self, dot: Dot, said: OperatorCommand) {
        self.said = BTreeMap::from([(dot, said)]);
        self.seen.insert(dot);
    }

    /// The words that stand, by their stamps.
    pub fn commands(&self) -> impl Iterator<Item = (Dot, &OperatorCommand)> {
        self.said.iter().map(|(d, s)| (*d, s))
    }

    /// All stamps that it has had and that are not spent.
    pub fn seen(&self) -> &VersionVector {
        &self.seen
    }

    /// Takes in what another copy holds. `spent` are the stamps of what was forgotten, here or there.
    pub fn join(&mut self, other: &Register, spent: &VersionVector) {
        let stands = |dot: &Dot, there: &Register, mine: &Register| {
            let known_there = there.seen.contains(*dot) && !there.said.contains_key(dot);
            mine.said.contains_key(dot) && !known_there && !spent.contains(*dot)
        };
        let mut said: BTreeMap<Dot, OperatorCommand> = BTreeMap::new();
        for (dot, word) in &self.said {
            if stands(dot, other, self) {
                said.insert(*dot, word.clone());
            }
        }
        for (dot, word) in &other.said {
            if stands(dot, self, other) {
                // One stamp, two words: that is never made. If it is, all copies keep the same one.
                let own = said.entry(*dot).or_insert_with(|| word.clone());
                if word > own {
                    *own = word.clone();
                }
            }
        }
        self.said = said;
        self.seen.union(&other.seen);
        self.seen.minus(spent);
    }

    /// Takes out what is spent.
    pub fn without(&mut self, spent: &VersionVector) {
        self.said.retain(|dot, _| !spent.contains(*dot));
        self.seen.minus(spent);
    }

    /// Something is out: one word of those that stand side by side is enough.
    pub fn is_out(&self, now: Nanos) -> bool {
        self.said.values().any(|s| s.is_out(now))
    }

    /// Words that know nothing of each other say different things.
    pub fn is_conflict(&self, now: Nanos) -> bool {
        let mut effects = self.said.values().map(|s| match &s.value {
            CommandValue::Text(t) => (false, Some(t.as_str())),
            _ => (s.is_out(now), None),
        });
        let first = effects.next();
        effects.any(|e| Some(e) != first)
    }

    /// The next time at which a word ends by itself.
    pub fn ends_at(&self, now: Nanos) -> Option<Nanos> {
        self.said.values().filter(|s| s.is_out(now)).filter_map(|s| s.until).min()
    }

    /// Nothing that stands has said anything for so long.
    pub fn is_spent(&self, now: Nanos, keep: Nanos) -> bool {
        self.said.values().all(|s| s.is_spent(now, keep))
    }

    /// Nothing is left of it.
    pub fn is_empty(&self) -> bool {
        self.said.is_empty() && self.seen.is_empty()
    }

    /// The same in registers with at most so many words each; joined, they are this one again.
    pub fn pieces(&self, most: usize) -> Vec<Register> {
        if self.said.len() <= most {
            return vec![self.clone()];
        }
        let words: Vec<(Dot, OperatorCommand)> = self.said.iter().map(|(d, s)| (*d, s.clone())).collect();
        let mut pieces: Vec<Register> = words
            .chunks(most.max(1))
            .map(|part| {
                let mut seen = VersionVector::default();
                part.iter().for_each(|(d, _)| seen.insert(*d));
                Register { said: part.iter().cloned().collect(), seen }
            })
            .collect();
        // What was superseded is known without the words that stand: no piece may end a word of another one.
        let mut seen = self.seen.clone();
        let mut standing = VersionVector::default();
        self.said.keys().for_each(|d| standing.insert(*d));
        seen.minus(&standing);
        pieces.push(Register { said: BTreeMap::new(), seen });
        pieces
    }
}
