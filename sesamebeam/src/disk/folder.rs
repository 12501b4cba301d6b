//! The folder: its identity, its lock, and files that appear as a whole.

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
        Place,
        read_frame,
        write_frame, //
    },
};

/// Name of the file that tells whose folder it is.
const IDENTITY: &str = "identity";

/// Name of the file that is locked while the folder is open.
const LOCK: &str = "lock";

/// End of the name of a file that is not whole yet.
const UNFINISHED: &str = ".part";

/// Whose data folder it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Group of the replica.
    pub group: u128,
    /// Number of the replica.
    pub node: NodeId,
    /// Drawn at random when the folder is made, so that a lost folder that is
    /// made anew is told from the old one.
    pub incarnation: u128,
}

/// Where the identity lies, as its checksum has it.
const IDENTITY_PLACE: Place = Place {
    incarnation: 0,
    segment: 0,
    offset: 0,
};

/// Makes a folder with an identity.
pub(super) fn create(path: &Path, identity: &Identity) -> Result<(), DiskError> {
    if path.join(IDENTITY).exists() {
        return Err(DiskError::Exists(path.to_path_buf()));
    }
    fs::create_dir_all(path).map_err(|e| DiskError::io(path, e))?;
    let payload = postcard::to_stdvec(identity).unwrap_or_default();
    let mut buf = Vec::new();
    write_frame(&mut buf, IDENTITY_PLACE, &payload);
    write_whole(path, IDENTITY, &buf)?;
    match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => sync_folder(parent),
        _ => Ok(()),
    }
}

/// Reads whose folder it is.
pub(super) fn read_identity(path: &Path) -> Result<Identity, DiskError> {
    let file = path.join(IDENTITY);
    if !file.exists() {
        return Err(DiskError::Missing(path.to_path_buf()));
    }
    let bytes = fs::read(&file).map_err(|e| DiskError::io(&file, e))?;
    let payload = read_frame(&bytes, IDENTITY_PLACE, true)
        .map_err(|fault| DiskError::damaged(&file, 0, fault.text()))?;
    postcard::from_bytes(payload)
        .map_err(|_| DiskError::damaged(&file, 0, "identity does not decode"))
}

/// Locks the folder against other processes. The lock ends with the file, also
/// when the process is killed.
///
/// Two processes on one folder would each append where the other does, and
/// what one synced would be overwritten.
pub(super) fn lock(path: &Path) -> Result<File, DiskError> {
    let name = path.join(LOCK);
    let file = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(&name)
        .map_err(|e| DiskError::io(&name, e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(DiskError::Locked(path.to_path_buf())),
        Err(TryLockError::Error(e)) => Err(DiskError::io(&name, e)),
    }
}

/// Writes a file so that it is there whole and synced, or not at all.
pub(crate) fn write_whole(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
    let unfinished = folder.join(format!("{name}{UNFINISHED}"));
    let io = |e| DiskError::io(&unfinished, e);
    let written = File::create(&unfinished).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    if let Err(e) = written {
        // What is left of it would only fill the disk further.
        let _ = fs::remove_file(&unfinished);
        return Err(io(e));
    }
    fs::rename(&unfinished, folder.join(name)).map_err(io)?;
    sync_folder(folder)
}

/// Syncs a folder, so that the names of its files last.
pub(super) fn sync_folder(path: &Path) -> Result<(), DiskError> {
    let synced = File::open(path).and_then(|folder| folder.sync_all());
    synced.map_err(|e| DiskError::io(path, e))
}

/// Lists the files whose names are a number between `prefix` and `suffix`, in
/// order, and removes what was never finished.
pub(super) fn numbered(
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
        if name.ends_with(UNFINISHED) {
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

/// Returns whether there is a data folder: its identity is written first.
pub(super) fn is_made(path: &Path) -> bool {
    path.join(IDENTITY).exists()
}

/// Removes the files of a folder, the identity first: without it the rest is
/// never read again, also if the power goes before all of it is gone.
pub(super) fn remove(path: &Path) -> Result<(), DiskError> {
    let io = |e| DiskError::io(path, e);
    fs::remove_file(path.join(IDENTITY)).map_err(io)?;
    sync_folder(path)?;
    for entry in fs::read_dir(path).map_err(io)? {
        fs::remove_file(entry.map_err(io)?.path()).map_err(io)?;
    }
    sync_folder(path)
}
