//! Selection of the backend server for a send.

use std::time::Duration;

use super::{
    Choice,
    ChooseError,
    Plan,
    Router, //
};
use crate::{
    gateway::{
        balance::{
            Affinity,
            ChoiceParams, //
        },
        cold,
        config::{
            ColdConfig,
            EngineConfig, //
        },
        directory::{
            ServerGroup,
            ServerId,
            ServerRecord,
            Window, //
        },
        engines::{
            EngineSend, Forecast,
            selection::{
                self,
                Candidate, //
            },
        },
        loads::ServerKey,
        rollout::Allowed,
    },
    ids::MonoTime,
    policy::hash,
};

/// Number of backend servers that a choice considers at first. In a larger service, the
/// shared prompt or the request determines which ones, so that the cost of a choice does
/// not grow with the fleet; the least loaded of 64 has hardly more load than the least
/// loaded of all.
pub const MAX_CANDIDATES: usize = 128;

/// Factor by which the candidate window grows when none of the candidates is usable.
const WIDEN_FACTOR: usize = 8;

/// Backend server that would get the next send of a request.
pub(super) struct Pick<'a> {
    pub(super) server: &'a ServerRecord,
    /// Predicted times, if the service is scheduled by engine time.
    pub(super) forecast: Option<Forecast>,
    /// Engines among which it was selected, if the service is scheduled by engine time.
    pub(super) engines: Vec<Candidate<'a>>,
    /// Number of backend servers considered.
    considered: usize,
    /// Expected time to process the unshared part of the prompt.
    prefill_time: Duration,
}

impl Pick<'_> {
    fn choice(&self) -> Choice {
        let announcement = &self.server.announcement;
        Choice {
            id: announcement.id.clone(),
            started_at: announcement.started_at,
            addr: announcement.addr,
            version: announcement.version.clone(),
            prefill_time: self.prefill_time,
            candidates: self.considered,
            forecast: self.forecast,
        }
    }
}

impl Router {
    /// Chooses a backend server for the next send and counts the send.
    ///
    /// # Errors
    ///
    /// Fails if no backend server is available, or if the request crashes backend servers.
    pub fn choose(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        model: Option<&str>,
        tried: &[ServerId],
    ) -> Result<Choice, ChooseError> {
        let choice = self.pick(now, plan, model, tried)?.choice();
        if !self.quarantine.take_permission(&plan.subject) {
            return Err(ChooseError::Quarantined);
        }
        self.record_choice(now, plan, model, &choice);
        self.record_session(now, plan, &choice);
        Ok(choice)
    }

