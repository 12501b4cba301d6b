//! Request routing of an entry in pass-through mode.

mod canary;
mod capacity;
mod choosing;
mod engine_admission;
mod escalation;
mod exchange;
mod isolated;
mod leased;
mod moving;
mod quarantined;
mod retry_after;
mod watching;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use smol_str::SmolStr;
use thiserror::Error;

pub use self::{
    choosing::MAX_CANDIDATES,
    isolated::Probe,
    leased::Elsewhere,
    moving::CurrentSend,
    watching::{
        CrashCheck,
        Ended, //
    },
};
use super::{
    backoff::Backoffs,
    balance::{
        LoadBalancer,
        Outcome, //
    },
    cascade::{
        self,
        Cascade, //
    },
    cold::ColdServers,
    config::{
        ConfigVersion,
        EngineConfig,
        GatewayConfig,
        Rank,
        RouteConfig,
        ServiceId, //
    },
    crash_watch::CrashWatch,
    directory::{
        Announcement,
        Directory,
        ServerId,
        ServerIncarnation,
        ServerRecord,
        StartTime, //
    },
    engines::{
        Demand,
        EngineSend,
        Engines,
        Forecast,
        fairness::Fairness, //
    },
    forwarding::ForwardingPeers,
    isolation::Isolation,
    limits::ServerLimits,
    messages::{
        RetainedSessions,
        RolloutAge, //
    },
    prefill::PrefillTimes,
    prompt_lengths::PromptLengths,
    quarantine::{
        Quarantine,
        Subject, //
    },
    request::{
        Head,
        Load,
        PromptPart, //
    },
    response_counts::{
        CountKey,
        ResponseCounts, //
    },
    response_times::ResponseTimes,
    retry_budget::{
        RetryBudget,
        RetryBudgetConfig, //
    },
    rollout::CANARY_PART,
    server_leases::ServerLeases,
    sessions::Sessions,
    shortage::Admission,
    store::Orders,
    table::{
        self,
        Caller,
        RouteTable, //
    },
};
use crate::{
    ids::{
        DomainId,
        LogIndex,
        ModelId,
        MonoTime,
        OrgId, //
    },
    policy::hash,
};

/// Interval between two removals of expired state.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Name of this entry.
    pub name: SmolStr,
    /// Failure domain of this entry.
    pub domain: DomainId,
    /// Retry budget.
    pub budget: RetryBudgetConfig,
    /// Upper bound on the share of a service's requests that a new version may serve
    /// while its rollout can still be rolled back.
    pub exposure_share: f64,
    /// Idle time after which a session counts as ended.
    pub session_pause: Duration,
    /// Whether callers compete for the capacity of engines.
    pub contention: bool,
}

/// Why a request is rejected before it is sent to any backend server.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet, or the known one may be outdated and does not allow
    /// the request.
    #[error("no configuration yet")]
    NoConfig,
    /// No route matches the request.
    #[error("no route")]
    NoRoute,
    /// The API key is not in the configuration.
    #[error("unknown key")]
    UnknownKey,
    /// Requests with this fingerprint or with parts of this prompt crash backend servers.
    #[error("request crashes backend servers")]
    Quarantined,
    /// The service has too little capacity for its load, and this request was not
    /// admitted.
    #[error("service short of capacity")]
    ShortOfCapacity,
    /// The link of the instance is full, and this request came on an open connection.
    #[error("link full")]
    LinkFull,
    /// No engine is expected to complete the request by its deadline.
    #[error("cannot be complete by its deadline")]
    CannotComplete {
        /// Time after which an equal request could be complete by its deadline, with
        /// jitter.
        after: Duration,
    },
}

/// Why no backend server could be chosen for a send.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ChooseError {
    /// No backend server of the service has announced itself.
    #[error("no backend server is known")]
    Unknown,
    /// All eligible backend servers are in evacuated failure domains.
    #[error("all backend servers are evacuated")]
    Evacuated,
    /// All remaining backend servers are cold, and this entry may not send to one yet.
    #[error("all backend servers are cold")]
    Cold,
    /// All remaining backend servers are at their rate limits or have asked this entry to
    /// back off.
    #[error("all backend servers are at their limits or asked for a pause")]
    Limited,
    /// This entry has no free slot of a leased backend server for the request.
    #[error("no free slot of a leased backend server")]
    NoFreeSlot,
    /// The request crashes backend servers.
    #[error("request crashes backend servers")]
    Quarantined,
    /// No eligible backend server remains.
    #[error("no backend server is left")]
    NoneLeft,
}

