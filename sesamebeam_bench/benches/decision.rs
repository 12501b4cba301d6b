//! Processor time of one decision at two-year size: 27 versions, 700 runners.

use std::{
    hint::black_box,
    net::SocketAddr,
    time::Duration, //
};

use criterion::{
    BenchmarkId,
    Criterion, //
};
use sesamebeam_core::{
    fleet::{
        Class,
        Fleet,
        Model,
        Organisation,
        Pool,
        PoolKind,
        Priority,
        Target,
        Version,
        VersionState,
        WhenCut, //
    },
    ids::VersionId,
    message::server::{
        Announcement,
        Load, //
    },
    policy::{
        PolicyConfig,
        admission::{
            Admission,
            AdmissionRequest, //
        },
        balance::{
            Balance,
            PickInput,
            Route, //
        },
        exposure::Exposure,
        hash,
        plan::{
            Candidate,
            PlanInput,
            Planner, //
        },
        quality::Quality, //
    },
};

const MODELS: usize = 9;
const VERSIONS_EACH: usize = 3;
const RUNNERS: usize = 700;
const NOW: Duration = Duration::from_secs(100);

fn version(at: usize) -> VersionId {
    format!("model-{}@v{}", at / VERSIONS_EACH, at % VERSIONS_EACH).into()
}

fn fleet(orgs: usize) -> Fleet {
    let model = |at: usize| Model {
        name: format!("model-{at}").into(),
        pool: "pool".into(),
        versions: (0..VERSIONS_EACH)
            .map(|nth| Version {
                name: format!("v{nth}").into(),
                state: VersionState::Settled,
                cost: 1.0 + at as f64 + 10.0 * nth as f64,
                prior: 0.8 + 0.05 * nth as f64,
                weight_bytes: 0,
            })
            .collect(),
    };
    let org = |at: usize| Organisation {
        name: format!("org-{at}").into(),
        key_sha256: "".into(),
        allow: (0..MODELS * VERSIONS_EACH).map(version).collect(),
        share: 1.0,
        targets: vec![target()],
        when_cut: WhenCut::default(),
    };
    Fleet {
        name: "bench".into(),
        domains: vec!["hall".into()],
        pools: vec![Pool {
            name: "pool".into(),
            kind: PoolKind::Engine,
            checks_fencing: false,
            lookup: false,
            slots: 32,
        }],
        models: (0..MODELS).map(model).collect(),
        classes: vec![class()],
        organisations: (0..orgs).map(org).collect(),
        rollouts: Vec::new(),
    }
}

fn target() -> Target {
    Target {
        class: "ask".into(),
        quality: 0.9,
        confidence: 0.9,
        latency: Duration::from_secs(2),
        latency_share: 0.95,
        whole: 0.99,
    }
}

fn class() -> Class {
    Class {
        name: "ask".into(),
        service: None,
        idempotent: true,
        priority: Priority::Normal,
        deadline: Duration::from_secs(30),
        cascade: true,
    }
}

/// What one decision needs.
struct Entry {
    quality: Quality,
    exposure: Exposure,
    planner: Planner,
    admission: Admission,
    balance: Balance,
    class: Class,
    target: Target,
    next: u128,
}

impl Entry {
    fn new(orgs: usize) -> Self {
        let cfg = PolicyConfig::default();
        let fleet = fleet(orgs);
        let mut entry = Self {
            quality: Quality::new(cfg.quality),
            exposure: Exposure::new(cfg.exposure),
            planner: Planner::new(cfg.plan),
            admission: Admission::new(cfg.admission),
            balance: Balance::new(cfg.balance, "hall".into(), 1),
            class: class(),
            target: target(),
            next: 0,
        };
        entry.quality.configure(&fleet);
        entry.exposure.configure(&fleet);
        entry.admission.configure(&fleet);
        entry.admission.set_capacity(&"pool".into(), 1 << 20);
        entry.balance.configure(&fleet);
        for at in 0..MODELS * VERSIONS_EACH {
            for nth in 0..100 {
                let score = if nth % 20 < 17 + at % 3 { 0.9 } else { 0.1 };
                entry
                    .quality
                    .rate_now(NOW, &"ask".into(), &version(at), score);
            }
        }
        for at in 0..RUNNERS {
            entry.balance.upsert(Duration::ZERO, &runner(at));
        }
        entry
    }

    /// Exposure, plan, admission and backend server of one request.
    fn decide(&mut self, orgs: usize) -> SocketAddr {
        self.next += 1;
        let id = self.next.to_le_bytes();
        let candidates: Vec<Candidate> = (0..MODELS * VERSIONS_EACH)
            .map(|at| (version_name(at), at))
            .filter(|(name, _)| self.exposure.permit(name, &self.class, &id, false).allows())
            .map(|(name, at)| Candidate {
                version: name.clone(),
                cost: 1.0 + (at / VERSIONS_EACH) as f64 + 10.0 * (at % VERSIONS_EACH) as f64,
                expected_duration: Duration::from_secs(2),
            })
            .collect();
        let input = PlanInput {
            class: &self.class,
            target: Some(&self.target),
            candidates: &candidates,
            time_left: Duration::from_secs(30),
            rater_available: true,
            draw: hash::unit(&id, "plan"),
        };
        let planned = self
            .planner
            .plan(&self.quality, &input)
            .expect("there are candidates");
        let ticket = AdmissionRequest {
            request: self.next,
            org: ORGS[(self.next as usize % orgs) % ORGS.len()].into(),
            pool: "pool".into(),
            priority: Priority::Normal,
            deadline: NOW + Duration::from_secs(30),
            expected_duration: Duration::from_secs(2),
        };
        black_box(self.admission.submit(NOW, ticket));
        let input = PickInput {
            route: Route::Version(planned.plan.first()),
            prefix: Some(self.next as u64 % 1000),
            prompt_tokens: 1000,
            max_tokens: 200,
            priority: Priority::Normal,
            exclude: &[],
            isolated: false,
        };
        let server = self
            .balance
            .pick(NOW, &input)
            .expect("there is room")
            .server;
        self.balance.started(server.addr, input.prefix, false);
        self.balance.finished(server.addr, false, None);
        self.admission
            .finished("pool", self.next, Duration::from_secs(2));
        server.addr
    }
}

const ORGS: [&str; 10] = [
    "org-0", "org-1", "org-2", "org-3", "org-4", "org-5", "org-6", "org-7", "org-8", "org-9",
];

fn version_name(at: usize) -> VersionId {
    thread_local! {
        static NAMES: Vec<VersionId> = (0..MODELS * VERSIONS_EACH).map(version).collect();
    }
    NAMES.with(|names| names[at].clone())
}

fn runner(at: usize) -> Announcement {
    Announcement {
        pool: "pool".into(),
        domain: "hall".into(),
        addr: SocketAddr::from(([10, 0, (at >> 8) as u8, at as u8], 8000)),
        incarnation: 1,
        seq: 1,
        leaving: false,
        load: Load::default(),
        versions: (0..MODELS * VERSIONS_EACH)
            .filter(|v| v % 3 == at % 3)
            .map(version)
            .collect(),
        cache: Vec::new(),
        speed: 40.0,
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for orgs in [10, 1000, 10_000] {
        let mut entry = Entry::new(orgs);
        group.bench_function(BenchmarkId::new("organisations", orgs), |b| {
            b.iter(|| black_box(entry.decide(orgs)));
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decision(&mut criterion);
    criterion.final_summary();
}
