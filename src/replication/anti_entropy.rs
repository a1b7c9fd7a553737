//! Bringing two copies together over a connection: who begins asks, the other one only answers.
//!
//! First where the copies differ (digests of branches, then of leaves), then the facts of leaves that do, first theirs
//! and then ours. Each message is bounded, one is under way at a time, and a walk has a budget: what is left after it is
//! the next walk's. A walk that breaks off has lost nothing: what was taken in stays, and the next one finds less.

use super::fact::{Fact, FactKey, FactValue, fact_hash};
use super::merkle_tree::{FANOUT, LEAF_COUNT};
use super::state_store::StateStore;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most bytes of facts in a message; one fact may be larger and goes alone.
pub const MAX_FACT_BYTES: usize = 24 * 1024;
/// Most branches asked about, and most leaves, in one message.
const BRANCHES: usize = 16;
const LEAVES_ASKED: usize = 256;
/// Words of one register that travel together.
const TOGETHER: usize = 8;
/// Ranges of one origin that travel together.
const RANGES: usize = 512;

/// A place in a leaf: a key, and how many pieces of its fact have been told.
pub type SyncPosition = (FactKey, u32);

/// What two brokers say to each other on a walk.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub enum SyncMessage {
    /// Asks for the digests of the branches; `root` is the asker's.
    Begin { root: u64 },
    /// The answerer's digests; none where the roots are equal.
    #[serde(rename = "Branches")]
    BranchDigests { digests: Vec<u64> },
    /// Asks for the digests of these branches' leaves.
    #[serde(rename = "AskLeaves")]
    RequestLeaves { branches: Vec<u8> },
    /// The digests, branch by branch.
    #[serde(rename = "Leaves")]
    LeafDigests { digests: Vec<(u8, Vec<u64>)> },
    /// Asks for the facts of these leaves, of the first of them from this place on.
    #[serde(rename = "AskFacts")]
    RequestFacts { leaves: Vec<u16>, from: Option<SyncPosition> },
    /// Facts. If not all fitted, the leaf and the place to go on from.
    Facts { facts: Vec<Fact>, stopped: Option<(u16, SyncPosition)> },
    /// Facts that the answerer lacks.
    #[serde(rename = "Give")]
    Push { facts: Vec<Fact> },
    /// They were taken in.
    #[serde(rename = "Taken")]
    PushAccepted,
}

/// A message out of turn, or one that could not have been made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnexpectedMessage;

/// The size of a fact on its way, bytes.
pub fn encoded_size(fact: &Fact) -> usize {
    postcard::experimental::serialized_size(fact).unwrap_or(usize::MAX)
}

/// A fact in pieces of which each fits a message.
fn pieces(key: &FactKey, entry: &FactValue) -> Vec<Fact> {
    match entry {
        FactValue::Commands(r) => {
            r.split(TOGETHER).into_iter().map(|r| (key.clone(), FactValue::Commands(r))).collect()
        }
        FactValue::Collected(ranges) => {
            ranges.split(RANGES).into_iter().map(|r| (key.clone(), FactValue::Collected(r))).collect()
        }
        other => vec![(key.clone(), other.clone())],
    }
}

/// The answer of the side that did not begin. Facts that came with the message are in `Give`: the caller takes them in.
pub fn respond(copy: &StateStore, message: &SyncMessage) -> Result<SyncMessage, UnexpectedMessage> {
    match message {
        SyncMessage::Begin { root } => {
            let same = *root == copy.tree().root();
            let digests = if same { Vec::new() } else { copy.tree().branches().to_vec() };
            Ok(SyncMessage::BranchDigests { digests })
        }
        SyncMessage::RequestLeaves { branches } if branches.len() <= BRANCHES => {
            let digests = branches.iter().map(|b| (*b, copy.tree().leaves(*b))).collect();
            Ok(SyncMessage::LeafDigests { digests })
        }
        SyncMessage::RequestFacts { leaves, from } if leaves.len() <= LEAVES_ASKED => {
            let (mut facts, mut bytes) = (Vec::new(), 0);
            for (n, leaf) in leaves.iter().enumerate() {
                let from = from.as_ref().filter(|_| n == 0);
                for (key, entry) in copy.facts_of_leaf(*leaf, from.map(|(k, _)| k)) {
                    let told = from.filter(|(k, _)| k == key).map_or(0, |(_, n)| *n);
                    let pieces = pieces(key, entry).into_iter().enumerate().skip(told as usize);
                    for (n, fact) in pieces {
                        let more = encoded_size(&fact);
                        if bytes > 0 && bytes + more > MAX_FACT_BYTES {
                            return Ok(SyncMessage::Facts {
                                facts,
                                stopped: Some((*leaf, (fact.0, n as u32))),
                            });
                        }
                        bytes += more;
                        facts.push(fact);
                    }
                }
            }
            Ok(SyncMessage::Facts { facts, stopped: None })
        }
        SyncMessage::Push { .. } => Ok(SyncMessage::PushAccepted),
        _ => Err(UnexpectedMessage),
    }
}

/// How a walk stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Branches,
    Leaves,
    Facts,
    Giving,
    Over,
}

