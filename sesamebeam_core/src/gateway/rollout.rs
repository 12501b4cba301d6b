//! Roll-outs of a new version of a service.
//!
//! The new version gets a small share of the traffic first. Its answers are
//! compared with those of the versions before it in the same span of time; it
//! takes over when half of the time has passed without evidence against it, and
//! is rolled back as soon as there is some.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::{
    config::{
        RouteId,
        ServiceId, //
    },
    messages::Evidence,
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

/// What makes a version bad at any time. Two or three failures may be chance, and
/// known bad versions fail from a tenth of their answers on.
///
/// The evidence is the logarithm of a likelihood ratio. On a service that fails 20 in 100 of its own, four
/// failures among ten are nothing: of 100 good versions there, 26 were stopped at 30
/// requests a second by the excess alone, and one is now. Where nothing fails, four
/// in 20 are twice as much as this.
const BAD: Suspicion = Suspicion {
    bad: 4,
    excess: 0.12,
    evidence: 5.0,
};

/// Failures, excess and evidence from which a version does not take over. A version
/// that is stopped though it is good is sent again; one that takes over though it is
/// bad is all that callers get once the old one is gone. Of a service that fails 15
/// in 100, one that failed 11 of 42 under load took over.
const DOUBT: Suspicion = Suspicion {
    bad: 2,
    excess: 0.05,
    evidence: 2.0,
};

/// Span of the newest answers that are judged by themselves as well.
///
/// A version that fails only under load has many good answers by then: counted
/// with all of them, 50 failures in five seconds were a tenth. The load of a burst
/// lasts for some seconds.
const RECENT: Duration = Duration::from_secs(4);

/// What makes a version bad by its newest answers alone: by chance this evidence is
/// reached once in some ten thousand spans, of which a roll-out has some hundred.
const BAD_OF_LATE: Suspicion = Suspicion {
    evidence: 9.0,
    ..BAD
};

/// Step in which the newest answers are counted: reports come five a second.
const RECENT_STEP: Duration = Duration::from_millis(200);

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

/// What is held against a version that fails more often than those before.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// Failures at least.
    bad: u32,
    /// By how much its share of failures is higher.
    excess: f64,
    /// Logarithm of how much likelier it is that the shares differ.
    evidence: f64,
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

/// Answers of one step, by route.
#[derive(Debug)]
struct Step {
    /// When it began.
    at: MonoTime,
    counts: BTreeMap<RouteId, Counts>,
}

/// What a leader weighs about one running roll-out.
#[derive(Debug, Default)]
pub struct Watch {
    /// When it was first seen here.
    since: MonoTime,
    new: BTreeMap<RouteId, Counts>,
    old: BTreeMap<RouteId, Counts>,
    /// Answers of the new version of late by step, the oldest first.
    recent: VecDeque<Step>,
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
    pub fn take(&mut self, now: MonoTime, target: &str, evidence: &Evidence) {
        if evidence.version == target {
            let counts = self.recent_of(now, &evidence.route);
            counts.good += evidence.good;
            counts.bad += evidence.bad;
        }
        let side = if evidence.version == target {
            &mut self.new
        } else {
            &mut self.old
        };
        let counts = side.entry(evidence.route.clone()).or_default();
        counts.good += evidence.good;
        counts.bad += evidence.bad;
        counts.timed += evidence.timed_responses;
        counts.slowness += evidence.latency_ratio_sum;
        counts.paced += evidence.timed_streams;
        counts.pace += evidence.interval_ratio_sum;
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
            Phase::Canary if part >= promote_at(exposure) && seen > 0 => {
                self.unless_doubtful(Phase::Promoted)
            }
            Phase::Promoted if left <= COMPLETE_BEFORE => self.unless_doubtful(Phase::Completed),
            phase => phase,
        }
    }

    /// Returns the next phase, or the end of a version that may be a bad one.
    fn unless_doubtful(&self, next: Phase) -> Phase {
        let mut routes = self.routes();
        let doubtful = DOUBT.holds(total(&self.new), total(&self.old))
            || routes.any(|(new, old)| DOUBT.holds(new, old));
        if doubtful { Phase::RolledBack } else { next }
    }

    /// Iterates over the counts of the new version and of those before by route.
    fn routes(&self) -> impl Iterator<Item = (Counts, Counts)> + '_ {
        let routes = self.new.iter();
        routes.map(|(r, new)| (*new, self.old.get(r).copied().unwrap_or_default()))
    }

    /// Tells what the counts are, for the log.
    pub fn summary(&self) -> (u32, u32, u32, u32) {
        let new = total(&self.new);
        let old = total(&self.old);
        (new.good, new.bad, old.good, old.bad)
    }

    /// Returns the counts of a route in the present step.
    fn recent_of(&mut self, now: MonoTime, route: &RouteId) -> &mut Counts {
        let is_old = |step: &mut Step| step.at + RECENT < now;
        while self.recent.pop_front_if(is_old).is_some() {}
        let newest = self.recent.back();
        if newest.is_none_or(|step| step.at + RECENT_STEP <= now) {
            let counts = BTreeMap::new();
            self.recent.push_back(Step { at: now, counts });
        }
        let last = self.recent.len() - 1;
        let counts = &mut self.recent[last].counts;
        counts.entry(route.clone()).or_default()
    }

    /// Returns whether the answers of the new version in some span up to now, on
    /// one route or on all, fail more often than those of the versions before ever
    /// did.
    fn fails_of_late(&self, route: Option<&RouteId>, old: Counts) -> bool {
        let mut new = Counts::default();
        self.recent.iter().rev().any(|step| {
            let counts = step.counts.iter();
            for (_, counts) in counts.filter(|(r, _)| route.is_none_or(|route| route == *r)) {
                new.good += counts.good;
                new.bad += counts.bad;
            }
            BAD_OF_LATE.holds(new, old)
        })
    }

    fn is_bad(&self) -> bool {
        let (new, old) = (total(&self.new), total(&self.old));
        // Times are shares of the mean of their route, so that those of all
        // routes tell sooner than each by itself.
        if BAD.holds(new, old) || is_slower(new, old) {
            return true;
        }
        let mut of_routes = self.old.iter();
        let late = self.fails_of_late(None, old);
        if late || of_routes.any(|(r, old)| self.fails_of_late(Some(r), *old)) {
            return true;
        }
        let mut routes = self.routes();
        routes.any(|(new, old)| BAD.holds(new, old) || is_slower(new, old))
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

impl Suspicion {
    /// Returns whether it holds against a version.
    fn holds(&self, new: Counts, old: Counts) -> bool {
        let share = |c: Counts| f64::from(c.bad) / f64::from((c.good + c.bad).max(1));
        let more = new.bad >= self.bad && share(new) > share(old) + self.excess;
        more && evidence(new, old) >= self.evidence
    }
}

/// Returns the logarithm of how much likelier it is that two versions fail with
/// shares of their own than that both fail with the same.
fn evidence(new: Counts, old: Counts) -> f64 {
    let both = Counts {
        good: new.good + old.good,
        bad: new.bad + old.bad,
        ..Counts::default()
    };
    likelihood(new) + likelihood(old) - likelihood(both)
}

/// Returns the logarithm of the likelihood of answers under their own share of
/// failures.
fn likelihood(c: Counts) -> f64 {
    let all = f64::from(c.good + c.bad);
    let term = |n: u32| match n {
        0 => 0.0,
        n => f64::from(n) * (f64::from(n) / all).ln(),
    };
    term(c.good) + term(c.bad)
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
