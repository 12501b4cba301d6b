//! Who is in the group, and mending it without an operator.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use super::{
    Action,
    Coordinator,
    Note, //
};
use crate::{
    gateway::feed::{
        Question,
        Reply, //
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

/// Silence after which a replica's place may be given to another that asks for
/// one. Longer than a restart takes, well within the time in which a replaced
/// replica must be back in full.
const SILENT_FOR: Duration = Duration::from_secs(2);

/// Pause between two times that seeds without a place are told of the group.
/// Entries that know of nobody else ask them; with this and the round trip they
/// are served again within a second, an eighth of the shortest time that users
/// give a recovery. Each time costs the leader one connection to each such seed.
const TELL_SEEDS_EVERY: Duration = Duration::from_millis(500);

/// Time for which a process in reserve sends callers to the leader that it asked last: a
/// few of its rounds of questions, within which a lost leader has a successor.
const LEADER_KNOWN_FOR: Duration = Duration::from_millis(1000);

/// Replicas of a group with their addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// This process, if it has a number.
    own: Option<NodeId>,
    /// Where each listens.
    addrs: BTreeMap<NodeId, SocketAddr>,
}

impl Peers {
    /// Returns all addresses.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.addrs.values().copied().collect()
    }

    /// Returns where a replica listens.
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

    /// Returns whether this process is one of them.
    pub(super) fn is_member(&self) -> bool {
        self.own.is_some_and(|own| self.addrs.contains_key(&own))
    }

    /// Returns the numbers of the others.
    pub(super) fn others(&self) -> Vec<NodeId> {
        let nodes = self.addrs.keys().copied();
        nodes.filter(|&node| Some(node) != self.own).collect()
    }
}

impl Coordinator {
    /// Takes what another process told of the group, for one that is no member.
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

    /// Takes which process leads the group, as that one has answered itself.
    pub fn learn_leader(&mut self, now: MonoTime, leader: SocketAddr) {
        self.known_leader = Some((leader, now));
    }

    /// Returns this process's number, if it has one.
    pub fn id(&self) -> Option<NodeId> {
        self.replica.as_ref().map(Replica::id)
    }

    /// Returns whether this process has a place in the group as it knows it.
    pub fn is_member(&self) -> bool {
        let own = self.replica.as_ref();
        own.is_some_and(|r| r.members().get(r.id()).is_some())
    }

