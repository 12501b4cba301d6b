//! What the link of an instance bears of callers' requests.
//!
//! While it is full, connections are turned away first, which costs nothing and leaves their
//! callers free to go elsewhere. Where requests on open connections fill it by themselves, a
//! part of these is refused too.

use std::time::Duration;

use super::{
    link_rate::LinkRate,
    queue_delay::Window,
    reads::Reads,
    round_trips::RoundTrips, //
};
use crate::ids::MonoTime;

/// Windows in which fewer new connections would not have ended the delay before further requests
/// on open ones are limited.
const MIN_WINDOWS_IN_VAIN: u32 = 2;

/// Share of the further requests below which new connections do not matter.
const FEW_CONNECTIONS: f64 = 0.25;

/// Multiple of the allowed delay for which round trips have no answer when no further request
/// is taken on: the delay is that long already, and is told only once they end.
const STOPPED_AFTER: u32 = 4;

/// Longest time after which a lower rate must show.
const MAX_PASSED_IN: Duration = Duration::from_secs(1);

/// Load of the link: what is read from callers now, and the delay of all that passes.
#[derive(Debug, Default)]
pub struct LinkLoad {
    /// First requests of connections that are being read.
    pub reads: Reads,
    round_trips: RoundTrips,
    /// Rates of new connections, and of further requests on open ones.
    accepts: LinkRate,
    further: LinkRate,
    /// Delay in the window before.
    last_delay: Duration,
    /// Windows in which fewer new connections would not have ended the delay.
    windows_in_vain: u32,
    /// Whether no further request is taken on, until round trips have answers again.
    is_stopped: bool,
}

impl LinkLoad {
    /// Sets how long callers wait for their requests to be read.
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.reads.set_max_wait(max_wait);
        self.round_trips.set_max_wait(max_wait);
    }

    /// Records that a connection was accepted.
    pub fn record_accepted(&mut self, now: MonoTime) {
        self.round_trips.record_taken();
        self.accepts.record_taken(now);
    }

    /// Returns whether a further request on an open connection may be taken on, and records it
    /// if so.
    pub fn take_further(&mut self, now: MonoTime) -> bool {
        self.update_stop(now);
        let is_taken = !self.is_stopped && self.further.filled(now) < 1.0;
        if is_taken {
            self.round_trips.record_taken();
            self.further.record_taken(now);
        }
        is_taken
    }

    /// Stops further requests while they fill the link and round trips have no answer. Their rate
    /// is limited as they are stopped, for when they go on.
    fn update_stop(&mut self, now: MonoTime) {
        let stopped_after = self.round_trips.max_delay() * STOPPED_AFTER;
        let is_unanswered = self.round_trips.is_unanswered_for(now, stopped_after);
        let was_stopped = self.is_stopped;
        self.is_stopped = is_unanswered && (was_stopped || self.is_filled_by_further(now));
        if self.is_stopped && !was_stopped {
            self.limit_further(now, 0.0, self.delay(now));
        }
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
            self.further.lift();
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
        self.adapt(now, window);
        Some(window)
    }

    /// Adapts the rates to the delay in a window. A queue that shrinks needs time alone.
    fn adapt(&mut self, now: MonoTime, window: Window) {
        let max_delay = self.round_trips.max_delay();
        let shrinks = window.delay < std::mem::replace(&mut self.last_delay, window.delay);
        if window.delay > max_delay {
            if shrinks {
                return;
            }
            let factor = max_delay.div_duration_f64(window.delay);
            let is_settled = !has_fallen_lately(&self.accepts, now, window.delay);
            let in_vain = self.accepts.is_least() && is_settled || self.is_filled_by_further(now);
            self.windows_in_vain = if in_vain { self.windows_in_vain + 1 } else { 0 };
            self.accepts.fall(now, factor);
            if self.windows_in_vain >= MIN_WINDOWS_IN_VAIN {
                self.limit_further(now, factor, window.delay);
            }
        } else if window.delay < max_delay / 2 {
            self.windows_in_vain = 0;
            // Callers with open connections come first.
            match self.further.limit() {
                Some(_) => self.further.rise(now),
                None => self.accepts.rise(now),
            }
        }
    }

    /// Limits further requests, once the queue from before their rate fell last has passed.
    fn limit_further(&mut self, now: MonoTime, factor: f64, delay: Duration) {
        if !has_fallen_lately(&self.further, now, delay) {
            self.further.fall(now, factor);
        }
    }

    /// Returns whether requests on open connections fill the link by themselves.
    fn is_filled_by_further(&mut self, now: MonoTime) -> bool {
        let accepted = self.accepts.unlimited_rate(now);
        accepted < self.further.unlimited_rate(now) * FEW_CONNECTIONS
    }

    /// Returns by how much round trips are longer than without load.
    pub fn delay(&self, now: MonoTime) -> Duration {
        self.round_trips.delay(now)
    }

    /// Returns the rate to which new connections are limited, a second.
    pub fn accept_limit(&self) -> Option<f64> {
        self.accepts.limit()
    }

    /// Returns the rate to which further requests on open connections are limited, a second.
    pub fn further_limit(&self) -> Option<f64> {
        self.further.limit()
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

/// Returns whether a rate has fallen so lately that the queue from before may not have passed.
fn has_fallen_lately(rate: &LinkRate, now: MonoTime, delay: Duration) -> bool {
    let passed_in = (delay * 2).min(MAX_PASSED_IN);
    rate.has_fallen_since(now.saturating_sub(passed_in))
}
