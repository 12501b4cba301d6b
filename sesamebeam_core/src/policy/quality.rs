//! Posterior quality of each version in each class, from late, sampled ratings.
//!
//! The share of good answers has a Beta posterior. Its prior is the one of the
//! fleet file, joined by a little of what the version showed in other classes.
//! Evidence is forgotten with time and with newer ratings, so that a version
//! that turns bad is seen, and a silent rating service makes plans careful.

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

/// Answers awaiting a rating that are remembered; the oldest is forgotten first.
const MAX_SAMPLED: usize = 8192;

/// Difference allowed between the rater's clock and ours.
const CLOCK_SLACK: Duration = Duration::from_secs(5);

/// Ratings by which the rating service itself is judged.
const RATER_WINDOW: usize = 32;

/// Ratings of one version in the window before it speaks about the rater.
const RATER_MIN: u32 = 6;

/// Deviation, in standard deviations, that a sound rater does not show.
const RATER_DEVIATION: f64 = 3.0;

/// Answers by which a version must be off before it speaks about the rater: one
/// bad answer of a very good version is already many standard deviations.
const RATER_LEAST: f64 = 3.0;

/// Settings of the posteriors.
#[derive(Clone, Debug, PartialEq)]
pub struct QualityConfig {
    /// Whether ratings are learnt from; without, the priors stand.
    pub learn: bool,
    /// Whether the rating service itself is judged.
    pub judge_rater: bool,
    /// Time after which half of the evidence is forgotten.
    pub half_life: Duration,
    /// Ratings that evidence counts at most; older ones fade.
    pub memory: f64,
    /// Ratings that the fleet file's prior is worth.
    pub prior_weight: f64,
    /// Ratings that the evidence of other classes is worth at most.
    pub other_weight: f64,
    /// Ratings below which evidence is thin and every answer is rated.
    pub thin: f64,
    /// Score from which an answer is good.
    pub good_score: f64,
    /// Time for which a rating service found wrong is not listened to.
    pub distrust: Duration,
}

impl Default for QualityConfig {
    fn default() -> Self {
        Self {
            learn: true,
            judge_rater: true,
            half_life: Duration::from_secs(3600),
            memory: 400.0,
            prior_weight: 4.0,
            other_weight: 12.0,
            thin: 100.0,
            good_score: 0.5,
            distrust: Duration::from_secs(120),
        }
    }
}

/// What became of a rating.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rated {
    /// It was learnt from.
    Counted {
        /// Whether the answer was good.
        good: bool,
        /// Whether the answer was the second of a cascade: the request was a
        /// hard one, so it says nothing of the version's usual quality.
        redo: bool,
    },
    /// It was not learnt from.
    Ignored(Ignored),
}

/// Why a rating was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// The score is not a number from 0 to 1.
    OutOfRange,
    /// The request was not sent for rating, was rated before, or is forgotten.
    Unknown,
    /// Class or version is not that of the request.
    Mismatch,
    /// It says that the answer is older than the request, or tells of one to come.
    Future,
    /// The rating service contradicts what is known of several versions at once.
    Distrusted,
}

/// Ratings by what became of them, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingCounts {
    /// Learnt from.
    pub counted: u64,
    /// Score out of range.
    pub out_of_range: u64,
    /// Request unknown.
    pub unknown: u64,
    /// Class or version not that of the request.
    pub mismatch: u64,
    /// From the future.
    pub future: u64,
    /// Rating service distrusted.
    pub distrusted: u64,
}

/// Weighted counts of good and bad answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    good: f64,
    bad: f64,
}

