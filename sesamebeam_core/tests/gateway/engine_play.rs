//! A play of engines of uneven speed with several entries.
//!
//! Each engine prefills one prompt after the other, and its streams advance together. It is
//! a fixture for the model and the selection, no simulator: prompts that are shared are
//! always cached, and nothing fails.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam_core::{
    gateway::{
        balance::Outcome,
        config::EngineConfig,
        directory::Announcement,
        engines::{
            Forecast,
            Slowdown, //
        },
        loads::{
            Loads,
            ServerLoad, //
        },
        request::{
            Head,
            Load,
            PromptPart, //
        },
        router::{
            Choice,
            Plan,
            Router, //
        },
    },
    ids::MonoTime,
};

use crate::fixtures::{
    addr,
    announcement,
    config,
    head,
    ms,
    router_config, //
};

/// Resolution of the play.
const STEP: Duration = Duration::from_millis(2);

/// Interval of the entries' reports, and the time until all entries hear of them.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Time until the entries have learned the costs. Later sends are evaluated.
const WARM_UP: Duration = Duration::from_secs(20);

/// True costs at the usual speed: seconds to the first event of an empty prompt, per
/// prompt token of the two models, and between events without and per running request.
const FIXED_SECONDS: f64 = 0.03;
const SMALL_SECONDS: f64 = 12e-6;
const LARGE_SECONDS: f64 = 70e-6;
const EVENT_SECONDS: f64 = 0.02;
const EVENT_SECONDS_PER_REQUEST: f64 = 0.0025;

/// Factor of a short period of heavy load, its mean interval and its longest length.
const BURST_FACTOR: f64 = 2.5;
const BURST_INTERVAL: f64 = 4.0;
const BURST_SECONDS: (f64, f64) = (0.1, 0.5);

/// Tokens in one event, and the share of the stated response length that is generated.
const TOKENS_PER_EVENT: u32 = 4;
const RESPONSE_SHARE: f64 = 0.9;

/// What is played.
#[derive(Clone, Debug)]
pub(crate) struct PlayConfig {
    pub(crate) seed: u64,
    pub(crate) entries: usize,
    /// Slowdown of each engine in percent outside of bursts.
    pub(crate) speeds: Vec<u16>,
    pub(crate) slots: usize,
    /// Requests per second at all entries together.
    pub(crate) rate: f64,
    pub(crate) length: Duration,
}

/// A send after the warm-up.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) engine: usize,
    pub(crate) forecast: Forecast,
    /// True time to the first event, and to the last.
    pub(crate) first_event: Option<Duration>,
    pub(crate) completion: Option<Duration>,
    /// Whether the engine was full while another one had a free slot.
    pub(crate) is_misplaced: bool,
    /// Seconds of work at the engine's speed outside of bursts.
    pub(crate) engine_seconds: f64,
}

/// A request at an engine.
struct Run {
    sent: usize,
    entry: usize,
    plan: Plan,
    choice: Choice,
    model: &'static str,
    sent_at: MonoTime,
    first_event_at: Option<MonoTime>,
    prefill_left: f64,
    events: f64,
    events_left: f64,
}

struct Engine {
    base: f64,
    burst_until: f64,
    next_burst: f64,
    running: Vec<Run>,
    waiting: VecDeque<Run>,
}

impl Engine {
    fn slowdown(&self, now: f64) -> f64 {
        match now < self.burst_until {
            true => self.base * BURST_FACTOR,
            false => self.base,
        }
    }

