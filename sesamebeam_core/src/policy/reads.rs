//! First requests of connections that were taken and have not been read whole.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    connections::Patience,
    queue_delay::{
        QueueDelay,
        Window, //
    },
};
use crate::ids::MonoTime;

/// Identifies a request that is being read, in the order in which their connections were taken.
pub type ReadId = u64;

/// Share of the longest wait of callers that the fastest requests may take while they share a
/// full link.
const DELAY_SHARE: u32 = 8;

/// Requests that are being read.
#[derive(Debug)]
pub struct Reads {
    /// When the connections were taken whose requests are being read.
    reading: BTreeMap<ReadId, MonoTime>,
    next_id: ReadId,
    max_wait: Duration,
    delay: QueueDelay,
}

impl Default for Reads {
    fn default() -> Self {
        let max_wait = Patience::default().max_wait();
        Self {
            reading: BTreeMap::new(),
            next_id: 0,
            max_wait,
            delay: QueueDelay::new(max_wait / (DELAY_SHARE / 2)),
        }
    }
}

impl Reads {
    /// Sets how long callers wait for their requests to be read.
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.max_wait = max_wait;
    }

    /// Records that a connection was taken.
    pub fn begin(&mut self, now: MonoTime) -> ReadId {
        self.next_id += 1;
        self.reading.insert(self.next_id, now);
        self.next_id
    }

    /// Records that a request was read whole, `took` after its connection was taken. Returns
    /// what was seen in the window that ends with it.
    pub fn record_whole(&mut self, now: MonoTime, id: ReadId, took: Duration) -> Option<Window> {
        self.record_gone(id);
        self.delay.record(now, took)
    }

    /// Records that a request will not be read.
    pub fn record_gone(&mut self, id: ReadId) {
        self.reading.remove(&id);
    }

    /// Returns how many requests are being read.
    pub fn len(&self) -> usize {
        self.reading.len()
    }

    /// Returns whether no request is being read.
    pub fn is_empty(&self) -> bool {
        self.reading.is_empty()
    }

    /// Returns by how much the fastest requests may be late.
    pub fn max_delay(&self) -> Duration {
        self.max_wait / DELAY_SHARE
    }
}
