//! Renewals of entry leases, and the configuration updates sent with them.

use std::time::Duration;

use crate::{
    control::{
        ControlCore,
        leases::{
            ConfigPosition,
            PendingRenewal, //
        },
        message::ClientTicket,
        requests::unavailable,
    },
    message::control::{
        ControlReply,
        Renew,
        Renewed,
        Update, //
    },
};

/// A renewal is answered after its entry's lease divided by this number, even if
/// there is no update.
const RENEWALS_PER_LEASE: u32 = 3;

impl ControlCore {
    pub(super) fn renew(&mut self, client: ClientTicket, renew: Renew) {
        if let Some(lead) = &mut self.lead {
            lead.leases.record(&renew, self.now);
        }
        if renew.leaving {
            let renewed = Renewed {
                lease: Duration::ZERO,
                update: None,
            };
            self.reply(client, ControlReply::Renewed(renewed));
            return;
        }
        let deadline = self.now + self.cfg.entry_lease / RENEWALS_PER_LEASE;
        self.renewals
            .add(client, PendingRenewal { renew, deadline });
    }

    pub(super) fn answer_renewals(&mut self) {
        if !self.leads(self.now) {
            for ticket in self.renewals.take_expired(self.now) {
                self.reply(ticket, unavailable("this leader reaches no quorum"));
            }
            return;
        }
        let position = ConfigPosition {
            revision: self.state.revision(),
            live_at: self.state.live().at,
        };
        // The lease starts at the entry before it sends the renewal. Counted from
        // the reply and scaled for drift, it ends here only after it has ended
        // there.
        let expires_at = self.now + self.cfg.scaled_for_drift(self.cfg.entry_lease);
        for (ticket, pending) in self.renewals.take_ready(position, self.now) {
            let Some(lead) = &mut self.lead else {
                return;
            };
            lead.leases.grant(&pending.renew.entry, expires_at);
            let renewed = Renewed {
                lease: self.cfg.entry_lease,
                update: self.update_for(&pending.renew),
            };
            self.reply(ticket, ControlReply::Renewed(renewed));
        }
    }

    fn update_for(&self, renew: &Renew) -> Option<Update> {
        let fleet = self.state.change_from(renew.revision);
        let live = self.state.live();
        let live = (live.at > renew.live_at).then(|| live.clone());
        (fleet.is_some() || live.is_some()).then(|| Update {
            revision: self.state.revision().max(renew.revision),
            fleet,
            live,
        })
    }
}
