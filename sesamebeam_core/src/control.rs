//! The control core: clients' requests over the replicated log.
//!
//! A [`ControlCore`] holds one replica of the log and the state that applying it
//! gives. Any replica takes requests; the leader serves them. Beside the log the
//! leader alone holds what its clock tells: leases of entries, dispatch windows,
//! and which engines have loaded what.
//!
//! Three waits keep two leaders from contradicting each other:
//!
//! - A leader answers renewals, and gives orders, only under its lease from the
//!   other replicas. Cut off, it stops before another can lead.
//! - A new leader does not know the entries' leases that the one before it gave.
//!   It takes them for running until an entry lease after its own beginning.
//! - A new leader gives its first order when the lease of the one before it is
//!   over on every clock, and an order sent at its end has arrived.

mod claims;
mod clients;
mod leader;
mod leases;
mod message;
mod notices;
mod orders;
mod renewals;
mod replica;
mod requests;
mod windows;

use std::time::Duration;

pub use self::message::{
    ClientTicket,
    ControlAction,
    ControlConfig,
    ControlEvent,
    ControlNotice,
    StopCause, //
};
use self::{
    clients::Clients,
    leader::Lead,
    leases::Polls,
    notices::Noticed,
    windows::Windows, //
};
use crate::{
    ids::MonoTime,
    message::control::Status,
    replica::{
        Replica,
        ReplicaEvent,
        Saved, //
    },
    state::State,
};

/// One control replica.
#[derive(Debug)]
pub struct ControlCore {
    cfg: ControlConfig,
    replica: Replica,
    state: State,
    windows: Windows,
    clients: Clients,
    polls: Polls,
    lead: Option<Lead>,
    noticed: Noticed,
    stopped: bool,
    now: MonoTime,
    actions: Vec<ControlAction>,
}

impl ControlCore {
    /// Makes a control replica from what its disk holds.
    pub fn new(cfg: ControlConfig, saved: Saved, now: MonoTime) -> (Self, Vec<ControlAction>) {
        let (replica, actions) = Replica::new(cfg.replica.clone(), saved, now);
        let mut core = Self {
            state: State::default(),
            windows: Windows::default(),
            clients: Clients::default(),
            polls: Polls::default(),
            lead: None,
            noticed: Noticed::default(),
            stopped: false,
            now,
            actions: Vec::new(),
            replica,
            cfg,
        };
        core.state.faults = core.cfg.faults;
        core.take_up(actions);
        core.act_as_leader();
        let actions = std::mem::take(&mut core.actions);
        (core, actions)
    }

    /// Handles an event at a time that never goes back.
    pub fn handle(&mut self, now: MonoTime, event: ControlEvent) -> Vec<ControlAction> {
        self.now = self.now.max(now);
        match event {
            ControlEvent::Tick => self.drive(ReplicaEvent::Tick),
            ControlEvent::Peer { from, message } => {
                self.drive(ReplicaEvent::Message { from, message });
            }
            ControlEvent::Synced { write } => self.drive(ReplicaEvent::Synced { write }),
            ControlEvent::DiskFull(full) => self.drive(ReplicaEvent::DiskFull(full)),
            ControlEvent::Client { ticket, req } => self.serve(ticket, req),
            ControlEvent::ClientGone { ticket } => {
                self.polls.remove(ticket);
                self.clients.drop_client(ticket);
            }
            ControlEvent::Ordered {
                server,
                fencing,
                ok,
            } => self.note_ordered(server, fencing, ok),
        }
        self.give_up_late();
        self.act_as_leader();
        self.answer_polls();
        std::mem::take(&mut self.actions)
    }

    /// Returns when the core next needs a [`ControlEvent::Tick`].
    pub fn next_wake(&self) -> MonoTime {
        let mut wake = self.replica.next_wake();
        let mut sooner = |at: Option<MonoTime>| wake = wake.min(at.unwrap_or(wake));
        sooner(self.clients.next_late());
        sooner(self.polls.next_due());
        if let Some(lead) = &self.lead
            && lead.settled.is_some()
        {
            sooner(Some(self.now + self.cfg.clock_every));
            sooner(lead.leases.next_end(self.now));
            sooner(lead.orders.next_wake(self.now));
        }
        // A wake that lies in the past would be called for again and again.
        wake.max(self.now + Duration::from_millis(1))
    }

    /// Returns the state of the group and of the entries, as known here.
    pub fn status(&self, now: MonoTime) -> Status {
        let entries = self.lead.as_ref().map(|lead| lead.leases.status(now));
        Status {
            node: self.cfg.replica.id,
            leader: self.replica.leader(),
            term: self.replica.term(),
            committed: self.replica.committed(),
            revision: self.state.revision(),
            in_force: self.state.in_force(),
            replicas: self.replica.progress(now),
            entries: entries.unwrap_or_default(),
            live: self.state.live().clone(),
            claims: self.state.claim_count() as u64,
            pins: self.state.pin_count() as u64,
            bills: self.state.bill_count() as u64,
        }
    }

    /// Returns the replicated state as applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns whether this replica leads, under its lease and with a state that
    /// holds all that was committed before it led.
    pub fn leads(&self, now: MonoTime) -> bool {
        let settled = self.lead.as_ref().is_some_and(|l| l.settled.is_some());
        settled && (self.replica.has_lease(now) || self.cfg.faults.act_without_lease)
    }

    fn drive(&mut self, event: ReplicaEvent) {
        let actions = self.replica.handle(self.now, event);
        self.take_up(actions);
    }
}
