//! Storage of the known backend servers on a replica's disk.
//!
//! Backend servers announce themselves about once a second. Without this file, every
//! process starts without any after a power failure, and all requests go to the few
//! servers that announce themselves first: ten requests waited on average at each of
//! these, and two in five responses of the first two seconds were late. The restored
//! state is as old as the last change plus half a second. A server that has left since
//! then refuses connections, or rejects requests for its former incarnation, as if it had
//! crashed.

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

/// Name of the file in the data directory.
const FILE_NAME: &str = "servers";

/// Size of the checksum at the start of the file.
const CHECKSUM_BYTES: usize = 4;

/// Why announcements cannot be read or written.
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
    /// The checksum or the encoding of the file is wrong.
    #[error("{0}: damaged")]
    Damaged(PathBuf),
    /// The file cannot be written.
    #[error(transparent)]
    Write(#[from] DiskError),
    /// The announcements cannot be encoded.
    #[error("backend servers cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
}

/// Reads the saved announcements; there are none before the first start.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is damaged.
pub fn read(data: impl AsRef<Path>) -> Result<Vec<Announcement>, RosterError> {
    let path = data.as_ref().join(FILE_NAME);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(source) => return Err(RosterError::Read { path, source }),
    };
    let Some((checksum, body)) = bytes.split_at_checked(CHECKSUM_BYTES) else {
        return Err(RosterError::Damaged(path));
    };
    if checksum != crc32fast::hash(body).to_le_bytes() {
        return Err(RosterError::Damaged(path));
    }
    postcard::from_bytes(body).map_err(|_| RosterError::Damaged(path))
}

/// Replaces the saved announcements atomically; blocks.
///
/// # Errors
///
/// Returns an error if the file cannot be written and synced.
pub fn write(data: impl AsRef<Path>, servers: &[Announcement]) -> Result<(), RosterError> {
    let body = postcard::to_stdvec(servers)?;
    let checksum = crc32fast::hash(&body).to_le_bytes();
    let bytes = [&checksum[..], &body].concat();
    Ok(disk::write_atomically(data.as_ref(), FILE_NAME, &bytes)?)
}

/// Saves updates until cancelled, one at a time; skips all but the latest while a write
/// is in progress.
pub(super) async fn save_updates(
    data: PathBuf,
    mut updates: watch::Receiver<Arc<[Announcement]>>,
    halt: CancellationToken,
) {
    loop {
        let changed = tokio::select! {
            () = halt.cancelled() => return,
            changed = updates.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let servers = Arc::clone(&updates.borrow_and_update());
        let dir = data.clone();
        match spawn_blocking(move || write(dir, &servers)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => {
                log::warn!(error:% = e; "announcements of backend servers cannot be saved")
            }
            Err(e) => log::error!(error:% = e; "announcements of backend servers cannot be saved"),
        }
    }
}
