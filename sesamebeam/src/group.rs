//! Daemon of a control replica for gateways: connects the sans-I/O [`Coordinator`] to
//! sockets, the disk and timers.
//!
//! A single task owns the coordinator and processes all inputs. The group bootstraps
//! itself, and admits and replaces replicas without an operator.

mod clock;
mod http;
mod internal_server;
mod join;
mod log_events;
mod membership;
mod peer;
mod replica_dir;
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
    join::MembershipStatus,
    peer::PeerSender,
    subscribers::{
        EntryConnection,
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
    intake::Resources,
    listen::ListenError,
};

/// Timeout of API requests. Clients ask another replica after a second.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a sync may take before the disk counts as stalled. Slow disks take tens of
/// milliseconds.
const DISK_STALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Name of the replica in logs.
    pub name: String,
    /// Failure domain of the replica.
    pub domain: DomainId,
    /// Memory and descriptors of the instance.
    pub resources: Resources,
    /// Listen address for API requests of operators and backend servers.
    pub control_addr: SocketAddr,
    /// Listen address for entries and other control replicas.
    pub internal_addr: SocketAddr,
    /// Control addresses of replicas that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time and the seeds form a new group.
    pub bootstrap: bool,
    /// Data directory.
    pub data_dir: PathBuf,
    /// Number of simultaneous replica failures to tolerate.
    pub tolerated_failures: usize,
    /// Upper bound on the share of a service's requests that a bad version may serve.
    pub max_exposure: f64,
}

/// Why a control replica stopped.
#[derive(Debug, Error)]
pub enum GroupError {
    /// The data directory cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// A listen address cannot be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The disk thread cannot be started.
    #[error("cannot start the disk thread: {0}")]
    Thread(io::Error),
}

/// Input of the task that owns the coordinator.
#[derive(Debug)]
enum Input {
    /// An event that needs no reply.
    Event(Event),
    /// An entry connected.
    Entry(EntryId, EntryConnection),
    /// The connection of an entry with this id ended.
    EntryLost(EntryId, u64),
    /// A process sent a membership request.
    MembershipRequested(MembershipRequest, oneshot::Sender<MembershipReply>),
    /// A client sent an API request.
    ApiRequested(ApiRequest, oneshot::Sender<ApiResponse>),
    /// Group members named in the reply to a membership request of this process.
    PeersLearned(Vec<(NodeId, SocketAddr)>),
    /// The process at this address says that it is the leader.
    LeaderFound(SocketAddr),
    /// A leader says that this process is not a member.
    Removed,
    /// Id of a group that this process may join.
    GroupFound(u128),
    /// A notice from a disk thread.
    Disk(Incarnation, DiskNotice),
}

/// Incarnation of a replica directory.
type Incarnation = u128;

/// Sends inputs to the task that owns the coordinator.
type Inputs = UnboundedSender<Input>;

/// A running control replica.
struct Runner {
    settings: GroupSettings,
    clock: Clock,
    coordinator: Coordinator,
    disk: Option<(Incarnation, DiskThread)>,
    /// Replica directory in use.
    replica_dir: PathBuf,
    tx: Inputs,
    peer_senders: HashMap<NodeId, PeerSender>,
    subscribers: Subscribers,
    /// Encoded heartbeat with a summary of this replica's state.
    heartbeat: watch::Sender<Bytes>,
    /// Announcements of backend servers to be saved to disk.
    roster: watch::Sender<Arc<[Announcement]>>,
    pending_membership_requests: HashMap<Ticket, oneshot::Sender<MembershipReply>>,
    pending_api_requests: HashMap<Ticket, oneshot::Sender<ApiResponse>>,
    next_ticket: Ticket,
    status: watch::Sender<MembershipStatus>,
    metrics: Arc<Exposition>,
    halt: CancellationToken,
}

/// Runs a control replica until cancelled.
///
/// # Errors
///
/// Returns an error if a listen address or the data directory cannot be used.
pub async fn run(
    settings: GroupSettings,
    protocol: Arc<dyn ControlProtocol>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    metrics: Arc<Exposition>,
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
        request_timeout: REQUEST_TIMEOUT,
        disk_stall_timeout: DISK_STALL_TIMEOUT,
    };
    let (status, status_rx) = watch::channel(MembershipStatus::default());
    let (heartbeat, heartbeat_rx) = watch::channel(Bytes::new());
    let (roster, roster_rx) = watch::channel(Arc::from([]));
    let mut runner = Runner {
        coordinator: Coordinator::new(cfg, clock.now()),
        clock,
        disk: None,
        replica_dir: PathBuf::new(),
        tx: tx.clone(),
        peer_senders: HashMap::new(),
        subscribers: Subscribers::new(Arc::clone(&metrics)),
        heartbeat,
        roster,
        pending_membership_requests: HashMap::new(),
        pending_api_requests: HashMap::new(),
        next_ticket: 0,
        status,
        metrics,
        halt: halt.clone(),
        settings: settings.clone(),
    };
    runner.set_heartbeat(StateSummary::default());
    runner.open_replica_dir()?;
    runner.restore_servers();
    tokio::spawn(roster::save_updates(
        settings.data_dir.clone(),
        roster_rx,
        halt.clone(),
    ));
    tokio::spawn(join::forward_seeds(
        settings.clone(),
        seeds.clone(),
        tx.clone(),
        halt.clone(),
    ));
    internal_server::start(&settings, tx.clone(), heartbeat_rx, halt.clone()).await?;
    http::start(&settings, protocol, tx.clone(), halt.clone()).await?;
    tokio::spawn(join::run(settings, seeds, status_rx, tx, halt.clone()));
    let result = runner.run(rx, &cancel).await;
    halt.cancel();
    result
}

