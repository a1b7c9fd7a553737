//! Digests of a copy: two copies that differ find out where by looking at few of them.
//!
//! Every fact has a leaf by the hash of its key. A leaf's digest is the exclusive or of its facts' hashes, a branch's
//! that of its leaves, the root's that of all: a change costs three steps, whatever the size. Peers are the operator's
//! own, so nobody makes collisions on purpose; by chance two copies look alike with one in 2^64.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Branches, and leaves of a branch.
pub const WIDTH: usize = 64;
/// Leaves in all.
pub const LEAVES: usize = WIDTH * WIDTH;

/// The digests of a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MerkleTree {
    /// Of leaves that hold anything.
    leaves: BTreeMap<u16, u64>,
    branches: [u64; WIDTH],
    root: u64,
}

impl Default for MerkleTree {
    fn default() -> MerkleTree {
        MerkleTree { leaves: BTreeMap::new(), branches: [0; WIDTH], root: 0 }
    }
}

/// The leaf of a key.
pub fn leaf_of(key: &[u8]) -> u16 {
    (xxh3_64(key) >> 52) as u16
}

/// The hash of a fact.
pub fn hash(fact: &[u8]) -> u64 {
    xxh3_64(fact)
}

impl MerkleTree {
    /// A fact of this leaf came or went; one that changed goes and comes.
    pub fn toggle(&mut self, leaf: u16, hash: u64) {
        let digest = self.leaves.entry(leaf).or_insert(0);
        *digest ^= hash;
        if *digest == 0 {
            self.leaves.remove(&leaf);
        }
        self.branches[usize::from(leaf) / WIDTH % WIDTH] ^= hash;
        self.root ^= hash;
    }

    /// The digest of all.
    pub fn root(&self) -> u64 {
        self.root
    }

    /// The digests of all branches.
    pub fn branches(&self) -> &[u64] {
        &self.branches
    }

    /// The digests of a branch's leaves.
    pub fn leaves(&self, branch: u8) -> Vec<u64> {
        let from = u16::from(branch) % WIDTH as u16 * WIDTH as u16;
        let mut digests = vec![0; WIDTH];
        for (leaf, digest) in self.leaves.range(from..from + WIDTH as u16) {
            digests[usize::from(leaf - from)] = *digest;
        }
        digests
    }
}
