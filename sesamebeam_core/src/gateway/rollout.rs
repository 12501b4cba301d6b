//! Rollouts of a new version of a service.
//!
//! The new version first serves a small share of the traffic as a canary. Its responses
//! are compared with those of the previous versions in the same period. It is promoted in
//! the second half of the rollout if there is no evidence against it by then, and rolled
//! back as soon as there is such evidence.

mod comparison;
mod history;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use self::{
    comparison::{
        Counts,
        FailureCriteria,
        is_slower,
        total, //
    },
    history::{
        History,
        Interval,
        Sides, //
    },
};
use super::{
    config::{
        RouteId,
        ServiceId, //
    },
    messages::Evidence,
};
use crate::ids::MonoTime;

/// Part of the allowed exposure that is used by the traffic share of a canary. The rest
/// is reserved for the time after its promotion.
pub const CANARY_PART: f64 = 0.4;

/// Earliest point of a rollout, as a share of its duration, at which a version is
/// promoted. Sessions must not change version in the first half.
const EARLIEST_PROMOTION: f64 = 0.52;

/// Time before the end of a rollout at which a promoted version counts as completed.
/// Operators poll the state about once a second.
const COMPLETE_BEFORE: Duration = Duration::from_millis(1200);

/// Criteria for an immediate rollback. Two or three failures may be chance; faulty
/// versions fail at least a tenth of their responses.
///
/// The evidence is the logarithm of a likelihood ratio. For a service that normally fails
/// 20 in 100 requests, four failures among ten responses are insignificant: with the
/// excess as the only criterion, 26 of 100 good versions were rolled back at 30 requests
/// a second; with the evidence it is one. For a service that normally never fails, four
/// failures among 20 responses give twice the evidence required here.
const ROLLBACK_CRITERIA: FailureCriteria = FailureCriteria {
    bad: 4,
    excess: 0.12,
    evidence: 5.0,
};

/// Criteria for a rollback in place of a promotion or completion. They are stricter than
/// those for an immediate rollback, because the errors differ in cost: a good version that
/// is rolled back can be rolled out again, while a faulty one that is promoted serves all
/// requests once the old version is gone. For a service that fails 15 in 100 requests, a
/// version that had failed 11 of 42 under load was promoted without them.
const BLOCKING_CRITERIA: FailureCriteria = FailureCriteria {
    bad: 2,
    excess: 0.05,
    evidence: 2.0,
};

/// Criteria on slow answers for an immediate rollback, and for one in place of a promotion or
/// completion. They are stricter than those on failures: some answers of any version are slow,
/// more of them in a burst, and not independently of each other.
const DURATION_CRITERIA: FailureCriteria = FailureCriteria {
    bad: 4,
    excess: 0.2,
    evidence: 9.0,
};
const BLOCKING_DURATION_CRITERIA: FailureCriteria = FailureCriteria {
    bad: 4,
    excess: 0.12,
    evidence: 5.0,
};

/// Criteria for a rollback by recent responses alone. This evidence arises by chance once
/// in about ten thousand periods, of which a rollout has a few hundred.
const RECENT_ROLLBACK_CRITERIA: FailureCriteria = FailureCriteria {
    evidence: 9.0,
    ..ROLLBACK_CRITERIA
};

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The new version serves a small share of the requests.
    Canary,
    /// The new version gets all new requests; the old ones finish theirs.
    Promoted,
    /// The old versions are no longer needed.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

/// A rollout as it is replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version that is rolled out.
    pub target: SmolStr,
    /// Time in which the rollout should complete.
    pub duration: Duration,
    /// Current phase.
    pub phase: Phase,
}

/// Good and bad responses of the new version and of the previous ones, for logging.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseSummary {
    /// Good responses of the new version.
    pub new_good: u32,
    /// Bad responses of the new version.
    pub new_bad: u32,
    /// Good responses of the previous versions.
    pub old_good: u32,
    /// Bad responses of the previous versions.
    pub old_bad: u32,
    /// Responses of the new version of which the duration is known, and the slow ones of these.
    pub new_durations: (u32, u32),
    /// The same of the previous versions.
    pub old_durations: (u32, u32),
}

/// Evidence that the leader collects about a running rollout.
#[derive(Debug, Default)]
pub struct RolloutMonitor {
    /// Start of the rollout, as far as this replica knows.
    since: MonoTime,
    /// All responses.
    all: Sides,
    /// Responses by interval.
    history: History,
}

/// Responses by which a version is judged: those from times at which its service was not
/// disturbed.
struct Basis<'a> {
    sides: Sides,
    /// Recent intervals, newest first.
    recent: Vec<&'a Interval>,
}

impl RolloutMonitor {
    /// Starts monitoring a rollout.
    pub fn new(now: MonoTime) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Sets the minimum age of the rollout.
    ///
    /// A replica that has restarted since the rollout began does not know its start.
    /// Counted from the restart, the rollout would end too late.
    pub fn set_min_age(&mut self, now: MonoTime, age: Duration) {
        self.since = self.since.min(now.saturating_sub(age));
    }

    /// Returns the age of the rollout.
    pub fn age(&self, now: MonoTime) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Adds evidence that an entry has reported.
    pub fn add(&mut self, now: MonoTime, target: &str, evidence: &Evidence) {
        let is_new = evidence.version == target;
        self.all.add(is_new, evidence);
        self.history.add(now, is_new, evidence);
    }

