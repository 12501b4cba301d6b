//! Three control replicas in virtual time, with simulated links and disks.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use sesamebeam_core::{
    control::{
        ClientTicket,
        ControlAction,
        ControlConfig,
        ControlCore,
        ControlEvent, //
    },
    fleet::{
        Class,
        Fleet,
        Model,
        Organisation,
        Pool,
        PoolKind,
        Rollout,
        Version,
        VersionState, //
    },
    ids::{
        LogIndex,
        MonoTime,
        NodeId,
        Revision, //
    },
    message::{
        command::{
            Change,
            Order,
            Verdict, //
        },
        control::{
            ControlReply,
            ControlRequest,
            Renew,
            Renewed, //
        },
        record::{
            ClaimEnd,
            ClaimKey,
            ClaimReply,
            ClaimRequest,
            ClaimView,
            Claimant,
            CompleteRequest,
            Completed,
            ServerIncarnation,
            Usage, //
        },
        server::Announcement,
    },
    replica::{
        Entry,
        EntryBody,
        Members,
        ReplicaConfig,
        SavedState, //
    },
    state::Faults,
};

/// Delay of a message, and of a disk sync.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);

/// Maximum virtual time for which a test waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Length of an entry's lease in these tests.
pub(crate) const ENTRY_LEASE: Duration = Duration::from_secs(6);

/// Network bound in these tests.
pub(crate) const NETWORK_BOUND: Duration = Duration::from_secs(2);

/// Dispatch window in these tests.
pub(crate) const WINDOW: Duration = Duration::from_secs(1);

/// One replica with its disk.
struct Node {
    cfg: ControlConfig,
    saved: SavedState,
    sync_time: Duration,
    core: Option<ControlCore>,
}

/// Three control replicas.
pub(crate) struct Group {
    pub(crate) now: MonoTime,
    nodes: BTreeMap<NodeId, Node>,
    events: BTreeMap<(MonoTime, u64), (NodeId, ControlEvent)>,
    isolated: BTreeSet<NodeId>,
    frozen: BTreeMap<NodeId, Vec<ControlEvent>>,
    /// State of the random generator that disturbs messages; 0 disables it.
    rng_state: u64,
    replies: BTreeMap<ClientTicket, (MonoTime, ControlReply)>,
    /// Orders issued, with their leader and time.
    pub(crate) orders: Vec<(NodeId, MonoTime, Order)>,
    last_seq: u64,
}

impl Group {
    pub(crate) fn new(faults: Faults) -> Self {
        Self::with(faults, |_| {})
    }

    /// Creates a group with a changed configuration and waits for its first leader.
    pub(crate) fn with(faults: Faults, change: impl Fn(&mut ControlConfig)) -> Self {
        let mut group = Self {
            now: Duration::from_secs(1),
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            isolated: BTreeSet::new(),
            frozen: BTreeMap::new(),
            rng_state: 0,
            replies: BTreeMap::new(),
            orders: Vec::new(),
            last_seq: 0,
        };
        for id in 1..=3 {
            let mut cfg = ControlConfig::new(replica_config(id));
            cfg.entry_lease = ENTRY_LEASE;
            cfg.network_bound = NETWORK_BOUND;
            cfg.faults = faults;
            change(&mut cfg);
            let node = Node {
                cfg,
                saved: SavedState::default(),
                sync_time: MESSAGE_DELAY,
                core: None,
            };
            group.nodes.insert(id, node);
            group.start(id);
        }
        group.wait_leader();
        group
    }

