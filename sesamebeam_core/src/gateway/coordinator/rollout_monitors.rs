//! Monitoring of rollouts and their phase transitions.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use smol_str::SmolStr;

use super::{
    Coordinator,
    LogEvent, //
};
use crate::{
    gateway::{
        config::ServiceId,
        messages::{
            Evidence,
            RetainedSessions,
            RolloutAge, //
        },
        rollout::{
            RolloutMonitor,
            Rollouts, //
        },
        sessions::COLLECTION_TIME,
        store::{
            Command,
            Store, //
        },
    },
    ids::MonoTime,
};

/// Rollouts being monitored.
#[derive(Debug, Default)]
pub(super) struct RolloutMonitors {
    watched: BTreeMap<(ServiceId, SmolStr), RolloutMonitor>,
    /// Start times of rollouts whose start command is not applied here yet.
    start_times: BTreeMap<(ServiceId, SmolStr), MonoTime>,
    /// Sessions that must stay on the previous versions.
    retained_sessions: BTreeMap<(ServiceId, SmolStr), BTreeSet<u64>>,
}

impl RolloutMonitors {
    /// Starts monitoring new rollouts and drops replaced ones.
    pub(super) fn sync(&mut self, now: MonoTime, rollouts: &Rollouts) {
        self.watched.retain(|(service, target), _| {
            rollouts.get(service).is_some_and(|r| r.target == *target)
        });
        let watched = &self.watched;
        self.retained_sessions
            .retain(|key, _| watched.contains_key(key));
        for (service, rollout) in rollouts {
            let key = (service.clone(), rollout.target.clone());
            if !self.watched.contains_key(&key) {
                let started = self.start_times.remove(&key).unwrap_or(now);
                self.watched.insert(key, RolloutMonitor::new(started));
            }
        }
    }

    /// Records how long rollouts have been running, including those not applied here yet: a
    /// replica that has just started learns of them from reports first.
    pub(super) fn record_ages(&mut self, now: MonoTime, store: &Store, ages: &[RolloutAge]) {
        self.sync(now, store.rollouts());
        for RolloutAge {
            service,
            target,
            age,
        } in ages
        {
            let key = (service.clone(), target.clone());
            match self.watched.get_mut(&key) {
                Some(watch) => watch.set_min_age(now, *age),
                None => {
                    let started = now.saturating_sub(*age);
                    let start_time = self.start_times.entry(key).or_insert(started);
                    *start_time = started.min(*start_time);
                }
            }
        }
    }

    /// Records sessions that must stay on the versions before a rollout.
    pub(super) fn retain_sessions(&mut self, retained: &RetainedSessions) {
        let key = (retained.service.clone(), retained.target.clone());
        let sessions = self.retained_sessions.entry(key).or_default();
        sessions.extend(&retained.sessions);
    }

    /// Returns the retained sessions of each rollout, and whether all sessions that were
    /// active when it started have been reported.
    pub(super) fn retained_sessions(&self, now: MonoTime) -> Vec<(RetainedSessions, bool)> {
        let retained_of = |(key, watch): (&(ServiceId, SmolStr), &RolloutMonitor)| {
            let sessions = self
                .retained_sessions
                .get(key)
                .into_iter()
                .flatten()
                .copied();
            let retained = RetainedSessions {
                service: key.0.clone(),
                target: key.1.clone(),
                sessions: sessions.collect(),
            };
            (retained, watch.age(now) > COLLECTION_TIME)
        };
        self.watched.iter().map(retained_of).collect()
    }

    /// Adds evidence from an entry.
    pub(super) fn add_evidence(&mut self, now: MonoTime, store: &Store, evidence: &[Evidence]) {
        self.sync(now, store.rollouts());
        for counts in evidence {
            let Some(rollout) = store.rollouts().get(&counts.service) else {
                continue;
            };
            let key = (counts.service.clone(), rollout.target.clone());
            if let Some(watch) = self.watched.get_mut(&key) {
                watch.add(now, &rollout.target, counts);
            }
        }
    }
}

impl Coordinator {
    /// Proposes the next phase for rollouts that are due or whose new version is bad.
    pub(super) fn advance_rollouts(&mut self) {
        if !self.leads() {
            return;
        }
        for (service, rollout) in self.store.rollouts().clone() {
            let key = (service.clone(), rollout.target.clone());
            let Some(watch) = self.rollout_monitors.watched.get(&key) else {
                continue;
            };
            let phase = watch.phase(self.now, &rollout, self.cfg.max_exposure);
            if phase == rollout.phase {
                continue;
            }
            let (counts, recent) = (watch.summary(), watch.recent_summary());
            let target = rollout.target.clone();
            self.log(LogEvent::Rollout {
                service: service.clone(),
                target: target.clone(),
                phase,
                counts,
                recent,
            });
            self.propose_internal(&Command::SetRolloutPhase {
                service,
                target,
                phase,
            });
        }
    }
}
