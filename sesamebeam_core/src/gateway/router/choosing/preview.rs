//! Prediction for the engine that would be chosen, without a send.

use super::{
    MAX_CANDIDATES,
    WIDEN_FACTOR,
    affinity,
    cold_limits, //
};
use crate::{
    gateway::{
        balance::ChoiceParams,
        directory::{
            ServerId,
            ServerRecord,
            Window, //
        },
        engines::{
            Forecast,
            selection::{
                self,
                Candidate, //
            },
        },
        rollout::Allowed,
        router::{
            Plan,
            Router, //
        },
    },
    ids::MonoTime,
};

impl Router {
    /// Predicts how long a request would take at the engine that
    /// [`choose`](Self::choose) would return for it now; none if no reachable engine is left
    /// or the service is not scheduled by engine time.
    pub(in crate::gateway::router) fn preview(
        &self,
        now: MonoTime,
        plan: &Plan,
        model: Option<&str>,
        tried: &[ServerId],
    ) -> Option<Forecast> {
        let allowed = self.allowed_versions(plan);
        if plan.in_canary && self.is_canary(&plan.service) {
            return self.preview_within(now, plan, model, tried, &allowed, Window::ALL);
        }
        let mut max_candidates = MAX_CANDIDATES;
        loop {
            let window = self.window(plan, model, &allowed, max_candidates);
            let found = self.preview_within(now, plan, model, tried, &allowed, window);
            if found.is_some() || window.is_all() {
                return found;
            }
            max_candidates *= WIDEN_FACTOR;
        }
    }

    fn preview_within(
        &self,
        now: MonoTime,
        plan: &Plan,
        model: Option<&str>,
        tried: &[ServerId],
        allowed: &Allowed,
        window: Window,
    ) -> Option<Forecast> {
        let cfg = self.timed_engine(plan)?;
        let groups = self.open_groups(&plan.service);
        let groups = groups.filter(|g| allowed.includes(g.version));
        let mut eligible: Vec<&ServerRecord> = groups
            .flat_map(|g| self.directory.members(&g, window))
            .filter(|k| {
                let id = &k.announcement.id;
                !self.backoffs.is_leaving(id) && self.accepts(now, id)
            })
            .collect();
        if plan.in_canary && self.is_canary(&plan.service) {
            self.retain_canary_servers(&mut eligible, plan, tried);
        }
        self.retain_warm(now, &mut eligible, cold_limits(plan), tried);
        let affinity = affinity(plan, model);
        let params = ChoiceParams {
            affinity,
            prefill_time: self
                .prefill_times
                .estimate(&plan.service, model, plan.unshared_tokens),
            domain: &self.cfg.domain,
            tried,
            at_most_once: plan.route.runs_at_most_once(),
            seed: plan.seed,
        };
        let candidates = self.balancer.eligible(now, &eligible, tried);
        let candidates: Vec<Candidate<'_>> = candidates
            .into_iter()
            .filter(|server| self.balancer.is_reachable(now, server))
            .map(|server| Candidate {
                server,
                is_reliable: self.balancer.is_reliable(server, &params),
                is_local: self.balancer.is_preferred_domain(server, &params),
            })
            .collect();
        let demand = plan.demand(model);
        let forecaster = self.engines.forecaster(now, cfg, &plan.service, &demand);
        let key = affinity.map_or(plan.seed, |a| a.key);
        let time_left = plan.deadline.saturating_sub(now);
        let (_, forecast) = selection::choose(&forecaster, &candidates, key, time_left)?;
        Some(forecast)
    }
}
