//! Fair sharing of engine time and immediate refusal, where callers compete for engines.

use super::{
    Plan, Refusal, Router,
    choosing::{
        MAX_CANDIDATES,
        WIDEN_FACTOR,
        cold_limits, //
    },
    retry_after::round_up,
};
use crate::{
    gateway::{
        config::{
            Rank,
            RouteConfig,
            ServiceId, //
        },
        directory::{
            ServerRecord,
            Window, //
        },
        engines::admission::{
            self,
            EngineSlots, //
        },
        table::RouteTable,
    },
    ids::{
        MonoTime,
        OrgId, //
    },
    policy::hash,
};

impl Router {
    /// Records the arrival of a request, and returns whether its organisation is ahead of
    /// the others at engines for which callers compete.
    pub(super) fn record_arrival(
        &mut self,
        now: MonoTime,
        table: &RouteTable,
        route: &RouteConfig,
        service: &ServiceId,
        organisation: Option<&OrgId>,
    ) -> bool {
        let service_cfg = table.config().service(service);
        let has_engine = service_cfg.is_some_and(|s| s.engine.is_some());
        let competes = self.engines.has_contention() && route.streaming && has_engine;
        match organisation.filter(|_| competes) {
            Some(org) => self.fairness.record_request(now, service, org),
            None => false,
        }
    }

    /// Checks whether any engine is predicted to complete a request by its deadline.
    ///
    /// # Errors
    ///
    /// Fails if every candidate has stated its load and none is.
    pub(super) fn check_completion(
        &self,
        now: MonoTime,
        plan: &Plan,
        rank: Rank,
        is_ahead: bool,
    ) -> Result<(), Refusal> {
        let engine = self.timed_engine(plan);
        let Some(cfg) = engine.filter(|_| self.engines.has_contention()) else {
            return Ok(());
        };
        let model = plan.model.as_deref();
        let servers = self.engine_candidates(now, plan, model);
        let candidates: Vec<EngineSlots<'_>> = servers
            .iter()
            .map(|server| EngineSlots {
                id: &server.announcement.id,
                slots: server.announcement.slots,
            })
            .collect();
        let demand = plan.demand(model);
        let forecaster = self.engines.forecaster(now, cfg, &plan.service, &demand);
        let is_most_urgent = plan.table.rank_index(rank).0 == 0;
        let time_left = plan.deadline.saturating_sub(now);
        let share = admission::time_share(is_most_urgent, is_ahead);
        match admission::refusal_delay(&forecaster, &candidates, time_left, share) {
            None => Ok(()),
            Some(delay) => {
                let at = hash::unit(&plan.seed.to_le_bytes(), "engine-refusal");
                let after = round_up(admission::with_jitter(delay, at));
                Err(Refusal::CannotComplete { after })
            }
        }
    }

    /// Returns the number of organisations that are ahead of the others at any service.
    pub fn organisations_ahead(&mut self, now: MonoTime) -> usize {
        self.fairness.count_ahead(now)
    }

    /// Returns the backend servers among which the first send of a request would be
    /// chosen.
    fn engine_candidates<'a>(
        &'a self,
        now: MonoTime,
        plan: &'a Plan,
        model: Option<&str>,
    ) -> Vec<&'a ServerRecord> {
        if plan.in_canary && self.is_canary(&plan.service) {
            return self.engine_candidates_within(now, plan, Window::ALL);
        }
        let allowed = self.allowed_versions(plan);
        let mut max_candidates = MAX_CANDIDATES;
        loop {
            let window = self.window(plan, model, &allowed, max_candidates);
            let found = self.engine_candidates_within(now, plan, window);
            if !found.is_empty() || window.is_all() {
                return found;
            }
            max_candidates *= WIDEN_FACTOR;
        }
    }

    fn engine_candidates_within<'a>(
        &'a self,
        now: MonoTime,
        plan: &'a Plan,
        window: Window,
    ) -> Vec<&'a ServerRecord> {
        let allowed = self.allowed_versions(plan);
        let groups = self.open_groups(&plan.service);
        let groups = groups.filter(|g| allowed.includes(g.version));
        let members = groups.flat_map(|g| self.directory.members(&g, window));
        let mut eligible: Vec<&ServerRecord> = members
            .filter(|k| !self.backoffs.is_leaving(&k.announcement.id))
            .filter(|k| self.accepts(now, &k.announcement.id))
            .collect();
        if plan.in_canary && self.is_canary(&plan.service) {
            self.retain_canary_servers(&mut eligible, plan, &[]);
        }
        self.retain_warm(now, &mut eligible, cold_limits(plan), &[]);
        self.balancer.eligible(now, &eligible, &[])
    }
}
