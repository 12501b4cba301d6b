//! Settings of `sesamebeam-entry`.

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
        InstanceId, //
    },
};
use smol_str::SmolStr;

use super::{
    LogSettings,
    MetricsSettings,
    PeerEntry,
    ReplicaAddress,
    check_durations,
    check_replicas,
    read_settings,
    resolve_path, //
};
use crate::{
    intake::Resources,
    keys::Role,
    toml_file::FileError, //
};

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Instance name, which must match the certificate.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Listening addresses.
    pub listen: EntryListen,
    /// Control replicas.
    pub control: Vec<ReplicaAddress>,
    /// The other entries.
    #[serde(default, rename = "peer")]
    pub peers: Vec<PeerEntry>,
    /// Folder with `ca.pem`, `cert.pem` and `key.pem`.
    pub keys: PathBuf,
    /// Hex SHA-256 of the key that backend servers authenticate announcements with.
    pub announce_key_sha256: SmolStr,
    /// File with the secret that signs session tokens. All entries must share it.
    pub session_secret: PathBuf,
    /// Address of the rating service. Without one, answers are not rated.
    #[serde(default)]
    pub rating: Option<SocketAddr>,
    /// Destination and naming of metrics.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Level, destination and queue size of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on the resources that callers and backend servers may use.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Leases, timeouts and intervals.
    #[serde(default)]
    pub timings: EntryTimings,
}

/// Listening addresses of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// Announcements of backend servers.
    pub announcements: SocketAddr,
    /// Link to the other entries, the control replicas and operators (UDP).
    pub link: SocketAddr,
}

/// Limits on the resources that callers and backend servers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    #[serde(with = "humantime_serde")]
    pub header_timeout: Duration,
    /// Timeout for receiving a request body.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
    /// Memory that the instance has in bytes: request bodies may take a quarter of it at a
    /// time, and open connections another.
    pub memory_bytes: usize,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum number of admitted requests that are not yet answered.
    pub in_flight: usize,
    /// Maximum number of requests waiting for a backend server.
    pub queued: usize,
    /// Maximum number of idle connections kept open to each backend server.
    pub idle_per_server: usize,
    /// Maximum size of an announcement in bytes.
    pub announcement_bytes: usize,
    /// Maximum size in bytes of an answer that is kept to be replayed when a request
    /// that runs at most once is resent.
    pub answer_bytes: usize,
    /// Number of routing decisions kept for `explain`.
    pub explained: usize,
    /// Number of threads that serve requests; 0 means one per core.
    ///
    /// With more threads than the load requires, almost every event wakes a sleeping
    /// thread, which costs more than handling the event.
    pub workers: usize,
}

impl EntryLimits {
    /// Returns the most open connections of callers, for which there is also memory.
    pub(crate) fn caller_connections(&self) -> usize {
        self.connections
            .min(self.resources().connections_by_memory())
    }

    /// Returns the most open connections of backend servers that announce themselves.
    pub(crate) fn announcing_connections(&self) -> usize {
        self.caller_connections() / 2
    }

    /// Returns the most bytes of all request bodies together.
    pub(crate) fn held_body_bytes(&self) -> usize {
        self.resources().body_bytes()
    }

    fn resources(&self) -> Resources {
        Resources {
            memory: self.memory_bytes,
            ..Resources::default()
        }
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            memory_bytes: 256 << 20,
            connections: 8192,
            in_flight: 4096,
            queued: 4096,
            idle_per_server: 32,
            announcement_bytes: 256 << 10,
            answer_bytes: 64 << 10,
            explained: 4096,
            workers: 2,
        }
    }
}

/// Leases, timeouts and intervals of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryTimings {
    /// Delay before a failed renewal of the configuration lease is retried. A successful
    /// renewal is followed by the next one immediately.
    #[serde(with = "humantime_serde")]
    pub renew_pause: Duration,
    /// Timeout of a request to a control replica.
    #[serde(with = "humantime_serde")]
    pub control_timeout: Duration,
    /// Time after its last announcement at which a backend server is considered gone.
    #[serde(with = "humantime_serde")]
    pub server_lease: Duration,
    /// Time after requesting a claim within which the request must be sent. It is
    /// measured from before the claim is requested.
    #[serde(with = "humantime_serde")]
    pub claim_window: Duration,
    /// Timeout for connecting to a backend server.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Time without data on a stream after which the backend server is probed over a new
    /// connection.
    #[serde(with = "humantime_serde")]
    pub progress_timeout: Duration,
    /// Timeout of a probe.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// Interval between messages to the other entries of the failure domain.
    #[serde(with = "humantime_serde")]
    pub spread_every: Duration,
    /// Interval between reports of evidence to the control group.
    #[serde(with = "humantime_serde")]
    pub evidence_every: Duration,
    /// Delay in a planned stop between reporting not ready and closing the listeners, so
    /// that the load balancer notices in time.
    #[serde(with = "humantime_serde")]
    pub drain_notice: Duration,
}

