//! Fair sharing of engine time and immediate refusal, where callers compete for engines.

use super::{
    Plan,
    Refusal,
    Router,
    retry_after::round_up, //
};
use crate::{
    gateway::{
        config::{
            Rank,
            RouteConfig,
            ServiceId, //
        },
        engines::{
            Demand,
            admission::{
                self,
                EngineSlots, //
            },
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
        let Ok(pick) = self.pick(now, plan, model, &[]) else {
            return Ok(());
        };
        let candidates: Vec<EngineSlots<'_>> = pick
            .engines
            .iter()
            .map(|candidate| EngineSlots {
                id: &candidate.server.announcement.id,
                slots: candidate.server.announcement.slots,
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

    /// Charges the organisation of a request with the engine time of a send.
    pub(super) fn charge_organisation(&mut self, now: MonoTime, plan: &Plan, demand: &Demand) {
        let (Some(org), Some(cfg)) = (&plan.organisation, plan.engine()) else {
            return;
        };
        if self.engines.has_contention() {
            let forecaster = self.engines.forecaster(now, cfg, &plan.service, demand);
            let engine_time = forecaster.engine_time();
            self.fairness.charge(&plan.service, org, engine_time);
        }
    }

    /// Returns the number of organisations that are ahead of the others at any service.
    pub fn organisations_ahead(&mut self, now: MonoTime) -> usize {
        self.fairness.count_ahead(now)
    }
}
