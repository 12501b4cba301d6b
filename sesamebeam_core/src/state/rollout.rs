//! Evidence about versions, held versions and the state of rollouts.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    fleet::{
        Fleet,
        Rollout,
        VersionState, //
    },
    ids::VersionId,
    message::{
        command::{
            Evidence,
            RolloutState,
            RolloutStep, //
        },
        control::RolloutView,
    },
};

/// Minimum number of answers for the fleet-wide test of a version.
const MIN_EVIDENCE: u32 = 12;

/// Number of answers above which all counts are halved. Otherwise a version
/// that was good for a long time and turns bad would be detected too late.
const MAX_EVIDENCE: u32 = 400;

/// Tolerated excess of the share of bad answers over the expected share.
const BAD_MARGIN: f64 = 0.05;

/// Number of standard deviations of the confidence bound. The test is repeated
/// after every report, and a high bound keeps the probability of a false hold
/// low over many repetitions.
const BOUND_DEVIATIONS: f64 = 3.0;

/// Evidence, held versions and rollouts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Rollouts {
    /// Evidence by version, for versions listed in the fleet file.
    evidence: BTreeMap<VersionId, AnswerCounts>,
    /// Versions held because of their evidence, with the time of the hold.
    held: BTreeMap<VersionId, Duration>,
    /// Rollouts by version.
    records: BTreeMap<VersionId, Record>,
}

/// Counts of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct AnswerCounts {
    good: u32,
    bad: u32,
    errors: u32,
}

/// State of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    state: RolloutState,
    /// Log clock time at which the rollout entered its state.
    since: Duration,
    /// Evidence collected in this state.
    step: AnswerCounts,
}

impl Rollouts {
    /// Updates the rollouts after a new file was accepted.
    ///
    /// A hold ends only when the operator changes the declaration of the
    /// version or of its rollout. It does not end by itself, because the
    /// evidence remains valid.
    pub(super) fn update_fleet(&mut self, old: &Fleet, new: &Fleet, clock: Duration) {
        self.evidence
            .retain(|version, _| declared(old, version) == declared(new, version));
        self.held
            .retain(|version, _| declared(old, version) == declared(new, version));
        let active: BTreeMap<&VersionId, &Rollout> = new
            .rollouts
            .iter()
            .filter(|rollout| accepts_work(new, &rollout.version))
            .map(|rollout| (&rollout.version, rollout))
            .collect();
        self.records
            .retain(|version, _| active.contains_key(version));
        for (version, rollout) in active {
            let changed = old.rollout(version) != Some(rollout);
            let record = self
                .records
                .entry(version.clone())
                .or_insert(Record::new(clock));
            if changed {
                record.adapt_to(rollout, clock);
            }
        }
    }

    /// Adds the evidence of an entry. A hold by one entry applies fleet-wide:
    /// it is the result of a sequential test at a given confidence, and waiting
    /// for a second entry to confirm it would only expose more requests.
    pub(super) fn observe(&mut self, fleet: &Fleet, evidence: &Evidence, clock: Duration) {
        let Some((_, version)) = fleet.version(&evidence.version) else {
            return;
        };
        let counts = self.evidence.entry(evidence.version.clone()).or_default();
        counts.add(evidence);
        counts.halve_above_maximum();
        let bad = counts.is_worse_than(1.0 - version.prior);
        if let Some(record) = self.records.get_mut(&evidence.version) {
            record.step.add(evidence);
        }
        if evidence.hold || bad {
            self.hold(&evidence.version, clock);
        }
    }

    /// Applies a step that the leader decided on. The step has no effect if the
    /// rollout has left the state `step.from` or the gate is not met: a
    /// replaced leader may decide on outdated state.
    pub(super) fn step(&mut self, fleet: &Fleet, step: &RolloutStep, clock: Duration, gates: bool) {
        if step.to == RolloutState::Held {
            self.hold(&step.version, clock);
            return;
        }
        let is_current = self.state(&step.version) == Some(step.from);
        let due = match step.from {
            RolloutState::Loading => step.to == RolloutState::At(0),
            _ => !gates || self.next_state(fleet, &step.version, clock) == Some(step.to),
        };
        if is_current
            && due
            && let Some(record) = self.records.get_mut(&step.version)
        {
            record.enter(step.to, clock);
        }
    }

    /// Returns the steps whose gates are met. Loading has no gate here because
    /// only the leader knows which versions are loaded.
    pub(super) fn due(&self, fleet: &Fleet, clock: Duration) -> Vec<RolloutStep> {
        let steps = self.records.iter().filter_map(|(version, record)| {
            let to = self.next_state(fleet, version, clock)?;
            Some(RolloutStep {
                version: version.clone(),
                from: record.state,
                to,
            })
        });
        steps.collect()
    }