    /// Returns whether a leader is known.
    pub fn knows_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(|r| r.leader().is_some())
    }

    /// Answers a question about the group.
    pub(super) fn asked(&mut self, ticket: Ticket, question: Question) {
        let reply = match (&self.replica, question) {
            (_, Question::Told { replicas, .. }) => {
                self.learn_peers(replicas);
                Reply::None
            }
            (None, _) => Reply::None,
            (Some(_), Question::Group) => self.group_reply(),
            (
                Some(_),
                Question::Join {
                    node,
                    incarnation,
                    addr,
                    domain,
                },
            ) => self.join(node, incarnation, addr, domain),
        };
        self.actions.push(Action::Reply(ticket, reply));
    }

    /// Follows a change of the membership.
    pub(super) fn members_changed(&mut self, members: &Members) {
        let own = self.replica.as_ref().map(|r| r.id());
        self.places.retain(|node| members.get(node).is_some());
        let addr = |(&node, m): (&NodeId, &crate::replica::Member)| Some((node, m.addr?));
        let addrs = members.members.iter().filter_map(addr).collect();
        self.set_peers(Peers { own, addrs });
    }

    /// Notes a change of role.
    pub(super) fn role_changed(&mut self, role: Role) {
        self.note(Note::Role(role));
        if role == Role::Leader {
            self.tell_seeds_at = self.now;
            self.trials.follow(self.now, self.store.rollouts());
        }
    }

    /// Returns where the leader listens. A process in reserve knows it from its answers.
    pub(super) fn leader_addr(&self) -> Option<SocketAddr> {
        if self.is_member() {
            let replica = self.replica.as_ref()?;
            return self.peers.addr(replica.leader()?);
        }
        let (leader, at) = self.known_leader?;
        (self.now < at + LEADER_KNOWN_FOR).then_some(leader)
    }

    /// Tells seeds without a place who is in the group.
    ///
    /// Over time other processes take the places of seeds. When all processes
    /// have lost their power then, with the disks of some, every process that
    /// starts without a place asks the seeds, and none of them knows the members:
    /// the group led and committed, and no entry ever heard of it. The leader
    /// knows the seeds from its settings, so that it is the one to speak first.
    pub(super) fn tell_seeds(&mut self) {
        let Some(replica) = &self.replica else {
            return;
        };
        if !replica.has_lease(self.now) || self.now < self.tell_seeds_at {
            return;
        }
        self.tell_seeds_at = self.now + TELL_SEEDS_EVERY;
        let told = Question::Told {
            group: replica.group(),
            replicas: self.peers.all().collect(),
        };
        let members = self.peers.addrs();
        for &to in self.seeds.iter().filter(|seed| !members.contains(seed)) {
            let told = told.clone();
            self.actions.push(Action::Tell { to, told });
        }
    }

    /// Takes out a silent replica that is not needed any more.
    ///
    /// A replica that was added before its forerunner left makes the group one
    /// larger; kept, the forerunner would count as a loss for ever.
    pub(super) fn mend_group(&mut self) {
        if !self.leads() {
            return;
        }
        let voters = self.voters();
        if voters.len() <= self.wanted() {
            return;
        }
        if let Some(gone) = self.silent_voter() {
            let change = MemberChange::Remove { node: gone };
            self.change(change, None, Some(gone));
        }
    }

    /// Gives a process a place in the group, if there is one.
    fn join(
        &mut self,
        node: NodeId,
        incarnation: u128,
        addr: SocketAddr,
        domain: DomainId,
    ) -> Reply {
        let Some(replica) = self.replica.as_ref().filter(|_| self.leads()) else {
            return self.group_reply();
        };
        if replica.members().get(node).is_some() {
            return Reply::Joining;
        }
        let addr = Some(addr);
        let members = &replica.members().members;
        let same_place = members
            .iter()
            .find(|(_, m)| m.addr == addr)
            .map(|(&n, _)| n);
        let gone = same_place.or_else(|| self.silent_voter());
        self.places.learn(replica.id(), self.cfg.domain.clone());
        let placed = self.placed();
        let lacks_replicas = placed.len() < self.wanted();
        let is_free = gone.is_some() || lacks_replicas;
        let stay = placed.iter().filter(|&&node| Some(node) != gone);
        if same_place.is_none() && !self.places.admits(self.now, &domain, is_free, stay) {
            return self.group_reply();
        }
        self.places.learn(node, domain);
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
            None => return self.group_reply(),
        };
        self.change(change, Some(node), gone);
        Reply::Joining
    }

    fn change(&mut self, change: MemberChange, joins: Option<NodeId>, leaves: Option<NodeId>) {
        let ticket = self.own_ticket();
        self.note(Note::Membership {
            joins,
            leaves,
            domains: self.places.domains().clone(),
        });
        self.step(ReplicaEvent::Change { ticket, change });
    }

    fn group_reply(&self) -> Reply {
        let Some(replica) = &self.replica else {
            return Reply::None;
        };
        Reply::Group {
            group: replica.group(),
            replicas: self.peers.addrs.iter().map(|(&n, &a)| (n, a)).collect(),
            leads: replica.has_lease(self.now),
        }
    }

    /// Returns the voter that has been silent for longest, if it is for long.
    fn silent_voter(&self) -> Option<NodeId> {
        let replica = self.replica.as_ref()?;
        let progress = replica.progress(self.now);
        let silent = progress.iter().filter(|s| s.voter && s.silent > SILENT_FOR);
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

    /// Returns the replicas that vote, and those that are being let in.
    fn placed(&self) -> Vec<NodeId> {
        let progress = self.replica.as_ref().map(|r| r.progress(self.now));
        let placed = progress.into_iter().flatten();
        let placed = placed.filter(|s| s.voter || s.silent <= SILENT_FOR);
        placed.map(|s| s.node).collect()
    }

    /// Returns how many replicas should vote.
    fn wanted(&self) -> usize {
        2 * self.cfg.tolerated + 1
    }

    fn set_peers(&mut self, peers: Peers) {
        if peers == self.peers {
            return;
        }
        self.peers = peers.clone();
        self.actions.push(Action::Peers(peers));
        self.tell_fleet();
    }
}
