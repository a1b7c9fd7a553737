//! Reads the endpoint lists that other processes publish, each only once.

use super::files::{self, FileIdentity};
use crate::membership::snapshot::Snapshot;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Which endpoint lists of other processes the event loop has received.
#[derive(Debug)]
pub(super) struct PeerListReader {
    dir: PathBuf,
    /// The list of each process that was last delivered.
    delivered: BTreeMap<u64, FileIdentity>,
    /// The lists that were read since, and are not yet known to be delivered.
    pending: BTreeMap<u64, FileIdentity>,
    /// The lists that could not be used, each of which is logged once.
    unusable: BTreeMap<u64, FileIdentity>,
}

impl PeerListReader {
    pub(super) fn new(dir: PathBuf) -> PeerListReader {
        PeerListReader {
            dir,
            delivered: BTreeMap::new(),
            pending: BTreeMap::new(),
            unusable: BTreeMap::new(),
        }
    }

    /// Reads the lists of these processes that have changed since they were last delivered, the oldest process
    /// first. One that can't be used is logged, and read again at the next poll.
    pub(super) fn read_changed(&mut self, serials: &BTreeSet<u64>) -> Vec<Snapshot> {
        self.delivered.retain(|serial, _| serials.contains(serial));
        self.unusable.retain(|serial, _| serials.contains(serial));
        let mut snapshots = Vec::new();
        for serial in serials {
            // Taken before the list is read: one that is replaced meanwhile is read once more.
            let Some(identity) = files::snapshot_identity(&self.dir, *serial) else { continue };
            if self.delivered.get(serial) == Some(&identity) {
                continue;
            }
            match files::read_snapshot(&self.dir, *serial) {
                Ok(snapshot) => {
                    self.pending.insert(*serial, identity);
                    snapshots.extend(snapshot);
                }
                Err(error) => {
                    if self.unusable.insert(*serial, identity) != Some(identity) {
                        tracing::error!(%error, "endpoint list of another process can't be read");
                    }
                }
            }
        }
        snapshots
    }

    /// Records that the lists that were read last have been delivered.
    pub(super) fn confirm_delivery(&mut self) {
        self.delivered.append(&mut self.pending);
    }

    /// Records that the lists that were read last have not been delivered: they are read again.
    pub(super) fn discard_delivery(&mut self) {
        self.pending.clear();
    }
}
