//! A control replica of the gateway: the replicated store, the backend servers'
//! announcements, the entries that are told of both, and who is in the group.
//!
//! A process without a place in the group (one that has yet to join, or that is
//! kept in reserve) takes announcements and passes them on, but decides nothing.

mod announce;
mod calls;
mod group;
mod places;
mod telling;
mod trial;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use smol_str::SmolStr;

pub use calls::{
    Answer,
    Call, //
};
pub use group::Peers;
pub use telling::MOST_IN_MESSAGE;

use self::{
    announce::Confirming,
    calls::Waiting,
    places::Places,
    telling::Telling,
    trial::Trials, //
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
    feed::{
        Between,
        Held,
        Question,
        Reply,
        Report,
        Summary,
        ToEntry, //
    },
    limits::{
        KnownLimits,
        LimitOf, //
    },
    loads::Loads,
    outliers::{
        Doubt,
        OutlierDetector, //
    },
    rollout::Phase,
    shortage::{
        AdmissionControl,
        ShareOf, //
    },
    store::{
        Command,
        Store, //
    },
    waits::FleetWaits, //
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
        Role,
        SavedState,
        Ticket,
        WriteId, //
    },
};

/// Longest time between two looks at what is due.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Number that an entry draws at its start.
pub type EntryLife = u64;

/// Settings of a coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// Where this process listens for others.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Replicas that may be lost at once; twice as many and one vote.
    pub tolerated: usize,
    /// Share of a service's requests that a bad version may get until the end of
    /// its roll-out.
    pub exposure: f64,
    /// Longest time for an answer to a caller; it asks another replica then.
    pub patience: Duration,
    /// Time for which a write may stay unsynced before the disk counts as
    /// stalled and another replica leads.
    pub disk_patience: Duration,
}

/// What happens to a coordinator.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message of another replica.
    Peer {
        /// Its number.
        from: NodeId,
        /// What it says.
        message: Between,
    },
    /// A connection to another replica stands.
    Reached(NodeId),
    /// Where the first replicas of the settings listen for others.
    Seeds(BTreeSet<SocketAddr>),
    /// An entry has connected.
    Subscribed(EntryLife),
    /// An entry's connection has ended.
    Unsubscribed(EntryLife),
    /// An entry, which holds something already, is told of changes from here.
    Follows(EntryLife, Held),
    /// It is told from elsewhere.
    Unfollows(EntryLife),
    /// An entry lacks something of what is known here.
    Lacks(EntryLife, Held),
    /// An entry lacks what is known here of backend servers in these sections.
    LacksSections(EntryLife, Vec<Section>),
    /// An entry tells of backend servers.
    Servers(Vec<Announcement>),
    /// An entry reports what it has seen.
    Reported(Report),
    /// A process asks about the group.
    Asked(Ticket, Question),
    /// A caller asks for something.
    Called(Ticket, Call),
    /// A write is synced.
    Synced(WriteId),
    /// The disk is full, or has space again.
    DiskFull(bool),
}

/// Entries that are told the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Receivers {
    /// All that are connected.
    All,
    /// Only these.
    These(Vec<EntryLife>),
}

/// What a coordinator wants done.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Sends a message to another replica.
    Send {
        /// Its number.
        to: NodeId,
        /// The message.
        message: Between,
    },
    /// Writes to the disk.
    Write {
        /// Number of the write.
        write: WriteId,
        /// What is written.
        ops: Vec<DiskOp>,
    },
    /// Tells a process that is no member of the group.
    Tell {
        /// Where it listens for others.
        to: SocketAddr,
        /// What it is told.
        told: Question,
    },
    /// Answers a question about the group.
    Reply(Ticket, Reply),
    /// Answers a caller.
    Answer(Ticket, Answer),
    /// Tells entries.
    Push(Receivers, ToEntry),
    /// What this replica holds, to be said now and then to all entries.
    Holds(Summary),
    /// Backend servers to be kept on the disk, for the next start.
    KeepServers(Vec<Announcement>),
    /// The replicas of the group have changed.
    Peers(Peers),
    /// Something that belongs into the log.
    Note(Note),
}

