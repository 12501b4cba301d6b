//! Round trips to other instances.
//!
//! They pass the link of the instance in both directions, and tell its delay whatever fills it.

use std::time::Duration;

use super::{
    connections::Patience,
    queue_delay::{
        QueueDelay,
        Window, //
    },
};
use crate::ids::MonoTime;

/// Least time over which a delay is estimated.
const WINDOW: Duration = Duration::from_millis(250);

/// Share of the longest wait of callers that a round trip may take longer than without load.
const DELAY_SHARE: u32 = 4;

/// Longest that it may in any case: half of the time in which connections to backend servers are
/// established, which pass the link too.
const MAX_ALLOWED: Duration = Duration::from_millis(125);

/// Connections after which the round trip is measured again, and the time for which it is not
/// measured more often than needed.
const ACCEPTED_PER_PROBE: u32 = 16;
const PROBE_INTERVAL: Duration = Duration::from_millis(90);

/// Round trips to other instances, and the delay that they tell.
#[derive(Debug)]
pub struct RoundTrips {
    max_delay: Duration,
    delay: QueueDelay,
    /// Connections accepted since the round trip was measured last, and when.
    unprobed: u32,
    probed_at: MonoTime,
    /// Whether anything was late since then.
    is_late: bool,
}

impl Default for RoundTrips {
    fn default() -> Self {
        Self {
            max_delay: allowed_delay(Patience::default().max_wait()),
            delay: QueueDelay::new(WINDOW),
            unprobed: 0,
            probed_at: MonoTime::ZERO,
            is_late: false,
        }
    }
}

impl RoundTrips {
    /// Sets how long callers wait for their requests to be read.
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.max_delay = allowed_delay(max_wait);
    }

    /// Returns by how much round trips may be longer than without load.
    pub fn max_delay(&self) -> Duration {
        self.max_delay
    }

    /// Records that a connection was accepted.
    pub fn record_accepted(&mut self) {
        self.unprobed += 1;
    }

    /// Records how long something took that passes the link. Only round trips tell the delay;
    /// others tell when it is worth to measure one.
    pub fn record_passed(&mut self, took: Duration) {
        self.is_late |= took > self.max_delay;
    }

    /// Returns whether the round trip should be measured now.
    pub fn take_probe(&mut self, now: MonoTime) -> bool {
        let is_due = self.unprobed >= ACCEPTED_PER_PROBE || self.is_late;
        if !is_due || now.saturating_sub(self.probed_at) < PROBE_INTERVAL {
            return false;
        }
        self.unprobed = 0;
        self.is_late = false;
        self.probed_at = now;
        true
    }

    /// Records a round trip. Returns what was seen in the window that ends with it.
    pub fn record(&mut self, now: MonoTime, began: MonoTime) -> Option<Window> {
        let took = now.saturating_sub(began);
        self.record_passed(took);
        self.delay.record(now, took)
    }
}

fn allowed_delay(max_wait: Duration) -> Duration {
    (max_wait / DELAY_SHARE).min(MAX_ALLOWED)
}
