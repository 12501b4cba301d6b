//! Staged exposure of versions during rollouts, and automatic holds.
//!
//! A version that is rolling out first receives routine idempotent requests.
//! Urgent requests and non-idempotent requests follow once there is enough
//! evidence. Every version, including settled ones, is monitored by sequential
//! tests of ratings, failures and slowness. If a test crosses its limit, this
//! entry holds the version immediately; the reports from
//! [`Exposure::take_evidence`] allow the control group to hold it on all
//! entries.
//!
//! A session that is pinned to a version continues while the version is held;
//! only withdrawal of the version ends the pin. New sessions and requests
//! without a session do not use a held version.

mod evidence;

use std::time::Duration;

use indexmap::IndexMap;

use self::evidence::{
    SequentialTest,
    VersionTrust, //
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
        control::LiveState, //
    },
};

/// Assumed quality on escalated requests relative to the usual quality, until
/// there is enough evidence.
const ESCALATED_LEVEL_FACTOR: f64 = 0.8;

/// Settings of exposure and of the sequential tests.
#[derive(Clone, Debug, PartialEq)]
pub struct ExposureConfig {
    /// Whether routine requests go first; otherwise requests of every class may
    /// use a version that is rolling out.
    pub staged: bool,
    /// Whether the sequential test holds versions.
    pub sequential_test: bool,
    /// Upper bound of the probability that a test holds a good version during
    /// its rollout.
    pub false_hold_probability: f64,
    /// Number of observations of one version within which the CUSUM part of a
    /// test, which restarts continually, keeps that bound.
    pub horizon: f64,
    /// Tolerated shortfall from the expected quality.
    pub margin: f64,
    /// Number of ratings in a class from which a settled version is compared
    /// with its own past quality.
    pub min_own_ratings: f64,
    /// Quality of a bad version relative to that of a just acceptable one. The
    /// test's alternative hypothesis.
    pub bad_factor: f64,
    /// Acceptable share of failures.
    pub failures: f64,
    /// Acceptable share of slow answers.
    pub slow: f64,
    /// An answer is slow if its time per token exceeds that of the model's
    /// settled versions by this factor.
    pub slow_factor: f64,
    /// Number of rated answers after which urgent idempotent requests are
    /// permitted.
    pub urgent_after: u32,
    /// Number of rated answers after which non-idempotent requests are
    /// permitted.
    pub non_idempotent_after: u32,
    /// Share of answers of settled versions that is sent for rating.
    pub rating_sample: f64,
    /// Time within which two versions that cross the same limit are assumed to
    /// have a common external cause.
    pub external_cause_window: Duration,
}

impl Default for ExposureConfig {
    fn default() -> Self {
        Self {
            staged: true,
            sequential_test: true,
            false_hold_probability: 0.01,
            horizon: 500.0,
            margin: 0.03,
            min_own_ratings: 80.0,
            bad_factor: 0.5,
            failures: 0.03,
            slow: 0.3,
            slow_factor: 2.5,
            urgent_after: 20,
            non_idempotent_after: 40,
            rating_sample: 0.25,
            external_cause_window: Duration::from_secs(60),
        }
    }
}

/// An observation of one answer of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The answer was rated.
    Rated {
        /// Whether the rating was good.
        good: bool,
    },
    /// The answer was the second of a cascade, to a hard request, and was
    /// rated.
    Escalated {
        /// Whether the rating was good.
        good: bool,
    },
    /// The complete answer arrived.
    Whole {
        /// Time from sending the request to the end of the answer.
        took: Duration,
        /// Number of generated tokens.
        tokens: u32,
    },
    /// The request failed because of the version.
    Failed,
    /// A backend server crashed while it ran the version. Counted once per
    /// crash, regardless of the number of requests in flight.
    Crashed,
}

/// Decision on whether a request may use a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The request may use the version.
    Allowed,
    /// The request may use the version although it is held, because its session
    /// is pinned to it.
    Pinned,
    /// The version is held.
    Held,
    /// The version is withdrawn or unknown.
    Withdrawn,
    /// The request is outside the current share of the rollout.
    NotYet,
    /// The version does not have enough evidence for this class yet.
    Untrusted,
}

impl Permit {
    /// Returns whether the request may use the version.
    pub fn allows(self) -> bool {
        matches!(self, Self::Allowed | Self::Pinned)
    }
}

