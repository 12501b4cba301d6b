//! Deterministic simulation around the cores: entries, three control replicas,
//! backend servers and callers, an event queue, seeded faults, and a history of
//! calls and runs that is checked against the guarantees.

pub(crate) mod entry_process;
pub(crate) mod files;
pub(crate) mod group;
pub(crate) mod history;
pub(crate) mod server;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,  //
    rngs::StdRng, //
};
use sesamebeam_core::{
    control::{
        ControlConfig,
        ControlEvent, //
    },
    entry::{
        EntryConfig,
        EntryCore,         //
        event::EntryEvent, //
    },
    fleet::Fleet,
    ids::{
        MonoTime,
        NodeId, //
    },
};

use self::{
    entry_process::{
        EntryProcess,
        ProcessEvent, //
    },
    group::{
        Node,
        Operators, //
    },
    history::History,
    server::{
        Server,
        ServerEvent, //
    },
};

/// Index of an entry.
pub(crate) type EntryNo = usize;

/// Index of a backend server.
pub(crate) type ServerNo = usize;

/// Index of a failure domain.
pub(crate) type DomainNo = usize;

/// Epoch of a process. It changes when the process is started or killed, and
/// events of earlier epochs are dropped.
pub(crate) type Epoch = u64;

/// Interval between ticks of the entries.
const TICK: Duration = Duration::from_millis(100);

/// Maximum number of events, above which a schedule is considered an infinite
/// loop.
const MAX_EVENTS: u64 = 300_000;

/// Faults of the links between failure domains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Net {
    /// Share of messages between failure domains that are lost.
    pub(crate) loss: f64,
    /// Share of messages that are duplicated.
    pub(crate) duplicated: f64,
    /// Maximum delay of a message, in milliseconds.
    pub(crate) delay: u64,
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// All entries receive a tick.
    EntryTicks,
    /// An event of an entry in one epoch.
    Entry(EntryNo, Epoch, ProcessEvent),
    /// An event of a control replica in one epoch.
    Node(NodeId, Epoch, ControlEvent),
    /// A control replica reaches its requested wake-up time.
    Wake(NodeId),
    /// Operators retry changes without a verdict.
    RetryChanges,
    /// An event of a backend server.
    Server(ServerNo, ServerEvent),
    /// A fault begins or ends.
    Fault(Fault),
}

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill(EntryNo),
    Start(EntryNo),
    Freeze(EntryNo),
    Thaw(EntryNo),
    Stop(EntryNo),
    KillNode(NodeId),
    StartNode(NodeId),
    FreezeNode(NodeId),
    ThawNode(NodeId),
    IsolateDomain(DomainNo),
    ReconnectDomain(DomainNo),
    Crash(ServerNo),
    Restart(ServerNo),
    Leave(ServerNo),
    /// Open connections to a backend server become silent permanently.
    SilenceConnections(ServerNo),
    /// Open connections to a backend server break.
    BreakConnections(ServerNo),
}

/// The simulated system.
pub(crate) struct World {
    pub(crate) now: MonoTime,
    pub(crate) rng: StdRng,
    pub(crate) net: Net,
    pub(crate) entries: Vec<EntryProcess>,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) servers: Vec<Server>,
    pub(crate) history: History,
    pub(crate) operators: Operators,
    pub(crate) isolated: BTreeSet<DomainNo>,
    pub(crate) last_seq: u64,
    /// Number of injected faults.
    pub(crate) injected_faults: u64,
    events: BTreeMap<(MonoTime, u64), Event>,
}

impl World {
    /// Creates three failure domains with a control replica each, four entries,
    /// four engines of two versions and two plain services.
    pub(crate) fn new(
        seed: u64,
        entry: impl Fn(&mut EntryConfig),
        control: impl Fn(&mut ControlConfig),
    ) -> Self {
        let mut world = Self {
            now: Duration::from_secs(1),
            rng: StdRng::seed_from_u64(seed),
            net: Net {
                loss: 0.0,
                duplicated: 0.0,
                delay: 4,
            },
            entries: Vec::new(),
            nodes: BTreeMap::new(),
            servers: Vec::new(),
            history: History::default(),
            operators: Operators::default(),
            isolated: BTreeSet::new(),
            last_seq: 0,
            injected_faults: 0,
            events: BTreeMap::new(),
        };
        for id in 1..=3 {
            world.nodes.insert(id, Node::new(id, seed, &control));
            world.start_node(id);
        }
        for at in 0..4 {
            let mut cfg = EntryConfig::new(
                smol_str::format_smolstr!("entry-{at}"),
                files::domain(at % 3),
                1,
            );
            cfg.has_rater = true;
            cfg.policy.servers.lease = Duration::from_secs(4);
            entry(&mut cfg);
            world.entries.push(EntryProcess::new(cfg, at % 3));
        }
        for at in 0..6 {
            world.servers.push(Server::new(at));
        }
        world.schedule(Duration::ZERO, Event::EntryTicks);
        world.apply(0, files::fleet());
        world.run(Duration::from_secs(3));
        for at in 0..4 {
            world.start_entry(at);
        }
        for at in 0..6 {
            world.schedule(Duration::ZERO, Event::Server(at, ServerEvent::Announce(1)));
        }
        world.run(Duration::from_secs(12));
        for process in &world.entries {
            // A system that serves no requests would satisfy every guarantee.
            assert_eq!(process.core().view().revision(), 1);
            assert_eq!(process.core().servers().reachable().count(), 6);
        }
        world
    }

