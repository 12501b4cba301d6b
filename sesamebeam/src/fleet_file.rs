//! Fleet file written by operators.

use std::path::Path;

use sesamebeam_core::{
    fleet::{
        Fleet,
        check::check, //
    },
    ids::Digest,
};
use xxhash_rust::xxh3::xxh3_128;

use crate::toml_file::{
    FileError,
    TomlFile, //
};

/// Fleet file without faults.
#[derive(Clone, Debug)]
pub struct FleetFile {
    /// Fleet declared by the file.
    pub fleet: Fleet,
    /// Digest of the file's text. Together with the base revision it identifies a change.
    pub digest: Digest,
}

impl FleetFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has a fault. No content of a file with a fault
    /// is used.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        Self::parse(&TomlFile::read(path)?)
    }

    /// Parses and validates a file that was already read.
    ///
    /// # Errors
    ///
    /// Fails if the file has a fault.
    pub fn parse(file: &TomlFile) -> Result<Self, FileError> {
        Ok(Self {
            fleet: file.parse(check)?,
            digest: xxh3_128(file.text().as_bytes()),
        })
    }
}
