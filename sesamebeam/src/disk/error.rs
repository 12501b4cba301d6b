//! Why a data folder could not be opened or written.

use std::{
    io,
    path::{
        Path,
        PathBuf, //
    },
};

use thiserror::Error;

/// Why a data folder could not be opened or written.
#[derive(Debug, Error)]
pub enum DiskError {
    /// There is no data folder; it must be made on purpose.
    #[error("{0}: no data folder here; it must be made on purpose")]
    Missing(PathBuf),
    /// There is a data folder already.
    #[error("{0}: there is a data folder here already")]
    Exists(PathBuf),
    /// Another process has the folder open.
    #[error("{0}: another process has this data folder open")]
    Locked(PathBuf),
    /// What was synced once does not read back.
    #[error("{path}: damaged at offset {offset}: {what}")]
    Damaged {
        /// File that is damaged.
        path: PathBuf,
        /// Offset of the damage in bytes.
        offset: u64,
        /// What is wrong there.
        what: &'static str,
    },
    /// The disk is full. Nothing of the write counts; it may be repeated.
    #[error("{0}: disk is full")]
    Full(PathBuf),
    /// An earlier write failed in a way that leaves its fate open.
    #[error("{0}: an earlier write failed; open the folder again")]
    Failed(PathBuf),
    /// The operating system reports an error.
    #[error("{path}: {source}")]
    Io {
        /// File concerned.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
}

impl DiskError {
    /// Turns an error of the operating system.
    pub(super) fn io(path: &Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => DiskError::Full(path),
            _ => DiskError::Io { path, source },
        }
    }

    /// Reports damage.
    pub(super) fn damaged(path: &Path, offset: u64, what: &'static str) -> Self {
        DiskError::Damaged {
            path: path.to_path_buf(),
            offset,
            what,
        }
    }
}
