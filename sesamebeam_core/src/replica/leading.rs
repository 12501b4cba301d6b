//! What a leader does: takes proposals, replicates, commits, serves reads.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    Replica, Standing,
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
        LogEnd,
        Rejection,
        ReplicaAction,
        ReplicaBody,
        Snapshot,
        Ticket, //
    },
    progress::{
        Mode,
        Outgoing,
        Progress, //
    },
};
use crate::ids::{
    LogIndex,
    MonoTime,
    NodeId, //
};

/// Batches that may wait for the disk before proposals are refused.
const MAX_BATCHES_WAITING: usize = 16;

/// What a leader holds.
#[derive(Debug)]
pub(super) struct Leader {
    /// The entry that began its term here.
    pub(super) first: LogIndex,
    /// When it was elected.
    elected_at: MonoTime,
    /// When the next heartbeat is due.
    pub(super) heartbeat_at: MonoTime,
    /// Whether a heartbeat goes out with the present event.
    beat: bool,
    /// Whether a read waits for a round that is sent after it.
    fresh: bool,
    /// Sending rounds.
    rounds: Rounds,
    /// The other replicas.
    pub(super) progress: BTreeMap<NodeId, Progress>,
    /// Reads with the round that a quorum must hear first.
    reads: VecDeque<(Ticket, u64)>,
    /// The membership change in flight.
    pub(super) change: Option<(LogIndex, Option<Ticket>)>,
    /// Snapshot that is sent to replicas that lag far behind.
    pub(super) snapshot: Option<Snapshot>,
    /// Bytes of entries that wait for the disk.
    waiting_bytes: usize,
}

impl Leader {
    /// Starts leading.
    fn new(now: MonoTime, first: LogIndex) -> Self {
        Leader {
            first,
            elected_at: now,
            heartbeat_at: now,
            beat: true,
            fresh: false,
            rounds: Rounds::new(),
            progress: BTreeMap::new(),
            reads: VecDeque::new(),
            change: None,
            snapshot: None,
            waiting_bytes: 0,
        }
    }

    /// Returns the reads that are not answered.
    pub(super) fn pending_reads(&self) -> impl Iterator<Item = Ticket> + '_ {
        self.reads.iter().map(|&(ticket, _)| ticket)
    }

    /// Returns the change that is not committed.
    pub(super) fn pending_change(&self) -> Option<Ticket> {
        self.change.and_then(|(_, ticket)| ticket)
    }

    /// Returns the time since a replica was last heard of.
    pub(super) fn silent(&self, own: NodeId, node: NodeId, now: MonoTime) -> Duration {
        if own == node {
            return Duration::ZERO;
        }
        let heard_at = self.progress.get(&node).and_then(|p| p.heard_at);
        now.saturating_sub(heard_at.unwrap_or(self.elected_at))
    }

    /// Returns whether a replica waits for a snapshot or is being sent one.
    pub(super) fn sends_snapshot(&self) -> bool {
        let in_snapshot = |p: &Progress| matches!(p.mode, Mode::Snapshot { .. });
        self.progress.values().any(in_snapshot)
    }

    /// Follows a change of the membership.
    fn track(&mut self, own: NodeId, members: &Members, next: LogIndex) {
        self.progress
            .retain(|node, _| members.members.contains_key(node));
        for &node in members.members.keys().filter(|&&node| node != own) {
            self.progress
                .entry(node)
                .or_insert_with(|| Progress::new(next));
        }
    }

    /// Notes what a quorum has heard.
    fn note_heard(&mut self, own: NodeId, members: &Members) {
        let heard = |node| match self.progress.get(&node) {
            Some(p) => p.round,
            None if node == own => self.rounds.last(),
            None => 0,
        };
        let round = quorum_value(members, heard);
        self.rounds.note_heard(round);
    }
}

/// Returns the highest value that a quorum of voters has reached.
fn quorum_value(members: &Members, value: impl Fn(NodeId) -> u64) -> u64 {
    let mut values: Vec<u64> = members.voters().map(value).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(members.quorum() - 1).copied().unwrap_or(0)
}

impl Replica {
    /// Starts to lead.
    ///
    /// The first entry holds nothing. Entries of earlier terms are committed
    /// only along with it: counted by themselves they could still be replaced
    /// by a leader that never had them, after they were applied here.
    pub(super) fn lead(&mut self) {
        let first = self.log.end().index + 1;
        let leader = Leader::new(self.now, first);
        self.leader = Some(self.cfg.id);
        self.take_role(Standing::Leader(Box::new(leader)));
        self.append(EntryBody::Noop);
        self.track_members();
    }

    /// Does what time asks of a leader.
    ///
    /// A leader that no quorum has answered for long gives up, so that its
    /// callers look elsewhere. Its lease has ended well before.
    pub(super) fn tick_leader(&mut self) {
        let patience = self.patience();
        let heartbeat = self.cfg.heartbeat;
        let now = self.now;
        let sole = self.is_sole_voter();
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        let heard = leader.rounds.heard_sent().unwrap_or(leader.elected_at);
        if !sole && now > heard + patience {
            self.follow(None);
            return;
        }
        if now >= leader.heartbeat_at {
            leader.beat = true;
            leader.heartbeat_at = now + heartbeat;
        }
    }

