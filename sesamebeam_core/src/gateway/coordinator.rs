//! A control replica of the gateway. It holds the replicated store, collects the
//! announcements of backend servers, publishes both to the entries, and manages the
//! membership of the replica group.
//!
//! A process that is not a member of the group (one that has yet to join, or a standby)
//! accepts announcements and forwards them, but makes no decisions.

mod announce;
mod crash_reports;
mod forwarding;
mod group;
mod placement;
mod publisher;
mod requests;
mod rollout_monitors;
mod server_leases;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration,
};

pub use group::Peers;
pub use publisher::MAX_ANNOUNCEMENTS_PER_MESSAGE;
pub use requests::{
    ApiRequest,
    ApiResponse, //
};
use smol_str::SmolStr;

use self::{
    announce::PendingConfirmation,
    forwarding::ForwardingOffers,
    placement::VoterPlacement,
    publisher::Publisher,
    requests::PendingRequest,
    rollout_monitors::RolloutMonitors,
    server_leases::PublishedLeases, //
};
use super::{
    config::ServiceId,
    crashes::CrashTracker,
    digests::Section,
    directory::{
        Announcement,
        Directory,
        ServerState, //
    },
    fatal_parts::CrashesByPart,
    forwarding::ForwardingOffer,
    limits::{
        KnownLimits,
        LimitOf, //
    },
    loads::Loads,
    messages::{
        CoordinatorMessage,
        FatalParts,
        MembershipReply,
        MembershipRequest,
        Report,
        StateSummary,
        SyncState,
        ToEntry, //
    },
    outliers::{
        Doubt,
        OutlierDetector, //
    },
    request::PartId,
    rollout::{
        Phase,
        ResponseSummary, //
    },
    server_leases::{
        LeaseRequest,
        LeasedService, //
    },
    shortage::{
        AdmissionControl,
        ShareOf, //
    },
    store::{
        Command,
        Store, //
    },
    waits::FleetWaits,
};
use crate::{
    ids::{
        DomainId,
        LogIndex,
        MonoTime,
        NodeId, //
    },
    replica::{
        DiskOp,
        Replica,
        ReplicaAction,
        ReplicaConfig,
        ReplicaEvent,
        Replication,
        Role,
        SavedState,
        Ticket,
        WriteId, //
    },
};

/// Interval of the periodic tasks.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(100);

/// Random number that an entry draws at startup to identify itself.
pub type EntryId = u64;

/// Settings of a coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// Address on which this process accepts connections from other processes.
    pub addr: SocketAddr,
    /// Failure domain of this process.
    pub domain: DomainId,
    /// Number of simultaneous replica failures to survive; the group has `2 * n + 1`
    /// voters.
    pub tolerated_failures: usize,
    /// Share of a service's requests that may be exposed to a bad version by the end of its
    /// rollout.
    pub max_exposure: f64,
    /// Time limit for answering a request; the caller then tries another replica.
    pub request_timeout: Duration,
    /// Time a write may stay unsynced before the disk counts as stalled and leadership is
    /// handed over.
    pub disk_stall_timeout: Duration,
}

/// Input to a coordinator.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message from another replica has arrived.
    Peer {
        /// Id of the sender.
        from: NodeId,
        /// The message.
        message: CoordinatorMessage,
    },
    /// A connection to another replica has been established.
    PeerConnected(NodeId),
    /// Addresses of the seeds, the first replicas listed in the settings.
    Seeds(BTreeSet<SocketAddr>),
    /// An entry has connected.
    EntryConnected(EntryId),
    /// An entry's connection has closed.
    EntryDisconnected(EntryId),
    /// An entry with the given state subscribes to updates from this replica.
    EntryFollows(EntryId, SyncState),
    /// An entry has moved its subscription to another replica.
    EntryUnfollows(EntryId),
    /// An entry requests the updates that it is missing relative to this replica.
    UpdateRequested(EntryId, SyncState),
    /// An entry requests the backend servers in these sections of the directory.
    SectionsRequested(EntryId, Vec<Section>),
    /// An entry has sent the backend servers that it knows.
    Servers(Vec<Announcement>),
    /// An entry has reported its observations.
    EntryReported(Report),
    /// An entry asks whether it may send one request with these fatal prompt parts.
    ProbeRequested(EntryId, FatalParts),
    /// An entry asks for its leases of backend servers.
    LeasesRequested(EntryId, Box<LeaseRequest>),
    /// An entry offers to serve requests of other entries, or no longer does.
    ForwardingOffered(EntryId, Option<ForwardingOffer>),
    /// A non-member process has sent a membership request.
    MembershipRequested(Ticket, MembershipRequest),
    /// A caller has sent a request.
    RequestReceived(Ticket, ApiRequest),
    /// A write has been synced.
    Synced(WriteId),
    /// The disk is full, or has space again.
    DiskFull(bool),
}

