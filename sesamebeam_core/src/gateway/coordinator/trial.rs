//! Watching roll-outs and moving them on.

use std::collections::BTreeMap;

use super::{
    Coordinator,
    Note, //
};
use crate::{
    gateway::{
        config::ServiceId,
        feed::Evidence,
        rollout::{
            Rollouts,
            Watch, //
        },
        store::{
            Command,
            Store, //
        },
    },
    ids::MonoTime,
};

/// Roll-outs that are watched.
#[derive(Debug, Default)]
pub(super) struct Trials {
    watched: BTreeMap<(ServiceId, smol_str::SmolStr), Watch>,
}

impl Trials {
    /// Starts to watch roll-outs that are new here and forgets replaced ones.
    pub(super) fn follow(&mut self, now: MonoTime, rollouts: &Rollouts) {
        self.watched.retain(|(service, target), _| {
            rollouts.get(service).is_some_and(|r| r.target == *target)
        });
        for (service, rollout) in rollouts {
            let key = (service.clone(), rollout.target.clone());
            self.watched.entry(key).or_insert_with(|| Watch::new(now));
        }
    }

    /// Follows the roll-outs as a leader; every replica has watched them.
    pub(super) fn restart(&mut self, now: MonoTime, rollouts: &Rollouts) {
        self.follow(now, rollouts);
    }

    /// Takes evidence from an entry.
    pub(super) fn take(&mut self, now: MonoTime, store: &Store, evidence: &[Evidence]) {
        self.follow(now, store.rollouts());
        for counts in evidence {
            let Some(rollout) = store.rollouts().get(&counts.service) else {
                continue;
            };
            let key = (counts.service.clone(), rollout.target.clone());
            if let Some(watch) = self.watched.get_mut(&key) {
                watch.take(&rollout.target, counts);
            }
        }
    }
}

impl Coordinator {
    /// Moves roll-outs on whose time has come or whose version is bad.
    pub(super) fn move_rollouts(&mut self) {
        if !self.leads() {
            return;
        }
        for (service, rollout) in self.store.rollouts().clone() {
            let key = (service.clone(), rollout.target.clone());
            let Some(watch) = self.trials.watched.get(&key) else {
                continue;
            };
            let phase = watch.phase(self.now, &rollout);
            if phase == rollout.phase {
                continue;
            }
            let counts = watch.summary();
            let target = rollout.target.clone();
            self.note(Note::Rollout {
                service: service.clone(),
                target: target.clone(),
                phase,
                counts,
            });
            self.propose_own(&Command::Move {
                service,
                target,
                phase,
            });
        }
    }
}
