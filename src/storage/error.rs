//! Errors of reading and writing stored files.

use super::checksummed_file::FileFormatError;
use std::io;
use std::path::{Path, PathBuf};

/// A failed operation of the file system, with the file or directory that it was applied to.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    /// The file or directory.
    pub path: PathBuf,
    /// The error of the operating system.
    pub source: io::Error,
}

impl FileError {
    /// A closure for `map_err` that adds the path to an `io::Error`.
    pub(super) fn at(path: &Path) -> impl FnOnce(io::Error) -> FileError {
        let path = path.to_owned();
        move |source| FileError { path, source }
    }
}

/// Why a stored file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file could not be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The file was read, and its content is not valid.
    #[error("{}: {source}", path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// What is wrong with its content.
        source: FileFormatError,
    },
}

/// Why a value was not stored.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The value can't be encoded, for example because it is too large.
    #[error(transparent)]
    Encode(#[from] FileFormatError),
    /// A file could not be written, renamed or synced.
    #[error(transparent)]
    File(#[from] FileError),
    /// Another process has locked the directory.
    #[error("another process has locked the directory")]
    Locked,
}
