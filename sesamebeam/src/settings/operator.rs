//! Settings of the operator command line.

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
    ReplicaAddress,
    check_durations,
    check_replicas,
    read_settings,
    resolve_path, //
};
use crate::toml_file::FileError;

/// Settings of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Folder with `ca.pem`, `cert.pem` and `key.pem`.
    pub keys: PathBuf,
    /// Control replicas.
    pub control: Vec<ReplicaAddress>,
    /// Entries that `explain` and `report burn` query.
    #[serde(default, rename = "entry")]
    pub entries: Vec<PeerEntry>,
    /// Timeout of a request to a control replica or an entry.
    #[serde(with = "humantime_serde", default = "default_timeout")]
    pub timeout: Duration,
}

impl OperatorSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not valid TOML or fails validation.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let mut settings: Self = read_settings(path, Self::check)?;
        resolve_path(path, &mut settings.keys);
        Ok(settings)
    }

    /// Returns all faults of the settings.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_replicas("control", &self.control, &mut faults);
        check_durations("timeout", &[("timeout", self.timeout)], &mut faults);
        faults
    }
}

fn default_timeout() -> Duration {
    Duration::from_secs(10)
}
