//! A replica of the control group, which keeps a replicated log.
//!
//! The algorithm is Raft's with pre-vote, leader leases, learners and chunked
//! snapshots (Ongaro, "Consensus: Bridging Theory and Practice", 2014). The replica
//! does no I/O and reads no clock: each event carries the current time, and the
//! replica returns the actions to perform.
//!
//! Clocks may run at rates that differ from true time by at most
//! [`ReplicaConfig::clock_drift`]; leader leases are shortened so that they are safe
//! within this bound.

pub mod lease;
pub mod member;
pub mod message;
pub mod payload;

mod config;
mod election;
mod following;
mod leading;
mod log;
mod membership;
mod progress;
mod snapshot;
mod writer;

use std::collections::BTreeMap;

pub use config::{
    Faults,
    ReplicaConfig, //
};
pub use member::{
    ChangeError,
    Member,
    MemberChange,
    Members, //
};
pub use message::{
    DiskOp,
    Entry,
    EntryBody,
    HardState,
    LogPosition,
    Rejection,
    ReplicaAction,
    ReplicaBody,
    ReplicaEvent,
    ReplicaMessage,
    Role,
    SavedState,
    Snapshot,
    Ticket,
    WriteId, //
};
pub use payload::Payload;
pub use progress::Replication;

use self::{
    election::Votes,
    leading::Leader,
    log::Log,
    membership::MembershipHistory,
    progress::{
        Mode,
        Progress, //
    },
    snapshot::IncomingSnapshot,
    writer::Writer, //
};
use crate::{
    ids::{
        LogIndex,
        MonoTime,
        NodeId,
        Term, //
    },
    message::control::ReplicaStatus,
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};

/// The role of a replica and the data specific to it.
#[derive(Debug)]
enum RoleState {
    /// Follows a leader or waits for one.
    Follower,
    /// Collects pre-votes.
    PreCandidate(Votes),
    /// Collects votes.
    Candidate(Votes),
    /// Leads the group.
    Leader(Box<Leader>),
}

/// A replica of the control group.
#[derive(Debug)]
pub struct Replica {
    /// Configuration.
    cfg: ReplicaConfig,
    /// Time of the last event; monotonic.
    now: MonoTime,
    /// Random number generator for election timeouts.
    rng: StdRng,
    /// Current term and vote.
    state: HardState,
    /// Entries kept in memory.
    log: Log,
    /// Memberships by the log index from which they apply.
    memberships: MembershipHistory,
    /// Pending and synced disk writes.
    writer: Writer,
    /// Index of the last entry known to be committed. All entries up to it are
    /// applied.
    committed: LogIndex,
    /// Whether all entries committed before this process started are applied.
    current: bool,
    /// Last log position covered by the newest snapshot.
    snapshot_end: LogPosition,
    /// Size of the committed entries after that, in bytes.
    bytes_since_snapshot: usize,
    /// Role and the data specific to it.
    role_state: RoleState,
    /// Leader of the current term, if known.
    leader: Option<NodeId>,
    /// When this replica starts an election.
    election_deadline: MonoTime,
    /// Until when this replica grants no vote, because it heard from a live leader.
    vote_blocked_until: MonoTime,
    /// Highest round received from the leader of the current term.
    latest_round: u64,
    /// Index of the last entry known to match the log of the current term's leader.
    match_index: LogIndex,
    /// Messages held back until term and vote are synced.
    outbox: Vec<(NodeId, ReplicaBody, Term)>,
    /// Whether the disk is full.
    disk_full: bool,
    /// Snapshot being received.
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Index of the snapshot requested from the state machine.
    requested_snapshot: Option<LogIndex>,
    /// Tickets of proposals by log index.
    tickets: BTreeMap<LogIndex, Ticket>,
    /// Actions produced by the event being handled.
    actions: Vec<ReplicaAction>,
}

impl Replica {
    /// Creates a replica from its persisted state.
    pub fn new(cfg: ReplicaConfig, saved: SavedState, now: MonoTime) -> (Self, Vec<ReplicaAction>) {
        let bootstraps = saved.is_empty()
            && cfg.members.get(cfg.id).map(|m| m.incarnation) == Some(cfg.incarnation);
        let mut replica = Replica::from_saved(cfg, saved, now);
        if bootstraps {
            replica.bootstrap();
        }
        if replica.cfg.fast_elections {
            replica.set_initial_election_deadline();
        } else {
            replica.reset_election_deadline();
        }
        if replica.is_sole_voter() {
            replica.election_deadline = now;
        }
        replica.process_pending();
        let actions = std::mem::take(&mut replica.actions);
        (replica, actions)
    }

