//! Work that an engine has left.
//!
//! This entry knows its own sends exactly. Of others it knows what the engine stated when
//! it last responded to any entry. That work is taken as done at the rate at which an
//! engine does it, because a longer-lived estimate would keep requests away from engines
//! that are idle again, and a shorter one would send them to engines that are still busy.

use std::time::Duration;

use crate::ids::MonoTime;

/// Largest number of running or waiting requests of others that is considered. Engines
/// state these numbers.
const MAX_REQUESTS: u32 = 100_000;

/// Time for which a stated queue is taken to exist. Loads are passed on several times in it.
const QUEUE_LIFETIME: Duration = Duration::from_secs(1);

/// Load that an engine stated.
#[derive(Clone, Copy, Debug)]
struct StatedLoad {
    /// Requests of other entries that run.
    running: f64,
    /// Requests of other entries that wait.
    waiting: f64,
    /// Prefill time of long prompts that other entries have reported.
    long_prefill: Duration,
    /// When the statement arrived.
    at: MonoTime,
}

/// Work left at one engine. Durations are wall-clock time at that engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Work {
    /// Own requests that have not ended.
    in_flight: u32,
    /// Own requests without a first event.
    unstarted: u32,
    /// Prefill time of own requests without a first event.
    own_prefill: Duration,
    /// When the engine will have done it.
    own_prefill_until: MonoTime,
    stated: Option<StatedLoad>,
}

impl Work {
    /// Records a send with its prefill time.
    pub(super) fn sent(&mut self, now: MonoTime, prefill: Duration) {
        self.in_flight += 1;
        self.unstarted += 1;
        self.own_prefill += prefill;
        self.own_prefill_until = self.own_prefill_until.max(now) + prefill;
    }

    /// Records the first event of a send, or its end before that.
    pub(super) fn started(&mut self, now: MonoTime, prefill: Duration) {
        self.unstarted = self.unstarted.saturating_sub(1);
        self.own_prefill = match self.unstarted {
            0 => Duration::ZERO,
            _ => self.own_prefill.saturating_sub(prefill),
        };
        self.own_prefill_until = now + self.own_prefill;
    }

    /// Records the end of a send that has started.
    pub(super) fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the load stated in a response to this entry or to another one.
    pub(super) fn stated(
        &mut self,
        now: MonoTime,
        running: u32,
        waiting: u32,
        long_prefill: Duration,
    ) {
        let own_running = self.in_flight.saturating_sub(self.unstarted);
        self.stated = Some(StatedLoad {
            running: f64::from(running.saturating_sub(own_running).min(MAX_REQUESTS)),
            waiting: f64::from(waiting.saturating_sub(self.unstarted).min(MAX_REQUESTS)),
            long_prefill,
            at: now,
        });
    }

    /// Returns whether own requests run or wait there.
    pub(super) fn has_own(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns whether the engine has stated its load.
    pub(super) fn is_stated(&self) -> bool {
        self.stated.is_some()
    }

    /// Returns how many of the own requests are expected to end within `wait`, if each
    /// slot completes one in `mean_duration`.
    pub(super) fn own_ended_after(
        &self,
        wait: Duration,
        mean_duration: Duration,
        slots: f64,
    ) -> f64 {
        let rounds = wait.as_secs_f64() / mean_duration.as_secs_f64().max(0.001);
        (rounds * slots).min(f64::from(self.in_flight))
    }

    /// Returns the time that the engine still needs for prompts that were sent to it, if a
    /// request of others needs `mean_prefill` on average.
    pub(super) fn prefill_left(&self, now: MonoTime, mean_prefill: Duration) -> Duration {
        let own = self.own_prefill_until.saturating_sub(now);
        let others = self.stated.map_or(Duration::ZERO, |stated| {
            if stated.waiting == 0.0 && stated.long_prefill.is_zero() {
                return Duration::ZERO;
            }
            let waiting = mean_prefill.mul_f64(stated.waiting);
            let age = now.saturating_sub(stated.at);
            waiting.max(stated.long_prefill).saturating_sub(age)
        });
        own + others
    }

    /// Returns whether requests of others waited there when it last stated its load, unless
    /// that was too long ago.
    pub(super) fn has_queue(&self, now: MonoTime) -> bool {
        let recent = |s: &StatedLoad| now < s.at + QUEUE_LIFETIME;
        self.stated.filter(recent).is_some_and(|s| s.waiting >= 1.0)
    }

    /// Returns the expected number of requests that run or wait, if a stream takes
    /// `mean_duration` on average.
    pub(super) fn requests(&self, now: MonoTime, mean_duration: Duration) -> f64 {
        let others = self.stated.map_or(0.0, |stated| {
            let age = now.saturating_sub(stated.at).as_secs_f64();
            let left = 1.0 - age / mean_duration.as_secs_f64().max(0.001);
            (stated.running + stated.waiting) * left.max(0.0)
        });
        f64::from(self.in_flight) + others
    }
}
