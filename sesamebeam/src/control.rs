//! The control daemon: network, disk and timers around [`ControlCore`].
//!
//! One task owns the core and handles all inputs. A dedicated thread writes the
//! disk, and one task per remote replica sends messages.

pub mod disk_thread;
mod orders;
mod serve;

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    io,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use futures::future::join_all;
use sesamebeam_core::{
    control::{
        ControlAction,
        ControlConfig,
        ControlCore,
        ControlEvent,
        ControlNotice, //
    },
    ids::{
        MonoTime,
        NodeId, //
    },
    message::{
        command,
        control::{
            ControlReply,
            ControlRequest, //
        },
    },
    replica::{
        Members,
        ReplicaConfig,
        ReplicaMessage,
        Role as ReplicaRole, //
    },
};
use thiserror::Error;
use tokio::{
    sync::mpsc::{
        Receiver,
        Sender,
        UnboundedReceiver,
        UnboundedSender,
        channel,
        unbounded_channel, //
    },
    time::sleep_until,
};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_128;

use self::{
    disk_thread::{
        DiskNotice,
        DiskThread, //
    },
    serve::{
        ReplySender,
        Ticket, //
    },
};
use crate::{
    disk::{
        Disk,
        DiskError,
        Identity, //
    },
    http::client::Client,
    keys::{
        Credentials,
        KeyError, //
    },
    link::{
        Link,
        LinkError,
        PeerClient,
        PeerPool,
        Role, //
    },
    metrics::{
        Counter,
        Gauge,
        Metrics,
        MetricsError, //
    },
    settings::ControlSettings,
};

/// Capacity of the send queue of one replica. Further messages are dropped; the
/// protocol tolerates lost messages.
const SEND_QUEUE_CAPACITY: usize = 1024;

/// Timeout for sending one message to a replica.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the status request to each other replica at bootstrap. Replicas
/// that have not started yet do not reply.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for connecting to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Leader lease as a fraction of the minimum election timeout.
const LEASE_RATIO: f64 = 0.8;

/// Maximum size of the entries in one message or one disk write, in bytes.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Maximum size of log entries between snapshots, in bytes.
const SNAPSHOT_INTERVAL_BYTES: usize = 16 << 20;

/// Size of a snapshot chunk, in bytes.
const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;

/// Error that prevents a control replica from starting or stops it.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The data folder cannot be opened or written.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The keys cannot be read.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The link cannot be bound.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The metrics exporter cannot be started.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The disk thread cannot be started.
    #[error("cannot start the disk thread: {0}")]
    Thread(io::Error),
    /// The data folder belongs to another replica or fleet.
    #[error("the data folder belongs to replica {found} of group {group:032x}")]
    WrongIdentity {
        /// Replica ID stored in the folder.
        found: NodeId,
        /// Group ID stored in the folder.
        group: u128,
    },
    /// The group exists already. `--init` would restart a replica that lost its disk
    /// under its old incarnation.
    #[error(
        "replica {0} has a configuration already, so --init is refused; \
         to replace a replica that lost its disk, see --join"
    )]
    AlreadyBootstrapped(NodeId),
    /// The log contains data that this release does not support.
    #[error("stopped: {0}")]
    Stopped(String),
}

/// How a replica obtains its data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartMode {
    /// Opens a folder that must exist.
    Existing,
    /// Bootstraps the group: each initial replica creates its folder.
    Init,
    /// Replaces a lost replica: creates the folder with a new incarnation, which
    /// `control replace` registers with the group.
    Join,
}

/// Input of the replica's task.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(ControlEvent),
    /// A request from a client.
    Client(Ticket, ControlRequest, ReplySender),
    /// The disk failed permanently.
    DiskFailed(DiskError),
}

/// A control replica with its data folder and link open.
pub struct Control {
    settings: ControlSettings,
    link: Arc<Link>,
    disk: Disk,
    saved: sesamebeam_core::replica::SavedState,
    identity: Identity,
}

