//! Growing pauses before something that could not be reached is tried again.

use std::time::Duration;

use crate::ids::MonoTime;

/// First pause: some hundred round trips within a region.
const FIRST: Duration = Duration::from_millis(250);

/// A pause; each is twice as long as the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Pause {
    until: MonoTime,
    length: Duration,
}

impl Pause {
    /// Starts the next one, no longer than `longest`.
    pub(super) fn lengthen(&mut self, now: MonoTime, longest: Duration) {
        self.length = (self.length * 2).clamp(FIRST, longest);
        self.until = now + self.length;
    }

    /// Has it last for some time from now at least.
    pub(super) fn at_least(&mut self, now: MonoTime, length: Duration) {
        self.until = self.until.max(now + length);
    }

    /// Returns whether it is over.
    pub(super) fn is_over(&self, now: MonoTime) -> bool {
        self.until <= now
    }
}
