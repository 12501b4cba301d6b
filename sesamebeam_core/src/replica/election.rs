//! Elections: who stands, who votes, and when neither may happen.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use rand::RngExt;

use super::{
    Replica, Standing,
    leading::Leader,
    message::{
        LogEnd,
        Rejection,
        ReplicaAction,
        ReplicaBody,
        Role, //
    },
};
use crate::ids::{
    NodeId,
    Term, //
};

/// Votes received.
#[derive(Debug, Default)]
pub(super) struct Votes {
    /// Voters that are for this replica.
    granted: BTreeSet<NodeId>,
}

impl Replica {
    /// Returns whether this replica is the only voter.
    pub(super) fn is_sole_voter(&self) -> bool {
        self.is_eligible() && self.members().voters().count() == 1
    }

    /// Sets the next time at which this replica stands, drawn at random so that
    /// two rarely stand at once.
    pub(super) fn reset_election(&mut self) {
        let election = self.cfg.election.max(self.cfg.lease);
        let extra = election.mul_f64(self.rng.random::<f64>());
        self.election_at = self.now + election + extra;
    }

    /// Sets the time at which a replica that has just started stands.
    ///
    /// A leader that is there makes itself heard within two heartbeats. When all
    /// replicas were down, nobody is served until one leads, and they may vote as
    /// soon as what they promised before is over; waiting for a leader as long as
    /// one that was heard of late only prolongs that.
    pub(super) fn set_first_election(&mut self) {
        let heard = self.now + self.cfg.heartbeat * 2;
        let extra = self.cfg.heartbeat.mul_f64(self.rng.random::<f64>());
        self.election_at = self.promise_until.max(heard) + extra;
    }

    /// Sets the next time at which a replica asks for pre-votes again.
    ///
    /// The others may still be bound by what they promised, or not be reached
    /// yet. Asking does no harm, and two that ask at once do not stand in each
    /// other's way.
    fn ask_again_soon(&mut self) {
        let extra = self.cfg.heartbeat.mul_f64(self.rng.random::<f64>());
        self.election_at = self.now + self.cfg.heartbeat + extra;
    }

    /// Stands for election if this replica may.
    pub(super) fn stand_if_eligible(&mut self) {
        self.reset_election();
        if !self.is_eligible() || self.full {
            return;
        }
        if self.cfg.faults.no_pre_vote {
            self.campaign(false);
            return;
        }
        self.leader = None;
        if self.cfg.eager {
            self.ask_again_soon();
        }
        let mut votes = Votes::default();
        votes.granted.insert(self.cfg.id);
        self.take_role(Standing::PreCandidate(votes));
        let last = self.log.end();
        self.ask_voters(|| ReplicaBody::PreVote { last });
        self.campaign_if_granted();
    }

    /// Answers a replica that asks whether it would win.
    pub(super) fn on_pre_vote(&mut self, from: NodeId, term: Term, last: LogEnd) {
        let granted = !self.is_promised() && term >= self.state.term && last >= self.log.end();
        let asked = term + 1;
        self.send(from, ReplicaBody::PreVoted { asked, granted });
    }

    /// Counts the answer to a pre-vote.
    pub(super) fn on_pre_voted(&mut self, from: NodeId, asked: Term, granted: bool) {
        let is_voter = self.members().is_voter(from);
        let Standing::PreCandidate(votes) = &mut self.standing else {
            return;
        };
        if granted && is_voter && asked == self.state.term + 1 {
            votes.granted.insert(from);
            self.campaign_if_granted();
        }
    }

    /// Answers a replica that stands.
    ///
    /// A replica that cannot hear the leader stands again and again. If it got
    /// votes, or merely raised the others' term, a healthy leader would fall
    /// while it may still serve under its lease. So a replica that hears a live
    /// leader takes no notice, unless that leader itself asked for the election
    /// after it gave up its lease.
    pub(super) fn on_vote(&mut self, from: NodeId, term: Term, last: LogEnd, transfer: bool) {
        if self.is_promised() && !transfer {
            return;
        }
        if term > self.state.term {
            self.enter_term(term);
        }
        let granted = term == self.state.term
            && self.state.voted.is_none_or(|voted| voted == from)
            && last >= self.log.end();
        if granted && self.state.voted.is_none() {
            self.state.voted = Some(from);
            self.writer.change_state();
            self.follow(None);
            self.reset_election();
        }
        self.send(from, ReplicaBody::Voted { granted });
    }

