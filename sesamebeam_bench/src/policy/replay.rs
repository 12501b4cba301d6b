//! One replay: an event heap in virtual time round one entry's decisions.

mod admission;
mod arrival;
mod attempt;
mod event;
mod fault;
mod outcome;
mod rating;
mod server;

use std::{
    cmp::Reverse,
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
    fleet::Class,
    ids::{
        MonoTime,
        VersionId, //
    },
    message::server::Rating,
    policy::{
        PolicyConfig,
        exposure::Observation, //
    },
};

use self::{
    arrival::Request,
    attempt::Attempt,
    event::Event, //
};
use super::{
    deployment::{
        Deployment,
        Traffic, //
    },
    result::Run,
    router::{
        Router,
        Strategy, //
    },
    world::{
        Fault,
        PREFILL,
        SLOWDOWN,
        SPEED,
        Server, //
    },
};

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
