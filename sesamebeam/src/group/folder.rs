//! The data folders of a replica, one for each place that it has had in a group.
//!
//! A replica whose place was given to another starts over with an empty folder.
//! The folder before may still be written to by a disk that answers late, so the
//! next one has a name of its own; the numbers grow.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use crate::disk::{
    Disk,
    DiskError, //
};

/// Returns the folder that is in use, if there is one.
pub(super) fn current(data: &Path) -> Option<PathBuf> {
    let made = numbers(data).into_iter().rev();
    let mut made = made.map(|n| data.join(n.to_string()));
    made.find(|path| Disk::exists(path))
}

/// Returns a folder that was never used.
pub(super) fn fresh(data: &Path) -> PathBuf {
    let next = numbers(data).last().map_or(1, |n| n + 1);
    data.join(next.to_string())
}

/// Gives a folder up: it is never opened again, also if the power goes now.
///
/// # Errors
///
/// Fails if its identity cannot be removed.
pub(super) fn give_up(path: &Path) -> Result<(), DiskError> {
    Disk::remove(path)
}

/// Returns the numbers of the folders in order.
fn numbers(data: &Path) -> Vec<u64> {
    let Ok(entries) = fs::read_dir(data) else {
        // There is no folder before the first start.
        return Vec::new();
    };
    let names = entries.flatten().map(|entry| entry.file_name());
    let mut numbers: Vec<u64> = names
        .filter_map(|name| name.to_str()?.parse().ok())
        .collect();
    numbers.sort_unstable();
    numbers
}