/// Reason for holding a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// Its answers are rated badly.
    Ratings,
    /// Its requests fail or crash backend servers.
    Failures,
    /// Its answers are slow.
    Slowness,
    /// The control group, or another entry of the failure domain, holds it.
    Fleet,
}

impl HoldReason {
    /// Number of variants.
    const COUNT: usize = 4;
}

/// Exposure state of all versions, on one entry.
#[derive(Clone, Debug)]
pub struct Exposure {
    cfg: ExposureConfig,
    versions: IndexMap<VersionId, VersionTrust>,
    /// Moving average of the time per token of settled versions, in seconds, by
    /// model.
    time_per_token: IndexMap<VersionId, f64>,
    /// Time until which crossed limits are attributed to a common external
    /// cause, by reason.
    external_cause_until: [MonoTime; HoldReason::COUNT],
}

impl Exposure {
    /// Creates an instance without evidence.
    pub fn new(cfg: ExposureConfig) -> Self {
        Self {
            cfg,
            versions: IndexMap::new(),
            time_per_token: IndexMap::new(),
            external_cause_until: [MonoTime::ZERO; HoldReason::COUNT],
        }
    }

    /// Applies the versions of a fleet file. The state of a version is kept as
    /// long as the file lists it.
    pub fn configure(&mut self, fleet: &Fleet) {
        let mut versions = IndexMap::new();
        for model in &fleet.models {
            for version in &model.versions {
                let full = crate::ids::join_version(&model.name, &version.name);
                let mut trust = self.versions.swap_remove(&full).unwrap_or_default();
                trust.set_state(version.state);
                versions.insert(full, trust);
            }
        }
        self.versions = versions;
    }

    /// Applies the control group's state: fleet-wide holds and rollout shares.
    pub fn apply_live(&mut self, live: &LiveState) {
        for (version, trust) in &mut self.versions {
            trust.fleet_hold = live.held.contains(version);
            trust.share = 0.0;
        }
        for view in &live.rollouts {
            let Some(trust) = self.versions.get_mut(&view.version) else {
                continue;
            };
            trust.share = match view.state {
                RolloutState::Loading => 0.0,
                RolloutState::At(_) => view.share.clamp(0.0, 1.0),
                RolloutState::Held => 0.0,
                RolloutState::Done => 1.0,
            };
            trust.fleet_hold |= view.state == RolloutState::Held;
            let (good, bad) = view.rated;
            trust.fleet_ratings = good.saturating_add(bad);
        }
    }

    /// Returns whether a request may use a version.
    ///
    /// `draw_key` is the name of the session, or the request identifier if
    /// there is no session. A session thus stays on the same side of a
    /// rollout's share.
    pub fn permit(&self, version: &str, class: &Class, draw_key: &[u8], pinned: bool) -> Permit {
        let Some(trust) = self.versions.get(version) else {
            return Permit::Withdrawn;
        };
        if trust.state == VersionState::Withdrawn {
            return Permit::Withdrawn;
        }
        if pinned {
            return if trust.is_held() {
                Permit::Pinned
            } else {
                Permit::Allowed
            };
        }
        if trust.is_held() {
            return Permit::Held;
        }
        if trust.state == VersionState::Settled {
            return Permit::Allowed;
        }
        if hash::unit(draw_key, version) >= trust.share {
            return Permit::NotYet;
        }
        if self.cfg.staged && trust.rating_count() < self.required_ratings(class) {
            return Permit::Untrusted;
        }
        Permit::Allowed
    }

