//! Selection of the cheapest plan that meets the quality target.

use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::{
    hash,
    quality::{
        Moments,
        Quality,
        share_above, //
    },
};
use crate::{
    fleet::{
        Class,
        Target, //
    },
    ids::VersionId,
};

/// Number of standard deviations below the target at which a plan is considered
/// hopeless.
const HOPELESS_DEVIATIONS: f64 = 4.0;

/// Number of requests for which cached scores may be reused although ratings
/// have arrived since.
const MAX_STALE_USES: u32 = 32;

/// Maximum number of cached score sets.
const MAX_CACHED: usize = 1024;

/// Maximum number of cascades that are scored and reported per request.
const MAX_CASCADES: usize = 16;

/// Smallest confidence at which a cascade that misses the target is kept as a
/// possible trial.
const MIN_TRIAL_CONFIDENCE: f64 = 0.02;

/// Odd multiplier used to combine hashes.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Settings of plan selection.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanConfig {
    /// Whether cascades are considered.
    pub cascades: bool,
    /// Share of requests that would try a cheaper plan if that plan were
    /// certain to meet the target; 0 disables trials.
    pub trial_share: f64,
    /// Share of good answers that the rating service accepts (true positive
    /// rate).
    pub rater_accepts_good: f64,
    /// Share of bad answers that the rating service accepts (false positive
    /// rate).
    pub rater_accepts_bad: f64,
    /// Quality of the stronger version on requests that the first version
    /// failed, relative to its overall quality. Hard requests are hard for
    /// both.
    pub hard_factor: f64,
    /// Cost of one rating, in the same unit as the cost of versions.
    pub rating_cost: f64,
}

impl Default for PlanConfig {
    fn default() -> Self {
        Self {
            cascades: true,
            trial_share: 0.5,
            rater_accepts_good: 0.95,
            rater_accepts_bad: 0.05,
            hard_factor: 0.97,
            rating_cost: 0.02,
        }
    }
}

/// Plan for running a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Run a single version.
    Single(VersionId),
    /// Run a cheap version first and, if the rating service finds its answer
    /// bad, a stronger one.
    Cascade {
        /// Version that runs first.
        first: VersionId,
        /// Version that runs if the first answer is bad.
        then: VersionId,
    },
}

impl Plan {
    /// Returns the version that runs first.
    pub fn first(&self) -> &VersionId {
        match self {
            Self::Single(version) => version,
            Self::Cascade { first, .. } => first,
        }
    }
}

/// A version that the request may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Full name.
    pub version: VersionId,
    /// Cost of 1000 generated tokens.
    pub cost: f64,
    /// Expected time until the complete answer; zero if unknown.
    pub expected_duration: Duration,
}

/// Input of plan selection.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// Class of the request.
    pub class: &'a Class,
    /// Quality target of the organisation, if it has one.
    pub target: Option<&'a Target>,
    /// Versions that are allowed, loaded, not withdrawn and permitted by
    /// exposure.
    pub candidates: &'a [Candidate],
    /// Time remaining until the deadline.
    pub time_left: Duration,
    /// Whether the rating service currently rates answers synchronously.
    pub rater_available: bool,
    /// Number in [0, 1) from a hash of the request, used for trials.
    pub draw: f64,
}

/// Reason why a plan was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The cheapest plan that meets the target.
    Cheapest,
    /// No plan meets the target; this one is the most likely to meet it.
    BestAvailable,
    /// A trial of a cheaper plan, or of a version that is rolling out.
    Trial,
}

/// A plan that was considered, with its score.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoredPlan {
    /// The plan.
    pub plan: Plan,
    /// Expected cost of 1000 tokens of the answer.
    pub cost: f64,
    /// Expected share of good answers.
    pub quality: f64,
    /// Probability that the target is met.
    pub confidence: f64,
    /// Whether it is expected to finish within the remaining time.
    pub fits_deadline: bool,
    /// Whether it meets the target with the required confidence.
    pub meets_target: bool,
}