    /// Counts a vote.
    pub(super) fn on_voted(&mut self, from: NodeId, granted: bool) {
        let is_voter = self.members().is_voter(from);
        let Standing::Candidate(votes) = &mut self.standing else {
            return;
        };
        if granted && is_voter {
            votes.granted.insert(from);
            self.lead_if_elected();
        }
    }

    /// Counts this replica's vote for itself, once it is synced.
    pub(super) fn count_own_vote(&mut self) {
        if !self.writer.state_synced() {
            return;
        }
        if let Standing::Candidate(votes) = &mut self.standing {
            votes.granted.insert(self.cfg.id);
            self.lead_if_elected();
        }
    }

    /// Stands at once, because the leader asks for it.
    pub(super) fn on_stand(&mut self, from: NodeId) {
        let from_leader = self.leader == Some(from);
        if from_leader && self.is_eligible() && !self.full {
            self.campaign(true);
        }
    }

    /// Follows in a new term, with no leader known yet.
    pub(super) fn enter_term(&mut self, term: Term) {
        debug_assert!(term > self.state.term);
        self.state.term = term;
        self.state.voted = None;
        self.writer.change_state();
        self.round_heard = 0;
        self.verified = 0;
        self.incoming = None;
        self.follow(None);
    }

    /// Follows a leader, or waits for one. Proposals in flight may or may not
    /// come through.
    pub(super) fn follow(&mut self, leader: Option<NodeId>) {
        self.leader = leader;
        let before = std::mem::replace(&mut self.standing, Standing::Follower);
        match before {
            Standing::Follower => return,
            Standing::PreCandidate(_) | Standing::Candidate(_) => {}
            Standing::Leader(led) => self.give_up_leading(&led),
        }
        self.actions.push(ReplicaAction::Role(Role::Follower));
    }

    /// Answers those who wait on this replica's leadership.
    fn give_up_leading(&mut self, led: &Leader) {
        for ticket in led.pending_reads() {
            self.reject(ticket, Rejection::NotLeader(self.leader));
        }
        if let Some(ticket) = led.pending_change() {
            self.reject(ticket, Rejection::Unsure);
        }
        for ticket in std::mem::take(&mut self.tickets).into_values() {
            self.reject(ticket, Rejection::Unsure);
        }
        self.reset_election();
    }

    /// Tells a sender with an old term of the present one.
    pub(super) fn refuse_old_term(&mut self, from: NodeId, body: &ReplicaBody) {
        match body {
            ReplicaBody::Append { .. } | ReplicaBody::Chunk { .. } => {
                let refusal = ReplicaBody::Appended {
                    round: 0,
                    synced: 0,
                    full: self.full,
                    hint: None,
                };
                self.send(from, refusal);
            }
            _ => {}
        }
    }

    /// Returns whether this replica votes in the group, with this data folder.
    fn is_eligible(&self) -> bool {
        let member = self.members().get(self.cfg.id);
        let folder_known = |incarnation| {
            incarnation == self.cfg.incarnation || self.cfg.faults.accept_swapped_disk
        };
        member.is_some_and(|m| m.voter && folder_known(m.incarnation))
    }

    /// Returns whether a live leader rules out any other.
    fn is_promised(&self) -> bool {
        if self.cfg.faults.vote_during_lease {
            return false;
        }
        self.now < self.promise_until || self.has_lease(self.now)
    }

    /// Stands in a new term.
    fn campaign(&mut self, transfer: bool) {
        self.enter_term(self.state.term + 1);
        self.state.voted = Some(self.cfg.id);
        self.take_role(Standing::Candidate(Votes::default()));
        self.reset_election();
        let last = self.log.end();
        self.ask_voters(|| ReplicaBody::Vote { last, transfer });
    }

    /// Stands if enough voters would vote for this replica.
    fn campaign_if_granted(&mut self) {
        if let Standing::PreCandidate(votes) = &self.standing
            && votes.granted.len() >= self.members().quorum()
        {
            self.campaign(false);
        }
    }

    /// Leads if enough voters voted for this replica.
    fn lead_if_elected(&mut self) {
        if let Standing::Candidate(votes) = &self.standing
            && votes.granted.len() >= self.members().quorum()
        {
            self.lead();
        }
    }

    /// Sends a question to every other voter.
    fn ask_voters(&mut self, question: impl Fn() -> ReplicaBody) {
        let own = self.cfg.id;
        let voters: Vec<NodeId> = self.members().voters().filter(|&v| v != own).collect();
        for voter in voters {
            self.send(voter, question());
        }
    }

    /// Returns the time after which a leader that no quorum answers gives up.
    pub(super) fn patience(&self) -> Duration {
        self.cfg.election.max(self.cfg.lease) * 2
    }
}