impl Control {
    /// Opens the data folder, which [`Control::create_data_folder`] created, and binds
    /// the link.
    ///
    /// # Errors
    ///
    /// Fails if the folder is missing, damaged, in use or belongs to another
    /// replica, or if the address is in use.
    pub fn open(settings: ControlSettings, creds: &Credentials) -> Result<Self, ControlError> {
        let (disk, saved) = Disk::open(&settings.data)?;
        let identity = disk.identity();
        if identity.node != settings.node || identity.group != creds.fleet_digest() {
            return Err(ControlError::WrongIdentity {
                found: identity.node,
                group: identity.group,
            });
        }
        let link = Arc::new(Link::bind(settings.listen, creds)?);
        Ok(Self {
            settings,
            link,
            disk,
            saved,
            identity,
        })
    }

    /// Creates the data folder and returns its incarnation.
    ///
    /// # Errors
    ///
    /// Fails if a data folder exists already or it cannot be written.
    pub fn create_data_folder(
        settings: &ControlSettings,
        creds: &Credentials,
        start: StartMode,
    ) -> Result<u128, ControlError> {
        let incarnation = match start {
            StartMode::Join | StartMode::Existing => rand::random(),
            StartMode::Init => initial_incarnation(creds.fleet_digest(), settings.node),
        };
        let identity = Identity {
            group: creds.fleet_digest(),
            node: settings.node,
            incarnation,
        };
        Disk::create(&settings.data, &identity)?;
        Ok(incarnation)
    }

    /// Queries the other replicas and fails if the group exists already.
    ///
    /// `--init` on a replica that lost its disk would restart it under its old
    /// incarnation without its votes and entries. Two leaders could then be elected
    /// in one term, and committed entries could be lost.
    ///
    /// # Errors
    ///
    /// Fails if any replica that replies has a committed revision.
    pub async fn check_not_bootstrapped(
        settings: &ControlSettings,
        creds: &Credentials,
    ) -> Result<(), ControlError> {
        // Uses an ephemeral port, because the other replicas may be querying the
        // configured address at the same time.
        let from = SocketAddr::new(settings.listen.ip(), 0);
        let link = Arc::new(Link::bind(from, creds)?);
        let pool = PeerPool::new(Arc::clone(&link), rand::random());
        let others = settings.replicas.iter().filter(|r| r.node != settings.node);
        let replies = join_all(others.map(|replica| {
            let caller = pool.get(replica.addr, Some(Role::Control(replica.node)));
            async move {
                let reply = caller.call(&ControlRequest::Status, STATUS_TIMEOUT).await;
                let bootstrapped = matches!(reply, Ok(ControlReply::Status(s)) if s.revision > 0);
                bootstrapped.then_some(replica.node)
            }
        }))
        .await;
        let bootstrapped = replies.into_iter().flatten().next();
        link.close();
        match bootstrapped {
            Some(node) => Err(ControlError::AlreadyBootstrapped(node)),
            None => Ok(()),
        }
    }

    /// Returns the local address of the link.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not report the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.link.local_addr()
    }

    /// Runs the replica until cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or the log contains data that this release does not
    /// support.
    pub async fn run(self, cancel: CancellationToken) -> Result<(), ControlError> {
        let (tx, rx) = unbounded_channel();
        let input_tx = tx.clone();
        let notify = move |notice| input_tx.send(disk_input(notice)).is_ok();
        let disk = DiskThread::start(self.disk, notify).map_err(ControlError::Thread)?;
        let pool = PeerPool::new(Arc::clone(&self.link), rand::random());
        let start = Instant::now();
        let cfg = core_config(&self.settings, &self.identity);
        let (core, actions) = ControlCore::new(cfg, self.saved, start.elapsed());
        let shutdown = cancel.child_token();
        tokio::spawn(serve::serve(
            Arc::clone(&self.link),
            tx.clone(),
            shutdown.clone(),
        ));
        let mut runner = Runner {
            node: self.settings.node,
            metrics: Metrics::start(&self.settings.metrics, "control")?,
            addresses: initial_addresses(&self.settings),
            core,
            disk,
            pool,
            peers: HashMap::new(),
            clients: HashMap::new(),
            engine_client: Client::new(CONNECT_TIMEOUT),
            start,
            tx,
            shutdown: shutdown.clone(),
        };
        runner.perform_actions(actions)?;
        let result = runner.run(rx, &cancel).await;
        shutdown.cancel();
        self.link.close();
        self.link.wait_closed().await;
        result
    }
}