/// The selected plan and the plans that were considered.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanChoice {
    /// The plan.
    pub plan: Plan,
    /// Reason for the selection.
    pub reason: Reason,
    /// All plans that were considered, in order of scoring.
    pub scored: Vec<ScoredPlan>,
}

/// Selects plans.
///
/// Scores are cached for several requests with the same class, target and
/// candidates. Scoring all cascades of 27 versions takes far longer than the
/// rest of a decision, and a few ratings in between change the scores only
/// slightly.
#[derive(Clone, Debug)]
pub struct Planner {
    cfg: PlanConfig,
    cache: IndexMap<u64, CachedScores>,
}

/// Cached scores of one class, target and set of candidates.
#[derive(Clone, Debug)]
struct CachedScores {
    /// Generation of the quality estimates that the scores are based on.
    generation: u64,
    uses: u32,
    scored: Vec<ScoredPlan>,
    /// Indices of each plan's versions among the candidates.
    versions_used: Vec<(usize, Option<usize>)>,
}

impl Planner {
    /// Creates a planner with an empty score cache.
    pub fn new(cfg: PlanConfig) -> Self {
        Self {
            cfg,
            cache: IndexMap::new(),
        }
    }

    /// Selects the cheapest plan that meets the target, or else the best
    /// available one. Returns `None` if there is no candidate.
    pub fn plan(&mut self, quality: &Quality, input: &PlanInput<'_>) -> Option<PlanChoice> {
        let scored = self.scored(quality, input);
        let (index, reason) = self.choose(quality, input, &scored)?;
        Some(PlanChoice {
            plan: scored[index].plan.clone(),
            reason,
            scored,
        })
    }

    /// Returns cached or new scores, updated with the plans that fit in the
    /// remaining time.
    fn scored(&mut self, quality: &Quality, input: &PlanInput<'_>) -> Vec<ScoredPlan> {
        let key = self.key(quality, input);
        let generation = quality.generation();
        let is_fresh =
            |cached: &CachedScores| cached.generation == generation || cached.uses < MAX_STALE_USES;
        if !self.cache.get(&key).is_some_and(is_fresh) {
            let (scored, versions_used) = self.score(quality, input);
            if self.cache.len() >= MAX_CACHED {
                self.cache.swap_remove_index(0);
            }
            self.cache.insert(
                key,
                CachedScores {
                    generation,
                    uses: 0,
                    scored,
                    versions_used,
                },
            );
        }
        let cached = &mut self.cache[&key];
        cached.uses += 1;
        let mut scored = cached.scored.clone();
        for (scored, (first, then)) in scored.iter_mut().zip(&cached.versions_used) {
            let then = then.map_or(Duration::ZERO, |then| {
                input.candidates[then].expected_duration
            });
            scored.fits_deadline =
                input.candidates[*first].expected_duration + then <= input.time_left;
        }
        scored
    }

    /// Hashes all inputs of the scores except the quality estimates.
    fn key(&self, quality: &Quality, input: &PlanInput<'_>) -> u64 {
        let (target, min_confidence) = quality_target(input.target);
        let mut key = hash::rendezvous(&input.class.name, &target.to_le_bytes());
        let mut mix =
            |number: u64| key = (key ^ number).wrapping_mul(HASH_MULTIPLIER).rotate_left(29);
        mix(min_confidence.to_bits());
        mix(u64::from(self.may_cascade(quality, input)));
        for candidate in input.candidates {
            mix(hash::name(candidate.version.as_bytes()));
            mix(candidate.cost.to_bits());
        }
        key
    }

    fn score(
        &self,
        quality: &Quality,
        input: &PlanInput<'_>,
    ) -> (Vec<ScoredPlan>, Vec<(usize, Option<usize>)>) {
        let moments: Vec<Moments> = input
            .candidates
            .iter()
            .map(|candidate| quality.moments(&input.class.name, &candidate.version))
            .collect();
        let mut scored = Vec::with_capacity(input.candidates.len() * 2);
        for (candidate, moments) in input.candidates.iter().zip(&moments) {
            let plan = Plan::Single(candidate.version.clone());
            scored.push(ScoredPlan::new(
                plan,
                candidate.cost,
                *moments,
                quality_target(input.target),
            ));
        }
        let mut versions_used: Vec<_> = (0..scored.len()).map(|index| (index, None)).collect();
        if self.may_cascade(quality, input) {
            for (first, then, plan) in self.score_cascades(quality, input, &moments, &scored) {
                versions_used.push((first, Some(then)));
                scored.push(plan);
            }
        }
        (scored, versions_used)
    }