    /// Returns the backend server that would be chosen for a send, without counting the
    /// send.
    ///
    /// # Errors
    ///
    /// Fails if no backend server is available.
    pub(super) fn pick<'a>(
        &'a self,
        now: MonoTime,
        plan: &Plan,
        model: Option<&str>,
        tried: &[ServerId],
    ) -> Result<Pick<'a>, ChooseError> {
        let allowed = self.allowed_versions(plan);
        // The canary servers are picked from the whole service, so that all entries use
        // the same ones.
        if plan.in_canary && self.is_canary(&plan.service) {
            let picked = self.pick_within(now, plan, model, tried, &allowed, Window::ALL);
            let is_leased_out = matches!(picked, Err(ChooseError::NoFreeSlot));
            if !is_leased_out || plan.session.is_some() {
                return picked;
            }
            // The canary servers are leased to other entries, or busy.
            let plan = Plan {
                in_canary: false,
                ..plan.clone()
            };
            return self.pick(now, &plan, model, tried);
        }
        let mut max_candidates = MAX_CANDIDATES;
        loop {
            let window = self.window(plan, model, &allowed, max_candidates);
            match self.pick_within(now, plan, model, tried, &allowed, window) {
                Err(_) if !window.is_all() => max_candidates *= WIDEN_FACTOR,
                result => return result,
            }
        }
    }

    /// Picks among the backend servers whose keys are in a window.
    fn pick_within<'a>(
        &'a self,
        now: MonoTime,
        plan: &Plan,
        model: Option<&str>,
        tried: &[ServerId],
        allowed: &Allowed,
        window: Window,
    ) -> Result<Pick<'a>, ChooseError> {
        let (eligible, considered) = self.usable(now, plan, tried, allowed, window)?;
        let affinity = affinity(plan, model);
        let prefill_time = self
            .prefill_times
            .estimate(&plan.service, model, plan.unshared_tokens);
        let params = ChoiceParams {
            affinity,
            prefill_time,
            domain: &self.cfg.domain,
            tried,
            at_most_once: plan.route.runs_at_most_once(),
            seed: plan.seed,
        };
        let Some(cfg) = self.timed_engine(plan) else {
            let server = self.balancer.pick(now, &eligible, &params);
            return Ok(Pick {
                server: server.ok_or(ChooseError::NoneLeft)?,
                forecast: None,
                engines: Vec::new(),
                considered,
                prefill_time,
            });
        };
        let eligible = self.balancer.eligible(now, &eligible, tried);
        let engines: Vec<Candidate<'a>> = eligible
            .into_iter()
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
        let chosen = selection::choose(&forecaster, &engines, key, time_left);
        let (server, forecast) = chosen.ok_or(ChooseError::NoneLeft)?;
        Ok(Pick {
            server,
            forecast: Some(forecast),
            engines,
            considered,
            prefill_time,
        })
    }

    /// Returns the backend servers in a window that may run a request now, including those
    /// already tried, and the number of those considered.
    fn usable<'a>(
        &'a self,
        now: MonoTime,
        plan: &Plan,
        tried: &[ServerId],
        allowed: &Allowed,
        window: Window,
    ) -> Result<(Vec<&'a ServerRecord>, usize), ChooseError> {
        let orders = &self.orders;
        let groups = self.directory.groups(&plan.service);
        let groups = groups.filter(|g| orders.admits(g.domain) && allowed.includes(g.version));
        let mut eligible: Vec<&ServerRecord> = groups
            .flat_map(|g| self.directory.members(&g, window))
            .collect();
        let considered = eligible.len();
        eligible.retain(|k| !self.backoffs.is_leaving(&k.announcement.id));
        let staying_count = eligible.len();
        eligible.retain(|k| self.accepts(now, &k.announcement.id));
        let are_limited = eligible.len() < staying_count;
        if are_limited && eligible.iter().all(|k| tried.contains(&k.announcement.id)) {
            return Err(match self.leases.is_leased(&plan.service) {
                true => ChooseError::NoFreeSlot,
                false => ChooseError::Limited,
            });
        }
        if plan.in_canary && self.is_canary(&plan.service) {
            self.retain_canary_servers(&mut eligible, plan, tried);
        }
        if eligible.is_empty() {
            return Err(self.choose_error(plan));
        }
        self.retain_warm(now, &mut eligible, cold_limits(plan), tried);
        match eligible.is_empty() {
            true => Err(ChooseError::Cold),
            false => Ok((eligible, considered)),
        }
    }

    /// Counts a send to the chosen backend server.
    fn record_choice(&mut self, now: MonoTime, plan: &Plan, model: Option<&str>, choice: &Choice) {
        if let Some(forecast) = &choice.forecast {
            let send = EngineSend {
                service: &plan.service,
                id: &choice.id,
                demand: &plan.demand(model),
                forecast,
            };
            self.engines.record_send(now, &send);
            self.charge_organisation(now, plan, send.demand);
        }
        if let Some(chosen) = self.directory.get(&choice.id) {
            self.balancer.record_send(now, chosen, choice.prefill_time);
            let cold = cold_limits(plan);
            if let Some(cold) = cold.filter(|cold| self.cold.is_cold(now, chosen, Some(cold))) {
                self.cold.use_turn(now, &choice.id, cold);
            }
        }
        self.limits.record_send(now, &choice.id);
        let in_flight = self.balancer.in_flight(&choice.id);
        self.leases.record_send(now, &choice.id, in_flight);
    }

    /// Returns the engine of a plan's service if that is scheduled by engine time.
    pub(super) fn timed_engine<'a>(&self, plan: &'a Plan) -> Option<&'a EngineConfig> {
        let is_on = self.engines.is_on(&plan.service);
        plan.engine().filter(|_| is_on && plan.route.streaming)
    }

    /// Returns whether a request could now continue on a backend server other than its
    /// current one and those already tried.
    pub fn has_alternative(
        &self,
        now: MonoTime,
        plan: &Plan,
        tried: &[ServerId],
        current: &ServerId,
    ) -> bool {
        let mut untried = self.untried(now, plan, tried);
        untried.any(|k| &k.announcement.id != current)
    }

    /// Returns whether any backend server that was not tried yet accepts a request now.
    pub fn has_capacity(&self, now: MonoTime, plan: &Plan, tried: &[ServerId]) -> bool {
        self.untried(now, plan, tried).next().is_some()
    }

    /// Iterates over the untried backend servers that may run a request now.
    fn untried<'a>(
        &'a self,
        now: MonoTime,
        plan: &'a Plan,
        tried: &'a [ServerId],
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        let allowed = self.allowed_versions(plan);
        let servers = self.open_servers(&plan.service);
        servers.filter(move |k| {
            let id = &k.announcement.id;
            !tried.contains(id)
                && allowed.includes(&k.announcement.version)
                && self.accepts(now, id)
        })
    }

    /// Iterates over the ready backend servers of a service outside evacuated failure
    /// domains.
    pub(super) fn open_servers<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        let groups = self.open_groups(service);
        groups.flat_map(|g| self.directory.members(&g, Window::ALL))
    }

    /// Iterates over the groups of these backend servers.
    pub(super) fn open_groups<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = ServerGroup<'a>> + 'a {
        let groups = self.directory.groups(service);
        groups.filter(|g| self.orders.admits(g.domain))
    }

    /// Returns the share of occupied slots of a plan's service, sampled over as many
    /// backend servers as a choice considers.
    pub fn utilization(&self, now: MonoTime, plan: &Plan) -> f64 {
        let window = self.window(plan, None, &self.allowed_versions(plan), MAX_CANDIDATES);
        let groups = self.open_groups(&plan.service);
        let members = groups.flat_map(|g| self.directory.members(&g, window));
        let servers: Vec<&ServerRecord> = members.collect();
        self.balancer.utilization(now, &servers)
    }

    /// Returns the part of the key space that contains about `max_candidates` eligible
    /// backend servers. All entries use the same part for requests that share a prompt.
    fn window(
        &self,
        plan: &Plan,
        model: Option<&str>,
        allowed: &Allowed,
        max_candidates: usize,
    ) -> Window {
        let point = affinity(plan, model).map_or(plan.seed, |a| hash::name(&a.key.to_le_bytes()));
        let groups = self.open_groups(&plan.service);
        let groups = groups.filter(|g| allowed.includes(g.version));
        Window::new(
            point as ServerKey,
            max_candidates,
            groups.map(|g| g.count()).sum(),
        )
    }

    /// Returns why no backend server may run a request.
    fn choose_error(&self, plan: &Plan) -> ChooseError {
        let is_known = self.directory.groups(&plan.service).next().is_some();
        let is_open = self.open_groups(&plan.service).next().is_some();
        match (is_known, is_open) {
            (false, _) => ChooseError::Unknown,
            (true, false) => ChooseError::Evacuated,
            (true, true) => ChooseError::NoneLeft,
        }
    }

    /// Keeps the warm backend servers. If no warm one is reachable or they are near
    /// capacity, keeps the cold ones to which this entry may send instead.
    ///
    /// Cold servers are idle and would otherwise attract too much load: after the
    /// recovery of a failure domain, single backend servers received up to 30 requests a
    /// second from 74 entries, and those with the most requests crashed.
    fn retain_warm(
        &self,
        now: MonoTime,
        eligible: &mut Vec<&ServerRecord>,
        limits: Option<&ColdConfig>,
        tried: &[ServerId],
    ) {
        let Some(limits) = limits else {
            return;
        };
        let is_cold = |k: &ServerRecord| self.cold.is_cold(now, k, Some(limits));
        let has_turn = |k: &&ServerRecord| {
            is_cold(k)
                && !tried.contains(&k.announcement.id)
                && self.cold.has_turn(now, &k.announcement.id, limits)
        };
        if !eligible.iter().any(|k| is_cold(k)) {
            return;
        }
        let is_usable = |k: &&&ServerRecord| {
            !is_cold(k) && !tried.contains(&k.announcement.id) && self.balancer.is_reachable(now, k)
        };
        let warm: Vec<&ServerRecord> = eligible.iter().filter(is_usable).copied().collect();
        let is_loaded =
            warm.is_empty() || self.balancer.utilization(now, &warm) >= cold::OVERFLOW_LOAD;
        if is_loaded && eligible.iter().any(has_turn) {
            eligible.retain(has_turn);
        } else {
            eligible.retain(|k| !is_cold(k));
        }
    }
}

/// Returns the prompt affinity of a plan's request for a model.
fn affinity(plan: &Plan, model: Option<&str>) -> Option<Affinity> {
    plan.shared_prefix.map(|part| Affinity {
        key: part.id ^ hash::name(model.unwrap_or_default().as_bytes()),
        tokens: part.tokens,
    })
}

/// Returns the warm-up limits of a plan's service, if it has any.
fn cold_limits(plan: &Plan) -> Option<&ColdConfig> {
    let service = plan.table.config().service(&plan.service);
    service.and_then(|s| s.cold.as_ref())
}
