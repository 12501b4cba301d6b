//! Versions of a service that a request may use during a rollout.

use super::{
    Plan,
    Router, //
};
use crate::{
    gateway::{
        config::ServiceId,
        directory::{
            ServerId,
            ServerRecord, //
        },
        rollout::{
            Allowed,
            CANARY_PART,
            Phase, //
        },
    },
    policy::hash,
};

impl Router {
    pub(super) fn is_rollout_target(&self, service: &str, version: &str) -> bool {
        self.orders
            .rollouts
            .get(service)
            .is_some_and(|r| r.target == version)
    }

    pub(super) fn is_canary(&self, service: &str) -> bool {
        let rollout = self.orders.rollouts.get(service);
        rollout.is_some_and(|r| r.phase == Phase::Canary)
    }

    /// Limits the backend servers of a canary to so few that each gets about as many
    /// requests as one of the stable version.
    ///
    /// Some versions fail only under load. Spread over all new backend servers, the
    /// canary share puts no load on any of them, and such a version would be promoted
    /// without evidence against it. All entries select the same backend servers.
    pub(super) fn retain_canary_servers(
        &self,
        eligible: &mut Vec<&ServerRecord>,
        plan: &Plan,
        tried: &[ServerId],
    ) {
        let canary_count = self.canary_server_count(self.count_stable(&plan.service));
        eligible.retain(|k| !tried.contains(&k.announcement.id));
        eligible.sort_by_key(|k| {
            std::cmp::Reverse(hash::rendezvous(
                &k.announcement.version,
                k.announcement.id.as_bytes(),
            ))
        });
        eligible.truncate(canary_count);
    }

    /// Returns the number of backend servers of a new version that receive canary
    /// requests, given the number that run stable versions.
    pub(super) fn canary_server_count(&self, stable_count: usize) -> usize {
        let share = self.cfg.exposure_share * CANARY_PART;
        (share * stable_count as f64).floor().max(1.0) as usize
    }

    /// Returns the share of a service's requests at which each canary server gets as many
    /// as a stable one; 0 outside the canary phase.
    pub(super) fn canary_share(&self, service: &ServiceId) -> f64 {
        let Some(rollout) = self.orders.rollouts.get(service) else {
            return 0.0;
        };
        if rollout.phase != Phase::Canary {
            return 0.0;
        }
        let stable_count = self.count_stable(service);
        let canary_count = self.canary_server_count(stable_count) as f64;
        canary_count / (stable_count as f64 + canary_count)
    }

    /// Returns the number of backend servers of a service that do not run the target
    /// version of its rollout.
    fn count_stable(&self, service: &str) -> usize {
        let groups = self.open_groups(service);
        let stable = groups.filter(|g| !self.is_rollout_target(service, g.version));
        stable.map(|g| g.count()).sum()
    }

    pub(super) fn allowed_versions(&self, plan: &Plan) -> Allowed {
        let Some(rollout) = self.orders.rollouts.get(&plan.service) else {
            return Allowed::Any;
        };
        let target = rollout.target.clone();
        let has_target = || {
            let mut groups = self.open_groups(&plan.service);
            groups.any(|g| *g.version == target)
        };
        match rollout.phase {
            Phase::Canary if plan.in_canary && has_target() => Allowed::Only(target),
            Phase::Canary | Phase::RolledBack => Allowed::Not(target),
            Phase::Promoted | Phase::Completed if has_target() => Allowed::Only(target),
            Phase::Promoted | Phase::Completed => Allowed::Any,
        }
    }
}
