//! A small network of replicas with explicit time, and the invariants.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses its own part of this module"
)]

#[path = "net/checks.rs"]
mod checks;
#[path = "net/delivery.rs"]
mod delivery;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam_core::{
    ids::{
        LogIndex,
        NodeId,
        Term, //
    },
    replica::{
        DiskOp,
        Faults,
        MemberChange,
        Members,
        Rejection,
        Replica,
        ReplicaConfig,
        ReplicaEvent,
        ReplicaMessage,
        Role,
        Saved,
        Ticket,
        WriteId, //
    },
};

/// Lease of the replicas under test.
pub(crate) const LEASE: Duration = Duration::from_millis(1000);

/// Shortest election time-out of the replicas under test.
pub(crate) const ELECTION: Duration = Duration::from_millis(1000);

/// Bound on the clocks' rate error.
pub(crate) const DRIFT: f64 = 0.01;

/// What must never be seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two replicas led in one term.
    TwoLeaders(Term),
    /// Two replicas held a lease at once.
    TwoLeases(NodeId, NodeId),
    /// Different entries were applied at one position.
    Diverged(LogIndex),
    /// A replica passed over an entry that was applied elsewhere.
    Lost(LogIndex),
    /// An entry was committed without a quorum of disks that hold it.
    Unsynced(LogIndex),
    /// A read did not see what was acknowledged before it.
    StaleRead(NodeId),
}

/// The state that a replica's entries make: the entries themselves.
pub(crate) type State = Vec<(LogIndex, Vec<u8>)>;

/// One replica with its clock and disk.
pub(crate) struct Node {
    /// Settings; the incarnation changes with the disk.
    pub cfg: ReplicaConfig,
    /// The replica while it runs.
    pub replica: Option<Replica>,
    /// What is synced.
    pub disk: Saved,
    /// What is written and not synced.
    pub unsynced: Option<(WriteId, Vec<DiskOp>)>,
    /// Applied entries.
    pub state: State,
    /// Last applied entry, or end of the restored snapshot.
    pub applied: LogIndex,
    /// Rate of its clock.
    pub rate: f64,
    /// Number of starts.
    pub life: u64,
    /// Snapshots restored from the leader.
    pub restored: u64,
    /// Last entry that was synced on a disk that is lost since. An
    /// acknowledgement of it may still be on its way, and was true when sent;
    /// the entry stays safe, since the new disk does not vote in its place.
    pub lost: LogIndex,
}

impl Node {
    /// Returns the last entry that is synced.
    fn synced(&self) -> LogIndex {
        let snapshot = self.disk.snapshot.as_ref().map_or(0, |s| s.end.index);
        self.disk.entries.last().map_or(snapshot, |e| e.index)
    }
}

/// What is on its way.
enum Coming {
    Message(NodeId, NodeId, ReplicaMessage),
    Synced(NodeId, u64, WriteId),
}

/// How messages fare.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weather {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that come twice.
    pub doubled: f64,
    /// Shortest delay.
    pub delay: Duration,
    /// Random delay on top, which reorders.
    pub jitter: Duration,
    /// Time that a sync takes.
    pub sync: Duration,
}

impl Default for Weather {
    fn default() -> Self {
        Weather {
            loss: 0.0,
            doubled: 0.0,
            delay: Duration::from_millis(1),
            jitter: Duration::ZERO,
            sync: Duration::from_millis(2),
        }
    }
}

/// Replicas, what is on its way between them, and what was seen.
pub(crate) struct Net {
    pub nodes: BTreeMap<NodeId, Node>,
    pub now: Duration,
    pub weather: Weather,
    pub cut: BTreeSet<(NodeId, NodeId)>,
    pub violations: Vec<Violation>,
    /// Entries that were acknowledged to their proposer.
    pub acked: BTreeMap<Ticket, LogIndex>,
    pub rejected: BTreeMap<Ticket, Rejection>,
    pub changed: BTreeSet<Ticket>,
    pub read: BTreeSet<Ticket>,
    pub leader_changes: u64,
    /// Messages sent.
    pub sent: u64,
    chosen: BTreeMap<LogIndex, Vec<u8>>,
    counted: LogIndex,
    leaders: BTreeMap<Term, (NodeId, u64)>,
    reads: BTreeMap<Ticket, LogIndex>,
    queue: BTreeMap<(Duration, u64), Coming>,
    next: u64,
    /// Steps taken at this instant.
    steps: u64,
    rng: StdRng,
}

