//! Claims, with what only the leader's clock tells.

use crate::{
    control::{
        ControlCore,
        clients::{
            Waiting,
            reply_of, //
        },
        message::ClientTicket,
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
        let waiting = Waiting::Claim(client, req.key.clone());
        let retaken = self.state.claim(&req.key).filter(|view| {
            view.state == ClaimState::Open
                && view.generation == req.replaces
                && self.window_over(&req.key)
                && self.claimant_gone(&view.claimant)
        });
        let opening = self.state.grant(&req.key);
        let command = match (retaken, opening) {
            (Some(_), Some(opening)) => Command::Retake(Retake {
                claim: req,
                granted_at: opening.granted_at,
            }),
            _ => Command::Claim(req),
        };
        self.propose(waiting, &command);
    }

    pub(super) fn claim_reply(&self, key: &ClaimKey, outcome: Outcome) -> ControlReply {
        match outcome {
            Outcome::Claim(ClaimReply::Existing(view)) => {
                ControlReply::Claim(ClaimReply::Existing(self.judged(key, view)))
            }
            other => reply_of(other),
        }
    }

    pub(super) fn judged(&self, key: &ClaimKey, view: ClaimView) -> ClaimView {
        ClaimView {
            window_over: self.window_over(key),
            claimant_gone: self.claimant_gone(&view.claimant),
            ..view
        }
    }

    /// Tells whether the dispatch window of a claim and the network bound after
    /// it are over. Never true too early.
    fn window_over(&self, key: &ClaimKey) -> bool {
        if self.cfg.faults.ignore_windows {
            return true;
        }
        let Some(mut opening) = self.state.grant(key) else {
            return false;
        };
        opening.window = self.cfg.stretched(opening.window);
        let after = self.cfg.stretched(self.cfg.dispatch_bound);
        self.windows.over(&opening, after, self.now)
    }

    /// Tells whether no lease of a claimant can still run. Never true too early:
    /// a new leader waits until the leases that others gave are over.
    fn claimant_gone(&self, claimant: &Claimant) -> bool {
        let Some(lead) = &self.lead else {
            return false;
        };
        self.leads(self.now) && self.knows_leases() && lead.leases.ended(claimant, self.now)
    }

    pub(super) fn knows_leases(&self) -> bool {
        let known_from = self.leases_known_from();
        self.cfg.faults.trust_empty_leases || known_from.is_some_and(|from| from <= self.now)
    }

    fn leases_known_from(&self) -> Option<MonoTime> {
        let lead = self.lead.as_ref()?;
        Some(lead.since + self.cfg.stretched(self.cfg.entry_lease))
    }
}
