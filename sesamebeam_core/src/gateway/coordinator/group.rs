//! Membership of the replica group and its automatic repair.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use super::{
    Action,
    Coordinator,
    LogEvent, //
};
use crate::{
    gateway::messages::{
        MembershipReply,
        MembershipRequest, //
    },
    ids::{
        DomainId,
        MonoTime,
        NodeId, //
    },
    message::control::ReplicaStatus,
    replica::{
        MemberChange,
        Members,
        Replica,
        ReplicaEvent,
        Role,
        Ticket, //
    },
};

/// Silence after which a replica may be replaced by a process that asks to join. It is
/// longer than a restart takes, and well within the time in which a replaced replica must
/// be fully operational again.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which seeds outside the group are sent the membership. Entries that know no
/// other process ask the seeds; with this interval plus the round trip they are served
/// again within a second, an eighth of the shortest recovery time that users specify. Each
/// round costs the leader one connection per such seed.
const SEED_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two reports of lacking voters.
const TOLERANCE_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a standby process redirects callers to the last known leader: a few of
/// its polling rounds, within which a lost leader has a successor.
const LEADER_HINT_TTL: Duration = Duration::from_millis(1000);

/// Replicas of a group and their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Id of this process, if it has one.
    own: Option<NodeId>,
    /// Listen address of each replica.
    addrs: BTreeMap<NodeId, SocketAddr>,
}

impl Peers {
    /// Returns all addresses.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.addrs.values().copied().collect()
    }

    /// Returns the address of a replica.
    pub fn addr(&self, node: NodeId) -> Option<SocketAddr> {
        self.addrs.get(&node).copied()
    }

    /// Iterates over all replicas.
    pub fn all(&self) -> impl Iterator<Item = (NodeId, SocketAddr)> + '_ {
        self.addrs.iter().map(|(&node, &addr)| (node, addr))
    }

    /// Returns the number of replicas.
    pub(super) fn count(&self) -> usize {
        self.addrs.len()
    }

    /// Returns whether this process is a member.
    pub(super) fn is_member(&self) -> bool {
        self.own.is_some_and(|own| self.addrs.contains_key(&own))
    }

    /// Returns the ids of the other replicas.
    pub(super) fn others(&self) -> Vec<NodeId> {
        let nodes = self.addrs.keys().copied();
        nodes.filter(|&node| Some(node) != self.own).collect()
    }
}

impl Coordinator {
    /// Sets the replicas as reported by another process, unless this process knows the
    /// members itself.
    pub fn learn_peers(&mut self, peers: impl IntoIterator<Item = (NodeId, SocketAddr)>) {
        if self
            .replica
            .as_ref()
            .is_none_or(|r| r.members().members.is_empty())
        {
            let own = self.replica.as_ref().map(|r| r.id());
            let addrs = peers.into_iter().collect();
            self.set_peers(Peers { own, addrs });
        }
    }

    /// Records the address of a process that has reported itself as the leader.
    pub fn learn_leader(&mut self, now: MonoTime, leader: SocketAddr) {
        self.leader_hint = Some((leader, now));
    }

    /// Returns the replica id of this process, if it has one.
    pub fn id(&self) -> Option<NodeId> {
        self.replica.as_ref().map(Replica::id)
    }

    /// Returns whether this process is a member of the group according to its own state.
    pub fn is_member(&self) -> bool {
        let own = self.replica.as_ref();
        own.is_some_and(|r| r.members().get(r.id()).is_some())
    }

