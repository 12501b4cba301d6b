//! Simulation steps: delivery of queued events and execution of actions.

use std::time::Duration;

use rand::RngExt;
use sesamebeam_core::{
    ids::NodeId,
    replica::{
        ReplicaAction,
        ReplicaBody,
        ReplicaEvent,
        ReplicaMessage,
        Role, //
    },
};

use super::{
    Net,
    QueuedEvent, //
};

/// Maximum number of steps at one point in time; more indicate an endless loop.
const MAX_STEPS_PER_INSTANT: u64 = 10_000;

/// Maximum number of queued events; more indicate multiplying responses.
const MAX_QUEUED_MESSAGES: usize = 20_000;

impl Net {
    /// Executes the next event that is due by `until`. Returns whether there was
    /// one.
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
        self.advance_time(at);
        if message_at == Some(at) {
            self.deliver();
        } else if let Some((_, id)) = wake {
            self.event(id, ReplicaEvent::Tick);
        }
        true
    }

    /// Advances the time to that of the next step; panics if too many steps occur
    /// at the same time.
    fn advance_time(&mut self, at: Duration) {
        self.steps = if at > self.now { 0 } else { self.steps + 1 };
        self.now = self.now.max(at);
        assert!(
            self.steps < MAX_STEPS_PER_INSTANT,
            "too many steps at {at:?}"
        );
    }

    /// Returns the next wake-up time and the replica it belongs to.
    fn next_wake(&self) -> Option<(Duration, NodeId)> {
        let wakes = self.nodes.iter().filter_map(|(&id, node)| {
            let wake = node.replica.as_ref()?.next_wake();
            // Rounded up, so that the replica's own clock has reached the wake-up
            // time.
            let at = wake.div_f64(node.rate) + Duration::from_nanos(2);
            Some((at.max(self.now), id))
        });
        wakes.min()
    }

    /// Delivers the first queued event.
    fn deliver(&mut self) {
        let Some((_, queued)) = self.queue.pop_first() else {
            return;
        };
        match queued {
            QueuedEvent::Message(from, to, message) => {
                let listener = self.listener(to);
                if !self.cut_links.contains(&(from, listener)) {
                    self.event(listener, ReplicaEvent::Message { from, message });
                }
            }
            QueuedEvent::Synced(id, start_count, write) => {
                let node = self.nodes.get_mut(&id).unwrap();
                if node.start_count != start_count || node.replica.is_none() {
                    return;
                }
                if let Some((_, ops)) = node.unsynced.take_if(|(w, _)| *w == write) {
                    node.disk.write(&ops);
                    self.event(id, ReplicaEvent::Synced { write });
                }
            }
        }
    }

    /// Performs actions.
    pub(super) fn perform(&mut self, id: NodeId, actions: Vec<ReplicaAction>) {
        for action in actions {
            match action {
                ReplicaAction::Send { to, message } => self.send(id, to, message),
                ReplicaAction::Write { write, ops } => {
                    let node = self.nodes.get_mut(&id).unwrap();
                    assert!(node.unsynced.is_none(), "two writes in flight");
                    node.unsynced = Some((write, ops));
                    let start_count = node.start_count;
                    let sync = self.slow_disks.get(&id).copied();
                    let at = self.now + sync.unwrap_or(self.conditions.sync);
                    self.enqueue(at, QueuedEvent::Synced(id, start_count, write));
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

    /// Sends a message, subject to loss, duplication and delay.
    fn send(&mut self, from: NodeId, to: NodeId, message: ReplicaMessage) {
        self.sent += 1;
        let copies = 1 + u64::from(self.rng.random_bool(self.conditions.duplicate));
        for _ in 0..copies {
            if self.rng.random_bool(self.conditions.loss) {
                continue;
            }
            let jitter = self.conditions.jitter.mul_f64(self.rng.random::<f64>());
            let mut at = self.now + self.conditions.delay + jitter;
            let listener = self.listener(to);
            if let ReplicaBody::AppendRequest { entries, .. } = &message.body {
                let free_at = self.received_at.entry(listener).or_default();
                at = at.max(*free_at) + self.conditions.receive * entries.len() as u32;
                *free_at = at;
            }
            self.enqueue(at, QueuedEvent::Message(from, to, message.clone()));
        }
    }

    /// Returns the replica that listens at the address of another, or that itself.
    fn listener(&self, to: NodeId) -> NodeId {
        self.taken_over.get(&to).copied().unwrap_or(to)
    }

    /// Adds an event to the queue.
    fn enqueue(&mut self, at: Duration, queued: QueuedEvent) {
        self.next_event += 1;
        self.queue.insert((at, self.next_event), queued);
        assert!(
            self.queue.len() < MAX_QUEUED_MESSAGES,
            "too many queued events"
        );
    }
}
