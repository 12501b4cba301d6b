//! Send rate of one entry to a backend server with a rate limit shared by all entries.
//!
//! An entry neither sees the sends of the others nor coordinates with them: a network
//! partition may separate them, and with 300 entries and a limit of 3 requests per
//! second, each has one request in a hundred seconds. Each entry therefore follows a
//! schedule of its own that bounds the sum.
//!
//! At most `a = 6 l + 5` requests may arrive in any [`SPAN`] under a limit of `l`.
//! Requests that arrive in this time were sent within `SPAN + MAX_TRANSIT_DIFFERENCE`,
//! written `d` below, unless their backend server stands still and reads them later. Beside
//! its schedule, each entry therefore keeps what may arrive in any [`SPAN`] within its part of
//! `a` ([`max_arrivals_of_entry`]); `n` is the number of entries and `r` the sum of their rates.
//!
//! - *Few entries* ([`Pace::Spaced`]): each entry waits for a period of `n / r` after
//!   each of its sends, so that it makes at most `d r / n + 1` in that time, and all
//!   together `d r + n`. This is at most `a` for `r = (a - n) / d`; `r` never exceeds
//!   `l`. Nine entries can use all of a limit of 3.1 per second.
//! - *Many entries* ([`Pace::Turns`]): with more than `a` entries, a single send from
//!   each would exceed the bound. Each entry has one turn of length `w` in each period of
//!   `n / r`, at a phase that depends on names and on its own clock, so that the turns
//!   are distributed like random arrivals; an unused turn is lost. The number of sends of
//!   one entry in the time is one of two adjacent integers with the mean `(d + w) r / n`,
//!   so that the variance of the sum is below that of a Poisson distribution with the
//!   mean `m = (d + w) r`. By the Chernoff bound, the sum reaches `b`, the smallest
//!   integer above `a`, with a probability of at most `exp(-(b ln(b / m) - b + m))`. `r`
//!   is chosen so that the exponent is [`MIN_VIOLATION_EXPONENT`]. For a limit of 3 per
//!   second, `r` is 1.0; for 25, it is 17.

use std::time::Duration;

/// Time window in which arrivals are counted.
pub(super) const SPAN: Duration = Duration::from_secs(4);

/// Arrivals allowed in that window: a multiple of what the limit allows, plus a constant.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Maximum difference between the times that two requests take from choice to arrival: a
/// wait for a connection of a quarter of a second, and as much for a slow network path.
const MAX_TRANSIT_DIFFERENCE: Duration = Duration::from_millis(500);

/// Maximum length of a turn. An entry of a fully limited service gets one or two callers
/// a second, one of which has to fall into the turn; a longer turn lowers the total rate.
const MAX_TURN: Duration = Duration::from_secs(1);

/// Negative exponent of the probability that the turns coincide and exceed the bound: one
/// in 10 million.
const MIN_VIOLATION_EXPONENT: f64 = 16.1;

/// Bisection steps for the rate of turns, to a thousandth of the bound.
const BISECTION_STEPS: u32 = 20;

/// Send schedule of one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// No sends.
    Never,
    /// One send, and another after this time has passed.
    Spaced(Duration),
    /// One send in each turn.
    Turns {
        /// Time between the starts of two turns.
        period: Duration,
        /// Length of a turn.
        width: Duration,
    },
}

impl Pace {
    /// Computes the schedule of one entry for a limit in requests per second.
    pub fn of(limit: f64, entries: u32) -> Self {
        let entries = f64::from(entries.max(1));
        let (spaced, turns) = (spaced_rate(limit, entries), turn_rate(limit));
        let period = |rate: f64| {
            let period = Duration::try_from_secs_f64(entries / rate);
            period.ok().filter(|_| rate > 0.0)
        };
        // Where both schedules are possible, the one with the higher rate is used.
        if spaced >= turns {
            return period(spaced).map_or(Self::Never, Self::Spaced);
        }
        period(turns).map_or(Self::Never, |period| Self::Turns {
            period,
            width: MAX_TURN.min(period),
        })
    }

    /// Returns the mean time between sends, or none if there are none.
    pub fn period(&self) -> Option<Duration> {
        match *self {
            Self::Never => None,
            Self::Spaced(period) | Self::Turns { period, .. } => Some(period),
        }
    }
}

/// Returns the maximum number of arrivals in any [`SPAN`].
pub fn max_arrivals(limit: f64) -> f64 {
    OVERSHOOT * limit * SPAN.as_secs_f64() + SLACK
}

/// Returns the number of sends of one entry that may arrive in any [`SPAN`], however long each is
/// under way: an equal part of the bound, and one at least.
pub fn max_arrivals_of_entry(limit: f64, entries: u32) -> usize {
    let part = max_arrivals(limit) / f64::from(entries.max(1));
    (part as usize).max(1)
}

/// Returns the total rate of all entries with spaced sends.
fn spaced_rate(limit: f64, entries: f64) -> f64 {
    let send_span = (SPAN + MAX_TRANSIT_DIFFERENCE).as_secs_f64();
    ((max_arrivals(limit) - entries) / send_span).clamp(0.0, limit)
}

/// Returns the total rate of all entries with turns.
fn turn_rate(limit: f64) -> f64 {
    let send_span = (SPAN + MAX_TRANSIT_DIFFERENCE + MAX_TURN).as_secs_f64();
    let violation = max_arrivals(limit).floor() + 1.0;
    let exponent = |mean: f64| violation * (violation / mean).ln() - violation + mean;
    let (mut lower, mut upper) = (0.0, violation);
    for _ in 0..BISECTION_STEPS {
        let mean = (lower + upper) / 2.0;
        match exponent(mean) >= MIN_VIOLATION_EXPONENT {
            true => lower = mean,
            false => upper = mean,
        }
    }
    (lower / send_span).min(limit)
}
