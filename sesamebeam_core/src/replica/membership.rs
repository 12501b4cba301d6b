//! Membership changes, one at a time.

use std::collections::BTreeMap;

use super::{
    Replica, RoleState,
    member::{
        ChangeError,
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

/// Memberships by the log index from which they apply.
#[derive(Debug, Default)]
pub(super) struct MembershipHistory {
    /// Memberships from the snapshot and from later entries.
    by_index: BTreeMap<LogIndex, Members>,
    /// The latest membership.
    current: Members,
}

impl MembershipHistory {
    /// Returns the latest membership.
    pub(super) fn current(&self) -> &Members {
        &self.current
    }

    /// Returns the membership that applies at `index`.
    pub(super) fn at(&self, index: LogIndex) -> Members {
        let found = self.by_index.range(..=index).next_back();
        found
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }

    /// Records a membership that applies from `index` on.
    pub(super) fn insert(&mut self, index: LogIndex, members: Members) {
        self.current = members.clone();
        self.by_index.insert(index, members);
    }

    /// Removes the memberships from index `from` on. Returns whether there were
    /// any.
    fn truncate(&mut self, from: LogIndex) -> bool {
        let dropped = !self.by_index.split_off(&from).is_empty();
        self.current = self.at(LogIndex::MAX);
        dropped
    }

    /// Removes the memberships superseded at or before `index`.
    pub(super) fn compact(&mut self, index: LogIndex) {
        let newest = self.by_index.range(..=index).next_back().map(|(&i, _)| i);
        if let Some(newest) = newest {
            self.by_index = self.by_index.split_off(&newest);
        }
    }

    /// Replaces the whole history by one membership.
    pub(super) fn reset_to(&mut self, index: LogIndex, members: Members) {
        self.by_index.clear();
        self.insert(index, members);
    }
}

impl Replica {
    /// Starts a membership change requested by an operator.
    pub(super) fn change(&mut self, ticket: Ticket, change: &MemberChange) {
        if let Err(reason) = self.try_change(ticket, change) {
            self.reject(ticket, reason);
        }
    }

    /// Appends the first step of a change.
    fn try_change(&mut self, ticket: Ticket, change: &MemberChange) -> Result<(), Rejection> {
        let RoleState::Leader(_) = &self.role_state else {
            return Err(Rejection::NotLeader(self.leader));
        };
        if self.disk_full {
            return Err(Rejection::Full);
        }
        if !self.can_start_change() {
            return Err(Rejection::Change(ChangeError::InFlight));
        }
        let next = self.members().first_step(change);
        let next = next.map_err(Rejection::Change)?;
        self.append_members(next, Some(ticket));
        Ok(())
    }

    /// Returns whether a membership change can start.
    ///
    /// Two concurrent changes, or one before an entry of this term is committed,
    /// can produce two disjoint quorums: each elects a leader and commits entries
    /// that the other never receives. Committing one step at a time keeps any two
    /// quorums overlapping.
    fn can_start_change(&self) -> bool {
        let RoleState::Leader(leader) = &self.role_state else {
            return false;
        };
        let idle = leader.change.is_none() && self.committed >= leader.term_start;
        idle || self.cfg.faults.overlapping_changes
    }

    /// Appends the next pending step for a learner that has received the log. Pending
    /// steps are derived from the membership itself, so that a new leader resumes
    /// them.
    pub(super) fn append_pending_step(&mut self) {
        if self.disk_full || !self.can_start_change() {
            return;
        }
        let pending = self.members().members.iter().find_map(|(&node, member)| {
            let has_pending_step = member.promote || member.replaces.is_some();
            let ready = has_pending_step && (member.voter || self.has_initial_log(node));
            if ready {
                self.members().next_step(node, |n| self.keeps_up(n))
            } else {
                None
            }
        });
        if let Some(next) = pending {
            self.append_members(next, None);
        }
    }

    /// Handles the commit of a membership. A leader that is no longer a voter
    /// transfers leadership.
    pub(super) fn on_members_committed(&mut self, index: LogIndex) {
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        if let Some((_, ticket)) = leader.change.take_if(|(at, _)| *at <= index)
            && let Some(ticket) = ticket
        {
            self.actions.push(ReplicaAction::Changed { ticket });
        }
        if !self.members().is_voter(self.cfg.id) {
            self.transfer_leadership();
        }
    }

    /// Applies a membership from `index` on.
    pub(super) fn insert_members(&mut self, index: LogIndex, members: Members) {
        self.memberships.insert(index, members);
        self.notify_members();
    }

    /// Reverts to the membership before index `from`.
    pub(super) fn truncate_memberships(&mut self, from: LogIndex) {
        if self.memberships.truncate(from) {
            self.notify_members();
        }
    }

    /// Emits the current membership as an action.
    pub(super) fn notify_members(&mut self) {
        let members = self.members().clone();
        self.actions.push(ReplicaAction::Members(members));
    }

    /// Appends a membership as the change in flight.
    fn append_members(&mut self, members: Members, ticket: Option<Ticket>) {
        let index = self.append(EntryBody::Members(members));
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.change = Some((index, ticket));
        }
        self.update_leader_members();
    }
}