/// Entries that a message is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All connected entries.
    All,
    /// Only these entries.
    Only(Vec<EntryId>),
}

/// Output of a coordinator, to be carried out by its caller.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a message to another replica.
    Send {
        /// Id of the recipient.
        to: NodeId,
        /// The message.
        message: CoordinatorMessage,
    },
    /// Write to disk.
    Write {
        /// Id of the write.
        write: WriteId,
        /// Operations to write.
        ops: Vec<DiskOp>,
    },
    /// Send a membership request to a process outside the group.
    SendMembershipRequest {
        /// Address of the recipient.
        to: SocketAddr,
        /// The request.
        request: MembershipRequest,
    },
    /// Reply to a membership request.
    ReplyMembership(Ticket, MembershipReply),
    /// Respond to a caller.
    Respond(Ticket, ApiResponse),
    /// Send a message to entries.
    Push(Recipients, ToEntry),
    /// Summary of this replica's state for the periodic heartbeat to all entries.
    SetSummary(StateSummary),
    /// Save backend servers to disk for the next startup.
    SaveServers(Vec<Announcement>),
    /// The membership of the group has changed.
    Peers(Peers),
    /// Write an event to the process log.
    Log(LogEvent),
}

/// Event for the process log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The replica's role in the group has changed.
    Role(Role),
    /// A configuration was accepted.
    Accepted {
        /// Version of the configuration.
        version: u64,
        /// Position in the replicated log.
        index: LogIndex,
    },
    /// A rollout entered a phase, with the counts behind the decision.
    Rollout {
        /// Service.
        service: ServiceId,
        /// Version being rolled out.
        target: SmolStr,
        /// The new phase.
        phase: Phase,
        /// Responses since the start of the rollout.
        counts: ResponseSummary,
        /// Responses of the last few seconds.
        recent: ResponseSummary,
    },
    /// A failure domain was evacuated or readmitted.
    Evacuation {
        /// The failure domain.
        domain: DomainId,
        /// Whether it is now evacuated.
        evacuated: bool,
        /// Position in the replicated log.
        index: LogIndex,
        /// Number of known backend servers in the domain that are not gone.
        servers: usize,
    },
    /// A backend server's state changed.
    Server {
        /// Id of the backend server.
        id: SmolStr,
        /// Its service.
        service: ServiceId,
        /// When it started.
        started_at: super::directory::StartTime,
        /// Its state.
        state: ServerState,
        /// Sequence number of the announcement.
        sequence: u64,
    },
    /// A replica is being added, replaced or removed.
    Membership {
        /// Joining replica.
        joins: Option<NodeId>,
        /// Leaving replica.
        leaves: Option<NodeId>,
        /// Known failure domains of the replicas.
        domains: BTreeMap<NodeId, DomainId>,
    },
    /// The group tolerates fewer failures than intended, or again as many.
    FaultTolerance {
        /// Number of voters that may still be lost.
        spare: usize,
        /// Replication to the other members.
        replicas: Vec<Replication>,
    },
    /// Rate limits reported by backend servers that were added, changed or ended.
    Limits(Vec<LimitOf>),
    /// Services short of capacity, with the share of requests that is admitted.
    Shares(Vec<ShareOf>),
    /// Backend servers that fail more often than the average of their service.
    Doubts(Vec<Doubt>),
    /// Prompt parts held to crash backend servers, after a change.
    FatalParts(Vec<FatalParts>),
    /// One request with these fatal parts is allowed, to find out whether they still are.
    FatalPartsProbed(Vec<PartId>),
    /// Leases of backend servers that crash under rejections have changed.
    Leases {
        /// The services.
        services: Vec<LeasedService>,
        /// Number of leases.
        leases: usize,
        /// Number of entries that hold leases.
        holders: usize,
    },
    /// The disk has stalled, or has recovered.
    DiskStalled(bool),
    /// A log entry could not be decoded.
    Unreadable(LogIndex),
}

