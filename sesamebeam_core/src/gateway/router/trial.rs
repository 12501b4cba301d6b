//! Which versions of a service a request may go to while one is rolled out.

use super::{
    Plan,
    Router, //
};
use crate::{
    gateway::{
        config::ServiceId,
        directory::{
            ServerId, //
            ServerRecord,
        },
        rollout::{
            Allowed,
            Phase,
            TRIAL_PART, //
        },
    },
    policy::hash,
};

impl Router {
    pub(super) fn is_target(&self, service: &str, version: &str) -> bool {
        self.orders
            .rollouts
            .get(service)
            .is_some_and(|r| r.target == version)
    }

    pub(super) fn is_canary(&self, service: &str) -> bool {
        let rollout = self.orders.rollouts.get(service);
        rollout.is_some_and(|r| r.phase == Phase::Canary)
    }

    /// Leaves so few of the backend servers of a version on trial that each has
    /// about as many requests as those of the versions before.
    ///
    /// Some versions fail only under load. Spread over all of them, the share of
    /// a trial loads none, and such a version takes over with no evidence against
    /// it. Every entry leaves the same ones.
    pub(super) fn keep_few(&self, fit: &mut Vec<&ServerRecord>, plan: &Plan, tried: &[ServerId]) {
        let few = self.few_on_trial(self.count_before(&plan.service));
        fit.retain(|k| !tried.contains(&k.announcement.id));
        fit.sort_by_key(|k| {
            std::cmp::Reverse(hash::rendezvous(
                &k.announcement.version,
                k.announcement.id.as_bytes(),
            ))
        });
        fit.truncate(few);
    }

    /// Returns how many backend servers of a new version are tried, for so many of
    /// the versions before.
    pub(super) fn few_on_trial(&self, before: usize) -> usize {
        let share = self.cfg.exposure_share * TRIAL_PART;
        (share * before as f64).floor().max(1.0) as usize
    }

    /// Returns the share of a service's requests with which those that are tried
    /// have as many each as those of the versions before; 0 without a trial.
    pub(super) fn fair_share(&self, service: &ServiceId) -> f64 {
        let Some(rollout) = self.orders.rollouts.get(service) else {
            return 0.0;
        };
        if rollout.phase != Phase::Canary {
            return 0.0;
        }
        let before = self.count_before(service);
        let few = self.few_on_trial(before) as f64;
        few / (before as f64 + few)
    }

    /// Returns how many backend servers of a service run another version than the one
    /// that is brought in.
    fn count_before(&self, service: &str) -> usize {
        let groups = self.open_groups(service);
        let before = groups.filter(|g| !self.is_target(service, g.version));
        before.map(|g| g.count()).sum()
    }

    pub(super) fn allowed(&self, plan: &Plan) -> Allowed {
        let Some(rollout) = self.orders.rollouts.get(&plan.service) else {
            return Allowed::Any;
        };
        let target = rollout.target.clone();
        let has_target = || {
            let mut groups = self.open_groups(&plan.service);
            groups.any(|g| *g.version == target)
        };
        match rollout.phase {
            Phase::Canary if plan.on_trial && has_target() => Allowed::Only(target),
            Phase::Canary | Phase::RolledBack => Allowed::Not(target),
            Phase::Promoted | Phase::Completed if has_target() => Allowed::Only(target),
            Phase::Promoted | Phase::Completed => Allowed::Any,
        }
    }
}
