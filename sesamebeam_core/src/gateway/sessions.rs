//! Version affinity of sessions during rollouts.
//!
//! A session stays on its version as long as its requests follow each other closely,
//! whichever entries they pass through. The sessions that may use a canary are sampled by
//! a hash of their name, so that all entries select the same ones. A sampled session may
//! already run on a previous version when the rollout starts, which only the entry that
//! served it knows. Each entry therefore reports the sampled sessions that it has seen,
//! the leader distributes them, and no session is sent to the new version until this is
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
    feed::{
        Age,
        Kept, //
    },
};
use crate::{
    ids::{
        MonoTime,
        SessionId, //
    },
    policy::hash,
};

/// Time from the start of a rollout until sessions may use the new version, several times
/// as long as a report takes to reach all entries.
pub const GATHER: Duration = Duration::from_millis(1000);

/// Added to the session timeout, which the caller counts from the end of its last
/// request, slightly later than this entry.
const MARGIN: Duration = Duration::from_millis(1500);

/// Interval between the starts of two canary pulses. Each pulse has room for some dozen
/// responses of a plain service, and the shortest rollout for ten pulses.
const PULSE_EVERY: Duration = Duration::from_secs(2);

/// Session state of one rollout.
#[derive(Debug)]
struct Trial {
    target: SmolStr,
    /// Time at which this entry learned of the rollout.
    since: MonoTime,
    /// Time from which sessions may use the new version.
    from: MonoTime,
    /// Sampled sessions that stay on the previous versions, by hash.
    kept: HashSet<u64>,
    /// Those of them that have not been reported yet.
    fresh: Vec<u64>,
}

/// Sessions seen by this entry, and those reported by others.
#[derive(Debug)]
pub struct Sessions {
    /// Time between two requests after which they no longer belong to the same session.
    pause: Duration,
    /// Share of the sessions that may use a canary.
    share: f64,
    /// Last version of each session, with the time of its last request.
    seen: HashMap<SessionId, (SmolStr, MonoTime)>,
    trials: HashMap<ServiceId, Trial>,
}

impl Sessions {
    /// Creates an empty table.
    pub fn new(pause: Duration, share: f64) -> Self {
        Self {
            pause,
            share,
            seen: HashMap::new(),
            trials: HashMap::new(),
        }
    }

    /// Records the version on which a session runs.
    pub fn ran(&mut self, now: MonoTime, session: &SessionId, version: &SmolStr) {
        self.seen.insert(session.clone(), (version.clone(), now));
    }

    /// Starts to track a rollout, unless it is already known.
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

    /// Adds sessions that other entries have reported. `all` is set if the reports of all
    /// entries are included.
    pub fn keep(&mut self, now: MonoTime, kept: &Kept, all: bool) {
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

    /// Returns the age of each rollout.
    pub fn ages(&self, now: MonoTime) -> Vec<Age> {
        let age = |(service, trial): (&ServiceId, &Trial)| Age {
            service: service.clone(),
            target: trial.target.clone(),
            age: now.saturating_sub(trial.since),
        };
        self.trials.iter().map(age).collect()
    }

    /// Takes the sampled sessions to report.
    pub fn take_fresh(&mut self) -> Vec<Kept> {
        let with_fresh = self.trials.iter_mut().filter(|(_, t)| !t.fresh.is_empty());
        let report = |(service, trial): (&ServiceId, &mut Trial)| Kept {
            service: service.clone(),
            target: trial.target.clone(),
            sessions: std::mem::take(&mut trial.fresh),
        };
        with_fresh.map(report).collect()
    }

    /// Returns whether a request may be sent to the canary. `name` identifies a request
    /// without a session. `fair` is the share of all requests at which a backend server
    /// of the new version gets as many as one of the previous versions.
    ///
    /// Some versions fail only under load. For a service with three backend servers, the
    /// canary's share is a fifth of the usual load of one of them. A version of this kind
    /// was promoted without evidence against it, and failed half of its requests once it
    /// was the only one left. Requests without a session are therefore sent in pulses,
    /// which put the full load on the canary for part of the time at the same total
    /// exposure.
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

    /// Removes expired sessions.
    pub fn tidy(&mut self, now: MonoTime) {
        let kept = self.pause + MARGIN;
        self.seen.retain(|_, (_, at)| now < *at + kept);
    }
}

fn is_drawn(name: &str, target: &str, share: f64) -> bool {
    hash::unit(name.as_bytes(), target) < share
}