    /// Returns whether a leader is known.
    pub fn knows_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(|r| r.leader().is_some())
    }

    /// Handles a membership request.
    pub(super) fn handle_membership_request(&mut self, ticket: Ticket, request: MembershipRequest) {
        let reply = match (&self.replica, request) {
            (_, MembershipRequest::Members { replicas, .. }) => {
                self.learn_peers(replicas);
                MembershipReply::None
            }
            (None, _) => MembershipReply::None,
            (Some(_), MembershipRequest::Group) => self.membership_reply(),
            (
                Some(_),
                MembershipRequest::Join {
                    node,
                    incarnation,
                    addr,
                    domain,
                },
            ) => self.join(node, incarnation, addr, domain),
        };
        self.actions.push(Action::ReplyMembership(ticket, reply));
    }

    /// Applies a membership change.
    pub(super) fn members_changed(&mut self, members: &Members) {
        let own = self.replica.as_ref().map(|r| r.id());
        self.placement.retain(|node| members.get(node).is_some());
        let addr = |(&node, m): (&NodeId, &crate::replica::Member)| Some((node, m.addr?));
        let addrs = members.members.iter().filter_map(addr).collect();
        self.set_peers(Peers { own, addrs });
    }

    /// Handles a change of role.
    pub(super) fn role_changed(&mut self, role: Role) {
        self.log(LogEvent::Role(role));
        if role == Role::Leader {
            self.next_seed_update_at = self.now;
            self.rollout_monitors.sync(self.now, self.store.rollouts());
        }
    }

    /// Returns the address of the leader. A standby process knows it from the leader's
    /// replies.
    pub(super) fn leader_addr(&self) -> Option<SocketAddr> {
        if self.is_member() {
            let replica = self.replica.as_ref()?;
            return self.peers.addr(replica.leader()?);
        }
        let (leader, at) = self.leader_hint?;
        (self.now < at + LEADER_HINT_TTL).then_some(leader)
    }

    /// Sends the membership to seeds that are not members.
    ///
    /// Over time other processes replace the seeds as members. If all processes then lose
    /// power, and some of them their disks, every process that starts as a non-member asks
    /// the seeds, and none of these knows the members: the group had a leader and
    /// committed, but no entry ever learned of it. The leader knows the seeds from its
    /// settings, so it contacts them first.
    pub(super) fn update_seeds(&mut self) {
        let Some(replica) = &self.replica else {
            return;
        };
        if !replica.has_lease(self.now) || self.now < self.next_seed_update_at {
            return;
        }
        self.next_seed_update_at = self.now + SEED_UPDATE_INTERVAL;
        let request = MembershipRequest::Members {
            group: replica.group(),
            replicas: self.peers.all().collect(),
        };
        let members = self.peers.addrs();
        for &to in self.seeds.iter().filter(|seed| !members.contains(seed)) {
            let request = request.clone();
            self.actions
                .push(Action::SendMembershipRequest { to, request });
        }
    }

    /// Removes a silent voter that is no longer needed.
    ///
    /// A replica that was added before its predecessor was removed makes the group one
    /// larger. If the predecessor stayed, it would permanently count as a failed voter.
    pub(super) fn remove_surplus_voter(&mut self) {
        if !self.leads() {
            return;
        }
        let voters = self.voters();
        if voters.len() <= self.target_voters() {
            return;
        }
        if let Some(gone) = self.silent_voter() {
            let change = MemberChange::Remove { node: gone };
            self.change_members(change, None, Some(gone));
        }
    }

    /// Returns how many voters the group can lose and still commit, if this process leads it.
    pub fn spare_voters(&self) -> Option<usize> {
        self.replica.as_ref()?.spare_voters()
    }

    /// Reports the replication to all members for as long as the group tolerates fewer failures
    /// than intended, and once when it tolerates them again.
    pub(super) fn report_fault_tolerance(&mut self) {
        let Some(spare) = self.spare_voters() else {
            self.next_tolerance_report_at = None;
            return;
        };
        let is_lacking = spare < self.cfg.tolerated_failures;
        let is_due = match self.next_tolerance_report_at {
            Some(at) => !is_lacking || self.now >= at,
            None => is_lacking,
        };
        if !is_due {
            return;
        }
        self.next_tolerance_report_at = is_lacking.then(|| self.now + TOLERANCE_REPORT_INTERVAL);
        let replicas = self.replica.as_ref().map(Replica::replication);
        self.log(LogEvent::FaultTolerance {
            spare,
            replicas: replicas.unwrap_or_default(),
        });
    }

    /// Admits a process to the group if there is a vacancy.
    fn join(
        &mut self,
        node: NodeId,
        incarnation: u128,
        addr: SocketAddr,
        domain: DomainId,
    ) -> MembershipReply {
        let Some(replica) = self.replica.as_ref().filter(|_| self.leads()) else {
            return self.membership_reply();
        };
        if replica.members().get(node).is_some() {
            return MembershipReply::Joining;
        }
        let addr = Some(addr);
        let members = &replica.members().members;
        let same_addr = members
            .iter()
            .find(|(_, m)| m.addr == addr)
            .map(|(&n, _)| n);
        let gone = same_addr.or_else(|| self.silent_voter());
        self.placement
            .set_domain(replica.id(), self.cfg.domain.clone());
        let voters_and_joining = self.voters_and_joining();
        let lacks_replicas = voters_and_joining.len() < self.target_voters();
        let is_vacant = gone.is_some() || lacks_replicas;
        let remaining = voters_and_joining
            .iter()
            .filter(|&&node| Some(node) != gone);
        if same_addr.is_none()
            && !self
                .placement
                .may_join(self.now, &domain, is_vacant, remaining)
        {
            return self.membership_reply();
        }
        self.placement.set_domain(node, domain);
        let change = match gone {
            Some(gone) => MemberChange::Replace {
                old: gone,
                new: node,
                incarnation,
                addr,
            },
            None if lacks_replicas => MemberChange::Add {
                node,
                incarnation,
                addr,
                promote: true,
            },
            None => return self.membership_reply(),
        };
        self.change_members(change, Some(node), gone);
        MembershipReply::Joining
    }

    fn change_members(
        &mut self,
        change: MemberChange,
        joins: Option<NodeId>,
        leaves: Option<NodeId>,
    ) {
        let ticket = self.internal_ticket();
        self.log(LogEvent::Membership {
            joins,
            leaves,
            domains: self.placement.domains().clone(),
        });
        self.step_replica(ReplicaEvent::Change { ticket, change });
    }

    fn membership_reply(&self) -> MembershipReply {
        let Some(replica) = &self.replica else {
            return MembershipReply::None;
        };
        MembershipReply::Group {
            group: replica.group(),
            replicas: self.peers.addrs.iter().map(|(&n, &a)| (n, a)).collect(),
            leads: replica.has_lease(self.now),
        }
    }

    /// Returns the voter that has been silent for longest, if beyond the timeout.
    fn silent_voter(&self) -> Option<NodeId> {
        let replica = self.replica.as_ref()?;
        let progress = replica.progress(self.now);
        let silent = progress
            .iter()
            .filter(|s| s.voter && s.silent > SILENCE_TIMEOUT);
        silent
            .max_by_key(|s| s.silent)
            .map(|s: &ReplicaStatus| s.node)
    }

    fn voters(&self) -> Vec<NodeId> {
        let members = self
            .replica
            .as_ref()
            .map(|r| r.members().voters().collect());
        members.unwrap_or_default()
    }

    /// Returns the voters and the replicas that are joining.
    fn voters_and_joining(&self) -> Vec<NodeId> {
        let progress = self.replica.as_ref().map(|r| r.progress(self.now));
        let voters_and_joining = progress.into_iter().flatten();
        let voters_and_joining =
            voters_and_joining.filter(|s| s.voter || s.silent <= SILENCE_TIMEOUT);
        voters_and_joining.map(|s| s.node).collect()
    }

    /// Returns the intended number of voters.
    fn target_voters(&self) -> usize {
        2 * self.cfg.tolerated_failures + 1
    }

    fn set_peers(&mut self, peers: Peers) {
        if peers == self.peers {
            return;
        }
        self.peers = peers.clone();
        self.actions.push(Action::Peers(peers));
        self.publish_fleet();
    }
}
