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
    Replica,
    check_replicas,
    check_times,
    read,
    resolve, //
};
use crate::toml_file::FileError;

/// Settings of one control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Number of the replica, as its certificate has it.
    pub node: NodeId,
    /// Failure domain that the replica runs in.
    pub domain: DomainId,
    /// Folder for everything that must survive.
    pub data: PathBuf,
    /// Address of the link (UDP).
    pub listen: SocketAddr,
    /// Replicas of the group when it is first made, this one included.
    #[serde(rename = "replica")]
    pub replicas: Vec<Replica>,
    /// Folder with `ca.pem`, `cert.pem` and `key.pem`.
    pub keys: PathBuf,
    /// Leases and timeouts.
    #[serde(default)]
    pub timings: ControlTimings,
    /// How long records are kept and how many.
    #[serde(default)]
    pub retention: Retention,
    /// The weight store's rate.
    #[serde(default)]
    pub weight_store: WeightStore,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

/// Leases and timeouts of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlTimings {
    /// Time between two heartbeats of the leader.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Shortest silence of the leader after which a replica stands for election.
    #[serde(with = "humantime_serde")]
    pub election_min: Duration,
    /// Longest silence of the leader after which a replica stands for election.
    #[serde(with = "humantime_serde")]
    pub election_max: Duration,
    /// Bound on the drift between two instances' monotonic clocks, as a share.
    pub clock_drift: f64,
    /// Length of the configuration lease that an entry gets.
    #[serde(with = "humantime_serde")]
    pub config_lease: Duration,
    /// Longest wait for a quorum before a caller is told that there is none.
    #[serde(with = "humantime_serde")]
    pub commit_timeout: Duration,
    /// Longest time that a datagram may still be on its way.
    #[serde(with = "humantime_serde")]
    pub network_bound: Duration,
    /// Time between two reviews of roll-outs by the leader.
    #[serde(with = "humantime_serde")]
    pub review_every: Duration,
    /// Log entries between two snapshots.
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

/// How long records are kept and how many.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retention {
    /// Time that a claim is kept after it ended, and after which an open claim
    /// counts as unknown.
    #[serde(with = "humantime_serde")]
    pub claims: Duration,
    /// Time that a session's pin is kept after its last use.
    #[serde(with = "humantime_serde")]
    pub pins: Duration,
    /// Time that a billing entry is kept; an open one is kept until settled.
    #[serde(with = "humantime_serde")]
    pub bills: Duration,
    /// Time that a verdict on an operator's change is kept.
    #[serde(with = "humantime_serde")]
    pub verdicts: Duration,
    /// Time that a crash counts against the requests that it took down.
    #[serde(with = "humantime_serde")]
    pub crashes: Duration,
    /// Time that a fingerprint stays quarantined.
    #[serde(with = "humantime_serde")]
    pub quarantine: Duration,
    /// Most claims kept; a further one is denied.
    pub max_claims: u32,
    /// Most pins kept; a further one is denied.
    pub max_pins: u32,
    /// Most billing entries kept; a further claim is denied.
    pub max_bills: u32,
    /// Most verdicts kept; the oldest goes first.
    pub max_verdicts: u32,
    /// Largest answer that is kept for resends, in bytes.
    pub body_bytes: u32,
    /// Bytes of answers kept together; the oldest goes first.
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

/// The weight store, as far as loads are paced by it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStore {
    /// Bytes a second that the store gives over all loads.
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has a fault.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let mut settings: Self = read(path, Self::check)?;
        resolve(path, &mut settings.data);
        resolve(path, &mut settings.keys);
        if let Some(folder) = &mut settings.log.folder {
            resolve(path, folder);
        }
        Ok(settings)
    }

    /// Lists every fault of the settings.
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
        let times = [
            ("heartbeat", t.heartbeat),
            ("election_min", t.election_min),
            ("config_lease", t.config_lease),
            ("commit_timeout", t.commit_timeout),
            ("review_every", t.review_every),
        ];
        check_times("timings", &times, faults);
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