/// A control replica of the gateway.
#[derive(Debug)]
pub struct Coordinator {
    cfg: CoordinatorConfig,
    now: MonoTime,
    replica: Option<Replica>,
    peers: Peers,
    /// Addresses that processes without any known replica connect to.
    seeds: BTreeSet<SocketAddr>,
    /// When seeds outside the group are next sent the membership.
    next_seed_update_at: MonoTime,
    store: Store,
    directory: Directory,
    publisher: Publisher,
    rollout_monitors: RolloutMonitors,
    forwarding: ForwardingOffers,
    placement: VoterPlacement,
    /// Leader as learned by a non-member process, and when.
    leader_hint: Option<(SocketAddr, MonoTime)>,
    pending_requests: BTreeMap<Ticket, PendingRequest>,
    pending_confirmations: BTreeMap<u64, PendingConfirmation>,
    next_ticket: u64,
    crashes: CrashTracker,
    part_crashes: CrashesByPart,
    loads: Loads,
    limits: KnownLimits,
    outliers: OutlierDetector,
    waits: FleetWaits,
    admission: AdmissionControl,
    leases: PublishedLeases,
    next_periodic_at: MonoTime,
    /// When lacking voters are next reported, if any were lacking.
    next_tolerance_report_at: Option<MonoTime>,
    /// Write that is not yet synced, and when it was issued.
    unsynced_write: Option<(WriteId, MonoTime)>,
    disk_full: bool,
    disk_stalled: bool,
    actions: Vec<Action>,
}

impl Coordinator {
    /// Creates a coordinator that is not a member of a group yet.
    pub fn new(cfg: CoordinatorConfig, now: MonoTime) -> Self {
        Self {
            cfg,
            now,
            replica: None,
            peers: Peers::default(),
            seeds: BTreeSet::new(),
            next_seed_update_at: now,
            store: Store::default(),
            directory: Directory::default(),
            publisher: Publisher::default(),
            rollout_monitors: RolloutMonitors::default(),
            forwarding: ForwardingOffers::default(),
            placement: VoterPlacement::default(),
            leader_hint: None,
            pending_requests: BTreeMap::new(),
            pending_confirmations: BTreeMap::new(),
            next_ticket: 1,
            crashes: CrashTracker::default(),
            part_crashes: CrashesByPart::default(),
            loads: Loads::default(),
            limits: KnownLimits::default(),
            outliers: OutlierDetector::default(),
            waits: FleetWaits::default(),
            admission: AdmissionControl::default(),
            leases: PublishedLeases::default(),
            next_periodic_at: now,
            next_tolerance_report_at: None,
            unsynced_write: None,
            disk_full: false,
            disk_stalled: false,
            actions: Vec::new(),
        }
    }

    /// Starts a replica of the group from its saved state.
    pub fn start(&mut self, cfg: ReplicaConfig, saved: SavedState, now: MonoTime) -> Vec<Action> {
        self.now = self.now.max(now);
        let (replica, actions) = Replica::new(cfg, saved, self.now);
        self.replica = Some(replica);
        self.publisher.reset_current();
        self.execute(actions);
        self.publish();
        std::mem::take(&mut self.actions)
    }

    /// Leaves the group. The directory and other unreplicated state are kept; the
    /// replicated state is fetched again on the next join.
    pub fn leave(&mut self) {
        self.replica = None;
        self.store = Store::default();
        self.pending_requests.clear();
        self.unsynced_write = None;
        self.disk_full = false;
        self.disk_stalled = false;
    }

