//! Replica directories: subdirectories of the data directory, one for each time that the
//! replica joined a group.
//!
//! A replica that was replaced in its group starts again with an empty directory. A
//! pending disk write may still reach the previous directory, so the new one has a
//! different name. The names are increasing numbers.

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

/// Returns the directory in use, if there is one.
pub(super) fn current(data: &Path) -> Option<PathBuf> {
    let paths = numbers(data).into_iter().rev();
    let mut paths = paths.map(|n| data.join(n.to_string()));
    paths.find(|path| Disk::exists(path))
}

/// Returns the path of a directory that was never used.
pub(super) fn unused(data: &Path) -> PathBuf {
    let next = numbers(data).last().map_or(1, |n| n + 1);
    data.join(next.to_string())
}

/// Retires a directory: it is never opened again, even after a power failure.
///
/// # Errors
///
/// Returns an error if its identity cannot be removed.
pub(super) fn retire(path: &Path) -> Result<(), DiskError> {
    Disk::remove(path)
}

/// Returns the numbers of all directories in ascending order.
fn numbers(data: &Path) -> Vec<u64> {
    let Ok(entries) = fs::read_dir(data) else {
        // The data directory does not exist before the first start.
        return Vec::new();
    };
    let names = entries.flatten().map(|entry| entry.file_name());
    let mut numbers: Vec<u64> = names
        .filter_map(|name| name.to_str()?.parse().ok())
        .collect();
    numbers.sort_unstable();
    numbers
}
