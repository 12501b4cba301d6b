//! Group membership: voters, learners and single-step changes.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::NodeId;

/// Membership record of one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation of its data folder. Messages under the same ID with a different
    /// incarnation are ignored.
    pub incarnation: u128,
    /// Listen address, used by the network layer.
    pub addr: Option<SocketAddr>,
    /// Whether it votes and counts towards a quorum.
    pub voter: bool,
    /// Whether this learner is promoted to voter once it has caught up.
    pub promote: bool,
    /// Replica to remove before this one becomes a voter.
    pub replaces: Option<NodeId>,
}

impl Member {
    /// Creates a voter, as in the initial membership of a group.
    pub fn voter(incarnation: u128, addr: Option<SocketAddr>) -> Self {
        Member {
            incarnation,
            addr,
            voter: true,
            promote: false,
            replaces: None,
        }
    }

    /// Creates a learner.
    fn learner(incarnation: u128, addr: Option<SocketAddr>, promote: bool) -> Self {
        Member {
            incarnation,
            addr,
            voter: false,
            promote,
            replaces: None,
        }
    }
}

/// Group membership. Each change is one log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members by ID.
    pub members: BTreeMap<NodeId, Member>,
    /// IDs of former members. They are never reused, so that a replica with an old
    /// membership cannot mistake one replica for another.
    pub retired: BTreeSet<NodeId>,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica as a learner; `promote` makes it a voter once it has
    /// caught up.
    Add {
        /// ID of the replica, never used before.
        node: NodeId,
        /// Incarnation of the replica's data folder.
        incarnation: u128,
        /// Listen address of the replica.
        addr: Option<SocketAddr>,
        /// Whether the learner is promoted to voter once it has caught up.
        promote: bool,
    },
    /// Removes a replica.
    Remove {
        /// ID of the replica.
        node: NodeId,
    },
    /// Adds `new` as a learner and, once it has caught up, removes `old` and
    /// promotes `new` to voter. The change consists of single steps that a new
    /// leader resumes.
    Replace {
        /// Replica to remove, whose disk is lost.
        old: NodeId,
        /// ID of the replacement, never used before.
        new: NodeId,
        /// Incarnation of the replacement's data folder.
        incarnation: u128,
        /// Listen address of the replacement.
        addr: Option<SocketAddr>,
    },
}

/// Reason for rejecting a membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeError {
    /// Another change is in flight; retry later.
    InFlight,
    /// The ID is in use or was used before.
    Used,
    /// The replica is not a member.
    Unknown,
    /// The last voter cannot be removed.
    LastVoter,
}

impl Members {
    /// Creates the initial membership from voters.
    pub fn of_voters(voters: impl IntoIterator<Item = (NodeId, u128)>) -> Self {
        let members = voters
            .into_iter()
            .map(|(node, incarnation)| (node, Member::voter(incarnation, None)))
            .collect();
        Members {
            members,
            retired: BTreeSet::new(),
        }
    }

    /// Returns the membership record of a replica.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// Returns whether the replica is a voter.
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.get(node).is_some_and(|m| m.voter)
    }

    /// Iterates over the voters.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.members
            .iter()
            .filter(|(_, m)| m.voter)
            .map(|(&node, _)| node)
    }

    /// Returns the quorum size.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the membership after the first step of a change.
    ///
    /// # Errors
    ///
    /// Fails if the change conflicts with the current membership.
    pub fn first_step(&self, change: &MemberChange) -> Result<Members, ChangeError> {
        let mut next = self.clone();
        match *change {
            MemberChange::Add {
                node,
                incarnation,
                addr,
                promote,
            } => {
                self.check_unused(node)?;
                let learner = Member::learner(incarnation, addr, promote);
                next.members.insert(node, learner);
            }
            MemberChange::Remove { node } => {
                self.check_removable(node)?;
                next.remove(node);
            }
            MemberChange::Replace {
                old,
                new,
                incarnation,
                addr,
            } => {
                self.check_unused(new)?;
                self.get(old).ok_or(ChangeError::Unknown)?;
                let mut learner = Member::learner(incarnation, addr, true);
                learner.replaces = Some(old);
                next.members.insert(new, learner);
            }
        }
        Ok(next)
    }

    /// Returns the membership after the next pending step for a learner: the replica that
    /// it replaces is removed, or the learner is promoted.
    ///
    /// Either step may come first. One is taken only if the group can commit after it, and
    /// bears the loss of as many voters as before. So a live replica stays until its
    /// replacement is a voter that keeps up, and may still be needed if others fail meanwhile.
    /// A lost one is removed at once, and a learner that stays behind a growing log is
    /// promoted if that raises no quorum: if the lost replica kept its vote until the log grows
    /// more slowly, the next loss could leave no quorum for good.
    pub fn next_step(&self, learner: NodeId, keeps_up: impl Fn(NodeId) -> bool) -> Option<Members> {
        let member = self.get(learner)?;
        let old = member.replaces.filter(|&old| self.get(old).is_some());
        let removed = old.filter(|&old| self.check_removable(old).is_ok());
        let removed = removed.map(|old| {
            let mut next = self.clone();
            next.remove(old);
            next
        });
        let promoted = (!member.voter && member.promote).then(|| {
            let mut next = self.clone();
            next.promote(learner);
            next
        });
        let required = self.spare_voters(&keeps_up).max(0);
        let mut steps = [removed, promoted].into_iter().flatten();
        steps.find(|next| next.spare_voters(&keeps_up) >= required)
    }

    /// Returns how many of the voters that keep up can be lost before there is no quorum.
    /// Negative if there is none already.
    fn spare_voters(&self, keeps_up: impl Fn(NodeId) -> bool) -> isize {
        let voters = self.voters().filter(|&n| keeps_up(n)).count();
        voters as isize - self.quorum() as isize
    }

    /// Promotes a learner to voter.
    fn promote(&mut self, learner: NodeId) {
        if let Some(member) = self.members.get_mut(&learner) {
            member.voter = true;
            member.promote = false;
        }
    }

    /// Removes a replica and retires its ID.
    fn remove(&mut self, node: NodeId) {
        self.members.remove(&node);
        self.retired.insert(node);
    }

    /// Fails if the ID is in use or was used before.
    fn check_unused(&self, node: NodeId) -> Result<(), ChangeError> {
        let used = self.members.contains_key(&node) || self.retired.contains(&node);
        if used { Err(ChangeError::Used) } else { Ok(()) }
    }

    /// Fails if the replica is not a member or is the last voter.
    fn check_removable(&self, node: NodeId) -> Result<(), ChangeError> {
        self.get(node).ok_or(ChangeError::Unknown)?;
        let remaining = self.voters().filter(|&voter| voter != node).count();
        if remaining == 0 {
            return Err(ChangeError::LastVoter);
        }
        Ok(())
    }
}
