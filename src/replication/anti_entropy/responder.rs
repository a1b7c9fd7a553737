//! The stateless responding side of anti-entropy.

use super::UnexpectedMessage;
use super::message::{
    FactBatch, MAX_BRANCHES_PER_MESSAGE, MAX_LEAVES_PER_MESSAGE, SyncMessage, SyncPosition, encoded_size,
    split_fact,
};
use crate::replication::state_store::StateStore;

/// Responds to a request. The caller has joined the facts that the request carries.
///
/// # Errors
///
/// [`UnexpectedMessage`] if the message is not a request, or requests too many branches or leaves.
pub fn respond(store: &StateStore, request: &SyncMessage) -> Result<SyncMessage, UnexpectedMessage> {
    match request {
        SyncMessage::Begin { root } => Ok(branch_digests(store, *root)),
        SyncMessage::RequestLeaves { branches } if branches.len() <= MAX_BRANCHES_PER_MESSAGE => {
            let digests = branches.iter().map(|branch| (*branch, store.tree().leaves(*branch))).collect();
            Ok(SyncMessage::LeafDigests { digests })
        }
        SyncMessage::RequestFacts { leaves, from } if leaves.len() <= MAX_LEAVES_PER_MESSAGE => {
            Ok(facts_of_leaves(store, leaves, from.as_ref()))
        }
        SyncMessage::RequestLeaves { .. } | SyncMessage::RequestFacts { .. } => {
            Err(UnexpectedMessage::TooManyRequested)
        }
        SyncMessage::Push { .. } => Ok(SyncMessage::PushAccepted),
        SyncMessage::BranchDigests { .. }
        | SyncMessage::LeafDigests { .. }
        | SyncMessage::Facts { .. }
        | SyncMessage::PushAccepted => Err(UnexpectedMessage::OutOfTurn),
    }
}

fn branch_digests(store: &StateStore, peer_root: u64) -> SyncMessage {
    let is_equal = peer_root == store.tree().root();
    let digests = if is_equal { Vec::new() } else { store.tree().branches().to_vec() };
    SyncMessage::BranchDigests { digests }
}

fn facts_of_leaves(store: &StateStore, leaves: &[u16], from: Option<&SyncPosition>) -> SyncMessage {
    let mut batch = FactBatch::default();
    for (index, leaf) in leaves.iter().enumerate() {
        let from = from.filter(|_| index == 0);
        if let Some(position) = add_facts_of_leaf(store, *leaf, from, &mut batch) {
            return SyncMessage::Facts { facts: batch.into_facts(), resume_at: Some((*leaf, position)) };
        }
    }
    SyncMessage::Facts { facts: batch.into_facts(), resume_at: None }
}

/// Adds the facts of a leaf. Returns the position of the first part that does not fit.
fn add_facts_of_leaf(
    store: &StateStore,
    leaf: u16,
    from: Option<&SyncPosition>,
    batch: &mut FactBatch,
) -> Option<SyncPosition> {
    for (key, value) in store.facts_of_leaf(leaf, from.map(|position| &position.key)) {
        let sent_parts = from.filter(|position| position.key == *key).map_or(0, |position| position.parts);
        let parts = split_fact(key, value).into_iter().enumerate();
        for (part, fact) in parts.skip(sent_parts as usize) {
            let size = encoded_size(&fact);
            if !batch.fits(size) {
                return Some(SyncPosition { key: fact.0, parts: part as u32 });
            }
            batch.push(fact, size);
        }
    }
    None
}
