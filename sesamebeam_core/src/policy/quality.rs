//! Bayesian quality estimates per version and class, from delayed ratings of
//! sampled answers.
//!
//! The share of good answers has a Beta posterior. Its prior combines the prior
//! in the fleet file with a limited weight of evidence from other classes.
//! Evidence decays with time and with newer ratings, so that a version whose
//! quality drops is detected and plans become cautious when the rating service
//! stops responding.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use statrs::function::beta::beta_reg;

use crate::{
    fleet::{
        Fleet,
        VersionState, //
    },
    ids::{
        ClassId,
        MonoTime,
        RequestId,
        VersionId, //
    },
    message::server::Rating,
};

/// Maximum number of answers awaiting a rating. The oldest is evicted first.
const MAX_PENDING: usize = 8192;

/// Tolerated clock difference between the rating service and this entry.
const CLOCK_SLACK: Duration = Duration::from_secs(5);

/// Number of recent ratings used to validate the rating service.
const RATER_WINDOW: usize = 32;

/// Minimum number of ratings of one version in the window before it is used to
/// validate the rating service.
const RATER_MIN_RATINGS: u32 = 6;

/// Deviation, in standard deviations, above which the rating service is
/// considered faulty.
const RATER_MAX_DEVIATION: f64 = 3.0;

/// Minimum deviation in number of answers. A single bad answer of a very good
/// version is already many standard deviations.
const RATER_MIN_OFFSET: f64 = 3.0;

/// Settings of the quality estimates.
#[derive(Clone, Debug, PartialEq)]
pub struct QualityConfig {
    /// Whether ratings update the estimates; otherwise only the priors are
    /// used.
    pub learn: bool,
    /// Whether a faulty rating service is detected.
    pub detect_rater_fault: bool,
    /// Half-life of the evidence.
    pub half_life: Duration,
    /// Maximum weight of the evidence in a class, in ratings. Older ratings
    /// decay when it is reached.
    pub max_evidence: f64,
    /// Weight of the prior in the fleet file, in ratings.
    pub prior_weight: f64,
    /// Maximum weight of evidence from other classes, in ratings.
    pub other_classes_weight: f64,
    /// Number of ratings below which evidence is insufficient and every answer
    /// is rated.
    pub min_evidence: f64,
    /// Smallest score of a good answer.
    pub good_score: f64,
    /// Time for which ratings are ignored after the rating service was found to
    /// be faulty.
    pub distrust_duration: Duration,
}

impl Default for QualityConfig {
    fn default() -> Self {
        Self {
            learn: true,
            detect_rater_fault: true,
            half_life: Duration::from_secs(3600),
            max_evidence: 400.0,
            prior_weight: 4.0,
            other_classes_weight: 12.0,
            min_evidence: 100.0,
            good_score: 0.5,
            distrust_duration: Duration::from_secs(120),
        }
    }
}

/// Outcome of a rating.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatingOutcome {
    /// The estimates were updated.
    Counted {
        /// Whether the answer was good.
        good: bool,
        /// Whether the answer was the second of a cascade. Such requests are
        /// hard ones, so the rating does not reflect the version's usual
        /// quality.
        escalated: bool,
    },
    /// The rating was ignored.
    Ignored(Ignored),
}

/// Reason why a rating was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// The score is not a number from 0 to 1.
    OutOfRange,
    /// The request was not sent for rating, was already rated or has been
    /// evicted.
    Unknown,
    /// The class or version does not match that of the request.
    Mismatch,
    /// The stated age is greater than the time since the request was sampled,
    /// or the request was sampled after the current time.
    Future,
    /// The rating service is considered faulty because its ratings contradict
    /// the estimates of several versions at once.
    Distrusted,
}

/// Counts of ratings since the start, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingCounts {
    /// Accepted.
    pub counted: u64,
    /// Score out of range.
    pub out_of_range: u64,
    /// Unknown request.
    pub unknown: u64,
    /// Class or version does not match the request.
    pub mismatch: u64,
    /// Inconsistent age.
    pub future: u64,
    /// Rating service considered faulty.
    pub distrusted: u64,
}

/// Weighted counts of good and bad answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    good: f64,
    bad: f64,
}

/// An answer that awaits its rating.
#[derive(Clone, Debug, PartialEq)]
struct PendingRating {
    class: ClassId,
    version: VersionId,
    escalated: bool,
    at: MonoTime,
}

/// Mean and variance of a share of good answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moments {
    /// Expected share.
    pub mean: f64,
    /// Variance of the share.
    pub var: f64,
}

