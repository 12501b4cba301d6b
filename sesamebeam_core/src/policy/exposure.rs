//! Trust in versions: who may see a version, and when it is held.
//!
//! A version that rolls out takes routine idempotent work first; urgent work
//! and requests that must run at most once follow after evidence. Each version,
//! settled ones too, is under a sequential test over ratings, failures and
//! slowness. Crossing its limit holds the version at this entry at once; the
//! reports of [`Exposure::take_evidence`] let the control group hold it
//! everywhere.
//!
//! Rule for sessions: a session that is pinned to a version goes on while the
//! version is merely held; only a withdrawal ends the pin. New sessions and
//! requests without a session do not get a held version.

mod evidence;

use std::time::Duration;

use indexmap::IndexMap;

use self::evidence::{
    Stream,
    Trial, //
};
use super::{
    hash,
    quality::Quality, //
};
use crate::{
    fleet::{
        Class,
        Fleet,
        Priority,
        VersionState, //
    },
    ids::{
        InstanceId,
        MonoTime,
        VersionId, //
    },
    message::{
        command::{
            Evidence,
            RolloutState, //
        },
        control::Live, //
    },
};

/// Level for hard requests, relative to the usual one, before it is known.
const HARD_LEVEL: f64 = 0.8;

/// Settings of trust and of the sequential test.
#[derive(Clone, Debug, PartialEq)]
pub struct ExposureConfig {
    /// Whether routine work goes first; without, every class may use a version
    /// that rolls out.
    pub in_order: bool,
    /// Whether the sequential test holds versions.
    pub test: bool,
    /// Probability of holding a good version during its roll-out that the test
    /// stays below.
    pub false_holds: f64,
    /// Observations of one version within which that bound is kept by the part
    /// of the test that starts anew all the time.
    pub horizon: f64,
    /// Distance below the expected level that is still good.
    pub margin: f64,
    /// Ratings in a class from which a settled version is measured by itself.
    pub known: f64,
    /// Quality, relative to that level, which the test bets on.
    pub bad_factor: f64,
    /// Share of failures that a good version may have.
    pub failures: f64,
    /// Share of slow answers that a good version may have.
    pub slow: f64,
    /// Answers that count as slow: this many times the time per token of the
    /// model's settled versions.
    pub slow_factor: f64,
    /// Rated answers before urgent idempotent work is let through.
    pub urgent_after: u32,
    /// Rated answers before requests that run at most once are let through.
    pub once_after: u32,
    /// Share of answers of settled versions that is sent for rating.
    pub sample: f64,
    /// Time within which two versions that cross the same limit have a cause
    /// outside of them.
    pub together: Duration,
}

impl Default for ExposureConfig {
    fn default() -> Self {
        Self {
            in_order: true,
            test: true,
            false_holds: 0.01,
            horizon: 500.0,
            margin: 0.03,
            known: 80.0,
            bad_factor: 0.5,
            failures: 0.03,
            slow: 0.3,
            slow_factor: 2.5,
            urgent_after: 20,
            once_after: 40,
            sample: 0.25,
            together: Duration::from_secs(60),
        }
    }
}

/// What was seen of one answer of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It was rated.
    Rated {
        /// Whether it was good.
        good: bool,
    },
    /// It was rated as the second answer of a cascade, to a hard request.
    Redone {
        /// Whether it was good.
        good: bool,
    },
    /// It arrived whole.
    Whole {
        /// Time from sending to the end.
        took: Duration,
        /// Tokens generated.
        tokens: u32,
    },
    /// It failed by the version's fault.
    Failed,
    /// A backend server died while it ran the version. Counted once a death,
    /// however many requests were on board.
    Crashed,
}

/// Whether a request may use a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may.
    Allowed,
    /// It may, although the version is held, because its session is pinned.
    Pinned,
    /// The version is held.
    Held,
    /// The version is withdrawn or unknown.
    Withdrawn,
    /// The roll-out has not come to this request yet.
    NotYet,
    /// The version has not earned this class of work yet.
    Untrusted,
}

impl Permit {
    /// Tells whether the request may use the version.
    pub fn allows(self) -> bool {
        matches!(self, Self::Allowed | Self::Pinned)
    }
}

