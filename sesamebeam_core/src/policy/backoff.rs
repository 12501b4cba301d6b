//! Pauses that backend servers ask for as they turn requests away.

use std::time::Duration;

use crate::ids::MonoTime;

/// Longest pause. Longer ones outlive any process, and times must not overflow.
const LONGEST: Duration = Duration::from_secs(366 * 24 * 3600);

/// A pause in which a backend server is sent nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedPause {
    until: MonoTime,
    asked: Duration,
}

impl RequestedPause {
    /// Begins one that lasts for as long as was asked.
    pub fn new(now: MonoTime, asked: Duration) -> Self {
        let asked = asked.min(LONGEST);
        let until = now + asked;
        Self { until, asked }
    }

    /// Returns when it is over.
    pub fn until(self) -> MonoTime {
        self.until
    }

    /// Returns how long it was asked to last.
    pub fn asked(self) -> Duration {
        self.asked
    }

    /// Returns whether it lasts longer than another.
    pub fn outlasts(self, other: Self) -> bool {
        self.until > other.until
    }

    /// Returns whether it is over.
    pub fn is_over(self, now: MonoTime) -> bool {
        self.until <= now
    }

    /// Returns by how much later than its end a caller is asked to come back, by a number
    /// in [0, 1) of its own.
    ///
    /// Spread over as long again as the pause lasts, callers come back no faster than they
    /// came. Told its end, all of them would come at that moment.
    pub fn spread(self, draw: f64) -> Duration {
        self.asked.mul_f64(draw)
    }
}
