//! Processor time of what an entry of the gateway does with so many backend servers.

use std::{
    hint::black_box,
    net::Ipv4Addr,
    time::Duration, //
};

use criterion::{
    BatchSize,
    BenchmarkId,
    Criterion, //
};
use sesamebeam_core::{
    gateway::{
        balance::Outcome,
        config::{
            EngineConfig,
            GatewayConfig,
            RetrySafety,
            RouteConfig,
            ServiceConfig, //
        },
        directory::{
            Announcement,
            Directory,
            ServerState, //
        },
        engines::Slowdown,
        request::{
            Head,
            Load,
            PromptPart, //
        },
        retry_budget::RetryBudgetConfig,
        router::{
            Router,
            RouterConfig, //
        },
    },
    ids::MonoTime,
};

const SERVERS: [u32; 6] = [5, 90, 300, 3_000, 10_000, 20_000];
/// Numbers of engines for a choice by engine time.
const ENGINES: [u32; 4] = [5, 90, 10_000, 20_000];
const SLOTS: u32 = 16;
const MODELS: [&str; 2] = ["small", "large"];
const DOMAINS: u32 = 5;
const NOW: MonoTime = MonoTime::ZERO;

fn server(number: u32) -> Announcement {
    Announcement {
        id: format!("server-{number}").into(),
        started_at: 1,
        service: "pool".into(),
        addr: (Ipv4Addr::from(0x0a00_0000 + number), 80).into(),
        domain: format!("hall-{}", number % DOMAINS).into(),
        version: "v1".into(),
        slots: SLOTS,
        state: ServerState::Ready,
        cold: Duration::ZERO,
        models: MODELS.map(Into::into).to_vec(),
        sequence: 1,
    }
}

fn router(servers: u32) -> Router {
    let mut router = Router::new(RouterConfig {
        name: "entry-1".into(),
        domain: "hall-1".into(),
        budget: RetryBudgetConfig {
            ratio: 1.0,
            slack: 1_000.0,
            window: Duration::from_secs(10),
        },
        exposure_share: 0.1,
        session_pause: Duration::from_secs(8),
        contention: false,
    });
    router.set_config(NOW, config());
    for number in 0..servers {
        router.apply_announcement(NOW, server(number));
    }
    router
}

fn config() -> GatewayConfig {
    GatewayConfig {
        version: 1,
        routes: vec![RouteConfig {
            name: "notes".into(),
            host: "desk.example".into(),
            prefix: "/".into(),
            retry_safety: RetrySafety::AtMostOnce,
            streaming: true,
            resumable: true,
            timeout: Duration::from_secs(20),
            target: Duration::from_secs(1),
            gap: None,
            rank: 1,
            models: vec!["small".into(), "large".into()],
            backends: vec![("pool".into(), 1)],
            max_attempts: 3,
            allows_anonymous: true,
        }],
        services: vec![ServiceConfig {
            name: "pool".into(),
            health_path: "/health".into(),
            max_connections: 100,
            cold: None,
            engine: None,
        }],
        limits: Default::default(),
        organisations: Vec::new(),
    }
}

/// Returns a router whose backend servers are engines that have stated their speed.
fn engine_router(engines: u32) -> Router {
    let mut router = router(engines);
    let mut cfg = config();
    cfg.version += 1;
    cfg.services[0].engine = Some(EngineConfig {
        slots: SLOTS,
        kv_capacity_tokens: 400_000,
        tokens_per_event: 4,
        models: MODELS.map(|model| (model.into(), 1.0)).to_vec(),
    });
    router.set_config(NOW, cfg);
    for number in 0..engines {
        let load = Load {
            running: number % SLOTS,
            waiting: 0,
            slots: SLOTS,
            slowdown: Slowdown::from_percent(u64::from(70 + number % 101)),
        };
        router.record_response(NOW, &server(number).id, Some(load));
    }
    router
}

fn bench_engine_time(bench: &mut Criterion, engines: u32) {
    let mut router = engine_router(engines);
    let requests: Vec<_> = (0..64)
        .map(|n| router.admit(NOW, &head(&format!("r{n}"), n * 99)))
        .collect();
    let plans: Vec<_> = requests.into_iter().flatten().collect();
    let mut at = 0;
    bench.bench_with_input(
        BenchmarkId::new("choose by engine time", engines),
        &engines,
        |b, _| {
            b.iter(|| {
                at += 1;
                let plan = &plans[at % plans.len()];
                if let Ok(choice) = router.choose(NOW, plan, Some(MODELS[0]), &[]) {
                    assert!(choice.forecast.is_some(), "engine time is on");
                    router.record_aborted(NOW, &choice);
                    router.record_outcome(NOW, plan, &choice, Outcome::Dropped);
                    black_box(choice);
                }
            });
        },
    );
}

fn head(id: &str, prompt: u64) -> Head {
    let part = |id| PromptPart { id, tokens: 400 };
    Head {
        id: id.into(),
        host: "desk.example".into(),
        path: "/notes/today".into(),
        key: None,
        deadline: None,
        model: None,
        prompt: vec![part(prompt), part(prompt + 1)],
        prompt_tokens: 800,
        response_tokens: None,
        session: None,
        resume_after: None,
    }
}

fn main() {
    let mut bench = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(600));
    for engines in ENGINES {
        bench_engine_time(&mut bench, engines);
    }
    for servers in SERVERS {
        let mut router = router(servers);
        let requests: Vec<_> = (0..64)
            .map(|n| router.admit(NOW, &head(&format!("r{n}"), n * 99)))
            .collect();
        let plans: Vec<_> = requests.into_iter().flatten().collect();
        let mut at = 0;
        bench.bench_with_input(BenchmarkId::new("choose", servers), &servers, |b, _| {
            b.iter(|| {
                at += 1;
                let plan = &plans[at % plans.len()];
                if let Ok(choice) = router.choose(NOW, plan, None, &[]) {
                    router.record_outcome(NOW, plan, &choice, Outcome::Dropped);
                    black_box(choice);
                }
            });
        });
        let all: Vec<_> = (0..servers).map(server).collect();
        bench.bench_with_input(BenchmarkId::new("take all", servers), &all, |b, all| {
            let take_all = |(mut directory, all): (Directory, Vec<Announcement>)| {
                for said in all {
                    directory.merge(NOW, said, true);
                }
                directory
            };
            let start = || (Directory::default(), all.clone());
            b.iter_batched(start, take_all, BatchSize::PerIteration);
        });
    }
    bench.final_summary();
}
