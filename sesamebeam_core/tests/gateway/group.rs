//! Control replicas with explicit time, and the links and disks between them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    net::SocketAddr,
    time::Duration,
};

use sesamebeam_core::{
    gateway::{
        coordinator::{
            Action,
            Answer,
            Call,
            Coordinator,
            CoordinatorConfig,
            Event, //
        },
        feed::{
            Between,
            Question,
            Reply,
            ToEntry, //
        },
    },
    ids::{
        MonoTime,
        NodeId, //
    },
    replica::{
        DiskOp,
        Member,
        Members,
        ReplicaConfig,
        SavedState,
        WriteId, //
    },
};

use crate::make::ms;

/// Time that a message, or a sync of the disk, takes.
const HOP: Duration = Duration::from_millis(2);

/// Longest virtual time that a test waits for anything.
const PATIENCE: Duration = Duration::from_secs(30);

/// Identity of the group.
const GROUP: u128 = 77;

/// One process.
pub(crate) struct Process {
    pub(crate) core: Coordinator,
    pub(crate) disk: SavedState,
    /// Writes that are not synced yet.
    writes: VecDeque<(MonoTime, WriteId, Vec<DiskOp>)>,
    /// Whether its disk answers.
    pub(crate) stalled: bool,
    /// Time that its clock has missed while it was suspended.
    pub(crate) suspended: bool,
}

/// Replicas, and what is on its way between them.
pub(crate) struct Group {
    pub(crate) now: MonoTime,
    pub(crate) processes: BTreeMap<NodeId, Process>,
    mail: VecDeque<(MonoTime, NodeId, NodeId, Between)>,
    cut: BTreeSet<(NodeId, NodeId)>,
    pub(crate) answers: BTreeMap<u64, Answer>,
    pub(crate) replies: BTreeMap<u64, Reply>,
    pub(crate) pushed: Vec<(NodeId, ToEntry)>,
    /// What processes outside the group were told, with their addresses.
    pub(crate) told: VecDeque<(SocketAddr, Question)>,
    /// Backend servers that each replica was told of by others, each time counted.
    pub(crate) servers_told: BTreeMap<NodeId, usize>,
    next_ticket: u64,
    tolerated: usize,
}

/// Returns where a replica listens.
pub(crate) fn listens(node: NodeId) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, node as u8], 7000))
}

fn members(count: u64) -> Members {
    let mut members = Members::default();
    for node in 1..=count {
        let voter = Member::voter(u128::from(node), Some(listens(node)));
        members.members.insert(node, voter);
    }
    members
}

fn replica(node: NodeId, members: Members) -> ReplicaConfig {
    ReplicaConfig {
        id: node,
        group: GROUP,
        incarnation: u128::from(node),
        members,
        heartbeat_interval: ms(50),
        election_timeout: ms(300),
        lease: ms(240),
        clock_drift: 0.01,
        max_batch_bytes: 1 << 20,
        snapshot_every: 20,
        snapshot_chunk: 64 << 10,
        fast_elections: true,
        seed: node,
        faults: Default::default(),
    }
}

impl Group {
    /// Starts a group of `count` replicas that bears the loss of `tolerated`.
    pub(crate) fn start(count: u64, tolerated: usize) -> Self {
        let mut group = Self {
            now: ms(0),
            processes: BTreeMap::new(),
            mail: VecDeque::new(),
            cut: BTreeSet::new(),
            answers: BTreeMap::new(),
            replies: BTreeMap::new(),
            pushed: Vec::new(),
            told: VecDeque::new(),
            servers_told: BTreeMap::new(),
            next_ticket: 1,
            tolerated,
        };
        for node in 1..=count {
            group.boot(node, members(count), SavedState::default());
        }
        group
    }

    /// Starts a process with what its disk holds.
    pub(crate) fn boot(&mut self, node: NodeId, members: Members, disk: SavedState) {
        let known = self.processes.values().map(|p| p.core.peers());
        let known: Vec<_> = known.flat_map(|peers| peers.all()).collect();
        self.start_empty(node);
        let now = self.now;
        let process = self.processes.get_mut(&node).expect("it was started");
        process.disk = disk.clone();
        // Whoever it asks for a place tells it of the members.
        process.core.learn_peers(known);
        let actions = process.core.start(replica(node, members), disk, now);
        self.carry(node, actions);
    }

    /// Starts a process with an empty disk, which has no place yet.
    pub(crate) fn start_empty(&mut self, node: NodeId) {
        let process = Process {
            core: Coordinator::new(self.settings(node), self.now),
            disk: SavedState::default(),
            writes: VecDeque::new(),
            stalled: false,
            suspended: false,
        };
        self.processes.insert(node, process);
    }

    fn settings(&self, node: NodeId) -> CoordinatorConfig {
        CoordinatorConfig {
            addr: listens(node),
            domain: format!("hall-{node}").into(),
            tolerated: self.tolerated,
            exposure: 0.15,
            patience: ms(800),
            disk_patience: ms(400),
        }
    }