fn disk_input(notice: DiskNotice) -> Input {
    match notice {
        DiskNotice::Synced(write) => Input::Event(ControlEvent::Synced { write }),
        DiskNotice::Full(full) => Input::Event(ControlEvent::DiskFull(full)),
        DiskNotice::Failed(e) => Input::DiskFailed(e),
    }
}

/// The task that owns the core.
struct Runner {
    node: NodeId,
    metrics: Metrics,
    addresses: BTreeMap<NodeId, SocketAddr>,
    core: ControlCore,
    disk: DiskThread,
    pool: PeerPool,
    peers: HashMap<NodeId, (SocketAddr, Sender<ReplicaMessage>)>,
    clients: HashMap<Ticket, ReplySender>,
    engine_client: Client,
    start: Instant,
    tx: UnboundedSender<Input>,
    shutdown: CancellationToken,
}

impl Runner {
    async fn run(
        &mut self,
        mut rx: UnboundedReceiver<Input>,
        cancel: &CancellationToken,
    ) -> Result<(), ControlError> {
        loop {
            let next_wake = self.start + self.core.next_wake();
            tokio::select! {
                () = cancel.cancelled() => return Ok(()),
                input = rx.recv() => match input {
                    Some(input) => self.handle_input(input)?,
                    None => return Ok(()),
                },
                () = sleep_until(next_wake.into()) => self.handle_event(ControlEvent::Tick)?,
            }
        }
    }

    fn handle_input(&mut self, input: Input) -> Result<(), ControlError> {
        match input {
            Input::Event(event) => {
                if let ControlEvent::ClientDisconnected { ticket } = &event {
                    self.clients.remove(ticket);
                }
                self.handle_event(event)
            }
            Input::Client(ticket, req, reply_sender) => {
                self.clients.insert(ticket, reply_sender);
                self.handle_event(ControlEvent::Client { ticket, req })
            }
            Input::DiskFailed(e) => Err(e.into()),
        }
    }

    fn handle_event(&mut self, event: ControlEvent) -> Result<(), ControlError> {
        // The clock is read after every wait, so that a replica that was suspended
        // does not act on a lease that expired meanwhile.
        let actions = self.core.handle(self.now(), event);
        self.perform_actions(actions)
    }

    fn perform_actions(&mut self, actions: Vec<ControlAction>) -> Result<(), ControlError> {
        for action in actions {
            match action {
                ControlAction::Send { to, message } => self.send(to, message),
                ControlAction::Write { write, ops } => self.disk.write(write, ops),
                ControlAction::Reply { ticket, reply } => {
                    if let Some(reply_sender) = self.clients.remove(&ticket) {
                        let _ = reply_sender.send(reply);
                    }
                }
                ControlAction::Order(order) => self.send_order(order),
                ControlAction::Members(members) => self.update_addresses(&members),
                ControlAction::Notice(ControlNotice::Stopped(cause)) => {
                    return Err(ControlError::Stopped(format!("{cause:?}")));
                }
                ControlAction::Notice(notice) => report_notice(self.node, &self.metrics, &notice),
            }
        }
        Ok(())
    }

    fn send(&mut self, to: NodeId, message: ReplicaMessage) {
        let Some(addr) = self.addresses.get(&to).copied() else {
            return;
        };
        let sender = self
            .peers
            .get(&to)
            .filter(|(peer_addr, _)| *peer_addr == addr);
        if sender.is_none() {
            let caller = self.pool.get(addr, Some(Role::Control(to)));
            let (tx, rx) = channel(SEND_QUEUE_CAPACITY);
            tokio::spawn(send_messages(caller, rx, self.shutdown.clone()));
            self.peers.insert(to, (addr, tx));
        }
        if let Some((_, tx)) = self.peers.get(&to) {
            let _ = tx.try_send(message);
        }
    }

    fn send_order(&self, order: command::Order) {
        let (client, tx) = (self.engine_client.clone(), self.tx.clone());
        tokio::spawn(async move {
            let ok = orders::send(&client, &order).await;
            let event = ControlEvent::OrderResult {
                server: order.server,
                fencing: order.fencing,
                ok,
            };
            let _ = tx.send(Input::Event(event));
        });
    }

