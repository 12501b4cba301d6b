//! State machine of a control replica: client requests over the replicated log.
//!
//! A [`ControlCore`] holds one replica of the log and the state machine that it
//! is applied to. Every replica accepts requests; only the leader serves them.
//! State that depends on a clock is not replicated and is held by the leader
//! alone: leases of entries, dispatch windows, and the versions that engines
//! have loaded.
//!
//! Three rules prevent two leaders from contradicting each other:
//!
//! - A leader answers renewals and issues orders only while it holds its lease
//!   from the other replicas. When a network partition separates it
//!   from them, it stops before another replica can lead.
//! - A new leader does not know the leases that its predecessor granted to
//!   entries. It assumes that they are held until one entry lease after the
//!   start of its own term.
//! - A new leader issues its first order only when its predecessor's lease has
//!   expired on every clock and an order sent at the end of that lease has
//!   arrived.

mod applied_times;
mod claims;
mod leader;
mod leases;
mod message;
mod notices;
mod orders;
mod pending;
mod renewals;
mod replica;
mod requests;

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
    applied_times::AppliedTimes,
    leader::Leadership,
    leases::PendingRenewals,
    notices::LastNotified,
    pending::PendingRequests, //
};
use crate::{
    ids::MonoTime,
    message::control::Status,
    replica::{
        Replica,
        ReplicaEvent,
        SavedState, //
    },
    state::State,
};

/// One control replica.
#[derive(Debug)]
pub struct ControlCore {
    cfg: ControlConfig,
    replica: Replica,
    state: State,
    applied_times: AppliedTimes,
    pending: PendingRequests,
    renewals: PendingRenewals,
    lead: Option<Leadership>,
    last_notified: LastNotified,
    stopped: bool,
    now: MonoTime,
    actions: Vec<ControlAction>,
}

impl ControlCore {
    /// Creates a control replica from its persistent data.
    pub fn new(cfg: ControlConfig, saved: SavedState, now: MonoTime) -> (Self, Vec<ControlAction>) {
        let (replica, actions) = Replica::new(cfg.replica.clone(), saved, now);
        let mut core = Self {
            state: State::default(),
            applied_times: AppliedTimes::default(),
            pending: PendingRequests::default(),
            renewals: PendingRenewals::default(),
            lead: None,
            last_notified: LastNotified::default(),
            stopped: false,
            now,
            actions: Vec::new(),
            replica,
            cfg,
        };
        core.state.faults = core.cfg.faults;
        core.process_replica_actions(actions);
        core.act_as_leader();
        let actions = std::mem::take(&mut core.actions);
        (core, actions)
    }

    /// Handles an event. A `now` before that of an earlier call is raised to it.
    pub fn handle(&mut self, now: MonoTime, event: ControlEvent) -> Vec<ControlAction> {
        self.now = self.now.max(now);
        match event {
            ControlEvent::Tick => self.step_replica(ReplicaEvent::Tick),
            ControlEvent::Peer { from, message } => {
                self.step_replica(ReplicaEvent::Message { from, message });
            }
            ControlEvent::Synced { write } => self.step_replica(ReplicaEvent::Synced { write }),
            ControlEvent::DiskFull(full) => self.step_replica(ReplicaEvent::DiskFull(full)),
            ControlEvent::Client { ticket, req } => self.handle_request(ticket, req),
            ControlEvent::ClientDisconnected { ticket } => {
                self.renewals.remove(ticket);
                self.pending.remove_client(ticket);
            }
            ControlEvent::OrderResult {
                server,
                fencing,
                ok,
            } => self.handle_order_result(server, fencing, ok),
        }
        self.reject_expired();
        self.act_as_leader();
        self.answer_renewals();
        std::mem::take(&mut self.actions)
    }

    /// Returns when the core next needs a [`ControlEvent::Tick`].
    pub fn next_wake(&self) -> MonoTime {
        let mut wake = self.replica.next_wake();
        let mut wake_by = |at: Option<MonoTime>| wake = wake.min(at.unwrap_or(wake));
        wake_by(self.pending.next_deadline());
        wake_by(self.renewals.next_deadline());
        if let Some(lead) = &self.lead
            && lead.clock_base.is_some()
        {
            wake_by(Some(self.now + self.cfg.clock_interval));
            wake_by(lead.leases.next_expiry(self.now));
            wake_by(lead.orders.next_deadline(self.now));
        }
        // A time in the past would make the caller tick in a busy loop.
        wake.max(self.now + Duration::from_millis(1))
    }

    /// Returns the status of the group and of the entries, as known to this
    /// replica.
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

    /// Returns the replicated state as applied by this replica.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns whether this replica leads, holds its lease, and has applied
    /// everything that was committed before its term.
    pub fn leads(&self, now: MonoTime) -> bool {
        let is_ready = self.lead.as_ref().is_some_and(|l| l.clock_base.is_some());
        is_ready && (self.replica.has_lease(now) || self.cfg.faults.act_without_lease)
    }

    fn step_replica(&mut self, event: ReplicaEvent) {
        let actions = self.replica.handle(self.now, event);
        self.process_replica_actions(actions);
    }
}
