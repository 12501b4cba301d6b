//! Actions of the replica of the log, taken up one by one.

use std::collections::VecDeque;

use crate::{
    control::{
        ControlCore,
        clients::{
            Waiting,
            reply_of,
            reply_to_rejected, //
        },
        leader::Lead,
        message::{
            ControlAction,
            ControlNotice,
            StopCause, //
        },
    },
    ids::LogIndex,
    message::{
        command::Command,
        control::{
            ControlReply,
            LeaderHint, //
        },
        wire,
    },
    replica::{
        ReplicaAction,
        ReplicaEvent,
        Role,
        Ticket, //
    },
    state::State,
};

impl ControlCore {
    pub(super) fn take_up(&mut self, actions: Vec<ReplicaAction>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let more = self.take_up_one(action);
            // In front: what a snapshot gives belongs before later actions.
            more.into_iter().rev().for_each(|a| queue.push_front(a));
        }
    }

    fn take_up_one(&mut self, action: ReplicaAction) -> Vec<ReplicaAction> {
        match action {
            ReplicaAction::Send { to, message } => {
                self.actions.push(ControlAction::Send { to, message });
            }
            ReplicaAction::Write { write, ops } => {
                self.actions.push(ControlAction::Write { write, ops });
            }
            ReplicaAction::Apply {
                index,
                ticket,
                data,
            } => self.apply(index, ticket, &data),
            ReplicaAction::Rejected { ticket, reason } => {
                if let Some(waiting) = self.clients.take(ticket) {
                    let hint = self.leader_hint();
                    self.reject(waiting, reply_to_rejected(reason, hint));
                }
            }
            ReplicaAction::ReadReady { ticket } => self.read(ticket),
            ReplicaAction::Changed { ticket } => {
                if let Some(client) = self.clients.take(ticket).and_then(|w| w.client()) {
                    self.reply(client, ControlReply::Done);
                }
            }
            ReplicaAction::TakeSnapshot { index } => {
                let data = self.state.snapshot();
                let event = ReplicaEvent::Snapshot { index, data };
                return self.replica.handle(self.now, event);
            }
            ReplicaAction::Restore { index, data } => self.restore(index, &data),
            ReplicaAction::Role(role) => self.change_role(role),
            ReplicaAction::Members(members) => {
                self.actions.push(ControlAction::Members(members));
            }
        }
        Vec::new()
    }

    fn change_role(&mut self, role: Role) {
        self.notice(ControlNotice::Role(role));
        if role != Role::Leader {
            self.lead = None;
            let reply = ControlReply::NotLeader(self.leader_hint());
            for ticket in self.polls.take_all() {
                self.reply(ticket, reply.clone());
            }
        } else if self.lead.is_none() && !self.stopped {
            self.lead = Some(Lead::new(self.now));
        }
    }

    pub(super) fn leader_hint(&self) -> Option<LeaderHint> {
        let node = self.replica.leader()?;
        let addr = self.replica.members().get(node).and_then(|m| m.addr);
        Some(LeaderHint { node, addr })
    }

    fn apply(&mut self, index: LogIndex, ticket: Option<Ticket>, data: &[u8]) {
        if self.stopped {
            return;
        }
        let Ok(command) = wire::decode::<Command>(data) else {
            self.stop(StopCause::Command(index));
            return;
        };
        let outcome = self.state.apply(index, &command);
        self.windows.note(index, self.now);
        self.notice_changes();
        match ticket.and_then(|ticket| self.clients.take(ticket)) {
            Some(Waiting::Own(_)) => self.carry_out(outcome),
            Some(Waiting::Claim(client, key)) => {
                let reply = self.claim_reply(&key, outcome);
                self.reply(client, reply);
            }
            Some(Waiting::Write(client) | Waiting::Read(client, _)) => {
                self.reply(client, reply_of(outcome));
            }
            None => {}
        }
    }

    fn restore(&mut self, index: LogIndex, data: &[u8]) {
        let Ok(state) = State::restore(data) else {
            self.stop(StopCause::Snapshot(index));
            return;
        };
        self.state = state;
        self.state.faults = self.cfg.faults;
        self.windows.note(index, self.now);
    }

    fn stop(&mut self, cause: StopCause) {
        self.stopped = true;
        self.lead = None;
        self.notice(ControlNotice::Stopped(cause));
    }
}