    /// Stops a process and returns its disk.
    pub(crate) fn kill(&mut self, node: NodeId) -> SavedState {
        let process = self.processes.remove(&node).expect("it runs");
        process.disk
    }

    /// Starts a process again with its disk.
    pub(crate) fn restart(&mut self, node: NodeId, disk: SavedState) {
        self.boot(node, Members::default(), disk);
    }

    /// Cuts a replica off from the others.
    pub(crate) fn isolate(&mut self, node: NodeId) {
        for other in 1..=9 {
            self.cut.insert((node, other));
            self.cut.insert((other, node));
        }
    }

    /// Ends all cuts.
    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }

    /// Returns the replica that leads.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        let mut leaders = self.processes.iter().filter(|(_, p)| p.core.leads());
        leaders.next().map(|(&node, _)| node)
    }

    /// Waits for a leader other than `but`.
    pub(crate) fn new_leader(&mut self, but: Option<NodeId>) -> NodeId {
        let found = |g: &Group| {
            let mut leaders = g.processes.iter().filter(|(_, p)| p.core.leads());
            leaders.any(|(&n, _)| Some(n) != but)
        };
        self.run_until(found);
        let mut leaders = self.processes.iter().filter(|(_, p)| p.core.leads());
        let leader = leaders.find(|&(&n, _)| Some(n) != but);
        leader.map(|(&n, _)| n).expect("a leader was found")
    }

    /// Calls a replica and returns the ticket.
    pub(crate) fn call(&mut self, node: NodeId, call: Call) -> u64 {
        let ticket = self.ticket();
        self.event(node, Event::Called(ticket, call));
        ticket
    }

    /// Calls a replica and waits for the answer.
    pub(crate) fn ask(&mut self, node: NodeId, call: Call) -> Answer {
        let ticket = self.call(node, call);
        self.run_until(|g| g.answers.contains_key(&ticket));
        self.answers[&ticket].clone()
    }

    /// Asks a replica about the group.
    pub(crate) fn question(&mut self, node: NodeId, question: Question) -> Reply {
        let ticket = self.ticket();
        self.event(node, Event::Asked(ticket, question));
        self.replies[&ticket].clone()
    }

    /// Hands an event to a process.
    pub(crate) fn event(&mut self, node: NodeId, event: Event) {
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        let actions = process.core.handle(self.now, event);
        self.carry(node, actions);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, millis: u64) {
        let until = self.now + ms(millis);
        while self.now < until {
            self.step();
        }
    }

    /// Lets time pass until something holds.
    pub(crate) fn run_until(&mut self, holds: impl Fn(&Group) -> bool) {
        let until = self.now + PATIENCE;
        while !holds(self) {
            assert!(self.now < until, "waited for longer than {PATIENCE:?}");
            self.step();
        }
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn step(&mut self) {
        self.now += ms(1);
        let (now, mail) = (self.now, std::mem::take(&mut self.mail));
        for (at, from, to, message) in mail {
            let asleep = self.processes.get(&to).is_some_and(|p| p.suspended);
            if at > now || asleep {
                self.mail.push_back((at, from, to, message));
            } else if !self.cut.contains(&(from, to)) {
                if let Between::Servers(servers) = &message {
                    *self.servers_told.entry(to).or_default() += servers.len();
                }
                self.event(to, Event::Peer { from, message });
            }
        }
        let nodes: Vec<NodeId> = self.processes.keys().copied().collect();
        for node in nodes {
            self.sync(node);
            let process = &self.processes[&node];
            if !process.suspended && process.core.next_wake() <= now {
                self.event(node, Event::Tick);
            }
        }
    }

    fn sync(&mut self, node: NodeId) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        if process.stalled || process.suspended {
            return;
        }
        let due = process.writes.front().is_some_and(|(at, ..)| *at <= now);
        if let Some((_, write, ops)) = process.writes.pop_front_if(|_| due) {
            process.disk.write(&ops);
            self.event(node, Event::Synced(write));
        }
    }

    fn connects(&self, node: NodeId, to: NodeId) -> bool {
        let process = self.processes.get(&node);
        process.is_some_and(|p| p.core.peers().addr(to).is_some())
    }

    fn carry(&mut self, node: NodeId, actions: Vec<Action>) {
        for action in actions {
            match action {
                // There are connections to members of the group alone.
                Action::Send { to, .. } if !self.connects(node, to) => {}
                Action::Send { to, message } => {
                    self.mail.push_back((self.now + HOP, node, to, message));
                }
                Action::Write { write, ops } => {
                    let at = self.now + HOP;
                    if let Some(process) = self.processes.get_mut(&node) {
                        process.writes.push_back((at, write, ops));
                    }
                }
                Action::Tell { to, told } => self.told.push_back((to, told)),
                Action::Reply(ticket, reply) => {
                    self.replies.insert(ticket, reply);
                }
                Action::Answer(ticket, answer) => {
                    self.answers.insert(ticket, answer);
                }
                Action::Push(_, push) => self.pushed.push((node, push)),
                Action::Holds(_) | Action::KeepServers(_) | Action::Peers(_) | Action::Note(_) => {}
            }
        }
    }
}
