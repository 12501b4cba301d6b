//! Backoff periods that backend servers request when they reject requests.

use std::time::Duration;

use crate::ids::MonoTime;

/// Upper bound of a pause. Longer ones outlive any process and could overflow
/// the time arithmetic.
const MAX_PAUSE: Duration = Duration::from_secs(366 * 24 * 3600);

/// A period during which no requests are sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedPause {
    until: MonoTime,
    requested: Duration,
}

impl RequestedPause {
    /// Creates a pause that starts now and lasts as long as requested, up to
    /// the upper bound.
    pub fn new(now: MonoTime, requested: Duration) -> Self {
        let requested = requested.min(MAX_PAUSE);
        let until = now + requested;
        Self { until, requested }
    }

    /// Returns the time at which the pause ends.
    pub fn until(self) -> MonoTime {
        self.until
    }

    /// Returns the requested length of the pause.
    pub fn requested(self) -> Duration {
        self.requested
    }

    /// Returns whether this pause ends later than `other`.
    pub fn ends_after(self, other: Self) -> bool {
        self.until > other.until
    }

    /// Returns whether the pause has ended.
    pub fn is_over(self, now: MonoTime) -> bool {
        self.until <= now
    }

    /// Returns the jitter that is added to the end of the pause before a caller
    /// retries, from a random number in [0, 1) drawn for that caller.
    ///
    /// Retries are spread over a period as long as the pause, so callers return
    /// no faster than they arrived. Without jitter all of them would retry at
    /// the moment the pause ends.
    pub fn jitter(self, random: f64) -> Duration {
        self.requested.mul_f64(random)
    }
}
