//! Why a broker can't start or go on.

use crate::config::ConfigError;
use std::io;

/// Why a broker can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum BrokerError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operating system refused something that the broker can't do without.
    #[error("{operation}: {source}")]
    Io {
        /// What was being done.
        operation: &'static str,
        /// What the operating system reported.
        source: io::Error,
    },
}

impl BrokerError {
    /// For `map_err`: wraps an I/O error with the operation that failed.
    pub fn io(operation: &'static str) -> impl Fn(io::Error) -> BrokerError {
        move |source| BrokerError::Io { operation, source }
    }
}
