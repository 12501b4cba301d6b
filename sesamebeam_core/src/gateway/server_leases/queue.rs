//! Requests that wait for a slot of a leased backend server, in order of arrival.

use std::collections::BTreeSet;

/// Place of a request in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// Queue of one service at one entry.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotQueue {
    next: u64,
    waiting: BTreeSet<QueueTicket>,
}

impl SlotQueue {
    /// Adds a request at the end.
    pub(super) fn join(&mut self) -> QueueTicket {
        let ticket = QueueTicket(self.next);
        self.next += 1;
        self.waiting.insert(ticket);
        ticket
    }

    /// Returns the number of requests ahead of one.
    pub(super) fn position(&self, ticket: QueueTicket) -> usize {
        self.waiting.range(..ticket).count()
    }

    /// Removes a request.
    pub(super) fn leave(&mut self, ticket: QueueTicket) {
        self.waiting.remove(&ticket);
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
