//! Files in `tests/fixtures/stored/`: how they are found, compared and damaged.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Bytes that are shown on either side of the first difference.
const CONTEXT: usize = 24;
/// How long the program may take to read or write its files.
pub const PATIENCE: Duration = Duration::from_secs(30);

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

    /// Fails where these bytes are not those on disk, and shows where they begin to differ.
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
    let end = bytes.len().min(at + CONTEXT);
    let start = at.saturating_sub(CONTEXT).min(end);
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

/// What is in a directory, sorted.
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

/// Waits for something that a thread of the program does.
pub fn wait_until(mut is_done: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !is_done() {
        assert!(Instant::now() < deadline, "not done in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A copy in which one bit in the middle is flipped.
pub fn flipped(bytes: &[u8]) -> Vec<u8> {
    let mut damaged = bytes.to_vec();
    damaged[bytes.len() / 2] ^= 0x10;
    damaged
}

/// A copy that lacks its last byte.
pub fn truncated(bytes: &[u8]) -> Vec<u8> {
    bytes[..bytes.len() - 1].to_vec()
}
