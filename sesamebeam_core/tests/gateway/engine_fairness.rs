//! Fair sharing of engine time between organisations, and immediate refusal.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use proptest::prelude::*;
use sesamebeam_core::{
    gateway::{
        balance::Outcome,
        config::{
            EngineConfig,
            GatewayConfig,
            OrganisationConfig, //
        },
        engines::{
            Demand, EngineSend, Engines,
            admission::{
                self,
                EngineSlots, //
            },
            fairness::Fairness,
        },
        request::{
            Head,
            Load, //
        },
        router::{
            Choice,
            Plan,
            Refusal,
            Router, //
        },
    },
    ids::MonoTime,
    policy::hash,
};
use yare::parameterized;

use crate::fixtures::{
    announcement,
    config,
    head,
    ms,
    router_config, //
};

/// Slots of each engine of [`announcement`].
const SLOTS: u32 = 10;

/// Response of a request in events and tokens, and the time of the stream.
const EVENTS: u32 = 26;
const STREAM: Duration = Duration::from_millis(1000);

fn engine() -> EngineConfig {
    EngineConfig {
        slots: SLOTS,
        kv_capacity_tokens: 400_000,
        tokens_per_event: 1,
        models: vec![("small".into(), 1.0)],
    }
}

fn engine_config(version: u64) -> GatewayConfig {
    let mut config = config(version);
    config.services[0].engine = Some(engine());
    config
}

fn load(running: u32, waiting: u32) -> Load {
    Load {
        running,
        waiting,
        slots: SLOTS,
        slowdown: None,
    }
}

fn engine_router(config: GatewayConfig, contention: bool, servers: u8) -> Router {
    let mut settings = router_config();
    settings.contention = contention;
    let mut router = Router::new(settings);
    router.set_config(ms(0), config);
    router.set_config_current();
    router.set_entries(ms(0), 1);
    for number in 0..servers {
        router.apply_announcement(ms(0), announcement(number));
    }
    router
}

/// Returns a request without a shared prompt.
fn request(id: &str, key: &str) -> Head {
    let mut head = head(id);
    head.prompt.clear();
    head.key = Some(key.into());
    head.response_tokens = Some(EVENTS);
    head
}

fn begin(router: &mut Router, now: MonoTime, plan: &Plan) -> Choice {
    let model = plan.model.as_deref();
    let choice = router.choose(now, plan, model, &[]);
    choice.expect("a backend server is free")
}

fn finish(router: &mut Router, now: MonoTime, plan: &Plan, choice: &Choice) {
    let model = plan.model.as_deref();
    router.record_stream(now, plan, choice, model, u64::from(EVENTS), STREAM);
    router.record_outcome(now, plan, choice, Outcome::Good);
}

/// Runs one request to its end, so that the costs of the service are measured.
fn measure(router: &mut Router, now: MonoTime) {
    let head = request("first", "quay-key");
    let plan = router.admit(now, &head).expect("the request is admitted");
    let choice = begin(router, now, &plan);
    router.record_first_event(now, &plan, &choice, plan.model.as_deref(), ms(25));
    finish(router, now, &plan, &choice);
}

/// States a load for each backend server.
fn state_loads(router: &mut Router, now: MonoTime, loads: &[Load]) {
    for (number, load) in (0..).zip(loads) {
        router.record_response(now, &announcement(number).id, Some(*load));
    }
}

/// A request in the play.
struct Job {
    org: usize,
    arrived: MonoTime,
    plan: Plan,
    choice: Choice,
}

/// Engine that runs the waiting request of the lowest rank first.
#[derive(Default)]
struct PlayedEngine {
    waiting: BTreeMap<(u8, usize), Job>,
    running: Vec<(MonoTime, Job)>,
}

const ORGANISATIONS: usize = 10;
const ENGINES: u8 = 2;

/// Objective for the first event, and the time until a request that runs has it.
const OBJECTIVE: Duration = Duration::from_millis(1500);
const PREFILL: Duration = Duration::from_millis(25);

/// Organisation that sends less than the others, and the one that surges, with the time
/// of the surge.
const SMALLEST: usize = 0;
const SURGING: usize = 5;
const SURGE: std::ops::Range<u64> = 10_000..21_000;

/// Returns the requests that an organisation sends in a second.
fn rate(org: usize, at: u64) -> f64 {
    match org {
        SMALLEST => 0.8,
        SURGING if SURGE.contains(&at) => 7.5 * 1.6,
        _ => 1.6,
    }
}