/// Why a version was held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// Its answers are rated bad.
    Ratings,
    /// Its requests fail or crash backend servers.
    Failures,
    /// Its answers are slow.
    Slowness,
    /// The control group holds it.
    Fleet,
}

impl HoldReason {
    /// Number of reasons.
    const COUNT: usize = 4;
}

/// Trust in every version, at one entry.
#[derive(Clone, Debug)]
pub struct Exposure {
    cfg: ExposureConfig,
    trials: IndexMap<VersionId, Trial>,
    /// Usual time per token of settled versions, in seconds, by model.
    pace: IndexMap<VersionId, f64>,
    /// Until when a limit crossed has a cause outside of the versions.
    outside_until: [MonoTime; HoldReason::COUNT],
}

impl Exposure {
    /// Starts without evidence.
    pub fn new(cfg: ExposureConfig) -> Self {
        Self {
            cfg,
            trials: IndexMap::new(),
            pace: IndexMap::new(),
            outside_until: [MonoTime::ZERO; HoldReason::COUNT],
        }
    }

    /// Takes the versions of a fleet file. What is known of a version is kept
    /// as long as the file lists it.
    pub fn configure(&mut self, fleet: &Fleet) {
        let mut trials = IndexMap::new();
        for model in &fleet.models {
            for version in &model.versions {
                let full = crate::ids::join_version(&model.name, &version.name);
                let mut trial = self.trials.swap_remove(&full).unwrap_or_default();
                trial.enter(version.state);
                trials.insert(full, trial);
            }
        }
        self.trials = trials;
    }

    /// Takes the control group's state: fleet-wide holds and shares.
    pub fn live(&mut self, live: &Live) {
        for (version, trial) in &mut self.trials {
            trial.fleet_hold = live.held.contains(version);
            trial.share = 0.0;
        }
        for view in &live.rollouts {
            let Some(trial) = self.trials.get_mut(&view.version) else {
                continue;
            };
            trial.share = match view.state {
                RolloutState::Loading => 0.0,
                RolloutState::At(_) => view.share.clamp(0.0, 1.0),
                RolloutState::Held => 0.0,
                RolloutState::Done => 1.0,
            };
            trial.fleet_hold |= view.state == RolloutState::Held;
            let (good, bad) = view.rated;
            trial.fleet_rated = good.saturating_add(bad);
        }
    }

    /// Tells whether a request may use a version.
    ///
    /// `draw_key` is the session's name, or the request's number without one:
    /// a session stays on the same side of a roll-out's share.
    pub fn permit(&self, version: &str, class: &Class, draw_key: &[u8], pinned: bool) -> Permit {
        let Some(trial) = self.trials.get(version) else {
            return Permit::Withdrawn;
        };
        if trial.state == VersionState::Withdrawn {
            return Permit::Withdrawn;
        }
        if pinned {
            return if trial.is_held() {
                Permit::Pinned
            } else {
                Permit::Allowed
            };
        }
        if trial.is_held() {
            return Permit::Held;
        }
        if trial.state == VersionState::Settled {
            return Permit::Allowed;
        }
        if hash::unit(draw_key, version) >= trial.share {
            return Permit::NotYet;
        }
        if self.cfg.in_order && trial.rated() < self.needed(class) {
            return Permit::Untrusted;
        }
        Permit::Allowed
    }

