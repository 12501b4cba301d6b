//! Changes of the membership, one at a time.

use std::collections::BTreeMap;

use super::{
    Replica, Standing,
    member::{
        ChangeFault,
        MemberChange,
        Members, //
    },
    message::{
        EntryBody,
        Rejection,
        ReplicaAction,
        Ticket, //
    },
};
use crate::ids::LogIndex;

/// Memberships by the position from which they are in force.
#[derive(Debug, Default)]
pub(super) struct Memberships {
    /// Memberships of the snapshot and of the entries after it.
    by_index: BTreeMap<LogIndex, Members>,
    /// The last of them.
    current: Members,
}

impl Memberships {
    /// Returns the membership in force.
    pub(super) fn current(&self) -> &Members {
        &self.current
    }

    /// Returns the membership as of a position.
    pub(super) fn at(&self, index: LogIndex) -> Members {
        let found = self.by_index.range(..=index).next_back();
        found
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }

    /// Takes a membership over from a position on.
    pub(super) fn adopt(&mut self, index: LogIndex, members: Members) {
        self.current = members.clone();
        self.by_index.insert(index, members);
    }

    /// Drops those from a position on. Returns whether any was.
    fn truncate(&mut self, from: LogIndex) -> bool {
        let dropped = !self.by_index.split_off(&from).is_empty();
        self.current = self.at(LogIndex::MAX);
        dropped
    }

    /// Forgets those that a later one up to `index` has replaced.
    pub(super) fn compact(&mut self, index: LogIndex) {
        let newest = self.by_index.range(..=index).next_back().map(|(&i, _)| i);
        if let Some(newest) = newest {
            self.by_index = self.by_index.split_off(&newest);
        }
    }

    /// Forgets all but one.
    pub(super) fn restart_from(&mut self, index: LogIndex, members: Members) {
        self.by_index.clear();
        self.adopt(index, members);
    }
}

impl Replica {
    /// Starts a change that an operator asks for.
    pub(super) fn change(&mut self, ticket: Ticket, change: &MemberChange) {
        if let Err(reason) = self.try_change(ticket, change) {
            self.reject(ticket, reason);
        }
    }

    /// Appends the first step of a change.
    fn try_change(&mut self, ticket: Ticket, change: &MemberChange) -> Result<(), Rejection> {
        let Standing::Leader(_) = &self.standing else {
            return Err(Rejection::NotLeader(self.leader));
        };
        if self.full {
            return Err(Rejection::Full);
        }
        if !self.may_change() {
            return Err(Rejection::Change(ChangeFault::InFlight));
        }
        let next = self.members().first_step(change);
        let next = next.map_err(Rejection::Change)?;
        self.append_members(next, Some(ticket));
        Ok(())
    }

    /// Returns whether a change may start.
    ///
    /// Two changes at once, or one before an entry of this term is committed,
    /// can leave two quorums without a replica in common: each elects a leader
    /// and commits what the other never sees. One committed step at a time
    /// keeps every two quorums overlapping.
    fn may_change(&self) -> bool {
        let Standing::Leader(leader) = &self.standing else {
            return false;
        };
        let settled = leader.change.is_none() && self.committed >= leader.first;
        settled || self.cfg.faults.overlapping_changes
    }

    /// Takes the next step owed to a learner that has caught up. The steps are
    /// read off the membership itself, so that a new leader resumes them.
    pub(super) fn take_owed_step(&mut self) {
        if self.full || !self.may_change() {
            return;
        }
        let owed = self.members().members.iter().find_map(|(&node, member)| {
            let wants = member.promote || member.replaces.is_some();
            let ready = wants && (member.voter || self.has_caught_up(node));
            if ready {
                self.members().next_step(node, |voter| self.is_heard(voter))
            } else {
                None
            }
        });
        if let Some(next) = owed {
            self.append_members(next, None);
        }
    }

    /// Notes that a membership is committed. A leader that is no longer a
    /// member hands over.
    pub(super) fn members_committed(&mut self, index: LogIndex) {
        let Standing::Leader(leader) = &mut self.standing else {
            return;
        };
        if let Some((_, ticket)) = leader.change.take_if(|(at, _)| *at <= index)
            && let Some(ticket) = ticket
        {
            self.actions.push(ReplicaAction::Changed { ticket });
        }
        if !self.members().is_voter(self.cfg.id) {
            self.hand_over();
        }
    }

    /// Puts a membership in force from a position on.
    pub(super) fn adopt_members(&mut self, index: LogIndex, members: Members) {
        self.memberships.adopt(index, members);
        self.announce_members();
    }

    /// Goes back to the membership before a position.
    pub(super) fn drop_memberships(&mut self, from: LogIndex) {
        if self.memberships.truncate(from) {
            self.announce_members();
        }
    }

    /// Tells of the membership in force.
    pub(super) fn announce_members(&mut self) {
        let members = self.members().clone();
        self.actions.push(ReplicaAction::Members(members));
    }

    /// Appends a membership as the one change in flight.
    fn append_members(&mut self, members: Members, ticket: Option<Ticket>) {
        let index = self.append(EntryBody::Members(members));
        if let Standing::Leader(leader) = &mut self.standing {
            leader.change = Some((index, ticket));
        }
        self.track_members();
    }
}