impl Default for EntryTimings {
    fn default() -> Self {
        Self {
            renew_pause: Duration::from_millis(200),
            control_timeout: Duration::from_secs(2),
            server_lease: Duration::from_secs(5),
            claim_window: Duration::from_secs(3),
            connect_timeout: Duration::from_secs(2),
            progress_timeout: Duration::from_secs(5),
            probe_timeout: Duration::from_secs(2),
            spread_every: Duration::from_millis(500),
            evidence_every: Duration::from_secs(1),
            drain_notice: Duration::from_secs(5),
        }
    }
}

impl EntrySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not valid TOML or fails validation.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let mut settings: Self = read_settings(path, Self::check)?;
        resolve_path(path, &mut settings.keys);
        resolve_path(path, &mut settings.session_secret);
        if let Some(folder) = &mut settings.log.folder {
            resolve_path(path, folder);
        }
        Ok(settings)
    }

    /// Returns all faults of the settings.
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if let Err(e) = format!("entry.{}", self.instance).parse::<Role>() {
            faults.push(Fault::new(&[PathSegment::Key("instance")], e.to_string()));
        }
        if self.announce_key_sha256.len() != 64 {
            faults.push(Fault::new(
                &[PathSegment::Key("announce_key_sha256")],
                "`announce_key_sha256` is not 64 hex digits; `sesamebeam keys announce` makes it",
            ));
        }
        check_replicas("control", &self.control, &mut faults);
        self.check_peers(&mut faults);
        self.check_limits(&mut faults);
        self.check_timings(&mut faults);
        faults
    }

    fn check_peers(&self, faults: &mut Vec<Fault>) {
        for (index, peer) in self.peers.iter().enumerate() {
            let path = [
                PathSegment::Key("peer"),
                PathSegment::Index(index),
                PathSegment::Key("instance"),
            ];
            if peer.instance == self.instance {
                faults.push(Fault::new(
                    &path,
                    format!("entry `{}` lists itself as a peer", self.instance),
                ));
            }
            if self.peers[..index]
                .iter()
                .any(|other| other.instance == peer.instance)
            {
                faults.push(Fault::new(
                    &path,
                    format!("peer `{}` is listed twice", peer.instance),
                ));
            }
        }
    }

    fn check_limits(&self, faults: &mut Vec<Fault>) {
        let limits = &self.limits;
        let maximums = [
            ("head_bytes", limits.head_bytes),
            ("body_bytes", limits.body_bytes),
            ("connections", limits.connections),
            ("in_flight", limits.in_flight),
            ("announcement_bytes", limits.announcement_bytes),
        ];
        for (key, maximum) in maximums {
            if maximum == 0 {
                faults.push(Fault::new(
                    &[PathSegment::Key("limits"), PathSegment::Key(key)],
                    format!("`{key}` is zero, so that nothing could be served"),
                ));
            }
        }
        let durations = [
            ("header_timeout", limits.header_timeout),
            ("body_timeout", limits.body_timeout),
        ];
        check_durations("limits", &durations, faults);
    }

    fn check_timings(&self, faults: &mut Vec<Fault>) {
        let t = &self.timings;
        let durations = [
            ("renew_pause", t.renew_pause),
            ("control_timeout", t.control_timeout),
            ("server_lease", t.server_lease),
            ("claim_window", t.claim_window),
            ("connect_timeout", t.connect_timeout),
            ("progress_timeout", t.progress_timeout),
            ("probe_timeout", t.probe_timeout),
            ("spread_every", t.spread_every),
            ("evidence_every", t.evidence_every),
        ];
        check_durations("timings", &durations, faults);
    }
}
