//! Choice of the cheapest plan that meets the quality target.

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

/// Standard deviations below the target from which a plan is hopeless.
const HOPELESS: f64 = 4.0;

/// Requests that scores are kept for while ratings come in.
const REUSES: u32 = 32;

/// Sets of candidates whose scores are kept.
const MAX_KEPT: usize = 1024;

/// Cascades of one class that are scored and explained.
const MOST_CASCADES: usize = 16;

/// Least confidence of a cascade that is ever tried.
const WORTH_A_TRIAL: f64 = 0.02;

/// Odd multiplier that mixes hashes.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanConfig {
    /// Whether cascades are considered.
    pub cascades: bool,
    /// Share of the requests that would try a cheaper plan if it were certain
    /// to meet the target; 0 turns trials off.
    pub explore: f64,
    /// Share of good answers that the rating service accepts.
    pub rater_accepts_good: f64,
    /// Share of bad answers that the rating service accepts.
    pub rater_accepts_bad: f64,
    /// Quality of the stronger version on what the first one failed, relative
    /// to its quality overall: hard requests are hard for both.
    pub hard_factor: f64,
    /// Cost of one rating, in the unit of versions.
    pub rating_cost: f64,
}

impl Default for PlanConfig {
    fn default() -> Self {
        Self {
            cascades: true,
            explore: 0.5,
            rater_accepts_good: 0.95,
            rater_accepts_bad: 0.05,
            hard_factor: 0.97,
            rating_cost: 0.02,
        }
    }
}

/// How a request is run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// By one version.
    Single(VersionId),
    /// By a cheap version first; if the rating service finds its answer bad,
    /// by a stronger one.
    Cascade {
        /// Version that answers first.
        first: VersionId,
        /// Version that answers if the first answer is bad.
        then: VersionId,
    },
}

impl Plan {
    /// Gives the version that runs first.
    pub fn first(&self) -> &VersionId {
        match self {
            Self::Single(version) => version,
            Self::Cascade { first, .. } => first,
        }
    }
}

/// A version that a request may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Full name.
    pub version: VersionId,
    /// Cost of 1000 generated tokens.
    pub cost: f64,
    /// Expected time until the whole answer; zero if unknown.
    pub takes: Duration,
}

/// What the choice is made from.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// Class of the request.
    pub class: &'a Class,
    /// The organisation's objective, if it has one.
    pub target: Option<&'a Target>,
    /// Versions allowed, loaded, not withdrawn and let through by exposure.
    pub candidates: &'a [Candidate],
    /// Time left until the deadline.
    pub left: Duration,
    /// Whether the rating service answers at once at present.
    pub rater_answers: bool,
    /// Point in [0, 1) from a hash of the request, for trials.
    pub draw: f64,
}

/// Why a plan was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The cheapest that meets the target.
    Cheapest,
    /// None meets the target; this one is the likeliest to.
    BestAvailable,
    /// A trial of a cheaper version.
    Trial,
}

/// One plan that was considered.
#[derive(Clone, Debug, PartialEq)]
pub struct Scored {
    /// The plan.
    pub plan: Plan,
    /// Expected cost of 1000 tokens of the answer.
    pub cost: f64,
    /// Expected share of good answers.
    pub quality: f64,
    /// Probability that the target is met.
    pub confidence: f64,
    /// Whether it fits in the time left.
    pub fits: bool,
    /// Whether it meets the target at the stated confidence.
    pub meets: bool,
}

/// The plan chosen, with what it was chosen from.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The plan.
    pub plan: Plan,
    /// Why it was chosen.
    pub reason: Reason,
    /// Everything that was considered, in order.
    pub scored: Vec<Scored>,
}

/// Chooses plans.
///
/// Scores are kept for a few requests of the same class, target and candidates:
/// scoring every cascade of 27 versions takes far longer than all the rest of a
/// decision, and a rating or two in between change little.
#[derive(Clone, Debug)]
pub struct Planner {
    cfg: PlanConfig,
    kept: IndexMap<u64, Kept>,
}

/// Scores kept for the next requests.
#[derive(Clone, Debug)]
struct Kept {
    /// State of the posteriors that they were made from.
    generation: u64,
    uses: u32,
    scored: Vec<Scored>,
    /// Positions of each plan's versions among the candidates.
    steps: Vec<(usize, Option<usize>)>,
}

impl Planner {
    /// Takes the settings.
    pub fn new(cfg: PlanConfig) -> Self {
        Self {
            cfg,
            kept: IndexMap::new(),
        }
    }

    /// Chooses the cheapest plan that meets the target, or the best available;
    /// none if there is no candidate.
    pub fn plan(&mut self, quality: &Quality, input: &PlanInput<'_>) -> Option<Planned> {
        let scored = self.scored(quality, input);
        let (at, reason) = self.choose(quality, input, &scored)?;
        Some(Planned {
            plan: scored[at].plan.clone(),
            reason,
            scored,
        })
    }