    /// Handles an event. A `now` before the time of an earlier event is raised to
    /// it.
    pub fn handle(&mut self, now: MonoTime, event: ReplicaEvent) -> Vec<ReplicaAction> {
        self.now = self.now.max(now);
        match event {
            ReplicaEvent::Tick => self.tick(),
            ReplicaEvent::Message { from, message } => self.receive(from, message),
            ReplicaEvent::Propose { ticket, data } => self.propose(ticket, data),
            ReplicaEvent::Read { ticket } => self.read(ticket),
            ReplicaEvent::Change { ticket, change } => self.change(ticket, &change),
            ReplicaEvent::Synced { write } => self.synced(write),
            ReplicaEvent::DiskFull(disk_full) => self.disk_full = disk_full,
            ReplicaEvent::Snapshot { index, data } => self.store_snapshot(index, data),
        }
        self.process_pending();
        std::mem::take(&mut self.actions)
    }

    /// Returns the ID of this replica.
    pub fn id(&self) -> NodeId {
        self.cfg.id
    }

    /// Returns the group ID.
    pub fn group(&self) -> u128 {
        self.cfg.group
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        match self.role_state {
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate(_) => Role::PreCandidate,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.state.term
    }

    /// Returns the index of the last entry known to be committed.
    pub fn committed(&self) -> LogIndex {
        self.committed
    }

    /// Returns whether all entries committed before this process started are
    /// applied here. The log on disk may be far behind, and only a leader can tell
    /// the replica how much of it is committed.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// Returns the index of the last log entry, synced or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.end().index
    }

    /// Returns whether this replica is a leader with an unexpired lease.
    ///
    /// Until the lease expires, no other replica can win an election.
    pub fn has_lease(&self, now: MonoTime) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// Returns the membership that applies at this replica.
    pub fn members(&self) -> &Members {
        self.memberships.current()
    }

    /// Returns the leader's view of each replica's replication status, or an empty
    /// list if this replica is not the leader.
    pub fn progress(&self, now: MonoTime) -> Vec<ReplicaStatus> {
        let RoleState::Leader(leader) = &self.role_state else {
            return Vec::new();
        };
        let status = |(&node, member): (&NodeId, &Member)| ReplicaStatus {
            node,
            voter: member.voter,
            synced: self.match_index_of(leader, node),
            silent: leader.time_since_contact(self.cfg.id, node, now),
        };
        self.members().members.iter().map(status).collect()
    }

    /// Returns the leader's view of the replication to each other member, or an empty list if
    /// this replica is not the leader.
    pub fn replication(&self) -> Vec<Replication> {
        let RoleState::Leader(leader) = &self.role_state else {
            return Vec::new();
        };
        let end = self.log.end().index;
        let of_member = |(&node, progress): (&NodeId, &Progress)| {
            let member = self.members().get(node)?;
            Some(Replication {
                node,
                voter: member.voter,
                replaces: member.replaces,
                lag: end.saturating_sub(progress.match_index),
                silent: leader.time_since_contact(self.cfg.id, node, self.now),
                caught_up: progress.caught_up,
                probing: matches!(progress.mode, Mode::Probe { .. }),
            })
        };
        leader.progress.iter().filter_map(of_member).collect()
    }

    /// Returns how many voters the group can lose and still commit, as known to the leader.
    pub fn spare_voters(&self) -> Option<usize> {
        let RoleState::Leader(_) = &self.role_state else {
            return None;
        };
        let active = self.members().voters().filter(|&n| self.is_active(n));
        Some(active.count().saturating_sub(self.members().quorum()))
    }

    /// Returns when the replica next needs a [`ReplicaEvent::Tick`].
    pub fn next_wake(&self) -> MonoTime {
        match &self.role_state {
            RoleState::Leader(leader) => leader.heartbeat_at,
            _ => self.election_deadline,
        }
    }

