//! Rate at which an instance takes requests on while its link is full.
//!
//! Prompts pass the link twice and more often if a larger model is asked, and answers pass it
//! too. Which direction is full first depends on the requests, and none shows where they
//! are read. The rate falls while the delay of round trips is long and does not fall, and rises
//! again while it is short.

use std::time::Duration;

use crate::ids::MonoTime;

/// Bounds of the factor by which the rate falls, and the factor by which it rises.
const FALL: std::ops::RangeInclusive<f64> = 0.5..=0.85;
const RISE: f64 = 1.25;

/// Share of the rate before the link was full that is always allowed.
const LEAST_SHARE: f64 = 0.1;

/// Time for which requests may be taken on at once at a limited rate.
const BURST: Duration = Duration::from_millis(100);

/// Fewest requests that may be taken on at once.
const MIN_BURST: f64 = 2.0;

/// Time over which requests are counted, and the factor by which the highest count that is
/// remembered falls with each such time.
const BUCKET: Duration = Duration::from_millis(250);
const PEAK_DECAY: f64 = 0.9;

/// Requests taken on of late, counted in times of equal length.
#[derive(Debug, Default)]
struct Meter {
    began: MonoTime,
    /// Requests since then, in the time before, and the most in any of late.
    current: u32,
    last: u32,
    peak: f64,
}

impl Meter {
    fn add(&mut self, now: MonoTime) {
        self.roll(now);
        self.current += 1;
    }

    /// Returns the rate of late, a second.
    fn rate(&mut self, now: MonoTime) -> f64 {
        self.roll(now);
        let elapsed = BUCKET + now.saturating_sub(self.began);
        f64::from(self.last + self.current) / elapsed.as_secs_f64()
    }

    /// Returns the highest rate of late, a second.
    fn peak(&mut self, now: MonoTime) -> f64 {
        self.roll(now);
        self.peak.max(f64::from(self.current)) / BUCKET.as_secs_f64()
    }

    fn roll(&mut self, now: MonoTime) {
        let passed = now.saturating_sub(self.began).div_duration_f64(BUCKET) as u32;
        if passed > 0 {
            self.last = if passed == 1 { self.current } else { 0 };
            let decay = PEAK_DECAY.powf(f64::from(passed - 1));
            self.peak = (self.peak * PEAK_DECAY).max(f64::from(self.current)) * decay;
            self.current = 0;
            self.began += BUCKET * passed;
        }
    }
}

/// Limited rate.
#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    /// Highest rate shortly before it was limited.
    before_per_s: f64,
}

impl Limit {
    fn least_per_s(&self) -> f64 {
        (self.before_per_s * LEAST_SHARE).max(1.0)
    }

    fn burst(&self) -> f64 {
        (self.per_s * BURST.as_secs_f64()).max(MIN_BURST)
    }
}

/// Rate at which requests are taken on.
#[derive(Debug, Default)]
pub struct LinkRate {
    limit: Option<Limit>,
    taken: Meter,
    /// When the limit fell last.
    fell_at: MonoTime,
    /// Those taken on of late, less what the rate allows.
    level: f64,
    level_at: MonoTime,
}

impl LinkRate {
    /// Records that a request was taken on, or the connection that it comes on.
    pub fn record_taken(&mut self, now: MonoTime) {
        self.drain(now);
        self.taken.add(now);
        if self.limit.is_some() {
            self.level += 1.0;
        }
    }

    /// Returns the rate to which requests are limited, a second.
    pub fn limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.per_s)
    }

    /// Returns whether the rate is limited as much as it ever is.
    pub fn is_least(&self) -> bool {
        self.limit.is_some_and(|l| l.per_s <= l.least_per_s())
    }

    /// Returns the highest rate of late, a second; while it is limited, that before.
    pub fn unlimited_rate(&mut self, now: MonoTime) -> f64 {
        match self.limit {
            Some(limit) => limit.before_per_s,
            None => self.taken.peak(now),
        }
    }

    /// Returns whether the limit has fallen since a time.
    pub fn has_fallen_since(&self, at: MonoTime) -> bool {
        self.limit.is_some() && self.fell_at > at
    }

    /// Ends the limit.
    pub fn lift(&mut self) {
        self.limit = None;
    }

    /// Returns which part of what may be taken on at once has been: from 1 on, nothing further
    /// may.
    pub fn filled(&mut self, now: MonoTime) -> f64 {
        self.drain(now);
        self.limit.map_or(0.0, |limit| self.level / limit.burst())
    }

    /// Returns after what time half of what may be taken on at once may be.
    pub fn half_empty_in(&mut self, now: MonoTime) -> Option<Duration> {
        self.drain(now);
        let limit = self.limit?;
        let excess = (self.level - limit.burst() / 2.0).max(0.0);
        Some(Duration::from_secs_f64(excess / limit.per_s))
    }

    /// Limits the rate to a part of what it is.
    pub fn fall(&mut self, now: MonoTime, factor: f64) {
        self.drain(now);
        let rate = self.taken.rate(now);
        let before_per_s = self.unlimited_rate(now);
        let limit = self.limit.get_or_insert(Limit {
            per_s: rate,
            before_per_s,
        });
        let factor = factor.clamp(*FALL.start(), *FALL.end());
        let per_s = (limit.per_s.min(rate) * factor).max(limit.least_per_s());
        if per_s < limit.per_s {
            self.fell_at = now;
        }
        limit.per_s = per_s;
    }

    /// Raises a limit, or ends it if it is not used.
    pub fn rise(&mut self, now: MonoTime) {
        self.drain(now);
        let rate = self.taken.rate(now);
        if let Some(limit) = &mut self.limit {
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
