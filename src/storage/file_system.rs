//! The few things that are done with files, so that tests can let each of them fail.

use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

/// Files as the keeper needs them.
pub trait FileSystem: Send + 'static {
    /// What holds the lock; it is given up when this is dropped.
    type Lock: Send;

    /// Reads a file of at most so many bytes.
    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>>;
    /// Writes a file anew and has it on disk before it returns.
    fn write_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Adds to the end of a file, which need not be there, and has that on disk before it returns.
    fn append_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file over another.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Has the names in a directory on disk.
    fn sync_dir(&self, dir: &Path) -> io::Result<()>;
    /// Takes a lock that no other process holds.
    fn lock(&self, path: &Path) -> io::Result<Self::Lock>;
}

/// The system's files.
#[derive(Clone, Copy, Debug)]
pub struct Disk;

impl FileSystem for Disk {
    type Lock = File;

    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
        // Guards against devices and pipes, which may have no end or no beginning: opening a pipe waits for its other
        // side.
        if !std::fs::metadata(path)?.is_file() {
            return Err(io::Error::new(ErrorKind::InvalidInput, "it is no file"));
        }
        let mut bytes = Vec::new();
        File::open(path)?.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn write_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(path)?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn append_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::options().create(true).append(true).open(path)?;
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn sync_dir(&self, dir: &Path) -> io::Result<()> {
        File::open(dir)?.sync_all()
    }

    fn lock(&self, path: &Path) -> io::Result<File> {
        let file = File::options().create(true).truncate(false).write(true).open(path)?;
        file.try_lock()?;
        Ok(file)
    }
}