    /// Adds the addresses of replicas that joined after bootstrap, which only the log
    /// contains.
    fn update_addresses(&mut self, members: &Members) {
        for (node, member) in &members.members {
            if let Some(addr) = member.addr {
                self.addresses.insert(*node, addr);
            }
        }
    }

    fn now(&self) -> MonoTime {
        self.start.elapsed()
    }
}

async fn send_messages(
    caller: Arc<PeerClient>,
    mut rx: Receiver<ReplicaMessage>,
    cancel: CancellationToken,
) {
    loop {
        let message = tokio::select! {
            () = cancel.cancelled() => return,
            message = rx.recv() => message,
        };
        let Some(message) = message else {
            return;
        };
        // Lost messages are recovered by log replication, which resends.
        let _ = caller.send(&message, SEND_TIMEOUT).await;
    }
}

/// Returns the incarnation of an initial replica. It is derived from the fleet and
/// the replica ID, so that all initial replicas can compute it without
/// communication.
fn initial_incarnation(fleet: u128, node: NodeId) -> u128 {
    let mut seed = fleet.to_le_bytes().to_vec();
    seed.extend_from_slice(&node.to_le_bytes());
    xxh3_128(&seed)
}

fn initial_addresses(settings: &ControlSettings) -> BTreeMap<NodeId, SocketAddr> {
    settings.replicas.iter().map(|r| (r.node, r.addr)).collect()
}

fn core_config(settings: &ControlSettings, identity: &Identity) -> ControlConfig {
    let timings = &settings.timings;
    let voters = settings
        .replicas
        .iter()
        .map(|r| (r.node, initial_incarnation(identity.group, r.node)));
    let replica = ReplicaConfig {
        id: identity.node,
        group: identity.group,
        incarnation: identity.incarnation,
        members: Members::of_voters(voters),
        heartbeat_interval: timings.heartbeat,
        election_timeout: timings.election_min,
        lease: timings.election_min.mul_f64(LEASE_RATIO),
        clock_drift: timings.clock_drift,
        max_batch_bytes: MAX_BATCH_BYTES,
        snapshot_every: timings.snapshot_every,
        snapshot_every_bytes: SNAPSHOT_INTERVAL_BYTES,
        snapshot_chunk: SNAPSHOT_CHUNK_BYTES,
        fast_elections: false,
        seed: rand::random(),
        faults: Default::default(),
    };
    let mut cfg = ControlConfig::new(replica);
    cfg.entry_lease = timings.config_lease;
    cfg.network_bound = timings.network_bound;
    cfg.client_timeout = timings.commit_timeout;
    cfg.weight_store_bandwidth = settings.weight_store.bytes_per_second;
    cfg.retention = (&settings.retention).into();
    cfg
}

fn report_notice(node: NodeId, metrics: &Metrics, notice: &ControlNotice) {
    match notice {
        ControlNotice::Role(role) => {
            log::info!("event=role replica={node} role={role:?}");
            metrics.gauge(Gauge::Leader, u64::from(*role == ReplicaRole::Leader));
        }
        ControlNotice::Stopped(cause) => {
            log::error!("event=stopped replica={node} cause={cause:?}");
        }
        ControlNotice::Accepted(revision) => {
            log::info!("event=accepted revision={revision}");
            metrics.count(Counter::ChangesAccepted, 1);
        }
        ControlNotice::InForce(revision) => {
            log::info!("event=in_force revision={revision}");
            metrics.gauge(Gauge::Revision, *revision);
        }
        ControlNotice::Held(version) => {
            log::warn!("event=version_held version={version}");
            metrics.count(Counter::VersionsHeld, 1);
        }
        ControlNotice::Rollout { version, state } => {
            log::info!("event=rollout version={version} state={state:?}");
        }
        ControlNotice::Quarantined(fingerprint) => {
            log::warn!("event=quarantined fingerprint={fingerprint:032x}");
            metrics.count(Counter::Quarantined, 1);
        }
        ControlNotice::OrderFailed { server, fencing } => {
            log::warn!("event=order_failed server={server} fencing={fencing}");
            metrics.count(Counter::OrdersFailed, 1);
        }
    }
}
