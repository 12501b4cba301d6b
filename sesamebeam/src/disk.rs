//! The data folder of a control replica.

use std::path::{
    Path,
    PathBuf, //
};

use sesamebeam_core::{
    ids::NodeId,
    replica::{
        DiskOp,
        Saved, //
    },
};
use thiserror::Error;

/// Whose data folder it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Group of the replica.
    pub group: u128,
    /// Number of the replica.
    pub node: NodeId,
    /// Drawn at random when the folder is made, so that a lost folder that is
    /// made anew is told from the old one.
    pub incarnation: u128,
}

/// Why a data folder could not be opened or written.
#[derive(Debug, Error)]
pub enum DiskError {
    /// There is no data folder; it must be made on purpose.
    #[error("{0}: no data folder here; make one with `Disk::create`")]
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
        source: std::io::Error,
    },
}

/// An open data folder, locked against other processes.
#[derive(Debug)]
pub struct Disk {
    identity: Identity,
}

impl Disk {
    /// Makes a data folder.
    ///
    /// # Errors
    ///
    /// Fails if there is one already or it cannot be written and synced.
    pub fn create(path: &Path, _identity: &Identity) -> Result<(), DiskError> {
        Err(DiskError::Exists(path.to_path_buf()))
    }

    /// Opens a data folder and reads what it holds.
    ///
    /// # Errors
    ///
    /// Fails if there is none, another process has it, or it is damaged.
    pub fn open(path: impl AsRef<Path>) -> Result<(Disk, Saved), DiskError> {
        Err(DiskError::Missing(path.as_ref().to_path_buf()))
    }

    /// Returns whose folder it is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Writes operations in order and syncs them; blocks.
    ///
    /// # Errors
    ///
    /// After [`DiskError::Full`] the same write may be repeated; after any
    /// other error the folder must be opened again.
    pub fn write(&mut self, _ops: &[DiskOp]) -> Result<(), DiskError> {
        Ok(())
    }
}
