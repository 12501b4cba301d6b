//! What the link of an instance bears of new connections.

use std::time::Duration;

use super::{
    accept_rate::AcceptRate,
    queue_delay::Window,
    reads::Reads,
    round_trips::RoundTrips, //
};
use crate::ids::MonoTime;

/// Load of the link: what is read from callers now, and the delay of all that passes.
#[derive(Debug, Default)]
pub struct LinkLoad {
    /// First requests of connections that are being read.
    pub reads: Reads,
    round_trips: RoundTrips,
    accepts: AcceptRate,
}

impl LinkLoad {
    /// Sets how long callers wait for their requests to be read.
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.reads.set_max_wait(max_wait);
        self.round_trips.set_max_wait(max_wait);
    }

    /// Records that a connection was accepted.
    pub fn record_accepted(&mut self, now: MonoTime) {
        self.round_trips.record_accepted();
        self.accepts.record_accepted(now);
    }

    /// Records how long something took that passes the link.
    pub fn record_passed(&mut self, took: Duration) {
        self.round_trips.record_passed(took);
    }

    /// Records that anything that was sent at a time has been answered. An answer within the
    /// delay that is allowed ends a limit that no probe would, as none is answered.
    pub fn record_answered(&mut self, now: MonoTime, sent_at: MonoTime) {
        self.round_trips.record_answered(now, sent_at);
        let is_in_time = now.saturating_sub(sent_at) < self.round_trips.max_delay();
        if is_in_time && !self.round_trips.has_recent_answer(now) {
            self.accepts.lift();
        }
    }

    /// Returns whether the time of a round trip to another instance should be measured now.
    pub fn take_probe(&mut self, now: MonoTime) -> bool {
        let is_limited = self.accepts.limit().is_some();
        self.round_trips.take_probe(now, is_limited)
    }

    /// Records a round trip. Returns what was seen in the window that ends with it.
    pub fn record_round_trip(&mut self, now: MonoTime, began: MonoTime) -> Option<Window> {
        let window = self.round_trips.record(now, began)?;
        let max_delay = self.round_trips.max_delay();
        self.accepts.adapt(now, window, max_delay);
        Some(window)
    }

    /// Returns by how much round trips are longer than without load.
    pub fn delay(&self, now: MonoTime) -> Duration {
        self.round_trips.delay(now)
    }

    /// Returns the rate to which new connections are limited, a second.
    pub fn accept_limit(&self) -> Option<f64> {
        self.accepts.limit()
    }

    /// Returns after what time half of the connections that may be accepted at once may be.
    pub fn half_empty_in(&mut self, now: MonoTime) -> Option<Duration> {
        self.accepts.half_empty_in(now)
    }

    /// Returns whether the link is full, so that connections are turned away.
    pub fn is_full(&self, now: MonoTime) -> bool {
        self.reads.is_link_full(now) || self.accepts.limit().is_some()
    }

    /// Returns which part of the connections that may be accepted have been, if this many of
    /// them wait to be taken: from 1 on, no further one may.
    pub fn filled(&mut self, now: MonoTime, waiting: usize) -> f64 {
        let filled = self.reads.filled(now, waiting);
        let filled = filled.max(self.accepts.filled(now));
        match self.round_trips.is_rising(now) {
            true => filled.max(1.0),
            false => filled,
        }
    }
}
