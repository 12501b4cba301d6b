//! Rate at which connections are accepted while the link of the instance is full.
//!
//! Prompts pass the link twice and more often if a larger model is asked, and answers pass it
//! too. Which direction is full first depends on the requests, and none shows where they
//! are read. The rate falls while the delay of round trips is long and does not fall, and rises
//! again while it is short.

use std::time::Duration;

use super::queue_delay::Window;
use crate::ids::MonoTime;

/// Bounds of the factor by which the rate falls, and the factor by which it rises.
const FALL: std::ops::RangeInclusive<f64> = 0.5..=0.85;
const RISE: f64 = 1.25;

/// Share of the rate before the link was full that is always accepted.
const LEAST_SHARE: f64 = 0.1;

/// Time for which connections may be accepted at once at a limited rate.
const BURST: Duration = Duration::from_millis(100);

/// Fewest connections that may be accepted at once.
const MIN_BURST: f64 = 2.0;

/// Limited rate.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    least_per_s: f64,
}

impl Limit {
    fn burst(&self) -> f64 {
        (self.per_s * BURST.as_secs_f64()).max(MIN_BURST)
    }
}

/// Rate at which connections are accepted.
#[derive(Debug, Default)]
pub struct AcceptRate {
    limit: Option<Limit>,
    /// Delay in the window before.
    last_delay: Duration,
    /// Connections accepted in this window.
    accepted: u32,
    /// Those accepted of late, less what the rate allows.
    level: f64,
    level_at: MonoTime,
}

impl AcceptRate {
    /// Records that a connection was accepted.
    pub fn record_accepted(&mut self, now: MonoTime) {
        self.drain(now);
        self.accepted += 1;
        if self.limit.is_some() {
            self.level += 1.0;
        }
    }

    /// Returns the rate to which connections are limited, a second.
    pub fn limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s)
    }

    /// Ends the limit.
    pub fn lift(&mut self) {
        self.limit = None;
    }

    /// Returns which part of the connections that may be accepted at once have been: from 1 on,
    /// no further one may.
    pub fn filled(&mut self, now: MonoTime) -> f64 {
        self.drain(now);
        self.limit.map_or(0.0, |limit| self.level / limit.burst())
    }

    /// Returns after what time half of the connections that may be accepted at once may be.
    pub fn half_empty_in(&mut self, now: MonoTime) -> Option<Duration> {
        self.drain(now);
        let limit = self.limit?;
        let excess = (self.level - limit.burst() / 2.0).max(0.0);
        Some(Duration::from_secs_f64(excess / limit.per_s))
    }

    /// Adapts the rate to what was seen of round trips, whose delay may be this long.
    pub fn adapt(&mut self, now: MonoTime, window: Window, max_delay: Duration) {
        self.drain(now);
        let rate = f64::from(std::mem::take(&mut self.accepted)) / window.length.as_secs_f64();
        let before = std::mem::replace(&mut self.last_delay, window.delay);
        if window.delay > max_delay {
            let limit = self.limit.get_or_insert(Limit {
                per_s: rate,
                least_per_s: (rate * LEAST_SHARE).max(1.0),
            });
            // A queue that shrinks needs time alone.
            if window.delay >= before {
                let excess = max_delay.div_duration_f64(window.delay);
                let fall = excess.clamp(*FALL.start(), *FALL.end());
                limit.per_s = (limit.per_s.min(rate) * fall).max(limit.least_per_s);
            }
        } else if let Some(limit) = &mut self.limit
            && window.delay < max_delay / 2
        {
            let is_used = rate > limit.per_s / 2.0;
            limit.per_s *= RISE;
            if !is_used {
                self.limit = None;
            }
        }
    }

    fn drain(&mut self, now: MonoTime) {
        let elapsed = now.saturating_sub(self.level_at).as_secs_f64();
        self.level_at = now;
        let allowed = self.limit.map_or(f64::INFINITY, |l| l.per_s * elapsed);
        self.level = (self.level - allowed).max(0.0);
    }
}
