//! What a follower does with a leader's entries.

use super::{
    Replica,
    message::{
        Entry,
        EntryBody,
        LogEnd,
        ReplicaBody, //
    },
};
use crate::ids::{
    LogIndex,
    NodeId, //
};

impl Replica {
    /// Notes that the leader of the present term lives.
    ///
    /// Only a round that was not heard before renews the promise: an old
    /// message that the network kept says nothing about now.
    pub(super) fn hear_leader(&mut self, from: NodeId, round: u64) {
        self.follow(Some(from));
        if round > self.round_heard {
            self.round_heard = round;
            self.promise_until = self.now + self.cfg.lease;
            self.reset_election();
        }
    }

    /// Takes entries that follow on, or tells where to go on from.
    pub(super) fn on_append(
        &mut self,
        from: NodeId,
        prev: LogEnd,
        entries: Vec<Entry>,
        committed: LogIndex,
    ) {
        if !self.fits(prev) {
            let hint = self.log.agreement(prev);
            self.acknowledge(from, Some(hint));
            return;
        }
        let wanted = entries.len();
        let entries = if self.full { Vec::new() } else { entries };
        let took_all = entries.len() == wanted;
        let end = entries.last().map_or(prev.index, |entry| entry.index);
        let grew = self.take_entries(entries);
        self.verified = self.verified.max(end);
        self.commit_to(committed.min(self.verified));
        // An entry of the leader's own term is committed after all before it.
        let in_term = self.log.term_at(committed) == Some(self.state.term);
        self.current |= in_term && committed <= self.committed;
        if !took_all {
            let hint = self.log.agreement(prev);
            self.acknowledge(from, Some(hint));
        } else if !grew || self.cfg.faults.count_unsynced {
            // Otherwise the answer follows on the sync.
            self.acknowledge(from, None);
        }
    }

    /// Answers the leader with what is synced here and matches its log.
    ///
    /// An entry that is acknowledged before it is synced can be counted as
    /// committed and then be lost in a power cut on every replica that holds
    /// it. So only synced entries are acknowledged.
    pub(super) fn acknowledge(&mut self, leader: NodeId, hint: Option<LogEnd>) {
        let held = if self.cfg.faults.count_unsynced {
            self.log.end().index
        } else {
            self.writer.synced()
        };
        let answer = ReplicaBody::Appended {
            round: self.round_heard,
            synced: held.min(self.verified),
            full: self.full,
            hint,
        };
        self.send(leader, answer);
    }

    /// Drops the entries from a position on, and the memberships among them.
    fn drop_from(&mut self, from: LogIndex) {
        debug_assert!(from > self.committed);
        self.log.truncate(from);
        self.writer.truncate(from);
        self.drop_memberships(from);
    }

    /// Returns whether entries after `prev` follow on here. What is before the
    /// base is committed and so matches any leader's log.
    fn fits(&self, prev: LogEnd) -> bool {
        prev.index < self.log.base().index || self.log.term_at(prev.index) == Some(prev.term)
    }

    /// Takes entries, replacing those that conflict. Returns whether the log
    /// has entries that it lacked.
    fn take_entries(&mut self, entries: Vec<Entry>) -> bool {
        let mut grew = false;
        for entry in entries {
            if entry.index <= self.log.base().index {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.drop_from(entry.index),
                None => {}
            }
            self.push_entry(entry);
            grew = true;
        }
        grew
    }

    /// Appends an entry; a membership is in force from then on.
    pub(super) fn push_entry(&mut self, entry: Entry) {
        if let EntryBody::Members(members) = &entry.body {
            self.adopt_members(entry.index, members.clone());
        }
        self.log.push(entry);
    }
}
