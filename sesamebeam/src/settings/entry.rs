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
    Replica,
    check_replicas,
    check_times,
    read,
    resolve, //
};
use crate::{
    keys::Role,
    toml_file::FileError, //
};

/// Settings of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the instance, as its certificate has it.
    pub instance: InstanceId,
    /// Failure domain that the instance runs in.
    pub domain: DomainId,
    /// Addresses that it listens on.
    pub listen: EntryListen,
    /// Control replicas.
    pub control: Vec<Replica>,
    /// Other entries.
    #[serde(default, rename = "peer")]
    pub peers: Vec<PeerEntry>,
    /// Folder with `ca.pem`, `cert.pem` and `key.pem`.
    pub keys: PathBuf,
    /// Hex SHA-256 of the key that backend servers show when they announce.
    pub announce_key_sha256: SmolStr,
    /// File with the secret that signs session tokens, the same at every entry.
    pub session_secret: PathBuf,
    /// Address of the rating service; none rates nothing.
    #[serde(default)]
    pub rating: Option<SocketAddr>,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: MetricsSettings,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
    /// Bounds on what callers and backend servers may use.
    #[serde(default)]
    pub limits: EntryLimits,
    /// Leases and timeouts.
    #[serde(default)]
    pub timings: EntryTimings,
}

/// Addresses that an entry listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryListen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Announcements of backend servers.
    pub announcements: SocketAddr,
    /// Link to our own processes (UDP).
    pub link: SocketAddr,
}

/// Bounds on what callers and backend servers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time until the head of a request has arrived.
    #[serde(with = "humantime_serde")]
    pub header_timeout: Duration,
    /// Longest time until the body of a request has arrived.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
    /// Connections of callers that may be open.
    pub connections: usize,
    /// Requests that may be admitted and not yet answered.
    pub in_flight: usize,
    /// Requests that may wait for a backend server.
    pub queued: usize,
    /// Idle connections kept to each backend server.
    pub idle_per_server: usize,
    /// Largest announcement in bytes.
    pub announcement_bytes: usize,
    /// Largest answer in bytes that is kept for resends of a request that runs
    /// at most once.
    pub answer_bytes: usize,
    /// Decisions kept for `explain`.
    pub explained: usize,
    /// Threads that serve requests; 0 takes one for each core.
    ///
    /// With more threads than the load needs, nearly every event wakes another
    /// sleeping thread, which costs more than the event itself.
    pub workers: usize,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
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

/// Leases and timeouts of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryTimings {
    /// Pause before a renewal of the configuration lease that failed is
    /// repeated; one that succeeds is followed by the next at once.
    #[serde(with = "humantime_serde")]
    pub renew_pause: Duration,
    /// Longest wait for an answer of a control replica.
    #[serde(with = "humantime_serde")]
    pub control_timeout: Duration,
    /// Time after a backend server's announcement until it counts as gone.
    #[serde(with = "humantime_serde")]
    pub server_lease: Duration,
    /// Time, from before a claim was asked for, within which it must be sent.
    #[serde(with = "humantime_serde")]
    pub claim_window: Duration,
    /// Longest wait for a connection to a backend server.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Longest silence of a stream before it is probed by a new connection.
    #[serde(with = "humantime_serde")]
    pub progress_timeout: Duration,
    /// Longest wait for the answer to a probe.
    #[serde(with = "humantime_serde")]
    pub probe_timeout: Duration,
    /// Time between two messages to the other entries of the failure domain.
    #[serde(with = "humantime_serde")]
    pub spread_every: Duration,
    /// Time between two reports of evidence to the control group.
    #[serde(with = "humantime_serde")]
    pub evidence_every: Duration,
    /// Time between not being ready and closing the listeners in a planned
    /// stop, for the balancer to notice.
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has a fault.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        let mut settings: Self = read(path, Self::check)?;
        resolve(path, &mut settings.keys);
        resolve(path, &mut settings.session_secret);
        if let Some(folder) = &mut settings.log.folder {
            resolve(path, folder);
        }
        Ok(settings)
    }

    /// Lists every fault of the settings.
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
        for (at, peer) in self.peers.iter().enumerate() {
            let path = [
                PathSegment::Key("peer"),
                PathSegment::Index(at),
                PathSegment::Key("instance"),
            ];
            if peer.instance == self.instance {
                faults.push(Fault::new(
                    &path,
                    format!("entry `{}` lists itself as a peer", self.instance),
                ));
            }
            if self.peers[..at]
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
        let bounds = [
            ("head_bytes", limits.head_bytes),
            ("body_bytes", limits.body_bytes),
            ("connections", limits.connections),
            ("in_flight", limits.in_flight),
            ("announcement_bytes", limits.announcement_bytes),
        ];
        for (key, bound) in bounds {
            if bound == 0 {
                faults.push(Fault::new(
                    &[PathSegment::Key("limits"), PathSegment::Key(key)],
                    format!("`{key}` is zero, so that nothing could be served"),
                ));
            }
        }
        let times = [
            ("header_timeout", limits.header_timeout),
            ("body_timeout", limits.body_timeout),
        ];
        check_times("limits", &times, faults);
    }

    fn check_timings(&self, faults: &mut Vec<Fault>) {
        let t = &self.timings;
        let times = [
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
        check_times("timings", &times, faults);
    }
}
