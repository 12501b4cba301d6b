//! The daemon of a control replica for gateways: edges round [`Coordinator`].
//!
//! One task owns the coordinator and matches on one enum of inputs. The group
//! forms, admits and replaces its replicas by itself.

mod clock;
mod folder;
mod http;
mod join;
mod links;
mod notes;
mod peer;
pub mod roster;

use std::{
    collections::HashMap,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use sesamebeam_core::{
    gateway::{
        coordinator::{
            Action,
            Answer,
            Call,
            Coordinator,
            CoordinatorConfig,
            EntryLife,
            Event,
            Peers,
            Receivers, //
        },
        directory::Announcement,
        feed::{
            Between,
            Question,
            Reply,
            Summary,
            ToEntry, //
        },
    },
    ids::{
        DomainId,
        NodeId, //
    },
    replica::{
        Members,
        ReplicaConfig,
        Saved,
        Ticket, //
    },
};
use thiserror::Error;
use tokio::{
    sync::{
        mpsc::{
            Sender,
            UnboundedReceiver,
            UnboundedSender,
            error::TrySendError,
            unbounded_channel, //
        },
        oneshot, watch,
    },
    time::sleep,
};
use tokio_util::sync::CancellationToken;

pub use self::http::{
    CallFault,
    ControlProtocol, //
};
use self::{
    clock::Clock,
    join::Place,
    peer::PeerSender, //
};
use crate::{
    control::disk_thread::{
        DiskNotice,
        DiskThread, //
    },
    disk::{
        Disk,
        DiskError,
        Identity, //
    },
    exposition::{
        Exposition,
        Level,
        Way, //
    },
    frames,
    listen::ListenError,
};

/// Pause between two heartbeats of a leader. A sixth of the election time-out,
/// so that lost packets do not end a leadership.
const HEARTBEAT: Duration = Duration::from_millis(60);

/// Shortest election time-out. A new leader and its first entry within a second
/// of the loss; three times the pause of an instance whose share of a processor
/// is used up until the next tenth of a second.
const ELECTION: Duration = Duration::from_millis(350);

/// Leader lease: two heartbeats and a round trip. After a loss of all power nobody
/// votes until it is over, counted from its own start, since it may have promised
/// it: with 280 ms a leader stood 0.3 s after a quorum of the replicas did.
const LEASE: Duration = Duration::from_millis(150);

/// Most that clocks' rates differ from true time.
const DRIFT: f64 = 0.01;

/// Most bytes of entries in one message or write; a configuration of 4 MiB
/// still goes as one.
const MAX_BATCH: usize = 1 << 20;

/// Bytes in a part of a snapshot.
const SNAPSHOT_CHUNK: usize = 256 << 10;

/// Entries between snapshots. Configurations are some kilobytes, so that the
/// log stays within a few megabytes of a disk of 128.
const SNAPSHOT_EVERY: u64 = 200;

/// Longest time for an answer to a caller, who asks another replica after a
/// second.
const PATIENCE: Duration = Duration::from_millis(800);

/// Time for a sync after which the disk counts as stalled. Slow disks take
/// tens of milliseconds.
const DISK_PATIENCE: Duration = Duration::from_millis(600);

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Name for logs.
    pub name: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where operators and backend servers call.
    pub control: SocketAddr,
    /// Where other processes of the system call.
    pub internal: SocketAddr,
    /// Control addresses of some replicas.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Data folder.
    pub data: PathBuf,
    /// Replicas that may be lost at once.
    pub tolerated: usize,
    /// Share of a service's requests that a bad version may get.
    pub exposure: f64,
}

/// Why a control replica had to stop.
#[derive(Debug, Error)]
pub enum GroupError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// An address cannot be used.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The disk thread cannot be started.
    #[error("cannot start the disk thread: {0}")]
    Thread(io::Error),
}

/// What the task that owns the coordinator takes.
#[derive(Debug)]
enum Input {
    /// An event without an answer.
    Event(Event),
    /// An entry has connected.
    Entry(EntryLife, EntryLink),
    /// A connection of an entry has ended, by its number.
    EntryLost(EntryLife, u64),
    /// A process asks about the group.
    Asked(Question, oneshot::Sender<Reply>),
    /// A caller asks for something.
    Called(Call, oneshot::Sender<Answer>),
    /// Replies to this process's own questions about the group.
    Learned(Vec<(NodeId, SocketAddr)>),
    /// The process at this address says that it leads the group.
    Leader(SocketAddr),
    /// A leader says that this process is no member.
    Removed,
    /// The group in which this process may ask for a place.
    Group(u128),
    /// A disk tells something.
    Disk(Incarnation, DiskNotice),
}