    /// Scores the cascades that could be selected or tried, in order of cost,
    /// up to the first that meets the target. More expensive cascades need not
    /// be scored.
    fn score_cascades(
        &self,
        quality: &Quality,
        input: &PlanInput<'_>,
        moments: &[Moments],
        singles: &[ScoredPlan],
    ) -> Vec<(usize, usize, ScoredPlan)> {
        let max_cost = min_by(singles, |s| s.meets_target, |s| s.cost)
            .map_or(f64::INFINITY, |index| singles[index].cost);
        let mut cascades = Vec::new();
        for (then, strong) in input.candidates.iter().enumerate() {
            let class = &input.class.name;
            let escalated = quality.escalated_moments(class, &strong.version, self.cfg.hard_factor);
            for (first, cheap) in input.candidates.iter().enumerate() {
                if cheap.cost >= strong.cost || moments[first].mean >= moments[then].mean {
                    continue;
                }
                let (combined, rejected) = self.cascade_moments(moments[first], escalated);
                let cost = cheap.cost + self.cfg.rating_cost + rejected * strong.cost;
                if cost < max_cost {
                    cascades.push((cost, first, then, combined));
                }
            }
        }
        cascades.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut scored: Vec<(usize, usize, ScoredPlan)> = Vec::new();
        for (cost, first, then, combined) in cascades {
            let plan = Plan::Cascade {
                first: input.candidates[first].version.clone(),
                then: input.candidates[then].version.clone(),
            };
            let plan = ScoredPlan::new(plan, cost, combined, quality_target(input.target));
            let meets = plan.meets_target;
            if meets || plan.confidence >= MIN_TRIAL_CONFIDENCE {
                scored.push((first, then, plan));
            }
            if meets || scored.len() >= MAX_CASCADES {
                break;
            }
        }
        scored
    }

    /// Returns whether a request may be run by a second version.
    ///
    /// Non-idempotent requests are excluded because the first run may already
    /// have had an effect. Without a trusted rating service a bad first answer
    /// cannot be detected, so only single versions are considered.
    fn may_cascade(&self, quality: &Quality, input: &PlanInput<'_>) -> bool {
        self.cfg.cascades
            && input.class.cascade
            && input.class.idempotent
            && input.rater_available
            && !quality.rater_distrusted()
    }

    /// Returns the quality of a cascade and the share of first answers that are
    /// rejected.
    ///
    /// `escalated` is the quality of the stronger version on requests whose
    /// first answer was rejected.
    fn cascade_moments(&self, first: Moments, escalated: Moments) -> (Moments, f64) {
        let (true_positive_rate, false_positive_rate) =
            (self.cfg.rater_accepts_good, self.cfg.rater_accepts_bad);
        let rejected =
            1.0 - first.mean * true_positive_rate - (1.0 - first.mean) * false_positive_rate;
        let mean = first.mean * true_positive_rate + rejected * escalated.mean;
        let first_weight =
            true_positive_rate - (true_positive_rate - false_positive_rate) * escalated.mean;
        let var = first_weight * first_weight * first.var + rejected * rejected * escalated.var;
        (Moments { mean, var }, rejected)
    }

    /// Selects the cheapest plan that meets the target, or a trial.
    ///
    /// Without trials, a version that was rated badly early on, or that has not
    /// been used in a class yet, would never be rated there, and the cost would
    /// stay high.
    fn choose(
        &self,
        quality: &Quality,
        input: &PlanInput<'_>,
        scored: &[ScoredPlan],
    ) -> Option<(usize, Reason)> {
        if let Some(index) = self.rollout_candidate(quality, scored) {
            return Some((index, Reason::Trial));
        }
        let (index, reason) =
            match min_by(scored, |s| s.meets_target && s.fits_deadline, |s| s.cost) {
                Some(index) => (index, Reason::Cheapest),
                None => (most_likely(scored)?, Reason::BestAvailable),
            };
        if let Some(index) = self.trial_candidate(input, scored, scored[index].cost) {
            return Some((index, Reason::Trial));
        }
        Some((index, reason))
    }