/// An answer that was sent for rating.
#[derive(Clone, Debug, PartialEq)]
struct Sampled {
    class: ClassId,
    version: VersionId,
    redo: bool,
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

/// Posterior quality of each version in each class.
#[derive(Clone, Debug)]
pub struct Quality {
    cfg: QualityConfig,
    /// Versions that roll out.
    rolling: IndexSet<VersionId>,
    /// Priors of the fleet file by version.
    priors: IndexMap<VersionId, f64>,
    /// Evidence by version, then class.
    cells: IndexMap<VersionId, IndexMap<ClassId, Counts>>,
    /// Evidence on requests whose first answer in a cascade was bad.
    redone: IndexMap<VersionId, IndexMap<ClassId, Counts>>,
    sampled: IndexMap<RequestId, Sampled>,
    sampled_order: VecDeque<RequestId>,
    faded_at: MonoTime,
    /// Last ratings: version and how far each was from what was expected.
    recent: VecDeque<(VersionId, f64, f64)>,
    distrust_until: Option<MonoTime>,
    counts: RatingCounts,
    generation: u64,
}

impl Quality {
    /// Starts without evidence.
    pub fn new(cfg: QualityConfig) -> Self {
        Self {
            cfg,
            rolling: IndexSet::new(),
            priors: IndexMap::new(),
            cells: IndexMap::new(),
            redone: IndexMap::new(),
            sampled: IndexMap::new(),
            sampled_order: VecDeque::new(),
            faded_at: MonoTime::ZERO,
            recent: VecDeque::new(),
            distrust_until: None,
            counts: RatingCounts::default(),
            generation: 0,
        }
    }

    /// Takes the versions and priors of a fleet file; evidence of versions that
    /// it no longer lists is dropped.
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
        self.cells.retain(|version, _| priors.contains_key(version));
        self.redone
            .retain(|version, _| priors.contains_key(version));
        self.generation += 1;
    }

    /// Remembers an answer that is sent for rating.
    pub fn sampled(
        &mut self,
        now: MonoTime,
        request: RequestId,
        class: &ClassId,
        version: &VersionId,
    ) {
        self.await_rating(now, request, class, version, false);
    }

    /// Remembers the second answer of a cascade that is sent for rating.
    ///
    /// It is learnt from apart: a cascade hands only hard requests on, and
    /// their ratings would make the stronger version look bad.
    pub fn sampled_redo(
        &mut self,
        now: MonoTime,
        request: RequestId,
        class: &ClassId,
        version: &VersionId,
    ) {
        self.await_rating(now, request, class, version, true);
    }

    fn await_rating(
        &mut self,
        now: MonoTime,
        request: RequestId,
        class: &ClassId,
        version: &VersionId,
        redo: bool,
    ) {
        while self.sampled_order.len() >= MAX_SAMPLED {
            if let Some(oldest) = self.sampled_order.pop_front() {
                self.sampled.swap_remove(&oldest);
            }
        }
        let sampled = Sampled {
            class: class.clone(),
            version: version.clone(),
            redo,
            at: now,
        };
        self.sampled.insert(request, sampled);
        self.sampled_order.push_back(request);
    }

    /// Learns from a rating, or counts why it is ignored.
    pub fn rate(&mut self, now: MonoTime, rating: &Rating) -> Rated {
        let rated = self.judge(now, rating);
        match rated {
            Rated::Counted { .. } => self.counts.counted += 1,
            Rated::Ignored(Ignored::OutOfRange) => self.counts.out_of_range += 1,
            Rated::Ignored(Ignored::Unknown) => self.counts.unknown += 1,
            Rated::Ignored(Ignored::Mismatch) => self.counts.mismatch += 1,
            Rated::Ignored(Ignored::Future) => self.counts.future += 1,
            Rated::Ignored(Ignored::Distrusted) => self.counts.distrusted += 1,
        }
        rated
    }

    /// Learns from an answer that was rated at once, as the first step of a
    /// cascade is.
    pub fn rate_now(
        &mut self,
        now: MonoTime,
        class: &ClassId,
        version: &VersionId,
        score: f64,
    ) -> Rated {
        if !(0.0..=1.0).contains(&score) {
            self.counts.out_of_range += 1;
            return Rated::Ignored(Ignored::OutOfRange);
        }
        if !self.priors.contains_key(version) {
            self.counts.unknown += 1;
            return Rated::Ignored(Ignored::Unknown);
        }
        let rated = self.learn(now, class, version, score, false);
        match rated {
            Rated::Counted { .. } => self.counts.counted += 1,
            Rated::Ignored(_) => self.counts.distrusted += 1,
        }
        rated
    }