    /// Learns from one answer; tells why the version is now held, if it is.
    ///
    /// `quality` gives the level that the version's answers are measured by.
    pub fn observe(
        &mut self,
        now: MonoTime,
        version: &VersionId,
        class: &str,
        seen: Observation,
        quality: &Quality,
    ) -> Option<HoldReason> {
        let slow = self.slow(version, seen);
        let level = self.level(version, class, quality);
        let redo_level = self.redo_level(version, class, level, quality);
        let cfg = &self.cfg;
        let trial = self.trials.get_mut(version)?;
        let was_held = trial.held.is_some();
        match seen {
            Observation::Rated { good } => {
                trial.count_rating(good);
                trial.ratings.bet(good, level, level * cfg.bad_factor);
            }
            Observation::Redone { good } => {
                trial.count_rating(good);
                trial
                    .redone
                    .bet(good, redo_level, redo_level * cfg.bad_factor);
            }
            Observation::Whole { .. } => {
                let ok = 1.0 - cfg.failures;
                trial.failures.bet(true, ok, 1.0 - cfg.failures * 6.0);
                let fast = 1.0 - cfg.slow;
                if let Some(slow) = slow {
                    trial.slowness.bet(!slow, fast, 1.0 - cfg.slow * 2.5);
                }
            }
            Observation::Failed | Observation::Crashed => {
                trial.errors = trial.errors.saturating_add(1);
                let ok = 1.0 - cfg.failures;
                trial.failures.bet(false, ok, 1.0 - cfg.failures * 6.0);
            }
        }
        if !cfg.test || was_held {
            return None;
        }
        let early = (3.0 / cfg.false_holds).ln();
        let late = (3.0 * cfg.horizon / cfg.false_holds).ln();
        let rolling = trial.state == VersionState::Rolling;
        let crossed = |stream: &Stream| stream.crossed(rolling, early, late);
        let reason = if crossed(&trial.ratings) || crossed(&trial.redone) {
            HoldReason::Ratings
        } else if crossed(&trial.failures) {
            HoldReason::Failures
        } else if crossed(&trial.slowness) {
            HoldReason::Slowness
        } else {
            return None;
        };
        self.cross(now, version, reason)
    }

    /// Holds a version that crossed a limit, unless the cause lies outside.
    ///
    /// An outage fails the requests of every version, and a broken rating
    /// service rates all of them bad. Held one by one, no version would be left
    /// to serve. Two versions do not turn bad within a minute: the second one
    /// to cross the same limit lets the first one go.
    fn cross(
        &mut self,
        now: MonoTime,
        version: &VersionId,
        reason: HoldReason,
    ) -> Option<HoldReason> {
        let together = self.cfg.together;
        let lately = |trial: &Trial| matches!(trial.held, Some((why, at)) if why == reason && now.saturating_sub(at) < together);
        let outside = now < self.outside_until[reason as usize] || self.trials.values().any(lately);
        if !outside && self.is_last(version) {
            self.trials.get_mut(version)?.forget(reason);
            return None;
        }
        if !outside {
            let trial = self.trials.get_mut(version)?;
            trial.held = Some((reason, now));
            trial.report_hold = true;
            return Some(reason);
        }
        self.outside_until[reason as usize] = now + together;
        for trial in self.trials.values_mut() {
            if lately(trial) {
                trial.held = None;
                trial.report_hold = true;
            }
            trial.forget(reason);
        }
        None
    }

    /// Tells whether a version is the last settled one of its model that is not
    /// held. It is not held by evidence: with it every request would be refused,
    /// which is worse than answers that are possibly bad.
    fn is_last(&self, version: &str) -> bool {
        let model = model_of(version);
        let usable = |(name, trial): (&VersionId, &Trial)| {
            name != version
                && model_of(name) == model
                && trial.state == VersionState::Settled
                && !trial.is_held()
        };
        let settled = |t: &Trial| t.state == VersionState::Settled;
        self.trials.get(version).is_some_and(settled) && !self.trials.iter().any(usable)
    }

    /// Gives the share of a version's answers that is sent for rating: all of a
    /// version that rolls out or looks bad, a sample of the others.
    pub fn sample_share(&self, version: &str) -> f64 {
        match self.trials.get(version) {
            Some(trial) if trial.state == VersionState::Settled && !trial.looks_bad() => {
                self.cfg.sample
            }
            _ => 1.0,
        }
    }

    /// Lets go of holds by ratings made since a time, because the rating
    /// service turned out to be wrong. Holds by failures stay.
    pub fn release_ratings_since(&mut self, since: MonoTime) -> Vec<VersionId> {
        let mut released = Vec::new();
        for (version, trial) in &mut self.trials {
            if matches!(trial.held, Some((HoldReason::Ratings, at)) if at >= since) {
                trial.held = None;
                released.push(version.clone());
            }
            trial.forget(HoldReason::Ratings);
        }
        released
    }

