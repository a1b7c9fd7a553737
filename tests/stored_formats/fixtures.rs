//! Finds, compares and damages the files in `tests/fixtures/stored/`.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Number of bytes shown before and after the first difference.
const CONTEXT_BYTES: usize = 24;
/// Maximum time for the program to read or write its files.
pub const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// The bytes of one file or frame, with its path below `tests/fixtures/stored/`.
pub struct Fixture {
    pub name: String,
    pub bytes: Vec<u8>,
}

impl Fixture {
    /// A file that the program has just written to a directory.
    pub fn of_file(format: &str, directory: &Path, file: &str) -> Fixture {
        let bytes = std::fs::read(directory.join(file)).unwrap_or_else(|e| panic!("{file}: {e}"));
        Fixture { name: format!("{format}/{file}"), bytes }
    }

    pub fn write_below(&self, directory: &Path) {
        let path = directory.join(&self.name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, &self.bytes).unwrap();
    }

    /// Panics if these bytes differ from those on disk, and shows the first difference.
    pub fn assert_unchanged(&self) {
        let stored = stored(&self.name);
        if stored == self.bytes {
            return;
        }
        let differs = |at: &usize| stored.get(*at) != self.bytes.get(*at);
        let at = (0..stored.len().max(self.bytes.len())).find(differs).unwrap();
        panic!(
            "{} differs at byte {at}:\n stored: {}\nwritten: {}",
            self.name,
            excerpt(&stored, at),
            excerpt(&self.bytes, at)
        );
    }
}

fn excerpt(bytes: &[u8], at: usize) -> String {
    let end = bytes.len().min(at + CONTEXT_BYTES);
    let start = at.saturating_sub(CONTEXT_BYTES).min(end);
    bytes[start..end].escape_ascii().to_string()
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored")
}

/// The bytes of a fixture.
pub fn stored(name: &str) -> Vec<u8> {
    std::fs::read(root().join(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// The names of all fixtures, sorted.
pub fn names_on_disk() -> Vec<String> {
    let mut names = Vec::new();
    for format in file_names(&root()) {
        let files = file_names(&root().join(&format));
        names.extend(files.iter().map(|file| format!("{format}/{file}")));
    }
    names
}

/// The names of the entries of a directory, sorted.
pub fn file_names(directory: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(directory).unwrap();
    let mut names: Vec<String> =
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
    names.sort();
    names
}

/// A new directory that holds one file.
pub fn directory_with(file: &str, bytes: &[u8]) -> TempDir {
    let directory = tempfile::tempdir().unwrap();
    std::fs::write(directory.path().join(file), bytes).unwrap();
    directory
}

/// Waits until a condition holds that a thread of the program brings about.
pub fn wait_until(mut is_done: impl FnMut() -> bool) {
    let deadline = Instant::now() + IO_TIMEOUT;
    while !is_done() {
        assert!(Instant::now() < deadline, "the condition did not hold within {IO_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A copy with one bit in the middle flipped.
pub fn flipped(bytes: &[u8]) -> Vec<u8> {
    let mut damaged = bytes.to_vec();
    damaged[bytes.len() / 2] ^= 0x10;
    damaged
}

/// A copy without its last byte.
pub fn truncated(bytes: &[u8]) -> Vec<u8> {
    bytes[..bytes.len() - 1].to_vec()
}