    /// Forgets evidence by its age. Called at least every few seconds.
    pub fn tick(&mut self, now: MonoTime) {
        let step = now.saturating_sub(self.faded_at);
        if step < Duration::from_secs(1) {
            return;
        }
        self.faded_at = now;
        let keep = 0.5f64.powf(step.as_secs_f64() / self.cfg.half_life.as_secs_f64().max(1.0));
        let cells = self.cells.values_mut().chain(self.redone.values_mut());
        for counts in cells.flat_map(|classes| classes.values_mut()) {
            counts.good *= keep;
            counts.bad *= keep;
        }
        if self.distrust_until.is_some_and(|until| now >= until) {
            self.distrust_until = None;
            self.recent.clear();
        }
        self.generation += 1;
    }

    /// Tells whether the rating service is distrusted at present.
    pub fn rater_distrusted(&self) -> bool {
        self.distrust_until.is_some()
    }

    /// Gives the probability that at least `target` of the answers are good.
    pub fn confidence_met(&self, class: &str, version: &str, target: f64) -> f64 {
        let posterior = self.posterior(class, version);
        share_above(posterior.good, posterior.bad, target)
    }

    /// Gives the expected share of good answers.
    pub fn expected(&self, class: &str, version: &str) -> f64 {
        self.moments(class, version).mean
    }

    /// Gives mean and variance of the share of good answers.
    pub fn moments(&self, class: &str, version: &str) -> Moments {
        let Counts { good, bad } = self.posterior(class, version);
        beta_moments(good, bad)
    }

    /// Gives mean and variance of the share of good answers to requests whose
    /// first answer in a cascade was bad. Before evidence, `hard_factor` times
    /// the usual quality.
    pub fn moments_redo(&self, class: &str, version: &str, hard_factor: f64) -> Moments {
        let usual = self.moments(class, version).mean * hard_factor;
        let weight = self.cfg.prior_weight;
        let seen = self
            .redone
            .get(version)
            .and_then(|classes| classes.get(class));
        let seen = seen.copied().unwrap_or_default();
        beta_moments(
            usual * weight + seen.good,
            (1.0 - usual) * weight + seen.bad,
        )
    }

    /// Gives how many ratings the evidence of a version in a class is worth.
    pub fn evidence(&self, class: &str, version: &str) -> f64 {
        self.cells
            .get(version)
            .and_then(|classes| classes.get(class))
            .map_or(0.0, |counts| counts.good + counts.bad)
    }

    /// Gives the share of a version's answers in a class that is worth a rating:
    /// all of them while there is little evidence, else `usual`.
    pub fn sample_share(&self, class: &str, version: &str, usual: f64) -> f64 {
        match self.evidence(class, version) < self.cfg.thin {
            true => 1.0,
            false => usual,
        }
    }

    /// Gives how many ratings the evidence of a version on second answers of
    /// cascades is worth.
    pub fn evidence_redo(&self, class: &str, version: &str) -> f64 {
        let counts = self
            .redone
            .get(version)
            .and_then(|classes| classes.get(class));
        counts.map_or(0.0, |counts| counts.good + counts.bad)
    }

    /// Tells whether a version rolls out and has too little evidence, over all
    /// classes, to be compared with others.
    pub fn wants_evidence(&self, version: &str) -> bool {
        if !self.rolling.contains(version) {
            return false;
        }
        let classes = self.cells.get(version).into_iter().flatten();
        classes
            .map(|(_, counts)| counts.good + counts.bad)
            .sum::<f64>()
            < self.cfg.thin
    }

    /// Gives the prior of a version in the fleet file.
    pub fn prior(&self, version: &str) -> Option<f64> {
        self.priors.get(version).copied()
    }

    /// Counts ratings by what became of them.
    pub fn counts(&self) -> RatingCounts {
        self.counts
    }

