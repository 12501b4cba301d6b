//! Handling of backend server announcements and their propagation.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Action,
    ApiResponse,
    Coordinator,
    LogEvent,
    publisher::PULL_RETRY_DELAY, //
};
use crate::{
    gateway::{
        config::ServiceId,
        digests::{
            BucketSet,
            Digests, //
        },
        directory::{
            Announcement,
            START_TIME_UNKNOWN,
            ServerState,
            StartTime, //
        },
        messages::CoordinatorMessage,
    },
    ids::{
        MonoTime,
        NodeId,
        ServerAddr, //
    },
    replica::Ticket,
};

/// An announcement that is being confirmed by other replicas.
#[derive(Debug)]
pub(super) struct PendingConfirmation {
    /// Request to respond to afterwards.
    ticket: Ticket,
    /// Replicas that have confirmed it.
    confirmed_by: BTreeSet<NodeId>,
    /// Number of confirmations required.
    required: usize,
    /// When the request is abandoned.
    deadline: MonoTime,
}

impl Coordinator {
    /// Merges announcements received through another process.
    pub(super) fn merge_announcements(&mut self, servers: Vec<Announcement>) {
        let mut changed = Vec::new();
        for announcement in servers {
            if self.merge_announcement(announcement.clone()) {
                self.log_server(&announcement);
                changed.push(announcement);
            }
        }
        self.queue_announcements(changed);
    }

    /// Merges an announcement and returns whether it contains anything new. A service
    /// counts as existing if the directory knows another backend server of it.
    fn merge_announcement(&mut self, announcement: Announcement) -> bool {
        let service_exists = self.directory.has_other_server(&announcement);
        self.directory.merge(self.now, announcement, service_exists)
    }

    /// Compares directories with a replica that has just become reachable.
    ///
    /// An announcement received here while there was no connection was forwarded to nobody,
    /// and repeating it later is not treated as news. After a full restart, 20 of 78
    /// backend servers stayed unused permanently because the replica they had announced
    /// themselves to was slightly ahead of its connections. A standby process sends
    /// everything it knows, which consists of announcements made to it directly: members
    /// have no connection to it over which they could ask.
    pub(super) fn compare_directories(&mut self, to: NodeId) {
        if self.peers.is_member() {
            self.send_digests(to, true);
        } else {
            self.send_buckets(to, BucketSet::ALL);
        }
    }

    /// Compares the received digests with the local directory and requests the buckets that
    /// differ.
    ///
    /// If several replicas hold the same data, only one of them is asked. If each sent
    /// everything, a replica that starts in a group of 24 would receive every backend
    /// server 24 times.
    pub(super) fn handle_digests(
        &mut self,
        from: NodeId,
        digests: &Digests,
        reply_requested: bool,
    ) {
        let differing = self.directory.digests().differing_buckets(digests);
        if differing.is_empty() {
            return;
        }
        if reply_requested {
            self.send_digests(from, false);
        }
        let (requested, postponed) = self.claim_buckets(differing, digests.non_empty_buckets());
        if !requested.is_empty() {
            let message = CoordinatorMessage::RequestBuckets(requested);
            self.actions.push(Action::Send { to: from, message });
        }
        if postponed {
            self.publisher
                .next_comparison_at
                .insert(from, self.now + PULL_RETRY_DELAY);
        }
    }

