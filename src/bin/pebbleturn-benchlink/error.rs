//! The errors that end the adapter.

use std::io;
use thiserror::Error;

/// The error of a run, as printed.
#[derive(Debug, Error)]
pub enum RunError {
    /// A line of the input is invalid, or its reply could not be written.
    #[error("line {number}: {source}")]
    Line {
        /// The line's number, from 1.
        number: usize,
        /// The cause.
        source: LineError,
    },
    /// The input ended before the end of its last batch.
    #[error("input ended inside a batch")]
    UnfinishedBatch,
}

/// Why a line could not be read or handled, or its reply not be written.
#[derive(Debug, Error)]
pub enum LineError {
    /// Standard input could not be read, or standard output not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is not a valid message, or a reply could not be encoded.
    #[error(transparent)]
    Message(#[from] serde_json::Error),
    /// A message outside a batch.
    #[error("message outside a batch: expected CLOCK")]
    OutsideBatch,
    /// A batch starts before the end of the current one.
    #[error("CLOCK inside a batch")]
    ClockInsideBatch,
    /// A message for an instance that is not running.
    #[error("unknown instance {0}")]
    UnknownInstance(String),
    /// The settings of a new instance are invalid.
    #[error(transparent)]
    Settings(Box<dyn std::error::Error>),
    /// An endpoint list without the number of the bank with its rows.
    #[error("endpoint list without a bank")]
    ListWithoutBank,
    /// No rows were received for this bank.
    #[error("no rows in bank {0}")]
    UnknownBank(u32),
    /// A query of a class that is not in the settings.
    #[error("unknown class {0}")]
    UnknownClass(String),
    /// A request id that is not in the wire format.
    #[error("malformed id {0}")]
    MalformedId(String),
    /// A shard number above `u32`.
    #[error("segment_no is too large")]
    ShardTooLarge,
}
