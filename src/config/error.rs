//! Errors of reading and checking a configuration.

use super::diagnostics::Diagnostic;
use super::settings::PlatformSettingsError;
use std::error::Error;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};

/// The error for a configuration that can't be used. Its message is one line.
#[derive(Debug, thiserror::Error)]
#[error("unusable configuration: {}", self.message())]
pub struct ConfigError {
    file: Option<PathBuf>,
    #[source]
    kind: ConfigErrorKind,
}

/// The kind of a configuration error.
#[derive(Debug, thiserror::Error)]
pub enum ConfigErrorKind {
    /// The file can't be read.
    #[error("{0}")]
    Read(#[from] io::Error),
    /// The platform's file is not valid JSON, or doesn't have the expected fields.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The operator's file or the nodes file contains these errors.
    #[error("{}", joined(.0))]
    Diagnostics(Vec<Diagnostic>),
    /// The settings object of the platform can't be used.
    #[error("{0}")]
    Settings(#[from] PlatformSettingsError),
    /// `GW_CONFIG` is not set, so there is no file to read.
    #[error("GW_CONFIG is not set")]
    NoFile,
    /// Neither the file nor the environment variable gives a required address.
    #[error("{variable} is not set, and the file has no such address")]
    NoAddress {
        /// Name of the environment variable.
        variable: &'static str,
    },
    /// An address can't be parsed.
    #[error("{variable} {text:?}: {source}")]
    Address {
        /// Name of the environment variable for the address.
        variable: &'static str,
        /// The address as configured.
        text: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// `GW_INHERITED_FD` is not a number over 2.
    #[error("GW_INHERITED_FD {text:?} is not a descriptor over 2")]
    InheritedDescriptor {
        /// Value of the variable.
        text: String,
    },
    /// The seed is not a hexadecimal number.
    #[error("seed {text:?} is not a hexadecimal number")]
    Seed {
        /// The seed as configured.
        text: String,
        /// The parse error.
        source: ParseIntError,
    },
    /// The limit on open descriptors is too low.
    #[error("a limit of {sockets} sockets is too low")]
    TooFewSockets {
        /// The limit.
        sockets: usize,
    },
    /// The limit on memory is too low.
    #[error("a memory limit of {megabytes} MB is too low")]
    TooLittleMemory {
        /// The limit, MB.
        megabytes: usize,
    },
    /// The frontend or the engine rejects the configuration.
    #[error("{0}")]
    Rejected(#[source] Box<dyn Error + Send + Sync>),
}

fn joined(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    lines.join("; ")
}

impl ConfigError {
    /// The error for a configuration that the frontend or the engine rejects for this reason.
    pub fn rejected(reason: impl Into<Box<dyn Error + Send + Sync>>) -> ConfigError {
        ConfigErrorKind::Rejected(reason.into()).into()
    }

    /// The same error, found in the file at `path`.
    #[must_use]
    pub fn in_file(self, path: &Path) -> ConfigError {
        ConfigError { file: Some(path.to_owned()), ..self }
    }

    /// The kind of error.
    pub fn kind(&self) -> &ConfigErrorKind {
        &self.kind
    }

    /// The error and the file that it is in, on one line.
    pub fn message(&self) -> String {
        match &self.file {
            Some(file) => format!("{}: {}", file.display(), self.kind),
            None => self.kind.to_string(),
        }
    }
}

impl<E: Into<ConfigErrorKind>> From<E> for ConfigError {
    fn from(error: E) -> ConfigError {
        ConfigError { file: None, kind: error.into() }
    }
}

impl From<Vec<Diagnostic>> for ConfigErrorKind {
    fn from(diagnostics: Vec<Diagnostic>) -> ConfigErrorKind {
        ConfigErrorKind::Diagnostics(diagnostics)
    }
}