    /// Returns the state of a rollout.
    pub(super) fn state(&self, version: &str) -> Option<RolloutState> {
        self.records.get(version).map(|record| record.state)
    }

    /// Returns the held versions.
    pub(super) fn held(&self) -> Vec<VersionId> {
        self.held.keys().cloned().collect()
    }

    /// Returns the views of all rollouts.
    pub(super) fn views(&self, fleet: &Fleet) -> Vec<RolloutView> {
        let views = self.records.iter().map(|(version, record)| RolloutView {
            version: version.clone(),
            state: record.state,
            share: share(fleet.rollout(version), record.state),
            rated: (record.step.good, record.step.bad),
        });
        views.collect()
    }

    fn hold(&mut self, version: &VersionId, clock: Duration) {
        self.held.entry(version.clone()).or_insert(clock);
        if let Some(record) = self.records.get_mut(version)
            && record.state != RolloutState::Held
        {
            record.enter(RolloutState::Held, clock);
        }
    }

    fn next_state(&self, fleet: &Fleet, version: &str, clock: Duration) -> Option<RolloutState> {
        let record = self.records.get(version)?;
        let rollout = fleet.rollout(version)?;
        let RolloutState::At(at) = record.state else {
            return None;
        };
        let rated = record.step.good + record.step.bad;
        if rated < rollout.gate || record.since + rollout.dwell > clock {
            return None;
        }
        let last = at as usize + 1 >= rollout.steps.len();
        Some(if last {
            RolloutState::Done
        } else {
            RolloutState::At(at + 1)
        })
    }
}

impl Record {
    fn new(clock: Duration) -> Self {
        Self {
            state: RolloutState::Loading,
            since: clock,
            step: AnswerCounts::default(),
        }
    }

    /// Adapts the state to a changed declaration. If the current step no longer
    /// exists, the last step is entered; a rollout that was held or done
    /// starts again.
    fn adapt_to(&mut self, rollout: &Rollout, clock: Duration) {
        let last = (rollout.steps.len() as u32).saturating_sub(1);
        match self.state {
            RolloutState::Loading => {}
            RolloutState::At(at) if at <= last => {}
            RolloutState::At(_) => self.enter(RolloutState::At(last), clock),
            RolloutState::Held | RolloutState::Done => self.enter(RolloutState::Loading, clock),
        }
    }

    fn enter(&mut self, state: RolloutState, clock: Duration) {
        self.state = state;
        self.since = clock;
        self.step = AnswerCounts::default();
    }
}

impl AnswerCounts {
    fn add(&mut self, evidence: &Evidence) {
        self.good = self.good.saturating_add(evidence.good);
        self.bad = self.bad.saturating_add(evidence.bad);
        self.errors = self.errors.saturating_add(evidence.errors);
    }

    fn halve_above_maximum(&mut self) {
        let all = u64::from(self.good) + u64::from(self.bad) + u64::from(self.errors);
        if all > u64::from(MAX_EVIDENCE) {
            self.good /= 2;
            self.bad /= 2;
            self.errors /= 2;
        }
    }

    /// Returns whether the share of bad answers is significantly above the
    /// expected share, by the lower Wilson bound. Only floating-point
    /// operations that give bit-identical results on every machine are used,
    /// because all replicas must reach the same result.
    fn is_worse_than(&self, expected: f64) -> bool {
        let bad = self.bad.saturating_add(self.errors);
        let all = self.good.saturating_add(bad);
        if all < MIN_EVIDENCE {
            return false;
        }
        let n = f64::from(all);
        let share = f64::from(bad) / n;
        let z2 = BOUND_DEVIATIONS * BOUND_DEVIATIONS;
        let centre = share + z2 / (2.0 * n);
        let spread = (share * (1.0 - share) / n + z2 / (4.0 * n * n)).sqrt();
        let lower = (centre - BOUND_DEVIATIONS * spread) / (1.0 + z2 / n);
        lower > expected + BAD_MARGIN
    }
}

fn declared<'a>(
    fleet: &'a Fleet,
    version: &str,
) -> (Option<&'a crate::fleet::Version>, Option<&'a Rollout>) {
    let declared = fleet.version(version).map(|(_, version)| version);
    (declared, fleet.rollout(version))
}

fn accepts_work(fleet: &Fleet, version: &str) -> bool {
    let found = fleet.version(version);
    found.is_some_and(|(_, version)| version.state != VersionState::Withdrawn)
}

fn share(rollout: Option<&Rollout>, state: RolloutState) -> f64 {
    match state {
        RolloutState::Loading | RolloutState::Held => 0.0,
        RolloutState::At(at) => rollout
            .and_then(|rollout| rollout.steps.get(at as usize))
            .copied()
            .unwrap_or(0.0),
        RolloutState::Done => 1.0,
    }
}
