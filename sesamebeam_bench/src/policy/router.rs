//! The strategies that the replay compares, over the decisions of the core.

use std::time::Duration;

use indexmap::IndexMap;
use sesamebeam_core::{
    fleet::{
        Class,
        Target, //
    },
    ids::{
        MonoTime,
        RequestId,
        ServerAddr,
        SessionId,
        VersionId, //
    },
    message::{
        command::RolloutState,
        control::{
            LiveState,
            RolloutView, //
        },
        server::Announcement,
    },
    policy::{
        PolicyConfig,
        admission::Admission,
        balance::{
            Balance,
            PickInput, //
        },
        exposure::{
            Exposure,
            Permit, //
        },
        hash,
        plan::{
            Candidate,
            Plan,
            PlanInput,
            Planner, //
        },
        quality::Quality,
        retry::{
            HedgeBudget,
            RetryBudget, //
        },
        servers::{
            Announced,
            ServerEvent,
            Servers, //
        },
        suspects::Suspects, //
    },
};

use super::{
    deployment::Deployment,
    world::Server, //
};

/// Rated answers and time that a step of a roll-out needs.
const GATE: (u32, Duration) = (40, Duration::from_secs(60));

/// Shares of the steps of a roll-out.
const STEPS: [f64; 3] = [0.05, 0.25, 1.0];

/// Weights of the versions in the static split, cheapest first.
const SPLIT: [f64; 4] = [0.4, 0.1, 0.3, 0.2];

/// Cost of rating an answer at once, for each 1000 tokens of it.
pub(crate) const RATING_COST: f64 = 0.02;

/// How requests are routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// The decisions of the core.
    Sesamebeam,
    /// The most expensive version for everything.
    Strongest,
    /// The cheapest version for everything.
    Cheapest,
    /// Fixed weights for every class.
    Split,
    /// One version after the other.
    RoundRobin,
    /// Knows true qualities and loads.
    Oracle,
}

impl Strategy {
    pub(crate) const ALL: [Self; 6] = [
        Self::Sesamebeam,
        Self::Oracle,
        Self::Strongest,
        Self::Cheapest,
        Self::Split,
        Self::RoundRobin,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Sesamebeam => "sesamebeam",
            Self::Strongest => "strongest",
            Self::Cheapest => "cheapest",
            Self::Split => "split",
            Self::RoundRobin => "round-robin",
            Self::Oracle => "oracle",
        }
    }

    /// Tells whether the strategy has admission, budgets and progress timeouts.
    pub(crate) fn is_guarded(self) -> bool {
        matches!(self, Self::Sesamebeam | Self::Oracle)
    }
}

/// What a plan is made for.
pub(crate) struct Wanted<'a> {
    pub(crate) request: RequestId,
    pub(crate) class: &'a Class,
    pub(crate) target: Option<&'a Target>,
    pub(crate) session: Option<&'a SessionId>,
    pub(crate) left: Duration,
    pub(crate) takes: Duration,
}

/// One entry's decisions under a strategy.
pub(crate) struct Router {
    pub(crate) strategy: Strategy,
    pub(crate) quality: Quality,
    pub(crate) planner: Planner,
    pub(crate) exposure: Exposure,
    pub(crate) balance: Balance,
    pub(crate) admission: Admission,
    pub(crate) retries: RetryBudget,
    pub(crate) hedges: HedgeBudget,
    pub(crate) suspects: Suspects,
    pub(crate) servers: Servers,
    pub(crate) rater_answers: bool,
    versions: Vec<(VersionId, f64)>,
    pins: IndexMap<SessionId, VersionId>,
    live: LiveState,
    step_since: MonoTime,
    turn: usize,
}