    /// Restores a replica from its persisted state.
    fn from_saved(cfg: ReplicaConfig, saved: SavedState, now: MonoTime) -> Self {
        let end = saved
            .snapshot
            .as_ref()
            .map_or(LogPosition::default(), |s| s.end);
        let mut memberships = MembershipHistory::default();
        let mut actions = Vec::new();
        if let Some(snapshot) = saved.snapshot {
            memberships.insert(end.index, snapshot.members);
            if end.index > 0 {
                actions.push(ReplicaAction::Restore {
                    index: end.index,
                    data: snapshot.data.to_vec(),
                });
            }
        }
        for entry in &saved.entries {
            if let EntryBody::Members(members) = &entry.body {
                memberships.insert(entry.index, members.clone());
            }
        }
        if !memberships.current().members.is_empty() {
            actions.push(ReplicaAction::Members(memberships.current().clone()));
        }
        let log = Log::new(end, saved.entries);
        Replica {
            now,
            rng: StdRng::seed_from_u64(cfg.seed ^ cfg.id.rotate_left(32)),
            state: saved.state,
            writer: Writer::new(log.end().index),
            log,
            memberships,
            committed: end.index,
            current: false,
            snapshot_end: end,
            bytes_since_snapshot: 0,
            role_state: RoleState::Follower,
            leader: None,
            election_deadline: now,
            vote_blocked_until: initial_vote_block(&cfg, saved.state, now),
            latest_round: 0,
            match_index: 0,
            outbox: Vec::new(),
            disk_full: false,
            incoming_snapshot: None,
            requested_snapshot: None,
            tickets: BTreeMap::new(),
            actions,
            cfg,
        }
    }

    /// Bootstraps a group: the initial membership is stored as a snapshot that
    /// precedes all entries.
    fn bootstrap(&mut self) {
        let members = self.cfg.members.clone();
        self.memberships.insert(0, members.clone());
        self.actions.push(ReplicaAction::Members(members.clone()));
        self.writer.store_snapshot(Snapshot {
            end: LogPosition::default(),
            members,
            data: Vec::new().into(),
        });
    }

    /// Handles timers that have expired.
    fn tick(&mut self) {
        match &self.role_state {
            RoleState::Leader(_) => self.tick_leader(),
            _ if self.now >= self.election_deadline => self.start_election_if_eligible(),
            _ => {}
        }
    }

    /// Handles a message for this replica from a sender that the group recognises.
    fn receive(&mut self, from: NodeId, message: ReplicaMessage) {
        if !self.is_recipient(&message) || !self.is_valid_sender(from, &message) {
            return;
        }
        let ReplicaMessage { term, body, .. } = message;
        match body {
            ReplicaBody::PreVoteRequest { last } => self.on_pre_vote_request(from, term, last),
            ReplicaBody::VoteRequest { last, transfer } => {
                self.on_vote_request(from, term, last, transfer)
            }
            // A voter that is one term behind responds with its own, lower term.
            ReplicaBody::PreVoteResponse { vote_term, granted } if term <= self.state.term => {
                self.on_pre_vote_response(from, vote_term, granted);
            }
            body => {
                if term > self.state.term {
                    self.enter_term(term);
                }
                if term < self.state.term {
                    self.reject_stale_term(from, &body);
                    return;
                }
                self.receive_in_current_term(from, body);
            }
        }
    }

    /// Handles a message of the current term.
    fn receive_in_current_term(&mut self, from: NodeId, body: ReplicaBody) {
        match body {
            // These are handled before the terms are compared, or rejected because
            // their term is stale.
            ReplicaBody::PreVoteRequest { .. }
            | ReplicaBody::PreVoteResponse { .. }
            | ReplicaBody::VoteRequest { .. } => {}
            ReplicaBody::VoteResponse { granted } => self.on_vote_response(from, granted),
            ReplicaBody::AppendRequest {
                round,
                prev,
                entries,
                committed,
            } => {
                self.on_leader_contact(from, round);
                self.on_append_request(from, prev, entries, committed);
            }
            ReplicaBody::AppendResponse {
                round,
                synced,
                disk_full,
                hint,
            } => self.on_append_response(from, round, synced, disk_full, hint),
            ReplicaBody::SnapshotChunk {
                round,
                end,
                members,
                offset,
                total,
                data,
            } => {
                self.on_leader_contact(from, round);
                self.on_snapshot_chunk(from, end, members, offset, total, &data);
            }
            ReplicaBody::SnapshotChunkResponse {
                round,
                index,
                offset,
            } => self.on_chunk_response(from, round, index, offset),
            ReplicaBody::TimeoutNow => self.on_timeout_now(from),
        }
    }

