//! The control daemon: edges round [`ControlCore`].
//!
//! One task owns the core and matches on one enum of inputs; the disk has a
//! thread of its own, and each other replica a sending task.

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
        Role as Standing, //
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
        Back,
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

/// Messages waiting for one replica; more are dropped, as the network may.
const MAX_WAITING: usize = 1024;

/// Longest time for sending one message to a replica.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for another replica when the group is made: those that are not
/// there yet do not answer.
const UNFORMED_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest wait for a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Leader lease as a share of the shortest election time-out.
const LEASE_SHARE: f64 = 0.8;

/// Most bytes of entries in one message or one write.
const MAX_BATCH: usize = 1 << 20;

/// Bytes in a part of a snapshot.
const SNAPSHOT_CHUNK: usize = 256 << 10;

/// Why a control replica could not start or had to stop.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The keys cannot be read.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The link cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// Metrics cannot be sent.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The disk thread cannot be started.
    #[error("cannot start the disk thread: {0}")]
    Thread(io::Error),
    /// The data folder is another replica's, or of another fleet.
    #[error("the data folder is that of replica {found} of group {group:032x}")]
    NotOurs {
        /// Replica whose folder it is.
        found: NodeId,
        /// Group whose folder it is.
        group: u128,
    },
    /// The group exists, so `--init` would bring a lost disk back.
    #[error(
        "replica {0} has a configuration already, so the group is not made anew; \
         a replica whose disk was lost is replaced: see --join"
    )]
    Formed(NodeId),
    /// The log holds what this release does not understand.
    #[error("stopped: {0}")]
    Stopped(String),
}

/// How a replica comes by its data folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The folder must be there.
    Existing,
    /// The group is made anew: each of its first replicas makes its folder.
    Init,
    /// The replica takes the place of a lost one and makes its folder with an
    /// incarnation of its own, which `control replace` tells the group.
    Join,
}

/// What the replica's task takes.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(ControlEvent),
    /// A client's request.
    Client(Ticket, ControlRequest, Back),
    /// The disk failed for good.
    DiskFailed(DiskError),
}

/// A control replica that is ready to run.
pub struct Control {
    settings: ControlSettings,
    link: Arc<Link>,
    disk: Disk,
    saved: sesamebeam_core::replica::SavedState,
    identity: Identity,
}