    /// Starts a replica from its disk.
    pub(crate) fn start(&mut self, id: NodeId) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        let (core, actions) = ControlCore::new(node.cfg.clone(), node.saved.clone(), now);
        node.core = Some(core);
        self.execute(id, actions);
    }

    /// Kills a replica. Its pending events are dropped, such as confirmations of
    /// syncs.
    pub(crate) fn kill(&mut self, id: NodeId) {
        self.nodes.get_mut(&id).unwrap().core = None;
        self.events.retain(|_, (to, _)| *to != id);
    }

    /// Drops all messages between a replica and the others.
    pub(crate) fn isolate(&mut self, id: NodeId) {
        self.isolated.insert(id);
    }

    /// Ends the isolation of a replica.
    pub(crate) fn reconnect(&mut self, id: NodeId) {
        self.isolated.remove(&id);
    }

    /// Appends an entry to the log on a replica's disk, as a newer release might.
    pub(crate) fn append_entry(&mut self, id: NodeId, data: &[u8]) {
        let saved = &mut self.nodes.get_mut(&id).unwrap().saved;
        let last = saved.entries.last().expect("the log has entries");
        let (term, index) = (last.term, last.index + 1);
        saved.entries.push(Entry {
            term,
            index,
            body: EntryBody::Data(data.into()),
        });
    }

    /// Sets the time that a disk sync of a replica takes.
    pub(crate) fn set_sync_time(&mut self, id: NodeId, sync_time: Duration) {
        self.nodes.get_mut(&id).unwrap().sync_time = sync_time;
    }

    /// Freezes the process of a replica; its events are queued.
    pub(crate) fn freeze(&mut self, id: NodeId) {
        self.frozen.entry(id).or_default();
    }

    /// Resumes the process of a replica, which then handles the queued events.
    pub(crate) fn thaw(&mut self, id: NodeId) {
        for event in self.frozen.remove(&id).into_iter().flatten() {
            self.handle(id, event);
        }
    }

    pub(crate) fn core(&self, id: NodeId) -> &ControlCore {
        self.nodes[&id]
            .core
            .as_ref()
            .expect("the replica is running")
    }

    /// Returns the leader that holds its lease.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        let leads = |node: &Node| node.core.as_ref().is_some_and(|c| c.leads(self.now));
        let mut leaders = self.nodes.iter().filter(|(_, node)| leads(node));
        leaders.next().map(|(id, _)| *id)
    }

    pub(crate) fn wait_leader(&mut self) -> NodeId {
        self.run_until(|group| group.leader())
    }

    /// Runs until another replica leads.
    pub(crate) fn wait_other_leader(&mut self, old: NodeId) -> NodeId {
        self.run_until(|group| {
            let mut ids = group.nodes.keys().filter(|id| **id != old);
            let leads = |id: &&NodeId| {
                let core = group.nodes[*id].core.as_ref();
                core.is_some_and(|core| core.leads(group.now))
            };
            ids.find(leads).copied()
        })
    }

    /// Runs until `find` returns a value.
    pub(crate) fn run_until<T>(&mut self, find: impl Fn(&Self) -> Option<T>) -> T {
        let end = self.now + MAX_WAIT;
        loop {
            if let Some(found) = find(self) {
                return found;
            }
            assert!(self.now < end, "timed out");
            self.step(end);
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step(end);
        }
    }

    /// Sends a request without waiting for the reply.
    pub(crate) fn send(&mut self, to: NodeId, req: ControlRequest) -> ClientTicket {
        self.last_seq += 1;
        let ticket = self.last_seq;
        self.handle(to, ControlEvent::Client { ticket, req });
        ticket
    }

    pub(crate) fn reply(&self, ticket: ClientTicket) -> Option<&ControlReply> {
        self.replies.get(&ticket).map(|(_, reply)| reply)
    }

    /// Sends a request to a replica and waits for the reply.
    pub(crate) fn request(&mut self, to: NodeId, req: ControlRequest) -> ControlReply {
        let ticket = self.send(to, req);
        self.run_until(|group| group.reply(ticket).cloned())
    }

    /// Sends a request to the leader and waits for the reply.
    pub(crate) fn request_leader(&mut self, req: ControlRequest) -> ControlReply {
        let leader = self.wait_leader();
        self.request(leader, req)
    }

    pub(crate) fn accept_fleet(&mut self, base: Revision, fleet: Fleet) {
        let reply = self.request_leader(ControlRequest::Apply(change(base, 1, fleet)));
        let accepted = ControlReply::Verdict(Verdict::Accepted(base + 1));
        assert_eq!(reply, accepted);
    }

    pub(crate) fn claim(&mut self, req: ClaimRequest) -> ClaimReply {
        match self.request_leader(ControlRequest::Claim(req)) {
            ControlReply::Claim(reply) => reply,
            other => panic!("expected a claim's reply, got {other:?}"),
        }
    }

    pub(crate) fn claim_view(&mut self) -> ClaimView {
        match self.request_leader(ControlRequest::GetClaim(key())) {
            ControlReply::Claimed(Some(view)) => view,
            other => panic!("expected a claim, got {other:?}"),
        }
    }

    pub(crate) fn renew(&mut self, renew: Renew) -> Renewed {
        match self.request_leader(ControlRequest::Renew(renew)) {
            ControlReply::Renewed(renewed) => renewed,
            other => panic!("expected a renewal, got {other:?}"),
        }
    }

    fn step(&mut self, end: MonoTime) {
        let event = self.events.first_key_value().map(|((at, _), _)| *at);
        let not_frozen = self
            .nodes
            .iter()
            .filter(|(id, _)| !self.frozen.contains_key(*id));
        let running = not_frozen.filter_map(|(_, node)| node.core.as_ref());
        let wake = running.map(ControlCore::next_wake).min();
        let next = event.into_iter().chain(wake).min().unwrap_or(end).min(end);
        self.now = self.now.max(next);
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            let (to, event) = entry.remove();
            self.handle(to, event);
        }
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        for id in ids {
            let core = self.nodes[&id].core.as_ref();
            let core = core.filter(|_| !self.frozen.contains_key(&id));
            if core.is_some_and(|core| core.next_wake() <= self.now) {
                self.handle(id, ControlEvent::Tick);
            }
        }
    }

    pub(crate) fn handle(&mut self, id: NodeId, event: ControlEvent) {
        let now = self.now;
        if let Some(waiting) = self.frozen.get_mut(&id) {
            waiting.push(event);
        } else if let Some(core) = &mut self.nodes.get_mut(&id).unwrap().core {
            let actions = core.handle(now, event);
            self.execute(id, actions);
        }
    }

    fn execute(&mut self, id: NodeId, actions: Vec<ControlAction>) {
        for action in actions {
            match action {
                ControlAction::Send { to, message } => {
                    if !self.isolated.contains(&id) && !self.isolated.contains(&to) {
                        self.transmit(to, &ControlEvent::Peer { from: id, message });
                    }
                }
                ControlAction::Write { write, ops } => {
                    let node = self.nodes.get_mut(&id).unwrap();
                    node.saved.write(&ops);
                    let sync_time = node.sync_time;
                    self.schedule(sync_time, id, ControlEvent::Synced { write });
                }
                ControlAction::Reply { ticket, reply } => {
                    self.replies.insert(ticket, (self.now, reply));
                }
                ControlAction::Order(order) => self.orders.push((id, self.now, order)),
                ControlAction::Members(_) | ControlAction::Notice(_) => {}
            }
        }
    }

    /// Sends a message. If messages are disturbed, it may be lost, duplicated or
    /// reordered.
    fn transmit(&mut self, to: NodeId, event: &ControlEvent) {
        if self.rng_state == 0 {
            self.schedule(MESSAGE_DELAY, to, event.clone());
            return;
        }
        let copies = match self.random_below(20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = MESSAGE_DELAY + MESSAGE_DELAY * self.random_below(15);
            self.schedule(delay, to, event.clone());
        }
    }

    /// Returns a pseudo-random number below `end` (xorshift, Marsaglia 2003).
    fn random_below(&mut self, end: u32) -> u32 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state % u64::from(end)) as u32
    }

    /// Randomly disturbs messages from now on.
    pub(crate) fn disturb_messages(&mut self, seed: u64) {
        self.rng_state = seed.max(1);
    }

    /// Ends all faults and starts the replicas that are down.
    pub(crate) fn heal(&mut self) {
        self.rng_state = 0;
        self.isolated.clear();
        for id in 1..=3 {
            self.thaw(id);
            if self.nodes[&id].core.is_none() {
                self.start(id);
            }
        }
    }

    /// Returns the running replicas.
    pub(crate) fn running(&self) -> impl Iterator<Item = (NodeId, &ControlCore)> {
        let nodes = self.nodes.iter();
        nodes.filter_map(|(id, node)| Some((*id, node.core.as_ref()?)))
    }

    /// Returns the replies so far with their times.
    pub(crate) fn replies(&self) -> impl Iterator<Item = (ClientTicket, MonoTime, &ControlReply)> {
        let replies = self.replies.iter();
        replies.map(|(ticket, (at, reply))| (*ticket, *at, reply))
    }

    fn schedule(&mut self, delay: Duration, to: NodeId, event: ControlEvent) {
        self.last_seq += 1;
        self.events
            .insert((self.now + delay, self.last_seq), (to, event));
    }
}

