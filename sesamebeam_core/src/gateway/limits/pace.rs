//! How often one entry of many may send to a backend server that names a limit.
//!
//! No entry sees what the others send, and none can ask: behind a cut there is nobody to
//! ask, and with 300 entries before a limit of 3 a second each has one request in a
//! hundred seconds. So each keeps to a pace of its own, by which the sum holds.
//!
//! The most that may arrive in any [`SPAN`] at a limit of `l` is `a = 6 l + 5`. Requests
//! that arrive within it were sent within `SPAN + ON_THE_WAY`.
//!
//! - *Few entries* ([`Pace::Spaced`]): each waits for a period of `n / r` after each of its
//!   sends, so that it makes `(SPAN + ON_THE_WAY) r / n + 1` at the most in that time, and
//!   all together `(SPAN + ON_THE_WAY) r + n`. That is at most `a` for
//!   `r = (a - n) / (SPAN + ON_THE_WAY)`; more than `l` is never taken. Nine entries use
//!   all of a limit of 3.1 a second.
//! - *Many entries* ([`Pace::Turns`]): with more than `a` entries one send of each would
//!   break the bound. Each has one turn of length `w` in each period of `n / r`, at a place
//!   that follows from names and from its own clock, so that turns fall like requests that
//!   come by chance; one that was not used is lost. What an entry sends in the time is one
//!   of two neighbouring numbers, with the mean `(SPAN + ON_THE_WAY + w) r / n`, so that
//!   the sum is spread less than a Poisson number of the mean
//!   `m = (SPAN + ON_THE_WAY + w) r`. By Chernoff's bound that reaches `b`, the first
//!   whole number above `a`, with a probability of `exp(-(b ln(b / m) - b + m))` at the
//!   most. `r` makes that [`UNLIKELY`]. At a limit of 3 a second that is 1.0, at 25 it
//!   is 17.

use std::time::Duration;

/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// How many times what a limit allows may come in it, and how many more.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Most by which one request takes longer than another from its choice to its arrival: a
/// wait for a connection of a quarter of a second, and as much for a slow way.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Longest time for which a turn stands. An entry before a whole service in need gets one
/// or two callers a second and needs one of them to fall into it; a longer one costs all
/// of them some of the rate.
const TURN: Duration = Duration::from_secs(1);

/// Exponent of the probability with which turns may fall so that the bound breaks: one in
/// 10 million.
const UNLIKELY: f64 = 16.1;

/// Halvings in which the rate of turns is found: to a thousandth of the bound.
const HALVINGS: u32 = 20;

/// How often an entry may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// Not at all.
    Never,
    /// Once, and again when this time has passed.
    Spaced(Duration),
    /// Once in each turn.
    Turns {
        /// Time from one turn to the next.
        period: Duration,
        /// Time for which one stands.
        width: Duration,
    },
}

impl Pace {
    /// Works out the pace of one of some entries, before a limit in requests a second.
    pub fn of(limit: f64, entries: u32) -> Self {
        let entries = f64::from(entries.max(1));
        let (spaced, turns) = (spaced_rate(limit, entries), turn_rate(limit));
        let period = |rate: f64| {
            let period = Duration::try_from_secs_f64(entries / rate);
            period.ok().filter(|_| rate > 0.0)
        };
        // Where both are possible the one that lets more through is taken.
        if spaced >= turns {
            return period(spaced).map_or(Self::Never, Self::Spaced);
        }
        period(turns).map_or(Self::Never, |period| Self::Turns {
            period,
            width: TURN.min(period),
        })
    }

    /// Returns the mean time from one send to the next that is allowed, if any is.
    pub fn period(&self) -> Option<Duration> {
        match *self {
            Self::Never => None,
            Self::Spaced(period) | Self::Turns { period, .. } => Some(period),
        }
    }
}

/// Returns the most requests that may arrive in any [`SPAN`].
pub fn allowed(limit: f64) -> f64 {
    OVERSHOOT * limit * SPAN.as_secs_f64() + SLACK
}

/// Returns the sum of the rates of entries that space their sends.
fn spaced_rate(limit: f64, entries: f64) -> f64 {
    let sent_in = (SPAN + ON_THE_WAY).as_secs_f64();
    ((allowed(limit) - entries) / sent_in).clamp(0.0, limit)
}

/// Returns the sum of the rates of entries that have turns.
fn turn_rate(limit: f64) -> f64 {
    let sent_in = (SPAN + ON_THE_WAY + TURN).as_secs_f64();
    let breaks = allowed(limit).floor() + 1.0;
    let exponent = |mean: f64| breaks * (breaks / mean).ln() - breaks + mean;
    let (mut safe, mut unsafe_from) = (0.0, breaks);
    for _ in 0..HALVINGS {
        let mean = (safe + unsafe_from) / 2.0;
        match exponent(mean) >= UNLIKELY {
            true => safe = mean,
            false => unsafe_from = mean,
        }
    }
    (safe / sent_in).min(limit)
}
