//! Settings of `sesamebeam-control`.

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
    Serialize, //
};
use sesamebeam_core::{
    fleet::check::{
        Fault,
        PathSegment, //
    },
    ids::{
        DomainId,
        NodeId, //
    },
    message::command,
};

use super::{
    LogSettings,
    MetricsSettings,
    ReplicaAddress,
    check_durations,
    check_replicas,
    read_settings,
    resolve_path, //
};
use crate::toml_file::FileError;

/// Settings of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Node number of the replica, which must match the certificate.
    pub node: NodeId,
    /// Failure domain of the replica.
    pub domain: DomainId,
    /// Folder for durable data.
    pub data: PathBuf,
    /// Listening address of the link (UDP).
    pub listen: SocketAddr,
    /// Initial members of the control group, including this replica.
    #[serde(rename = "replica")]
    pub replicas: Vec<ReplicaAddress>,
    /// Folder with `ca.pem`, `cert.pem` and `key.pem`.
    pub keys: PathBuf,
    /// Leases, timeouts and intervals.
    #[serde(default)]
    pub timings: ControlTimings,
    /// Limits on the age and number of records.
    #[serde(default)]
    pub retention: Retention,
    /// Throughput of the weight store.
    #[serde(default)]
    pub weight_store: WeightStore,
    /// Destination and naming of metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Level, destination and queue size of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Leases, timeouts and intervals of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlTimings {
    /// Interval between heartbeats of the leader.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Minimum election timeout: time without a message from the leader after which a
    /// replica starts an election.
    #[serde(with = "humantime_serde")]
    pub election_min: Duration,
    /// Maximum election timeout.
    #[serde(with = "humantime_serde")]
    pub election_max: Duration,
    /// Maximum relative drift between the monotonic clocks of two instances.
    pub clock_drift: f64,
    /// Duration of the configuration lease granted to an entry.
    #[serde(with = "humantime_serde")]
    pub config_lease: Duration,
    /// Timeout for a commit, after which the client is told that there is no quorum.
    #[serde(with = "humantime_serde")]
    pub commit_timeout: Duration,
    /// Maximum time that a datagram spends in the network.
    #[serde(with = "humantime_serde")]
    pub network_bound: Duration,
    /// Interval between the leader's reviews of roll-outs.
    #[serde(with = "humantime_serde")]
    pub review_every: Duration,
    /// Number of log entries between snapshots.
    pub snapshot_every: u64,
}

impl Default for ControlTimings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(1000),
            clock_drift: 0.01,
            config_lease: Duration::from_secs(5),
            commit_timeout: Duration::from_secs(2),
            network_bound: Duration::from_secs(2),
            review_every: Duration::from_secs(1),
            snapshot_every: 10_000,
        }
    }
}

/// Limits on the age and number of records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retention {
    /// Time for which an ended claim is kept, and after which an open claim becomes
    /// unknown.
    #[serde(with = "humantime_serde")]
    pub claims: Duration,
    /// Time for which a session's pin is kept after its last use.
    #[serde(with = "humantime_serde")]
    pub pins: Duration,
    /// Time for which a charged or void billing entry is kept. An open one is kept until
    /// it is settled.
    #[serde(with = "humantime_serde")]
    pub bills: Duration,
    /// Time for which the verdict on an operator's change is kept.
    #[serde(with = "humantime_serde")]
    pub verdicts: Duration,
    /// Time for which a crash counts against the requests that were running on the
    /// backend server.
    #[serde(with = "humantime_serde")]
    pub crashes: Duration,
    /// Time for which a fingerprint stays quarantined.
    #[serde(with = "humantime_serde")]
    pub quarantine: Duration,
    /// Maximum number of claims. A further claim replaces the oldest one that ended at
    /// least an hour ago, and is denied if there is none.
    pub max_claims: u32,
    /// Maximum number of pins; further ones are denied.
    pub max_pins: u32,
    /// Maximum number of billing entries; further claims are denied.
    pub max_bills: u32,
    /// Maximum number of verdicts; the oldest is removed first.
    pub max_verdicts: u32,
    /// Maximum size in bytes of an answer body that is kept for resent requests.
    pub body_bytes: u32,
    /// Maximum total size of the kept answer bodies in bytes; the oldest is removed
    /// first.
    pub answer_bytes: u64,
}

