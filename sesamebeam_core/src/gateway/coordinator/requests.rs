//! Requests from operators and backend servers.

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
            ServerId,
            StartTime, //
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

/// Request from an operator or a backend server.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiRequest {
    /// A backend server announces itself.
    Announce(Announcement),
    /// A backend server leaves.
    Leave {
        /// Id of the backend server.
        id: ServerId,
        /// Its start time, if provided.
        started_at: Option<StartTime>,
    },
    /// An operator applies a validated configuration.
    Apply(Document),
    /// An operator reads the newest configuration.
    ReadConfig,
    /// An operator starts a rollout.
    StartRollout {
        /// Service.
        service: ServiceId,
        /// Version to roll out.
        target: SmolStr,
        /// Intended duration.
        duration: Duration,
    },
    /// An operator reads the progress of a rollout.
    ReadRollout(ServiceId),
    /// An operator evacuates a failure domain: no new requests go to its backend servers.
    Evacuate(DomainId),
    /// An operator reverts an evacuation.
    Readmit(DomainId),
}

/// Response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiResponse {
    /// The change is committed, or the announcement is recorded.
    Done,
    /// The newest configuration.
    Config(Bytes),
    /// A rollout.
    Rollout(Rollout),
    /// The requested object does not exist.
    Missing,
    /// Only the leader can handle this; it listens at the given address.
    Leader(SocketAddr),
    /// This replica cannot handle the request now; another one may be able to.
    Unavailable,
}

/// A request that is waiting for the group.
#[derive(Debug)]
pub(super) struct PendingRequest {
    request: ApiRequest,
    deadline: MonoTime,
}

impl Coordinator {
    /// Handles a request.
    pub(super) fn handle_request(&mut self, ticket: Ticket, request: ApiRequest) {
        match request {
            ApiRequest::Announce(announcement) => self.handle_announcement(ticket, announcement),
            ApiRequest::Leave { id, started_at } => self.handle_leave(ticket, &id, started_at),
            ApiRequest::Apply(ref document) if self.has_config(document.version) => {
                self.respond(ticket, ApiResponse::Done);
            }
            ApiRequest::StartRollout {
                ref service,
                ref target,
                ..
            } if self.store.has_started(service, target) => self.respond(ticket, ApiResponse::Done),
            ApiRequest::Apply(ref document) => {
                let command = Command::Apply(document.clone());
                self.propose(ticket, request, &command);
            }
            ApiRequest::StartRollout {
                ref service,
                ref target,
                duration,
            } => {
                let command = Command::StartRollout {
                    service: service.clone(),
                    target: target.clone(),
                    duration,
                };
                self.propose(ticket, request, &command);
            }
            // Unlike for configurations, the local state is never used to answer a repeated
            // order: the opposite order may have been acknowledged in between, which a
            // lagging replica does not know.
            ApiRequest::Evacuate(ref domain) if !self.store.can_evacuate(domain) => {
                self.respond(ticket, ApiResponse::Unavailable);
            }
            ApiRequest::Evacuate(ref domain) => {
                let command = Command::Evacuate(domain.clone());
                self.propose(ticket, request, &command);
            }
            ApiRequest::Readmit(ref domain) => {
                let command = Command::Readmit(domain.clone());
                self.propose(ticket, request, &command);
            }
            ApiRequest::ReadConfig | ApiRequest::ReadRollout(_) => {
                if self.ensure_leader(ticket) {
                    self.add_pending(ticket, request);
                    self.step_replica(ReplicaEvent::Read { ticket });
                }
            }
        }
    }

    /// Responds to a request whose log entry is committed.
    pub(super) fn complete_request(&mut self, ticket: Ticket) {
        if self.pending_requests.remove(&ticket).is_some() {
            self.respond(ticket, ApiResponse::Done);
        }
    }

    /// Responds to a read once it is linearizable.
    pub(super) fn read_ready(&mut self, ticket: Ticket) {
        let Some(pending) = self.pending_requests.remove(&ticket) else {
            return;
        };
        let response = match pending.request {
            ApiRequest::ReadConfig => match self.store.config() {
                Some(document) => ApiResponse::Config(document.bytes.clone()),
                None => ApiResponse::Missing,
            },
            ApiRequest::ReadRollout(service) => match self.store.rollouts().get(&service) {
                Some(rollout) => ApiResponse::Rollout(rollout.clone()),
                None => ApiResponse::Missing,
            },
            _ => ApiResponse::Done,
        };
        self.respond(ticket, response);
    }

    /// Responds to a request that the replica has rejected.
    pub(super) fn handle_rejection(&mut self, ticket: Ticket, reason: Rejection) {
        if self.pending_requests.remove(&ticket).is_none() {
            return;
        }
        let response = match reason {
            Rejection::NotLeader(_) => self.redirect(),
            Rejection::Full
            | Rejection::Busy
            | Rejection::OutcomeUnknown
            | Rejection::Change(_) => ApiResponse::Unavailable,
        };
        self.respond(ticket, response);
    }

    /// Responds to requests that the group did not complete in time.
    pub(super) fn expire_requests(&mut self) {
        self.expire_confirmations();
        let now = self.now;
        let expired: Vec<Ticket> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| now >= pending.deadline)
            .map(|(&ticket, _)| ticket)
            .collect();
        for ticket in expired {
            self.pending_requests.remove(&ticket);
            self.respond(ticket, ApiResponse::Unavailable);
        }
    }

    /// Proposes a change on behalf of this replica.
    pub(super) fn propose_internal(&mut self, command: &Command) {
        let ticket = self.internal_ticket();
        if let Ok(data) = postcard::to_stdvec(command) {
            self.step_replica(ReplicaEvent::Propose { ticket, data });
        }
    }

    /// Returns a ticket for which no caller waits for a response.
    pub(super) fn internal_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        // Tickets of callers come from a counter that starts at 0.
        Ticket::MAX - self.next_ticket
    }

    fn has_config(&self, version: u64) -> bool {
        self.store.config().is_some_and(|c| c.version >= version)
    }

    fn propose(&mut self, ticket: Ticket, request: ApiRequest, command: &Command) {
        if !self.ensure_leader(ticket) {
            return;
        }
        match postcard::to_stdvec(command) {
            Ok(data) => {
                self.add_pending(ticket, request);
                self.step_replica(ReplicaEvent::Propose { ticket, data });
            }
            Err(_) => self.respond(ticket, ApiResponse::Unavailable),
        }
    }

    /// Returns whether this replica leads; if not, redirects the caller to the leader.
    fn ensure_leader(&mut self, ticket: Ticket) -> bool {
        if self.leads() {
            return true;
        }
        let response = self.redirect();
        self.respond(ticket, response);
        false
    }

    /// Returns the response to a request that only the leader can handle.
    pub(super) fn redirect(&self) -> ApiResponse {
        match self.leader_addr() {
            Some(addr) if addr != self.cfg.addr => ApiResponse::Leader(addr),
            _ => ApiResponse::Unavailable,
        }
    }

    fn add_pending(&mut self, ticket: Ticket, request: ApiRequest) {
        let deadline = self.now + self.cfg.request_timeout;
        self.pending_requests
            .insert(ticket, PendingRequest { request, deadline });
    }

    fn respond(&mut self, ticket: Ticket, response: ApiResponse) {
        self.actions.push(Action::Respond(ticket, response));
    }
}
