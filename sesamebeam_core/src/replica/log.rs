//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use super::message::{
    Entry,
    EntryBody,
    LogEnd, //
};
use crate::ids::{
    LogIndex,
    Term, //
};

/// Bytes that an entry takes beside its data.
const ENTRY_OVERHEAD: usize = 32;

/// Bytes that one member takes in an entry.
const MEMBER_BYTES: usize = 64;

/// Returns about how many bytes an entry takes in a message.
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

/// Entries after a base, without a gap.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// End of what is no longer kept.
    base: LogEnd,
    /// Entries after the base.
    ///
    /// INVARIANT: The n-th has index `base.index + 1 + n`; terms never fall.
    entries: VecDeque<Entry>,
}

impl Log {
    /// Makes a log that goes on after `base`.
    pub(super) fn new(base: LogEnd, entries: Vec<Entry>) -> Self {
        Log {
            base,
            entries: entries.into(),
        }
    }

    /// Returns the end of what is no longer kept.
    pub(super) fn base(&self) -> LogEnd {
        self.base
    }

    /// Returns the end of the log.
    pub(super) fn end(&self) -> LogEnd {
        self.entries.back().map_or(self.base, |entry| LogEnd {
            term: entry.term,
            index: entry.index,
        })
    }

    /// Returns the entry at a position, if it is kept.
    pub(super) fn get(&self, index: LogIndex) -> Option<&Entry> {
        let nth = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(nth).ok()?)
    }

    /// Returns the term at a position, the base included.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the log's end as if it ended at a position.
    pub(super) fn end_at(&self, index: LogIndex) -> Option<LogEnd> {
        self.term_at(index).map(|term| LogEnd { term, index })
    }

    /// Adds an entry that follows on.
    pub(super) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.end().index + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entries from a position on.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        let kept = from.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Forgets the entries up to a position.
    pub(super) fn compact(&mut self, to: LogIndex) {
        while self.entries.front().is_some_and(|e| e.index <= to) {
            if let Some(entry) = self.entries.pop_front() {
                self.base = LogEnd {
                    term: entry.term,
                    index: entry.index,
                };
            }
        }
    }

    /// Copies entries between two positions, at least one and otherwise no more
    /// than `max_bytes`.
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

    /// Returns the highest position at or before `end` at which a log with
    /// that end may agree with this one.
    ///
    /// Whole terms are passed over at a time, so that a replica that is far
    /// astray is brought back in a message a term instead of one an entry.
    pub(super) fn agreement(&self, end: LogEnd) -> LogEnd {
        let mut index = end.index.min(self.end().index);
        while let Some(at) = self.end_at(index) {
            if at.term <= end.term || index == self.base.index {
                return at;
            }
            index -= 1;
        }
        self.base
    }

    /// Returns the position after which a replica whose log may agree up to
    /// `hint` is sent entries.
    ///
    /// If it cannot agree even at the base, its own entry there is another one,
    /// or it lacks it: only a snapshot helps, so the position is before the
    /// base. Probed at the base it would give the same hint for ever, as fast as
    /// the network takes messages.
    pub(super) fn probe_point(&self, hint: LogEnd) -> LogIndex {
        let agreed = self.agreement(hint);
        if agreed.index <= hint.index && agreed.term <= hint.term {
            return agreed.index;
        }
        hint.index.min(self.base.index.saturating_sub(1))
    }
}
