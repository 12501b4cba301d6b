//! All decisions of an entry that passes requests through.

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
        Directory,
        ServerId, //
        ServerIncarnation,
        ServerRecord,
        StartTime,
    },
    lengths::Lengths,
    limits::Limits,
    messages::{
        RetainedSessions, //
        RolloutAge,
    },
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

/// Pause between two times that what is over is forgotten.
const TIDY_EVERY: Duration = Duration::from_secs(1);

/// Settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Name of this entry.
    pub name: SmolStr,
    /// Failure domain of this entry.
    pub domain: DomainId,
    /// Budget of repeated sends.
    pub budget: BudgetConfig,
    /// Share of a service's requests that a new version may get while it may
    /// still turn out bad.
    pub exposure_share: f64,
    /// Pause after which two requests of a session no longer belong together.
    pub session_pause: Duration,
}

/// Why a request is not sent to any backend server.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet, or it may be out of date and does not
    /// allow the request.
    #[error("no configuration yet")]
    NoConfig,
    /// No route takes it.
    #[error("no route")]
    NoRoute,
    /// Its key is not known.
    #[error("unknown key")]
    UnknownKey,
    /// It crashes what runs it.
    #[error("crashes what runs it")]
    Quarantined,
    /// Its service cannot serve all.
    #[error("service short of capacity")]
    Short,
}

/// Why there is no backend server for a send.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Unserved {
    /// None of its service has been heard of.
    #[error("no backend server is known")]
    Unknown,
    /// All that may run it are in failure domains that are evacuated.
    #[error("all backend servers are evacuated")]
    Evacuated,
    /// All that are left are cold, and it is not this entry's turn at one.
    #[error("all backend servers are cold")]
    Cold,
    /// All that are left take nothing from this entry now, by limits that they name or
    /// pauses that they ask for.
    #[error("all backend servers are at their limits or asked for a pause")]
    Limited,
    /// None that may run it is left.
    #[error("no backend server is left")]
    NoneLeft,
}

/// What was decided about a request before its first send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Configuration that decided.
    pub table: Arc<Table>,
    /// Its route.
    pub route: RouteConfig,
    /// Service that it goes to.
    pub service: ServiceId,
    /// Organisation of its caller.
    pub organisation: Option<OrgId>,
    /// Rank that the engine is told: within a rank, short prompts go first.
    pub engine_rank: Rank,
    /// Model to ask first, where the caller leaves the choice open.
    pub model: Option<ModelId>,
    /// Tokens that a model is paid for, for each token of the answer.
    pub expense: f64,
    /// What it shares with other requests.
    shared: Option<PromptPart>,
    /// Tokens of its prompt that no other shares.
    own_tokens: u32,
    /// Session.
    session: Option<SmolStr>,
    /// Whether a new version gets it while it is on trial.
    on_trial: bool,
    /// Breaks ties.
    seed: u64,
}

impl Plan {
    /// Returns what answers of a backend server are counted by.
    fn sender(&self, choice: &Choice) -> Sender {
        Sender {
            service: self.service.clone(),
            version: choice.version.clone(),
            route: self.route.name.clone(),
        }
    }
}

/// A backend server that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Which.
    pub id: ServerId,
    /// When the life started that was chosen.
    pub born: StartTime,
    /// Where.
    pub addr: SocketAddr,
    /// Its version.
    pub version: SmolStr,
    /// Time that it is expected to take to read the prompt.
    pub reading: Duration,
    /// Backend servers that it was chosen among.
    pub candidates: usize,
}

impl Choice {
    /// Returns the life that was chosen.
    pub fn life(&self) -> ServerIncarnation {
        ServerIncarnation {
            id: self.id.clone(),
            started_at: self.born,
        }
    }
}

/// All decisions of one entry.
#[derive(Debug)]
pub struct Router {
    cfg: RouterConfig,
    table: Option<Arc<Table>>,
    /// Whether the configuration is as new as any was when this entry started.
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
    /// When what is over is forgotten next.
    tidy_at: MonoTime,
}

impl Router {
    /// Makes a router that knows nothing yet.
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

