//! First requests of connections that were taken and have not been read whole.
//!
//! A connection whose bytes have not come needs no processor time, so that the pace at which
//! connections are taken says nothing about a full link. There, all requests share the
//! link and are late together. Here the number that is read at a time is bounded once even the
//! fastest are late, to what is read within a short wait at the pace at which requests are
//! read meanwhile.

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

/// Share of that wait that they may take until the link has been full for so long that its
/// queue only adds delay.
const BURST_DELAY_SHARE: u32 = 2;

/// Requests that may be read at a time beside as many as were read of late within the longest
/// wait, while it is not known whether the link is full.
const MAX_BURST: f64 = 64.0;

/// Fewest requests that are read at a time.
const MIN_READING: f64 = 2.0;

/// Factor by which the bound rises with each window in which it held requests off needlessly.
const GROWTH: f64 = 1.25;

/// Requests that are being read.
#[derive(Debug)]
pub struct Reads {
    /// When the connections were taken whose requests are being read, without those that take
    /// longer than callers wait: these are slow by themselves.
    reading: BTreeMap<ReadId, MonoTime>,
    next_id: ReadId,
    max_wait: Duration,
    delay: QueueDelay,
    /// Most connections that were waiting or being read in this window.
    peak: usize,
    /// Most that may be, while the link is full.
    limit: Option<f64>,
    /// Since when it has been full, and when that was seen last.
    full_since: MonoTime,
    full_at: MonoTime,
    /// Requests that are read a second.
    rate: f64,
}

impl Default for Reads {
    fn default() -> Self {
        let max_wait = Patience::default().max_wait();
        Self {
            reading: BTreeMap::new(),
            next_id: 0,
            max_wait,
            delay: QueueDelay::new(max_wait / (DELAY_SHARE / 2)),
            peak: 0,
            limit: None,
            full_since: MonoTime::ZERO,
            full_at: MonoTime::ZERO,
            rate: 0.0,
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
        let window = self.delay.record(now, took)?;
        self.adapt(now, window);
        Some(window)
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

    /// Returns how many connections may be waiting or being read, if the link is full.
    pub fn limit(&self) -> Option<usize> {
        self.limit.map(|limit| limit as usize)
    }

    /// Returns whether the fastest requests are late, as the link is full.
    pub fn is_link_full(&self, now: MonoTime) -> bool {
        self.limit.is_some() && now.saturating_sub(self.full_at) < self.max_wait * 2
    }

    /// Returns which part of the connections that may be waiting or being read are, if this
    /// many wait.
    pub fn filled(&mut self, now: MonoTime, waiting: usize) -> f64 {
        if !self.is_link_full(now) {
            self.limit = None;
        }
        let counted_for = match self.limit {
            Some(_) => self.max_wait * 2,
            None => self.max_wait,
        };
        let oldest = now.saturating_sub(counted_for);
        while let Some(first) = self.reading.first_entry()
            && *first.get() < oldest
        {
            first.remove();
        }
        let occupied = waiting + self.reading.len();
        self.peak = self.peak.max(occupied);
        match self.limit {
            Some(limit) => occupied as f64 / limit,
            None => {
                let most = MAX_BURST + self.rate * self.max_wait.as_secs_f64();
                self.reading.len() as f64 / most
            }
        }
    }

    fn adapt(&mut self, now: MonoTime, window: Window) {
        let max_delay = self.max_wait / DELAY_SHARE;
        let peak = std::mem::take(&mut self.peak);
        self.rate = window.rate();
        if window.delay > max_delay {
            if self.limit.is_none() {
                self.full_since = now;
            }
            let is_standing = now.saturating_sub(self.full_since) > self.max_wait;
            let delay = match is_standing {
                true => max_delay,
                false => self.max_wait / BURST_DELAY_SHARE,
            };
            let limit = self.rate * delay.as_secs_f64();
            self.limit = Some(limit.max(MIN_READING));
            self.full_at = now;
        } else if let Some(limit) = self.limit {
            let is_used = peak as f64 >= limit / 2.0;
            self.limit = is_used.then_some(limit * GROWTH);
        }
    }
}
