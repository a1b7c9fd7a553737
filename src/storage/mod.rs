//! What outlives the process: checksummed files, the journal of a cluster, and snapshots of the list of nodes.

pub mod checksummed_file;
mod file_system;
pub mod journal;
pub mod snapshot_store;

pub use file_system::{Disk, FileSystem};