    /// Returns the number of the configuration in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.table.as_ref().map(|t| t.config().version)
    }

    /// Returns the backend servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns how many backend servers anything is kept of beside what they announced.
    pub fn balanced(&self) -> usize {
        self.balance.count()
    }

    /// Puts a configuration in force unless one as new already is. It never
    /// goes back: replicas that lag tell of older ones.
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

    /// Notes that a replica whose state is current has told all of it.
    pub fn set_current(&mut self) {
        self.current = true;
    }

    /// Takes what was ordered up to a position of the replicated log.
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

    /// Takes an announcement.
    pub fn announced(&mut self, now: MonoTime, said: Announcement) -> bool {
        let table = self.table.as_ref();
        let is_named = table.is_some_and(|t| t.config().service(&said.service).is_some());
        let before = self.directory.get(&said.id).map(ServerRecord::incarnation);
        let id = said.id.clone();
        let news = self.directory.merge(now, said, is_named);
        let after = self.directory.get(&id).map(ServerRecord::incarnation);
        if before.is_some() && before != after {
            self.balance.reborn(&id);
            self.limits.forget(&id);
            self.backoffs.forget(&id);
        }
        news
    }

    /// Forgets what is only kept for backend servers and sessions that ended.
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

    /// Decides what happens to a request.
    ///
    /// # Errors
    ///
    /// Fails if it is refused.
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
        // Drawn by the request's own id: counted by each entry, the first requests of
        // all entries that had started together went to the same backend server.
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

    /// Returns a refusal for what the configuration does not have.
    ///
    /// After all processes have started anew, an entry may be told of an old one
    /// first. Callers do not come back after being told that there is no such
    /// route or key, so that this is said only for certain.
    fn if_current(&self, refusal: Refusal) -> Refusal {
        match self.current {
            true => refusal,
            false => Refusal::NoConfig,
        }
    }

    /// Judges a success by the confidence that the model states.
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

    /// Notes that something came from a backend server.
    pub fn heard(&mut self, now: MonoTime, id: &ServerId, load: Option<Load>) {
        self.balance.heard(now, id, load);
    }

    /// Notes that the answer of a backend server is overdue.
    pub fn overdue(&mut self, now: MonoTime, id: &ServerId) {
        self.balance.overdue(now, id);
    }

    /// Returns when anything last came from a backend server.
    pub fn heard_at(&self, id: &ServerId) -> MonoTime {
        self.balance.heard_at(id)
    }

    /// Notes how long the first event of a send took.
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

    /// Notes that a send ended, or goes on elsewhere, before its first event.
    pub fn never_began(&mut self, now: MonoTime, choice: &Choice) {
        self.balance.read(now, &choice.id, choice.reading);
    }

    /// Returns the confidence from which an answer is kept now.
    pub fn keep_from(&self, now: MonoTime, plan: &Plan) -> f64 {
        self.cascade.keep_from(now, &plan.service, plan.expense)
    }

    /// Notes the time from a send to the first byte of its success.
    pub fn timed(&mut self, plan: &Plan, choice: &Choice, model: Option<&str>, took: Duration) {
        let on_trial = self.is_target(&plan.service, &choice.version);
        self.tallies
            .timed(&plan.sender(choice), model, took, on_trial);
    }

    /// Notes the mean time between the events of a stream.
    pub fn paced(&mut self, plan: &Plan, choice: &Choice, model: Option<&str>, pace: Duration) {
        let on_trial = self.is_target(&plan.service, &choice.version);
        self.tallies
            .paced(&plan.sender(choice), model, pace, on_trial);
    }

    /// Notes that a request that is no stream was answered.
    pub fn answered(&mut self, plan: &Plan, took: Duration, load: Option<Load>) {
        let target = plan.route.target;
        self.admission.answered(&plan.service, took, target, load);
    }

    /// Notes that a request found all backend servers full.
    pub fn turned_away(&mut self, plan: &Plan) {
        self.admission.turned_away(&plan.service);
    }

    /// Notes how a send ended.
    ///
    /// What became of an older life says nothing of the one that has its name now.
    pub fn finished(&mut self, now: MonoTime, plan: &Plan, choice: &Choice, outcome: Outcome) {
        let outcome = match self.lives(choice) {
            true => outcome,
            false => Outcome::Dropped,
        };
        self.balance.finished(now, &choice.id, outcome);
        self.keep_session(now, plan, choice);
        self.tallies.ended(&plan.sender(choice), outcome);
    }

    /// Notes that another life answers at the address of a backend server.
    pub fn displaced(&mut self, now: MonoTime, choice: &Choice) {
        self.directory.mark_gone(now, &choice.id, Some(choice.born));
    }

    /// Returns whether the life that was chosen is still the one of its name.
    fn lives(&self, choice: &Choice) -> bool {
        let known = self.directory.get(&choice.id);
        known.is_none_or(|k| k.announcement.started_at == choice.born)
    }

    /// Takes sessions that must stay on the versions before a roll-out.
    pub fn keep_sessions(&mut self, now: MonoTime, kept: &RetainedSessions, all: bool) {
        self.sessions.keep(now, kept, all);
    }

    /// Returns how long each roll-out has run.
    pub fn rollout_ages(&self, now: MonoTime) -> Vec<RolloutAge> {
        self.sessions.ages(now)
    }

    /// Takes the requests that crash what runs them, as the control replicas
    /// have found.
    pub fn set_quarantined(&mut self, fingerprints: impl IntoIterator<Item = Digest>) {
        self.suspects.quarantine(fingerprints);
    }

    /// Returns whether a request may run.
    ///
    /// # Errors
    ///
    /// Fails if it crashes what runs it.
    pub fn check_fingerprint(&self, fingerprint: Digest) -> Result<(), Refusal> {
        match self.suspects.may_run(fingerprint) {
            true => Ok(()),
            false => Err(Refusal::Quarantined),
        }
    }

    /// Notes that a request ran to its end.
    pub fn completed(&mut self, fingerprint: Digest) {
        self.suspects.completed(fingerprint);
    }

    /// Notes that a request was running when a backend server went down.
    pub fn crashed(&mut self, fingerprint: Digest, choice: &Choice) {
        self.suspects.crashed(fingerprint, choice.life());
    }

    fn keep_session(&mut self, now: MonoTime, plan: &Plan, choice: &Choice) {
        if let Some(session) = &plan.session {
            self.sessions.ran(now, session, &choice.version);
        }
    }
}
