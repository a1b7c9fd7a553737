//! The form in which a belief outlives the process.

use super::merged_view::{MergedView, VersionedRecord};
use super::staleness::ChangeRate;
use super::{SourcePriority, SourceVersion};
use crate::api::Nanos;
use crate::storage::checksummed_file::FileFormat;
use serde::{Deserialize, Serialize};

/// The version that is written.
pub const FORMAT_VERSION: u32 = 1;
/// Largest file that is written or read, bytes.
pub const MAX_FILE_BYTES: usize = 8 << 20;
const FORMAT: FileFormat = FileFormat {
    magic: "pebbleturn-roster",
    description: "kept list",
    version: FORMAT_VERSION,
    max_bytes: MAX_FILE_BYTES,
};

/// A node as it is kept.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct SnapshotNode {
    /// What was told of it.
    #[serde(flatten)]
    pub record: super::NodeRecord,
    /// Discovery's count and version that told it.
    pub epoch: u32,
    /// See `epoch`.
    pub version: u64,
    /// When it was first heard, unix ns. For a drain: when that was learnt.
    #[serde(rename = "heard")]
    pub received: Nanos,
    /// It was told by the first list of a discovery that counted anew.
    #[serde(default, rename = "anew")]
    pub after_reset: bool,
    /// When it was last confirmed, unix ns; none: never.
    pub confirmed: Option<Nanos>,
}

impl SnapshotNode {
    /// The fact with its place in discovery's order.
    pub fn versioned(&self) -> VersionedRecord {
        let stamp =
            SourceVersion { priority: SourcePriority::Directory, epoch: self.epoch, version: self.version };
        VersionedRecord {
            record: self.record.clone(),
            source_version: stamp,
            received: self.received,
            after_reset: self.after_reset,
        }
    }
}

/// A list as it is kept.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Snapshot {
    /// When it was written, unix ns.
    pub written: Nanos,
    /// When the list as a whole was last known to hold, unix ns; none: never.
    pub synced: Option<Nanos>,
    /// Discovery's latest whole list: its count, its version and when it was heard.
    #[serde(rename = "whole")]
    pub full_list: Option<(u32, u64, Nanos)>,
    /// Facts up to this count and version about unknown nodes are not believed.
    #[serde(rename = "forgotten")]
    pub pruned_up_to: Option<(u32, u64)>,
    /// How fast nodes change.
    pub rate: ChangeRate,
    /// The nodes, those that drain and those that are gone among them.
    pub nodes: Vec<SnapshotNode>,
}

impl Snapshot {
    /// Adds what was kept to a belief.
    pub fn merge_into(&self, belief: &mut MergedView) {
        let stamp = |epoch, version| SourceVersion { priority: SourcePriority::Directory, epoch, version };
        self.nodes.iter().for_each(|n| belief.insert_record(n.versioned()));
        if let Some((epoch, version, heard)) = self.full_list {
            belief.insert_full_list(stamp(epoch, version), heard);
        }
        if let Some((epoch, version)) = self.pruned_up_to {
            belief.set_pruned_up_to(stamp(epoch, version));
        }
        belief.prune();
    }
}

/// Why a kept list can't be used.
pub use crate::storage::checksummed_file::FileFormatError as SnapshotError;

/// Writes a list. One that would be too large is an error: nothing is cut off silently.
pub fn encode(kept: &Snapshot) -> Result<Vec<u8>, SnapshotError> {
    FORMAT.encode(kept)
}

/// Reads a list back. Whatever the bytes are, the answer is a list or one reason.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    FORMAT.decode(bytes)
}