fn play_config() -> GatewayConfig {
    let mut config = engine_config(1);
    config.organisations = (0..ORGANISATIONS)
        .map(|org| OrganisationConfig {
            name: format!("org-{org}").into(),
            keys: vec![format!("key-{org}").into()],
            rank: None,
        })
        .collect();
    config
}

/// Plays the surge at engines with 20 slots and returns the share of the requests in it
/// that had their first event within the objective, by organisation.
fn play(contention: bool, seed: u64) -> Vec<f64> {
    const STEP: u64 = 10;
    let mut router = engine_router(play_config(), contention, ENGINES);
    let mut engines: Vec<PlayedEngine> = (0..ENGINES).map(|_| PlayedEngine::default()).collect();
    let (mut sent, mut met) = ([0.0; ORGANISATIONS], [0.0; ORGANISATIONS]);
    for at in (0..30_000).step_by(STEP as usize) {
        let now = ms(at);
        for (number, engine) in engines.iter_mut().enumerate() {
            let ended = engine.running.extract_if(.., |(end, _)| *end <= now);
            for (_, job) in ended.collect::<Vec<_>>() {
                finish(&mut router, now, &job.plan, &job.choice);
            }
            while engine.running.len() < SLOTS as usize
                && let Some((_, job)) = engine.waiting.pop_first()
            {
                let wait = now + PREFILL - job.arrived;
                let model = job.plan.model.as_deref();
                router.record_first_event(now, &job.plan, &job.choice, model, wait);
                if SURGE.contains(&(job.arrived.as_millis() as u64)) && wait <= OBJECTIVE {
                    met[job.org] += 1.0;
                }
                engine.running.push((now + PREFILL + STREAM, job));
                let load = load(engine.running.len() as u32, engine.waiting.len() as u32);
                let id = announcement(number as u8).id;
                router.record_response(now, &id, Some(load));
            }
        }
        for (org, sent) in sent.iter_mut().enumerate() {
            let id = format!("{seed}-{at}-{org}");
            if hash::unit(id.as_bytes(), "arrivals") >= rate(org, at) * STEP as f64 / 1000.0 {
                continue;
            }
            if SURGE.contains(&at) {
                *sent += 1.0;
            }
            let mut head = request(&id, &format!("key-{org}"));
            head.deadline = Some(ms(15_000));
            let Ok(plan) = router.admit(now, &head) else {
                continue;
            };
            let choice = begin(&mut router, now, &plan);
            let number = (0..ENGINES).position(|n| announcement(n).id == choice.id);
            let engine = &mut engines[number.expect("it is announced")];
            let place = (plan.engine_rank, at as usize * ORGANISATIONS + org);
            let job = Job {
                org,
                arrived: now,
                plan,
                choice,
            };
            engine.waiting.insert(place, job);
        }
    }
    met.iter().zip(sent).map(|(met, sent)| met / sent).collect()
}

#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn surge(seed: u64) {
    // Requests were served in the order of their arrival. The surge of one organisation
    // filled the queues of all engines, and the requests of all others waited behind it.
    let shares = play(true, seed);
    let mean = shares.iter().sum::<f64>() / ORGANISATIONS as f64;
    assert!(shares[SMALLEST] >= 0.9 * mean, "{shares:?}");
    let others = shares.iter().enumerate().filter(|(org, _)| *org != SURGING);
    let served = others.map(|(_, share)| share).sum::<f64>() / (ORGANISATIONS - 1) as f64;
    let unfair = play(false, seed);
    let before = unfair.iter().sum::<f64>() / ORGANISATIONS as f64;
    assert!(
        served > 0.9 && before < 0.5,
        "{shares:?}, before {unfair:?}"
    );
}

#[test]
fn surge_ends() {
    // Requests are sent even if their organisation is ahead, so an accounted lead would
    // remain for as long as all send the same again.
    let mut fairness = Fairness::default();
    let (service, quay, lock) = ("pool".into(), "quay".into(), "lock".into());
    let mut send = |at: u64, org| {
        let is_ahead = fairness.record_request(ms(at), &service, org);
        fairness.charge(&service, org, ms(300));
        is_ahead
    };
    for at in (0..11_000).step_by(500) {
        send(at, &lock);
        (0..8).for_each(|_| _ = send(at, &quay));
    }
    assert!(send(11_000, &quay));
    let later = (11_500..40_000).step_by(500);
    let ahead = later.map(|at| {
        assert!(!send(at, &lock));
        send(at, &quay)
    });
    assert!(!ahead.last().expect("requests follow"));
    assert_eq!(fairness.count_ahead(ms(40_000)), 0);
}

