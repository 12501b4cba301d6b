//! Clients' requests, from their arrival to their replies.

use smol_str::{
    SmolStr,
    ToSmolStr, //
};

use crate::{
    control::{
        ControlCore,
        clients::{
            Own,
            Query,
            Waiting, //
        },
        message::{
            ClientTicket,
            ControlAction, //
        },
    },
    fleet::check::check,
    message::{
        command::{
            Change,
            Command,
            Evidence,
            Verdict, //
        },
        control::{
            ControlReply,
            ControlRequest,
            Replace, //
        },
        wire,
    },
    replica::{
        MemberChange,
        ReplicaEvent,
        Ticket, //
    },
};

/// Most billing entries in one reply.
const MAX_BILLS: u32 = 1000;

/// Most reports of evidence in one request.
const MAX_EVIDENCE: usize = 256;

impl ControlCore {
    pub(super) fn serve(&mut self, ticket: ClientTicket, req: ControlRequest) {
        if let ControlRequest::Status = req {
            let status = Box::new(self.status(self.now));
            self.reply(ticket, ControlReply::Status(status));
            return;
        }
        if let Some(reply) = self.turn_away() {
            self.reply(ticket, reply);
            return;
        }
        let write = Waiting::Write(ticket);
        match req {
            ControlRequest::Renew(renew) => self.renew(ticket, renew),
            ControlRequest::Claim(req) => self.claim(ticket, req),
            ControlRequest::Complete(req) => self.propose(write, &Command::Complete(req)),
            ControlRequest::Pin(req) => self.propose(write, &Command::Pin(req)),
            ControlRequest::Crash(report) => self.propose(write, &Command::Crash(report)),
            ControlRequest::Cleared(prints) => self.propose(write, &Command::Cleared(prints)),
            ControlRequest::Settle(req) => self.propose(write, &Command::Settle(req)),
            ControlRequest::Apply(change) => self.apply_change(ticket, change),
            ControlRequest::Evidence(reports) => self.observe(ticket, reports),
            ControlRequest::Servers(announcements) => {
                if let Some(lead) = &mut self.lead {
                    lead.orders.see(announcements, self.now);
                }
                self.reply(ticket, ControlReply::Done);
            }
            ControlRequest::GetClaim(key) => self.query(ticket, Query::Look(key)),
            ControlRequest::Current => self.query(ticket, Query::Current),
            ControlRequest::Bills { from, limit } => {
                let limit = limit.min(MAX_BILLS) as usize;
                self.query(ticket, Query::Bills(from, limit));
            }
            ControlRequest::Replace(replace) => self.replace(ticket, &replace),
            ControlRequest::Status => {}
        }
    }

    /// Says why no request but a status can be served, if so.
    fn turn_away(&self) -> Option<ControlReply> {
        if self.stopped {
            return Some(unavailable("this replica has stopped for good"));
        }
        let Some(lead) = &self.lead else {
            return Some(ControlReply::NotLeader(self.leader_hint()));
        };
        if lead.settled.is_some() && !self.leads(self.now) {
            return Some(unavailable("this leader reaches no quorum"));
        }
        let waiting = self.clients.len() + self.polls.len();
        (waiting >= self.cfg.max_waiting).then(|| unavailable("too many requests wait"))
    }

    /// Judges a file. One with faults needs no log: its verdict follows from the
    /// file alone. A verdict that was given goes first, since a newer release
    /// may find faults in a file that is long in force.
    fn apply_change(&mut self, client: ClientTicket, change: Change) {
        if let Some(verdict) = self.state.verdict(&change) {
            let reply = ControlReply::Verdict(verdict.clone());
            self.reply(client, reply);
            return;
        }
        let faults = check(&change.fleet);
        if !faults.is_empty() {
            let faults = faults.iter().map(ToSmolStr::to_smolstr).collect();
            self.reply(client, ControlReply::Verdict(Verdict::Faulty(faults)));
            return;
        }
        self.propose(Waiting::Write(client), &Command::Apply(change));
    }

