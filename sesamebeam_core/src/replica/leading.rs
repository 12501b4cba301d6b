//! The leader role: proposals, replication, commits and linearizable reads.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    Replica, RoleState,
    lease::{
        Rounds,
        leader_lease, //
    },
    log::entry_bytes,
    member::Members,
    message::{
        DiskOp,
        Entry,
        EntryBody,
        LogPosition,
        Rejection,
        ReplicaAction,
        ReplicaBody,
        Snapshot,
        Ticket, //
    },
    progress::{
        Mode,
        Progress,
        SendContext, //
    },
};
use crate::ids::{
    LogIndex,
    MonoTime,
    NodeId, //
};

/// Number of unwritten batches above which proposals are rejected.
const MAX_UNWRITTEN_BATCHES: usize = 16;

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// Index of the first entry of the leader's term.
    pub(super) term_start: LogIndex,
    /// Time of the election.
    elected_at: MonoTime,
    /// When the next heartbeat is due.
    pub(super) heartbeat_at: MonoTime,
    /// Whether a heartbeat is sent with the current event.
    heartbeat_due: bool,
    /// Whether a pending read needs a round that starts after it.
    needs_new_round: bool,
    /// Message rounds and their acknowledgement.
    rounds: Rounds,
    /// Replication progress of the other replicas.
    pub(super) progress: BTreeMap<NodeId, Progress>,
    /// Pending reads, each with the round that a quorum must acknowledge first.
    reads: VecDeque<(Ticket, u64)>,
    /// Index and ticket of the membership change in flight.
    pub(super) change: Option<(LogIndex, Option<Ticket>)>,
    /// Snapshot being sent to replicas that lag too far behind the log.
    pub(super) snapshot: Option<Snapshot>,
    /// Bytes of entries not handed to the disk yet.
    unwritten_bytes: usize,
}

impl Leader {
    /// Creates the state of a newly elected leader.
    fn new(now: MonoTime, term_start: LogIndex) -> Self {
        Leader {
            term_start,
            elected_at: now,
            heartbeat_at: now,
            heartbeat_due: true,
            needs_new_round: false,
            rounds: Rounds::new(),
            progress: BTreeMap::new(),
            reads: VecDeque::new(),
            change: None,
            snapshot: None,
            unwritten_bytes: 0,
        }
    }

    /// Returns the tickets of pending reads.
    pub(super) fn pending_reads(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.reads.iter().map(|&(ticket, _)| ticket)
    }

    /// Returns the ticket of the uncommitted membership change.
    pub(super) fn pending_change(&self) -> Option<Ticket> {
        self.change.and_then(|(_, ticket)| ticket)
    }

    /// Returns the time since the last message from a replica.
    pub(super) fn time_since_contact(&self, own: NodeId, node: NodeId, now: MonoTime) -> Duration {
        if own == node {
            return Duration::ZERO;
        }
        let last_contact = self.progress.get(&node).and_then(|p| p.last_contact);
        now.saturating_sub(last_contact.unwrap_or(self.elected_at))
    }

    /// Returns whether any replica needs a snapshot or is receiving one.
    pub(super) fn needs_snapshot(&self) -> bool {
        let in_snapshot = |p: &Progress| matches!(p.mode, Mode::Snapshot { .. });
        self.progress.values().any(in_snapshot)
    }

    /// Adds and removes progress entries to match the membership.
    fn update_members(&mut self, own: NodeId, members: &Members, next: LogIndex) {
        self.progress
            .retain(|node, _| members.members.contains_key(node));
        for &node in members.members.keys().filter(|&&node| node != own) {
            self.progress
                .entry(node)
                .or_insert_with(|| Progress::new(next));
        }
        let round = self.rounds.last();
        for old in members.members.values().filter_map(|m| m.replaces) {
            if let Some(progress) = self.progress.get_mut(&old) {
                progress.replaced_in_round.get_or_insert(round);
            }
        }
    }

    /// Updates the last round acknowledged by a quorum.
    fn note_acked_round(&mut self, own: NodeId, members: &Members) {
        let acked = |node| match self.progress.get(&node) {
            Some(p) => p.round,
            None if node == own => self.rounds.last(),
            None => 0,
        };
        let round = quorum_value(members, acked);
        self.rounds.note_acked_round(round);
    }
}