    /// Returns whether a message is meant for this replica and its data folder.
    ///
    /// A replica that lost its disk joins again under a new ID at its old address, where
    /// messages for its old ID still arrive. If it responded to these, the leader would take
    /// the responses for those to its own messages, and reset its progress time and again.
    fn is_recipient(&self, message: &ReplicaMessage) -> bool {
        let is_folder = |incarnation| incarnation == self.cfg.incarnation;
        message.to == self.cfg.id
            && (message.to_incarnation.is_none_or(is_folder) || self.cfg.faults.accept_swapped_disk)
    }

    /// Returns whether a message belongs to this group and comes from the data
    /// folder recorded for the sender's ID.
    ///
    /// A replica whose disk was lost or swapped no longer holds the entries it
    /// acknowledged. If it still counted under its old ID, it could help elect a
    /// leader without committed entries, and accepted changes would be lost. Its
    /// new folder has a different incarnation, so its messages are ignored. Senders
    /// that are not members here are accepted, because they may belong to a later
    /// membership.
    fn is_valid_sender(&self, from: NodeId, message: &ReplicaMessage) -> bool {
        let members = self.members();
        let recorded = members.get(from).map(|m| m.incarnation);
        let folder_known = recorded.is_none_or(|i| i == message.incarnation);
        message.group == self.cfg.group
            && message.node == from
            && from != self.cfg.id
            && !members.retired.contains(&from)
            && (folder_known || self.cfg.faults.accept_swapped_disk)
    }

    /// Handles the completion of a disk write.
    fn synced(&mut self, write: WriteId) {
        let before = self.writer.synced();
        if !self.writer.complete(write) {
            return;
        }
        self.count_own_vote();
        let grew = self.writer.synced() > before;
        if let (true, RoleState::Follower, Some(leader)) = (grew, &self.role_state, self.leader) {
            self.acknowledge(leader, None);
        }
    }

    /// Performs the work that the event has enabled: commits, disk writes and
    /// sends.
    fn process_pending(&mut self) {
        self.commit_by_quorum();
        self.append_pending_step();
        self.complete_reads();
        self.transfer_if_disk_full();
        let flushed = self
            .writer
            .flush(self.state, &self.log, self.cfg.max_batch_bytes);
        if let Some(ReplicaAction::Write { ops, .. }) = &flushed {
            self.note_flushed(ops);
        }
        self.actions.extend(flushed);
        self.replicate();
        self.send_outbox();
    }

    /// Queues a message until term and vote are synced.
    ///
    /// A vote or acknowledgement sent before its term is on disk can be lost in a
    /// crash and given again, which allows two leaders in one term. Delaying every
    /// message until the sync is safe, because other replicas cannot tell it from
    /// network latency.
    fn send(&mut self, to: NodeId, body: ReplicaBody) {
        self.outbox.push((to, body, self.state.term));
    }

    /// Sends the queued messages once term and vote are synced.
    fn send_outbox(&mut self) {
        if !self.writer.state_synced() {
            return;
        }
        for (to, body, term) in std::mem::take(&mut self.outbox) {
            let message = ReplicaMessage {
                group: self.cfg.group,
                node: self.cfg.id,
                incarnation: self.cfg.incarnation,
                to,
                to_incarnation: self.members().get(to).map(|m| m.incarnation),
                term,
                body,
            };
            self.actions.push(ReplicaAction::Send { to, message });
        }
    }

    /// Rejects the request with this ticket.
    fn reject(&mut self, ticket: Ticket, reason: Rejection) {
        self.actions
            .push(ReplicaAction::Rejected { ticket, reason });
    }

    /// Changes the role and emits an action if it differs.
    fn set_role(&mut self, role_state: RoleState) {
        let before = self.role();
        self.role_state = role_state;
        if self.role() != before {
            self.actions.push(ReplicaAction::Role(self.role()));
        }
    }
}

/// Returns until when a replica that has just started grants no vote.
///
/// It may have promised its vote to a leader's lease right before it stopped. If it
/// voted at once, another candidate could win while that leader still serves reads
/// under its lease. Waiting for one full lease is enough, because the promise lasts
/// no longer than that.
fn initial_vote_block(cfg: &ReplicaConfig, state: HardState, now: MonoTime) -> MonoTime {
    if state.term == 0 || cfg.faults.no_vote_block {
        return now;
    }
    now + cfg.lease
}
