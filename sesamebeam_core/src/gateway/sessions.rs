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
    messages::{
        RetainedSessions,
        RolloutAge, //
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
pub const COLLECTION_TIME: Duration = Duration::from_millis(1000);

/// Added to the session timeout, which the caller counts from the end of its last
/// request, slightly later than this entry.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1500);

/// Interval between the starts of two canary pulses. Each pulse has room for some dozen
/// responses of a plain service, and the shortest rollout for ten pulses.
const PULSE_INTERVAL: Duration = Duration::from_secs(2);

/// Session state of one rollout.
#[derive(Debug)]
struct Canary {
    target: SmolStr,
    /// Time at which this entry learned of the rollout.
    since: MonoTime,
    /// Time from which sessions may use the new version.
    open_from: MonoTime,
    /// Sampled sessions that stay on the previous versions, by hash.
    excluded: HashSet<u64>,
    /// Those of them that have not been reported yet.
    unreported: Vec<u64>,
}

/// Sessions seen by this entry, and those reported by others.
#[derive(Debug)]
pub struct Sessions {
    /// Time between two requests after which they no longer belong to the same session.
    timeout: Duration,
    /// Share of the sessions that may use a canary.
    canary_share: f64,
    /// Last version of each session, with the time of its last request.
    last_versions: HashMap<SessionId, (SmolStr, MonoTime)>,
    canaries: HashMap<ServiceId, Canary>,
}

impl Sessions {
    /// Creates an empty table.
    pub fn new(timeout: Duration, canary_share: f64) -> Self {
        Self {
            timeout,
            canary_share,
            last_versions: HashMap::new(),
            canaries: HashMap::new(),
        }
    }

    /// Records the version on which a session runs.
    pub fn record_version(&mut self, now: MonoTime, session: &SessionId, version: &SmolStr) {
        self.last_versions
            .insert(session.clone(), (version.clone(), now));
    }

    /// Starts to track a rollout, unless it is already known.
    pub fn track_rollout(&mut self, now: MonoTime, service: &ServiceId, target: &SmolStr) {
        if self
            .canaries
            .get(service)
            .is_some_and(|t| t.target == *target)
        {
            return;
        }
        let sampled = self
            .last_versions
            .iter()
            .filter(|(session, (version, at))| {
                version != target
                    && is_sampled(session, target, self.canary_share)
                    && now < *at + self.timeout + EXPIRY_MARGIN
            });
        let excluded: HashSet<u64> = sampled.map(|(s, _)| hash::name(s.as_bytes())).collect();
        let canary = Canary {
            target: target.clone(),
            since: now,
            open_from: now + COLLECTION_TIME,
            unreported: excluded.iter().copied().collect(),
            excluded,
        };
        self.canaries.insert(service.clone(), canary);
    }

    /// Adds sessions that other entries have reported. `all` is set if the reports of all
    /// entries are included.
    pub fn exclude(&mut self, now: MonoTime, kept: &RetainedSessions, all: bool) {
        self.track_rollout(now, &kept.service, &kept.target);
        if let Some(canary) = self.canaries.get_mut(&kept.service)
            && canary.target == kept.target
        {
            canary.excluded.extend(&kept.sessions);
            if all {
                canary.open_from = canary.open_from.min(now);
            }
        }
    }

    /// Returns the age of each rollout.
    pub fn ages(&self, now: MonoTime) -> Vec<RolloutAge> {
        let age = |(service, canary): (&ServiceId, &Canary)| RolloutAge {
            service: service.clone(),
            target: canary.target.clone(),
            age: now.saturating_sub(canary.since),
        };
        self.canaries.iter().map(age).collect()
    }

    /// Takes the sampled sessions to report.
    pub fn take_unreported(&mut self) -> Vec<RetainedSessions> {
        let with_unreported = self
            .canaries
            .iter_mut()
            .filter(|(_, t)| !t.unreported.is_empty());
        let report = |(service, canary): (&ServiceId, &mut Canary)| RetainedSessions {
            service: service.clone(),
            target: canary.target.clone(),
            sessions: std::mem::take(&mut canary.unreported),
        };
        with_unreported.map(report).collect()
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
    pub fn may_use_canary(
        &mut self,
        now: MonoTime,
        service: &ServiceId,
        session: Option<&SessionId>,
        name: &str,
        fair: f64,
    ) -> bool {
        let Some(canary) = self.canaries.get_mut(service) else {
            return false;
        };
        let Some(session) = session else {
            let share = self.canary_share.max(fair);
            let pulse = PULSE_INTERVAL.mul_f64(self.canary_share / share);
            let elapsed = now.saturating_sub(canary.since).as_nanos() % PULSE_INTERVAL.as_nanos();
            return elapsed < pulse.as_nanos() && is_sampled(name, &canary.target, share);
        };
        let last = self.last_versions.get(session);
        if let Some((version, at)) = last
            && now < *at + self.timeout + EXPIRY_MARGIN
        {
            return *version == canary.target;
        }
        if !is_sampled(session, &canary.target, self.canary_share) {
            return false;
        }
        let key = hash::name(session.as_bytes());
        if now >= canary.open_from {
            return !canary.excluded.contains(&key);
        }
        if canary.excluded.insert(key) {
            canary.unreported.push(key);
        }
        false
    }

    /// Removes expired sessions.
    pub fn expire(&mut self, now: MonoTime) {
        let lifetime = self.timeout + EXPIRY_MARGIN;
        self.last_versions.retain(|_, (_, at)| now < *at + lifetime);
    }
}

fn is_sampled(name: &str, target: &str, share: f64) -> bool {
    hash::unit(name.as_bytes(), target) < share
}