fn replica_config(id: NodeId) -> ReplicaConfig {
    ReplicaConfig {
        id,
        group: 1,
        incarnation: u128::from(id),
        members: Members::of_voters((1..=3).map(|id| (id, u128::from(id)))),
        heartbeat_interval: Duration::from_millis(50),
        election_timeout: Duration::from_millis(500),
        lease: Duration::from_millis(500),
        clock_drift: 0.01,
        max_batch_bytes: 1 << 20,
        snapshot_every: 200,
        snapshot_every_bytes: 1 << 20,
        snapshot_chunk: 1 << 16,
        fast_elections: false,
        seed: 11,
        faults: Default::default(),
    }
}

pub(crate) fn change(base: Revision, digest: u128, fleet: Fleet) -> Change {
    Change {
        base,
        digest,
        fleet: Box::new(fleet),
        operator: "ana".into(),
        at: 0,
    }
}

/// Creates a fleet with `beam@v1` settled and `beam@v2` rolling out.
pub(crate) fn fleet() -> Fleet {
    let version = |name: &str, state| Version {
        name: name.into(),
        state,
        cost: 1.0,
        prior: 0.9,
        weight_bytes: 10 << 30,
    };
    Fleet {
        name: "vazna".into(),
        domains: vec!["hall-petrzalka".into(), "hall-ruzinov".into()],
        pools: vec![Pool {
            name: "beam-pool".into(),
            kind: PoolKind::Engine,
            checks_fencing: false,
            lookup: false,
            slots: 8,
        }],
        models: vec![Model {
            name: "beam".into(),
            pool: "beam-pool".into(),
            versions: vec![
                version("v1", VersionState::Settled),
                version("v2", VersionState::Rolling),
            ],
        }],
        classes: vec![Class {
            name: "confirmation".into(),
            service: None,
            idempotent: false,
            priority: Default::default(),
            deadline: Duration::from_secs(5),
            cascade: false,
        }],
        organisations: vec![Organisation {
            name: "vazna".into(),
            key_sha256: "00".repeat(32).into(),
            allow: vec!["beam@v1".into(), "beam@v2".into()],
            share: 1.0,
            targets: Vec::new(),
            when_cut: Default::default(),
        }],
        rollouts: vec![Rollout {
            version: "beam@v2".into(),
            steps: vec![0.2, 1.0],
            gate: 10,
            dwell: Duration::from_secs(10),
            copies: 2,
        }],
    }
}