    /// Gives the scores, kept or new, with what fits in the time left.
    fn scored(&mut self, quality: &Quality, input: &PlanInput<'_>) -> Vec<Scored> {
        let key = self.key(quality, input);
        let generation = quality.generation();
        let fresh = |kept: &Kept| kept.generation == generation || kept.uses < REUSES;
        if !self.kept.get(&key).is_some_and(fresh) {
            let (scored, steps) = self.score(quality, input);
            if self.kept.len() >= MAX_KEPT {
                self.kept.swap_remove_index(0);
            }
            self.kept.insert(
                key,
                Kept {
                    generation,
                    uses: 0,
                    scored,
                    steps,
                },
            );
        }
        let kept = &mut self.kept[&key];
        kept.uses += 1;
        let mut scored = kept.scored.clone();
        for (scored, (first, then)) in scored.iter_mut().zip(&kept.steps) {
            let then = then.map_or(Duration::ZERO, |then| input.candidates[then].takes);
            scored.fits = input.candidates[*first].takes + then <= input.left;
        }
        scored
    }

    /// Hashes everything that scores depend on but the posteriors.
    fn key(&self, quality: &Quality, input: &PlanInput<'_>) -> u64 {
        let (target, wanted) = goal(input.target);
        let mut key = hash::rendezvous(&input.class.name, &target.to_le_bytes());
        let mut mix = |number: u64| key = (key ^ number).wrapping_mul(MIX).rotate_left(29);
        mix(wanted.to_bits());
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
    ) -> (Vec<Scored>, Vec<(usize, Option<usize>)>) {
        let moments: Vec<Moments> = input
            .candidates
            .iter()
            .map(|candidate| quality.moments(&input.class.name, &candidate.version))
            .collect();
        let mut scored = Vec::with_capacity(input.candidates.len() * 2);
        for (candidate, moments) in input.candidates.iter().zip(&moments) {
            let plan = Plan::Single(candidate.version.clone());
            scored.push(Scored::new(
                plan,
                candidate.cost,
                *moments,
                goal(input.target),
            ));
        }
        let mut steps: Vec<_> = (0..scored.len()).map(|at| (at, None)).collect();
        if self.may_cascade(quality, input) {
            for (first, then, plan) in self.score_cascades(quality, input, &moments, &scored) {
                steps.push((first, Some(then)));
                scored.push(plan);
            }
        }
        (scored, steps)
    }

    /// Scores the cascades that could be chosen or tried, cheapest first, up to
    /// the first that meets the target. Dearer ones would only cost time.
    fn score_cascades(
        &self,
        quality: &Quality,
        input: &PlanInput<'_>,
        moments: &[Moments],
        singles: &[Scored],
    ) -> Vec<(usize, usize, Scored)> {
        let most =
            least(singles, |s| s.meets, |s| s.cost).map_or(f64::INFINITY, |at| singles[at].cost);
        let mut cascades = Vec::new();
        for (then, strong) in input.candidates.iter().enumerate() {
            let class = &input.class.name;
            let redo = quality.moments_redo(class, &strong.version, self.cfg.hard_factor);
            for (first, cheap) in input.candidates.iter().enumerate() {
                if cheap.cost >= strong.cost || moments[first].mean >= moments[then].mean {
                    continue;
                }
                let (both, rejected) = self.cascade(moments[first], redo);
                let cost = cheap.cost + self.cfg.rating_cost + rejected * strong.cost;
                if cost < most {
                    cascades.push((cost, first, then, both));
                }
            }
        }
        cascades.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut scored: Vec<(usize, usize, Scored)> = Vec::new();
        for (cost, first, then, both) in cascades {
            let plan = Plan::Cascade {
                first: input.candidates[first].version.clone(),
                then: input.candidates[then].version.clone(),
            };
            let plan = Scored::new(plan, cost, both, goal(input.target));
            let meets = plan.meets;
            if meets || plan.confidence >= WORTH_A_TRIAL {
                scored.push((first, then, plan));
            }
            if meets || scored.len() >= MOST_CASCADES {
                break;
            }
        }
        scored
    }

    /// Tells whether a request may be run by a second version.
    ///
    /// A non-idempotent one never is: its first run may already have had its
    /// effect. Without a trusted rating service nobody could tell a bad first
    /// answer, so the plan falls back to single versions.
    fn may_cascade(&self, quality: &Quality, input: &PlanInput<'_>) -> bool {
        self.cfg.cascades
            && input.class.cascade
            && input.class.idempotent
            && input.rater_answers
            && !quality.rater_distrusted()
    }

