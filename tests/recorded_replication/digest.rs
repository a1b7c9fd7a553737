//! The digest of a run, and the comparison with the recorded one.
//!
//! Nothing here depends on the names of Rust types, fields or variants. Values in memory are encoded field by
//! field, each variant under a number that the encoder assigns. Values of the wire and the disk enter as
//! their serialized bytes, whose order of fields and variants may not change. None of the recorded parts
//! emits a float.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::Xxh3;

pub const MILLISECOND: u64 = 1_000_000;
pub const SECOND: u64 = 1_000 * MILLISECOND;

/// The stream of the generator that draws the events of all scenarios.
const RANDOM_STREAM: u64 = 0x7265_636f_7264;

/// The digest recorded for one seed.
pub struct Recording {
    pub seed: u64,
    pub digest: u64,
}

/// The minimum number of events of each of these kinds in a run; a run with fewer covers too little.
pub struct AtLeast {
    pub count: u64,
    /// Separated by `", "`.
    pub kinds: &'static str,
}

/// Hashes everything that a part emits, in order, and counts it by kind.
pub struct Recorder {
    hasher: Xxh3,
    counts: BTreeMap<&'static str, u64>,
}

impl Recorder {
    pub fn new() -> Recorder {
        Recorder { hasher: Xxh3::new(), counts: BTreeMap::new() }
    }

    /// The number of a variant, or of an event.
    pub fn put_tag(&mut self, tag: u8) {
        self.hasher.update(&[tag]);
    }

    pub fn put_u64(&mut self, value: u64) {
        self.hasher.update(&value.to_le_bytes());
    }

    pub fn put_usize(&mut self, value: usize) {
        self.put_u64(value as u64);
    }

    pub fn put_bool(&mut self, value: bool) {
        self.put_tag(u8::from(value));
    }

    pub fn put_bytes(&mut self, value: &[u8]) {
        self.put_usize(value.len());
        self.hasher.update(value);
    }

    pub fn put_str(&mut self, value: &str) {
        self.put_bytes(value.as_bytes());
    }

    /// A value in its wire and disk format: postcard writes no names, and its bytes may not change.
    pub fn put_serialized(&mut self, value: &impl Serialize) {
        self.put_bytes(&postcard::to_allocvec(value).unwrap());
    }

    pub fn put_option<T>(&mut self, value: Option<T>, encode: impl FnOnce(&mut Recorder, T)) {
        self.put_bool(value.is_some());
        if let Some(value) = value {
            encode(self, value);
        }
    }

    /// The elements, then their number.
    pub fn put_sequence<T>(
        &mut self,
        values: impl IntoIterator<Item = T>,
        mut encode: impl FnMut(&mut Recorder, T),
    ) {
        let mut length = 0;
        for value in values {
            encode(self, value);
            length += 1;
        }
        self.put_u64(length);
    }

    /// Counts an event; the kind does not enter the digest.
    pub fn count(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_insert(0) += 1;
    }

    fn digest(&self) -> u64 {
        self.hasher.digest()
    }
}

/// Draws a number below `choices`.
pub fn pick(random: &mut Pcg32, choices: usize) -> usize {
    random.next_u32() as usize % choices
}

/// True in one of `draws` draws on average.
pub fn one_in(random: &mut Pcg32, draws: usize) -> bool {
    pick(random, draws) == 0
}

pub fn random(seed: u64) -> Pcg32 {
    Pcg32::new(seed, RANDOM_STREAM)
}

/// Runs each seed twice and compares its digest with the recorded one. A failure prints the digests obtained;
/// a run with too few events of a kind fails whatever its digest.
pub fn assert_recorded(recordings: &[Recording], expected: &[AtLeast], run: impl Fn(u64) -> Recorder) {
    let mut obtained = Vec::new();
    for Recording { seed, .. } in recordings {
        let recorder = run(*seed);
        for AtLeast { count, kinds } in expected {
            let is_below = |kind: &&str| recorder.counts.get(kind).copied().unwrap_or(0) < *count;
            let missing: Vec<&str> = kinds.split(", ").filter(is_below).collect();
            assert!(
                missing.is_empty(),
                "seed {seed}: fewer than {count} of {missing:?}: {:?}",
                recorder.counts
            );
        }
        assert_eq!(recorder.digest(), run(*seed).digest(), "seed {seed}: two runs in one process differ");
        obtained.push(recorder.digest());
    }
    let differs = recordings.iter().zip(&obtained).any(|(recording, digest)| recording.digest != *digest);
    let digests: Vec<String> = recordings
        .iter()
        .zip(&obtained)
        .map(|(recording, digest)| format!("seed {}: {digest:#018x}", recording.seed))
        .collect();
    assert!(!differs, "behaviour differs from what was recorded; digests obtained: {}", digests.join(", "));
}
