//! What makes the adapter give up.

use std::io;
use thiserror::Error;

/// An error of the whole run, as printed.
#[derive(Debug, Error)]
pub enum RunError {
    /// A line of the input could not be used.
    #[error("line {number}: {source}")]
    Line {
        /// The line's number, from 1.
        number: usize,
        /// Why.
        source: LineError,
    },
    /// The input ended before the end of its last batch.
    #[error("input ended inside a batch")]
    UnfinishedBatch,
}

/// Why a line could not be read, handled or answered.
#[derive(Debug, Error)]
pub enum LineError {
    /// Standard input could not be read, or standard output not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The line is no message of the wire, or a reply could not be encoded.
    #[error(transparent)]
    Message(#[from] serde_json::Error),
    /// A message outside a batch.
    #[error("a batch starts with CLOCK")]
    OutsideBatch,
    /// A second start of a batch.
    #[error("CLOCK inside a batch")]
    ClockInsideBatch,
    /// A message for an instance that was not started.
    #[error("unknown instance {0}")]
    UnknownInstance(String),
    /// The settings of a new instance can't be used.
    #[error(transparent)]
    Settings(Box<dyn std::error::Error>),
    /// An endpoint list without the bank that has its rows.
    #[error("a list without its bank")]
    ListWithoutBank,
    /// No rows were sent for this bank.
    #[error("no list in bank {0}")]
    UnknownBank(u32),
    /// A query of a class that the settings don't have.
    #[error("unknown class {0}")]
    UnknownClass(String),
    /// A request id in another form than the wire's.
    #[error("bad id {0}")]
    BadId(String),
    /// A shard number above `u32`.
    #[error("segment_no is too large")]
    ShardTooLarge,
}