    /// Selects a version that is rolling out and still lacks evidence.
    ///
    /// Exposure permits it for its share of requests only. If it were selected
    /// by cost it might never be used, and its rollout would not progress.
    fn rollout_candidate(&self, quality: &Quality, scored: &[ScoredPlan]) -> Option<usize> {
        if self.cfg.trial_share <= 0.0 {
            return None;
        }
        scored.iter().position(|s| match &s.plan {
            Plan::Single(version) => s.fits_deadline && quality.needs_evidence(version),
            Plan::Cascade { .. } => false,
        })
    }

    /// Selects a cheaper plan to try on this request, depending on its random
    /// draw.
    ///
    /// The share of trials of a plan is proportional to the probability that it
    /// meets the target, so that unpromising plans are rarely tried and no plan
    /// that might meet the target is abandoned. While the rating service does
    /// not answer, trials are disabled because they would return unrated
    /// answers and produce no evidence.
    fn trial_candidate(
        &self,
        input: &PlanInput<'_>,
        scored: &[ScoredPlan],
        cost: f64,
    ) -> Option<usize> {
        if !input.rater_available {
            return None;
        }
        let tried = |s: &ScoredPlan| input.draw < self.cfg.trial_share * s.confidence;
        min_by(
            scored,
            |s| s.fits_deadline && s.cost < cost && tried(s),
            |s| s.cost,
        )
    }
}

impl ScoredPlan {
    fn new(plan: Plan, cost: f64, moments: Moments, (target, min_confidence): (f64, f64)) -> Self {
        let confidence = confidence(moments, target);
        Self {
            plan,
            cost,
            quality: moments.mean,
            confidence,
            fits_deadline: true,
            meets_target: confidence >= min_confidence,
        }
    }

    /// Returns a display name of the plan, such as `a@1 > b@2`.
    pub fn label(&self) -> SmolStr {
        match &self.plan {
            Plan::Single(version) => version.clone(),
            Plan::Cascade { first, then } => smol_str::format_smolstr!("{first} > {then}"),
        }
    }
}

/// Returns the probability that the target is met, from a Beta distribution
/// with the given mean and variance.
fn confidence(moments: Moments, target: f64) -> f64 {
    if moments.mean + HOPELESS_DEVIATIONS * moments.var.sqrt() < target {
        return 0.0;
    }
    let mean = moments.mean.clamp(1e-6, 1.0 - 1e-6);
    let n = (mean * (1.0 - mean) / moments.var.max(1e-12) - 1.0).max(1e-3);
    share_above(mean * n, (1.0 - mean) * n, target)
}

fn quality_target(target: Option<&Target>) -> (f64, f64) {
    target.map_or((0.0, 0.0), |target| (target.quality, target.confidence))
}

/// Returns the index of the plan that is most likely to meet the target. Ties,
/// such as among plans with zero confidence, are broken by quality.
fn most_likely(scored: &[ScoredPlan]) -> Option<usize> {
    let key = |s: &ScoredPlan| -(s.confidence + s.quality / 1000.0);
    min_by(scored, |s| s.fits_deadline, key).or_else(|| min_by(scored, |_| true, key))
}

/// Returns the index of the first plan with the smallest key among those that
/// pass the filter.
fn min_by(
    scored: &[ScoredPlan],
    keep: impl Fn(&ScoredPlan) -> bool,
    key: impl Fn(&ScoredPlan) -> f64,
) -> Option<usize> {
    (0..scored.len())
        .filter(|&index| keep(&scored[index]))
        .min_by(|&a, &b| key(&scored[a]).total_cmp(&key(&scored[b])))
}
