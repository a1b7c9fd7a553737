//! Operators' commands, and the multi-value register that holds the latest commands on one subject.
//!
//! A command supersedes the commands that are known to the broker that records it, and no others. Concurrent
//! commands, each recorded without knowledge of the other, are both retained until the next command; they
//! conflict if they differ in effect.

use super::version_vector::{Dot, VersionVector};
use crate::api::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum length of a name or id, in bytes: of brokers, servers, maintenance orders, sites and authors.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a command's reason, in bytes.
pub const MAX_REASON_BYTES: usize = 256;
/// Maximum length of a text that is the value of a command, in bytes.
pub const MAX_TEXT_BYTES: usize = 4096;

/// The value that a command sets for its subject.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CommandValue {
    /// Ends the condition that [`CommandValue::Set`] starts.
    #[serde(rename = "Back")]
    Clear,
    /// The server is disabled, or the broker is paused or removed.
    #[serde(rename = "Out")]
    Set,
    /// A text, interpreted by the readers of the register.
    Text(String),
}

impl CommandValue {
    /// The value as it is printed for operators.
    pub fn label(&self) -> &str {
        match self {
            CommandValue::Clear => "back",
            CommandValue::Set => "out",
            CommandValue::Text(text) => text,
        }
    }
}

/// A command of an operator.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCommand {
    /// The value that it sets for its subject.
    pub value: CommandValue,
    /// The name that the operator gave.
    #[serde(rename = "who")]
    pub author: String,
    /// The reason that the operator gave.
    #[serde(rename = "why")]
    pub reason: String,
    /// The broker that accepted it.
    #[serde(rename = "at_broker")]
    pub broker: String,
    /// When that broker accepted it, in Unix nanoseconds by its clock. Shown to operators and used for
    /// retention, but not to order commands.
    #[serde(rename = "at")]
    pub issued_at: Nanos,
    /// When it ceases to be in effect, in Unix nanoseconds; if none, with the next command.
    #[serde(rename = "until")]
    pub expires_at: Option<Nanos>,
}

impl OperatorCommand {
    /// Whether it sets its condition at this time.
    pub fn is_in_effect(&self, now: Nanos) -> bool {
        self.value == CommandValue::Set && self.expires_at.is_none_or(|expiry| now < expiry)
    }

    /// Whether it has had no effect for longer than `retention`. A command that only another command can end
    /// never expires.
    fn is_expired(&self, now: Nanos, retention: Nanos) -> bool {
        let ended_at = match (&self.value, self.expires_at) {
            (CommandValue::Clear, _) => self.issued_at,
            (_, Some(expiry)) => expiry.max(self.issued_at),
            (_, None) => return false,
        };
        ended_at.saturating_add(retention) < now
    }

    /// Whether all its texts are within their maximum lengths.
    pub fn is_within_limits(&self) -> bool {
        let text_bytes = if let CommandValue::Text(text) = &self.value { text.len() } else { 0 };
        self.author.len() <= MAX_NAME_BYTES
            && self.broker.len() <= MAX_NAME_BYTES
            && self.reason.len() <= MAX_REASON_BYTES
            && text_bytes <= MAX_TEXT_BYTES
    }
}

/// The commands on one subject. Joining registers is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq, Hash)]
pub struct Register {
    #[serde(rename = "said", with = "as_pairs")]
    commands: BTreeMap<Dot, OperatorCommand>,
    /// The dots of all commands that the register ever held, including superseded ones and excluding
    /// collected ones.
    #[serde(rename = "seen")]
    causal_context: VersionVector,
}

/// Serializes a map as a list of pairs, since keys in JSON must be strings.
mod as_pairs {
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
    /// Whether recorded commands can produce this register: each is in the causal context and within the
    /// limits.
    pub fn is_valid(&self) -> bool {
        self.commands.iter().all(|(dot, command)| {
            dot.sequence > 0 && self.causal_context.contains(*dot) && command.is_within_limits()
        })
    }

