//! Recorded runs of the parts that replicate state, probe peers, agree on permits and hand over between
//! processes.
//!
//! Each test runs one part from fixed seeds in simulated time and compares a digest of everything that the
//! part emits, in order, with the recorded one. A change of names or structure leaves the digests as they
//! are; a change of behaviour does not.

mod digest;
mod gossip;
mod hot_restart;
mod permits;
mod replicated_state;