/// Routing decisions made once for each request, before its first send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Configuration that the decisions are based on.
    pub table: Arc<RouteTable>,
    /// Matched route.
    pub route: RouteConfig,
    /// Service that the request is sent to.
    pub service: ServiceId,
    /// Organisation of the caller; none if the caller is anonymous.
    pub organisation: Option<OrgId>,
    /// Scheduling rank passed to the engine; within a configured rank, shorter prompts go
    /// first.
    pub engine_rank: Rank,
    /// First model of the cascade; none if the caller names a model.
    pub model: Option<ModelId>,
    /// Cost of a model run, in tokens that are paid for, for each token of the answer.
    pub relative_cost: f64,
    /// Prompt prefix shared with other requests.
    shared_prefix: Option<PromptPart>,
    /// Prompt tokens that no other request shares.
    unshared_tokens: u32,
    /// Stated length of the response in tokens.
    response_tokens: u32,
    /// When the request was admitted.
    pub admitted_at: MonoTime,
    /// When the entry that its caller has reached read it.
    pub read_at: MonoTime,
    /// When its caller stops waiting, or its route's timeout is reached.
    pub deadline: MonoTime,
    /// Session identifier.
    session: Option<SmolStr>,
    /// Whether the request goes to the new version during a canary phase.
    in_canary: bool,
    /// What the request may be quarantined for.
    subject: Subject,
    /// Pseudo-random tie breaker, derived from the request id.
    seed: u64,
}

impl Plan {
    /// Returns the key under which answers of a backend server are counted.
    fn sender(&self, choice: &Choice) -> CountKey {
        CountKey {
            service: self.service.clone(),
            version: choice.version.clone(),
            route: self.route.name.clone(),
        }
    }

    /// Returns the work that the request brings to an engine with a model.
    pub fn demand(&self, model: Option<&str>) -> Demand {
        Demand {
            model: model.map(ModelId::from),
            uncached_tokens: self.unshared_tokens,
            shared_tokens: self.shared_prefix.map_or(0, |part| part.tokens),
            response_tokens: self.response_tokens,
        }
    }

    /// Returns the engine of the plan's service, if it runs models.
    pub fn engine(&self) -> Option<&EngineConfig> {
        let service = self.table.config().service(&self.service)?;
        service.engine.as_ref()
    }
}

/// Backend server chosen for a send.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Identifier of the backend server.
    pub id: ServerId,
    /// Start time of the chosen incarnation.
    pub started_at: StartTime,
    /// Address of the backend server.
    pub addr: SocketAddr,
    /// Version that the backend server runs.
    pub version: SmolStr,
    /// Expected time to process the unshared part of the prompt.
    pub prefill_time: Duration,
    /// Number of backend servers considered for the choice.
    pub candidates: usize,
    /// Predicted times, if the service is scheduled by engine time.
    pub forecast: Option<Forecast>,
}

impl Choice {
    /// Returns the chosen incarnation.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            id: self.id.clone(),
            started_at: self.started_at,
        }
    }
}

/// Routing state of one entry.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    table: Option<Arc<RouteTable>>,
    /// Whether the configuration is at least as new as any that existed when this entry
    /// started.
    is_config_current: bool,
    log_index: LogIndex,
    orders: Orders,
    directory: Directory,
    cold: ColdServers,
    limits: ServerLimits,
    backoffs: Backoffs,
    admission: Admission,
    balancer: LoadBalancer,
    isolation: Isolation,
    peers: ForwardingPeers,
    leases: ServerLeases,
    engines: Engines,
    fairness: Fairness,
    budget: RetryBudget,
    response_times: ResponseTimes,
    cascade: Cascade,
    response_counts: ResponseCounts,
    quarantine: Quarantine,
    crash_watch: CrashWatch,
    /// Ended checks that are still to be logged.
    crash_checks: Vec<CrashCheck>,
    sessions: Sessions,
    prompt_lengths: PromptLengths,
    prefill_times: PrefillTimes,
    /// When expired state is removed next.
    cleanup_at: MonoTime,
}

