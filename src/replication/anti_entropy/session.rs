//! The initiating side of anti-entropy.

use super::UnexpectedMessage;
use super::message::{
    FactBatch, MAX_BRANCHES_PER_MESSAGE, MAX_LEAVES_PER_MESSAGE, SyncMessage, SyncPosition, encoded_size,
    split_fact,
};
use crate::replication::fact::{Fact, FactKey, fact_hash};
use crate::replication::merkle_tree::FANOUT;
use crate::replication::state_store::StateStore;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    AwaitingBranchDigests,
    AwaitingLeafDigests,
    AwaitingFacts {
        /// The leaves that were requested.
        leaves: Vec<u16>,
        /// The exclusive or of the hashes of the parts that were received, by fact.
        received: BTreeMap<FactKey, u64>,
    },
    AwaitingPushAccepted,
    Finished,
}

/// The state machine of the initiator. Requests go out one at a time; each response is passed to
/// [`on_response`](SyncSession::on_response), which returns the next request.
#[derive(Clone, Debug)]
pub struct SyncSession {
    state: State,
    /// Differing branches whose leaves are still to be requested.
    branches: VecDeque<u8>,
    /// Differing leaves whose facts are still to be requested.
    leaves: VecDeque<u16>,
    /// Parts of facts that are still to be pushed.
    to_push: VecDeque<Fact>,
    /// Bytes of facts that may still be transferred, in both directions together.
    budget_bytes: usize,
    /// Whether the budget was used up before all differences were reconciled.
    is_truncated: bool,
}

impl SyncSession {
    /// Begins a session that transfers about `budget_bytes` of facts at most. Returns it with its first
    /// request.
    pub fn begin(store: &StateStore, budget_bytes: usize) -> (SyncSession, SyncMessage) {
        let session = SyncSession {
            state: State::AwaitingBranchDigests,
            branches: VecDeque::new(),
            leaves: VecDeque::new(),
            to_push: VecDeque::new(),
            budget_bytes,
            is_truncated: false,
        };
        (session, SyncMessage::Begin { root: store.tree().root() })
    }

    /// Whether there is no further request.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Whether the session is finished and has reconciled all differences.
    pub fn is_complete(&self) -> bool {
        self.is_finished() && !self.is_truncated
    }

    /// Handles a response. The caller has joined the facts that it carries. Returns the next request, or none
    /// when the session is finished.
    ///
    /// # Errors
    ///
    /// [`UnexpectedMessage`] if it is not a valid response to the last request; the session must be dropped
    /// then.
    pub fn on_response(
        &mut self,
        store: &StateStore,
        response: &SyncMessage,
    ) -> Result<Option<SyncMessage>, UnexpectedMessage> {
        match (&self.state, response) {
            (State::AwaitingBranchDigests, SyncMessage::BranchDigests { digests }) => {
                self.on_branch_digests(store, digests)?;
            }
            (State::AwaitingLeafDigests, SyncMessage::LeafDigests { digests }) => {
                self.on_leaf_digests(store, digests)?;
            }
            (State::AwaitingFacts { .. }, SyncMessage::Facts { facts, resume_at }) => {
                if let Some(request) = self.on_facts(facts, resume_at.as_ref())? {
                    return Ok(Some(request));
                }
                self.queue_pushes(store);
            }
            (State::AwaitingPushAccepted, SyncMessage::PushAccepted) => {}
            _ => return Err(UnexpectedMessage::OutOfTurn),
        }
        Ok(self.next_request())
    }

    fn on_branch_digests(&mut self, store: &StateStore, digests: &[u64]) -> Result<(), UnexpectedMessage> {
        if digests.is_empty() {
            return Ok(());
        }
        if digests.len() != FANOUT {
            return Err(UnexpectedMessage::InvalidDigests);
        }
        let own = store.tree().branches();
        self.branches = (0..FANOUT).filter(|n| own[*n] != digests[*n]).map(|n| n as u8).collect();
        Ok(())
    }