    /// Holds a version because another entry of the failure domain does.
    pub fn hold(&mut self, now: MonoTime, version: &str) {
        if let Some(trial) = self.trials.get_mut(version)
            && trial.held.is_none()
        {
            trial.held = Some((HoldReason::Fleet, now));
        }
    }

    /// Tells why a version is held, if it is.
    pub fn held(&self, version: &str) -> Option<HoldReason> {
        let trial = self.trials.get(version)?;
        match trial.held {
            Some((reason, _)) => Some(reason),
            None => trial.fleet_hold.then_some(HoldReason::Fleet),
        }
    }

    /// Lists the versions that this entry's own test holds.
    pub fn held_here(&self) -> Vec<VersionId> {
        self.trials
            .iter()
            .filter(|(_, trial)| trial.held.is_some())
            .map(|(version, _)| version.clone())
            .collect()
    }

    /// Takes what was seen since the last call, for the control group.
    pub fn take_evidence(&mut self, from: &InstanceId) -> Vec<Evidence> {
        let mut reports = Vec::new();
        for (version, trial) in &mut self.trials {
            if !trial.has_news() {
                continue;
            }
            reports.push(Evidence {
                from: from.clone(),
                version: version.clone(),
                good: std::mem::take(&mut trial.good),
                bad: std::mem::take(&mut trial.bad),
                errors: std::mem::take(&mut trial.errors),
                hold: trial.held.is_some(),
            });
            trial.report_hold = false;
        }
        reports
    }

    fn needed(&self, class: &Class) -> u32 {
        if !class.idempotent {
            self.cfg.once_after
        } else if class.priority == Priority::Urgent {
            self.cfg.urgent_after
        } else {
            0
        }
    }

    /// Gives the share of good answers below which a version is bad: what a
    /// settled version itself has shown for long, or else what its model's best
    /// settled version shows or its own prior, less a margin.
    fn level(&self, version: &str, class: &str, quality: &Quality) -> f64 {
        let settled = self
            .trials
            .get(version)
            .is_some_and(|t| t.state == VersionState::Settled);
        if settled && quality.evidence(class, version) >= self.cfg.known {
            let own = quality.expected(class, version) - self.cfg.margin;
            return own.clamp(0.1, 0.98);
        }
        let prior = quality.prior(version).unwrap_or(0.5);
        let model = model_of(version);
        let sibling = self
            .trials
            .iter()
            .filter(|(name, trial)| {
                trial.state == VersionState::Settled && *name != version && model_of(name) == model
            })
            .map(|(name, _)| quality.expected(class, name))
            .max_by(f64::total_cmp);
        let expected = sibling.map_or(prior, |level| level.min(prior));
        (expected - self.cfg.margin).clamp(0.1, 0.98)
    }

    /// Gives the level for second answers of cascades. Hard requests get fewer
    /// good answers from any version, and by how many is known only in time.
    fn redo_level(&self, version: &str, class: &str, level: f64, quality: &Quality) -> f64 {
        if quality.evidence_redo(class, version) < self.cfg.known / 2.0 {
            return level * HARD_LEVEL;
        }
        let own = quality.moments_redo(class, version, 1.0).mean - self.cfg.margin;
        own.clamp(0.1, 0.98)
    }

    /// Tells whether an answer was slow for its model, and learns the pace of
    /// settled versions.
    fn slow(&mut self, version: &str, seen: Observation) -> Option<bool> {
        let Observation::Whole { took, tokens } = seen else {
            return None;
        };
        let each = took.as_secs_f64() / f64::from(tokens.max(1));
        let model = model_of(version);
        let settled = self.trials.get(version)?.state == VersionState::Settled;
        let usual = self.pace.get(model).copied();
        if settled {
            let pace = self.pace.entry(VersionId::from(model)).or_insert(each);
            *pace += 0.02 * (each - *pace);
        }
        usual.map(|usual| each > usual * self.cfg.slow_factor)
    }
}

fn model_of(version: &str) -> &str {
    version.split_once('@').map_or(version, |(model, _)| model)
}
