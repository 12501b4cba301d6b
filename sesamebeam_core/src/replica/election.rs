//! Leader elections: pre-votes, votes and the conditions that block them.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use rand::RngExt;

use super::{
    Replica, RoleState,
    leading::Leader,
    message::{
        LogPosition,
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
    /// Voters that granted their vote to this replica.
    granted: BTreeSet<NodeId>,
}

impl Replica {
    /// Returns whether this replica is the only voter.
    pub(super) fn is_sole_voter(&self) -> bool {
        self.is_eligible() && self.members().voters().count() == 1
    }

    /// Resets the election timeout. It is randomised so that two replicas rarely
    /// start an election at once.
    pub(super) fn reset_election_deadline(&mut self) {
        let election = self.cfg.election_timeout.max(self.cfg.lease);
        let extra = election.mul_f64(self.rng.random::<f64>());
        self.election_deadline = self.now + election + extra;
    }

    /// Sets the first election timeout after a start.
    ///
    /// An existing leader sends a message within two heartbeats. If all replicas
    /// were down, no request is served until one leads, and replicas may vote as
    /// soon as their promise from before the restart expires. A full election
    /// timeout would only prolong the outage.
    pub(super) fn set_initial_election_deadline(&mut self) {
        let leader_contact = self.now + self.cfg.heartbeat_interval * 2;
        let extra = self
            .cfg
            .heartbeat_interval
            .mul_f64(self.rng.random::<f64>());
        self.election_deadline = self.vote_blocked_until.max(leader_contact) + extra;
    }

    /// Schedules another round of pre-votes after about one heartbeat.
    ///
    /// Other voters may still be bound by a promise or be unreachable. Pre-votes
    /// change no state, so concurrent pre-candidates do not block each other.
    fn schedule_pre_vote_retry(&mut self) {
        let extra = self
            .cfg
            .heartbeat_interval
            .mul_f64(self.rng.random::<f64>());
        self.election_deadline = self.now + self.cfg.heartbeat_interval + extra;
    }

    /// Starts an election if this replica is eligible.
    pub(super) fn start_election_if_eligible(&mut self) {
        self.reset_election_deadline();
        if !self.is_eligible() || self.disk_full {
            return;
        }
        if self.cfg.faults.no_pre_vote {
            self.campaign(false);
            return;
        }
        self.leader = None;
        if self.cfg.fast_elections {
            self.schedule_pre_vote_retry();
        }
        let mut votes = Votes::default();
        votes.granted.insert(self.cfg.id);
        self.set_role(RoleState::PreCandidate(votes));
        let last = self.log.end();
        self.send_to_voters(|| ReplicaBody::PreVoteRequest { last });
        self.campaign_if_granted();
    }

    /// Responds to a pre-vote request.
    pub(super) fn on_pre_vote_request(&mut self, from: NodeId, term: Term, last: LogPosition) {
        let granted = !self.is_vote_blocked() && term >= self.state.term && last >= self.log.end();
        let vote_term = term + 1;
        self.send(from, ReplicaBody::PreVoteResponse { vote_term, granted });
    }

    /// Counts a pre-vote.
    pub(super) fn on_pre_vote_response(&mut self, from: NodeId, vote_term: Term, granted: bool) {
        let is_voter = self.members().is_voter(from);
        let RoleState::PreCandidate(votes) = &mut self.role_state else {
            return;
        };
        if granted && is_voter && vote_term == self.state.term + 1 {
            votes.granted.insert(from);
            self.campaign_if_granted();
        }
    }

    /// Responds to a vote request.
    ///
    /// A replica that a network partition separates from the leader starts
    /// elections repeatedly. If it received votes, or merely raised the term of
    /// the others, a healthy leader would be deposed while it may still serve
    /// under its lease. A replica in contact with a live leader therefore
    /// ignores vote requests, unless that leader gave up its lease and asked
    /// for the election.
    pub(super) fn on_vote_request(
        &mut self,
        from: NodeId,
        term: Term,
        last: LogPosition,
        transfer: bool,
    ) {
        if self.is_vote_blocked() && !transfer {
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
            self.writer.mark_state_changed();
            self.become_follower(None);
            self.reset_election_deadline();
        }
        self.send(from, ReplicaBody::VoteResponse { granted });
    }

    /// Counts a vote.
    pub(super) fn on_vote_response(&mut self, from: NodeId, granted: bool) {
        let is_voter = self.members().is_voter(from);
        let RoleState::Candidate(votes) = &mut self.role_state else {
            return;
        };
        if granted && is_voter {
            votes.granted.insert(from);
            self.become_leader_if_elected();
        }
    }

    /// Counts this replica's own vote once it is synced.
    pub(super) fn count_own_vote(&mut self) {
        if !self.writer.state_synced() {
            return;
        }
        if let RoleState::Candidate(votes) = &mut self.role_state {
            votes.granted.insert(self.cfg.id);
            self.become_leader_if_elected();
        }
    }

    /// Starts an election at once at the leader's request.
    pub(super) fn on_timeout_now(&mut self, from: NodeId) {
        let from_leader = self.leader == Some(from);
        if from_leader && self.is_eligible() && !self.disk_full {
            self.campaign(true);
        }
    }

    /// Becomes a follower in a new term with no known leader.
    pub(super) fn enter_term(&mut self, term: Term) {
        debug_assert!(term > self.state.term);
        self.state.term = term;
        self.state.voted = None;
        self.writer.mark_state_changed();
        self.latest_round = 0;
        self.match_index = 0;
        self.incoming_snapshot = None;
        self.become_follower(None);
    }

    /// Becomes a follower, of `leader` if known. The outcome of proposals in flight
    /// is unknown.
    pub(super) fn become_follower(&mut self, leader: Option<NodeId>) {
        self.leader = leader;
        let before = std::mem::replace(&mut self.role_state, RoleState::Follower);
        match before {
            RoleState::Follower => return,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => {}
            RoleState::Leader(former_leader) => self.fail_pending_requests(&former_leader),
        }
        self.actions.push(ReplicaAction::Role(Role::Follower));
    }

    /// Rejects the requests that wait on this replica's leadership.
    fn fail_pending_requests(&mut self, former_leader: &Leader) {
        for ticket in former_leader.pending_reads() {
            self.reject(ticket, Rejection::NotLeader(self.leader));
        }
        if let Some(ticket) = former_leader.pending_change() {
            self.reject(ticket, Rejection::OutcomeUnknown);
        }
        for ticket in std::mem::take(&mut self.tickets).into_values() {
            self.reject(ticket, Rejection::OutcomeUnknown);
        }
        self.reset_election_deadline();
    }

    /// Informs a leader with a stale term of the current one.
    pub(super) fn reject_stale_term(&mut self, from: NodeId, body: &ReplicaBody) {
        match body {
            ReplicaBody::AppendRequest { .. } | ReplicaBody::SnapshotChunk { .. } => {
                let response = ReplicaBody::AppendResponse {
                    round: 0,
                    synced: 0,
                    disk_full: self.disk_full,
                    hint: None,
                };
                self.send(from, response);
            }
            _ => {}
        }
    }

    /// Returns whether this replica, with this data folder, is a voter of the
    /// group.
    fn is_eligible(&self) -> bool {
        let member = self.members().get(self.cfg.id);
        let folder_known = |incarnation| {
            incarnation == self.cfg.incarnation || self.cfg.faults.accept_swapped_disk
        };
        member.is_some_and(|m| m.voter && folder_known(m.incarnation))
    }

    /// Returns whether a live leader's lease forbids voting for another replica.
    fn is_vote_blocked(&self) -> bool {
        if self.cfg.faults.vote_during_lease {
            return false;
        }
        self.now < self.vote_blocked_until || self.has_lease(self.now)
    }

    /// Becomes a candidate in a new term and requests votes.
    fn campaign(&mut self, transfer: bool) {
        self.enter_term(self.state.term + 1);
        self.state.voted = Some(self.cfg.id);
        self.set_role(RoleState::Candidate(Votes::default()));
        self.reset_election_deadline();
        let last = self.log.end();
        self.send_to_voters(|| ReplicaBody::VoteRequest { last, transfer });
    }

    /// Becomes a candidate once a quorum has granted its pre-vote.
    fn campaign_if_granted(&mut self) {
        if let RoleState::PreCandidate(votes) = &self.role_state
            && votes.granted.len() >= self.members().quorum()
        {
            self.campaign(false);
        }
    }

    /// Becomes the leader once a quorum has granted its vote.
    fn become_leader_if_elected(&mut self) {
        if let RoleState::Candidate(votes) = &self.role_state
            && votes.granted.len() >= self.members().quorum()
        {
            self.become_leader();
        }
    }

    /// Sends a message to every other voter.
    fn send_to_voters(&mut self, request: impl Fn() -> ReplicaBody) {
        let own = self.cfg.id;
        let voters: Vec<NodeId> = self.members().voters().filter(|&v| v != own).collect();
        for voter in voters {
            self.send(voter, request());
        }
    }

    /// Returns how long a leader without responses from a quorum keeps its role.
    pub(super) fn quorum_timeout(&self) -> Duration {
        self.cfg.election_timeout.max(self.cfg.lease) * 2
    }
}
