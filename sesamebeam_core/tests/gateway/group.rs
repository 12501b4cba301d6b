//! Simulated group of control replicas with a virtual clock, network and disks.

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
            ApiRequest,
            ApiResponse,
            Coordinator,
            CoordinatorConfig,
            Event, //
        },
        messages::{
            CoordinatorMessage,
            MembershipReply,
            MembershipRequest,
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

use crate::fixtures::ms;

/// Duration of a message delivery or a disk sync.
const DELIVERY_DELAY: Duration = Duration::from_millis(2);

/// Maximum virtual time that a test waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Identity of the group.
const GROUP: u128 = 77;

/// A simulated process.
pub(crate) struct Process {
    pub(crate) core: Coordinator,
    /// Address at which it receives the messages of others.
    addr: SocketAddr,
    pub(crate) disk: SavedState,
    /// Writes that are not synced yet.
    writes: VecDeque<(MonoTime, WriteId, Vec<DiskOp>)>,
    /// Whether its disk is stalled.
    pub(crate) stalled: bool,
    /// Whether it is suspended.
    pub(crate) suspended: bool,
}

/// Simulated processes and the messages in flight between them.
pub(crate) struct Group {
    pub(crate) now: MonoTime,
    pub(crate) processes: BTreeMap<NodeId, Process>,
    in_flight: VecDeque<(MonoTime, NodeId, NodeId, CoordinatorMessage)>,
    partitioned: BTreeSet<(NodeId, NodeId)>,
    pub(crate) responses: BTreeMap<u64, ApiResponse>,
    pub(crate) replies: BTreeMap<u64, MembershipReply>,
    pub(crate) pushed: Vec<(NodeId, ToEntry)>,
    /// Requests sent to processes outside the group, with the recipient's address.
    pub(crate) membership_requests: VecDeque<(SocketAddr, MembershipRequest)>,
    /// Number of announcements that each replica has received from others, including
    /// repeated ones.
    pub(crate) announcements_received: BTreeMap<NodeId, usize>,
    next_ticket: u64,
    tolerated: usize,
}

/// Returns the listen address of a replica.
pub(crate) fn listen_addr(node: NodeId) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, node as u8], 7000))
}

fn members(count: u64) -> Members {
    let mut members = Members::default();
    for node in 1..=count {
        let voter = Member::voter(u128::from(node), Some(listen_addr(node)));
        members.members.insert(node, voter);
    }
    members
}

fn replica_config(node: NodeId, members: Members) -> ReplicaConfig {
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
        snapshot_every_bytes: 1 << 20,
        snapshot_chunk: 64 << 10,
        fast_elections: true,
        seed: node,
        faults: Default::default(),
    }
}

impl Group {
    /// Starts a group of `count` replicas that survives `tolerated` failures.
    pub(crate) fn start(count: u64, tolerated: usize) -> Self {
        let mut group = Self {
            now: ms(0),
            processes: BTreeMap::new(),
            in_flight: VecDeque::new(),
            partitioned: BTreeSet::new(),
            responses: BTreeMap::new(),
            replies: BTreeMap::new(),
            pushed: Vec::new(),
            membership_requests: VecDeque::new(),
            announcements_received: BTreeMap::new(),
            next_ticket: 1,
            tolerated,
        };
        for node in 1..=count {
            group.boot(node, members(count), SavedState::default());
        }
        group
    }

    /// Starts a process with the contents of its disk.
    pub(crate) fn boot(&mut self, node: NodeId, members: Members, disk: SavedState) {
        let known = self.processes.values().map(|p| p.core.peers());
        let known: Vec<_> = known.flat_map(|peers| peers.all()).collect();
        self.start_empty(node);
        let now = self.now;
        let process = self
            .processes
            .get_mut(&node)
            .expect("the process was started");
        process.disk = disk.clone();
        // Whichever process it asks to join tells it the members.
        process.core.learn_peers(known);
        let actions = process.core.start(replica_config(node, members), disk, now);
        self.execute(node, actions);
    }

    /// Starts a process with an empty disk, which is not a member yet.
    pub(crate) fn start_empty(&mut self, node: NodeId) {
        let process = Process {
            core: Coordinator::new(self.settings(node), self.now),
            addr: listen_addr(node),
            disk: SavedState::default(),
            writes: VecDeque::new(),
            stalled: false,
            suspended: false,
        };
        self.processes.insert(node, process);
    }

    fn settings(&self, node: NodeId) -> CoordinatorConfig {
        CoordinatorConfig {
            addr: listen_addr(node),
            domain: format!("hall-{node}").into(),
            tolerated_failures: self.tolerated,
            max_exposure: 0.15,
            request_timeout: ms(800),
            disk_stall_timeout: ms(400),
        }
    }

