//! Clock of a control replica.

use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};
use sesamebeam_core::ids::MonoTime;

/// A monotonic clock that includes the time during which the instance is suspended.
///
/// `CLOCK_MONOTONIC` stops during suspension: a resumed leader would rely on a lease that
/// expired while another leader was elected, and serve reads from outdated state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub(super) fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the clock was created.
    pub(super) fn now(&self) -> MonoTime {
        boot_time().saturating_sub(self.start)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // Both fields are non-negative and in range, since the clock counts from boot.
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
