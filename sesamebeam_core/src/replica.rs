//! A replica of the control group: our own replicated log.
//!
//! The algorithm is Raft's with pre-vote, leader leases, learners and chunked
//! snapshots (Ongaro, "Consensus: Bridging Theory and Practice", 2014). The
//! replica reads no clock, disk or socket: it is handed the time with each
//! event and answers with actions.
//!
//! Clocks may run at rates that differ from true time by at most
//! [`ReplicaConfig::drift`]; leases are shortened to hold under that bound.

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
    ChangeFault,
    Member,
    MemberChange,
    Members, //
};
pub use message::{
    DiskOp,
    Entry,
    EntryBody,
    HardState,
    LogEnd,
    Rejection,
    ReplicaAction,
    ReplicaBody,
    ReplicaEvent,
    ReplicaMessage,
    Role,
    Saved,
    Snapshot,
    Ticket,
    WriteId, //
};
pub use payload::Payload;

use self::{
    election::Votes,
    leading::Leader,
    log::Log,
    membership::Memberships,
    snapshot::Incoming,
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

/// What a replica holds in each role.
#[derive(Debug)]
enum Standing {
    /// Follows, or waits.
    Follower,
    /// Asks whether it would win.
    PreCandidate(Votes),
    /// Stands.
    Candidate(Votes),
    /// Leads.
    Leader(Box<Leader>),
}

/// A replica of the control group.
#[derive(Debug)]
pub struct Replica {
    /// Settings.
    cfg: ReplicaConfig,
    /// Time of the last event; never goes back.
    now: MonoTime,
    /// Source of the election time-outs.
    rng: StdRng,
    /// Term and vote.
    state: HardState,
    /// Entries kept in memory.
    log: Log,
    /// Memberships by the position from which they are in force.
    memberships: Memberships,
    /// What the disk has and is still to get.
    writer: Writer,
    /// Last entry known to be committed. All of them are applied.
    committed: LogIndex,
    /// Whether what was committed before this process started is applied.
    current: bool,
    /// End of the newest snapshot.
    snapshot_end: LogEnd,
    /// What the present role holds.
    standing: Standing,
    /// Leader of the present term, if known.
    leader: Option<NodeId>,
    /// When this replica stands for election.
    election_at: MonoTime,
    /// Until when it votes for nobody, because it heard a live leader.
    promise_until: MonoTime,
    /// Highest round heard of the present term's leader.
    round_heard: u64,
    /// Last entry known to match the log of the present term's leader.
    verified: LogIndex,
    /// Messages that wait until term and vote are synced.
    held: Vec<(NodeId, ReplicaBody, Term)>,
    /// Whether the disk is full.
    full: bool,
    /// Snapshot that is being received.
    incoming: Option<Incoming>,
    /// Snapshot that the state was asked for.
    taking: Option<LogIndex>,
    /// Proposals by the position they were given.
    tickets: BTreeMap<LogIndex, Ticket>,
    /// Actions of the event being handled.
    actions: Vec<ReplicaAction>,
}

impl Replica {
    /// Makes a replica from what its disk holds.
    pub fn new(cfg: ReplicaConfig, saved: Saved, now: MonoTime) -> (Self, Vec<ReplicaAction>) {
        let bootstraps = saved.is_empty()
            && cfg.members.get(cfg.id).map(|m| m.incarnation) == Some(cfg.incarnation);
        let mut replica = Replica::from_saved(cfg, saved, now);
        if bootstraps {
            replica.bootstrap();
        }
        if replica.cfg.eager {
            replica.set_first_election();
        } else {
            replica.reset_election();
        }
        if replica.is_sole_voter() {
            replica.election_at = now;
        }
        replica.settle();
        let actions = std::mem::take(&mut replica.actions);
        (replica, actions)
    }

    /// Handles an event at a time that never goes back.
    pub fn handle(&mut self, now: MonoTime, event: ReplicaEvent) -> Vec<ReplicaAction> {
        self.now = self.now.max(now);
        match event {
            ReplicaEvent::Tick => self.tick(),
            ReplicaEvent::Message { from, message } => self.receive(from, message),
            ReplicaEvent::Propose { ticket, data } => self.propose(ticket, data),
            ReplicaEvent::Read { ticket } => self.read(ticket),
            ReplicaEvent::Change { ticket, change } => self.change(ticket, &change),
            ReplicaEvent::Synced { write } => self.synced(write),
            ReplicaEvent::DiskFull(full) => self.full = full,
            ReplicaEvent::Snapshot { index, data } => self.keep_snapshot(index, data),
        }
        self.settle();
        std::mem::take(&mut self.actions)
    }

    /// Returns its number.
    pub fn id(&self) -> NodeId {
        self.cfg.id
    }

    /// Returns the identity of the group.
    pub fn group(&self) -> u128 {
        self.cfg.group
    }

    /// Returns the role.
    pub fn role(&self) -> Role {
        match self.standing {
            Standing::Follower => Role::Follower,
            Standing::PreCandidate(_) => Role::PreCandidate,
            Standing::Candidate(_) => Role::Candidate,
            Standing::Leader(_) => Role::Leader,
        }
    }

    /// Returns the leader of the present term, if one is known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the present term.
    pub fn term(&self) -> Term {
        self.state.term
    }

    /// Returns the last position known to be committed.
    pub fn committed(&self) -> LogIndex {
        self.committed
    }

    /// Returns whether all that was committed before this process started has been
    /// applied here. What a replica finds on its disk may be long out of date, and
    /// it learns how far that is committed only from a leader.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// Returns the end of the log, synced or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.end().index
    }

    /// Returns whether this replica leads under a lease that has not ended.
    ///
    /// While it does, no other replica can win an election.
    pub fn has_lease(&self, now: MonoTime) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// Returns the membership in force here.
    pub fn members(&self) -> &Members {
        self.memberships.current()
    }

    /// Returns the state of each replica, as this leader sees it; nothing if
    /// this replica does not lead.
    pub fn progress(&self, now: MonoTime) -> Vec<ReplicaStatus> {
        let Standing::Leader(leader) = &self.standing else {
            return Vec::new();
        };
        let status = |(&node, member): (&NodeId, &Member)| ReplicaStatus {
            node,
            voter: member.voter,
            synced: self.matched(leader, node),
            silent: leader.silent(self.cfg.id, node, now),
        };
        self.members().members.iter().map(status).collect()
    }

    /// Returns when the replica next needs a [`ReplicaEvent::Tick`].
    pub fn next_wake(&self) -> MonoTime {
        match &self.standing {
            Standing::Leader(leader) => leader.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Takes over what the disk holds.
    fn from_saved(cfg: ReplicaConfig, saved: Saved, now: MonoTime) -> Self {
        let end = saved.snapshot.as_ref().map_or(LogEnd::default(), |s| s.end);
        let mut memberships = Memberships::default();
        let mut actions = Vec::new();
        if let Some(snapshot) = saved.snapshot {
            memberships.adopt(end.index, snapshot.members);
            if end.index > 0 {
                actions.push(ReplicaAction::Restore {
                    index: end.index,
                    data: snapshot.data.to_vec(),
                });
            }
        }
        for entry in &saved.entries {
            if let EntryBody::Members(members) = &entry.body {
                memberships.adopt(entry.index, members.clone());
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
            standing: Standing::Follower,
            leader: None,
            election_at: now,
            promise_until: initial_promise(&cfg, saved.state, now),
            round_heard: 0,
            verified: 0,
            held: Vec::new(),
            full: false,
            incoming: None,
            taking: None,
            tickets: BTreeMap::new(),
            actions,
            cfg,
        }
    }

    /// Starts a group: the first membership is a snapshot before all entries.
    fn bootstrap(&mut self) {
        let members = self.cfg.members.clone();
        self.memberships.adopt(0, members.clone());
        self.actions.push(ReplicaAction::Members(members.clone()));
        self.writer.keep_snapshot(Snapshot {
            end: LogEnd::default(),
            members,
            data: Vec::new().into(),
        });
    }

    /// Does what time asks for.
    fn tick(&mut self) {
        match &self.standing {
            Standing::Leader(_) => self.tick_leader(),
            _ if self.now >= self.election_at => self.stand_if_eligible(),
            _ => {}
        }
    }

    /// Handles a message, if its sender is who the group knows.
    fn receive(&mut self, from: NodeId, message: ReplicaMessage) {
        if !self.is_known(from, &message) {
            return;
        }
        let ReplicaMessage { term, body, .. } = message;
        match body {
            ReplicaBody::PreVote { last } => self.on_pre_vote(from, term, last),
            ReplicaBody::Vote { last, transfer } => self.on_vote(from, term, last, transfer),
            // A voter that is a term behind answers in its own term.
            ReplicaBody::PreVoted { asked, granted } if term <= self.state.term => {
                self.on_pre_voted(from, asked, granted);
            }
            body => {
                if term > self.state.term {
                    self.enter_term(term);
                }
                if term < self.state.term {
                    self.refuse_old_term(from, &body);
                    return;
                }
                self.receive_in_term(from, body);
            }
        }
    }

    /// Handles a message of the present term.
    fn receive_in_term(&mut self, from: NodeId, body: ReplicaBody) {
        match body {
            // Handled before the terms are compared, or refused by the newer one.
            ReplicaBody::PreVote { .. }
            | ReplicaBody::PreVoted { .. }
            | ReplicaBody::Vote { .. } => {}
            ReplicaBody::Voted { granted } => self.on_voted(from, granted),
            ReplicaBody::Append {
                round,
                prev,
                entries,
                committed,
            } => {
                self.hear_leader(from, round);
                self.on_append(from, prev, entries, committed);
            }
            ReplicaBody::Appended {
                round,
                synced,
                full,
                hint,
            } => self.on_appended(from, round, synced, full, hint),
            ReplicaBody::Chunk {
                round,
                end,
                members,
                offset,
                total,
                data,
            } => {
                self.hear_leader(from, round);
                self.on_chunk(from, end, members, offset, total, &data);
            }
            ReplicaBody::Chunked {
                round,
                index,
                offset,
            } => self.on_chunked(from, round, index, offset),
            ReplicaBody::Stand => self.on_stand(from),
        }
    }

    /// Returns whether a message is of this group and of the data folder that
    /// the group knows under the sender's number.
    ///
    /// A replica whose disk was lost or swapped has forgotten what it
    /// acknowledged. Counted under its old number it could help to elect a
    /// leader that lacks committed entries, and accepted changes would be gone.
    /// Its new folder has another incarnation, so nothing it says counts. A
    /// sender that is no member here may be one in a later membership.
    fn is_known(&self, from: NodeId, message: &ReplicaMessage) -> bool {
        let members = self.members();
        let recorded = members.get(from).map(|m| m.incarnation);
        let folder_known = recorded.is_none_or(|i| i == message.incarnation);
        message.group == self.cfg.group
            && message.node == from
            && from != self.cfg.id
            && !members.retired.contains(&from)
            && (folder_known || self.cfg.faults.accept_swapped_disk)
    }

    /// Notes that a write is synced.
    fn synced(&mut self, write: WriteId) {
        let before = self.writer.synced();
        if !self.writer.finish(write) {
            return;
        }
        self.count_own_vote();
        let grew = self.writer.synced() > before;
        if let (true, Standing::Follower, Some(leader)) = (grew, &self.standing, self.leader) {
            self.acknowledge(leader, None);
        }
    }

    /// Does what the event has made possible: commits, writes, sends.
    fn settle(&mut self) {
        self.commit_by_quorum();
        self.take_owed_step();
        self.answer_reads();
        self.yield_if_full();
        let flushed = self
            .writer
            .flush(self.state, &self.log, self.cfg.max_batch_bytes);
        if let Some(ReplicaAction::Write { ops, .. }) = &flushed {
            self.note_flushed(ops);
        }
        self.actions.extend(flushed);
        self.replicate();
        self.release_held();
    }

    /// Sends a message, or holds it until term and vote are synced.
    ///
    /// A vote or acknowledgement that is sent before its term is on the disk
    /// can be forgotten in a crash and given a second time: two leaders in one
    /// term. Holding every message until the sync is enough, since to the
    /// others it looks like a slow network.
    fn send(&mut self, to: NodeId, body: ReplicaBody) {
        self.held.push((to, body, self.state.term));
    }

    /// Sends the messages whose term and vote are synced.
    fn release_held(&mut self) {
        if !self.writer.state_synced() {
            return;
        }
        for (to, body, term) in std::mem::take(&mut self.held) {
            let message = ReplicaMessage {
                group: self.cfg.group,
                node: self.cfg.id,
                incarnation: self.cfg.incarnation,
                term,
                body,
            };
            self.actions.push(ReplicaAction::Send { to, message });
        }
    }

    /// Rejects a ticket.
    fn reject(&mut self, ticket: Ticket, reason: Rejection) {
        self.actions
            .push(ReplicaAction::Rejected { ticket, reason });
    }

    /// Changes the role and tells of it.
    fn take_role(&mut self, standing: Standing) {
        let before = self.role();
        self.standing = standing;
        if self.role() != before {
            self.actions.push(ReplicaAction::Role(self.role()));
        }
    }
}

/// Returns until when a replica that has just started votes for nobody.
///
/// It may have promised a leader not to vote right before it went down. If it
/// voted at once, another could win while that leader still serves under its
/// lease. Waiting out a whole lease is enough, for the promise was no longer.
fn initial_promise(cfg: &ReplicaConfig, state: HardState, now: MonoTime) -> MonoTime {
    if state.term == 0 || cfg.faults.forget_promise {
        return now;
    }
    now + cfg.lease
}
