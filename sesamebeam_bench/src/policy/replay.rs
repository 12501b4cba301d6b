//! One replay: an event heap in virtual time round one entry's decisions.

use std::{
    cmp::{
        Ordering,
        Reverse, //
    },
    collections::BinaryHeap,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use indexmap::IndexMap;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam_core::{
    fleet::{
        Class,
        Priority, //
    },
    ids::{
        Digest,
        MonoTime,
        OrgId,
        SessionId,
        VersionId, //
    },
    message::{
        record::ServerLife,
        server::Rating, //
    },
    policy::{
        PolicyConfig,
        admission::{
            Offered,
            Ticket, //
        },
        balance::{
            PickInput,
            Route, //
        },
        exposure::Observation,
        hash,
        plan::Plan,
        quality::Rated,
        suspects::Standing,
    },
};
use smol_str::format_smolstr;

use super::{
    deployment::{
        Deployment,
        Traffic, //
    },
    result::{
        Ended,
        Outcome,
        Refusal,
        Run, //
    },
    router::{
        RATING_COST,
        Router,
        Strategy,
        Wanted, //
    },
    world::{
        AttemptId,
        Fault,
        Job,
        PREFILL,
        SLOWDOWN,
        SPEED,
        Sent,
        Server, //
    },
};

/// Time without progress after which a stream is probed and resumed.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two changes of other entries' work on one engine.
const BACKGROUND: Duration = Duration::from_millis(250);

/// Time in which a broken engine fails a request.
const FAILS_AFTER: Duration = Duration::from_millis(50);

/// Most attempts of strategies without a budget.
const MOST_ATTEMPTS: u32 = 4;

/// Time after which the caller of a killer request sends it again.
const RESEND: Duration = Duration::from_secs(3);

/// Share of ratings that are wrong when the rating service is sound.
const RATER_NOISE: f64 = 0.01;

/// Requests of one session.
const SESSION_LENGTH: u64 = 8;

/// Settings of one replay.
#[derive(Clone, Debug)]
pub(crate) struct Setting {
    pub(crate) strategy: Strategy,
    pub(crate) load: f64,
    pub(crate) fault: Fault,
    pub(crate) seed: u64,
    pub(crate) length: Duration,
    /// Time before the measured part, in which the policy learns.
    pub(crate) warm_up: Duration,
    /// Whether a version rolls out during the replay.
    pub(crate) rollout: bool,
    pub(crate) cfg: PolicyConfig,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Finish(AttemptId, u32),
    Fail(AttemptId),
    Rate(usize),
    Announce(usize),
    Tick,
    Background,
    Deadline(usize),
    Hedge(usize),
    Resume(AttemptId),
    Killer(u32),
    Die(usize),
    Restart(usize),
    Leave(usize),
    FaultStart,
    FaultEnd,
}

struct Request {
    id: u128,
    org: OrgId,
    traffic: usize,
    class: usize,
    arrived: MonoTime,
    deadline: MonoTime,
    tokens: f64,
    prompt: f64,
    prefix: Option<u64>,
    session: Option<SessionId>,
    killer: bool,
    fingerprint: Digest,
    plan: Option<Plan>,
    admitted: bool,
    ended: bool,
    sent_first: Option<MonoTime>,
    attempts: u32,
    cost: f64,
    tried: Vec<SocketAddr>,
    open: Vec<AttemptId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Only,
    First,
    Redo,
}

struct Attempt {
    request: usize,
    version: Option<VersionId>,
    step: Step,
    server: usize,
    life: ServerLife,
    sent: MonoTime,
    runs: Option<(MonoTime, MonoTime)>,
    /// Counts changes of the end, so that an older event is known as stale.
    epoch: u32,
    open: bool,
    silent: bool,
    alone: bool,
}

/// One replay.
pub(crate) struct Replay<'a> {
    setting: &'a Setting,
    deployment: &'a Deployment,
    /// Draws of the traffic, apart, so that every strategy sees the same.
    traffic: StdRng,
    /// All other draws.
    rng: StdRng,
    now: MonoTime,
    heap: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    order: u64,
    servers: Vec<Server>,
    router: Router,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    ratings: Vec<Rating>,
    by_id: IndexMap<u128, usize>,
    all_versions: Vec<VersionId>,
    rolling: Option<VersionId>,
    /// Version that turns bad: the one used most until then.
    victim: VersionId,
    /// Answers of each version.
    used: IndexMap<VersionId, u64>,
    /// Times of one answer by traffic class, in seconds.
    takes: Vec<f64>,
    mean_gap: f64,
    fault_on: bool,
    run: Run,
}

