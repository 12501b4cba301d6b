//! Predicted times of requests at engines, and the accounting that they rely on.

use std::time::Duration;

use sesamebeam_core::gateway::{
    balance::Outcome,
    directory::{
        Announcement,
        ServerId, //
    },
    engines::{
        Demand,
        EngineSend,
        Engines,
        Forecast,
        Slowdown, //
    },
    loads::{
        Loads,
        ServerLoad, //
    },
    messages::Report,
    request::Load,
    router::{
        Choice,
        Plan,
        Router, //
    },
};
use yare::parameterized;

use crate::{
    engine_play::{
        engine_announcement,
        engine_config,
        engine_router,
        request, //
    },
    fixtures::{
        config,
        ms, //
    },
};

const SLOTS: usize = 16;

fn load(running: u32, percent: u64) -> Load {
    Load {
        running,
        waiting: 0,
        slots: SLOTS as u32,
        slowdown: Slowdown::from_percent(percent),
    }
}

fn server(number: usize) -> ServerId {
    engine_announcement(number, SLOTS).id
}

/// Returns a router with one engine that has stated its speed.
fn router() -> Router {
    let mut router = engine_router(0, 1, 1, SLOTS);
    router.record_response(ms(1000), &server(0), Some(load(0, 100)));
    router
}

/// Sends a request with a long prompt.
fn send(router: &mut Router, now: u64, number: usize) -> (Plan, Choice) {
    let head = request(number, 0, 50_000, 400);
    let plan = router.admit(ms(now), &head).expect("it is admitted");
    let choice = router.choose(ms(now), &plan, Some("small"), &[]);
    (plan, choice.expect("there is an engine"))
}

fn forecast(choice: &Choice) -> Forecast {
    choice.forecast.expect("engine time is on")
}

fn abort(router: &mut Router, now: u64, (plan, choice): &(Plan, Choice)) {
    router.record_aborted(ms(now), choice);
    router.record_outcome(ms(now), plan, choice, Outcome::Dropped);
}

fn restarted(started_at: u64) -> Announcement {
    Announcement {
        started_at,
        ..engine_announcement(0, SLOTS)
    }
}

#[parameterized(
    good = { Outcome::Good, true },
    failed = { Outcome::Failed, true },
    left = { Outcome::Dropped, true },
    silent = { Outcome::Silent, true },
    refused = { Outcome::Refused, false },
    unreachable = { Outcome::Unreachable, false },
    down = { Outcome::Down, false },
    failed_early = { Outcome::Failed, false },
    left_early = { Outcome::Dropped, false },
    silent_early = { Outcome::Silent, false },
)]
fn ended_sends(outcome: Outcome, has_started: bool) {
    // A send that stays counted after its end makes its engine look busy for good.
    let mut router = router();
    let sends: Vec<_> = (0..5).map(|n| send(&mut router, 1000, n)).collect();
    assert_eq!(forecast(&sends[4].1).requests, 4.0);
    for (plan, choice) in &sends {
        match has_started {
            true => router.record_first_event(ms(1500), plan, choice, Some("small"), ms(500)),
            false => router.record_aborted(ms(1500), choice),
        }
        router.record_outcome(ms(1600), plan, choice, outcome);
    }
    let next = forecast(&send(&mut router, 1600, 9).1);
    assert_eq!(next.requests, 0.0);
    assert!(next.first_event < ms(1500), "{next:?}");
}

#[test]
fn restart_between() {
    // The engine restarts while a send waits there. What is recorded about that send later
    // must not be taken off the sends to the new incarnation.
    let mut router = router();
    let old = send(&mut router, 1000, 0);
    assert!(router.apply_announcement(ms(1100), restarted(5)));
    router.record_response(ms(1100), &server(0), Some(load(0, 100)));
    let new = send(&mut router, 1100, 1);
    assert_eq!(forecast(&new.1).requests, 0.0, "the old send has ended");
    abort(&mut router, 1150, &old);
    let next = forecast(&send(&mut router, 1150, 2).1);
    assert_eq!(next.requests, 1.0);
    assert!(
        next.first_event > forecast(&new.1).first_event + ms(400),
        "the prompt of the new send is still read: {next:?}"
    );
}

#[test]
fn started_before_restart() {
    let mut router = router();
    let old = send(&mut router, 1000, 0);
    router.record_first_event(ms(1050), &old.0, &old.1, Some("small"), ms(50));
    assert!(router.apply_announcement(ms(1100), restarted(5)));
    router.record_response(ms(1100), &server(0), Some(load(0, 100)));
    send(&mut router, 1100, 1);
    router.record_outcome(ms(1150), &old.0, &old.1, Outcome::Failed);
    assert_eq!(forecast(&send(&mut router, 1150, 2).1).requests, 1.0);
}

