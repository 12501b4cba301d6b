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
    telling::PULL_RETRY_DELAY, //
};
use crate::{
    gateway::{
        config::ServiceId,
        digests::{
            Digests,
            BucketSet, //
        },
        directory::{
            Announcement,
            START_TIME_UNKNOWN,
            StartTime,
            ServerState, //
        },
        feed::CoordinatorMessage,
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
    by: BTreeSet<NodeId>,
    /// Number of confirmations required.
    wanted: usize,
    /// When the request is abandoned.
    until: MonoTime,
}

impl Coordinator {
    /// Merges announcements received through another process.
    pub(super) fn take_announcements(&mut self, servers: Vec<Announcement>) {
        let mut news = Vec::new();
        for said in servers {
            if self.learn(said.clone()) {
                self.note_server(&said);
                news.push(said);
            }
        }
        self.tell_servers_soon(news);
    }

    /// Merges an announcement and returns whether it contains anything new. A service
    /// counts as existing if the directory knows another backend server of it.
    fn learn(&mut self, said: Announcement) -> bool {
        let is_named = self.directory.has_other(&said);
        self.directory.take(self.now, said, is_named)
    }

    /// Compares directories with a replica that has just become reachable.
    ///
    /// An announcement received here while there was no connection was forwarded to nobody,
    /// and repeating it later is not treated as news. After a full restart, 20 of 78
    /// backend servers stayed unused permanently because the replica they had announced
    /// themselves to was slightly ahead of its connections. A standby process sends
    /// everything it knows, which consists of announcements made to it directly: members
    /// have no connection to it over which they could ask.
    pub(super) fn compare_servers(&mut self, to: NodeId) {
        if self.peers.is_member() {
            self.tell_digests(to, true);
        } else {
            self.tell_servers(to, BucketSet::ALL);
        }
    }

    /// Compares the received digests with the local directory and requests the buckets that
    /// differ.
    ///
    /// If several replicas hold the same data, only one of them is asked. If each sent
    /// everything, a replica that starts in a group of 24 would receive every backend
    /// server 24 times.
    pub(super) fn compared(&mut self, from: NodeId, held: &Digests, ask: bool) {
        let differing = self.directory.digests().differing(held);
        if differing.is_empty() {
            return;
        }
        if ask {
            self.tell_digests(from, false);
        }
        let (wanted, later) = self.claim_parts(differing, held.filled());
        if !wanted.is_empty() {
            let message = CoordinatorMessage::Wants(wanted);
            self.actions.push(Action::Send { to: from, message });
        }
        if later {
            self.telling.compare_at.insert(from, self.now + PULL_RETRY_DELAY);
        }
    }

    /// Sends a replica the backend servers in some buckets of the directory.
    pub(super) fn tell_servers(&mut self, to: NodeId, parts: BucketSet) {
        let servers: Vec<Announcement> = self.directory.tell_parts(self.now, parts).collect();
        if !servers.is_empty() {
            let message = CoordinatorMessage::Servers(servers);
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Repeats the comparison with replicas that were skipped while another one was being
    /// asked.
    pub(super) fn compare_due(&mut self) {
        let (now, due) = (self.now, &mut self.telling.compare_at);
        let due: Vec<NodeId> = due
            .extract_if(.., |_, at| *at <= now)
            .map(|d| d.0)
            .collect();
        for to in due {
            self.compare_servers(to);
        }
    }

    fn tell_digests(&mut self, to: NodeId, ask: bool) {
        let message = CoordinatorMessage::Digests {
            held: self.directory.digests().clone(),
            domain: self.cfg.domain.clone(),
            ask,
        };
        self.actions.push(Action::Send { to, message });
    }

    /// Handles an announcement made by a backend server directly.
    ///
    /// A backend server that is leaving gets its response only once most other replicas
    /// have the announcement too. Otherwise an entry that is connected only to those
    /// replicas would keep sending it requests after it was told that it may exit.
    pub(super) fn announced(&mut self, ticket: Ticket, said: Announcement) {
        let news = self.learn(said.clone());
        let leaves = said.state != ServerState::Ready;
        let known = self.directory.get(&said.id);
        let told = known.map_or(said, |k| k.tell(self.now));
        if news {
            self.note_server(&told);
            self.tell_servers_soon([told.clone()]);
        }
        if leaves {
            self.confirm(ticket, told);
            return;
        }
        if news {
            self.tell_peers(&CoordinatorMessage::Servers(vec![told]));
        }
        self.actions.push(Action::Respond(ticket, ApiResponse::Done));
    }

    /// Handles the notice of a backend server that it is leaving, identified by its id and
    /// optionally its start time. A notice from an older incarnation is ignored.
    ///
    /// A backend server that is unknown here may be known to all other replicas, because
    /// this replica has just started or is not a member. When such a notice was
    /// acknowledged without informing the others, entries kept sending requests to a server
    /// that had exited; 41 requests were lost in one case.
    pub(super) fn left(&mut self, ticket: Ticket, id: &str, born: Option<StartTime>) {
        let said = match self.directory.leave(self.now, id, born) {
            Some(said) => said,
            None => {
                let said = gone(id, born.unwrap_or(START_TIME_UNKNOWN));
                if !self.learn(said.clone()) {
                    self.actions.push(Action::Respond(ticket, ApiResponse::Done));
                    return;
                }
                said
            }
        };
        self.note_server(&said);
        self.tell_servers_soon([said.clone()]);
        self.confirm(ticket, said);
    }

    /// Records that a replica has confirmed an announcement.
    pub(super) fn confirmed(&mut self, from: NodeId, number: u64) {
        let Some(confirming) = self.confirming.get_mut(&number) else {
            return;
        };
        confirming.by.insert(from);
        if confirming.by.len() >= confirming.wanted {
            let ticket = confirming.ticket;
            self.confirming.remove(&number);
            self.actions.push(Action::Respond(ticket, ApiResponse::Done));
        }
    }

    /// Abandons announcements that were not confirmed in time; the backend server then
    /// tries another replica.
    pub(super) fn give_up_confirming(&mut self) {
        let now = self.now;
        let late: Vec<u64> = self
            .confirming
            .iter()
            .filter(|(_, c)| now >= c.until)
            .map(|(&number, _)| number)
            .collect();
        for number in late {
            if let Some(c) = self.confirming.remove(&number) {
                self.actions
                    .push(Action::Respond(c.ticket, ApiResponse::Unavailable));
            }
        }
    }

    fn confirm(&mut self, ticket: Ticket, said: Announcement) {
        // Replicas do not confirm announcements of a non-member.
        if !self.peers.is_member() {
            let answer = self.elsewhere();
            self.actions.push(Action::Respond(ticket, answer));
            return;
        }
        let wanted = self.peers.count() / 2;
        if wanted == 0 {
            self.actions.push(Action::Respond(ticket, ApiResponse::Done));
            return;
        }
        let number = self.next_ticket;
        self.next_ticket += 1;
        let confirming = PendingConfirmation {
            ticket,
            by: BTreeSet::new(),
            wanted,
            until: self.now + self.cfg.patience,
        };
        self.confirming.insert(number, confirming);
        self.tell_peers(&CoordinatorMessage::Confirm {
            ticket: number,
            servers: vec![said],
        });
    }

    fn note_server(&mut self, said: &Announcement) {
        self.note(LogEvent::Server {
            id: said.id.clone(),
            service: said.service.clone(),
            born: said.born,
            state: said.state,
            sequence: said.sequence,
        });
    }
}

/// Returns the announcement of a backend server that has left and about which nothing else
/// is known.
fn gone(id: &str, born: StartTime) -> Announcement {
    Announcement {
        id: id.into(),
        born,
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
