//! Snapshots: taken here, sent to replicas that lag, and received in parts.

use super::{
    Replica, Standing,
    log::Log,
    member::Members,
    message::{
        LogEnd,
        ReplicaAction,
        ReplicaBody,
        Snapshot, //
    },
};
use crate::ids::{
    LogIndex,
    NodeId, //
};

/// Share of the entries between snapshots that stay in memory after one, so
/// that a replica which lags a little needs no snapshot: one in this many.
const KEPT_SHARE: u64 = 4;

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct Incoming {
    /// End of the log that it contains.
    end: LogEnd,
    /// Bytes received so far, from the first on.
    data: Vec<u8>,
}

impl Replica {
    /// Asks for a snapshot when enough entries have been applied.
    pub(super) fn snapshot_if_due(&mut self) {
        let since = self.committed - self.snapshot_end.index;
        if since >= self.cfg.snapshot_every && !self.full {
            self.ask_for_snapshot();
        }
    }

    /// Keeps a snapshot of the state and forgets entries that it contains.
    pub(super) fn keep_snapshot(&mut self, index: LogIndex, data: Vec<u8>) {
        if self.taking.take_if(|at| *at == index).is_none() {
            return;
        }
        let Some(end) = self.log.end_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            end,
            members: self.memberships.at(index),
            data: data.into(),
        };
        if let Standing::Leader(leader) = &mut self.standing
            && leader.sends_snapshot()
            && leader.snapshot.is_none()
        {
            leader.snapshot = Some(snapshot.clone());
        }
        if index > self.snapshot_end.index {
            self.snapshot_end = end;
            self.writer.keep_snapshot(snapshot);
            self.compact();
        }
    }

    /// Sees to it that there is a snapshot for replicas that need one, and that
    /// none is held in memory otherwise.
    pub(super) fn provide_snapshot(&mut self) {
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        let wanted = leader.sends_snapshot();
        if !wanted {
            leader.snapshot = None;
        } else if leader.snapshot.is_none() {
            self.ask_for_snapshot();
        }
    }

    /// Takes a part of a snapshot from the leader.
    pub(super) fn on_chunk(
        &mut self,
        from: NodeId,
        end: LogEnd,
        members: Members,
        offset: u64,
        total: u64,
        data: &[u8],
    ) {
        if end.index <= self.committed {
            self.verified = self.verified.max(end.index);
            self.answer_chunk(from, end, total);
            return;
        }
        if self.full {
            self.answer_chunk(from, end, 0);
            return;
        }
        let incoming = match self.incoming.take() {
            Some(incoming) if incoming.end == end => incoming,
            _ => Incoming {
                end,
                data: Vec::new(),
            },
        };
        let incoming = self.incoming.insert(incoming);
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        let received = incoming.data.len() as u64;
        if received >= total
            && let Some(done) = self.incoming.take()
        {
            self.install(Snapshot {
                end,
                members,
                data: done.data.into(),
            });
        }
        self.answer_chunk(from, end, received);
    }

    /// Asks for a snapshot of the state as it is now.
    fn ask_for_snapshot(&mut self) {
        if self.taking.is_some() {
            return;
        }
        let index = self.committed;
        self.taking = Some(index);
        self.actions.push(ReplicaAction::TakeSnapshot { index });
    }

    /// Takes over a whole snapshot. If the log already has its end, the
    /// snapshot only shows how far the log is committed.
    fn install(&mut self, snapshot: Snapshot) {
        let end = snapshot.end;
        self.verified = self.verified.max(end.index);
        if self.log.term_at(end.index) == Some(end.term) {
            self.commit_to(end.index);
            return;
        }
        let data = snapshot.data.to_vec();
        self.log = Log::new(end, Vec::new());
        self.memberships
            .restart_from(end.index, snapshot.members.clone());
        self.writer.restart_from(snapshot, self.committed);
        self.committed = end.index;
        self.snapshot_end = end;
        self.taking = None;
        let index = end.index;
        self.actions.push(ReplicaAction::Restore { index, data });
        self.announce_members();
    }

    /// Tells the leader how much of a snapshot has come.
    fn answer_chunk(&mut self, leader: NodeId, end: LogEnd, offset: u64) {
        let answer = ReplicaBody::Chunked {
            round: self.round_heard,
            index: end.index,
            offset,
        };
        self.send(leader, answer);
    }

    /// Forgets entries that the newest snapshot contains, but for some that a
    /// lagging replica may still want.
    fn compact(&mut self) {
        let kept = self.cfg.snapshot_every / KEPT_SHARE;
        let mut to = self.snapshot_end.index.saturating_sub(kept);
        if let Standing::Leader(leader) = &self.standing
            && let Some(sending) = &leader.snapshot
        {
            to = to.min(sending.end.index);
        }
        self.log.compact(to);
        self.memberships.compact(to);
    }
}
