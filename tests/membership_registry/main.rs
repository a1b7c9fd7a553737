//! Tests of the registry with scripted reports: contradicting, reordered, stale and repeated ones. The time
//! is an argument, so no test waits.

mod fixture;
mod merging;
mod peer_hints;
mod peer_lists;
mod snapshots;
mod sources;
mod start_stamps;
mod trust;
