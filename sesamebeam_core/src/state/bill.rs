//! Billing entries, at most one per claim, exported by sequence number.

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

/// The kept billing entries.
///
/// INVARIANT: `due` contains exactly the entries that are not open.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Bills {
    /// Last assigned sequence number.
    last: BillSeq,
    /// Entries by sequence number, with the time at which it was assigned.
    entries: BTreeMap<BillSeq, (Duration, Bill)>,
    /// Entries that may expire, oldest first.
    due: BTreeSet<(Duration, BillSeq)>,
}

impl Bills {
    /// Appends an entry, removing the one that it replaces.
    ///
    /// A changed entry gets a new sequence number. An export that has already
    /// read past the old number would otherwise never see the change.
    pub(super) fn append(
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

    /// Returns an entry by sequence number.
    pub(super) fn get(&self, seq: BillSeq) -> Option<&Bill> {
        self.entries.get(&seq).map(|(_, bill)| bill)
    }

    /// Returns up to `limit` entries from sequence number `from`.
    pub(super) fn list(&self, from: BillSeq, limit: usize) -> Vec<Bill> {
        let entries = self.entries.range(from..).take(limit);
        entries.map(|(_, (_, bill))| bill.clone()).collect()
    }

    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Removes charged and void entries whose retention has ended.
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
