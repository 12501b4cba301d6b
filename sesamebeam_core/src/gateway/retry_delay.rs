//! Exponential delay before an unreachable peer is tried again.

use std::time::Duration;

use crate::ids::MonoTime;

/// Initial delay, some hundred round trips within a region.
const INITIAL: Duration = Duration::from_millis(250);

/// A retry delay, which doubles each time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RetryDelay {
    until: MonoTime,
    length: Duration,
}

impl RetryDelay {
    /// Starts the next delay, of at most `longest`.
    pub(super) fn start_next(&mut self, now: MonoTime, longest: Duration) {
        self.length = (self.length * 2).clamp(INITIAL, longest);
        self.until = now + self.length;
    }

    /// Extends the current delay to at least `length` from now.
    pub(super) fn extend_to(&mut self, now: MonoTime, length: Duration) {
        self.until = self.until.max(now + length);
    }

    /// Returns whether the delay has passed.
    pub(super) fn is_over(&self, now: MonoTime) -> bool {
        self.until <= now
    }
}
