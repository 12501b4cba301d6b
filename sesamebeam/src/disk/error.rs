//! Errors of the data folder.

use std::{
    io,
    path::{
        Path,
        PathBuf, //
    },
};

use thiserror::Error;

/// Error on opening or writing a data folder.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The data folder does not exist. It is only created on request, so that a lost
    /// folder is not silently replaced by an empty one.
    #[error("{0}: data folder does not exist and is not created automatically")]
    Missing(PathBuf),
    /// A data folder exists already.
    #[error("{0}: data folder exists already")]
    Exists(PathBuf),
    /// Another process has the folder open.
    #[error("{0}: data folder is open in another process")]
    Locked(PathBuf),
    /// Data that was synced cannot be read back.
    #[error("{path}: damaged at offset {offset}: {reason}")]
    Damaged {
        /// Damaged file.
        path: PathBuf,
        /// Offset of the damage in bytes.
        offset: u64,
        /// Description of the damage.
        reason: &'static str,
    },
    /// The disk is full. The write had no effect and can be retried.
    #[error("{0}: disk is full")]
    Full(PathBuf),
    /// An earlier write failed and left the contents of the disk unknown.
    #[error("{0}: an earlier write failed; the folder must be reopened")]
    Failed(PathBuf),
    /// I/O error.
    #[error("{path}: {source}")]
    Io {
        /// File or folder of the failed operation.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
}

impl DiskError {
    /// Converts an I/O error; errors for lack of space become [`DiskError::Full`].
    pub(super) fn io(path: &Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => DiskError::Full(path),
            _ => DiskError::Io { path, source },
        }
    }

    /// Creates an error for a damaged file.
    pub(super) fn damaged(path: &Path, offset: u64, reason: &'static str) -> Self {
        DiskError::Damaged {
            path: path.to_path_buf(),
            offset,
            reason,
        }
    }
}
