//! A whole fleet on loopback in one process: for `dev`, tests and benches.
//!
//! The daemons' own code runs here, over real sockets; only the processes are
//! missing. Each control replica has a thread of its own, as it has a process
//! of its own elsewhere.

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

/// Key that the fakes announce themselves with.
pub const ANNOUNCE_KEY: &str = "announce-local";

/// Secret of session tokens.
pub const SESSION_SECRET: &[u8] = b"local session secret";

/// Why a local fleet could not start.
#[derive(Debug, Error)]
pub enum LocalError {
    /// A key cannot be made or written.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// A control replica cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// An entry cannot start.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A fake cannot start.
    #[error(transparent)]
    Fake(#[from] FakeError),
    /// The operating system refuses.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// How large a local fleet is.
#[derive(Clone, Debug)]
pub struct LocalPlan {
    /// Failure domains, each with one control replica.
    pub domains: Vec<DomainId>,
    /// Entries in each failure domain.
    pub entries: usize,
    /// Times of the control replicas.
    pub control: ControlTimings,
    /// Times of the entries.
    pub entry: EntryTimings,
    /// Bounds of the entries.
    pub limits: EntryLimits,
    /// Address of a rating service.
    pub rating: Option<SocketAddr>,
}

impl LocalPlan {
    /// Plans three failure domains with one entry each, with short times.
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

/// Settings of every process of a fleet, with its keys.
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
    /// Draws free ports and writes keys into folders under `root`.
    ///
    /// # Errors
    ///
    /// Fails if keys cannot be made or written, or there is no free port.
    pub fn make(plan: &LocalPlan, root: &Path) -> Result<Self, LocalError> {
        let ca = FleetCa::generate("local")?;
        ca.save(&folder(root, "ca")?)?;
        let replicas = replicas(plan)?;
        let entries = entry_addrs(plan)?;
        let mut controls = Vec::new();
        for (replica, domain) in replicas.iter().zip(&plan.domains) {
            let keys = folder(root, &format!("control-{}", replica.node))?;
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
        let secret = root.join("session.secret");
        std::fs::write(&secret, SESSION_SECRET)?;
        let mut settings = Vec::new();
        for peer in &entries {
            let keys = folder(root, &peer.instance)?;
            ca.issue(&Role::Entry(peer.instance.clone()))?
                .save(&keys, &ca)?;
            settings.push(EntrySettings {
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
                session_secret: secret.clone(),
                rating: plan.rating,
                metrics: MetricsSettings::default(),
                log: LogSettings::default(),
                limits: plan.limits.clone(),
                timings: plan.entry.clone(),
            });
        }
        let keys = folder(root, "operator")?;
        ca.issue(&Role::Operator("local".into()))?
            .save(&keys, &ca)?;
        Ok(Self {
            ca,
            controls,
            entries: settings,
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
    /// Settings of its parts.
    pub settings: LocalSettings,
    entries: Vec<Entry>,
    stop: CancellationToken,
}

impl LocalFleet {
    /// Starts control replicas and entries.
    ///
    /// # Errors
    ///
    /// Fails if a part cannot start.
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

    /// The entries.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Announcement addresses of the entries of a failure domain.
    pub fn announce_addrs(&self, domain: &str) -> Vec<SocketAddr> {
        self.settings
            .entries
            .iter()
            .filter(|entry| entry.domain == domain)
            .map(|entry| entry.listen.announcements)
            .collect()
    }

    /// Stops as planned.
    pub async fn stop(self) {
        self.stop.cancel();
        for entry in self.entries {
            entry.stopped().await;
        }
    }
}

/// Starts a control replica on a thread of its own.
///
/// # Errors
///
/// Fails if its folder cannot be made or it cannot start.
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
        Err(_) => Err(io::Error::other("the control thread ended at once").into()),
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

/// Fakes of the backend servers of a fleet file.
pub struct LocalServers {
    /// Model engines.
    pub runners: Vec<Runner>,
    /// Plain services.
    pub services: Vec<Service>,
}

impl LocalServers {
    /// Starts as many backend servers of each pool as `count` says, spread over
    /// the failure domains, which announce themselves to the entries there.
    ///
    /// # Errors
    ///
    /// Fails if a fake cannot listen.
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
                            versions: versions_of(fleet, &pool.name),
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

/// Versions that engines have from the start; one that rolls out is loaded by
/// the control group's orders.
fn versions_of(fleet: &Fleet, pool: &str) -> Vec<SmolStr> {
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

fn replicas(plan: &LocalPlan) -> Result<Vec<ReplicaAddress>, LocalError> {
    (1..=plan.domains.len())
        .map(|node| {
            Ok(ReplicaAddress {
                node: node as NodeId,
                addr: free_udp()?,
            })
        })
        .collect()
}

fn entry_addrs(plan: &LocalPlan) -> Result<Vec<PeerEntry>, LocalError> {
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

fn folder(root: &Path, name: &str) -> io::Result<PathBuf> {
    let folder = root.join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// First port that is tried. Ports below the range that the operating system
/// draws from itself cannot be taken by a connection between the check here
/// and the start of the process that is meant to have them.
const FIRST_PORT: u32 = 10_240;

/// Ports that are tried.
const PORTS: u32 = 20_000;

/// Ports handed out in this process.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

fn free_udp() -> io::Result<SocketAddr> {
    free_port(|addr| UdpSocket::bind(addr).map(drop))
}

fn free_tcp() -> io::Result<SocketAddr> {
    free_port(|addr| std::net::TcpListener::bind(addr).map(drop))
}

fn free_port(bind: impl Fn(SocketAddr) -> io::Result<()>) -> io::Result<SocketAddr> {
    let start = std::process::id().wrapping_mul(211);
    for _ in 0..PORTS {
        let at = start.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + at % PORTS;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