/// Returns the highest value reached by a quorum of voters.
fn quorum_value(members: &Members, value: impl Fn(NodeId) -> u64) -> u64 {
    let mut values: Vec<u64> = members.voters().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(members.quorum() - 1).copied().unwrap_or(0)
}

impl Replica {
    /// Becomes the leader and appends the first entry of the term.
    ///
    /// The first entry is a no-op. Entries of earlier terms are committed only
    /// through it: committed by replica count alone, they could still be
    /// overwritten by a leader without them after they were applied here.
    pub(super) fn become_leader(&mut self) {
        let term_start = self.log.end().index + 1;
        let leader = Leader::new(self.now, term_start);
        self.leader = Some(self.cfg.id);
        self.set_role(RoleState::Leader(Box::new(leader)));
        self.append(EntryBody::Noop);
        self.update_leader_members();
    }

    /// Handles the leader's timers.
    ///
    /// A leader steps down if no quorum has responded for the quorum timeout, so
    /// that its callers try another replica. Its lease has expired long before.
    pub(super) fn tick_leader(&mut self) {
        let quorum_timeout = self.quorum_timeout();
        let heartbeat = self.cfg.heartbeat_interval;
        let now = self.now;
        let sole_voter = self.is_sole_voter();
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let acked_at = leader.rounds.acked_sent_at().unwrap_or(leader.elected_at);
        if !sole_voter && now > acked_at + quorum_timeout {
            self.become_follower(None);
            return;
        }
        if now >= leader.heartbeat_at {
            leader.heartbeat_due = true;
            leader.heartbeat_at = now + heartbeat;
        }
    }

    /// Appends a proposal to the log.
    pub(super) fn propose(&mut self, ticket: Ticket, data: Vec<u8>) {
        if let Err(reason) = self.check_can_propose() {
            self.reject(ticket, reason);
            return;
        }
        let index = self.append(EntryBody::Data(data.into()));
        self.tickets.insert(index, ticket);
    }

    /// Queues a read until the lease or a quorum round confirms leadership.
    pub(super) fn read(&mut self, ticket: Ticket) {
        let has_lease = self.has_lease(self.now);
        match &mut self.role_state {
            RoleState::Leader(leader) => {
                leader.reads.push_back((ticket, leader.rounds.last() + 1));
                leader.needs_new_round |= !has_lease;
            }
            _ => self.reject(ticket, Rejection::NotLeader(self.leader)),
        }
    }

    /// Completes the reads that are known to be linearizable.
    ///
    /// A leader that was deposed without noticing would serve stale state. A valid
    /// lease rules this out. Without one, a quorum that acknowledges a round sent
    /// after the read proves that this replica was still the leader.
    pub(super) fn complete_reads(&mut self) {
        let under_lease = self.has_lease(self.now) || self.cfg.faults.serve_after_lease;
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        if self.committed < leader.term_start {
            return;
        }
        let acked = leader.rounds.acked();
        while let Some((ticket, _)) = leader
            .reads
            .pop_front_if(|(_, round)| under_lease || *round <= acked)
        {
            self.actions.push(ReplicaAction::ReadReady { ticket });
        }
    }

    /// Handles a replica's response to entries or a heartbeat.
    pub(super) fn on_append_response(
        &mut self,
        from: NodeId,
        round: u64,
        synced: LogIndex,
        disk_full: bool,
        hint: Option<LogPosition>,
    ) {
        let limit = self.cfg.election_timeout;
        let end = self.log.end().index;
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.record_contact(self.now, round);
        progress.disk_full = disk_full;
        match hint {
            Some(hint) => progress.probe_after(self.log.probe_index(hint)),
            None => progress.advance(synced.min(end)),
        }
        progress.update_caught_up(self.now, end, limit);
        leader.note_acked_round(self.cfg.id, self.memberships.current());
    }

