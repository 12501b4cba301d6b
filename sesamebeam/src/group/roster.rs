//! The backend servers that a replica knows, on its disk.
//!
//! They announce themselves about once a second. After a loss of all power every
//! process started without any, and callers that came back went to the first few
//! that had: ten waited on the mean at each of these, and two in five answers of those
//! two seconds were late. What is read back is as old as the last change and half a
//! second; who has left since then refuses connections or what is meant for another
//! life, as if it had crashed.

use std::{
    fs, io,
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
};

use sesamebeam_core::gateway::directory::Announcement;
use thiserror::Error;
use tokio::{
    sync::watch,
    task::spawn_blocking, //
};
use tokio_util::sync::CancellationToken;

use crate::disk::{
    self,
    DiskError, //
};

/// Name of the file in the data folder.
const FILE: &str = "servers";

/// Bytes of the checksum before the rest.
const CHECKSUM: usize = 4;

/// Why backend servers cannot be read or written.
#[derive(Debug, Error)]
pub enum RosterError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The file does not hold what was written.
    #[error("{0}: damaged")]
    Damaged(PathBuf),
    /// The file cannot be written.
    #[error(transparent)]
    Write(#[from] DiskError),
    /// The backend servers have no encoding.
    #[error("backend servers have no encoding: {0}")]
    Encode(#[from] postcard::Error),
}

/// Reads the backend servers; there are none before the first start.
///
/// # Errors
///
/// Fails if the file cannot be read or is damaged.
pub fn read(data: impl AsRef<Path>) -> Result<Vec<Announcement>, RosterError> {
    let path = data.as_ref().join(FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(source) => return Err(RosterError::Read { path, source }),
    };
    let Some((checksum, body)) = bytes.split_at_checked(CHECKSUM) else {
        return Err(RosterError::Damaged(path));
    };
    if checksum != crc32fast::hash(body).to_le_bytes() {
        return Err(RosterError::Damaged(path));
    }
    postcard::from_bytes(body).map_err(|_| RosterError::Damaged(path))
}

/// Writes the backend servers so that they are there whole, or those before; blocks.
///
/// # Errors
///
/// Fails if the file cannot be written and synced.
pub fn write(data: impl AsRef<Path>, servers: &[Announcement]) -> Result<(), RosterError> {
    let body = postcard::to_stdvec(servers)?;
    let checksum = crc32fast::hash(&body).to_le_bytes();
    let bytes = [&checksum[..], &body].concat();
    Ok(disk::write_atomically(data.as_ref(), FILE, &bytes)?)
}

/// Writes the newest of what is to be kept until cancelled, each time after the disk
/// has done the one before.
pub(super) async fn keep(
    data: PathBuf,
    mut newest: watch::Receiver<Arc<[Announcement]>>,
    halt: CancellationToken,
) {
    loop {
        let changed = tokio::select! {
            () = halt.cancelled() => return,
            changed = newest.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let servers = Arc::clone(&newest.borrow_and_update());
        let folder = data.clone();
        match spawn_blocking(move || write(folder, &servers)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::warn!(error:% = e; "backend servers not kept"),
            Err(e) => log::error!(error:% = e; "backend servers not kept"),
        }
    }
}
