//! The stored form of the merged view, which a restarted process reads back.

use super::merged_view::{MergedView, VersionedRecord};
use super::staleness::ChangeRate;
use super::{SourcePriority, SourceVersion};
use crate::api::Nanos;
use crate::storage::checksummed_file::FileFormat;
use serde::{Deserialize, Serialize};

/// Version of the file format that is written.
pub const FORMAT_VERSION: u32 = 1;
/// Size of the largest file that is written or read, bytes.
pub const MAX_FILE_BYTES: usize = 8 << 20;
const FORMAT: FileFormat = FileFormat {
    magic: "pebbleturn-roster",
    description: "kept list",
    version: FORMAT_VERSION,
    max_bytes: MAX_FILE_BYTES,
};

/// One record of a node, as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct SnapshotNode {
    /// The record.
    #[serde(flatten)]
    pub record: super::NodeRecord,
    /// Epoch of discovery's versions in which it was reported.
    pub epoch: u32,
    /// Version of the list that reported it.
    pub version: u64,
    /// When it was first received, unix ns; for a drain, when the drain was learned.
    #[serde(rename = "heard")]
    pub received: Nanos,
    /// Whether it was in the first list after a reset of discovery's versions.
    #[serde(default, rename = "anew")]
    pub after_reset: bool,
    /// When the node was last confirmed, unix ns; none: never.
    pub confirmed: Option<Nanos>,
}

impl SnapshotNode {
    /// The record with its version in discovery's order.
    #[must_use]
    pub fn versioned(&self) -> VersionedRecord {
        VersionedRecord {
            record: self.record.clone(),
            source_version: directory_version(self.epoch, self.version),
            received: self.received,
            after_reset: self.after_reset,
        }
    }
}

/// The merged view of discovery's records, as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Snapshot {
    /// When it was written, unix ns.
    pub written: Nanos,
    /// When the list as a whole was last known to be current, unix ns; none: never.
    #[serde(rename = "synced")]
    pub last_confirmed: Option<Nanos>,
    /// Epoch and version of discovery's latest full list, and when it was received, unix ns.
    #[serde(rename = "whole")]
    pub full_list: Option<(u32, u64, Nanos)>,
    /// Epoch and version up to which records of unknown nodes are ignored.
    #[serde(rename = "forgotten")]
    pub pruned_up_to: Option<(u32, u64)>,
    /// The observed rate at which nodes change.
    pub rate: ChangeRate,
    /// The records of all nodes, including those that are terminating or gone.
    pub nodes: Vec<SnapshotNode>,
}

impl Snapshot {
    /// Merges this snapshot into a view.
    pub fn merge_into(&self, view: &mut MergedView) {
        for node in &self.nodes {
            view.insert_record(node.versioned());
        }
        if let Some((epoch, version, received)) = self.full_list {
            view.insert_full_list(directory_version(epoch, version), received);
        }
        self.merge_pruning_into(view);
    }

    /// Merges the list of a running process into the view of another. What is new was learned by this view at
    /// `now`: the clocks of two processes may differ. Returns whether anything was new.
    pub fn merge_live_into(&self, view: &mut MergedView, now: Nanos) -> bool {
        let mut is_new = false;
        for node in &self.nodes {
            is_new |= view.insert_record(VersionedRecord { received: now, ..node.versioned() });
        }
        if let Some((epoch, version, _)) = self.full_list {
            let version = directory_version(epoch, version);
            let known = view.full_list(SourcePriority::Directory).is_some_and(|(known, _)| known >= version);
            is_new |= !known && view.insert_full_list(version, now);
        }
        self.merge_pruning_into(view);
        is_new
    }

    fn merge_pruning_into(&self, view: &mut MergedView) {
        if let Some((epoch, version)) = self.pruned_up_to {
            view.set_pruned_up_to(directory_version(epoch, version));
        }
        view.prune();
    }

    /// Epoch and version of the latest record or full list; zero if there is none.
    #[must_use]
    pub fn last_version(&self) -> (u32, u64) {
        let versions = self.nodes.iter().map(|node| (node.epoch, node.version));
        let full_list = self.full_list.map(|(epoch, version, _)| (epoch, version));
        versions.chain(full_list).max().unwrap_or((0, 0))
    }
}

fn directory_version(epoch: u32, version: u64) -> SourceVersion {
    SourceVersion { priority: SourcePriority::Directory, epoch, version }
}

/// Why a snapshot can't be written or read.
pub use crate::storage::checksummed_file::FileFormatError as SnapshotError;

/// Encodes a snapshot.
///
/// # Errors
///
/// If it would be larger than [`MAX_FILE_BYTES`]; it is never truncated silently.
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, SnapshotError> {
    FORMAT.encode(snapshot)
}

/// Decodes a snapshot.
///
/// # Errors
///
/// If the bytes are empty, too many, truncated, corrupt or of an unknown format version.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    FORMAT.decode(bytes)
}