    /// Handles a replica's response to a snapshot chunk.
    pub(super) fn on_chunk_response(
        &mut self,
        from: NodeId,
        round: u64,
        index: LogIndex,
        offset: u64,
    ) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.record_contact(self.now, round);
        if let Some(snapshot) = leader.snapshot.as_ref().filter(|s| s.end.index == index) {
            progress.note_chunk(index, snapshot.data.len() as u64, offset);
        }
        leader.note_acked_round(self.cfg.id, self.memberships.current());
    }

    /// Appends an entry in the current term.
    pub(super) fn append(&mut self, body: EntryBody) -> LogIndex {
        let index = self.log.end().index + 1;
        let entry = Entry {
            term: self.state.term,
            index,
            body,
        };
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.unwritten_bytes += entry_bytes(&entry);
        }
        self.push_entry(entry);
        index
    }

    /// Updates the tracked replicas to the current membership.
    pub(super) fn update_leader_members(&mut self) {
        let next = self.log.end().index;
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.update_members(self.cfg.id, self.memberships.current(), next);
        }
    }

    /// Commits the entries that a quorum has synced.
    pub(super) fn commit_by_quorum(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let index = quorum_value(self.members(), |node| self.match_index_of(leader, node));
        let own_term = self.log.term_at(index) == Some(self.state.term);
        if index > self.committed && (own_term || self.cfg.faults.commit_old_terms) {
            self.commit_to(index);
            self.current = true;
        }
    }

    /// Commits and applies the entries up to `index`.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        while self.committed < index {
            let next = self.committed + 1;
            let Some(entry) = self.log.get(next) else {
                break;
            };
            let body = entry.body.clone();
            self.bytes_since_snapshot += entry_bytes(entry);
            self.committed = next;
            match body {
                EntryBody::Noop => {}
                EntryBody::Data(data) => self.actions.push(ReplicaAction::Apply {
                    index: next,
                    ticket: self.tickets.remove(&next),
                    data: data.to_vec(),
                }),
                EntryBody::Members(_) => self.on_members_committed(next),
            }
        }
        self.snapshot_if_due();
    }

    /// Returns the index of the last matching entry that a replica has synced.
    pub(super) fn match_index_of(&self, leader: &Leader, node: NodeId) -> LogIndex {
        match leader.progress.get(&node) {
            Some(progress) => progress.match_index,
            None if node != self.cfg.id => 0,
            None if self.cfg.faults.count_unsynced => self.log.end().index,
            None => self.writer.synced(),
        }
    }

    /// Returns whether a learner responds and has reached an index that was the end of the log
    /// when it was first heard of, however long that took.
    pub(super) fn has_initial_log(&self, node: NodeId) -> bool {
        let progress = self.progress_of(node);
        self.cfg.faults.promote_early
            || self.is_active(node) && progress.is_some_and(|p| p.has_initial_log)
    }

    /// Returns whether commits can count on a replica: a voter that responds, or a learner that
    /// has all but the newest entries.
    pub(super) fn keeps_up(&self, node: NodeId) -> bool {
        let caught_up = self.progress_of(node).is_some_and(|p| p.caught_up);
        let is_voter = self.members().is_voter(node);
        self.is_active(node) && (is_voter || caught_up)
            || self.cfg.faults.promote_early && !is_voter
    }

    /// Returns the progress of another replica, if this one leads.
    fn progress_of(&self, node: NodeId) -> Option<&Progress> {
        match &self.role_state {
            RoleState::Leader(leader) => leader.progress.get(&node),
            _ => None,
        }
    }

    /// Returns whether a replica has responded to this leader within an election
    /// timeout.
    pub(super) fn is_active(&self, node: NodeId) -> bool {
        let is_active = |p: &Progress| p.is_active(self.now, self.cfg.election_timeout);
        node == self.cfg.id || self.progress_of(node).is_some_and(is_active)
    }

    /// Returns when the leader's lease expires, or `None` in other roles.
    pub(super) fn lease_end(&self) -> Option<MonoTime> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        if self.is_sole_voter() {
            return Some(MonoTime::MAX);
        }
        let drift = if self.cfg.faults.no_drift_margin {
            0.0
        } else {
            self.cfg.clock_drift
        };
        let sent = leader.rounds.acked_sent_at()?;
        Some(sent + leader_lease(self.cfg.lease, drift))
    }

    /// Sends each replica the entries it lacks, up to the last one handed to the
    /// local disk. A batch is written locally and replicated in parallel.
    pub(super) fn replicate(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let written = if self.cfg.faults.count_unsynced {
            self.log.end().index
        } else {
            self.writer.written()
        };
        let cx = SendContext {
            log: &self.log,
            written,
            committed: self.committed,
            max_batch_bytes: self.cfg.max_batch_bytes,
            snapshot_chunk: self.cfg.snapshot_chunk,
            snapshot: leader.snapshot.as_ref(),
            heartbeat_due: std::mem::take(&mut leader.heartbeat_due) || leader.needs_new_round,
        };
        if std::mem::take(&mut leader.needs_new_round) {
            leader.rounds.begin_new(self.now);
        } else {
            leader.rounds.begin(self.now);
        }
        let round = leader.rounds.last();
        for (&node, progress) in &mut leader.progress {
            let mut heartbeat_due = cx.heartbeat_due;
            while let Some(body) = progress.next_message(round, &cx, heartbeat_due) {
                heartbeat_due = false;
                self.outbox.push((node, body, self.state.term));
            }
        }
        leader.note_acked_round(self.cfg.id, self.memberships.current());
        self.update_transfer_snapshot();
    }

    /// Subtracts the bytes of a started write from the unwritten bytes.
    pub(super) fn note_flushed(&mut self, ops: &[DiskOp]) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        for op in ops {
            if let DiskOp::Entries(entries) = op {
                let bytes: usize = entries.iter().map(entry_bytes).sum();
                leader.unwritten_bytes = leader.unwritten_bytes.saturating_sub(bytes);
            }
        }
    }

    /// Transfers leadership if the disk is full and another replica can lead.
    ///
    /// If no replica can take over, this one continues to serve reads.
    pub(super) fn transfer_if_disk_full(&mut self) {
        if self.disk_full && self.quorum_has_disk_space() && self.transfer_target().is_some() {
            self.transfer_leadership();
        }
    }

    /// Returns whether the other voters with free disk space form a quorum.
    ///
    /// A new leader serves reads only once its first entry is committed. Without a
    /// quorum of writable disks it could not commit that entry, and the reads that
    /// this leader can still serve would fail.
    fn quorum_has_disk_space(&self) -> bool {
        let RoleState::Leader(leader) = &self.role_state else {
            return false;
        };
        let has_space =
            |(node, p): &(&NodeId, &Progress)| self.members().is_voter(**node) && !p.disk_full;
        let with_space = leader.progress.iter().filter(has_space).count();
        with_space >= self.members().quorum()
    }

    /// Steps down and asks the most up-to-date replica to start an election at
    /// once.
    ///
    /// The lease is given up before the request is sent; otherwise the new leader
    /// could win while this one still serves reads.
    pub(super) fn transfer_leadership(&mut self) {
        let target = self.transfer_target();
        self.become_follower(None);
        if let Some(node) = target {
            self.send(node, ReplicaBody::TimeoutNow);
        }
    }

    /// Returns the live voter with the longest log among those that have all
    /// committed entries and free disk space.
    fn transfer_target(&self) -> Option<NodeId> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        let eligible = |node: NodeId, p: &Progress| {
            let live = leader.time_since_contact(self.cfg.id, node, self.now) <= self.cfg.lease;
            let contacted = p.last_contact.is_some();
            self.members().is_voter(node)
                && contacted
                && live
                && !p.disk_full
                && p.match_index >= self.committed
        };
        let candidates = leader
            .progress
            .iter()
            .filter(|&(&node, p)| eligible(node, p));
        candidates
            .max_by_key(|(_, p)| p.match_index)
            .map(|(&node, _)| node)
    }

    /// Checks whether a proposal can be accepted.
    fn check_can_propose(&self) -> Result<(), Rejection> {
        let RoleState::Leader(leader) = &self.role_state else {
            return Err(Rejection::NotLeader(self.leader));
        };
        if self.disk_full {
            return Err(Rejection::Full);
        }
        if leader.unwritten_bytes > MAX_UNWRITTEN_BATCHES * self.cfg.max_batch_bytes {
            return Err(Rejection::Busy);
        }
        Ok(())
    }
}
