//! A simulated network of replicas with explicit time, and checks of the
//! invariants.

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
        SavedState,
        Ticket,
        WriteId, //
    },
};

/// Lease of the replicas under test.
pub(crate) const LEASE: Duration = Duration::from_millis(1000);

/// Minimum election timeout of the replicas under test.
pub(crate) const ELECTION: Duration = Duration::from_millis(1000);

/// Bound on the rate error of clocks.
pub(crate) const DRIFT: f64 = 0.01;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two replicas led in one term.
    TwoLeaders(Term),
    /// Two replicas held a lease at the same time.
    TwoLeases(NodeId, NodeId),
    /// Different entries were applied at the same index.
    Diverged(LogIndex),
    /// A replica skipped an entry that another replica had applied.
    Lost(LogIndex),
    /// An entry was committed without being synced by a quorum.
    Unsynced(LogIndex),
    /// A read did not observe an entry acknowledged before it.
    StaleRead(NodeId),
}

/// Replicated state: the list of applied entries.
pub(crate) type State = Vec<(LogIndex, Vec<u8>)>;

/// A replica with its clock and disk.
pub(crate) struct Node {
    /// Configuration; the incarnation changes with the disk.
    pub cfg: ReplicaConfig,
    /// The replica while it runs.
    pub replica: Option<Replica>,
    /// Synced data.
    pub disk: SavedState,
    /// The unsynced write in flight.
    pub unsynced: Option<(WriteId, Vec<DiskOp>)>,
    /// Applied entries.
    pub state: State,
    /// Index of the last applied entry, or of the end of the restored snapshot.
    pub applied: LogIndex,
    /// Rate of its clock relative to true time.
    pub rate: f64,
    /// Number of starts.
    pub start_count: u64,
    /// Number of restored snapshots.
    pub restored: u64,
    /// Index of the last entry synced on a disk that was lost later. Its
    /// acknowledgement may still be in transit and was correct when sent. The entry
    /// is still safe, because the new disk has no vote under the old ID.
    pub lost_synced: LogIndex,
}

impl Node {
    /// Returns the index of the last synced entry.
    fn synced(&self) -> LogIndex {
        let snapshot = self.disk.snapshot.as_ref().map_or(0, |s| s.end.index);
        self.disk.entries.last().map_or(snapshot, |e| e.index)
    }
}

/// An event in the queue.
enum QueuedEvent {
    Message(NodeId, NodeId, ReplicaMessage),
    Synced(NodeId, u64, WriteId),
}

/// Properties of the network and of the disks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NetworkConditions {
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Fraction of messages that are duplicated.
    pub duplicate: f64,
    /// Minimum delay.
    pub delay: Duration,
    /// Maximum additional random delay, which reorders messages.
    pub jitter: Duration,
    /// Duration of a disk sync.
    pub sync: Duration,
    /// Time that a replica takes to receive a log entry.
    pub receive: Duration,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions {
            loss: 0.0,
            duplicate: 0.0,
            delay: Duration::from_millis(1),
            jitter: Duration::ZERO,
            sync: Duration::from_millis(2),
            receive: Duration::ZERO,
        }
    }
}

/// A simulated group: replicas, queued events and recorded results.
pub(crate) struct Net {
    pub nodes: BTreeMap<NodeId, Node>,
    pub now: Duration,
    pub conditions: NetworkConditions,
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    /// Replicas whose address another one has taken over, which receives their messages.
    pub taken_over: BTreeMap<NodeId, NodeId>,
    /// Duration of a sync where it differs from that of other disks.
    pub slow_disks: BTreeMap<NodeId, Duration>,
    /// When each replica has received the entries sent to it so far.
    pub received_at: BTreeMap<NodeId, Duration>,
    pub violations: Vec<Violation>,
    /// Index of each acknowledged proposal.
    pub acked: BTreeMap<Ticket, LogIndex>,
    pub rejected: BTreeMap<Ticket, Rejection>,
    pub changed: BTreeSet<Ticket>,
    pub completed_reads: BTreeSet<Ticket>,
    pub leader_changes: u64,
    /// Messages sent.
    pub sent: u64,
    applied_entries: BTreeMap<LogIndex, Vec<u8>>,
    checked_commit: LogIndex,
    leaders: BTreeMap<Term, (NodeId, u64)>,
    acked_at_read: BTreeMap<Ticket, LogIndex>,
    queue: BTreeMap<(Duration, u64), QueuedEvent>,
    next_event: u64,
    /// Number of steps executed at the current time.
    steps: u64,
    rng: StdRng,
}

