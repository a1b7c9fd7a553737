//! The messages of anti-entropy, and the splitting of facts into parts that fit them.

use crate::replication::fact::{Fact, FactKey, FactValue};
use crate::replication::merkle_tree::LEAF_COUNT;
use serde::{Deserialize, Serialize};

/// Maximum bytes of facts in a message. A single part that is larger is sent alone.
pub const MAX_FACT_BYTES: usize = 24 * 1024;
/// Maximum number of branches whose leaves one message requests.
pub(super) const MAX_BRANCHES_PER_MESSAGE: usize = 16;
/// Maximum number of leaves whose facts one message requests.
pub(super) const MAX_LEAVES_PER_MESSAGE: usize = 256;
/// Maximum number of commands in one part of a register.
const MAX_COMMANDS_PER_PART: usize = 8;
/// Maximum number of ranges in one part of an origin's collected dots.
const MAX_RANGES_PER_PART: usize = 512;

const _: () = assert!(LEAF_COUNT <= 1 << 16, "messages encode leaf indexes as u16");

/// A position among the facts of a leaf, at which a response stops and the next one continues.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct SyncPosition {
    /// The key of the fact.
    pub key: FactKey,
    /// The number of parts of the fact that precede the position.
    pub parts: u32,
}

/// A message of a session. Requests go from the initiator to the responder.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum SyncMessage {
    /// Requests the digests of all branches.
    Begin {
        /// The digest of the initiator's root.
        root: u64,
    },
    /// Response to [`SyncMessage::Begin`].
    #[serde(rename = "Branches")]
    BranchDigests {
        /// The responder's digests; empty if its root is equal.
        digests: Vec<u64>,
    },
    /// Requests the digests of the leaves of these branches.
    #[serde(rename = "AskLeaves")]
    RequestLeaves {
        /// The indexes of the branches.
        branches: Vec<u8>,
    },
    /// Response to [`SyncMessage::RequestLeaves`].
    #[serde(rename = "Leaves")]
    LeafDigests {
        /// The index of each branch with the digests of its leaves.
        digests: Vec<(u8, Vec<u64>)>,
    },
    /// Requests the facts of these leaves.
    #[serde(rename = "AskFacts")]
    RequestFacts {
        /// The indexes of the leaves.
        leaves: Vec<u16>,
        /// The position in the first leaf at which to begin; if none, at its first fact.
        from: Option<SyncPosition>,
    },
    /// Response to [`SyncMessage::RequestFacts`].
    Facts {
        /// The facts, large ones in parts.
        facts: Vec<Fact>,
        /// The leaf and the position at which to continue; none if the message completes the request.
        #[serde(rename = "stopped")]
        resume_at: Option<(u16, SyncPosition)>,
    },
    /// Sends facts that the responder lacks, which it joins.
    #[serde(rename = "Give")]
    Push {
        /// The facts, large ones in parts.
        facts: Vec<Fact>,
    },
    /// Response to [`SyncMessage::Push`].
    #[serde(rename = "Taken")]
    PushAccepted,
}

impl SyncMessage {
    /// The facts that the message carries. The receiver joins them before it handles the message.
    pub fn facts(&self) -> &[Fact] {
        match self {
            SyncMessage::Facts { facts, .. } | SyncMessage::Push { facts } => facts,
            _ => &[],
        }
    }
}

/// The size of a fact in a message, in bytes.
pub fn encoded_size(fact: &Fact) -> usize {
    postcard::experimental::serialized_size(fact).unwrap_or(usize::MAX)
}

/// Splits a fact into parts that fit messages and join to the whole fact.
pub(super) fn split_fact(key: &FactKey, value: &FactValue) -> Vec<Fact> {
    let parts = match value {
        FactValue::Commands(register) => {
            register.split(MAX_COMMANDS_PER_PART).into_iter().map(FactValue::Commands).collect()
        }
        FactValue::Collected(ranges) => {
            ranges.split(MAX_RANGES_PER_PART).into_iter().map(FactValue::Collected).collect()
        }
        FactValue::Latest(_) => vec![value.clone()],
    };
    parts.into_iter().map(|part| (key.clone(), part)).collect()
}

/// The facts of one message, up to [`MAX_FACT_BYTES`] in total.
#[derive(Debug, Default)]
pub(super) struct FactBatch {
    facts: Vec<Fact>,
    bytes: usize,
}

impl FactBatch {
    /// Whether a fact of this size still fits. The first fact always does.
    pub(super) fn fits(&self, size: usize) -> bool {
        self.bytes == 0 || self.bytes + size <= MAX_FACT_BYTES
    }

    pub(super) fn push(&mut self, fact: Fact, size: usize) {
        self.bytes += size;
        self.facts.push(fact);
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn into_facts(self) -> Vec<Fact> {
        self.facts
    }
}
