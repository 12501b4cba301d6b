//! The folder's identity and lock, and atomic file writes.

use std::{
    fs::{
        self,
        File,
        OpenOptions,
        TryLockError, //
    },
    io::Write,
    path::{
        Path,
        PathBuf, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};
use sesamebeam_core::ids::NodeId;

use super::{
    error::DiskError,
    frame::{
        FrameLocation,
        read_frame,
        write_frame, //
    },
};

/// Name of the identity file.
const IDENTITY_FILE: &str = "identity";

/// Name of the lock file.
const LOCK_FILE: &str = "lock";

/// File name suffix of files that are not completely written yet.
const PART_SUFFIX: &str = ".part";

/// The replica that a data folder belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Group ID.
    pub group: u128,
    /// Replica ID.
    pub node: NodeId,
    /// Incarnation of the folder, which distinguishes a folder that was created again
    /// after a loss from the original one. Random, except that the initial replicas of
    /// a group derive theirs.
    pub incarnation: u128,
}

/// Frame location of the identity, part of its checksum.
const IDENTITY_LOCATION: FrameLocation = FrameLocation {
    incarnation: 0,
    segment: 0,
    offset: 0,
};

/// Creates a folder and its identity file.
pub(super) fn create(path: &Path, identity: &Identity) -> Result<(), DiskError> {
    if path.join(IDENTITY_FILE).exists() {
        return Err(DiskError::Exists(path.to_path_buf()));
    }
    fs::create_dir_all(path).map_err(|e| DiskError::io(path, e))?;
    let payload = postcard::to_stdvec(identity).unwrap_or_default();
    let mut buf = Vec::new();
    write_frame(&mut buf, IDENTITY_LOCATION, &payload);
    write_atomically(path, IDENTITY_FILE, &buf)?;
    match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => sync_folder(parent),
        _ => Ok(()),
    }
}

/// Reads the identity file.
pub(super) fn read_identity(path: &Path) -> Result<Identity, DiskError> {
    let file = path.join(IDENTITY_FILE);
    if !file.exists() {
        return Err(DiskError::Missing(path.to_path_buf()));
    }
    let bytes = fs::read(&file).map_err(|e| DiskError::io(&file, e))?;
    let payload = read_frame(&bytes, IDENTITY_LOCATION, true)
        .map_err(|e| DiskError::damaged(&file, 0, e.description()))?;
    postcard::from_bytes(payload)
        .map_err(|_| DiskError::damaged(&file, 0, "identity cannot be decoded"))
}

/// Locks the folder against other processes. The lock is released when the file is
/// closed, also if the process is killed.
///
/// Two processes on one folder would append at the same offset, and one would
/// overwrite what the other had synced.
pub(super) fn lock(path: &Path) -> Result<File, DiskError> {
    let lock_path = path.join(LOCK_FILE);
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(&lock_path)
        .map_err(|e| DiskError::io(&lock_path, e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(DiskError::Locked(path.to_path_buf())),
        Err(TryLockError::Error(e)) => Err(DiskError::io(&lock_path, e)),
    }
}

/// Writes and syncs a file atomically, through a temporary file and a rename.
pub(crate) fn write_atomically(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
    let part_path = folder.join(format!("{name}{PART_SUFFIX}"));
    let io = |e| DiskError::io(&part_path, e);
    let written = File::create(&part_path).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    if let Err(e) = written {
        // Frees the space that the incomplete file occupies.
        let _ = fs::remove_file(&part_path);
        return Err(io(e));
    }
    fs::rename(&part_path, folder.join(name)).map_err(io)?;
    sync_folder(folder)
}

/// Syncs a folder, so that its directory entries are durable.
pub(super) fn sync_folder(path: &Path) -> Result<(), DiskError> {
    let synced = File::open(path).and_then(|folder| folder.sync_all());
    synced.map_err(|e| DiskError::io(path, e))
}

/// Returns the files named `prefix`, a number and `suffix`, in ascending order of
/// the number. Removes incomplete files.
pub(super) fn numbered_files(
    folder: &Path,
    prefix: &str,
    suffix: &str,
) -> Result<Vec<(u64, PathBuf)>, DiskError> {
    let io = |e| DiskError::io(folder, e);
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).map_err(io)? {
        let path = entry.map_err(io)?.path();
        let Some(name) = path.file_name().and_then(|n| n.to_str()) else {
            continue;
        };
        if name.ends_with(PART_SUFFIX) {
            fs::remove_file(&path).map_err(io)?;
            continue;
        }
        let number = name
            .strip_prefix(prefix)
            .and_then(|n| n.strip_suffix(suffix));
        if let Some(number) = number.and_then(|n| n.parse().ok()) {
            found.push((number, path));
        }
    }
    found.sort();
    Ok(found)
}

/// Returns whether a data folder exists. The identity file is the first file that is
/// written to it.
pub(super) fn exists(path: &Path) -> bool {
    path.join(IDENTITY_FILE).exists()
}

/// Removes the files of a folder, the identity file first. Without it the other files
/// are never read again, even if a power failure interrupts the removal.
pub(super) fn remove(path: &Path) -> Result<(), DiskError> {
    let io = |e| DiskError::io(path, e);
    fs::remove_file(path.join(IDENTITY_FILE)).map_err(io)?;
    sync_folder(path)?;
    for entry in fs::read_dir(path).map_err(io)? {
        fs::remove_file(entry.map_err(io)?.path()).map_err(io)?;
    }
    sync_folder(path)
}