pub(crate) fn key() -> ClaimKey {
    ClaimKey {
        org: "vazna".into(),
        key: "slot-7".into(),
    }
}

pub(crate) fn claimant(n: u64) -> Claimant {
    Claimant {
        instance: smol_str::format_smolstr!("entry-{n}"),
        incarnation: n,
    }
}

pub(crate) fn claim(n: u64, replaces: u32) -> ClaimRequest {
    ClaimRequest {
        key: key(),
        digest: 7,
        request: u128::from(n),
        claimant: claimant(n),
        target: ServerIncarnation {
            addr: ([10, 0, 0, 1], 80).into(),
            incarnation: 1,
        },
        version: Some("beam@v1".into()),
        class: "confirmation".into(),
        window: WINDOW,
        replaces,
    }
}

pub(crate) fn complete(n: u64, generation: u32) -> ControlRequest {
    ControlRequest::Complete(CompleteRequest {
        key: key(),
        generation,
        request: u128::from(n),
        end: ClaimEnd::Completed(Completed {
            status: 200,
            content_type: "text/plain".into(),
            digest: 9,
            length: 2,
            body: Some(b"ok".to_vec()),
        }),
        usage: Usage::default(),
        at: 1,
    })
}

pub(crate) fn renew(n: u64, revision: Revision, live_at: LogIndex) -> Renew {
    Renew {
        entry: claimant(n),
        domain: "hall-petrzalka".into(),
        revision,
        live_at,
        leaving: false,
    }
}

/// Creates the announcement of a backend server of `beam-pool`.
pub(crate) fn announcement(n: u8, seq: u64, versions: &[&str]) -> Announcement {
    Announcement {
        pool: "beam-pool".into(),
        domain: "hall-petrzalka".into(),
        addr: ([10, 0, 0, n], 80).into(),
        incarnation: 1,
        seq,
        leaving: false,
        load: Default::default(),
        versions: versions.iter().map(|v| (*v).into()).collect(),
        cache: Vec::new(),
        speed: 50.0,
    }
}
