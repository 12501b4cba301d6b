//! A complete fleet on loopback in one process, for `sesamebeam dev`, tests and benchmarks.
//!
//! Entries and control replicas run the same code as the daemons, over real
//! sockets. Each control replica runs on its own thread, since a deployed one
//! has its own process.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr,
        UdpSocket, //
    },
    path::{
        Path,
        PathBuf, //
    },
    sync::atomic::{
        AtomicU32,
        Ordering, //
    },
    thread,
    time::Duration, //
};

use sesamebeam_core::{
    fleet::{
        Fleet,
        PoolKind,
        VersionState, //
    },
    ids::{
        DomainId,
        InstanceId,
        NodeId, //
    },
};
use sesamebeam_fakes::{
    AnnounceConfig,
    FakeError,
    Runner,
    RunnerConfig,
    Service,
    ServiceConfig, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use thiserror::Error;
use tokio_util::sync::CancellationToken;

use crate::{
    control::{
        Control,
        ControlError,
        StartMode, //
    },
    entry::{
        Entry,
        EntryError, //
    },
    keys::{
        Credentials,
        FleetCa,
        KeyError,
        Role,
        sha256_hex, //
    },
    settings::{
        ControlSettings,
        ControlTimings,
        EntryLimits,
        EntryListen,
        EntrySettings,
        EntryTimings,
        LogSettings,
        MetricsSettings,
        OperatorSettings,
        PeerEntry,
        ReplicaAddress,
        Retention,
        WeightStore, //
    },
};

/// Announcement key of the fake backend servers.
pub const ANNOUNCE_KEY: &str = "announce-local";

/// Secret that session tokens are signed with.
pub const SESSION_SECRET: &[u8] = b"local session secret";

/// Error when a local fleet is started.
#[derive(Debug, Error)]
pub enum LocalError {
    /// A key cannot be generated or written.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// A control replica cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// An entry cannot start.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A fake backend server cannot start.
    #[error(transparent)]
    Fake(#[from] FakeError),
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Size and settings of a local fleet.
#[derive(Clone, Debug)]
pub struct LocalPlan {
    /// Failure domains, each with one control replica.
    pub domains: Vec<DomainId>,
    /// Entries in each failure domain.
    pub entries: usize,
    /// Timings of the control replicas.
    pub control: ControlTimings,
    /// Timings of the entries.
    pub entry: EntryTimings,
    /// Limits of the entries.
    pub limits: EntryLimits,
    /// Address of the rating service, if there is one.
    pub rating: Option<SocketAddr>,
}

impl LocalPlan {
    /// Plans one control replica and one entry in each of the given failure domains, with a short
    /// drain notice.
    pub fn small(domains: &[&str]) -> Self {
        Self {
            domains: domains.iter().map(|d| SmolStr::new(*d)).collect(),
            entries: 1,
            control: ControlTimings::default(),
            entry: EntryTimings {
                drain_notice: Duration::from_millis(200),
                ..EntryTimings::default()
            },
            limits: EntryLimits::default(),
            rating: None,
        }
    }
}

/// Settings and keys of every daemon of a local fleet.
pub struct LocalSettings {
    /// Certificate authority.
    pub ca: FleetCa,
    /// Settings of the control replicas.
    pub controls: Vec<ControlSettings>,
    /// Settings of the entries.
    pub entries: Vec<EntrySettings>,
    /// Settings of an operator.
    pub operator: OperatorSettings,
}

impl LocalSettings {
    /// Allocates free ports and writes keys into directories under `root`.
    ///
    /// # Errors
    ///
    /// Fails if keys cannot be generated or written, or if no port is free.
    pub fn make(plan: &LocalPlan, root: &Path) -> Result<Self, LocalError> {
        let ca = FleetCa::generate("local")?;
        ca.save(&create_dir(root, "ca")?)?;
        let replicas = allocate_replicas(plan)?;
        let entries = allocate_entries(plan)?;
        let mut controls = Vec::new();
        for (replica, domain) in replicas.iter().zip(&plan.domains) {
            let keys = create_dir(root, &format!("control-{}", replica.node))?;
            ca.issue(&Role::Control(replica.node))?.save(&keys, &ca)?;
            controls.push(ControlSettings {
                node: replica.node,
                domain: domain.clone(),
                data: root.join(format!("data-{}", replica.node)),
                listen: replica.addr,
                replicas: replicas.clone(),
                keys,
                timings: plan.control.clone(),
                retention: Retention::default(),
                weight_store: WeightStore::default(),
                metrics: MetricsSettings::default(),
                log: LogSettings::default(),
            });
        }
        let secret_path = root.join("session.secret");
        std::fs::write(&secret_path, SESSION_SECRET)?;
        let mut entry_settings = Vec::new();
        for peer in &entries {
            let keys = create_dir(root, &peer.instance)?;
            ca.issue(&Role::Entry(peer.instance.clone()))?
                .save(&keys, &ca)?;
            entry_settings.push(EntrySettings {
                instance: peer.instance.clone(),
                domain: peer.domain.clone(),
                listen: EntryListen {
                    callers: free_tcp()?,
                    announcements: free_tcp()?,
                    link: peer.addr,
                },
                control: replicas.clone(),
                peers: entries
                    .iter()
                    .filter(|other| other.instance != peer.instance)
                    .cloned()
                    .collect(),
                keys,
                announce_key_sha256: sha256_hex(ANNOUNCE_KEY),
                session_secret: secret_path.clone(),
                rating: plan.rating,
                metrics: MetricsSettings::default(),
                log: LogSettings::default(),
                limits: plan.limits.clone(),
                timings: plan.entry.clone(),
            });
        }
        let keys = create_dir(root, "operator")?;
        ca.issue(&Role::Operator("local".into()))?
            .save(&keys, &ca)?;
        Ok(Self {
            ca,
            controls,
            entries: entry_settings,
            operator: OperatorSettings {
                keys,
                control: replicas,
                entries,
                timeout: Duration::from_secs(10),
            },
        })
    }
}

/// A fleet that runs in this process.
pub struct LocalFleet {
    /// Settings of the control replicas, the entries and the operator.
    pub settings: LocalSettings,
    entries: Vec<Entry>,
    stop: CancellationToken,
}

impl LocalFleet {
    /// Starts the control replicas and the entries.
    ///
    /// # Errors
    ///
    /// Fails if a control replica or an entry cannot start.
    pub async fn start(plan: &LocalPlan, root: &Path) -> Result<Self, LocalError> {
        let settings = LocalSettings::make(plan, root)?;
        let stop = CancellationToken::new();
        for control in &settings.controls {
            start_control(control.clone(), StartMode::Init, stop.clone())?;
        }
        let mut entries = Vec::new();
        for entry in &settings.entries {
            entries.push(Entry::start(entry.clone(), stop.clone()).await?);
        }
        Ok(Self {
            settings,
            entries,
            stop,
        })
    }

    /// Returns the entries.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns the announcement addresses of the entries in a failure domain.
    pub fn announce_addrs(&self, domain: &str) -> Vec<SocketAddr> {
        self.settings
            .entries
            .iter()
            .filter(|entry| entry.domain == domain)
            .map(|entry| entry.listen.announcements)
            .collect()
    }

    /// Stops the fleet gracefully and waits until the entries have stopped.
    pub async fn stop(self) {
        self.stop.cancel();
        for entry in self.entries {
            entry.stopped().await;
        }
    }
}

/// Starts a control replica on its own thread.
///
/// # Errors
///
/// Fails if its data directory cannot be created or it cannot start.
pub fn start_control(
    settings: ControlSettings,
    start: StartMode,
    stop: CancellationToken,
) -> Result<(), LocalError> {
    let creds = Credentials::load(&settings.keys)?;
    if start != StartMode::Existing {
        Control::create_data_folder(&settings, &creds, start)?;
    }
    let (tx, rx) = std::sync::mpsc::channel();
    thread::Builder::new()
        .name(format!("control-{}", settings.node))
        .spawn(move || run_control(settings, &creds, stop, &tx))?;
    match rx.recv() {
        Ok(opened) => Ok(opened?),
        Err(_) => {
            Err(io::Error::other("the control replica's thread exited during startup").into())
        }
    }
}

fn run_control(
    settings: ControlSettings,
    creds: &Credentials,
    stop: CancellationToken,
    tx: &std::sync::mpsc::Sender<Result<(), ControlError>>,
) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return;
    };
    runtime.block_on(async {
        match Control::open(settings, creds) {
            Err(e) => {
                let _ = tx.send(Err(e));
            }
            Ok(control) => {
                let _ = tx.send(Ok(()));
                if let Err(e) = control.run(stop).await {
                    log::error!("control replica: {e}");
                }
            }
        }
    });
}

/// Fake backend servers for the pools of a fleet file.
pub struct LocalServers {
    /// Model engines.
    pub runners: Vec<Runner>,
    /// Services that are not model engines.
    pub services: Vec<Service>,
}

impl LocalServers {
    /// Starts `count(pool)` backend servers for each pool, spread over the failure
    /// domains. Each announces itself to the entries of its own domain.
    ///
    /// # Errors
    ///
    /// Fails if a fake backend server cannot listen.
    pub async fn start(
        fleet: &Fleet,
        count: impl Fn(&str) -> usize,
        entries: impl Fn(&str) -> Vec<SocketAddr>,
        base: &RunnerConfig,
        cancel: &CancellationToken,
    ) -> Result<Self, LocalError> {
        let mut servers = Self {
            runners: Vec::new(),
            services: Vec::new(),
        };
        for pool in &fleet.pools {
            for n in 0..count(&pool.name) {
                let domain = &fleet.domains[n % fleet.domains.len()];
                let announce = AnnounceConfig {
                    entries: entries(domain),
                    key: ANNOUNCE_KEY.into(),
                    pool: pool.name.clone(),
                    domain: domain.clone(),
                    ..AnnounceConfig::default()
                };
                match pool.kind {
                    PoolKind::Engine => {
                        let cfg = RunnerConfig {
                            announce,
                            versions: initial_versions(fleet, &pool.name),
                            slots: pool.slots as usize,
                            seed: n as u64,
                            ..base.clone()
                        };
                        servers
                            .runners
                            .push(Runner::start(cfg, cancel.clone()).await?);
                    }
                    PoolKind::Service => {
                        let cfg = ServiceConfig {
                            announce,
                            lookup: pool.lookup,
                            ..ServiceConfig::default()
                        };
                        servers
                            .services
                            .push(Service::start(cfg, cancel.clone()).await?);
                    }
                }
            }
        }
        Ok(servers)
    }
}

/// Returns the versions that engines have loaded at startup. A version in
/// rollout is excluded, as it is loaded by order of the control group.
fn initial_versions(fleet: &Fleet, pool: &str) -> Vec<SmolStr> {
    fleet
        .models
        .iter()
        .filter(|model| model.pool == pool)
        .flat_map(|model| {
            model
                .versions
                .iter()
                .filter(|version| version.state != VersionState::Rolling)
                .map(|version| sesamebeam_core::ids::join_version(&model.name, &version.name))
        })
        .collect()
}

fn allocate_replicas(plan: &LocalPlan) -> Result<Vec<ReplicaAddress>, LocalError> {
    (1..=plan.domains.len())
        .map(|node| {
            Ok(ReplicaAddress {
                node: node as NodeId,
                addr: free_udp()?,
            })
        })
        .collect()
}

fn allocate_entries(plan: &LocalPlan) -> Result<Vec<PeerEntry>, LocalError> {
    let mut entries = Vec::new();
    for domain in &plan.domains {
        for n in 1..=plan.entries {
            let instance: InstanceId = format_smolstr!("{domain}-{n}");
            entries.push(PeerEntry {
                instance,
                domain: domain.clone(),
                addr: free_udp()?,
            });
        }
    }
    Ok(entries)
}

fn create_dir(root: &Path, name: &str) -> io::Result<PathBuf> {
    let dir = root.join(name);
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// First port of the range that is tried. The range lies below the ephemeral
/// ports of the operating system, so that no outgoing connection takes a port
/// between this check and the start of the process that listens on it.
const FIRST_PORT: u32 = 10_240;

/// Number of ports in the range.
const PORT_COUNT: u32 = 20_000;

/// Offset of the next port to try in this process.
static NEXT_PORT_OFFSET: AtomicU32 = AtomicU32::new(0);

fn free_udp() -> io::Result<SocketAddr> {
    free_port(|addr| UdpSocket::bind(addr).map(drop))
}

fn free_tcp() -> io::Result<SocketAddr> {
    free_port(|addr| std::net::TcpListener::bind(addr).map(drop))
}

fn free_port(bind: impl Fn(SocketAddr) -> io::Result<()>) -> io::Result<SocketAddr> {
    let start = std::process::id().wrapping_mul(211);
    for _ in 0..PORT_COUNT {
        let offset = start.wrapping_add(NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + offset % PORT_COUNT;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