/// Quality estimates per version and class.
#[derive(Clone, Debug)]
pub struct Quality {
    cfg: QualityConfig,
    /// Versions that are rolling out.
    rolling: IndexSet<VersionId>,
    /// Priors in the fleet file by version.
    priors: IndexMap<VersionId, f64>,
    /// Evidence by version, then class.
    usual_evidence: IndexMap<VersionId, IndexMap<ClassId, Counts>>,
    /// Evidence from second answers of cascades, by version, then class.
    escalated_evidence: IndexMap<VersionId, IndexMap<ClassId, Counts>>,
    pending: IndexMap<RequestId, PendingRating>,
    pending_order: VecDeque<RequestId>,
    decayed_at: MonoTime,
    /// Recent ratings: version, deviation from the expected value and expected
    /// variance.
    recent: VecDeque<(VersionId, f64, f64)>,
    distrust_until: Option<MonoTime>,
    counts: RatingCounts,
    generation: u64,
}

impl Quality {
    /// Creates an instance without evidence.
    pub fn new(cfg: QualityConfig) -> Self {
        Self {
            cfg,
            rolling: IndexSet::new(),
            priors: IndexMap::new(),
            usual_evidence: IndexMap::new(),
            escalated_evidence: IndexMap::new(),
            pending: IndexMap::new(),
            pending_order: VecDeque::new(),
            decayed_at: MonoTime::ZERO,
            recent: VecDeque::new(),
            distrust_until: None,
            counts: RatingCounts::default(),
            generation: 0,
        }
    }

    /// Applies the versions and priors of a fleet file. Evidence of versions
    /// that are no longer listed is dropped.
    pub fn configure(&mut self, fleet: &Fleet) {
        self.priors.clear();
        self.rolling.clear();
        for model in &fleet.models {
            for version in &model.versions {
                let full = crate::ids::join_version(&model.name, &version.name);
                if version.state == VersionState::Rolling {
                    self.rolling.insert(full.clone());
                }
                self.priors.insert(full, version.prior.clamp(0.01, 0.99));
            }
        }
        let priors = &self.priors;
        self.usual_evidence
            .retain(|version, _| priors.contains_key(version));
        self.escalated_evidence
            .retain(|version, _| priors.contains_key(version));
        self.generation += 1;
    }

    /// Registers an answer that is sent for rating.
    pub fn await_rating(
        &mut self,
        now: MonoTime,
        request: RequestId,
        class: &ClassId,
        version: &VersionId,
    ) {
        self.add_pending(now, request, class, version, false);
    }

    /// Registers the second answer of a cascade that is sent for rating.
    ///
    /// Its rating is kept separate: cascades pass on only hard requests, and
    /// their ratings would lower the estimate of the stronger version.
    pub fn await_escalated_rating(
        &mut self,
        now: MonoTime,
        request: RequestId,
        class: &ClassId,
        version: &VersionId,
    ) {
        self.add_pending(now, request, class, version, true);
    }

    fn add_pending(
        &mut self,
        now: MonoTime,
        request: RequestId,
        class: &ClassId,
        version: &VersionId,
        escalated: bool,
    ) {
        while self.pending_order.len() >= MAX_PENDING {
            if let Some(oldest) = self.pending_order.pop_front() {
                self.pending.swap_remove(&oldest);
            }
        }
        let pending = PendingRating {
            class: class.clone(),
            version: version.clone(),
            escalated,
            at: now,
        };
        self.pending.insert(request, pending);
        self.pending_order.push_back(request);
    }

    /// Applies a rating, or counts why it is ignored.
    pub fn rate(&mut self, now: MonoTime, rating: &Rating) -> RatingOutcome {
        let rated = self.check_and_learn(now, rating);
        match rated {
            RatingOutcome::Counted { .. } => self.counts.counted += 1,
            RatingOutcome::Ignored(Ignored::OutOfRange) => self.counts.out_of_range += 1,
            RatingOutcome::Ignored(Ignored::Unknown) => self.counts.unknown += 1,
            RatingOutcome::Ignored(Ignored::Mismatch) => self.counts.mismatch += 1,
            RatingOutcome::Ignored(Ignored::Future) => self.counts.future += 1,
            RatingOutcome::Ignored(Ignored::Distrusted) => self.counts.distrusted += 1,
        }
        rated
    }

    /// Applies the score of an answer that was rated synchronously, such as the
    /// first answer of a cascade.
    pub fn rate_now(
        &mut self,
        now: MonoTime,
        class: &ClassId,
        version: &VersionId,
        score: f64,
    ) -> RatingOutcome {
        if !(0.0..=1.0).contains(&score) {
            self.counts.out_of_range += 1;
            return RatingOutcome::Ignored(Ignored::OutOfRange);
        }
        if !self.priors.contains_key(version) {
            self.counts.unknown += 1;
            return RatingOutcome::Ignored(Ignored::Unknown);
        }
        let rated = self.learn(now, class, version, score, false);
        match rated {
            RatingOutcome::Counted { .. } => self.counts.counted += 1,
            RatingOutcome::Ignored(_) => self.counts.distrusted += 1,
        }
        rated
    }