impl Net {
    /// Starts a group of `voters` replicas.
    pub(crate) fn new(voters: u64, seed: u64, faults: Faults) -> Self {
        Net::with(voters, seed, faults, |_| {})
    }

    /// Starts a group with a modified configuration.
    pub(crate) fn with(
        voters: u64,
        seed: u64,
        faults: Faults,
        change: impl Fn(&mut ReplicaConfig),
    ) -> Self {
        let mut net = Net {
            nodes: BTreeMap::new(),
            now: Duration::ZERO,
            conditions: NetworkConditions::default(),
            cut_links: BTreeSet::new(),
            taken_over: BTreeMap::new(),
            slow_disks: BTreeMap::new(),
            received_at: BTreeMap::new(),
            violations: Vec::new(),
            acked: BTreeMap::new(),
            rejected: BTreeMap::new(),
            changed: BTreeSet::new(),
            completed_reads: BTreeSet::new(),
            leader_changes: 0,
            sent: 0,
            applied_entries: BTreeMap::new(),
            checked_commit: 0,
            leaders: BTreeMap::new(),
            acked_at_read: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_event: 0,
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

    /// Starts a replica with an empty disk.
    pub(crate) fn add(&mut self, cfg: ReplicaConfig) {
        let id = cfg.id;
        let node = Node {
            cfg,
            replica: None,
            disk: SavedState::default(),
            unsynced: None,
            state: Vec::new(),
            applied: 0,
            rate: 1.0,
            start_count: 0,
            restored: 0,
            lost_synced: 0,
        };
        self.nodes.insert(id, node);
        self.start(id);
    }

    /// Starts a replica from its disk.
    pub(crate) fn start(&mut self, id: NodeId) {
        let now = self.local_time(id, self.now);
        let node = self.nodes.get_mut(&id).unwrap();
        if node.replica.is_some() {
            return;
        }
        node.start_count += 1;
        node.state.clear();
        node.applied = 0;
        let (replica, actions) = Replica::new(node.cfg.clone(), node.disk.clone(), now);
        node.replica = Some(replica);
        self.perform(id, actions);
        self.check();
    }

    /// Crashes a replica; whether an unsynced write is kept depends on the seed.
    pub(crate) fn crash(&mut self, id: NodeId) {
        let kept = self.rng.random_bool(0.5);
        self.crash_keeping(id, kept);
    }

    /// Crashes a replica and keeps or loses its unsynced write.
    pub(crate) fn crash_keeping(&mut self, id: NodeId, kept: bool) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.replica = None;
        if let Some((_, ops)) = node.unsynced.take()
            && kept
        {
            node.disk.write(&ops);
        }
    }

    /// Replaces a replica's disk by an empty one under the same ID.
    pub(crate) fn lose_disk(&mut self, id: NodeId) {
        self.crash_keeping(id, false);
        let node = self.nodes.get_mut(&id).unwrap();
        node.lost_synced = node.synced();
        node.disk = SavedState::default();
        node.cfg.incarnation += 1;
    }

    /// Disconnects all links of a replica in both directions.
    pub(crate) fn isolate(&mut self, id: NodeId) {
        let others: Vec<NodeId> = self.nodes.keys().copied().filter(|&n| n != id).collect();
        for other in others {
            self.cut_links.insert((id, other));
            self.cut_links.insert((other, id));
        }
    }

    /// Restores all links.
    pub(crate) fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Proposes an entry at a replica.
    pub(crate) fn propose(&mut self, id: NodeId, ticket: Ticket) {
        let data = ticket.to_le_bytes().to_vec();
        self.event(id, ReplicaEvent::Propose { ticket, data });
    }

    /// Requests a read at a replica.
    pub(crate) fn read_at(&mut self, id: NodeId, ticket: Ticket) {
        let acked = self.acked.values().copied().max().unwrap_or(0);
        self.acked_at_read.insert(ticket, acked);
        self.event(id, ReplicaEvent::Read { ticket });
    }

    /// Requests a membership change at a replica.
    pub(crate) fn change(&mut self, id: NodeId, ticket: Ticket, change: MemberChange) {
        self.event(id, ReplicaEvent::Change { ticket, change });
    }

    /// Passes an event to a replica if it is running.
    pub(crate) fn event(&mut self, id: NodeId, event: ReplicaEvent) {
        let now = self.local_time(id, self.now);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(replica) = &mut node.replica else {
            return;
        };
        let actions = replica.handle(now, event);
        self.perform(id, actions);
        self.check();
    }

    /// Runs for the given time.
    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.step(until) {}
        self.now = until;
        self.check();
    }

