//! Replication progress of one replica, as tracked by the leader.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::{
    log::Log,
    message::{
        LogPosition,
        ReplicaBody,
        Snapshot, //
    },
};
use crate::ids::{
    LogIndex,
    MonoTime,
    NodeId, //
};

/// Maximum number of unacknowledged batches per replica.
const MAX_BATCHES_IN_FLIGHT: usize = 16;

/// Replication to one replica, as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replication {
    /// ID of the replica.
    pub node: NodeId,
    /// Whether it votes.
    pub voter: bool,
    /// Replica that it replaces.
    pub replaces: Option<NodeId>,
    /// Number of log entries that it has not synced yet.
    pub lag: u64,
    /// Time since its last message.
    pub silent: Duration,
    /// Whether it keeps up with the growth of the log.
    pub caught_up: bool,
    /// Whether the leader searches for the end of its log, and cannot send entries.
    pub probing: bool,
}

/// How the leader replicates to one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Searches for the last entry that matches the leader's log.
    Probe {
        /// Whether to send a probe now.
        due: bool,
    },
    /// Sends entries without waiting for responses.
    Stream,
    /// Sends a snapshot, because the entries that the replica needs were compacted
    /// away.
    Snapshot {
        /// Number of bytes that the replica has received.
        offset: u64,
        /// Whether to send the next chunk now.
        due: bool,
    },
}

/// Leader state needed to build replication messages.
pub(super) struct SendContext<'a> {
    /// The leader's log.
    pub(super) log: &'a Log,
    /// Index of the last entry that may be sent.
    pub(super) written: LogIndex,
    /// Index of the last committed entry.
    pub(super) committed: LogIndex,
    /// Maximum size of the entries in one message, in bytes.
    pub(super) max_batch_bytes: usize,
    /// Size of a snapshot chunk in bytes.
    pub(super) snapshot_chunk: usize,
    /// Snapshot for replicas that lag too far behind the log, if available.
    pub(super) snapshot: Option<&'a Snapshot>,
    /// Whether a heartbeat is due.
    pub(super) heartbeat_due: bool,
}

/// Replication progress of one replica, as tracked by the leader.
#[derive(Debug)]
pub(super) struct Progress {
    /// Replication mode.
    pub(super) mode: Mode,
    /// Index of the next entry to send.
    next_index: LogIndex,
    /// Index of the last matching entry that the replica has synced.
    pub(super) match_index: LogIndex,
    /// Index of the last entry of each unacknowledged batch.
    in_flight: VecDeque<LogIndex>,
    /// `match_index` at the last heartbeat, used to detect a lost batch.
    match_index_at_heartbeat: LogIndex,
    /// Last round that the replica has acknowledged.
    pub(super) round: u64,
    /// Time of the last message from the replica.
    pub(super) last_contact: Option<MonoTime>,
    /// Message round in which its replacement began, if it is to be replaced.
    pub(super) replaced_in_round: Option<u64>,
    /// Whether the replica's disk is full.
    pub(super) disk_full: bool,
    /// Index that a learner must reach to count as caught up, and the time it was
    /// set.
    catch_up_target: Option<(LogIndex, MonoTime)>,
    /// Whether a learner reached the last target within the time limit.
    pub(super) caught_up: bool,
    /// Whether a learner has reached any target, however long it took.
    pub(super) has_initial_log: bool,
}

impl Progress {
    /// Starts optimistically, as if the replica's log were as long as the leader's.
    pub(super) fn new(next_index: LogIndex) -> Self {
        Progress {
            mode: Mode::Stream,
            next_index,
            match_index: 0,
            in_flight: VecDeque::new(),
            match_index_at_heartbeat: 0,
            round: 0,
            last_contact: None,
            replaced_in_round: None,
            disk_full: false,
            catch_up_target: None,
            caught_up: false,
            has_initial_log: false,
        }
    }

    /// Records a response.
    pub(super) fn record_contact(&mut self, now: MonoTime, round: u64) {
        self.round = self.round.max(round);
        self.last_contact = Some(now);
    }

    /// Returns whether the replica has responded within `limit`. One that is to be replaced is
    /// probably lost, so that only responses to later messages count.
    pub(super) fn is_active(&self, now: MonoTime, limit: Duration) -> bool {
        let recently = |at| now.saturating_sub(at) <= limit;
        let responds = self.replaced_in_round.is_none_or(|r| self.round > r);
        responds && self.last_contact.is_some_and(recently)
    }

    /// Records the last matching entry that the replica has synced.
    pub(super) fn advance(&mut self, synced: LogIndex) {
        self.match_index = self.match_index.max(synced);
        self.next_index = self.next_index.max(self.match_index + 1);
        while self
            .in_flight
            .front()
            .is_some_and(|&last| last <= self.match_index)
        {
            self.in_flight.pop_front();
        }
        if let Mode::Probe { .. } = self.mode {
            self.mode = Mode::Stream;
        }
    }

