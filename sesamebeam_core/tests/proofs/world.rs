//! A small world round the cores: entries, three control replicas, backend
//! servers and callers with their books, one heap of events, seeded faults.

pub(crate) mod books;
pub(crate) mod edge;
pub(crate) mod files;
pub(crate) mod group;
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
    books::Books,
    edge::{
        Edge,
        EdgeEvent, //
    },
    group::{
        Node,
        Operators, //
    },
    server::{
        Server,
        ServerEvent, //
    },
};

/// Number of an entry.
pub(crate) type EntryNo = usize;

/// Number of a backend server.
pub(crate) type ServerNo = usize;

/// Number of a failure domain.
pub(crate) type DomainNo = usize;

/// Lives of one process, counted from 1.
pub(crate) type Life = u64;

/// Time between two ticks of an entry.
const TICK: Duration = Duration::from_millis(100);

/// Events after which a schedule is taken for a loop.
const MOST_EVENTS: u64 = 300_000;

/// How the links between failure domains misbehave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Net {
    /// Share of messages between failure domains that are lost.
    pub(crate) loss: f64,
    /// Share of messages that come twice.
    pub(crate) doubled: f64,
    /// Longest time that a message is under way, in milliseconds.
    pub(crate) delay: u64,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// All entries look at their clocks.
    Ticks,
    /// Something happens to an entry in one life.
    Edge(EntryNo, Life, EdgeEvent),
    /// Something happens to a control replica in one life.
    Node(NodeId, Life, ControlEvent),
    /// A control replica wanted to be woken.
    Wake(NodeId),
    /// An operator asks again.
    Operators,
    /// Something happens to a backend server.
    Server(ServerNo, ServerEvent),
    /// A fault ends or begins.
    Fault(Fault),
}

/// What goes wrong, or right again.
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
    Cut(DomainNo),
    Join(DomainNo),
    Crash(ServerNo),
    Boot(ServerNo),
    Leave(ServerNo),
    /// Open connections to a backend server go silent for good.
    Silence(ServerNo),
    /// Open connections to a backend server break.
    Break(ServerNo),
}

/// The world.
pub(crate) struct World {
    pub(crate) now: MonoTime,
    pub(crate) rng: StdRng,
    pub(crate) net: Net,
    pub(crate) entries: Vec<Edge>,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) servers: Vec<Server>,
    pub(crate) books: Books,
    pub(crate) operators: Operators,
    pub(crate) cuts: BTreeSet<DomainNo>,
    pub(crate) last: u64,
    /// Faults brought about.
    pub(crate) faults: u64,
    events: BTreeMap<(MonoTime, u64), Event>,
}

