//! Roll-outs of a new version of a service.
//!
//! The new version gets a small share of the traffic first. Its answers are
//! compared with those of the versions before it in the same span of time; it
//! takes over when half of the time has passed without evidence against it, and
//! is rolled back as soon as there is some.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;
use std::time::Duration;

use super::{
    config::{
        RouteId,
        ServiceId, //
    },
    feed::Evidence,
};
use crate::ids::MonoTime;

/// Part of the allowed exposure that the share of a new version on trial takes:
/// the rest is for the time after it has taken over.
pub const TRIAL_PART: f64 = 0.4;

/// Earliest share of the time of a roll-out at which a version takes over.
/// Sessions must not change version in the first half.
const PROMOTE_FROM: f64 = 0.52;

/// Time before the end at which a version that took over is called complete:
/// operators ask about once a second how far it is.
const COMPLETE_BEFORE: Duration = Duration::from_millis(1200);

/// Failures from which a new version is suspected at all: two may be chance.
const MIN_BAD: u32 = 4;

/// How much more often than the versions before a bad one fails. Known bad ones
/// fail from a tenth of their answers on.
const BAD_EXCESS: f64 = 0.12;

/// Timed answers from which times are compared.
const MIN_TIMED: u32 = 8;

/// How many times slower than the versions before a bad one answers; within
/// this, a difference may come from load.
const SLOW_RATIO: f64 = 3.0;

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The new version gets a share.
    Canary,
    /// The new version gets all requests; old ones finish theirs.
    Promoted,
    /// The old versions are not needed any more.
    Completed,
    /// The new version gets no request.
    RolledBack,
}

/// A roll-out as it is replicated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version that is brought in.
    pub target: SmolStr,
    /// Time in which it should be done.
    pub duration: Duration,
    /// How far it is.
    pub phase: Phase,
}

/// Counts of one version on one route.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    good: u32,
    bad: u32,
    timed: u32,
    slowness: f64,
    paced: u32,
    pace: f64,
}

/// What a leader weighs about one running roll-out.
#[derive(Debug, Default)]
pub struct Watch {
    /// When it was first seen here.
    since: MonoTime,
    new: BTreeMap<RouteId, Counts>,
    old: BTreeMap<RouteId, Counts>,
}

impl Watch {
    /// Starts to watch.
    pub fn new(now: MonoTime) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Takes how long it has run at least.
    ///
    /// A replica that has started since knows nothing of that; counted from its
    /// own start, a roll-out would end too late by the time before.
    pub fn has_run(&mut self, now: MonoTime, age: Duration) {
        self.since = self.since.min(now.saturating_sub(age));
    }

    /// Returns for how long it has been watched.
    pub fn age(&self, now: MonoTime) -> Duration {
        now.saturating_sub(self.since)
    }

    /// Takes evidence from an entry.
    pub fn take(&mut self, target: &str, evidence: &Evidence) {
        let side = if evidence.version == target {
            &mut self.new
        } else {
            &mut self.old
        };
        let counts = side.entry(evidence.route.clone()).or_default();
        counts.good += evidence.good;
        counts.bad += evidence.bad;
        counts.timed += evidence.timed;
        counts.slowness += evidence.slowness;
        counts.paced += evidence.paced;
        counts.pace += evidence.pace;
    }

    /// Returns the phase that the roll-out should be in now. `exposure` is the
    /// share of the requests until its end that a bad version may get.
    pub fn phase(&self, now: MonoTime, rollout: &Rollout, exposure: f64) -> Phase {
        match rollout.phase {
            Phase::Completed | Phase::RolledBack => return rollout.phase,
            Phase::Canary | Phase::Promoted => {}
        }
        if self.is_bad() {
            return Phase::RolledBack;
        }
        let elapsed = now.saturating_sub(self.since);
        let part = elapsed.as_secs_f64() / rollout.duration.as_secs_f64().max(0.001);
        let left = rollout.duration.saturating_sub(elapsed);
        let seen: u32 = self.new.values().map(|c| c.good).sum();
        match rollout.phase {
            Phase::Canary if part >= promote_at(exposure) && seen > 0 => Phase::Promoted,
            Phase::Promoted if left <= COMPLETE_BEFORE => Phase::Completed,
            phase => phase,
        }
    }

    /// Tells what the counts are, for the log.
    pub fn summary(&self) -> (u32, u32, u32, u32) {
        let new = total(&self.new);
        let old = total(&self.old);
        (new.good, new.bad, old.good, old.bad)
    }

    fn is_bad(&self) -> bool {
        let (new, old) = (total(&self.new), total(&self.old));
        // Times are shares of the mean of their route, so that those of all
        // routes tell sooner than each by itself.
        if fails_more(new, old) || is_slower(new, old) {
            return true;
        }
        let routes = self.new.iter();
        let mut routes = routes.map(|(r, c)| (*c, self.old.get(r).copied().unwrap_or_default()));
        routes.any(|(new, old)| fails_more(new, old) || is_slower(new, old))
    }
}

/// Returns the share of the time at which a version takes over.
///
/// What is bad about a version may show only under a load that does not come.
/// It takes over so late that even then it gets no more until the end than a bad
/// version may: taking over at half of the time gave it over half of all.
fn promote_at(exposure: f64) -> f64 {
    let on_trial = TRIAL_PART * exposure;
    let latest = (1.0 - exposure) / (1.0 - on_trial).max(f64::EPSILON);
    latest.max(PROMOTE_FROM)
}

fn total(side: &BTreeMap<RouteId, Counts>) -> Counts {
    side.values().fold(Counts::default(), |a, b| Counts {
        good: a.good + b.good,
        bad: a.bad + b.bad,
        timed: a.timed + b.timed,
        slowness: a.slowness + b.slowness,
        paced: a.paced + b.paced,
        pace: a.pace + b.pace,
    })
}

fn fails_more(new: Counts, old: Counts) -> bool {
    let share = |c: Counts| f64::from(c.bad) / f64::from((c.good + c.bad).max(1));
    new.bad >= MIN_BAD && share(new) > share(old) + BAD_EXCESS
}

/// Returns whether the first bytes, or the events after them, come more slowly.
///
/// With few requests on a new version its first bytes are as fast as ever; what
/// is slow about it then shows in the pace of its streams alone.
fn is_slower(new: Counts, old: Counts) -> bool {
    let slower = |new: (u32, f64), old: (u32, f64)| {
        let mean = |(count, sum): (u32, f64)| sum / f64::from(count.max(1));
        new.0 >= MIN_TIMED && old.0 >= MIN_TIMED && mean(new) > mean(old) * SLOW_RATIO
    };
    let first = slower((new.timed, new.slowness), (old.timed, old.slowness));
    first || slower((new.paced, new.pace), (old.paced, old.pace))
}

/// Which versions of a service a request may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// Any version.
    Any,
    /// Only this one.
    Only(SmolStr),
    /// Any but this one.
    Not(SmolStr),
}

impl Allowed {
    /// Returns whether a version is allowed.
    pub fn has(&self, version: &str) -> bool {
        match self {
            Allowed::Any => true,
            Allowed::Only(v) => v == version,
            Allowed::Not(v) => v != version,
        }
    }
}

/// Roll-outs by service.
pub type Rollouts = BTreeMap<ServiceId, Rollout>;