impl Default for Retention {
    fn default() -> Self {
        command::Retention::default().into()
    }
}

impl From<command::Retention> for Retention {
    fn from(core: command::Retention) -> Self {
        Self {
            claims: core.claims,
            pins: core.pins,
            bills: core.bills,
            verdicts: core.verdicts,
            crashes: core.crashes,
            quarantine: core.quarantine,
            max_claims: core.max_claims,
            max_pins: core.max_pins,
            max_bills: core.max_bills,
            max_verdicts: core.max_verdicts,
            body_bytes: core.body_cap,
            answer_bytes: core.bodies_cap,
        }
    }
}

impl From<&Retention> for command::Retention {
    fn from(settings: &Retention) -> Self {
        Self {
            claims: settings.claims,
            pins: settings.pins,
            bills: settings.bills,
            verdicts: settings.verdicts,
            crashes: settings.crashes,
            quarantine: settings.quarantine,
            max_claims: settings.max_claims,
            max_pins: settings.max_pins,
            max_bills: settings.max_bills,
            max_verdicts: settings.max_verdicts,
            body_cap: settings.body_bytes,
            bodies_cap: settings.answer_bytes,
        }
    }
}

/// Throughput of the weight store, which limits how fast versions are loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStore {
    /// Total throughput in bytes per second, shared by all concurrent loads.
    pub bytes_per_second: u64,
}

impl Default for WeightStore {
    fn default() -> Self {
        Self {
            bytes_per_second: 1 << 30,
        }
    }
}

impl ControlSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not valid TOML or fails validation.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let mut settings: Self = read_settings(path, Self::check)?;
        resolve_path(path, &mut settings.data);
        resolve_path(path, &mut settings.keys);
        if let Some(folder) = &mut settings.log.folder {
            resolve_path(path, folder);
        }
        Ok(settings)
    }

    /// Returns all faults of the settings.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_replicas("replica", &self.replicas, &mut faults);
        if self
            .replicas
            .iter()
            .all(|replica| replica.node != self.node)
        {
            faults.push(Fault::new(
                &[PathSegment::Key("node")],
                format!("control replica {} is not among the replicas", self.node),
            ));
        }
        if self.weight_store.bytes_per_second == 0 {
            faults.push(Fault::new(
                &[
                    PathSegment::Key("weight_store"),
                    PathSegment::Key("bytes_per_second"),
                ],
                "`bytes_per_second` is zero, so that no version could be loaded",
            ));
        }
        self.check_timings(&mut faults);
        faults
    }

    fn check_timings(&self, faults: &mut Vec<Fault>) {
        let t = &self.timings;
        let durations = [
            ("heartbeat", t.heartbeat),
            ("election_min", t.election_min),
            ("config_lease", t.config_lease),
            ("commit_timeout", t.commit_timeout),
            ("review_every", t.review_every),
        ];
        check_durations("timings", &durations, faults);
        let path = |key| [PathSegment::Key("timings"), PathSegment::Key(key)];
        if t.election_min < t.heartbeat * 3 {
            faults.push(Fault::new(
                &path("election_min"),
                "`election_min` is under three heartbeats, so that one lost datagram would depose a leader",
            ));
        }
        if t.election_max <= t.election_min {
            faults.push(Fault::new(
                &path("election_max"),
                "`election_max` is not above `election_min`, so that replicas would stand at once",
            ));
        }
        if !(0.0..0.5).contains(&t.clock_drift) {
            faults.push(Fault::new(
                &path("clock_drift"),
                format!("`clock_drift` is {}, outside 0 to 0.5", t.clock_drift),
            ));
        }
        if t.snapshot_every == 0 {
            faults.push(Fault::new(
                &path("snapshot_every"),
                "`snapshot_every` is zero",
            ));
        }
    }
}
