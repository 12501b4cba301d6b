//! The follower role: receiving entries from the leader.

use super::{
    Replica,
    message::{
        Entry,
        EntryBody,
        LogPosition,
        ReplicaBody, //
    },
};
use crate::ids::{
    LogIndex,
    NodeId, //
};

impl Replica {
    /// Records contact with the leader of the current term.
    ///
    /// Only a new round renews the promise not to vote for others: a delayed
    /// message does not show that the leader is still alive.
    pub(super) fn on_leader_contact(&mut self, from: NodeId, round: u64) {
        self.become_follower(Some(from));
        if round > self.latest_round {
            self.latest_round = round;
            self.vote_blocked_until = self.now + self.cfg.lease;
            self.reset_election_deadline();
        }
    }

    /// Appends entries that continue the log, or responds with a hint where to
    /// resume.
    pub(super) fn on_append_request(
        &mut self,
        from: NodeId,
        prev: LogPosition,
        entries: Vec<Entry>,
        committed: LogIndex,
    ) {
        if !self.log_matches(prev) {
            let hint = self.log.last_possible_match(prev);
            self.acknowledge(from, Some(hint));
            return;
        }
        let received = entries.len();
        let entries = if self.disk_full { Vec::new() } else { entries };
        let accepted_all = entries.len() == received;
        let end = entries.last().map_or(prev.index, |entry| entry.index);
        let grew = self.append_entries(entries);
        self.match_index = self.match_index.max(end);
        self.commit_to(committed.min(self.match_index));
        // An entry of the leader's own term is committed only after all earlier
        // ones.
        let in_term = self.log.term_at(committed) == Some(self.state.term);
        self.current |= in_term && committed <= self.committed;
        if !accepted_all {
            let hint = self.log.last_possible_match(prev);
            self.acknowledge(from, Some(hint));
        } else if !grew || self.cfg.faults.count_unsynced {
            // Otherwise the response is sent after the sync.
            self.acknowledge(from, None);
        }
    }

    /// Sends the leader the last index that is synced here and matches its log.
    ///
    /// Only synced entries are acknowledged. An entry acknowledged before its sync
    /// could be committed and then lost in a power failure on every replica that
    /// holds it.
    pub(super) fn acknowledge(&mut self, leader: NodeId, hint: Option<LogPosition>) {
        let last = if self.cfg.faults.count_unsynced {
            self.log.end().index
        } else {
            self.writer.synced()
        };
        let response = ReplicaBody::AppendResponse {
            round: self.latest_round,
            synced: last.min(self.match_index),
            disk_full: self.disk_full,
            hint,
        };
        self.send(leader, response);
    }

    /// Removes the entries from index `from` on, with the memberships they contain.
    fn truncate_from(&mut self, from: LogIndex) {
        debug_assert!(from > self.committed);
        self.log.truncate(from);
        self.writer.truncate(from);
        self.truncate_memberships(from);
    }

    /// Returns whether entries after `prev` continue this log. Entries before the
    /// base are committed and therefore match the log of any leader.
    fn log_matches(&self, prev: LogPosition) -> bool {
        prev.index < self.log.base().index || self.log.term_at(prev.index) == Some(prev.term)
    }

    /// Appends entries and replaces conflicting ones. Returns whether any entry was
    /// added.
    fn append_entries(&mut self, entries: Vec<Entry>) -> bool {
        let mut grew = false;
        for entry in entries {
            if entry.index <= self.log.base().index {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            self.push_entry(entry);
            grew = true;
        }
        grew
    }

    /// Appends an entry. A membership entry applies as soon as it is appended.
    pub(super) fn push_entry(&mut self, entry: Entry) {
        if let EntryBody::Members(members) = &entry.body {
            self.insert_members(entry.index, members.clone());
        }
        self.log.push(entry);
    }
}
