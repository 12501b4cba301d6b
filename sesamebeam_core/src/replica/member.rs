//! Membership of the group: voters, learners and the single steps between.

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

/// One replica as the group records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Incarnation of its data folder; another one under the same number is
    /// ignored.
    pub incarnation: u128,
    /// Address at which it listens, for the edge.
    pub addr: Option<SocketAddr>,
    /// Whether it votes and counts towards a quorum.
    pub voter: bool,
    /// Whether a learner becomes a voter once it has caught up.
    pub promote: bool,
    /// Replica that is removed before this one becomes a voter.
    pub replaces: Option<NodeId>,
}

impl Member {
    /// Makes a voter, as in the first membership of a group.
    pub fn voter(incarnation: u128, addr: Option<SocketAddr>) -> Self {
        Member {
            incarnation,
            addr,
            voter: true,
            promote: false,
            replaces: None,
        }
    }

    /// Makes a learner.
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

/// Membership of the group. Each change of it is one entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas by number.
    pub members: BTreeMap<NodeId, Member>,
    /// Numbers that were members once. They are never given again, so that a
    /// replica with an old membership cannot take one replica for another.
    pub retired: BTreeSet<NodeId>,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica as a learner; `promote` makes it a voter once it has
    /// caught up.
    Add {
        /// Number of the replica, never used before.
        node: NodeId,
        /// Incarnation of its data folder.
        incarnation: u128,
        /// Address at which it listens.
        addr: Option<SocketAddr>,
        /// Whether it becomes a voter once it has caught up.
        promote: bool,
    },
    /// Removes a replica.
    Remove {
        /// Number of the replica.
        node: NodeId,
    },
    /// Adds `new` as a learner and, once it has caught up, removes `gone` and
    /// makes `new` a voter, in single steps that a new leader resumes.
    Replace {
        /// Replica whose disk is lost.
        gone: NodeId,
        /// Number of its replacement, never used before.
        new: NodeId,
        /// Incarnation of the replacement's data folder.
        incarnation: u128,
        /// Address at which the replacement listens.
        addr: Option<SocketAddr>,
    },
}

/// Why a membership change is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeFault {
    /// Another change is still in flight; ask again later.
    InFlight,
    /// The number is or was a member.
    Used,
    /// The replica is no member.
    Unknown,
    /// The last voter cannot go.
    LastVoter,
}

impl Members {
    /// Makes the first membership from voters.
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

    /// Returns the record of a replica.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// Returns whether the replica votes.
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

    /// Returns the number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the membership after the first single step of a change.
    ///
    /// # Errors
    ///
    /// Fails if the change does not fit the present membership.
    pub fn first_step(&self, change: &MemberChange) -> Result<Members, ChangeFault> {
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
                gone,
                new,
                incarnation,
                addr,
            } => {
                self.check_unused(new)?;
                self.get(gone).ok_or(ChangeFault::Unknown)?;
                let mut learner = Member::learner(incarnation, addr, true);
                learner.replaces = Some(gone);
                next.members.insert(new, learner);
            }
        }
        Ok(next)
    }

    /// Returns the membership after the next step that is owed to a learner
    /// that has caught up: the replica it replaces goes, and it votes.
    ///
    /// The gone one leaves first, because counting it beside its replacement
    /// would need one more live replica for each commit. A step after which the
    /// voters that live make no quorum is not taken: a replica that was cut off
    /// when its replacement began may be the one that the group cannot do without
    /// when it is back and others are lost, and no later step could be committed.
    pub fn next_step(&self, learner: NodeId, lives: impl Fn(NodeId) -> bool) -> Option<Members> {
        let member = self.get(learner)?;
        let gone = member.replaces.filter(|&gone| self.get(gone).is_some());
        let without = gone.filter(|&gone| self.check_removable(gone).is_ok());
        let without = without.map(|gone| {
            let mut next = self.clone();
            next.remove(gone);
            next
        });
        let promoted = (!member.voter && member.promote).then(|| {
            let mut next = self.clone();
            next.promote(learner);
            next
        });
        let mut steps = [without, promoted].into_iter().flatten();
        steps.find(|next| next.voters().filter(|&n| lives(n)).count() >= next.quorum())
    }

    /// Makes a learner a voter.
    fn promote(&mut self, learner: NodeId) {
        if let Some(member) = self.members.get_mut(&learner) {
            member.voter = true;
            member.promote = false;
        }
    }

    /// Takes a replica out for good.
    fn remove(&mut self, node: NodeId) {
        self.members.remove(&node);
        self.retired.insert(node);
    }

    /// Refuses a number that is or was a member.
    fn check_unused(&self, node: NodeId) -> Result<(), ChangeFault> {
        let used = self.members.contains_key(&node) || self.retired.contains(&node);
        if used { Err(ChangeFault::Used) } else { Ok(()) }
    }

    /// Refuses to take out the last voter.
    fn check_removable(&self, node: NodeId) -> Result<(), ChangeFault> {
        self.get(node).ok_or(ChangeFault::Unknown)?;
        let left = self.voters().filter(|&voter| voter != node).count();
        if left == 0 {
            return Err(ChangeFault::LastVoter);
        }
        Ok(())
    }
}
