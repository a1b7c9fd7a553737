//! The encoding of log records and of snapshots.

use crate::api::Nanos;
use crate::replication::{Fact, StateStore};
use crate::storage::checksummed_file::{FileFormat, FileFormatError};
use serde::{Deserialize, Serialize};

/// The format of snapshots.
pub(super) const SNAPSHOT_FORMAT: FileFormat = FileFormat {
    magic: "pebbleturn-cluster",
    description: "snapshot of a cluster's facts",
    version: 1,
    max_bytes: 128 << 20,
};

/// Digits of the CRC-32 at the start of a line; a space follows.
const CHECKSUM_DIGITS: usize = 8;

/// A record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// A fact, in its state after a change.
    Fact(Fact),
    /// A process has started with this incarnation.
    Incarnation(u64),
}

/// The content of a snapshot.
#[derive(Serialize, Deserialize)]
pub(super) struct Snapshot {
    /// The greatest recorded incarnation.
    pub(super) incarnation: u64,
    /// All facts.
    pub(super) facts: Vec<Fact>,
}

impl Record {
    /// Encodes a record as a line: checksum, space, JSON, end of line.
    pub(super) fn encode_line(&self) -> Result<String, FileFormatError> {
        let json = serde_json::to_string(self)?;
        Ok(format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes())))
    }

    /// Decodes a line, given without its end. `None` if it is damaged.
    pub(super) fn decode_line(line: &[u8]) -> Option<Record> {
        let (checksum, json) = (line.get(..CHECKSUM_DIGITS)?, line.get(CHECKSUM_DIGITS + 1..)?);
        let checksum = u32::from_str_radix(std::str::from_utf8(checksum).ok()?, 16).ok()?;
        if line[CHECKSUM_DIGITS] != b' ' || crc32fast::hash(json) != checksum {
            return None;
        }
        serde_json::from_slice(json).ok()
    }
}

/// Merges a fact into the journal's copy. Returns false if the copy rejects it.
pub(super) fn merge(copy: &mut StateStore, fact: &Fact) -> bool {
    // Joined as of the latest time, since start times were checked against the clock when the fact was
    // received.
    let merged = copy.join(&fact.0, &fact.1, Nanos::MAX).is_ok();
    // Discarded, since nothing consumes the changed keys of this copy and they would accumulate.
    copy.take_changed_keys();
    merged
}