/// Something that belongs into the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// The role in the group.
    Role(Role),
    /// A configuration was accepted.
    Accepted {
        /// Its number.
        version: u64,
        /// Position in the log.
        index: LogIndex,
    },
    /// A roll-out entered a phase, with the counts that decided.
    Rollout {
        /// Service.
        service: ServiceId,
        /// Version that is brought in.
        target: SmolStr,
        /// The phase.
        phase: Phase,
        /// Good and bad answers of the new version, then of those before.
        counts: (u32, u32, u32, u32),
    },
    /// A failure domain is evacuated, or taken back.
    Evacuation {
        /// Which.
        domain: DomainId,
        /// Whether it is evacuated from now on.
        evacuated: bool,
        /// Position in the log.
        index: LogIndex,
        /// Backend servers that are known there.
        servers: usize,
    },
    /// A backend server's state changed.
    Server {
        /// Which.
        id: SmolStr,
        /// Its service.
        service: ServiceId,
        /// When it started.
        born: super::directory::Born,
        /// Its state.
        state: ServerState,
        /// Number of the announcement.
        sequence: u64,
    },
    /// A replica is added, replaced or removed.
    Membership {
        /// Replica that joins.
        joins: Option<NodeId>,
        /// Replica that leaves.
        leaves: Option<NodeId>,
        /// Failure domains of replicas, as far as they are known here.
        domains: BTreeMap<NodeId, DomainId>,
    },
    /// Limits of backend servers that have come, changed or ended.
    Limits(Vec<LimitOf>),
    /// Services that cannot serve all, with the share that is admitted.
    Shares(Vec<ShareOf>),
    /// Backend servers that fail more often than their service.
    Doubts(Vec<Doubt>),
    /// The disk has not synced a write for long.
    DiskStalled(bool),
    /// An entry in the log cannot be read.
    Unreadable(LogIndex),
}

/// A control replica of the gateway.
#[derive(Debug)]
pub struct Coordinator {
    cfg: CoordinatorConfig,
    now: MonoTime,
    replica: Option<Replica>,
    peers: Peers,
    /// Where processes ask that know of nobody.
    seeds: BTreeSet<SocketAddr>,
    /// When those of them that are no members are told of the group.
    tell_seeds_at: MonoTime,
    store: Store,
    directory: Directory,
    telling: Telling,
    trials: Trials,
    places: Places,
    /// Who leads, as a process without a place was told, and when.
    known_leader: Option<(SocketAddr, MonoTime)>,
    waiting: BTreeMap<Ticket, Waiting>,
    confirming: BTreeMap<u64, Confirming>,
    next_ticket: u64,
    crashes: CrashTracker,
    loads: Loads,
    limits: KnownLimits,
    pool: OutlierDetector,
    waits: FleetWaits,
    shortages: AdmissionControl,
    look_at: MonoTime,
    /// Write that is not synced yet, and since when.
    writing: Option<(WriteId, MonoTime)>,
    disk_full: bool,
    disk_stalled: bool,
    actions: Vec<Action>,
}

impl Coordinator {
    /// Makes a coordinator that has no place in a group yet.
    pub fn new(cfg: CoordinatorConfig, now: MonoTime) -> Self {
        Self {
            cfg,
            now,
            replica: None,
            peers: Peers::default(),
            seeds: BTreeSet::new(),
            tell_seeds_at: now,
            store: Store::default(),
            directory: Directory::default(),
            telling: Telling::default(),
            trials: Trials::default(),
            places: Places::default(),
            known_leader: None,
            waiting: BTreeMap::new(),
            confirming: BTreeMap::new(),
            next_ticket: 1,
            crashes: CrashTracker::default(),
            loads: Loads::default(),
            limits: KnownLimits::default(),
            pool: OutlierDetector::default(),
            waits: FleetWaits::default(),
            shortages: AdmissionControl::default(),
            look_at: now,
            writing: None,
            disk_full: false,
            disk_stalled: false,
            actions: Vec::new(),
        }
    }