    /// Writes reports of evidence. The log keeps their order, so the answer to
    /// the last one says that all were written.
    fn observe(&mut self, client: ClientTicket, mut reports: Vec<Evidence>) {
        reports.truncate(MAX_EVIDENCE);
        let Some(last) = reports.pop() else {
            self.reply(client, ControlReply::Done);
            return;
        };
        for report in reports {
            if let Ok(data) = wire::encode(&Command::Evidence(report)) {
                let ticket = 0;
                self.drive(ReplicaEvent::Propose { ticket, data });
            }
        }
        self.propose(Waiting::Write(client), &Command::Evidence(last));
    }

    fn replace(&mut self, client: ClientTicket, replace: &Replace) {
        let change = MemberChange::Replace {
            gone: replace.old,
            new: replace.new,
            incarnation: replace.incarnation,
            addr: Some(replace.addr),
        };
        let until = self.now + self.cfg.client_timeout;
        let ticket = self.clients.add(until, Waiting::Write(client));
        self.drive(ReplicaEvent::Change { ticket, change });
    }

    fn query(&mut self, client: ClientTicket, query: Query) {
        self.ask_to_read(Waiting::Read(client, query));
    }

    pub(super) fn ask_to_read(&mut self, waiting: Waiting) {
        let until = self.now + self.cfg.client_timeout;
        let ticket = self.clients.add(until, waiting);
        self.drive(ReplicaEvent::Read { ticket });
    }

    pub(super) fn read(&mut self, ticket: Ticket) {
        match self.clients.take(ticket) {
            Some(Waiting::Read(client, query)) => {
                let reply = self.answer(query);
                self.reply(client, reply);
            }
            Some(Waiting::Own(_)) => self.settle(),
            Some(Waiting::Write(_) | Waiting::Claim(..)) | None => {}
        }
    }

    fn answer(&self, query: Query) -> ControlReply {
        match query {
            Query::Look(key) => {
                let view = self.state.claim(&key).cloned();
                ControlReply::Claimed(view.map(|view| self.judged(&key, view)))
            }
            Query::Current => ControlReply::Current {
                revision: self.state.revision(),
                fleet: Box::new(self.state.fleet().clone()),
            },
            Query::Bills(from, limit) => ControlReply::Bills(self.state.bills(from, limit)),
        }
    }

    pub(super) fn propose(&mut self, waiting: Waiting, command: &Command) {
        match wire::encode(command) {
            Ok(data) => {
                let until = self.now + self.cfg.client_timeout;
                let ticket = self.clients.add(until, waiting);
                self.drive(ReplicaEvent::Propose { ticket, data });
            }
            Err(e) => self.reject(waiting, ControlReply::Refused(e.to_smolstr())),
        }
    }

    pub(super) fn give_up_late(&mut self) {
        for waiting in self.clients.take_late(self.now) {
            self.reject(waiting, unavailable("no quorum answered in time"));
        }
    }

    /// Takes back what a client or this leader waits for in vain.
    pub(super) fn reject(&mut self, waiting: Waiting, reply: ControlReply) {
        match waiting {
            Waiting::Own(Own::Order(server)) => {
                if let Some(lead) = &mut self.lead {
                    lead.orders.dropped(server);
                }
            }
            Waiting::Own(_) => {}
            Waiting::Write(client) | Waiting::Claim(client, _) | Waiting::Read(client, _) => {
                self.reply(client, reply);
            }
        }
    }

    pub(super) fn reply(&mut self, ticket: ClientTicket, reply: ControlReply) {
        self.actions.push(ControlAction::Reply { ticket, reply });
    }
}

pub(super) fn unavailable(text: &'static str) -> ControlReply {
    ControlReply::Unavailable(SmolStr::new_static(text))
}
