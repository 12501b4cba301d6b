//! The configuration lease: renewals, updates, what a cut-off entry does.

use std::time::Duration;

use super::{
    EntryCore,
    ask::AskFor,
    event::{
        Audience,
        EntryAction,
        Notice, //
    }, //
};
use crate::{
    ids::MonoTime,
    message::{
        control::{
            ControlReply,
            ControlRequest,
            Renew,
            Update, //
        },
        peer::PeerMessage, //
    },
};

impl EntryCore {
    /// Renews the lease when it is time, and asks other entries for their
    /// configuration while the control group cannot be reached.
    pub(super) fn tick_lease(&mut self, now: MonoTime) {
        if !self.renewing && !self.leaving && now >= self.next_renew {
            self.renew(now);
        }
        let held = self.view.lease_held(now);
        if held != self.lease_was_held {
            self.lease_was_held = held;
            let notice = if held {
                Notice::LeaseHeld
            } else {
                Notice::LeaseLost
            };
            self.out.push(EntryAction::Notice(notice));
        }
        if !held && now >= self.next_ask_peers {
            self.next_ask_peers = now + self.cfg.renew_pause * 5;
            self.tell(Audience::Domain, PeerMessage::WantConfig);
        }
    }

    /// Takes the answer to a renewal.
    pub(super) fn renewed(&mut self, now: MonoTime, asked: MonoTime, reply: Option<ControlReply>) {
        self.renewing = false;
        let Some(ControlReply::Renewed(renewed)) = reply else {
            self.next_renew = now + self.cfg.renew_pause;
            return;
        };
        let newest = renewed.update.as_ref().map_or(0, |update| update.revision);
        if let Some(update) = renewed.update {
            self.take_update(now, update);
        }
        // While it asked, this entry may have taken a configuration from a
        // neighbour that the answer's difference does not apply to. A lease with
        // that older one would let a withdrawn version run where the withdrawal
        // is in force: the next renewal, at once, names what is here now.
        if self.view.revision() >= newest || self.cfg.faults.lease_unfitting {
            // The lease counts from before the question: the control group
            // counts it from after, so it never ends here later than there.
            self.view.renew(asked + renewed.lease);
        }
        self.last_lease = Some(renewed.lease);
        self.next_renew = now;
        if !self.leaving {
            self.renew(now);
        }
    }

    /// Takes a configuration whole.
    pub(super) fn take_update(&mut self, now: MonoTime, update: Update) {
        let before = self.view.revision();
        if !self.view.take(update) {
            return;
        }
        if self.view.revision() != before {
            self.take_fleet(now);
        }
        self.exposure.apply_live(self.view.live());
        self.suspects
            .quarantine(self.view.live().quarantine.iter().copied());
        self.pump_wanted = true;
    }

    /// Gives the lease back at the end of a planned stop, so that nobody waits
    /// for it.
    ///
    /// Given back while requests wait, a withdrawal would be told to be in force
    /// that this entry has not heard of, and it would start them on the version.
    pub(super) fn leave_lease(&mut self) {
        let mut renew = self.renew_request();
        renew.leaving = true;
        self.ask(
            AskFor::Leave,
            ControlRequest::Renew(renew),
            self.cfg.claim_timeout,
        );
    }

    fn renew(&mut self, now: MonoTime) {
        self.renewing = true;
        let renew = self.renew_request();
        let timeout = self.renewal_timeout();
        self.ask(AskFor::Renew(now), ControlRequest::Renew(renew), timeout);
    }

    /// Longest wait for the answer to a renewal.
    ///
    /// A leader answers within a third of the lease. One that is cut off
    /// silently never does, and waiting for it longer than the lease would cost
    /// the lease although another replica leads by then; half of the lease
    /// leaves the other half for asking that one.
    fn renewal_timeout(&self) -> Duration {
        match self.last_lease {
            Some(lease) => self.cfg.renew_timeout.min(lease / 2),
            None => self.cfg.renew_timeout,
        }
    }

    fn renew_request(&self) -> Renew {
        Renew {
            entry: self.me(),
            domain: self.cfg.domain.clone(),
            revision: self.view.revision(),
            live_at: self.view.live().at,
            leaving: false,
        }
    }

    fn take_fleet(&mut self, now: MonoTime) {
        let fleet = self.view.fleet();
        self.quality.configure(fleet);
        self.exposure.configure(fleet);
        self.balance.configure(fleet);
        self.admission.configure(fleet);
        self.burn.configure(fleet);
        let gone = self.servers.configure(fleet);
        for addr in gone {
            self.balance.remove(addr);
        }
        self.set_capacities(now);
        self.out.push(EntryAction::Notice(Notice::InForce {
            revision: self.view.revision(),
        }));
    }
}
