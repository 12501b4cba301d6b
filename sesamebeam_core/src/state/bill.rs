//! Billing entries: one for each claim, exported by sequence number.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::BillSeq,
    message::record::{
        Bill,
        BillState, //
    },
};

/// The billing entries that are kept.
///
/// INVARIANT: `due` holds exactly the entries that are not open.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Bills {
    /// Sequence number given last.
    last: BillSeq,
    /// Entries by position, with the time at which each got it.
    entries: BTreeMap<BillSeq, (Duration, Bill)>,
    /// Entries that may expire, the oldest first.
    due: BTreeSet<(Duration, BillSeq)>,
}

impl Bills {
    /// Writes an entry at the end of the export.
    ///
    /// An entry that changes moves: an export that was read past its old
    /// position would otherwise never show the change.
    pub(super) fn write(
        &mut self,
        clock: Duration,
        replaces: Option<BillSeq>,
        bill: Bill,
    ) -> BillSeq {
        if let Some(old) = replaces {
            self.remove(old);
        }
        self.last += 1;
        let seq = self.last;
        if bill.state != BillState::Open {
            self.due.insert((clock, seq));
        }
        self.entries.insert(seq, (clock, Bill { seq, ..bill }));
        seq
    }

    /// Finds an entry by its position.
    pub(super) fn get(&self, seq: BillSeq) -> Option<&Bill> {
        self.entries.get(&seq).map(|(_, bill)| bill)
    }

    /// Lists entries from a position on.
    pub(super) fn list(&self, from: BillSeq, limit: usize) -> Vec<Bill> {
        let entries = self.entries.range(from..).take(limit);
        entries.map(|(_, (_, bill))| bill.clone()).collect()
    }

    /// Counts the entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Drops settled entries over their time.
    pub(super) fn expire(&mut self, clock: Duration, kept: Duration) {
        while let Some(&(at, seq)) = self.due.first() {
            if at + kept > clock {
                return;
            }
            self.remove(seq);
        }
    }

    fn remove(&mut self, seq: BillSeq) {
        if let Some((at, _)) = self.entries.remove(&seq) {
            self.due.remove(&(at, seq));
        }
    }
}
