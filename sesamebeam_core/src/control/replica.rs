//! Processes the actions of the log replica.

use std::collections::VecDeque;

use crate::{
    control::{
        ControlCore,
        leader::Leadership,
        message::{
            ControlAction,
            ControlNotice,
            StopCause, //
        },
        pending::{
            Pending,
            reply_from_outcome,
            reply_from_rejection, //
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
    pub(super) fn process_replica_actions(&mut self, actions: Vec<ReplicaAction>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let more = self.process_replica_action(action);
            // Actions that follow from a snapshot precede the remaining ones.
            more.into_iter().rev().for_each(|a| queue.push_front(a));
        }
    }

    fn process_replica_action(&mut self, action: ReplicaAction) -> Vec<ReplicaAction> {
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
                if let Some(pending) = self.pending.take(ticket) {
                    let hint = self.leader_hint();
                    self.reject(pending, reply_from_rejection(reason, hint));
                }
            }
            ReplicaAction::ReadReady { ticket } => self.handle_read_ready(ticket),
            ReplicaAction::Changed { ticket } => {
                if let Some(client) = self.pending.take(ticket).and_then(|w| w.client()) {
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
        self.notify(ControlNotice::Role(role));
        if role != Role::Leader {
            self.lead = None;
            let reply = ControlReply::NotLeader(self.leader_hint());
            for ticket in self.renewals.take_all() {
                self.reply(ticket, reply.clone());
            }
        } else if self.lead.is_none() && !self.stopped {
            self.lead = Some(Leadership::new(self.now));
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
        self.applied_times.record(index, self.now);
        self.notify_changes();
        match ticket.and_then(|ticket| self.pending.take(ticket)) {
            Some(Pending::Leader(_)) => self.send_order(outcome),
            Some(Pending::Claim(client, key)) => {
                let reply = self.claim_reply(&key, outcome);
                self.reply(client, reply);
            }
            Some(Pending::Write(client) | Pending::Read(client, _)) => {
                self.reply(client, reply_from_outcome(outcome));
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
        self.applied_times.record(index, self.now);
    }

    fn stop(&mut self, cause: StopCause) {
        self.stopped = true;
        self.lead = None;
        self.notify(ControlNotice::Stopped(cause));
    }
}
