//! What is known of one version, and the sequential test on it.

use super::HoldReason;
use crate::{
    fleet::VersionState,
    ids::MonoTime, //
};

/// Log likelihood ratio from which a version looks bad and is rated in full.
const LOOKS_BAD: f64 = 0.5;

/// Bets on one kind of observation.
///
/// Each observation multiplies a stake by the likelihood under "bad" over the
/// likelihood under "just good enough". While the version is good the stake is
/// a supermartingale, so it passes 1/p with a probability of at most p (Ville's
/// inequality), whenever one looks. `sum` holds the logarithm since the start
/// of the roll-out. `reset` starts anew at every time that it would fall below
/// zero (Page's CUSUM), which sees a version that turns bad after a long good
/// time; a limit of ln(n/p) keeps its false alarms in n observations below p.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Stream {
    sum: f64,
    reset: f64,
}

impl Stream {
    /// Takes one observation. `level` is the share of good ones that is just
    /// good enough, `bad` the share that is bet on.
    pub(super) fn bet(&mut self, good: bool, level: f64, bad: f64) {
        let ratio = match good {
            true => bad / level,
            false => (1.0 - bad) / (1.0 - level),
        };
        let log = ratio.max(1e-6).ln();
        self.sum += log;
        self.reset = (self.reset + log).max(0.0);
    }

    /// Tells whether the version is found bad.
    pub(super) fn crossed(&self, rolling: bool, early: f64, late: f64) -> bool {
        (rolling && self.sum >= early) || self.reset >= late
    }
}

/// What is known of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Trial {
    /// Life of the version in the fleet file.
    pub(super) state: VersionState,
    /// Share of eligible requests while it rolls out.
    pub(super) share: f64,
    /// Whether the control group holds it.
    pub(super) fleet_hold: bool,
    /// Rated answers at this step, fleet-wide.
    pub(super) fleet_rated: u32,
    /// Why and since when this entry holds it.
    pub(super) held: Option<(HoldReason, MonoTime)>,
    /// Whether the hold is yet to be reported.
    pub(super) report_hold: bool,
    /// Good ratings since the last report.
    pub(super) good: u32,
    /// Bad ratings since the last report.
    pub(super) bad: u32,
    /// Failures since the last report.
    pub(super) errors: u32,
    /// Ratings since the roll-out began, here.
    seen: u32,
    /// Bets on ratings.
    pub(super) ratings: Stream,
    /// Bets on ratings of second answers of cascades.
    pub(super) redone: Stream,
    /// Bets on failures.
    pub(super) failures: Stream,
    /// Bets on slowness.
    pub(super) slowness: Stream,
}

impl Trial {
    /// Enters a state of the fleet file. A version that begins to roll out, or
    /// that operators declare settled after a hold, starts its test anew.
    pub(super) fn enter(&mut self, state: VersionState) {
        if self.state == state {
            return;
        }
        self.state = state;
        self.held = None;
        self.seen = 0;
        self.ratings = Stream::default();
        self.redone = Stream::default();
        self.failures = Stream::default();
        self.slowness = Stream::default();
    }

    /// Starts one kind of bets anew.
    pub(super) fn forget(&mut self, reason: HoldReason) {
        match reason {
            HoldReason::Ratings => {
                self.ratings = Stream::default();
                self.redone = Stream::default();
            }
            HoldReason::Failures => self.failures = Stream::default(),
            HoldReason::Slowness => self.slowness = Stream::default(),
            HoldReason::Fleet => {}
        }
    }

    pub(super) fn is_held(&self) -> bool {
        self.fleet_hold || self.held.is_some()
    }

    pub(super) fn count_rating(&mut self, good: bool) {
        self.seen = self.seen.saturating_add(1);
        match good {
            true => self.good = self.good.saturating_add(1),
            false => self.bad = self.bad.saturating_add(1),
        }
    }

    /// Gives the rated answers that trust is built on.
    pub(super) fn rated(&self) -> u32 {
        self.seen.max(self.fleet_rated)
    }

    pub(super) fn looks_bad(&self) -> bool {
        let worst = self
            .ratings
            .reset
            .max(self.redone.reset)
            .max(self.failures.reset);
        self.held.is_some() || worst >= LOOKS_BAD
    }

    /// Tells whether the control group should hear of the version.
    ///
    /// Of a settled version only a hold is news: the control group gates steps
    /// of roll-outs by counts, and 720 entries that told theirs of 27 versions
    /// every second would be 19,000 log entries a second.
    pub(super) fn has_news(&self) -> bool {
        let counted = self.good > 0 || self.bad > 0 || self.errors > 0;
        self.report_hold || counted && self.state == VersionState::Rolling
    }
}