#[test]
fn switched_on_between() {
    // The engine states its speed for the first time while requests run there that were
    // sent before. They are among those that it states and must not be taken off the later
    // ones when they end.
    let mut router = engine_router(0, 1, 1, SLOTS);
    let early = send(&mut router, 1000, 0);
    assert_eq!(early.1.forecast, None);
    router.record_response(ms(1500), &server(0), Some(load(1, 100)));
    router.record_first_event(ms(1500), &early.0, &early.1, Some("small"), ms(500));
    let late = send(&mut router, 1500, 1);
    assert_eq!(forecast(&late.1).requests, 1.0);
    router.record_outcome(ms(1500), &early.0, &early.1, Outcome::Good);
    assert_eq!(forecast(&send(&mut router, 1500, 2).1).requests, 2.0);
    abort(&mut router, 1500, &late);
}

#[test]
fn service_removed() {
    // Engine time stays on only while the service is configured, and nothing is kept for a
    // service that is not.
    let mut router = router();
    assert!(send(&mut router, 1000, 0).1.forecast.is_some());
    let mut without = config(2);
    without.services[0].engine = None;
    assert!(router.set_config(ms(1100), without));
    let mut again = config(3);
    again.services[0].engine = Some(engine_config(SLOTS as u32));
    assert!(router.set_config(ms(1200), again));
    assert_eq!(send(&mut router, 1200, 1).1.forecast, None);
}

#[test]
fn loads_of_others() {
    // Loads of a backend server that is not known, or of a service without engines, must
    // neither switch engine time on nor be kept.
    let unknown = ServerLoad::new(&"stranger".into(), load(3, 170));
    let mut router = engine_router(0, 1, 1, SLOTS);
    router.apply_loads(ms(1000), vec![unknown], Vec::new());
    assert_eq!(send(&mut router, 1000, 0).1.forecast, None);

    let mut plain = engine_router(0, 1, 1, SLOTS);
    assert!(plain.set_config(ms(0), config(2)));
    plain.record_response(ms(1000), &server(0), Some(load(3, 170)));
    assert_eq!(send(&mut plain, 1000, 0).1.forecast, None);
}

#[parameterized(
    none = { 0 },
    above = { 10_001 },
    highest = { u16::MAX },
)]
fn slowdown_out_of_range(slowdown_percent: u16) {
    // A control replica passes on what a faulty entry has reported.
    let mut said = ServerLoad::new(&server(0), load(3, 100));
    said.slowdown_percent = slowdown_percent;
    assert_eq!(said.slowdown(), None);
    let mut router = engine_router(0, 1, 1, SLOTS);
    router.apply_loads(ms(1000), vec![said], Vec::new());
    assert_eq!(send(&mut router, 1000, 0).1.forecast, None);
}

/// Model of one entry with an engine of a service `pool`.
struct Model {
    engines: Engines,
    id: ServerId,
}

impl Model {
    fn new() -> Self {
        Self {
            engines: Engines::new(true),
            id: server(0),
        }
    }

    fn stated(&mut self, now: u64, percent: u64) {
        let load = load(0, percent);
        self.engines
            .record_load(ms(now), &"pool".into(), &self.id, load);
    }

    fn forecast(&self, now: u64, demand: &Demand) -> Forecast {
        let cfg = engine_config(SLOTS as u32);
        let forecaster = self.engines.forecaster(ms(now), &cfg, "pool", demand);
        forecaster.forecast(&self.id, SLOTS as u32)
    }

    fn run(&mut self, now: u64, demand: &Demand, wait: Duration) {
        let forecast = self.forecast(now, demand);
        let service = "pool".into();
        let send = EngineSend {
            service: &service,
            id: &self.id,
            demand,
            forecast: &forecast,
        };
        self.engines.record_send(ms(now), &send);
        self.engines.record_first_event(ms(now), &send, wait);
        let cfg = engine_config(SLOTS as u32);
        self.engines
            .record_stream(ms(now), &cfg, &send, u64::MAX, wait);
        self.engines.record_end(&self.id);
    }

    fn slowdown(&self, now: u64) -> f64 {
        self.engines.slowdown(ms(now), "pool", &self.id)
    }
}

fn demand(uncached_tokens: u32, response_tokens: u32) -> Demand {
    Demand {
        model: Some("small".into()),
        uncached_tokens,
        shared_tokens: 0,
        response_tokens,
    }
}

#[test]
fn absurd_figures() {
    // Lengths are stated by callers and loads by engines. None may cause a panic or a
    // forecast beyond an hour.
    const HOUR: Duration = Duration::from_secs(3600);
    let mut model = Model::new();
    let absurd = Demand {
        shared_tokens: u32::MAX,
        ..demand(u32::MAX, u32::MAX)
    };
    let high = Load {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 0,
        slowdown: Slowdown::from_percent(10_000),
    };
    model.stated(1000, 1);
    for _ in 0..200 {
        model.run(1000, &absurd, Duration::from_secs(1_000_000));
        model.run(1000, &demand(2000, 1), Duration::from_secs(1_000_000));
    }
    let (service, id) = ("pool".into(), model.id.clone());
    model.engines.record_load(ms(1001), &service, &id, high);
    let mut said = ServerLoad::new(&id, high);
    said.prefill_ms = u16::MAX;
    model.engines.apply_load(ms(1001), &service, &id, &said);
    let forecast = model.forecast(1001, &absurd);
    for time in [
        forecast.first_event,
        forecast.completion,
        forecast.prefill,
        forecast.shared_prefill,
    ] {
        assert!(time <= HOUR, "{forecast:?}");
    }
}