/// The side that began.
#[derive(Clone, Debug)]
pub struct SyncSession {
    step: Step,
    /// Branches and leaves still to be looked at.
    branches: VecDeque<u8>,
    leaves: VecDeque<u16>,
    /// Leaves whose facts are asked for, and what they hold there.
    asked: Vec<u16>,
    theirs: BTreeMap<FactKey, u64>,
    /// What is still to be given.
    give: VecDeque<Fact>,
    /// Bytes of facts that may still be taken and given.
    budget: usize,
    /// The copies were equal, or all that differed was looked at.
    whole: bool,
}

impl SyncSession {
    /// A walk that moves about so many bytes of facts at most, and its first message.
    pub fn begin(copy: &StateStore, budget: usize) -> (SyncSession, SyncMessage) {
        let walk = SyncSession {
            step: Step::Branches,
            branches: VecDeque::new(),
            leaves: VecDeque::new(),
            asked: Vec::new(),
            theirs: BTreeMap::new(),
            give: VecDeque::new(),
            budget,
            whole: true,
        };
        (walk, SyncMessage::Begin { root: copy.tree().root() })
    }

    /// All is said.
    pub fn is_finished(&self) -> bool {
        self.step == Step::Over
    }

    /// All that differed was looked at.
    pub fn is_complete(&self) -> bool {
        self.is_finished() && self.whole
    }

    /// What to say next, once the facts of `message` are in `copy`; none when the walk is over.
    pub fn on_response(
        &mut self,
        copy: &StateStore,
        message: &SyncMessage,
    ) -> Result<Option<SyncMessage>, UnexpectedMessage> {
        match (&self.step, message) {
            (Step::Branches, SyncMessage::BranchDigests { digests }) if digests.is_empty() => {}
            (Step::Branches, SyncMessage::BranchDigests { digests }) if digests.len() == FANOUT => {
                let own = copy.tree().branches();
                self.branches = (0..FANOUT).filter(|b| own[*b] != digests[*b]).map(|b| b as u8).collect();
            }
            (Step::Leaves, SyncMessage::LeafDigests { digests }) => {
                for (branch, leaves) in digests {
                    if leaves.len() != FANOUT || usize::from(*branch) >= FANOUT {
                        return Err(UnexpectedMessage);
                    }
                    let own = copy.tree().leaves(*branch);
                    let differ = (0..FANOUT).filter(|l| own[*l] != leaves[*l]);
                    self.leaves.extend(differ.map(|l| (usize::from(*branch) * FANOUT + l) as u16));
                }
            }
            (Step::Facts, SyncMessage::Facts { facts, stopped }) => {
                for fact in facts {
                    *self.theirs.entry(fact.0.clone()).or_insert(0) ^= fact_hash(&fact.0, &fact.1);
                    self.budget = self.budget.saturating_sub(encoded_size(fact));
                }
                if let Some((leaf, place)) = stopped {
                    // Guards against a peer that goes on from where it was, for ever.
                    let from = self.asked.iter().position(|l| l == leaf).ok_or(UnexpectedMessage)?;
                    if facts.is_empty() {
                        return Err(UnexpectedMessage);
                    }
                    if self.budget > 0 {
                        let leaves = self.asked[from..].to_vec();
                        return Ok(Some(SyncMessage::RequestFacts { leaves, from: Some(place.clone()) }));
                    }
                    self.whole = false;
                }
            }
            (Step::Giving, SyncMessage::PushAccepted) => {}
            _ => return Err(UnexpectedMessage),
        }
        Ok(self.go_on(copy))
    }

    fn go_on(&mut self, copy: &StateStore) -> Option<SyncMessage> {
        if self.step == Step::Facts {
            // Ours go after theirs are in: what they have told already is not told back.
            for leaf in std::mem::take(&mut self.asked) {
                for (key, entry) in copy.facts_of_leaf(leaf, None) {
                    let parts = pieces(key, entry);
                    let own = parts.iter().fold(0, |h, (k, e)| h ^ fact_hash(k, e));
                    if self.theirs.get(key) != Some(&own) {
                        self.give.extend(parts);
                    }
                }
            }
            self.theirs.clear();
        }
        if !self.give.is_empty() {
            let (mut facts, mut bytes) = (Vec::new(), 0);
            while let Some(fact) = self.give.front() {
                let more = encoded_size(fact);
                if bytes > 0 && bytes + more > MAX_FACT_BYTES {
                    break;
                }
                bytes += more;
                facts.extend(self.give.pop_front());
            }
            self.budget = self.budget.saturating_sub(bytes);
            self.step = Step::Giving;
            return Some(SyncMessage::Push { facts });
        }
        if self.budget == 0 && !(self.leaves.is_empty() && self.branches.is_empty()) {
            self.whole = false;
            self.step = Step::Over;
            return None;
        }
        if !self.leaves.is_empty() {
            let most = self.leaves.len().min(LEAVES_ASKED);
            self.asked = self.leaves.drain(..most).collect();
            self.step = Step::Facts;
            return Some(SyncMessage::RequestFacts { leaves: self.asked.clone(), from: None });
        }
        if !self.branches.is_empty() {
            let most = self.branches.len().min(BRANCHES);
            let branches = self.branches.drain(..most).collect();
            self.step = Step::Leaves;
            return Some(SyncMessage::RequestLeaves { branches });
        }
        self.step = Step::Over;
        None
    }
}

/// Facts that a message brings.
pub fn facts(message: &SyncMessage) -> &[Fact] {
    match message {
        SyncMessage::Facts { facts, .. } | SyncMessage::Push { facts } => facts,
        _ => &[],
    }
}

const _: () = assert!(LEAF_COUNT <= 1 << 16);
