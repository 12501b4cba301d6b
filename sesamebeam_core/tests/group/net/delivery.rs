//! Steps: what is on its way arrives, and actions are carried out.

use std::time::Duration;

use rand::RngExt;
use sesamebeam_core::{
    ids::NodeId,
    replica::{
        ReplicaAction,
        ReplicaEvent,
        ReplicaMessage,
        Role, //
    },
};

use super::{
    Coming,
    Net, //
};

/// Steps at one instant that only an endless loop takes.
const STEPS_AN_INSTANT: u64 = 10_000;

/// Messages on their way that only answers which multiply make.
const MESSAGES_ON_THE_WAY: usize = 20_000;

impl Net {
    /// Carries out the next thing that happens before `until`.
    pub(crate) fn step(&mut self, until: Duration) -> bool {
        let message_at = self.queue.first_key_value().map(|((at, _), _)| *at);
        let wake = self.next_wake();
        let at = [message_at, wake.map(|(at, _)| at)]
            .into_iter()
            .flatten()
            .min();
        let Some(at) = at.filter(|&at| at <= until) else {
            return false;
        };
        self.note_instant(at);
        if message_at == Some(at) {
            self.deliver();
        } else if let Some((_, id)) = wake {
            self.event(id, ReplicaEvent::Tick);
        }
        true
    }

    /// Moves on to the time of the next step, and fails if time stands still
    /// while steps go on.
    fn note_instant(&mut self, at: Duration) {
        self.steps = if at > self.now { 0 } else { self.steps + 1 };
        self.now = self.now.max(at);
        assert!(self.steps < STEPS_AN_INSTANT, "no end of steps at {at:?}");
    }

    /// Returns the first replica that wants to be woken, and when.
    fn next_wake(&self) -> Option<(Duration, NodeId)> {
        let wakes = self.nodes.iter().filter_map(|(&id, node)| {
            let wake = node.replica.as_ref()?.next_wake();
            // Rounded up, so that the replica's own clock has got there.
            let at = wake.div_f64(node.rate) + Duration::from_nanos(2);
            Some((at.max(self.now), id))
        });
        wakes.min()
    }

    /// Hands over the first of what is on its way.
    fn deliver(&mut self) {
        let Some((_, coming)) = self.queue.pop_first() else {
            return;
        };
        match coming {
            Coming::Message(from, to, message) => {
                if !self.cut.contains(&(from, to)) {
                    self.event(to, ReplicaEvent::Message { from, message });
                }
            }
            Coming::Synced(id, life, write) => {
                let node = self.nodes.get_mut(&id).unwrap();
                if node.life != life || node.replica.is_none() {
                    return;
                }
                if let Some((_, ops)) = node.unsynced.take_if(|(w, _)| *w == write) {
                    node.disk.write(&ops);
                    self.event(id, ReplicaEvent::Synced { write });
                }
            }
        }
    }

    /// Carries out actions.
    pub(super) fn act(&mut self, id: NodeId, actions: Vec<ReplicaAction>) {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => self.post(id, to, message),
                ReplicaAction::Write { write, ops } => {
                    let node = self.nodes.get_mut(&id).unwrap();
                    assert!(node.unsynced.is_none(), "two writes in flight");
                    node.unsynced = Some((write, ops));
                    let life = node.life;
                    let at = self.now + self.weather.sync;
                    self.enqueue(at, Coming::Synced(id, life, write));
                }
                ReplicaAction::Apply {
                    index,
                    ticket,
                    data,
                } => self.apply(id, index, ticket, data),
                ReplicaAction::Rejected { ticket, reason } => {
                    self.rejected.insert(ticket, reason);
                }
                ReplicaAction::ReadReady { ticket } => self.finish_read(id, ticket),
                ReplicaAction::Changed { ticket } => {
                    self.changed.insert(ticket);
                }
                ReplicaAction::TakeSnapshot { index } => {
                    let data = postcard::to_stdvec(&self.nodes[&id].state).unwrap();
                    self.event(id, ReplicaEvent::Snapshot { index, data });
                }
                ReplicaAction::Restore { index, data } => {
                    let node = self.nodes.get_mut(&id).unwrap();
                    node.state = postcard::from_bytes(&data).unwrap();
                    node.applied = index;
                    node.restored += 1;
                }
                ReplicaAction::Role(role) => {
                    self.leader_changes += u64::from(role == Role::Leader);
                }
                ReplicaAction::Members(_) => {}
            }
        }
    }

    /// Puts a message on its way.
    fn post(&mut self, from: NodeId, to: NodeId, message: ReplicaMessage) {
        self.sent += 1;
        let copies = 1 + u64::from(self.rng.random_bool(self.weather.doubled));
        for _ in 0..copies {
            if self.rng.random_bool(self.weather.loss) {
                continue;
            }
            let jitter = self.weather.jitter.mul_f64(self.rng.random::<f64>());
            let at = self.now + self.weather.delay + jitter;
            self.enqueue(at, Coming::Message(from, to, message.clone()));
        }
    }

    /// Puts something in the queue.
    fn enqueue(&mut self, at: Duration, coming: Coming) {
        self.next += 1;
        self.queue.insert((at, self.next), coming);
        assert!(self.queue.len() < MESSAGES_ON_THE_WAY, "messages multiply");
    }
}
