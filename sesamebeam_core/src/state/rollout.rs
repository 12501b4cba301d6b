//! Evidence about versions, holds, and roll-outs as durable state machines.

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

/// Answers that the fleet's own test of a version needs at least.
const MIN_EVIDENCE: u32 = 12;

/// Answers from which on older evidence counts half. A version that was good for
/// long and turns bad would otherwise hide behind its past.
const MAX_EVIDENCE: u32 = 400;

/// How far the share of bad answers may lie over the expected one.
const BAD_MARGIN: f64 = 0.05;

/// Standard deviations of the bound: the test is looked at after each report,
/// and a high bound keeps the chance of a wrong hold small over many looks.
const BOUND_DEVIATIONS: f64 = 3.0;

/// Evidence, holds and roll-outs of all versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Rollouts {
    /// Evidence by version, for versions that the fleet file lists.
    evidence: BTreeMap<VersionId, Tally>,
    /// Versions held by evidence.
    held: BTreeMap<VersionId, Duration>,
    /// Roll-outs by version.
    records: BTreeMap<VersionId, Record>,
}

/// Counts of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Tally {
    good: u32,
    bad: u32,
    errors: u32,
}

/// One roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    state: RolloutState,
    /// Time on the log's clock at which it came to this state.
    since: Duration,
    /// Evidence at this step.
    step: Tally,
}

impl Rollouts {
    /// Follows an accepted file.
    ///
    /// A hold ends when the operator declares the version or its roll-out anew:
    /// no hold ends by itself, since what was seen of the version stays true.
    pub(super) fn follow(&mut self, old: &Fleet, new: &Fleet, clock: Duration) {
        self.evidence
            .retain(|version, _| declared(old, version) == declared(new, version));
        self.held
            .retain(|version, _| declared(old, version) == declared(new, version));
        let active: BTreeMap<&VersionId, &Rollout> = new
            .rollouts
            .iter()
            .filter(|rollout| takes_work(new, &rollout.version))
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
                record.fit(rollout, clock);
            }
        }
    }

    /// Adds what an entry saw. An entry's own hold is a sequential test at a
    /// stated confidence; waiting for a second entry to find the same would only
    /// expose more requests.
    pub(super) fn observe(&mut self, fleet: &Fleet, evidence: &Evidence, clock: Duration) {
        let Some((_, version)) = fleet.version(&evidence.version) else {
            return;
        };
        let tally = self.evidence.entry(evidence.version.clone()).or_default();
        tally.add(evidence);
        tally.fade();
        let bad = tally.is_worse_than(1.0 - version.prior);
        if let Some(record) = self.records.get_mut(&evidence.version) {
            record.step.add(evidence);
        }
        if evidence.hold || bad {
            self.hold(&evidence.version, clock);
        }
    }

    /// Applies a decision of the leader. One from a state that the roll-out has
    /// left, or before its gate, has no effect: a leader that was replaced
    /// decides on what it last saw.
    pub(super) fn step(&mut self, fleet: &Fleet, step: &RolloutStep, clock: Duration, gates: bool) {
        if step.to == RolloutState::Held {
            self.hold(&step.version, clock);
            return;
        }
        let from_here = self.state(&step.version) == Some(step.from);
        let due = match step.from {
            RolloutState::Loading => step.to == RolloutState::At(0),
            _ => !gates || self.next_of(fleet, &step.version, clock) == Some(step.to),
        };
        if from_here
            && due
            && let Some(record) = self.records.get_mut(&step.version)
        {
            record.enter(step.to, clock);
        }
    }

    /// Lists the steps whose gates are passed. Loading has no gate here: only
    /// the leader knows what is loaded.
    pub(super) fn due(&self, fleet: &Fleet, clock: Duration) -> Vec<RolloutStep> {
        let steps = self.records.iter().filter_map(|(version, record)| {
            let to = self.next_of(fleet, version, clock)?;
            Some(RolloutStep {
                version: version.clone(),
                from: record.state,
                to,
            })
        });
        steps.collect()
    }

    /// Tells where a roll-out stands.
    pub(super) fn state(&self, version: &str) -> Option<RolloutState> {
        self.records.get(version).map(|record| record.state)
    }

    /// Lists the held versions.
    pub(super) fn held(&self) -> Vec<VersionId> {
        self.held.keys().cloned().collect()
    }

    /// Views every roll-out.
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

    fn next_of(&self, fleet: &Fleet, version: &str, clock: Duration) -> Option<RolloutState> {
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
            step: Tally::default(),
        }
    }

    /// Fits a roll-out to a changed declaration. A step that is gone falls back
    /// to the last one; one that was held or done starts again.
    fn fit(&mut self, rollout: &Rollout, clock: Duration) {
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
        self.step = Tally::default();
    }
}

impl Tally {
    fn add(&mut self, evidence: &Evidence) {
        self.good = self.good.saturating_add(evidence.good);
        self.bad = self.bad.saturating_add(evidence.bad);
        self.errors = self.errors.saturating_add(evidence.errors);
    }

    fn fade(&mut self) {
        let all = u64::from(self.good) + u64::from(self.bad) + u64::from(self.errors);
        if all > u64::from(MAX_EVIDENCE) {
            self.good /= 2;
            self.bad /= 2;
            self.errors /= 2;
        }
    }

    /// Tells whether the share of bad answers lies clearly over the expected
    /// one, by the lower Wilson bound. Only operations that give the same bits
    /// on every machine are used: each replica must come to the same result.
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

fn takes_work(fleet: &Fleet, version: &str) -> bool {
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