/// A connection of an entry.
#[derive(Debug)]
struct EntryLink {
    /// Tells it from others of the same entry: one that has lost its path ends
    /// seconds after the entry has made another.
    number: u64,
    tx: Sender<Bytes>,
}

impl EntryLink {
    fn new(tx: Sender<Bytes>) -> Self {
        let number = rand::random();
        Self { number, tx }
    }

    /// Hands it a message and returns whether it keeps up.
    fn push(&self, message: &Bytes) -> bool {
        !matches!(
            self.tx.try_send(message.clone()),
            Err(TrySendError::Full(_))
        )
    }
}

/// Incarnation of a data folder.
type Incarnation = u128;

/// Sends inputs to the task that owns the coordinator.
type Inputs = UnboundedSender<Input>;

/// A running control replica.
struct Runner {
    settings: GroupSettings,
    clock: Clock,
    core: Coordinator,
    disk: Option<(Incarnation, DiskThread)>,
    /// Folder that is in use.
    folder: PathBuf,
    tx: Inputs,
    senders: HashMap<NodeId, PeerSender>,
    entries: HashMap<EntryLife, EntryLink>,
    /// Message that says what this replica holds.
    alive: watch::Sender<Bytes>,
    /// Backend servers to be kept on the disk.
    roster: watch::Sender<Arc<[Announcement]>>,
    questions: HashMap<Ticket, oneshot::Sender<Reply>>,
    calls: HashMap<Ticket, oneshot::Sender<Answer>>,
    next_ticket: Ticket,
    place: watch::Sender<Place>,
    meters: Arc<Exposition>,
    halt: CancellationToken,
}

/// Runs a control replica until cancelled.
///
/// # Errors
///
/// Fails if an address or the data folder cannot be used.
pub async fn run(
    settings: GroupSettings,
    protocol: Arc<dyn ControlProtocol>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    meters: Arc<Exposition>,
    cancel: CancellationToken,
) -> Result<(), GroupError> {
    let (tx, rx) = unbounded_channel();
    let halt = cancel.child_token();
    let clock = Clock::start();
    let cfg = CoordinatorConfig {
        addr: settings.internal,
        domain: settings.domain.clone(),
        tolerated: settings.tolerated,
        exposure: settings.exposure,
        patience: PATIENCE,
        disk_patience: DISK_PATIENCE,
    };
    let (place, place_rx) = watch::channel(Place::default());
    let (alive, alive_rx) = watch::channel(Bytes::new());
    let (roster, roster_rx) = watch::channel(Arc::from([]));
    let mut runner = Runner {
        core: Coordinator::new(cfg, clock.now()),
        clock,
        disk: None,
        folder: PathBuf::new(),
        tx: tx.clone(),
        senders: HashMap::new(),
        entries: HashMap::new(),
        alive,
        roster,
        questions: HashMap::new(),
        calls: HashMap::new(),
        next_ticket: 0,
        place,
        meters,
        halt: halt.clone(),
        settings: settings.clone(),
    };
    runner.hold(Summary::default());
    runner.open()?;
    runner.recall();
    tokio::spawn(roster::keep(settings.data.clone(), roster_rx, halt.clone()));
    tokio::spawn(join::follow_seeds(
        settings.clone(),
        seeds.clone(),
        tx.clone(),
        halt.clone(),
    ));
    links::start(&settings, tx.clone(), alive_rx, halt.clone()).await?;
    http::start(&settings, protocol, tx.clone(), halt.clone()).await?;
    tokio::spawn(join::run(settings, seeds, place_rx, tx, halt.clone()));
    let ended = runner.run(rx, &cancel).await;
    halt.cancel();
    ended
}

impl Runner {
    async fn run(
        &mut self,
        mut rx: UnboundedReceiver<Input>,
        cancel: &CancellationToken,
    ) -> Result<(), GroupError> {
        loop {
            let wait = self.core.next_wake().saturating_sub(self.clock.now());
            tokio::select! {
                () = cancel.cancelled() => return Ok(()),
                input = rx.recv() => match input {
                    Some(input) => self.take(input)?,
                    None => return Ok(()),
                },
                () = sleep(wait) => self.event(Event::Tick),
            }
        }
    }

