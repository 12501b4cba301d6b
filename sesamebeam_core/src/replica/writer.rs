//! Pending disk writes and the last synced entry.

use super::{
    log::Log,
    message::{
        DiskOp,
        HardState,
        ReplicaAction,
        Snapshot,
        WriteId, //
    },
};
use crate::ids::LogIndex;

/// An unsynced write.
#[derive(Debug)]
struct InFlight {
    /// Number of the write.
    write: WriteId,
    /// Index of the last entry that it will sync and that is still in the log.
    last: LogIndex,
    /// Whether it includes term and vote.
    state: bool,
}

/// Writes the log to the disk in batches, with one write in flight.
///
/// Entries that arrive while a write is in flight are written together afterwards,
/// with a single sync (group commit).
#[derive(Debug)]
pub(super) struct Writer {
    /// Number of the next write.
    next: WriteId,
    /// The unsynced write.
    in_flight: Option<InFlight>,
    /// Whether term or vote changed since their last write.
    state_changed: bool,
    /// Index of the first entry that the disk must remove.
    truncate: Option<LogIndex>,
    /// Snapshot still to be written.
    snapshot: Option<Snapshot>,
    /// Index of the last entry handed to the disk.
    written: LogIndex,
    /// Index of the last synced entry.
    synced: LogIndex,
}

impl Writer {
    /// Creates a writer for a disk that holds the log up to `last`.
    pub(super) fn new(last: LogIndex) -> Self {
        Writer {
            next: 1,
            in_flight: None,
            state_changed: false,
            truncate: None,
            snapshot: None,
            written: last,
            synced: last,
        }
    }

    /// Returns the index of the last entry handed to the disk.
    pub(super) fn written(&self) -> LogIndex {
        self.written
    }

    /// Returns the index of the last synced entry.
    pub(super) fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Returns whether term and vote are synced.
    pub(super) fn state_synced(&self) -> bool {
        !self.state_changed && !self.in_flight.as_ref().is_some_and(|w| w.state)
    }

    /// Marks term and vote as changed.
    pub(super) fn mark_state_changed(&mut self) {
        self.state_changed = true;
    }

    /// Records that the entries from index `from` on were removed.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        let before = from - 1;
        if self.written >= from {
            self.truncate = Some(self.truncate.map_or(from, |at| at.min(from)));
            self.written = before;
        }
        self.limit_synced(before);
    }

    /// Schedules the write of a snapshot of the applied log.
    ///
    /// With a slow disk, the snapshot may contain entries that were never written
    /// and that the log now compacts away. The snapshot replaces them on disk;
    /// otherwise this replica would wait for them forever and write nothing more.
    pub(super) fn store_snapshot(&mut self, snapshot: Snapshot) {
        self.written = self.written.max(snapshot.end.index);
        self.snapshot = Some(snapshot);
    }

    /// Records that a snapshot replaced the whole log. Of the synced entries, only
    /// those up to `committed` remain valid.
    pub(super) fn reset_to(&mut self, snapshot: Snapshot, committed: LogIndex) {
        let end = snapshot.end.index;
        if self.written > end {
            let from = end + 1;
            self.truncate = Some(self.truncate.map_or(from, |at| at.min(from)));
        }
        self.limit_synced(committed);
        self.written = end;
        self.snapshot = Some(snapshot);
    }

    /// Starts the next write if none is in flight and data is pending.
    pub(super) fn flush(
        &mut self,
        state: HardState,
        log: &Log,
        max_bytes: usize,
    ) -> Option<ReplicaAction> {
        if self.in_flight.is_some() {
            return None;
        }
        let ops = self.take_ops(state, log, max_bytes);
        if ops.is_empty() {
            return None;
        }
        let write = self.next;
        self.next += 1;
        self.in_flight = Some(InFlight {
            write,
            last: self.written,
            state: matches!(ops[0], DiskOp::State(_)),
        });
        Some(ReplicaAction::Write { write, ops })
    }

    /// Records that a write is synced. Returns whether it was the one in flight.
    pub(super) fn complete(&mut self, write: WriteId) -> bool {
        match self.in_flight.take_if(|w| w.write == write) {
            Some(done) => {
                self.synced = self.synced.max(done.last);
                true
            }
            None => false,
        }
    }

    /// Collects the operations of the next write. Term and vote come first, so that
    /// no entry is on disk without the term in which it was received.
    fn take_ops(&mut self, state: HardState, log: &Log, max_bytes: usize) -> Vec<DiskOp> {
        let mut ops = Vec::new();
        if std::mem::take(&mut self.state_changed) {
            ops.push(DiskOp::State(state));
        }
        if let Some(from) = self.truncate.take() {
            ops.push(DiskOp::Truncate { from });
        }
        if let Some(snapshot) = self.snapshot.take() {
            ops.push(DiskOp::Snapshot(snapshot));
        }
        let entries = log.slice(self.written + 1, log.end().index, max_bytes);
        if let Some(last) = entries.last() {
            self.written = last.index;
            ops.push(DiskOp::Entries(entries));
        }
        ops
    }

    /// Lowers the synced index, also that of the write in flight, to at most
    /// `last`.
    fn limit_synced(&mut self, last: LogIndex) {
        self.synced = self.synced.min(last);
        if let Some(w) = &mut self.in_flight {
            w.last = w.last.min(last);
        }
    }
}