#[test]
fn rank_ahead() {
    // A request that is ranked last must still not go behind one of a less urgent rank.
    let mut router = engine_router(engine_config(1), true, 1);
    for n in 0..20 {
        let plan = router.admit(ms(n), &request(&format!("quay-{n}"), "quay-key"));
        let usual = plan.expect("the request is admitted").engine_rank;
        let plan = router.admit(ms(n), &request(&format!("lock-{n}"), "lock-key"));
        let plan = plan.expect("the request is admitted");
        let expected = if n < 2 { 1 } else { 2 };
        assert_eq!((usual, plan.engine_rank), (4, expected), "request {n}");
        begin(&mut router, ms(n), &plan);
    }
    assert_eq!(router.organisations_ahead(ms(20)), 1);
}

#[test]
fn removed_organisations() {
    // Accounts of organisations that have left the configuration would add up.
    let mut fairness = Fairness::default();
    for org in ["quay", "lock"] {
        fairness.record_request(ms(0), &"pool".into(), &org.into());
        fairness.charge(&"pool".into(), &org.into(), ms(100));
    }
    let mut config = engine_config(2);
    config.organisations.pop();
    fairness.retain(&config);
    assert_eq!(fairness.count(), 1);
    config.services.clear();
    fairness.retain(&config);
    assert_eq!(fairness.count(), 0);
}

/// State in which a request with 4 s left arrives.
#[derive(Clone, Copy, PartialEq)]
enum Arrival {
    Usual,
    NoContention,
    NoServers,
    OneUnheard,
    OneFree,
    NoCosts,
    Resumed,
    Plain,
    TooLong,
}