impl World {
    /// Makes three failure domains with a control replica each, four entries,
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
                doubled: 0.0,
                delay: 4,
            },
            entries: Vec::new(),
            nodes: BTreeMap::new(),
            servers: Vec::new(),
            books: Books::default(),
            operators: Operators::default(),
            cuts: BTreeSet::new(),
            last: 0,
            faults: 0,
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
            world.entries.push(Edge::new(cfg, at % 3));
        }
        for at in 0..6 {
            world.servers.push(Server::new(at));
        }
        world.later(Duration::ZERO, Event::Ticks);
        world.apply(0, files::fleet());
        world.run(Duration::from_secs(3));
        for at in 0..4 {
            world.start(at);
        }
        for at in 0..6 {
            world.later(Duration::ZERO, Event::Server(at, ServerEvent::Announce(1)));
        }
        world.run(Duration::from_secs(12));
        for edge in &world.entries {
            // A world that serves nothing would keep every promise.
            assert_eq!(edge.core().view().revision(), 1);
            assert_eq!(edge.core().servers().reachable().count(), 6);
        }
        world
    }

    /// Makes a world in which nothing is changed.
    pub(crate) fn plain(seed: u64) -> Self {
        Self::new(seed, |_| {}, |_| {})
    }

    /// Lets something happen after a time.
    pub(crate) fn later(&mut self, after: Duration, event: Event) {
        self.last += 1;
        self.events.insert((self.now + after, self.last), event);
    }

    /// Draws the time that a message is under way; none if it is lost.
    pub(crate) fn travel(&mut self, from: DomainNo, to: DomainNo) -> Option<Duration> {
        if from != to && (self.cuts.contains(&from) || self.cuts.contains(&to)) {
            return None;
        }
        if from != to && self.rng.random_bool(self.net.loss) {
            return None;
        }
        let millis = self.rng.random_range(1..=self.net.delay);
        Some(Duration::from_millis(millis))
    }

    /// Sends a message that may be lost, late, doubled or overtaken.
    pub(crate) fn send(&mut self, from: DomainNo, to: DomainNo, event: Event) {
        let copies = 1 + usize::from(self.rng.random_bool(self.net.doubled));
        for _ in 0..copies {
            if let Some(after) = self.travel(from, to) {
                self.later(after, event.clone());
            }
        }
    }

    /// Runs for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= end
        {
            let ((at, n), event) = entry.remove_entry();
            assert!(n < MOST_EVENTS, "a loop: {event:?}");
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = end;
    }

    /// Runs until something is found, for a minute at most.
    pub(crate) fn wait<T>(&mut self, mut find: impl FnMut(&mut Self) -> Option<T>) -> T {
        for _ in 0..6000 {
            if let Some(found) = find(self) {
                return found;
            }
            self.run(Duration::from_millis(10));
        }
        panic!("waited in vain");
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Ticks => {
                for at in 0..self.entries.len() {
                    let life = self.entries[at].life;
                    self.edge(at, life, EdgeEvent::Core(EntryEvent::Tick));
                }
                self.later(TICK, Event::Ticks);
            }
            Event::Edge(at, life, event) => self.edge(at, life, event),
            Event::Node(id, life, event) => self.node(id, life, event),
            Event::Wake(id) => self.wake(id),
            Event::Operators => self.ask_operators(),
            Event::Server(at, event) => self.serve(at, event),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    /// Brings a fault about, or ends one.
    pub(crate) fn fault(&mut self, fault: Fault) {
        self.faults += 1;
        match fault {
            Fault::Kill(at) => self.kill(at),
            Fault::Start(at) => self.start(at),
            Fault::Freeze(at) => {
                self.entries[at].frozen.get_or_insert_default();
            }
            Fault::Thaw(at) => self.thaw(at),
            Fault::Stop(at) => {
                let life = self.entries[at].life;
                self.edge(at, life, EdgeEvent::Core(EntryEvent::Stop));
            }
            Fault::KillNode(id) => self.kill_node(id),
            Fault::StartNode(id) => self.start_node(id),
            Fault::FreezeNode(id) => {
                let node = self.nodes.get_mut(&id).unwrap();
                node.frozen.get_or_insert_default();
            }
            Fault::ThawNode(id) => self.thaw_node(id),
            Fault::Cut(domain) => {
                self.cuts.insert(domain);
            }
            Fault::Join(domain) => {
                self.cuts.remove(&domain);
            }
            Fault::Crash(at) => self.crash(at),
            Fault::Boot(at) => self.boot(at),
            Fault::Leave(at) => self.leave(at),
            Fault::Silence(at) => self.silence(at),
            Fault::Break(at) => self.break_streams(at),
        }
    }

    /// Ends every fault.
    pub(crate) fn heal(&mut self) {
        self.events
            .retain(|_, event| !matches!(event, Event::Fault(_)));
        self.net.loss = 0.0;
        self.net.doubled = 0.0;
        self.cuts.clear();
        for id in 1..=3 {
            self.thaw_node(id);
            self.start_node(id);
        }
        for at in 0..self.entries.len() {
            self.thaw(at);
            if self.entries[at].drained {
                self.kill(at);
            }
            self.start(at);
        }
        for at in 0..self.servers.len() {
            self.boot(at);
        }
    }

    fn start(&mut self, at: EntryNo) {
        let (now, edge) = (self.now, &mut self.entries[at]);
        if edge.core.is_some() {
            return;
        }
        edge.life += 1;
        edge.cfg.incarnation = edge.life;
        edge.cfg.seed = edge.life + at as u64 * 1000;
        edge.core = Some(EntryCore::new(edge.cfg.clone()));
        edge.awake = now;
        edge.revision = 0;
        edge.drained = false;
    }

    pub(crate) fn accepted(&mut self, revision: u64, fleet: &Fleet) {
        self.books.accept(self.now, revision, fleet);
    }
}
