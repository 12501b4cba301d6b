//! TOML settings of the daemons and the command line.
//!
//! An unknown key is an error that reports its position and a similar known key.
//! Relative paths in a settings file are resolved against the file's folder.

mod control;
mod entry;
mod operator;

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use sesamebeam_core::{
    fleet::check::{
        Fault,
        PathSegment, //
    },
    ids::{
        DomainId,
        InstanceId,
        NodeId, //
    },
};
use smol_str::SmolStr;

pub use self::{
    control::{
        ControlSettings,
        ControlTimings,
        Retention,
        WeightStore, //
    },
    entry::{
        EntryLimits,
        EntryListen,
        EntrySettings,
        EntryTimings, //
    },
    operator::OperatorSettings,
};
use crate::toml_file::{
    FileError,
    TomlFile, //
};

/// Number and address of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaAddress {
    /// Node number of the replica.
    pub node: NodeId,
    /// UDP address that the replica's link listens on.
    pub addr: SocketAddr,
}

/// Name, failure domain and address of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerEntry {
    /// Instance name of the entry.
    pub instance: InstanceId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// UDP address that the entry's link listens on.
    pub addr: SocketAddr,
}

/// Destination and naming of metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// UDP address of a StatsD server. Without one, no metrics are sent.
    pub addr: Option<SocketAddr>,
    /// Prefix of each metric name, placed before the role.
    pub prefix: SmolStr,
}

/// Level, destination and queue size of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Minimum level of lines to write: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: LogLevel,
    /// Folder for rotated log files. Without one, lines go to standard error.
    pub folder: Option<PathBuf>,
    /// Maximum number of lines waiting to be written; further lines are dropped and
    /// counted.
    pub queue: usize,
}

/// Minimum level of log lines to write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only conditions that require an operator to act.
    Error,
    /// Also conditions that may require an operator to act.
    Warn,
    /// Also each request and each state change.
    #[default]
    Info,
    /// Also the individual steps of an operation.
    Debug,
    /// All lines.
    Trace,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            folder: None,
            queue: 8192,
        }
    }
}

/// Reads and validates a settings file.
fn read_settings<T: DeserializeOwned>(
    path: &Path,
    check: impl Fn(&T) -> Vec<Fault>,
) -> Result<T, FileError> {
    TomlFile::read(path)?.parse(check)
}

/// Resolves a path against the folder of the settings file.
fn resolve_path(settings: &Path, path: &mut PathBuf) {
    if let Some(folder) = settings.parent() {
        *path = folder.join(&*path);
    }
}

/// Adds a fault for an empty list of replicas, and for each replica with an invalid or
/// duplicate number or address.
fn check_replicas(key: &'static str, replicas: &[ReplicaAddress], faults: &mut Vec<Fault>) {
    if replicas.is_empty() {
        faults.push(Fault::new(
            &[PathSegment::Key(key)],
            "no control replica is listed",
        ));
    }
    for (index, replica) in replicas.iter().enumerate() {
        let path = |name| {
            [
                PathSegment::Key(key),
                PathSegment::Index(index),
                PathSegment::Key(name),
            ]
        };
        let preceding = &replicas[..index];
        if replica.node == 0 {
            faults.push(Fault::new(&path("node"), "replica numbers start at 1"));
        }
        if preceding.iter().any(|other| other.node == replica.node) {
            faults.push(Fault::new(
                &path("node"),
                format!("control replica {} is listed twice", replica.node),
            ));
        }
        if preceding.iter().any(|other| other.addr == replica.addr) {
            faults.push(Fault::new(
                &path("addr"),
                format!("two control replicas have the address {}", replica.addr),
            ));
        }
    }
}

/// Adds a fault for each duration that is zero.
fn check_durations(
    table: &'static str,
    durations: &[(&'static str, Duration)],
    faults: &mut Vec<Fault>,
) {
    for (key, duration) in durations {
        if duration.is_zero() {
            faults.push(Fault::new(
                &[PathSegment::Key(table), PathSegment::Key(key)],
                format!("`{key}` is zero"),
            ));
        }
    }
}