impl Router {
    pub(crate) fn new(
        strategy: Strategy,
        cfg: &PolicyConfig,
        deployment: &Deployment,
        rolling: Option<&VersionId>,
        seed: u64,
    ) -> Self {
        let fleet = &deployment.fleet;
        let mut router = Self {
            strategy,
            quality: Quality::new(cfg.quality.clone()),
            planner: Planner::new(cfg.plan.clone()),
            exposure: Exposure::new(cfg.exposure.clone()),
            balance: Balance::new(cfg.balance.clone(), fleet.domains[0].clone(), seed),
            admission: Admission::new(cfg.admission.clone()),
            retries: RetryBudget::new(cfg.retry.clone()),
            hedges: HedgeBudget::new(cfg.retry.clone()),
            suspects: Suspects::new(cfg.suspects.clone()),
            servers: Servers::new(cfg.servers.clone()),
            rater_answers: true,
            versions: deployment.versions(),
            pins: IndexMap::new(),
            live: LiveState::default(),
            step_since: MonoTime::ZERO,
            turn: 0,
        };
        router.quality.configure(fleet);
        router.exposure.configure(fleet);
        router.balance.configure(fleet);
        router.admission.configure(fleet);
        router.servers.configure(fleet);
        router.live.rollouts = rolling
            .map(|version| RolloutView {
                version: version.clone(),
                state: RolloutState::At(0),
                share: STEPS[0],
                rated: (0, 0),
            })
            .into_iter()
            .collect();
        router.exposure.apply_live(&router.live);
        router
    }

    /// Plans a request; none if no version may run it.
    pub(crate) fn plan(
        &mut self,
        now: MonoTime,
        wanted: &Wanted<'_>,
        truth: &dyn Fn(&str) -> f64,
    ) -> Option<Plan> {
        let version = match self.strategy {
            Strategy::Sesamebeam => return self.plan_by_policy(wanted),
            Strategy::Oracle => return Some(self.plan_by_truth(wanted, truth)),
            Strategy::Strongest => self.versions.last()?,
            Strategy::Cheapest => self.versions.first()?,
            Strategy::Split => {
                let mut draw = hash::unit(&wanted.request.to_le_bytes(), "split");
                let at = SPLIT.iter().position(|weight| {
                    draw -= weight;
                    draw < 0.0
                });
                &self.versions[at.unwrap_or(0)]
            }
            Strategy::RoundRobin => {
                self.turn += 1;
                &self.versions[self.turn % self.versions.len()]
            }
        };
        let _ = now;
        Some(Plan::Single(version.0.clone()))
    }

    fn plan_by_policy(&mut self, wanted: &Wanted<'_>) -> Option<Plan> {
        if let Some(pinned) = wanted.session.and_then(|session| self.pins.get(session))
            && self
                .exposure
                .permit(pinned, wanted.class, &[], true)
                .allows()
        {
            return Some(Plan::Single(pinned.clone()));
        }
        let id = wanted.request.to_le_bytes();
        let key = wanted.session.map_or(&id[..], |session| session.as_bytes());
        let candidates: Vec<Candidate> = self
            .versions
            .iter()
            .filter(|(version, _)| {
                self.exposure
                    .permit(version, wanted.class, key, false)
                    .allows()
            })
            .map(|(version, cost)| Candidate {
                version: version.clone(),
                cost: *cost,
                expected_duration: wanted.takes,
            })
            .collect();
        let input = PlanInput {
            class: wanted.class,
            target: wanted.target,
            candidates: &candidates,
            time_left: wanted.left,
            rater_available: self.rater_answers,
            draw: hash::unit(key, "trial"),
        };
        let plan = self.planner.plan(&self.quality, &input)?.plan;
        self.pin(wanted, &plan);
        Some(plan)
    }

    fn plan_by_truth(&mut self, wanted: &Wanted<'_>, truth: &dyn Fn(&str) -> f64) -> Plan {
        if let Some(pinned) = wanted.session.and_then(|session| self.pins.get(session)) {
            return Plan::Single(pinned.clone());
        }
        let target = wanted.target.map_or(0.0, |target| target.quality);
        let id = wanted.request.to_le_bytes();
        let rolls = |version: &str| {
            self.exposure.permit(version, wanted.class, &id, false) != Permit::NotYet
        };
        let open: Vec<&(VersionId, f64)> = self
            .versions
            .iter()
            .filter(|(version, _)| rolls(version))
            .collect();
        let mut plans: Vec<(f64, f64, Plan)> = Vec::new();
        for (first, cost) in &open {
            plans.push((*cost, truth(first), Plan::Single(first.clone())));
            if !wanted.class.cascade {
                continue;
            }
            for (then, then_cost) in &open {
                let (q1, q2) = (truth(first), truth(then));
                // Half of the requests are as hard for one as for the other.
                let quality = 0.5 * q1.max(q2) + 0.5 * (1.0 - (1.0 - q1) * (1.0 - q2));
                let cascade = Plan::Cascade {
                    first: first.clone(),
                    then: then.clone(),
                };
                if q1 < q2 {
                    plans.push((
                        cost + RATING_COST + (1.0 - q1) * then_cost,
                        quality,
                        cascade,
                    ));
                }
            }
        }
        let good = plans.iter().filter(|(_, quality, _)| *quality >= target);
        let plan = good
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .or_else(|| plans.iter().max_by(|a, b| a.1.total_cmp(&b.1)))
            .expect("a deployment has versions");
        let plan = plan.2.clone();
        self.pin(wanted, &plan);
        plan
    }

