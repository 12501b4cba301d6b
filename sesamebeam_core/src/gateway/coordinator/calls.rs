//! Calls of operators and backend servers.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use smol_str::SmolStr;

use super::{
    Action,
    Coordinator, //
};
use crate::{
    gateway::{
        config::ServiceId,
        directory::{
            Announcement,
            Born,
            ServerId, //
        },
        rollout::Rollout,
        store::{
            Command,
            Document, //
        },
    },
    ids::{
        DomainId,
        MonoTime, //
    },
    replica::{
        Rejection,
        ReplicaEvent,
        Ticket, //
    },
};

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A backend server tells of itself.
    Announce(Announcement),
    /// A backend server leaves.
    Leave {
        /// Its name.
        id: ServerId,
        /// When it started, if it says.
        born: Option<Born>,
    },
    /// An operator puts a checked configuration in force.
    Apply(Document),
    /// An operator reads the newest configuration.
    ReadConfig,
    /// An operator starts a roll-out.
    StartRollout {
        /// Service.
        service: ServiceId,
        /// Version that is brought in.
        target: SmolStr,
        /// Time in which it should be done.
        duration: Duration,
    },
    /// An operator asks how far a roll-out is.
    ReadRollout(ServiceId),
    /// An operator wants nothing more sent to the backend servers of a failure domain.
    Evacuate(DomainId),
    /// An operator takes that back.
    Readmit(DomainId),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// It is done and will not be forgotten.
    Done,
    /// The newest configuration.
    Config(Bytes),
    /// A roll-out.
    Rollout(Rollout),
    /// There is no such thing.
    Missing,
    /// The leader listens for other replicas at this address.
    Leader(SocketAddr),
    /// Nothing can be said now; another replica may know.
    Unavailable,
}

/// A call that waits for the group.
#[derive(Debug)]
pub(super) struct Waiting {
    call: Call,
    until: MonoTime,
}

impl Coordinator {
    /// Takes a call.
    pub(super) fn called(&mut self, ticket: Ticket, call: Call) {
        match call {
            Call::Announce(said) => self.announced(ticket, said),
            Call::Leave { id, born } => self.left(ticket, &id, born),
            Call::Apply(ref document) if self.holds(document.version) => {
                self.answer(ticket, Answer::Done);
            }
            Call::StartRollout {
                ref service,
                ref target,
                ..
            } if self.store.has_started(service, target) => self.answer(ticket, Answer::Done),
            Call::Apply(ref document) => {
                let command = Command::Apply(document.clone());
                self.propose(ticket, call, &command);
            }
            Call::StartRollout {
                ref service,
                ref target,
                duration,
            } => {
                let command = Command::StartRollout {
                    service: service.clone(),
                    target: target.clone(),
                    duration,
                };
                self.propose(ticket, call, &command);
            }
            // Never answered from the state at hand, as configurations are: between
            // an order and its repeat the opposite may have been acknowledged, of
            // which a replica that lags knows nothing.
            Call::Evacuate(ref domain) if !self.store.can_evacuate(domain) => {
                self.answer(ticket, Answer::Unavailable);
            }
            Call::Evacuate(ref domain) => {
                let command = Command::Evacuate(domain.clone());
                self.propose(ticket, call, &command);
            }
            Call::Readmit(ref domain) => {
                let command = Command::Readmit(domain.clone());
                self.propose(ticket, call, &command);
            }
            Call::ReadConfig | Call::ReadRollout(_) => {
                if self.may_lead(ticket) {
                    self.wait(ticket, call);
                    self.step(ReplicaEvent::Read { ticket });
                }
            }
        }
    }

    /// Answers a call whose entry is committed.
    pub(super) fn done(&mut self, ticket: Ticket) {
        if self.waiting.remove(&ticket).is_some() {
            self.answer(ticket, Answer::Done);
        }
    }

    /// Answers a read that is safe by now.
    pub(super) fn read_ready(&mut self, ticket: Ticket) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let answer = match waiting.call {
            Call::ReadConfig => match self.store.config() {
                Some(document) => Answer::Config(document.bytes.clone()),
                None => Answer::Missing,
            },
            Call::ReadRollout(service) => match self.store.rollouts().get(&service) {
                Some(rollout) => Answer::Rollout(rollout.clone()),
                None => Answer::Missing,
            },
            _ => Answer::Done,
        };
        self.answer(ticket, answer);
    }

    /// Answers a call that is not carried out here, or may not be.
    pub(super) fn rejected(&mut self, ticket: Ticket, reason: Rejection) {
        if self.waiting.remove(&ticket).is_none() {
            return;
        }
        let answer = match reason {
            Rejection::NotLeader(_) => self.elsewhere(),
            Rejection::Full
            | Rejection::Busy
            | Rejection::OutcomeUnknown
            | Rejection::Change(_) => Answer::Unavailable,
        };
        self.answer(ticket, answer);
    }

    /// Gives up calls that the group did not answer in time.
    pub(super) fn give_up_late(&mut self) {
        self.give_up_confirming();
        let now = self.now;
        let late: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, w)| now >= w.until)
            .map(|(&ticket, _)| ticket)
            .collect();
        for ticket in late {
            self.waiting.remove(&ticket);
            self.answer(ticket, Answer::Unavailable);
        }
    }

    /// Proposes a change on behalf of this replica itself.
    pub(super) fn propose_own(&mut self, command: &Command) {
        let ticket = self.own_ticket();
        if let Ok(data) = postcard::to_stdvec(command) {
            self.step(ReplicaEvent::Propose { ticket, data });
        }
    }

    /// Returns a ticket that nobody waits for.
    pub(super) fn own_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        // Callers' tickets come from a counter at the edge that starts at 0.
        Ticket::MAX - self.next_ticket
    }

    fn holds(&self, version: u64) -> bool {
        self.store.config().is_some_and(|c| c.version >= version)
    }

    fn propose(&mut self, ticket: Ticket, call: Call, command: &Command) {
        if !self.may_lead(ticket) {
            return;
        }
        match postcard::to_stdvec(command) {
            Ok(data) => {
                self.wait(ticket, call);
                self.step(ReplicaEvent::Propose { ticket, data });
            }
            Err(_) => self.answer(ticket, Answer::Unavailable),
        }
    }

    /// Returns whether this replica leads; otherwise tells the caller who does.
    fn may_lead(&mut self, ticket: Ticket) -> bool {
        if self.leads() {
            return true;
        }
        let answer = self.elsewhere();
        self.answer(ticket, answer);
        false
    }

    /// Returns what a caller is told whose call only the leader can take.
    pub(super) fn elsewhere(&self) -> Answer {
        match self.leader_addr() {
            Some(addr) if addr != self.cfg.addr => Answer::Leader(addr),
            _ => Answer::Unavailable,
        }
    }

    fn wait(&mut self, ticket: Ticket, call: Call) {
        let until = self.now + self.cfg.patience;
        self.waiting.insert(ticket, Waiting { call, until });
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.actions.push(Action::Answer(ticket, answer));
    }
}
