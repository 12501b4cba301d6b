//! The clock of a control replica.

use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};
use sesamebeam_core::ids::MonoTime;

/// A clock that goes on while the instance is suspended.
///
/// The monotonic clock stands still meanwhile: a leader that wakes up would
/// believe in a lease that ended while another was elected, and answer reads
/// from an old state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts at zero.
    pub(super) fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the start.
    pub(super) fn now(&self) -> MonoTime {
        boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Both parts are in range: the clock counts from boot.
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