    /// Returns the phase in which the rollout should be now. `exposure` is the share of
    /// all requests during the rollout that a faulty version may get.
    pub fn phase(&self, now: MonoTime, rollout: &Rollout, exposure: f64) -> Phase {
        match rollout.phase {
            Phase::Completed | Phase::RolledBack => return rollout.phase,
            Phase::Canary | Phase::Promoted => {}
        }
        let (sides, recent) = self.history.undisturbed();
        let basis = Basis { sides, recent };
        if basis.is_bad() {
            return Phase::RolledBack;
        }
        let elapsed = now.saturating_sub(self.since);
        let progress = elapsed.as_secs_f64() / rollout.duration.as_secs_f64().max(0.001);
        let remaining = rollout.duration.saturating_sub(elapsed);
        let successes: u32 = self.all.new.values().map(|c| c.good).sum();
        match rollout.phase {
            Phase::Canary if progress >= promotion_point(exposure) && successes > 0 => {
                basis.next_unless_doubtful(Phase::Promoted)
            }
            Phase::Promoted if remaining <= COMPLETE_BEFORE => {
                basis.next_unless_doubtful(Phase::Completed)
            }
            phase => phase,
        }
    }

    /// Returns the responses since the start of the rollout.
    pub fn summary(&self) -> ResponseSummary {
        summarize(total(&self.all.new), total(&self.all.old))
    }

    /// Returns the responses of the last few seconds.
    pub fn recent_summary(&self) -> ResponseSummary {
        let (new, old) = self.history.recent_totals();
        summarize(new, old)
    }
}

impl Basis<'_> {
    /// Returns the next phase, or a rollback if the version may be faulty.
    fn next_unless_doubtful(&self, next: Phase) -> Phase {
        let (new, old) = (total(&self.sides.new), total(&self.sides.old));
        let mut counts_by_route = self.counts_by_route();
        let doubtful = BLOCKING_CRITERIA.are_met(new, old)
            || BLOCKING_DURATION_CRITERIA.are_met(new.by_duration(), old.by_duration())
            || counts_by_route.any(|(new, old)| BLOCKING_CRITERIA.are_met(new, old));
        if doubtful { Phase::RolledBack } else { next }
    }

    /// Returns the counters of the new and the previous versions for each route.
    fn counts_by_route(&self) -> impl Iterator<Item = (Counts, Counts)> + '_ {
        let counts_by_route = self.sides.new.iter();
        counts_by_route.map(|(r, new)| (*new, self.sides.old.get(r).copied().unwrap_or_default()))
    }

    /// Returns whether the recent responses of the new version, over any period up to
    /// now, fail more often than all responses of the previous versions. Covers all
    /// routes if `route` is `None`.
    fn fails_recently(&self, route: Option<&RouteId>, old: Counts) -> bool {
        let mut new = Counts::default();
        self.recent.iter().any(|interval| {
            let counts = interval.sides.new.iter();
            for (_, counts) in counts.filter(|(r, _)| route.is_none_or(|route| route == *r)) {
                new.good += counts.good;
                new.bad += counts.bad;
            }
            RECENT_ROLLBACK_CRITERIA.are_met(new, old)
        })
    }

    fn is_bad(&self) -> bool {
        let (new, old) = (total(&self.sides.new), total(&self.sides.old));
        // Times are relative to the mean of their route, so they can be summed over all
        // routes, which reaches the minimum number earlier than each route alone.
        if is_worse(new, old) {
            return true;
        }
        let mut old_by_route = self.sides.old.iter();
        let fails_overall = self.fails_recently(None, old);
        if fails_overall || old_by_route.any(|(r, old)| self.fails_recently(Some(r), *old)) {
            return true;
        }
        let mut counts_by_route = self.counts_by_route();
        counts_by_route.any(|(new, old)| is_worse(new, old))
    }
}

/// Returns whether a new version fails more often, is slower, or has slow answers more often.
///
/// A version that is slow in a part of its answers may not be much slower in the mean.
fn is_worse(new: Counts, old: Counts) -> bool {
    ROLLBACK_CRITERIA.are_met(new, old)
        || is_slower(new, old)
        || DURATION_CRITERIA.are_met(new.by_duration(), old.by_duration())
}

fn summarize(new: Counts, old: Counts) -> ResponseSummary {
    ResponseSummary {
        new_good: new.good,
        new_bad: new.bad,
        old_good: old.good,
        old_bad: old.bad,
        new_durations: (new.durations, new.slow_durations),
        old_durations: (old.durations, old.slow_durations),
    }
}

/// Returns the share of the rollout's duration after which a version is promoted.
///
/// A fault may show only under a load that does not occur during the rollout. The
/// promotion is late enough to keep the total exposure within the limit even then.
/// Promotion at half of the duration would expose more than half of all requests.
fn promotion_point(exposure: f64) -> f64 {
    let canary_share = CANARY_PART * exposure;
    let latest = (1.0 - exposure) / (1.0 - canary_share).max(f64::EPSILON);
    latest.max(EARLIEST_PROMOTION)
}

/// Versions of a service to which a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// All versions.
    Any,
    /// Only this version.
    Only(SmolStr),
    /// All versions except this one.
    Not(SmolStr),
}

impl Allowed {
    /// Returns whether a version is allowed.
    pub fn includes(&self, version: &str) -> bool {
        match self {
            Allowed::Any => true,
            Allowed::Only(v) => v == version,
            Allowed::Not(v) => v != version,
        }
    }
}

/// Rollouts by service.
pub type Rollouts = BTreeMap<ServiceId, Rollout>;
