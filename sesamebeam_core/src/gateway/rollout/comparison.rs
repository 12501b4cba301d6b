//! Statistical comparison of a new version with the previous ones.

use std::collections::BTreeMap;

use crate::gateway::{
    config::RouteId,
    messages::Evidence, //
};

/// Minimum number of timings for a comparison.
const MIN_TIMINGS: u32 = 8;

/// Ratio of its mean time to that of the previous versions from which a version counts as
/// slow. Smaller differences may be caused by load.
const SLOW_RATIO: f64 = 3.0;

/// Minimum differences in failures at which a new version counts as worse than the
/// previous ones. All of them must be met.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailureCriteria {
    /// Number of failures.
    pub(super) bad: u32,
    /// Difference between the failure rates.
    pub(super) excess: f64,
    /// Log-likelihood ratio of different failure rates to equal ones.
    pub(super) evidence: f64,
}

/// Counters of one side (the new version or the previous ones) on one route.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) good: u32,
    pub(super) bad: u32,
    pub(super) timed: u32,
    pub(super) slowness: f64,
    pub(super) paced: u32,
    pub(super) pace: f64,
    pub(super) durations: u32,
    pub(super) slow_durations: u32,
}

impl Counts {
    /// Adds evidence that an entry has reported.
    pub(super) fn add(&mut self, evidence: &Evidence) {
        self.good += evidence.good;
        self.bad += evidence.bad;
        self.timed += evidence.timed_responses;
        self.slowness += evidence.latency_ratio_sum;
        self.paced += evidence.timed_streams;
        self.pace += evidence.interval_ratio_sum;
        self.durations += evidence.durations;
        self.slow_durations += evidence.slow_durations;
    }

    /// Returns the number of good and bad responses.
    pub(super) fn responses(&self) -> u32 {
        self.good + self.bad
    }

    /// Returns the share of failures, or 0 if there are no responses.
    pub(super) fn failure_rate(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.responses().max(1))
    }

    /// Returns the answers of which the duration is known, with the slow ones as failures.
    pub(super) fn by_duration(&self) -> Self {
        Self {
            good: self.durations - self.slow_durations,
            bad: self.slow_durations,
            ..Self::default()
        }
    }

    /// Returns the sum of two counters.
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            good: self.good + other.good,
            bad: self.bad + other.bad,
            timed: self.timed + other.timed,
            slowness: self.slowness + other.slowness,
            paced: self.paced + other.paced,
            pace: self.pace + other.pace,
            durations: self.durations + other.durations,
            slow_durations: self.slow_durations + other.slow_durations,
        }
    }
}

/// Returns the sum of the counters of all routes.
pub(super) fn total(side: &BTreeMap<RouteId, Counts>) -> Counts {
    side.values().copied().fold(Counts::default(), Counts::plus)
}

impl FailureCriteria {
    /// Returns whether the new version meets the criteria.
    pub(super) fn are_met(&self, new: Counts, old: Counts) -> bool {
        let exceeds = new.bad >= self.bad && new.failure_rate() > old.failure_rate() + self.excess;
        exceeds && log_likelihood_ratio(new, old) >= self.evidence
    }
}

/// Returns the log-likelihood ratio of two different failure rates to a common one.
fn log_likelihood_ratio(new: Counts, old: Counts) -> f64 {
    log_likelihood(new) + log_likelihood(old) - log_likelihood(new.plus(old))
}

/// Returns the log-likelihood of the responses under their own failure rate.
fn log_likelihood(c: Counts) -> f64 {
    let all = f64::from(c.responses());
    let term = |n: u32| match n {
        0 => 0.0,
        n => f64::from(n) * (f64::from(n) / all).ln(),
    };
    term(c.good) + term(c.bad)
}

/// Returns whether the new version is slower, by its time to first byte or its time
/// between events.
///
/// With few requests a faulty version's first bytes may be as fast as usual. Its slowness
/// then shows only in the time between the events of its streams.
pub(super) fn is_slower(new: Counts, old: Counts) -> bool {
    let slower = |new: (u32, f64), old: (u32, f64)| {
        let mean = |(count, sum): (u32, f64)| sum / f64::from(count.max(1));
        new.0 >= MIN_TIMINGS && old.0 >= MIN_TIMINGS && mean(new) > mean(old) * SLOW_RATIO
    };
    let first = slower((new.timed, new.slowness), (old.timed, old.slowness));
    first || slower((new.paced, new.pace), (old.paced, old.pace))
}
