//! Renewals of the entries' leases, and the news that go with them.

use std::time::Duration;

use crate::{
    control::{
        ControlCore,
        leases::{
            News,
            Poll, //
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

/// Share of its lease after which an entry's renewal is answered without news.
const POLLS_A_LEASE: u32 = 3;

impl ControlCore {
    pub(super) fn renew(&mut self, client: ClientTicket, renew: Renew) {
        if let Some(lead) = &mut self.lead {
            lead.leases.note(&renew, self.now);
        }
        if renew.leaving {
            let renewed = Renewed {
                lease: Duration::ZERO,
                update: None,
            };
            self.reply(client, ControlReply::Renewed(renewed));
            return;
        }
        let due = self.now + self.cfg.entry_lease / POLLS_A_LEASE;
        self.polls.add(client, Poll { renew, due });
    }

    pub(super) fn answer_polls(&mut self) {
        if !self.leads(self.now) {
            for ticket in self.polls.take_due(self.now) {
                self.reply(ticket, unavailable("this leader reaches no quorum"));
            }
            return;
        }
        let news = News {
            revision: self.state.revision(),
            live_at: self.state.live().at,
        };
        // The entry counts its lease from before it asked; from the answer on,
        // stretched, it is over here only after it is over there.
        let ends = self.now + self.cfg.stretched(self.cfg.entry_lease);
        for (ticket, poll) in self.polls.take_ready(news, self.now) {
            let Some(lead) = &mut self.lead else {
                return;
            };
            lead.leases.grant(&poll.renew.entry, ends);
            let renewed = Renewed {
                lease: self.cfg.entry_lease,
                update: self.update_for(&poll.renew),
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
