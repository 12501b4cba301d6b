//! Request routing of an entry in pass-through mode.

mod choosing;
mod exchange;
mod retry_after;
mod shared;
mod trial;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use smol_str::SmolStr;
use thiserror::Error;

pub use self::choosing::CANDIDATES;
use super::{
    backoff::Backoffs,
    balance::{
        Balance,
        Outcome, //
    },
    budget::{
        Budget,
        BudgetConfig, //
    },
    cascade::{
        self,
        Cascade,
        Step, //
    },
    cold::Cold,
    config::{
        ConfigVersion,
        GatewayConfig,
        Rank,
        RouteConfig,
        ServiceId, //
    },
    directory::{
        Announcement,
        Born,
        Directory,
        Known,
        Life,
        ServerId, //
    },
    feed::{
        Age,
        Kept, //
    },
    lengths::Lengths,
    limits::Limits,
    reading::ReadingTimes,
    request::{
        AnswerHead,
        Head,
        Load,
        PromptPart, //
    },
    rollout::TRIAL_PART,
    sessions::Sessions,
    shortage::Admission,
    store::Orders,
    suspects::Suspects,
    table::{
        self,
        Caller,
        Table, //
    },
    tallies::{
        Sender,
        Tallies, //
    },
};
use crate::{
    ids::{
        Digest,
        DomainId,
        LogIndex,
        ModelId,
        MonoTime,
        OrgId, //
    },
    policy::hash,
};

/// Interval between two removals of expired state.
const TIDY_EVERY: Duration = Duration::from_secs(1);

/// Settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Name of this entry.
    pub name: SmolStr,
    /// Failure domain of this entry.
    pub domain: DomainId,
    /// Retry budget.
    pub budget: BudgetConfig,
    /// Upper bound on the share of a service's requests that a new version may serve
    /// while its roll-out can still be rolled back.
    pub exposure_share: f64,
    /// Idle time after which a session counts as ended.
    pub session_pause: Duration,
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
    /// Requests with this fingerprint crash backend servers.
    #[error("crashes what runs it")]
    Quarantined,
    /// The service has too little capacity for its load, and this request was not
    /// admitted.
    #[error("service short of capacity")]
    Short,
}

/// Why no backend server could be chosen for a send.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unserved {
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
    /// No eligible backend server remains.
    #[error("no backend server is left")]
    NoneLeft,
}

/// Routing decisions made once for each request, before its first send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Configuration that the decisions are based on.
    pub table: Arc<Table>,
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
    pub expense: f64,
    /// Prompt prefix shared with other requests.
    shared: Option<PromptPart>,
    /// Prompt tokens that no other request shares.
    own_tokens: u32,
    /// Session identifier.
    session: Option<SmolStr>,
    /// Whether the request goes to the new version during a canary phase.
    on_trial: bool,
    /// Pseudo-random tie breaker, derived from the request id.
    seed: u64,
}

impl Plan {
    /// Returns the key under which answers of a backend server are counted.
    fn sender(&self, choice: &Choice) -> Sender {
        Sender {
            service: self.service.clone(),
            version: choice.version.clone(),
            route: self.route.name.clone(),
        }
    }
}

/// Backend server chosen for a send.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Identifier of the backend server.
    pub id: ServerId,
    /// Start time of the chosen incarnation.
    pub born: Born,
    /// Address of the backend server.
    pub addr: SocketAddr,
    /// Version that the backend server runs.
    pub version: SmolStr,
    /// Expected time to process the unshared part of the prompt.
    pub reading: Duration,
    /// Number of backend servers considered for the choice.
    pub candidates: usize,
}