impl<'a> Replay<'a> {
    pub(crate) fn new(setting: &'a Setting, deployment: &'a Deployment) -> Self {
        let versions = deployment.versions();
        let costs = |version: &VersionId| deployment.fleet.version(version);
        let is_rolling = |v: &VersionId| {
            costs(v).is_some_and(|(_, v)| v.state == sesamebeam_core::fleet::VersionState::Rolling)
        };
        let rolling = versions.iter().map(|(v, _)| v.clone()).find(is_rolling);
        let rolling = rolling.filter(|_| setting.rollout || setting.fault == Fault::BadRollout);
        let settled: Vec<VersionId> = versions
            .iter()
            .map(|(v, _)| v.clone())
            .filter(|v| !is_rolling(v))
            .collect();
        let takes: Vec<f64> = deployment.traffic.iter().map(idle_seconds).collect();
        let mut replay = Self {
            setting,
            deployment,
            traffic: StdRng::seed_from_u64(setting.seed),
            rng: StdRng::seed_from_u64(!setting.seed),
            now: MonoTime::ZERO,
            heap: BinaryHeap::new(),
            order: 0,
            servers: make_servers(deployment),
            router: Router::new(
                setting.strategy,
                &setting.cfg,
                deployment,
                rolling.as_ref(),
                setting.seed,
            ),
            requests: Vec::new(),
            attempts: Vec::new(),
            ratings: Vec::new(),
            by_id: IndexMap::new(),
            all_versions: versions.iter().map(|(v, _)| v.clone()).collect(),
            rolling,
            victim: settled[1].clone(),
            used: IndexMap::new(),
            takes,
            mean_gap: 0.0,
            fault_on: false,
            run: Run::new(deployment),
        };
        replay.mean_gap = 1.0 / (replay.capacity() * setting.load);
        replay.prepare();
        replay
    }

    /// Runs to the end and gives what was measured.
    pub(crate) fn run(mut self) -> Run {
        while let Some(Reverse((at, _, event))) = self.heap.pop() {
            self.now = at;
            self.handle(event);
        }
        self.run.length = self.setting.length;
        self.run
    }

    /// Requests a second that the engines of the failure domain answer when
    /// every slot is taken all the time.
    fn capacity(&self) -> f64 {
        let slots: usize = self
            .servers
            .iter()
            .filter(|s| s.near && s.engine)
            .map(|s| s.slots)
            .sum();
        let engine = |t: &&Traffic| self.class_of(t).service.is_none();
        let work: f64 = self
            .deployment
            .traffic
            .iter()
            .filter(engine)
            .map(|t| t.share * (t.prompt / PREFILL + t.tokens / SPEED * (1.0 + SLOWDOWN)))
            .sum();
        slots as f64 / work
    }

