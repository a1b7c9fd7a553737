//! The registry by scripted reports: every hard case of the design note, with time as an argument.

mod fixture;
mod merging;
mod peer_hints;
mod snapshots;
mod sources;
mod start_stamps;
mod trust;