    /// Takes a proposal.
    pub(super) fn propose(&mut self, ticket: Ticket, data: Vec<u8>) {
        if let Err(reason) = self.may_propose() {
            self.reject(ticket, reason);
            return;
        }
        let index = self.append(EntryBody::Data(data.into()));
        self.tickets.insert(index, ticket);
    }

    /// Takes a read, to be answered under the lease or after a quorum round.
    pub(super) fn read(&mut self, ticket: Ticket) {
        let has_lease = self.has_lease(self.now);
        match &mut self.standing {
            Standing::Leader(leader) => {
                leader.reads.push_back((ticket, leader.rounds.last() + 1));
                leader.fresh |= !has_lease;
            }
            _ => self.reject(ticket, Rejection::NotLeader(self.leader)),
        }
    }

    /// Answers the reads that are safe by now.
    ///
    /// A leader that was replaced without knowing would answer from an old
    /// state. Under the lease nobody can have replaced it; without one, a
    /// quorum that hears a round sent after the read proves the same.
    pub(super) fn answer_reads(&mut self) {
        let under_lease = self.has_lease(self.now) || self.cfg.faults.serve_after_lease;
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        if self.committed < leader.first {
            return;
        }
        let heard = leader.rounds.heard();
        while let Some((ticket, _)) = leader
            .reads
            .pop_front_if(|(_, round)| under_lease || *round <= heard)
        {
            self.actions.push(ReplicaAction::ReadReady { ticket });
        }
    }

    /// Handles a replica's answer to entries or a heartbeat.
    pub(super) fn on_appended(
        &mut self,
        from: NodeId,
        round: u64,
        synced: LogIndex,
        full: bool,
        hint: Option<LogEnd>,
    ) {
        let limit = self.cfg.election;
        let end = self.log.end().index;
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.hear(self.now, round);
        progress.full = full;
        match hint {
            Some(hint) => progress.probe_after(self.log.probe_point(hint)),
            None => progress.advance(synced.min(end)),
        }
        progress.measure(self.now, end, limit);
        leader.note_heard(self.cfg.id, self.memberships.current());
    }

    /// Handles a replica's answer to a part of a snapshot.
    pub(super) fn on_chunked(&mut self, from: NodeId, round: u64, index: LogIndex, offset: u64) {
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.hear(self.now, round);
        if let Some(snapshot) = leader.snapshot.as_ref().filter(|s| s.end.index == index) {
            progress.note_chunk(index, snapshot.data.len() as u64, offset);
        }
        leader.note_heard(self.cfg.id, self.memberships.current());
    }

    /// Appends an entry of this term.
    pub(super) fn append(&mut self, body: EntryBody) -> LogIndex {
        let index = self.log.end().index + 1;
        let entry = Entry {
            term: self.state.term,
            index,
            body,
        };
        if let Standing::Leader(leader) = &mut self.standing {
            leader.waiting_bytes += entry_bytes(&entry);
        }
        self.push_entry(entry);
        index
    }

    /// Follows the membership in force.
    pub(super) fn track_members(&mut self) {
        let next = self.log.end().index;
        if let Standing::Leader(leader) = &mut self.standing {
            leader.track(self.cfg.id, self.memberships.current(), next);
        }
    }

    /// Commits what a quorum has synced.
    pub(super) fn commit_by_quorum(&mut self) {
        let Standing::Leader(leader) = &self.standing else {
            return;
        };
        let index = quorum_value(self.members(), |node| self.matched(leader, node));
        let own_term = self.log.term_at(index) == Some(self.state.term);
        if index > self.committed && (own_term || self.cfg.faults.commit_old_terms) {
            self.commit_to(index);
            self.current = true;
        }
    }

