//! The operators' fleet file on disk.

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

/// A fleet file without a fault.
#[derive(Clone, Debug)]
pub struct FleetFile {
    /// What the file declares.
    pub fleet: Fleet,
    /// Digest of the file's text; with the base revision the id of a change.
    pub digest: Digest,
}

impl FleetFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has a fault; nothing of a file with
    /// a fault is used.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        Self::parse(&TomlFile::read(path)?)
    }

    /// Checks a text.
    ///
    /// # Errors
    ///
    /// Fails if the text has a fault.
    pub fn parse(file: &TomlFile) -> Result<Self, FileError> {
        Ok(Self {
            fleet: file.parse(check)?,
            digest: xxh3_128(file.text().as_bytes()),
        })
    }
}
