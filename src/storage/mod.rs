//! Data that outlives the process: checksummed files, the journal of a cluster, and snapshots of the node
//! list.
//!
//! [`journal`] and [`snapshot_store`] write on separate threads, and use the disk only through
//! [`FileSystem`].
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

pub mod checksummed_file;
mod error;
mod file_system;
pub mod journal;
pub mod snapshot_store;
mod writer;

pub use error::{FileError, ReadError, WriteError};
pub use file_system::{Disk, FileSystem};
