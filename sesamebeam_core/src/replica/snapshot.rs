//! Snapshots: taking them, sending them to lagging replicas and receiving them in
//! chunks.

use super::{
    Replica, RoleState,
    log::Log,
    member::Members,
    message::{
        LogPosition,
        ReplicaAction,
        ReplicaBody,
        Snapshot, //
    },
};
use crate::ids::{
    LogIndex,
    NodeId, //
};

/// Fraction of the entries between snapshots that are kept in memory after one, by number
/// and by size, as a divisor. They allow a replica that lags slightly to catch up without a
/// snapshot.
const RETAINED_DIVISOR: u64 = 4;

/// A snapshot being received.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// Last log position that the snapshot contains.
    end: LogPosition,
    /// Contiguous bytes received so far.
    data: Vec<u8>,
}

impl Replica {
    /// Requests a snapshot when enough entries, by number or size, have been applied since
    /// the last one.
    ///
    /// By number alone, large entries would fill the disk before the next snapshot, which then
    /// could not be stored either.
    pub(super) fn snapshot_if_due(&mut self) {
        let since = self.committed - self.snapshot_end.index;
        let is_due = since >= self.cfg.snapshot_every
            || self.bytes_since_snapshot >= self.cfg.snapshot_every_bytes;
        if is_due && !self.disk_full {
            self.request_snapshot();
        }
    }

    /// Stores a snapshot of the state and compacts the log.
    pub(super) fn store_snapshot(&mut self, index: LogIndex, data: Vec<u8>) {
        if self.requested_snapshot.take_if(|at| *at == index).is_none() {
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
        if let RoleState::Leader(leader) = &mut self.role_state
            && leader.needs_snapshot()
            && leader.snapshot.is_none()
        {
            leader.snapshot = Some(snapshot.clone());
        }
        if index > self.snapshot_end.index {
            self.snapshot_end = end;
            let newer = (index + 1)..=self.committed;
            self.bytes_since_snapshot = self.log.bytes(newer);
            self.writer.store_snapshot(snapshot);
            self.compact();
        }
    }

    /// Requests a snapshot if a replica needs one, and frees the one in memory
    /// otherwise.
    pub(super) fn update_transfer_snapshot(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let wanted = leader.needs_snapshot();
        if !wanted {
            leader.snapshot = None;
        } else if leader.snapshot.is_none() {
            self.request_snapshot();
        }
    }

    /// Handles a snapshot chunk from the leader.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: NodeId,
        end: LogPosition,
        members: Members,
        offset: u64,
        total: u64,
        data: &[u8],
    ) {
        if end.index <= self.committed {
            self.match_index = self.match_index.max(end.index);
            self.acknowledge_chunk(from, end, total);
            return;
        }
        if self.disk_full {
            self.acknowledge_chunk(from, end, 0);
            return;
        }
        let incoming = match self.incoming_snapshot.take() {
            Some(incoming) if incoming.end == end => incoming,
            _ => IncomingSnapshot {
                end,
                data: Vec::new(),
            },
        };
        let incoming = self.incoming_snapshot.insert(incoming);
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        let received = incoming.data.len() as u64;
        if received >= total
            && let Some(done) = self.incoming_snapshot.take()
        {
            self.install(Snapshot {
                end,
                members,
                data: done.data.into(),
            });
        }
        self.acknowledge_chunk(from, end, received);
    }

    /// Requests a snapshot of the current state.
    fn request_snapshot(&mut self) {
        if self.requested_snapshot.is_some() {
            return;
        }
        let index = self.committed;
        self.requested_snapshot = Some(index);
        self.actions.push(ReplicaAction::TakeSnapshot { index });
    }

    /// Installs a complete snapshot. If the log already contains the snapshot's
    /// last entry, only the entries up to it are committed.
    fn install(&mut self, snapshot: Snapshot) {
        let end = snapshot.end;
        self.match_index = self.match_index.max(end.index);
        if self.log.term_at(end.index) == Some(end.term) {
            self.commit_to(end.index);
            return;
        }
        let data = snapshot.data.to_vec();
        self.log = Log::new(end, Vec::new());
        self.memberships
            .reset_to(end.index, snapshot.members.clone());
        self.writer.reset_to(snapshot, self.committed);
        self.committed = end.index;
        self.snapshot_end = end;
        self.bytes_since_snapshot = 0;
        self.requested_snapshot = None;
        let index = end.index;
        self.actions.push(ReplicaAction::Restore { index, data });
        self.notify_members();
    }

    /// Sends the leader the number of snapshot bytes received.
    fn acknowledge_chunk(&mut self, leader: NodeId, end: LogPosition, offset: u64) {
        let response = ReplicaBody::SnapshotChunkResponse {
            round: self.latest_round,
            index: end.index,
            offset,
        };
        self.send(leader, response);
    }

    /// Removes entries that the newest snapshot contains, except some that a
    /// lagging replica may still need.
    fn compact(&mut self) {
        let retained = self.cfg.snapshot_every / RETAINED_DIVISOR;
        let retained_bytes = self.cfg.snapshot_every_bytes / RETAINED_DIVISOR as usize;
        let end = self.snapshot_end.index;
        let mut to = end.saturating_sub(retained);
        to = to.max(self.log.start_of_last(retained_bytes, end));
        if let RoleState::Leader(leader) = &self.role_state
            && let Some(sending) = &leader.snapshot
        {
            to = to.min(sending.end.index);
        }
        self.log.compact(to);
        self.memberships.compact(to);
    }
}
