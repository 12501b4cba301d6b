//! Responses of both sides of a rollout over time.
//!
//! A service may fail for reasons that have nothing to do with its versions. Failures from
//! such a time say nothing about a new version, which may have served at another time: if
//! they counted for the previous versions, a faulty version would pass as usual once the
//! disturbance is over.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    RECENT_ROLLBACK_CRITERIA,
    comparison::Counts, //
};
use crate::{
    gateway::{
        config::RouteId,
        messages::Evidence, //
    },
    ids::MonoTime,
};

/// Length of the intervals in which responses are counted. Reports arrive five times a
/// second.
const INTERVAL: Duration = Duration::from_millis(200);

/// Length of the period whose responses are also judged on their own.
///
/// A version that fails only under load has many good responses by then: counted together
/// with these, 50 failures in five seconds were only a tenth. The load of a burst lasts a
/// few seconds.
pub(super) const RECENT_PERIOD: Duration = Duration::from_secs(4);

/// Length of the period by which the usual failure rate of the previous versions is known.
/// A longer one has to lie within a disturbance that begins soon after the rollout.
const USUAL_PERIOD: Duration = Duration::from_secs(2);

/// Number of intervals that are kept apart. Older ones are only kept as a sum.
const MAX_INTERVALS: usize = 300;

/// Responses of both sides, by route.
#[derive(Clone, Debug, Default)]
pub(super) struct Sides {
    /// The new version.
    pub(super) new: BTreeMap<RouteId, Counts>,
    /// The previous versions.
    pub(super) old: BTreeMap<RouteId, Counts>,
}

/// Responses in one interval.
#[derive(Debug)]
pub(super) struct Interval {
    /// Start of the interval.
    started_at: MonoTime,
    /// Responses by route.
    pub(super) sides: Sides,
    /// Sum of the new version's responses on all routes.
    new: Counts,
    /// Sum of the previous versions' responses on all routes.
    old: Counts,
}

/// Responses since the start of a rollout, by interval.
#[derive(Debug, Default)]
pub(super) struct History {
    /// Intervals, oldest first.
    intervals: VecDeque<Interval>,
    /// Responses of older intervals in which the service was not disturbed.
    earlier: Sides,
}

impl Sides {
    /// Adds evidence that an entry has reported.
    pub(super) fn add(&mut self, is_new: bool, evidence: &Evidence) {
        let side = if is_new { &mut self.new } else { &mut self.old };
        side.entry(evidence.route.clone())
            .or_default()
            .add(evidence);
    }

    /// Adds the responses of another period.
    fn add_all(&mut self, other: &Self) {
        for (side, other) in [(&mut self.new, &other.new), (&mut self.old, &other.old)] {
            for (route, counts) in other {
                let sum = side.entry(route.clone()).or_default();
                *sum = sum.plus(*counts);
            }
        }
    }
}

impl History {
    /// Adds evidence that an entry has reported.
    pub(super) fn add(&mut self, now: MonoTime, is_new: bool, evidence: &Evidence) {
        let interval = self.current_interval(now);
        interval.sides.add(is_new, evidence);
        let total = if is_new {
            &mut interval.new
        } else {
            &mut interval.old
        };
        total.add(evidence);
    }

    /// Returns the intervals of the last [`RECENT_PERIOD`], newest first.
    pub(super) fn recent(&self) -> impl Iterator<Item = &Interval> {
        let newest = self.intervals.back().map(|i| i.started_at);
        let since = newest.unwrap_or_default().saturating_sub(RECENT_PERIOD);
        self.intervals
            .iter()
            .rev()
            .take_while(move |interval| interval.started_at >= since)
    }

    /// Returns the sums of both sides over the last [`RECENT_PERIOD`].
    pub(super) fn recent_totals(&self) -> (Counts, Counts) {
        let none = (Counts::default(), Counts::default());
        self.recent().fold(none, |(new, old), interval| {
            (new.plus(interval.new), old.plus(interval.old))
        })
    }

    /// Returns the responses of all intervals in which the service was not disturbed, and
    /// those intervals of the last [`RECENT_PERIOD`], newest first.
    pub(super) fn undisturbed(&self) -> (Sides, Vec<&Interval>) {
        let disturbed = self.disturbed();
        let is_undisturbed = |at: &usize| !disturbed[*at];
        let mut sides = self.earlier.clone();
        for at in (0..self.intervals.len()).filter(is_undisturbed) {
            sides.add_all(&self.intervals[at].sides);
        }
        let newest_first = (0..self.intervals.len()).rev().zip(self.recent());
        let recent = newest_first.filter(|(at, _)| is_undisturbed(at));
        (sides, recent.map(|(_, interval)| interval).collect())
    }

    /// Returns the current interval.
    fn current_interval(&mut self, now: MonoTime) -> &mut Interval {
        let newest = self.intervals.back();
        if newest.is_none_or(|interval| interval.started_at + INTERVAL <= now) {
            self.sum_up_oldest();
            self.intervals.push_back(Interval {
                started_at: now,
                sides: Sides::default(),
                new: Counts::default(),
                old: Counts::default(),
            });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }

    /// Makes room for another interval.
    fn sum_up_oldest(&mut self) {
        if self.intervals.len() < MAX_INTERVALS {
            return;
        }
        let is_disturbed = self.disturbed()[0];
        if let Some(oldest) = self.intervals.pop_front()
            && !is_disturbed
        {
            self.earlier.add_all(&oldest.sides);
        }
    }

    /// Returns for each interval whether the service was disturbed: whether the previous
    /// versions failed so much more often than usual that a new version would be rolled
    /// back for it.
    ///
    /// That is unknown where they served less than the new version.
    fn disturbed(&self) -> Vec<bool> {
        let usual = self.usual();
        let mut disturbed = vec![false; self.intervals.len()];
        for first in 0..self.intervals.len() {
            let (mut new, mut old) = (Counts::default(), Counts::default());
            for (length, interval) in self.period(first, RECENT_PERIOD).enumerate() {
                new = new.plus(interval.new);
                old = old.plus(interval.old);
                if old.responses() >= new.responses()
                    && RECENT_ROLLBACK_CRITERIA.are_met(old, usual)
                {
                    disturbed[first..=first + length].fill(true);
                }
            }
        }
        disturbed
    }

    /// Returns the previous versions' responses in the [`USUAL_PERIOD`] in which they
    /// failed least. Periods with fewer responses than the average are left out.
    fn usual(&self) -> Counts {
        let periods: Vec<Counts> = (0..self.intervals.len())
            .map(|first| {
                let responses = self
                    .period(first, USUAL_PERIOD)
                    .map(|interval| interval.old);
                responses.fold(Counts::default(), Counts::plus)
            })
            .collect();
        let sum: u32 = periods.iter().map(Counts::responses).sum();
        let average = sum / (periods.len() as u32).max(1);
        let usable = periods.into_iter().filter(|p| p.responses() >= average);
        let calmest = usable.min_by(|a, b| a.failure_rate().total_cmp(&b.failure_rate()));
        calmest.unwrap_or_default()
    }

    /// Returns the intervals of the period that begins with one of them.
    fn period(&self, first: usize, length: Duration) -> impl Iterator<Item = &Interval> {
        let end = self.intervals[first].started_at + length;
        self.intervals
            .range(first..)
            .take_while(move |interval| interval.started_at < end)
    }
}