    fn take(&mut self, input: Input) -> Result<(), GroupError> {
        match input {
            Input::Event(event) => self.event(event),
            Input::Entry(life, link) => {
                self.entries.insert(life, link);
                self.event(Event::Subscribed(life));
            }
            Input::EntryLost(life, number) => {
                let is_last = |link: &EntryLink| link.number == number;
                if self.entries.get(&life).is_none_or(is_last) {
                    self.entries.remove(&life);
                    self.event(Event::Unsubscribed(life));
                }
            }
            Input::Asked(question, back) => {
                let ticket = self.ticket();
                self.questions.insert(ticket, back);
                self.event(Event::Asked(ticket, question));
            }
            Input::Called(call, back) => {
                let ticket = self.ticket();
                self.calls.insert(ticket, back);
                self.event(Event::Called(ticket, call));
            }
            Input::Learned(peers) => {
                self.core.learn_peers(peers);
                self.event(Event::Tick);
            }
            Input::Leader(leader) => self.core.learn_leader(self.clock.now(), leader),
            Input::Group(group) => self.prepare(group)?,
            Input::Removed => self.give_up_place()?,
            Input::Disk(incarnation, notice) => self.disk_tells(incarnation, notice)?,
        }
        self.tell_place();
        Ok(())
    }

    /// Takes what the disk in use tells. One of a place before may answer late;
    /// its writes have the numbers of others now.
    fn disk_tells(
        &mut self,
        incarnation: Incarnation,
        notice: DiskNotice,
    ) -> Result<(), GroupError> {
        if self.disk.as_ref().is_none_or(|(i, _)| *i != incarnation) {
            return Ok(());
        }
        match notice {
            DiskNotice::Synced(write) => self.event(Event::Synced(write)),
            DiskNotice::Full(full) => self.event(Event::DiskFull(full)),
            DiskNotice::Failed(e) => return Err(e.into()),
        }
        Ok(())
    }

    /// Starts over, as the group has given this replica's place to another.
    fn give_up_place(&mut self) -> Result<(), GroupError> {
        if self.disk.take().is_none() {
            return Ok(());
        }
        log::warn!(folder:% = self.folder.display(); "place in the group given up");
        folder::give_up(&self.folder)?;
        self.core.leave();
        self.place.send_replace(Place::default());
        Ok(())
    }

    fn event(&mut self, event: Event) {
        // The clock is read here, after every wait: a replica that was
        // suspended must not act on a lease that ended meanwhile.
        let actions = self.core.handle(self.clock.now(), event);
        self.carry(actions);
    }

