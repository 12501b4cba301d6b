//! Settings of the daemons and of the command line, in TOML.
//!
//! An unknown key is refused with its place and a suggestion. Paths in a file
//! are relative to the file's folder.

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

/// A control replica and where its link listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Number of the replica.
    pub node: NodeId,
    /// Address of its link.
    pub addr: SocketAddr,
}

/// An entry and where its link listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerEntry {
    /// Name of the entry.
    pub instance: InstanceId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Address of its link.
    pub addr: SocketAddr,
}

/// Where metrics go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// UDP address of a StatsD server; none sends no metrics.
    pub addr: Option<SocketAddr>,
    /// Text in front of each metric's name, before the role.
    pub prefix: SmolStr,
}

/// Where log lines go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: LogLevel,
    /// Folder of rotated log files; none writes to standard error.
    pub folder: Option<PathBuf>,
    /// Lines that may wait to be written; more are dropped and counted.
    pub queue: usize,
}

/// Least level of log lines that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Only what needs somebody to act.
    Error,
    /// Also what may need somebody to act.
    Warn,
    /// Also each request and each change of state.
    #[default]
    Info,
    /// Also single steps.
    Debug,
    /// Everything.
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

/// Reads a settings file and checks it.
fn read<T: DeserializeOwned>(
    path: &Path,
    check: impl Fn(&T) -> Vec<Fault>,
) -> Result<T, FileError> {
    TomlFile::read(path)?.parse(check)
}

/// Makes a path absolute that was relative to a settings file.
fn resolve(settings: &Path, path: &mut PathBuf) {
    if let Some(folder) = settings.parent() {
        *path = folder.join(&*path);
    }
}

fn check_replicas(key: &'static str, replicas: &[Replica], faults: &mut Vec<Fault>) {
    if replicas.is_empty() {
        faults.push(Fault::new(
            &[PathSegment::Key(key)],
            "no control replica is listed",
        ));
    }
    for (at, replica) in replicas.iter().enumerate() {
        let path = |name| {
            [
                PathSegment::Key(key),
                PathSegment::Index(at),
                PathSegment::Key(name),
            ]
        };
        let before = &replicas[..at];
        if replica.node == 0 {
            faults.push(Fault::new(&path("node"), "replica numbers start at 1"));
        }
        if before.iter().any(|other| other.node == replica.node) {
            faults.push(Fault::new(
                &path("node"),
                format!("control replica {} is listed twice", replica.node),
            ));
        }
        if before.iter().any(|other| other.addr == replica.addr) {
            faults.push(Fault::new(
                &path("addr"),
                format!("two control replicas have the address {}", replica.addr),
            ));
        }
    }
}

/// Adds a fault if a time is zero.
fn check_times(table: &'static str, times: &[(&'static str, Duration)], faults: &mut Vec<Fault>) {
    for (key, time) in times {
        if time.is_zero() {
            faults.push(Fault::new(
                &[PathSegment::Key(table), PathSegment::Key(key)],
                format!("`{key}` is zero"),
            ));
        }
    }
}
