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
mod place;
pub mod roster;
mod subscribers;

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
            ApiRequest,
            ApiResponse,
            Coordinator,
            CoordinatorConfig,
            EntryId,
            Event,
            Peers, //
        },
        directory::Announcement,
        messages::{
            CoordinatorMessage,
            MembershipReply,
            MembershipRequest,
            StateSummary,
            ToEntry, //
        },
    },
    ids::{
        DomainId,
        NodeId, //
    },
    replica::Ticket,
};
use thiserror::Error;
use tokio::{
    sync::{
        mpsc::{
            UnboundedReceiver,
            UnboundedSender,
            unbounded_channel, //
        },
        oneshot, watch,
    },
    time::sleep,
};
use tokio_util::sync::CancellationToken;

pub use self::http::{
    ApiRequestError,
    ControlProtocol, //
};
use self::{
    clock::Clock,
    join::Place,
    peer::PeerSender,
    subscribers::{
        EntryLink,
        Subscribers, //
    },
};
use crate::{
    control::disk_thread::{
        DiskNotice,
        DiskThread, //
    },
    disk::DiskError,
    exposition::Exposition,
    listen::ListenError,
};

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
    pub control_addr: SocketAddr,
    /// Where other processes of the system call.
    pub internal_addr: SocketAddr,
    /// Control addresses of some replicas.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Data folder.
    pub data_dir: PathBuf,
    /// Replicas that may be lost at once.
    pub tolerated_failures: usize,
    /// Share of a service's requests that a bad version may get.
    pub max_exposure: f64,
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
    Entry(EntryId, EntryLink),
    /// A connection of an entry has ended, by its number.
    EntryLost(EntryId, u64),
    /// A process asks about the group.
    Asked(MembershipRequest, oneshot::Sender<MembershipReply>),
    /// A caller asks for something.
    Called(ApiRequest, oneshot::Sender<ApiResponse>),
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
    entries: Subscribers,
    /// Message that says what this replica holds.
    alive: watch::Sender<Bytes>,
    /// Backend servers to be kept on the disk.
    roster: watch::Sender<Arc<[Announcement]>>,
    questions: HashMap<Ticket, oneshot::Sender<MembershipReply>>,
    calls: HashMap<Ticket, oneshot::Sender<ApiResponse>>,
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
        addr: settings.internal_addr,
        domain: settings.domain.clone(),
        tolerated_failures: settings.tolerated_failures,
        max_exposure: settings.max_exposure,
        request_timeout: PATIENCE,
        disk_stall_timeout: DISK_PATIENCE,
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
        entries: Subscribers::new(Arc::clone(&meters)),
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
    runner.hold(StateSummary::default());
    runner.open()?;
    runner.recall();
    tokio::spawn(roster::keep(
        settings.data_dir.clone(),
        roster_rx,
        halt.clone(),
    ));
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
                self.entries.connected(life, link);
                self.event(Event::EntryConnected(life));
            }
            Input::EntryLost(life, number) => {
                if self.entries.ended(life, number) {
                    self.event(Event::EntryDisconnected(life));
                }
            }
            Input::Asked(question, back) => {
                let ticket = self.ticket();
                self.questions.insert(ticket, back);
                self.event(Event::MembershipRequested(ticket, question));
            }
            Input::Called(call, back) => {
                let ticket = self.ticket();
                self.calls.insert(ticket, back);
                self.event(Event::RequestReceived(ticket, call));
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
                Action::SendMembershipRequest { to, request: told } => {
                    tokio::spawn(join::tell(to, told));
                }
                Action::ReplyMembership(ticket, reply) => {
                    if let Some(back) = self.questions.remove(&ticket) {
                        let _ = back.send(reply);
                    }
                }
                Action::Respond(ticket, answer) => {
                    if let Some(back) = self.calls.remove(&ticket) {
                        let _ = back.send(answer);
                    }
                }
                Action::Push(to, message) => self.entries.push(&to, &message),
                Action::SetSummary(summary) => self.hold(summary),
                Action::SaveServers(servers) => {
                    self.roster.send_replace(servers.into());
                }
                Action::Peers(peers) => self.set_peers(&peers),
                Action::Log(note) => notes::log(&note),
            }
        }
    }

    fn send(&mut self, to: NodeId, message: CoordinatorMessage) {
        if let Some(sender) = self.senders.get(&to) {
            sender.send(message);
        }
    }

    /// Learns the backend servers that the disk keeps.
    fn recall(&mut self) {
        match roster::read(&self.settings.data_dir) {
            Ok(servers) => {
                log::info!(servers = servers.len(); "backend servers recalled");
                self.event(Event::Servers(servers));
            }
            Err(e) => log::warn!(error:% = e; "backend servers not recalled"),
        }
    }

    /// Has all entries told now and then what this replica holds.
    fn hold(&mut self, summary: StateSummary) {
        if let Some(bytes) = subscribers::encode(&ToEntry::Heartbeat(summary)) {
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

    fn ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }
}

/// Returns where a process on the instance of a control address listens for
/// others: the ports are the same on all instances.
fn internal_of(settings: &GroupSettings, control: SocketAddr) -> SocketAddr {
    SocketAddr::new(control.ip(), settings.internal_addr.port())
}

/// Returns where callers reach a process that listens at an internal address.
fn control_of(settings: &GroupSettings, internal: IpAddr) -> SocketAddr {
    SocketAddr::new(internal, settings.control_addr.port())
}
