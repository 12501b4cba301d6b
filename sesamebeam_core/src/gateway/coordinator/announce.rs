//! Announcements of backend servers, and passing them on.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use super::{
    Action,
    Answer,
    Coordinator,
    Note,
    telling::WANT_EVERY, //
};
use crate::{
    gateway::{
        config::ServiceId,
        digests::{
            Digests,
            Parts, //
        },
        directory::{
            Announcement,
            BORN_UNKNOWN,
            Born,
            ServerState, //
        },
        feed::Between,
    },
    ids::{
        MonoTime,
        NodeId,
        ServerAddr, //
    },
    replica::Ticket,
};

/// An announcement that waits until the other replicas have it.
#[derive(Debug)]
pub(super) struct Confirming {
    /// Who is answered then.
    ticket: Ticket,
    /// Replicas that have it.
    by: BTreeSet<NodeId>,
    /// Number of other replicas that must have it.
    wanted: usize,
    /// When it is given up.
    until: MonoTime,
}

impl Coordinator {
    /// Takes announcements that came by way of others.
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

    /// Takes an announcement and returns whether it tells anything new. Which
    /// services there are shows by their other backend servers.
    fn learn(&mut self, said: Announcement) -> bool {
        let is_named = self.directory.has_other(&said);
        self.directory.take(self.now, said, is_named)
    }

    /// Compares with a replica that can be reached now what both know of backend servers.
    ///
    /// What was announced here while there was no connection went nowhere, and is
    /// no news when it is announced again. After all processes had been started
    /// anew, 20 of 78 engines stood unused for good: the replica that they had
    /// reported to was a moment ahead of its connections. A process in reserve tells all
    /// that it knows, which is what it was told itself: members have no connection to it.
    pub(super) fn compare_servers(&mut self, to: NodeId) {
        if self.peers.is_member() {
            self.tell_digests(to, true);
        } else {
            self.tell_servers(to, Parts::ALL);
        }
    }

    /// Takes what another replica holds, and asks it for what this one lacks.
    ///
    /// Of several that hold the same only one is asked. Told all by each, a replica that
    /// starts among 24 would take each backend server 24 times.
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
            let message = Between::Wants(wanted);
            self.actions.push(Action::Send { to: from, message });
        }
        if later {
            self.telling.compare_at.insert(from, self.now + WANT_EVERY);
        }
    }

    /// Tells a replica of the backend servers in some parts of the directory.
    pub(super) fn tell_servers(&mut self, to: NodeId, parts: Parts) {
        let servers: Vec<Announcement> = self.directory.tell_parts(self.now, parts).collect();
        if !servers.is_empty() {
            let message = Between::Servers(servers);
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Compares once more with the replicas that were not asked while others were.
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
        let message = Between::Digests {
            held: self.directory.digests().clone(),
            domain: self.cfg.domain.clone(),
            ask,
        };
        self.actions.push(Action::Send { to, message });
    }

    /// Takes an announcement from a backend server itself.
    ///
    /// One that leaves is answered only once most other replicas have it as
    /// well. Otherwise an entry that is connected to them alone would go on
    /// sending it work after it was told that it is free to go.
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
            self.tell_peers(&Between::Servers(vec![told]));
        }
        self.actions.push(Action::Answer(ticket, Answer::Done));
    }

    /// Takes the word of a backend server that it leaves, by its id and, if it
    /// says, when it started. An older life of it leaves in vain.
    ///
    /// One that is unknown here may be known to all others: this replica has just
    /// started, or has no place in the group. Said yes to without telling them,
    /// it left while entries went on sending it work, 41 requests in one case.
    pub(super) fn left(&mut self, ticket: Ticket, id: &str, born: Option<Born>) {
        let said = match self.directory.leave(self.now, id, born) {
            Some(said) => said,
            None => {
                let said = gone(id, born.unwrap_or(BORN_UNKNOWN));
                if !self.learn(said.clone()) {
                    self.actions.push(Action::Answer(ticket, Answer::Done));
                    return;
                }
                said
            }
        };
        self.note_server(&said);
        self.tell_servers_soon([said.clone()]);
        self.confirm(ticket, said);
    }

    /// Notes that a replica has what it was asked to confirm.
    pub(super) fn confirmed(&mut self, from: NodeId, number: u64) {
        let Some(confirming) = self.confirming.get_mut(&number) else {
            return;
        };
        confirming.by.insert(from);
        if confirming.by.len() >= confirming.wanted {
            let ticket = confirming.ticket;
            self.confirming.remove(&number);
            self.actions.push(Action::Answer(ticket, Answer::Done));
        }
    }

    /// Gives up announcements that others did not confirm in time; the backend
    /// server asks another replica.
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
                    .push(Action::Answer(c.ticket, Answer::Unavailable));
            }
        }
    }

    fn confirm(&mut self, ticket: Ticket, said: Announcement) {
        // Others do not confirm anything to a process that is no member.
        if !self.peers.is_member() {
            let answer = self.elsewhere();
            self.actions.push(Action::Answer(ticket, answer));
            return;
        }
        let wanted = self.peers.count() / 2;
        if wanted == 0 {
            self.actions.push(Action::Answer(ticket, Answer::Done));
            return;
        }
        let number = self.next_ticket;
        self.next_ticket += 1;
        let confirming = Confirming {
            ticket,
            by: BTreeSet::new(),
            wanted,
            until: self.now + self.cfg.patience,
        };
        self.confirming.insert(number, confirming);
        self.tell_peers(&Between::Confirm {
            ticket: number,
            servers: vec![said],
        });
    }

    fn note_server(&mut self, said: &Announcement) {
        self.note(Note::Server {
            id: said.id.clone(),
            service: said.service.clone(),
            born: said.born,
            state: said.state,
            sequence: said.sequence,
        });
    }
}

/// Returns the announcement of a backend server that left and of which nothing
/// else is known.
fn gone(id: &str, born: Born) -> Announcement {
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