impl Runner {
    async fn run(
        &mut self,
        mut rx: UnboundedReceiver<Input>,
        cancel: &CancellationToken,
    ) -> Result<(), GroupError> {
        loop {
            let wait = self
                .coordinator
                .next_wake()
                .saturating_sub(self.clock.now());
            tokio::select! {
                () = cancel.cancelled() => return Ok(()),
                input = rx.recv() => match input {
                    Some(input) => self.handle_input(input)?,
                    None => return Ok(()),
                },
                () = sleep(wait) => self.handle_event(Event::Tick),
            }
        }
    }

    fn handle_input(&mut self, input: Input) -> Result<(), GroupError> {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Entry(entry_id, connection) => {
                self.subscribers.connected(entry_id, connection);
                self.handle_event(Event::EntryConnected(entry_id));
            }
            Input::EntryLost(entry_id, connection_id) => {
                if self.subscribers.disconnected(entry_id, connection_id) {
                    self.handle_event(Event::EntryDisconnected(entry_id));
                }
            }
            Input::MembershipRequested(request, reply_tx) => {
                let ticket = self.new_ticket();
                self.pending_membership_requests.insert(ticket, reply_tx);
                self.handle_event(Event::MembershipRequested(ticket, request));
            }
            Input::ApiRequested(request, reply_tx) => {
                let ticket = self.new_ticket();
                self.pending_api_requests.insert(ticket, reply_tx);
                self.handle_event(Event::RequestReceived(ticket, request));
            }
            Input::PeersLearned(peers) => {
                self.coordinator.learn_peers(peers);
                self.handle_event(Event::Tick);
            }
            Input::LeaderFound(leader) => self.coordinator.learn_leader(self.clock.now(), leader),
            Input::GroupFound(group) => self.join_group(group)?,
            Input::Removed => self.leave_group()?,
            Input::Disk(incarnation, notice) => self.handle_disk_notice(incarnation, notice)?,
        }
        self.publish_status();
        Ok(())
    }

    fn handle_event(&mut self, event: Event) {
        // The clock is read here, after every wait: a replica that was suspended must not
        // act on a leader lease that expired in the meantime.
        let actions = self.coordinator.handle(self.clock.now(), event);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(to, message),
                Action::Write { write, ops } => {
                    if let Some((_, disk)) = &self.disk {
                        disk.write(write, ops);
                    }
                }
                Action::SendMembershipRequest { to, request } => {
                    tokio::spawn(join::send_request(to, request));
                }
                Action::ReplyMembership(ticket, reply) => {
                    if let Some(reply_tx) = self.pending_membership_requests.remove(&ticket) {
                        let _ = reply_tx.send(reply);
                    }
                }
                Action::Respond(ticket, response) => {
                    if let Some(reply_tx) = self.pending_api_requests.remove(&ticket) {
                        let _ = reply_tx.send(response);
                    }
                }
                Action::Push(to, message) => self.subscribers.push(&to, &message),
                Action::SetSummary(summary) => self.set_heartbeat(summary),
                Action::SaveServers(servers) => {
                    self.roster.send_replace(servers.into());
                }
                Action::Peers(peers) => self.set_peers(&peers),
                Action::Log(event) => log_events::log(&event),
            }
        }
    }

    fn send(&mut self, to: NodeId, message: CoordinatorMessage) {
        if let Some(sender) = self.peer_senders.get(&to) {
            sender.send(message);
        }
    }

    /// Restores the announcements of backend servers from disk.
    fn restore_servers(&mut self) {
        match roster::read(&self.settings.data_dir) {
            Ok(servers) => {
                log::info!(servers = servers.len(); "backend servers recalled");
                self.handle_event(Event::Servers(servers));
            }
            Err(e) => log::warn!(error:% = e; "backend servers not recalled"),
        }
    }

    /// Sets the heartbeat that is sent periodically to all entries.
    fn set_heartbeat(&mut self, summary: StateSummary) {
        if let Some(bytes) = subscribers::encode(&ToEntry::Heartbeat(summary)) {
            self.heartbeat.send_replace(bytes);
        }
    }

    /// Maintains a connection to each other replica.
    ///
    /// A connection that was opened under a former node id of this process is replaced:
    /// its peers would attribute the messages to the former node, and the new membership
    /// would never become active.
    fn set_peers(&mut self, peers: &Peers) {
        let id = self.coordinator.id();
        let own_id = id.unwrap_or_default();
        self.peer_senders.retain(|&node, sender| {
            let addr = peers.addr(node);
            addr.is_some_and(|addr| sender.is_between(own_id, addr))
        });
        for (node, addr) in peers.all() {
            if Some(node) == id || self.peer_senders.contains_key(&node) {
                continue;
            }
            let (inputs, halt) = (self.tx.clone(), self.halt.child_token());
            let sender = PeerSender::start(own_id, node, addr, inputs, halt);
            self.peer_senders.insert(node, sender);
        }
    }

    fn new_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }
}

/// Returns the internal address that belongs to a control address. The ports are the same
/// on all instances.
fn internal_addr_of(settings: &GroupSettings, control: SocketAddr) -> SocketAddr {
    SocketAddr::new(control.ip(), settings.internal_addr.port())
}

/// Returns the control address that belongs to an internal address.
fn control_addr_of(settings: &GroupSettings, internal: IpAddr) -> SocketAddr {
    SocketAddr::new(internal, settings.control_addr.port())
}