impl Router {
    /// Creates a router without configuration or backend servers.
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            budget: RetryBudget::new(cfg.budget),
            response_times: ResponseTimes::default(),
            sessions: Sessions::new(cfg.session_pause, cfg.exposure_share * CANARY_PART),
            cold: ColdServers::new(cfg.name.clone()),
            limits: ServerLimits::new(cfg.name.clone()),
            backoffs: Backoffs::default(),
            engines: Engines::new(cfg.contention),
            fairness: Fairness::default(),
            cfg,
            table: None,
            is_config_current: false,
            log_index: 0,
            orders: Orders::default(),
            directory: Directory::default(),
            admission: Admission::default(),
            balancer: LoadBalancer::default(),
            isolation: Isolation::default(),
            peers: ForwardingPeers::default(),
            leases: ServerLeases::default(),
            cascade: Cascade::default(),
            response_counts: ResponseCounts::default(),
            quarantine: Quarantine::default(),
            crash_watch: CrashWatch::default(),
            crash_checks: Vec::new(),
            prompt_lengths: PromptLengths::default(),
            prefill_times: PrefillTimes::default(),
            cleanup_at: MonoTime::ZERO,
        }
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.table.as_ref().map(|t| t.config().version)
    }

    /// Returns the known backend servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the number of backend servers with load-balancing state.
    pub fn tracked_servers(&self) -> usize {
        self.balancer.count()
    }

    /// Applies a configuration unless one of the same or a later version is in force.
    /// Lagging control replicas may send older ones, so the version never decreases.
    pub fn set_config(&mut self, now: MonoTime, config: GatewayConfig) -> bool {
        if self
            .version()
            .is_some_and(|current| current >= config.version)
        {
            return false;
        }
        if self.table.is_none() {
            self.cascade.started(now);
        }
        self.engines
            .retain_services(|name| config.service(name).is_some_and(|s| s.engine.is_some()));
        self.fairness.retain(&config);
        self.isolation.retain(|name| config.service(name).is_some());
        self.response_times
            .retain(|name| config.routes.iter().any(|route| route.name == *name));
        self.table = Some(RouteTable::new(config));
        true
    }

    /// Records that a control replica with up-to-date state has sent all of it.
    pub fn set_config_current(&mut self) {
        self.is_config_current = true;
    }

    /// Applies rollouts and evacuations as of an index of the replicated log. Returns
    /// whether anything changed.
    pub fn set_orders(&mut self, now: MonoTime, index: LogIndex, orders: Orders) -> bool {
        if index < self.log_index {
            return false;
        }
        self.log_index = index;
        if self.orders == orders {
            return false;
        }
        for (service, rollout) in &orders.rollouts {
            self.sessions.track_rollout(now, service, &rollout.target);
        }
        for domain in self.orders.evacuated.difference(&orders.evacuated) {
            self.cold.readmit(now, domain.clone());
        }
        self.orders = orders;
        true
    }

    /// Applies an announcement of a backend server. Returns whether the directory
    /// changed.
    pub fn apply_announcement(&mut self, now: MonoTime, announcement: Announcement) -> bool {
        let table = self.table.as_ref();
        let is_configured =
            table.is_some_and(|t| t.config().service(&announcement.service).is_some());
        let before = self
            .directory
            .get(&announcement.id)
            .map(ServerRecord::incarnation);
        let id = announcement.id.clone();
        if before.is_none() {
            self.record_started(&announcement.id, &announcement.service);
        }
        let changed = self.directory.merge(now, announcement, is_configured);
        let after = self.directory.get(&id).map(ServerRecord::incarnation);
        if before != after {
            self.engines.reset(&id);
        }
        if before.is_some() && before != after {
            self.balancer.reset(&id);
            self.limits.forget(&id);
            self.backoffs.forget(&id);
        }
        if before != after {
            self.settle_replaced(now);
        }
        changed
    }

    /// Removes state of backend servers and sessions that no longer exist.
    pub fn remove_expired(&mut self, now: MonoTime) {
        if now < self.cleanup_at {
            return;
        }
        self.cleanup_at = now + CLEANUP_INTERVAL;
        let directory = &self.directory;
        self.balancer.retain(now, |id| directory.get(id).is_some());
        self.engines.retain(|id| directory.get(id).is_some());
        self.cold.retain(|id| directory.get(id).is_some());
        self.limits.retain(|id| directory.get(id).is_some());
        self.backoffs.retain(now, |id| directory.get(id).is_some());
        self.sessions.expire(now);
    }

    /// Plans a request of a caller, which counts for the retry budget of this entry.
    ///
    /// # Errors
    ///
    /// Fails if the request is rejected.
    pub fn admit(&mut self, now: MonoTime, head: &Head) -> Result<Plan, Refusal> {
        self.admit_read_at(now, now, head)
    }

    /// Plans a request of a caller that was read at an earlier time and has waited since then.
    ///
    /// # Errors
    ///
    /// Fails if the request is rejected.
    pub fn admit_read_at(
        &mut self,
        now: MonoTime,
        read_at: MonoTime,
        head: &Head,
    ) -> Result<Plan, Refusal> {
        self.plan(now, read_at, head, true)
    }

    /// Plans a request that another entry forwards. Until
    /// [`Router::record_accepted`], it counts there.
    ///
    /// # Errors
    ///
    /// Fails if the request is rejected.
    pub fn admit_forwarded(&mut self, now: MonoTime, head: &Head) -> Result<Plan, Refusal> {
        self.plan(now, now, head, false)
    }

    fn plan(
        &mut self,
        now: MonoTime,
        read_at: MonoTime,
        head: &Head,
        is_counted: bool,
    ) -> Result<Plan, Refusal> {
        let table = self.table.clone().ok_or(Refusal::NoConfig)?;
        let path = head.path.split('?').next().unwrap_or_default();
        let route = table.route(&head.host, path);
        let route = route.ok_or(self.if_config_current(Refusal::NoRoute))?;
        let caller = table.caller(route, head.key.as_deref());
        let organisation = match &caller {
            Caller::Unknown => return Err(self.if_config_current(Refusal::UnknownKey)),
            Caller::Anonymous => None,
            Caller::Member(org) => Some(org.name.clone()),
        };
        // Derived from the request id: with a counter for each entry, the first requests
        // of entries that start at the same time all went to the same backend server.
        let seed = hash::name(head.id.as_bytes());
        let service = table.service(route, seed).clone();
        self.budget.record_activity(now);
        if is_counted {
            self.budget.record_request(read_at, &service);
        }
        if !route.streaming && !self.admission.admits(now, &service, route, head) {
            return Err(Refusal::ShortOfCapacity);
        }
        let session = head.session.as_ref();
        let canary_share = self.canary_share(&service);
        let in_canary =
            self.sessions
                .may_use_canary(now, &service, session, &head.id, canary_share);
        let rank = table::rank(route, &caller);
        let is_ahead = self.record_arrival(now, &table, route, &service, organisation.as_ref());
        let is_model_open = head
            .model
            .as_deref()
            .is_none_or(|m| m == crate::ids::ANY_MODEL);
        let model = route.models.first().filter(|_| is_model_open).cloned();
        let plan = Plan {
            engine_rank: self.prompt_lengths.engine_rank(
                &table,
                route,
                rank,
                head.prompt_tokens,
                is_ahead,
            ),
            route: route.clone(),
            organisation,
            model,
            relative_cost: cascade::relative_cost(head.prompt_tokens, head.response_tokens),
            shared_prefix: head.shared_part().copied(),
            unshared_tokens: head.unshared_tokens(),
            response_tokens: head.response_tokens.unwrap_or_default(),
            admitted_at: now,
            read_at,
            deadline: now
                + head
                    .deadline
                    .map_or(route.timeout, |d| d.min(route.timeout)),
            session: head.session.clone(),
            in_canary,
            subject: Subject {
                fingerprint: None,
                parts: head.shared_parts(),
            },
            seed,
            service,
            table,
        };
        // A resumed stream needs less time than is predicted for the whole of it.
        if head.resume_after.is_none() {
            self.check_completion(now, &plan, rank, is_ahead)?;
        }
        Ok(plan)
    }

    /// Turns a rejection into [`Refusal::NoConfig`] while the configuration may be
    /// outdated.
    ///
    /// After a restart of all processes, an entry may receive an old configuration first.
    /// Callers do not retry after an unknown route or key, so these errors are returned
    /// only once the configuration is known to be current.
    fn if_config_current(&self, refusal: Refusal) -> Refusal {
        match self.is_config_current {
            true => refusal,
            false => Refusal::NoConfig,
        }
    }

    /// Records a response from a backend server.
    pub fn record_response(&mut self, now: MonoTime, id: &ServerId, load: Option<Load>) {
        self.balancer.record_response(now, id, load);
        if let Some(load) = load {
            let in_flight = self.balancer.in_flight(id);
            self.leases.record_load(now, id, load, in_flight);
        }
        let Some(known) = self.directory.get(id) else {
            return;
        };
        let service = known.announcement.service.clone();
        self.record_reached(now, &service);
        let Some(load) = load else {
            return;
        };
        let service = &service;
        if self.runs_models(service) {
            self.engines.record_load(now, service, id, load);
        }
    }

    /// Returns whether the configuration declares an engine for a service.
    fn runs_models(&self, service: &str) -> bool {
        let service = self
            .table
            .as_ref()
            .and_then(|t| t.config().service(service));
        service.is_some_and(|s| s.engine.is_some())
    }

    /// Returns whether any service is scheduled by engine time.
    pub fn uses_engine_time(&self) -> bool {
        let services = self.table.iter().flat_map(|t| &t.config().services);
        services
            .filter(|s| s.engine.is_some())
            .any(|s| self.engines.is_on(&s.name))
    }

    /// Records that the answer of a backend server is overdue.
    pub fn record_overdue(&mut self, now: MonoTime, id: &ServerId) {
        self.balancer.record_overdue(now, id);
        if let Some(known) = self.directory.get(id) {
            self.isolation.record_overdue(&known.announcement.service);
        }
    }

    /// Returns when a backend server last responded.
    pub fn last_response_at(&self, id: &ServerId) -> MonoTime {
        self.balancer.last_response_at(id)
    }

    /// Records the time from a send to its first event.
    pub fn record_first_event(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        choice: &Choice,
        model: Option<&str>,
        took: Duration,
    ) {
        let target = plan.route.target;
        self.cascade.record_wait(now, &plan.service, took, target);
        self.prefill_times
            .record(&plan.service, model, plan.unshared_tokens, took);
        self.balancer
            .record_prefilled(now, &choice.id, choice.prefill_time);
        if let Some(forecast) = self.counted_forecast(choice) {
            let demand = plan.demand(model);
            let send = EngineSend {
                service: &plan.service,
                id: &choice.id,
                demand: &demand,
                forecast,
            };
            self.engines.record_first_event(now, &send, took);
        }
    }

    /// Records a complete stream that came from one backend server: the number of its
    /// events, and the time from the first to the last.
    pub fn record_stream(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        choice: &Choice,
        model: Option<&str>,
        events: u64,
        duration: Duration,
    ) {
        let (Some(cfg), Some(forecast)) = (plan.engine(), self.counted_forecast(choice)) else {
            return;
        };
        let send = EngineSend {
            service: &plan.service,
            id: &choice.id,
            demand: &plan.demand(model),
            forecast,
        };
        self.engines
            .record_stream(now, cfg, &send, events, duration);
    }

    /// Records that a send ended, or is continued on another backend server, before its
    /// first event.
    pub fn record_aborted(&mut self, now: MonoTime, choice: &Choice) {
        self.balancer
            .record_prefilled(now, &choice.id, choice.prefill_time);
        if let Some(forecast) = self.counted_forecast(choice) {
            self.engines.record_aborted(now, &choice.id, forecast);
        }
    }

    /// Returns the confidence at which an answer is currently kept.
    pub fn confidence_threshold(&self, now: MonoTime, plan: &Plan) -> f64 {
        self.cascade
            .threshold(now, &plan.service, plan.relative_cost)
    }

    /// Records the time from a send to the first byte of a successful answer.
    pub fn record_first_byte(
        &mut self,
        plan: &Plan,
        choice: &Choice,
        model: Option<&str>,
        took: Duration,
    ) {
        let in_canary = self.is_rollout_target(&plan.service, &choice.version);
        // The answer has just stated the slowdown at its start.
        let slowdown = self.engines.stated_slowdown(&choice.id);
        let took = self.at_usual_speed(plan, slowdown, took);
        self.response_counts
            .record_first_byte(&plan.sender(choice), model, took, in_canary);
    }

    /// Records the mean time between the events of a stream.
    pub fn record_event_interval(
        &mut self,
        plan: &Plan,
        choice: &Choice,
        model: Option<&str>,
        pace: Duration,
    ) {
        let in_canary = self.is_rollout_target(&plan.service, &choice.version);
        // A stream lasts longer than a moment of heavy load at its engine.
        let slowdown = self.engines.known_slowdown(&choice.id);
        let pace = self.at_usual_speed(plan, slowdown, pace);
        self.response_counts
            .record_event_interval(&plan.sender(choice), model, pace, in_canary);
    }

    /// Returns how long something would have taken on an engine with the usual speed, if the
    /// plan's service is scheduled by engine time and the engine has stated its slowdown.
    ///
    /// The few engines of a canary may all be slow ones, which is no fault of the version.
    fn at_usual_speed(&self, plan: &Plan, slowdown: Option<f64>, took: Duration) -> Duration {
        let is_on = plan.engine().is_some() && self.engines.is_on(&plan.service);
        took.div_f64(slowdown.filter(|_| is_on).unwrap_or(1.0))
    }

    /// Records the time from the arrival of a non-streaming request to the end of its answer.
    pub fn record_response_time(&mut self, plan: &Plan, took: Duration) {
        self.response_times.record(&plan.route.name, took);
    }

    /// Returns whether a non-streaming request ends within a time, given the time until its
    /// deadline.
    pub fn ends_within(&self, time: Duration, plan: &Plan, deadline: Duration) -> bool {
        self.response_times.ends_within(time, &plan.route, deadline)
    }

    /// Records the answer to a non-streaming request.
    pub fn record_answer(&mut self, plan: &Plan, took: Duration, load: Option<Load>) {
        let target = plan.route.target;
        self.admission
            .record_answer(&plan.service, took, target, load);
    }

    /// Records that a request found the queues of all backend servers full.
    pub fn record_rejected(&mut self, plan: &Plan) {
        self.admission.record_rejected(&plan.service);
    }

    /// Records the outcome of a send.
    ///
    /// The outcome of a send to an earlier incarnation is ignored for the current one.
    pub fn record_outcome(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        choice: &Choice,
        outcome: Outcome,
    ) {
        if self.counted_forecast(choice).is_some() {
            self.engines.record_end(&choice.id);
        }
        let outcome = match self.is_current_incarnation(choice) {
            true => outcome,
            false => Outcome::Dropped,
        };
        self.balancer.record_outcome(now, &choice.id, outcome);
        self.record_slot_use(now, choice, outcome);
        self.record_reachability(&plan.service, &choice.id, outcome);
        self.record_session(now, plan, choice);
        match outcome {
            Outcome::Down => self.record_refused(now, choice, None),
            Outcome::Silent => self.record_silent(now, choice),
            _ => {}
        }
        self.response_counts
            .record_outcome(&plan.sender(choice), outcome);
    }

    /// Marks the chosen incarnation as gone because another process answers at its
    /// address.
    pub fn mark_replaced(&mut self, now: MonoTime, choice: &Choice) {
        self.directory
            .mark_gone(now, &choice.id, Some(choice.started_at));
        self.record_replaced(now, choice);
    }

    /// Returns whether the chosen incarnation is still the current one of its backend
    /// server.
    fn is_current_incarnation(&self, choice: &Choice) -> bool {
        let known = self.directory.get(&choice.id);
        known.is_none_or(|k| k.announcement.started_at == choice.started_at)
    }

    /// Returns the forecast of a send that is counted at its engine: one by engine time, to
    /// the current incarnation.
    fn counted_forecast<'a>(&self, choice: &'a Choice) -> Option<&'a Forecast> {
        let forecast = choice.forecast.as_ref();
        forecast.filter(|_| self.is_current_incarnation(choice))
    }

    /// Records sessions that must stay on the versions from before a rollout.
    pub fn pin_sessions(&mut self, now: MonoTime, kept: &RetainedSessions, all: bool) {
        self.sessions.exclude(now, kept, all);
    }

    /// Returns how long each rollout has been running.
    pub fn rollout_ages(&self, now: MonoTime) -> Vec<RolloutAge> {
        self.sessions.ages(now)
    }

    fn record_session(&mut self, now: MonoTime, plan: &Plan, choice: &Choice) {
        if let Some(session) = &plan.session {
            self.sessions.record_version(now, session, &choice.version);
        }
    }
}