impl Control {
    /// Opens the data folder, made by [`Control::make_folder`], and the link.
    ///
    /// # Errors
    ///
    /// Fails if the folder is missing, damaged, in use or not this replica's,
    /// or the address is taken.
    pub fn open(settings: ControlSettings, creds: &Credentials) -> Result<Self, ControlError> {
        let (disk, saved) = Disk::open(&settings.data)?;
        let identity = disk.identity();
        if identity.node != settings.node || identity.group != creds.fleet() {
            return Err(ControlError::NotOurs {
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

    /// Makes the data folder and returns its incarnation.
    ///
    /// # Errors
    ///
    /// Fails if there is a folder or it cannot be written.
    pub fn make_folder(
        settings: &ControlSettings,
        creds: &Credentials,
        start: Start,
    ) -> Result<u128, ControlError> {
        let incarnation = match start {
            Start::Join | Start::Existing => rand::random(),
            Start::Init => first_incarnation(creds.fleet(), settings.node),
        };
        let identity = Identity {
            group: creds.fleet(),
            node: settings.node,
            incarnation,
        };
        Disk::create(&settings.data, &identity)?;
        Ok(incarnation)
    }

    /// Asks the other replicas whether the group exists already, and fails if it
    /// does.
    ///
    /// `--init` on a replica whose disk was lost would bring it back under its
    /// old incarnation with its votes and entries forgotten: two leaders could
    /// then win one term, and committed entries could be lost.
    ///
    /// # Errors
    ///
    /// Fails if a replica that answers has committed anything.
    pub async fn check_unformed(
        settings: &ControlSettings,
        creds: &Credentials,
    ) -> Result<(), ControlError> {
        // A port of its own: the others may be asking this one's address too.
        let from = SocketAddr::new(settings.listen.ip(), 0);
        let link = Arc::new(Link::bind(from, creds)?);
        let pool = PeerPool::new(Arc::clone(&link), rand::random());
        let others = settings.replicas.iter().filter(|r| r.node != settings.node);
        let asked = join_all(others.map(|replica| {
            let caller = pool.get(replica.addr, Some(Role::Control(replica.node)));
            async move {
                let asked = caller.call(&ControlRequest::Status, UNFORMED_TIMEOUT).await;
                let formed = matches!(asked, Ok(ControlReply::Status(s)) if s.revision > 0);
                formed.then_some(replica.node)
            }
        }))
        .await;
        let formed = asked.into_iter().flatten().next();
        link.close();
        match formed {
            Some(node) => Err(ControlError::Formed(node)),
            None => Ok(()),
        }
    }

    /// Address of the link.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.link.local_addr()
    }

    /// Runs the replica until cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or the log holds what is not understood.
    pub async fn run(self, cancel: CancellationToken) -> Result<(), ControlError> {
        let (tx, rx) = unbounded_channel();
        let back = tx.clone();
        let tell = move |notice| back.send(disk_input(notice)).is_ok();
        let disk = DiskThread::start(self.disk, tell).map_err(ControlError::Thread)?;
        let pool = PeerPool::new(Arc::clone(&self.link), rand::random());
        let start = Instant::now();
        let cfg = core_config(&self.settings, &self.identity);
        let (core, actions) = ControlCore::new(cfg, self.saved, start.elapsed());
        let halt = cancel.child_token();
        tokio::spawn(serve::serve(
            Arc::clone(&self.link),
            tx.clone(),
            halt.clone(),
        ));
        let mut runner = Runner {
            node: self.settings.node,
            metrics: Metrics::start(&self.settings.metrics, "control")?,
            addrs: first_addrs(&self.settings),
            core,
            disk,
            pool,
            peers: HashMap::new(),
            clients: HashMap::new(),
            engines: Client::new(CONNECT_TIMEOUT),
            start,
            tx,
            halt: halt.clone(),
        };
        runner.carry(actions)?;
        let ended = runner.run(rx, &cancel).await;
        halt.cancel();
        self.link.close();
        self.link.wait_closed().await;
        ended
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
    addrs: BTreeMap<NodeId, SocketAddr>,
    core: ControlCore,
    disk: DiskThread,
    pool: PeerPool,
    peers: HashMap<NodeId, (SocketAddr, Sender<ReplicaMessage>)>,
    clients: HashMap<Ticket, Back>,
    engines: Client,
    start: Instant,
    tx: UnboundedSender<Input>,
    halt: CancellationToken,
}

impl Runner {
    async fn run(
        &mut self,
        mut rx: UnboundedReceiver<Input>,
        cancel: &CancellationToken,
    ) -> Result<(), ControlError> {
        loop {
            let wake = self.start + self.core.next_wake();
            tokio::select! {
                () = cancel.cancelled() => return Ok(()),
                input = rx.recv() => match input {
                    Some(input) => self.take(input)?,
                    None => return Ok(()),
                },
                () = sleep_until(wake.into()) => self.event(ControlEvent::Tick)?,
            }
        }
    }

    fn take(&mut self, input: Input) -> Result<(), ControlError> {
        match input {
            Input::Event(event) => {
                if let ControlEvent::ClientDisconnected { ticket } = &event {
                    self.clients.remove(ticket);
                }
                self.event(event)
            }
            Input::Client(ticket, req, back) => {
                self.clients.insert(ticket, back);
                self.event(ControlEvent::Client { ticket, req })
            }
            Input::DiskFailed(e) => Err(e.into()),
        }
    }

    fn event(&mut self, event: ControlEvent) -> Result<(), ControlError> {
        // The clock is read here, after every wait: a frozen replica must not
        // act on a lease that ended while it was frozen.
        let actions = self.core.handle(self.now(), event);
        self.carry(actions)
    }

    fn carry(&mut self, actions: Vec<ControlAction>) -> Result<(), ControlError> {
        for action in actions {
            match action {
                ControlAction::Send { to, message } => self.send(to, message),
                ControlAction::Write { write, ops } => self.disk.write(write, ops),
                ControlAction::Reply { ticket, reply } => {
                    if let Some(back) = self.clients.remove(&ticket) {
                        let _ = back.send(reply);
                    }
                }
                ControlAction::Order(order) => self.order(order),
                ControlAction::Members(members) => self.learn(&members),
                ControlAction::Notice(ControlNotice::Stopped(cause)) => {
                    return Err(ControlError::Stopped(format!("{cause:?}")));
                }
                ControlAction::Notice(notice) => take_notice(self.node, &self.metrics, &notice),
            }
        }
        Ok(())
    }

    fn send(&mut self, to: NodeId, message: ReplicaMessage) {
        let Some(addr) = self.addrs.get(&to).copied() else {
            return;
        };
        let known = self.peers.get(&to).filter(|(at, _)| *at == addr);
        if known.is_none() {
            let caller = self.pool.get(addr, Some(Role::Control(to)));
            let (tx, rx) = channel(MAX_WAITING);
            tokio::spawn(send_all(caller, rx, self.halt.clone()));
            self.peers.insert(to, (addr, tx));
        }
        if let Some((_, tx)) = self.peers.get(&to) {
            let _ = tx.try_send(message);
        }
    }

    fn order(&self, order: command::Order) {
        let (client, tx) = (self.engines.clone(), self.tx.clone());
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

    /// Replicas that were added later have their addresses in the log.
    fn learn(&mut self, members: &Members) {
        for (node, member) in &members.members {
            if let Some(addr) = member.addr {
                self.addrs.insert(*node, addr);
            }
        }
    }

    fn now(&self) -> MonoTime {
        self.start.elapsed()
    }
}

async fn send_all(
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
        // The log repeats what does not arrive.
        let _ = caller.send(&message, SEND_TIMEOUT).await;
    }
}

/// Incarnation of the folder of one of the first replicas: known to all of
/// them without asking, since it follows from the fleet and the number.
fn first_incarnation(fleet: u128, node: NodeId) -> u128 {
    let mut seed = fleet.to_le_bytes().to_vec();
    seed.extend_from_slice(&node.to_le_bytes());
    xxh3_128(&seed)
}

fn first_addrs(settings: &ControlSettings) -> BTreeMap<NodeId, SocketAddr> {
    settings.replicas.iter().map(|r| (r.node, r.addr)).collect()
}

fn core_config(settings: &ControlSettings, identity: &Identity) -> ControlConfig {
    let timings = &settings.timings;
    let first = settings
        .replicas
        .iter()
        .map(|r| (r.node, first_incarnation(identity.group, r.node)));
    let replica = ReplicaConfig {
        id: identity.node,
        group: identity.group,
        incarnation: identity.incarnation,
        members: Members::of_voters(first),
        heartbeat_interval: timings.heartbeat,
        election_timeout: timings.election_min,
        lease: timings.election_min.mul_f64(LEASE_SHARE),
        clock_drift: timings.clock_drift,
        max_batch_bytes: MAX_BATCH,
        snapshot_every: timings.snapshot_every,
        snapshot_chunk: SNAPSHOT_CHUNK,
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

fn take_notice(node: NodeId, metrics: &Metrics, notice: &ControlNotice) {
    match notice {
        ControlNotice::Role(role) => {
            log::info!("event=role replica={node} role={role:?}");
            metrics.gauge(Gauge::Leader, u64::from(*role == Standing::Leader));
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