    /// Changes whenever an answer of this struct may have changed.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    fn judge(&mut self, now: MonoTime, rating: &Rating) -> Rated {
        if !(0.0..=1.0).contains(&rating.score) {
            return Rated::Ignored(Ignored::OutOfRange);
        }
        let Some(sampled) = self.sampled.get(&rating.request) else {
            return Rated::Ignored(Ignored::Unknown);
        };
        if sampled.class != rating.class || sampled.version != rating.version {
            return Rated::Ignored(Ignored::Mismatch);
        }
        if sampled.at > now || rating.age > now.saturating_sub(sampled.at) + CLOCK_SLACK {
            return Rated::Ignored(Ignored::Future);
        }
        let redo = sampled.redo;
        self.sampled.swap_remove(&rating.request);
        self.learn(now, &rating.class, &rating.version, rating.score, redo)
    }

    fn learn(
        &mut self,
        now: MonoTime,
        class: &ClassId,
        version: &VersionId,
        score: f64,
        redo: bool,
    ) -> Rated {
        let good = score >= self.cfg.good_score;
        if !redo {
            self.judge_rater(now, class, version, good);
        }
        if self.distrust_until.is_some() {
            return Rated::Ignored(Ignored::Distrusted);
        }
        if self.cfg.learn {
            self.add(class, version, good, redo);
        }
        Rated::Counted { good, redo }
    }

    fn add(&mut self, class: &ClassId, version: &VersionId, good: bool, redo: bool) {
        let cells = if redo {
            &mut self.redone
        } else {
            &mut self.cells
        };
        let classes = cells.entry(version.clone()).or_default();
        let counts = classes.entry(class.clone()).or_default();
        let n = counts.good + counts.bad;
        if n >= self.cfg.memory {
            let keep = (self.cfg.memory - 1.0) / n;
            counts.good *= keep;
            counts.bad *= keep;
        }
        match good {
            true => counts.good += 1.0,
            false => counts.bad += 1.0,
        }
        self.generation += 1;
    }

    /// Compares the last ratings with what was expected of each version.
    ///
    /// One version that turns bad moves alone. A rating service that goes wrong
    /// moves all of them the same way at once, and would otherwise get every
    /// version held; two versions far off on the same side are enough to tell.
    fn judge_rater(&mut self, now: MonoTime, class: &ClassId, version: &VersionId, good: bool) {
        if !self.cfg.judge_rater {
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
        // Not prolonged while it lasts: what looks like a wrong rater for good is
        // a change of the answers, and must be learnt from in the end.
        if self.distrust_until.is_none() && self.rater_is_off() {
            self.distrust_until = Some(now + self.cfg.distrust);
            self.generation += 1;
        }
    }

    fn rater_is_off(&self) -> bool {
        let mut sums: IndexMap<&VersionId, (f64, f64, u32)> = IndexMap::new();
        for (version, off, var) in &self.recent {
            let sum = sums.entry(version).or_default();
            *sum = (sum.0 + off, sum.1 + var, sum.2 + 1);
        }
        let far = |sign: f64| {
            sums.values()
                .filter(|(_, _, n)| *n >= RATER_MIN)
                .filter(|(off, _, _)| sign * off >= RATER_LEAST)
                .filter(|(off, var, _)| sign * off / var.sqrt() > RATER_DEVIATION)
                .count()
        };
        far(1.0) >= 2 || far(-1.0) >= 2
    }

    fn posterior(&self, class: &str, version: &str) -> Counts {
        let prior = self.priors.get(version).copied().unwrap_or(0.5);
        let mut own = Counts::default();
        let mut other = Counts::default();
        if let Some(classes) = self.cells.get(version) {
            for (name, counts) in classes {
                let sum = if name == class { &mut own } else { &mut other };
                sum.good += counts.good;
                sum.bad += counts.bad;
            }
        }
        let n = other.good + other.bad;
        let scale = if n > self.cfg.other_weight {
            self.cfg.other_weight / n
        } else {
            1.0
        };
        Counts {
            good: prior * self.cfg.prior_weight + other.good * scale + own.good,
            bad: (1.0 - prior) * self.cfg.prior_weight + other.bad * scale + own.bad,
        }
    }
}

/// Gives the probability that a share with a Beta distribution is at least `target`.
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
    let n = good + bad;
    let mean = good / n;
    Moments {
        mean,
        var: mean * (1.0 - mean) / (n + 1.0),
    }
}
