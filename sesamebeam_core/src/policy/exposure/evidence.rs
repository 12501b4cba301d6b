//! Evidence about one version, and its sequential tests.

use super::HoldReason;
use crate::{
    fleet::VersionState,
    ids::MonoTime, //
};

/// Log-likelihood ratio from which a version looks bad and all its answers are
/// rated.
const SUSPICIOUS_LOG_RATIO: f64 = 0.5;

/// Sequential test of one kind of observation.
///
/// Each observation multiplies the likelihood ratio of "bad" over "just good
/// enough". For a good version the ratio is a supermartingale, so the
/// probability that it ever exceeds 1/p is at most p (Ville's inequality),
/// regardless of how often it is checked. `log_ratio` is its logarithm since
/// the start of the rollout. `cusum` is reset whenever it would fall below
/// zero (Page's CUSUM), which detects a version that degrades after a long good
/// period; a limit of ln(n/p) keeps the probability of a false alarm within n
/// observations below p.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SequentialTest {
    log_ratio: f64,
    cusum: f64,
}

impl SequentialTest {
    /// Adds an observation. `level` is the share of good observations that is
    /// just acceptable, `bad` the share of the alternative hypothesis.
    pub(super) fn add(&mut self, good: bool, level: f64, bad: f64) {
        let ratio = match good {
            true => bad / level,
            false => (1.0 - bad) / (1.0 - level),
        };
        let step = ratio.max(1e-6).ln();
        self.log_ratio += step;
        self.cusum = (self.cusum + step).max(0.0);
    }

    /// Returns whether the version is found to be bad: whether the log-likelihood
    /// ratio reaches its limit during a rollout, or the CUSUM its own at any
    /// time.
    pub(super) fn crossed(&self, rolling: bool, rollout_limit: f64, cusum_limit: f64) -> bool {
        (rolling && self.log_ratio >= rollout_limit) || self.cusum >= cusum_limit
    }
}

/// State and evidence of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct VersionTrust {
    /// State of the version in the fleet file.
    pub(super) state: VersionState,
    /// Share of eligible requests that use it during its rollout.
    pub(super) share: f64,
    /// Whether the control group holds it.
    pub(super) fleet_hold: bool,
    /// Number of rated answers at this step of the rollout, fleet-wide.
    pub(super) fleet_ratings: u32,
    /// Reason and start of the hold on this entry.
    pub(super) held: Option<(HoldReason, MonoTime)>,
    /// Whether a change of the hold has not been reported yet.
    pub(super) hold_changed: bool,
    /// Good ratings since the last report.
    pub(super) good: u32,
    /// Bad ratings since the last report.
    pub(super) bad: u32,
    /// Failures since the last report.
    pub(super) errors: u32,
    /// Number of ratings on this entry since the rollout began.
    local_ratings: u32,
    /// Test of ratings.
    pub(super) ratings: SequentialTest,
    /// Test of ratings of second answers of cascades.
    pub(super) escalated_ratings: SequentialTest,
    /// Test of failures.
    pub(super) failures: SequentialTest,
    /// Test of slowness.
    pub(super) slowness: SequentialTest,
}

impl VersionTrust {
    /// Applies the state in the fleet file. A change of state, such as the
    /// start of a rollout or operators declaring a held version settled,
    /// releases the hold and restarts the tests.
    pub(super) fn set_state(&mut self, state: VersionState) {
        if self.state == state {
            return;
        }
        self.state = state;
        self.held = None;
        self.local_ratings = 0;
        self.ratings = SequentialTest::default();
        self.escalated_ratings = SequentialTest::default();
        self.failures = SequentialTest::default();
        self.slowness = SequentialTest::default();
    }

    /// Restarts the tests of one kind.
    pub(super) fn reset_tests(&mut self, reason: HoldReason) {
        match reason {
            HoldReason::Ratings => {
                self.ratings = SequentialTest::default();
                self.escalated_ratings = SequentialTest::default();
            }
            HoldReason::Failures => self.failures = SequentialTest::default(),
            HoldReason::Slowness => self.slowness = SequentialTest::default(),
            HoldReason::Fleet => {}
        }
    }

    pub(super) fn is_held(&self) -> bool {
        self.fleet_hold || self.held.is_some()
    }

    pub(super) fn count_rating(&mut self, good: bool) {
        self.local_ratings = self.local_ratings.saturating_add(1);
        match good {
            true => self.good = self.good.saturating_add(1),
            false => self.bad = self.bad.saturating_add(1),
        }
    }

    /// Returns the number of rated answers that count as evidence.
    pub(super) fn rating_count(&self) -> u32 {
        self.local_ratings.max(self.fleet_ratings)
    }

    pub(super) fn is_suspicious(&self) -> bool {
        let max_cusum = self
            .ratings
            .cusum
            .max(self.escalated_ratings.cusum)
            .max(self.failures.cusum);
        self.held.is_some() || max_cusum >= SUSPICIOUS_LOG_RATIO
    }

    /// Returns whether there is anything to report to the control group.
    ///
    /// For settled versions only a change of the hold is reported. The control
    /// group needs counts only to gate the steps of rollouts; if 720 entries
    /// reported the counts of 27 versions every second, the control group would
    /// append 19,000 log entries per second.
    pub(super) fn needs_report(&self) -> bool {
        let counted = self.good > 0 || self.bad > 0 || self.errors > 0;
        self.hold_changed || counted && self.state == VersionState::Rolling
    }
}