    /// Creates a system with the default configuration.
    pub(crate) fn plain(seed: u64) -> Self {
        Self::new(seed, |_| {}, |_| {})
    }

    /// Schedules an event after a delay.
    pub(crate) fn schedule(&mut self, after: Duration, event: Event) {
        self.last_seq += 1;
        self.events.insert((self.now + after, self.last_seq), event);
    }

    /// Returns a random delay for a message, or `None` if it is lost.
    pub(crate) fn transit_time(&mut self, from: DomainNo, to: DomainNo) -> Option<Duration> {
        if from != to && (self.isolated.contains(&from) || self.isolated.contains(&to)) {
            return None;
        }
        if from != to && self.rng.random_bool(self.net.loss) {
            return None;
        }
        let millis = self.rng.random_range(1..=self.net.delay);
        Some(Duration::from_millis(millis))
    }

    /// Sends a message that may be lost, delayed, duplicated or reordered.
    pub(crate) fn send(&mut self, from: DomainNo, to: DomainNo, event: Event) {
        let copies = 1 + usize::from(self.rng.random_bool(self.net.duplicated));
        for _ in 0..copies {
            if let Some(after) = self.transit_time(from, to) {
                self.schedule(after, event.clone());
            }
        }
    }

    /// Runs for `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= end
        {
            let ((at, n), event) = entry.remove_entry();
            assert!(n < MAX_EVENTS, "infinite loop at {event:?}");
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs until `find` returns a value, for at most a minute.
    pub(crate) fn wait<T>(&mut self, mut find: impl FnMut(&mut Self) -> Option<T>) -> T {
        for _ in 0..6000 {
            if let Some(found) = find(self) {
                return found;
            }
            self.run(Duration::from_millis(10));
        }
        panic!("timed out");
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::EntryTicks => {
                for at in 0..self.entries.len() {
                    let epoch = self.entries[at].epoch;
                    self.handle_process_event(at, epoch, ProcessEvent::Core(EntryEvent::Tick));
                }
                self.schedule(TICK, Event::EntryTicks);
            }
            Event::Entry(at, epoch, event) => self.handle_process_event(at, epoch, event),
            Event::Node(id, epoch, event) => self.handle_node_event(id, epoch, event),
            Event::Wake(id) => self.wake_node(id),
            Event::RetryChanges => self.retry_changes(),
            Event::Server(at, event) => self.handle_server_event(at, event),
            Event::Fault(fault) => self.inject_fault(fault),
        }
    }

    /// Starts or ends a fault.
    pub(crate) fn inject_fault(&mut self, fault: Fault) {
        self.injected_faults += 1;
        match fault {
            Fault::Kill(at) => self.kill_entry(at),
            Fault::Start(at) => self.start_entry(at),
            Fault::Freeze(at) => {
                self.entries[at].frozen.get_or_insert_default();
            }
            Fault::Thaw(at) => self.thaw_entry(at),
            Fault::Stop(at) => {
                let epoch = self.entries[at].epoch;
                self.handle_process_event(at, epoch, ProcessEvent::Core(EntryEvent::Stop));
            }
            Fault::KillNode(id) => self.kill_node(id),
            Fault::StartNode(id) => self.start_node(id),
            Fault::FreezeNode(id) => {
                let node = self.nodes.get_mut(&id).unwrap();
                node.frozen.get_or_insert_default();
            }
            Fault::ThawNode(id) => self.thaw_node(id),
            Fault::IsolateDomain(domain) => {
                self.isolated.insert(domain);
            }
            Fault::ReconnectDomain(domain) => {
                self.isolated.remove(&domain);
            }
            Fault::Crash(at) => self.crash_server(at),
            Fault::Restart(at) => self.restart_server(at),
            Fault::Leave(at) => self.start_leaving(at),
            Fault::SilenceConnections(at) => self.silence_connections(at),
            Fault::BreakConnections(at) => self.break_connections(at),
        }
    }

    /// Ends all faults.
    pub(crate) fn end_faults(&mut self) {
        self.events
            .retain(|_, event| !matches!(event, Event::Fault(_)));
        self.net.loss = 0.0;
        self.net.duplicated = 0.0;
        self.isolated.clear();
        for id in 1..=3 {
            self.thaw_node(id);
            self.start_node(id);
        }
        for at in 0..self.entries.len() {
            self.thaw_entry(at);
            if self.entries[at].drained {
                self.kill_entry(at);
            }
            self.start_entry(at);
        }
        for at in 0..self.servers.len() {
            self.restart_server(at);
        }
    }

    fn start_entry(&mut self, at: EntryNo) {
        let (now, process) = (self.now, &mut self.entries[at]);
        if process.core.is_some() {
            return;
        }
        process.epoch += 1;
        process.cfg.incarnation = process.epoch;
        process.cfg.seed = process.epoch + at as u64 * 1000;
        process.core = Some(EntryCore::new(process.cfg.clone()));
        process.running_since = now;
        process.revision = 0;
        process.drained = false;
    }

    pub(crate) fn record_accepted(&mut self, revision: u64, fleet: &Fleet) {
        self.history.record_accepted(self.now, revision, fleet);
    }
}