    /// Applies the entries up to a position, which are committed.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        while self.committed < index {
            let next = self.committed + 1;
            let Some(entry) = self.log.get(next) else {
                break;
            };
            let body = entry.body.clone();
            self.committed = next;
            match body {
                EntryBody::Noop => {}
                EntryBody::Data(data) => self.actions.push(ReplicaAction::Apply {
                    index: next,
                    ticket: self.tickets.remove(&next),
                    data: data.to_vec(),
                }),
                EntryBody::Members(_) => self.members_committed(next),
            }
        }
        self.snapshot_if_due();
    }

    /// Returns the last entry that a replica has synced.
    pub(super) fn matched(&self, leader: &Leader, node: NodeId) -> LogIndex {
        match leader.progress.get(&node) {
            Some(progress) => progress.matched,
            None if node != self.cfg.id => 0,
            None if self.cfg.faults.count_unsynced => self.log.end().index,
            None => self.writer.synced(),
        }
    }

    /// Returns whether a learner has caught up and is still heard.
    pub(super) fn has_caught_up(&self, node: NodeId) -> bool {
        if self.cfg.faults.promote_early {
            return true;
        }
        let Standing::Leader(leader) = &self.standing else {
            return false;
        };
        self.is_heard(node) && leader.progress.get(&node).is_some_and(|p| p.caught_up)
    }

    /// Returns whether a replica has answered this leader of late.
    pub(super) fn is_heard(&self, node: NodeId) -> bool {
        let Standing::Leader(leader) = &self.standing else {
            return false;
        };
        let heard_at = leader.progress.get(&node).and_then(|p| p.heard_at);
        let of_late = |at| self.now.saturating_sub(at) <= self.cfg.election;
        node == self.cfg.id || heard_at.is_some_and(of_late)
    }

    /// Returns when the leader's lease ends; nothing for other roles.
    pub(super) fn lease_end(&self) -> Option<MonoTime> {
        let Standing::Leader(leader) = &self.standing else {
            return None;
        };
        if self.is_sole_voter() {
            return Some(MonoTime::MAX);
        }
        let drift = if self.cfg.faults.no_drift_margin {
            0.0
        } else {
            self.cfg.drift
        };
        let sent = leader.rounds.heard_sent()?;
        Some(sent + leader_lease(self.cfg.lease, drift))
    }

    /// Sends each replica what it lacks, up to what the disk here was handed:
    /// a batch goes to the disk and to the others side by side.
    pub(super) fn replicate(&mut self) {
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        let written = if self.cfg.faults.count_unsynced {
            self.log.end().index
        } else {
            self.writer.written()
        };
        let cx = Outgoing {
            log: &self.log,
            written,
            committed: self.committed,
            max_batch_bytes: self.cfg.max_batch_bytes,
            snapshot_chunk: self.cfg.snapshot_chunk,
            snapshot: leader.snapshot.as_ref(),
            beat: std::mem::take(&mut leader.beat) || leader.fresh,
        };
        if std::mem::take(&mut leader.fresh) {
            leader.rounds.renew(self.now);
        } else {
            leader.rounds.begin(self.now);
        }
        let round = leader.rounds.last();
        for (&node, progress) in &mut leader.progress {
            let mut beat = cx.beat;
            while let Some(body) = progress.next_message(round, &cx, beat) {
                beat = false;
                self.held.push((node, body, self.state.term));
            }
        }
        leader.note_heard(self.cfg.id, self.memberships.current());
        self.provide_snapshot();
    }

    /// Notes how many bytes a write took from those that wait.
    pub(super) fn note_flushed(&mut self, ops: &[DiskOp]) {
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        for op in ops {
            if let DiskOp::Entries(entries) = op {
                let bytes: usize = entries.iter().map(entry_bytes).sum();
                leader.waiting_bytes = leader.waiting_bytes.saturating_sub(bytes);
            }
        }
    }

    /// Gives up leading if the disk is full and another replica can lead.
    ///
    /// With nobody to take over, this replica goes on to serve reads.
    pub(super) fn yield_if_full(&mut self) {
        if self.full && self.quorum_has_space() && self.best_successor().is_some() {
            self.hand_over();
        }
    }

    /// Returns whether the other voters with space on their disks are a quorum.
    ///
    /// A new leader answers reads only once its first entry is committed. With
    /// fewer disks it could not commit that, and what this leader still serves
    /// would be served by nobody.
    fn quorum_has_space(&self) -> bool {
        let Standing::Leader(leader) = &self.standing else {
            return false;
        };
        let has_space =
            |(node, p): &(&NodeId, &Progress)| self.members().is_voter(**node) && !p.full;
        let with_space = leader.progress.iter().filter(has_space).count();
        with_space >= self.members().quorum()
    }

    /// Stops leading and asks the best other replica to stand at once.
    ///
    /// The lease ends here, before the request is sent: otherwise the new
    /// leader could win while this one still serves.
    pub(super) fn hand_over(&mut self) {
        let successor = self.best_successor();
        self.follow(None);
        if let Some(node) = successor {
            self.send(node, ReplicaBody::Stand);
        }
    }

    /// Returns the live voter with the longest log, if it has all that is
    /// committed and space on its disk.
    fn best_successor(&self) -> Option<NodeId> {
        let Standing::Leader(leader) = &self.standing else {
            return None;
        };
        let fit = |node: NodeId, p: &Progress| {
            let live = leader.silent(self.cfg.id, node, self.now) <= self.cfg.lease;
            let heard = p.heard_at.is_some();
            self.members().is_voter(node) && heard && live && !p.full && p.matched >= self.committed
        };
        let fits = leader.progress.iter().filter(|&(&node, p)| fit(node, p));
        fits.max_by_key(|(_, p)| p.matched).map(|(&node, _)| node)
    }

    /// Returns whether a proposal may be taken.
    fn may_propose(&self) -> Result<(), Rejection> {
        let Standing::Leader(leader) = &self.standing else {
            return Err(Rejection::NotLeader(self.leader));
        };
        if self.full {
            return Err(Rejection::Full);
        }
        if leader.waiting_bytes > MAX_BATCHES_WAITING * self.cfg.max_batch_bytes {
            return Err(Rejection::Busy);
        }
        Ok(())
    }
}