#[parameterized(
    usual = { Arrival::Usual, true },
    no_contention = { Arrival::NoContention, false },
    no_servers = { Arrival::NoServers, false },
    one_unheard = { Arrival::OneUnheard, false },
    one_free = { Arrival::OneFree, false },
    no_costs = { Arrival::NoCosts, false },
    resumed = { Arrival::Resumed, false },
    plain = { Arrival::Plain, false },
    too_long = { Arrival::TooLong, false },
)]
fn refusal(arrival: Arrival, refused: bool) {
    // Requests that no engine could complete were sent nevertheless, and their callers
    // waited until the deadline. A refusal without evidence would be worse.
    let servers = if arrival == Arrival::NoServers { 0 } else { 2 };
    let mut config = engine_config(1);
    config.routes[0].streaming = arrival != Arrival::Plain;
    let mut router = engine_router(config, arrival != Arrival::NoContention, servers);
    if !matches!(arrival, Arrival::NoServers | Arrival::NoCosts) {
        measure(&mut router, ms(0));
    }
    let heard = match arrival {
        Arrival::OneUnheard => vec![load(10, 40)],
        Arrival::OneFree => vec![load(10, 40), load(2, 0)],
        _ => vec![load(10, 40); 2],
    };
    state_loads(&mut router, ms(100), &heard);
    let mut head = request("next", "quay-key");
    head.deadline = Some(ms(4000));
    match arrival {
        Arrival::Resumed => head.resume_after = Some(20),
        Arrival::TooLong => head.response_tokens = Some(1000),
        _ => {}
    }
    match router.admit(ms(100), &head) {
        Ok(_) => assert!(!refused),
        Err(Refusal::CannotComplete { after }) => {
            assert!(refused && after > ms(100) && after < ms(4000), "{after:?}");
        }
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn most_urgent_last() {
    // Urgent requests must be served when others are refused already.
    let deadlines = (1000..6000).step_by(50);
    let outcomes = deadlines.map(|deadline| {
        let mut router = engine_router(engine_config(1), true, 1);
        measure(&mut router, ms(0));
        state_loads(&mut router, ms(100), &[load(10, 10)]);
        let mut refuses = |key: &str| {
            let mut head = request(key, key);
            head.deadline = Some(ms(deadline));
            router.admit(ms(100), &head).is_err()
        };
        (refuses("lock-key"), refuses("quay-key"))
    });
    let outcomes: Vec<(bool, bool)> = outcomes.collect();
    assert!(outcomes.contains(&(false, true)), "{outcomes:?}");
    assert!(!outcomes.contains(&(true, false)), "{outcomes:?}");
}

fn demand(uncached_tokens: u32, response_tokens: u32) -> Demand {
    Demand {
        model: None,
        uncached_tokens,
        shared_tokens: 0,
        response_tokens,
    }
}

/// Returns a model that has measured a stream, and the engines' identifiers.
fn informed(loads: &[(u32, u32)]) -> (Engines, Vec<sesamebeam_core::gateway::directory::ServerId>) {
    let mut engines = Engines::new(true);
    let ids: Vec<_> = (0..loads.len() as u8).map(|n| announcement(n).id).collect();
    let demand = demand(400, EVENTS);
    let forecaster = engines.forecaster(ms(0), &engine(), "pool", &demand);
    let forecast = forecaster.forecast(&ids[0], SLOTS);
    let send = EngineSend {
        service: &"pool".into(),
        id: &ids[0],
        demand: &demand,
        forecast: &forecast,
    };
    engines.record_stream(ms(0), &engine(), &send, u64::from(EVENTS), STREAM);
    for (id, (running, waiting)) in ids.iter().zip(loads) {
        engines.record_load(ms(0), &"pool".into(), id, load(*running, *waiting));
    }
    (engines, ids)
}

proptest! {
    #[test]
    fn monotone_clock(steps in prop::collection::vec((0u64..3000, 0usize..5, 0u64..9000), 1..80)) {
        let mut fairness = Fairness::default();
        let service = "pool".into();
        let (mut now, mut before) = (0, 0.0);
        for (pause, org, cost) in steps {
            now += pause;
            let org = format!("org-{org}").into();
            fairness.record_request(ms(now), &service, &org);
            fairness.charge(&service, &org, ms(cost));
            let clock = fairness.virtual_time("pool");
            prop_assert!(clock >= before, "{clock} after {before}");
            before = clock;
        }
    }

    #[test]
    fn share_never_ahead(
        rounds in prop::collection::vec((1u64..1500, 0usize..6, prop::collection::vec(0u64..9000, 5)), 1..40),
        cost in 0u64..1990,
    ) {
        // One organisation sends in every round at most what each other one sends, at any
        // place in the round. A single request that needs more than the bound may put it
        // ahead, as the others may be without a request in the last second.
        let mut fairness = Fairness::default();
        let service = "pool".into();
        let mut now = 0;
        for (pause, place, extra) in rounds {
            now += pause;
            for turn in 0..6 {
                let is_own = turn == place;
                let org = match turn {
                    _ if is_own => "modest".into(),
                    turn if turn > place => format!("org-{}", turn - 1).into(),
                    turn => format!("org-{turn}").into(),
                };
                let is_ahead = fairness.record_request(ms(now), &service, &org);
                prop_assert!(!(is_own && is_ahead));
                let more = if is_own { 0 } else { extra[turn.min(4)] };
                fairness.charge(&service, &org, ms(cost + more));
            }
        }
    }

    #[test]
    fn true_refusals(
        loads in prop::collection::vec((0u32..=SLOTS, 0u32..60), 1..6),
        prompt in 0u32..30_000,
        response in 1u32..200,
        time_left in 100u64..20_000,
        share in prop::sample::select(vec![0.8, 0.9, 1.0]),
        at in 0.0..1.0,
    ) {
        let (engines, ids) = informed(&loads);
        let candidates: Vec<EngineSlots<'_>> = ids
            .iter()
            .map(|id| EngineSlots { id, slots: SLOTS })
            .collect();
        let demand = demand(prompt, response);
        let completes = |now, share: f64| {
            let forecaster = engines.forecaster(now, &engine(), "pool", &demand);
            let mut forecasts = ids.iter().map(|id| forecaster.forecast(id, SLOTS));
            forecasts.any(|f| f.completion <= ms(time_left).mul_f64(share))
        };
        let forecaster = engines.forecaster(ms(10), &engine(), "pool", &demand);
        match admission::refusal_delay(&forecaster, &candidates, ms(time_left), share) {
            Some(delay) => {
                prop_assert!(!completes(ms(10), share), "a candidate could complete it");
                let after = admission::with_jitter(delay, at);
                prop_assert!(after >= delay && after <= delay.mul_f64(1.2));
                prop_assert!(completes(ms(10) + delay, 1.0) && completes(ms(10) + after, 1.0));
            }
            None => prop_assert!(completes(ms(10), 1.0) || !completes(ms(300_010), 1.0)),
        }
    }
}