    fn class_of(&self, traffic: &Traffic) -> &'a Class {
        self.deployment
            .fleet
            .class(&traffic.class)
            .expect("checked by the deployment file")
    }

    fn prepare(&mut self) {
        for at in 0..self.servers.len() {
            let jitter = self.rng.random_range(0..1000);
            self.push(Duration::from_millis(jitter / 20), Event::Announce(at));
        }
        self.push(Duration::from_millis(60), Event::Tick);
        self.push(Duration::ZERO, Event::Background);
        self.push(Duration::from_millis(100), Event::Arrive);
        let (start, end) = self.setting.fault.window(self.setting.length);
        if self.setting.fault != Fault::None {
            let warm_up = self.setting.warm_up;
            self.push(warm_up + start, Event::FaultStart);
            self.push(warm_up + end, Event::FaultEnd);
        }
    }

    fn push(&mut self, at: MonoTime, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, event)));
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.push(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Finish(attempt, epoch) => self.finish(attempt, epoch),
            Event::Fail(attempt) => self.fail(attempt, true, Observation::Failed),
            Event::Rate(at) => self.rate(at),
            Event::Announce(at) => self.announce(at),
            Event::Tick => self.tick(),
            Event::Background => self.background(),
            Event::Deadline(request) => self.deadline(request),
            Event::Hedge(request) => self.hedge(request),
            Event::Resume(attempt) => self.resume(attempt),
            Event::Killer(resends) => self.killer(resends),
            Event::Die(at) => self.die(at),
            Event::Restart(at) => self.servers[at].restart(),
            Event::Leave(at) => self.leave(at),
            Event::FaultStart => self.fault_start(),
            Event::FaultEnd => self.fault_end(),
        }
    }

    fn going_on(&self) -> bool {
        self.now < self.end_at()
    }

    fn end_at(&self) -> MonoTime {
        self.setting.warm_up + self.setting.length
    }

    fn arrive(&mut self) {
        if !self.going_on() {
            return;
        }
        let gap = -self.mean_gap * (1.0 - self.traffic.random::<f64>()).ln();
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
        let shares: Vec<f64> = self.deployment.traffic.iter().map(|t| t.share).collect();
        let traffic = self.draw(&shares);
        let demands: Vec<f64> = self.deployment.demand.iter().map(|d| d.share).collect();
        let org = self.draw(&demands);
        let request = self.make(traffic, org, false);
        self.admit(request);
    }

    fn draw(&mut self, shares: &[f64]) -> usize {
        let mut point = self.traffic.random::<f64>() * shares.iter().sum::<f64>();
        for (at, share) in shares.iter().enumerate() {
            point -= share;
            if point < 0.0 {
                return at;
            }
        }
        shares.len() - 1
    }

    fn make(&mut self, traffic: usize, org: usize, killer: bool) -> usize {
        let shape = &self.deployment.traffic[traffic];
        let class = self.class_of(shape);
        let org = self.deployment.demand[org].organisation.clone();
        let id: u128 = self.traffic.random();
        let stretch = 0.5 + self.traffic.random::<f64>();
        let session = (self.traffic.random::<f64>() < shape.sessions).then(|| {
            let number = self.requests.len() as u64 / (SESSION_LENGTH * 20);
            let lane = self.traffic.random_range(0..20u32);
            format_smolstr!("{org}-{}-{number}-{lane}", shape.class)
        });
        let prefix = match &session {
            Some(session) => hash::rendezvous(session, b"prefix"),
            None => hash::rendezvous(&org, shape.class.as_bytes()),
        };
        let request = Request {
            id,
            org,
            traffic,
            class: self
                .deployment
                .fleet
                .classes
                .iter()
                .position(|c| c.name == class.name)
                .unwrap_or(0),
            arrived: self.now,
            deadline: self.now + class.deadline,
            tokens: shape.tokens * stretch,
            prompt: shape.prompt,
            prefix: class.service.is_none().then_some(prefix),
            session,
            killer,
            fingerprint: if killer { 0xdead } else { id },
            plan: None,
            admitted: false,
            ended: false,
            sent_first: None,
            attempts: 0,
            cost: 0.0,
            tried: Vec::new(),
            open: Vec::new(),
        };
        self.requests.push(request);
        let at = self.requests.len() - 1;
        self.by_id.insert(id, at);
        if self.now >= self.setting.warm_up {
            self.run.arrived(&self.requests[at].org, traffic);
        }
        at
    }

    fn in_fault(&self) -> bool {
        self.fault_on
    }

    fn class(&self, request: usize) -> &'a Class {
        &self.deployment.fleet.classes[self.requests[request].class]
    }

    fn pool(&self, request: usize) -> smol_str::SmolStr {
        match &self.class(request).service {
            Some(pool) => pool.clone(),
            None => self.deployment.fleet.models[0].pool.clone(),
        }
    }

    /// Plans and admits a request, in the order of an entry.
    fn admit(&mut self, at: usize) {
        let class = self.class(at);
        let deadline = self.requests[at].deadline;
        self.push(deadline, Event::Deadline(at));
        if self.setting.strategy.is_guarded() {
            let standing = self.router.suspects.standing(self.requests[at].fingerprint);
            if standing == Standing::Quarantined {
                return self.end(at, Outcome::Refused(Refusal::Quarantined));
            }
            self.router.retries.request(&self.requests[at].org);
            self.router.hedges.request(class);
        }
        if !self.plan(at) {
            return self.end(at, Outcome::Refused(Refusal::NoVersion));
        }
        if !self.setting.strategy.is_guarded() {
            return self.start(at);
        }
        let twice = matches!(self.requests[at].plan, Some(Plan::Cascade { .. }));
        let takes = self.takes[self.requests[at].traffic] * if twice { 1.3 } else { 1.0 };
        let ticket = Ticket {
            request: self.requests[at].id,
            org: self.requests[at].org.clone(),
            pool: self.pool(at),
            priority: class.priority,
            deadline,
            takes: Duration::from_secs_f64(takes),
        };
        match self.router.admission.offer(self.now, ticket) {
            Offered::Run => {
                self.requests[at].admitted = true;
                self.start(at);
            }
            Offered::Queued => {}
            Offered::Refused { .. } => self.end(at, Outcome::Refused(Refusal::Admission)),
        }
    }

    fn plan(&mut self, at: usize) -> bool {
        let class = self.class(at);
        if class.service.is_some() {
            return true;
        }
        let org = self.deployment.fleet.organisation(&self.requests[at].org);
        let target = org.and_then(|org| org.targets.iter().find(|t| t.class == class.name));
        let request = &self.requests[at];
        let session = request.session.clone();
        let wanted = Wanted {
            request: request.id,
            class,
            target,
            session: session.as_ref(),
            left: request.deadline.saturating_sub(self.now),
            takes: Duration::from_secs_f64(self.takes[request.traffic]),
        };
        let (deployment, victim, rolling) = (self.deployment, &self.victim, &self.rolling);
        let (fault, fault_on) = (self.setting.fault, self.fault_on);
        let bad = |version: &str| {
            fault_on
                && match fault {
                    Fault::TurnsBad => version == victim,
                    Fault::BadRollout => rolling.as_ref().is_some_and(|r| r == version),
                    _ => false,
                }
        };
        let truth = |version: &str| {
            let quality = deployment.quality(&class.name, version);
            if bad(version) { quality * 0.5 } else { quality }
        };
        let plan = self.router.plan(self.now, &wanted, &truth);
        self.requests[at].plan = plan;
        self.requests[at].plan.is_some()
    }

    fn start(&mut self, at: usize) {
        let plan = self.requests[at].plan.clone();
        // A version held while the request waited is not used any more.
        if let Some(plan) = &plan
            && self.setting.strategy == Strategy::Sesamebeam
            && self.router.exposure.held(plan.first()).is_some()
            && !self.plan(at)
        {
            return self.end(at, Outcome::Refused(Refusal::NoVersion));
        }
        match self.requests[at].plan.clone() {
            None => self.send(at, Step::Only, None),
            Some(Plan::Single(version)) => self.send(at, Step::Only, Some(version)),
            Some(Plan::Cascade { first, .. }) => self.send(at, Step::First, Some(first)),
        }
        let class = self.class(at);
        if self.setting.strategy.is_guarded()
            && let Some(delay) = self.router.hedges.delay(class)
        {
            self.after(delay, Event::Hedge(at));
        }
    }

    fn send(&mut self, at: usize, step: Step, version: Option<VersionId>) {
        let class = self.class(at);
        let pool = self.pool(at);
        let request = &self.requests[at];
        let suspect = self.router.suspects.standing(request.fingerprint) == Standing::Suspect;
        let mut exclude = request.tried.clone();
        if self.setting.strategy.is_guarded() {
            let occupied = self.router.suspects.occupied(request.fingerprint);
            exclude.extend(occupied.iter().map(|life| life.addr));
        }
        let input = PickInput {
            route: match &version {
                Some(version) => Route::Version(version),
                None => Route::Service(&pool),
            },
            prefix: request.prefix,
            prompt_tokens: request.prompt as u32,
            max_tokens: request.tokens as u32,
            priority: class.priority,
            exclude: &exclude,
            alone: suspect,
        };
        let picked = self
            .router
            .pick(self.now, &input, &self.servers, version.is_some());
        let Some(server) = picked else {
            return self.end(at, Outcome::Refused(Refusal::NoServer));
        };
        self.send_to(at, step, version, server, suspect);
    }

    fn send_to(
        &mut self,
        at: usize,
        step: Step,
        version: Option<VersionId>,
        server: usize,
        alone: bool,
    ) {
        let id = self.attempts.len();
        let class = self.class(at);
        let request = &mut self.requests[at];
        request.attempts += 1;
        request.sent_first.get_or_insert(self.now);
        request.open.push(id);
        let (prefix, fingerprint) = (request.prefix, request.fingerprint);
        let job = Job {
            attempt: id,
            priority: class.priority,
            tokens: request.tokens,
            prompt: request.prompt,
            prefix,
        };
        let life = self.servers[server].life();
        let addr = life.addr;
        self.attempts.push(Attempt {
            request: at,
            version,
            step,
            server,
            life,
            sent: self.now,
            runs: None,
            epoch: 0,
            open: true,
            silent: false,
            alone,
        });
        self.router.balance.started(addr, prefix, alone);
        self.router.suspects.started(fingerprint, life);
        // The second step of a cascade is planned work, not another attempt.
        if self.requests[at].arrived >= self.setting.warm_up && step != Step::Redo {
            let in_fault = self.in_fault();
            let first = self.requests[at].attempts == 1;
            self.run.sent(self.servers[server].leaving, in_fault, first);
        }
        match self.servers[server].send(job) {
            Sent::Runs(length) => self.runs(id, length),
            Sent::Waits => {}
            Sent::Full => {
                self.router.balance.refused(self.now, addr);
                self.refused(id);
            }
            Sent::Down => {
                self.router.balance.avoid(self.now, addr);
                self.refused(id);
            }
        }
    }

    fn runs(&mut self, id: AttemptId, length: Duration) {
        let server = self.attempts[id].server;
        if self.servers[server].broken {
            return self.after(FAILS_AFTER, Event::Fail(id));
        }
        let request = self.attempts[id].request;
        if self.requests[request].killer {
            return self.after(Duration::from_millis(200), Event::Die(server));
        }
        self.attempts[id].runs = Some((self.now, self.now + length));
        let epoch = self.attempts[id].epoch;
        self.after(length, Event::Finish(id, epoch));
    }

    /// Closes an attempt at the entry and frees its slot at the backend server.
    fn close(&mut self, id: AttemptId, whole: bool) {
        let attempt = &mut self.attempts[id];
        if !attempt.open {
            return;
        }
        attempt.open = false;
        attempt.epoch += 1;
        let (at, server, life, alone) =
            (attempt.request, attempt.server, attempt.life, attempt.alone);
        let took = whole.then(|| self.now - attempt.sent);
        self.charge(id);
        self.requests[at].open.retain(|open| *open != id);
        self.router.balance.finished(life.addr, alone, took);
        let fingerprint = self.requests[at].fingerprint;
        self.router.suspects.finished(fingerprint, life, whole);
        for (started, length) in self.servers[server].leave(id) {
            self.runs(started, length);
        }
    }

    /// Charges for the part that ran.
    fn charge(&mut self, id: AttemptId) {
        let attempt = &self.attempts[id];
        let Some(version) = &attempt.version else {
            return;
        };
        let cost = self
            .deployment
            .fleet
            .version(version)
            .map_or(0.0, |(_, v)| v.cost);
        let Some((from, until)) = attempt.runs else {
            return;
        };
        let part = (self.now - from).as_secs_f64() / (until - from).as_secs_f64().max(1e-9);
        let request = &mut self.requests[attempt.request];
        request.cost += cost * request.tokens / 1000.0 * part.min(1.0);
    }

    fn finish(&mut self, id: AttemptId, epoch: u32) {
        let attempt = &self.attempts[id];
        if !attempt.open || attempt.epoch != epoch || attempt.silent {
            return;
        }
        let (at, step, version) = (attempt.request, attempt.step, attempt.version.clone());
        let (sent, addr) = (attempt.sent, attempt.life.addr);
        self.close(id, true);
        let Some(version) = version else {
            return self.whole(at, None);
        };
        self.router.balance.answered(addr);
        self.router.servers.heard(self.now, addr);
        *self.used.entry(version.clone()).or_default() += 1;
        let took = self.now - sent;
        let tokens = self.requests[at].tokens as u32;
        self.observe(at, &version, Observation::Whole { took, tokens });
        if step == Step::First && self.rejected(at, &version) {
            let Some(Plan::Cascade { then, .. }) = self.requests[at].plan.clone() else {
                return;
            };
            return self.send(at, Step::Redo, Some(then));
        }
        self.sample(at, &version, step);
        self.whole(at, Some(version));
    }

    /// Rates the first answer of a cascade at once.
    fn rejected(&mut self, at: usize, version: &VersionId) -> bool {
        self.requests[at].cost += RATING_COST * self.requests[at].tokens / 1000.0;
        let Some(score) = self.score(at, version) else {
            self.router.rater_answers = false;
            return true;
        };
        self.router.rater_answers = true;
        let class = self.class(at).name.clone();
        if let Rated::Counted { good, .. } = self
            .router
            .quality
            .rate_now(self.now, &class, version, score)
        {
            self.observe(at, version, Observation::Rated { good });
        }
        score < 0.5
    }

    /// What the rating service says; none while it is silent.
    fn score(&mut self, at: usize, version: &str) -> Option<f64> {
        let good = self.good(at, version);
        let wrong = self.rng.random::<f64>() < RATER_NOISE;
        match self.setting.fault {
            Fault::RaterSilent if self.fault_on => None,
            Fault::RaterWrong if self.fault_on => Some(0.1),
            _ => Some(if good != wrong { 0.9 } else { 0.1 }),
        }
    }

    /// Whether the answer of a version to a request is truly good. Half of the
    /// requests are as hard for one version as for another.
    fn good(&self, at: usize, version: &str) -> bool {
        let request = &self.requests[at];
        let id = request.id.to_le_bytes();
        let alike = hash::unit(&id, "alike") < 0.5;
        let draw = hash::unit(&id, if alike { "difficulty" } else { version });
        let class = &self.class(at).name;
        draw < self.true_quality(class, version)
    }

    fn is_bad(&self, version: &str) -> bool {
        self.fault_on
            && match self.setting.fault {
                Fault::TurnsBad => version == self.victim,
                Fault::BadRollout => self.rolling.as_ref().is_some_and(|r| r == version),
                _ => false,
            }
    }

    fn true_quality(&self, class: &str, version: &str) -> f64 {
        let quality = self.deployment.quality(class, version);
        if self.is_bad(version) {
            quality * 0.5
        } else {
            quality
        }
    }

    fn observe(&mut self, at: usize, version: &VersionId, seen: Observation) {
        if self.setting.strategy != Strategy::Sesamebeam {
            return;
        }
        let class = self.class(at).name.clone();
        let held =
            self.router
                .exposure
                .observe(self.now, version, &class, seen, &self.router.quality);
        if held.is_some() {
            self.run.held(version, self.now, self.is_bad(version));
        }
    }

    fn sample(&mut self, at: usize, version: &VersionId, step: Step) {
        if self.setting.strategy != Strategy::Sesamebeam {
            return;
        }
        let request = &self.requests[at];
        let usual = self.router.exposure.sample_share(version);
        let class = &self.class(at).name;
        let share = self.router.quality.sample_share(class, version, usual);
        if hash::unit(&request.id.to_le_bytes(), "sample") >= share {
            return;
        }
        let (id, class) = (request.id, self.class(at).name.clone());
        match step {
            Step::Redo => self
                .router
                .quality
                .sampled_redo(self.now, id, &class, version),
            Step::Only | Step::First => self.router.quality.sampled(self.now, id, &class, version),
        }
        let Some(score) = self.score(at, version) else {
            return;
        };
        let rating = Rating {
            request: id,
            class,
            version: version.clone(),
            score,
            age: Duration::ZERO,
        };
        self.ratings.push(rating);
        let lag = 0.5 + self.rng.random::<f64>() * 1.5;
        self.after(
            Duration::from_secs_f64(lag),
            Event::Rate(self.ratings.len() - 1),
        );
    }

    fn rate(&mut self, at: usize) {
        let mut rating = self.ratings[at].clone();
        rating.age = Duration::from_millis(100);
        let distrusted = self.router.quality.rater_distrusted();
        let rated = self.router.quality.rate(self.now, &rating);
        if !distrusted && self.router.quality.rater_distrusted() {
            let since = self.now.saturating_sub(Duration::from_secs(60));
            self.router.exposure.release_ratings_since(since);
        }
        if let Rated::Counted { good, redo } = rated
            && let Some(request) = self.by_id.get(&rating.request).copied()
        {
            let seen = match redo {
                true => Observation::Redone { good },
                false => Observation::Rated { good },
            };
            self.observe(request, &rating.version, seen);
        }
    }

    fn whole(&mut self, at: usize, version: Option<VersionId>) {
        let good = version
            .as_ref()
            .is_none_or(|version| self.good(at, version));
        let late = self.now > self.requests[at].deadline;
        let bad = version.as_ref().is_some_and(|version| self.is_bad(version));
        if bad {
            self.run.shown_to_bad += 1;
        }
        self.end(
            at,
            if late {
                Outcome::Late
            } else {
                Outcome::Whole { good }
            },
        );
    }

    fn refused(&mut self, id: AttemptId) {
        self.fail_with(id, false, None);
    }

    fn fail(&mut self, id: AttemptId, ran: bool, seen: Observation) {
        self.fail_with(id, ran, Some(seen));
    }

    /// Ends an attempt that failed, and tries again where that is allowed.
    fn fail_with(&mut self, id: AttemptId, ran: bool, seen: Option<Observation>) {
        if !self.attempts[id].open {
            return;
        }
        let attempt = &self.attempts[id];
        let (at, step, version) = (attempt.request, attempt.step, attempt.version.clone());
        let addr = attempt.life.addr;
        self.close(id, false);
        if let (Some(seen), Some(version)) = (seen, &version) {
            self.observe(at, version, seen);
        }
        let request = &mut self.requests[at];
        if request.ended || !request.open.is_empty() {
            return;
        }
        request.tried.push(addr);
        let class = self.class(at);
        if ran && !class.idempotent {
            return self.end(at, Outcome::Unknown);
        }
        let request = &self.requests[at];
        let may = match self.setting.strategy.is_guarded() {
            true => self.now < request.deadline && self.router.retries.try_retry(&request.org),
            false => request.attempts < MOST_ATTEMPTS,
        };
        let quarantined =
            self.router.suspects.standing(request.fingerprint) == Standing::Quarantined;
        if may && !(quarantined && self.setting.strategy.is_guarded()) {
            return self.send(at, step, version);
        }
        self.end(
            at,
            match ran {
                true => Outcome::Failed,
                false => Outcome::Refused(Refusal::NoRetry),
            },
        );
    }

    fn deadline(&mut self, at: usize) {
        if self.requests[at].ended {
            return;
        }
        if self.setting.strategy.is_guarded() {
            self.router
                .admission
                .cancel(&self.pool(at), self.requests[at].id);
            return self.end(at, Outcome::Late);
        }
        // Without a cancel the work goes on, and its answer comes too late.
        let silent = self.requests[at]
            .open
            .iter()
            .any(|id| self.attempts[*id].silent);
        if silent {
            self.end(at, Outcome::Late);
        }
    }

    fn hedge(&mut self, at: usize) {
        let class = self.class(at);
        if self.requests[at].ended || self.requests[at].open.len() != 1 {
            return;
        }
        if !self.router.hedges.try_hedge(class) {
            return;
        }
        let first = &self.attempts[self.requests[at].open[0]];
        let (version, addr) = (first.version.clone(), first.life.addr);
        self.requests[at].tried.push(addr);
        self.run.hedges += 1;
        let before = self.attempts.len();
        let (pool, prefix) = (self.pool(at), self.requests[at].prefix);
        let exclude = self.requests[at].tried.clone();
        let input = PickInput {
            route: match &version {
                Some(version) => Route::Version(version),
                None => Route::Service(&pool),
            },
            prefix,
            prompt_tokens: self.requests[at].prompt as u32,
            max_tokens: self.requests[at].tokens as u32,
            priority: class.priority,
            exclude: &exclude,
            alone: false,
        };
        if let Some(server) = self
            .router
            .pick(self.now, &input, &self.servers, version.is_some())
        {
            self.send_to(at, Step::Only, version, server, false);
        }
        debug_assert!(self.attempts.len() <= before + 2);
    }

    fn end(&mut self, at: usize, outcome: Outcome) {
        if self.requests[at].ended {
            return;
        }
        self.requests[at].ended = true;
        for id in self.requests[at].open.clone() {
            self.close(id, false);
        }
        let request = &self.requests[at];
        if let (Outcome::Whole { .. }, Some(sent)) = (outcome, request.sent_first) {
            let took = (self.now - sent).as_secs_f64();
            let usual = &mut self.takes[request.traffic];
            *usual += 0.02 * (took - *usual);
            let class = self.class(at).name.clone();
            self.router
                .hedges
                .answered(&class, self.now - request.arrived);
        }
        let request = &self.requests[at];
        let ended = Ended {
            org: request.org.clone(),
            traffic: request.traffic,
            outcome,
            latency: self.now - request.arrived,
            cost: request.cost,
            tokens: request.tokens,
            attempts: request.attempts,
            engine: self.class(at).service.is_none(),
            killer: request.killer,
        };
        if request.arrived >= self.setting.warm_up {
            self.run.ended(ended);
        }
        if self.setting.strategy.is_guarded() && self.requests[at].admitted {
            let request = &self.requests[at];
            let ran = request
                .sent_first
                .map_or(Duration::ZERO, |sent| self.now - sent);
            let pool = self.pool(at);
            self.router.admission.finished(&pool, request.id, ran);
        }
        self.let_in();
    }

    fn let_in(&mut self) {
        if !self.setting.strategy.is_guarded() {
            return;
        }
        for id in self.router.admission.next(self.now) {
            let Some(at) = self.by_id.get(&id).copied() else {
                continue;
            };
            self.requests[at].admitted = true;
            self.start(at);
        }
    }

    fn announce(&mut self, at: usize) {
        if self.now < self.end_at() + Duration::from_secs(30) {
            let jitter = self.rng.random_range(950..1050);
            self.after(Duration::from_millis(jitter), Event::Announce(at));
        }
        let server = &mut self.servers[at];
        let cut = self.setting.fault == Fault::Cut && self.fault_on && !server.near;
        if !server.up || cut {
            return;
        }
        let lose = self.rng.random::<f64>() < 0.1;
        let announcement = server.announce(&self.all_versions, lose);
        self.router.announce(self.now, &announcement);
    }

    fn tick(&mut self) {
        if self.now < self.end_at() + Duration::from_secs(300) {
            self.after(Duration::from_secs(1), Event::Tick);
        }
        self.router.tick(self.now);
        if !self.setting.strategy.is_guarded() {
            return;
        }
        for given_up in self.router.admission.expired(self.now) {
            if let Some(at) = self.by_id.get(&given_up.request).copied() {
                self.end(at, Outcome::Refused(Refusal::GivenUp));
            }
        }
        self.let_in();
    }

    /// Other entries keep the other failure domains as busy as this one is:
    /// slots there are taken and freed one by one.
    fn background(&mut self) {
        if self.going_on() {
            self.after(BACKGROUND, Event::Background);
        }
        for at in 0..self.servers.len() {
            let server = &mut self.servers[at];
            if server.near || !server.up {
                continue;
            }
            let wanted = server.slots as f64 * self.setting.load + self.rng.random_range(-3.0..3.0);
            let wanted = (wanted.max(0.0) as usize).min(server.slots);
            match wanted.cmp(&server.background) {
                Ordering::Less => server.background -= 1,
                Ordering::Greater => server.background += 1,
                Ordering::Equal => {}
            }
            for (started, length) in server.fill() {
                self.runs(started, length);
            }
        }
    }

    fn killer(&mut self, resends: u32) {
        if !self.going_on() || resends == 0 {
            return;
        }
        let normal = |t: &Traffic| {
            let class = self.class_of(t);
            class.service.is_none() && class.idempotent && class.priority == Priority::Normal
        };
        let traffic = self.deployment.traffic.iter().position(normal).unwrap_or(0);
        let request = self.make(traffic, 0, true);
        self.after(RESEND, Event::Killer(resends - 1));
        self.admit(request);
    }

    fn die(&mut self, at: usize) {
        if !self.servers[at].up {
            return;
        }
        let life = self.servers[at].life();
        let (ran, waited) = self.servers[at].die();
        self.run.crashes += 1;
        self.after(Duration::from_secs(10), Event::Restart(at));
        let prints = |ids: &[AttemptId]| -> Vec<Digest> {
            ids.iter()
                .map(|id| self.requests[self.attempts[*id].request].fingerprint)
                .collect()
        };
        let on_board = prints(&ran);
        if self.setting.strategy.is_guarded() {
            self.router.suspects.died(self.now, life, &on_board);
            let killer = Standing::Quarantined;
            let innocent = self.requests.iter().filter(|r| !r.killer && !r.ended);
            let wrongly =
                innocent.filter(|r| self.router.suspects.standing(r.fingerprint) == killer);
            self.run.innocents += wrongly.count() as u64;
        }
        self.router.balance.avoid(self.now, life.addr);
        let mut blamed: Vec<VersionId> = Vec::new();
        for id in ran {
            let version = self.attempts[id].version.clone();
            let once = version.filter(|version| !blamed.contains(version));
            blamed.extend(once.clone());
            self.fail_with(id, true, once.map(|_| Observation::Crashed));
        }
        for id in waited {
            self.fail_with(id, false, None);
        }
    }

    fn leave(&mut self, at: usize) {
        self.servers[at].leaving = true;
        let announcement = self.servers[at].announce(&self.all_versions, false);
        self.router.announce(self.now, &announcement);
        self.after(Duration::from_secs(60), Event::Restart(at));
    }

    fn near_engines(&self) -> Vec<usize> {
        (0..self.servers.len())
            .filter(|&at| self.servers[at].near && self.servers[at].engine)
            .collect()
    }

    fn fault_start(&mut self) {
        self.fault_on = true;
        let settled = |v: &VersionId| Some(v) != self.rolling.as_ref();
        let most = self
            .used
            .iter()
            .filter(|(v, _)| settled(v))
            .max_by_key(|(_, n)| **n);
        if let Some((version, _)) = most {
            self.victim = version.clone();
        }
        let near = self.near_engines();
        let lost = near.len() * 2 / 3;
        match self.setting.fault {
            Fault::Killer => self.killer(6),
            Fault::PoolLoss => {
                for at in near.into_iter().take(lost) {
                    self.die(at);
                }
            }
            Fault::Outage => self
                .servers
                .iter_mut()
                .filter(|s| s.engine)
                .for_each(|s| s.broken = true),
            Fault::Silent => self.silence(&near[..lost]),
            Fault::Leaving => {
                for (nth, at) in near.into_iter().enumerate() {
                    self.after(Duration::from_secs(70 * nth as u64), Event::Leave(at));
                }
            }
            Fault::Cut => self.cut(),
            _ => {}
        }
    }

    fn fault_end(&mut self) {
        self.fault_on = false;
        self.servers
            .iter_mut()
            .for_each(|server| server.broken = false);
        if self.setting.fault == Fault::Cut {
            for server in self.servers.iter_mut().filter(|server| !server.near) {
                server.up = true;
            }
        }
        self.router.rater_answers = true;
    }

    /// Open streams to these engines bring nothing any more; new connections
    /// work and find the stream still running.
    fn silence(&mut self, engines: &[usize]) {
        for id in 0..self.attempts.len() {
            if self.attempts[id].open && engines.contains(&self.attempts[id].server) {
                self.attempts[id].silent = true;
                if self.setting.strategy.is_guarded() {
                    self.after(PROGRESS_TIMEOUT, Event::Resume(id));
                }
            }
        }
    }

    fn resume(&mut self, id: AttemptId) {
        if !self.attempts[id].open {
            return;
        }
        self.attempts[id].silent = false;
        let Some((_, until)) = self.attempts[id].runs else {
            return;
        };
        let epoch = self.attempts[id].epoch;
        self.push(until.max(self.now), Event::Finish(id, epoch));
    }

    fn cut(&mut self) {
        for at in 0..self.servers.len() {
            if self.servers[at].near {
                continue;
            }
            let (ran, waited) = self.servers[at].die();
            for id in ran {
                self.fail_with(id, true, None);
            }
            for id in waited {
                self.fail_with(id, false, None);
            }
        }
    }
}

fn idle_seconds(traffic: &Traffic) -> f64 {
    if traffic.prompt == 0.0 {
        return traffic.tokens * 0.01;
    }
    traffic.prompt / PREFILL + traffic.tokens / SPEED * (1.0 + SLOWDOWN / 2.0)
}

fn make_servers(deployment: &Deployment) -> Vec<Server> {
    let fleet = &deployment.fleet;
    let mut servers = Vec::new();
    for (nth, domain) in fleet.domains.iter().enumerate() {
        for number in 0..=deployment.engines_near() {
            let engine = number > 0;
            let pool = if engine {
                &fleet.pools[0]
            } else {
                &fleet.pools[1]
            };
            let ip = Ipv4Addr::new(10, 0, nth as u8, number as u8);
            let addr = SocketAddr::from((ip, 8000));
            servers.push(Server::new(
                addr,
                pool.name.clone(),
                domain.clone(),
                nth == 0,
                engine,
            ));
        }
    }
    servers
}
