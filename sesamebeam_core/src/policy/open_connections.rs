//! Bound on the connections that clients keep open.
//!
//! One that comes when there are too many takes the place of the one that has waited for the
//! longest time without a whole request: it is idle, or its client sends slowly.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::ids::MonoTime;

/// Identifies a connection.
pub type ConnectionId = u64;

/// Whether there is room for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is open.
    Open {
        /// Its id.
        id: ConnectionId,
        /// Connection that must be closed for it.
        closes: Option<ConnectionId>,
    },
    /// All others have requests that may be running.
    Full,
}

/// The open connections of a listener.
#[derive(Clone, Debug)]
pub struct OpenConnections {
    limit: usize,
    /// Connections without a whole request, by the time since when.
    waiting: BTreeSet<(MonoTime, ConnectionId)>,
    /// Since when each connection waits; none of those with requests in progress.
    open: BTreeMap<ConnectionId, Option<MonoTime>>,
    next: ConnectionId,
}

impl OpenConnections {
    /// Creates a bound; at least one connection may be open.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            waiting: BTreeSet::new(),
            open: BTreeMap::new(),
            next: 0,
        }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds a connection if there is room, or can be made.
    pub fn add(&mut self, now: MonoTime) -> Admission {
        let mut closes = None;
        if self.open.len() >= self.limit {
            let Some((_, longest)) = self.waiting.pop_first() else {
                return Admission::Full;
            };
            self.open.remove(&longest);
            closes = Some(longest);
        }
        let id = self.next;
        self.next += 1;
        self.waiting.insert((now, id));
        self.open.insert(id, Some(now));
        Admission::Open { id, closes }
    }

    /// Records that a whole request was read.
    pub fn begin_request(&mut self, id: ConnectionId) {
        if let Some(since) = self.open.get_mut(&id)
            && let Some(since) = since.take()
        {
            self.waiting.remove(&(since, id));
        }
    }

    /// Records that the request in progress has ended.
    pub fn end_request(&mut self, now: MonoTime, id: ConnectionId) {
        if let Some(since) = self.open.get_mut(&id)
            && since.is_none()
        {
            *since = Some(now);
            self.waiting.insert((now, id));
        }
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(Some(since)) = self.open.remove(&id) {
            self.waiting.remove(&(since, id));
        }
    }
}