    fn carry(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, message),
                Action::Write { write, ops } => {
                    if let Some((_, disk)) = &self.disk {
                        disk.write(write, ops);
                    }
                }
                Action::Tell { to, told } => {
                    tokio::spawn(join::tell(to, told));
                }
                Action::Reply(ticket, reply) => {
                    if let Some(back) = self.questions.remove(&ticket) {
                        let _ = back.send(reply);
                    }
                }
                Action::Answer(ticket, answer) => {
                    if let Some(back) = self.calls.remove(&ticket) {
                        let _ = back.send(answer);
                    }
                }
                Action::Push(to, message) => self.push(to, &message),
                Action::Holds(summary) => self.hold(summary),
                Action::KeepServers(servers) => {
                    self.roster.send_replace(servers.into());
                }
                Action::Peers(peers) => self.set_peers(&peers),
                Action::Note(note) => notes::log(&note),
            }
        }
    }

    fn send(&mut self, to: NodeId, message: Between) {
        if let Some(sender) = self.senders.get(&to) {
            sender.send(message);
        }
    }

    /// Hands a message to the connections of entries. One that does not keep up
    /// is cut, and told what it lacks when it comes back.
    fn push(&mut self, to: Receivers, message: &ToEntry) {
        let Some(bytes) = encode(message) else {
            return;
        };
        let receivers = match &to {
            Receivers::These(lives) => lives.len(),
            Receivers::All => self.entries.len(),
        };
        self.meters
            .message(Way::ToEntries, message.kind(), bytes.len(), receivers);
        match to {
            Receivers::These(lives) => {
                for life in lives {
                    if self
                        .entries
                        .get(&life)
                        .is_some_and(|link| !link.push(&bytes))
                    {
                        self.entries.remove(&life);
                    }
                }
            }
            Receivers::All => self.entries.retain(|_, link| link.push(&bytes)),
        }
    }

    /// Learns the backend servers that the disk keeps.
    fn recall(&mut self) {
        match roster::read(&self.settings.data) {
            Ok(servers) => {
                log::info!(servers = servers.len(); "backend servers recalled");
                self.event(Event::Servers(servers));
            }
            Err(e) => log::warn!(error:% = e; "backend servers not recalled"),
        }
    }

    /// Has all entries told now and then what this replica holds.
    fn hold(&mut self, summary: Summary) {
        if let Some(bytes) = encode(&ToEntry::Alive(summary)) {
            self.alive.send_replace(bytes);
        }
    }

    /// Keeps a connection to each other replica.
    ///
    /// One that was opened under a number that this process has given up is
    /// opened anew: the others would take what it says for the old replica's,
    /// so that its new place would never be filled.
    fn set_peers(&mut self, peers: &Peers) {
        let id = self.core.id();
        let own = id.unwrap_or_default();
        self.senders.retain(|&node, sender| {
            let addr = peers.addr(node);
            addr.is_some_and(|addr| sender.connects(own, addr))
        });
        for (node, addr) in peers.all() {
            if Some(node) == id || self.senders.contains_key(&node) {
                continue;
            }
            let (inputs, halt) = (self.tx.clone(), self.halt.child_token());
            let sender = PeerSender::start(own, node, addr, inputs, halt);
            self.senders.insert(node, sender);
        }
    }

    /// Opens the data folder, or makes it if this process is one of the first
    /// replicas.
    fn open(&mut self) -> Result<(), GroupError> {
        if let Some(path) = folder::current(&self.settings.data) {
            let (disk, saved) = Disk::open(&path)?;
            self.folder = path;
            return self.start(disk, saved, Members::default());
        }
        match join::first_group(&self.settings) {
            Some((identity, members)) => self.make_folder(&identity, members),
            None => Ok(()),
        }
    }

    /// Makes a data folder for a place in a group that others have formed.
    fn prepare(&mut self, group: u128) -> Result<(), GroupError> {
        if self.disk.is_some() {
            return Ok(());
        }
        let identity = Identity {
            group,
            node: rand::random(),
            incarnation: rand::random(),
        };
        self.make_folder(&identity, Members::default())
    }

    fn make_folder(&mut self, identity: &Identity, members: Members) -> Result<(), GroupError> {
        let path = folder::fresh(&self.settings.data);
        Disk::create(&path, identity)?;
        let (disk, saved) = Disk::open(&path)?;
        self.folder = path;
        self.start(disk, saved, members)
    }

    fn start(&mut self, disk: Disk, saved: Saved, members: Members) -> Result<(), GroupError> {
        let identity = disk.identity();
        let tx = self.tx.clone();
        let incarnation = identity.incarnation;
        let tell = move |notice| tx.send(Input::Disk(incarnation, notice)).is_ok();
        let disk = DiskThread::start(disk, tell).map_err(GroupError::Thread)?;
        self.disk = Some((incarnation, disk));
        let cfg = replica_config(&identity, members);
        let actions = self.core.start(cfg, saved, self.clock.now());
        self.carry(actions);
        self.place
            .send_modify(|place| place.identity = Some(identity));
        self.tell_place();
        Ok(())
    }

    /// Tells the joining task how this process stands in the group.
    fn tell_place(&self) {
        let config = self.core.store().config();
        self.meters
            .set(Level::Config, config.map_or(0, |c| c.version));
        self.meters.set(Level::Leads, u64::from(self.core.leads()));
        self.meters.set(Level::Entries, self.entries.len() as u64);
        let member = self.core.is_member();
        let settled = member && self.core.knows_leader();
        let known = self.core.peers().addrs();
        self.place.send_if_modified(|place| {
            let next = Place {
                identity: place.identity,
                settled,
                had_place: place.had_place || member,
                known,
            };
            let changed = next != *place;
            *place = next;
            changed
        });
    }

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }
}

/// Encodes a message for entries.
fn encode(message: &ToEntry) -> Option<Bytes> {
    let encoded = frames::encode(message);
    encoded
        .inspect_err(|e| log::error!(error:% = e; "message to entries has no encoding"))
        .ok()
}

/// Returns where a process on the instance of a control address listens for
/// others: the ports are the same on all instances.
fn internal_of(settings: &GroupSettings, control: SocketAddr) -> SocketAddr {
    SocketAddr::new(control.ip(), settings.internal.port())
}

/// Returns where callers reach a process that listens at an internal address.
fn control_of(settings: &GroupSettings, internal: IpAddr) -> SocketAddr {
    SocketAddr::new(internal, settings.control.port())
}

fn replica_config(identity: &Identity, members: Members) -> ReplicaConfig {
    ReplicaConfig {
        id: identity.node,
        group: identity.group,
        incarnation: identity.incarnation,
        members,
        heartbeat: HEARTBEAT,
        election: ELECTION,
        lease: LEASE,
        drift: DRIFT,
        max_batch_bytes: MAX_BATCH,
        snapshot_every: SNAPSHOT_EVERY,
        snapshot_chunk: SNAPSHOT_CHUNK,
        eager: true,
        seed: rand::random(),
        faults: Default::default(),
    }
}