    /// Gives the quality of a cascade and the share of first answers rejected.
    ///
    /// `redo` is the quality of the stronger version on what the first failed.
    fn cascade(&self, first: Moments, redo: Moments) -> (Moments, f64) {
        let (hit, miss) = (self.cfg.rater_accepts_good, self.cfg.rater_accepts_bad);
        let rejected = 1.0 - first.mean * hit - (1.0 - first.mean) * miss;
        let mean = first.mean * hit + rejected * redo.mean;
        let by_first = hit - (hit - miss) * redo.mean;
        let var = by_first * by_first * first.var + rejected * rejected * redo.var;
        (Moments { mean, var }, rejected)
    }

    /// Chooses the cheapest that meets the target, or a trial.
    ///
    /// Without trials a version that had bad luck early, or that nobody used
    /// yet in a class, would never be rated there and the cost would stay high.
    fn choose(
        &self,
        quality: &Quality,
        input: &PlanInput<'_>,
        scored: &[Scored],
    ) -> Option<(usize, Reason)> {
        if let Some(at) = self.rollout(quality, scored) {
            return Some((at, Reason::Trial));
        }
        let (at, reason) = match least(scored, |s| s.meets && s.fits, |s| s.cost) {
            Some(at) => (at, Reason::Cheapest),
            None => (likeliest(scored)?, Reason::BestAvailable),
        };
        if let Some(at) = self.trial(input, scored, scored[at].cost) {
            return Some((at, Reason::Trial));
        }
        Some((at, reason))
    }

    /// Chooses a version that rolls out and still lacks evidence.
    ///
    /// Exposure lets it through on its share of requests only. Compared by cost
    /// it might never be used, and its roll-out would stand still.
    fn rollout(&self, quality: &Quality, scored: &[Scored]) -> Option<usize> {
        if self.cfg.explore <= 0.0 {
            return None;
        }
        scored.iter().position(|s| match &s.plan {
            Plan::Single(version) => s.fits && quality.wants_evidence(version),
            Plan::Cascade { .. } => false,
        })
    }

    /// Chooses a cheaper plan to try on this request, if its draw says so.
    ///
    /// A plan's share of trials is in proportion to the probability that it
    /// meets the target, so that nothing hopeless is tried often and nothing
    /// possible is given up for good. While the rating service does not answer,
    /// a trial would let unrated answers through and teach nothing.
    fn trial(&self, input: &PlanInput<'_>, scored: &[Scored], cost: f64) -> Option<usize> {
        if !input.rater_answers {
            return None;
        }
        let tried = |s: &Scored| input.draw < self.cfg.explore * s.confidence;
        least(scored, |s| s.fits && s.cost < cost && tried(s), |s| s.cost)
    }
}

impl Scored {
    fn new(plan: Plan, cost: f64, moments: Moments, (target, wanted): (f64, f64)) -> Self {
        let confidence = confidence(moments, target);
        Self {
            plan,
            cost,
            quality: moments.mean,
            confidence,
            fits: true,
            meets: confidence >= wanted,
        }
    }

    /// Gives the plan's name for people, such as `a@1 > b@2`.
    pub fn label(&self) -> SmolStr {
        match &self.plan {
            Plan::Single(version) => version.clone(),
            Plan::Cascade { first, then } => smol_str::format_smolstr!("{first} > {then}"),
        }
    }
}

/// Fits a Beta distribution to mean and variance and asks it for the target.
fn confidence(moments: Moments, target: f64) -> f64 {
    if moments.mean + HOPELESS * moments.var.sqrt() < target {
        return 0.0;
    }
    let mean = moments.mean.clamp(1e-6, 1.0 - 1e-6);
    let n = (mean * (1.0 - mean) / moments.var.max(1e-12) - 1.0).max(1e-3);
    share_above(mean * n, (1.0 - mean) * n, target)
}

fn goal(target: Option<&Target>) -> (f64, f64) {
    target.map_or((0.0, 0.0), |target| (target.quality, target.confidence))
}

/// Finds the plan that likeliest meets the target, and among the hopeless the
/// one of the best quality.
fn likeliest(scored: &[Scored]) -> Option<usize> {
    let key = |s: &Scored| -(s.confidence + s.quality / 1000.0);
    least(scored, |s| s.fits, key).or_else(|| least(scored, |_| true, key))
}

/// Finds the first of the least among those that a filter lets through.
fn least(
    scored: &[Scored],
    keep: impl Fn(&Scored) -> bool,
    key: impl Fn(&Scored) -> f64,
) -> Option<usize> {
    (0..scored.len())
        .filter(|&at| keep(&scored[at]))
        .min_by(|&a, &b| key(&scored[a]).total_cmp(&key(&scored[b])))
}
