//! The form in which a belief outlives the process.

use super::merged_view::{MergedView, VersionedRecord};
use super::staleness::ChangeRate;
use super::{SourcePriority, SourceVersion};
use crate::api::Nanos;
use crate::storage::checksummed_file::FileFormat;
use serde::{Deserialize, Serialize};

/// The version that is written.
pub const VERSION: u32 = 1;
/// Largest file that is written or read, bytes.
pub const MOST_BYTES: usize = 8 << 20;
const FORMAT: FileFormat = FileFormat {
    magic: "pebbleturn-roster",
    description: "kept list",
    version: VERSION,
    max_bytes: MOST_BYTES,
};

/// A node as it is kept.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct SnapshotNode {
    /// What was told of it.
    #[serde(flatten)]
    pub fact: super::NodeRecord,
    /// Discovery's count and version that told it.
    pub epoch: u32,
    /// See `epoch`.
    pub version: u64,
    /// When it was first heard, unix ns. For a drain: when that was learnt.
    pub heard: Nanos,
    /// It was told by the first list of a discovery that counted anew.
    #[serde(default)]
    pub anew: bool,
    /// When it was last confirmed, unix ns; none: never.
    pub confirmed: Option<Nanos>,
}

impl SnapshotNode {
    /// The fact with its place in discovery's order.
    pub fn known(&self) -> VersionedRecord {
        let stamp =
            SourceVersion { rank: SourcePriority::Directory, epoch: self.epoch, version: self.version };
        VersionedRecord { fact: self.fact.clone(), stamp, heard: self.heard, anew: self.anew }
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
    pub whole: Option<(u32, u64, Nanos)>,
    /// Facts up to this count and version about unknown nodes are not believed.
    pub forgotten: Option<(u32, u64)>,
    /// How fast nodes change.
    pub rate: ChangeRate,
    /// The nodes, those that drain and those that are gone among them.
    pub nodes: Vec<SnapshotNode>,
}

impl Snapshot {
    /// Adds what was kept to a belief.
    pub fn add_to(&self, belief: &mut MergedView) {
        let stamp = |epoch, version| SourceVersion { rank: SourcePriority::Directory, epoch, version };
        self.nodes.iter().for_each(|n| belief.take_known(n.known()));
        if let Some((epoch, version, heard)) = self.whole {
            belief.take_whole(stamp(epoch, version), heard);
        }
        if let Some((epoch, version)) = self.forgotten {
            belief.forget_to(stamp(epoch, version));
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
