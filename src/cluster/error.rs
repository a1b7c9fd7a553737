//! Errors of operators' commands to a cluster.

#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use crate::replication::JoinError;

/// Why an operator's command was not recorded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// An earlier process still has the lock of this broker's directory, or the journal is still being read.
    #[error("the cluster's state is not loaded yet; retry in a moment")]
    NotReady,
    /// The replicated store rejected it.
    #[error("{0}")]
    Rejected(#[source] JoinError),
}