impl Net {
    /// Starts a group of `voters` replicas.
    pub(crate) fn new(voters: u64, seed: u64, faults: Faults) -> Self {
        Net::with(voters, seed, faults, |_| {})
    }

    /// Starts a group with changed settings.
    pub(crate) fn with(
        voters: u64,
        seed: u64,
        faults: Faults,
        change: impl Fn(&mut ReplicaConfig),
    ) -> Self {
        let mut net = Net {
            nodes: BTreeMap::new(),
            now: Duration::ZERO,
            weather: Weather::default(),
            cut: BTreeSet::new(),
            violations: Vec::new(),
            acked: BTreeMap::new(),
            rejected: BTreeMap::new(),
            changed: BTreeSet::new(),
            read: BTreeSet::new(),
            leader_changes: 0,
            sent: 0,
            chosen: BTreeMap::new(),
            counted: 0,
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            queue: BTreeMap::new(),
            next: 0,
            steps: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        let members = Members::of_voters((1..=voters).map(|n| (n, u128::from(n) * 100)));
        for id in 1..=voters {
            let mut cfg = config(id, u128::from(id) * 100, seed, faults);
            cfg.members = members.clone();
            change(&mut cfg);
            net.add(cfg);
        }
        net
    }

    /// Starts a replica with a new disk.
    pub(crate) fn add(&mut self, cfg: ReplicaConfig) {
        let id = cfg.id;
        let node = Node {
            cfg,
            replica: None,
            disk: Saved::default(),
            unsynced: None,
            state: Vec::new(),
            applied: 0,
            rate: 1.0,
            life: 0,
            restored: 0,
            lost: 0,
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    /// Starts a replica from its disk.
    pub(crate) fn start(&mut self, id: NodeId) {
        let now = self.local(id, self.now);
        let node = self.nodes.get_mut(&id).unwrap();
        if node.replica.is_some() {
            return;
        }
        node.life += 1;
        node.state.clear();
        node.applied = 0;
        let (replica, actions) = Replica::new(node.cfg.clone(), node.disk.clone(), now);
        node.replica = Some(replica);
        self.act(id, actions);
        self.check();
    }

    /// Cuts a replica's power; an unsynced write is kept or lost as the seed
    /// has it.
    pub(crate) fn crash(&mut self, id: NodeId) {
        let kept = self.rng.random_bool(0.5);
        self.crash_keeping(id, kept);
    }

    /// Cuts a replica's power, and says what becomes of an unsynced write.
    pub(crate) fn crash_keeping(&mut self, id: NodeId, kept: bool) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.replica = None;
        if let Some((_, ops)) = node.unsynced.take()
            && kept
        {
            node.disk.write(&ops);
        }
    }

    /// Loses a replica's disk: it comes back under its number with a new one.
    pub(crate) fn lose_disk(&mut self, id: NodeId) {
        self.crash_keeping(id, false);
        let node = self.nodes.get_mut(&id).unwrap();
        node.lost = node.synced();
        node.disk = Saved::default();
        node.cfg.incarnation += 1;
    }

    /// Cuts a replica off from all others, both ways.
    pub(crate) fn isolate(&mut self, id: NodeId) {
        let others: Vec<NodeId> = self.nodes.keys().copied().filter(|&n| n != id).collect();
        for other in others {
            self.cut.insert((id, other));
            self.cut.insert((other, id));
        }
    }

    /// Lets all messages through again.
    pub(crate) fn heal(&mut self) {
        self.cut.clear();
    }

    /// Proposes at a replica.
    pub(crate) fn propose(&mut self, id: NodeId, ticket: Ticket) {
        let data = ticket.to_le_bytes().to_vec();
        self.event(id, ReplicaEvent::Propose { ticket, data });
    }

    /// Reads at a replica.
    pub(crate) fn read_at(&mut self, id: NodeId, ticket: Ticket) {
        let acked = self.acked.values().copied().max().unwrap_or(0);
        self.reads.insert(ticket, acked);
        self.event(id, ReplicaEvent::Read { ticket });
    }

    /// Changes the membership at a replica.
    pub(crate) fn change(&mut self, id: NodeId, ticket: Ticket, change: MemberChange) {
        self.event(id, ReplicaEvent::Change { ticket, change });
    }

    /// Hands an event to a replica if it runs.
    pub(crate) fn event(&mut self, id: NodeId, event: ReplicaEvent) {
        let now = self.local(id, self.now);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(replica) = &mut node.replica else {
            return;
        };
        let actions = replica.handle(now, event);
        self.act(id, actions);
        self.check();
    }

    /// Runs until a time from now has passed.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.step(until) {}
        self.now = until;
        self.check();
    }

    /// Runs until a condition holds, or fails after a time.
    pub(crate) fn run_until(&mut self, what: &str, limit: Duration, f: impl Fn(&Net) -> bool) {
        let until = self.now + limit;
        while !f(self) {
            assert!(self.step(until), "not within {limit:?}: {what}");
        }
    }

    /// Runs until a condition holds; returns whether it did in time.
    pub(crate) fn reaches(&mut self, limit: Duration, f: impl Fn(&Net) -> bool) -> bool {
        let until = self.now + limit;
        while !f(self) {
            if !self.step(until) {
                return false;
            }
        }
        true
    }

    /// Runs until there is a leader that can answer reads, and returns it.
    pub(crate) fn settle_leader(&mut self) -> NodeId {
        let limit = Duration::from_secs(60);
        self.run_until("a leader with a lease", limit, |net| net.leased().is_some());
        self.leased().unwrap()
    }

    /// Proposes at the leader until it is acknowledged.
    pub(crate) fn commit(&mut self, ticket: Ticket) {
        let limit = self.now + Duration::from_secs(120);
        while !self.acked.contains_key(&ticket) {
            assert!(self.now < limit, "proposal {ticket} is not committed");
            let leader = self.settle_leader();
            self.rejected.remove(&ticket);
            self.propose(leader, ticket);
            self.reaches(Duration::from_secs(5), |net| {
                net.acked.contains_key(&ticket) || net.rejected.contains_key(&ticket)
            });
            if self.rejected.contains_key(&ticket) {
                self.run(Duration::from_millis(50));
            }
        }
    }

    /// Returns the replica that holds a lease.
    pub(crate) fn leased(&self) -> Option<NodeId> {
        let holds = |id: &NodeId| {
            let now = self.local(*id, self.now);
            let replica = self.nodes[id].replica.as_ref();
            replica.is_some_and(|r| r.has_lease(now))
        };
        self.nodes.keys().copied().find(|id| holds(id))
    }

    /// Returns the running replica under a number.
    pub(crate) fn replica(&self, id: NodeId) -> &Replica {
        self.nodes[&id].replica.as_ref().unwrap()
    }

    /// Returns the replicas that think they lead.
    pub(crate) fn leaders(&self) -> Vec<NodeId> {
        let leads = |node: &Node| {
            node.replica
                .as_ref()
                .is_some_and(|r| r.role() == Role::Leader)
        };
        let nodes = self.nodes.iter().filter(|(_, node)| leads(node));
        nodes.map(|(&id, _)| id).collect()
    }

    /// Returns whether every running member has applied as much as any.
    pub(crate) fn is_level(&self) -> bool {
        let running = self.nodes.values().filter(|n| n.replica.is_some());
        let applied: BTreeSet<LogIndex> = running.map(|n| n.applied).collect();
        applied.len() == 1
    }

    /// Returns what a replica's clock shows at a true time.
    fn local(&self, id: NodeId, at: Duration) -> Duration {
        let rate = self.nodes.get(&id).map_or(1.0, |node| node.rate);
        at.mul_f64(rate)
    }
}

/// Returns the settings of a replica under test.
pub(crate) fn config(id: NodeId, incarnation: u128, seed: u64, faults: Faults) -> ReplicaConfig {
    ReplicaConfig {
        id,
        group: 7,
        incarnation,
        members: Members::default(),
        heartbeat: Duration::from_millis(200),
        election: ELECTION,
        lease: LEASE,
        drift: DRIFT,
        max_batch_bytes: 16 << 10,
        snapshot_every: 1_000,
        snapshot_chunk: 4 << 10,
        eager: true,
        seed,
        faults,
    }
}