    /// Applies the decay of evidence with time. Must be called every few
    /// seconds.
    pub fn tick(&mut self, now: MonoTime) {
        let step = now.saturating_sub(self.decayed_at);
        if step < Duration::from_secs(1) {
            return;
        }
        self.decayed_at = now;
        let retained = 0.5f64.powf(step.as_secs_f64() / self.cfg.half_life.as_secs_f64().max(1.0));
        let all_evidence = self
            .usual_evidence
            .values_mut()
            .chain(self.escalated_evidence.values_mut());
        for counts in all_evidence.flat_map(|classes| classes.values_mut()) {
            counts.good *= retained;
            counts.bad *= retained;
        }
        if self.distrust_until.is_some_and(|until| now >= until) {
            self.distrust_until = None;
            self.recent.clear();
        }
        self.generation += 1;
    }

    /// Returns whether the rating service is currently considered faulty.
    pub fn rater_distrusted(&self) -> bool {
        self.distrust_until.is_some()
    }

    /// Returns the probability that at least a share of `target` of the answers
    /// are good.
    pub fn confidence(&self, class: &str, version: &str, target: f64) -> f64 {
        let posterior = self.posterior(class, version);
        share_above(posterior.good, posterior.bad, target)
    }

    /// Returns the expected share of good answers.
    pub fn expected(&self, class: &str, version: &str) -> f64 {
        self.moments(class, version).mean
    }

    /// Returns the mean and variance of the share of good answers.
    pub fn moments(&self, class: &str, version: &str) -> Moments {
        let Counts { good, bad } = self.posterior(class, version);
        beta_moments(good, bad)
    }

    /// Returns the mean and variance of the share of good answers to requests
    /// whose first answer in a cascade was bad. Without evidence, the mean is
    /// the usual quality times `hard_factor`.
    pub fn escalated_moments(&self, class: &str, version: &str, hard_factor: f64) -> Moments {
        let usual = self.moments(class, version).mean * hard_factor;
        let weight = self.cfg.prior_weight;
        let seen = self
            .escalated_evidence
            .get(version)
            .and_then(|classes| classes.get(class));
        let seen = seen.copied().unwrap_or_default();
        beta_moments(
            usual * weight + seen.good,
            (1.0 - usual) * weight + seen.bad,
        )
    }

    /// Returns the weight of the evidence for a version in a class, in ratings.
    pub fn evidence(&self, class: &str, version: &str) -> f64 {
        self.usual_evidence
            .get(version)
            .and_then(|classes| classes.get(class))
            .map_or(0.0, |counts| counts.good + counts.bad)
    }

    /// Returns the share of a version's answers in a class that should be
    /// rated: all of them while evidence is insufficient, otherwise `usual`.
    pub fn sample_share(&self, class: &str, version: &str, usual: f64) -> f64 {
        match self.evidence(class, version) < self.cfg.min_evidence {
            true => 1.0,
            false => usual,
        }
    }

    /// Returns the weight of the evidence from second answers of cascades, in
    /// ratings.
    pub fn escalated_evidence(&self, class: &str, version: &str) -> f64 {
        let counts = self
            .escalated_evidence
            .get(version)
            .and_then(|classes| classes.get(class));
        counts.map_or(0.0, |counts| counts.good + counts.bad)
    }

    /// Returns whether a version is rolling out and has too little evidence,
    /// over all classes, to be compared with others.
    pub fn needs_evidence(&self, version: &str) -> bool {
        if !self.rolling.contains(version) {
            return false;
        }
        let classes = self.usual_evidence.get(version).into_iter().flatten();
        classes
            .map(|(_, counts)| counts.good + counts.bad)
            .sum::<f64>()
            < self.cfg.min_evidence
    }

    /// Returns the prior of a version in the fleet file.
    pub fn prior(&self, version: &str) -> Option<f64> {
        self.priors.get(version).copied()
    }

    /// Returns the counts of ratings by outcome.
    pub fn counts(&self) -> RatingCounts {
        self.counts
    }

