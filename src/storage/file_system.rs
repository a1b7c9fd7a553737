//! The file operations that storage needs, as a trait, so that tests can make each of them fail.

use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::path::Path;

/// File operations. All of them block; their errors are those of the operating system.
pub trait FileSystem: Send + 'static {
    /// A lock on a file, released when this is dropped.
    type Lock: Send;

    /// Reads a file, at most its first `max_bytes + 1` bytes: a result longer than `max_bytes` shows that the
    /// file is too long.
    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>>;
    /// Creates or truncates a file, writes to it and syncs it to disk.
    fn write_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Appends to a file, creating it if needed, and syncs its data to disk.
    fn append_synced(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file, replacing the one at `to`.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Syncs the entries of a directory to disk.
    fn sync_dir(&self, dir: &Path) -> io::Result<()>;
    /// Takes an exclusive lock on a file, creating it if needed. Fails with [`ErrorKind::WouldBlock`] while
    /// another process holds it.
    fn lock(&self, path: &Path) -> io::Result<Self::Lock>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct Disk;

impl FileSystem for Disk {
    type Lock = File;

    fn read(&self, path: &Path, max_bytes: usize) -> io::Result<Vec<u8>> {
        // Devices and pipes may be endless, and opening a pipe blocks until its other side is opened.
        if !std::fs::metadata(path)?.is_file() {
            return Err(io::Error::new(ErrorKind::InvalidInput, "it is not a regular file"));
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
