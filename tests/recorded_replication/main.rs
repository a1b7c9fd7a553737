//! Recorded runs of the parts that replicate state, probe peers, agree on permits and hand over between processes.
//!
//! Each test plays fixed seeds through one part in simulated time and compares a digest of all that the part emitted, in
//! order, with the one that was recorded. A change of names or structure leaves the digests as they are; a change of
//! behaviour does not.

mod digest;
mod gossip;
mod hot_restart;
mod permits;
mod replicated_state;