#[test]
fn prefill_rate_recovers() {
    // The first long prompt was answered as fast as an empty one, because it was cached. An
    // estimate of 0 would never grow again, since it is adjusted in proportion.
    let mut model = Model::new();
    model.stated(1000, 100);
    model.run(1000, &demand(4000, 100), ms(0));
    for _ in 0..200 {
        model.run(1000, &demand(4000, 100), ms(100));
    }
    let forecast = model.forecast(1000, &demand(4000, 100));
    assert!(forecast.first_event > ms(60), "{forecast:?}");
}

#[test]
fn recent_slowdown() {
    // A statement is used as is while the moment that it describes lasts, and then the
    // typical slowdown.
    let mut model = Model::new();
    for n in 0..100 {
        model.stated(n * 1000, 100);
    }
    model.stated(100_000, 250);
    assert_eq!(model.slowdown(100_300), 2.5);
    let typical = model.slowdown(100_301);
    assert!((1.0..1.1).contains(&typical), "{typical}");
}

#[parameterized(
    one = { 1, 1.1 },
    many = { 20, 1.2 },
)]
fn heavy_moment(statements: u64, limit: f64) {
    // Under load an engine answers many times within one moment of 400 ms in which it is
    // 2.5 times as slow. Each answer counted alone, the engine was taken for a slow one.
    let mut model = Model::new();
    for n in 0..100 {
        model.stated(n * 1000, 100);
    }
    for n in 0..statements {
        model.stated(100_000 + n * 400 / statements, 250);
    }
    let typical = model.engines.typical_slowdown("pool", &model.id);
    assert!(typical < limit, "{typical}");
}

#[test]
fn first_heard_in_heavy_moment() {
    // An engine that is first heard of while it is 2.5 times as slow got no requests while
    // others were free, and so never stated anything else.
    let mut model = Model::new();
    model.stated(1000, 250);
    model.stated(1010, 250);
    model.stated(1020, 250);
    let typical = model.engines.typical_slowdown("pool", &model.id);
    assert!(typical < 1.7, "{typical}");
    for n in 2..40 {
        model.stated(n * 1000, 100);
    }
    let typical = model.engines.typical_slowdown("pool", &model.id);
    assert!((0.99..1.05).contains(&typical), "{typical}");
}

#[test]
fn unknown_engine() {
    // An engine that has stated nothing is taken for one of the median speed.
    let mut model = Model::new();
    for (number, percent) in [(1, 70), (2, 170), (3, 170)] {
        let id = server(number);
        for n in 0..50 {
            model
                .engines
                .record_load(ms(n * 1000), &"pool".into(), &id, load(0, percent));
        }
    }
    model.engines.retain(|_| true);
    let slowdown = model.slowdown(60_000);
    assert!((1.65..1.75).contains(&slowdown), "{slowdown}");
}

#[test]
fn gone_engines() {
    // The state of engines that are gone must not stay.
    let mut model = Model::new();
    model.stated(1000, 100);
    assert_eq!(model.engines.count(), 1);
    model.engines.retain(|_| false);
    assert_eq!(model.engines.count(), 0);
}

#[test]
fn reported_slowdown() {
    // Of several loads of one engine the highest is passed on, and the slowdown stated last
    // even if it came with another one or the highest load has none.
    let id = server(0);
    let mut loads = Loads::default();
    loads.merge(ms(1000), [ServerLoad::new(&id, load(9, 70))]);
    loads.merge(ms(1010), [ServerLoad::new(&id, load(2, 170))]);
    loads.merge(ms(1020), [ServerLoad::new(&id, load(12, 0))]);
    let taken = loads.take_due(ms(1200), 0).expect("a report is due");
    assert_eq!((taken[0].running, taken[0].slowdown_percent), (12, 170));

    let of = |running, percent| ServerLoad::new(&id, load(running, percent));
    let mut report = Report {
        loads: vec![of(12, 0), of(2, 170)],
        ..Report::default()
    };
    assert_eq!(report.take().loads, [of(12, 170)]);
}

#[test]
fn passed_on_slowdown() {
    // An entry that has no answer of its own yet learns the speed from the control replicas.
    let mut first = router();
    let report = first.take_report(ms(1200));
    let mut other = engine_router(1, 2, 1, SLOTS);
    other.apply_loads(ms(1400), report.loads, Vec::new());
    assert!(send(&mut other, 1400, 0).1.forecast.is_some());
}
