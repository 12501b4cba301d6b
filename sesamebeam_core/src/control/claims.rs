//! Claims, and the conditions on them that only the leader's clock can decide.

use crate::{
    control::{
        ControlCore,
        message::ClientTicket,
        pending::{
            Pending,
            reply_from_outcome, //
        },
    },
    ids::MonoTime,
    message::{
        command::{
            Command,
            Outcome,
            Retake, //
        },
        control::ControlReply,
        record::{
            ClaimKey,
            ClaimReply,
            ClaimRequest,
            ClaimState,
            ClaimView,
            Claimant, //
        },
    },
};

impl ControlCore {
    pub(super) fn claim(&mut self, client: ClientTicket, req: ClaimRequest) {
        let pending = Pending::Claim(client, req.key.clone());
        let retakable = self.state.claim(&req.key).filter(|view| {
            view.state == ClaimState::Open
                && view.generation == req.replaces
                && self.window_over(&req.key)
                && self.claimant_gone(&view.claimant)
        });
        let grant = self.state.grant(&req.key);
        let command = match (retakable, grant) {
            (Some(_), Some(grant)) => Command::Retake(Retake {
                claim: req,
                granted_at: grant.granted_at,
            }),
            _ => Command::Claim(req),
        };
        self.propose(pending, &command);
    }

    pub(super) fn claim_reply(&self, key: &ClaimKey, outcome: Outcome) -> ControlReply {
        match outcome {
            Outcome::Claim(ClaimReply::Existing(view)) => {
                ControlReply::Claim(ClaimReply::Existing(self.with_leader_knowledge(key, view)))
            }
            other => reply_from_outcome(other),
        }
    }

    pub(super) fn with_leader_knowledge(&self, key: &ClaimKey, view: ClaimView) -> ClaimView {
        ClaimView {
            window_over: self.window_over(key),
            claimant_gone: self.claimant_gone(&view.claimant),
            ..view
        }
    }

    /// Returns whether the dispatch window of a claim and the network bound after
    /// it are over. Never returns true too early.
    fn window_over(&self, key: &ClaimKey) -> bool {
        if self.cfg.faults.ignore_windows {
            return true;
        }
        let Some(mut grant) = self.state.grant(key) else {
            return false;
        };
        grant.window = self.cfg.scaled_for_drift(grant.window);
        let network_bound = self.cfg.scaled_for_drift(self.cfg.network_bound);
        self.applied_times
            .is_window_over(&grant, network_bound, self.now)
    }

    /// Returns whether a claimant can no longer hold a lease. Never returns true
    /// too early: a new leader waits until the leases granted by its predecessors
    /// have expired.
    fn claimant_gone(&self, claimant: &Claimant) -> bool {
        let Some(lead) = &self.lead else {
            return false;
        };
        self.leads(self.now)
            && self.are_leases_known()
            && lead.leases.is_expired(claimant, self.now)
    }

    pub(super) fn are_leases_known(&self) -> bool {
        let known_from = self.leases_known_from();
        self.cfg.faults.trust_empty_leases || known_from.is_some_and(|from| from <= self.now)
    }

    fn leases_known_from(&self) -> Option<MonoTime> {
        let lead = self.lead.as_ref()?;
        Some(lead.since + self.cfg.scaled_for_drift(self.cfg.entry_lease))
    }
}