    /// Has a process listen at the address of another one.
    pub(crate) fn listen_at(&mut self, node: NodeId, other: NodeId) {
        if let Some(process) = self.processes.get_mut(&node) {
            process.addr = listen_addr(other);
        }
    }

    /// Stops a process and returns its disk.
    pub(crate) fn kill(&mut self, node: NodeId) -> SavedState {
        let process = self
            .processes
            .remove(&node)
            .expect("the process is running");
        process.disk
    }

    /// Restarts a process with its disk.
    pub(crate) fn restart(&mut self, node: NodeId, disk: SavedState) {
        self.boot(node, Members::default(), disk);
    }

    /// Partitions a replica from the others.
    pub(crate) fn isolate(&mut self, node: NodeId) {
        for other in 1..=9 {
            self.partitioned.insert((node, other));
            self.partitioned.insert((other, node));
        }
    }

    /// Heals all network partitions.
    pub(crate) fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Returns the leader.
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

    /// Sends a request to a replica and returns its ticket.
    pub(crate) fn send_request(&mut self, node: NodeId, request: ApiRequest) -> u64 {
        let ticket = self.ticket();
        self.event(node, Event::RequestReceived(ticket, request));
        ticket
    }

    /// Sends a request to a replica and waits for the response.
    pub(crate) fn request(&mut self, node: NodeId, request: ApiRequest) -> ApiResponse {
        let ticket = self.send_request(node, request);
        self.run_until(|g| g.responses.contains_key(&ticket));
        self.responses[&ticket].clone()
    }

    /// Sends a membership request to a replica and returns the reply.
    pub(crate) fn request_membership(
        &mut self,
        node: NodeId,
        request: MembershipRequest,
    ) -> MembershipReply {
        let ticket = self.ticket();
        self.event(node, Event::MembershipRequested(ticket, request));
        self.replies[&ticket].clone()
    }

    /// Passes an event to a process.
    pub(crate) fn event(&mut self, node: NodeId, event: Event) {
        let Some(process) = self.processes.get_mut(&node) else {
            return;
        };
        let actions = process.core.handle(self.now, event);
        self.execute(node, actions);
    }

    /// Advances the clock.
    pub(crate) fn run(&mut self, millis: u64) {
        let until = self.now + ms(millis);
        while self.now < until {
            self.step();
        }
    }

    /// Advances the clock until a condition holds.
    pub(crate) fn run_until(&mut self, holds: impl Fn(&Group) -> bool) {
        let until = self.now + MAX_WAIT;
        while !holds(self) {
            assert!(self.now < until, "waited for longer than {MAX_WAIT:?}");
            self.step();
        }
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn step(&mut self) {
        self.now += ms(1);
        let (now, mail) = (self.now, std::mem::take(&mut self.in_flight));
        for (at, from, to, message) in mail {
            let asleep = self.processes.get(&to).is_some_and(|p| p.suspended);
            if at > now || asleep {
                self.in_flight.push_back((at, from, to, message));
            } else if !self.partitioned.contains(&(from, to)) {
                if let CoordinatorMessage::Servers(servers) = &message {
                    *self.announcements_received.entry(to).or_default() += servers.len();
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

    /// Returns the process that receives what another one sends to a member of the group.
    fn recipient(&self, node: NodeId, to: NodeId) -> Option<NodeId> {
        let addr = self.processes.get(&node)?.core.peers().addr(to)?;
        let mut listeners = self.processes.iter().filter(|(_, p)| p.addr == addr);
        listeners.next().map(|(&listener, _)| listener)
    }

    fn execute(&mut self, node: NodeId, actions: Vec<Action>) {
        for action in actions {
            match action {
                // Processes are only connected to members of the group.
                Action::Send { to, message } => {
                    if let Some(to) = self.recipient(node, to) {
                        let at = self.now + DELIVERY_DELAY;
                        self.in_flight.push_back((at, node, to, message));
                    }
                }
                Action::Write { write, ops } => {
                    let at = self.now + DELIVERY_DELAY;
                    if let Some(process) = self.processes.get_mut(&node) {
                        process.writes.push_back((at, write, ops));
                    }
                }
                Action::SendMembershipRequest { to, request } => {
                    self.membership_requests.push_back((to, request))
                }
                Action::ReplyMembership(ticket, reply) => {
                    self.replies.insert(ticket, reply);
                }
                Action::Respond(ticket, response) => {
                    self.responses.insert(ticket, response);
                }
                Action::Push(_, push) => self.pushed.push((node, push)),
                Action::SetSummary(_)
                | Action::SaveServers(_)
                | Action::Peers(_)
                | Action::Log(_) => {}
            }
        }
    }
}
