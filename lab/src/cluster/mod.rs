//! Clusters of brokers: in simulated time over the same state machines, and as processes of the real program
//! with faults on the links between them.

pub mod links;
mod logged_commands;
pub mod measure;
pub mod process_cluster;
pub mod schedule;
pub mod simulation;