    fn on_leaf_digests(
        &mut self,
        store: &StateStore,
        digests: &[(u8, Vec<u64>)],
    ) -> Result<(), UnexpectedMessage> {
        for (branch, leaves) in digests {
            let branch_index = usize::from(*branch);
            if leaves.len() != FANOUT || branch_index >= FANOUT {
                return Err(UnexpectedMessage::InvalidDigests);
            }
            let own = store.tree().leaves(*branch);
            let differing = (0..FANOUT).filter(|n| own[*n] != leaves[*n]);
            self.leaves.extend(differing.map(|n| (branch_index * FANOUT + n) as u16));
        }
        Ok(())
    }

    /// Records the received facts and subtracts them from the budget. Returns the request for the remaining
    /// facts of the leaves, if there are any and budget is left.
    fn on_facts(
        &mut self,
        facts: &[Fact],
        resume_at: Option<&(u16, SyncPosition)>,
    ) -> Result<Option<SyncMessage>, UnexpectedMessage> {
        let State::AwaitingFacts { leaves, received } = &mut self.state else {
            return Err(UnexpectedMessage::OutOfTurn);
        };
        for fact in facts {
            *received.entry(fact.0.clone()).or_insert(0) ^= fact_hash(&fact.0, &fact.1);
            self.budget_bytes = self.budget_bytes.saturating_sub(encoded_size(fact));
        }
        let Some((leaf, position)) = resume_at else { return Ok(None) };
        // A response without progress is rejected: it would keep the session open without end.
        let first = leaves.iter().position(|requested| requested == leaf);
        let first = first.filter(|_| !facts.is_empty()).ok_or(UnexpectedMessage::InvalidPosition)?;
        if self.budget_bytes == 0 {
            self.is_truncated = true;
            return Ok(None);
        }
        let leaves = leaves[first..].to_vec();
        Ok(Some(SyncMessage::RequestFacts { leaves, from: Some(position.clone()) }))
    }

    /// Queues this store's facts of the requested leaves for pushing. The peer's facts are joined already:
    /// facts that equal the received ones are not sent back.
    fn queue_pushes(&mut self, store: &StateStore) {
        let State::AwaitingFacts { leaves, received } = &self.state else { return };
        for leaf in leaves {
            for (key, value) in store.facts_of_leaf(*leaf, None) {
                let parts = split_fact(key, value);
                let own = parts.iter().fold(0, |hash, (key, part)| hash ^ fact_hash(key, part));
                if received.get(key) != Some(&own) {
                    self.to_push.extend(parts);
                }
            }
        }
    }

    fn next_request(&mut self) -> Option<SyncMessage> {
        if !self.to_push.is_empty() {
            return Some(self.push());
        }
        let has_differences = !self.leaves.is_empty() || !self.branches.is_empty();
        if self.budget_bytes == 0 && has_differences {
            self.is_truncated = true;
            self.state = State::Finished;
            return None;
        }
        if !self.leaves.is_empty() {
            let count = self.leaves.len().min(MAX_LEAVES_PER_MESSAGE);
            let leaves: Vec<u16> = self.leaves.drain(..count).collect();
            self.state = State::AwaitingFacts { leaves: leaves.clone(), received: BTreeMap::new() };
            return Some(SyncMessage::RequestFacts { leaves, from: None });
        }
        if !self.branches.is_empty() {
            let count = self.branches.len().min(MAX_BRANCHES_PER_MESSAGE);
            let branches = self.branches.drain(..count).collect();
            self.state = State::AwaitingLeafDigests;
            return Some(SyncMessage::RequestLeaves { branches });
        }
        self.state = State::Finished;
        None
    }

    fn push(&mut self) -> SyncMessage {
        let mut batch = FactBatch::default();
        while let Some(fact) = self.to_push.pop_front() {
            let size = encoded_size(&fact);
            if !batch.fits(size) {
                self.to_push.push_front(fact);
                break;
            }
            batch.push(fact, size);
        }
        self.budget_bytes = self.budget_bytes.saturating_sub(batch.bytes());
        self.state = State::AwaitingPushAccepted;
        SyncMessage::Push { facts: batch.into_facts() }
    }
}