    /// Runs until a condition holds; panics if it does not within `limit`.
    pub(crate) fn run_until(&mut self, what: &str, limit: Duration, f: impl Fn(&Net) -> bool) {
        let until = self.now + limit;
        while !f(self) {
            assert!(
                self.step(until),
                "timed out after {limit:?} waiting for: {what}"
            );
        }
    }

    /// Runs until a condition holds; returns whether it did within `limit`.
    pub(crate) fn runs_until(&mut self, limit: Duration, f: impl Fn(&Net) -> bool) -> bool {
        let until = self.now + limit;
        while !f(self) {
            if !self.step(until) {
                return false;
            }
        }
        true
    }

    /// Runs until a replica holds a leader lease, and returns it.
    pub(crate) fn wait_for_leader(&mut self) -> NodeId {
        let limit = Duration::from_secs(60);
        self.run_until("a leader with a lease", limit, |net| {
            net.lease_holder().is_some()
        });
        self.lease_holder().unwrap()
    }

    /// Proposes an entry at the leader, with retries, until it is acknowledged.
    pub(crate) fn commit(&mut self, ticket: Ticket) {
        let limit = self.now + Duration::from_secs(120);
        while !self.acked.contains_key(&ticket) {
            assert!(self.now < limit, "proposal {ticket} is not committed");
            let leader = self.wait_for_leader();
            self.rejected.remove(&ticket);
            self.propose(leader, ticket);
            self.runs_until(Duration::from_secs(5), |net| {
                net.acked.contains_key(&ticket) || net.rejected.contains_key(&ticket)
            });
            if self.rejected.contains_key(&ticket) {
                self.run(Duration::from_millis(50));
            }
        }
    }

    /// Returns the replica that holds a lease.
    pub(crate) fn lease_holder(&self) -> Option<NodeId> {
        let holds = |id: &NodeId| {
            let now = self.local_time(*id, self.now);
            let replica = self.nodes[id].replica.as_ref();
            replica.is_some_and(|r| r.has_lease(now))
        };
        self.nodes.keys().copied().find(|id| holds(id))
    }

    /// Returns the running replica with an ID.
    pub(crate) fn replica(&self, id: NodeId) -> &Replica {
        self.nodes[&id].replica.as_ref().unwrap()
    }

    /// Returns the replicas that consider themselves the leader.
    pub(crate) fn leaders(&self) -> Vec<NodeId> {
        let leads = |node: &Node| {
            node.replica
                .as_ref()
                .is_some_and(|r| r.role() == Role::Leader)
        };
        let nodes = self.nodes.iter().filter(|(_, node)| leads(node));
        nodes.map(|(&id, _)| id).collect()
    }

    /// Returns whether all running replicas have applied entries up to the same
    /// index.
    pub(crate) fn all_applied_equal(&self) -> bool {
        let running = self.nodes.values().filter(|n| n.replica.is_some());
        let applied: BTreeSet<LogIndex> = running.map(|n| n.applied).collect();
        applied.len() == 1
    }

    /// Returns the time on a replica's clock at a true time.
    fn local_time(&self, id: NodeId, at: Duration) -> Duration {
        let rate = self.nodes.get(&id).map_or(1.0, |node| node.rate);
        at.mul_f64(rate)
    }
}

/// Returns the configuration of a replica under test.
pub(crate) fn config(id: NodeId, incarnation: u128, seed: u64, faults: Faults) -> ReplicaConfig {
    ReplicaConfig {
        id,
        group: 7,
        incarnation,
        members: Members::default(),
        heartbeat_interval: Duration::from_millis(200),
        election_timeout: ELECTION,
        lease: LEASE,
        clock_drift: DRIFT,
        max_batch_bytes: 16 << 10,
        snapshot_every: 1_000,
        snapshot_every_bytes: 1 << 20,
        snapshot_chunk: 4 << 10,
        fast_elections: true,
        seed,
        faults,
    }
}
