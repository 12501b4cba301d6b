//! Client requests, from arrival to reply.

use smol_str::{
    SmolStr,
    ToSmolStr, //
};

use crate::{
    control::{
        ControlCore,
        message::{
            ClientTicket,
            ControlAction, //
        },
        pending::{
            LeaderTask,
            Pending,
            Query, //
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

/// Maximum number of billing entries in one reply.
const MAX_BILLS_PER_REPLY: u32 = 1000;

/// Maximum number of evidence reports in one request.
const MAX_EVIDENCE_REPORTS: usize = 256;

impl ControlCore {
    pub(super) fn handle_request(&mut self, ticket: ClientTicket, req: ControlRequest) {
        if let ControlRequest::Status = req {
            let status = Box::new(self.status(self.now));
            self.reply(ticket, ControlReply::Status(status));
            return;
        }
        if let Some(reply) = self.rejection_reply() {
            self.reply(ticket, reply);
            return;
        }
        let write = Pending::Write(ticket);
        match req {
            ControlRequest::Renew(renew) => self.renew(ticket, renew),
            ControlRequest::Claim(req) => self.claim(ticket, req),
            ControlRequest::Complete(req) => self.propose(write, &Command::Complete(req)),
            ControlRequest::Pin(req) => self.propose(write, &Command::Pin(req)),
            ControlRequest::Crash(report) => self.propose(write, &Command::Crash(report)),
            ControlRequest::Cleared(prints) => self.propose(write, &Command::Cleared(prints)),
            ControlRequest::Settle(req) => self.propose(write, &Command::Settle(req)),
            ControlRequest::Apply(change) => self.apply_change(ticket, change),
            ControlRequest::Evidence(reports) => self.record_evidence(ticket, reports),
            ControlRequest::Servers(announcements) => {
                if let Some(lead) = &mut self.lead {
                    lead.orders.record_announcements(announcements, self.now);
                }
                self.reply(ticket, ControlReply::Done);
            }
            ControlRequest::GetClaim(key) => self.query(ticket, Query::Claim(key)),
            ControlRequest::Current => self.query(ticket, Query::Fleet),
            ControlRequest::Bills { from, limit } => {
                let limit = limit.min(MAX_BILLS_PER_REPLY) as usize;
                self.query(ticket, Query::Bills(from, limit));
            }
            ControlRequest::Replace(replace) => self.replace(ticket, &replace),
            ControlRequest::Status => {}
        }
    }

    /// Returns the reply to every request except a status request while this
    /// replica cannot serve, or `None` if it can.
    fn rejection_reply(&self) -> Option<ControlReply> {
        if self.stopped {
            return Some(unavailable("this replica has stopped for good"));
        }
        let Some(lead) = &self.lead else {
            return Some(ControlReply::NotLeader(self.leader_hint()));
        };
        if lead.clock_base.is_some() && !self.leads(self.now) {
            return Some(unavailable("this leader reaches no quorum"));
        }
        let pending = self.pending.len() + self.renewals.len();
        (pending >= self.cfg.max_pending).then(|| unavailable("too many requests wait"))
    }

    /// Checks a fleet file and proposes it. A file with faults is not written to
    /// the log, since its verdict depends on the file alone. An existing verdict
    /// takes precedence, since a newer release may find faults in a file that is
    /// already in force.
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
        self.propose(Pending::Write(client), &Command::Apply(change));
    }

    /// Writes evidence reports. The log preserves their order, so the outcome of
    /// the last one confirms all of them.
    fn record_evidence(&mut self, client: ClientTicket, mut reports: Vec<Evidence>) {
        reports.truncate(MAX_EVIDENCE_REPORTS);
        let Some(last) = reports.pop() else {
            self.reply(client, ControlReply::Done);
            return;
        };
        for report in reports {
            if let Ok(data) = wire::encode(&Command::Evidence(report)) {
                let ticket = 0;
                self.step_replica(ReplicaEvent::Propose { ticket, data });
            }
        }
        self.propose(Pending::Write(client), &Command::Evidence(last));
    }

    fn replace(&mut self, client: ClientTicket, replace: &Replace) {
        let change = MemberChange::Replace {
            old: replace.old,
            new: replace.new,
            incarnation: replace.incarnation,
            addr: Some(replace.addr),
        };
        let deadline = self.now + self.cfg.client_timeout;
        let ticket = self.pending.add(deadline, Pending::Write(client));
        self.step_replica(ReplicaEvent::Change { ticket, change });
    }

    fn query(&mut self, client: ClientTicket, query: Query) {
        self.request_read(Pending::Read(client, query));
    }

    pub(super) fn request_read(&mut self, pending: Pending) {
        let deadline = self.now + self.cfg.client_timeout;
        let ticket = self.pending.add(deadline, pending);
        self.step_replica(ReplicaEvent::Read { ticket });
    }

    pub(super) fn handle_read_ready(&mut self, ticket: Ticket) {
        match self.pending.take(ticket) {
            Some(Pending::Read(client, query)) => {
                let reply = self.answer_query(query);
                self.reply(client, reply);
            }
            Some(Pending::Leader(_)) => self.start_clock(),
            Some(Pending::Write(_) | Pending::Claim(..)) | None => {}
        }
    }

    fn answer_query(&self, query: Query) -> ControlReply {
        match query {
            Query::Claim(key) => {
                let view = self.state.claim(&key).cloned();
                ControlReply::Claimed(view.map(|view| self.with_leader_knowledge(&key, view)))
            }
            Query::Fleet => ControlReply::Current {
                revision: self.state.revision(),
                fleet: Box::new(self.state.fleet().clone()),
            },
            Query::Bills(from, limit) => ControlReply::Bills(self.state.bills(from, limit)),
        }
    }

    pub(super) fn propose(&mut self, pending: Pending, command: &Command) {
        match wire::encode(command) {
            Ok(data) => {
                let deadline = self.now + self.cfg.client_timeout;
                let ticket = self.pending.add(deadline, pending);
                self.step_replica(ReplicaEvent::Propose { ticket, data });
            }
            Err(e) => self.reject(pending, ControlReply::Refused(e.to_smolstr())),
        }
    }

    pub(super) fn reject_expired(&mut self) {
        for pending in self.pending.take_expired(self.now) {
            self.reject(pending, unavailable("no quorum answered in time"));
        }
    }

    /// Ends a pending request that failed: replies to its client or cancels the
    /// task.
    pub(super) fn reject(&mut self, pending: Pending, reply: ControlReply) {
        match pending {
            Pending::Leader(LeaderTask::Order(server)) => {
                if let Some(lead) = &mut self.lead {
                    lead.orders.cancel(server);
                }
            }
            Pending::Leader(_) => {}
            Pending::Write(client) | Pending::Claim(client, _) | Pending::Read(client, _) => {
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
