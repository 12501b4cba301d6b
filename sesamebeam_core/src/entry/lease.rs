//! The configuration lease: renewals, updates and operation without it.

use std::time::Duration;

use super::{
    EntryCore,
    control_requests::ControlPurpose,
    event::{
        EntryAction,
        Notice,
        Recipients, //
    },
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
    /// Renews the lease when it is due, and requests the configuration from other
    /// entries while the lease is not held.
    pub(super) fn tick_lease(&mut self, now: MonoTime) {
        if !self.renewing && !self.releasing_lease && now >= self.next_renew {
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
            self.actions.push(EntryAction::Notice(notice));
        }
        if !held && now >= self.next_config_query {
            self.next_config_query = now + self.cfg.renew_pause * 5;
            self.send_to_entries(Recipients::Domain, PeerMessage::RequestConfig);
        }
    }

    /// Handles the reply to a renewal.
    pub(super) fn handle_renewal(
        &mut self,
        now: MonoTime,
        asked: MonoTime,
        reply: Option<ControlReply>,
    ) {
        self.renewing = false;
        let Some(ControlReply::Renewed(renewed)) = reply else {
            self.next_renew = now + self.cfg.renew_pause;
            return;
        };
        let newest = renewed.update.as_ref().map_or(0, |update| update.revision);
        if let Some(update) = renewed.update {
            self.apply_update(now, update);
        }
        // During the renewal this entry may have applied a configuration from
        // another entry, to which the delta in the reply does not apply. A lease
        // on that older configuration would let a withdrawn version run although
        // its withdrawal is in force. The next renewal follows immediately and
        // names the current revision.
        if self.view.revision() >= newest || self.cfg.faults.lease_unfitting {
            // The lease starts when the renewal was sent. The control group
            // starts it later, so it never expires later here than there.
            self.view.renew(asked + renewed.lease);
        }
        self.last_lease = Some(renewed.lease);
        self.next_renew = now;
        if !self.releasing_lease {
            self.renew(now);
        }
    }

    /// Applies a configuration update.
    pub(super) fn apply_update(&mut self, now: MonoTime, update: Update) {
        let before = self.view.revision();
        if !self.view.take(update) {
            return;
        }
        if self.view.revision() != before {
            self.apply_fleet(now);
        }
        self.exposure.apply_live(self.view.live());
        self.suspects
            .quarantine(self.view.live().quarantine.iter().copied());
        self.queue_check_due = true;
    }

    /// Releases the lease at the end of a planned stop, so that the control group
    /// does not wait for its expiry.
    ///
    /// If it were released while requests are queued, a withdrawal could be
    /// reported as in force without this entry knowing, and the entry would start
    /// those requests on the withdrawn version.
    pub(super) fn release_lease(&mut self) {
        let mut renew = self.renew_request();
        renew.leaving = true;
        self.send_control(
            ControlPurpose::ReleaseLease,
            ControlRequest::Renew(renew),
            self.cfg.claim_timeout,
        );
    }

    fn renew(&mut self, now: MonoTime) {
        self.renewing = true;
        let renew = self.renew_request();
        let timeout = self.renewal_timeout();
        self.send_control(
            ControlPurpose::Renew(now),
            ControlRequest::Renew(renew),
            timeout,
        );
    }

    /// Returns the timeout of a renewal.
    ///
    /// A leader replies within a third of the lease. A leader behind a network
    /// partition never replies, and waiting for it longer than the lease would
    /// lose the lease although another replica leads by then. Half of the lease
    /// leaves the other half to reach the new leader.
    fn renewal_timeout(&self) -> Duration {
        match self.last_lease {
            Some(lease) => self.cfg.renew_timeout.min(lease / 2),
            None => self.cfg.renew_timeout,
        }
    }

    fn renew_request(&self) -> Renew {
        Renew {
            entry: self.claimant(),
            domain: self.cfg.domain.clone(),
            revision: self.view.revision(),
            live_at: self.view.live().at,
            leaving: false,
        }
    }

    fn apply_fleet(&mut self, now: MonoTime) {
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
        self.actions.push(EntryAction::Notice(Notice::InForce {
            revision: self.view.revision(),
        }));
    }
}