    /// Sends a replica the backend servers in some buckets of the directory.
    pub(super) fn send_buckets(&mut self, to: NodeId, buckets: BucketSet) {
        let servers: Vec<Announcement> = self
            .directory
            .announcements_in_buckets(self.now, buckets)
            .collect();
        if !servers.is_empty() {
            let message = CoordinatorMessage::Servers(servers);
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Repeats the comparison with replicas that were skipped while another one was being
    /// asked.
    pub(super) fn repeat_comparisons(&mut self) {
        let (now, due) = (self.now, &mut self.publisher.next_comparison_at);
        let due: Vec<NodeId> = due
            .extract_if(.., |_, at| *at <= now)
            .map(|d| d.0)
            .collect();
        for to in due {
            self.compare_directories(to);
        }
    }

    fn send_digests(&mut self, to: NodeId, reply_requested: bool) {
        let message = CoordinatorMessage::Digests {
            digests: self.directory.digests().clone(),
            domain: self.cfg.domain.clone(),
            reply_requested,
        };
        self.actions.push(Action::Send { to, message });
    }

    /// Handles an announcement made by a backend server directly.
    ///
    /// A backend server that is leaving gets its response only once most other replicas
    /// have the announcement too. Otherwise an entry that is connected only to those
    /// replicas would keep sending it requests after it was told that it may exit.
    pub(super) fn handle_announcement(&mut self, ticket: Ticket, announcement: Announcement) {
        let is_new = self.merge_announcement(announcement.clone());
        let is_leaving = announcement.state != ServerState::Ready;
        let record = self.directory.get(&announcement.id);
        let current = record.map_or(announcement, |k| k.to_announcement(self.now));
        if is_new {
            self.log_server(&current);
            self.queue_announcements([current.clone()]);
        }
        if is_leaving {
            self.request_confirmation(ticket, current);
            return;
        }
        if is_new {
            self.broadcast(&CoordinatorMessage::Servers(vec![current]));
        }
        self.actions
            .push(Action::Respond(ticket, ApiResponse::Done));
    }

    /// Handles the notice of a backend server that it is leaving, identified by its id and
    /// optionally its start time. A notice from an older incarnation is ignored.
    ///
    /// A backend server that is unknown here may be known to all other replicas, because
    /// this replica has just started or is not a member. When such a notice was
    /// acknowledged without informing the others, entries kept sending requests to a server
    /// that had exited; 41 requests were lost in one case.
    pub(super) fn handle_leave(&mut self, ticket: Ticket, id: &str, started_at: Option<StartTime>) {
        let announcement = match self.directory.mark_gone(self.now, id, started_at) {
            Some(announcement) => announcement,
            None => {
                let announcement = gone_announcement(id, started_at.unwrap_or(START_TIME_UNKNOWN));
                if !self.merge_announcement(announcement.clone()) {
                    self.actions
                        .push(Action::Respond(ticket, ApiResponse::Done));
                    return;
                }
                announcement
            }
        };
        self.log_server(&announcement);
        self.queue_announcements([announcement.clone()]);
        self.request_confirmation(ticket, announcement);
    }

    /// Records that a replica has confirmed an announcement.
    pub(super) fn handle_confirmation(&mut self, from: NodeId, number: u64) {
        let Some(confirming) = self.pending_confirmations.get_mut(&number) else {
            return;
        };
        confirming.confirmed_by.insert(from);
        if confirming.confirmed_by.len() >= confirming.required {
            let ticket = confirming.ticket;
            self.pending_confirmations.remove(&number);
            self.actions
                .push(Action::Respond(ticket, ApiResponse::Done));
        }
    }

    /// Abandons announcements that were not confirmed in time; the backend server then
    /// tries another replica.
    pub(super) fn expire_confirmations(&mut self) {
        let now = self.now;
        let expired: Vec<u64> = self
            .pending_confirmations
            .iter()
            .filter(|(_, c)| now >= c.deadline)
            .map(|(&number, _)| number)
            .collect();
        for number in expired {
            if let Some(c) = self.pending_confirmations.remove(&number) {
                self.actions
                    .push(Action::Respond(c.ticket, ApiResponse::Unavailable));
            }
        }
    }

    fn request_confirmation(&mut self, ticket: Ticket, announcement: Announcement) {
        // Replicas do not confirm announcements of a non-member.
        if !self.peers.is_member() {
            let response = self.redirect();
            self.actions.push(Action::Respond(ticket, response));
            return;
        }
        let required = self.peers.count() / 2;
        if required == 0 {
            self.actions
                .push(Action::Respond(ticket, ApiResponse::Done));
            return;
        }
        let number = self.next_ticket;
        self.next_ticket += 1;
        let confirming = PendingConfirmation {
            ticket,
            confirmed_by: BTreeSet::new(),
            required,
            deadline: self.now + self.cfg.request_timeout,
        };
        self.pending_confirmations.insert(number, confirming);
        self.broadcast(&CoordinatorMessage::Confirm {
            ticket: number,
            servers: vec![announcement],
        });
    }

    fn log_server(&mut self, announcement: &Announcement) {
        self.log(LogEvent::Server {
            id: announcement.id.clone(),
            service: announcement.service.clone(),
            started_at: announcement.started_at,
            state: announcement.state,
            sequence: announcement.sequence,
        });
    }
}

/// Returns the announcement of a backend server that has left and about which nothing else
/// is known.
fn gone_announcement(id: &str, started_at: StartTime) -> Announcement {
    Announcement {
        id: id.into(),
        started_at,
        service: ServiceId::default(),
        addr: ServerAddr::from(([0, 0, 0, 0], 0)),
        domain: Default::default(),
        version: Default::default(),
        slots: 0,
        state: ServerState::Gone,
        cold: Duration::ZERO,
        models: Vec::new(),
        sequence: 0,
    }
}
