//! Settings of the operators' command line.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use sesamebeam_core::fleet::check::Fault;

use super::{
    PeerEntry,
    Replica,
    check_replicas,
    check_times,
    read,
    resolve, //
};
use crate::toml_file::FileError;

/// Settings of one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Folder with `ca.pem`, `cert.pem` and `key.pem`.
    pub keys: PathBuf,
    /// Control replicas.
    pub control: Vec<Replica>,
    /// Entries, for `explain` and `report burn`.
    #[serde(default, rename = "entry")]
    pub entries: Vec<PeerEntry>,
    /// Longest wait for an answer.
    #[serde(with = "humantime_serde", default = "default_timeout")]
    pub timeout: Duration,
}

impl OperatorSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has a fault.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let mut settings: Self = read(path, Self::check)?;
        resolve(path, &mut settings.keys);
        Ok(settings)
    }

    /// Lists every fault of the settings.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_replicas("control", &self.control, &mut faults);
        check_times("timeout", &[("timeout", self.timeout)], &mut faults);
        faults
    }
}

fn default_timeout() -> Duration {
    Duration::from_secs(10)
}