    /// Records an observation. Returns the reason if it causes the version to
    /// be held.
    ///
    /// `quality` provides the quality level against which answers are tested.
    pub fn observe(
        &mut self,
        now: MonoTime,
        version: &VersionId,
        class: &str,
        observation: Observation,
        quality: &Quality,
    ) -> Option<HoldReason> {
        let slow = self.is_slow(version, observation);
        let quality_level = self.quality_level(version, class, quality);
        let escalated_level = self.escalated_level(version, class, quality_level, quality);
        let cfg = &self.cfg;
        let trust = self.versions.get_mut(version)?;
        let was_held = trust.held.is_some();
        match observation {
            Observation::Rated { good } => {
                trust.count_rating(good);
                trust
                    .ratings
                    .add(good, quality_level, quality_level * cfg.bad_factor);
            }
            Observation::Escalated { good } => {
                trust.count_rating(good);
                trust.escalated_ratings.add(
                    good,
                    escalated_level,
                    escalated_level * cfg.bad_factor,
                );
            }
            Observation::Whole { .. } => {
                let ok = 1.0 - cfg.failures;
                trust.failures.add(true, ok, 1.0 - cfg.failures * 6.0);
                let fast = 1.0 - cfg.slow;
                if let Some(slow) = slow {
                    trust.slowness.add(!slow, fast, 1.0 - cfg.slow * 2.5);
                }
            }
            Observation::Failed | Observation::Crashed => {
                trust.errors = trust.errors.saturating_add(1);
                let ok = 1.0 - cfg.failures;
                trust.failures.add(false, ok, 1.0 - cfg.failures * 6.0);
            }
        }
        if !cfg.sequential_test || was_held {
            return None;
        }
        let rollout_limit = (3.0 / cfg.false_hold_probability).ln();
        let cusum_limit = (3.0 * cfg.horizon / cfg.false_hold_probability).ln();
        let rolling = trust.state == VersionState::Rolling;
        let crossed = |test: &SequentialTest| test.crossed(rolling, rollout_limit, cusum_limit);
        let reason = if crossed(&trust.ratings) || crossed(&trust.escalated_ratings) {
            HoldReason::Ratings
        } else if crossed(&trust.failures) {
            HoldReason::Failures
        } else if crossed(&trust.slowness) {
            HoldReason::Slowness
        } else {
            return None;
        };
        self.hold_unless_external(now, version, reason)
    }

    /// Holds a version that crossed a limit, unless the cause is external.
    ///
    /// An outage fails the requests of all versions, and a faulty rating
    /// service rates all of them badly. If each were held, no version would be
    /// left to serve requests. Two versions do not degrade independently within
    /// a minute, so the second one to cross the same limit releases the first.
    fn hold_unless_external(
        &mut self,
        now: MonoTime,
        version: &VersionId,
        reason: HoldReason,
    ) -> Option<HoldReason> {
        let external_cause_window = self.cfg.external_cause_window;
        let held_recently = |trust: &VersionTrust| matches!(trust.held, Some((why, at)) if why == reason && now.saturating_sub(at) < external_cause_window);
        let external_cause = now < self.external_cause_until[reason as usize]
            || self.versions.values().any(held_recently);
        if !external_cause && self.is_last_usable(version) {
            self.versions.get_mut(version)?.reset_tests(reason);
            return None;
        }
        if !external_cause {
            let trust = self.versions.get_mut(version)?;
            trust.held = Some((reason, now));
            trust.hold_changed = true;
            return Some(reason);
        }
        self.external_cause_until[reason as usize] = now + external_cause_window;
        for trust in self.versions.values_mut() {
            if held_recently(trust) {
                trust.held = None;
                trust.hold_changed = true;
            }
            trust.reset_tests(reason);
        }
        None
    }

    /// Returns whether a version is the last settled version of its model that
    /// is not held. Such a version is not held by the tests: refusing every
    /// request is worse than returning answers that may be bad.
    fn is_last_usable(&self, version: &str) -> bool {
        let model = model_of(version);
        let usable = |(name, trust): (&VersionId, &VersionTrust)| {
            name != version
                && model_of(name) == model
                && trust.state == VersionState::Settled
                && !trust.is_held()
        };
        let settled = |t: &VersionTrust| t.state == VersionState::Settled;
        self.versions.get(version).is_some_and(settled) && !self.versions.iter().any(usable)
    }

    /// Returns the share of a version's answers that is sent for rating: all
    /// answers of versions that are rolling out or look bad, and a sample of
    /// the others.
    pub fn sample_share(&self, version: &str) -> f64 {
        match self.versions.get(version) {
            Some(trust) if trust.state == VersionState::Settled && !trust.is_suspicious() => {
                self.cfg.rating_sample
            }
            _ => 1.0,
        }
    }

    /// Releases holds by ratings made since a time, because the rating service
    /// was found to be faulty. Holds for other reasons remain.
    pub fn release_ratings_since(&mut self, since: MonoTime) -> Vec<VersionId> {
        let mut released = Vec::new();
        for (version, trust) in &mut self.versions {
            if matches!(trust.held, Some((HoldReason::Ratings, at)) if at >= since) {
                trust.held = None;
                released.push(version.clone());
            }
            trust.reset_tests(HoldReason::Ratings);
        }
        released
    }