    /// Resumes after the last entry that may match.
    ///
    /// A repeated response triggers no probe before the next heartbeat. Otherwise
    /// duplicated messages would trigger further probes and multiply.
    pub(super) fn probe_after(&mut self, agreed: LogIndex) {
        let next_index = agreed.max(self.match_index) + 1;
        let known = matches!(self.mode, Mode::Probe { .. }) && self.next_index == next_index;
        self.in_flight.clear();
        self.next_index = next_index;
        self.mode = Mode::Probe { due: !known };
    }

    /// Records how much of a snapshot the replica has received. Only progress
    /// triggers the next chunk at once, so that duplicated responses do not
    /// multiply.
    pub(super) fn note_chunk(&mut self, end: LogIndex, total: u64, offset: u64) {
        let Mode::Snapshot { offset: before, .. } = self.mode else {
            return;
        };
        if offset >= total {
            self.probe_after(end);
            return;
        }
        let due = offset > before;
        self.mode = Mode::Snapshot { offset, due };
    }

    /// Updates whether a learner has caught up, which means that it reached within
    /// `limit` an index that was the end of the log.
    pub(super) fn update_caught_up(&mut self, now: MonoTime, end: LogIndex, limit: MonoTime) {
        match self.catch_up_target {
            Some((catch_up_target, since)) if self.match_index >= catch_up_target => {
                self.caught_up = now - since <= limit;
                self.has_initial_log = true;
                self.catch_up_target = Some((end, now));
            }
            Some(_) => {}
            None => self.catch_up_target = Some((end, now)),
        }
    }

    /// Builds the next message, if one is due.
    pub(super) fn next_message(
        &mut self,
        round: u64,
        cx: &SendContext<'_>,
        heartbeat_due: bool,
    ) -> Option<ReplicaBody> {
        if self.next_index <= cx.log.base().index && !matches!(self.mode, Mode::Snapshot { .. }) {
            self.in_flight.clear();
            self.mode = Mode::Snapshot {
                offset: 0,
                due: true,
            };
        }
        match self.mode {
            Mode::Probe { due } if due || heartbeat_due => {
                self.mode = Mode::Probe { due: false };
                Some(append(round, cx, self.next_index - 1, Vec::new()))
            }
            Mode::Probe { .. } => None,
            Mode::Stream => self.next_batch(round, cx, heartbeat_due),
            Mode::Snapshot { offset, due } => {
                let due = due && cx.snapshot.is_some();
                if !due && !heartbeat_due {
                    return None;
                }
                self.mode = Mode::Snapshot {
                    offset,
                    due: cx.snapshot.is_none(),
                };
                Some(chunk(round, cx, offset))
            }
        }
    }

    /// Builds the next batch of entries, or a heartbeat.
    fn next_batch(
        &mut self,
        round: u64,
        cx: &SendContext<'_>,
        heartbeat_due: bool,
    ) -> Option<ReplicaBody> {
        let may_send = self.in_flight.len() < MAX_BATCHES_IN_FLIGHT && !self.disk_full;
        if may_send && self.next_index <= cx.written {
            let entries = cx
                .log
                .slice(self.next_index, cx.written, cx.max_batch_bytes);
            let prev = self.next_index - 1;
            self.next_index += entries.len() as u64;
            self.in_flight.push_back(self.next_index - 1);
            return Some(append(round, cx, prev, entries));
        }
        heartbeat_due.then(|| append(round, cx, self.heartbeat_prev(cx), Vec::new()))
    }

    /// Returns the index that a heartbeat claims to match: the last one known to
    /// match or, without progress since the last heartbeat, the last one sent, so
    /// that a lost batch is detected.
    fn heartbeat_prev(&mut self, cx: &SendContext<'_>) -> LogIndex {
        let stalled = self.match_index == self.match_index_at_heartbeat;
        self.match_index_at_heartbeat = self.match_index;
        if stalled || self.match_index < cx.log.base().index {
            self.next_index - 1
        } else {
            self.match_index
        }
    }
}

/// Builds an append request with the entries after `prev`.
fn append(
    round: u64,
    cx: &SendContext<'_>,
    prev: LogIndex,
    entries: Vec<super::Entry>,
) -> ReplicaBody {
    ReplicaBody::AppendRequest {
        round,
        prev: cx.log.end_at(prev).unwrap_or_default(),
        entries,
        committed: cx.committed,
    }
}

/// Builds a snapshot chunk, or a heartbeat if the snapshot is not available yet.
fn chunk(round: u64, cx: &SendContext<'_>, offset: u64) -> ReplicaBody {
    let Some(snapshot) = cx.snapshot else {
        return ReplicaBody::AppendRequest {
            round,
            prev: LogPosition::default(),
            entries: Vec::new(),
            committed: 0,
        };
    };
    let start = usize::try_from(offset).unwrap_or(usize::MAX);
    let start = start.min(snapshot.data.len());
    let end = (start + cx.snapshot_chunk).min(snapshot.data.len());
    ReplicaBody::SnapshotChunk {
        round,
        end: snapshot.end,
        members: snapshot.members.clone(),
        offset: start as u64,
        total: snapshot.data.len() as u64,
        data: snapshot.data[start..end].into(),
    }
}