    /// Returns a counter that changes whenever the estimates may have changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    fn check_and_learn(&mut self, now: MonoTime, rating: &Rating) -> RatingOutcome {
        if !(0.0..=1.0).contains(&rating.score) {
            return RatingOutcome::Ignored(Ignored::OutOfRange);
        }
        let Some(pending) = self.pending.get(&rating.request) else {
            return RatingOutcome::Ignored(Ignored::Unknown);
        };
        if pending.class != rating.class || pending.version != rating.version {
            return RatingOutcome::Ignored(Ignored::Mismatch);
        }
        if pending.at > now || rating.age > now.saturating_sub(pending.at) + CLOCK_SLACK {
            return RatingOutcome::Ignored(Ignored::Future);
        }
        let escalated = pending.escalated;
        self.pending.swap_remove(&rating.request);
        self.learn(now, &rating.class, &rating.version, rating.score, escalated)
    }

    fn learn(
        &mut self,
        now: MonoTime,
        class: &ClassId,
        version: &VersionId,
        score: f64,
        escalated: bool,
    ) -> RatingOutcome {
        let good = score >= self.cfg.good_score;
        if !escalated {
            self.detect_rater_fault(now, class, version, good);
        }
        if self.distrust_until.is_some() {
            return RatingOutcome::Ignored(Ignored::Distrusted);
        }
        if self.cfg.learn {
            self.add(class, version, good, escalated);
        }
        RatingOutcome::Counted { good, escalated }
    }

    fn add(&mut self, class: &ClassId, version: &VersionId, good: bool, escalated: bool) {
        let evidence = if escalated {
            &mut self.escalated_evidence
        } else {
            &mut self.usual_evidence
        };
        let classes = evidence.entry(version.clone()).or_default();
        let counts = classes.entry(class.clone()).or_default();
        let total = counts.good + counts.bad;
        if total >= self.cfg.max_evidence {
            let retained = (self.cfg.max_evidence - 1.0) / total;
            counts.good *= retained;
            counts.bad *= retained;
        }
        match good {
            true => counts.good += 1.0,
            false => counts.bad += 1.0,
        }
        self.generation += 1;
    }

    /// Compares recent ratings with the values expected for each version.
    ///
    /// If the quality of one version drops, only its ratings change. A faulty
    /// rating service changes the ratings of all versions in the same direction
    /// at once, which would cause every version to be held. Two versions with a
    /// large deviation in the same direction are treated as a faulty rating
    /// service.
    fn detect_rater_fault(
        &mut self,
        now: MonoTime,
        class: &ClassId,
        version: &VersionId,
        good: bool,
    ) {
        if !self.cfg.detect_rater_fault {
            return;
        }
        let expected = self.expected(class, version);
        let seen = if good { 1.0 } else { 0.0 };
        if self.recent.len() >= RATER_WINDOW {
            self.recent.pop_front();
        }
        let var = (expected * (1.0 - expected)).max(0.01);
        self.recent
            .push_back((version.clone(), seen - expected, var));
        // Not extended while it lasts: if the deviation persists, the answers
        // have really changed and the estimates must follow in the end.
        if self.distrust_until.is_none() && self.rater_deviates() {
            self.distrust_until = Some(now + self.cfg.distrust_duration);
            self.generation += 1;
        }
    }

    fn rater_deviates(&self) -> bool {
        let mut sums: IndexMap<&VersionId, (f64, f64, u32)> = IndexMap::new();
        for (version, offset, var) in &self.recent {
            let sum = sums.entry(version).or_default();
            *sum = (sum.0 + offset, sum.1 + var, sum.2 + 1);
        }
        let outliers = |sign: f64| {
            sums.values()
                .filter(|(_, _, ratings)| *ratings >= RATER_MIN_RATINGS)
                .filter(|(offset, _, _)| sign * offset >= RATER_MIN_OFFSET)
                .filter(|(offset, var, _)| sign * offset / var.sqrt() > RATER_MAX_DEVIATION)
                .count()
        };
        outliers(1.0) >= 2 || outliers(-1.0) >= 2
    }

    fn posterior(&self, class: &str, version: &str) -> Counts {
        let prior = self.priors.get(version).copied().unwrap_or(0.5);
        let mut own = Counts::default();
        let mut other = Counts::default();
        if let Some(classes) = self.usual_evidence.get(version) {
            for (name, counts) in classes {
                let sum = if name == class { &mut own } else { &mut other };
                sum.good += counts.good;
                sum.bad += counts.bad;
            }
        }
        let total = other.good + other.bad;
        let scale = if total > self.cfg.other_classes_weight {
            self.cfg.other_classes_weight / total
        } else {
            1.0
        };
        Counts {
            good: prior * self.cfg.prior_weight + other.good * scale + own.good,
            bad: (1.0 - prior) * self.cfg.prior_weight + other.bad * scale + own.bad,
        }
    }
}

/// Returns the probability that a Beta-distributed share is at least `target`.
pub fn share_above(good: f64, bad: f64, target: f64) -> f64 {
    if target <= 0.0 {
        return 1.0;
    }
    if target >= 1.0 || !target.is_finite() {
        return 0.0;
    }
    (1.0 - beta_reg(good.max(1e-3), bad.max(1e-3), target)).clamp(0.0, 1.0)
}

fn beta_moments(good: f64, bad: f64) -> Moments {
    let total = good + bad;
    let mean = good / total;
    Moments {
        mean,
        var: mean * (1.0 - mean) / (total + 1.0),
    }
}
