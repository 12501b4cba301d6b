//! The in-memory part of the log.

use std::{
    collections::VecDeque,
    ops::RangeInclusive, //
};

use super::message::{
    Entry,
    EntryBody,
    LogPosition, //
};
use crate::ids::{
    LogIndex,
    Term, //
};

/// Estimated size in bytes of an entry without its data.
const ENTRY_OVERHEAD: usize = 32;

/// Estimated size in bytes of one member in a membership entry.
const MEMBER_BYTES: usize = 64;

/// Returns the approximate encoded size of an entry in bytes.
pub(super) fn entry_bytes(entry: &Entry) -> usize {
    let body = match &entry.body {
        EntryBody::Noop => 0,
        EntryBody::Data(data) => data.len(),
        EntryBody::Members(members) => {
            MEMBER_BYTES * (members.members.len() + members.retired.len())
        }
    };
    ENTRY_OVERHEAD + body
}

/// Contiguous log entries after a base position.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Position of the last entry that was compacted away.
    base: LogPosition,
    /// Entries after the base.
    ///
    /// INVARIANT: Entry `n` has index `base.index + 1 + n`; terms never decrease.
    entries: VecDeque<Entry>,
}

impl Log {
    /// Creates a log that continues after `base`.
    pub(super) fn new(base: LogPosition, entries: Vec<Entry>) -> Self {
        Log {
            base,
            entries: entries.into(),
        }
    }

    /// Returns the position of the last entry that was compacted away.
    pub(super) fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the position of the last entry.
    pub(super) fn end(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| LogPosition {
            term: entry.term,
            index: entry.index,
        })
    }

    /// Returns the entry at `index`, if it is in memory.
    pub(super) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let nth = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(nth).ok()?)
    }

    /// Returns the term at `index`, which may be the base.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the position (term and index) at `index`, which may be the base.
    pub(super) fn end_at(&self, index: LogIndex) -> Option<LogPosition> {
        self.term_at(index).map(|term| LogPosition { term, index })
    }

    /// Appends the next entry.
    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.end().index + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries from index `from` on.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        let kept = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Removes the entries up to index `to`, which becomes the new base.
    pub(super) fn compact(&mut self, to: LogIndex) {
        while self.entries.front().is_some_and(|e| e.index <= to) {
            if let Some(entry) = self.entries.pop_front() {
                self.base = LogPosition {
                    term: entry.term,
                    index: entry.index,
                };
            }
        }
    }

    /// Returns the size of the entries in a range, in bytes.
    pub(super) fn bytes(&self, range: RangeInclusive<LogIndex>) -> usize {
        range.filter_map(|i| self.get(i)).map(entry_bytes).sum()
    }

    /// Returns the index after which the entries up to `end` have at most `max_bytes`.
    pub(super) fn start_of_last(&self, max_bytes: usize, end: LogIndex) -> LogIndex {
        let mut bytes = 0;
        let mut start = end;
        while let Some(entry) = self.get(start) {
            bytes += entry_bytes(entry);
            if bytes > max_bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Copies the entries from `from` to `to`: at least one, and no more than
    /// `max_bytes` unless the first alone exceeds it.
    pub(super) fn slice(&self, from: LogIndex, to: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for index in from..=to {
            let Some(entry) = self.get(index) else { break };
            bytes += entry_bytes(entry);
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Returns the last position, no later than `end`, at which a log ending at
    /// `end` may match this one.
    ///
    /// Skips a whole term at a time, so that a replica with a long divergent log
    /// needs one message per term instead of one per entry.
    pub(super) fn last_possible_match(&self, end: LogPosition) -> LogPosition {
        let mut index = end.index.min(self.end().index);
        while let Some(at) = self.end_at(index) {
            if at.term <= end.term || index == self.base.index {
                return at;
            }
            index -= 1;
        }
        self.base
    }

    /// Returns the index after which entries are sent to a replica whose log may
    /// match up to `hint`.
    ///
    /// If the logs cannot match even at the base, the replica lacks that entry or
    /// has a different one, and only a snapshot helps. The index returned is then
    /// before the base. A probe at the base would return the same hint in an
    /// endless exchange of messages.
    pub(super) fn probe_index(&self, hint: LogPosition) -> LogIndex {
        let agreed = self.last_possible_match(hint);
        if agreed.index <= hint.index && agreed.term <= hint.term {
            return agreed.index;
        }
        hint.index.min(self.base.index.saturating_sub(1))
    }
}
