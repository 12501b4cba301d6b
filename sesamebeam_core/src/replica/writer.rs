//! What is still to be written to the disk, and how far it is synced.

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

/// A write that is not synced yet.
#[derive(Debug)]
struct InFlight {
    /// Number of the write.
    write: WriteId,
    /// Last entry that will be synced with it, and is still in the log.
    last: LogIndex,
    /// Whether term and vote are part of it.
    state: bool,
}

/// Hands the log to the disk in batches, one write in flight.
///
/// While a write is in flight, all that comes waits and then goes as one: a
/// single sync pays for everybody who waited (group commit).
#[derive(Debug)]
pub(super) struct Writer {
    /// Number of the next write.
    next: WriteId,
    /// The write that is not synced yet.
    in_flight: Option<InFlight>,
    /// Whether term or vote changed since they were last handed over.
    state_changed: bool,
    /// First entry that the disk must drop.
    truncate: Option<LogIndex>,
    /// Snapshot that is not handed over yet.
    snapshot: Option<Snapshot>,
    /// Last entry that was handed over.
    written: LogIndex,
    /// Last entry that is synced.
    synced: LogIndex,
}

impl Writer {
    /// Makes a writer for a disk that holds the log up to `last`.
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

    /// Returns the last entry that was handed to the disk.
    pub(super) fn written(&self) -> LogIndex {
        self.written
    }

    /// Returns the last entry that is synced.
    pub(super) fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Returns whether term and vote are synced.
    pub(super) fn state_synced(&self) -> bool {
        !self.state_changed && !self.in_flight.as_ref().is_some_and(|w| w.state)
    }

    /// Notes that term or vote changed.
    pub(super) fn change_state(&mut self) {
        self.state_changed = true;
    }

    /// Notes that the entries from a position on were dropped.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        let before = from - 1;
        if self.written >= from {
            self.truncate = Some(self.truncate.map_or(from, |at| at.min(from)));
            self.written = before;
        }
        self.limit_synced(before);
    }

    /// Notes a snapshot of what the log holds.
    ///
    /// With a slow disk it may contain entries that were never handed over, and
    /// that the log forgets now. Waiting for them, this replica would write
    /// nothing any more; the snapshot takes their place on the disk.
    pub(super) fn keep_snapshot(&mut self, snapshot: Snapshot) {
        self.written = self.written.max(snapshot.end.index);
        self.snapshot = Some(snapshot);
    }

    /// Notes that a snapshot took the place of the whole log. Of what was
    /// synced, only the part up to `committed` still holds.
    pub(super) fn restart_from(&mut self, snapshot: Snapshot, committed: LogIndex) {
        let end = snapshot.end.index;
        if self.written > end {
            let from = end + 1;
            self.truncate = Some(self.truncate.map_or(from, |at| at.min(from)));
        }
        self.limit_synced(committed);
        self.written = end;
        self.snapshot = Some(snapshot);
    }

    /// Starts the next write if none is in flight and there is something to
    /// write.
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

    /// Notes that a write is synced. Returns whether it was the one in flight.
    pub(super) fn finish(&mut self, write: WriteId) -> bool {
        match self.in_flight.take_if(|w| w.write == write) {
            Some(done) => {
                self.synced = self.synced.max(done.last);
                true
            }
            None => false,
        }
    }

    /// Collects what is to be written. Term and vote come first, so that no
    /// entry can be on the disk without the term it came in.
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

    /// Takes back what was or will be counted as synced after a position.
    fn limit_synced(&mut self, last: LogIndex) {
        self.synced = self.synced.min(last);
        if let Some(w) = &mut self.in_flight {
            w.last = w.last.min(last);
        }
    }
}
