//! Delay that a shared queue adds to everything that passes it.
//!
//! A full link makes all that pass it late, a slow caller or backend server is late alone. So
//! the fastest of several tells the delay of the link, whatever the others waited for.

use std::time::Duration;

use crate::ids::MonoTime;

/// Fewest times from which a delay is told: the fastest of fewer may have been slow by chance.
const MIN_SAMPLES: usize = 4;

/// Windows that fewer times are gathered for.
const MAX_WINDOWS: u32 = 4;

/// Share by which the time without a queue rises in a window towards what is seen, so that it
/// follows a path that has become longer within minutes.
const BASE_STEP: f64 = 1.0 / 2048.0;

/// What was seen in a window of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// How much longer the fastest took than without a queue.
    pub delay: Duration,
    /// Number of those that passed.
    pub samples: usize,
    /// Length of the window.
    pub length: Duration,
}

impl Window {
    /// Returns how many passed in a second.
    pub fn rate(&self) -> f64 {
        self.samples as f64 / self.length.as_secs_f64()
    }
}

/// Estimate of the delay, window by window.
#[derive(Clone, Debug)]
pub struct QueueDelay {
    length: Duration,
    /// Time that the fastest take without a queue, once known.
    base: Option<Duration>,
    began: MonoTime,
    fastest: Option<Duration>,
    /// Most that anything can have been delayed in this window.
    bound: Duration,
    samples: usize,
    last: Option<(MonoTime, Window)>,
}

impl QueueDelay {
    /// Creates an estimate over windows of at least this length.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            base: None,
            began: MonoTime::ZERO,
            fastest: None,
            bound: Duration::MAX,
            samples: 0,
            last: None,
        }
    }

    /// Records how long something took to pass. Returns the window that ends with it.
    pub fn record(&mut self, now: MonoTime, took: Duration) -> Option<Window> {
        if self.samples == 0 && now.saturating_sub(self.began) > self.length * MAX_WINDOWS {
            self.began = now;
        }
        self.samples += 1;
        self.fastest = Some(self.fastest.map_or(took, |f| f.min(took)));
        let length = now.saturating_sub(self.began);
        let is_over = length >= self.length && self.samples >= MIN_SAMPLES
            || length >= self.length * MAX_WINDOWS;
        is_over.then(|| self.end_window(now, length))
    }

    /// Records that something passed that took this long in all, as it waited for other reasons
    /// too: the queue added no more.
    pub fn record_bound(&mut self, took: Duration) {
        self.bound = self.bound.min(took);
    }

    fn end_window(&mut self, now: MonoTime, length: Duration) -> Window {
        let fastest = self.fastest.take().unwrap_or_default();
        let base = match self.base {
            Some(base) if base < fastest => base + (fastest - base).mul_f64(BASE_STEP),
            _ => fastest,
        };
        self.base = Some(base);
        let bound = std::mem::replace(&mut self.bound, Duration::MAX);
        let window = Window {
            delay: match self.samples {
                MIN_SAMPLES.. => fastest.min(bound).saturating_sub(base),
                _ => Duration::ZERO,
            },
            samples: self.samples,
            length,
        };
        self.began = now;
        self.samples = 0;
        self.last = Some((now, window));
        window
    }

    /// Returns the delay in the last window, or zero if it ended long ago.
    pub fn delay(&self, now: MonoTime) -> Duration {
        let oldest = now.saturating_sub(self.length * 2 * MAX_WINDOWS);
        let last = self.last.filter(|(ended, _)| *ended >= oldest);
        last.map_or(Duration::ZERO, |(_, window)| window.delay)
    }
}