    /// Records a command, which supersedes all that the register holds.
    pub fn record(&mut self, dot: Dot, command: OperatorCommand) {
        self.commands = BTreeMap::from([(dot, command)]);
        self.causal_context.insert(dot);
    }

    /// The commands that no other one has superseded, by their dots.
    pub fn commands(&self) -> impl Iterator<Item = (Dot, &OperatorCommand)> {
        self.commands.iter().map(|(dot, command)| (*dot, command))
    }

    /// The dots of all commands that the register ever held and that are not collected.
    pub fn causal_context(&self) -> &VersionVector {
        &self.causal_context
    }

    /// Joins the register of another copy. `collected` are the dots that garbage collection removed, in any
    /// copy.
    pub fn join(&mut self, other: &Register, collected: &VersionVector) {
        let mut joined = BTreeMap::new();
        for (dot, command) in &self.commands {
            if !other.has_superseded(dot) && !collected.contains(*dot) {
                joined.insert(*dot, command.clone());
            }
        }
        for (dot, command) in &other.commands {
            if !self.has_superseded(dot) && !collected.contains(*dot) {
                // A dot identifies one command. If two commands share a dot nevertheless, all copies keep the
                // greater one.
                let own = joined.entry(*dot).or_insert_with(|| command.clone());
                if command > own {
                    *own = command.clone();
                }
            }
        }
        self.commands = joined;
        self.causal_context.union(&other.causal_context);
        self.causal_context.subtract(collected);
    }

    fn has_superseded(&self, dot: &Dot) -> bool {
        self.causal_context.contains(*dot) && !self.commands.contains_key(dot)
    }

    /// Removes the commands and the dots that garbage collection removed.
    pub fn remove_collected(&mut self, collected: &VersionVector) {
        self.commands.retain(|dot, _| !collected.contains(*dot));
        self.causal_context.subtract(collected);
    }

    /// Whether the condition is set at this time; one of several concurrent commands suffices to set it.
    pub fn is_set(&self, now: Nanos) -> bool {
        self.commands.values().any(|command| command.is_in_effect(now))
    }

    /// Whether concurrent commands differ in effect.
    pub fn has_conflict(&self, now: Nanos) -> bool {
        let mut effects = self.commands.values().map(|command| match &command.value {
            CommandValue::Text(text) => (false, Some(text.as_str())),
            _ => (command.is_in_effect(now), None),
        });
        let first = effects.next();
        effects.any(|effect| Some(effect) != first)
    }

    /// The next time at which a command ceases to be in effect.
    pub fn next_expiry(&self, now: Nanos) -> Option<Nanos> {
        let in_effect = self.commands.values().filter(|command| command.is_in_effect(now));
        in_effect.filter_map(|command| command.expires_at).min()
    }

    /// Whether no command has had any effect for longer than `retention`.
    pub fn is_expired(&self, now: Nanos, retention: Nanos) -> bool {
        self.commands.values().all(|command| command.is_expired(now, retention))
    }

    /// Whether it has neither commands nor a causal context.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty() && self.causal_context.is_empty()
    }

    /// Splits the register into registers of at most `max_commands` commands each, which join to this one.
    pub fn split(&self, max_commands: usize) -> Vec<Register> {
        if self.commands.len() <= max_commands {
            return vec![self.clone()];
        }
        let commands: Vec<(Dot, OperatorCommand)> =
            self.commands.iter().map(|(dot, command)| (*dot, command.clone())).collect();
        let part = |commands: &[(Dot, OperatorCommand)]| Register {
            commands: commands.iter().cloned().collect(),
            causal_context: commands.iter().map(|(dot, _)| *dot).collect(),
        };
        let mut parts: Vec<Register> = commands.chunks(max_commands.max(1)).map(part).collect();
        // The superseded dots form a part of their own, without the retained ones: joining one part must not
        // supersede a command of another.
        let mut superseded = self.causal_context.clone();
        superseded.subtract(&self.commands.keys().copied().collect());
        parts.push(Register { commands: BTreeMap::new(), causal_context: superseded });
        parts
    }
}
