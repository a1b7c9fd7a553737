//! Errors that prevent a broker from starting or continuing.

use crate::config::ConfigError;
use std::io;

/// An error that prevents a broker from starting or continuing.
#[derive(Debug, thiserror::Error)]
pub enum BrokerError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An operation of the operating system that the broker depends on failed.
    #[error("{operation}: {source}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The error that the operating system reported.
        source: io::Error,
    },
}

impl BrokerError {
    /// For `map_err`: wraps an I/O error with the operation that failed.
    pub fn io(operation: &'static str) -> impl Fn(io::Error) -> BrokerError {
        move |source| BrokerError::Io { operation, source }
    }
}
