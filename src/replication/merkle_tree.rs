//! A hash tree over the facts of a store, which locates the differences of two stores with few comparisons.
//!
//! Every fact belongs to a leaf, chosen by the hash of its key. The digest of a leaf is the exclusive or of
//! the hashes of its facts; the digest of a branch combines its leaves, that of the root combines all
//! branches. One change therefore updates three digests, regardless of the size of the store. The hash is
//! not cryptographic, since all peers are run by the operator and deliberate collisions are not expected; two
//! different stores have equal roots by chance with probability 2^-64.

use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The number of branches, and the number of leaves of each branch.
pub const FANOUT: usize = 64;
/// The number of leaves of the tree.
pub const LEAF_COUNT: usize = FANOUT * FANOUT;
/// Right shift of a key's hash that gives the index of the leaf: of 64 bits, the highest log2 of
/// [`LEAF_COUNT`] remain.
const LEAF_SHIFT: u32 = u64::BITS - LEAF_COUNT.trailing_zeros();

/// The digests of a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MerkleTree {
    /// The digests that are not zero, by the index of the leaf.
    leaves: BTreeMap<u16, u64>,
    branches: [u64; FANOUT],
    root: u64,
}

impl Default for MerkleTree {
    fn default() -> MerkleTree {
        MerkleTree { leaves: BTreeMap::new(), branches: [0; FANOUT], root: 0 }
    }
}

/// Returns the index of the leaf to which an encoded key belongs.
pub fn leaf_index(key: &[u8]) -> u16 {
    (xxh3_64(key) >> LEAF_SHIFT) as u16
}

/// Returns the hash of an encoded fact.
pub fn hash(fact: &[u8]) -> u64 {
    xxh3_64(fact)
}

impl MerkleTree {
    /// Adds the hash of a fact to the digests on its path, or removes it if it was added before. To change a
    /// fact, toggle the hash of its old value and that of its new one.
    pub fn toggle(&mut self, leaf: u16, hash: u64) {
        let digest = self.leaves.entry(leaf).or_insert(0);
        *digest ^= hash;
        if *digest == 0 {
            self.leaves.remove(&leaf);
        }
        self.branches[usize::from(leaf) / FANOUT % FANOUT] ^= hash;
        self.root ^= hash;
    }

    /// The digest of the whole store.
    pub fn root(&self) -> u64 {
        self.root
    }

    /// The digests of all branches.
    pub fn branches(&self) -> &[u64] {
        &self.branches
    }

    /// Returns the digests of all leaves of a branch. The index wraps around at [`FANOUT`].
    pub fn leaves(&self, branch: u8) -> Vec<u64> {
        let first = u16::from(branch) % FANOUT as u16 * FANOUT as u16;
        let mut digests = vec![0; FANOUT];
        for (leaf, digest) in self.leaves.range(first..first + FANOUT as u16) {
            digests[usize::from(leaf - first)] = *digest;
        }
        digests
    }
}
