//! Why a configuration can't be used.

use super::diagnostics::Diagnostic;
use super::settings::PlatformSettingsError;
use std::error::Error;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};

/// A configuration that can't be used. Its text is one line.
#[derive(Debug, thiserror::Error)]
#[error("unusable configuration: {}", self.message())]
pub struct ConfigError {
    file: Option<PathBuf>,
    #[source]
    kind: ConfigErrorKind,
}

/// What is wrong with a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigErrorKind {
    /// The file can't be read.
    #[error("{0}")]
    Read(#[from] io::Error),
    /// The file of the platform is no JSON, or not in its form.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The operator's file, or the file of nodes, holds these mistakes.
    #[error("{}", joined(.0))]
    Diagnostics(Vec<Diagnostic>),
    /// The settings object is contradictory.
    #[error("{0}")]
    Settings(#[from] PlatformSettingsError),
    /// `GW_CONFIG` names no file.
    #[error("GW_CONFIG is not set")]
    NoFile,
    /// Neither the file nor the variable gives an address.
    #[error("{variable} is not told")]
    NoAddress {
        /// Name of the variable.
        variable: &'static str,
    },
    /// An address can't be parsed.
    #[error("{variable} {text:?}: {source}")]
    Address {
        /// Name of the variable for the address.
        variable: &'static str,
        /// The address as it was given.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// `GW_INHERITED_FD` is no number over 2.
    #[error("GW_INHERITED_FD {text:?} is no descriptor")]
    InheritedDescriptor {
        /// The variable's value.
        text: String,
    },
    /// The seed is no hexadecimal number.
    #[error("seed {text:?} is no hexadecimal number")]
    Seed {
        /// The seed as it was given.
        text: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// The limit on descriptors is too low.
    #[error("{sockets} sockets are too few")]
    TooFewSockets {
        /// The limit.
        sockets: usize,
    },
    /// The limit on memory is too low.
    #[error("{megabytes} MB of memory are too little")]
    TooLittleMemory {
        /// The limit, MB.
        megabytes: usize,
    },
    /// The frontend or the engine can't work with the configuration.
    #[error("{0}")]
    Rejected(#[source] Box<dyn Error + Send + Sync>),
}

fn joined(diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    lines.join("; ")
}

impl ConfigError {
    /// The frontend or the engine can't work with the configuration, for this reason.
    pub fn rejected(reason: impl Into<Box<dyn Error + Send + Sync>>) -> ConfigError {
        ConfigErrorKind::Rejected(reason.into()).into()
    }

    /// The same error, found in the file at `path`.
    #[must_use]
    pub fn in_file(self, path: &Path) -> ConfigError {
        ConfigError { file: Some(path.to_owned()), ..self }
    }

    /// What is wrong.
    pub fn kind(&self) -> &ConfigErrorKind {
        &self.kind
    }

    /// What is wrong and in which file, in one line.
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