    /// Handles an event. `now` must not decrease between calls.
    pub fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.step_replica(ReplicaEvent::Tick),
            Event::Peer { from, message } => self.handle_peer_message(from, message),
            Event::PeerConnected(to) => self.compare_directories(to),
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::EntryConnected(entry) => self.add_entry(entry),
            Event::EntryDisconnected(entry) => self.remove_entry(entry),
            Event::EntryFollows(entry, sync_state) => self.follow(entry, sync_state),
            Event::EntryUnfollows(entry) => self.unfollow(entry),
            Event::UpdateRequested(entry, sync_state) => self.request_update(entry, sync_state),
            Event::SectionsRequested(entry, sections) => self.send_sections(entry, &sections),
            Event::Servers(servers) => self.merge_announcements(servers),
            Event::EntryReported(report) => self.handle_entry_report(report),
            Event::ProbeRequested(entry, known) => self.answer_probe_request(entry, &known),
            Event::LeasesRequested(entry, request) => self.handle_lease_request(entry, &request),
            Event::ForwardingOffered(entry, offer) => self.forwarding.set(entry, offer),
            Event::MembershipRequested(ticket, request) => {
                self.handle_membership_request(ticket, request)
            }
            Event::RequestReceived(ticket, request) => self.handle_request(ticket, request),
            Event::Synced(write) => self.synced(write),
            Event::DiskFull(full) => {
                self.disk_full = full;
                self.update_disk_state();
            }
        }
        self.run_periodic();
        self.publish();
        std::mem::take(&mut self.actions)
    }

    /// Returns when the next [`Event::Tick`] is due.
    pub fn next_wake(&self) -> MonoTime {
        let replica = self.replica.as_ref().map(Replica::next_wake);
        let publish_at = self.publisher.next_wake();
        let wakes = [replica, publish_at].into_iter().flatten();
        wakes.fold(self.next_periodic_at, MonoTime::min)
    }

    /// Returns the replicated state.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the directory of backend servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the replicas of the group as known to this process.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns whether this process leads the group.
    pub fn leads(&self) -> bool {
        self.replica
            .as_ref()
            .is_some_and(|r| r.role() == Role::Leader)
    }

    fn handle_peer_message(&mut self, from: NodeId, message: CoordinatorMessage) {
        match message {
            CoordinatorMessage::Log(message) => {
                let message = *message;
                self.step_replica(ReplicaEvent::Message { from, message });
            }
            CoordinatorMessage::Servers(servers) => self.merge_announcements(servers),
            CoordinatorMessage::Digests {
                digests,
                domain,
                reply_requested,
            } => {
                self.placement.set_domain(from, domain);
                self.handle_digests(from, &digests, reply_requested);
            }
            CoordinatorMessage::RequestBuckets(buckets) => self.send_buckets(from, buckets),
            CoordinatorMessage::Confirm { ticket, servers } => {
                self.merge_announcements(servers);
                let message = CoordinatorMessage::Confirmed { ticket };
                self.actions.push(Action::Send { to: from, message });
            }
            CoordinatorMessage::Confirmed { ticket } => self.handle_confirmation(from, ticket),
            CoordinatorMessage::Report(report) => self.process_report(&report),
        }
    }

    /// Passes an event to the replica and carries out the resulting actions.
    fn step_replica(&mut self, event: ReplicaEvent) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let actions = replica.handle(self.now, event);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<ReplicaAction>) {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => {
                    let message = CoordinatorMessage::Log(Box::new(message));
                    self.actions.push(Action::Send { to, message });
                }
                ReplicaAction::Write { write, ops } => {
                    self.unsynced_write = Some((write, self.now));
                    self.actions.push(Action::Write { write, ops });
                }
                ReplicaAction::Apply {
                    index,
                    ticket,
                    data,
                } => self.apply(index, ticket, &data),
                ReplicaAction::Rejected { ticket, reason } => self.handle_rejection(ticket, reason),
                ReplicaAction::ReadReady { ticket } => self.read_ready(ticket),
                ReplicaAction::Changed { .. } => {}
                ReplicaAction::TakeSnapshot { index } => self.take_snapshot(index),
                ReplicaAction::Restore { index, data } => self.restore(index, &data),
                ReplicaAction::Role(role) => self.role_changed(role),
                ReplicaAction::Members(members) => self.members_changed(&members),
            }
        }
    }

    fn apply(&mut self, index: LogIndex, ticket: Option<Ticket>, data: &[u8]) {
        match postcard::from_bytes::<Command>(data) {
            Ok(command) => self.apply_command(index, command),
            Err(_) => self.log(LogEvent::Unreadable(index)),
        }
        if let Some(ticket) = ticket {
            self.complete_request(ticket);
        }
    }

    fn apply_command(&mut self, index: LogIndex, command: Command) {
        let event = self.log_event_for(index, &command);
        let is_config = matches!(command, Command::Apply(_));
        if !self.store.apply(index, command) {
            return;
        }
        if let Some(event) = event {
            self.log(event);
        }
        self.rollout_monitors.sync(self.now, self.store.rollouts());
        self.mark_state_changed(index, is_config);
    }

    /// Returns the log event to emit if a command changes the store.
    fn log_event_for(&self, index: LogIndex, command: &Command) -> Option<LogEvent> {
        match command {
            Command::Apply(document) => Some(LogEvent::Accepted {
                version: document.version,
                index,
            }),
            Command::Evacuate(domain) => Some(self.evacuation_event(index, domain, true)),
            Command::Readmit(domain) => Some(self.evacuation_event(index, domain, false)),
            Command::StartRollout { .. } | Command::SetRolloutPhase { .. } => None,
        }
    }

    fn evacuation_event(&self, index: LogIndex, domain: &DomainId, evacuated: bool) -> LogEvent {
        let of_domain = self
            .directory
            .all()
            .filter(|k| k.announcement.domain == *domain);
        let living = of_domain.filter(|k| k.announcement.state != ServerState::Gone);
        LogEvent::Evacuation {
            domain: domain.clone(),
            evacuated,
            index,
            servers: living.count(),
        }
    }

    fn take_snapshot(&mut self, index: LogIndex) {
        let data = postcard::to_stdvec(&self.store).unwrap_or_default();
        self.step_replica(ReplicaEvent::Snapshot { index, data });
    }

    fn restore(&mut self, index: LogIndex, data: &[u8]) {
        match Store::decode(data) {
            Ok(store) => self.store = store,
            Err(_) => self.log(LogEvent::Unreadable(index)),
        }
        self.rollout_monitors.sync(self.now, self.store.rollouts());
        self.mark_state_changed(index, true);
    }

    fn synced(&mut self, write: WriteId) {
        self.unsynced_write.take_if(|(at, _)| *at == write);
        self.step_replica(ReplicaEvent::Synced { write });
        self.update_disk_state();
    }

    /// Reports the disk as full if it is full or has stalled.
    ///
    /// A leader whose disk stalls cannot write anything new, so no change is acknowledged
    /// although the other replicas could go on. Handing over leadership is sufficient
    /// because they can commit without this disk.
    fn update_disk_state(&mut self) {
        let timeout = self.cfg.disk_stall_timeout;
        let stalled = self
            .unsynced_write
            .is_some_and(|(_, since)| self.now.saturating_sub(since) > timeout);
        if stalled != self.disk_stalled {
            self.disk_stalled = stalled;
            self.log(LogEvent::DiskStalled(stalled));
        }
        self.step_replica(ReplicaEvent::DiskFull(self.disk_full || stalled));
    }

    /// Runs the periodic tasks if they are due.
    fn run_periodic(&mut self) {
        if self.now < self.next_periodic_at {
            return;
        }
        self.next_periodic_at = self.now + PERIODIC_INTERVAL;
        if self.unsynced_write.is_some() || self.disk_stalled {
            self.update_disk_state();
        }
        self.expire_requests();
        self.remove_surplus_voter();
        self.report_fault_tolerance();
        self.update_seeds();
        self.advance_rollouts();
        self.update_leases();
        self.publish_due();
    }

    fn broadcast(&mut self, message: &CoordinatorMessage) {
        for to in self.peers.others() {
            let message = message.clone();
            self.actions.push(Action::Send { to, message });
        }
    }

    fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }
}