    fn pin(&mut self, wanted: &Wanted<'_>, plan: &Plan) {
        if let (Some(session), Plan::Single(version)) = (wanted.session, plan) {
            self.pins.insert(session.clone(), version.clone());
        }
    }

    /// Picks a backend server, by its position among `servers`.
    pub(crate) fn pick(
        &mut self,
        now: MonoTime,
        input: &PickInput<'_>,
        servers: &[Server],
        engine: bool,
    ) -> Option<usize> {
        let at = |addr: ServerAddr| servers.iter().position(|server| server.addr == addr);
        let usable = |server: &Server| {
            server.engine == engine && !input.exclude.contains(&server.addr) && !server.leaving
        };
        match self.strategy {
            Strategy::Sesamebeam => at(self.balance.pick(now, input)?.server.addr),
            Strategy::Oracle => {
                let load = |s: &Server| s.running.len() + s.queue.len() + s.background;
                let open = |s: &Server| usable(s) && s.up && load(s) < s.slots * 2;
                let found = servers
                    .iter()
                    .enumerate()
                    .filter(|(_, server)| open(server));
                found
                    .min_by_key(|(_, s)| (load(s) >= s.slots, !s.near, load(s)))
                    .map(|(at, _)| at)
            }
            _ => {
                let list: Vec<usize> = (0..servers.len())
                    .filter(|&at| {
                        usable(&servers[at]) && self.servers.get(servers[at].addr).is_some()
                    })
                    .collect();
                let near: Vec<usize> = list
                    .iter()
                    .copied()
                    .filter(|&at| servers[at].near)
                    .collect();
                let list = if near.is_empty() { list } else { near };
                self.turn += 1;
                (!list.is_empty()).then(|| list[self.turn % list.len()])
            }
        }
    }

    pub(crate) fn announce(&mut self, now: MonoTime, announcement: &Announcement) -> Announced {
        let announced = self.servers.announce(now, announcement);
        match announced {
            Announced::Stale | Announced::Ignored(_) => {}
            _ => {
                if let Some(taken) = self.servers.get(announcement.addr) {
                    self.balance.upsert(now, taken);
                }
            }
        }
        announced
    }

    /// Does what is due every second.
    pub(crate) fn tick(&mut self, now: MonoTime) {
        self.quality.tick(now);
        self.suspects.tick(now);
        for event in self.servers.tick(now) {
            match event {
                ServerEvent::Expired(addr) | ServerEvent::Unreachable(addr) => {
                    self.balance.remove(addr)
                }
                ServerEvent::Partitioned(_) => {}
            }
        }
        for pool in [
            "asistente-partes",
            "registro-partes",
            "beam-pool",
            "dispatch-api",
        ] {
            let slots = self.balance.capacity(now, pool);
            self.admission.set_capacity(&pool.into(), slots);
        }
        self.lead(now);
    }

    /// Stands in for the control group: moves the roll-out by the evidence.
    fn lead(&mut self, now: MonoTime) {
        for report in self.exposure.take_evidence(&"entry-1".into()) {
            for view in &mut self.live.rollouts {
                if view.version == report.version {
                    view.rated.0 += report.good;
                    view.rated.1 += report.bad;
                }
            }
            let held = self.live.held.contains(&report.version);
            match (report.hold, held) {
                (true, false) => self.live.held.push(report.version),
                (false, true) => self.live.held.retain(|held| *held != report.version),
                _ => {}
            }
        }
        for view in &mut self.live.rollouts {
            let RolloutState::At(step) = view.state else {
                continue;
            };
            let next = step as usize + 1;
            let rated = view.rated.0 + view.rated.1;
            if rated >= GATE.0 * (step + 1) && now - self.step_since >= GATE.1 && next < STEPS.len()
            {
                view.state = RolloutState::At(next as u32);
                view.share = STEPS[next];
                self.step_since = now;
            }
        }
        self.exposure.apply_live(&self.live);
    }
}