    /// Takes a place in a group with what the disk holds of it.
    pub fn start(&mut self, cfg: ReplicaConfig, saved: SavedState, now: MonoTime) -> Vec<Action> {
        self.now = self.now.max(now);
        let (replica, actions) = Replica::new(cfg, saved, self.now);
        self.replica = Some(replica);
        self.telling.restart();
        self.carry(actions);
        self.tell();
        std::mem::take(&mut self.actions)
    }

    /// Gives its place in the group up. What it knows beside the replicated state
    /// stays; the state comes anew with the next place.
    pub fn leave(&mut self) {
        self.replica = None;
        self.store = Store::default();
        self.waiting.clear();
        self.writing = None;
        self.disk_full = false;
        self.disk_stalled = false;
    }

    /// Handles an event at a time that never goes back.
    pub fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.step(ReplicaEvent::Tick),
            Event::Peer { from, message } => self.peer(from, message),
            Event::Reached(to) => self.compare_servers(to),
            Event::Seeds(seeds) => self.seeds = seeds,
            Event::Subscribed(life) => self.subscribe(life),
            Event::Unsubscribed(life) => self.unsubscribe(life),
            Event::Follows(life, held) => self.follow(life, held),
            Event::Unfollows(life) => self.unfollow(life),
            Event::Lacks(life, held) => self.lacks(life, held),
            Event::LacksSections(life, sections) => self.lacks_sections(life, &sections),
            Event::Servers(servers) => self.take_announcements(servers),
            Event::Reported(report) => self.reported(report),
            Event::Asked(ticket, question) => self.asked(ticket, question),
            Event::Called(ticket, call) => self.called(ticket, call),
            Event::Synced(write) => self.synced(write),
            Event::DiskFull(full) => {
                self.disk_full = full;
                self.tell_disk();
            }
        }
        self.look();
        self.tell();
        std::mem::take(&mut self.actions)
    }

    /// Returns when a [`Event::Tick`] is next needed.
    pub fn next_wake(&self) -> MonoTime {
        let replica = self.replica.as_ref().map(Replica::next_wake);
        let told = self.telling.next_wake();
        let wakes = [replica, told].into_iter().flatten();
        wakes.fold(self.look_at, MonoTime::min)
    }

    /// Returns the replicated state.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the backend servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the replicas of the group, as far as this process knows.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns whether this process leads the group.
    pub fn leads(&self) -> bool {
        self.replica
            .as_ref()
            .is_some_and(|r| r.role() == Role::Leader)
    }

    fn peer(&mut self, from: NodeId, message: Between) {
        match message {
            Between::Log(message) => {
                let message = *message;
                self.step(ReplicaEvent::Message { from, message });
            }
            Between::Servers(servers) => self.take_announcements(servers),
            Between::Digests { held, domain, ask } => {
                self.places.learn(from, domain);
                self.compared(from, &held, ask);
            }
            Between::Wants(parts) => self.tell_servers(from, parts),
            Between::Confirm { ticket, servers } => {
                self.take_announcements(servers);
                let message = Between::Confirmed { ticket };
                self.actions.push(Action::Send { to: from, message });
            }
            Between::Confirmed { ticket } => self.confirmed(from, ticket),
            Between::Report(report) => self.take_report(&report),
        }
    }

    /// Hands an event to the replica and carries out what it wants.
    fn step(&mut self, event: ReplicaEvent) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let actions = replica.handle(self.now, event);
        self.carry(actions);
    }

    fn carry(&mut self, actions: Vec<ReplicaAction>) {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => {
                    let message = Between::Log(Box::new(message));
                    self.actions.push(Action::Send { to, message });
                }
                ReplicaAction::Write { write, ops } => {
                    self.writing = Some((write, self.now));
                    self.actions.push(Action::Write { write, ops });
                }
                ReplicaAction::Apply {
                    index,
                    ticket,
                    data,
                } => self.apply(index, ticket, &data),
                ReplicaAction::Rejected { ticket, reason } => self.rejected(ticket, reason),
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
            Err(_) => self.note(Note::Unreadable(index)),
        }
        if let Some(ticket) = ticket {
            self.done(ticket);
        }
    }

    fn apply_command(&mut self, index: LogIndex, command: Command) {
        let note = self.note_of(index, &command);
        let is_config = matches!(command, Command::Apply(_));
        if !self.store.apply(index, command) {
            return;
        }
        if let Some(note) = note {
            self.note(note);
        }
        self.trials.follow(self.now, self.store.rollouts());
        self.note_news(index, is_config);
    }

    /// Returns the line for the log if a command changes anything.
    fn note_of(&self, index: LogIndex, command: &Command) -> Option<Note> {
        match command {
            Command::Apply(document) => Some(Note::Accepted {
                version: document.version,
                index,
            }),
            Command::Evacuate(domain) => Some(self.evacuation(index, domain, true)),
            Command::Readmit(domain) => Some(self.evacuation(index, domain, false)),
            Command::StartRollout { .. } | Command::SetRolloutPhase { .. } => None,
        }
    }

    fn evacuation(&self, index: LogIndex, domain: &DomainId, evacuated: bool) -> Note {
        let of_domain = self.directory.all().filter(|k| k.said.domain == *domain);
        let living = of_domain.filter(|k| k.said.state != ServerState::Gone);
        Note::Evacuation {
            domain: domain.clone(),
            evacuated,
            index,
            servers: living.count(),
        }
    }

    fn take_snapshot(&mut self, index: LogIndex) {
        let data = postcard::to_stdvec(&self.store).unwrap_or_default();
        self.step(ReplicaEvent::Snapshot { index, data });
    }

    fn restore(&mut self, index: LogIndex, data: &[u8]) {
        match Store::decode(data) {
            Ok(store) => self.store = store,
            Err(_) => self.note(Note::Unreadable(index)),
        }
        self.trials.follow(self.now, self.store.rollouts());
        self.note_news(index, true);
    }

    fn synced(&mut self, write: WriteId) {
        self.writing.take_if(|(at, _)| *at == write);
        self.step(ReplicaEvent::Synced { write });
        self.tell_disk();
    }

    /// Treats a disk that has not synced for long like a full one.
    ///
    /// A leader whose disk stalls can write nothing new, so that no change is
    /// acknowledged while the others could go on. Handing over is enough: the
    /// others commit without this disk.
    fn tell_disk(&mut self) {
        let patience = self.cfg.disk_patience;
        let stalled = self
            .writing
            .is_some_and(|(_, since)| self.now.saturating_sub(since) > patience);
        if stalled != self.disk_stalled {
            self.disk_stalled = stalled;
            self.note(Note::DiskStalled(stalled));
        }
        self.step(ReplicaEvent::DiskFull(self.disk_full || stalled));
    }

    /// Does what is due whatever happened.
    fn look(&mut self) {
        if self.now < self.look_at {
            return;
        }
        self.look_at = self.now + LOOK_EVERY;
        if self.writing.is_some() || self.disk_stalled {
            self.tell_disk();
        }
        self.give_up_late();
        self.mend_group();
        self.tell_seeds();
        self.move_rollouts();
        self.tell_due();
    }

    fn tell_peers(&mut self, message: &Between) {
        for to in self.peers.others() {
            let message = message.clone();
            self.actions.push(Action::Send { to, message });
        }
    }

    fn note(&mut self, note: Note) {
        self.actions.push(Action::Note(note));
    }
}