    /// Holds a version because another entry of the failure domain holds it.
    pub fn hold(&mut self, now: MonoTime, version: &str) {
        if let Some(trust) = self.versions.get_mut(version)
            && trust.held.is_none()
        {
            trust.held = Some((HoldReason::Fleet, now));
        }
    }

    /// Returns the reason for which a version is held, if it is.
    pub fn hold_reason(&self, version: &str) -> Option<HoldReason> {
        let trust = self.versions.get(version)?;
        match trust.held {
            Some((reason, _)) => Some(reason),
            None => trust.fleet_hold.then_some(HoldReason::Fleet),
        }
    }

    /// Returns the versions held on this entry. Fleet-wide holds by the control
    /// group are not included.
    pub fn held_versions(&self) -> Vec<VersionId> {
        self.versions
            .iter()
            .filter(|(_, trust)| trust.held.is_some())
            .map(|(version, _)| version.clone())
            .collect()
    }

    /// Returns the evidence since the last call, to be reported to the control
    /// group.
    pub fn take_evidence(&mut self, from: &InstanceId) -> Vec<Evidence> {
        let mut reports = Vec::new();
        for (version, trust) in &mut self.versions {
            if !trust.needs_report() {
                continue;
            }
            reports.push(Evidence {
                from: from.clone(),
                version: version.clone(),
                good: std::mem::take(&mut trust.good),
                bad: std::mem::take(&mut trust.bad),
                errors: std::mem::take(&mut trust.errors),
                hold: trust.held.is_some(),
            });
            trust.hold_changed = false;
        }
        reports
    }

    fn required_ratings(&self, class: &Class) -> u32 {
        if !class.idempotent {
            self.cfg.non_idempotent_after
        } else if class.priority == Priority::Urgent {
            self.cfg.urgent_after
        } else {
            0
        }
    }

    /// Returns the lowest acceptable share of good answers: the past quality of
    /// a settled version with enough evidence, or else the lower of its prior
    /// and the best settled version of the same model, less the margin.
    fn quality_level(&self, version: &str, class: &str, quality: &Quality) -> f64 {
        let settled = self
            .versions
            .get(version)
            .is_some_and(|t| t.state == VersionState::Settled);
        if settled && quality.evidence(class, version) >= self.cfg.min_own_ratings {
            let own = quality.expected(class, version) - self.cfg.margin;
            return own.clamp(0.1, 0.98);
        }
        let prior = quality.prior(version).unwrap_or(0.5);
        let model = model_of(version);
        let sibling = self
            .versions
            .iter()
            .filter(|(name, trust)| {
                trust.state == VersionState::Settled && *name != version && model_of(name) == model
            })
            .map(|(name, _)| quality.expected(class, name))
            .max_by(f64::total_cmp);
        let expected = sibling.map_or(prior, |quality| quality.min(prior));
        (expected - self.cfg.margin).clamp(0.1, 0.98)
    }

    /// Returns the acceptable share of good answers for escalated requests.
    /// Every version gives fewer good answers to hard requests, and by how much
    /// becomes known only with evidence.
    fn escalated_level(
        &self,
        version: &str,
        class: &str,
        quality_level: f64,
        quality: &Quality,
    ) -> f64 {
        if quality.escalated_evidence(class, version) < self.cfg.min_own_ratings / 2.0 {
            return quality_level * ESCALATED_LEVEL_FACTOR;
        }
        let own = quality.escalated_moments(class, version, 1.0).mean - self.cfg.margin;
        own.clamp(0.1, 0.98)
    }

    /// Returns whether an answer was slow for its model, and updates the time
    /// per token of settled versions.
    fn is_slow(&mut self, version: &str, observation: Observation) -> Option<bool> {
        let Observation::Whole { took, tokens } = observation else {
            return None;
        };
        let per_token = took.as_secs_f64() / f64::from(tokens.max(1));
        let model = model_of(version);
        let settled = self.versions.get(version)?.state == VersionState::Settled;
        let usual = self.time_per_token.get(model).copied();
        if settled {
            let time_per_token = self
                .time_per_token
                .entry(VersionId::from(model))
                .or_insert(per_token);
            *time_per_token += 0.02 * (per_token - *time_per_token);
        }
        usual.map(|usual| per_token > usual * self.cfg.slow_factor)
    }
}

fn model_of(version: &str) -> &str {
    version.split_once('@').map_or(version, |(model, _)| model)
}
