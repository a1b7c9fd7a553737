//! Why a broker can't start or go on.

use crate::config::ConfigError;
use std::io;

/// Why a broker can't start or go on.
#[derive(Debug)]
pub enum BrokerError {
    /// It was told something unusable.
    Config(ConfigError),
    /// The system refused something that it can't do without.
    Io(&'static str, io::Error),
}

impl BrokerError {
    /// For `map_err`: what was being done.
    pub fn io(what: &'static str) -> impl Fn(io::Error) -> BrokerError {
        move |e| BrokerError::Io(what, e)
    }
}

impl std::fmt::Display for BrokerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BrokerError::Config(e) => e.fmt(f),
            BrokerError::Io(what, e) => write!(f, "{what}: {e}"),
        }
    }
}

impl std::error::Error for BrokerError {}

impl From<ConfigError> for BrokerError {
    fn from(e: ConfigError) -> Self {
        BrokerError::Config(e)
    }
}
