//! Sessions and the versions that they stay on.
//!
//! A session keeps its version while its requests follow each other, through
//! whichever entry they come. Those that may go to a new version are drawn by
//! name, so that every entry draws alike; but one that is drawn may be running
//! on the version before when a roll-out starts, known only to the entry that
//! served it. So each entry reports the drawn sessions that it has seen, the
//! leader passes them on, and nothing goes to the new version until that is
//! done.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration,
};

use smol_str::SmolStr;

use super::{
    config::ServiceId,
    messages::{
        RetainedSessions, //
        RolloutAge,
    },
};
use crate::{
    ids::{
        MonoTime,
        SessionId, //
    },
    policy::hash,
};

/// Time from the start of a roll-out until sessions go to the new version:
/// several times what a report takes to reach every entry.
pub const GATHER: Duration = Duration::from_millis(1000);

/// Time beside the pause for which a session is kept in mind: the pause counts
/// from the end of its last request, which a caller sees a little later.
const MARGIN: Duration = Duration::from_millis(1500);

/// Pause between the starts of two pulses of a trial: some dozen answers of a plain
/// service fit into one, and ten pulses into the shortest roll-out.
const PULSE_EVERY: Duration = Duration::from_secs(2);

/// A roll-out as it concerns sessions.
#[derive(Debug)]
struct Trial {
    target: SmolStr,
    /// When it was first heard of.
    since: MonoTime,
    /// When sessions may go to the new version.
    from: MonoTime,
    /// Drawn sessions that stay on the versions before.
    kept: HashSet<u64>,
    /// Those of them that are not reported yet.
    fresh: Vec<u64>,
}

/// Sessions that this entry has seen, and those that others have.
#[derive(Debug)]
pub struct Sessions {
    /// Pause after which two requests no longer belong together.
    pause: Duration,
    /// Share of the names that may go to a new version on trial.
    share: f64,
    /// Version that each session ran on last, and when.
    seen: HashMap<SessionId, (SmolStr, MonoTime)>,
    trials: HashMap<ServiceId, Trial>,
}

impl Sessions {
    /// Starts with none.
    pub fn new(pause: Duration, share: f64) -> Self {
        Self {
            pause,
            share,
            seen: HashMap::new(),
            trials: HashMap::new(),
        }
    }

    /// Notes the version that a session runs on.
    pub fn ran(&mut self, now: MonoTime, session: &SessionId, version: &SmolStr) {
        self.seen.insert(session.clone(), (version.clone(), now));
    }

    /// Follows a roll-out from when it is first heard of.
    pub fn start(&mut self, now: MonoTime, service: &ServiceId, target: &SmolStr) {
        if self
            .trials
            .get(service)
            .is_some_and(|t| t.target == *target)
        {
            return;
        }
        let drawn = self.seen.iter().filter(|(session, (version, at))| {
            version != target
                && is_drawn(session, target, self.share)
                && now < *at + self.pause + MARGIN
        });
        let kept: HashSet<u64> = drawn.map(|(s, _)| hash::name(s.as_bytes())).collect();
        let trial = Trial {
            target: target.clone(),
            since: now,
            from: now + GATHER,
            fresh: kept.iter().copied().collect(),
            kept,
        };
        self.trials.insert(service.clone(), trial);
    }

    /// Takes sessions that other entries have reported; `all` if those that ran
    /// when the roll-out started have all been.
    pub fn keep(&mut self, now: MonoTime, kept: &RetainedSessions, all: bool) {
        self.start(now, &kept.service, &kept.target);
        if let Some(trial) = self.trials.get_mut(&kept.service)
            && trial.target == kept.target
        {
            trial.kept.extend(&kept.sessions);
            if all {
                trial.from = trial.from.min(now);
            }
        }
    }

    /// Returns how long each roll-out has run.
    pub fn ages(&self, now: MonoTime) -> Vec<RolloutAge> {
        let age = |(service, trial): (&ServiceId, &Trial)| RolloutAge {
            service: service.clone(),
            target: trial.target.clone(),
            age: now.saturating_sub(trial.since),
        };
        self.trials.iter().map(age).collect()
    }

    /// Takes what is to be reported.
    pub fn take_fresh(&mut self) -> Vec<RetainedSessions> {
        let with_fresh = self.trials.iter_mut().filter(|(_, t)| !t.fresh.is_empty());
        let report = |(service, trial): (&ServiceId, &mut Trial)| RetainedSessions {
            service: service.clone(),
            target: trial.target.clone(),
            sessions: std::mem::take(&mut trial.fresh),
        };
        with_fresh.map(report).collect()
    }

    /// Returns whether a request may go to a version on trial. `name` is that of
    /// the request, if it has no session. `fair` is the share of all requests with
    /// which a backend server of the new version has as many as one before.
    ///
    /// Some versions fail only under load. On a service with three backend servers,
    /// the share of a trial is a fifth of what one of them has: such a version took
    /// over with no evidence against it, and failed half of its callers when nothing
    /// else was left. Requests without a session may come in pulses instead, which
    /// load it fully for a part of the time; the sum is the same.
    pub fn may_try(
        &mut self,
        now: MonoTime,
        service: &ServiceId,
        session: Option<&SessionId>,
        name: &str,
        fair: f64,
    ) -> bool {
        let Some(trial) = self.trials.get_mut(service) else {
            return false;
        };
        let Some(session) = session else {
            let share = self.share.max(fair);
            let pulse = PULSE_EVERY.mul_f64(self.share / share);
            let into = now.saturating_sub(trial.since).as_nanos() % PULSE_EVERY.as_nanos();
            return into < pulse.as_nanos() && is_drawn(name, &trial.target, share);
        };
        let last = self.seen.get(session);
        if let Some((version, at)) = last
            && now < *at + self.pause + MARGIN
        {
            return *version == trial.target;
        }
        if !is_drawn(session, &trial.target, self.share) {
            return false;
        }
        let key = hash::name(session.as_bytes());
        if now >= trial.from {
            return !trial.kept.contains(&key);
        }
        if trial.kept.insert(key) {
            trial.fresh.push(key);
        }
        false
    }

    /// Forgets sessions that have ended.
    pub fn tidy(&mut self, now: MonoTime) {
        let kept = self.pause + MARGIN;
        self.seen.retain(|_, (_, at)| now < *at + kept);
    }
}

fn is_drawn(name: &str, target: &str, share: f64) -> bool {
    hash::unit(name.as_bytes(), target) < share
}