impl Choice {
    /// Returns the chosen incarnation.
    pub fn life(&self) -> Life {
        Life {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// Routing state of one entry.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    table: Option<Arc<Table>>,
    /// Whether the configuration is at least as new as any that existed when this entry
    /// started.
    current: bool,
    index: LogIndex,
    orders: Orders,
    directory: Directory,
    cold: Cold,
    limits: Limits,
    backoffs: Backoffs,
    admission: Admission,
    balance: Balance,
    budget: Budget,
    cascade: Cascade,
    tallies: Tallies,
    suspects: Suspects,
    sessions: Sessions,
    lengths: Lengths,
    reading: ReadingTimes,
    /// When expired state is removed next.
    tidy_at: MonoTime,
}

impl Router {
    /// Creates a router without configuration or backend servers.
    pub fn new(cfg: RouterConfig) -> Self {
        Self {
            budget: Budget::new(cfg.budget),
            sessions: Sessions::new(cfg.session_pause, cfg.exposure_share * TRIAL_PART),
            cold: Cold::new(cfg.name.clone()),
            limits: Limits::new(cfg.name.clone()),
            backoffs: Backoffs::default(),
            cfg,
            table: None,
            current: false,
            index: 0,
            orders: Orders::default(),
            directory: Directory::default(),
            admission: Admission::default(),
            balance: Balance::default(),
            cascade: Cascade::default(),
            tallies: Tallies::default(),
            suspects: Suspects::default(),
            lengths: Lengths::default(),
            reading: ReadingTimes::default(),
            tidy_at: MonoTime::ZERO,
        }
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<&Arc<Table>> {
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
    pub fn balanced(&self) -> usize {
        self.balance.count()
    }

    /// Applies a configuration unless one of the same or a later version is in force.
    /// Lagging control replicas may send older ones, so the version never decreases.
    pub fn set_config(&mut self, now: MonoTime, config: GatewayConfig) -> bool {
        if self.version().is_some_and(|held| held >= config.version) {
            return false;
        }
        if self.table.is_none() {
            self.cascade.started(now);
        }
        self.table = Some(Table::new(config));
        true
    }

    /// Records that a control replica with up-to-date state has sent all of it.
    pub fn set_current(&mut self) {
        self.current = true;
    }

    /// Applies roll-outs and evacuations as of an index of the replicated log. Returns
    /// whether anything changed.
    pub fn set_orders(&mut self, now: MonoTime, index: LogIndex, orders: Orders) -> bool {
        if index < self.index {
            return false;
        }
        self.index = index;
        if self.orders == orders {
            return false;
        }
        for (service, rollout) in &orders.rollouts {
            self.sessions.start(now, service, &rollout.target);
        }
        for domain in self.orders.evacuated.difference(&orders.evacuated) {
            self.cold.readmit(now, domain.clone());
        }
        self.orders = orders;
        true
    }

    /// Applies an announcement of a backend server. Returns whether the directory
    /// changed.
    pub fn announced(&mut self, now: MonoTime, said: Announcement) -> bool {
        let table = self.table.as_ref();
        let is_named = table.is_some_and(|t| t.config().service(&said.service).is_some());
        let before = self.directory.get(&said.id).map(Known::life);
        let id = said.id.clone();
        let news = self.directory.take(now, said, is_named);
        let after = self.directory.get(&id).map(Known::life);
        if before.is_some() && before != after {
            self.balance.reborn(&id);
            self.limits.forget(&id);
            self.backoffs.forget(&id);
        }
        news
    }

    /// Removes state of backend servers and sessions that no longer exist.
    pub fn tidy(&mut self, now: MonoTime) {
        if now < self.tidy_at {
            return;
        }
        self.tidy_at = now + TIDY_EVERY;
        let directory = &self.directory;
        self.balance.retain(now, |id| directory.get(id).is_some());
        self.cold.retain(|id| directory.get(id).is_some());
        self.limits.retain(|id| directory.get(id).is_some());
        self.backoffs.retain(now, |id| directory.get(id).is_some());
        self.sessions.tidy(now);
    }

    /// Plans a request.
    ///
    /// # Errors
    ///
    /// Fails if the request is rejected.
    pub fn admit(&mut self, now: MonoTime, head: &Head) -> Result<Plan, Refusal> {
        let table = self.table.clone().ok_or(Refusal::NoConfig)?;
        let path = head.path.split('?').next().unwrap_or_default();
        let route = table.route(&head.host, path);
        let route = route.ok_or(self.if_current(Refusal::NoRoute))?;
        let caller = table.caller(route, head.key.as_deref());
        let organisation = match &caller {
            Caller::Unknown => return Err(self.if_current(Refusal::UnknownKey)),
            Caller::Anonymous => None,
            Caller::Of(org) => Some(org.name.clone()),
        };
        // Derived from the request id: with a counter for each entry, the first requests
        // of entries that start at the same time all went to the same backend server.
        let seed = hash::name(head.id.as_bytes());
        let service = table.service(route, seed).clone();
        self.budget.request(now, &service);
        if !route.streaming && !self.admission.admits(now, &service, route, head) {
            return Err(Refusal::Short);
        }
        let session = head.session.as_ref();
        let fair = self.fair_share(&service);
        let on_trial = self
            .sessions
            .may_try(now, &service, session, &head.id, fair);
        let rank = table::rank(route, &caller);
        let open = head
            .model
            .as_deref()
            .is_none_or(|m| m == crate::ids::ANY_MODEL);
        let model = route.sizes.first().filter(|_| open).cloned();
        Ok(Plan {
            engine_rank: self
                .lengths
                .engine_rank(&table, route, rank, head.prompt_tokens),
            route: route.clone(),
            organisation,
            model,
            expense: cascade::expense(head.prompt_tokens, head.answer_tokens),
            shared: head.shared_part().copied(),
            own_tokens: head.own_tokens(),
            session: head.session.clone(),
            on_trial,
            seed,
            service,
            table,
        })
    }

    /// Turns a rejection into [`Refusal::NoConfig`] while the configuration may be
    /// outdated.
    ///
    /// After a restart of all processes, an entry may receive an old configuration first.
    /// Callers do not retry after an unknown route or key, so these errors are returned
    /// only once the configuration is known to be current.
    fn if_current(&self, refusal: Refusal) -> Refusal {
        match self.current {
            true => refusal,
            false => Refusal::NoConfig,
        }
    }

    /// Decides from the confidence stated by the model whether a successful answer is
    /// kept or the next larger model is asked.
    pub fn judge(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        asked: &str,
        answer: &AnswerHead,
        attempts_left: bool,
    ) -> Step {
        let sizes = &plan.route.sizes;
        let step = self.cascade.judge(
            now,
            &plan.service,
            sizes,
            asked,
            answer.confidence,
            plan.expense,
        );
        if !attempts_left {
            return Step::Keep;
        }
        if matches!(step, Step::Ask(_)) && !self.try_repeat(now, plan) {
            return Step::Keep;
        }
        step
    }

    /// Records a response from a backend server.
    pub fn heard(&mut self, now: MonoTime, id: &ServerId, load: Option<Load>) {
        self.balance.heard(now, id, load);
    }

    /// Records that the answer of a backend server is overdue.
    pub fn overdue(&mut self, now: MonoTime, id: &ServerId) {
        self.balance.overdue(now, id);
    }

    /// Returns when a backend server last responded.
    pub fn heard_at(&self, id: &ServerId) -> MonoTime {
        self.balance.heard_at(id)
    }

    /// Records the time from a send to its first event.
    pub fn waited(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        choice: &Choice,
        model: Option<&str>,
        took: Duration,
    ) {
        let target = plan.route.target;
        self.cascade.waited(now, &plan.service, took, target);
        self.reading
            .note(&plan.service, model, plan.own_tokens, took);
        self.balance.read(now, &choice.id, choice.reading);
    }

    /// Records that a send ended, or is continued on another backend server, before its
    /// first event.
    pub fn never_began(&mut self, now: MonoTime, choice: &Choice) {
        self.balance.read(now, &choice.id, choice.reading);
    }

    /// Returns the confidence at which an answer is currently kept.
    pub fn keep_from(&self, now: MonoTime, plan: &Plan) -> f64 {
        self.cascade.keep_from(now, &plan.service, plan.expense)
    }

    /// Records the time from a send to the first byte of a successful answer.
    pub fn timed(&mut self, plan: &Plan, choice: &Choice, model: Option<&str>, took: Duration) {
        let on_trial = self.is_target(&plan.service, &choice.version);
        self.tallies
            .timed(&plan.sender(choice), model, took, on_trial);
    }

    /// Records the mean time between the events of a stream.
    pub fn paced(&mut self, plan: &Plan, choice: &Choice, model: Option<&str>, pace: Duration) {
        let on_trial = self.is_target(&plan.service, &choice.version);
        self.tallies
            .paced(&plan.sender(choice), model, pace, on_trial);
    }

    /// Records the answer to a non-streaming request.
    pub fn answered(&mut self, plan: &Plan, took: Duration, load: Option<Load>) {
        let target = plan.route.target;
        self.admission.answered(&plan.service, took, target, load);
    }

    /// Records that a request found the queues of all backend servers full.
    pub fn turned_away(&mut self, plan: &Plan) {
        self.admission.turned_away(&plan.service);
    }

    /// Records the outcome of a send.
    ///
    /// The outcome of a send to an earlier incarnation is ignored for the current one.
    pub fn finished(&mut self, now: MonoTime, plan: &Plan, choice: &Choice, outcome: Outcome) {
        let outcome = match self.lives(choice) {
            true => outcome,
            false => Outcome::Dropped,
        };
        self.balance.finished(now, &choice.id, outcome);
        self.keep_session(now, plan, choice);
        self.tallies.ended(&plan.sender(choice), outcome);
    }

    /// Marks the chosen incarnation as gone because another process answers at its
    /// address.
    pub fn displaced(&mut self, now: MonoTime, choice: &Choice) {
        self.directory.leave(now, &choice.id, Some(choice.born));
    }

    /// Returns whether the chosen incarnation is still the current one of its backend
    /// server.
    fn lives(&self, choice: &Choice) -> bool {
        let known = self.directory.get(&choice.id);
        known.is_none_or(|k| k.said.born == choice.born)
    }

    /// Records sessions that must stay on the versions from before a roll-out.
    pub fn keep_sessions(&mut self, now: MonoTime, kept: &Kept, all: bool) {
        self.sessions.keep(now, kept, all);
    }

    /// Returns how long each roll-out has been running.
    pub fn rollout_ages(&self, now: MonoTime) -> Vec<Age> {
        self.sessions.ages(now)
    }

    /// Sets the fingerprints that the control replicas have quarantined for crashing
    /// backend servers.
    pub fn set_quarantined(&mut self, fingerprints: impl IntoIterator<Item = Digest>) {
        self.suspects.quarantine(fingerprints);
    }

    /// Checks whether a request may run.
    ///
    /// # Errors
    ///
    /// Fails if the fingerprint is quarantined.
    pub fn check_fingerprint(&self, fingerprint: Digest) -> Result<(), Refusal> {
        match self.suspects.may_run(fingerprint) {
            true => Ok(()),
            false => Err(Refusal::Quarantined),
        }
    }

    /// Records that a request completed.
    pub fn completed(&mut self, fingerprint: Digest) {
        self.suspects.completed(fingerprint);
    }

    /// Records that a request was running when its backend server crashed.
    pub fn crashed(&mut self, fingerprint: Digest, choice: &Choice) {
        self.suspects.crashed(fingerprint, choice.life());
    }

    fn keep_session(&mut self, now: MonoTime, plan: &Plan, choice: &Choice) {
        if let Some(session) = &plan.session {
            self.sessions.ran(now, session, &choice.version);
        }
    }
}