    fn load(&self, now: f64, slots: usize) -> Load {
        let percent = (self.slowdown(now) * 100.0).round() as u64;
        Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: slots as u32,
            slowdown: Slowdown::from_percent(percent),
        }
    }

    fn requests(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Advances by one step. Returns the position of the run whose first event came, if any.
    fn advance(&mut self, now: MonoTime, slots: usize, rng: &mut StdRng) -> Option<usize> {
        let at = now.as_secs_f64();
        if at >= self.next_burst {
            self.burst_until = at + rng.random_range(BURST_SECONDS.0..BURST_SECONDS.1);
            self.next_burst = self.burst_until + exponential(rng, BURST_INTERVAL);
        }
        while self.running.len() < slots
            && let Some(run) = self.waiting.pop_front()
        {
            self.running.push(run);
        }
        let count = self.running.len() as f64;
        let work = STEP.as_secs_f64() / self.slowdown(at);
        let advanced = work / (EVENT_SECONDS + EVENT_SECONDS_PER_REQUEST * count);
        for run in self
            .running
            .iter_mut()
            .filter(|r| r.first_event_at.is_some())
        {
            run.events_left -= advanced;
        }
        let unstarted = |r: &Run| r.first_event_at.is_none();
        let position = self.running.iter().position(unstarted)?;
        let run = &mut self.running[position];
        run.prefill_left -= work;
        if run.prefill_left > 0.0 {
            return None;
        }
        run.first_event_at = Some(now);
        run.events_left -= 1.0;
        Some(position)
    }

    /// Takes the runs that are complete.
    fn take_complete(&mut self) -> Vec<Run> {
        let is_complete = |r: &mut Run| r.first_event_at.is_some() && r.events_left <= 0.0;
        self.running.extract_if(.., is_complete).collect()
    }
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns the announcement of an engine.
pub(crate) fn engine_announcement(number: usize, slots: usize) -> Announcement {
    Announcement {
        slots: slots as u32,
        models: vec!["small".into(), "large".into()],
        ..announcement(number as u8)
    }
}

/// Returns the engine of the service `pool`.
pub(crate) fn engine_config(slots: u32) -> EngineConfig {
    EngineConfig {
        slots,
        kv_capacity_tokens: 400_000,
        tokens_per_event: TOKENS_PER_EVENT,
        models: vec![("small".into(), 1.0), ("large".into(), 6.0)],
    }
}

/// Creates a router of an entry with engines.
pub(crate) fn engine_router(entry: usize, entries: usize, engines: usize, slots: usize) -> Router {
    let mut settings = router_config();
    settings.name = format!("entry-{entry}").into();
    let mut router = Router::new(settings);
    let mut config = config(1);
    config.services[0].engine = Some(engine_config(slots as u32));
    router.set_config(ms(0), config);
    router.set_config_current();
    router.set_entries(ms(0), entries as u32);
    for number in 0..engines {
        router.apply_announcement(ms(0), engine_announcement(number, slots));
    }
    router
}

/// Plays until the configured length is over and returns the sends after the warm-up.
pub(crate) fn play(cfg: &PlayConfig) -> Vec<Sent> {
    let mut rng = StdRng::seed_from_u64(cfg.seed);
    let new_engine = |&percent: &u16| Engine {
        base: f64::from(percent) / 100.0,
        burst_until: 0.0,
        next_burst: exponential(&mut rng, BURST_INTERVAL),
        running: Vec::new(),
        waiting: VecDeque::new(),
    };
    let mut engines: Vec<Engine> = cfg.speeds.iter().map(new_engine).collect();
    let new_router = |entry| engine_router(entry, cfg.entries, engines.len(), cfg.slots);
    let mut routers: Vec<Router> = (0..cfg.entries).map(new_router).collect();
    let mut merged = Loads::default();
    let mut in_transit: VecDeque<(MonoTime, Vec<ServerLoad>)> = VecDeque::new();
    let mut sends: Vec<Sent> = Vec::new();
    let mut next_request = 0.0;
    let mut next_report = REPORT_INTERVAL;
    let mut now = ms(1000);
    let mut evaluated_from = None;
    while now < cfg.length {
        now += STEP;
        if evaluated_from.is_none() && now >= WARM_UP {
            evaluated_from = Some(sends.len());
        }
        while next_request <= now.as_secs_f64() {
            next_request += exponential(&mut rng, 1.0 / cfg.rate);
            send(cfg, now, &mut rng, &mut routers, &mut engines, &mut sends);
        }
        for engine in &mut engines {
            if let Some(position) = engine.advance(now, cfg.slots, &mut rng) {
                let load = engine.load(now.as_secs_f64(), cfg.slots);
                let run = &engine.running[position];
                let wait = now - run.sent_at;
                sends[run.sent].first_event = Some(wait);
                let router = &mut routers[run.entry];
                router.record_response(now, &run.choice.id, Some(load));
                router.record_first_event(now, &run.plan, &run.choice, Some(run.model), wait);
            }
            for run in engine.take_complete() {
                sends[run.sent].completion = Some(now - run.sent_at);
                let router = &mut routers[run.entry];
                let duration = now - run.first_event_at.unwrap_or(now);
                let events = run.events.round() as u64;
                let (plan, choice) = (&run.plan, &run.choice);
                router.record_stream(now, plan, choice, Some(run.model), events, duration);
                router.record_outcome(now, plan, choice, Outcome::Good);
            }
        }
        if now >= next_report {
            next_report += REPORT_INTERVAL;
            for router in &mut routers {
                merged.merge(now, router.take_report(now).loads);
                router.remove_expired(now);
            }
            if let Some(loads) = merged.take_due(now, engines.len()) {
                in_transit.push_back((now + REPORT_DELAY, loads));
            }
        }
        while in_transit.front().is_some_and(|(at, _)| *at <= now) {
            let (_, loads) = in_transit.pop_front().unwrap_or_default();
            for router in &mut routers {
                router.apply_loads(now, loads.clone(), Vec::new());
            }
        }
    }
    sends.split_off(evaluated_from.unwrap_or_default())
}

/// Sends a request of random size from a random entry.
fn send(
    cfg: &PlayConfig,
    now: MonoTime,
    rng: &mut StdRng,
    routers: &mut [Router],
    engines: &mut [Engine],
    sends: &mut Vec<Sent>,
) {
    let entry = rng.random_range(0..routers.len());
    let unshared = match rng.random_range(0..4) {
        0 => rng.random_range(2000..6000),
        _ => rng.random_range(50..800),
    };
    let response_tokens: u32 = rng.random_range(100..400);
    let (model, rate) = match rng.random_range(0..5) {
        0 => ("large", LARGE_SECONDS),
        _ => ("small", SMALL_SECONDS),
    };
    let request = request(
        sends.len(),
        rng.random_range(0..12),
        unshared,
        response_tokens,
    );
    let router = &mut routers[entry];
    let plan = router.admit(now, &request).expect("it is admitted");
    let choice = router.choose(now, &plan, Some(model), &[]);
    let choice = choice.expect("there are engines");
    let position = (0..engines.len()).find(|&n| choice.addr == addr(n as u8));
    let position = position.expect("it was announced");
    let has_room = |e: &Engine| e.requests() < cfg.slots;
    let is_misplaced = !has_room(&engines[position]) && engines.iter().any(has_room);
    let prefill = FIXED_SECONDS + rate * f64::from(unshared);
    let events = f64::from(response_tokens / TOKENS_PER_EVENT) * RESPONSE_SHARE;
    let work = prefill + events * EVENT_SECONDS;
    sends.push(Sent {
        engine: position,
        forecast: choice.forecast.unwrap_or(NO_FORECAST),
        first_event: None,
        completion: None,
        is_misplaced,
        engine_seconds: work * engines[position].base,
    });
    engines[position].waiting.push_back(Run {
        sent: sends.len() - 1,
        entry,
        plan,
        choice,
        model,
        sent_at: now,
        first_event_at: None,
        prefill_left: prefill,
        events,
        events_left: events,
    });
}

/// Stands for the forecast of a send before engine time was on.
const NO_FORECAST: Forecast = Forecast {
    first_event: Duration::ZERO,
    completion: Duration::ZERO,
    prefill: Duration::ZERO,
    shared_prefill: Duration::ZERO,
    slowdown: 1.0,
    requests: 0.0,
    has_queue: false,
};

/// Returns the head of a request that shares one of several prompts.
pub(crate) fn request(number: usize, prompt: u64, unshared: u32, response_tokens: u32) -> Head {
    let shared = 1500;
    Head {
        id: format!("r-{number}").into(),
        prompt: vec![
            PromptPart {
                id: 1000 + prompt,
                tokens: shared,
            },
            PromptPart {
                id: 1_000_000 + number as u64,
                tokens: unshared,
            },
        ],
        prompt_tokens: shared + unshared,
        response_tokens: Some(response_tokens),
        ..head("r")
    }
}
