//! How long work takes on an engine relative to usual.

use std::{
    num::NonZeroU16,
    time::Duration, //
};

use crate::ids::MonoTime;

/// Largest slowdown that an engine may state, in percent.
const MAX_PERCENT: u16 = 10_000;

/// Percentage at which work takes as long as usual.
const USUAL_PERCENT: f64 = 100.0;

/// Age up to which a stated slowdown describes the present. Other work on an instance comes
/// and goes within about half a second.
const MOMENT: Duration = Duration::from_millis(300);

/// Typical length of such a moment. Statements within it count together as one.
const LOAD_PERIOD: Duration = Duration::from_millis(500);

/// Weight of the newest statement in the typical slowdown: a moment of heavy load shifts it
/// by a tenth at most.
const TYPICAL_WEIGHT: f64 = 0.1;

/// Time that work takes on an engine relative to usual, from 1 to 10,000 percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(NonZeroU16);

impl Slowdown {
    /// Creates a slowdown from a percentage; none if it is out of range.
    pub fn from_percent(percent: u64) -> Option<Self> {
        let percent = u16::try_from(percent).ok().filter(|&p| p <= MAX_PERCENT)?;
        NonZeroU16::new(percent).map(Self)
    }

    /// Returns the percentage.
    pub fn percent(self) -> u16 {
        self.0.get()
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.percent()) / USUAL_PERCENT
    }
}

/// Slowdown of one engine, as stated in its responses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    /// Last statement, and when it arrived.
    stated: Option<(Slowdown, MonoTime)>,
    /// Moving average of the logarithms of the stated factors, and their number as far
    /// as it determines the weight of the next one.
    typical_log: Option<(f64, f64)>,
    /// The factor of that average, which each choice reads for many engines.
    typical: f64,
}

impl Speed {
    /// Records a statement of an engine of a service with a median slowdown.
    ///
    /// Statements soon after another weigh less, because a busy engine makes many of them
    /// in one moment of heavy load. The first ones weigh more, beside the median as one
    /// statement: an engine that was first heard of in such a moment would otherwise count
    /// as slow, get no requests and so never state anything else.
    pub(super) fn record(&mut self, now: MonoTime, slowdown: Slowdown, median: f64) {
        let since = self
            .stated
            .map_or(LOAD_PERIOD, |(_, at)| now.saturating_sub(at));
        self.stated = Some((slowdown, now));
        let (typical, count) = self.typical_log.get_or_insert((median.ln(), 1.0));
        let share = since.div_duration_f64(LOAD_PERIOD).min(1.0);
        *count = (*count + share).min(1.0 / TYPICAL_WEIGHT);
        let weight = share / *count;
        *typical += weight * (slowdown.factor().ln() - *typical);
        self.typical = typical.exp();
    }

    /// Returns the factor at this moment, or the typical one if the last statement is too
    /// old; none if nothing was stated yet.
    pub(super) fn factor(&self, now: MonoTime) -> Option<f64> {
        match self.stated {
            Some((slowdown, at)) if now.saturating_sub(at) <= MOMENT => Some(slowdown.factor()),
            _ => self.typical(),
        }
    }

    /// Returns the factor stated last.
    pub(super) fn stated(&self) -> Option<f64> {
        self.stated.map(|(slowdown, _)| slowdown.factor())
    }

    /// Returns the typical factor.
    pub(super) fn typical(&self) -> Option<f64> {
        self.typical_log.map(|_| self.typical)
    }
}
